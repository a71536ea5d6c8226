/* Memory of the models that a replica holds, whatever their number. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loader_fixture.h"
#include "mem.h"
#include "unit.h"

static void hold_many(struct loader_fixture *, uint32_t, int);
static void test_many_models(void);

/* The engine declares n models of 100 MB; r0 holds all, and lists or tells. */
static void
hold_many(struct loader_fixture *t, uint32_t n, int listed)
{
	struct fleet_engine *g = t->conf->services[0].engine;
	struct loader_order *o;
	struct fleet_replica r = { 0 };
	uint32_t i;

	HASH_CLEAR(hh, g->index);
	g->models = mem_grow(g->models, n, sizeof(*g->models));
	for (i = g->nmodels; i < n; i++) {
		memset(&g->models[i], 0, sizeof(g->models[i]));
		snprintf(g->models[i].name, NAME_SIZE, "m%u", i);
		g->models[i].memory_mb = 100;
		g->models[i].store_load_ns = S;
	}
	g->nmodels = n;
	fleet_engine_index_models(g);
	fleet_replica_copy(&r, &t->replicas[0]);
	for (i = 1; i < n; i++)
		name_list_append(&r.resident, g->models[i].name);
	if (listed)
		directory_put(&t->dir, &r);
	fixture_run(t, 500 * MS);
	while ((o = fixture_take_order(t, LOADER_REPORT)) != NULL) {
		loader_report_received(t->s, t->now, o,
		    o->replica[1] == '0' ? &r
					 : &t->replicas[o->replica[1] - '0']);
		free(o);
	}
	fleet_replica_clear(&r);
}

/*
 * Guards against review/8: models beyond the 16th of a replica were not read,
 * so that another one was ordered into their memory.
 */
static void
test_many_models(void)
{
	static const uint32_t held[] = { 16, 17, 40, 300, NAME_LIST_MAX + 1 };
	struct loader_order *o;
	struct loader_fixture t;
	char name[NAME_SIZE];
	size_t i;

	for (i = 0; i < 2 * nitems(held); i++) {
		fixture_open(&t, 0);
		/* The models that r0 holds, and two adapters, fill it. */
		t.conf->services[0].engine->memory_mb = held[i / 2] * 100 + 60;
		hold_many(&t, held[i / 2], (int)(i % 2));
		t.replicas[1].state = t.replicas[2].state = REPLICA_LEAVING;
		fixture_list_replica(&t, 1);
		fixture_list_replica(&t, 2);
		snprintf(name, sizeof(name), "m%u", held[i / 2] - 1);
		fixture_set_running(&t, name, 500);
		fixture_set_running(&t, "m0", 500);
		fixture_set_running(&t, "m1", 500);
		fixture_run(&t, S);
		while ((o = fixture_take_order(&t, LOADER_LOAD)) != NULL) {
			CU_ASSERT_STRING_NOT_EQUAL(o->replica, "r0");
			free(o);
		}
		fixture_close(&t);
	}
}

static const struct unit_case cases[] = {
	{ "many models", test_many_models },
};

UNIT_MAIN("loader_models", cases)
