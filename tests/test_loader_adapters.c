/* The loader's adapters: whatever the directory lists, slots are kept to. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loader_fixture.h"
#include "unit.h"

static void answer_report_of_r0(
    struct loader_fixture *, uint64_t, const char *, const char *);
static void test_unlisted_adapters_counted(void);
static void test_list_lacks_model(void);

/* Answers report requests; r0 has two adapters, or one if the second is "". */
static void
answer_report_of_r0(struct loader_fixture *t, uint64_t orders,
    const char *first, const char *second)
{
	struct loader_order *o;
	struct fleet_replica r;

	while ((o = fixture_take_order(t, LOADER_REPORT)) != NULL) {
		r = t->replicas[o->replica[1] - '0'];
		r.accepted_orders = orders;
		if (strcmp(r.id, "r0") == 0) {
			strcpy(r.adapters[0], first);
			strcpy(r.adapters[1], second);
			r.nadapters = *second == '\0' ? 1 : 2;
		}
		loader_report_received(t->s, t->now, o, &r);
		free(o);
	}
}

/*
 * An adapter that a former leader's table does not name, or that a replica did
 * not have yet when a request came, takes its slot nevertheless.
 */
static void
test_unlisted_adapters_counted(void)
{
	struct loader_order *o;
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	answer_report_of_r0(&t, 14, "m0/a1", "m0/a2");
	directory_find(&t.dir, "r0")->info.nadapters = 1;
	fixture_set_running(&t, "m0/a1", 5);
	loader_request_adapter(t.s, t.now, "m0/a3");
	fixture_run(&t, 40 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	o = fixture_require_order(&t, LOADER_UNLOAD);
	CU_ASSERT_STRING_EQUAL(o->adapter, "m0/a2");
	loader_order_answered(t.s, t.now, o, ANSWER_ALREADY_DONE);
	free(o);
	loader_request_adapter(t.s, t.now, "m0/a3");
	fixture_run(&t, 40 * MS);
	o = fixture_require_order(&t, LOADER_LOAD);
	CU_ASSERT_STRING_EQUAL(o->adapter, "m0/a3");
	CU_ASSERT_EQUAL(o->expected_sequence, 15);
	free(o);
	fixture_close(&t);
}

/* A list entry from before a load names neither the model nor its adapters. */
static void
test_list_lacks_model(void)
{
	struct loader_fixture t;

	fixture_open(&t, 0);
	strcpy(t.replicas[0].resident[1], "m3");
	t.replicas[0].nresident = 2;
	fixture_list_replica(&t, 0);
	fixture_run(&t, 500 * MS);
	answer_report_of_r0(&t, 14, "m0/a1", "m3/a2");
	t.replicas[0].nresident = 1;
	fixture_list_replica(&t, 0);
	loader_request_adapter(t.s, t.now, "m0/a3");
	fixture_run(&t, 40 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	fixture_close(&t);
}

static const struct unit_case cases[] = {
	{ "unlisted adapters", test_unlisted_adapters_counted },
	{ "list entry without a model", test_list_lacks_model },
};

UNIT_MAIN("loader_adapters", cases)
