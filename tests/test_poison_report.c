/* Evidence on parts of prompts that crash replicas, between processes. */
#include <string.h>

#include "poison_fixture.h"
#include "unit.h"

#define PROCESSES 9

static void test_merge(void);
static void test_passed_around(void);
static void test_restarted_process(void);
static void test_common_part_in_fleet(void);
static void test_refutation_reported(void);
static void test_refuted_evidence_returns(void);
static void test_many_refutations(void);
static void test_report_has_blocked_part(void);
static void test_full_lists_passed_around(void);

/* Each process sees one crash; all block the part. */
static void
test_merge(void)
{
	struct poison *p[3];
	uint64_t i, j, k;

	for (i = 0; i < 3; i++)
		p[i] = poison_create();
	for (i = 0; i < 3; i++)
		crash(p[i], 10 * S + i * 400 * MS, i, DEADLY);
	/* Again and in any order: nothing is counted twice. */
	for (k = 0; k < 4; k++) {
		for (i = 0; i < 3; i++) {
			for (j = 0; j < 3; j++)
				pass_on(p[i], p[j], 11 * S + k * 100 * MS);
		}
	}
	for (i = 0; i < 3; i++) {
		CU_ASSERT(blocked(p[i], 12 * S, DEADLY) != 0);
		poison_destroy(p[i]);
	}
}

/* Evidence that goes round and round does not get younger. */
static void
test_passed_around(void)
{
	struct poison *a = poison_create();
	struct poison *b = poison_create();
	uint64_t part = COMMON;
	uint64_t now;
	struct poison_evidence e[POISON_REPORT_MAX];
	uint32_t n;

	poison_answered(a, 9 * S + 900 * MS, &part, 1);
	crash(a, 10 * S, 1, COMMON);
	crash(a, 10 * S + 400 * MS, 2, COMMON);
	crash(a, 10 * S + 800 * MS, 3, COMMON);
	for (now = 11 * S; now < 60 * S; now += 100 * MS) {
		/* A message takes 20 ms, which its ages do not contain. */
		n = poison_report(a, now, e);
		if (n != 0)
			poison_merge(b, now + 20 * MS, &e[0]);
		n = poison_report(b, now + 20 * MS, e);
		if (n != 0)
			poison_merge(a, now + 40 * MS, &e[0]);
	}
	CU_ASSERT(blocked(a, now, COMMON) != 0);
	CU_ASSERT(blocked(b, now, COMMON) != 0);
	CU_ASSERT(blocked(b, now, COMMON) < blocked(a, now, COMMON) + S);
	poison_destroy(a);
	poison_destroy(b);
}

/* A process that starts later learns what is blocked from one report. */
static void
test_restarted_process(void)
{
	struct poison *a = poison_create();
	struct poison *b;
	uint64_t i;

	for (i = 0; i < 4; i++)
		crash(a, 10 * S + i * 500 * MS, i, DEADLY);
	b = poison_create();
	pass_on(a, b, 100 * S);
	CU_ASSERT(blocked(b, 100 * S, DEADLY) != 0);
	poison_destroy(a);
	poison_destroy(b);
}

/*
 * Nine processes, reports every 100 ms, two deadly requests a second, each of
 * which ends two replicas 0.14 s apart; the first part of all requests is
 * answered four times a second, by one process after the other.  The deadly
 * part is blocked everywhere within 3 s of the fifth crash, the first part
 * never.
 */
static void
test_common_part_in_fleet(void)
{
	struct poison *p[PROCESSES];
	uint64_t parts[2] = { COMMON, DEADLY };
	uint64_t now, i, j, fifth = 0, replica = 0;

	for (i = 0; i < PROCESSES; i++)
		p[i] = poison_create();
	for (now = 10 * S; now < 30 * S; now += 10 * MS) {
		i = now / (10 * MS);
		if (i % 50 == 0 || i % 50 == 14) {
			poison_crashed(
			    p[i / 50 % PROCESSES], now, ++replica, parts, 2);
			if (replica == 5)
				fifth = now;
		}
		if (i % 25 == 7)
			poison_answered(p[i / 25 % PROCESSES], now, parts, 1);
		for (i = 0; now % (100 * MS) == 0 && i < PROCESSES; i++) {
			for (j = 0; j < PROCESSES; j++)
				pass_on(p[i], p[j], now);
		}
		for (i = 0; i < PROCESSES; i++) {
			CU_ASSERT_EQUAL(blocked(p[i], now, COMMON), 0);
			if (fifth != 0 && now >= fifth + 3 * S)
				CU_ASSERT(blocked(p[i], now, DEADLY) != 0);
		}
	}
	for (i = 0; i < PROCESSES; i++)
		poison_destroy(p[i]);
}

/* Peers hear that a part was answered, however many are suspect. */
static void
test_refutation_reported(void)
{
	struct poison *a = poison_create();
	struct poison *b = poison_create();
	uint64_t part = COMMON;
	uint64_t i;

	for (i = 0; i < 200; i++)
		crash(a, 10 * S + i * MS, i, 0x1000 + i % 50);
	crash_thrice(a, 10 * S, 400 * MS, 300, COMMON);
	pass_on(a, b, 11 * S);
	poison_answered(a, 11 * S, &part, 1);
	pass_on(a, b, 11 * S + 100 * MS);
	CU_ASSERT_EQUAL(blocked(b, 12 * S, COMMON), 0);
	CU_ASSERT(!poison_is_suspect(b, 12 * S, 0, &part, 1));
	poison_destroy(a);
	poison_destroy(b);
}

/* Old evidence of a peer does not return after it has been refuted. */
static void
test_refuted_evidence_returns(void)
{
	struct poison *p[3];
	uint64_t part = COMMON;
	uint64_t i, now;

	for (i = 0; i < 3; i++)
		p[i] = poison_create();
	crash_thrice(p[0], 10 * S, 400 * MS, 0, COMMON);
	pass_on(p[0], p[1], 11 * S);
	pass_on(p[0], p[2], 11 * S);
	poison_answered(p[0], 11 * S + 100 * MS, &part, 1);
	pass_on(p[0], p[1], 11 * S + 200 * MS);
	for (now = 12 * S; now < 40 * S; now += S) {
		pass_on(p[2], p[1], now);
		CU_ASSERT_EQUAL(blocked(p[1], now, COMMON), 0);
	}
	for (i = 0; i < 3; i++)
		poison_destroy(p[i]);
}

/* Many refuted parts take turns in the reports. */
static void
test_many_refutations(void)
{
	struct poison *a = poison_create();
	struct poison *b = poison_create();
	uint64_t i, part, now;

	for (i = 0; i < 300; i++)
		crash(a, 10 * S + i / 100 * 400 * MS, i, 0x1000 + i % 100);
	for (now = 11 * S; now < 13 * S; now += 100 * MS)
		pass_on(a, b, now);
	for (part = 0x1000; part < 0x1000 + 100; part++)
		poison_answered(a, 13 * S, &part, 1);
	for (now = 13 * S; now < 15 * S; now += 100 * MS)
		pass_on(a, b, now);
	for (part = 0x1000; part < 0x1000 + 100; part++)
		CU_ASSERT_EQUAL(blocked(b, now, part), 0);
	poison_destroy(a);
	poison_destroy(b);
}

/*
 * The deadly part explains the crashes of more sound parts than a report
 * holds.  A process that restarts learns of the deadly part, not of sound ones.
 */
static void
test_report_has_blocked_part(void)
{
	struct poison *a = poison_create();
	struct poison *b = poison_create();
	uint64_t i, j;

	for (i = 0; i < 5; i++) {
		crash(a, 10 * S + i * S, i, DEADLY);
		for (j = 0; j < POISON_REPORT_MAX && i < 3; j++)
			crash(a, 10 * S + i * S, i, RARE + 1 + j);
	}
	CU_ASSERT(blocked(a, 16 * S, DEADLY) != 0);
	CU_ASSERT_EQUAL(poison_count_blocked(a), 1);
	pass_on(a, b, 16 * S);
	CU_ASSERT(blocked(b, 16 * S, DEADLY) != 0);
	CU_ASSERT_EQUAL(poison_count_blocked(b), 1);
	poison_destroy(a);
	poison_destroy(b);
}

/*
 * Two processes have full lists that end with different crashes.  Evidence that
 * goes round does not get younger.
 */
static void
test_full_lists_passed_around(void)
{
	struct poison *p[2] = { poison_create(), poison_create() };
	struct poison_evidence e[2][POISON_REPORT_MAX];
	uint64_t now, i, until;
	uint32_t n[2];

	for (i = 0; i < POISON_CRASHES_MAX - 1; i++) {
		crash(p[0], 10 * S + i * 400 * MS, i, DEADLY);
		crash(p[1], 10 * S + i * 400 * MS, i, DEADLY);
	}
	crash(p[0], 20 * S, 100, DEADLY);
	crash(p[1], 20 * S, 101, DEADLY);
	until = blocked(p[0], 20 * S, DEADLY);
	for (now = 21 * S; now < 600 * S; now += 100 * MS) {
		/* Messages cross, and take 20 ms that ages do not contain. */
		for (i = 0; i < 2; i++)
			n[i] = poison_report(p[i], now, e[i]);
		for (i = 0; i < 2 && n[1 - i] != 0; i++)
			poison_merge(p[i], now + 20 * MS, &e[1 - i][0]);
	}
	for (i = 0; i < 2; i++) {
		CU_ASSERT(blocked(p[i], now, DEADLY) <= until + S);
		poison_destroy(p[i]);
	}
}

static const struct unit_case cases[] = {
	{ "merged evidence", test_merge },
	{ "evidence that is passed around", test_passed_around },
	{ "restarted process", test_restarted_process },
	{ "common first part", test_common_part_in_fleet },
	{ "refutation is reported first", test_refutation_reported },
	{ "refuted evidence returns", test_refuted_evidence_returns },
	{ "many refutations", test_many_refutations },
	{ "report has the blocked part", test_report_has_blocked_part },
	{ "full lists passed around", test_full_lists_passed_around },
};

UNIT_MAIN("poison_report", cases)
