#include "attempt.h"

/* A retry needs at least this long until the deadline. */
#define RETRY_TIME_LEFT_MIN_NS (20 * NSEC_PER_MSEC)

static int may_run_again(const struct attempt_context *);

static const char *const attempt_outcome_names[ATTEMPT__MAX] = {
	[ATTEMPT_ANSWERED] = "answered",
	[ATTEMPT_FAILED] = "failed",
	[ATTEMPT_REFUSED] = "refused",
	[ATTEMPT_NOT_SENT] = "unsent",
	[ATTEMPT_NO_RESPONSE] = "silent",
	[ATTEMPT_TRUNCATED] = "broken",
};

const char *
attempt_outcome_name(enum attempt_outcome end)
{
	return attempt_outcome_names[end];
}

int
attempt_may_have_run(enum attempt_outcome end)
{
	return end != ATTEMPT_REFUSED && end != ATTEMPT_NOT_SENT;
}

/* Whether a request that may have been executed may be executed again. */
static int
may_run_again(const struct attempt_context *f)
{
	if (f->kind == ROUTE_IDEMPOTENT)
		return !f->response_started;
	return f->kind == ROUTE_STREAM && f->resumable;
}

enum attempt_step
attempt_next_step(
    const struct attempt_context *f, enum attempt_outcome end, uint64_t now)
{
	int again = f->attempts_made < ATTEMPTS_PER_REQUEST_MAX &&
	    f->retry_allowed && f->deadline > now + RETRY_TIME_LEFT_MIN_NS;

	if (end == ATTEMPT_ANSWERED &&
	    (!f->response_started || !f->another_response))
		return NEXT_FORWARD;
	if (f->runs == 0)
		return again ? NEXT_RETRY : NEXT_REFUSE;
	if (again && may_run_again(f) && f->runs < f->max_runs)
		return NEXT_RETRY;
	if (f->response_started)
		return NEXT_ABORT;
	if (end == ATTEMPT_FAILED)
		return NEXT_FORWARD;
	return NEXT_REPORT_UNKNOWN;
}
