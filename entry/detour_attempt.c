/* An attempt that goes through a peer; see detour_io.h. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "detour_io_int.h"
#include "forward_int.h"

/* Peers that are tried for one attempt. */
#define PEERS_TRIED_MAX 4U

static int open_next(struct forward *);
static void compose(struct forward *, struct buf *);
static int on_head(void *, const struct http_head *);
static int on_body(void *, const char *, size_t);
static void on_end(void *, enum exchange_result);
static int peer_failed(const struct forward *, enum exchange_result);
static enum attempt_outcome outcome_of(
    const struct forward *, enum exchange_result);

static const struct exchange_ops detour_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

/* The time left is that of the moment at which a peer is tried. */
static void
compose(struct forward *f, struct buf *out)
{
	struct exchange_conn conn = forward_exchange_conn(f);
	struct buf request = { 0 };

	forward_compose_request(f, &request);
	buf_printf(out,
	    "POST " DETOUR_TARGET
	    " HTTP/1.1\r\nHost: peer\r\n" DETOUR_FIELD_REPLICA
	    ": %s\r\n" DETOUR_FIELD_STARTED ": %" PRIu64 "\r\n" DETOUR_FIELD_ID
	    ": %s\r\n" DETOUR_FIELD_TIMEOUT ": %" PRIu64
	    "\r\n" DETOUR_FIELD_REUSE ": %" PRIu64 "\r\n",
	    f->replica->info.id, f->replica_started_ms, f->params.id,
	    (uint64_t)(forward_time_left(f) / NSEC_PER_MSEC),
	    (uint64_t)(conn.reuse_ns / NSEC_PER_MSEC));
	if (conn.single_use)
		buf_add_string(out, DETOUR_FIELD_NO_BODY ": 1\r\n");
	buf_printf(out, "Content-Length: %zu\r\n\r\n", buf_len(&request));
	buf_add(out, buf_data(&request), buf_len(&request));
	buf_free(&request);
}

/* Sends the attempt to the best peer that is left; -1 if there is none. */
static int
open_next(struct forward *f)
{
	struct exchange_conn conn = { .reuse_ns = TIME_NEVER / 4 };
	struct detour_io *d = f->e->detour_io;
	struct log_subject about = { 0 };
	struct buf out = { 0 };
	const char *peer;

	if (f->peers_tried >= PEERS_TRIED_MAX)
		return -1;
	peer = detours_choose(d->peers, f->e->now, entry_random(f->e));
	if (peer == NULL)
		return -1;
	snprintf(f->via, sizeof(f->via), "%s", peer);
	f->peers_tried++;
	f->peer_sent_at = f->e->now;
	f->detour_answer = DETOUR_UNKNOWN;
	f->exchange = exchange_start(d->pool, f->via, &conn, &detour_ops, f);
	if (f->e->stopping)
		exchange_set_send_by(f->exchange, f->e->stop.settle_at);
	compose(f, &out);
	exchange_send(f->exchange, buf_data(&out), buf_len(&out));
	buf_free(&out);
	detours_started(d->peers, f->via);
	d->attempts++;
	about.call = f->params.id;
	about.backend = f->replica->info.id;
	log_event(LOG_DETOUR_STARTED, &about, "peer=%s tried=%u", f->via,
	    f->peers_tried);
	return 0;
}

int
forward_open_detour(struct forward *f)
{
	if (!detour_io_has_peer(f->e))
		return -1;
	f->peers_tried = 0;
	return open_next(f);
}

void
forward_give_up_detour(struct forward *f)
{
	struct detour_io *d = f->e->detour_io;

	detours_failed(d->peers, f->via, f->e->now);
	f->path_failed = 1;
	exchange_cancel(f->exchange);
	forward_attempt_ended(
	    f, f->response_started ? ATTEMPT_TRUNCATED : ATTEMPT_NO_RESPONSE);
}

void
forward_leave_detour(struct forward *f)
{
	if (f->via[0] == '\0')
		return;
	detours_ended(f->e->detour_io->peers, f->via);
	f->via[0] = '\0';
}

static int
on_head(void *ctx, const struct http_head *h)
{
	struct forward *f = ctx;

	entry_update_now(f->e);
	f->detour_answer =
	    detour_answer_of(http_field_find(h, DETOUR_FIELD_PATH));
	if (f->detour_answer != DETOUR_REPLICA &&
	    f->detour_answer != DETOUR_REPLICA_CLOSES)
		return 0;
	detours_worked(f->e->detour_io->peers, f->via);
	/* The peer has skipped the answers to other requests. */
	if (forward_on_head(f, h))
		f->invalid = 1;
	f->until_close = f->detour_answer == DETOUR_REPLICA_CLOSES;
	return 0;
}

static int
on_body(void *ctx, const char *p, size_t len)
{
	struct forward *f = ctx;

	if (f->detour_answer != DETOUR_REPLICA &&
	    f->detour_answer != DETOUR_REPLICA_CLOSES)
		return 0;
	return forward_on_body(f, p, len);
}

/* Whether the replica was not sent the attempt for a reason of the peer's. */
static int
peer_failed(const struct forward *f, enum exchange_result end)
{
	return end == EXCHANGE_NOT_SENT ||
	    (end == EXCHANGE_COMPLETE && f->detour_answer == DETOUR_NO_PATH);
}

static enum attempt_outcome
outcome_of(const struct forward *f, enum exchange_result end)
{
	if (end == EXCHANGE_NO_RESPONSE)
		return ATTEMPT_NO_RESPONSE;
	switch (f->detour_answer) {
	case DETOUR_REPLICA:
	case DETOUR_REPLICA_CLOSES:
		return forward_outcome_of(f, end);
	case DETOUR_UNREACHABLE:
		return end == EXCHANGE_COMPLETE ? ATTEMPT_NOT_SENT
						: ATTEMPT_NO_RESPONSE;
	default:
		return ATTEMPT_NO_RESPONSE;
	}
}

static void
on_end(void *ctx, enum exchange_result end)
{
	struct forward *f = ctx;
	struct entry *e = f->e;
	struct detour_io *d = e->detour_io;
	enum attempt_outcome outcome;

	entry_update_now(e);
	if (peer_failed(f, end)) {
		d->failed_peers++;
		detours_failed(d->peers, f->via, e->now);
		detours_ended(d->peers, f->via);
		if (f->caller != NULL && open_next(f) == 0)
			return;
		f->via[0] = '\0';
		f->path_failed = 1;
		forward_attempt_ended(f, ATTEMPT_NOT_SENT);
		return;
	}
	outcome = outcome_of(f, end);
	if (f->detour_answer == DETOUR_UNREACHABLE)
		detour_io_replica_down(e, f->replica);
	/* The peer's end tells nothing of the replica. */
	f->path_failed =
	    end != EXCHANGE_COMPLETE || f->detour_answer == DETOUR_UNKNOWN;
	if (end == EXCHANGE_NO_RESPONSE || f->detour_answer == DETOUR_UNKNOWN)
		detours_failed(d->peers, f->via, e->now);
	forward_attempt_ended(f, outcome);
}
