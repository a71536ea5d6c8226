/* Choice of the copy that gives way to a model. */
#include <string.h>

#include "placement_int.h"

#define KEEP 1e9 /* this copy must stay */
/* Costs in requests a copy, as the relief that they are compared with. */
#define UNUSED_COST 1.0 /* of a model's only copy, never requested */
#define COLD_COST 2.0	/* the same, requested long ago */
/* An unload waits for the requests that run on the copy. */
#define RUNNING_COST 0.05 /* for each of them */
/* A surplus copy gives way to an unrequested model below this use. */
#define FILL_USE_MAX 0.25

static double unload_cost(const struct placement *,
    const struct placement_replica *, const struct placement_copy *, int);

/* Requests a copy of the model without this one, and the wait for it. */
static double
unload_cost(const struct placement *p, const struct placement_replica *r,
    const struct placement_copy *c, int filling)
{
	const struct placement_model *m = &p->models[c->model];
	const struct placement_state *s = &p->states[c->model];

	if (!c->resident ||
	    (m->moved_at != 0 && p->now < m->moved_at + p->config->min_hold_ns))
		return KEEP;
	if (!r->limited && s->nlimited != 0 && s->ncopies - s->nlimited == 1 &&
	    m->demand > s->limited_worth * placement_copy_target(p))
		return KEEP;
	if (s->nresident > 1) {
		if (filling && p->config->evict == PLACEMENT_EVICT_IDLE &&
		    s->use > FILL_USE_MAX)
			return KEEP;
		return m->demand / (s->nresident - 1) + c->load * RUNNING_COST;
	}
	/* Another copy that is still loading serves nothing yet. */
	if (filling || !p->config->evict_last || m->waiting > 0.0 ||
	    m->demand > 0.5 ||
	    (m->requested_at != 0 &&
		p->now < m->requested_at + p->config->cold_after_ns))
		return KEEP;
	return m->requested_at == 0 ? UNUSED_COST : COLD_COST;
}

int
placement_plan_unload(
    struct placement *p, uint32_t model, struct placement_move *move)
{
	int unserved = p->states[model].ncopies == 0;
	struct placement_replica *r;
	struct placement_copy *c;
	double least = 0.0;
	double cost;
	uint32_t at = 0;
	uint32_t found = p->nreplicas;
	uint32_t i;
	uint32_t k;

	if (move->filling && p->config->evict == PLACEMENT_EVICT_NONE)
		return 0;
	for (i = 0; i < p->nreplicas; i++) {
		r = &p->replicas[i];
		if (r->leaving || !r->usable || r->busy ||
		    (r->limited && !unserved) ||
		    r->reserved_for != PLACEMENT_NONE ||
		    placement_has_copy(r, model))
			continue;
		for (k = 0; k < r->ncopies; k++) {
			c = &r->copies[k];
			cost = unload_cost(p, r, c, move->filling);
			if (cost >= KEEP ||
			    r->free_mb + p->models[c->model].memory_mb <
				p->models[model].memory_mb)
				continue;
			if (!unserved &&
			    cost + p->config->min_relief >
				p->states[model].relief)
				continue;
			if (found != p->nreplicas && cost >= least)
				continue;
			least = cost;
			found = i;
			at = k;
		}
	}
	if (found == p->nreplicas)
		return 0;
	r = &p->replicas[found];
	move->kind = PLACEMENT_UNLOAD;
	move->model = r->copies[at].model;
	move->for_model = model;
	move->replica = found;
	r->busy = 1;
	r->free_mb = 0; /* reserved for the load that follows */
	memmove(&r->copies[at], &r->copies[at + 1],
	    (r->ncopies - at - 1) * sizeof(*r->copies));
	r->ncopies--;
	placement_copy_removed(p, move->model, found);
	placement_copy_planned(p, model, found);
	return 1;
}
