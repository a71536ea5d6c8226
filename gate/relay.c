#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "mem.h"
#include "notice_fields.h"
#include "relay.h"

#define RELAY_CONNECT_TIMEOUT_MSEC 1000
#define RELAY_EVENT_MAX (4U << 20) /* bytes in one server-sent event */
#define RELAY_HEADERS_MAX 24
#define HEADER_SIZE 2048
#define NOTICE_NAME_SIZE 32 /* longer names are other fields */
#define NOTICE_VALUE_SIZE 256
#define STATUS_UNAVAILABLE 503
#define RETRY_AFTER_DEFAULT_S 1
#define RID_SIZE 48

struct relay {
	struct exchange *exchange;
	uint64_t fetch;
	char target[NAME_SIZE]; /* the backend server */
	uint32_t resumed_tokens;
	int stream;
	int status_ok; /* status 200: the body holds events */
	int seen_done; /* [DONE] has been received */
	char *buf;     /* incomplete event */
	size_t len;
	size_t size;
	void (*on_event)(void *, const struct gate_fetch_event *);
	void *ctx;
};

static void relay_free(void *);
static void relay_report(
    struct relay *, enum fetch_event_kind, const struct fetch_event *);
static void relay_report_head(struct relay *, const struct fetch_event *);
static void relay_read_notice(const char *, struct notice_fields *);
static void relay_report_failure(struct relay *, enum fetch_phase);
static void relay_handle_data(struct relay *, const char *, size_t);
static void relay_split_events(struct relay *);
static void relay_handle_sse_event(struct relay *, const char *, size_t);
static void relay_rewrite_chunk(
    struct relay *, json_t *, struct response_part *);
static const char *relay_chunk_text(const json_t *);
static void relay_correct_usage(struct relay *, json_t *);
static char *compose_body(
    const struct exchange *, const struct gate_action *, size_t *);
static void compose_resume(
    const struct exchange *, json_t *, const struct gate_action *);
static size_t compose_headers(const struct exchange_info *,
    const struct gate_action *, char (*)[HEADER_SIZE], const char **);

static void
relay_free(void *arg)
{
	struct relay *r = arg;

	exchange_unref(r->exchange);
	free(r->buf);
	free(r);
}

static void
relay_report(
    struct relay *r, enum fetch_event_kind kind, const struct fetch_event *ev)
{
	struct gate_fetch_event f;

	memset(&f, 0, sizeof(f));
	f.kind = kind;
	f.fetch_id = r->fetch;
	f.phase = PHASE_REQUEST_WRITTEN;
	f.status = ev->status;
	r->on_event(r->ctx, &f);
}

/* Reads the fields of a head. */
static void
relay_read_notice(const char *line, struct notice_fields *out)
{
	char name[NOTICE_NAME_SIZE];
	char value[NOTICE_VALUE_SIZE];
	const char *s;
	size_t len;

	for (; *line != '\0'; line += len + (line[len] == '\n')) {
		len = strcspn(line, "\n");
		s = memchr(line, ':', len);
		if (s == NULL || (size_t)(s - line) >= sizeof(name))
			continue;
		snprintf(name, sizeof(name), "%.*s", (int)(s - line), line);
		s++;
		s += strspn(s, " \t");
		snprintf(
		    value, sizeof(value), "%.*s", (int)strcspn(s, "\r\n"), s);
		notice_fields_add(out, name, value);
	}
}

/* Reports a head, with what the backend server says of itself in it. */
static void
relay_report_head(struct relay *r, const struct fetch_event *ev)
{
	struct notice_fields notice = { 0 };
	struct log_subject about = { 0 };
	struct gate_fetch_event f = { 0 };
	struct response_part *p;

	relay_read_notice(ev->fields, &notice);
	notice_fields_finish(&notice, ev->status);
	if (notice.unknown != NULL) {
		about.request = exchange_info(r->exchange)->req.rid;
		about.backend = r->target;
		log_event(LOG_REPLICA_NOTICE_BAD, &about, "field=%s status=%d",
		    notice.unknown, ev->status);
	}
	p = response_part_create(ev->status, ev->content_type, NULL, 0);
	if (ev->status == STATUS_UNAVAILABLE) {
		p->retry_after_s =
		    (notice.closed_ns + NSEC_PER_SEC - 1) / NSEC_PER_SEC;
		if (p->retry_after_s == 0)
			p->retry_after_s = RETRY_AFTER_DEFAULT_S;
	}
	f.kind = FETCH_HEAD;
	f.fetch_id = r->fetch;
	f.phase = PHASE_REQUEST_WRITTEN;
	f.status = ev->status;
	f.leaving = notice.leaving;
	f.closed_ns = notice.closed_ns;
	f.limit_per_s = notice.limit_per_s;
	f.limit_is_bad = notice.limit_is_bad;
	f.payload = p;
	r->on_event(r->ctx, &f);
}

static void
relay_report_failure(struct relay *r, enum fetch_phase phase)
{
	struct gate_fetch_event f;

	memset(&f, 0, sizeof(f));
	f.kind = FETCH_FAILED;
	f.fetch_id = r->fetch;
	f.phase = phase;
	r->on_event(r->ctx, &f);
}

/* Returns the generated text of one stream chunk, or NULL. */
static const char *
relay_chunk_text(const json_t *doc)
{
	const json_t *choice;
	const json_t *delta;
	const json_t *text;

	choice = json_array_get(json_object_get(doc, "choices"), 0);
	text = json_object_get(choice, "text");
	delta = json_object_get(choice, "delta");
	if (text == NULL)
		text = json_object_get(delta, "content");
	if (!json_is_string(text) || json_string_length(text) == 0)
		return NULL;
	return json_string_value(text);
}

/* Adds the tokens of earlier attempts to the usage of a resumed stream. */
static void
relay_correct_usage(struct relay *r, json_t *doc)
{
	json_t *usage = json_object_get(doc, "usage");
	json_t *tokens = json_object_get(usage, "completion_tokens");

	if (r->resumed_tokens == 0 || !json_is_integer(tokens))
		return;
	json_integer_set(
	    tokens, json_integer_value(tokens) + r->resumed_tokens);
}

/*
 * Replaces the backend server's id by one derived from the request, so that
 * all chunks of a response share an id across attempts, and corrects usage.
 */
static void
relay_rewrite_chunk(struct relay *r, json_t *doc, struct response_part *p)
{
	const struct exchange_info *info = exchange_info(r->exchange);
	const char *delta;
	char id[RID_SIZE];
	char *dump;
	int n;

	snprintf(id, sizeof(id), "%s-%016llx",
	    info->kind == EXCHANGE_CHAT ? "chatcmpl" : "cmpl",
	    (unsigned long long)info->req.rid);
	json_object_set_new(doc, "id", json_string(id));
	relay_correct_usage(r, doc);
	delta = relay_chunk_text(doc);
	if (delta != NULL)
		p->text = mem_strdup(delta);
	dump = json_dumps(doc, JSON_COMPACT);
	if (dump == NULL)
		return;
	free(p->bytes);
	p->len = strlen(dump) + sizeof("data: \n\n") - 1;
	p->bytes = mem_alloc(p->len + 1);
	n = snprintf(p->bytes, p->len + 1, "data: %s\n\n", dump);
	p->len = n < 0 ? 0 : (size_t)n;
	free(dump);
}

/* Passes one complete server-sent event to the gate loop. */
static void
relay_handle_sse_event(struct relay *r, const char *event, size_t len)
{
	static const char prefix[] = "data:";
	struct gate_fetch_event f;
	const char *text = event;
	struct response_part *p;
	json_t *doc;
	size_t left = len;

	memset(&f, 0, sizeof(f));
	p = response_part_create(0, "", event, len);
	if (len > sizeof(prefix) && memcmp(event, prefix, 5) == 0) {
		text += 5;
		left -= 5;
		while (left != 0 && *text == ' ') {
			text++;
			left--;
		}
		if (left >= 6 && memcmp(text, "[DONE]", 6) == 0)
			r->seen_done = 1;
		doc = json_loadb(text, left, 0, NULL);
		if (json_is_object(doc))
			relay_rewrite_chunk(r, doc, p);
		json_decref(doc);
	}
	f.kind = FETCH_DATA;
	f.fetch_id = r->fetch;
	f.tokens = p->text != NULL;
	f.bytes = p->len;
	f.payload = p;
	r->on_event(r->ctx, &f);
}

/* Splits the buffer at empty lines, which end server-sent events. */
static void
relay_split_events(struct relay *r)
{
	size_t start = 0;
	char *end;

	while (!r->seen_done &&
	    (end = memmem(r->buf + start, r->len - start, "\n\n", 2)) != NULL) {
		relay_handle_sse_event(
		    r, r->buf + start, (size_t)(end - (r->buf + start)) + 2);
		start = (size_t)(end - r->buf) + 2;
	}
	memmove(r->buf, r->buf + start, r->len - start);
	r->len -= start;
}

static void
relay_handle_data(struct relay *r, const char *bytes, size_t len)
{
	struct gate_fetch_event f;

	if (!r->stream || !r->status_ok) {
		memset(&f, 0, sizeof(f));
		f.kind = FETCH_DATA;
		f.fetch_id = r->fetch;
		f.bytes = len;
		f.payload = response_part_create(0, "", bytes, len);
		r->on_event(r->ctx, &f);
		return;
	}
	if (r->seen_done)
		return; /* no part of the stream */
	if (r->len + len > RELAY_EVENT_MAX) {
		relay_report_failure(r, PHASE_RESPONSE_STARTED);
		return;
	}
	if (r->len + len > r->size) {
		r->size = 2 * (r->len + len);
		r->buf = mem_grow(r->buf, r->size, 1);
	}
	memcpy(r->buf + r->len, bytes, len);
	r->len += len;
	relay_split_events(r);
}

void
relay_handle_fetch_event(void *unused, const struct fetch_event *ev)
{
	struct relay *r = ev->cookie;

	(void)unused;
	switch (ev->type) {
	case FETCH_EVENT_WRITING:
		relay_report(r, FETCH_PHASE, ev);
		break;
	case FETCH_EVENT_HEAD:
		r->status_ok = ev->status == 200;
		relay_report_head(r, ev);
		break;
	case FETCH_EVENT_DATA:
		relay_handle_data(r, ev->bytes, ev->len);
		break;
	case FETCH_EVENT_END:
		/* A stream that ends without [DONE] is truncated. */
		if (r->stream && r->status_ok && !r->seen_done)
			relay_report_failure(r, PHASE_RESPONSE_STARTED);
		else
			relay_report(r, FETCH_END, ev);
		break;
	case FETCH_EVENT_FAIL:
		if (r->seen_done)
			relay_report(r, FETCH_END, ev);
		else if (ev->maybe_sent)
			relay_report_failure(r, PHASE_REQUEST_WRITTEN);
		else
			relay_report_failure(r,
			    ev->connected ? PHASE_CONNECTED : PHASE_CONNECTING);
		break;
	}
}

/*
 * Appends the text that the caller already has to the prompt and lowers the
 * token limit, so that generation continues where the last attempt stopped.
 */
static void
compose_resume(
    const struct exchange *x, json_t *doc, const struct gate_action *act)
{
	static const char *const limits[] = { "max_tokens",
		"max_completion_tokens" };
	const struct exchange_info *info = exchange_info(x);
	const char *text = exchange_generated_text(x);
	json_t *messages;
	json_t *n;
	size_t i;

	if (info->kind == EXCHANGE_CHAT) {
		messages = json_object_get(doc, "messages");
		json_array_append_new(messages,
		    json_pack(
			"{s:s,s:s}", "role", "assistant", "content", text));
		json_object_set_new(doc, "continue_final_message", json_true());
		json_object_set_new(doc, "add_generation_prompt", json_false());
	} else {
		json_object_set_new(doc, "prompt",
		    json_sprintf("%s%s",
			json_string_value(json_object_get(doc, "prompt")),
			text));
	}
	for (i = 0; i < nitems(limits); i++) {
		n = json_object_get(doc, limits[i]);
		if (json_is_integer(n) &&
		    json_integer_value(n) > (json_int_t)act->resume_tokens)
			json_integer_set(
			    n, json_integer_value(n) - act->resume_tokens);
	}
}

static char *
compose_body(
    const struct exchange *x, const struct gate_action *act, size_t *len)
{
	const struct exchange_info *info = exchange_info(x);
	json_t *doc;
	char *text;

	if (info->kind == EXCHANGE_SERVICE) {
		*len = info->len;
		text = mem_alloc(info->len + 1);
		if (info->len != 0)
			memcpy(text, info->body, info->len);
		return text;
	}
	doc = json_deep_copy(info->doc);
	json_object_set_new(doc, "model",
	    json_string(info->req.adapter[0] != '\0' ? info->req.adapter
						     : info->req.model));
	json_object_set_new(doc, "priority", json_integer(info->req.job_class));
	if (act->resume_tokens != 0)
		compose_resume(x, doc, act);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	*len = text == NULL ? 0 : strlen(text);
	return text;
}

static size_t
compose_headers(const struct exchange_info *info, const struct gate_action *act,
    char (*lines)[HEADER_SIZE], const char **list)
{
	const char *p = info->headers;
	size_t len;
	size_t n = 0;

	snprintf(lines[n], HEADER_SIZE, "X-Request-Id: %016llx-%u",
	    (unsigned long long)info->req.rid, act->attempt);
	list[n] = lines[n];
	n++;
	if (info->kind != EXCHANGE_SERVICE) {
		list[n++] = "Content-Type: application/json";
		list[n] = NULL;
		return n;
	}
	while (p != NULL && *p != '\0' && n < RELAY_HEADERS_MAX - 1) {
		len = strcspn(p, "\n");
		snprintf(lines[n], HEADER_SIZE, "%.*s", (int)len, p);
		list[n] = lines[n];
		n++;
		p += len + (p[len] == '\n');
	}
	list[n] = NULL;
	return n;
}

void
relay_start(struct fetch *fetch, struct exchange *x,
    const struct gate_action *act,
    void (*on_event)(void *, const struct gate_fetch_event *), void *ctx)
{
	static const char *const paths[] = {
		[EXCHANGE_CHAT] = "/v1/chat/completions",
		[EXCHANGE_COMPLETION] = "/v1/completions",
	};
	const struct exchange_info *info = exchange_info(x);
	char lines[RELAY_HEADERS_MAX][HEADER_SIZE];
	const char *list[RELAY_HEADERS_MAX + 1];
	struct fetch_spec spec;
	struct relay *r;
	char *body;
	char *url = NULL;
	size_t len;

	r = mem_alloc(sizeof(*r));
	r->exchange = x;
	exchange_ref(x);
	r->fetch = act->fetch_id;
	memcpy(r->target, act->target, sizeof(r->target));
	r->resumed_tokens = act->resume_tokens;
	r->stream = info->req.stream;
	r->on_event = on_event;
	r->ctx = ctx;
	body = compose_body(x, act, &len);
	if (asprintf(&url, "http://%s%s", act->addr,
		info->kind == EXCHANGE_SERVICE ? info->target
					       : paths[info->kind]) == -1)
		url = mem_strdup("");
	compose_headers(info, act, lines, list);
	memset(&spec, 0, sizeof(spec));
	spec.id = act->fetch_id;
	spec.cookie = r;
	spec.release = relay_free;
	spec.url = url;
	spec.method = info->method;
	spec.headers = list;
	spec.body = body;
	spec.len = len;
	/* Answers bear no id: a late one would pass for the next. */
	spec.own_connection = 1;
	spec.connect_timeout_ms = RELAY_CONNECT_TIMEOUT_MSEC;
	fetch_start(fetch, &spec);
	free(body);
	free(url);
}
