/*
 * The longest time to each process, of 300 in five data centres, for a version
 * of the configuration and for changes of the list, with removals, while hubs
 * and relays fail.
 */
#include <stdio.h>
#include <string.h>

#include "follow_world.h"
#include "unit.h"

/* Most that any row may take; watches that are deaf end after 10 s. */
#define APPLY_MS 2000U
#define DEAF_MS 12000U
#define LATE_MS 3000U		 /* two reads of 1 s */
#define PACKED_LIST_BYTES 12000U /* of 116 replicas */
#define WINDOW_BYTES 120000U	 /* three of 40 KB, at 10 Mbit/s */
#define REPAIR_MS 1000U		 /* of a removal that was lost */
#define LIMIT_NS (20 * NSEC_PER_SEC)

enum target {
	ONE_HUB,
	ALL_HUBS,
	ONE_RELAY, /* that is no hub */
	HUB_AND_RELAY,
	ALL_RELAYS,
	ONE_PROCESS,
	TARGET__MAX
};

/* Times in ms from a change, or from the end of a fault. */
struct times {
	uint32_t ms[FOLLOW_TEXT__MAX];
};

struct run {
	enum world_fault fault;
	enum target target;
	int fault_ms; /* before the change; negative: after it */
	uint64_t seed;
	int hit[WORLD_PROCESSES];
};

static const char *const target_names[TARGET__MAX] = {
	[ONE_HUB] = "one hub",
	[ALL_HUBS] = "all hubs",
	[ONE_RELAY] = "one relay",
	[HUB_AND_RELAY] = "a hub and a relay",
	[ALL_RELAYS] = "all relays",
	[ONE_PROCESS] = "one process",
};

static void choose(struct run *);
static void set_fault(const struct run *, enum world_fault);
static struct times measure(const struct run *);
static void keep_longest(struct times *, const struct times *);
static void change_all(void);
static void run_one(struct run *, struct times *, struct times *);
static void run_fault(const char *, enum world_fault, uint32_t, uint32_t);
static void test_no_fault(void);
static void test_dead(void);
static void test_frozen(void);
static void test_cut(void);
static void test_turned_away(void);
static void test_slow(void);
static void test_deaf(void);
static void test_late_reads(void);
static void test_entry_removed(void);
static void test_not_pushed(void);
static void test_changes_limit(void);
static void test_pulls_of_lists(void);
static uint32_t draw(uint64_t *, uint32_t);
static void disturb(uint64_t *);
static void disturb_for(uint64_t *);
static void test_random_faults(void);
static uint32_t repair_ms(uint64_t, int);
static void test_lost_removal(void);
static void test_lost_removal_at_relay(void);
static void test_random_faults_of_lists(void);

static void
choose(struct run *r)
{
	uint32_t hubs = 0;
	uint32_t relays = 0;
	uint32_t others = 0;
	uint32_t i;
	int one;

	for (i = 0; i < WORLD_PROCESSES; i++) {
		if (world_is_hub(i)) {
			one =
			    r->target == ONE_HUB || r->target == HUB_AND_RELAY;
			r->hit[i] = r->target == ALL_HUBS ||
			    r->target == ALL_RELAYS || (one && hubs == 0);
			hubs++;
		} else if (world_is_relay(i)) {
			one = r->target == ONE_RELAY ||
			    r->target == HUB_AND_RELAY;
			r->hit[i] =
			    r->target == ALL_RELAYS || (one && relays == 0);
			relays++;
		} else {
			r->hit[i] = r->target == ONE_PROCESS && others == 0;
			others++;
		}
	}
	CU_ASSERT_EQUAL(hubs, HUBS_MAX);
	CU_ASSERT_EQUAL(hubs + relays, WORLD_ZONES);
}

static void
set_fault(const struct run *r, enum world_fault fault)
{
	uint32_t i;

	for (i = 0; i < WORLD_PROCESSES; i++) {
		if (r->hit[i])
			world[i].fault = fault;
	}
}

/* Runs until every process without a fault has both texts, and stays so. */
static struct times
measure(const struct run *r)
{
	struct times t = { { 0 } };
	uint64_t start = world_now;
	uint32_t behind[FOLLOW_TEXT__MAX];
	enum follow_text k;
	uint32_t i;

	do {
		world_run(WORLD_STEP_NS);
		memset(behind, 0, sizeof(behind));
		for (i = 0; i < WORLD_PROCESSES; i++) {
			if (r->hit[i] && world[i].fault != FAULT_NONE)
				continue;
			for (k = 0; k < FOLLOW_TEXT__MAX; k++)
				behind[k] += !world_has(i, k);
		}
		for (k = 0; k < FOLLOW_TEXT__MAX; k++) {
			if (behind[k] != 0)
				t.ms[k] = (uint32_t)((world_now - start) /
				    NSEC_PER_MSEC);
		}
	} while (world_now < start + LIMIT_NS &&
	    (behind[FOLLOW_CONFIG] != 0 || behind[FOLLOW_LIST] != 0));
	return t;
}

static void
keep_longest(struct times *longest, const struct times *t)
{
	enum follow_text k;

	for (k = 0; k < FOLLOW_TEXT__MAX; k++) {
		if (t->ms[k] > longest->ms[k])
			longest->ms[k] = t->ms[k];
	}
}

static void
change_all(void)
{
	world_write_config();
	world_write_entry(3);
	world_remove_entry(5);
	world_write_entry(WORLD_ENTRIES - 1);
}

static void
run_one(struct run *r, struct times *others, struct times *healed)
{
	struct times t;
	uint64_t ms;

	world_start(r->seed);
	choose(r);
	if (r->fault_ms >= 0) {
		ms = (uint64_t)r->fault_ms;
		set_fault(r, r->fault);
		world_run(ms * NSEC_PER_MSEC);
		change_all();
	} else {
		ms = (uint64_t)-r->fault_ms;
		change_all();
		world_run(ms * NSEC_PER_MSEC);
		set_fault(r, r->fault);
	}
	t = measure(r);
	if (r->fault_ms < 0) {
		t.ms[FOLLOW_CONFIG] += (uint32_t)ms;
		t.ms[FOLLOW_LIST] += (uint32_t)ms;
	}
	keep_longest(others, &t);
	if (r->fault != FAULT_DEAD) {
		set_fault(r, FAULT_NONE);
		t = measure(r);
		keep_longest(healed, &t);
	}
	CU_ASSERT(!world_went_back());
	world_end();
}

/*
 * A fault that begins before or after a change, at each of the targets, with
 * bounds in ms for one and for all of the hubs.
 */
static void
run_fault(
    const char *name, enum world_fault fault, uint32_t one_ms, uint32_t all_ms)
{
	static const int fault_ms[] = { 0, 100, 400, 2500, -30, -60 };
	struct run r = { .fault = fault, .seed = 1 };
	struct times others;
	struct times healed;
	uint32_t bound;
	uint32_t i;

	for (r.target = 0; r.target < TARGET__MAX; r.target++) {
		memset(&others, 0, sizeof(others));
		memset(&healed, 0, sizeof(healed));
		for (i = 0; i < nitems(fault_ms); i++) {
			r.fault_ms = fault_ms[i];
			r.seed++;
			run_one(&r, &others, &healed);
		}
		printf("%s, %s: configuration %u ms, list %u ms; itself "
		       "afterwards %u ms, %u ms\n",
		    target_names[r.target], name, others.ms[FOLLOW_CONFIG],
		    others.ms[FOLLOW_LIST], healed.ms[FOLLOW_CONFIG],
		    healed.ms[FOLLOW_LIST]);
		bound = r.target == ALL_HUBS || r.target == ALL_RELAYS ? all_ms
								       : one_ms;
		CU_ASSERT(others.ms[FOLLOW_CONFIG] <= bound);
		CU_ASSERT(others.ms[FOLLOW_LIST] <= bound);
		CU_ASSERT(healed.ms[FOLLOW_CONFIG] <= APPLY_MS);
		CU_ASSERT(healed.ms[FOLLOW_LIST] <= APPLY_MS);
	}
}

static void
test_no_fault(void)
{
	struct run r = { .fault = FAULT_NONE, .target = ONE_HUB };
	struct times others = { { 0 } };
	struct times healed = { { 0 } };

	for (r.seed = 1; r.seed <= 5; r.seed++)
		run_one(&r, &others, &healed);
	printf("no fault: configuration %u ms, list %u ms\n",
	    others.ms[FOLLOW_CONFIG], others.ms[FOLLOW_LIST]);
	CU_ASSERT(others.ms[FOLLOW_CONFIG] <= APPLY_MS / 2);
	CU_ASSERT(others.ms[FOLLOW_LIST] <= APPLY_MS / 4);
}

static void
test_dead(void)
{
	run_fault("dead", FAULT_DEAD, APPLY_MS, APPLY_MS);
}

static void
test_frozen(void)
{
	run_fault("frozen", FAULT_FROZEN, APPLY_MS, APPLY_MS);
}

static void
test_cut(void)
{
	run_fault("cut", FAULT_CUT, APPLY_MS, APPLY_MS);
}

static void
test_turned_away(void)
{
	run_fault("turned away", FAULT_TURNED_AWAY, APPLY_MS, APPLY_MS);
}

static void
test_slow(void)
{
	run_fault("slow", FAULT_SLOW, APPLY_MS, APPLY_MS);
}

/* No other process watches, so all hubs take as long as a watch lasts. */
static void
test_deaf(void)
{
	run_fault("deaf", FAULT_DEAF, APPLY_MS, DEAF_MS);
}

/*
 * The history is dropped, so watches are cut and the list is read again; the
 * answers come a second late, while peers tell what is newer.
 */
static void
test_late_reads(void)
{
	run_fault("late reads", FAULT_STALE, APPLY_MS, LATE_MS);
}

/* A list that is newer than a read knows what was removed since. */
static void
test_entry_removed(void)
{
	const struct follow_list mine = { 9, 1 };

	CU_ASSERT(follow_list_is_removed(&mine, 5, 8));
	CU_ASSERT(!follow_list_is_removed(&mine, 5, 9));
	CU_ASSERT(!follow_list_is_removed(&mine, 5, 12));
	CU_ASSERT(!follow_list_is_removed(&mine, 11, 12));
}

/*
 * All relays get changes of the list while they have no duty, and push nothing:
 * their processes pull at the same time.
 */
static void
test_not_pushed(void)
{
	struct run r = { .fault = FAULT_NONE };
	struct times t;
	struct times longest = { { 0 } };
	uint32_t i;

	for (r.seed = 1; r.seed <= 5; r.seed++) {
		world_start(r.seed);
		change_all();
		for (i = 0; i < WORLD_PROCESSES; i++) {
			if (world_is_relay(i))
				world_set_list(i);
		}
		t = measure(&r);
		keep_longest(&longest, &t);
		world_end();
	}
	printf("nothing pushed: list %u ms\n", longest.ms[FOLLOW_LIST]);
	CU_ASSERT(longest.ms[FOLLOW_LIST] <= APPLY_MS / 2);
}

/* Small answers do not count as whole lists do, but are limited too. */
static void
test_changes_limit(void)
{
	struct follow_answers a = { 0 };
	uint64_t t = LIMIT_NS;
	uint32_t n = 0;
	int i;

	for (i = 0; i < 100; i++)
		n += follow_answers_changes(&a, t, 500) != 0;
	CU_ASSERT_EQUAL(n, 100);
	for (i = 0, n = 0; i < 100; i++)
		n += follow_answers_changes(&a, t, 40000) != 0;
	CU_ASSERT(n <= 2);
	CU_ASSERT(follow_answers_pull(&a, t, FOLLOW_LIST));
	CU_ASSERT(follow_answers_changes(&a, t + NSEC_PER_SEC, 500));
}

/* However many lists are pulled, a configuration still is; both are limited. */
static void
test_pulls_of_lists(void)
{
	struct follow_answers a = { 0 };
	uint64_t t = LIMIT_NS;
	uint32_t lists = 0;
	uint32_t configs = 0;
	int i;

	for (i = 0; i < 100; i++)
		lists += follow_answers_pull(&a, t, FOLLOW_LIST) != 0;
	for (i = 0; i < 100; i++)
		configs += follow_answers_pull(&a, t, FOLLOW_CONFIG) != 0;
	CU_ASSERT(lists >= 1);
	/* As compressed; three in full before. */
	CU_ASSERT(lists * PACKED_LIST_BYTES <= WINDOW_BYTES);
	CU_ASSERT(configs >= 1);
	CU_ASSERT(configs <= 3);
	t += NSEC_PER_SEC;
	CU_ASSERT(follow_answers_pull(&a, t, FOLLOW_LIST));
}

/* A number from 0 to n - 1. */
static uint32_t
draw(uint64_t *state, uint32_t n)
{
	*state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)(*state >> 33) % n;
}

/* Gives relays and others any fault but death, or ends it, and changes texts.
 */
static void
disturb(uint64_t *state)
{
	uint32_t i;

	for (i = 0; i < WORLD_PROCESSES; i++) {
		if (draw(state, world_is_relay(i) ? 4 : 40) != 0)
			continue;
		world[i].fault =
		    FAULT_FROZEN + draw(state, FAULT__MAX - FAULT_FROZEN);
		if (draw(state, 3) == 0)
			world[i].fault = FAULT_NONE;
	}
	if (draw(state, 2) == 0)
		world_write_config();
	if (draw(state, 2) == 0)
		world_write_entry(draw(state, WORLD_ENTRIES));
	else
		world_remove_entry(draw(state, WORLD_ENTRIES));
}

/* Faults for 3 s, after which all have ended. */
static void
disturb_for(uint64_t *state)
{
	uint32_t i;

	for (i = 0; i < 30; i++) {
		disturb(state);
		world_run(100 * NSEC_PER_MSEC);
	}
	for (i = 0; i < WORLD_PROCESSES; i++)
		world[i].fault = FAULT_NONE;
}

/* Once faults end, all have both texts in time. */
static void
test_random_faults(void)
{
	struct run r = { .fault = FAULT_NONE };
	struct times t;
	struct times longest = { { 0 } };
	uint64_t state;

	for (r.seed = 1; r.seed <= 20; r.seed++) {
		state = r.seed;
		world_start(r.seed);
		disturb_for(&state);
		t = measure(&r);
		if (t.ms[FOLLOW_CONFIG] > APPLY_MS ||
		    t.ms[FOLLOW_LIST] > APPLY_MS || world_went_back())
			printf("seed %u: %u ms, %u ms, back %d\n",
			    (unsigned)r.seed, t.ms[FOLLOW_CONFIG],
			    t.ms[FOLLOW_LIST], world_went_back());
		keep_longest(&longest, &t);
		CU_ASSERT(!world_went_back());
		world_end();
	}
	printf("random faults: configuration %u ms, list %u ms\n",
	    longest.ms[FOLLOW_CONFIG], longest.ms[FOLLOW_LIST]);
	CU_ASSERT(longest.ms[FOLLOW_CONFIG] <= APPLY_MS);
	CU_ASSERT(longest.ms[FOLLOW_LIST] <= APPLY_MS);
}

/*
 * A process, or a relay, missed a removal, and the list changes every 50 ms:
 * time in ms until all are without the entry.
 */
static uint32_t
repair_ms(uint64_t seed, int relay)
{
	uint64_t start;
	uint64_t revision;
	uint32_t stale = 0;
	uint32_t late = 0;
	uint32_t n;
	uint32_t i;

	world_start(seed);
	revision = store_list()->entry[5];
	for (i = 0; i < WORLD_PROCESSES; i++) {
		if (!world_is_hub(i) && world_is_relay(i) == relay)
			stale = i;
	}
	world_remove_entry(5);
	world_run(NSEC_PER_SEC);
	memset(&world[stale].removals, 0, sizeof(world[stale].removals));
	process_set_entry(&world[stale], 5, revision);
	world[stale].nchanges = 0;
	start = world_now;
	for (n = 0; n < 200; n++) {
		world_write_entry(6 + n % 10);
		world_run(50 * NSEC_PER_MSEC);
		for (i = 0; i < WORLD_PROCESSES; i++) {
			if (world[i].list.entry[5] != 0)
				late = (uint32_t)((world_now - start) /
				    NSEC_PER_MSEC);
		}
	}
	world_end();
	return late;
}

static void
test_lost_removal(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 5; seed++)
		CU_ASSERT(repair_ms(seed, 0) <= REPAIR_MS);
}

static void
test_lost_removal_at_relay(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 5; seed++)
		CU_ASSERT(repair_ms(seed, 1) <= REPAIR_MS);
}

/* Seeds with which lost removals were repaired after 2.5 to 19 s. */
static void
test_random_faults_of_lists(void)
{
	static const uint64_t seeds[] = { 26, 42, 44, 64, 77, 94 };
	struct run r = { .fault = FAULT_NONE };
	struct times t;
	uint64_t state;
	uint32_t i;

	for (i = 0; i < nitems(seeds); i++) {
		state = seeds[i];
		world_start(seeds[i]);
		disturb_for(&state);
		t = measure(&r);
		CU_ASSERT(t.ms[FOLLOW_LIST] <= APPLY_MS);
		CU_ASSERT(t.ms[FOLLOW_CONFIG] <= APPLY_MS);
		CU_ASSERT(!world_went_back());
		world_end();
	}
}

static const struct unit_case cases[] = {
	{ "no fault", test_no_fault },
	{ "dead", test_dead },
	{ "frozen", test_frozen },
	{ "cut", test_cut },
	{ "turned away by the store", test_turned_away },
	{ "slow", test_slow },
	{ "deaf watches", test_deaf },
	{ "late reads", test_late_reads },
	{ "an entry removed since a read", test_entry_removed },
	{ "a list that is not pushed", test_not_pushed },
	{ "a limit on changes", test_changes_limit },
	{ "a configuration beside pulls of lists", test_pulls_of_lists },
	{ "random faults", test_random_faults },
	{ "random faults, removals lost", test_random_faults_of_lists },
	{ "a lost removal while the list changes", test_lost_removal },
	{ "a relay that missed a removal", test_lost_removal_at_relay },
};

UNIT_MAIN("follow bounds", cases)
