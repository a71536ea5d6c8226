/*
 * Adapters, in the pool that is reserved on every accelerator.  No ledger
 * write is needed: the pool is delegated to one process at a time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_int.h"

#define RETRY_NS (500 * NSEC_PER_MSEC)
#define COLD_NS (30 * NSEC_PER_SEC) /* unused so long: may be evicted */

static const struct conf_model *adapter_find(
    const struct conf *, const char *, const struct conf_adapter **);
static struct unit_adapter *unit_adapter(struct unit *, const char *);
static uint64_t pool_used(const struct unit *);
static uint32_t in_flight(const struct cell_core *);
static int holds_model(const struct unit *, const char *);
static int adapter_load(struct cell_core *, uint64_t, struct unit *,
    const struct conf_model *, const struct conf_adapter *, struct cell_out *);
static void adapter_evict(
    struct cell_core *, uint64_t, struct unit *, struct cell_out *);
static void adapter_drop(struct unit *, uint32_t);

static const struct conf_model *
adapter_find(
    const struct conf *conf, const char *name, const struct conf_adapter **out)
{
	size_t i;
	size_t k;

	for (i = 0; conf != NULL && i < conf->nmodels; i++) {
		for (k = 0; k < conf->models[i].nadapters; k++) {
			if (strcmp(conf->models[i].adapters[k].name, name) != 0)
				continue;
			*out = &conf->models[i].adapters[k];
			return &conf->models[i];
		}
	}
	return NULL;
}

static struct unit_adapter *
unit_adapter(struct unit *u, const char *name)
{
	uint32_t i;

	for (i = 0; i < u->nadapters; i++) {
		if (strcmp(u->adapters[i].name, name) == 0)
			return &u->adapters[i];
	}
	return NULL;
}

/* The pool is counted over the whole backend server. */
static uint64_t
pool_used(const struct unit *u)
{
	uint64_t used = 0;
	uint32_t i;

	for (i = 0; i < u->nadapters; i++)
		used += u->adapters[i].memory_mb;
	return used;
}

static uint32_t
in_flight(const struct cell_core *c)
{
	uint32_t n = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nunits; i++) {
		for (k = 0; k < c->units[i]->nadapters; k++)
			n += c->units[i]->adapters[k].order != 0;
	}
	return n;
}

static int
holds_model(const struct unit *u, const char *model)
{
	const struct ledger_entry *en;
	uint32_t i;

	for (i = 0; i < u->ledger.n; i++) {
		en = &u->ledger.entries[i];
		if (strcmp(en->model, model) == 0 && !en->missing &&
		    (en->state == ENTRY_RESIDENT ||
			(en->state == ENTRY_LOADING && en->confirmed)))
			return 1;
	}
	return 0;
}

static int
adapter_load(struct cell_core *c, uint64_t now, struct unit *u,
    const struct conf_model *m, const struct conf_adapter *a,
    struct cell_out *out)
{
	struct unit_adapter *ua;
	struct order *o;

	if (!cell_delegated(c, u) || u->nadapters == UNIT_ADAPTERS_MAX ||
	    pool_used(u) + a->memory_mb > u->conf.adapter_pool_mb ||
	    in_flight(c) >= c->conf->store.adapters_in_flight)
		return -1;
	ua = &u->adapters[u->nadapters++];
	memset(ua, 0, sizeof(*ua));
	memcpy(ua->name, a->name, sizeof(ua->name));
	memcpy(ua->model, m->name, sizeof(ua->model));
	ua->memory_mb = a->memory_mb;
	ua->used = now;
	ua->order = ++c->ids->next;
	o = cell_order_send(c, now, u, ORDER_ADAPTER_LOAD, ua->order, out);
	memcpy(o->model, m->name, sizeof(o->model));
	memcpy(o->version, a->version, sizeof(o->version));
	memcpy(o->adapter, a->name, sizeof(o->adapter));
	o->memory_mb = a->memory_mb;
	c->totals.adapter_loads++;
	return 0;
}

/* Asks the engine to unload the adapter that was used longest ago. */
static void
adapter_evict(
    struct cell_core *c, uint64_t now, struct unit *u, struct cell_out *out)
{
	struct unit_adapter *oldest = NULL;
	struct unit_adapter *ua;
	struct order *o;
	uint32_t i;

	for (i = 0; i < u->nadapters; i++) {
		ua = &u->adapters[i];
		if (ua->order != 0)
			return; /* one at a time */
		if (ua->resident && (oldest == NULL || ua->used < oldest->used))
			oldest = ua;
	}
	if (oldest == NULL || now < oldest->late_until ||
	    now < oldest->used + COLD_NS)
		return;
	oldest->resident = 0;
	oldest->unloading = 1;
	oldest->order = ++c->ids->next;
	o = cell_order_send(
	    c, now, u, ORDER_ADAPTER_UNLOAD, oldest->order, out);
	memcpy(o->model, oldest->model, sizeof(o->model));
	memcpy(o->adapter, oldest->name, sizeof(o->adapter));
}

/* Work waits for an adapter: loads it where its model is. */
void
cell_adapter_want(
    struct cell_core *c, uint64_t now, const char *name, struct cell_out *out)
{
	const struct conf_adapter *a = NULL;
	const struct conf_model *m;
	struct unit_adapter *ua;
	struct unit *u;
	uint32_t i;

	m = adapter_find(c->conf, name, &a);
	if (m == NULL)
		return;
	for (i = 0; i < c->nunits; i++) {
		ua = unit_adapter(c->units[i], name);
		if (ua == NULL)
			continue;
		ua->used = now;
		if (ua->resident || ua->order != 0)
			return;
	}
	for (i = 0; i < c->nunits; i++) {
		u = c->units[i];
		if (holds_model(u, m->name) && !u->conf.leaving &&
		    adapter_load(c, now, u, m, a, out) == 0)
			return;
	}
	for (i = 0; i < c->nunits; i++) {
		if (holds_model(c->units[i], m->name) &&
		    cell_delegated(c, c->units[i]))
			adapter_evict(c, now, c->units[i], out);
	}
}

/* Loads the adapters of resident models while the pool has room. */
void
cell_adapter_tick(
    struct cell_core *c, uint64_t now, struct unit *u, struct cell_out *out)
{
	const struct conf_model *m;
	uint32_t i;
	size_t k;

	if (!cell_delegated(c, u) || u->conf.leaving ||
	    !unit_fresh(c, u, now) || u->engine == 0)
		return;
	for (i = u->nadapters; i > 0; i--) {
		if (!u->adapters[i - 1].resident &&
		    u->adapters[i - 1].order == 0 &&
		    now >= u->adapters[i - 1].late_until)
			adapter_drop(u, i - 1);
	}
	for (i = 0; i < u->ledger.n; i++) {
		m = conf_find_model(c->conf, u->ledger.entries[i].model);
		if (m == NULL || !holds_model(u, m->name))
			continue;
		for (k = 0; k < m->nadapters; k++) {
			if (unit_adapter(u, m->adapters[k].name) == NULL)
				adapter_load(
				    c, now, u, m, &m->adapters[k], out);
		}
	}
}

static void
adapter_drop(struct unit *u, uint32_t i)
{
	u->adapters[i] = u->adapters[--u->nadapters];
}

int
cell_adapter_result(struct cell_core *c, uint64_t now, struct unit *u,
    const struct order_result *r)
{
	struct unit_adapter *ua;
	uint32_t i;

	for (i = 0; i < u->nadapters; i++) {
		ua = &u->adapters[i];
		if (ua->order != r->id || r->id == 0)
			continue;
		ua->order = 0;
		u->changed_at = now;
		if (r->outcome == ORDER_UNKNOWN)
			ua->late_until = now + c->config.late_ns;
		else if (r->outcome != ORDER_DONE)
			ua->late_until = now + RETRY_NS;
		ua->resident = r->outcome == ORDER_DONE && !ua->unloading;
		ua->unloading = 0;
		return 1;
	}
	return 0;
}

/* What the engine reports is the truth, once nothing is under way. */
void
cell_adapter_index(struct unit *u, uint64_t now, const struct order_result *r)
{
	const struct order_loaded *ld;
	struct unit_adapter *ua;
	uint32_t i;

	for (i = 0; i < u->nadapters; i++) {
		if (u->adapters[i].order == 0)
			u->adapters[i].resident = 0;
	}
	for (i = 0; i < r->nloaded; i++) {
		ld = &r->loaded[i];
		if (ld->adapter[0] == '\0')
			continue;
		ua = unit_adapter(u, ld->adapter);
		if (ua == NULL && u->nadapters < UNIT_ADAPTERS_MAX) {
			ua = &u->adapters[u->nadapters++];
			memset(ua, 0, sizeof(*ua));
			memcpy(ua->name, ld->adapter, sizeof(ua->name));
			memcpy(ua->model, ld->model, sizeof(ua->model));
			ua->memory_mb = ld->memory_mb;
			ua->used = now;
		}
		if (ua != NULL && ua->order == 0)
			ua->resident = 1;
	}
}
