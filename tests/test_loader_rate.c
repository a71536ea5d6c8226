/* The loader: loads from the weight store keep to its rate. */
#include <stdlib.h>

#include "loader_fixture.h"
#include "unit.h"

static void test_store_rate(void);
static void test_unanswered_load_counts(void);
static void test_who_tells_started_process(void);

/* Loads from the weight store stay within its rate in a window. */
static void
test_store_rate(void)
{
	struct loader_order *o;
	struct loader_fixture t;
	int n = 0;
	int i;

	fixture_open(&t, 0);
	t.conf->services[0].engine->memory_mb = 100000;
	t.conf->services[0].engine->loads_per_s = 0.4;
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	for (i = 0; i < 20; i++) {
		fixture_set_running(&t, "m0", 500);
		fixture_set_running(&t, "m1", 500);
		fixture_set_running(&t, "m2", 500);
		fixture_set_running(&t, "m3", 500);
		fixture_run(&t, 100 * MS);
		while ((o = fixture_take_order(&t, LOADER_LOAD)) != NULL) {
			n++;
			loader_order_answered(t.s, t.now, o, ANSWER_STARTED);
			free(o);
		}
	}
	CU_ASSERT_EQUAL(n, 2); /* 0.4 a second in 5 s */
	fixture_close(&t);
}

/* A load may begin until its answer comes, and counts until then. */
static void
test_unanswered_load_counts(void)
{
	struct loader_order *first, *second;
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	fixture_set_running(&t, "m3", 3);
	fixture_run(&t, 300 * MS);
	first = fixture_require_order(&t, LOADER_LOAD);
	CU_ASSERT_EQUAL(first->window_loads, 1);
	fixture_run(&t, 6 * S);
	fixture_set_running(&t, "m0", 50);
	fixture_run(&t, 300 * MS);
	second = fixture_require_order(&t, LOADER_LOAD);
	CU_ASSERT_EQUAL(second->window_loads, 2);
	free(first);
	free(second);
	fixture_close(&t);
}

/*
 * A process that starts after the leader has told its loads hears of them from
 * any process that was told, but not from a leader, whose loads go on.
 */
static void
test_who_tells_started_process(void)
{
	struct loader_loads told = { 0 };
	struct loader_fixture t;

	fixture_open(&t, 0);
	CU_ASSERT(!loader_knows_loads(t.s));
	fixture_run(&t, 500 * MS);
	CU_ASSERT(loader_is_leader(t.s, t.now));
	CU_ASSERT(!loader_knows_loads(t.s));
	loader_release(t.s, &t.out);
	CU_ASSERT(loader_knows_loads(t.s));
	fixture_close(&t);
	fixture_open(&t, 0);
	told.fence = 3;
	loader_take_loads(t.s, t.now, &told);
	CU_ASSERT(loader_knows_loads(t.s));
	fixture_run(&t, 500 * MS);
	CU_ASSERT(!loader_knows_loads(t.s));
	fixture_close(&t);
}

static const struct unit_case cases[] = {
	{ "weight store rate", test_store_rate },
	{ "unanswered load counts", test_unanswered_load_counts },
	{ "who tells a started process", test_who_tells_started_process },
};

UNIT_MAIN("loader_rate", cases)
