#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "placement_int.h"

#define UNSERVED_RELIEF 1e6 /* no copy, and requests */
#define FILL_RELIEF 1e-3    /* no copy, no requests */
/* Requests a copy, in multiples of the target, that make a model short. */
#define SHORT_USE 2.0

static double model_relief(const struct placement *, uint32_t);
static int is_short(const struct placement *, uint32_t);
static double model_rank(const struct placement *, uint32_t);
static int replica_takes_orders(const struct placement_replica *);
static int replica_is_open(const struct placement_replica *, uint32_t);
static int replica_caches(const struct placement_replica *, uint32_t);
static int plan_load(struct placement *, uint32_t, struct placement_move *);
static int plan_next_move(struct placement *, struct placement_move *);
static int reserve_freed_memory(struct placement *, uint32_t);
static uint32_t neediest_model(const struct placement *);

void
placement_config_default(struct placement_config *c)
{
	c->target_use = 0.8;
	c->requests_per_copy = 10.0;
	c->min_relief = 4.0;
	c->cached_bonus = 6.0;
	c->min_hold_ns = 3 * NSEC_PER_SEC;
	c->cold_after_ns = 20 * NSEC_PER_SEC;
	c->max_moves = 32;
	c->max_unloads = 8;
	c->fill = 1;
	c->evict = PLACEMENT_EVICT_NONE;
}

int
placement_has_copy(const struct placement_replica *r, uint32_t model)
{
	uint32_t i;

	for (i = 0; i < r->ncopies; i++) {
		if (r->copies[i].model == model)
			return 1;
	}
	return 0;
}

double
placement_copy_target(const struct placement *p)
{
	double target = p->config->target_use * p->config->slots;

	return target < p->config->requests_per_copy
	    ? target
	    : p->config->requests_per_copy;
}

/* Requests a copy of a model that needs one more; 0 for none. */
static double
model_relief(const struct placement *p, uint32_t model)
{
	const struct placement_model *m = &p->models[model];
	const struct placement_state *s = &p->states[model];
	double worth;

	if (s->ncopies == 0 && (m->waiting > 0.0 || m->demand > 0.0))
		return UNSERVED_RELIEF + m->waiting + m->demand;
	if (s->ncopies == 0)
		return p->config->fill ? FILL_RELIEF : 0.0;
	/* Each copy has a share of its replica, which serves other models too.
	 */
	/* Requests for a model go to replicas without a limit first. */
	worth = s->nlimited == s->ncopies ? s->limited_worth : s->ncopies;
	if (m->demand <= worth * placement_copy_target(p))
		return 0.0;
	return m->demand / worth;
}

static int
replica_takes_orders(const struct placement_replica *r)
{
	return !r->leaving && r->usable && !r->busy;
}

/* Whether its memory is not reserved for another model. */
static int
replica_is_open(const struct placement_replica *r, uint32_t model)
{
	return r->reserved_for == PLACEMENT_NONE ||
	    r->reserved_for == (int)model;
}

static int
replica_caches(const struct placement_replica *r, uint32_t model)
{
	uint32_t i;

	for (i = 0; i < r->ncached; i++) {
		if (r->cached[i] == model)
			return 1;
	}
	return 0;
}

/* Plans a load on the least used replica with enough free memory. */
static int
plan_load(struct placement *p, uint32_t model, struct placement_move *move)
{
	struct placement_replica *r;
	uint32_t best = p->nreplicas;
	double least = 0.0;
	double load;
	uint32_t i;

	for (i = 0; i < p->nreplicas; i++) {
		r = &p->replicas[i];
		if (!replica_takes_orders(r) || !replica_is_open(r, model) ||
		    r->ncopies == r->copies_size ||
		    r->free_mb < p->models[model].memory_mb ||
		    placement_has_copy(r, model))
			continue;
		load = placement_replica_load(r);
		/* Only for want of others. */
		if (r->limited)
			load += p->config->slots;
		if (replica_caches(r, model))
			load -= p->config->cached_bonus;
		if (best != p->nreplicas && load >= least)
			continue;
		best = i;
		least = load;
	}
	if (best == p->nreplicas)
		return 0;
	r = &p->replicas[best];
	move->kind = PLACEMENT_LOAD;
	move->model = model;
	move->replica = best;
	r->free_mb -= p->models[model].memory_mb;
	r->busy = 1;
	placement_copy_planned(p, model, best);
	return 1;
}

/* Reserves memory that an unload in progress frees, for the load to follow. */
static int
reserve_freed_memory(struct placement *p, uint32_t model)
{
	struct placement_replica *r;
	uint32_t i;

	for (i = 0; i < p->nreplicas; i++) {
		r = &p->replicas[i];
		if (r->leaving || !r->usable || r->freeing_mb == 0 ||
		    !replica_is_open(r, model) ||
		    r->ncopies == r->copies_size ||
		    placement_has_copy(r, model) ||
		    r->free_mb + r->freeing_mb < p->models[model].memory_mb)
			continue;
		r->freeing_mb = 0;
		r->free_mb = 0;
		placement_copy_planned(p, model, i);
		return 1;
	}
	return 0;
}

/* Whether a model has far too few copies, and less than its share of them. */
static int
is_short(const struct placement *p, uint32_t model)
{
	const struct placement_state *s = &p->states[model];

	return s->ncopies != 0 &&
	    s->relief >= SHORT_USE * placement_copy_target(p) &&
	    s->ncopies * p->demand < p->nreplicas * p->models[model].demand;
}

/*
 * A model that is short of copies goes beside those that have none, by its
 * requests: with many of those it would get none for many loads' time.
 */
static double
model_rank(const struct placement *p, uint32_t model)
{
	double relief = p->states[model].relief;

	return is_short(p, model) ? UNSERVED_RELIEF + relief : relief;
}

/* The model of highest rank, nmodels if no copy would help. */
static uint32_t
neediest_model(const struct placement *p)
{
	uint32_t best = p->nmodels;
	uint32_t i;

	for (i = 0; i < p->nmodels; i++) {
		if (p->states[i].relief > 0.0 &&
		    (best == p->nmodels ||
			model_rank(p, i) > model_rank(p, best)))
			best = i;
	}
	return best;
}

/* Plans a move for the model of most relief for which one can start now. */
static int
plan_next_move(struct placement *p, struct placement_move *move)
{
	uint32_t model;
	int found;

	for (;;) {
		model = neediest_model(p);
		if (model == p->nmodels)
			return 0;
		memset(move, 0, sizeof(*move));
		move->filling = p->states[model].relief <= FILL_RELIEF;
		found = plan_load(p, model, move);
		if (!found && reserve_freed_memory(p, model)) {
			p->states[model].relief = model_relief(p, model);
			continue;
		}
		if (!found && p->unloads < p->config->max_unloads) {
			found = placement_plan_unload(p, model, move);
			p->unloads += (uint32_t)found;
		}
		p->states[model].relief = found ? model_relief(p, model) : 0.0;
		if (found)
			return 1;
	}
}

uint32_t
placement_plan(const struct placement_config *config, uint64_t now,
    const struct placement_model *models, uint32_t nmodels,
    struct placement_replica *replicas, uint32_t nreplicas,
    struct placement_move *moves, uint32_t max)
{
	struct placement p;
	uint32_t n = 0;
	uint32_t i;

	memset(&p, 0, sizeof(p));
	p.config = config;
	p.now = now;
	p.models = models;
	p.nmodels = nmodels;
	p.replicas = replicas;
	p.nreplicas = nreplicas;
	for (i = 0; i < nreplicas; i++)
		p.unloads += (uint32_t)(replicas[i].freeing_mb != 0);
	for (i = 0; i < nmodels; i++)
		p.demand += models[i].demand;
	placement_index_copies(&p);
	placement_assign_demand(&p);
	for (i = 0; i < nmodels; i++)
		p.states[i].relief = model_relief(&p, i);
	while (
	    n < max && n < config->max_moves && plan_next_move(&p, &moves[n]))
		n++;
	free(p.states);
	free(p.sites);
	return n;
}
