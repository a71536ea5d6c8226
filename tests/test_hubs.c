/* Selection of the processes that watch the key-value lists for all. */
#include <stdio.h>
#include <string.h>

#include "hubs.h"
#include "unit.h"

#define SILENCE_NS (800 * NSEC_PER_MSEC)
#define CANDIDATES 6

static struct hub hubs[CANDIDATES];
static struct hub *all[CANDIDATES];

static void setup(void);
static void test_rank(void);
static void test_silent(void);
static void test_all_silent(void);
static void test_index(void);
static void test_relays(void);
static void test_turned_away(void);
static void test_relay_lost(void);
static void test_stopping(void);

static void
setup(void)
{
	uint32_t i;

	memset(hubs, 0, sizeof(hubs));
	for (i = 0; i < CANDIDATES; i++) {
		snprintf(hubs[i].addr, ADDR_SIZE, "10.0.0.%u:1", i);
		hubs[i].weight = 12;
		hubs[i].heard_at = 1;
		all[i] = &hubs[CANDIDATES - 1 - i];
	}
	hubs[5].self = 1;
}

/* Ranked by CPU share, then by address, whatever the order of candidates. */
static void
test_rank(void)
{
	struct hub *out[HUBS_MAX];

	setup();
	hubs[4].weight = 50;
	CU_ASSERT_EQUAL(
	    hubs_choose(all, CANDIDATES, 1, SILENCE_NS, out), HUBS_MAX);
	CU_ASSERT_PTR_EQUAL(out[0], &hubs[4]);
	CU_ASSERT_PTR_EQUAL(out[1], &hubs[0]);
	CU_ASSERT_PTR_EQUAL(out[2], &hubs[1]);
	CU_ASSERT_EQUAL(hubs_choose(all, 2, 1, SILENCE_NS, out), 2);
}

/* A silent hub is skipped until heard again; other processes may be silent. */
static void
test_silent(void)
{
	struct hub *out[HUBS_MAX];
	uint64_t now = 10 * NSEC_PER_SEC;

	setup();
	hubs_choose(all, CANDIDATES, now, SILENCE_NS, out);
	CU_ASSERT_PTR_EQUAL(out[0], &hubs[0]);
	now += SILENCE_NS + 1;
	hubs[1].heard_at = now;
	hubs[2].heard_at = now;
	hubs_choose(all, CANDIDATES, now, SILENCE_NS, out);
	CU_ASSERT_PTR_EQUAL(out[0], &hubs[1]);
	CU_ASSERT_PTR_EQUAL(out[2], &hubs[3]); /* silent, but was no hub */
	now += SILENCE_NS + 1;
	hubs[1].heard_at = now;
	hubs[2].heard_at = now;
	hubs_choose(all, CANDIDATES, now, SILENCE_NS, out);
	CU_ASSERT_PTR_EQUAL(out[2], &hubs[4]);
	hubs[0].heard_at = now;
	hubs_choose(all, CANDIDATES, now, SILENCE_NS, out);
	CU_ASSERT_PTR_EQUAL(out[0], &hubs[0]);
}

/* A process that hears no other one becomes the only hub. */
static void
test_all_silent(void)
{
	struct hub *out[HUBS_MAX];
	uint64_t now = NSEC_PER_SEC;
	uint32_t i;

	setup();
	for (i = 0; i < CANDIDATES; i++) {
		hubs_choose(all, CANDIDATES, now, SILENCE_NS, out);
		now += SILENCE_NS + 1;
	}
	CU_ASSERT_EQUAL(hubs_choose(all, CANDIDATES, now, SILENCE_NS, out), 1);
	CU_ASSERT_PTR_EQUAL(out[0], &hubs[5]);
}

static void
test_index(void)
{
	uint32_t n[HUBS_MAX] = { 0 };
	char addr[ADDR_SIZE];
	uint32_t i;

	for (i = 0; i < 300; i++) {
		snprintf(addr, sizeof(addr), "10.0.%u.%u:7", i / 100, i % 100);
		n[hubs_index_for(addr, HUBS_MAX)]++;
	}
	for (i = 0; i < HUBS_MAX; i++)
		CU_ASSERT_TRUE(n[i] > 60 && n[i] < 140);
}

/* One relay a data centre, by the rank of hubs. */
static void
test_relays(void)
{
	struct hub *out[CANDIDATES];
	uint32_t i;

	setup();
	for (i = 0; i < CANDIDATES; i++)
		snprintf(hubs[i].zone, NAME_SIZE, "z%u", i % 3);
	hubs[4].weight = 50;
	CU_ASSERT_EQUAL(relays_choose(all, CANDIDATES, 1, SILENCE_NS, out), 3);
	for (i = 0; i < 3; i++)
		CU_ASSERT(out[i] == &hubs[0] || out[i] == &hubs[4] ||
		    out[i] == &hubs[2]);
	CU_ASSERT(hubs[4].hub_since != 0);
	CU_ASSERT(hubs[1].hub_since == 0);
}

/* A process that the store turns away, of weight 0, is a hub only at need. */
static void
test_turned_away(void)
{
	struct hub *out[HUBS_MAX];
	uint32_t i;

	setup();
	hubs[0].weight = 0;
	hubs[1].weight = 0;
	hubs_choose(all, CANDIDATES, 1, SILENCE_NS, out);
	CU_ASSERT_PTR_EQUAL(out[0], &hubs[2]);
	CU_ASSERT_PTR_EQUAL(out[2], &hubs[4]);
	CU_ASSERT_EQUAL(hubs[0].hub_since, 0);
	for (i = 0; i < CANDIDATES; i++)
		hubs[i].weight = 0;
	CU_ASSERT_EQUAL(
	    hubs_choose(all, CANDIDATES, 2, SILENCE_NS, out), HUBS_MAX);
}

/*
 * 300 processes in six data centres lose every relay at once: each has another
 * one as soon as the time-out allows, and the first ones return to their place.
 */
static void
test_relay_lost(void)
{
	static struct hub fleet[300];
	static struct hub *candidates[300];
	struct hub *out[300];
	struct hub *first[300];
	uint64_t now = 10 * NSEC_PER_SEC;
	uint32_t i;
	uint32_t k;

	memset(fleet, 0, sizeof(fleet));
	for (i = 0; i < 300; i++) {
		snprintf(fleet[i].addr, ADDR_SIZE, "10.%u.0.%u:1", i % 6, i);
		snprintf(fleet[i].zone, NAME_SIZE, "z%u", i % 6);
		fleet[i].weight = 12 + i % 7;
		candidates[i] = &fleet[i];
	}
	CU_ASSERT_EQUAL(
	    relays_choose(candidates, 300, now, SILENCE_NS, first), 6);
	now += SILENCE_NS + 1;
	CU_ASSERT_EQUAL(
	    relays_choose(candidates, 300, now, SILENCE_NS, out), 6);
	for (i = 0; i < 6; i++) {
		for (k = 0; k < 6; k++)
			CU_ASSERT(out[i] != first[k]);
		CU_ASSERT_EQUAL(out[i]->weight, first[i]->weight);
	}
	for (i = 0; i < 6; i++)
		first[i]->heard_at = now;
	relays_choose(candidates, 300, now, SILENCE_NS, out);
	for (i = 0; i < 6; i++)
		CU_ASSERT_PTR_EQUAL(out[i], first[i]);
}

/* One that stops is passed over at once, though it is heard. */
static void
test_stopping(void)
{
	struct hub *out[CANDIDATES];
	uint64_t now = NSEC_PER_SEC;

	setup();
	hubs_choose(all, CANDIDATES, now, SILENCE_NS, out);
	CU_ASSERT_PTR_EQUAL(out[0], &hubs[0]);
	hubs[0].stopping = 1;
	hubs[0].heard_at = now;
	CU_ASSERT_EQUAL(
	    hubs_choose(all, CANDIDATES, now, SILENCE_NS, out), HUBS_MAX);
	CU_ASSERT_PTR_EQUAL(out[0], &hubs[1]);
	CU_ASSERT_EQUAL(hubs[0].hub_since, 0);
	CU_ASSERT_EQUAL(
	    relays_choose(all, CANDIDATES, now, SILENCE_NS, out), 1);
	CU_ASSERT_PTR_EQUAL(out[0], &hubs[1]);
	hubs[0].stopping = 0;
	relays_choose(all, CANDIDATES, now, SILENCE_NS, out);
	CU_ASSERT_PTR_EQUAL(out[0], &hubs[0]);
}

static const struct unit_case cases[] = {
	{ "rank by weight, then by address", test_rank },
	{ "silent hub skipped", test_silent },
	{ "all other processes silent", test_all_silent },
	{ "even distribution", test_index },
	{ "relays", test_relays },
	{ "turned away by the store", test_turned_away },
	{ "relays lost", test_relay_lost },
	{ "one that stops", test_stopping },
};

UNIT_MAIN("hubs", cases)
