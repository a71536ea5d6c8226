/* Requests that may crash replicas: evidence, blocking, taking them back. */
#include <string.h>

#include "forward_int.h"
#include "hash.h"
#include "poison_io.h"

/* A crash this long after the first event is not due to the answer's begin. */
#define BEGIN_NS (100 * NSEC_PER_MSEC)
/* The same for the request as a whole, of which there are fewer. */
#define REQUEST_BEGIN_NS (1 * NSEC_PER_SEC)

static uint64_t add_text(uint64_t, const char *);
static int status_shows_run(int);
static int broke_within(const struct forward *, enum attempt_outcome, uint64_t);
static uint64_t forward_suspect_part(const struct forward *);
static int forward_is_answered(const struct forward *);
static void forward_withdraw_if_suspect(struct forward *);

static uint64_t
add_text(uint64_t hash, const char *s)
{
	return hash_add(hash, s == NULL ? "" : s, s == NULL ? 0 : strlen(s));
}

uint64_t
forward_fingerprint(const struct forward *f)
{
	const struct http_head *h = caller_head(f->caller);
	const struct buf *body = caller_body(f->caller);
	const struct request_params *r = &f->params;
	uint64_t hash = 0;
	uint32_t i;

	hash = add_text(hash, h->method);
	hash = add_text(hash, http_field_find(h, "Host"));
	hash = add_text(hash, http_request_target(h));
	hash = add_text(hash, http_field_find(h, "Authorization"));
	hash = add_text(hash, r->model);
	hash = add_text(hash, r->adapter);
	for (i = 0; i < r->nparts; i++)
		hash = hash_add(hash, &r->parts[i].id, sizeof(r->parts[i].id));
	return hash_add(hash, buf_data(body), buf_len(body));
}

/* The part for which the request is treated with care, 0: none. */
static uint64_t
forward_suspect_part(const struct forward *f)
{
	uint64_t part = 0;

	(void)poison_io_evidence(f->e->poison_io, &f->params, &part);
	return part;
}

int
forward_awaits_evidence(const struct forward *f)
{
	uint64_t part;

	return poison_io_care(f->e->poison_io, &f->params, &part) ==
	    POISON_WAIT;
}

/* Whether an attempt has broken off within a time after its first event. */
static int
broke_within(const struct forward *f, enum attempt_outcome end, uint64_t ns)
{
	return (end == ATTEMPT_NO_RESPONSE || end == ATTEMPT_TRUNCATED ||
		   (end == ATTEMPT_ANSWERED && f->until_close &&
		       f->streaming)) &&
	    (f->begun_at == 0 || f->e->now < f->begun_at + ns);
}

int
forward_broke_at_begin(const struct forward *f, enum attempt_outcome end)
{
	return broke_within(f, end, REQUEST_BEGIN_NS);
}

/*
 * Whether an answer of this status shows that the replica has run the request:
 * a replica may send some without running it, or on behalf of a crashed one.
 */
static int
status_shows_run(int status)
{
	return status / 100 == 2 || status / 100 == 3 ||
	    (status / 100 == 4 && status != 408 && status != 421 &&
		status != 425 && status != 429);
}

void
forward_note_crash(struct forward *f, enum attempt_outcome end)
{
	struct poison_io *p = f->e->poison_io;
	int answered = end == ATTEMPT_ANSWERED && status_shows_run(f->status);

	if (answered && !f->until_close)
		poison_io_answered(p, &f->params, f->status / 100 == 2);
	else if (forward_broke_at_begin(f, end))
		poison_io_broken(
		    p, f->replica, &f->params, broke_within(f, end, BEGIN_NS));
	if (answered && f->until_close)
		poison_io_closed(p, f->replica, &f->params);
}

void
forward_note_left(const struct forward *f)
{
	if (broke_within(f, ATTEMPT_NO_RESPONSE, REQUEST_BEGIN_NS))
		poison_io_left(f->e->poison_io, f->replica, &f->params);
}

/* Whether the body of an answer to the current attempt has begun. */
static int
forward_is_answered(const struct forward *f)
{
	return f->exchange != NULL && f->begun_at != 0;
}

int
forward_end_if_blocked(struct forward *f)
{
	uint64_t until;

	if (forward_is_answered(f))
		return 0;
	until = poison_io_blocked_until(f->e->poison_io, &f->params);
	if (until == 0)
		return 0;
	f->e->counts.blocked++;
	forward_log(f, LOG_REQUEST_BLOCKED, "", "");
	if (f->exchange != NULL) {
		exchange_cancel(f->exchange);
		f->exchange = NULL;
		f->runs++;
		forward_remove_work(f);
	}
	if (f->caller == NULL)
		forward_free(f);
	else if (f->response_started)
		forward_cut(f, "such requests crash replicas");
	else if (f->runs == 0)
		forward_refuse(
		    f, "such requests crash replicas", until - f->e->now);
	else
		forward_report_unknown(
		    f, 502, "outcome unknown", "such requests crash replicas");
	return 1;
}

void
forward_end_blocked(struct entry *e)
{
	struct forward *f, *next;

	for (f = TAILQ_FIRST(&e->requests); f != NULL; f = next) {
		next = TAILQ_NEXT(f, entry);
		(void)forward_end_if_blocked(f);
	}
}

/*
 * Takes a request back from a replica that has not begun to answer it, if it
 * may crash the replica and may run again elsewhere.
 */
static void
forward_withdraw_if_suspect(struct forward *f)
{
	struct directory_replica *m;
	struct attempt_context facts;

	if (f->caller == NULL || f->exchange == NULL || f->begun_at != 0 ||
	    forward_suspect_part(f) == 0)
		return;
	/* Its own replica may be full due to this very request. */
	forward_pick_replica(f, 1, &m);
	forward_describe(f, &facts);
	facts.runs++;
	if (m == f->replica ||
	    attempt_next_step(&facts, ATTEMPT_NO_RESPONSE, f->e->now) !=
		NEXT_RETRY)
		return;
	forward_log(f, LOG_REQUEST_WITHDRAWN, f->replica->info.id, "");
	forward_note_left(f);
	exchange_cancel(f->exchange);
	f->exchange = NULL;
	f->runs++;
	forward_remove_work(f);
	forward_dispatch(f);
}

void
forward_withdraw_suspects(struct entry *e)
{
	struct forward *f, *next;

	for (f = TAILQ_FIRST(&e->requests); f != NULL; f = next) {
		next = TAILQ_NEXT(f, entry);
		forward_withdraw_if_suspect(f);
	}
}
