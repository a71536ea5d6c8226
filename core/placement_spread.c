/*
 * Assignment of demand to copies: requests go to the least used replica that
 * holds their model, so that the replicas of a model fill up evenly.
 */
#include <stdlib.h>

#include "mem.h"
#include "placement_int.h"

/* Models share replicas, so that the assignment is repeated until it settles.
 */
#define ASSIGN_PASSES 3
/* Copies of one model that a step can add. */
#define SPARE_SITES 64

static struct placement_copy *copy_on(struct placement_replica *, uint32_t);
static void assign_model(struct placement *, uint32_t);
static void sort_by_use(const struct placement *, uint32_t *, uint32_t);
static double replica_use(const struct placement_replica *);
static void count_limited(const struct placement *, struct placement_state *,
    const struct placement_replica *, int);

double
placement_replica_load(const struct placement_replica *r)
{
	double sum = 0.0;
	uint32_t i;

	for (i = 0; i < r->ncopies; i++)
		sum += r->copies[i].load;
	return sum;
}

static double
replica_use(const struct placement_replica *r)
{
	return placement_replica_load(r) / (r->slots == 0 ? 1 : r->slots);
}

static struct placement_copy *
copy_on(struct placement_replica *r, uint32_t model)
{
	uint32_t i;

	for (i = 0; i + 1 < r->ncopies && r->copies[i].model != model; i++)
		continue;
	return &r->copies[i];
}

/* Counts a copy on a replica with a limit, or one less. */
static void
count_limited(const struct placement *p, struct placement_state *s,
    const struct placement_replica *r, int sign)
{
	double worth =
	    p->config->target_use * r->slots / placement_copy_target(p);

	if (!r->limit_lasts)
		return;
	s->nlimited += (uint32_t)sign;
	s->limited_worth += sign * (worth < 1.0 ? worth : 1.0);
}

void
placement_index_copies(struct placement *p)
{
	struct placement_state *s;
	const struct placement_replica *r;
	uint32_t at = 0;
	uint32_t i;
	uint32_t k;

	p->states = mem_alloc((p->nmodels + 1) * sizeof(*p->states));
	for (i = 0; i < p->nreplicas; i++) {
		for (k = 0; k < p->replicas[i].ncopies; k++)
			p->states[p->replicas[i].copies[k].model].capacity++;
	}
	for (i = 0; i < p->nmodels; i++) {
		s = &p->states[i];
		s->first = at;
		s->capacity +=
		    p->nreplicas < SPARE_SITES ? p->nreplicas : SPARE_SITES;
		at += s->capacity;
	}
	p->sites = mem_alloc((at + 1) * sizeof(*p->sites));
	for (i = 0; i < p->nreplicas; i++) {
		r = &p->replicas[i];
		for (k = 0; k < r->ncopies && !r->leaving; k++) {
			s = &p->states[r->copies[k].model];
			p->sites[s->first + s->ncopies++] = i;
			s->nresident += (uint32_t)(r->copies[k].resident != 0);
			count_limited(p, s, r, 1);
		}
	}
}

/* Insertion sort: the order changes little from pass to pass. */
static void
sort_by_use(const struct placement *p, uint32_t *sites, uint32_t n)
{
	uint32_t moved;
	double use;
	uint32_t i;
	uint32_t k;

	for (i = 1; i < n; i++) {
		moved = sites[i];
		use = replica_use(&p->replicas[moved]);
		for (k = i;
		     k > 0 && replica_use(&p->replicas[sites[k - 1]]) > use;
		     k--)
			sites[k] = sites[k - 1];
		sites[k] = moved;
	}
}

/* Fills the model's replicas up to the same use. */
static void
assign_model(struct placement *p, uint32_t model)
{
	struct placement_state *s = &p->states[model];
	uint32_t *sites = &p->sites[s->first];
	struct placement_replica *r;
	double load = 0.0;
	double slots = 0.0;
	double share;
	uint32_t n;
	uint32_t i;

	s->use = 0.0;
	for (i = 0; i < s->ncopies; i++)
		copy_on(&p->replicas[sites[i]], model)->load = 0.0;
	if (s->ncopies == 0)
		return;
	sort_by_use(p, sites, s->ncopies);
	for (n = 0; n < s->ncopies; n++) {
		r = &p->replicas[sites[n]];
		if (n != 0 && replica_use(r) >= s->use)
			break;
		load += placement_replica_load(r);
		slots += r->slots == 0 ? 1 : r->slots;
		s->use = (load + p->models[model].demand) / slots;
	}
	for (i = 0; i < n; i++) {
		r = &p->replicas[sites[i]];
		share = s->use * (r->slots == 0 ? 1 : r->slots) -
		    placement_replica_load(r);
		copy_on(r, model)->load = share > 0.0 ? share : 0.0;
	}
}

void
placement_assign_demand(struct placement *p)
{
	uint32_t pass;
	uint32_t i;

	for (pass = 0; pass < ASSIGN_PASSES; pass++) {
		for (i = 0; i < p->nmodels; i++) {
			if (p->models[i].demand > 0.0)
				assign_model(p, i);
		}
	}
}

void
placement_copy_planned(struct placement *p, uint32_t model, uint32_t replica)
{
	struct placement_replica *r = &p->replicas[replica];
	struct placement_state *s = &p->states[model];
	struct placement_copy *c = &r->copies[r->ncopies++];

	c->model = model;
	c->resident = 0;
	c->load = 0.0;
	count_limited(p, s, r, 1);
	if (s->ncopies < s->capacity)
		p->sites[s->first + s->ncopies++] = replica;
	assign_model(p, model);
}

void
placement_copy_removed(struct placement *p, uint32_t model, uint32_t replica)
{
	struct placement_state *s = &p->states[model];

	uint32_t i;

	for (i = 0; i < s->ncopies; i++) {
		if (p->sites[s->first + i] != replica)
			continue;
		p->sites[s->first + i] = p->sites[s->first + --s->ncopies];
		s->nresident--;
		count_limited(p, s, &p->replicas[replica], -1);
		break;
	}
	assign_model(p, model);
}
