/* Parses and validates a caller's HTTP request into an exchange. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catalogue.h"
#include "clock.h"
#include "frontend_int.h"
#include "hash.h"
#include "mem.h"

#define TOKENS_DEFAULT 512
#define TOKENS_MAX 1000000
#define PROMPT_PREFIX_BYTES 256
#define RID_SEQ_BITS 36
#define DEADLINE_MAX_MSEC (48ULL * 3600ULL * 1000ULL)
#define SERVICE_DEADLINE_DEFAULT_NS (5 * NSEC_PER_SEC)

static const char *const class_names[CLASS__MAX] = {
	[CLASS_INTERACTIVE] = "interactive",
	[CLASS_STANDARD] = "standard",
	[CLASS_OVERNIGHT] = "overnight",
};

static const uint64_t class_deadlines_ns[CLASS__MAX] = {
	[CLASS_INTERACTIVE] = 10 * NSEC_PER_SEC,
	[CLASS_STANDARD] = 60 * NSEC_PER_SEC,
	[CLASS_OVERNIGHT] = 8 * 3600ULL * NSEC_PER_SEC,
};

/* Request headers forwarded to services; all others are dropped. */
static const char *const forwarded_headers[] = { "Content-Type", "Accept",
	"Authorization", "Idempotency-Key", "Accept-Language", "Cookie" };

static int parse_job_class(
    struct httpd_request *, struct gate_request *, const char **);
static int parse_deadline(
    struct httpd_request *, struct gate_request *, const char **);
static int parse_model(struct exchange_info *, const char **);
static uint32_t parse_token_limit(const json_t *);
static uint64_t hash_prompt_prefix(const struct exchange_info *);
static char *collect_headers(struct httpd_request *);
static struct exchange *parse_service(
    struct frontend *, struct httpd_request *, const char **);
static struct exchange *parse_generation(struct frontend *,
    struct httpd_request *, enum exchange_kind, const char **);
static uint64_t next_request_id(struct frontend *);

static uint64_t
next_request_id(struct frontend *f)
{
	uint64_t seq;

	seq = __atomic_add_fetch(&f->rid_next, 1, __ATOMIC_RELAXED);
	return f->rid_base | (seq & ((1ULL << RID_SEQ_BITS) - 1));
}

static int
parse_job_class(
    struct httpd_request *req, struct gate_request *out, const char **why)
{
	const char *value = httpd_request_header(req, "X-Spindle-Class");
	int i;

	if (value == NULL) {
		out->job_class =
		    out->stream ? CLASS_INTERACTIVE : CLASS_STANDARD;
		return 0;
	}
	for (i = 0; i < CLASS__MAX; i++) {
		if (strcmp(class_names[i], value) == 0) {
			out->job_class = (enum job_class)i;
			return 0;
		}
	}
	*why = "X-Spindle-Class must be interactive, standard or overnight";
	return -1;
}

static int
parse_deadline(
    struct httpd_request *req, struct gate_request *out, const char **why)
{
	const char *value = httpd_request_header(req, "X-Spindle-Deadline-Ms");
	unsigned long long ms;
	char *end;

	if (value == NULL) {
		out->deadline =
		    clock_mono() + class_deadlines_ns[out->job_class];
		return 0;
	}
	ms = strtoull(value, &end, 10);
	if (value[0] < '0' || value[0] > '9' || *end != '\0' ||
	    ms > DEADLINE_MAX_MSEC) {
		*why = "X-Spindle-Deadline-Ms must be whole milliseconds, at "
		       "most 48 hours";
		return -1;
	}
	out->deadline = clock_mono() + ms * NSEC_PER_MSEC;
	return 0;
}

static uint32_t
parse_token_limit(const json_t *doc)
{
	const json_t *n = json_object_get(doc, "max_tokens");
	json_int_t tokens = TOKENS_DEFAULT;

	if (n == NULL)
		n = json_object_get(doc, "max_completion_tokens");
	if (json_is_integer(n))
		tokens = json_integer_value(n);
	if (tokens < 1)
		return 1;
	return tokens > TOKENS_MAX ? TOKENS_MAX : (uint32_t)tokens;
}

/*
 * Hashes the start of the prompt, so that requests with equal prefixes can go
 * to a replica whose prefix cache holds them.  Returns 0 without a prompt.
 */
static uint64_t
hash_prompt_prefix(const struct exchange_info *info)
{
	const json_t *text;
	size_t len;

	text = json_object_get(info->doc, "prompt");
	if (info->kind == EXCHANGE_CHAT)
		text = json_object_get(
		    json_array_get(json_object_get(info->doc, "messages"), 0),
		    "content");
	if (!json_is_string(text))
		return 0;
	len = json_string_length(text);
	if (len > PROMPT_PREFIX_BYTES)
		len = PROMPT_PREFIX_BYTES;
	return hash_bytes(json_string_value(text), len) ^
	    hash_text(info->req.model);
}

static int
parse_model(struct exchange_info *info, const char **why)
{
	const json_t *name = json_object_get(info->doc, "model");
	const json_t *prompt;

	if (!json_is_object(info->doc)) {
		*why = "the body is not a JSON object";
		return -1;
	}
	if (!json_is_string(name)) {
		*why = "model is missing or not a string";
		return -1;
	}
	prompt = json_object_get(info->doc, "messages");
	if (info->kind == EXCHANGE_CHAT &&
	    (!json_is_array(prompt) || json_array_size(prompt) == 0)) {
		*why = "messages is missing or not an array of messages";
		return -1;
	}
	prompt = json_object_get(info->doc, "prompt");
	if (info->kind == EXCHANGE_COMPLETION && !json_is_string(prompt)) {
		*why = "prompt is missing or not a string";
		return -1;
	}
	if (catalogue_find_model(json_string_value(name), info->req.model,
		info->req.adapter) == -1)
		snprintf(info->req.model, NAME_SIZE, "%.*s", NAME_SIZE - 1,
		    json_string_value(name));
	return 0;
}

static struct exchange *
parse_generation(struct frontend *f, struct httpd_request *req,
    enum exchange_kind kind, const char **why)
{
	struct exchange_info info;

	memset(&info, 0, sizeof(info));
	info.kind = kind;
	info.doc = json_loadb(req->body, req->len, 0, NULL);
	info.req.stream = json_is_true(json_object_get(info.doc, "stream"));
	if (parse_model(&info, why) == -1 ||
	    parse_job_class(req, &info.req, why) == -1 ||
	    parse_deadline(req, &info.req, why) == -1) {
		json_decref(info.doc);
		return NULL;
	}
	info.req.rid = next_request_id(f);
	info.req.max_tokens = parse_token_limit(info.doc);
	info.req.prefix_hash = hash_prompt_prefix(&info);
	info.req.repeatable = 1;
	snprintf(info.method, sizeof(info.method), "POST");
	return exchange_create(&info);
}

static char *
collect_headers(struct httpd_request *req)
{
	const char *value;
	char *text = NULL;
	size_t len;
	size_t i;
	FILE *f;

	f = open_memstream(&text, &len);
	for (i = 0; i < nitems(forwarded_headers); i++) {
		value = httpd_request_header(req, forwarded_headers[i]);
		if (value != NULL)
			fprintf(f, "%s: %s\n", forwarded_headers[i], value);
	}
	fclose(f);
	return text;
}

static struct exchange *
parse_service(struct frontend *f, struct httpd_request *req, const char **why)
{
	struct exchange_info info;

	memset(&info, 0, sizeof(info));
	info.kind = EXCHANGE_SERVICE;
	if (catalogue_find_service(req->path, req->method, info.req.service,
		&info.req.repeatable) == -1) {
		*why = NULL;
		return NULL;
	}
	info.req.job_class = CLASS_INTERACTIVE;
	if (parse_deadline(req, &info.req, why) == -1)
		return NULL;
	if (httpd_request_header(req, "X-Spindle-Deadline-Ms") == NULL)
		info.req.deadline = clock_mono() + SERVICE_DEADLINE_DEFAULT_NS;
	info.req.rid = next_request_id(f);
	snprintf(info.method, sizeof(info.method), "%s", req->method);
	if (asprintf(&info.target, "%s%s%s", req->path,
		req->query[0] != '\0' ? "?" : "", req->query) == -1)
		info.target = mem_strdup(req->path);
	info.headers = collect_headers(req);
	info.body = mem_alloc(req->len + 1);
	memcpy(info.body, req->body, req->len);
	info.len = req->len;
	return exchange_create(&info);
}

/*
 * Returns the exchange.  On error returns NULL with *why set to the reason,
 * or to NULL when no service is declared for the path.
 */
struct exchange *
frontend_parse_request(
    struct frontend *f, struct httpd_request *req, const char **why)
{
	if (strcmp(req->path, "/v1/chat/completions") == 0)
		return parse_generation(f, req, EXCHANGE_CHAT, why);
	if (strcmp(req->path, "/v1/completions") == 0)
		return parse_generation(f, req, EXCHANGE_COMPLETION, why);
	return parse_service(f, req, why);
}
