/*
 * Quotas of client accounts: replays of an account at many times its quota, and
 * of sizes of requests that differ.  What happens to loans of shares under
 * faults is fuzzed in fuzz_quota.
 */
#include <stdio.h>
#include <string.h>

#include "quota.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC
#define SELF "10.0.0.1:1"
#define STEP_NS (5 * MS)

static uint64_t asked_at;	 /* of the tokens taken last */
static struct quota_answer last; /* latest answer to this process */
static uint32_t nanswers;

static void send_request(void *, const char *, const struct quota_request *);
static void send_answer(void *, const char *, const struct quota_answer *);
static void on_answered(void *, const struct quota_answer *);
static struct quota *start(double, double, double);
static void advance(struct quota *, uint64_t, uint64_t);
static int ask(struct quota *, uint64_t, const char *, uint64_t, uint64_t);
static void test_unlimited(void);
static void test_hot(void);
static void test_sizes(void);
static void test_returns_spread(void);
static void test_void(void);
static void test_late_answer(void);
static void test_given_back(void);
static void test_lowered(void);
static void test_paused(void);

static const struct quota_ops ops = { send_request, send_answer, on_answered };

static void
send_request(void *ctx, const char *to, const struct quota_request *r)
{
	(void)ctx;
	(void)to;
	(void)r;
}

static void
send_answer(void *ctx, const char *to, const struct quota_answer *a)
{
	(void)ctx;
	(void)to;
	(void)a;
}

static void
on_answered(void *ctx, const struct quota_answer *a)
{
	(void)ctx;
	last = *a;
	nanswers++;
}

/* Two accounts of the same rate at a process that has all shares. */
static struct quota *
start(double rate, double burst, double slack)
{
	struct fleet_account a[2];
	struct quota *q;
	uint32_t i;

	memset(a, 0, sizeof(a));
	snprintf(a[0].name, sizeof(a[0].name), "hot");
	snprintf(a[1].name, sizeof(a[1].name), "other");
	for (i = 0; i < 2; i++) {
		a[i].rate_per_s = rate;
		a[i].burst = burst;
	}
	q = quota_create(SELF, slack, &ops, NULL);
	quota_set_accounts(q, S, a, 2);
	for (i = 0; i < SHARES_SLOTS; i++)
		quota_set_pool(q, i, SELF);
	quota_set_part(q, S, 1.0);
	nanswers = 0;
	return q;
}

static void
advance(struct quota *q, uint64_t from, uint64_t to)
{
	for (; from <= to; from += 100 * MS)
		quota_set_part(q, from, 1.0);
}

/* Whether the tokens are granted, perhaps later, within a wait. */
static int
ask(struct quota *q, uint64_t now, const char *account, uint64_t tokens,
    uint64_t max_wait)
{
	struct quota_request r = { .id = 1 };

	quota_set_part(q, now, 1.0);
	if (quota_take(q, now, account, tokens, &asked_at))
		return 1;
	snprintf(r.account, sizeof(r.account), "%s", account);
	r.tokens = tokens;
	r.max_wait_ns = max_wait;
	CU_ASSERT_EQUAL(quota_ask(q, now, &r, 0), 0);
	return last.granted != 0;
}

/* Guards against quotas for accounts that have none. */
static void
test_unlimited(void)
{
	struct quota *q = start(0.0, 0.0, 0.0);

	CU_ASSERT_FALSE(quota_is_limited(q, "hot"));
	CU_ASSERT_FALSE(quota_is_limited(q, "unknown"));
	quota_destroy(q);
}

/*
 * Load: one account asks for ten times its quota beside one that asks for half
 * of its own.  Guards against quota left unused, or exceeded, and against the
 * hot account taking anything from the other one.
 */
static void
test_hot(void)
{
	struct quota *q = start(1000.0, 1000.0, 0.0);
	uint64_t tokens = 0;
	uint32_t refused = 0;
	uint64_t t;

	advance(q, S, 2 * S);
	for (t = 2 * S; t < 22 * S; t += STEP_NS) {
		tokens += ask(q, t, "hot", 50, 0) ? 50 : 0;
		if (t % (100 * MS) == 0)
			refused += !ask(q, t, "other", 50, 0);
	}
	CU_ASSERT_TRUE(tokens <= 21000);
	CU_ASSERT_TRUE(tokens >= 19000);
	CU_ASSERT_EQUAL(refused, 0);
	quota_destroy(q);
}

/*
 * Load: small and large requests of one account, four times its quota.  Guards
 * against large requests that starve beside small ones.
 */
static void
test_sizes(void)
{
	struct quota *q = start(1000.0, 1000.0, 11000.0);
	uint32_t small = 0;
	uint32_t large = 0;
	uint64_t t;

	for (t = S; t < 61 * S; t += 100 * MS) {
		small += ask(q, t, "hot", 50, 0) != 0;
		if (t % S == 0)
			large += ask(q, t, "hot", 3500, 0) != 0;
	}
	/* Of 600 and 60: both are served as often, within a factor of two. */
	CU_ASSERT_TRUE(large * 20 >= small);
	CU_ASSERT_TRUE(small * 2 >= large * 10);
	quota_destroy(q);
}

/* Guards against refused callers that all come back at once. */
static void
test_returns_spread(void)
{
	struct quota *q = start(1000.0, 1000.0, 0.0);
	uint64_t before = 0;
	int i;

	CU_ASSERT_FALSE(ask(q, S, "hot", 100, 0));
	for (i = 0; i < 20; i++) {
		CU_ASSERT_FALSE(ask(q, S, "hot", 100, 0));
		CU_ASSERT_TRUE(last.wait_ns >= before + 90 * MS);
		before = last.wait_ns;
	}
	quota_destroy(q);
}

/* Guards against tokens that are kept and used in a later window. */
static void
test_void(void)
{
	struct quota *q = start(1000.0, 1000.0, 0.0);

	advance(q, S, 3 * S);
	CU_ASSERT_TRUE(ask(q, 3 * S, "hot", 100, 0));
	quota_keep(q, 3 * S, &last);
	CU_ASSERT_FALSE(quota_take(q, 3 * S, "hot", 101, &asked_at));
	CU_ASSERT_FALSE(
	    quota_take(q, 3 * S + QUOTA_VALID_NS, "hot", 100, &asked_at));
	quota_keep(q, 3 * S + QUOTA_VALID_NS - 1, &last);
	CU_ASSERT_TRUE(
	    quota_take(q, 3 * S + QUOTA_VALID_NS - 1, "hot", 100, &asked_at));
	quota_destroy(q);
}

/* Guards against tokens of an answer that comes in a later window. */
static void
test_late_answer(void)
{
	struct quota *q = start(1000.0, 1000.0, 0.0);
	struct quota_answer a = { .id = 1, .asked_at = 3 * S };

	advance(q, S, 4 * S);
	snprintf(a.origin, sizeof(a.origin), "%s", SELF);
	snprintf(a.account, sizeof(a.account), "hot");
	a.granted = 1;
	a.tokens = 100;
	a.spare_tokens = 100;
	quota_answered(q, 3 * S + QUOTA_VALID_NS, &a);
	CU_ASSERT_EQUAL(nanswers, 0);
	quota_answered(q, 3 * S + QUOTA_VALID_NS - 1, &a);
	CU_ASSERT_EQUAL(nanswers, 1);
	quota_destroy(q);
}

/* Guards against requests that ran nowhere being charged. */
static void
test_given_back(void)
{
	struct quota *q = start(1000.0, 1000.0, 0.0);

	advance(q, S, 3 * S);
	CU_ASSERT_TRUE(ask(q, 3 * S, "hot", 900, 0));
	CU_ASSERT_FALSE(ask(q, 3 * S, "hot", 900, 0));
	quota_give_back(q, 3 * S, "hot", 900, 3 * S);
	CU_ASSERT_TRUE(ask(q, 3 * S, "hot", 900, 0));
	/* Tokens that are returned twice keep their age. */
	quota_give_back(q, 3 * S, "hot", 900, 3 * S);
	CU_ASSERT_TRUE(quota_take(q, 3 * S + 300 * MS, "hot", 900, &asked_at));
	CU_ASSERT_EQUAL(asked_at, 3 * S);
	quota_destroy(q);
}

/* Guards against a lower quota that starts with debts of the former one. */
static void
test_lowered(void)
{
	struct quota *q = start(100000.0, 100000.0, 11000.0);
	struct fleet_account a;

	advance(q, S, 3 * S);
	CU_ASSERT_TRUE(ask(q, 3 * S, "hot", 100000, 0));
	CU_ASSERT_TRUE(ask(q, 3 * S, "hot", 15000, 200 * MS));
	memset(&a, 0, sizeof(a));
	snprintf(a.name, sizeof(a.name), "hot");
	a.rate_per_s = 1000.0;
	a.burst = 1000.0;
	quota_set_accounts(q, 3 * S, &a, 1);
	advance(q, 3 * S, 4 * S);
	CU_ASSERT_TRUE(ask(q, 4 * S, "hot", 500, 0));
	CU_ASSERT_EQUAL(quota_is_limited(q, "other"), 0);
	quota_destroy(q);
}

/* Guards against a pool that grants after a freeze, when others do too. */
static void
test_paused(void)
{
	struct quota *q = start(1000.0, 1000.0, 0.0);
	struct quota_request r = { .id = 1, .tokens = 100 };

	advance(q, S, 3 * S);
	CU_ASSERT_TRUE(ask(q, 3 * S, "hot", 100, 0));
	snprintf(r.account, sizeof(r.account), "hot");
	r.asked_at = 5 * S;
	nanswers = 0;
	(void)quota_ask(q, 5 * S, &r, 0);
	CU_ASSERT_EQUAL(nanswers, 0);
	quota_destroy(q);
}

static const struct unit_case cases[] = {
	{ "no quota", test_unlimited },
	{ "an account at ten times its quota", test_hot },
	{ "small and large requests", test_sizes },
	{ "refused callers come back one after the other",
	    test_returns_spread },
	{ "granted tokens are void after a time", test_void },
	{ "late answers are dropped", test_late_answer },
	{ "requests that ran nowhere are not charged", test_given_back },
	{ "a lower quota begins without debts", test_lowered },
	{ "a pool grants nothing after a freeze", test_paused },
};

UNIT_MAIN("quota", cases)
