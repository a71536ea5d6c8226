/* Decisions on whole requests that crash replicas. */
#include <string.h>

#include "base.h"
#include "poison_fixture.h"
#include "unit.h"

#define REQUEST (POISON_REQUEST | 0xfee1)
#define SESSION 0x5e55
#define REQUESTS 600 /* more than there is room for */
#define ANSWERS 600000

static void crash_prompt(struct poison *, uint64_t, uint64_t, uint64_t);
static enum poison_care care_of(
    const struct poison *, uint64_t, uint64_t, uint64_t *);
static void test_crashes_at_two_times(void);
static void test_crashes_at_one_time(void);
static void test_answer_between(void);
static void test_care(void);
static void test_part_binds_first(void);
static void test_sound_parts_stay(void);
static void test_part_of_many_requests(void);
static void test_crash_of_many_requests(void);
static void test_answers_are_not_kept(void);
static void test_tried_again(void);
static void test_crashes_far_apart(void);
static void test_rare_crashes(void);

/* A replica crashed at a time with a prompt of two parts and the request. */
static void
crash_prompt(struct poison *p, uint64_t now, uint64_t replica, uint64_t request)
{
	uint64_t ids[] = { COMMON, SESSION, request };

	poison_crashed(p, now, replica, ids, nitems(ids));
}

static enum poison_care
care_of(const struct poison *p, uint64_t now, uint64_t id, uint64_t *part)
{
	*part = 0;
	return poison_care(p, now, &id, 1, part);
}

/* Guards against requests that were sent on after three crashes. */
static void
test_crashes_at_two_times(void)
{
	struct poison *p = poison_create();

	crash(p, 10 * S, 1, REQUEST);
	CU_ASSERT_EQUAL(blocked(p, 12 * S, REQUEST), 0);
	crash(p, 12 * S, 2, REQUEST);
	CU_ASSERT(blocked(p, 12 * S, REQUEST) >= 72 * S);
	CU_ASSERT_EQUAL(blocked(p, 12 * S, REQUEST + 1), 0);
	poison_destroy(p);
}

/* It may have been on several replicas of a rack. */
static void
test_crashes_at_one_time(void)
{
	struct poison *p = poison_create();
	uint64_t i;

	for (i = 0; i < 20; i++)
		crash(p, 10 * S + i * 5 * MS, i, REQUEST);
	CU_ASSERT_EQUAL(blocked(p, 12 * S, REQUEST), 0);
	poison_destroy(p);
}

static void
test_answer_between(void)
{
	struct poison *p = poison_create();
	uint64_t id = REQUEST;
	uint64_t now;

	for (now = 10 * S; now < 30 * S; now += 2 * S) {
		crash(p, now, now, REQUEST);
		poison_answered(p, now + 500 * MS, &id, 1);
		CU_ASSERT_EQUAL(blocked(p, now + 1900 * MS, REQUEST), 0);
	}
	poison_destroy(p);
}

/* One replica at a time; after two crashes, once all processes were heard. */
static void
test_care(void)
{
	struct poison *p = poison_create();
	uint64_t id = REQUEST;
	uint64_t part;

	CU_ASSERT_EQUAL(care_of(p, 9 * S, id, &part), POISON_ANY_REPLICA);
	crash(p, 10 * S, 1, id);
	CU_ASSERT_EQUAL(care_of(p, 10 * S, id, &part), POISON_ONE_REPLICA);
	CU_ASSERT_EQUAL(part, id);
	CU_ASSERT_EQUAL(care_of(p, 10 * S, id + 1, &part), POISON_ANY_REPLICA);
	crash(p, 10 * S + 100 * MS, 2, id);
	CU_ASSERT_EQUAL(care_of(p, 11 * S, id, &part), POISON_WAIT);
	CU_ASSERT_EQUAL(care_of(p, 12 * S, id, &part), POISON_ONE_REPLICA);
	poison_answered(p, 12 * S, &id, 1);
	CU_ASSERT_EQUAL(care_of(p, 12 * S, id, &part), POISON_ANY_REPLICA);
	poison_destroy(p);
}

/* Else each request with a part would crash a replica of its own. */
static void
test_part_binds_first(void)
{
	struct poison *p = poison_create();
	uint64_t common = COMMON;
	uint64_t ids[] = { COMMON, SESSION, REQUEST };
	uint64_t part = 0;

	poison_answered(p, 9 * S, &common, 1);
	crash_prompt(p, 10 * S, 1, REQUEST);
	CU_ASSERT_EQUAL(poison_care(p, 10 * S, ids, nitems(ids), &part),
	    POISON_ONE_REPLICA);
	CU_ASSERT_EQUAL(part, SESSION);
	poison_destroy(p);
}

/* Sound requests with the parts of one that crashes replicas go on. */
static void
test_sound_parts_stay(void)
{
	struct poison *p = poison_create();
	uint64_t i;

	for (i = 0; i < 4; i++)
		crash_prompt(p, (10 + 2 * i) * S, i, REQUEST);
	CU_ASSERT_NOT_EQUAL(blocked(p, 20 * S, REQUEST), 0);
	CU_ASSERT_EQUAL(blocked(p, 20 * S, SESSION), 0);
	CU_ASSERT_EQUAL(blocked(p, 20 * S, COMMON), 0);
	poison_destroy(p);
}

static void
test_part_of_many_requests(void)
{
	struct poison *p = poison_create();
	uint64_t common = COMMON;
	uint64_t i;

	for (i = 0; i < 4; i++) {
		crash_prompt(p, (10 + i) * S, i, REQUEST + i);
		poison_answered(p, (10 + i) * S + 500 * MS, &common, 1);
	}
	CU_ASSERT_NOT_EQUAL(blocked(p, 20 * S, SESSION), 0);
	CU_ASSERT_EQUAL(blocked(p, 20 * S, COMMON), 0);
	poison_destroy(p);
}

/* They neither displace the evidence on a part nor crowd it out of reports. */
static void
test_crash_of_many_requests(void)
{
	struct poison *p = poison_create();
	struct poison *peer = poison_create();
	uint64_t part = DEADLY;
	uint64_t i;

	crash(p, 10 * S, 1, DEADLY);
	for (i = 0; i < REQUESTS; i++)
		crash(p, 11 * S, 1000 + i % 40, REQUEST + i);
	CU_ASSERT(poison_is_suspect(p, 11 * S, 0, &part, 1));
	pass_on(p, peer, 11 * S);
	CU_ASSERT(poison_is_suspect(peer, 11 * S, 0, &part, 1));
	poison_destroy(p);
	poison_destroy(peer);
}

/* Each request has another id: answers to parts would be forgotten. */
static void
test_answers_are_not_kept(void)
{
	struct poison *p = poison_create();
	uint64_t part = COMMON;
	uint64_t i, id;

	poison_answered(p, 10 * S, &part, 1);
	for (i = 0; i < ANSWERS; i++) {
		id = REQUEST + i;
		poison_answered(p, 10 * S, &id, 1);
	}
	CU_ASSERT(!poison_is_new(p, COMMON));
	poison_destroy(p);
}

/* Two crashes may be chance: it is tried again, and then not for long. */
static void
test_tried_again(void)
{
	struct poison *p = poison_create();
	uint64_t until;

	crash(p, 10 * S, 1, REQUEST);
	crash(p, 12 * S, 2, REQUEST);
	until = blocked(p, 12 * S, REQUEST);
	CU_ASSERT_EQUAL(blocked(p, until, REQUEST), 0);
	crash(p, until + S, 3, REQUEST);
	CU_ASSERT(blocked(p, until + S, REQUEST) > until + 600 * S);
	poison_destroy(p);
}

/* Guards against requests that crash replicas rarely, but for hours. */
static void
test_crashes_far_apart(void)
{
	struct poison *p = poison_create();
	uint64_t now = 10 * S;
	uint64_t i;
	int ncrashes = 0;

	for (i = 0; i < 12; i++, now += 45 * S) {
		if (blocked(p, now, REQUEST) != 0)
			continue;
		crash(p, now, 1 + i, REQUEST);
		ncrashes++;
	}
	CU_ASSERT_EQUAL(ncrashes, 3);
	poison_destroy(p);
}

/* Two crashes that are far apart may be chance. */
static void
test_rare_crashes(void)
{
	struct poison *p = poison_create();
	uint64_t id = REQUEST;

	crash(p, 10 * S, 1, id);
	CU_ASSERT_EQUAL(blocked(p, 99 * S, id), 0);
	crash(p, 100 * S, 2, id);
	CU_ASSERT_EQUAL(blocked(p, 102 * S, id), 0);
	poison_answered(p, 103 * S, &id, 1);
	crash(p, 110 * S, 3, id);
	CU_ASSERT_EQUAL(blocked(p, 112 * S, id), 0);
	poison_destroy(p);
}

static const struct unit_case cases[] = {
	{ "crashes at two times", test_crashes_at_two_times },
	{ "crashes at one time", test_crashes_at_one_time },
	{ "an answer between crashes", test_answer_between },
	{ "care", test_care },
	{ "a part binds first", test_part_binds_first },
	{ "sound parts stay", test_sound_parts_stay },
	{ "a part of many requests", test_part_of_many_requests },
	{ "a crash of many requests", test_crash_of_many_requests },
	{ "answers are not kept", test_answers_are_not_kept },
	{ "tried again", test_tried_again },
	{ "crashes far apart", test_crashes_far_apart },
	{ "rare crashes", test_rare_crashes },
};

UNIT_MAIN("poison_request", cases)
