/* Placement of models on the replicas of one service. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "loader_int.h"

/* Concurrent loads beyond the weight store's rate slow each other down. */
#define MIN_CONCURRENT_LOADS 2.0
#define PLACE_MOVES_MAX 8

struct placement_plan {
	const struct fleet_engine *engine;
	struct place_model *models;
	uint32_t nbackends;
	struct place_backend backends[PLACE_BACKENDS_MAX];
	struct directory_replica *replicas[PLACE_BACKENDS_MAX];
	struct engine_state *engines[PLACE_BACKENDS_MAX];
	uint32_t nloading;
};

static void plan_add_backends(struct placement_plan *, const struct loader *,
    uint64_t, const struct fleet_service *);
static void plan_add_models(
    struct placement_plan *, const struct loader *, uint64_t);
static void plan_add_copy(struct placement_plan *, uint32_t, uint32_t, int);
static int weight_store_allows_load(
    struct loader *, uint64_t, const struct fleet_engine *, uint32_t);
static int has_cached_weights(const struct directory_replica *, const char *);
static void plan_execute_move(struct placement_plan *, struct loader *,
    uint64_t, const struct place_move *, struct loader_output *);

static void
plan_add_backends(struct placement_plan *p, const struct loader *s,
    uint64_t now, const struct fleet_service *service)
{
	struct place_backend *b;
	struct directory_replica *m;
	struct engine_state *e;

	for (m = s->directory->replicas; m != NULL; m = m->hh.next) {
		e = engine_state_find(s, m->info.id);
		if (strcmp(m->info.service, service->name) != 0 || e == NULL ||
		    m->presence == PRESENCE_REMOVED ||
		    p->nbackends == PLACE_BACKENDS_MAX)
			continue;
		b = &p->backends[p->nbackends];
		b->datacentre = m->info.zone;
		b->leaving = m->info.state != REPLICA_READY;
		b->usable =
		    directory_usable(m, now) && m->presence == PRESENCE_LISTED;
		b->busy = e->loading[0] != '\0' || e->unloading[0] != '\0' ||
		    !engine_state_accepts_orders(s, now, e) ||
		    e->nloading_adapters != 0;
		b->naccelerators = 1;
		b->free_mb[0] = engine_state_free_mb(e, m, p->engine);
		p->nloading += *engine_state_loading_model(e) != '\0';
		p->replicas[p->nbackends] = m;
		p->engines[p->nbackends++] = e;
	}
}

static void
plan_add_copy(
    struct placement_plan *p, uint32_t model, uint32_t backend, int resident)
{
	struct place_model *m = &p->models[model];

	m->copies[m->ncopies].backend = backend;
	m->copies[m->ncopies].resident = resident;
	m->ncopies++;
}

static void
plan_add_models(struct placement_plan *p, const struct loader *s, uint64_t now)
{
	const struct demand_item *d;
	const struct fleet_model *fm;
	struct place_model *m;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->engine->nmodels; i++) {
		fm = &p->engine->models[i];
		m = &p->models[i];
		m->name = fm->name;
		m->memory_mb = fm->memory_mb;
		m->min_copies = 1;
		d = demand_find(&s->demand, fm->name);
		if (d != NULL) {
			m->demand_slots =
			    fmax(d->load, demand_waiting_count(d, now));
			m->moved_at = d->copies_changed_at;
		}
		for (k = 0; k < p->nbackends; k++) {
			m->allowed[k] = 1;
			if (has_cached_weights(p->replicas[k], fm->name))
				m->allowed[k] = PLACE_WEIGHTS_ON_DISK;
			if (strcmp(engine_state_unloading_model(p->engines[k]),
				fm->name) == 0) {
				p->backends[k].freeing_mb[0] = fm->memory_mb;
				continue;
			}
			if (fleet_has_model(&p->replicas[k]->info, fm->name))
				plan_add_copy(p, i, k, 1);
			else if (strcmp(
				     engine_state_loading_model(p->engines[k]),
				     fm->name) == 0)
				plan_add_copy(p, i, k, 0);
		}
	}
}

static int
has_cached_weights(const struct directory_replica *m, const char *model)
{
	uint32_t i;

	for (i = 0; i < m->info.ncached_models; i++) {
		if (strcmp(m->info.cached_models[i], model) == 0)
			return 1;
	}
	return 0;
}

/* Whether the weight store's rate allows one more load. */
static int
weight_store_allows_load(struct loader *s, uint64_t now,
    const struct fleet_engine *g, uint32_t loading)
{
	double most = g->loads_per_s * (double)s->config.load_window_ns /
	    (double)NSEC_PER_SEC * s->config.load_burst;
	double at_once = 0.0;
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < s->nstore_loads; i++) {
		if (now < s->store_loads[i] + s->config.load_window_ns)
			s->store_loads[kept++] = s->store_loads[i];
	}
	s->nstore_loads = kept;
	for (i = 0; i < g->nmodels; i++)
		at_once = fmax(at_once,
		    (double)g->models[i].store_load_ns / (double)NSEC_PER_SEC);
	at_once = fmax(at_once * g->loads_per_s, MIN_CONCURRENT_LOADS);
	return s->nstore_loads + 1.0 <= most && loading + 1.0 <= at_once &&
	    s->nstore_loads < LOADER_STORE_LOADS_MAX;
}

static void
plan_execute_move(struct placement_plan *p, struct loader *s, uint64_t now,
    const struct place_move *move, struct loader_output *out)
{
	const char *model = p->models[move->model].name;
	struct engine_state *e = p->engines[move->backend];
	struct directory_replica *m = p->replicas[move->backend];

	if (move->kind == PLACE_UNLOAD) {
		loader_send_order(s, now, e, LOADER_UNLOAD, model, "", out);
	} else {
		if (!has_cached_weights(m, model)) {
			if (!weight_store_allows_load(
				s, now, p->engine, p->nloading))
				return;
			s->store_loads[s->nstore_loads++] = now;
		}
		loader_send_order(s, now, e, LOADER_LOAD, model, "", out);
		p->nloading++;
		demand_get_or_create(&s->demand, model)->copies_changed_at =
		    now;
	}
}

void
loader_place_models(struct loader *s, uint64_t now,
    const struct fleet_service *service, struct loader_output *out)
{
	struct place_move moves[PLACE_MOVES_MAX];
	struct place_greedy_config config;
	struct placement_plan *p;
	uint32_t n;
	uint32_t i;

	p = mem_alloc(sizeof(*p));
	p->engine = service->engine;
	p->models = mem_alloc((p->engine->nmodels + 1) * sizeof(*p->models));
	plan_add_backends(p, s, now, service);
	plan_add_models(p, s, now);
	config = s->config.place;
	config.load_without_demand = now >= s->list_settled_at;
	n = place_greedy(&config, now, p->models, p->engine->nmodels,
	    p->backends, p->nbackends, moves, PLACE_MOVES_MAX);
	for (i = 0; i < n; i++)
		plan_execute_move(p, s, now, &moves[i], out);
	free(p->models);
	free(p);
}
