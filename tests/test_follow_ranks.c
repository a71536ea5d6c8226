/*
 * The longest time to each process, of 300 in five data centres, for a version
 * of the configuration while those that rank first as relays are lost, or do
 * not reach the store.
 */
#include <stdio.h>
#include <string.h>

#include "follow_world.h"
#include "unit.h"

#define APPLY_MS 3000U /* config_apply_ms of such deployments */
#define FIRST 8U       /* of each data centre, by rank */
#define LIMIT_NS (20 * NSEC_PER_SEC)

static uint32_t candidate_rank(uint32_t);
static uint32_t time_to_all_ms(void);
static void run_fault(const char *, enum world_fault);
static void test_turned_away(void);
static void test_not_answered(void);
static void test_lost(void);
static void test_partitioned(void);

/* Rank of a process among the candidates of its data centre. */
static uint32_t
candidate_rank(uint32_t process)
{
	uint32_t first = process / WORLD_ZONE_SIZE * WORLD_ZONE_SIZE;
	uint32_t rank = 0;
	uint32_t i;

	for (i = first; i < first + WORLD_ZONE_SIZE; i++)
		rank += world[i].weight > world[process].weight ||
		    (world[i].weight == world[process].weight && i < process);
	return rank;
}

/* Until every process without a fault has the newest version. */
static uint32_t
time_to_all_ms(void)
{
	uint64_t start = world_now;
	uint32_t behind;
	uint32_t i;

	do {
		world_run(WORLD_STEP_NS);
		behind = 0;
		for (i = 0; i < WORLD_PROCESSES; i++)
			behind += world[i].fault == FAULT_NONE &&
			    !world_has(i, FOLLOW_CONFIG);
	} while (behind != 0 && world_now < start + LIMIT_NS);
	return (uint32_t)((world_now - start) / NSEC_PER_MSEC);
}

static void
run_fault(const char *name, enum world_fault fault)
{
	static const uint32_t after_ms[] = { 0, 100, 400, 1000, 2000 };
	uint32_t longest = 0;
	uint32_t ms;
	uint32_t i;
	uint32_t k;

	for (k = 0; k < 2 * nitems(after_ms); k++) {
		world_start(k + 1);
		for (i = 0; i < WORLD_PROCESSES; i++) {
			if (candidate_rank(i) < FIRST)
				world[i].fault = fault;
		}
		world_run(after_ms[k % nitems(after_ms)] * NSEC_PER_MSEC);
		world_write_config();
		ms = time_to_all_ms();
		longest = ms > longest ? ms : longest;
		world_end();
	}
	printf("%s: %u ms\n", name, longest);
	CU_ASSERT(longest <= APPLY_MS);
}

static void
test_turned_away(void)
{
	run_fault("turned away", FAULT_TURNED_AWAY);
}

static void
test_not_answered(void)
{
	run_fault("not answered", FAULT_NO_STORE);
}

static void
test_lost(void)
{
	run_fault("lost", FAULT_DEAD);
}

static void
test_partitioned(void)
{
	run_fault("partitioned", FAULT_CUT);
}

static const struct unit_case cases[] = {
	{ "the first candidates are lost", test_lost },
	{ "the first candidates are partitioned", test_partitioned },
	{ "the first candidates are turned away", test_turned_away },
	{ "the first candidates are not answered", test_not_answered },
};

UNIT_MAIN("follow_ranks", cases)
