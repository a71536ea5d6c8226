/* Orders to engines: memory, places, rates and doubts. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "steward_scene.h"
#include "unit.h"

static void test_asks_first(void);
static void test_load_on_demand(void);
static void test_memory(void);
static void test_stale_report(void);
static void test_list_lags_report(void);
static void test_unanswered(void);
static void test_busy(void);
static void test_restart(void);
static void test_ghost(void);
static void test_stale_holder(void);
static void test_adapters(void);
static void test_coming_counts(void);
static void test_ceiling(void);
static void test_leaving_told(void);
static void test_settles(void);
static void test_takeover_pause(void);

/* A new holder does not order a replica whose count it does not know. */
static void
test_asks_first(void)
{
	struct steward_order *o;
	struct scene t;

	scene_open(&t, 0);
	scene_demand(&t, "m0", 50);
	scene_run(&t, S);
	CU_ASSERT_PTR_NULL(scene_take(&t, STEWARD_LOAD));
	scene_reports(&t, 7);
	scene_demand(&t, "m0", 50);
	scene_run(&t, 300 * MS);
	o = scene_must_take(&t, STEWARD_LOAD);
	CU_ASSERT_EQUAL(o->expected, 7);
	CU_ASSERT_EQUAL(o->fence, 1);
	free(o);
	scene_close(&t);
}

static void
test_load_on_demand(void)
{
	struct steward_order *o;
	struct scene t;

	scene_open(&t, 0);
	scene_run(&t, 500 * MS);
	scene_reports(&t, 0);
	scene_demand(&t, "m3", 3); /* nobody holds it */
	scene_run(&t, 300 * MS);
	o = scene_must_take(&t, STEWARD_LOAD);
	CU_ASSERT_STRING_EQUAL(o->model, "m3");
	steward_answer(t.s, t.now, o, ANSWER_STARTED);
	free(o);
	scene_run(&t, S);
	CU_ASSERT_PTR_NULL(scene_take(&t, STEWARD_LOAD)); /* it is on its way */
	scene_close(&t);
}

/* Never more than fits, whatever is asked for. */
static void
test_memory(void)
{
	struct steward_order *o;
	struct scene t;
	int loads[REPLICAS] = { 0 };
	int i;

	scene_open(&t, 0);
	scene_run(&t, 500 * MS);
	scene_reports(&t, 0);
	for (i = 0; i < 20; i++) {
		scene_demand(&t, "m0", 500);
		scene_demand(&t, "m1", 500);
		scene_demand(&t, "m3", 500);
		scene_run(&t, 200 * MS);
		while ((o = scene_take(&t, STEWARD_LOAD)) != NULL) {
			loads[o->replica[1] - '0']++;
			steward_answer(t.s, t.now, o, ANSWER_STARTED);
			free(o);
		}
	}
	/* 250 MB less 10 for adapters hold two models of 100. */
	for (i = 0; i < REPLICAS; i++)
		CU_ASSERT(loads[i] <= 1);
	scene_close(&t);
}

/*
 * A report from before a load was shown by the list: the model must still
 * count, or the next load would not fit.
 */
static void
test_stale_report(void)
{
	struct steward_order *o, *ask;
	struct fleet_replica stale;
	struct scene t;
	int i;

	scene_open(&t, 0);
	scene_run(&t, 500 * MS);
	scene_reports(&t, 0);
	scene_demand(&t, "m3", 3);
	scene_run(&t, 300 * MS);
	o = scene_must_take(&t, STEWARD_LOAD);
	i = o->replica[1] - '0';
	stale = t.replicas[i];
	steward_answer(t.s, t.now, o, ANSWER_STARTED);
	free(o);
	/* The load is done, the list shows it. */
	strcpy(t.replicas[i].resident[1], "m3");
	t.replicas[i].nresident = 2;
	scene_list(&t, i);
	scene_run(&t, 100 * MS);
	/* An adapter's order makes its count doubtful. */
	steward_asked(t.s, t.now, "m3/a1");
	scene_run(&t, 40 * MS);
	o = scene_must_take(&t, STEWARD_LOAD);
	CU_ASSERT_EQUAL(o->replica[1] - '0', i);
	steward_answer(t.s, t.now, o, ANSWER_CONFLICT);
	free(o);
	scene_run(&t, 600 * MS);
	ask = scene_must_take(&t, STEWARD_REPORT);
	stale.orders = 1;
	steward_report(t.s, t.now, ask, &stale);
	free(ask);
	scene_demand(&t, "m0", 500);
	scene_demand(&t, "m1", 500);
	scene_demand(&t, "m2", 500);
	scene_run(&t, 600 * MS);
	while ((o = scene_take(&t, STEWARD_LOAD)) != NULL) {
		CU_ASSERT(o->replica[1] - '0' != i);
		free(o);
	}
	scene_close(&t);
}

/* The report of a finished load comes before the list shows it. */
static void
test_list_lags_report(void)
{
	struct steward_order *o;
	struct fleet_replica r;
	struct scene t;

	scene_open(&t, 0);
	scene_run(&t, 500 * MS);
	while ((o = scene_take(&t, STEWARD_REPORT)) != NULL) {
		r = t.replicas[o->replica[1] - '0'];
		strcpy(r.resident[1], "m3"); /* an earlier holder's load */
		r.nresident = 2;
		r.orders = 1;
		steward_report(t.s, t.now, o, &r);
		free(o);
	}
	scene_demand(&t, "m0", 500);
	scene_demand(&t, "m1", 500);
	scene_run(&t, S);
	CU_ASSERT_PTR_NULL(scene_take(&t, STEWARD_LOAD)); /* all are full */
	scene_close(&t);
}

/* The same order again, with the same count, and nothing else meanwhile. */
static void
test_unanswered(void)
{
	struct steward_order *o, *again;
	struct scene t;

	scene_open(&t, 0);
	scene_run(&t, 500 * MS);
	scene_reports(&t, 4);
	scene_demand(&t, "m3", 3);
	scene_run(&t, 300 * MS);
	o = scene_must_take(&t, STEWARD_LOAD);
	steward_answer(t.s, t.now, o, ANSWER_NONE);
	scene_demand(&t, "m0", 500);
	scene_run(&t, 600 * MS);
	while ((again = scene_take(&t, STEWARD_LOAD)) != NULL &&
	    strcmp(again->replica, o->replica) != 0)
		free(again);
	CU_ASSERT_PTR_NOT_NULL_FATAL(again);
	if (again == NULL)
		abort();
	CU_ASSERT_STRING_EQUAL(again->model, o->model);
	CU_ASSERT_EQUAL(again->expected, 4);
	free(o);
	free(again);
	scene_close(&t);
}

/* A replica that is busy with an earlier holder's order is left alone. */
static void
test_busy(void)
{
	struct steward_order *o;
	struct fleet_replica r;
	struct scene t;

	scene_open(&t, 0);
	scene_run(&t, 500 * MS);
	while ((o = scene_take(&t, STEWARD_REPORT)) != NULL) {
		r = t.replicas[o->replica[1] - '0'];
		r.busy = 1;
		steward_report(t.s, t.now, o, &r);
		free(o);
	}
	scene_demand(&t, "m0", 500);
	scene_run(&t, 300 * MS);
	CU_ASSERT_PTR_NULL(scene_take(&t, STEWARD_LOAD));
	scene_run(&t, S);
	CU_ASSERT_PTR_NULL(scene_take(&t, STEWARD_LOAD));
	o = scene_take(&t, STEWARD_REPORT); /* it is asked again */
	CU_ASSERT_PTR_NOT_NULL(o);
	free(o);
	scene_close(&t);
}

/* A restart under the same id counts from zero and holds what it lists. */
static void
test_restart(void)
{
	struct steward_order *o;
	struct scene t;
	int i;

	scene_open(&t, 0);
	scene_run(&t, 500 * MS);
	scene_reports(&t, 9);
	for (i = 0; i < REPLICAS; i++) {
		t.replicas[i].born_ms = 2;
		t.replicas[i].nresident = 0;
		scene_list(&t, i);
	}
	scene_demand(&t, "m0", 5);
	scene_run(&t, 300 * MS);
	o = scene_must_take(&t, STEWARD_LOAD);
	CU_ASSERT_EQUAL(o->expected, 0);
	CU_ASSERT_EQUAL(o->born_ms, 2);
	/* An answer to an order of before the restart changes nothing. */
	o->born_ms = 1;
	steward_answer(t.s, t.now, o, ANSWER_STARTED);
	free(o);
	scene_close(&t);
}

/*
 * An order without an answer may reach the replica after its restart, when
 * its count fits again: the model that it names still needs its room.
 */
static void
test_ghost(void)
{
	struct steward_order *lost;
	struct steward_order *o;
	struct scene t;
	int i;

	scene_open(&t, 0);
	t.conf->services[0].engine->loads_per_s = 5.0;
	scene_run(&t, 500 * MS);
	scene_reports(&t, 0);
	scene_demand(&t, "m3", 3);
	scene_run(&t, 300 * MS);
	lost = scene_must_take(&t, STEWARD_LOAD);
	i = lost->replica[1] - '0';
	steward_answer(t.s, t.now, lost, ANSWER_NONE);
	t.replicas[i].born_ms = 2;
	scene_list(&t, i);
	scene_demand(&t, "m3", 0);
	scene_run(&t, S);
	scene_demand(&t, "m0", 500);
	scene_demand(&t, "m1", 500);
	scene_demand(&t, "m2", 500);
	scene_run(&t, 600 * MS);
	/* It holds one model, and room for the lost one is kept. */
	while ((o = scene_take(&t, STEWARD_LOAD)) != NULL) {
		CU_ASSERT(strcmp(o->replica, lost->replica) != 0 ||
		    strcmp(o->model, "m3") == 0);
		steward_answer(t.s, t.now, o, ANSWER_STARTED);
		free(o);
	}
	free(lost);
	scene_close(&t);
}

/* A later holder has ordered: this one stops at once. */
static void
test_stale_holder(void)
{
	struct steward_order *o;
	struct scene t;

	scene_open(&t, 0);
	scene_run(&t, 500 * MS);
	scene_reports(&t, 0);
	scene_demand(&t, "m3", 3);
	scene_run(&t, 300 * MS);
	o = scene_must_take(&t, STEWARD_LOAD);
	CU_ASSERT(steward_holds(t.s, t.now));
	steward_answer(t.s, t.now, o, ANSWER_STALE);
	CU_ASSERT(!steward_holds(t.s, t.now));
	free(o);
	scene_close(&t);
}

/* Two places: the third adapter makes the least used one go first. */
static void
test_adapters(void)
{
	static const char *const wanted[] = { "m0/a1", "m0/a2", "m0/a3" };
	struct steward_order *o;
	struct scene t;
	int i;

	scene_open(&t, 0);
	scene_run(&t, 500 * MS);
	scene_reports(&t, 0);
	for (i = 0; i < 2; i++) {
		steward_asked(t.s, t.now, wanted[i]);
		scene_demand(&t, wanted[i], i == 0 ? 0 : 5);
		scene_run(&t, 40 * MS);
		o = scene_must_take(&t, STEWARD_LOAD);
		CU_ASSERT_STRING_EQUAL(o->adapter, wanted[i]);
		CU_ASSERT_STRING_EQUAL(o->replica, "r0");
		CU_ASSERT_EQUAL(o->expected, (uint64_t)i);
		steward_answer(t.s, t.now, o, ANSWER_STARTED);
		free(o);
		scene_run(&t, 100 * MS);
		CU_ASSERT(fleet_has_adapter(
		    &directory_find(&t.dir, "r0")->info, wanted[i]));
	}
	scene_run(&t, S);
	steward_asked(t.s, t.now, wanted[2]);
	scene_demand(&t, wanted[1], 5);
	scene_run(&t, 40 * MS);
	CU_ASSERT_PTR_NULL(scene_take(&t, STEWARD_LOAD));
	o = scene_must_take(&t, STEWARD_UNLOAD);
	CU_ASSERT_STRING_EQUAL(o->adapter, wanted[0]);
	steward_answer(t.s, t.now, o, ANSWER_HOLDS);
	free(o);
	scene_run(&t, 40 * MS);
	o = scene_must_take(&t, STEWARD_LOAD);
	CU_ASSERT_STRING_EQUAL(o->adapter, wanted[2]);
	free(o);
	scene_close(&t);
}

/* Adapters that a report shows on their way take places too. */
static void
test_coming_counts(void)
{
	struct steward_order *o;
	struct fleet_replica r;
	struct scene t;

	scene_open(&t, 0);
	scene_run(&t, 500 * MS);
	while ((o = scene_take(&t, STEWARD_REPORT)) != NULL) {
		r = t.replicas[o->replica[1] - '0'];
		strcpy(r.adapters[0], "m0/a1");
		strcpy(r.coming[0], "m0/a2");
		r.nadapters = 1;
		r.ncoming = 1;
		steward_report(t.s, t.now, o, &r);
		free(o);
	}
	steward_asked(t.s, t.now, "m0/a3");
	scene_run(&t, 40 * MS);
	CU_ASSERT_PTR_NULL(scene_take(&t, STEWARD_LOAD));
	scene_close(&t);
}

/* No more loads from the weight store in a window than its rate allows. */
static void
test_ceiling(void)
{
	struct steward_order *o;
	struct scene t;
	int n = 0;
	int i;

	scene_open(&t, 0);
	t.conf->services[0].engine->memory_mb = 100000;
	t.conf->services[0].engine->loads_per_s = 0.4;
	scene_run(&t, 500 * MS);
	scene_reports(&t, 0);
	for (i = 0; i < 20; i++) {
		scene_demand(&t, "m0", 500);
		scene_demand(&t, "m1", 500);
		scene_demand(&t, "m2", 500);
		scene_demand(&t, "m3", 500);
		scene_run(&t, 100 * MS);
		while ((o = scene_take(&t, STEWARD_LOAD)) != NULL) {
			n++;
			steward_answer(t.s, t.now, o, ANSWER_STARTED);
			free(o);
		}
	}
	CU_ASSERT_EQUAL(n, 2); /* 0.4 a second in 5 s */
	scene_close(&t);
}

/* Gates hear of a leaving model with the order, not with its end. */
static void
test_leaving_told(void)
{
	struct steward_order *o;
	struct scene t;
	uint64_t before;

	scene_open(&t, 0);
	strcpy(t.replicas[1].resident[1], "m0");
	t.replicas[1].nresident = 2;
	scene_list(&t, 1);
	strcpy(t.replicas[0].resident[1], "m1");
	t.replicas[0].nresident = 2;
	scene_list(&t, 0);
	strcpy(t.replicas[2].resident[1], "m1");
	t.replicas[2].nresident = 2;
	scene_list(&t, 2);
	scene_run(&t, 500 * MS);
	scene_reports(&t, 0);
	before = steward_changes(t.s);
	scene_demand(&t, "m3", 30);
	scene_run(&t, 300 * MS);
	o = scene_must_take(&t, STEWARD_UNLOAD);
	CU_ASSERT(steward_changes(t.s) != before);
	CU_ASSERT_STRING_EQUAL(steward_leaving(t.s, o->replica), o->model);
	free(o);
	scene_close(&t);
}

/* While replicas come into the list, nothing unasked is loaded. */
static void
test_settles(void)
{
	struct steward_order *o;
	struct scene t;

	scene_open(&t, 0);
	scene_run(&t, 500 * MS);
	scene_reports(&t, 0);
	scene_run(&t, S);
	CU_ASSERT_PTR_NULL(scene_take(&t, STEWARD_LOAD));
	scene_run(&t, 2 * S);
	o = scene_must_take(&t, STEWARD_LOAD);
	CU_ASSERT_STRING_EQUAL(o->model, "m3");
	free(o);
	scene_close(&t);
}

/* Where engines do not check fencing numbers, a second holder waits. */
static void
test_takeover_pause(void)
{
	struct kv_result r;
	struct kv_op *op;
	struct scene t;
	uint64_t from = 0;

	scene_open(&t, 3 * S);
	for (; t.now < 106 * S; t.now += 20 * MS) {
		steward_tick(t.s, t.now, t.conf, &t.out);
		while ((op = TAILQ_FIRST(&t.kv)) != NULL) {
			TAILQ_REMOVE(&t.kv, op, entry);
			memset(&r, 0, sizeof(r));
			r.id = op->id;
			r.kind = op->kind;
			r.lease = 9;
			r.revision = 1;
			r.status = op->kind == KV_GET ? KV_ABSENT : KV_OK;
			if (op->kind == KV_GET &&
			    strncmp(op->key, "cell/", 5) == 0) {
				r.status = KV_OK;
				r.value = "{\"owner\":\"x\",\"fence\":6}";
			}
			steward_kv(t.s, t.now, &r, &t.out);
			kv_op_destroy(op);
		}
		if (from == 0 && steward_holds(t.s, t.now))
			from = t.now;
		while (!TAILQ_EMPTY(&t.orders))
			free(scene_take(&t, TAILQ_FIRST(&t.orders)->kind));
	}
	CU_ASSERT(from >= 103 * S && from < 104 * S);
	scene_close(&t);
}

static const struct unit_case cases[] = {
	{ "asks first", test_asks_first },
	{ "load on demand", test_load_on_demand },
	{ "memory", test_memory },
	{ "stale report", test_stale_report },
	{ "list lags report", test_list_lags_report },
	{ "unanswered", test_unanswered },
	{ "busy replica", test_busy },
	{ "restart", test_restart },
	{ "late after a restart", test_ghost },
	{ "stale holder", test_stale_holder },
	{ "adapters", test_adapters },
	{ "adapters on their way", test_coming_counts },
	{ "weight store's rate", test_ceiling },
	{ "leaving model told", test_leaving_told },
	{ "list settles", test_settles },
	{ "pause between holders", test_takeover_pause },
};

UNIT_MAIN("steward", cases)
