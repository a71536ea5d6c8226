/* What follows an attempt, and the retry budget. */
#include <string.h>

#include "attempt.h"
#include "budget.h"
#include "mem.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC

static void test_attempts(void);
static void test_other_answer_to_resumed_stream(void);
static void test_at_most_once(void);
static void test_budget_window(void);
static void test_budget_shared(void);

/* The step after an attempt, by route kind, progress and end. */
static void
test_attempts(void)
{
	struct attempt_context f = { ROUTE_IDEMPOTENT, 0, 2, 0, 1, 0, 1, 10 * S,
		0 };

	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_REFUSED, S), NEXT_RETRY);
	f.attempts_made = ATTEMPTS_PER_REQUEST_MAX;
	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_REFUSED, S), NEXT_REFUSE);
	f.attempts_made = 1;
	f.retry_allowed = 0;
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_NOT_SENT, S), NEXT_REFUSE);
	f.retry_allowed = 1;
	f.runs = 1;
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_NO_RESPONSE, S), NEXT_RETRY);
	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_FAILED, S), NEXT_RETRY);
	f.runs = 2; /* the route's limit */
	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_FAILED, S), NEXT_FORWARD);
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_TRUNCATED, S), NEXT_REPORT_UNKNOWN);
	f.runs = 1;
	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_NO_RESPONSE, 10 * S),
	    NEXT_REPORT_UNKNOWN);
	f.kind = ROUTE_STREAM;
	f.response_started = 1;
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_TRUNCATED, S), NEXT_ABORT);
	f.resumable = 1;
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_TRUNCATED, S), NEXT_RETRY);
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_ANSWERED, S), NEXT_FORWARD);
}

/* An error response was written into a stream that had begun. */
static void
test_other_answer_to_resumed_stream(void)
{
	struct attempt_context f = { ROUTE_STREAM, 1, 3, 2, 2, 1, 1, 10 * S,
		1 };

	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_ANSWERED, S), NEXT_RETRY);
	f.runs = 3;
	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_ANSWERED, S), NEXT_ABORT);
	f.response_started = 0;
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_ANSWERED, S), NEXT_FORWARD);
}

/*
 * A non-idempotent request that may have been executed is neither sent again
 * nor reported as not executed.
 */
static void
test_at_most_once(void)
{
	struct attempt_context f;
	enum attempt_step step;
	int end, sends, runs, begun, budget;

	memset(&f, 0, sizeof(f));
	f.kind = ROUTE_AT_MOST_ONCE;
	f.max_runs = 3;
	f.deadline = 10 * S;
	for (end = 0; end < ATTEMPT__MAX; end++)
		for (sends = 1; sends < 6; sends++)
			for (runs = 1; runs <= sends; runs++)
				for (begun = 0; begun < 2; begun++)
					for (budget = 0; budget < 2; budget++) {
						f.attempts_made =
						    (uint32_t)sends;
						f.runs = (uint32_t)runs;
						f.response_started = begun;
						f.retry_allowed = budget;
						step = attempt_next_step(&f,
						    (enum attempt_outcome)end,
						    S);
						CU_ASSERT(step != NEXT_RETRY);
						CU_ASSERT(step != NEXT_REFUSE);
					}
}

static void
test_budget_window(void)
{
	struct budget_config c = { 0.2, 10 * S, 10 };
	struct budget *b = mem_alloc(sizeof(*b));
	uint32_t n = 0;
	int i;

	budget_init(b, &c);
	for (i = 0; i < 100; i++)
		budget_add_request(b, S, "a");
	while (budget_allows_retry(b, S, "a")) {
		budget_add_retry(b, S, "a");
		n++;
	}
	CU_ASSERT(n > 10 && n <= 30);		   /* 0.2 * 100 + 10 at most */
	CU_ASSERT(budget_allows_retry(b, S, "b")); /* per service */
	CU_ASSERT(!budget_allows_retry(b, 10 * S, "a"));
	CU_ASSERT(budget_allows_retry(b, 12 * S, "a")); /* the window is over */
	free(b);
}

/* The constant part of the budget is divided among the processes. */
static void
test_budget_shared(void)
{
	struct budget_config c = { 0.2, 10 * S, 54 };
	struct budget *b = mem_alloc(sizeof(*b));
	uint32_t n = 0;

	budget_init(b, &c);
	budget_set_processes(b, 9);
	while (budget_allows_retry(b, S, "a")) {
		budget_add_retry(b, S, "a");
		n++;
	}
	CU_ASSERT(n >= 3 && 9 * n <= 54);
	free(b);
}

static const struct unit_case cases[] = {
	{ "steps after an attempt", test_attempts },
	{ "other answer to a resumed stream",
	    test_other_answer_to_resumed_stream },
	{ "at most once", test_at_most_once },
	{ "budget window", test_budget_window },
	{ "budget per process", test_budget_shared },
};

UNIT_MAIN("attempt", cases)
