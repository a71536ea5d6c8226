/* A cell's owner: restarts of engines, outages, delegated memory. */
#include <string.h>

#include "cell_fixture.h"
#include "unit.h"

static void start_slow_unload(void);
static void release_write(void);
static void check_new_version_alone(void);
static void test_restart_between_loads(void);
static void test_old_version_is_unloaded(void);
static void test_copy_lost_during_write(void);
static void test_unload_is_withdrawn(void);
static void test_silence_during_write(void);
static void test_delegated_copy_of_former_owner(void);
static void test_stood_still_during_outage(void);
static void test_headroom_for_second_model(void);
static void start_release(void);
static void check_release_without_answer(void);
static void test_headroom_release_in_doubt(void);
static void test_headroom_release_in_flight(void);
static void test_load_beside_refused_one(void);

/*
 * The engine restarts between the answers to two loads, so that only the
 * second copy is there.  The first one must not count for its removal.
 */
static void
test_restart_between_loads(void)
{
	setup("{\"fence\":0,\"engine\":100,\"next\":2,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"2\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]},"
	      "{\"id\":2,\"model\":\"m\",\"version\":\"1\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loads_until_restart = 1;
	advance(10 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(engine.incarnation, 102);
	CU_ASSERT_EQUAL(engine.unloads, 1);
	CU_ASSERT_FALSE(engine.loaded[VERSION_OLD]);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);
	teardown();
}

/* Without a restart the old version goes once the new one serves. */
static void
test_old_version_is_unloaded(void)
{
	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"1\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_OLD] = 1;
	advance(5 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(engine.unloads, 1);
	CU_ASSERT_FALSE(engine.loaded[VERSION_OLD]);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);
	teardown();
}

/*
 * The old version's unload is decided, as the new one serves; its write then
 * takes longer than the list of copies may count, and no other list arrives.
 */
static void
start_slow_unload(void)
{
	int i;

	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"1\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_OLD] = 1;
	hold_text = "unloading";
	for (i = 0; i < 200 && held_op == NULL; i++)
		step();
	CU_ASSERT_PTR_NOT_NULL_FATAL(held_op);
	engine.silent = 1;
	advance(3500 * NSEC_PER_MSEC);
}

static void
release_write(void)
{
	kv_answer(held_op);
	kv_op_destroy(held_op);
	advance(NSEC_PER_SEC);
	CU_ASSERT_EQUAL(engine.unloads, 0);
	engine.silent = 0;
	advance(10 * NSEC_PER_SEC);
}

static void
check_new_version_alone(void)
{
	CU_ASSERT_FALSE(engine.loaded[VERSION_OLD]);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);
}

/* The engine restarts meanwhile, so that nothing is left to unload. */
static void
test_copy_lost_during_write(void)
{
	start_slow_unload();
	engine_restart();
	release_write();
	CU_ASSERT_EQUAL(engine.unloads, 0);
	check_new_version_alone();
	teardown();
}

/* The new version is lost meanwhile, so that the old one must stay. */
static void
test_unload_is_withdrawn(void)
{
	start_slow_unload();
	engine.loaded[VERSION_NEW] = 0;
	engine.refuses_load[VERSION_NEW] = 1;
	release_write();
	CU_ASSERT_EQUAL(engine.unloads, 0);
	CU_ASSERT_PTR_NULL(
	    strstr(keys[kv_find("ledger/e1")].value, "unloading"));
	engine.refuses_load[VERSION_NEW] = 0;
	advance(10 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(engine.unloads, 1);
	check_new_version_alone();
	teardown();
}

/* Nothing is lost: the old version goes once the engine answers again. */
static void
test_silence_during_write(void)
{
	start_slow_unload();
	release_write();
	CU_ASSERT_EQUAL(engine.unloads, 1);
	check_new_version_alone();
	teardown();
}

/*
 * While the service is down, a copy is loaded into the delegated memory.
 * Another owner follows, under which the copy ends.  When the former owner
 * takes the cell again, it must not wait for an entry for that copy.
 */
static void
test_delegated_copy_of_former_owner(void)
{
	struct cell_totals before;
	struct cell_totals after;

	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"1\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_OLD] = 1;
	strcpy(models[0].version, versions[VERSION_OLD]);
	advance(3 * NSEC_PER_SEC);
	kv_down = 1;
	advance(5 * NSEC_PER_SEC);
	strcpy(models[0].version, versions[VERSION_NEW]);
	engine_restart();
	advance(3 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);

	engine_restart();
	kv_put(kv_find("lease/main"),
	    "{\"owner\":\"10.0.0.2:1\",\"incarnation\":7,\"lease\":9}");
	kv_put(kv_find("cell/main"),
	    "{\"owner\":\"10.0.0.2:1\",\"incarnation\":7,\"lease\":9,"
	    "\"fence\":9}");
	kv_put(kv_find("ledger/e1"),
	    "{\"fence\":9,\"engine\":103,\"next\":5,\"entries\":[],"
	    "\"delegation\":{\"addr\":\"10.0.0.2:1\",\"incarnation\":7,"
	    "\"accelerator\":0,\"memory_mb\":0}}");
	strcpy(models[0].version, versions[VERSION_OLD]);
	kv_down = 0;
	cell_handle_superseded(cell, 9);
	advance(2 * NSEC_PER_SEC);
	CU_ASSERT_FALSE(cell_is_owner(cell));
	kv_remove(kv_find("lease/main"));
	advance(5 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(engine.loaded[VERSION_OLD]);
	cell_totals(cell, &before);
	advance(5 * NSEC_PER_SEC);
	cell_totals(cell, &after);
	CU_ASSERT_EQUAL(after.ledger_writes, before.ledger_writes);
	teardown();
}

/*
 * A process that stood still while the service was down cannot know whether
 * another has taken its delegated memory, so it orders nothing there until the
 * service answers.
 */
static void
test_stood_still_during_outage(void)
{
	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"1\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_OLD] = 1;
	strcpy(models[0].version, versions[VERSION_OLD]);
	advance(3 * NSEC_PER_SEC);
	kv_down = 1;
	advance(5 * NSEC_PER_SEC);
	strcpy(models[0].version, versions[VERSION_NEW]);
	engine_restart();
	now += 6 * NSEC_PER_SEC;
	advance(5 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(cell_is_owner(cell));
	CU_ASSERT_FALSE(engine.loaded[VERSION_NEW]);
	kv_down = 0;
	kv_remove(kv_find("lease/main"));
	advance(5 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);
	teardown();
}

/*
 * With the headroom given up, the first model without a copy does not fit, but
 * the one after it does.
 */
static void
test_headroom_for_second_model(void)
{
	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"2\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_NEW] = 1;
	advance(3 * NSEC_PER_SEC);
	CU_ASSERT_PTR_NOT_NULL(strstr(keys[kv_find("ledger/e1")].value,
	    "\"accelerator\":0,\"memory_mb\":30}}"));
	conf.nmodels = MODELS;
	advance(5 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);
	CU_ASSERT_FALSE(engine.loaded[LARGE]);
	CU_ASSERT_TRUE(engine.loaded[SMALL]);
	teardown();
}

/* The headroom is to be released for the second model. */
static void
start_release(void)
{
	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"2\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_NEW] = 1;
	advance(3 * NSEC_PER_SEC);
	models[1].memory_mb = 45;
	conf.nmodels = 2;
}

/* A third model, which would fit there, is declared during the outage. */
static void
check_release_without_answer(void)
{
	CU_ASSERT_TRUE(kv_down);
	models[2].memory_mb = 30;
	conf.nmodels = 3;
	advance(8 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(cell_is_owner(cell));
	CU_ASSERT_FALSE(engine.loaded[SMALL]);
}

/*
 * The release took effect, but its answer is lost, and the service is down from
 * then on.  Nothing may be loaded into that memory.
 */
static void
test_headroom_release_in_doubt(void)
{
	start_release();
	lose_release = 1;
	advance(NSEC_PER_SEC);
	check_release_without_answer();
	kv_down = 0;
	kv_remove(kv_find("lease/main"));
	advance(10 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(engine.loaded[LARGE]);
	CU_ASSERT_FALSE(engine.loaded[SMALL]);
	teardown();
}

/* The same while the write of the release is under way. */
static void
test_headroom_release_in_flight(void)
{
	start_release();
	hold_text = no_headroom;
	advance(NSEC_PER_SEC);
	CU_ASSERT_PTR_NOT_NULL_FATAL(held_op);
	kv_down = 1;
	check_release_without_answer();
	kv_op_destroy(held_op);
	teardown();
}

/*
 * One load at a time may be in flight, and the engine refuses one model for
 * ever.  Another is loaded between the attempts.
 */
static void
test_load_beside_refused_one(void)
{
	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"2\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_NEW] = 1;
	engine.refuses_load[LARGE] = 1;
	conf.store.concurrent = 1;
	models[1].memory_mb = 20;
	models[2].memory_mb = 20;
	conf.nmodels = 3;
	advance(10 * NSEC_PER_SEC);
	CU_ASSERT_FALSE(engine.loaded[LARGE]);
	CU_ASSERT_TRUE(engine.loaded[SMALL]);
	engine.refuses_load[LARGE] = 0;
	advance(3 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(engine.loaded[LARGE]);
	teardown();
}

static const struct unit_case cases[] = {
	{ "restart between loads", test_restart_between_loads },
	{ "old version is unloaded", test_old_version_is_unloaded },
	{ "copy lost during an unload's write", test_copy_lost_during_write },
	{ "unload is withdrawn", test_unload_is_withdrawn },
	{ "silence during an unload's write", test_silence_during_write },
	{ "delegated copy of a former owner",
	    test_delegated_copy_of_former_owner },
	{ "stood still during an outage", test_stood_still_during_outage },
	{ "headroom for the second model", test_headroom_for_second_model },
	{ "headroom's release in doubt", test_headroom_release_in_doubt },
	{ "headroom's release in flight", test_headroom_release_in_flight },
	{ "load beside a refused one", test_load_beside_refused_one },
};

UNIT_MAIN("cell", cases)
