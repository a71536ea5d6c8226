/* Demand reported by processes, and the key that announces a process. */
#include <stdlib.h>
#include <string.h>

#include "announce.h"
#include "demand.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC

static void test_demand(void);
static void test_first_report(void);
static void test_recent_rate(void);
static void test_announce(void);

/* Reports are cumulative: a restart must not count as a burst of arrivals. */
static void
test_demand(void)
{
	struct demand d = { 0 };
	struct demand_item *i;
	int k;

	demand_update_averages(&d, S);
	for (k = 1; k <= 20; k++) {
		demand_update(&d, S + (uint64_t)k * 100 * MS, 1, "m",
		    (uint64_t)k * 2, 3, 1);
		if (k % 2 == 0)
			demand_update_averages(&d, S + (uint64_t)k * 100 * MS);
	}
	i = demand_find(&d, "m");
	CU_ASSERT_PTR_NOT_NULL_FATAL(i);
	CU_ASSERT(i->rate > 15.0 && i->rate < 25.0);
	CU_ASSERT(i->load > 3.0 && i->load < 4.5);
	CU_ASSERT_EQUAL(demand_waiting_count(i, 3 * S), 1);
	demand_update(&d, 3 * S, 1, "m", 1, 0, 0); /* restarted */
	demand_update_averages(&d, 3 * S + MS);
	CU_ASSERT(i->rate < 25.0);
	demand_update(&d, 4 * S, 1, "m", 2, 6, 0);
	CU_ASSERT(demand_current_load(i, 4 * S) > 5.0);
	CU_ASSERT(demand_current_load(i, 7 * S) <
	    1.0); /* no report within the limit */
	demand_clear(&d);
}

/* A new hub hears totals since the start: they are no burst of arrivals. */
static void
test_first_report(void)
{
	struct demand d = { 0 };
	struct demand_item *i;
	uint32_t k;

	demand_update_averages(&d, S);
	for (k = 0; k < 300; k++)
		demand_update(&d, 2 * S, k, "m", 1000, 1, 1);
	demand_update_averages(&d, 2 * S + 100 * MS);
	i = demand_find(&d, "m");
	CU_ASSERT_EQUAL(i->total, 600); /* those still in work */
	CU_ASSERT_EQUAL(demand_waiting_count(i, 2 * S), 300);
	CU_ASSERT_EQUAL(demand_running_count(i, 2 * S), 300);
	demand_update(&d, 3 * S, 7, "m", 1004, 0, 0);
	CU_ASSERT_EQUAL(i->total, 604);
	CU_ASSERT(demand_is_current(i, 4 * S));
	CU_ASSERT(!demand_is_current(i, 6 * S));
	demand_clear(&d);
}

/* Requests count for two seconds, whether they were served or refused. */
static void
test_recent_rate(void)
{
	struct demand d = { 0 };
	struct demand_item *i;
	uint64_t t;

	demand_update(&d, 10 * S, 1, "m", 0, 0, 0);
	for (t = 1; t <= 40; t++)
		demand_update(&d, 10 * S + t * 50 * MS, 1, "m", t, 0, 0);
	i = demand_find(&d, "m");
	CU_ASSERT_DOUBLE_EQUAL(demand_recent_rate(i, 12 * S), 20.0, 3.0);
	CU_ASSERT_DOUBLE_EQUAL(demand_recent_rate(i, 15 * S), 0.0, 0.01);
	demand_clear(&d);
}

/*
 * The key is written under a lease, and again after an unknown outcome and
 * after the lease is lost.
 */
static void
test_announce(void)
{
	struct announce_config c = { 30, S };
	struct kv_ids ids = { 0 };
	struct announce *a = announce_create(&c, "peer/x", "{}", &ids);
	struct kv_result r;
	struct kv_ops ops;
	struct kv_op *op;
	int writes = 0;
	int keeps = 0;
	uint64_t now;

	TAILQ_INIT(&ops);
	for (now = S; now < 60 * S; now += 100 * MS) {
		announce_tick(a, now, &ops);
		while ((op = TAILQ_FIRST(&ops)) != NULL) {
			TAILQ_REMOVE(&ops, op, entry);
			memset(&r, 0, sizeof(r));
			r.id = op->id;
			r.kind = op->kind;
			r.lease_id = 3;
			r.status = op->kind == KV_GET ? KV_ABSENT : KV_OK;
			writes += op->kind == KV_CAS;
			keeps += op->kind == KV_KEEPALIVE;
			if (op->kind == KV_KEEPALIVE && keeps == 2)
				r.status = KV_ABSENT; /* lease lost */
			if (op->kind == KV_CAS && writes == 1)
				r.status = KV_UNKNOWN;
			CU_ASSERT(announce_kv_result(a, now, &r, &ops));
			kv_op_destroy(op);
		}
	}
	CU_ASSERT_EQUAL(writes, 3);
	CU_ASSERT(keeps >= 4 && keeps <= 6);
	announce_release(a, &ops);
	CU_ASSERT_EQUAL(TAILQ_FIRST(&ops)->kind, KV_REVOKE);
	op = TAILQ_FIRST(&ops);
	TAILQ_REMOVE(&ops, op, entry);
	kv_op_destroy(op);
	announce_destroy(a);
}

static const struct unit_case cases[] = {
	{ "demand", test_demand },
	{ "first report", test_first_report },
	{ "recent rate", test_recent_rate },
	{ "announce", test_announce },
};

UNIT_MAIN("demand", cases)
