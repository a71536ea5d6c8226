#include "attempt.h"

/* A repeat with less time than this left cannot help. */
#define ATTEMPT_LEFT_MIN (20 * NSEC_PER_MSEC)

static int repeatable(const struct attempt_facts *);

static const char *const attempt_end_names[ATTEMPT__MAX] = {
	[ATTEMPT_ANSWERED] = "answered",
	[ATTEMPT_FAILED] = "failed",
	[ATTEMPT_REFUSED] = "refused",
	[ATTEMPT_UNSENT] = "unsent",
	[ATTEMPT_SILENT] = "silent",
	[ATTEMPT_BROKEN] = "broken",
};

const char *
attempt_end_name(enum attempt_end end)
{
	return attempt_end_names[end];
}

int
attempt_may_have_run(enum attempt_end end)
{
	return end != ATTEMPT_REFUSED && end != ATTEMPT_UNSENT;
}

/* Whether it may run once more after it may have run. */
static int
repeatable(const struct attempt_facts *f)
{
	if (f->kind == ROUTE_IDEMPOTENT)
		return !f->begun;
	return f->kind == ROUTE_STREAM && f->resumable;
}

enum attempt_step
attempt_next(const struct attempt_facts *f, enum attempt_end end, uint64_t now)
{
	int again = f->sends < ATTEMPTS_MAX && f->budget &&
	    f->deadline > now + ATTEMPT_LEFT_MIN;

	if (end == ATTEMPT_ANSWERED)
		return STEP_HAND_ON;
	if (f->runs == 0)
		return again ? STEP_AGAIN : STEP_REFUSE;
	if (again && repeatable(f) && f->runs < f->attempts_max)
		return STEP_AGAIN;
	if (f->begun)
		return STEP_CUT;
	if (end == ATTEMPT_FAILED)
		return STEP_HAND_ON;
	return STEP_GIVE_UP;
}
