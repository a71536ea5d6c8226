/* Which adapters the replicas of one service hold. */
#include <stdio.h>
#include <string.h>

#include "steward_int.h"

/* Somebody who waited so lately still does. */
#define ASKED_NS (500 * NSEC_PER_MSEC)
/* An adapter that was used so lately is not dropped for another. */
#define KEEP_NS (300 * NSEC_PER_MSEC)

static uint32_t places_used(
    const struct charge *, const struct member_replica *);
static int is_coming(const struct charge *, const char *);
static struct member_replica *choose(
    struct steward *, uint64_t, const struct fleet_service *, const char *);
static const char *least_used(
    const struct steward *, uint64_t, const struct member_replica *);
static int has_copy(const struct steward *, uint64_t,
    const struct fleet_service *, const char *);
static void serve(struct steward *, uint64_t, const struct fleet_service *,
    const char *, struct steward_out *);

static int
is_coming(const struct charge *c, const char *adapter)
{
	uint32_t i;

	for (i = 0; i < c->ncoming; i++) {
		if (strcmp(c->coming[i].adapter, adapter) == 0)
			return 1;
	}
	return c->order != 0 && c->last.kind == STEWARD_LOAD &&
	    strcmp(c->last.adapter, adapter) == 0;
}

static uint32_t
places_used(const struct charge *c, const struct member_replica *m)
{
	return m->info.nadapters + c->ncoming + charge_ghost_adapters(c);
}

/* Whether a usable replica holds it or is about to. */
static int
has_copy(const struct steward *s, uint64_t now,
    const struct fleet_service *service, const char *adapter)
{
	const struct member_replica *m;
	const struct charge *c;

	for (m = s->dir->replicas; m != NULL; m = m->hh.next) {
		if (strcmp(m->info.service, service->name) != 0 ||
		    !directory_usable(m, now))
			continue;
		c = charge_find(s, m->info.id);
		if (fleet_has_adapter(&m->info, adapter) ||
		    (c != NULL &&
			(is_coming(c, adapter) ||
			    (c->unanswered &&
				strcmp(c->last.adapter, adapter) == 0))))
			return 1;
	}
	return 0;
}

/* The replica with the model that has a place, or the least work. */
static struct member_replica *
choose(struct steward *s, uint64_t now, const struct fleet_service *service,
    const char *model)
{
	struct member_replica *best = NULL;
	struct member_replica *m;
	struct charge *c;
	double best_score = 0.0;
	double score;

	for (m = s->dir->replicas; m != NULL; m = m->hh.next) {
		c = charge_find(s, m->info.id);
		if (strcmp(m->info.service, service->name) != 0 ||
		    !directory_usable(m, now) || c == NULL ||
		    !charge_free(s, now, c) || c->ncoming == FLEET_COMING_MAX ||
		    !fleet_has_model(&m->info, model) ||
		    strcmp(charge_unloading(c), model) == 0)
			continue;
		score = directory_load(s->dir, now, m).running +
		    4.0 * places_used(c, m);
		if (places_used(c, m) >= service->engine->adapter_slots)
			score += 1000.0;
		if (best != NULL && score >= best_score)
			continue;
		best = m;
		best_score = score;
	}
	return best;
}

/* The adapter on a replica that can best be spared, or NULL. */
static const char *
least_used(
    const struct steward *s, uint64_t now, const struct member_replica *m)
{
	const struct demand_item *d;
	const char *best = NULL;
	double best_rate = 0.0;
	uint32_t i;

	for (i = 0; i < m->info.nadapters; i++) {
		d = demand_find(&s->demand, m->info.adapters[i]);
		if (d == NULL)
			return m->info.adapters[i];
		if (now < d->last_arrival_at + KEEP_NS ||
		    demand_current_load(d, now) > 0.0)
			continue;
		if (best != NULL && d->rate >= best_rate)
			continue;
		best = m->info.adapters[i];
		best_rate = d->rate;
	}
	return best;
}

static void
serve(struct steward *s, uint64_t now, const struct fleet_service *service,
    const char *adapter, struct steward_out *out)
{
	char model[NAME_SIZE];
	size_t len = strcspn(adapter, "/");
	struct member_replica *m;
	const char *spare;
	struct charge *c;

	snprintf(model, sizeof(model), "%.*s", (int)len, adapter);
	if (fleet_model(service->engine, model) == NULL ||
	    has_copy(s, now, service, adapter))
		return;
	m = choose(s, now, service, model);
	if (m == NULL)
		return;
	c = charge_find(s, m->info.id);
	if (places_used(c, m) < service->engine->adapter_slots) {
		steward_send(s, now, c, STEWARD_LOAD, model, adapter, out);
		return;
	}
	spare = least_used(s, now, m);
	if (spare == NULL)
		return;
	len = strcspn(spare, "/");
	snprintf(model, sizeof(model), "%.*s", (int)len, spare);
	steward_send(s, now, c, STEWARD_UNLOAD, model, spare, out);
}

void
steward_adapt(struct steward *s, uint64_t now,
    const struct fleet_service *service, struct steward_out *out)
{
	struct demand_item *d;

	for (d = s->demand.items; d != NULL; d = d->hh.next) {
		if (strchr(d->name, '/') == NULL || d->last_waiting_at == 0 ||
		    now >= d->last_waiting_at + ASKED_NS)
			continue;
		serve(s, now, service, d->name, out);
	}
}
