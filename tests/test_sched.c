/* Scheduler policy, one rule per test. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched.h"
#include "unit.h"

#define MSEC NSEC_PER_MSEC

static struct sched *sched;
static struct msg_list out;
static uint64_t now;

static void setup(uint32_t, int);
static void teardown(void);
static void list_replica(const char *, const char *, int, uint64_t);
static void update_replica(const char *, const char *, int);
static void acquire(uint64_t, enum job_class, uint32_t, uint64_t);
static void release(uint64_t, uint64_t, uint64_t);
static struct msg *from_gate(enum msg_kind);
static void acquire_with_prefix(uint64_t, uint64_t);
static int count_messages(enum msg_kind, uint64_t, char *);
static void clear_messages(void);
static void test_grant(void);
static void test_repeated_acquire(void);
static void test_short_before_long(void);
static void test_long_share(void);
static void test_cancel_waiting(void);
static void test_deadline(void);
static void test_overnight(void);
static void test_slow_replica(void);
static void test_prefix(void);
static void test_prefix_bounded(void);
static void test_leaving_replica(void);
static void test_dead_gate(void);
static void test_owner_takeover(void);
static void test_unknown_model(void);
static void report_notice(const char *, uint64_t, uint64_t, uint32_t);
static uint64_t refused_for(uint64_t);
static void test_closed_replica(void);
static void test_all_replicas_closed(void);
static void test_leaving_by_own_word(void);

static void
setup(uint32_t slots, int replicas)
{
	struct sched_config c;
	char name[16];
	int i;

	now = NSEC_PER_SEC;
	TAILQ_INIT(&out);
	sched_config_default(&c);
	c.slots_initial = slots;
	sched = sched_create(&c, 0);
	for (i = 0; i < replicas; i++) {
		snprintf(name, sizeof(name), "r%d", i);
		update_replica(name, "m", 0);
	}
}

static void
teardown(void)
{
	clear_messages();
	sched_destroy(sched);
}

static void
list_replica(
    const char *name, const char *model, int leaving, uint64_t incarnation)
{
	struct msg_replica r;

	memset(&r, 0, sizeof(r));
	strcpy(r.name, name);
	strcpy(r.models[r.nmodels++], model);
	r.leaving = (uint32_t)leaving;
	r.incarnation = incarnation;
	sched_update_replica(sched, now, &r, &out);
}

static void
update_replica(const char *name, const char *model, int leaving)
{
	list_replica(name, model, leaving, 0);
}

static struct msg *
from_gate(enum msg_kind kind)
{
	struct msg *m = msg_create(kind, "");

	strcpy(m->from.addr, "10.0.0.1:1");
	m->from.incarnation = 1;
	return m;
}

static void
acquire(uint64_t rid, enum job_class class, uint32_t tokens, uint64_t slack)
{
	struct msg *m = from_gate(MSG_ACQUIRE);

	m->u.acquire.key.rid = rid;
	strcpy(m->u.acquire.model, "m");
	m->u.acquire.job_class = class;
	m->u.acquire.tokens = tokens;
	m->u.acquire.slack_ns = slack;
	sched_handle_message(sched, now, m, &out);
	msg_destroy(m);
}

static void
release(uint64_t rid, uint64_t first, uint64_t token)
{
	struct msg *m = from_gate(MSG_RELEASE);

	m->u.release.key.rid = rid;
	m->u.release.first_ns = first;
	m->u.release.token_ns = token;
	m->u.release.tokens = 10;
	sched_handle_message(sched, now, m, &out);
	msg_destroy(m);
}

/*
 * Counts messages of a kind for a request, 0 for any; copies the replica of
 * the last grant.
 */
static int
count_messages(enum msg_kind kind, uint64_t rid, char *where)
{
	struct msg *m;
	int n = 0;

	TAILQ_FOREACH (m, &out, entry) {
		if (m->kind != kind)
			continue;
		if (rid != 0 && m->u.key.rid != rid)
			continue;
		n++;
		if (where != NULL)
			strcpy(where, m->u.grant.replica);
	}
	return n;
}

static void
clear_messages(void)
{
	struct msg *m;

	while ((m = TAILQ_FIRST(&out)) != NULL) {
		TAILQ_REMOVE(&out, m, entry);
		msg_destroy(m);
	}
}

static void
test_grant(void)
{
	struct sched_stats t;

	setup(1, 1);
	acquire(1, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	acquire(2, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 1, NULL), 1);
	CU_ASSERT_EQUAL(count_messages(MSG_QUEUED, 2, NULL), 1);
	release(1, 0, 0);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 2, NULL), 1);
	release(2, 0, 0);
	sched_get_stats(sched, &t);
	CU_ASSERT_EQUAL(t.granted, 0);
	teardown();
}

/* A repeated ACQUIRE returns the same grant and takes no second slot. */
static void
test_repeated_acquire(void)
{
	struct sched_stats t;

	setup(4, 1);
	acquire(1, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	acquire(1, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 1, NULL), 2);
	CU_ASSERT_EQUAL(TAILQ_FIRST(&out)->u.grant.grant_id,
	    TAILQ_LAST(&out, msg_list)->u.grant.grant_id);
	sched_get_stats(sched, &t);
	CU_ASSERT_EQUAL(t.granted, 1);
	teardown();
}

static void
test_short_before_long(void)
{
	setup(1, 1);
	acquire(1, CLASS_STANDARD, 10, 100 * NSEC_PER_SEC);
	acquire(2, CLASS_STANDARD, 5000, 100 * NSEC_PER_SEC);
	now += 100 * MSEC;
	acquire(3, CLASS_INTERACTIVE, 10, 10 * NSEC_PER_SEC);
	clear_messages();
	release(1, 0, 0);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 3, NULL), 1);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 2, NULL), 0);
	teardown();
}

/* Long jobs run, but leave slots free for short ones. */
static void
test_long_share(void)
{
	uint64_t rid;

	setup(10, 1);
	acquire(1, CLASS_INTERACTIVE, 10, 10 * NSEC_PER_SEC);
	release(1, 0, 0);
	clear_messages();
	for (rid = 10; rid < 30; rid++)
		acquire(rid, CLASS_STANDARD, 5000, 100 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 0, NULL), 6);
	acquire(40, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 40, NULL), 1);
	teardown();
}

static void
test_cancel_waiting(void)
{
	struct sched_stats t;
	struct msg *m;

	setup(1, 1);
	acquire(1, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	acquire(2, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	m = from_gate(MSG_CANCEL);
	m->u.key.rid = 2;
	sched_handle_message(sched, now, m, &out);
	msg_destroy(m);
	release(1, 0, 0);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 2, NULL), 0);
	sched_get_stats(sched, &t);
	CU_ASSERT_EQUAL(t.waiting + t.granted, 0);
	teardown();
}

/* Only jobs that cannot start before their deadline are refused. */
static void
test_deadline(void)
{
	setup(1, 1);
	acquire(1, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	acquire(2, CLASS_INTERACTIVE, 10, 200 * MSEC);
	acquire(3, CLASS_INTERACTIVE, 10, 100 * NSEC_PER_SEC);
	clear_messages();
	now += 300 * MSEC;
	sched_tick(sched, now, &out);
	CU_ASSERT_EQUAL(count_messages(MSG_REFUSE, 2, NULL), 1);
	CU_ASSERT_EQUAL(count_messages(MSG_REFUSE, 3, NULL), 0);
	release(1, 0, 0);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 3, NULL), 1);
	teardown();
}

/* Overnight jobs yield until their latest start comes close. */
static void
test_overnight(void)
{
	struct msg *m;

	setup(1, 1);
	acquire(1, CLASS_STANDARD, 10, 100 * NSEC_PER_SEC);
	acquire(2, CLASS_OVERNIGHT, 10, 8 * 3600ULL * NSEC_PER_SEC);
	acquire(3, CLASS_STANDARD, 10, 100 * NSEC_PER_SEC);
	clear_messages();
	release(1, 0, 0);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 3, NULL), 1);
	acquire(4, CLASS_OVERNIGHT, 10, 20 * NSEC_PER_SEC);
	clear_messages();
	now += 100 * MSEC;
	acquire(5, CLASS_STANDARD, 10, 100 * NSEC_PER_SEC);
	release(3, 0, 0);
	/* It precedes a short job that arrived later. */
	TAILQ_FOREACH (m, &out, entry) {
		if (m->kind == MSG_GRANT)
			break;
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(m);
	CU_ASSERT_EQUAL(m->u.grant.key.rid, 4);
	teardown();
}

/* The slots of a replica much slower than its peers are cut, then recover. */
static void
test_slow_replica(void)
{
	uint32_t outstanding;
	uint32_t slots;
	struct msg *m;
	int i;

	setup(16, 4);
	m = from_gate(MSG_REPORT);
	m->u.report.n = 4;
	for (i = 0; i < 4; i++) {
		snprintf(m->u.report.items[i].replica, NAME_SIZE, "r%d", i);
		m->u.report.items[i].token_ns = 10 * MSEC;
	}
	m->u.report.items[2].token_ns = 50 * MSEC;
	sched_handle_message(sched, now, m, &out);
	now += 200 * MSEC;
	sched_tick(sched, now, &out);
	sched_get_replica_load(sched, "r2", &outstanding, &slots);
	CU_ASSERT_EQUAL(slots, 4);
	sched_get_replica_load(sched, "r1", &outstanding, &slots);
	CU_ASSERT_EQUAL(slots, 16);
	m->u.report.items[2].token_ns = 10 * MSEC;
	for (i = 0; i < 20; i++) {
		now += 200 * MSEC;
		sched_handle_message(sched, now, m, &out);
		sched_tick(sched, now, &out);
	}
	/* The limit grows again once it is used up. */
	for (i = 0; i < 64; i++)
		acquire(100 + (uint64_t)i, CLASS_INTERACTIVE, 10,
		    100 * NSEC_PER_SEC);
	now += 200 * MSEC;
	sched_tick(sched, now, &out);
	sched_get_replica_load(sched, "r2", &outstanding, &slots);
	CU_ASSERT(slots > 4);
	msg_destroy(m);
	teardown();
}

static void
acquire_with_prefix(uint64_t rid, uint64_t prefix)
{
	struct msg *m = from_gate(MSG_ACQUIRE);

	m->u.acquire.key.rid = rid;
	strcpy(m->u.acquire.model, "m");
	m->u.acquire.tokens = 10;
	m->u.acquire.prefix = prefix;
	m->u.acquire.slack_ns = 100 * NSEC_PER_SEC;
	sched_handle_message(sched, now, m, &out);
	msg_destroy(m);
}

static void
test_prefix(void)
{
	char first[NAME_SIZE] = "";
	char second[NAME_SIZE] = "";

	setup(8, 4);
	acquire_with_prefix(1, 42);
	count_messages(MSG_GRANT, 1, first);
	release(1, 0, 0);
	acquire(2, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	acquire_with_prefix(3, 42);
	count_messages(MSG_GRANT, 3, second);
	CU_ASSERT_STRING_EQUAL(first, second);
	teardown();
}

/* Prefix affinity yields when its replica has much more load than others. */
static void
test_prefix_bounded(void)
{
	char where[NAME_SIZE];
	uint32_t least = 99;
	uint32_t most = 0;
	uint32_t outstanding;
	uint32_t slots;
	uint64_t rid;
	int i;

	setup(8, 4);
	for (rid = 1; rid <= 16; rid++)
		acquire_with_prefix(rid, 42);
	for (i = 0; i < 4; i++) {
		snprintf(where, sizeof(where), "r%d", i);
		sched_get_replica_load(sched, where, &outstanding, &slots);
		least = outstanding < least ? outstanding : least;
		most = outstanding > most ? outstanding : most;
	}
	CU_ASSERT(most <= least + 3);
	teardown();
}

static void
test_leaving_replica(void)
{
	char where[NAME_SIZE] = "";

	setup(2, 2);
	update_replica("r0", "m", 1);
	acquire(1, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	count_messages(MSG_GRANT, 1, where);
	CU_ASSERT_STRING_EQUAL(where, "r1");
	acquire(2, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	acquire(3, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 3, NULL), 0);
	teardown();
}

static void
test_dead_gate(void)
{
	struct sched_stats t;

	setup(2, 1);
	acquire(1, CLASS_INTERACTIVE, 10, 100 * NSEC_PER_SEC);
	now += 6 * NSEC_PER_SEC;
	sched_tick(sched, now, &out);
	sched_get_stats(sched, &t);
	CU_ASSERT_EQUAL(t.granted, 0);
	teardown();
}

/* A new owner takes over the grants in SYNC messages. */
static void
test_owner_takeover(void)
{
	uint32_t outstanding;
	uint32_t slots;
	struct msg *m;

	setup(2, 1);
	m = from_gate(MSG_SYNC);
	m->u.sync.n = 1;
	m->u.sync.items[0].key.rid = 7;
	m->u.sync.items[0].grant_id = 3;
	strcpy(m->u.sync.items[0].replica, "r0");
	sched_handle_message(sched, now, m, &out);
	sched_handle_message(sched, now, m, &out);
	msg_destroy(m);
	sched_get_replica_load(sched, "r0", &outstanding, &slots);
	CU_ASSERT_EQUAL(outstanding, 1);
	release(7, 0, 0);
	sched_get_replica_load(sched, "r0", &outstanding, &slots);
	CU_ASSERT_EQUAL(outstanding, 0);
	teardown();
}

static void
test_unknown_model(void)
{
	setup(1, 0);
	acquire(1, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	CU_ASSERT_EQUAL(count_messages(MSG_REFUSE, 1, NULL), 1);
	/* Requests for a declared model wait for its first copy. */
	sched_declare_model(sched, "m");
	acquire(2, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	CU_ASSERT_EQUAL(count_messages(MSG_QUEUED, 2, NULL), 1);
	update_replica("r0", "m", 0);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 2, NULL), 1);
	teardown();
}

/* A gate reports that a replica of an incarnation is closed, or leaves. */
static void
report_notice(const char *name, uint64_t incarnation, uint64_t closed_ns,
    uint32_t leaving)
{
	struct msg *m = from_gate(MSG_REPORT);

	m->u.report.n = 1;
	strcpy(m->u.report.items[0].replica, name);
	m->u.report.items[0].incarnation = incarnation;
	m->u.report.items[0].closed_ns = closed_ns;
	m->u.report.items[0].leaving = leaving;
	sched_handle_message(sched, now, m, &out);
	msg_destroy(m);
}

/* The time told with the refusal of a request, TIME_NEVER if there is none. */
static uint64_t
refused_for(uint64_t rid)
{
	struct msg *m;

	TAILQ_FOREACH (m, &out, entry) {
		if (m->kind == MSG_REFUSE && m->u.refuse.key.rid == rid)
			return m->u.refuse.retry_ns;
	}
	return TIME_NEVER;
}

/* A closed replica is granted nothing until its time ends. */
static void
test_closed_replica(void)
{
	uint32_t outstanding, slots;
	uint64_t rid;

	setup(2, 2);
	report_notice("r0", 0, 2 * NSEC_PER_SEC, 0);
	for (rid = 1; rid <= 6; rid++)
		acquire(rid, CLASS_STANDARD, 1000, 10 * NSEC_PER_SEC);
	CU_ASSERT(count_messages(MSG_GRANT, 0, NULL) > 0);
	/* A shorter time does not end it. */
	report_notice("r0", 0, 1 * NSEC_PER_SEC, 0);
	now += 1900 * MSEC;
	sched_tick(sched, now, &out);
	sched_get_replica_load(sched, "r0", &outstanding, &slots);
	CU_ASSERT_EQUAL(outstanding, 0);
	now += 200 * MSEC;
	sched_tick(sched, now, &out);
	sched_get_replica_load(sched, "r0", &outstanding, &slots);
	CU_ASSERT(outstanding > 0);
	teardown();
}

/* Without another replica requests wait for the first time that ends. */
static void
test_all_replicas_closed(void)
{
	char where[NAME_SIZE];

	setup(1, 2);
	acquire(1, CLASS_INTERACTIVE, 10, 4 * NSEC_PER_SEC);
	release(1, 0, 0);
	clear_messages();
	report_notice("r0", 0, 9 * NSEC_PER_SEC, 0);
	report_notice("r1", 0, 5 * NSEC_PER_SEC, 0);
	acquire(2, CLASS_INTERACTIVE, 10, 4 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(refused_for(2), 5 * NSEC_PER_SEC);
	acquire(3, CLASS_INTERACTIVE, 10, 8 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(count_messages(MSG_QUEUED, 3, NULL), 1);
	/* A new incarnation is clean, but may be the one that said it. */
	list_replica("r0", "m", 0, 7);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 3, NULL), 0);
	list_replica("r0", "m", 0, 8);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 3, where), 1);
	CU_ASSERT_STRING_EQUAL(where, "r0");
	acquire(4, CLASS_INTERACTIVE, 10, 8 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(count_messages(MSG_QUEUED, 4, NULL), 1);
	release(3, 0, 0);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 4, NULL), 1);
	teardown();
}

/* What runs on a replica that leaves by its own word is not touched. */
static void
test_leaving_by_own_word(void)
{
	struct sched_stats t;
	char where[NAME_SIZE];

	setup(1, 1);
	list_replica("r0", "m", 0, 5);
	acquire(1, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	report_notice("r0", 5, 0, 1);
	update_replica("r1", "m", 0);
	acquire(2, CLASS_INTERACTIVE, 10, NSEC_PER_SEC);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 2, where), 1);
	CU_ASSERT_STRING_EQUAL(where, "r1");
	sched_get_stats(sched, &t);
	CU_ASSERT_EQUAL(t.granted, 2);
	release(1, 0, 0);
	clear_messages();
	update_replica("r0", "m", 1);
	list_replica("r0", "m", 0, 5); /* undrained, but it has not restarted */
	acquire(3, CLASS_OVERNIGHT, 10, 9 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 3, NULL), 0);
	list_replica("r0", "m", 0, 6);
	CU_ASSERT_EQUAL(count_messages(MSG_GRANT, 3, where), 1);
	CU_ASSERT_STRING_EQUAL(where, "r0");
	teardown();
}

static const struct unit_case cases[] = {
	{ "grant and queue", test_grant },
	{ "repeated acquire", test_repeated_acquire },
	{ "short before long", test_short_before_long },
	{ "share of long jobs", test_long_share },
	{ "cancel while waiting", test_cancel_waiting },
	{ "deadline", test_deadline },
	{ "overnight", test_overnight },
	{ "slow replica", test_slow_replica },
	{ "prefix affinity", test_prefix },
	{ "prefix affinity is bounded", test_prefix_bounded },
	{ "leaving replica", test_leaving_replica },
	{ "dead gate", test_dead_gate },
	{ "new owner takes over grants", test_owner_takeover },
	{ "unknown and declared models", test_unknown_model },
	{ "closed replica", test_closed_replica },
	{ "all replicas closed", test_all_replicas_closed },
	{ "replica that leaves by its own word", test_leaving_by_own_word },
};

UNIT_MAIN("sched", cases)
