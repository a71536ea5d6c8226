/* Placement of adapters on the replicas of one service. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"
#include "loader_int.h"

/* An adapter counts as waited for until this long after the last request. */
#define ADAPTER_REQUEST_VALID_NS (500 * NSEC_PER_MSEC)
/* An adapter used within this time is not unloaded for another. */
#define ADAPTER_MIN_KEEP_NS (300 * NSEC_PER_MSEC)
/* A replica that loads so many adapters is not ordered to load another. */
#define LOADING_ADAPTERS_MAX 4

/* The usable replicas of a service, found once for all adapters of a round. */
struct adapter_round {
	struct loader *s;
	uint64_t now;
	const struct fleet_service *service;
	uint32_t n;
	struct adapter_place {
		struct directory_replica *m;
		struct engine_state *e;
	} * places;
};

/* An adapter to be loaded, and its model. */
struct wanted_adapter {
	const char *name; /* MODEL/ADAPTER */
	char model[NAME_SIZE];
	uint64_t model_hash;
};

static void adapter_round_find_places(struct adapter_round *);
static int adapter_is_loading(const struct engine_state *, const char *);
static int adapter_has_copy(
    const struct adapter_round *, const struct wanted_adapter *);
static int takes_adapter(const struct adapter_round *,
    const struct adapter_place *, const struct wanted_adapter *);
static const struct adapter_place *choose_adapter_place(
    const struct adapter_round *, const struct wanted_adapter *);
static const char *least_used_adapter(
    const struct loader *, uint64_t, const struct engine_state *);
static void load_adapter_if_missing(const struct adapter_round *,
    const struct wanted_adapter *, struct loader_output *);

static void
adapter_round_find_places(struct adapter_round *r)
{
	struct directory *d = r->s->directory;
	struct directory_replica *m;
	struct engine_state *e;

	r->places =
	    mem_alloc((HASH_COUNT(d->replicas) + 1) * sizeof(*r->places));
	for (m = d->replicas; m != NULL; m = m->hh.next) {
		e = engine_state_find(r->s, m->info.id);
		if (e == NULL ||
		    strcmp(m->info.service, r->service->name) != 0 ||
		    !directory_usable(m, r->now))
			continue;
		r->places[r->n].m = m;
		r->places[r->n++].e = e;
	}
}

static int
adapter_is_loading(const struct engine_state *e, const char *adapter)
{
	uint32_t i;

	for (i = 0; i < e->nloading_adapters; i++) {
		if (strcmp(e->loading_adapters[i].adapter, adapter) == 0)
			return 1;
	}
	return e->order_id != 0 && e->last_order.kind == LOADER_LOAD &&
	    strcmp(e->last_order.adapter, adapter) == 0;
}

/* Whether a usable replica has the adapter or is loading it. */
static int
adapter_has_copy(const struct adapter_round *r, const struct wanted_adapter *w)
{
	const struct adapter_place *p;

	for (p = r->places; p < r->places + r->n; p++) {
		if (!directory_holds(p->m, w->model, w->model_hash))
			continue;
		if (fleet_has_adapter(&p->m->info, w->name) ||
		    adapter_is_loading(p->e, w->name) ||
		    (p->e->last_unanswered &&
			strcmp(p->e->last_order.adapter, w->name) == 0))
			return 1;
	}
	return 0;
}

/* Whether a replica has the model and takes an order for an adapter of it. */
static int
takes_adapter(const struct adapter_round *r, const struct adapter_place *p,
    const struct wanted_adapter *w)
{
	return directory_holds(p->m, w->model, w->model_hash) &&
	    engine_state_accepts_orders(r->s, r->now, p->e) &&
	    p->e->nloading_adapters < LOADING_ADAPTERS_MAX &&
	    strcmp(engine_state_unloading_model(p->e), w->model) != 0;
}

/*
 * The replica with the model and the least load: first one whose slot the
 * adapter already takes, so that its order only lists it again, then one with
 * free slots.
 */
static const struct adapter_place *
choose_adapter_place(
    const struct adapter_round *r, const struct wanted_adapter *w)
{
	const struct adapter_place *best = NULL;
	const struct adapter_place *p;
	double best_score = 0.0;
	double score;

	for (p = r->places; p < r->places + r->n; p++) {
		if (!takes_adapter(r, p, w))
			continue;
		score = directory_total_load(r->s->directory, r->now, p->m)
			    .running +
		    4.0 * engine_state_slots_used(p->e);
		if (engine_state_has_adapter(p->e, w->name))
			score -= 1000.0;
		else if (engine_state_slots_used(p->e) >=
		    r->service->engine->adapter_slots)
			score += 1000.0;
		if (best != NULL && score >= best_score)
			continue;
		best = p;
		best_score = score;
	}
	return best;
}

/* The adapter on a replica to unload first, or NULL when all are in use. */
static const char *
least_used_adapter(
    const struct loader *s, uint64_t now, const struct engine_state *e)
{
	const struct demand_item *d;
	const char *best = NULL;
	const char *name;
	double best_rate = 0.0;
	uint32_t i;

	for (i = 0; i < e->adapters.n; i++) {
		name = e->adapters.names[i];
		d = demand_find(&s->demand, name);
		if (d == NULL)
			return name;
		if (now < d->last_arrival_at + ADAPTER_MIN_KEEP_NS ||
		    demand_current_load(d, now) > 0.0)
			continue;
		if (best != NULL && d->rate >= best_rate)
			continue;
		best = name;
		best_rate = d->rate;
	}
	return best;
}

static void
load_adapter_if_missing(const struct adapter_round *r,
    const struct wanted_adapter *w, struct loader_output *out)
{
	const struct adapter_place *p;
	const char *spare;
	char model[NAME_SIZE];

	if (fleet_find_model(r->service->engine, w->model) == NULL ||
	    adapter_has_copy(r, w))
		return;
	p = choose_adapter_place(r, w);
	if (p == NULL)
		return;
	if (engine_state_has_adapter(p->e, w->name) ||
	    engine_state_slots_used(p->e) < r->service->engine->adapter_slots) {
		loader_send_order(
		    r->s, r->now, p->e, LOADER_LOAD, w->model, w->name, out);
		return;
	}
	spare = least_used_adapter(r->s, r->now, p->e);
	if (spare == NULL)
		return;
	snprintf(model, sizeof(model), "%.*s", (int)strcspn(spare, "/"), spare);
	loader_send_order(r->s, r->now, p->e, LOADER_UNLOAD, model, spare, out);
}

void
loader_place_adapters(struct loader *s, uint64_t now,
    const struct fleet_service *service, struct loader_output *out)
{
	struct adapter_round r = { s, now, service, 0, NULL };
	struct wanted_adapter w;
	struct demand_item *d;

	for (d = s->demand.items; d != NULL; d = d->hh.next) {
		if (d->last_waiting_at == 0 ||
		    now >= d->last_waiting_at + ADAPTER_REQUEST_VALID_NS ||
		    strchr(d->name, '/') == NULL)
			continue;
		if (r.places == NULL)
			adapter_round_find_places(&r);
		w.name = d->name;
		snprintf(w.model, sizeof(w.model), "%.*s",
		    (int)strcspn(d->name, "/"), d->name);
		w.model_hash = hash_text(w.model);
		load_adapter_if_missing(&r, &w, out);
	}
	free(r.places);
}
