#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "steward_scene.h"
#include "unit.h"

static void answer_kv(struct scene *);

void
scene_open(struct scene *t, uint64_t apart)
{
	static const char *const names[] = { "m0", "m1", "m2", "m3" };
	struct node_id self = { "10.0.0.1:7000", 5 };
	struct steward_config config;
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
		g->models[i].load_ns = S;
		g->models[i].adapters = 4;
		g->models[i].adapter_mb = 5;
	}
	steward_config_default(&config);
	config.apart_ns = apart;
	t->s = steward_create(&config, &t->dir, &self, &t->ids);
	t->now = 100 * S;
	t->dir.known = 1;
	for (i = 0; i < REPLICAS; i++) {
		snprintf(t->replicas[i].id, NAME_SIZE, "r%d", i);
		strcpy(t->replicas[i].service, "llm");
		snprintf(t->replicas[i].addr, ADDR_SIZE, "10.0.0.%u:80",
		    (unsigned)i + 2);
		strcpy(t->replicas[i].zone, "z");
		t->replicas[i].slots = 8;
		t->replicas[i].born_ms = 1;
		snprintf(t->replicas[i].resident[0], NAME_SIZE, "m%d", i);
		t->replicas[i].nresident = 1;
		scene_list(t, i);
	}
	steward_candidate(t->s, 1, 0);
}

void
scene_list(struct scene *t, int i)
{
	directory_put(&t->dir, &t->replicas[i]);
}

void
scene_close(struct scene *t)
{
	struct steward_order *o;
	struct kv_op *op;

	while ((o = TAILQ_FIRST(&t->orders)) != NULL) {
		TAILQ_REMOVE(&t->orders, o, entry);
		free(o);
	}
	while ((op = TAILQ_FIRST(&t->kv)) != NULL) {
		TAILQ_REMOVE(&t->kv, op, entry);
		kv_op_destroy(op);
	}
	steward_destroy(t->s);
	directory_clear(&t->dir);
	fleet_conf_destroy(t->conf);
}

/* The key-value service grants everything; cell/orders is new. */
static void
answer_kv(struct scene *t)
{
	struct kv_result r;
	struct kv_op *op;

	while ((op = TAILQ_FIRST(&t->kv)) != NULL) {
		TAILQ_REMOVE(&t->kv, op, entry);
		memset(&r, 0, sizeof(r));
		r.id = op->id;
		r.kind = op->kind;
		r.status = op->kind == KV_GET ? KV_ABSENT : KV_OK;
		r.lease = 9;
		r.revision = 1;
		steward_kv(t->s, t->now, &r, &t->out);
		kv_op_destroy(op);
	}
}

void
scene_run(struct scene *t, uint64_t for_ns)
{
	uint64_t end = t->now + for_ns;

	for (; t->now < end; t->now += 20 * MS) {
		steward_tick(t->s, t->now, t->conf, &t->out);
		answer_kv(t);
	}
}

/* Takes the oldest order of a kind off the list, or NULL. */
struct steward_order *
scene_take(struct scene *t, enum steward_kind kind)
{
	struct steward_order *o;

	TAILQ_FOREACH (o, &t->orders, entry) {
		if (o->kind == kind) {
			TAILQ_REMOVE(&t->orders, o, entry);
			return o;
		}
	}
	return NULL;
}

/* Each replica tells what it holds, and so many orders. */
void
scene_reports(struct scene *t, uint64_t orders)
{
	struct steward_order *o;
	struct fleet_replica r;

	while ((o = scene_take(t, STEWARD_REPORT)) != NULL) {
		r = t->replicas[o->replica[1] - '0'];
		r.orders = orders;
		steward_report(t->s, t->now, o, &r);
		free(o);
	}
}

void
scene_demand(struct scene *t, const char *wanted, uint32_t running)
{
	demand_update(
	    steward_demand(t->s), t->now, 1, wanted, running, running, 0);
}

/* The same, where the test cannot go on without it. */
struct steward_order *
scene_must_take(struct scene *t, enum steward_kind kind)
{
	struct steward_order *o = scene_take(t, kind);

	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	if (o == NULL)
		abort();
	return o;
}
