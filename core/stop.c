#include "stop.h"

/* The load balancer notices within two readiness checks, 1 s apart. */
#define LISTEN_NS (2500 * NSEC_PER_MSEC)
/* What starts later may not end in time. */
#define START_NS (2600 * NSEC_PER_MSEC)
/*
 * Callers get the last answers by this part of the grace time before SIGKILL,
 * within limits; after half of that the process ends.
 */
#define SETTLE_MARGIN_DIVISOR 8
#define SETTLE_MARGIN_MAX_NS (400 * NSEC_PER_MSEC)
#define SETTLE_MARGIN_MIN_NS (100 * NSEC_PER_MSEC)

static uint64_t earlier(uint64_t, uint64_t);
static uint64_t time_before(uint64_t, uint64_t, uint64_t);

static uint64_t
earlier(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/* The time by a margin before another, but not before the first. */
static uint64_t
time_before(uint64_t first, uint64_t at, uint64_t margin_ns)
{
	return at > first + margin_ns ? at - margin_ns : first;
}

void
stop_begin(struct stop_schedule *s, uint64_t now, uint64_t grace_ns)
{
	uint64_t kill_at = now + grace_ns;
	uint64_t margin_ns = grace_ns / SETTLE_MARGIN_DIVISOR;

	margin_ns = earlier(margin_ns, SETTLE_MARGIN_MAX_NS);
	if (margin_ns < SETTLE_MARGIN_MIN_NS)
		margin_ns = SETTLE_MARGIN_MIN_NS;
	s->since = now;
	s->settle_at = time_before(now, kill_at, margin_ns);
	s->end_at = time_before(now, kill_at, margin_ns / 2);
	s->listen_until = earlier(now + LISTEN_NS,
	    time_before(now, s->settle_at, STOP_FIRST_REQUEST_NS));
	s->start_until = earlier(now + START_NS, s->settle_at);
}

int
stop_may_start(const struct stop_schedule *s, uint64_t now, uint64_t deadline)
{
	return s->since == 0 || now < s->start_until ||
	    deadline <= s->settle_at;
}

enum stop_answer
stop_last_answer(const struct stop_request *r)
{
	if (!r->has_caller)
		return STOP_NO_ANSWER;
	if (r->response_started)
		return STOP_CUT;
	return r->may_have_run ? STOP_UNKNOWN : STOP_REFUSE;
}
