/* Placement of adapters on the replicas of one service. */
#include <stdio.h>
#include <string.h>

#include "loader_int.h"

/* An adapter counts as waited for until this long after the last request. */
#define ADAPTER_REQUEST_VALID_NS (500 * NSEC_PER_MSEC)
/* An adapter used within this time is not unloaded for another. */
#define ADAPTER_MIN_KEEP_NS (300 * NSEC_PER_MSEC)

static int adapter_is_loading(const struct engine_state *, const char *);
static int takes_adapter(const struct loader *, uint64_t,
    const struct fleet_service *, const struct directory_replica *,
    const struct engine_state *, const char *);
static struct directory_replica *choose_adapter_replica(struct loader *,
    uint64_t, const struct fleet_service *, const char *, const char *);
static const char *least_used_adapter(
    const struct loader *, uint64_t, const struct engine_state *);
static int adapter_has_copy(const struct loader *, uint64_t,
    const struct fleet_service *, const char *);
static void load_adapter_if_missing(struct loader *, uint64_t,
    const struct fleet_service *, const char *, struct loader_output *);

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
adapter_has_copy(const struct loader *s, uint64_t now,
    const struct fleet_service *service, const char *adapter)
{
	const struct directory_replica *m;
	const struct engine_state *e;

	for (m = s->directory->replicas; m != NULL; m = m->hh.next) {
		if (strcmp(m->info.service, service->name) != 0 ||
		    !directory_usable(m, now))
			continue;
		e = engine_state_find(s, m->info.id);
		if (fleet_has_adapter(&m->info, adapter) ||
		    (e != NULL &&
			(adapter_is_loading(e, adapter) ||
			    (e->last_unanswered &&
				strcmp(e->last_order.adapter, adapter) == 0))))
			return 1;
	}
	return 0;
}

/* Whether a replica has the model and takes an order for an adapter of it. */
static int
takes_adapter(const struct loader *s, uint64_t now,
    const struct fleet_service *service, const struct directory_replica *m,
    const struct engine_state *e, const char *model)
{
	return strcmp(m->info.service, service->name) == 0 &&
	    directory_usable(m, now) && e != NULL &&
	    engine_state_accepts_orders(s, now, e) &&
	    e->nloading_adapters < FLEET_LOADING_ADAPTERS_MAX &&
	    fleet_has_model(&m->info, model) &&
	    strcmp(engine_state_unloading_model(e), model) != 0;
}

/*
 * The replica with the model and the least load: first one whose slot the
 * adapter already takes, so that its order only lists it again, then one with
 * free slots.
 */
static struct directory_replica *
choose_adapter_replica(struct loader *s, uint64_t now,
    const struct fleet_service *service, const char *model, const char *adapter)
{
	struct directory_replica *best = NULL;
	struct directory_replica *m;
	struct engine_state *e;
	double best_score = 0.0;
	double score;

	for (m = s->directory->replicas; m != NULL; m = m->hh.next) {
		e = engine_state_find(s, m->info.id);
		if (!takes_adapter(s, now, service, m, e, model))
			continue;
		score = directory_total_load(s->directory, now, m).running +
		    4.0 * engine_state_slots_used(e);
		if (engine_state_has_adapter(e, adapter))
			score -= 1000.0;
		else if (engine_state_slots_used(e) >=
		    service->engine->adapter_slots)
			score += 1000.0;
		if (best != NULL && score >= best_score)
			continue;
		best = m;
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
	double best_rate = 0.0;
	uint32_t i;

	for (i = 0; i < e->nadapters; i++) {
		d = demand_find(&s->demand, e->adapters[i]);
		if (d == NULL)
			return e->adapters[i];
		if (now < d->last_arrival_at + ADAPTER_MIN_KEEP_NS ||
		    demand_current_load(d, now) > 0.0)
			continue;
		if (best != NULL && d->rate >= best_rate)
			continue;
		best = e->adapters[i];
		best_rate = d->rate;
	}
	return best;
}

static void
load_adapter_if_missing(struct loader *s, uint64_t now,
    const struct fleet_service *service, const char *adapter,
    struct loader_output *out)
{
	char model[NAME_SIZE];
	size_t len = strcspn(adapter, "/");
	struct directory_replica *m;
	const char *spare;
	struct engine_state *e;

	snprintf(model, sizeof(model), "%.*s", (int)len, adapter);
	if (fleet_find_model(service->engine, model) == NULL ||
	    adapter_has_copy(s, now, service, adapter))
		return;
	m = choose_adapter_replica(s, now, service, model, adapter);
	if (m == NULL)
		return;
	e = engine_state_find(s, m->info.id);
	if (engine_state_has_adapter(e, adapter) ||
	    engine_state_slots_used(e) < service->engine->adapter_slots) {
		loader_send_order(s, now, e, LOADER_LOAD, model, adapter, out);
		return;
	}
	spare = least_used_adapter(s, now, e);
	if (spare == NULL)
		return;
	len = strcspn(spare, "/");
	snprintf(model, sizeof(model), "%.*s", (int)len, spare);
	loader_send_order(s, now, e, LOADER_UNLOAD, model, spare, out);
}

void
loader_place_adapters(struct loader *s, uint64_t now,
    const struct fleet_service *service, struct loader_output *out)
{
	struct demand_item *d;

	for (d = s->demand.items; d != NULL; d = d->hh.next) {
		if (strchr(d->name, '/') == NULL || d->last_waiting_at == 0 ||
		    now >= d->last_waiting_at + ADAPTER_REQUEST_VALID_NS)
			continue;
		load_adapter_if_missing(s, now, service, d->name, out);
	}
}
