/* One attempt at a replica: sends the request, receives the response. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward_int.h"
#include "hash.h"
#include "mem.h"
#include "peers.h"

/*
 * A non-idempotent request reuses a connection that was idle for no longer than
 * this, unless the replica announced its keep-alive time.
 */
#define ONCE_IDLE_NS (600 * NSEC_PER_MSEC)
#define BODY_MAX_BYTES 4194304 /* of a buffered response */
#define EVENT_MAX_BYTES 262144 /* of one event of a stream */
/* Of a response that is not forwarded; with more, its connection is closed. */
#define UNUSED_MAX_BYTES 65536
/* A replica is not read while its caller has more than this unsent. */
#define READ_PAUSE_BYTES 131072

static void forward_add_work(struct forward *, struct directory_replica *);
static void forward_open_exchange(struct forward *);
static int is_head(const struct forward *);
static void on_connected(void *);
static int on_head(void *, const struct http_head *);
static int on_body(void *, const char *, size_t);
static int on_stream_body(struct forward *, const char *, size_t);
static void on_end(void *, enum exchange_result);
static void copy_head(struct http_head *, const struct http_head *);

static const struct exchange_ops send_ops = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

/* Adds the attempt to the replica's load. */
static void
forward_add_work(struct forward *f, struct directory_replica *m)
{
	uint64_t read_ns = pace_prefill_ns(
	    &f->e->pace, f->params.model, f->params.prompt_tokens);

	f->only_prefill =
	    directory_total_load(&f->e->dir, f->e->now, m).unread_us == 0;
	f->work.running = 1;
	f->work.unread_us = (uint32_t)(read_ns / NSEC_PER_USEC);
	f->work.tokens = balance_expected_tokens(&f->params);
	m->local_load.running += f->work.running;
	m->local_load.unread_us += f->work.unread_us;
	m->local_load.tokens += f->work.tokens;
	directory_prompt_sent(m, f->e->now, f->work.unread_us);
	peers_report_soon(f->e->peers);
}

/* Whether an answer to the request has no body, whatever its head says. */
static int
is_head(const struct forward *f)
{
	return strcmp(caller_head(f->caller)->method, "HEAD") == 0;
}

struct exchange_conn
forward_exchange_conn(const struct forward *f)
{
	struct exchange_conn conn = { 0 };

	conn.reuse_ns =
	    f->route.kind == ROUTE_AT_MOST_ONCE ? ONCE_IDLE_NS : TIME_NEVER / 4;
	conn.tag = hash_text(f->params.id);
	/* A late copy would be read as a response with a body. */
	conn.single_use = is_head(f);
	return conn;
}

uint64_t
forward_time_left(const struct forward *f)
{
	return f->deadline > f->e->now ? f->deadline - f->e->now : 0;
}

void
forward_compose_request(const struct forward *f, struct buf *out)
{
	const struct http_head *h = caller_head(f->caller);
	const struct buf *body = caller_body(f->caller);
	struct forward_params t;

	memset(&t, 0, sizeof(t));
	t.id = f->params.id;
	t.replica = f->replica->info.id;
	t.timeout_ns = forward_time_left(f);
	t.resume_after = f->response_started ? f->passed.written_id : 0;
	t.account = f->account_name;
	t.checks_keys = f->account[0] != '\0' ||
	    (f->e->conf != NULL && f->e->conf->has_accounts);
	t.body_len = buf_len(body);
	t.has_body = buf_len(body) != 0 || strcmp(h->method, "GET") != 0;
	fields_write_request(out, h, &t);
	buf_add(out, buf_data(body), buf_len(body));
}

static void
forward_open_exchange(struct forward *f)
{
	struct exchange_conn conn = forward_exchange_conn(f);
	struct buf out = { 0 };

	if (detour_io_is_needed(f->e, f->replica->info.addr, &conn) &&
	    forward_open_detour(f) == 0)
		return;
	f->exchange = exchange_start(
	    f->e->replicas, f->replica->info.addr, &conn, &send_ops, f);
	if (f->e->stopping)
		exchange_set_send_by(f->exchange, f->e->stop.settle_at);
	if (is_head(f))
		exchange_expect_no_body(f->exchange);
	forward_compose_request(f, &out);
	exchange_send(f->exchange, buf_data(&out), buf_len(&out));
	buf_free(&out);
	f->new_connection = exchange_has_new_conn(f->exchange);
}

void
forward_start_attempt(struct forward *f, struct directory_replica *m)
{
	struct replica_load load;
	struct log_subject about = { 0 };

	f->replica = m;
	f->replica_started_ms = m->info.started_ms;
	memcpy(f->replica_software, m->info.software, NAME_SIZE);
	f->via[0] = '\0';
	f->path_failed = 0;
	f->new_connection = 0;
	f->sent_at = f->e->now;
	f->begun_at = 0;
	f->status = 0;
	f->refused = 0;
	f->until_close = 0;
	f->streaming = 0;
	f->read_paused = 0;
	f->invalid = 0;
	f->unused_bytes = 0;
	buf_free(&f->body);
	sse_free(&f->events);
	forward_add_work(f, m);
	directory_take_permit(m, f->e->now);
	if (f->attempts_made++ != 0)
		budget_add_retry(&f->e->budget, f->e->now, f->service);
	f->e->counts.attempts++;
	f->e->counts.limited += directory_limit(m) != 0.0;
	if (f->ntried < BALANCE_TRIED_MAX)
		snprintf(f->tried[f->ntried++], NAME_SIZE, "%s", m->info.id);

	forward_open_exchange(f);
	about.call = f->params.id;
	about.backend = m->info.id;
	about.model = f->params.model;
	load = directory_total_load(&f->e->dir, f->e->now, m);
	log_event(LOG_REQUEST_STARTED, &about,
	    "running=%u unread_us=%u recent_us=%u share=%.2f read_us=%u "
	    "list_at=%llu fresh=%d limit=%.2f",
	    load.running, load.unread_us, load.recent_us,
	    directory_prefill_share(m, f->e->now), f->work.unread_us,
	    (unsigned long long)revision_number(f->e->dir.revision),
	    f->new_connection, directory_limit(m));
}

void
forward_remove_work(struct forward *f)
{
	struct directory_replica *m = f->replica;

	forward_leave_detour(f);
	m->local_load.running -= f->work.running;
	m->local_load.unread_us -= f->work.unread_us;
	m->local_load.tokens -= f->work.tokens;
	memset(&f->work, 0, sizeof(f->work));
	f->replica = NULL;
	f->e->retry_waiting = 1;
}

/* Copies a head, which is kept until the response to the caller starts. */
static void
copy_head(struct http_head *to, const struct http_head *from)
{
	free(to->fields);
	buf_free(&to->text);
	*to = *from;
	memset(&to->text, 0, sizeof(to->text));
	buf_add(&to->text, buf_data(&from->text), buf_len(&from->text));
	to->fields = mem_alloc((from->nfields + 1) * sizeof(*to->fields));
	if (from->nfields != 0)
		memcpy(to->fields, from->fields,
		    from->nfields * sizeof(*to->fields));
}

static void
on_connected(void *ctx)
{
	struct forward *f = ctx;

	entry_update_now(f->e);
	detour_io_connected(f->e);
}

static int
on_head(void *ctx, const struct http_head *h)
{
	struct forward *f = ctx;

	entry_update_now(f->e);
	detour_io_heard(f->e);
	return forward_on_head(f, h);
}

int
forward_on_head(struct forward *f, const struct http_head *h)
{
	struct response_info t;

	fields_decode_response(h, f->params.id, &t);
	forward_apply_notice(f, &t);
	if (t.has_id && !t.id_matches)
		return 1;
	f->status = h->status;
	/* Without an id it may be the refusal of something else. */
	f->refused = t.not_executed && t.id_matches;
	f->until_close = h->close_delimited;
	exchange_set_keep_alive(f->exchange, t.keep_alive_ns);
	if (f->refused)
		return 0;
	if (!t.has_signature || !t.id_matches || t.encoded) {
		f->invalid = 1;
		return 0;
	}
	if (!f->response_started)
		copy_head(&f->response_head, h);
	f->streaming = f->route.kind == ROUTE_STREAM && h->status / 100 == 2;
	return 0;
}

/* Forwards the events that are complete. */
static int
on_stream_body(struct forward *f, const char *p, size_t len)
{
	if (f->work.unread_us != 0) {
		f->replica->local_load.unread_us -= f->work.unread_us;
		f->work.unread_us = 0;
		peers_report_soon(f->e->peers);
		if (f->only_prefill)
			pace_add_sample(&f->e->pace, f->params.model,
			    f->params.prompt_tokens, f->e->now - f->sent_at);
	}
	if (f->caller == NULL)
		return 0;
	sse_feed(&f->events, p, len, forward_on_events, f);
	if (buf_len(&f->events.partial) > EVENT_MAX_BYTES) {
		f->invalid = 1;
		return 1;
	}
	if (caller_pending_bytes(f->caller) > READ_PAUSE_BYTES &&
	    !f->read_paused) {
		f->read_paused = 1;
		exchange_set_reading(f->exchange, 0);
	}
	return 0;
}

static int
on_body(void *ctx, const char *p, size_t len)
{
	struct forward *f = ctx;

	entry_update_now(f->e);
	detour_io_heard(f->e);
	return forward_on_body(f, p, len);
}

/* Returns whether the rest of the response is of no use. */
int
forward_on_body(struct forward *f, const char *p, size_t len)
{
	if (f->refused || f->invalid) {
		f->unused_bytes += len;
		return f->unused_bytes > UNUSED_MAX_BYTES;
	}
	entry_update_now(f->e);
	if (f->begun_at == 0)
		f->begun_at = f->e->now;
	if (f->streaming)
		return on_stream_body(f, p, len);
	buf_add(&f->body, p, len);
	f->invalid = buf_len(&f->body) > BODY_MAX_BYTES;
	return f->invalid;
}

enum attempt_outcome
forward_outcome_of(const struct forward *f, enum exchange_result end)
{
	switch (end) {
	case EXCHANGE_NOT_SENT:
		return ATTEMPT_NOT_SENT;
	case EXCHANGE_NO_RESPONSE:
		return ATTEMPT_NO_RESPONSE;
	case EXCHANGE_TRUNCATED:
		return f->refused ? ATTEMPT_REFUSED : ATTEMPT_TRUNCATED;
	default:
		break;
	}
	if (f->refused)
		return ATTEMPT_REFUSED;
	if (f->invalid || buf_len(&f->events.partial) != 0)
		return ATTEMPT_TRUNCATED;
	return f->status < 500 ? ATTEMPT_ANSWERED : ATTEMPT_FAILED;
}

static void
on_end(void *ctx, enum exchange_result end)
{
	struct forward *f = ctx;

	entry_update_now(f->e);
	if (end == EXCHANGE_NOT_SENT)
		detour_io_not_connected(f->e, f->replica);
	forward_attempt_ended(f, forward_outcome_of(f, end));
}
