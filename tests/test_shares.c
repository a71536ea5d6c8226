/* Loans of shares of limits; faults are fuzzed in fuzz_quota. */
#include <stdio.h>
#include <string.h>

#include "shares.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC

struct process {
	struct node_id id;
	struct shares *shares;
	int cut; /* its messages are lost */
};

#define PROCESSES 5

static struct process processes[PROCESSES];
static uint64_t now;

static void send_loan(void *, const char *, const struct share_loan *);
static void send_ack(void *, const char *, const struct share_ack *);
static struct process *find(const char *);
static void start(struct process *, uint32_t);
static void start_all(void);
static void stop_all(void);
static void run(uint64_t);
static double sum(void);
static void test_rank(void);
static void test_pools(void);
static void test_pool_lost(void);
static void test_cut_off(void);
static void test_closing(void);
static void test_late_loan(void);
static void test_reordered(void);
static void test_restarted(void);
static void test_count_unknown(void);

static const struct shares_ops ops = { send_loan, send_ack };

static struct process *
find(const char *addr)
{
	uint32_t i;

	for (i = 0; i < PROCESSES; i++) {
		if (strcmp(processes[i].id.addr, addr) == 0)
			return &processes[i];
	}
	return NULL;
}

static void
send_loan(void *ctx, const char *to, const struct share_loan *l)
{
	const struct process *from = ctx;
	struct process *p = find(to);

	if (!from->cut && !p->cut && p->shares != NULL)
		shares_lent(p->shares, now, from->id.addr, l);
}

static void
send_ack(void *ctx, const char *to, const struct share_ack *a)
{
	const struct process *from = ctx;
	struct process *p = find(to);

	if (p != NULL && !from->cut && !p->cut && p->shares != NULL)
		shares_acked(p->shares, now, from->id.addr, a);
}

static void
start(struct process *p, uint32_t number)
{
	struct share_candidate all[PROCESSES];
	uint32_t i;

	memset(p, 0, sizeof(*p));
	memset(all, 0, sizeof(all));
	snprintf(p->id.addr, sizeof(p->id.addr), "10.0.0.%u:1", number);
	p->id.incarnation = now;
	p->shares = shares_create(&p->id, now, &ops, p);
	for (i = 0; i < PROCESSES; i++) {
		snprintf(all[i].addr, sizeof(all[i].addr), "10.0.0.%u:1", i);
		snprintf(all[i].zone, sizeof(all[i].zone), "z%u", i % 2);
		all[i].weight = i < 3 ? 50 : 10;
	}
	shares_rank(all, PROCESSES);
	shares_set_candidates(p->shares, all, PROCESSES);
	shares_set_processes(p->shares, PROCESSES);
}

static void
start_all(void)
{
	uint32_t i;

	now = 100 * S;
	for (i = 0; i < PROCESSES; i++)
		start(&processes[i], i);
	run(6 * S);
}

static void
stop_all(void)
{
	uint32_t i;

	for (i = 0; i < PROCESSES; i++) {
		shares_destroy(processes[i].shares);
		processes[i].shares = NULL;
	}
}

/* At no time more than the whole is given out. */
static void
run(uint64_t ns)
{
	uint64_t until = now + ns;
	uint32_t i;

	for (; now < until; now += 20 * MS) {
		for (i = 0; i < PROCESSES; i++) {
			if (processes[i].shares != NULL)
				shares_tick(processes[i].shares, now);
		}
		CU_ASSERT_TRUE(sum() <= 1.0001);
	}
}

static double
sum(void)
{
	double n = 0.0;
	uint32_t i;

	for (i = 0; i < PROCESSES; i++) {
		if (processes[i].shares != NULL)
			n += shares_part(processes[i].shares, now);
	}
	return n;
}

/* Guards against two pools that are lost with one data centre. */
static void
test_rank(void)
{
	struct share_candidate c[4];

	memset(c, 0, sizeof(c));
	snprintf(c[0].addr, sizeof(c[0].addr), "a");
	snprintf(c[1].addr, sizeof(c[1].addr), "b");
	snprintf(c[2].addr, sizeof(c[2].addr), "c");
	snprintf(c[3].addr, sizeof(c[3].addr), "d");
	snprintf(c[0].zone, sizeof(c[0].zone), "y");
	snprintf(c[1].zone, sizeof(c[1].zone), "x");
	snprintf(c[2].zone, sizeof(c[2].zone), "x");
	snprintf(c[3].zone, sizeof(c[3].zone), "x");
	c[0].weight = 1;
	c[1].weight = 3;
	c[2].weight = 2;
	c[3].weight = 9;
	shares_rank(c, 4);
	CU_ASSERT_STRING_EQUAL(c[0].addr, "d");
	CU_ASSERT_STRING_EQUAL(c[1].addr, "a");
	CU_ASSERT_STRING_EQUAL(c[2].addr, "b");
	CU_ASSERT_STRING_EQUAL(c[3].addr, "c");
	shares_rank(c, 0);
}

/* Guards against shares that no pool has while nothing fails. */
static void
test_pools(void)
{
	uint32_t pools = 0;
	uint32_t i;

	start_all();
	CU_ASSERT_DOUBLE_EQUAL(sum(), 1.0, 0.001);
	for (i = 0; i < PROCESSES; i++)
		pools += shares_part(processes[i].shares, now) > 0.0;
	CU_ASSERT_EQUAL(pools, SHARES_SLOTS);
	stop_all();
}

/*
 * Guards against the loss of all limits with one pool: the other one keeps its
 * half, and a third process gets the rest within two seconds.
 */
static void
test_pool_lost(void)
{
	struct process *p;

	start_all();
	p = find(shares_pool(processes[4].shares, 0));
	shares_destroy(p->shares);
	p->shares = NULL;
	CU_ASSERT_DOUBLE_EQUAL(sum(), 0.5, 0.001);
	run(2 * S);
	/* The lost process's own share is lost. */
	CU_ASSERT_DOUBLE_EQUAL(sum(), 0.8, 0.001);
	stop_all();
}

/* Guards against a share that is used twice, or by nobody, behind a cut. */
static void
test_cut_off(void)
{
	start_all();
	processes[4].cut = 1;
	run(3 * S);
	CU_ASSERT_DOUBLE_EQUAL(
	    shares_part(processes[4].shares, now), 0.2, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(sum(), 1.0, 0.001);
	processes[4].cut = 0;
	run(4 * S);
	CU_ASSERT_DOUBLE_EQUAL(
	    shares_part(processes[4].shares, now), 0.0, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(sum(), 1.0, 0.001);
	stop_all();
}

/* Guards against limits that go unused while a pool's process stops. */
static void
test_closing(void)
{
	struct process *p;

	start_all();
	p = find(shares_pool(processes[4].shares, 0));
	shares_close(p->shares);
	run(500 * MS);
	CU_ASSERT_DOUBLE_EQUAL(shares_part(p->shares, now), 0.0, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(sum(), 1.0, 0.001);
	stop_all();
}

/* Guards against loans that arrive after the lender has counted them as over.
 */
static void
test_late_loan(void)
{
	struct process *p;
	struct share_loan l = { .number = 1, .slots = 2, .processes = 5 };

	start_all();
	p = find(shares_pool(processes[4].shares, 0));
	l.incarnation = p->id.incarnation;
	l.pool_time = now - 2 * S;
	shares_lent(p->shares, now, "10.0.0.9:1", &l);
	CU_ASSERT_DOUBLE_EQUAL(sum(), 1.0, 0.001);
	l.number++;
	l.pool_time = now + 2 * S;
	shares_lent(p->shares, now, "10.0.0.9:1", &l);
	CU_ASSERT_DOUBLE_EQUAL(sum(), 1.0, 0.001);
	l.number++;
	l.pool_time = now;
	l.incarnation--;
	shares_lent(p->shares, now, "10.0.0.9:1", &l);
	CU_ASSERT_DOUBLE_EQUAL(sum(), 1.0, 0.001);
	stop_all();
}

/*
 * Guards against a loan that overtakes the one by which its slot was taken
 * back: the lender has lent the slot elsewhere once that one was acknowledged.
 */
static void
test_reordered(void)
{
	struct process *p;
	struct share_loan l = { .number = UINT64_MAX - 1, .processes = 5 };

	start_all();
	p = find(shares_pool(processes[4].shares, 0));
	l.incarnation = p->id.incarnation;
	l.pool_time = now;
	l.slots = 0;
	shares_lent(p->shares, now, processes[3].id.addr, &l);
	CU_ASSERT_DOUBLE_EQUAL(sum(), 0.9, 0.001);
	l.number--;
	l.slots = 1;
	shares_lent(p->shares, now, processes[3].id.addr, &l);
	CU_ASSERT_DOUBLE_EQUAL(sum(), 0.9, 0.001);
	stop_all();
}

/* Guards against a share that a process uses while its predecessor's is lent.
 */
static void
test_restarted(void)
{
	uint32_t i;

	start_all();
	for (i = 0; i < PROCESSES; i++) {
		shares_destroy(processes[i].shares);
		start(&processes[i], i);
		run(2 * S);
	}
	CU_ASSERT_DOUBLE_EQUAL(sum(), 1.0, 0.001);
	stop_all();
}

/* Guards against a process that takes all limits for its own as it starts. */
static void
test_count_unknown(void)
{
	now = 100 * S;
	start(&processes[0], 0);
	shares_set_candidates(processes[0].shares, NULL, 0);
	shares_set_processes(processes[0].shares, 0);
	run(3 * S);
	CU_ASSERT_DOUBLE_EQUAL(shares_part(processes[0].shares, now), 0.0, 0.0);
	shares_set_processes(processes[0].shares, PROCESSES);
	run(1 * S);
	CU_ASSERT_DOUBLE_EQUAL(
	    shares_part(processes[0].shares, now), 0.2, 0.001);
	stop_all();
}

static const struct unit_case cases[] = {
	{ "candidates of different data centres", test_rank },
	{ "two pools have all shares", test_pools },
	{ "a pool is lost", test_pool_lost },
	{ "a process is cut off", test_cut_off },
	{ "a pool's process stops", test_closing },
	{ "late loans do not count", test_late_loan },
	{ "loans overtake each other", test_reordered },
	{ "processes start again", test_restarted },
	{ "the number of processes is not known", test_count_unknown },
};

UNIT_MAIN("shares", cases)
