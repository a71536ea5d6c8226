/* Decisions on parts of prompts that crash replicas. */
#include <string.h>

#include "poison_fixture.h"
#include "unit.h"

static void test_three_crashes(void);
static void test_answer_refutes(void);
static void test_failed_together(void);
static void test_same_replica(void);
static void test_random_crashes(void);
static void test_expiry(void);
static void test_tried_again(void);
static void test_answered_while_blocked(void);
static void test_companion_part(void);
static void test_companion_answered_before(void);
static void test_many_crashes(void);
static void test_bounds(void);
static void test_crashes_fill_list(void);
static void test_crashes_in_pairs(void);
static void test_copies_lost_within_a_second(void);
static void test_rack_and_another_crash(void);
static void test_care(void);
static void test_care_outlasts_table(void);
static void test_care_ends_with_answer(void);
static void test_no_care_after_start(void);
static void test_new_until_answered(void);

static void
test_three_crashes(void)
{
	struct poison *p = poison_create();
	uint64_t part = DEADLY;

	crash(p, 10 * S, 1, DEADLY);
	CU_ASSERT(poison_is_suspect(p, 10 * S, 0, &part, 1));
	crash(p, 10 * S + 500 * MS, 2, DEADLY);
	CU_ASSERT_EQUAL(blocked(p, 20 * S, DEADLY), 0);
	crash(p, 11 * S, 3, DEADLY);
	CU_ASSERT_EQUAL(blocked(p, 11 * S, DEADLY), 0);
	CU_ASSERT(blocked(p, 11 * S + 500 * MS, DEADLY) > 60 * S);
	CU_ASSERT_EQUAL(blocked(p, 12 * S, COMMON), 0);
	CU_ASSERT_EQUAL(poison_count_blocked(p), 1);
	poison_destroy(p);
}

/* A part that is answered after a crash has not caused it. */
static void
test_answer_refutes(void)
{
	struct poison *p = poison_create();
	uint64_t part = COMMON;
	uint64_t now;

	for (now = 10 * S; now < 20 * S; now += 500 * MS) {
		crash(p, now, now, COMMON);
		poison_answered(p, now + 100 * MS, &part, 1);
		CU_ASSERT_EQUAL(blocked(p, now + 200 * MS, COMMON), 0);
	}
	CU_ASSERT(!poison_is_suspect(p, now, 0, &part, 1));
	poison_destroy(p);
}

/* A rack fails: any part may have been on several of its replicas. */
static void
test_failed_together(void)
{
	struct poison *p = poison_create();
	uint64_t i;

	for (i = 0; i < 28; i++)
		crash(p, 10 * S + i * 5 * MS, i, COMMON);
	CU_ASSERT_EQUAL(blocked(p, 15 * S, COMMON), 0);
	poison_destroy(p);
}

/* Several processes see one crash, at different times. */
static void
test_same_replica(void)
{
	struct poison *p = poison_create();
	uint64_t i;

	for (i = 0; i < 5; i++)
		crash(p, 10 * S + i * 400 * MS, 7, DEADLY);
	CU_ASSERT_EQUAL(blocked(p, 15 * S, DEADLY), 0);
	poison_destroy(p);
}

/* Replicas crash at random times; the parts in flight are never the cause. */
static void
test_random_crashes(void)
{
	struct poison *p = poison_create();
	uint64_t seed = 1;
	uint64_t now, part;

	for (now = 10 * S; now < 600 * S; now += 10 * MS) {
		seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
		part = (seed >> 40) % 200;
		if ((seed >> 33) % 100 == 0)
			crash(p, now, now, part);
		else
			poison_answered(p, now, &part, 1);
		CU_ASSERT_EQUAL(blocked(p, now, part), 0);
		CU_ASSERT_EQUAL(poison_count_blocked(p), 0);
	}
	poison_destroy(p);
}

static void
test_expiry(void)
{
	struct poison *p = poison_create();
	uint64_t part = DEADLY;
	uint64_t until;

	crash(p, 10 * S, 1, DEADLY);
	crash(p, 11 * S, 2, DEADLY);
	CU_ASSERT_EQUAL(blocked(p, 60 * S, DEADLY), 0);
	CU_ASSERT(!poison_is_suspect(p, 60 * S, 0, &part, 1));
	crash(p, 60 * S, 3, DEADLY);
	CU_ASSERT_EQUAL(blocked(p, 70 * S, DEADLY), 0);
	crash_thrice(p, 61 * S, S, 10, DEADLY);
	until = blocked(p, 70 * S, DEADLY);
	CU_ASSERT(until > 70 * S);
	CU_ASSERT_EQUAL(blocked(p, until, DEADLY), 0);
	CU_ASSERT_EQUAL(poison_count_blocked(p), 0);
	CU_ASSERT(!poison_is_suspect(p, until, 0, &part, 1));
	poison_destroy(p);
}

/* A part blocked on few crashes is tried again; if it crashes, for longer. */
static void
test_tried_again(void)
{
	struct poison *p = poison_create();
	uint64_t part = DEADLY;
	uint64_t until;

	crash_thrice(p, 10 * S, S, 0, DEADLY);
	until = blocked(p, 20 * S, DEADLY);
	CU_ASSERT(until > 60 * S && until < 100 * S);
	CU_ASSERT_EQUAL(blocked(p, until, DEADLY), 0);
	CU_ASSERT(poison_is_suspect(p, until, 0, &part, 1));
	crash(p, until + S, 4, DEADLY);
	CU_ASSERT(blocked(p, until + S, DEADLY) > until + 300 * S);
	poison_answered(p, until + 2 * S, &part, 1);
	CU_ASSERT_EQUAL(blocked(p, until + 2 * S, DEADLY), 0);
	poison_destroy(p);
}

/* A blocked part is answered; a request comes before the next update. */
static void
test_answered_while_blocked(void)
{
	struct poison *p = poison_create();
	uint64_t part = DEADLY;

	crash_thrice(p, 10 * S, S, 0, DEADLY);
	CU_ASSERT(blocked(p, 14 * S, DEADLY) != 0);
	poison_answered(p, 15 * S, &part, 1);
	CU_ASSERT_EQUAL(poison_blocked_until(p, 15 * S, &part, 1), 0);
	poison_destroy(p);
}

/*
 * A rare sound part is in each of the first crashing requests, beside the
 * deadly one.  It is free again once the deadly part explains its crashes.
 */
static void
test_companion_part(void)
{
	struct poison *p = poison_create();
	uint64_t both[2] = { RARE, DEADLY };
	uint64_t i;

	for (i = 0; i < 3; i++)
		poison_crashed(p, 10 * S + i * S, i, both, 2);
	CU_ASSERT((blocked(p, 13 * S, RARE) != 0) !=
	    (blocked(p, 13 * S, DEADLY) != 0));
	/* Whichever was chosen, the deadly part crashes more without it. */
	if (blocked(p, 13 * S, DEADLY) == 0)
		crash(p, 14 * S, 4, DEADLY);
	CU_ASSERT(blocked(p, 14 * S, DEADLY) != 0);
	CU_ASSERT_EQUAL(blocked(p, 14 * S, RARE), 0);
	/* Unless it crashes replicas by itself. */
	crash_thrice(p, 15 * S, S, 10, RARE);
	CU_ASSERT(blocked(p, 18 * S, RARE) != 0);
	crash(p, 19 * S, 20, DEADLY);
	crash(p, 20 * S, 21, DEADLY);
	CU_ASSERT(blocked(p, 20 * S, RARE) != 0);
	CU_ASSERT(blocked(p, 20 * S, DEADLY) != 0);
	poison_destroy(p);
}

/* The same, and the rare part was answered before. */
static void
test_companion_answered_before(void)
{
	struct poison *p = poison_create();
	uint64_t both[2] = { RARE, DEADLY };
	uint64_t i;

	poison_answered(p, 2 * S, both, 1);
	crash(p, 9 * S, 99, RARE);
	for (i = 0; i < 3; i++)
		poison_crashed(p, 10 * S + i * S, i, both, 2);
	CU_ASSERT(blocked(p, 13 * S, DEADLY) != 0);
	CU_ASSERT_EQUAL(blocked(p, 13 * S, RARE), 0);
	poison_destroy(p);
}

/*
 * A deadly part crashes more replicas than its list holds; a sound part was
 * about to be answered on some of them.
 */
static void
test_many_crashes(void)
{
	struct poison *p = poison_create();
	uint64_t both[2] = { RARE, DEADLY };
	uint64_t i;

	for (i = 0; i < 50; i++)
		poison_crashed(p, 10 * S + i * 50 * MS, i,
		    i % 8 == 0 ? both : both + 1, i % 8 == 0 ? 2 : 1);
	for (i = 0; i < 60; i++) {
		CU_ASSERT(blocked(p, 13 * S + i * S, DEADLY) != 0);
		CU_ASSERT_EQUAL(blocked(p, 13 * S + i * S, RARE), 0);
	}
	poison_destroy(p);
}

/* A flood of suspects, and malformed evidence, leave what is blocked. */
static void
test_bounds(void)
{
	struct poison *p = poison_create();
	struct poison_evidence e[POISON_REPORT_MAX];
	uint64_t i;

	crash_thrice(p, 10 * S, S, 0, DEADLY);
	for (i = 0; i < 5000; i++)
		crash(p, 13 * S, i, 0x1000 + i);
	CU_ASSERT(blocked(p, 14 * S, DEADLY) != 0);
	CU_ASSERT_EQUAL(poison_report(p, 14 * S, e), POISON_REPORT_MAX);
	CU_ASSERT_EQUAL(e[0].part, DEADLY);
	memset(&e[0], 0xff, sizeof(e[0]));
	poison_merge(p, 14 * S, &e[0]);
	CU_ASSERT_EQUAL(blocked(p, 16 * S, UINT64_MAX), 0);
	poison_destroy(p);
}

/*
 * A fleet with many requests: the deadly part crashes more replicas than are
 * kept, all at almost one time, and goes on.  It is blocked.
 */
static void
test_crashes_fill_list(void)
{
	struct poison *p = poison_create();
	uint64_t i;

	for (i = 0; i < POISON_CRASHES_MAX; i++)
		crash(p, 10 * S + i * 10 * MS, i, DEADLY);
	for (i = 0; i < 10; i++)
		crash(p, 11 * S + i * S, 100 + i, DEADLY);
	CU_ASSERT(blocked(p, 20 * S, DEADLY) != 0);
	poison_destroy(p);
}

/*
 * Six replicas crash in three pairs, the request and its repeat.  The rule
 * counts from the fifth crash, so the part is not tried again by all processes
 * a minute later.
 */
static void
test_crashes_in_pairs(void)
{
	struct poison *p = poison_create();
	uint64_t i;

	for (i = 0; i < 6; i++)
		crash(p, 10 * S + i / 2 * S + i % 2 * 140 * MS, i, DEADLY);
	CU_ASSERT(blocked(p, 13 * S, DEADLY) != 0);
	CU_ASSERT(blocked(p, 80 * S, DEADLY) != 0);
	poison_destroy(p);
}

/*
 * The part ends all copies of its model one after the other, faster than three
 * times GROUP_NS: it is blocked before the next copy is loaded.
 */
static void
test_copies_lost_within_a_second(void)
{
	static const uint64_t at[] = { 10000, 10244, 10528, 10655 };
	struct poison *p = poison_create();
	uint64_t both[2] = { COMMON, DEADLY };
	uint64_t i;

	poison_answered(p, 9 * S, both, 1);
	for (i = 0; i < nitems(at); i++)
		poison_crashed(p, at[i] * MS, i, both, 2);
	CU_ASSERT(blocked(p, 11 * S + 500 * MS, DEADLY) != 0);
	CU_ASSERT_EQUAL(blocked(p, 11 * S + 500 * MS, COMMON), 0);
	poison_destroy(p);
}

/*
 * Copies in one rack fail together, found one after the other by busy
 * processes; later another one crashes.  The part was answered before.
 */
static void
test_rack_and_another_crash(void)
{
	struct poison *p = poison_create();
	uint64_t part = RARE;
	uint64_t i;

	poison_answered(p, 9 * S, &part, 1);
	for (i = 0; i < 5; i++)
		crash(p, 10 * S + i * 60 * MS, i, RARE);
	CU_ASSERT_EQUAL(blocked(p, 12 * S, RARE), 0);
	crash(p, 14 * S, 10, RARE);
	CU_ASSERT_EQUAL(blocked(p, 16 * S, RARE), 0);
	poison_destroy(p);
}

/*
 * After a crash, requests with a part that was never answered go to one
 * replica; after another, to none until the evidence is known.
 */
static void
test_care(void)
{
	struct poison *p = poison_create();
	uint64_t both[2] = { COMMON, DEADLY };
	uint64_t part = 0;

	poison_answered(p, 9 * S, both, 1);
	CU_ASSERT_EQUAL(
	    poison_care(p, 9 * S, both, 2, &part), POISON_ANY_REPLICA);
	poison_crashed(p, 10 * S, 1, both, 2);
	CU_ASSERT_EQUAL(
	    poison_care(p, 10 * S, both, 1, &part), POISON_ANY_REPLICA);
	CU_ASSERT_EQUAL(
	    poison_care(p, 10 * S, both, 2, &part), POISON_ONE_REPLICA);
	CU_ASSERT_EQUAL(part, DEADLY);
	poison_crashed(p, 10 * S + 200 * MS, 2, both, 2);
	CU_ASSERT_EQUAL(
	    poison_care(p, 10 * S + 200 * MS, both, 2, &part), POISON_WAIT);
	CU_ASSERT_EQUAL(
	    poison_care(p, 11 * S + 400 * MS, both, 2, &part), POISON_WAIT);
	CU_ASSERT_EQUAL(poison_care(p, 11 * S + 500 * MS, both, 2, &part),
	    POISON_ONE_REPLICA);
	CU_ASSERT_EQUAL(blocked(p, 11 * S + 500 * MS, DEADLY), 0);
	crash(p, 11 * S + 700 * MS, 3, DEADLY);
	CU_ASSERT(blocked(p, 11 * S + 700 * MS, DEADLY) != 0);
	CU_ASSERT_EQUAL(blocked(p, 11 * S + 700 * MS, COMMON), 0);
	poison_destroy(p);
}

/* Answers to many other parts displace that of the common one. */
static void
test_care_outlasts_table(void)
{
	struct poison *p = poison_create();
	uint64_t both[2] = { COMMON, DEADLY };
	uint64_t id = 1;
	uint64_t part, i;

	poison_answered(p, 9 * S, both, 1);
	poison_crashed(p, 10 * S, 1, both, 2);
	for (i = 0; i < 300000; i++) {
		id = id * 6364136223846793005ULL + 1442695040888963407ULL;
		poison_answered(p, 10 * S, &id, 1);
	}
	CU_ASSERT_EQUAL(
	    poison_care(p, 10 * S, both, 2, &part), POISON_ONE_REPLICA);
	poison_destroy(p);
}

/* A rare part was about to be answered as two replicas crashed by chance. */
static void
test_care_ends_with_answer(void)
{
	struct poison *p = poison_create();
	uint64_t both[2] = { COMMON, RARE };
	uint64_t at = 0;

	poison_answered(p, 9 * S, both, 1);
	crash(p, 10 * S, 1, RARE);
	crash(p, 11 * S, 2, RARE);
	CU_ASSERT_EQUAL(poison_care(p, 11 * S, both, 2, &at), POISON_WAIT);
	CU_ASSERT_EQUAL(
	    poison_care(p, 12 * S, both, 2, &at), POISON_ONE_REPLICA);
	poison_answered(p, 13 * S, both, 2);
	CU_ASSERT_EQUAL(
	    poison_care(p, 13 * S, both, 2, &at), POISON_ANY_REPLICA);
	poison_destroy(p);
}

/*
 * Replicas crash before any request has been answered: sound requests are
 * not held back, as their answers show which parts are sound.
 */
static void
test_no_care_after_start(void)
{
	struct poison *p = poison_create();
	uint64_t both[2] = { COMMON, RARE };
	uint64_t part = 0;

	crash(p, 10 * S, 1, COMMON);
	crash(p, 10 * S + 100 * MS, 2, COMMON);
	CU_ASSERT_EQUAL(poison_care(p, 10 * S + 200 * MS, both, 2, &part),
	    POISON_ANY_REPLICA);
	crash(p, 10 * S + 300 * MS, 3, RARE);
	CU_ASSERT_EQUAL(
	    poison_care(p, 11 * S, both, 2, &part), POISON_ANY_REPLICA);
	poison_answered(p, 11 * S, both, 1);
	CU_ASSERT_EQUAL(
	    poison_care(p, 11 * S, both, 2, &part), POISON_ONE_REPLICA);
	poison_destroy(p);
}

/* A part is new until it is answered, also after a crash. */
static void
test_new_until_answered(void)
{
	struct poison *p = poison_create();
	uint64_t both[2] = { COMMON, DEADLY };

	CU_ASSERT(poison_is_new(p, COMMON));
	poison_answered(p, 9 * S, both, 1);
	poison_crashed(p, 10 * S, 1, both, 2);
	CU_ASSERT(!poison_is_new(p, COMMON));
	CU_ASSERT(poison_is_new(p, DEADLY));
	poison_answered(p, 11 * S, both, 2);
	CU_ASSERT(!poison_is_new(p, DEADLY));
	poison_destroy(p);
}

static const struct unit_case cases[] = {
	{ "three crashes", test_three_crashes },
	{ "an answer refutes", test_answer_refutes },
	{ "replicas that fail together", test_failed_together },
	{ "one replica, several reports", test_same_replica },
	{ "random crashes", test_random_crashes },
	{ "expiry", test_expiry },
	{ "tried again", test_tried_again },
	{ "answered while blocked", test_answered_while_blocked },
	{ "companion part", test_companion_part },
	{ "companion answered before", test_companion_answered_before },
	{ "more crashes than the list holds", test_many_crashes },
	{ "bounds", test_bounds },
	{ "crashes fill the list", test_crashes_fill_list },
	{ "crashes in pairs", test_crashes_in_pairs },
	{ "copies lost within a second", test_copies_lost_within_a_second },
	{ "a rack fails, and another crash", test_rack_and_another_crash },
	{ "care with parts that were never answered", test_care },
	{ "care outlasts the table of answers", test_care_outlasts_table },
	{ "care ends with an answer", test_care_ends_with_answer },
	{ "no care after a start", test_no_care_after_start },
	{ "new until answered", test_new_until_answered },
};

UNIT_MAIN("poison", cases)
