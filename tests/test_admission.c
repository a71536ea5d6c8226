/*
 * Admission of requests that find no room, replayed in virtual time for bursts,
 * a model that is being loaded and callers who return, beside the rule that it
 * replaced: everyone waits for two thirds of the caller's patience, at most two
 * fifths of the time left, and comes back after 0.3 s.
 */
#include <stdio.h>
#include <string.h>

#include "admission.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC
#define STEP (10 * MS)
#define CALLERS 4000
#define PATIENCE (3200 * MS)
#define SERVICE (2 * S)
#define TRIES 2

enum caller_state {
	CALLER_AWAY, /* not there yet, or told to come back */
	CALLER_WAITING,
	CALLER_RUNNING,
	CALLER_DONE,
	CALLER_LOST
};

struct caller {
	enum caller_state state;
	uint64_t first; /* first arrival */
	uint64_t deadline;
	uint64_t at; /* arrival of this try, or end of the run */
	uint64_t until;
	int tries;
	int late;
};

struct replay {
	int old_rule;
	uint32_t slots;
	uint64_t ready_at; /* no slots before */
	uint32_t ncallers;
	uint32_t running;
	uint32_t served;
	uint32_t in_time;
	uint64_t held; /* time for which lost callers waited */
	struct caller callers[CALLERS];
};

static struct admission_request make_request(uint64_t, uint64_t);
static void replay_add(struct replay *, uint64_t);
static void replay_run(struct replay *, uint64_t);
static void replay_step(struct replay *, struct caller *, uint64_t, uint32_t);
static struct admission_decision decide(
    const struct replay *, const struct caller *, uint64_t, uint32_t);
static void replay_burst(struct replay *, int);
static void replay_load(struct replay *, int, uint64_t);
static void test_latest_start(void);
static void test_hopeless(void);
static void test_return_time(void);
static void test_closed(void);
static void test_burst(void);
static void test_load(void);

static struct replay before, after;

static struct admission_request
make_request(uint64_t started, uint64_t deadline)
{
	struct admission_request r = { ROUTE_STREAM, started, deadline,
		800 * MS, 400 * MS, 100 * MS, SERVICE };

	return r;
}

static void
replay_add(struct replay *p, uint64_t at)
{
	struct caller *c = &p->callers[p->ncallers++];

	c->first = at;
	c->at = at;
	c->deadline = at + 15 * S;
}

static struct admission_decision
decide(const struct replay *p, const struct caller *c, uint64_t now,
    uint32_t waiting)
{
	struct admission_request r = make_request(c->at, c->deadline);
	struct admission_capacity k = { now < p->ready_at ? 0 : p->slots,
		waiting, p->ready_at, 0, 0.0, 0 };
	struct admission_decision d;
	uint64_t fifths = (c->deadline - c->at) * 2 / 5;

	if (!p->old_rule)
		return admission_decide(
		    &r, &k, now, (double)(c->first / STEP % 100) / 100.0);
	d.until =
	    c->at + (fifths < PATIENCE * 2 / 3 ? fifths : PATIENCE * 2 / 3);
	d.step = now < d.until ? ADMISSION_WAIT : ADMISSION_REFUSE;
	d.retry_after_ns = 300 * MS;
	return d;
}

static void
replay_step(struct replay *p, struct caller *c, uint64_t now, uint32_t waiting)
{
	struct admission_decision d;
	uint32_t slots = now < p->ready_at ? 0 : p->slots;

	if (c->state == CALLER_RUNNING && now >= c->at) {
		p->running--;
		p->served++;
		p->in_time += !c->late;
		c->state = CALLER_DONE;
	}
	if (c->state == CALLER_AWAY && now >= c->at) {
		c->tries++;
		c->at = now;
		c->until = now;
		c->state = CALLER_WAITING;
	}
	if (c->state != CALLER_WAITING)
		return;
	if (p->running < slots && now + SERVICE <= c->deadline) {
		p->running++;
		c->late = now > c->first + 800 * MS;
		c->state = CALLER_RUNNING;
		c->at = now + SERVICE;
		return;
	}
	if (now < c->until)
		return;
	d = decide(p, c, now, waiting);
	c->until = d.until;
	if (d.step == ADMISSION_WAIT)
		return;
	if (c->tries < TRIES && now + d.retry_after_ns < c->deadline) {
		c->state = CALLER_AWAY;
		c->at = now + d.retry_after_ns;
		return;
	}
	p->held += now - c->at;
	c->state = CALLER_LOST;
}

static void
replay_run(struct replay *p, uint64_t end)
{
	uint32_t waiting;
	uint64_t now;
	uint32_t i;

	for (now = 0; now < end; now += STEP) {
		waiting = 0;
		for (i = 0; i < p->ncallers; i++)
			waiting += p->callers[i].state == CALLER_WAITING;
		for (i = 0; i < p->ncallers; i++)
			replay_step(p, &p->callers[i], now, waiting);
	}
}

/* 200 slots at two thirds of their load, and six times that for 3 s. */
static void
replay_burst(struct replay *p, int old_rule)
{
	uint64_t t;
	uint32_t i;

	memset(p, 0, sizeof(*p));
	p->old_rule = old_rule;
	p->slots = 200;
	for (t = 0; t < 20 * S; t += 100 * MS) {
		for (i = 0; i < (t >= 5 * S && t < 8 * S ? 40U : 7U); i++)
			replay_add(p, t + (uint64_t)i * 2 * MS);
	}
	replay_run(p, 40 * S);
}

/* A model is asked for 20 times a second; its load ends at a time. */
static void
replay_load(struct replay *p, int old_rule, uint64_t ready_at)
{
	uint64_t t;

	memset(p, 0, sizeof(*p));
	p->old_rule = old_rule;
	p->slots = 100;
	p->ready_at = ready_at;
	for (t = 0; t < 10 * S; t += 50 * MS)
		replay_add(p, t);
	replay_run(p, 40 * S);
}

/* The patience of callers on the page, and the time that an answer takes. */
static void
test_latest_start(void)
{
	struct admission_request r = make_request(10 * S, 25 * S);

	CU_ASSERT_EQUAL(admission_latest_start(&r), 12950 * MS);
	r.deadline = 14 * S; /* the answer takes 2 s */
	CU_ASSERT_EQUAL(admission_latest_start(&r), 11850 * MS);
	r.deadline = 11 * S;
	CU_ASSERT_EQUAL(admission_latest_start(&r), 10 * S);
	r.deadline = 40 * S;
	r.target_latency_ns = 10 * S;
	CU_ASSERT_EQUAL(admission_latest_start(&r), 37850 * MS);
	r.kind = ROUTE_AT_MOST_ONCE;
	r.first_event_ns = 0;
	r.service_ns = 60 * MS;
	r.deadline = 11500 * MS;
	CU_ASSERT_EQUAL(admission_latest_start(&r), 11290 * MS);
}

/* What cannot be served in time is refused at once, never at a deadline. */
static void
test_hopeless(void)
{
	struct admission_request r = make_request(10 * S, 18 * S);
	struct admission_capacity c = { 0, 5, 60 * S, 0, 0.0, 0 };
	struct admission_decision d;

	d = admission_decide(&r, &c, 10 * S, 0.5);
	CU_ASSERT_EQUAL(d.step, ADMISSION_REFUSE);
	c.slots = 10;
	c.waiting = 1000;
	d = admission_decide(&r, &c, 10 * S, 0.5);
	CU_ASSERT_EQUAL(d.step, ADMISSION_REFUSE);
	c.waiting = 10;
	d = admission_decide(&r, &c, 10 * S, 0.5);
	CU_ASSERT_EQUAL(d.step, ADMISSION_WAIT);
	CU_ASSERT_EQUAL(d.until, admission_latest_start(&r));
	d = admission_decide(&r, &c, d.until, 0.5);
	CU_ASSERT_EQUAL(d.step, ADMISSION_REFUSE);
}

/* A third of the time left at most, spread, never at once. */
static void
test_return_time(void)
{
	struct admission_request r = make_request(10 * S, 25 * S);
	struct admission_capacity c = { 100, 200, 0, 0, 0.0, 0 };
	struct admission_decision first, last;

	first = admission_decide(&r, &c, 14 * S, 0.0);
	last = admission_decide(&r, &c, 14 * S, 0.999);
	CU_ASSERT_EQUAL(first.step, ADMISSION_REFUSE);
	/* A place is expected after 4 s, a third of the time left is 3.7 s. */
	CU_ASSERT_EQUAL(first.retry_after_ns, 3 * S);
	CU_ASSERT(last.retry_after_ns <= 11 * S / 3);
	CU_ASSERT(last.retry_after_ns > first.retry_after_ns);
	c.waiting = 0;
	first = admission_decide(&r, &c, 14 * S, 0.0);
	CU_ASSERT_EQUAL(first.retry_after_ns, 300 * MS);
}

/* All replicas say that they take no requests: nobody waits in vain. */
static void
test_closed(void)
{
	struct admission_request r = make_request(10 * S, 25 * S);
	struct admission_capacity c = { 0, 0, 11 * S, 4, 0.0, 0 };
	struct admission_decision d;

	d = admission_decide(&r, &c, 10 * S, 0.5);
	CU_ASSERT_EQUAL(d.step, ADMISSION_WAIT);
	/* A kept place for each of those who wait comes on top. */
	c.waiting = 4;
	CU_ASSERT_EQUAL(
	    admission_predicted_start(&r, &c, 10 * S), 11 * S + r.service_ns);
	c.waiting = 0;
	c.ready_at = 24 * S;
	d = admission_decide(&r, &c, 10 * S, 0.5);
	CU_ASSERT_EQUAL(d.step, ADMISSION_REFUSE);
	CU_ASSERT_EQUAL(d.retry_after_ns, 5 * S);
	c.ready_at = 1000 * S;
	d = admission_decide(&r, &c, 10 * S, 0.5);
	CU_ASSERT_EQUAL(d.step, ADMISSION_REFUSE);
	CU_ASSERT_EQUAL(d.retry_after_ns, 5 * S);
}

static void
test_burst(void)
{
	replay_burst(&before, 1);
	replay_burst(&after, 0);
	printf("burst: served %u, in time %u, old rule %u, %u of %u\n",
	    after.served, after.in_time, before.served, before.in_time,
	    after.ncallers);
	CU_ASSERT(after.served > before.served);
	CU_ASSERT(after.in_time + 20 >= before.in_time);
}

/* Callers who come from 4.5 s on can be served once the load ends at 9.5 s. */
static void
test_load(void)
{
	replay_load(&before, 1, 9500 * MS);
	replay_load(&after, 0, 9500 * MS);
	printf("load: served %u, old rule %u of %u\n", after.served,
	    before.served, after.ncallers);
	CU_ASSERT(after.served >= after.ncallers * 9 / 10);
	CU_ASSERT(after.served > before.served);
	/* Nobody waits for a load that ends too late. */
	replay_load(&after, 0, 120 * S);
	CU_ASSERT_EQUAL(after.served, 0);
	CU_ASSERT_EQUAL(after.held, 0);
}

static const struct unit_case cases[] = {
	{ "latest start", test_latest_start },
	{ "cannot be served", test_hopeless },
	{ "time to return", test_return_time },
	{ "all replicas closed", test_closed },
	{ "burst", test_burst },
	{ "model being loaded", test_load },
};

UNIT_MAIN("admission", cases)
