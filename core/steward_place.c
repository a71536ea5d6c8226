/* Which models the replicas of one service hold. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "steward_int.h"

/* Loads at once beyond what the store carries only slow each other down. */
#define LOADS_LEAST 2.0
#define PLACE_MOVES_MAX 8

struct plan {
	const struct fleet_engine *engine;
	struct place_model *models;
	uint32_t nbackends;
	struct place_backend backends[PLACE_BACKENDS_MAX];
	struct member_replica *members[PLACE_BACKENDS_MAX];
	struct charge *charges[PLACE_BACKENDS_MAX];
	uint32_t loading;
};

static void plan_backends(struct plan *, const struct steward *, uint64_t,
    const struct fleet_service *);
static void plan_models(struct plan *, const struct steward *, uint64_t);
static void plan_copy(struct plan *, uint32_t, uint32_t, int);
static int store_allows(
    struct steward *, uint64_t, const struct fleet_engine *, uint32_t);
static int at_hand(const struct member_replica *, const char *);
static void plan_carry_out(struct plan *, struct steward *, uint64_t,
    const struct place_move *, struct steward_out *);

static void
plan_backends(struct plan *p, const struct steward *s, uint64_t now,
    const struct fleet_service *service)
{
	struct place_backend *b;
	struct member_replica *m;
	struct charge *c;

	for (m = s->dir->replicas; m != NULL; m = m->hh.next) {
		c = charge_find(s, m->info.id);
		if (strcmp(m->info.service, service->name) != 0 || c == NULL ||
		    m->presence == PRESENT_GONE ||
		    p->nbackends == PLACE_BACKENDS_MAX)
			continue;
		b = &p->backends[p->nbackends];
		b->datacentre = m->info.zone;
		b->leaving = m->info.state != REPLICA_READY;
		b->usable = directory_usable(m, now) && m->presence == PRESENT;
		b->busy = c->loading[0] != '\0' || c->unloading[0] != '\0' ||
		    !charge_free(s, now, c) || c->ncoming != 0;
		b->naccelerators = 1;
		b->free_mb[0] = charge_left_mb(c, m, p->engine);
		p->loading += *charge_loading(c) != '\0';
		p->members[p->nbackends] = m;
		p->charges[p->nbackends++] = c;
	}
}

static void
plan_copy(struct plan *p, uint32_t model, uint32_t backend, int resident)
{
	struct place_model *m = &p->models[model];

	m->copies[m->ncopies].backend = backend;
	m->copies[m->ncopies].resident = resident;
	m->ncopies++;
}

static void
plan_models(struct plan *p, const struct steward *s, uint64_t now)
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
			if (at_hand(p->members[k], fm->name))
				m->allowed[k] = PLACE_WEIGHTS_ON_DISK;
			if (strcmp(charge_unloading(p->charges[k]), fm->name) ==
			    0) {
				p->backends[k].freeing_mb[0] = fm->memory_mb;
				continue;
			}
			if (fleet_has_model(&p->members[k]->info, fm->name))
				plan_copy(p, i, k, 1);
			else if (strcmp(charge_loading(p->charges[k]),
				     fm->name) == 0)
				plan_copy(p, i, k, 0);
		}
	}
}

static int
at_hand(const struct member_replica *m, const char *model)
{
	uint32_t i;

	for (i = 0; i < m->info.natdisk; i++) {
		if (strcmp(m->info.atdisk[i], model) == 0)
			return 1;
	}
	return 0;
}

/* Whether one more load from the weight store is within its rate. */
static int
store_allows(struct steward *s, uint64_t now, const struct fleet_engine *g,
    uint32_t loading)
{
	double most = g->loads_per_s * (double)s->config.window_ns /
	    (double)NSEC_PER_SEC * s->config.burst;
	double at_once = 0.0;
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < s->nloads; i++) {
		if (now < s->loads[i] + s->config.window_ns)
			s->loads[kept++] = s->loads[i];
	}
	s->nloads = kept;
	for (i = 0; i < g->nmodels; i++)
		at_once = fmax(at_once,
		    (double)g->models[i].load_ns / (double)NSEC_PER_SEC);
	at_once = fmax(at_once * g->loads_per_s, LOADS_LEAST);
	return s->nloads + 1.0 <= most && loading + 1.0 <= at_once &&
	    s->nloads < STEWARD_LOADS_MAX;
}

static void
plan_carry_out(struct plan *p, struct steward *s, uint64_t now,
    const struct place_move *move, struct steward_out *out)
{
	const char *model = p->models[move->model].name;
	struct charge *c = p->charges[move->backend];
	struct member_replica *m = p->members[move->backend];

	if (move->kind == PLACE_UNLOAD) {
		steward_send(s, now, c, STEWARD_UNLOAD, model, "", out);
	} else {
		if (!at_hand(m, model)) {
			if (!store_allows(s, now, p->engine, p->loading))
				return;
			s->loads[s->nloads++] = now;
		}
		steward_send(s, now, c, STEWARD_LOAD, model, "", out);
		p->loading++;
		demand_get_or_create(&s->demand, model)->copies_changed_at =
		    now;
	}
}

void
steward_place(struct steward *s, uint64_t now,
    const struct fleet_service *service, struct steward_out *out)
{
	struct place_move moves[PLACE_MOVES_MAX];
	struct swift_config config;
	struct plan *p;
	uint32_t n;
	uint32_t i;

	p = mem_alloc(sizeof(*p));
	p->engine = service->engine;
	p->models = mem_alloc((p->engine->nmodels + 1) * sizeof(*p->models));
	plan_backends(p, s, now, service);
	plan_models(p, s, now);
	config = s->config.place;
	config.unasked = now >= s->settled_at;
	n = place_swift(&config, now, p->models, p->engine->nmodels,
	    p->backends, p->nbackends, moves, PLACE_MOVES_MAX);
	for (i = 0; i < n; i++)
		plan_carry_out(p, s, now, &moves[i], out);
	free(p->models);
	free(p);
}
