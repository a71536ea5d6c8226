/* What replicas say of themselves: leaving, or closed for a time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC
#define REPLICAS 10
#define SLOTS 4
#define ATTEMPTS 4
#define SERVICE_NS (100 * MS)
#define DRAIN_NS (2 * S)
#define TRY_NS (5 * MS) /* between tries */
#define LATE_LIST_NS (3 * S)

/* Counts of a replay. */
struct replay {
	uint32_t requests;
	uint32_t in_time;
	uint32_t at_closed; /* reached a replica that had said not to */
};

/* A simulated replica. */
struct sim {
	uint64_t ends[4096]; /* of the requests that it ran */
	uint32_t nends;
	uint64_t said_at; /* first answer with a notice, 0: none */
	uint64_t until;	  /* of the notice */
	uint64_t leaves_at;
};

static struct fleet_replica make_replica(uint32_t, uint64_t);
static struct directory_replica *put_replica(
    struct directory *, uint32_t, uint64_t);
static struct balance_request make_request(void);
static enum balance_result pick(
    const struct directory *, uint64_t, struct directory_replica **);
static void test_leaving(void);
static void test_removed_and_listed(void);
static void test_new_address(void);
static void test_closed(void);
static void test_incarnations(void);
static void test_not_listed_yet(void);
static void test_huge(void);
static void test_limit(void);
static void test_closed_slots(void);
static uint32_t running_at(const struct sim *, uint64_t);
static int attempt(struct directory *, struct sim *, struct balance_request *,
    uint64_t, int, int, struct replay *);
static struct replay replay(int, int);
static void test_half_refuse(void);
static void test_rolling(void);

static struct fleet_replica
make_replica(uint32_t i, uint64_t started_ms)
{
	struct fleet_replica r;

	memset(&r, 0, sizeof(r));
	snprintf(r.id, sizeof(r.id), "%u", i);
	snprintf(r.service, sizeof(r.service), "s");
	snprintf(r.addr, sizeof(r.addr), "10.0.0.%u:80", i);
	snprintf(r.zone, sizeof(r.zone), "z1");
	r.slots = SLOTS;
	r.started_ms = started_ms;
	return r;
}

static struct directory_replica *
put_replica(struct directory *d, uint32_t i, uint64_t started_ms)
{
	struct fleet_replica r = make_replica(i, started_ms);

	return directory_put(d, &r);
}

static struct balance_request
make_request(void)
{
	struct balance_request w;

	memset(&w, 0, sizeof(w));
	balance_set_names(&w, "s", "", "");
	w.zone = "z1";
	w.max_conns = 100;
	return w;
}

static enum balance_result
pick(const struct directory *d, uint64_t now, struct directory_replica **m)
{
	struct balance_request w = make_request();

	return balance_pick(d, now, &w, 0.0, m);
}

/* The list goes on saying ready: a new incarnation alone brings it back. */
static void
test_leaving(void)
{
	struct directory d;
	struct directory_replica *m, *found;

	directory_init(&d);
	m = put_replica(&d, 0, 7);
	CU_ASSERT(notice_leaving(&m->notice, 7, S));
	CU_ASSERT(!notice_leaving(&m->notice, 7, 2 * S));
	CU_ASSERT(directory_is_leaving(m));
	put_replica(&d, 0, 7);
	CU_ASSERT_EQUAL(pick(&d, 3 * S, &found), BALANCE_NO_REPLICA);
	put_replica(&d, 0, 6);
	CU_ASSERT_EQUAL(pick(&d, 3 * S, &found), BALANCE_NO_REPLICA);
	put_replica(&d, 0, 8);
	CU_ASSERT_EQUAL(pick(&d, 3 * S, &found), BALANCE_FOUND);
	directory_clear(&d);
}

static void
test_removed_and_listed(void)
{
	struct directory d;
	struct directory_replica *m, *found;

	directory_init(&d);
	m = put_replica(&d, 0, 7);
	notice_leaving(&m->notice, 7, 10 * S);
	directory_remove(&d, 11 * S, "0");
	directory_tick(&d, 12 * S);
	put_replica(&d, 0, 7);
	CU_ASSERT_EQUAL(pick(&d, 13 * S, &found), BALANCE_NO_REPLICA);
	directory_remove(&d, 14 * S, "0");
	directory_tick(&d, 14 * S);
	CU_ASSERT_PTR_NULL(directory_find(&d, "0"));
	directory_tick(&d, 10 * S + NOTICE_KEPT_NS - MS);
	CU_ASSERT_PTR_NOT_NULL(d.kept_notices);
	directory_tick(&d, 10 * S + NOTICE_KEPT_NS);
	CU_ASSERT_PTR_NULL(d.kept_notices);
	/* A closed time holds as well; a new incarnation is free of it. */
	m = put_replica(&d, 0, 7);
	notice_closed(&m->notice, 7, 20 * S, 5 * S);
	directory_remove(&d, 21 * S, "0");
	directory_tick(&d, 21 * S);
	put_replica(&d, 0, 7);
	CU_ASSERT_EQUAL(pick(&d, 22 * S, &found), BALANCE_FULL);
	put_replica(&d, 0, 8);
	CU_ASSERT_EQUAL(pick(&d, 22 * S, &found), BALANCE_FOUND);
	directory_clear(&d);
}

/* Another replica at the address of a closed one starts clean. */
static void
test_new_address(void)
{
	struct directory d;
	struct directory_replica *m, *found;
	struct fleet_replica r = make_replica(1, 9);

	directory_init(&d);
	m = put_replica(&d, 0, 7);
	notice_closed(&m->notice, 7, S, 100 * S);
	snprintf(r.addr, sizeof(r.addr), "%s", m->info.addr);
	directory_put(&d, &r);
	CU_ASSERT_EQUAL(pick(&d, 2 * S, &found), BALANCE_FOUND);
	CU_ASSERT_STRING_EQUAL(found->info.id, "1");
	directory_clear(&d);
}

static void
test_closed(void)
{
	struct directory d;
	struct directory_replica *m, *found;

	directory_init(&d);
	m = put_replica(&d, 0, 7);
	CU_ASSERT(!notice_closed(&m->notice, 7, S, 0));
	CU_ASSERT(notice_closed(&m->notice, 7, S, 5 * S));
	/* A shorter time said later does not end the longer one. */
	CU_ASSERT(!notice_closed(&m->notice, 7, 2 * S, S));
	directory_attempt_succeeded(m, 2 * S);
	put_replica(&d, 0, 7);
	CU_ASSERT_EQUAL(pick(&d, S, &found), BALANCE_FULL);
	CU_ASSERT_EQUAL(pick(&d, 6 * S - MS, &found), BALANCE_FULL);
	CU_ASSERT(!notice_reopened(&m->notice, 6 * S - MS));
	CU_ASSERT_EQUAL(pick(&d, 6 * S, &found), BALANCE_FOUND);
	CU_ASSERT(notice_reopened(&m->notice, 6 * S));
	CU_ASSERT(!notice_reopened(&m->notice, 6 * S));
	directory_clear(&d);
}

/* An answer on its way as the replica started anew is the earlier one's. */
static void
test_incarnations(void)
{
	struct directory d;
	struct directory_replica *m;

	directory_init(&d);
	m = put_replica(&d, 0, 8);
	notice_closed(&m->notice, 7, S, 5 * S);
	notice_leaving(&m->notice, 7, S);
	CU_ASSERT(directory_usable(m, S));
	notice_closed(&m->notice, 8, S, 5 * S);
	CU_ASSERT(!directory_usable(m, S));
	CU_ASSERT(!directory_is_leaving(m));
	CU_ASSERT(!notice_leaving(&m->notice, 7, 2 * S));
	CU_ASSERT(!notice_closed(&m->notice, 7, 2 * S, 100 * S));
	CU_ASSERT_EQUAL(directory_closed_until(m, 2 * S), 6 * S);
	directory_clear(&d);
}

/*
 * A replica that has restarted refuses before its new incarnation is listed:
 * one request at a time shows whether the new incarnation takes requests.
 */
static void
test_not_listed_yet(void)
{
	struct directory d;
	struct directory_replica *m;

	directory_init(&d);
	m = put_replica(&d, 0, 7);
	notice_closed(&m->notice, 7, S, 5 * S);
	put_replica(&d, 0, 8);
	CU_ASSERT(directory_usable(m, 2 * S));
	m->local_load.running = 1;
	CU_ASSERT(!directory_usable(m, 2 * S));
	notice_answered(&m->notice, 7, S);
	CU_ASSERT(!directory_usable(m, 2 * S));
	notice_answered(&m->notice, 8, 2 * S);
	CU_ASSERT(directory_usable(m, 3 * S));
	directory_clear(&d);
}

/* A time without end: one request at a time once the longest is over. */
static void
test_huge(void)
{
	struct directory d;
	struct directory_replica *m;
	uint64_t end = S + NOTICE_CLOSED_MAX_NS;

	directory_init(&d);
	m = put_replica(&d, 0, 7);
	notice_closed(&m->notice, 7, S, NOTICE_CLOSED_MAX_NS + 1);
	CU_ASSERT(!directory_usable(m, end - MS));
	CU_ASSERT(directory_usable(m, end));
	m->local_load.running = 1;
	CU_ASSERT(!directory_usable(m, end));
	notice_answered(&m->notice, 7, S);
	CU_ASSERT(!directory_usable(m, end));
	notice_answered(&m->notice, 7, end);
	CU_ASSERT(directory_usable(m, end + MS));
	directory_clear(&d);
}

static void
test_closed_slots(void)
{
	struct directory d;
	struct directory_replica *a, *b;
	struct balance_request w;
	uint64_t at;

	directory_init(&d);
	memset(&w, 0, sizeof(w));
	balance_set_names(&w, "s", "", "");
	CU_ASSERT_EQUAL(balance_closed_slots(&d, S, &w, &at), 0);
	a = put_replica(&d, 0, 7);
	b = put_replica(&d, 1, 7);
	notice_closed(&a->notice, 7, S, 5 * S);
	CU_ASSERT_EQUAL(balance_closed_slots(&d, S, &w, &at), 0);
	CU_ASSERT_EQUAL(balance_slots(&d, S, &w), SLOTS);
	notice_closed(&b->notice, 7, S, 3 * S);
	CU_ASSERT_EQUAL(balance_closed_slots(&d, S, &w, &at), 2 * SLOTS);
	CU_ASSERT_EQUAL(at, 4 * S);
	notice_leaving(&b->notice, 7, S);
	CU_ASSERT_EQUAL(balance_closed_slots(&d, S, &w, &at), SLOTS);
	CU_ASSERT_EQUAL(at, 6 * S);
	directory_clear(&d);
}

static uint32_t
running_at(const struct sim *s, uint64_t now)
{
	uint32_t running = 0;
	uint32_t i;

	for (i = 0; i < s->nends; i++)
		running += s->ends[i] > now;
	return running;
}

/* One attempt; returns 1 when served, 0 when refused, -1: no replica. */
static int
attempt(struct directory *d, struct sim *sims, struct balance_request *w,
    uint64_t now, int leaving, int heed, struct replay *out)
{
	struct directory_replica *m;
	struct sim *s;
	double draw = (double)(now / MS * 7919 % 1000) / 1000.0;
	uint32_t i;

	for (m = d->replicas; m != NULL; m = m->hh.next) {
		s = &sims[strtoul(m->info.id, NULL, 10)];
		m->local_load.running = running_at(s, now);
	}
	if (balance_pick(d, now, w, draw, &m) != BALANCE_FOUND)
		return -1;
	snprintf(w->tried[w->ntried++], NAME_SIZE, "%s", m->info.id);
	i = (uint32_t)strtoul(m->info.id, NULL, 10);
	s = &sims[i];
	if (leaving && now >= s->leaves_at) {
		out->at_closed +=
		    s->said_at != 0 && now > s->said_at + DRAIN_NS;
		if (s->said_at == 0)
			s->said_at = now;
		if (heed)
			notice_leaving(&m->notice, 1, now);
	} else if (!leaving && i % 2 == 0 && now < 8 * S) {
		out->at_closed += now > s->said_at + S / 2 && now < s->until;
		if (now >= s->until) {
			s->said_at = now;
			s->until = now + 3 * S;
		}
		if (heed)
			notice_closed(&m->notice, 1, now, s->until - now);
		directory_attempt_succeeded(m, now);
		return 0;
	}
	if (running_at(s, now) >= SLOTS)
		return 0;
	s->ends[s->nends++] = now + SERVICE_NS;
	directory_attempt_succeeded(m, now);
	return 1;
}

/*
 * Ten seconds, 120 requests a second and a crest of 180 in the middle, four
 * tries each, 5 ms apart.  Half of ten replicas refuse for 3 s at a time; or
 * one replica a second leaves, and the list shows it 3 s later.
 */
static struct replay
replay(int leaving, int heed)
{
	static struct sim sims[2 * REPLICAS];
	struct replay out = { 0, 0, 0 };
	struct balance_request w;
	struct directory d;
	uint64_t now = S;
	uint32_t i;
	char id[8];
	int served;

	memset(sims, 0, sizeof(sims));
	directory_init(&d);
	for (i = 0; i < REPLICAS; i++) {
		put_replica(&d, i, 1);
		sims[i].leaves_at = (2 + (uint64_t)i) * S;
		sims[REPLICAS + i].leaves_at = TIME_NEVER;
	}
	while (now < 11 * S) {
		for (i = 0; leaving && i < REPLICAS; i++) {
			snprintf(id, sizeof(id), "%u", i);
			if (now < sims[i].leaves_at + LATE_LIST_NS)
				put_replica(&d, i, 1);
			else
				directory_remove(&d, now, id);
			if (now >= sims[i].leaves_at)
				put_replica(&d, REPLICAS + i, 1);
		}
		out.requests++;
		w = make_request();
		for (i = 0, served = 0; i < ATTEMPTS && served != 1; i++)
			served = attempt(&d, sims, &w, now + i * TRY_NS,
			    leaving, heed, &out);
		out.in_time += served == 1;
		now += S / (now > 5 * S && now < 7 * S ? 180 : 120);
	}
	directory_clear(&d);
	return out;
}

/* The latest answer decides; a new incarnation is free of it. */
static void
test_limit(void)
{
	struct directory d;
	struct directory_replica *m;

	directory_init(&d);
	m = put_replica(&d, 0, 7);
	CU_ASSERT(!notice_limit(&m->notice, 7, S, 0.0));
	CU_ASSERT(notice_limit(&m->notice, 7, 2 * S, 3.0));
	CU_ASSERT(!notice_limit(&m->notice, 7, 3 * S, 3.0));
	CU_ASSERT(!notice_limit(&m->notice, 7, 2 * S, 9.0));
	CU_ASSERT(!notice_limit(&m->notice, 6, 4 * S, 0.0));
	CU_ASSERT_EQUAL(directory_limit(m), 3.0);
	CU_ASSERT(notice_limit(&m->notice, 7, 4 * S, 2.0));
	CU_ASSERT(notice_limit(&m->notice, 7, 5 * S, 0.0));
	CU_ASSERT(!notice_limit(&m->notice, 7, 4 * S, 2.0));
	CU_ASSERT_EQUAL(directory_limit(m), 0.0);
	CU_ASSERT(notice_limit(&m->notice, 7, 6 * S, 2.0));
	directory_remove(&d, 7 * S, "0");
	directory_tick(&d, 8 * S);
	m = put_replica(&d, 0, 7);
	CU_ASSERT_EQUAL(directory_limit(m), 2.0);
	m = put_replica(&d, 0, 8);
	CU_ASSERT_EQUAL(directory_limit(m), 0.0);
	directory_clear(&d);
}

/* Half of the replicas say 503 with Retry-After at once, beside a crest. */
static void
test_half_refuse(void)
{
	struct replay before = replay(0, 0);
	struct replay after = replay(0, 1);

	printf("half refuse: in time %u, before %u of %u; at closed replicas "
	       "%u, before %u\n",
	    after.in_time, before.in_time, after.requests, after.at_closed,
	    before.at_closed);
	CU_ASSERT(before.at_closed != 0);
	CU_ASSERT_EQUAL(after.at_closed, 0);
	CU_ASSERT(after.in_time >= before.in_time);
}

/* Every answer says that its replica leaves; the list is 3 s late. */
static void
test_rolling(void)
{
	struct replay before = replay(1, 0);
	struct replay after = replay(1, 1);

	printf("rolling: in time %u, before %u of %u; later than the drain "
	       "time %u, before %u\n",
	    after.in_time, before.in_time, after.requests, after.at_closed,
	    before.at_closed);
	CU_ASSERT(before.at_closed != 0);
	CU_ASSERT_EQUAL(after.at_closed, 0);
	CU_ASSERT(after.in_time >= before.in_time);
}

static const struct unit_case cases[] = {
	{ "leaving", test_leaving },
	{ "leaving, removed, listed again", test_removed_and_listed },
	{ "address of a closed replica", test_new_address },
	{ "closed for a time", test_closed },
	{ "word of an earlier incarnation", test_incarnations },
	{ "not listed yet", test_not_listed_yet },
	{ "time without end", test_huge },
	{ "limit", test_limit },
	{ "all closed", test_closed_slots },
	{ "half of the replicas refuse", test_half_refuse },
	{ "rolling replacement, late lists", test_rolling },
};

UNIT_MAIN("notice", cases)
