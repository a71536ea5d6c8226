/* The scheduler and the limit that an engine names on its requests. */
#include <string.h>

#include "sched.h"
#include "unit.h"

#define MSEC NSEC_PER_MSEC
#define LIMIT_PER_1000_S 4000

static struct sched *sched;
static struct msg_list out;
static uint64_t now;

static void handle(struct msg *);
static void acquire(uint64_t, uint64_t);
static void release(uint64_t);
static int take_messages(enum msg_kind);
static void setup(void);
static void teardown(void);
static void test_rate(void);
static void test_refused_at_once(void);

static void
handle(struct msg *m)
{
	strcpy(m->from.addr, "10.0.0.1:1");
	m->from.incarnation = 1;
	sched_handle_message(sched, now, m, &out);
	msg_destroy(m);
}

static void
acquire(uint64_t rid, uint64_t slack)
{
	struct msg *m = msg_create(MSG_ACQUIRE, "");

	m->u.acquire.key.rid = rid;
	strcpy(m->u.acquire.model, "m");
	m->u.acquire.job_class = CLASS_STANDARD;
	m->u.acquire.tokens = 10;
	m->u.acquire.slack_ns = slack;
	handle(m);
}

static void
release(uint64_t rid)
{
	struct msg *m = msg_create(MSG_RELEASE, "");

	m->u.release.key.rid = rid;
	m->u.release.tokens = 10;
	handle(m);
}

/* Counts the messages of a kind, and frees all. */
static int
take_messages(enum msg_kind kind)
{
	struct msg *m;
	int n = 0;

	while ((m = TAILQ_FIRST(&out)) != NULL) {
		TAILQ_REMOVE(&out, m, entry);
		n += m->kind == kind;
		msg_destroy(m);
	}
	return n;
}

/* One replica, of which a gate has reported a limit. */
static void
setup(void)
{
	struct sched_config c;
	struct msg_replica r;
	struct msg *m;

	now = NSEC_PER_SEC;
	TAILQ_INIT(&out);
	sched_config_default(&c);
	sched = sched_create(&c, 0);
	memset(&r, 0, sizeof(r));
	strcpy(r.name, "r0");
	strcpy(r.models[r.nmodels++], "m");
	sched_update_replica(sched, now, &r, &out);
	m = msg_create(MSG_REPORT, "");
	m->u.report.n = 1;
	strcpy(m->u.report.items[0].replica, "r0");
	m->u.report.items[0].limit_per_1000_s = LIMIT_PER_1000_S;
	m->u.report.items[0].limit_ago_ns = MSEC;
	handle(m);
}

static void
teardown(void)
{
	take_messages(MSG__MAX);
	sched_destroy(sched);
}

/* Ten requests a second, for ten seconds. */
static void
test_rate(void)
{
	uint64_t rid;
	int granted = 0;

	setup();
	for (rid = 1; rid <= 100; rid++) {
		acquire(rid, NSEC_PER_SEC);
		sched_tick(sched, now, &out);
		granted += take_messages(MSG_GRANT);
		release(rid);
		now += 100 * MSEC;
	}
	CU_ASSERT(granted > 25 && granted <= LIMIT_PER_1000_S / 100);
	teardown();
}

/* What the limit does not let begin in time does not wait. */
static void
test_refused_at_once(void)
{
	uint64_t rid;

	setup();
	for (rid = 1; rid <= 30; rid++)
		acquire(rid, 2 * NSEC_PER_SEC);
	now += 100 * MSEC;
	sched_tick(sched, now, &out);
	CU_ASSERT(take_messages(MSG_REFUSE) >= 20);
	teardown();
}

static const struct unit_case cases[] = {
	{ "rate", test_rate },
	{ "refused at once", test_refused_at_once },
};

UNIT_MAIN("sched_limit", cases)
