/* Requests at the end of the process: refused, finished or cut off. */
#include <stdio.h>

#include "forward_int.h"

/* How far a request is. */
enum forward_state {
	FORWARD_WAITING,   /* for a replica */
	FORWARD_SENT,	   /* to a replica, which has not begun to answer */
	FORWARD_ANSWERING, /* a part of the answer has been passed on */
	FORWARD_LEFT,	   /* by its caller */
	FORWARD__MAX
};

static enum forward_state forward_state_of(const struct forward *);

static const char *const forward_state_names[FORWARD__MAX] = {
	[FORWARD_WAITING] = "waiting",
	[FORWARD_SENT] = "sent",
	[FORWARD_ANSWERING] = "answering",
	[FORWARD_LEFT] = "left",
};

static enum forward_state
forward_state_of(const struct forward *f)
{
	if (f->caller == NULL)
		return FORWARD_LEFT;
	if (f->response_started)
		return FORWARD_ANSWERING;
	return f->exchange == NULL ? FORWARD_WAITING : FORWARD_SENT;
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
	    (unsigned long long)((e->now - e->stopping_since) / NSEC_PER_MSEC),
	    n[FORWARD_WAITING], n[FORWARD_SENT], n[FORWARD_ANSWERING],
	    n[FORWARD_LEFT], reading, unsent);
}

void
forward_stop_waiting(struct entry *e)
{
	struct forward *f, *next;

	if (e->now < e->stopping_since + START_AFTER_STOP_NS)
		return;
	for (f = TAILQ_FIRST(&e->requests); f != NULL; f = next) {
		next = TAILQ_NEXT(f, entry);
		if (f->waiting.group == NULL || f->caller == NULL ||
		    f->response_started)
			continue;
		if (f->runs == 0)
			forward_refuse(
			    f, "this process is stopping", RETRY_AFTER_NS);
		else
			forward_report_unknown(f, 502, "process stopping",
			    "the outcome is unknown");
	}
}

void
forward_stop_all(struct entry *e)
{
	struct forward *f;
	char detail[64];

	while ((f = TAILQ_FIRST(&e->requests)) != NULL) {
		if (f->caller != NULL) {
			snprintf(detail, sizeof(detail),
			    "process stopping, state=%s",
			    forward_state_names[forward_state_of(f)]);
			forward_log(f, LOG_REQUEST_FAILED, "", detail);
			caller_abort_response(f->caller);
		}
		if (f->exchange != NULL) {
			exchange_cancel(f->exchange);
			f->exchange = NULL;
			forward_remove_work(f);
		}
		forward_free(f);
	}
}
