/* Evidence on parts of prompts that crash replicas. */
#include <string.h>

#include "base.h"
#include "poison.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC
#define PROCESSES 9
#define COMMON 0xc0 /* first part of many requests */
#define DEADLY 0xdead
#define RARE 0xa1

static void on_changed(void *, uint64_t, int);
static uint64_t blocked(struct poison *, uint64_t, uint64_t);
static void crash(struct poison *, uint64_t, uint64_t, uint64_t);
static void pass_on(struct poison *, struct poison *, uint64_t);
static void test_three_crashes(void);
static void test_answer_refutes(void);
static void test_failed_together(void);
static void test_same_replica(void);
static void test_merge(void);
static void test_passed_around(void);
static void test_restarted_process(void);
static void test_common_part_in_fleet(void);
static void test_random_crashes(void);
static void test_expiry(void);
static void test_tried_again(void);
static void test_answered_while_blocked(void);
static void test_companion_part(void);
static void test_companion_answered_before(void);
static void test_many_crashes(void);
static void test_refutation_reported(void);
static void test_refuted_evidence_returns(void);
static void test_many_refutations(void);
static void test_bounds(void);
static void test_crashes_fill_list(void);
static void test_report_has_blocked_part(void);
static void test_full_lists_passed_around(void);
static void test_crashes_in_pairs(void);

static void
on_changed(void *ctx, uint64_t part, int on)
{
	(void)part;
	*(int *)ctx += on ? 1 : -1;
}

static uint64_t
blocked(struct poison *p, uint64_t now, uint64_t part)
{
	int changes = 0;

	poison_update(p, now, on_changed, &changes);
	return poison_blocked_until(p, now, &part, 1);
}

static void
crash(struct poison *p, uint64_t now, uint64_t replica, uint64_t part)
{
	poison_crashed(p, now, replica, &part, 1);
}

/* Sends all evidence from one process to another. */
static void
pass_on(struct poison *from, struct poison *to, uint64_t now)
{
	struct poison_evidence e[POISON_REPORT_MAX];
	uint32_t n = poison_report(from, now, e);
	uint32_t i;

	for (i = 0; i < n; i++)
		poison_merge(to, now, &e[i]);
}

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
	uint64_t i, until;

	crash(p, 10 * S, 1, DEADLY);
	crash(p, 11 * S, 2, DEADLY);
	CU_ASSERT_EQUAL(blocked(p, 60 * S, DEADLY), 0);
	CU_ASSERT(!poison_is_suspect(p, 60 * S, 0, &part, 1));
	crash(p, 60 * S, 3, DEADLY);
	CU_ASSERT_EQUAL(blocked(p, 70 * S, DEADLY), 0);
	for (i = 0; i < 3; i++)
		crash(p, 60 * S + (i + 1) * S, 10 + i, DEADLY);
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
	uint64_t i, until;

	for (i = 0; i < 3; i++)
		crash(p, 10 * S + i * S, i, DEADLY);
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
	uint64_t i;

	for (i = 0; i < 3; i++)
		crash(p, 10 * S + i * S, i, DEADLY);
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
	for (i = 0; i < 3; i++)
		crash(p, 15 * S + i * S, 10 + i, RARE);
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
	for (i = 0; i < 3; i++)
		crash(a, 10 * S + i * 400 * MS, 300 + i, COMMON);
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
	for (i = 0; i < 3; i++)
		crash(p[0], 10 * S + i * 400 * MS, i, COMMON);
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

/* A flood of suspects, and malformed evidence, leave what is blocked. */
static void
test_bounds(void)
{
	struct poison *p = poison_create();
	struct poison_evidence e[POISON_REPORT_MAX];
	uint64_t i;

	for (i = 0; i < 3; i++)
		crash(p, 10 * S + i * S, i, DEADLY);
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

static const struct unit_case cases[] = {
	{ "three crashes", test_three_crashes },
	{ "an answer refutes", test_answer_refutes },
	{ "replicas that fail together", test_failed_together },
	{ "one replica, several reports", test_same_replica },
	{ "merged evidence", test_merge },
	{ "evidence that is passed around", test_passed_around },
	{ "restarted process", test_restarted_process },
	{ "common first part", test_common_part_in_fleet },
	{ "random crashes", test_random_crashes },
	{ "expiry", test_expiry },
	{ "tried again", test_tried_again },
	{ "answered while blocked", test_answered_while_blocked },
	{ "companion part", test_companion_part },
	{ "companion answered before", test_companion_answered_before },
	{ "more crashes than the list holds", test_many_crashes },
	{ "refutation is reported first", test_refutation_reported },
	{ "refuted evidence returns", test_refuted_evidence_returns },
	{ "many refutations", test_many_refutations },
	{ "bounds", test_bounds },
	{ "crashes fill the list", test_crashes_fill_list },
	{ "report has the blocked part", test_report_has_blocked_part },
	{ "full lists passed around", test_full_lists_passed_around },
	{ "crashes in pairs", test_crashes_in_pairs },
};

UNIT_MAIN("poison", cases)
