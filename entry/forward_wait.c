/* Requests that find no replica: how long they wait, and their refusal. */
#include <stdio.h>
#include <string.h>

#include "admission.h"
#include "forward_int.h"
#include "loader_io.h"
#include "permit_io.h"
#include "quota_io.h"

/* Minimum queueing time of a retry; callers wait 2 s or more for an event. */
#define RETRY_QUEUE_NS (800 * NSEC_PER_MSEC)
/* From the first request for a missing model until its load starts. */
#define LOAD_START_NS (500 * NSEC_PER_MSEC)
#define FIRST_EVENT_NS (50 * NSEC_PER_MSEC) /* beside the prefill */
/* Until the first requests have been answered. */
#define SERVICE_TIME_NS (500 * NSEC_PER_MSEC)

/* The part that is suspected; names of adapters do not begin so. */
#define SUSPECT_GROUP "suspect %016llx %s"

static const char *const wait_reasons[] = {
	[BALANCE_FOUND] = "found",
	[BALANCE_FULL] = "full",
	[BALANCE_NO_ADAPTER] = "no-adapter",
	[BALANCE_NO_MODEL] = "no-model",
	[BALANCE_NO_REPLICA] = "no-replica",
	[BALANCE_LIMITED] = "limited",
	[BALANCE_SUSPECT] = "suspect",
};

static struct admission_capacity capacity_for(const struct forward *);
static struct admission_decision decide(
    const struct forward *, struct admission_capacity *);
static int retry_waits(const struct forward *,
    const struct admission_capacity *, const struct admission_decision *,
    uint64_t);
static void wait_until(struct forward *, uint64_t);
static void enqueue(struct forward *);
static uint64_t model_ready_at(
    const struct forward *, const struct fleet_service *);

/* When the model that no replica holds is expected to be loaded. */
static uint64_t
model_ready_at(const struct forward *f, const struct fleet_service *s)
{
	const struct fleet_model *m =
	    fleet_find_model(s->engine, f->params.model);
	uint64_t since = loader_io_missing_since(f->e, f->params.model);

	if (m == NULL || since == 0)
		return f->e->now;
	return since + LOAD_START_NS + m->store_load_ns;
}

static struct admission_capacity
capacity_for(const struct forward *f)
{
	const struct fleet_service *s =
	    fleet_find_service(f->e->conf, f->service);
	struct admission_capacity c = { .ready_at = f->e->now };
	struct balance_request w;
	uint64_t reopens_at;

	if (s == NULL)
		return c;
	memset(&w, 0, sizeof(w));
	balance_set_names(&w, f->service, f->params.model, "");
	w.software = f->begun ? f->software : NULL;
	c.slots = balance_slots(&f->e->dir, f->e->now, &w);
	if (c.slots == 0)
		c.closed_slots = balance_closed_slots(
		    &f->e->dir, f->e->now, &w, &reopens_at);
	c.limited_per_s = balance_limited_rate(&f->e->dir, f->e->now, &w) *
	    permit_io_available(f->e->permit_io);
	c.permit_at = f->permit_at;
	if (f->params.model[0] != '\0')
		c.waiting = loader_io_waiting(f->e, f->params.model);
	if (c.closed_slots != 0)
		c.ready_at = reopens_at;
	else if (c.slots == 0 && s->engine != NULL)
		c.ready_at = model_ready_at(f, s);
	return c;
}

static struct admission_decision
decide(const struct forward *f, struct admission_capacity *c)
{
	struct admission_request r;

	*c = capacity_for(f);
	memset(&r, 0, sizeof(r));
	r.kind = f->route.kind;
	r.started = caller_request_started_at(f->caller);
	r.deadline = f->deadline;
	r.target_latency_ns = f->route.target_latency_ns;
	r.target_gap_ns = f->route.target_gap_ns;
	if (f->params.model[0] != '\0')
		r.first_event_ns = FIRST_EVENT_NS +
		    pace_prefill_ns(
			&f->e->pace, f->params.model, f->params.prompt_tokens);
	r.service_ns =
	    pace_service_ns(&f->e->pace, f->service, SERVICE_TIME_NS);
	return admission_decide(&r, c, f->e->now, entry_random(f->e));
}

/*
 * Whether a retry waits for a minimum time, however late the failure.  What a
 * replica has run is not refused; what none has run is, where all replicas say
 * that they take no requests.
 */
static int
retry_waits(const struct forward *f, const struct admission_capacity *c,
    const struct admission_decision *d, uint64_t least)
{
	if (f->runs != 0)
		return d->until < least || d->step == ADMISSION_REFUSE;
	return f->attempts_made != 0 && c->closed_slots == 0 &&
	    c->limited_per_s == 0.0 && d->until < least;
}

static void
wait_until(struct forward *f, uint64_t until)
{
	f->wait_until = until < f->deadline ? until : f->deadline;
	expiry_set(f->expiry, f->wait_until);
}

static void
enqueue(struct forward *f)
{
	char group[FLEET_NAME_SIZE + 32];

	f->waiting.owner = f;
	f->waiting.priority = f->route.priority;
	f->waiting.account = f->account;
	f->waiting.cost = quota_io_cost(f);
	f->waiting.arrived = f->arrived;
	f->waiting.target =
	    caller_request_started_at(f->caller) + f->route.target_latency_ns;
	/* No others wait behind suspects, which wait for one replica each. */
	snprintf(group, sizeof(group), SUSPECT_GROUP,
	    (unsigned long long)f->suspect, f->params.adapter);
	waitq_add(&f->e->waiting, &f->waiting, f->service, f->params.model,
	    f->suspect != 0 ? group : f->params.adapter);
}

void
forward_hold(struct forward *f)
{
	enqueue(f);
	wait_until(f, f->hold_until);
}

void
forward_wait(struct forward *f, enum balance_result why)
{
	uint64_t least = f->e->now + RETRY_QUEUE_NS;
	struct admission_decision d;
	struct admission_capacity c;
	char detail[96];

	if (f->waiting.group != NULL)
		return;
	d = decide(f, &c);
	if (retry_waits(f, &c, &d, least)) {
		d.until = least;
		d.step = ADMISSION_WAIT;
	}
	if (d.step == ADMISSION_REFUSE) {
		forward_refuse(
		    f, "no replica can be free in time", d.retry_after_ns);
		return;
	}
	snprintf(detail, sizeof(detail), "%s until_ms=%llu", wait_reasons[why],
	    (unsigned long long)((d.until - f->e->now) / NSEC_PER_MSEC));
	forward_log(f, LOG_REQUEST_WAITS, "", detail);
	enqueue(f);
	wait_until(f, d.until);
	permit_io_ask(f->e->permit_io, f);
}

void
forward_waited(struct forward *f)
{
	struct admission_capacity c;
	struct admission_decision d = decide(f, &c);

	if (d.step == ADMISSION_WAIT && d.until > f->e->now)
		wait_until(f, d.until);
	else
		forward_refuse(
		    f, "no replica was free in time", d.retry_after_ns);
}
