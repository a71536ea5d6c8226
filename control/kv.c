#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ask.h"
#include "base64.h"
#include "kv.h"
#include "mem.h"

#define KV_CONNECT_MSEC 400
#define KV_TOTAL_MSEC 1000
#define KV_WATCH_MSEC 25000

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
	enum kv_kind kind;
};

struct kv_verb {
	const char *path;
	json_t *(*compose)(const struct kv_op *);
	void (*parse)(const json_t *, struct kv_result *, char **);
};

static json_t *compose_get(const struct kv_op *);
static json_t *compose_cas(const struct kv_op *);
static json_t *compose_watch(const struct kv_op *);
static json_t *compose_grant(const struct kv_op *);
static json_t *compose_lease(const struct kv_op *);
static void parse_get(const json_t *, struct kv_result *, char **);
static void parse_cas(const json_t *, struct kv_result *, char **);
static void parse_watch(const json_t *, struct kv_result *, char **);
static void parse_grant(const json_t *, struct kv_result *, char **);
static void parse_keep(const json_t *, struct kv_result *, char **);
static void parse_none(const json_t *, struct kv_result *, char **);
static json_t *encode64(const char *);
static char *decode64(const json_t *);
static uint64_t number(const json_t *);
static void kv_done(void *, const struct buffered_response *);
static int kv_watch_enough(void *, const char *, size_t);
static json_t *last_line(const char *);

static const struct kv_verb verbs[KV__MAX] = {
	[KV_GET] = { "/v3/kv/range", compose_get, parse_get },
	[KV_CAS] = { "/v3/kv/txn", compose_cas, parse_cas },
	[KV_WATCH] = { "/v3/watch", compose_watch, parse_watch },
	[KV_GRANT] = { "/v3/lease/grant", compose_grant, parse_grant },
	[KV_KEEP] = { "/v3/lease/keepalive", compose_lease, parse_keep },
	[KV_REVOKE] = { "/v3/lease/revoke", compose_lease, parse_none },
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
encode64(const char *text)
{
	char *out = base64_encode(text, strlen(text));
	json_t *value = json_string(out);

	free(out);
	return value;
}

/* Decoded text, NULL when it is missing or malformed; the caller frees it. */
static char *
decode64(const json_t *value)
{
	const char *text = json_string_value(value);
	size_t len;

	return text == NULL ? NULL : base64_decode(text, &len);
}

/* 64-bit numbers travel as strings. */
static uint64_t
number(const json_t *value)
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
	return json_pack("{s:o}", "key", encode64(op->key));
}

static json_t *
compose_cas(const struct kv_op *op)
{
	json_t *compare;
	json_t *put;

	compare = json_pack("{s:s,s:o,s:s,s:o}", "result", "EQUAL", "key",
	    encode64(op->key), "target", op->expect == 0 ? "CREATE" : "MOD",
	    op->expect == 0 ? "create_revision" : "mod_revision",
	    json_sprintf("%" PRIu64, op->expect));
	put = json_pack("{s:o,s:o,s:o}", "key", encode64(op->key), "value",
	    encode64(op->value), "lease", json_sprintf("%" PRIu64, op->lease));
	return json_pack("{s:[o],s:[{s:o}],s:[]}", "compare", compare,
	    "success", "requestPut", put, "failure");
}

static json_t *
compose_watch(const struct kv_op *op)
{
	return json_pack("{s:{s:o,s:o}}", "create_request", "key",
	    encode64(op->key), "start_revision",
	    json_sprintf("%" PRIu64, op->expect + 1));
}

static json_t *
compose_grant(const struct kv_op *op)
{
	return json_pack("{s:o}", "TTL", json_sprintf("%" PRIu64, op->ttl_s));
}

static json_t *
compose_lease(const struct kv_op *op)
{
	return json_pack("{s:o}", "ID", json_sprintf("%" PRIu64, op->lease));
}

static void
parse_get(const json_t *doc, struct kv_result *r, char **value)
{
	const json_t *kv = json_array_get(json_object_get(doc, "kvs"), 0);

	r->status = KV_ABSENT;
	if (kv == NULL)
		return;
	*value = decode64(json_object_get(kv, "value"));
	if (*value == NULL)
		*value = mem_strdup("");
	r->revision = number(json_object_get(kv, "mod_revision"));
	r->status = KV_OK;
}

static void
parse_cas(const json_t *doc, struct kv_result *r, char **value)
{
	(void)value;
	r->status = KV_CONFLICT;
	if (!json_is_true(json_object_get(doc, "succeeded")))
		return;
	r->revision =
	    number(json_object_get(json_object_get(doc, "header"), "revision"));
	r->status = KV_OK;
}

/* A watch that was cancelled, as after compaction, is read anew. */
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
	*value = decode64(json_object_get(kv, "value"));
	if (*value == NULL)
		return;
	r->revision = number(json_object_get(kv, "mod_revision"));
	r->status = KV_OK;
}

static void
parse_grant(const json_t *doc, struct kv_result *r, char **value)
{
	(void)value;
	r->lease = number(json_object_get(doc, "ID"));
	r->status = r->lease == 0 ? KV_UNKNOWN : KV_OK;
}

static void
parse_keep(const json_t *doc, struct kv_result *r, char **value)
{
	const json_t *result = json_object_get(doc, "result");

	(void)value;
	r->status = KV_UNKNOWN;
	if (result != NULL)
		r->status = number(json_object_get(result, "TTL")) == 0
		    ? KV_ABSENT
		    : KV_OK;
}

static void
parse_none(const json_t *doc, struct kv_result *r, char **value)
{
	(void)doc;
	(void)value;
	r->status = KV_OK;
}

/* A watch answers with one JSON object a line; the last one counts. */
static json_t *
last_line(const char *body)
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
kv_watch_enough(void *arg, const char *body, size_t len)
{
	(void)arg;
	if (len == 0 || body[len - 1] != '\n')
		return 0;
	return strstr(body, "\"events\"") != NULL ||
	    strstr(body, "\"canceled\":true") != NULL;
}

static void
kv_done(void *arg, const struct buffered_response *a)
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
		doc = last_line(a->body);
		if (doc != NULL)
			verbs[call->kind].parse(doc, &r, &value);
		json_decref(doc);
	} else if (call->kind == KV_KEEP && a->status == 404) {
		r.status = KV_ABSENT;
	} else if (call->kind == KV_WATCH && a->status == 0 && a->len != 0) {
		r.status = KV_ABSENT; /* nothing changed so far */
	}
	r.value = value;
	call->kv->result(call->kv->ctx, &r);
	free(value);
	free(call);
}

void
kv_start(struct kv *kv, struct kv_op *op)
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
	doc = verbs[op->kind].compose(op);
	body = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	snprintf(
	    url, sizeof(url), "http://%s%s", kv->addr, verbs[op->kind].path);
	memset(&spec, 0, sizeof(spec));
	spec.url = url;
	spec.method = "POST";
	spec.body = body;
	spec.connect_ms = KV_CONNECT_MSEC;
	spec.total_ms = op->kind == KV_WATCH ? KV_WATCH_MSEC : KV_TOTAL_MSEC;
	spec.done = kv_done;
	spec.is_complete = op->kind == KV_WATCH ? kv_watch_enough : NULL;
	spec.ctx = call;
	fetch_buffered_start(kv->fetch, &spec);
	free(body);
	kv_op_destroy(op);
}
