#include "admission.h"

/*
 * A caller gives up on a stream without a first event after the longest of
 * these times.
 */
#define FIRST_EVENT_MIN_NS (2 * NSEC_PER_SEC)
#define FIRST_EVENT_TARGETS 4
#define FIRST_EVENT_GAPS 8
/* For the refusal to reach a caller before it gives up. */
#define REFUSAL_MARGIN_NS (150 * NSEC_PER_MSEC)
/* Callers wait at most this part of their time left before they return. */
#define RETURN_SHARE 3
#define RETURN_MIN_NS (300 * NSEC_PER_MSEC)
/* The rate at which callers return varies by this part of the time. */
#define RETURN_SPREAD 0.5

static uint64_t patience_ns(const struct admission_request *);
static uint64_t return_after(
    const struct admission_request *, uint64_t, uint64_t, double);
static uint64_t limited_start(const struct admission_capacity *, uint64_t);
static uint64_t last_return(const struct admission_request *, uint64_t);
static uint64_t next_wait(const struct admission_request *);

/* Time from the start of an attempt for which its caller waits. */
static uint64_t
patience_ns(const struct admission_request *r)
{
	uint64_t ns = FIRST_EVENT_MIN_NS;

	if (r->kind != ROUTE_STREAM)
		return r->deadline - r->started;
	if (ns < r->target_latency_ns * FIRST_EVENT_TARGETS)
		ns = r->target_latency_ns * FIRST_EVENT_TARGETS;
	if (ns < r->target_gap_ns * FIRST_EVENT_GAPS)
		ns = r->target_gap_ns * FIRST_EVENT_GAPS;
	return ns;
}

uint64_t
admission_latest_start(const struct admission_request *r)
{
	uint64_t first = r->first_event_ns + REFUSAL_MARGIN_NS;
	uint64_t whole = r->service_ns + REFUSAL_MARGIN_NS;
	uint64_t latest = r->started + patience_ns(r);

	latest = latest > r->started + first ? latest - first : r->started;
	if (r->deadline < r->started + whole)
		return r->started;
	return latest < r->deadline - whole ? latest : r->deadline - whole;
}

/* Behind those that wait for the same, or when the pool says. */
static uint64_t
limited_start(const struct admission_capacity *c, uint64_t now)
{
	uint64_t start = now +
	    (uint64_t)(c->waiting / c->limited_per_s * (double)NSEC_PER_SEC);

	return start > c->permit_at ? start : c->permit_at;
}

uint64_t
admission_predicted_start(const struct admission_request *r,
    const struct admission_capacity *c, uint64_t now)
{
	uint64_t ready_at = c->ready_at > now ? c->ready_at : now;

	if (c->slots != 0)
		return now + r->service_ns * c->waiting / c->slots;
	if (c->limited_per_s > 0.0)
		return limited_start(c, now);
	if (c->closed_slots != 0)
		return ready_at + r->service_ns * c->waiting / c->closed_slots;
	return ready_at;
}

/* Time after which a caller refused now comes back at the latest. */
static uint64_t
last_return(const struct admission_request *r, uint64_t now)
{
	return r->deadline > now ? (r->deadline - now) / RETURN_SHARE : 0;
}

/* Time for which a caller that came back could wait for a place. */
static uint64_t
next_wait(const struct admission_request *r)
{
	uint64_t less = r->first_event_ns + REFUSAL_MARGIN_NS;

	return patience_ns(r) > less ? patience_ns(r) - less : 0;
}

static uint64_t
return_after(const struct admission_request *r, uint64_t start, uint64_t now,
    double draw)
{
	uint64_t most = last_return(r, now);
	uint64_t after = start > now ? start - now : 0;

	after = (uint64_t)((double)after *
	    (1.0 - RETURN_SPREAD / 2.0 + RETURN_SPREAD * draw));
	if (after < RETURN_MIN_NS)
		after = RETURN_MIN_NS;
	return after < most ? after : most;
}

struct admission_decision
admission_decide(const struct admission_request *r,
    const struct admission_capacity *c, uint64_t now, double draw)
{
	uint64_t latest = admission_latest_start(r);
	uint64_t start = admission_predicted_start(r, c, now);
	uint64_t reach = last_return(r, now) + next_wait(r);
	struct admission_decision d;

	d.step = ADMISSION_REFUSE;
	d.until = now;
	d.retry_after_ns = return_after(r, start, now, draw);
	if (now >= latest)
		return d;
	if (c->slots == 0 && start > latest &&
	    (c->closed_slots != 0 || c->limited_per_s > 0.0))
		return d;
	if (start <= latest) {
		d.step = ADMISSION_WAIT;
		d.until = latest;
	} else if (start > now + reach) {
		/*
		 * Refused now, the caller would be back too early.  Each
		 * second of waiting moves the end of its second try by two
		 * thirds of a second.
		 */
		d.until = now +
		    (start - now - reach) * RETURN_SHARE / (RETURN_SHARE - 1);
		if (d.until < latest)
			d.step = ADMISSION_WAIT;
	}
	return d;
}
