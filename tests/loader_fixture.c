#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "loader_fixture.h"
#include "unit.h"

static void fixture_grant_kv(struct loader_fixture *);

void
fixture_open(struct loader_fixture *t, uint64_t apart)
{
	static const char *const names[] = { "m0", "m1", "m2", "m3" };
	struct node_id self = { "10.0.0.1:7000", 5 };
	struct loader_config config;
	struct fleet_engine *g;
	int i;

	memset(t, 0, sizeof(*t));
	TAILQ_INIT(&t->kv);
	TAILQ_INIT(&t->orders);
	t->out.kv = &t->kv;
	t->out.orders = &t->orders;
	directory_init(&t->dir);
	t->conf = fleet_conf_create();
	t->conf->nservices = 1;
	t->conf->services = mem_alloc(sizeof(*t->conf->services));
	strcpy(t->conf->services[0].name, "llm");
	g = mem_alloc(sizeof(*g));
	t->conf->services[0].engine = g;
	g->slots = 8;
	g->kv_tokens = 100000;
	g->memory_mb = 250;
	g->adapter_slots = 2;
	g->loads_per_s = 1.0;
	g->models = mem_alloc(4 * sizeof(*g->models));
	g->nmodels = 4;
	for (i = 0; i < 4; i++) {
		strcpy(g->models[i].name, names[i]);
		g->models[i].memory_mb = 100;
		g->models[i].store_load_ns = S;
		g->models[i].adapter_count = 4;
		g->models[i].adapter_mb = 5;
	}
	fleet_engine_index_models(g);
	loader_config_default(&config);
	config.takeover_delay_ns = apart;
	t->s = loader_create(&config, &t->dir, &self, &t->ids);
	t->now = 100 * S;
	t->dir.synced = 1;
	for (i = 0; i < REPLICAS; i++) {
		snprintf(t->replicas[i].id, NAME_SIZE, "r%d", i);
		strcpy(t->replicas[i].service, "llm");
		snprintf(t->replicas[i].addr, ADDR_SIZE, "10.0.0.%u:80",
		    (unsigned)i + 2);
		strcpy(t->replicas[i].zone, "z");
		t->replicas[i].slots = 8;
		t->replicas[i].started_ms = 1;
		name_list_append(&t->replicas[i].resident, names[i]);
		fixture_list_replica(t, i);
	}
	loader_set_candidate(t->s, 1, 0);
}

void
fixture_list_replica(struct loader_fixture *t, int i)
{
	directory_put(&t->dir, &t->replicas[i]);
}

void
fixture_close(struct loader_fixture *t)
{
	struct loader_order *o;
	struct kv_op *op;
	int i;

	for (i = 0; i < REPLICAS; i++)
		fleet_replica_clear(&t->replicas[i]);
	while ((o = TAILQ_FIRST(&t->orders)) != NULL) {
		TAILQ_REMOVE(&t->orders, o, entry);
		free(o);
	}
	while ((op = TAILQ_FIRST(&t->kv)) != NULL) {
		TAILQ_REMOVE(&t->kv, op, entry);
		kv_op_destroy(op);
	}
	loader_destroy(t->s);
	directory_clear(&t->dir);
	fleet_conf_destroy(t->conf);
}

/* Grants every operation; cell/orders does not exist yet. */
static void
fixture_grant_kv(struct loader_fixture *t)
{
	struct kv_result r;
	struct kv_op *op;

	while ((op = TAILQ_FIRST(&t->kv)) != NULL) {
		TAILQ_REMOVE(&t->kv, op, entry);
		memset(&r, 0, sizeof(r));
		r.id = op->id;
		r.kind = op->kind;
		r.status = op->kind == KV_GET ? KV_ABSENT : KV_OK;
		r.lease_id = 9;
		r.revision = 1;
		loader_kv_result(t->s, t->now, &r, &t->out);
		kv_op_destroy(op);
	}
}

void
fixture_run(struct loader_fixture *t, uint64_t for_ns)
{
	uint64_t end = t->now + for_ns;

	for (; t->now < end; t->now += 20 * MS) {
		loader_tick(t->s, t->now, t->conf, &t->out);
		fixture_grant_kv(t);
	}
}

struct loader_order *
fixture_take_order(struct loader_fixture *t, enum loader_order_kind kind)
{
	struct loader_order *o;

	TAILQ_FOREACH (o, &t->orders, entry) {
		if (o->kind == kind) {
			TAILQ_REMOVE(&t->orders, o, entry);
			return o;
		}
	}
	return NULL;
}

void
fixture_answer_reports(struct loader_fixture *t, uint64_t orders)
{
	struct loader_order *o;
	struct fleet_replica r;

	while ((o = fixture_take_order(t, LOADER_REPORT)) != NULL) {
		r = t->replicas[o->replica[1] - '0'];
		r.accepted_orders = orders;
		loader_report_received(t->s, t->now, o, &r);
		free(o);
	}
}

void
fixture_set_running(
    struct loader_fixture *t, const char *wanted, uint32_t running)
{
	demand_update(
	    loader_demand(t->s), t->now, 1, wanted, running, running, 0);
}

struct loader_order *
fixture_require_order(struct loader_fixture *t, enum loader_order_kind kind)
{
	struct loader_order *o = fixture_take_order(t, kind);

	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	if (o == NULL)
		abort();
	return o;
}

void
fixture_require_other_copy(struct loader_fixture *t)
{
	struct loader_order *o;

	fixture_set_running(t, "m0", 3);
	fixture_run(t, 400 * MS);
	o = fixture_require_order(t, LOADER_LOAD);
	CU_ASSERT_STRING_EQUAL(o->model, "m0");
	CU_ASSERT_STRING_NOT_EQUAL(o->replica, "r0");
	free(o);
}
