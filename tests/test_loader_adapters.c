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
static void open_with_reports(struct loader_fixture *, uint32_t);
static void restart_unlisted(struct loader_fixture *, uint64_t);
static struct loader_order *send_load(struct loader_fixture *, const char *);
static void lose_load(struct loader_fixture *, const char *);
static void load_adapter(struct loader_fixture *, const char *);
static void check_no_load(struct loader_fixture *, const char *);
static void run_next_term(struct loader_fixture *);
static void test_lost_load_replica_unlisted(void);
static void test_lost_load_told_unlisted(void);
static void test_more_lost_loads(void);
static void test_lost_load_forgotten_late(void);
static void test_lost_load_new_term(void);
static void report_many(struct loader_fixture *, uint64_t, uint32_t, uint32_t);
static void test_many_places(void);
static void test_many_loading(void);
static void test_unnamed(void);

/* Answers report requests; r0 has two adapters, or one if the second is "". */
static void
answer_report_of_r0(struct loader_fixture *t, uint64_t orders,
    const char *first, const char *second)
{
	struct loader_order *o;
	struct fleet_replica r = { 0 };

	while ((o = fixture_take_order(t, LOADER_REPORT)) != NULL) {
		fleet_replica_copy(&r, &t->replicas[o->replica[1] - '0']);
		r.accepted_orders = orders;
		if (strcmp(r.id, "r0") == 0) {
			name_list_append(&r.adapters, first);
			if (*second != '\0')
				name_list_append(&r.adapters, second);
		}
		loader_report_received(t->s, t->now, o, &r);
		free(o);
	}
	fleet_replica_clear(&r);
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
	name_list_remove(&directory_find(&t.dir, "r0")->info.adapters, "m0/a2");
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
	name_list_append(&t.replicas[0].resident, "m3");
	fixture_list_replica(&t, 0);
	fixture_run(&t, 500 * MS);
	answer_report_of_r0(&t, 14, "m0/a1", "m3/a2");
	name_list_remove(&t.replicas[0].resident, "m3");
	fixture_list_replica(&t, 0);
	loader_request_adapter(t.s, t.now, "m0/a3");
	fixture_run(&t, 40 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	fixture_close(&t);
}

static void
open_with_reports(struct loader_fixture *t, uint32_t slots)
{
	fixture_open(t, 0);
	t->conf->services[0].engine->adapter_slots = slots;
	t->conf->services[0].engine->memory_mb = 100;
	fixture_run(t, 500 * MS);
	fixture_answer_reports(t, 0);
}

/* The entry of r0 leaves the list for 1 s; r0 is back with m0 only. */
static void
restart_unlisted(struct loader_fixture *t, uint64_t started_ms)
{
	directory_remove(&t->dir, t->now, "r0");
	directory_tick(&t->dir, t->now);
	CU_ASSERT_PTR_NULL(directory_find(&t->dir, "r0"));
	fixture_run(t, S);
	t->replicas[0].started_ms = started_ms;
	fixture_list_replica(t, 0);
	fixture_run(t, 100 * MS);
	fixture_answer_reports(t, 0);
}

static struct loader_order *
send_load(struct loader_fixture *t, const char *adapter)
{
	struct loader_order *o;

	loader_request_adapter(t->s, t->now, adapter);
	fixture_set_running(t, adapter, 5);
	fixture_run(t, 40 * MS);
	o = fixture_require_order(t, LOADER_LOAD);
	CU_ASSERT_STRING_EQUAL(o->adapter, adapter);
	CU_ASSERT_STRING_EQUAL(o->replica, "r0");
	return o;
}

/* The order to load it gets no answer. */
static void
lose_load(struct loader_fixture *t, const char *adapter)
{
	struct loader_order *o = send_load(t, adapter);

	loader_order_answered(t->s, t->now, o, ANSWER_NONE);
	free(o);
}

static void
load_adapter(struct loader_fixture *t, const char *adapter)
{
	struct loader_order *o = send_load(t, adapter);

	loader_order_answered(t->s, t->now, o, ANSWER_STARTED);
	free(o);
	fixture_run(t, 100 * MS);
}

static void
check_no_load(struct loader_fixture *t, const char *adapter)
{
	loader_request_adapter(t->s, t->now, adapter);
	fixture_run(t, 40 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(t, LOADER_LOAD));
}

/* A load without an answer may come after its replica was not listed. */
static void
test_lost_load_replica_unlisted(void)
{
	struct loader_fixture t;

	open_with_reports(&t, 2);
	lose_load(&t, "m0/a1");
	restart_unlisted(&t, 2);
	load_adapter(&t, "m0/a2");
	check_no_load(&t, "m0/a3");
	fixture_close(&t);
}

/* The time for the answer ends while the replica is not listed, or later. */
static void
test_lost_load_told_unlisted(void)
{
	struct loader_fixture t;
	struct loader_order *lost;

	open_with_reports(&t, 2);
	lost = send_load(&t, "m0/a1");
	restart_unlisted(&t, 2);
	load_adapter(&t, "m0/a2");
	check_no_load(&t, "m0/a3");
	loader_order_answered(t.s, t.now, lost, ANSWER_NONE);
	check_no_load(&t, "m0/a3");
	free(lost);
	fixture_close(&t);
}

/* Each of six loads is repeated and accepted; the first copies may come. */
static void
test_more_lost_loads(void)
{
	static const char *const wanted[] = { "m0/a1", "m0/a2", "m0/a3",
		"m0/a4", "m0/a5", "m0/a6" };
	struct loader_order *o;
	struct loader_fixture t;
	size_t i;

	open_with_reports(&t, 8);
	for (i = 0; i < sizeof(wanted) / sizeof(wanted[0]); i++) {
		lose_load(&t, wanted[i]);
		fixture_run(&t, 400 * MS);
		o = fixture_require_order(&t, LOADER_LOAD);
		CU_ASSERT_STRING_EQUAL(o->adapter, wanted[i]);
		loader_order_answered(t.s, t.now, o, ANSWER_STARTED);
		free(o);
		fixture_run(&t, 100 * MS);
	}
	restart_unlisted(&t, 2);
	load_adapter(&t, "m0/a7");
	load_adapter(&t, "m0/a8");
	check_no_load(&t, "m0/a9");
	fixture_close(&t);
}

/* Its room is free again once it can no longer come. */
static void
test_lost_load_forgotten_late(void)
{
	struct loader_fixture t;

	open_with_reports(&t, 2);
	lose_load(&t, "m0/a1");
	restart_unlisted(&t, 2);
	load_adapter(&t, "m0/a2");
	fixture_run(&t, 10 * S);
	fixture_set_running(&t, "m0/a2", 5);
	check_no_load(&t, "m0/a3");
	fixture_run(&t, 2 * S);
	load_adapter(&t, "m0/a3");
	fixture_close(&t);
}

/* Runs for 3 s, in which it takes the lease after a term of another process. */
static void
run_next_term(struct loader_fixture *t)
{
	uint64_t end = t->now + 3 * S;
	struct loader_stats stats;
	struct kv_result r;
	struct kv_op *op;

	for (; t->now < end; t->now += 20 * MS) {
		loader_tick(t->s, t->now, t->conf, &t->out);
		while ((op = TAILQ_FIRST(&t->kv)) != NULL) {
			TAILQ_REMOVE(&t->kv, op, entry);
			memset(&r, 0, sizeof(r));
			r.id = op->id;
			r.kind = op->kind;
			r.lease_id = 9;
			r.revision = 1;
			r.status = op->kind == KV_GET ? KV_ABSENT : KV_OK;
			if (op->kind == KV_GET &&
			    strncmp(op->key, "cell/", 5) == 0) {
				r.status = KV_OK;
				r.value = "{\"owner\":\"x\",\"fence\":6}";
			}
			loader_kv_result(t->s, t->now, &r, &t->out);
			kv_op_destroy(op);
		}
	}
	loader_get_stats(t->s, t->now, &stats);
	CU_ASSERT_FATAL(stats.is_leader);
	CU_ASSERT_EQUAL(stats.fence, 7);
}

/* The process loses the lease and takes orders over once more. */
static void
test_lost_load_new_term(void)
{
	struct loader_fixture t;

	open_with_reports(&t, 2);
	lose_load(&t, "m0/a1");
	loader_superseded(t.s, 5);
	run_next_term(&t);
	fixture_answer_reports(&t, 0);
	t.replicas[0].started_ms = 2;
	fixture_list_replica(&t, 0);
	fixture_run(&t, 100 * MS);
	load_adapter(&t, "m0/a2");
	check_no_load(&t, "m0/a3");
	fixture_close(&t);
}

/* r0 reports so many adapters in use, and so many that it is loading. */
static void
report_many(struct loader_fixture *t, uint64_t orders, uint32_t loaded,
    uint32_t loading)
{
	struct loader_order *o;
	struct fleet_replica r = { 0 };
	char name[FLEET_NAME_SIZE];
	uint32_t i;

	while ((o = fixture_take_order(t, LOADER_REPORT)) != NULL) {
		fleet_replica_copy(&r, &t->replicas[o->replica[1] - '0']);
		r.accepted_orders = orders;
		for (i = 0; strcmp(r.id, "r0") == 0 && i < loaded + loading;
		     i++) {
			snprintf(name, sizeof(name), "m0/b%u", i);
			name_list_append(
			    i < loaded ? &r.adapters : &r.loading_adapters,
			    name);
			fixture_set_running(t, name, 1);
		}
		loader_report_received(t->s, t->now, o, &r);
		free(o);
	}
	fleet_replica_clear(&r);
}

/*
 * Guards against review/14: adapters beyond the 32nd of a replica were not
 * counted, so that it was ordered over its places.
 */
static void
test_many_places(void)
{
	static const uint32_t places[] = { 32, 33, 40, 64, 65, 300,
		NAME_LIST_MAX, NAME_LIST_MAX + 1 };
	struct loader_order *o;
	struct loader_fixture t;
	size_t i;

	for (i = 0; i < nitems(places); i++) {
		fixture_open(&t, 0);
		t.conf->services[0].engine->adapter_slots = places[i];
		fixture_run(&t, 500 * MS);
		report_many(&t, 0, places[i], 0);
		loader_request_adapter(t.s, t.now, "m0/a3");
		fixture_run(&t, 40 * MS);
		CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
		CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_UNLOAD));
		t.conf->services[0].engine->adapter_slots++;
		loader_request_adapter(t.s, t.now, "m0/a3");
		fixture_run(&t, 40 * MS);
		o = fixture_require_order(&t, LOADER_LOAD);
		CU_ASSERT_STRING_EQUAL(o->adapter, "m0/a3");
		free(o);
		fixture_close(&t);
	}
}

/* Adapters that are only counted are named by a report once there is room. */
static void
test_unnamed(void)
{
	struct loader_order *o;
	struct loader_fixture t;

	fixture_open(&t, 0);
	t.conf->services[0].engine->adapter_slots = NAME_LIST_MAX + 9;
	fixture_run(&t, 500 * MS);
	report_many(&t, 0, 0, NAME_LIST_MAX + 9);
	fixture_run(&t, 100 * MS);
	fixture_set_running(&t, "m0/b0", 0);
	fixture_run(&t, S);
	loader_request_adapter(t.s, t.now, "m0/a3");
	fixture_run(&t, 40 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	o = fixture_require_order(&t, LOADER_UNLOAD);
	loader_order_answered(t.s, t.now, o, ANSWER_ALREADY_DONE);
	free(o);
	fixture_run(&t, 40 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	report_many(&t, 1, NAME_LIST_MAX + 8, 0);
	loader_request_adapter(t.s, t.now, "m0/a3");
	fixture_run(&t, 40 * MS);
	o = fixture_require_order(&t, LOADER_LOAD);
	CU_ASSERT_STRING_EQUAL(o->adapter, "m0/a3");
	free(o);
	fixture_close(&t);
}

/* The same of those that a replica is loading, beyond the fourth. */
static void
test_many_loading(void)
{
	struct loader_fixture t;

	fixture_open(&t, 0);
	t.conf->services[0].engine->adapter_slots = 9;
	fixture_run(&t, 500 * MS);
	report_many(&t, 0, 0, 9);
	loader_request_adapter(t.s, t.now, "m0/a3");
	fixture_run(&t, 100 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	CU_ASSERT(
	    fleet_has_adapter(&directory_find(&t.dir, "r0")->info, "m0/b8"));
	fixture_close(&t);
}

static const struct unit_case cases[] = {
	{ "unlisted adapters", test_unlisted_adapters_counted },
	{ "list entry without a model", test_list_lacks_model },
	{ "lost load, replica not listed", test_lost_load_replica_unlisted },
	{ "lost load told late", test_lost_load_told_unlisted },
	{ "more lost loads", test_more_lost_loads },
	{ "lost load forgotten in time", test_lost_load_forgotten_late },
	{ "lost load, lease taken anew", test_lost_load_new_term },
	{ "many places", test_many_places },
	{ "many adapters being loaded", test_many_loading },
	{ "more adapters than are kept", test_unnamed },
};

UNIT_MAIN("loader_adapters", cases)
