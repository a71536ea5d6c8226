/* One attempt at a replica: the request out, the answer in. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward_int.h"
#include "mem.h"
#include "peers.h"

/*
 * A request that must run once uses an idle connection no longer than this,
 * unless the replica told how long it keeps it.
 */
#define ONCE_IDLE_NS (600 * NSEC_PER_MSEC)
#define HELD_MAX 4194304   /* bytes of an answer kept whole */
#define PAUSE_BYTES 131072 /* a caller this far behind stops its replica */

static void forward_charge(struct forward *, struct member_replica *);
static int on_head(void *, const struct http_head *);
static void on_body(void *, const char *, size_t);
static void on_end(void *, enum exchange_result);
static void copy_head(struct http_head *, const struct http_head *);
static enum attempt_end end_of(const struct forward *, enum exchange_result);

static const struct exchange_ops send_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

/* Counts the attempt's share on the replica. */
static void
forward_charge(struct forward *f, struct member_replica *m)
{
	uint64_t read_ns =
	    pace_read_ns(&f->e->pace, f->want.model, f->want.prompt_tokens);

	f->alone = directory_load(&f->e->dir, f->e->now, m).unread_us == 0;
	f->share.running = 1;
	f->share.unread_us = (uint32_t)(read_ns / NSEC_PER_USEC);
	f->share.tokens = balance_tokens(&f->want);
	m->own.running += f->share.running;
	m->own.unread_us += f->share.unread_us;
	m->own.tokens += f->share.tokens;
	directory_sent(m, f->e->now, f->share.unread_us);
	peers_tell_soon(f->e->peers);
}

void
forward_send(struct forward *f, struct member_replica *m)
{
	const struct http_head *h = caller_head(f->caller);
	const struct buf *body = caller_body(f->caller);
	struct forward_params t;
	struct work load;
	struct buf out = { 0 };
	struct log_subject about = { 0 };

	f->replica = m;
	f->sent_at = f->e->now;
	f->status = 0;
	f->refused = 0;
	f->streaming = 0;
	f->paused = 0;
	f->spoilt = 0;
	buf_free(&f->held);
	sse_free(&f->events);
	forward_charge(f, m);
	if (f->sends++ != 0)
		budget_repeat(&f->e->budget, f->e->now, f->service);
	f->e->counts.attempts++;
	if (f->ntried < BALANCE_TRIED_MAX)
		snprintf(f->tried[f->ntried++], NAME_SIZE, "%s", m->info.id);

	memset(&t, 0, sizeof(t));
	t.id = f->want.id;
	t.replica = m->info.id;
	t.timeout_ns = f->deadline > f->e->now ? f->deadline - f->e->now : 0;
	t.resume_after = f->begun ? f->last_event : 0;
	t.body_len = buf_len(body);
	t.has_body = buf_len(body) != 0 || strcmp(h->method, "GET") != 0;
	fields_write_request(&out, h, &t);
	buf_add(&out, buf_data(body), buf_len(body));
	f->x = exchange_start(f->e->replicas, m->info.addr,
	    f->route.kind == ROUTE_ONCE ? ONCE_IDLE_NS : TIME_NEVER / 4,
	    &send_ops, f);
	if (strcmp(h->method, "HEAD") == 0)
		exchange_expect_no_body(f->x);
	exchange_send(f->x, buf_data(&out), buf_len(&out));
	buf_free(&out);
	f->fresh = exchange_has_new_conn(f->x);
	about.call = f->want.id;
	about.backend = m->info.id;
	about.model = f->want.model;
	load = directory_load(&f->e->dir, f->e->now, m);
	log_event(LOG_REQUEST_STARTED, &about,
	    "running=%u unread_us=%u recent_us=%u share=%.2f read_us=%u "
	    "list_at=%llu fresh=%d",
	    load.running, load.unread_us, load.recent_us,
	    directory_share(m, f->e->now), f->share.unread_us,
	    (unsigned long long)f->e->dir.at, f->fresh);
}

void
forward_release(struct forward *f)
{
	struct member_replica *m = f->replica;

	m->own.running -= f->share.running;
	m->own.unread_us -= f->share.unread_us;
	m->own.tokens -= f->share.tokens;
	memset(&f->share, 0, sizeof(f->share));
	f->replica = NULL;
	f->e->pump = 1;
}

/* Keeps the head until the caller can get it. */
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

static int
on_head(void *ctx, const struct http_head *h)
{
	struct forward *f = ctx;
	struct response_info t;

	entry_now(f->e);
	fields_decode_response(h, f->want.id, &t);
	if (t.has_id && !t.id_matches)
		return 1;
	f->status = h->status;
	f->refused = t.not_executed;
	exchange_set_keep_alive(f->x, t.keep_alive_ns);
	if (f->refused)
		return 0;
	if (!t.has_signature || !t.id_matches || t.encoded) {
		f->spoilt = 1;
		return 0;
	}
	if (!f->begun)
		copy_head(&f->head, h);
	f->streaming = f->route.kind == ROUTE_STREAM && h->status / 100 == 2;
	return 0;
}

static void
on_body(void *ctx, const char *p, size_t len)
{
	struct forward *f = ctx;

	if (f->refused || f->spoilt)
		return;
	entry_now(f->e);
	if (!f->streaming) {
		buf_add(&f->held, p, len);
		if (buf_len(&f->held) > HELD_MAX)
			f->spoilt = 1;
		return;
	}
	if (f->share.unread_us != 0) {
		f->replica->own.unread_us -= f->share.unread_us;
		f->share.unread_us = 0;
		peers_tell_soon(f->e->peers);
		if (f->alone)
			pace_learn(&f->e->pace, f->want.model,
			    f->want.prompt_tokens, f->e->now - f->sent_at);
	}
	if (f->caller == NULL)
		return;
	sse_feed(&f->events, p, len, forward_events, f);
	if (caller_pending(f->caller) > PAUSE_BYTES && !f->paused) {
		f->paused = 1;
		exchange_set_reading(f->x, 0);
	}
}

static enum attempt_end
end_of(const struct forward *f, enum exchange_result end)
{
	switch (end) {
	case EXCHANGE_NOT_SENT:
		return ATTEMPT_UNSENT;
	case EXCHANGE_NO_RESPONSE:
		return ATTEMPT_SILENT;
	case EXCHANGE_TRUNCATED:
		return f->refused ? ATTEMPT_REFUSED : ATTEMPT_BROKEN;
	default:
		break;
	}
	if (f->refused)
		return ATTEMPT_REFUSED;
	if (f->spoilt || buf_len(&f->events.partial) != 0)
		return ATTEMPT_BROKEN;
	return f->status < 500 ? ATTEMPT_ANSWERED : ATTEMPT_FAILED;
}

static void
on_end(void *ctx, enum exchange_result end)
{
	struct forward *f = ctx;

	entry_now(f->e);
	forward_ended(f, end_of(f, end));
}
