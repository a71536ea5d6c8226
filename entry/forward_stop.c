/* Requests at the end of the process: refused, finished or cut off. */
#include <stdio.h>

#include "forward_int.h"

/* How far a request is. */
enum forward_state {
	FORWARD_WAITING,   /* for a replica, or the connection to it */
	FORWARD_SENT,	   /* to a replica, which has not begun to answer */
	FORWARD_ANSWERING, /* a part of the answer has been passed on */
	FORWARD_LEFT,	   /* by its caller */
	FORWARD__MAX
};

static enum forward_state forward_state_of(const struct forward *);
static int forward_has_sent(const struct forward *);
static void forward_end(struct forward *);

static const char *const forward_state_names[FORWARD__MAX] = {
	[FORWARD_WAITING] = "waiting",
	[FORWARD_SENT] = "sent",
	[FORWARD_ANSWERING] = "answering",
	[FORWARD_LEFT] = "left",
};

/* Whether a byte of the current attempt has left. */
static int
forward_has_sent(const struct forward *f)
{
	return f->exchange != NULL && exchange_has_sent(f->exchange);
}

static enum forward_state
forward_state_of(const struct forward *f)
{
	if (f->caller == NULL)
		return FORWARD_LEFT;
	if (f->response_started)
		return FORWARD_ANSWERING;
	return forward_has_sent(f) ? FORWARD_SENT : FORWARD_WAITING;
}

void
forward_log_stop(const struct entry *e, const char *reason)
{
	uint32_t n[FORWARD__MAX] = { 0 };
	const struct forward *f;
	uint32_t reading;
	size_t unsent;

	TAILQ_FOREACH (f, &e->requests, entry)
		n[forward_state_of(f)]++;
	callers_count(e, &reading, &unsent);
	log_event(LOG_STOP_ENDED, NULL,
	    "reason=%s after_ms=%llu waiting=%u sent=%u answering=%u left=%u "
	    "reading=%u unsent_bytes=%zu",
	    reason,
	    (unsigned long long)((e->now - e->stop.since) / NSEC_PER_MSEC),
	    n[FORWARD_WAITING], n[FORWARD_SENT], n[FORWARD_ANSWERING],
	    n[FORWARD_LEFT], reading, unsent);
}

/* Gives a request that will not be finished its last answer and frees it. */
static void
forward_end(struct forward *f)
{
	struct stop_request r;
	char detail[64];

	r.has_caller = f->caller != NULL;
	r.response_started = f->response_started;
	r.may_have_run = f->runs != 0 || forward_has_sent(f);
	snprintf(detail, sizeof(detail), "process stopping, state=%s",
	    forward_state_names[forward_state_of(f)]);
	if (f->exchange != NULL) {
		exchange_cancel(f->exchange);
		f->exchange = NULL;
		forward_remove_work(f);
	}
	switch (stop_last_answer(&r)) {
	case STOP_NO_ANSWER:
		forward_free(f);
		return;
	case STOP_REFUSE:
		forward_refuse(f, "this process is stopping", RETRY_AFTER_NS);
		return;
	case STOP_UNKNOWN:
		forward_report_unknown(
		    f, 502, detail, "the outcome is unknown");
		return;
	default:
		forward_cut(f, detail);
		return;
	}
}

/*
 * What has not run is refused while that is still true.  What may have run may
 * be repeated until the stop ends.
 */
int
forward_end_if_late(struct forward *f)
{
	const struct stop_schedule *s = &f->e->stop;

	if (f->runs == 0 ? stop_may_start(s, f->e->now, f->deadline)
			 : s->since == 0 || f->e->now < s->settle_at)
		return 0;
	forward_end(f);
	return 1;
}

void
forward_stop_waiting(struct entry *e)
{
	struct forward *f, *next;

	for (f = TAILQ_FIRST(&e->requests); f != NULL; f = next) {
		next = TAILQ_NEXT(f, entry);
		if (f->waiting.group != NULL && f->caller != NULL &&
		    !f->response_started &&
		    !stop_may_start(&e->stop, e->now, f->deadline))
			forward_end(f);
	}
}

void
forward_settle(struct entry *e)
{
	struct forward *f, *next;

	for (f = TAILQ_FIRST(&e->requests); f != NULL; f = next) {
		next = TAILQ_NEXT(f, entry);
		if (!forward_has_sent(f) || !exchange_has_input(f->exchange))
			forward_end(f);
	}
}

void
forward_stop_all(struct entry *e)
{
	while (!TAILQ_EMPTY(&e->requests))
		forward_end(TAILQ_FIRST(&e->requests));
}
