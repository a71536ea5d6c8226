#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "relay.h"

#define RELAY_CONNECT_MSEC 1000
#define RELAY_EVENT_MAX (4U << 20) /* bytes of one server-sent event */
#define RELAY_HEADERS_MAX 24
#define HEADER_SIZE 2048
#define RID_SIZE 48

struct relay {
	struct exchange *exchange;
	uint64_t fetch;
	uint32_t resume;
	int stream;
	int ok;	      /* status 200: the stream has events */
	int saw_done; /* the stream's end mark has come */
	char *buf;    /* incomplete event */
	size_t len;
	size_t size;
	void (*news)(void *, const struct gate_fetch *);
	void *ctx;
};

static void relay_release(void *);
static void relay_tell(
    struct relay *, enum fetch_kind, const struct fetch_event *);
static void relay_fail(struct relay *, enum fetch_phase);
static void relay_data(struct relay *, const char *, size_t);
static void relay_split(struct relay *);
static void relay_sse(struct relay *, const char *, size_t);
static void relay_rewrite(struct relay *, json_t *, struct part *);
static const char *relay_delta(const json_t *);
static void relay_usage(struct relay *, json_t *);
static char *compose_body(
    const struct exchange *, const struct gate_action *, size_t *);
static void compose_resume(
    const struct exchange *, json_t *, const struct gate_action *);
static size_t compose_headers(const struct exchange_info *,
    const struct gate_action *, char (*)[HEADER_SIZE], const char **);

static void
relay_release(void *arg)
{
	struct relay *r = arg;

	exchange_unref(r->exchange);
	free(r->buf);
	free(r);
}

static void
relay_tell(struct relay *r, enum fetch_kind kind, const struct fetch_event *ev)
{
	struct gate_fetch f;

	memset(&f, 0, sizeof(f));
	f.kind = kind;
	f.fetch = r->fetch;
	f.phase = PHASE_WRITTEN;
	f.status = ev->status;
	if (kind == FETCH_HEAD)
		f.payload = part_create(ev->status, ev->content_type, NULL, 0);
	r->news(r->ctx, &f);
}

static void
relay_fail(struct relay *r, enum fetch_phase phase)
{
	struct gate_fetch f;

	memset(&f, 0, sizeof(f));
	f.kind = FETCH_FAIL;
	f.fetch = r->fetch;
	f.phase = phase;
	r->news(r->ctx, &f);
}

/* Text generated in one chunk of a stream, or NULL. */
static const char *
relay_delta(const json_t *doc)
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

/* Adds the tokens of earlier attempts to what a resumed stream reports. */
static void
relay_usage(struct relay *r, json_t *doc)
{
	json_t *usage = json_object_get(doc, "usage");
	json_t *tokens = json_object_get(usage, "completion_tokens");

	if (r->resume == 0 || !json_is_integer(tokens))
		return;
	json_integer_set(tokens, json_integer_value(tokens) + r->resume);
}

/* One whole answer has one id, whichever attempts it came from. */
static void
relay_rewrite(struct relay *r, json_t *doc, struct part *p)
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
	relay_usage(r, doc);
	delta = relay_delta(doc);
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

/* Hands one whole server-sent event to the decider. */
static void
relay_sse(struct relay *r, const char *event, size_t len)
{
	static const char prefix[] = "data:";
	struct gate_fetch f;
	const char *text = event;
	struct part *p;
	json_t *doc;
	size_t left = len;

	memset(&f, 0, sizeof(f));
	p = part_create(0, "", event, len);
	if (len > sizeof(prefix) && memcmp(event, prefix, 5) == 0) {
		text += 5;
		left -= 5;
		while (left != 0 && *text == ' ') {
			text++;
			left--;
		}
		if (left >= 6 && memcmp(text, "[DONE]", 6) == 0)
			r->saw_done = 1;
		doc = json_loadb(text, left, 0, NULL);
		if (json_is_object(doc))
			relay_rewrite(r, doc, p);
		json_decref(doc);
	}
	f.kind = FETCH_DATA;
	f.fetch = r->fetch;
	f.tokens = p->text != NULL;
	f.bytes = p->len;
	f.payload = p;
	r->news(r->ctx, &f);
}

/* Events end with an empty line. */
static void
relay_split(struct relay *r)
{
	size_t start = 0;
	char *end;

	while (
	    (end = memmem(r->buf + start, r->len - start, "\n\n", 2)) != NULL) {
		relay_sse(
		    r, r->buf + start, (size_t)(end - (r->buf + start)) + 2);
		start = (size_t)(end - r->buf) + 2;
	}
	memmove(r->buf, r->buf + start, r->len - start);
	r->len -= start;
}

static void
relay_data(struct relay *r, const char *bytes, size_t len)
{
	struct gate_fetch f;

	if (!r->stream || !r->ok) {
		memset(&f, 0, sizeof(f));
		f.kind = FETCH_DATA;
		f.fetch = r->fetch;
		f.bytes = len;
		f.payload = part_create(0, "", bytes, len);
		r->news(r->ctx, &f);
		return;
	}
	if (r->len + len > RELAY_EVENT_MAX) {
		relay_fail(r, PHASE_BEGUN);
		return;
	}
	if (r->len + len > r->size) {
		r->size = 2 * (r->len + len);
		r->buf = mem_grow(r->buf, r->size, 1);
	}
	memcpy(r->buf + r->len, bytes, len);
	r->len += len;
	relay_split(r);
}

void
relay_event(void *unused, const struct fetch_event *ev)
{
	struct relay *r = ev->cookie;

	(void)unused;
	switch (ev->type) {
	case FETCH_EVENT_WRITING:
		relay_tell(r, FETCH_PHASE, ev);
		break;
	case FETCH_EVENT_HEAD:
		r->ok = ev->status == 200;
		relay_tell(r, FETCH_HEAD, ev);
		break;
	case FETCH_EVENT_DATA:
		relay_data(r, ev->bytes, ev->len);
		break;
	case FETCH_EVENT_END:
		/* A stream without its end mark was cut short. */
		if (r->stream && r->ok && !r->saw_done)
			relay_fail(r, PHASE_BEGUN);
		else
			relay_tell(r, FETCH_END, ev);
		break;
	case FETCH_EVENT_FAIL:
		if (ev->maybe_sent)
			relay_fail(r, PHASE_WRITTEN);
		else
			relay_fail(r,
			    ev->connected ? PHASE_CONNECTED : PHASE_CONNECTING);
		break;
	}
}

/* Continues from the prompt and the text that the caller already has. */
static void
compose_resume(
    const struct exchange *x, json_t *doc, const struct gate_action *act)
{
	static const char *const limits[] = { "max_tokens",
		"max_completion_tokens" };
	const struct exchange_info *info = exchange_info(x);
	const char *text = exchange_text(x);
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
		    json_integer_value(n) > (json_int_t)act->resume)
			json_integer_set(
			    n, json_integer_value(n) - act->resume);
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
	if (act->resume != 0)
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
    void (*news)(void *, const struct gate_fetch *), void *ctx)
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
	r->fetch = act->fetch;
	r->resume = act->resume;
	r->stream = info->req.stream;
	r->news = news;
	r->ctx = ctx;
	body = compose_body(x, act, &len);
	if (asprintf(&url, "http://%s%s", act->addr,
		info->kind == EXCHANGE_SERVICE ? info->target
					       : paths[info->kind]) == -1)
		url = mem_strdup("");
	compose_headers(info, act, lines, list);
	memset(&spec, 0, sizeof(spec));
	spec.id = act->fetch;
	spec.cookie = r;
	spec.release = relay_release;
	spec.url = url;
	spec.method = info->method;
	spec.headers = list;
	spec.body = body;
	spec.len = len;
	spec.at_most_once = act->once;
	spec.connect_ms = RELAY_CONNECT_MSEC;
	fetch_start(fetch, &spec);
	free(body);
	free(url);
}
