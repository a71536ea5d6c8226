/* The loader: memory, adapter slots, load rates and unanswered orders. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loader_fixture.h"
#include "unit.h"

static void test_report_before_order(void);
static void test_load_on_demand(void);
static void close_replica(struct loader_fixture *, int, uint64_t);
static void test_closed_replicas(void);
static void test_closed_for_long(void);
static void test_leaving_by_answer(void);
static void test_memory(void);
static void test_stale_report(void);
static void test_list_lags_report(void);
static void test_unanswered_order(void);
static void test_busy_replica(void);
static void test_restart(void);
static void test_lost_order_after_restart(void);
static void test_stale_leader(void);
static void test_adapters(void);
static void test_loading_adapters_counted(void);
static void test_unload_announced(void);
static void test_list_settles(void);
static void test_takeover_delay(void);

/* A new leader sends no order to a replica whose sequence it does not know. */
static void
test_report_before_order(void)
{
	struct loader_order *o;
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_set_running(&t, "m0", 50);
	fixture_run(&t, S);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	fixture_answer_reports(&t, 7);
	fixture_set_running(&t, "m0", 50);
	fixture_run(&t, 300 * MS);
	o = fixture_require_order(&t, LOADER_LOAD);
	CU_ASSERT_EQUAL(o->expected_sequence, 7);
	CU_ASSERT_EQUAL(o->fence, 1);
	free(o);
	fixture_close(&t);
}

static void
close_replica(struct loader_fixture *t, int i, uint64_t for_ns)
{
	notice_closed(&directory_find(&t->dir, t->replicas[i].id)->notice, 1,
	    t->now, for_ns);
}

/* Replicas that take no requests get no orders until their time ends. */
static void
test_closed_replicas(void)
{
	struct loader_fixture t;
	int i;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	for (i = 0; i < REPLICAS; i++)
		close_replica(&t, i, S);
	fixture_set_running(&t, "m3", 3);
	fixture_run(&t, 900 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	fixture_set_running(&t, "m3", 3);
	fixture_run(&t, 400 * MS);
	free(fixture_require_order(&t, LOADER_LOAD));
	fixture_close(&t);
}

/* A copy that serves nothing for long is made up for; a short time is not. */
static void
test_closed_for_long(void)
{
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	close_replica(&t, 0, 3 * S);
	fixture_set_running(&t, "m0", 3);
	fixture_run(&t, 400 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	close_replica(&t, 0, 600 * S);
	fixture_require_other_copy(&t);
	fixture_close(&t);
}

/* The copy of a replica that says that it leaves is made up for. */
static void
test_leaving_by_answer(void)
{
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	notice_leaving(&directory_find(&t.dir, "r0")->notice, 1, t.now);
	fixture_require_other_copy(&t);
	fixture_close(&t);
}

static void
test_load_on_demand(void)
{
	struct loader_order *o;
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	fixture_set_running(&t, "m3", 3); /* no replica has it */
	fixture_run(&t, 300 * MS);
	o = fixture_require_order(&t, LOADER_LOAD);
	CU_ASSERT_STRING_EQUAL(o->model, "m3");
	loader_order_answered(t.s, t.now, o, ANSWER_STARTED);
	free(o);
	fixture_run(&t, S);
	CU_ASSERT_PTR_NULL(
	    fixture_take_order(&t, LOADER_LOAD)); /* it is being loaded */
	fixture_close(&t);
}

/* Loads never exceed a replica's memory, whatever the demand. */
static void
test_memory(void)
{
	struct loader_order *o;
	struct loader_fixture t;
	int loads[REPLICAS] = { 0 };
	int i;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	for (i = 0; i < 20; i++) {
		fixture_set_running(&t, "m0", 500);
		fixture_set_running(&t, "m1", 500);
		fixture_set_running(&t, "m3", 500);
		fixture_run(&t, 200 * MS);
		while ((o = fixture_take_order(&t, LOADER_LOAD)) != NULL) {
			loads[o->replica[1] - '0']++;
			loader_order_answered(t.s, t.now, o, ANSWER_STARTED);
			free(o);
		}
	}
	/* 250 MB less 10 MB for adapters: two models of 100 MB. */
	for (i = 0; i < REPLICAS; i++)
		CU_ASSERT(loads[i] <= 1);
	fixture_close(&t);
}

/*
 * A report from before a load arrives after the list has shown its model: the
 * model's memory must still count, or the next load would not fit.
 */
static void
test_stale_report(void)
{
	struct loader_order *o, *ask;
	struct fleet_replica stale = { 0 };
	struct loader_fixture t;
	int i;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	fixture_set_running(&t, "m3", 3);
	fixture_run(&t, 300 * MS);
	o = fixture_require_order(&t, LOADER_LOAD);
	i = o->replica[1] - '0';
	fleet_replica_copy(&stale, &t.replicas[i]);
	loader_order_answered(t.s, t.now, o, ANSWER_STARTED);
	free(o);
	/* The load has finished and the list shows it. */
	name_list_append(&t.replicas[i].resident, "m3");
	fixture_list_replica(&t, i);
	fixture_run(&t, 100 * MS);
	/* A conflict on an adapter order makes its sequence unknown. */
	loader_request_adapter(t.s, t.now, "m3/a1");
	fixture_run(&t, 40 * MS);
	o = fixture_require_order(&t, LOADER_LOAD);
	CU_ASSERT_EQUAL(o->replica[1] - '0', i);
	loader_order_answered(t.s, t.now, o, ANSWER_CONFLICT);
	free(o);
	fixture_run(&t, 600 * MS);
	ask = fixture_require_order(&t, LOADER_REPORT);
	stale.accepted_orders = 1;
	loader_report_received(t.s, t.now, ask, &stale);
	fleet_replica_clear(&stale);
	free(ask);
	fixture_set_running(&t, "m0", 500);
	fixture_set_running(&t, "m1", 500);
	fixture_set_running(&t, "m2", 500);
	fixture_run(&t, 600 * MS);
	while ((o = fixture_take_order(&t, LOADER_LOAD)) != NULL) {
		CU_ASSERT(o->replica[1] - '0' != i);
		free(o);
	}
	fixture_close(&t);
}

/* A report shows a finished load before the list does. */
static void
test_list_lags_report(void)
{
	struct loader_order *o;
	struct fleet_replica r = { 0 };
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	while ((o = fixture_take_order(&t, LOADER_REPORT)) != NULL) {
		fleet_replica_copy(&r, &t.replicas[o->replica[1] - '0']);
		/* loaded by an earlier leader */
		name_list_append(&r.resident, "m3");
		r.accepted_orders = 1;
		loader_report_received(t.s, t.now, o, &r);
		free(o);
	}
	fleet_replica_clear(&r);
	fixture_set_running(&t, "m0", 500);
	fixture_set_running(&t, "m1", 500);
	fixture_run(&t, S);
	CU_ASSERT_PTR_NULL(
	    fixture_take_order(&t, LOADER_LOAD)); /* no memory is free */
	fixture_close(&t);
}

/* An unanswered order is repeated with its sequence before any other. */
static void
test_unanswered_order(void)
{
	struct loader_order *o, *again;
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 4);
	fixture_set_running(&t, "m3", 3);
	fixture_run(&t, 300 * MS);
	o = fixture_require_order(&t, LOADER_LOAD);
	loader_order_answered(t.s, t.now, o, ANSWER_NONE);
	fixture_set_running(&t, "m0", 500);
	fixture_run(&t, 600 * MS);
	while ((again = fixture_take_order(&t, LOADER_LOAD)) != NULL &&
	    strcmp(again->replica, o->replica) != 0)
		free(again);
	CU_ASSERT_PTR_NOT_NULL_FATAL(again);
	if (again == NULL)
		abort();
	CU_ASSERT_STRING_EQUAL(again->model, o->model);
	CU_ASSERT_EQUAL(again->expected_sequence, 4);
	free(o);
	free(again);
	fixture_close(&t);
}

/* A replica busy with an earlier leader's order gets no orders. */
static void
test_busy_replica(void)
{
	struct loader_order *o;
	struct fleet_replica r;
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	while ((o = fixture_take_order(&t, LOADER_REPORT)) != NULL) {
		r = t.replicas[o->replica[1] - '0'];
		r.busy = 1;
		loader_report_received(t.s, t.now, o, &r);
		free(o);
	}
	fixture_set_running(&t, "m0", 500);
	fixture_run(&t, 300 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	fixture_run(&t, S);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	o = fixture_take_order(&t, LOADER_REPORT); /* requested again */
	CU_ASSERT_PTR_NOT_NULL(o);
	free(o);
	fixture_close(&t);
}

/* A replica restarted under its id counts from zero and has what it lists. */
static void
test_restart(void)
{
	struct loader_order *o;
	struct loader_fixture t;
	int i;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 9);
	for (i = 0; i < REPLICAS; i++) {
		t.replicas[i].started_ms = 2;
		name_list_truncate(&t.replicas[i].resident);
		fixture_list_replica(&t, i);
	}
	fixture_set_running(&t, "m0", 5);
	fixture_run(&t, 300 * MS);
	o = fixture_require_order(&t, LOADER_LOAD);
	CU_ASSERT_EQUAL(o->expected_sequence, 0);
	CU_ASSERT_EQUAL(o->started_ms, 2);
	/* An answer to an order from before the restart is ignored. */
	o->started_ms = 1;
	loader_order_answered(t.s, t.now, o, ANSWER_STARTED);
	free(o);
	fixture_close(&t);
}

/*
 * A lost load order may reach the replica after its restart, when the sequence
 * matches again: memory for its model must stay reserved.
 */
static void
test_lost_order_after_restart(void)
{
	struct loader_order *lost;
	struct loader_order *o;
	struct loader_fixture t;
	int i;

	fixture_open(&t, 0);
	t.conf->services[0].engine->loads_per_s = 5.0;
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	fixture_set_running(&t, "m3", 3);
	fixture_run(&t, 300 * MS);
	lost = fixture_require_order(&t, LOADER_LOAD);
	i = lost->replica[1] - '0';
	loader_order_answered(t.s, t.now, lost, ANSWER_NONE);
	t.replicas[i].started_ms = 2;
	fixture_list_replica(&t, i);
	fixture_set_running(&t, "m3", 0);
	fixture_run(&t, S);
	fixture_set_running(&t, "m0", 500);
	fixture_set_running(&t, "m1", 500);
	fixture_set_running(&t, "m2", 500);
	fixture_run(&t, 600 * MS);
	/* It has one model, and memory for the lost load is reserved. */
	while ((o = fixture_take_order(&t, LOADER_LOAD)) != NULL) {
		CU_ASSERT(strcmp(o->replica, lost->replica) != 0 ||
		    strcmp(o->model, "m3") == 0);
		loader_order_answered(t.s, t.now, o, ANSWER_STARTED);
		free(o);
	}
	free(lost);
	fixture_close(&t);
}

/* A leader stops sending orders once a later one has sent any. */
static void
test_stale_leader(void)
{
	struct loader_order *o;
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	fixture_set_running(&t, "m3", 3);
	fixture_run(&t, 300 * MS);
	o = fixture_require_order(&t, LOADER_LOAD);
	CU_ASSERT(loader_is_leader(t.s, t.now));
	loader_order_answered(t.s, t.now, o, ANSWER_STALE);
	CU_ASSERT(!loader_is_leader(t.s, t.now));
	free(o);
	fixture_close(&t);
}

/* Two slots: for a third adapter the least used one is unloaded first. */
static void
test_adapters(void)
{
	static const char *const wanted[] = { "m0/a1", "m0/a2", "m0/a3" };
	struct loader_order *o;
	struct loader_fixture t;
	int i;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	for (i = 0; i < 2; i++) {
		loader_request_adapter(t.s, t.now, wanted[i]);
		fixture_set_running(&t, wanted[i], i == 0 ? 0 : 5);
		fixture_run(&t, 40 * MS);
		o = fixture_require_order(&t, LOADER_LOAD);
		CU_ASSERT_STRING_EQUAL(o->adapter, wanted[i]);
		CU_ASSERT_STRING_EQUAL(o->replica, "r0");
		CU_ASSERT_EQUAL(o->expected_sequence, (uint64_t)i);
		loader_order_answered(t.s, t.now, o, ANSWER_STARTED);
		free(o);
		fixture_run(&t, 100 * MS);
		CU_ASSERT(fleet_has_adapter(
		    &directory_find(&t.dir, "r0")->info, wanted[i]));
	}
	fixture_run(&t, S);
	loader_request_adapter(t.s, t.now, wanted[2]);
	fixture_set_running(&t, wanted[1], 5);
	fixture_run(&t, 40 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	o = fixture_require_order(&t, LOADER_UNLOAD);
	CU_ASSERT_STRING_EQUAL(o->adapter, wanted[0]);
	loader_order_answered(t.s, t.now, o, ANSWER_ALREADY_DONE);
	free(o);
	fixture_run(&t, 40 * MS);
	o = fixture_require_order(&t, LOADER_LOAD);
	CU_ASSERT_STRING_EQUAL(o->adapter, wanted[2]);
	free(o);
	fixture_close(&t);
}

/* Adapters that a report shows as loading take slots too. */
static void
test_loading_adapters_counted(void)
{
	struct loader_order *o;
	struct fleet_replica r = { 0 };
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	while ((o = fixture_take_order(&t, LOADER_REPORT)) != NULL) {
		fleet_replica_copy(&r, &t.replicas[o->replica[1] - '0']);
		name_list_append(&r.adapters, "m0/a1");
		name_list_append(&r.loading_adapters, "m0/a2");
		loader_report_received(t.s, t.now, o, &r);
		free(o);
	}
	fleet_replica_clear(&r);
	loader_request_adapter(t.s, t.now, "m0/a3");
	fixture_run(&t, 40 * MS);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	fixture_close(&t);
}

/* Other processes learn of an unload when it is ordered, not when it ends. */
static void
test_unload_announced(void)
{
	struct loader_order *o;
	struct loader_fixture t;
	uint64_t before;

	fixture_open(&t, 0);
	name_list_append(&t.replicas[1].resident, "m0");
	fixture_list_replica(&t, 1);
	name_list_append(&t.replicas[0].resident, "m1");
	fixture_list_replica(&t, 0);
	name_list_append(&t.replicas[2].resident, "m1");
	fixture_list_replica(&t, 2);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	before = loader_change_count(t.s);
	fixture_set_running(&t, "m3", 30);
	fixture_run(&t, 300 * MS);
	o = fixture_require_order(&t, LOADER_UNLOAD);
	CU_ASSERT(loader_change_count(t.s) != before);
	CU_ASSERT_STRING_EQUAL(
	    loader_unloading_model(t.s, o->replica), o->model);
	free(o);
	fixture_close(&t);
}

/* While replicas join the list, no model is loaded without demand. */
static void
test_list_settles(void)
{
	struct loader_order *o;
	struct loader_fixture t;

	fixture_open(&t, 0);
	fixture_run(&t, 500 * MS);
	fixture_answer_reports(&t, 0);
	fixture_run(&t, S);
	CU_ASSERT_PTR_NULL(fixture_take_order(&t, LOADER_LOAD));
	fixture_run(&t, 2 * S);
	o = fixture_require_order(&t, LOADER_LOAD);
	CU_ASSERT_STRING_EQUAL(o->model, "m3");
	free(o);
	fixture_close(&t);
}

/* A second leader waits, for engines that do not check fencing tokens. */
static void
test_takeover_delay(void)
{
	struct kv_result r;
	struct kv_op *op;
	struct loader_fixture t;
	uint64_t from = 0;

	fixture_open(&t, 3 * S);
	for (; t.now < 106 * S; t.now += 20 * MS) {
		loader_tick(t.s, t.now, t.conf, &t.out);
		while ((op = TAILQ_FIRST(&t.kv)) != NULL) {
			TAILQ_REMOVE(&t.kv, op, entry);
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
			loader_kv_result(t.s, t.now, &r, &t.out);
			kv_op_destroy(op);
		}
		if (from == 0 && loader_is_leader(t.s, t.now))
			from = t.now;
		while (!TAILQ_EMPTY(&t.orders))
			free(fixture_take_order(
			    &t, TAILQ_FIRST(&t.orders)->kind));
	}
	CU_ASSERT(from >= 103 * S && from < 104 * S);
	fixture_close(&t);
}

static const struct unit_case cases[] = {
	{ "report before the first order", test_report_before_order },
	{ "load on demand", test_load_on_demand },
	{ "replicas closed for a time", test_closed_replicas },
	{ "replica closed for long", test_closed_for_long },
	{ "replica that says that it leaves", test_leaving_by_answer },
	{ "memory", test_memory },
	{ "stale report", test_stale_report },
	{ "list lags report", test_list_lags_report },
	{ "unanswered order", test_unanswered_order },
	{ "busy replica", test_busy_replica },
	{ "restart", test_restart },
	{ "lost order after a restart", test_lost_order_after_restart },
	{ "stale leader", test_stale_leader },
	{ "adapters", test_adapters },
	{ "loading adapters", test_loading_adapters_counted },
	{ "unload announced", test_unload_announced },
	{ "incomplete list", test_list_settles },
	{ "pause between leaders", test_takeover_delay },
};

UNIT_MAIN("loader", cases)
