#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fetch_buffered.h"
#include "base64.h"
#include "kv.h"
#include "mem.h"

#define KV_CONNECT_TIMEOUT_MSEC 400
#define KV_CALL_TIMEOUT_MSEC 1000
#define KV_WATCH_TIMEOUT_MSEC 25000

struct kv {
	struct fetch *fetch;
	char addr[ADDR_SIZE];
	void (*result)(void *, const struct kv_result *);
	void *ctx;
	uint64_t calls;
};

struct kv_call {
	struct kv *kv;
	uint64_t id;
	enum kv_op_kind kind;
};

struct kv_endpoint {
	const char *path;
	json_t *(*compose)(const struct kv_op *);
	void (*parse)(const json_t *, struct kv_result *, char **);
};

static json_t *compose_get(const struct kv_op *);
static json_t *compose_cas(const struct kv_op *);
static json_t *compose_watch(const struct kv_op *);
static json_t *compose_grant(const struct kv_op *);
static json_t *compose_lease_id(const struct kv_op *);
static void parse_get(const json_t *, struct kv_result *, char **);
static void parse_cas(const json_t *, struct kv_result *, char **);
static void parse_watch(const json_t *, struct kv_result *, char **);
static void parse_grant(const json_t *, struct kv_result *, char **);
static void parse_keepalive(const json_t *, struct kv_result *, char **);
static void parse_empty(const json_t *, struct kv_result *, char **);
static json_t *base64_json_string(const char *);
static char *base64_json_decode(const json_t *);
static uint64_t parse_number(const json_t *);
static void kv_handle_response(void *, const struct buffered_response *);
static int kv_watch_complete(void *, const char *, size_t);
static json_t *last_json_line(const char *);

static const struct kv_endpoint kv_endpoints[KV__MAX] = {
	[KV_GET] = { "/v3/kv/range", compose_get, parse_get },
	[KV_CAS] = { "/v3/kv/txn", compose_cas, parse_cas },
	[KV_WATCH] = { "/v3/watch", compose_watch, parse_watch },
	[KV_GRANT] = { "/v3/lease/grant", compose_grant, parse_grant },
	[KV_KEEPALIVE] = { "/v3/lease/keepalive", compose_lease_id,
	    parse_keepalive },
	[KV_REVOKE] = { "/v3/lease/revoke", compose_lease_id, parse_empty },
};

struct kv *
kv_create(struct fetch *fetch, const char *addr,
    void (*result)(void *, const struct kv_result *), void *ctx)
{
	struct kv *kv;

	kv = mem_alloc(sizeof(*kv));
	kv->fetch = fetch;
	kv->result = result;
	kv->ctx = ctx;
	snprintf(kv->addr, sizeof(kv->addr), "%s", addr);
	return kv;
}

void
kv_destroy(struct kv *kv)
{
	free(kv);
}

uint64_t
kv_calls(const struct kv *kv)
{
	return __atomic_load_n(&kv->calls, __ATOMIC_RELAXED);
}

static json_t *
base64_json_string(const char *text)
{
	char *out = base64_encode(text, strlen(text));
	json_t *value = json_string(out);

	free(out);
	return value;
}

/* Returns the decoded text, to be freed, or NULL if missing or malformed. */
static char *
base64_json_decode(const json_t *value)
{
	const char *text = json_string_value(value);
	size_t len;

	return text == NULL ? NULL : base64_decode(text, &len);
}

/* The JSON gateway encodes 64-bit integers as strings. */
static uint64_t
parse_number(const json_t *value)
{
	if (json_is_integer(value))
		return (uint64_t)json_integer_value(value);
	if (!json_is_string(value))
		return 0;
	return strtoull(json_string_value(value), NULL, 10);
}

static json_t *
compose_get(const struct kv_op *op)
{
	return json_pack("{s:o}", "key", base64_json_string(op->key));
}

static json_t *
compose_cas(const struct kv_op *op)
{
	json_t *compare;
	json_t *put;

	compare = json_pack("{s:s,s:o,s:s,s:o}", "result", "EQUAL", "key",
	    base64_json_string(op->key), "target",
	    op->expected_revision == 0 ? "CREATE" : "MOD",
	    op->expected_revision == 0 ? "create_revision" : "mod_revision",
	    json_sprintf("%" PRIu64, op->expected_revision));
	put = json_pack("{s:o,s:o,s:o}", "key", base64_json_string(op->key),
	    "value", base64_json_string(op->value), "lease",
	    json_sprintf("%" PRIu64, op->lease_id));
	return json_pack("{s:[o],s:[{s:o}],s:[]}", "compare", compare,
	    "success", "requestPut", put, "failure");
}

static json_t *
compose_watch(const struct kv_op *op)
{
	return json_pack("{s:{s:o,s:o}}", "create_request", "key",
	    base64_json_string(op->key), "start_revision",
	    json_sprintf("%" PRIu64, op->expected_revision + 1));
}

static json_t *
compose_grant(const struct kv_op *op)
{
	return json_pack("{s:o}", "TTL", json_sprintf("%" PRIu64, op->ttl_s));
}

static json_t *
compose_lease_id(const struct kv_op *op)
{
	return json_pack("{s:o}", "ID", json_sprintf("%" PRIu64, op->lease_id));
}

static void
parse_get(const json_t *doc, struct kv_result *r, char **value)
{
	const json_t *kv = json_array_get(json_object_get(doc, "kvs"), 0);

	r->status = KV_ABSENT;
	if (kv == NULL)
		return;
	*value = base64_json_decode(json_object_get(kv, "value"));
	if (*value == NULL)
		*value = mem_strdup("");
	r->revision = parse_number(json_object_get(kv, "mod_revision"));
	r->status = KV_OK;
}

static void
parse_cas(const json_t *doc, struct kv_result *r, char **value)
{
	(void)value;
	r->status = KV_CONFLICT;
	if (!json_is_true(json_object_get(doc, "succeeded")))
		return;
	r->revision = parse_number(
	    json_object_get(json_object_get(doc, "header"), "revision"));
	r->status = KV_OK;
}

/*
 * A response without events, such as a watch cancelled after compaction,
 * gives KV_UNKNOWN, so that the key is read again.
 */
static void
parse_watch(const json_t *doc, struct kv_result *r, char **value)
{
	const json_t *result = json_object_get(doc, "result");
	const json_t *events = json_object_get(result, "events");
	const json_t *kv;

	r->status = KV_UNKNOWN;
	if (json_array_size(events) == 0)
		return;
	kv = json_object_get(
	    json_array_get(events, json_array_size(events) - 1), "kv");
	*value = base64_json_decode(json_object_get(kv, "value"));
	if (*value == NULL)
		return;
	r->revision = parse_number(json_object_get(kv, "mod_revision"));
	r->status = KV_OK;
}

static void
parse_grant(const json_t *doc, struct kv_result *r, char **value)
{
	(void)value;
	r->lease_id = parse_number(json_object_get(doc, "ID"));
	r->status = r->lease_id == 0 ? KV_UNKNOWN : KV_OK;
}

static void
parse_keepalive(const json_t *doc, struct kv_result *r, char **value)
{
	const json_t *result = json_object_get(doc, "result");

	(void)value;
	r->status = KV_UNKNOWN;
	if (result != NULL)
		r->status = parse_number(json_object_get(result, "TTL")) == 0
		    ? KV_ABSENT
		    : KV_OK;
}

static void
parse_empty(const json_t *doc, struct kv_result *r, char **value)
{
	(void)doc;
	(void)value;
	r->status = KV_OK;
}

/* Parses the last line; a watch sends one JSON object a line. */
static json_t *
last_json_line(const char *body)
{
	json_t *doc = NULL;
	json_t *next;
	size_t len;

	while (*body != '\0') {
		len = strcspn(body, "\n");
		next = json_loadb(body, len, 0, NULL);
		if (next != NULL) {
			json_decref(doc);
			doc = next;
		}
		body += len + (body[len] == '\n');
	}
	return doc;
}

static int
kv_watch_complete(void *arg, const char *body, size_t len)
{
	(void)arg;
	if (len == 0 || body[len - 1] != '\n')
		return 0;
	return strstr(body, "\"events\"") != NULL ||
	    strstr(body, "\"canceled\":true") != NULL;
}

static void
kv_handle_response(void *arg, const struct buffered_response *a)
{
	struct kv_call *call = arg;
	struct kv_result r;
	char *value = NULL;
	json_t *doc;

	memset(&r, 0, sizeof(r));
	r.id = call->id;
	r.kind = call->kind;
	r.status = KV_UNKNOWN;
	if (a->status == 200) {
		doc = last_json_line(a->body);
		if (doc != NULL)
			kv_endpoints[call->kind].parse(doc, &r, &value);
		json_decref(doc);
	} else if (call->kind == KV_KEEPALIVE && a->status == 404) {
		r.status = KV_ABSENT;
	} else if (call->kind == KV_WATCH && a->status == 0 && a->len != 0) {
		r.status = KV_ABSENT; /* timed out without a change */
	}
	r.value = value;
	call->kv->result(call->kv->ctx, &r);
	free(value);
	free(call);
}

void
kv_start_operation(struct kv *kv, struct kv_op *op)
{
	struct buffered_request spec;
	struct kv_call *call;
	json_t *doc;
	char url[ADDR_SIZE + 64];
	char *body;

	call = mem_alloc(sizeof(*call));
	call->kv = kv;
	call->id = op->id;
	call->kind = op->kind;
	__atomic_fetch_add(&kv->calls, 1, __ATOMIC_RELAXED);
	doc = kv_endpoints[op->kind].compose(op);
	body = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	snprintf(url, sizeof(url), "http://%s%s", kv->addr,
	    kv_endpoints[op->kind].path);
	memset(&spec, 0, sizeof(spec));
	spec.url = url;
	spec.method = "POST";
	spec.body = body;
	spec.connect_timeout_ms = KV_CONNECT_TIMEOUT_MSEC;
	spec.total_timeout_ms =
	    op->kind == KV_WATCH ? KV_WATCH_TIMEOUT_MSEC : KV_CALL_TIMEOUT_MSEC;
	spec.done = kv_handle_response;
	spec.is_complete = op->kind == KV_WATCH ? kv_watch_complete : NULL;
	spec.ctx = call;
	fetch_buffered_start(kv->fetch, &spec);
	free(body);
	kv_op_destroy(op);
}
