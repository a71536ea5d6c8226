/* Calls to the platform's key-value store, and whether it is available. */
#include <stdlib.h>
#include <string.h>

#include "loader_io.h"
#include "mem.h"
#include "peers.h"
#include "session.h"
#include "session_int.h"
#include "stream_io.h"

#define CALL_TIMEOUT_S 1.5
/* A watch may hang; a cheap call shows whether the store answers. */
#define PROBE_TIMEOUT_S 0.6
#define PROBE_KEY STORE_KEY_PREFIX "probe/"

/* A pending call. */
struct call {
	struct session *s;
	uint64_t sent_at;
	session_callback answer;
	void *ctx;
	uint64_t era; /* that the answer names */
};

static void on_probe_answer(void *, int, uint64_t, const char *, size_t);
static void on_call_head(void *, const struct http_head *);
static void note_era(struct session *, uint64_t);
static void on_call_answer(void *, int, const char *, size_t);
static void record_answer(struct session *, uint64_t, int);
static void on_write_answer(void *, int, uint64_t, const char *, size_t);
static void on_op_answer(void *, int, uint64_t, const char *, size_t);

/* A pending operation. */
struct op_call {
	struct session *s;
	struct kv_op *op;
	void (*result)(void *, const struct kv_result *);
	void *ctx;
};

struct write_call {
	void (*result)(void *, int);
	void *ctx;
};

void
session_call(struct session *s, struct store_request *sc, double timeout_s,
    session_callback answer, void *ctx)
{
	struct query_spec spec = { 0 };
	struct buf out = { 0 };
	struct call *c;
	size_t len = sc->body == NULL ? 0 : strlen(sc->body);

	c = mem_alloc(sizeof(*c));
	c->s = s;
	c->sent_at = s->e->now;
	c->answer = answer;
	c->ctx = ctx;
	s->ncalls++;
	buf_printf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", sc->method, sc->path,
	    s->e->boot.store);
	if (sc->body != NULL)
		buf_add_string(&out, "Content-Type: application/json\r\n");
	if (sc->body != NULL || strcmp(sc->method, "GET") != 0)
		buf_printf(&out, "Content-Length: %zu\r\n", len);
	buf_add_string(&out, "\r\n");
	if (len != 0)
		buf_add(&out, sc->body, len);
	spec.pool = s->e->store;
	spec.addr = s->e->boot.store;
	spec.request = &out;
	spec.send_by = TIME_NEVER;
	spec.timeout_s = timeout_s;
	spec.head = on_call_head;
	spec.callback = on_call_answer;
	spec.ctx = c;
	query_send(s->e, &spec);
	buf_free(&out);
	store_request_clear(sc);
}

static void
on_call_head(void *ctx, const struct http_head *h)
{
	struct call *c = ctx;

	c->era = store_response_era(h);
}

static void
on_call_answer(void *ctx, int status, const char *body, size_t len)
{
	struct call *c = ctx;
	struct session *s = c->s;

	if (!s->closing && c->era < s->era && c->era != 0) {
		status = 0;
	} else if (!s->closing) {
		record_answer(s, c->sent_at, status);
		if (c->era > s->era)
			note_era(s, c->era);
	}
	c->answer(c->ctx, status, c->era, body, len);
	free(c);
}

/*
 * The service has come back from an older copy.  Entries that the copy lacks
 * are written again, as after an outage.
 */
static void
note_era(struct session *s, uint64_t era)
{
	uint64_t was = s->era;

	s->era = era;
	loader_io_store_era(s->e, era);
	peers_store_era(s->e->peers, era);
	stream_io_store_era(s->e, era);
	if (was == 0)
		return;
	log_event(LOG_KV_RESTORED, NULL, "era=%llu was=%llu",
	    (unsigned long long)era, (unsigned long long)was);
	directory_set_service_up(&s->e->dir, s->e->now, 0);
	directory_set_service_up(&s->e->dir, s->e->now, 1);
	lists_restart(s);
}

/*
 * Updates the availability of the store.  429 and 503 count as failures, since
 * the store did nothing.  A call that was lost although the store has answered
 * since it was sent, such as an old watch, says nothing of the store.
 */
static void
record_answer(struct session *s, uint64_t sent_at, int status)
{
	int available = status != 0 && status != 429 && status != 503;

	if (status == 0 && sent_at < s->answered_at)
		return;
	if (status == 0)
		s->unanswered_at = s->e->now;
	if (available) {
		s->failures = 0;
		s->answered_at = s->e->now;
		if (!s->up)
			log_event(LOG_KV_UP, NULL, "status=%d", status);
		s->up = 1;
		directory_set_service_up(&s->e->dir, s->e->now, 1);
		return;
	}
	if (++s->failures < store_check_failures_max(&s->check) || !s->up)
		return;
	s->up = 0;
	log_event(LOG_KV_DOWN, NULL, "status=%d calls_in_row=%u", status,
	    s->failures);
	directory_set_service_up(&s->e->dir, s->e->now, 0);
}

static void
on_op_answer(void *ctx, int status, uint64_t era, const char *body, size_t len)
{
	struct op_call *oc = ctx;
	struct err err = { 0 };
	struct kv_result r;
	char *value;

	if (store_op_response(
		oc->op, status, era, body, len, &r, &value, &err) == -1)
		oc->s->e->counts.bad_answers++;
	if (r.status == KV_UNKNOWN)
		log_event(LOG_KV_BAD, NULL, "op=%s key=%s status=%d %s",
		    kv_op_kind_name(oc->op->kind), oc->op->key, status,
		    err.text);
	oc->result(oc->ctx, &r);
	free(value);
	kv_op_destroy(oc->op);
	free(oc);
}

void
session_send(struct session *s, struct kv_ops *ops,
    void (*result)(void *, const struct kv_result *), void *ctx)
{
	struct store_request sc;
	struct op_call *oc;
	struct kv_op *op;

	while ((op = TAILQ_FIRST(ops)) != NULL) {
		TAILQ_REMOVE(ops, op, entry);
		oc = mem_alloc(sizeof(*oc));
		oc->s = s;
		oc->op = op;
		oc->result = result;
		oc->ctx = ctx;
		store_op_request(op, &sc);
		session_call(s, &sc, CALL_TIMEOUT_S, on_op_answer, oc);
	}
}

static void
on_write_answer(
    void *ctx, int status, uint64_t era, const char *body, size_t len)
{
	struct write_call *wc = ctx;

	(void)era;
	(void)body;
	(void)len;
	wc->result(wc->ctx, status);
	free(wc);
}

void
session_write(struct session *s, struct store_request *sc,
    void (*result)(void *, int), void *ctx)
{
	struct write_call *wc;

	wc = mem_alloc(sizeof(*wc));
	wc->result = result;
	wc->ctx = ctx;
	session_call(s, sc, CALL_TIMEOUT_S, on_write_answer, wc);
}

static void
on_probe_answer(
    void *ctx, int status, uint64_t era, const char *body, size_t len)
{
	struct session *s = ctx;

	(void)status;
	(void)era;
	(void)body;
	(void)len;
	s->probing = 0;
}

void
session_probe(struct session *s)
{
	struct store_check_state state = { peers_is_active_hub(s->e->peers),
		s->up, s->answered_at };
	struct store_request sc;

	if (s->closing || s->probing ||
	    !store_check_due(&s->check, &state, s->e->now))
		return;
	s->probing = 1;
	store_range_request(PROBE_KEY, "", 1, &sc);
	session_call(s, &sc, PROBE_TIMEOUT_S, on_probe_answer, s);
}

void
session_doubt_store(struct session *s)
{
	store_check_doubt(&s->check, s->e->now);
}

int
session_has_read_peers(const struct session *s)
{
	return s->peers_read;
}

int
session_is_up(const struct session *s)
{
	return s->up;
}

uint64_t
session_calls(const struct session *s)
{
	return s->ncalls;
}

struct session *
session_create(struct entry *e)
{
	struct session *s;

	s = mem_alloc(sizeof(*s));
	s->e = e;
	s->up = 1;
	lists_start(s);
	return s;
}

void
session_close(struct session *s)
{
	s->closing = 1;
	lists_stop(s);
}

void
session_destroy(struct session *s)
{
	free(s);
}
