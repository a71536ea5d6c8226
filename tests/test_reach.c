/* Whether a process reaches replicas by itself. */
#include <string.h>

#include "reach.h"
#include "unit.h"

#define S NSEC_PER_SEC
#define MSEC NSEC_PER_MSEC
#define LISTED 16U

static void test_three_replicas_fail(void);
static void test_one_service_down(void);
static void test_release(void);
static void test_peers_fail_too(void);
static void test_small_list(void);
static void test_kept_connections(void);
static void test_whose_failure(void);
static void test_probes(void);
static void test_random_order(void);
static void test_replicas_crash_together(void);

static void
test_three_replicas_fail(void)
{
	struct reach r = { 0 };

	CU_ASSERT_EQUAL(reach_failed(&r, 10 * S, 1, LISTED), 0);
	CU_ASSERT_EQUAL(reach_failed(&r, 10 * S + MSEC, 2, LISTED), 0);
	CU_ASSERT_EQUAL(reach_mode(&r, 10 * S + MSEC), REACH_DIRECT);
	CU_ASSERT_EQUAL(reach_failed(&r, 10 * S + 2 * MSEC, 3, LISTED), 1);
	CU_ASSERT_EQUAL(reach_mode(&r, 10 * S + 2 * MSEC), REACH_NONE);
	/* Said once. */
	CU_ASSERT_EQUAL(reach_failed(&r, 10 * S + 3 * MSEC, 4, LISTED), 0);
	CU_ASSERT_EQUAL(reach_connected(&r, 11 * S), 1);
	CU_ASSERT_EQUAL(reach_mode(&r, 11 * S), REACH_DIRECT);
	CU_ASSERT_EQUAL(reach_connected(&r, 12 * S), 0);
}

/* One replica that is down, however often it is tried. */
static void
test_one_service_down(void)
{
	struct reach r = { 0 };
	uint64_t i;

	for (i = 0; i < 20; i++)
		CU_ASSERT_EQUAL(
		    reach_failed(&r, 10 * S + i * MSEC, 7, LISTED), 0);
	CU_ASSERT_EQUAL(reach_mode(&r, 11 * S), REACH_DIRECT);
}

/* Replicas that leave one after the other, beside some that are reached. */
static void
test_release(void)
{
	struct reach r = { 0 };
	uint64_t i;

	for (i = 0; i < 20; i++) {
		CU_ASSERT_EQUAL(
		    reach_failed(&r, (10 + i) * S, i + 1, LISTED), 0);
		CU_ASSERT_EQUAL(reach_failed(&r, (10 + i) * S + 100 * MSEC,
				    i + 101, LISTED),
		    0);
		(void)reach_connected(&r, (10 + i) * S + 200 * MSEC);
	}
	/* Without any success, but far apart. */
	for (i = 0; i < 20; i++)
		CU_ASSERT_EQUAL(
		    reach_failed(&r, (40 + 2 * i) * S, i + 1, LISTED), 0);
}

static void
test_peers_fail_too(void)
{
	struct reach r = { 0 };

	(void)reach_failed(&r, 10 * S, 1, LISTED);
	(void)reach_failed(&r, 10 * S, 2, LISTED);
	CU_ASSERT_EQUAL(reach_replica_down(&r, 1), 0);
	CU_ASSERT_EQUAL(reach_failed(&r, 10 * S, 3, LISTED), 0);
	CU_ASSERT_EQUAL(reach_failed(&r, 10 * S, 4, LISTED), 1);
	CU_ASSERT_EQUAL(reach_replica_down(&r, 99), 0);
	CU_ASSERT_EQUAL(reach_replica_down(&r, 3), 1);
	CU_ASSERT_EQUAL(reach_mode(&r, 10 * S), REACH_DIRECT);
}

static void
test_small_list(void)
{
	struct reach r = { 0 };

	CU_ASSERT_EQUAL(reach_failed(&r, 10 * S, 1, 2), 0);
	CU_ASSERT_EQUAL(reach_failed(&r, 10 * S, 2, 2), 1);
}

/* Open connections work while new ones fail. */
static void
test_kept_connections(void)
{
	struct reach r = { 0 };

	reach_heard(&r, 9 * S + 900 * MSEC);
	(void)reach_failed(&r, 10 * S, 1, LISTED);
	(void)reach_failed(&r, 10 * S, 2, LISTED);
	(void)reach_failed(&r, 10 * S, 3, LISTED);
	/* Bytes from before the first failure show nothing. */
	CU_ASSERT_EQUAL(reach_mode(&r, 10 * S), REACH_NONE);
	reach_heard(&r, 10 * S + MSEC);
	CU_ASSERT_EQUAL(reach_mode(&r, 10 * S + MSEC), REACH_KEPT);
	reach_heard(&r, 10 * S + 800 * MSEC);
	CU_ASSERT_EQUAL(reach_mode(&r, 11 * S + 700 * MSEC), REACH_KEPT);
	CU_ASSERT_EQUAL(reach_mode(&r, 11 * S + 900 * MSEC), REACH_NONE);
}

/* A peer that is cut off itself does not put the blame on the replica. */
static void
test_whose_failure(void)
{
	struct reach r = { 0 };

	reach_heard(&r, 10 * S);
	CU_ASSERT(reach_hears_others(&r, 10 * S + 400 * MSEC));
	CU_ASSERT(!reach_hears_others(&r, 10 * S + 600 * MSEC));
}

static void
test_probes(void)
{
	struct reach r = { 0 };
	uint32_t n = 0;
	uint64_t t;

	CU_ASSERT_EQUAL(reach_probe_due(&r, 10 * S), 0);
	(void)reach_failed(&r, 10 * S, 1, 1);
	for (t = 10 * S; t < 20 * S; t += 20 * MSEC)
		n += (uint32_t)reach_probe_due(&r, t);
	/* A few a second, however many replicas are listed. */
	CU_ASSERT(n >= 20 && n <= 40);
	(void)reach_connected(&r, 20 * S);
	CU_ASSERT_EQUAL(reach_probe_due(&r, 30 * S), 0);
}

/*
 * Against an oracle: cut off as soon as three replicas have failed since the
 * latest connection within 3 s, and until the next connection.
 */
static void
test_random_order(void)
{
	struct reach r = { 0 };
	uint64_t failed_at[8] = { 0 };
	uint64_t random = 7;
	uint64_t now = 100 * S;
	uint32_t n;
	int cut = 0;
	int i, k;

	for (i = 0; i < 20000; i++) {
		random =
		    random * 6364136223846793005ULL + 1442695040888963407ULL;
		now += (random >> 33) % (900 * MSEC);
		k = (int)((random >> 20) % 8);
		if ((random >> 60) == 0) {
			(void)reach_connected(&r, now);
			memset(failed_at, 0, sizeof(failed_at));
			cut = 0;
		} else {
			(void)reach_failed(&r, now, (uint64_t)k + 1, LISTED);
			failed_at[k] = now;
			n = 0;
			for (k = 0; k < 8; k++)
				n += failed_at[k] != 0 &&
				    now <= failed_at[k] + 3 * S;
			cut |= n >= 3;
		}
		CU_ASSERT_EQUAL_FATAL(reach_mode(&r, now) != REACH_DIRECT, cut);
	}
}

/* Replicas that crash together are no cut: another one is probed at once. */
static void
test_replicas_crash_together(void)
{
	struct reach r = { 0 };
	uint64_t i;

	reach_heard(&r, 10 * S);
	for (i = 1; i <= 3; i++)
		(void)reach_failed(&r, 10 * S, i, LISTED);
	CU_ASSERT_EQUAL(reach_mode(&r, 10 * S), REACH_KEPT);
	CU_ASSERT_EQUAL(reach_probe_due(&r, 10 * S), 1);
	for (i = 1; i <= 3; i++)
		CU_ASSERT(reach_has_failed(&r, i));
	CU_ASSERT(!reach_has_failed(&r, 4));
	CU_ASSERT_EQUAL(reach_connected(&r, 10 * S + MSEC), 1);
	CU_ASSERT_EQUAL(reach_mode(&r, 10 * S + MSEC), REACH_DIRECT);
}

static const struct unit_case cases[] = {
	{ "replicas crash together", test_replicas_crash_together },
	{ "three replicas fail", test_three_replicas_fail },
	{ "one service down", test_one_service_down },
	{ "release", test_release },
	{ "peers fail too", test_peers_fail_too },
	{ "small list", test_small_list },
	{ "kept connections", test_kept_connections },
	{ "whose failure", test_whose_failure },
	{ "probes", test_probes },
	{ "random order", test_random_order },
};

UNIT_MAIN("reach", cases)
