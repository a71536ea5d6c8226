/* Pulls of a configuration by many processes at once. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pulls.h"
#include "unit.h"

#define PEERS 24U      /* of a data centre */
#define APPLY_MS 3000U /* config_apply_ms */
#define TICK_MS 50U    /* of a process without duties */
#define SOURCE_TICK_MS 20U
#define START_NS (100 * NSEC_PER_SEC)

static void test_data_centre_at_once(void);
static void test_order(void);

/* All learn of a version from a peer that was not to push it. */
static void
test_data_centre_at_once(void)
{
	struct follow followers[PEERS];
	struct follow_answers answers = { 0 };
	struct pulls waiting = { 0 };
	char addr[ADDR_SIZE];
	uint32_t answered_ms = 0;
	uint32_t behind = PEERS;
	uint32_t ms;
	uint32_t i;
	uint64_t now;

	memset(followers, 0, sizeof(followers));
	for (i = 0; i < PEERS; i++) {
		follow_set_version(&followers[i], START_NS, 1);
		follow_report(&followers[i], START_NS, 2, "source");
	}
	for (ms = 0; ms < 10000 && behind != 0; ms += 10) {
		now = START_NS + ms * NSEC_PER_MSEC;
		for (i = 0; i < PEERS && ms % TICK_MS == 0; i++) {
			if (!(follow_next(&followers[i], now) & FOLLOW_PULL))
				continue;
			snprintf(addr, sizeof(addr), "%u", i);
			pulls_add(&waiting, addr);
		}
		while (ms % SOURCE_TICK_MS == 0 &&
		    pulls_next(&waiting, &answers, now, addr)) {
			(void)sscanf(addr, "%u", &i);
			behind -= follow_is_behind(&followers[i]) != 0;
			follow_set_version(&followers[i], now, 2);
			answered_ms = ms;
		}
	}
	CU_ASSERT_EQUAL(behind, 0);
	CU_ASSERT(answered_ms <= APPLY_MS / 2);
	pulls_clear(&waiting);
}

static void
test_order(void)
{
	struct follow_answers answers = { 0 };
	struct pulls p = { 0 };
	char addr[ADDR_SIZE];
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < 40; i++) {
		snprintf(addr, sizeof(addr), "%u", i % 20);
		pulls_add(&p, addr);
	}
	CU_ASSERT_EQUAL(p.n, 20);
	for (i = 0; i < 100; i++) {
		while (pulls_next(&p, &answers,
		    START_NS + 100ULL * i * NSEC_PER_MSEC, addr)) {
			CU_ASSERT_EQUAL(strtoul(addr, NULL, 10), n);
			n++;
		}
	}
	CU_ASSERT_EQUAL(n, 20);
	pulls_clear(&p);
}

static const struct unit_case cases[] = {
	{ "a data centre at once", test_data_centre_at_once },
	{ "order", test_order },
};

UNIT_MAIN("pulls", cases)
