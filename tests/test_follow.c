/*
 * Keeping up with the configuration: single decisions, and a fleet of hubs,
 * relays and their processes in virtual time in which pushes are lost.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "follow.h"
#include "unit.h"

#define START_NS (100 * NSEC_PER_SEC)
/* The target for a change of the configuration, config_apply_ms. */
#define APPLY_NS (2 * NSEC_PER_SEC)
#define TICK_NS (10 * NSEC_PER_MSEC)
#define REPORT_NS (200 * NSEC_PER_MSEC)
#define PROCESSES 300U
#define ZONES 5U
#define ZONE_SIZE (PROCESSES / ZONES)
#define HUBS 3 /* the relays of the first zones */

struct process {
	struct follow follow;
	uint64_t report_at;
	struct follow_sent sent[ZONE_SIZE];
	struct follow_answers answers;
	int cut;	/* neither sends nor receives */
	int no_store;	/* turned away by the store */
	uint64_t stale; /* version that the store tells it, 0: the latest */
	uint32_t reads;
};

static struct process fleet[PROCESSES];
static uint64_t now;
static uint64_t stored; /* version in the store */

static void fleet_start(uint64_t);
static void fleet_run(uint64_t);
static uint32_t relay_of(uint32_t);
static void apply(uint32_t, uint64_t, int);
static void report_to(uint32_t, uint32_t);
static void tick(uint32_t);
static void pull(uint32_t);
static uint32_t count_behind(uint64_t);
static void test_equal_reports(void);
static void test_pull_repeats(void);
static void test_read_waits_longer(void);
static void test_newer_meanwhile(void);
static void test_source_silent(void);
static void test_never_back(void);
static void test_send_again(void);
static void test_list_differs(void);
static void test_list_differs_shortly(void);
static void test_list_behind(void);
static void test_relay_misses_push(void);
static void test_zone_misses_push(void);
static void test_one_misses_push(void);
static void test_store_turns_away(void);
static void test_stale_reads(void);
static void test_source_lost(void);
static void test_no_pushes(void);
static uint32_t draw(uint64_t *, uint32_t);
static void disturb(uint64_t *);
static void test_random_faults(void);

/* All have a version, and reports are spread over their interval. */
static void
fleet_start(uint64_t version)
{
	uint32_t i;

	memset(fleet, 0, sizeof(fleet));
	now = START_NS;
	stored = version;
	for (i = 0; i < PROCESSES; i++) {
		follow_set_version(&fleet[i].follow, now, version);
		fleet[i].report_at = now + i * (REPORT_NS / PROCESSES);
	}
}

/* The first process of each zone is its relay. */
static uint32_t
relay_of(uint32_t i)
{
	return i - i % ZONE_SIZE;
}

/* Puts a version in force; a relay may send it on to its zone. */
static void
apply(uint32_t i, uint64_t version, int push)
{
	uint32_t k;

	if (version <= fleet[i].follow.version)
		return;
	follow_set_version(&fleet[i].follow, now, version);
	if (relay_of(i) != i || !push)
		return;
	for (k = 1; k < ZONE_SIZE; k++) {
		if (!follow_is_to_push(&fleet[i].sent[k], now))
			continue;
		follow_set_sent(&fleet[i].follow, &fleet[i].sent[k], now);
		if (!fleet[i + k].cut)
			apply(i + k, version, 0);
	}
}

static void
report_to(uint32_t from, uint32_t to)
{
	struct process *p = &fleet[to];
	uint64_t version = fleet[from].follow.version;
	char addr[ADDR_SIZE];

	if (fleet[from].cut || p->cut)
		return;
	snprintf(addr, sizeof(addr), "%u", from);
	follow_report(&p->follow, now, version, addr);
	if (relay_of(from) == to)
		follow_set_reported(&p->sent[from - to], version);
	if (relay_of(from) == to &&
	    follow_is_to_send(&p->follow, &p->sent[from - to], version, now)) {
		follow_set_sent(&p->follow, &p->sent[from - to], now);
		apply(from, p->follow.version, 0);
	}
}

static void
pull(uint32_t i)
{
	struct process *q = &fleet[strtoul(fleet[i].follow.source, NULL, 10)];

	if (q->cut || fleet[i].cut)
		return;
	if (follow_answers_pull(&q->answers, now, FOLLOW_CONFIG))
		apply(i, q->follow.version, 1);
}

static void
tick(uint32_t i)
{
	struct process *p = &fleet[i];
	uint32_t k;
	unsigned todo = follow_next(&p->follow, now);

	if (todo & FOLLOW_PULL)
		pull(i);
	if (todo & FOLLOW_READ) {
		p->reads++;
		if (!p->no_store)
			apply(i, p->stale != 0 ? p->stale : stored, 1);
	}
	if (now < p->report_at)
		return;
	p->report_at = now + REPORT_NS;
	if (relay_of(i) != i) {
		report_to(i, relay_of(i));
		return;
	}
	for (k = 0; k < PROCESSES; k++) {
		if (k != i && (relay_of(k) == i || relay_of(k) == k))
			report_to(i, k);
	}
}

static void
fleet_run(uint64_t for_ns)
{
	uint64_t end = now + for_ns;
	uint32_t i;

	for (; now < end; now += TICK_NS) {
		for (i = 0; i < PROCESSES; i++)
			tick(i);
	}
}

static uint32_t
count_behind(uint64_t version)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < PROCESSES; i++)
		n += fleet[i].follow.version < version && !fleet[i].cut;
	return n;
}

/* Peers with the same version say nothing about those that are ahead. */
static void
test_equal_reports(void)
{
	struct follow f = { 0 };
	uint64_t t = START_NS;
	unsigned todo = 0;

	follow_set_version(&f, t, 3);
	for (; t < START_NS + APPLY_NS; t += TICK_NS) {
		if ((t - START_NS) % REPORT_NS == 0)
			follow_report(&f, t, 7, "ahead");
		todo |= follow_next(&f, t);
		follow_report(&f, t, 3, "same");
		todo |= follow_next(&f, t);
	}
	CU_ASSERT(todo & FOLLOW_PULL);
	CU_ASSERT(todo & FOLLOW_READ);
	CU_ASSERT_STRING_EQUAL(f.source, "ahead");
}

/* One report is enough: pulls repeat without another. */
static void
test_pull_repeats(void)
{
	struct follow f = { 0 };
	uint64_t t = START_NS;
	uint32_t pulls = 0;

	follow_set_version(&f, t, 3);
	follow_report(&f, t, 7, "ahead");
	CU_ASSERT_EQUAL(follow_next(&f, t), 0);
	for (; t < START_NS + NSEC_PER_SEC; t += TICK_NS)
		pulls += (follow_next(&f, t) & FOLLOW_PULL) != 0;
	CU_ASSERT(pulls >= 2);
	CU_ASSERT(pulls <= 5);
	follow_set_version(&f, t, 7);
	CU_ASSERT(!follow_is_behind(&f));
	CU_ASSERT_EQUAL(follow_next(&f, t + APPLY_NS), 0);
}

/* A version that the store does not have costs ever fewer calls. */
static void
test_read_waits_longer(void)
{
	struct follow f = { 0 };
	uint64_t t;
	uint32_t reads = 0;

	follow_set_version(&f, START_NS, 3);
	for (t = START_NS; t < START_NS + 60 * NSEC_PER_SEC; t += TICK_NS) {
		follow_report(&f, t, 7, "ahead");
		reads += (follow_next(&f, t) & FOLLOW_READ) != 0;
	}
	CU_ASSERT(reads >= 60 / 8);
	CU_ASSERT(reads <= 60 / 8 + 4);
}

/* A newer version is not awaited longer for an older one's reads. */
static void
test_newer_meanwhile(void)
{
	struct follow f = { 0 };
	uint64_t t;
	uint64_t read_at = 0;

	follow_set_version(&f, START_NS, 3);
	follow_report(&f, START_NS, 7, "ahead");
	for (t = START_NS; t < START_NS + 20 * NSEC_PER_SEC; t += TICK_NS)
		follow_next(&f, t);
	follow_report(&f, t, 8, "ahead");
	for (; read_at == 0 && t < START_NS + 40 * NSEC_PER_SEC; t += TICK_NS) {
		if (follow_next(&f, t) & FOLLOW_READ)
			read_at = t;
	}
	CU_ASSERT(read_at <= START_NS + 20 * NSEC_PER_SEC + APPLY_NS);
	follow_set_version(&f, t, 7);
	CU_ASSERT(follow_is_behind(&f));
	CU_ASSERT(follow_next(&f, t + APPLY_NS) & FOLLOW_READ);
}

/* If the newest peer has gone, one that is ahead of this process will do. */
static void
test_source_silent(void)
{
	struct follow f = { 0 };
	uint64_t t = START_NS;

	follow_set_version(&f, t, 3);
	follow_report(&f, t, 7, "gone");
	follow_report(&f, t + TICK_NS, 5, "other");
	CU_ASSERT_STRING_EQUAL(f.source, "gone");
	follow_report(&f, t + APPLY_NS, 5, "other");
	CU_ASSERT_STRING_EQUAL(f.source, "other");
	follow_set_version(&f, t + APPLY_NS, 5);
	CU_ASSERT(follow_is_behind(&f));
}

static void
test_never_back(void)
{
	struct follow f = { 0 };

	follow_set_version(&f, START_NS, 7);
	follow_set_version(&f, START_NS, 3);
	CU_ASSERT_EQUAL(f.version, 7);
	follow_report(&f, START_NS, 3, "behind");
	CU_ASSERT_EQUAL(follow_next(&f, START_NS + APPLY_NS), 0);
}

static void
test_send_again(void)
{
	struct follow f = { 0 };
	struct follow_sent s = { 0 };
	uint64_t t = START_NS;
	uint32_t sent = 0;

	CU_ASSERT(!follow_is_to_send(&f, &s, 0, t));
	follow_set_version(&f, t, 7);
	CU_ASSERT(!follow_is_to_send(&f, &s, 7, t));
	CU_ASSERT(!follow_is_to_send(&f, &s, 8, t));
	CU_ASSERT(!follow_is_to_send(&f, &s, 0, t));
	for (; t < START_NS + 60 * NSEC_PER_SEC; t += REPORT_NS) {
		if (!follow_is_to_send(&f, &s, 3, t))
			continue;
		follow_set_sent(&f, &s, t);
		sent++;
		CU_ASSERT(t >= START_NS + APPLY_NS || sent <= 2);
	}
	CU_ASSERT(sent >= 2);
	CU_ASSERT(sent <= 7);
	follow_set_version(&f, t, 8);
	CU_ASSERT(follow_is_to_send(&f, &s, 7, t));
}

/*
 * Processes of the data centre, at the same revision, say nothing about a
 * relay's list that differs from a hub's.
 */
static void
test_list_differs(void)
{
	const struct follow_list mine = { 9, 1 };
	const struct follow_list hub = { 9, 2 };
	struct follow_lists l = { 0 };
	uint64_t t;
	int pull = 0;

	for (t = START_NS; t < START_NS + NSEC_PER_SEC; t += TICK_NS) {
		if ((t - START_NS) % REPORT_NS == 0)
			pull |= follow_list_report(&l, t, &mine, &hub, 1);
		CU_ASSERT(!follow_list_report(&l, t, &mine, &mine, 0));
		CU_ASSERT(!follow_list_report(&l, t, &mine, &hub, 0));
	}
	CU_ASSERT(pull);
}

/* A difference that ends before a push would arrive is not pulled. */
static void
test_list_differs_shortly(void)
{
	struct follow_list mine = { 9, 1 };
	const struct follow_list hub = { 9, 2 };
	struct follow_lists l = { 0 };

	CU_ASSERT(!follow_list_report(&l, START_NS, &mine, &hub, 1));
	mine.digest = 2;
	CU_ASSERT(!follow_list_report(&l, START_NS + 1, &mine, &hub, 1));
	mine.digest = 1;
	CU_ASSERT(
	    !follow_list_report(&l, START_NS + NSEC_PER_SEC, &mine, &hub, 1));
}

/* Behind since the first newer report, until that revision is here. */
static void
test_list_behind(void)
{
	struct follow_list mine = { 9, 1 };
	const struct follow_list older = { 9, 1 };
	const struct follow_list newer = { 12, 3 };
	struct follow_lists l = { 0 };
	uint64_t t = START_NS;

	CU_ASSERT(!follow_list_report(&l, t, &mine, &newer, 0));
	t += REPORT_NS;
	CU_ASSERT(!follow_list_report(&l, t, &mine, &older, 0));
	CU_ASSERT(follow_list_report(&l, t, &mine, &newer, 0));
	mine = newer;
	CU_ASSERT(!follow_list_report(&l, t, &mine, &newer, 0));
	mine.revision = 11;
	CU_ASSERT(!follow_list_report(&l, t, &mine, &newer, 0));
	CU_ASSERT(follow_list_report(&l, t + REPORT_NS, &mine, &newer, 0));
}

/* Every zone gets the push but the last, whose relay misses it. */
static void
test_relay_misses_push(void)
{
	uint32_t i;

	fleet_start(3);
	fleet_run(NSEC_PER_SEC);
	stored = 7;
	for (i = 0; i < ZONES - 1; i++)
		apply(i * ZONE_SIZE, stored, 1);
	CU_ASSERT_EQUAL(count_behind(7), ZONE_SIZE);
	fleet_run(APPLY_NS);
	CU_ASSERT_EQUAL(count_behind(7), 0);
	for (i = 0; i < PROCESSES; i++)
		CU_ASSERT_EQUAL(fleet[i].reads, 0);
}

/* A relay puts it in force while it has no duty: nobody is sent it. */
static void
test_zone_misses_push(void)
{
	uint32_t i;

	fleet_start(3);
	fleet_run(NSEC_PER_SEC);
	stored = 7;
	for (i = 0; i < ZONES; i++)
		apply(i * ZONE_SIZE, stored, 0);
	CU_ASSERT_EQUAL(count_behind(7), PROCESSES - ZONES);
	fleet_run(APPLY_NS);
	CU_ASSERT_EQUAL(count_behind(7), 0);
	for (i = 0; i < PROCESSES; i++)
		CU_ASSERT_EQUAL(fleet[i].reads, 0);
}

/* A relay's push to one process is lost. */
static void
test_one_misses_push(void)
{
	fleet_start(3);
	fleet_run(NSEC_PER_SEC);
	stored = 7;
	fleet[7].cut = 1;
	apply(0, stored, 1);
	fleet[7].cut = 0;
	CU_ASSERT_EQUAL(fleet[7].follow.version, 3);
	fleet_run(APPLY_NS);
	CU_ASSERT_EQUAL(count_behind(7), 0);
}

/* All but one hub are turned away by the store. */
static void
test_store_turns_away(void)
{
	uint32_t i;

	fleet_start(3);
	for (i = 1; i < PROCESSES; i++)
		fleet[i].no_store = 1;
	fleet_run(NSEC_PER_SEC);
	stored = 7;
	apply(0, stored, 0);
	fleet_run(APPLY_NS);
	CU_ASSERT_EQUAL(count_behind(7), 0);
}

/* Versions follow each other, and only one hub ever gets them from the store.
 */
static void
test_no_pushes(void)
{
	uint32_t i;

	fleet_start(3);
	for (i = 0; i < 20; i++) {
		stored++;
		apply((i % HUBS) * ZONE_SIZE, stored, 0);
		fleet_run(130 * NSEC_PER_MSEC);
	}
	fleet_run(APPLY_NS);
	CU_ASSERT_EQUAL(count_behind(stored), 0);
}

/* One hub has the version; the store tells all others an older one. */
static void
test_stale_reads(void)
{
	uint32_t i;

	fleet_start(3);
	for (i = 1; i < PROCESSES; i++)
		fleet[i].stale = 3;
	fleet_run(NSEC_PER_SEC);
	stored = 7;
	apply(0, stored, 0);
	fleet_run(APPLY_NS);
	CU_ASSERT_EQUAL(count_behind(7), 0);
}

/* The only process that has the version is lost once it has reported it. */
static void
test_source_lost(void)
{
	fleet_start(3);
	fleet_run(NSEC_PER_SEC);
	stored = 7;
	apply(0, stored, 0);
	report_to(0, ZONE_SIZE);
	fleet[0].cut = 1;
	fleet_run(APPLY_NS);
	CU_ASSERT_EQUAL(fleet[ZONE_SIZE].follow.version, 7);
	fleet[0].cut = 0;
	fleet_run(APPLY_NS);
	CU_ASSERT_EQUAL(count_behind(7), 0);
}

/* A number from 0 to n - 1. */
static uint32_t
draw(uint64_t *state, uint32_t n)
{
	*state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)(*state >> 33) % n;
}

/* Cuts processes and their calls to the store, or heals them. */
static void
disturb(uint64_t *state)
{
	struct process *p;
	uint32_t i;

	for (i = 0; i < 20; i++) {
		p = &fleet[draw(state, PROCESSES)];
		p->cut = (int)draw(state, 2);
		p->no_store = (int)draw(state, 2);
		p->stale = draw(state, 2) ? 3 : 0;
		p = &fleet[relay_of(draw(state, PROCESSES))];
		p->cut = (int)draw(state, 2);
	}
}

/* Once faults end, the version of one hub is everywhere in time. */
static void
test_random_faults(void)
{
	uint64_t seed;
	uint64_t state;
	uint32_t step;
	uint32_t i;

	for (seed = 1; seed <= 100; seed++) {
		state = seed;
		fleet_start(3);
		for (step = 0; step < 40; step++) {
			disturb(&state);
			stored += draw(&state, 2);
			i = relay_of(draw(&state, HUBS * ZONE_SIZE));
			if (!fleet[i].no_store)
				apply(i, stored, (int)draw(&state, 2));
			fleet_run(100 * NSEC_PER_MSEC);
		}
		for (i = 0; i < PROCESSES; i++)
			fleet[i].cut = 0;
		apply(0, stored, 0);
		fleet_run(APPLY_NS);
		if (count_behind(stored) != 0)
			printf("seed %u: %u behind\n", (unsigned)seed,
			    count_behind(stored));
		CU_ASSERT_EQUAL(count_behind(stored), 0);
	}
}

static const struct unit_case cases[] = {
	{ "reports of the same version", test_equal_reports },
	{ "pulls are repeated", test_pull_repeats },
	{ "reads wait longer", test_read_waits_longer },
	{ "a newer version meanwhile", test_newer_meanwhile },
	{ "the newest peer is silent", test_source_silent },
	{ "never back", test_never_back },
	{ "sent again ever more seldom", test_send_again },
	{ "a list differs", test_list_differs },
	{ "a list differs shortly", test_list_differs_shortly },
	{ "a list is behind", test_list_behind },
	{ "a relay misses a push", test_relay_misses_push },
	{ "a data centre misses a push", test_zone_misses_push },
	{ "a process misses a push", test_one_misses_push },
	{ "turned away by the store", test_store_turns_away },
	{ "stale reads", test_stale_reads },
	{ "the source is lost", test_source_lost },
	{ "no pushes", test_no_pushes },
	{ "random faults", test_random_faults },
};

UNIT_MAIN("follow", cases)
