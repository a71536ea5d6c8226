/* The choice of a peer that passes attempts on. */
#include <stdio.h>
#include <string.h>

#include "detours.h"
#include "unit.h"

#define S NSEC_PER_SEC
#define MSEC NSEC_PER_MSEC
#define PEERS 12

static struct detours *setup(int, int);
static void test_near_first(void);
static void test_failed_rests(void);
static void test_spread(void);
static void test_all_cut_off(void);
static void test_peers_that_go(void);
static void test_random(void);
static void test_data_centre_cut_off(void);

/* Peers by number, of which the first ones are near. */
static struct detours *
setup(int n, int nnear)
{
	struct detours *d = detours_create();
	char addr[ADDR_SIZE];
	int i;

	detours_begin_update(d);
	for (i = 0; i < n; i++) {
		snprintf(addr, sizeof(addr), "10.0.0.%d:1", i);
		detours_put(d, addr, i < nnear);
	}
	detours_end_update(d);
	return d;
}

static void
test_near_first(void)
{
	struct detours *d = setup(4, 1);

	CU_ASSERT_STRING_EQUAL(detours_choose(d, S, 0.99), "10.0.0.0:1");
	/* One that is known to work is better, also if it is far. */
	detours_worked(d, "10.0.0.3:1");
	CU_ASSERT_STRING_EQUAL(detours_choose(d, S, 0.0), "10.0.0.3:1");
	detours_destroy(d);
}

static void
test_failed_rests(void)
{
	struct detours *d = setup(1, 1);

	detours_failed(d, "10.0.0.0:1", 10 * S);
	CU_ASSERT_PTR_NULL(detours_choose(d, 10 * S + 499 * MSEC, 0.5));
	CU_ASSERT_PTR_NOT_NULL(detours_choose(d, 10 * S + 500 * MSEC, 0.5));
	detours_failed(d, "10.0.0.0:1", 11 * S);
	CU_ASSERT_PTR_NULL(detours_choose(d, 11 * S + 999 * MSEC, 0.5));
	detours_worked(d, "10.0.0.0:1");
	CU_ASSERT_PTR_NOT_NULL(detours_choose(d, 11 * S, 0.5));
	detours_destroy(d);
}

static void
test_spread(void)
{
	struct detours *d = setup(4, 4);
	uint32_t used[4] = { 0 };
	const char *addr;
	int i;

	for (i = 0; i < 40; i++) {
		addr = detours_choose(d, S, (i * 7 % 10) / 10.0);
		used[addr[7] - '0']++;
		detours_started(d, addr);
		detours_worked(d, addr);
	}
	CU_ASSERT_EQUAL(detours_in_progress(d), 40);
	for (i = 0; i < 4; i++)
		CU_ASSERT(used[i] >= 8 && used[i] <= 13);
	detours_destroy(d);
}

static void
test_all_cut_off(void)
{
	struct detours *d = setup(3, 2);
	const char *addr;
	int n = 0;

	while ((addr = detours_choose(d, S, 0.5)) != NULL && n++ < 10)
		detours_failed(d, addr, S);
	CU_ASSERT_EQUAL(n, 3);
	detours_reset(d);
	CU_ASSERT_PTR_NOT_NULL(detours_choose(d, S, 0.5));
	detours_destroy(d);
}

static void
test_peers_that_go(void)
{
	struct detours *d = setup(2, 2);

	detours_started(d, "10.0.0.0:1");
	detours_begin_update(d);
	detours_put(d, "10.0.0.1:1", 1);
	detours_end_update(d);
	detours_ended(d, "10.0.0.0:1");
	detours_failed(d, "10.0.0.0:1", S);
	CU_ASSERT_STRING_EQUAL(detours_choose(d, S, 0.0), "10.0.0.1:1");
	CU_ASSERT_EQUAL(detours_in_progress(d), 0);
	detours_destroy(d);
}

/* A peer that rests is never chosen, and one that does not always is. */
static void
test_random(void)
{
	struct detours *d = setup(PEERS, 3);
	uint64_t rests_until[PEERS] = { 0 };
	uint32_t failures[PEERS] = { 0 };
	uint64_t random = 3;
	uint64_t now = S;
	const char *addr;
	char name[ADDR_SIZE];
	int i, k, any;

	for (i = 0; i < 20000; i++) {
		random =
		    random * 6364136223846793005ULL + 1442695040888963407ULL;
		now += (random >> 33) % (300 * MSEC);
		addr =
		    detours_choose(d, now, (double)(random >> 40) / (1 << 24));
		any = 0;
		for (k = 0; k < PEERS; k++)
			any |= now >= rests_until[k];
		CU_ASSERT_EQUAL_FATAL(addr != NULL, any);
		if (addr != NULL) {
			(void)sscanf(addr, "10.0.0.%d:", &k);
			CU_ASSERT_FATAL(now >= rests_until[k]);
		} else {
			k = (int)((random >> 20) % PEERS);
		}
		snprintf(name, sizeof(name), "10.0.0.%d:1", k);
		if ((random >> 62) != 0) {
			detours_failed(d, name, now);
			rests_until[k] =
			    now + (failures[k] < 1 ? 500 * MSEC : S);
			failures[k]++;
		} else {
			detours_worked(d, name);
			rests_until[k] = 0;
			failures[k] = 0;
		}
	}
	detours_destroy(d);
}

/* All near peers are cut off: a request finds a far one within its tries. */
static void
test_data_centre_cut_off(void)
{
	struct detours *d = setup(64, 56);
	const char *addr = NULL;
	int i, k = 0;

	for (i = 0; i < 4; i++) {
		addr = detours_choose(d, S, 0.5);
		(void)sscanf(addr, "10.0.0.%d:", &k);
		if (k >= 56)
			break;
		detours_failed(d, addr, S);
	}
	CU_ASSERT(k >= 56);
	detours_worked(d, addr);
	/* Also when the others have rested. */
	CU_ASSERT_STRING_EQUAL(detours_choose(d, 60 * S, 0.5), addr);
	detours_destroy(d);
}

static const struct unit_case cases[] = {
	{ "data centre cut off", test_data_centre_cut_off },
	{ "near first", test_near_first },
	{ "failed rests", test_failed_rests },
	{ "spread", test_spread },
	{ "all cut off", test_all_cut_off },
	{ "peers that go", test_peers_that_go },
	{ "random", test_random },
};

UNIT_MAIN("detours", cases)
