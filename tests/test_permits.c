/* Permits for requests to replicas that limit what they get from all. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "permits.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC
#define PROCESSES 9
#define MESSAGES_MAX 65536
#define LATENCY_NS (3 * MS)
#define STEP_NS (5 * MS)
#define REPORT_NS (100 * MS)
#define WINDOW_NS (4 * S)
#define REPLAY_NS (20 * S)

/* A message between the simulated processes. */
struct message {
	uint64_t due;
	char from[ADDR_SIZE];
	char to[ADDR_SIZE];
	int is_answer;
	struct permit_request request;
	struct permit_answer answer;
};

/* One process; the first one keeps the pool. */
struct sim {
	struct directory directory;
	struct permits *permits;
	uint64_t wait_ns;  /* by the latest answer without one */
	uint64_t last_id;  /* of these requests got a permit */
	uint32_t got;	   /* permits */
	int pool_is_alive; /* its messages arrive */
	char addr[ADDR_SIZE];
};

static struct message messages[MESSAGES_MAX];
static uint32_t nmessages;
static struct sim sims[PROCESSES];

static void send_request(void *, const char *, const struct permit_request *);
static void send_answer(void *, const char *, const struct permit_answer *);
static void on_answered(void *, const struct permit_answer *, uint64_t);
static void start(uint32_t, double);
static void stop(uint32_t);
static void deliver(uint32_t, uint64_t);
static void step(uint32_t, uint64_t);
static void ask(struct sim *, uint64_t, uint64_t, uint32_t, int, int);
static void test_rate(void);
static void test_pool(void);
static void test_pool_lost(void);
static void test_order(void);
static void test_others_leave(void);
static void test_late_permit(void);
static void test_paused(void);
static void test_withdrawn(void);
static void test_limit_ends(void);
static uint32_t replay(double, int, uint32_t *);
static void test_demand_beyond_limit(void);

static const struct permits_ops ops = { send_request, send_answer,
	on_answered };

static void
send_request(void *ctx, const char *to, const struct permit_request *r)
{
	const struct sim *s = ctx;
	struct message *m = &messages[nmessages++ % MESSAGES_MAX];

	memset(m, 0, sizeof(*m));
	m->request = *r;
	m->due = r->asked_at + LATENCY_NS;
	memcpy(m->from, s->addr, sizeof(m->from));
	snprintf(m->to, sizeof(m->to), "%s", to);
}

static void
send_answer(void *ctx, const char *to, const struct permit_answer *a)
{
	const struct sim *s = ctx;
	struct message *m = &messages[nmessages++ % MESSAGES_MAX];

	memset(m, 0, sizeof(*m));
	m->is_answer = 1;
	m->answer = *a;
	m->due = a->asked_at + 2 * LATENCY_NS;
	memcpy(m->from, s->addr, sizeof(m->from));
	snprintf(m->to, sizeof(m->to), "%s", to);
}

static void
on_answered(void *ctx, const struct permit_answer *a, uint64_t until)
{
	struct sim *s = ctx;

	(void)until;
	if (a->replica[0] == '\0') {
		s->wait_ns = a->wait_ns;
		return;
	}
	s->got++;
	s->last_id = a->id;
}

/* n processes that know of one replica's limit. */
static void
start(uint32_t n, double per_s)
{
	struct fleet_replica r;
	uint32_t i;

	nmessages = 0;
	memset(messages, 0, sizeof(messages));
	memset(sims, 0, sizeof(sims));
	memset(&r, 0, sizeof(r));
	snprintf(r.id, sizeof(r.id), "i-1");
	snprintf(r.service, sizeof(r.service), "s");
	r.started_ms = 1;
	for (i = 0; i < n; i++) {
		snprintf(sims[i].addr, sizeof(sims[i].addr), "10.0.0.%u:1", i);
		directory_init(&sims[i].directory);
		notice_limit(&directory_put(&sims[i].directory, &r)->notice, 1,
		    S, per_s);
		sims[i].permits = permits_create(
		    &sims[i].directory, sims[i].addr, 0, &ops, &sims[i]);
		sims[i].pool_is_alive = 1;
		permits_set_processes(sims[i].permits, n);
	}
}

static void
stop(uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		permits_destroy(sims[i].permits);
		directory_clear(&sims[i].directory);
	}
}

/* Delivers what is due to n processes, in the order in which it was sent. */
static void
deliver(uint32_t n, uint64_t now)
{
	struct message *m;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < nmessages && i < MESSAGES_MAX; i++) {
		m = &messages[i];
		for (k = 0; k < n && m->due != 0 && m->due <= now; k++) {
			if (strcmp(m->to, sims[k].addr) != 0)
				continue;
			m->due = 0;
			if (k == 0 && !sims[0].pool_is_alive)
				continue;
			if (m->is_answer)
				permits_answered(
				    sims[k].permits, now, &m->answer);
			else
				permits_requested(
				    sims[k].permits, now, m->from, &m->request);
		}
	}
}

/* Reports, ticks and messages of n processes at a time. */
static void
step(uint32_t n, uint64_t now)
{
	const char *pool = sims[0].pool_is_alive ? sims[0].addr : "";
	uint32_t i;

	for (i = 0; i < n; i++) {
		permits_set_pool(sims[i].permits, now, i == 0 ? "" : pool, 0);
		if (now % REPORT_NS == 0 && permits_pool(sims[i].permits)[0]) {
			permits_reported(sims[i].permits, now);
			permits_borrow(sims[0].permits, now, sims[i].addr,
			    permits_shares(sims[i].permits, now));
		}
		if (i != 0 || sims[0].pool_is_alive)
			permits_tick(sims[i].permits, now);
	}
	deliver(n, now);
}

static void
ask(struct sim *s, uint64_t now, uint64_t id, uint32_t priority, int is_late,
    int has_other)
{
	struct permit_request r;

	memset(&r, 0, sizeof(r));
	r.id = id;
	r.priority = priority;
	r.has_other = (uint32_t)has_other;
	r.target_ns = is_late ? 0 : S;
	r.max_wait_ns = 2 * S;
	r.nreplicas = 1;
	snprintf(r.replicas[0], sizeof(r.replicas[0]), "i-1");
	permits_ask(s->permits, now, &r);
}

/* A process alone gives itself nine tenths of the limit. */
static void
test_rate(void)
{
	uint64_t now;
	uint64_t id = 0;

	start(1, 10.0);
	for (now = STEP_NS; now < 2 * S; now += STEP_NS) {
		step(1, now);
		if (now == S)
			ask(&sims[0], now, ++id, 0, 0, 0);
	}
	CU_ASSERT_EQUAL(sims[0].got, 0);
	for (; now < 12 * S; now += STEP_NS) {
		step(1, now);
		if (now % (20 * MS) == 0)
			ask(&sims[0], now, sims[0].got + 1, 0, 0, 0);
	}
	CU_ASSERT(sims[0].got >= 85 && sims[0].got <= 100);
	while (++id < 20)
		ask(&sims[0], now, 1000 + id, 0, 0, 0);
	CU_ASSERT(sims[0].wait_ns > S / 2);
	stop(1);
}

/* The pool has all shares; a lender has none of its own. */
static void
test_pool(void)
{
	uint64_t now;

	start(PROCESSES, 4.0);
	for (now = 0; now < 10 * S; now += STEP_NS) {
		step(PROCESSES, now);
		if (now >= 2 * S && now % (100 * MS) == 0)
			ask(&sims[4], now, sims[4].got + 1, 0, 0, 0);
	}
	CU_ASSERT(sims[4].got >= 25 && sims[4].got <= 33);
	stop(PROCESSES);
}

/* Each process has its share back after the loan, and not before. */
static void
test_pool_lost(void)
{
	uint64_t now;
	uint32_t before;

	start(PROCESSES, 90.0);
	for (now = 0; now < 3 * S; now += STEP_NS)
		step(PROCESSES, now);
	sims[0].pool_is_alive = 0;
	before = sims[4].got;
	for (; now < 3 * S + 700 * MS; now += STEP_NS) {
		step(PROCESSES, now);
		if (now % (20 * MS) == 0)
			ask(&sims[4], now, sims[4].got + 1, 0, 0, 0);
	}
	CU_ASSERT_EQUAL(sims[4].got, before);
	for (; now < 8 * S; now += STEP_NS) {
		step(PROCESSES, now);
		if (now % (20 * MS) == 0)
			ask(&sims[4], now, sims[4].got + 1, 0, 0, 0);
	}
	CU_ASSERT(sims[4].got > before + 25 && sims[4].got < before + 45);
	stop(PROCESSES);
}

/* In time before late, then by priority, then by arrival. */
static void
test_order(void)
{
	uint64_t now = 2 * S;

	start(1, 10.0);
	step(1, now);
	ask(&sims[0], now, 1, 0, 1, 0);
	ask(&sims[0], now, 2, 5, 0, 0);
	ask(&sims[0], now, 3, 1, 0, 0);
	for (; sims[0].got == 0 && now < 4 * S; now += STEP_NS)
		step(1, now);
	CU_ASSERT_EQUAL(sims[0].last_id, 3);
	for (; sims[0].got == 1 && now < 4 * S; now += STEP_NS)
		step(1, now);
	CU_ASSERT_EQUAL(sims[0].last_id, 2);
	for (; sims[0].got == 2 && now < 4 * S; now += STEP_NS)
		step(1, now);
	CU_ASSERT_EQUAL(sims[0].last_id, 1);
	stop(1);
}

/* A request that has another replica leaves a quarter of the permits. */
static void
test_others_leave(void)
{
	uint64_t now;
	uint64_t id = 0;

	start(1, 10.0);
	for (now = 2 * S; now < 4 * S; now += STEP_NS)
		step(1, now);
	while (id < 20)
		ask(&sims[0], now, ++id, 0, 0, 1);
	CU_ASSERT(sims[0].got >= 6 && sims[0].got <= 7);
	ask(&sims[0], now, ++id, 0, 0, 0);
	CU_ASSERT_EQUAL(sims[0].last_id, id);
	stop(1);
}

/* A process that was paused does not use what it asked for before. */
static void
test_late_permit(void)
{
	struct permit_answer a;

	start(1, 10.0);
	memset(&a, 0, sizeof(a));
	memcpy(a.origin, sims[0].addr, sizeof(a.origin));
	snprintf(a.replica, sizeof(a.replica), "i-1");
	a.asked_at = 2 * S;
	permits_answered(sims[0].permits, 3 * S, &a);
	CU_ASSERT_EQUAL(sims[0].got, 0);
	permits_answered(sims[0].permits, 2 * S + 100 * MS, &a);
	CU_ASSERT_EQUAL(sims[0].got, 1);
	stop(1);
}

/* After a pause a process gives out nothing for as long as at its start. */
static void
test_paused(void)
{
	uint64_t now;

	start(1, 10.0);
	for (now = STEP_NS; now < 3 * S; now += STEP_NS)
		step(1, now);
	now = 6 * S;
	ask(&sims[0], now, 1, 0, 0, 0);
	step(1, now);
	CU_ASSERT_EQUAL(sims[0].got, 0);
	for (; now < 9 * S; now += STEP_NS) {
		step(1, now);
		if (now % (20 * MS) == 0)
			ask(&sims[0], now, sims[0].got + 1, 0, 0, 0);
	}
	CU_ASSERT(sims[0].got > 0);
	stop(1);
}

static void
test_withdrawn(void)
{
	struct permit_request none;
	uint64_t now = 2 * S;

	start(1, 10.0);
	step(1, now);
	ask(&sims[0], now, 1, 0, 0, 0);
	ask(&sims[0], now, 2, 0, 0, 0);
	memset(&none, 0, sizeof(none));
	none.id = 1;
	permits_ask(sims[0].permits, now, &none);
	for (; sims[0].got == 0 && now < 4 * S; now += STEP_NS)
		step(1, now);
	CU_ASSERT_EQUAL(sims[0].last_id, 2);
	stop(1);
}

/* Without a limit there is no permit to wait for. */
static void
test_limit_ends(void)
{
	struct directory_replica *m;

	start(1, 0.5);
	m = directory_find(&sims[0].directory, "i-1");
	CU_ASSERT(!directory_permitted(m, 2 * S));
	directory_add_permit(m, 2 * S, 3 * S);
	CU_ASSERT(directory_permitted(m, 2 * S));
	directory_take_permit(m, 2 * S);
	CU_ASSERT(!directory_permitted(m, 2 * S));
	directory_add_permit(m, 2 * S, 3 * S);
	CU_ASSERT(!directory_permitted(m, 3 * S));
	notice_limit(&m->notice, 1, 4 * S, 0.0);
	CU_ASSERT(directory_permitted(m, 4 * S));
	stop(1);
}

/*
 * Callers at one process of nine ask for more than the limit, at the others
 * every two seconds.  Returns the most requests in a window; sums up all.  The
 * old rule: each process has its own share.
 */
static uint32_t
replay(double per_s, int lend, uint32_t *all)
{
	static uint64_t sent[4096];
	uint32_t n = 0;
	uint32_t first = 0;
	uint32_t most = 0;
	uint32_t total;
	uint64_t now;
	uint32_t i;

	start(PROCESSES, per_s);
	for (now = 0; now < REPLAY_NS; now += STEP_NS) {
		sims[0].pool_is_alive = lend;
		step(PROCESSES, now);
		if (!lend)
			permits_tick(sims[0].permits, now);
		if (now < 3 * S)
			continue;
		for (i = 0; i < PROCESSES; i++) {
			if (now % (i == 5 ? 100 * MS : 8 * S) == 0)
				ask(&sims[i], now, sims[i].got + 1, 0, 0, 0);
		}
		for (total = 0, i = 0; i < PROCESSES; i++)
			total += sims[i].got;
		while (n < total && n < nitems(sent))
			sent[n++] = now;
		while (first < n && sent[first] + WINDOW_NS <= now)
			first++;
		if (n - first > most)
			most = n - first;
	}
	stop(PROCESSES);
	*all = n;
	return most;
}

static void
test_demand_beyond_limit(void)
{
	uint32_t before;
	uint32_t after;
	uint32_t most_before = replay(4.0, 0, &before);
	uint32_t most = replay(4.0, 1, &after);

	printf("limit of 4 a second: sent %u, with fixed shares %u, of %u; "
	       "most in 4 s %u and %u\n",
	    after, before, 4 * 17, most, most_before);
	CU_ASSERT(most <= 16 + 4);
	CU_ASSERT(after > 0.8 * 4 * 17);
	CU_ASSERT(after > before);
}

static const struct unit_case cases[] = {
	{ "rate", test_rate },
	{ "shares are lent to the pool", test_pool },
	{ "pool lost", test_pool_lost },
	{ "order", test_order },
	{ "requests with another replica", test_others_leave },
	{ "permit that comes late", test_late_permit },
	{ "pause", test_paused },
	{ "withdrawn request", test_withdrawn },
	{ "end of a limit", test_limit_ends },
	{ "demand beyond the limit at one process", test_demand_beyond_limit },
};

UNIT_MAIN("permits", cases)
