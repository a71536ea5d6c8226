/*
 * Adapters, which use the pool that is reserved on every accelerator.  They
 * need no ledger entries, because only the process that the ledger delegates
 * memory to may use the pool.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_int.h"

#define ADAPTER_RETRY_NS (500 * NSEC_PER_MSEC)
#define ADAPTER_IDLE_NS (30 * NSEC_PER_SEC) /* then evictable */

static const struct conf_model *conf_find_adapter(
    const struct conf *, const char *, const struct conf_adapter **);
static struct backend_adapter *backend_find_adapter(
    struct cell_backend *, const char *);
static uint64_t adapter_pool_used_mb(const struct cell_backend *);
static uint32_t adapter_orders_in_flight(const struct cell_core *);
static int backend_holds_model(const struct cell_backend *, const char *);
static int adapter_load(struct cell_core *, uint64_t, struct cell_backend *,
    const struct conf_model *, const struct conf_adapter *, struct cell_out *);
static void adapter_evict(
    struct cell_core *, uint64_t, struct cell_backend *, struct cell_out *);
static void adapter_forget(struct cell_backend *, uint32_t);

static const struct conf_model *
conf_find_adapter(
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

static struct backend_adapter *
backend_find_adapter(struct cell_backend *b, const char *name)
{
	uint32_t i;

	for (i = 0; i < b->nadapters; i++) {
		if (strcmp(b->adapters[i].name, name) == 0)
			return &b->adapters[i];
	}
	return NULL;
}

/* All adapters of a backend server count against one pool. */
static uint64_t
adapter_pool_used_mb(const struct cell_backend *b)
{
	uint64_t used = 0;
	uint32_t i;

	for (i = 0; i < b->nadapters; i++)
		used += b->adapters[i].memory_mb;
	return used;
}

static uint32_t
adapter_orders_in_flight(const struct cell_core *c)
{
	uint32_t n = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nbackends; i++) {
		for (k = 0; k < c->backends[i]->nadapters; k++)
			n += c->backends[i]->adapters[k].order_id != 0;
	}
	return n;
}

static int
backend_holds_model(const struct cell_backend *b, const char *model)
{
	const struct ledger_entry *en;
	uint32_t i;

	for (i = 0; i < b->ledger.nentries; i++) {
		en = &b->ledger.entries[i];
		if (strcmp(en->model, model) == 0 && !en->missing &&
		    (en->state == ENTRY_RESIDENT ||
			(en->state == ENTRY_LOADING && en->confirmed)))
			return 1;
	}
	return 0;
}

static int
adapter_load(struct cell_core *c, uint64_t now, struct cell_backend *b,
    const struct conf_model *m, const struct conf_adapter *a,
    struct cell_out *out)
{
	struct backend_adapter *ad;
	struct order *o;

	if (!cell_holds_delegation(c, now, b) ||
	    b->nadapters == BACKEND_ADAPTERS_MAX ||
	    adapter_pool_used_mb(b) + a->memory_mb > b->conf.adapter_pool_mb ||
	    adapter_orders_in_flight(c) >= c->conf->store.adapters_in_flight)
		return -1;
	ad = &b->adapters[b->nadapters++];
	memset(ad, 0, sizeof(*ad));
	memcpy(ad->name, a->name, sizeof(ad->name));
	memcpy(ad->model, m->name, sizeof(ad->model));
	ad->memory_mb = a->memory_mb;
	ad->used_at = now;
	ad->order_id = ++c->ids->next;
	o = cell_order_send(c, now, b, ORDER_ADAPTER_LOAD, ad->order_id, out);
	memcpy(o->model, m->name, sizeof(o->model));
	memcpy(o->version, a->version, sizeof(o->version));
	memcpy(o->adapter, a->name, sizeof(o->adapter));
	o->memory_mb = a->memory_mb;
	c->totals.adapter_loads++;
	return 0;
}

/* Unloads the least recently used adapter, if it has been idle long enough. */
static void
adapter_evict(struct cell_core *c, uint64_t now, struct cell_backend *b,
    struct cell_out *out)
{
	struct backend_adapter *oldest = NULL;
	struct backend_adapter *ad;
	struct order *o;
	uint32_t i;

	for (i = 0; i < b->nadapters; i++) {
		ad = &b->adapters[i];
		if (ad->order_id != 0)
			return; /* one order at a time */
		if (ad->resident &&
		    (oldest == NULL || ad->used_at < oldest->used_at))
			oldest = ad;
	}
	if (oldest == NULL || now < oldest->in_doubt_until ||
	    now < oldest->used_at + ADAPTER_IDLE_NS)
		return;
	oldest->resident = 0;
	oldest->unloading = 1;
	oldest->order_id = ++c->ids->next;
	o = cell_order_send(
	    c, now, b, ORDER_ADAPTER_UNLOAD, oldest->order_id, out);
	memcpy(o->model, oldest->model, sizeof(o->model));
	memcpy(o->adapter, oldest->name, sizeof(o->adapter));
}

/*
 * Loads an adapter that a request waits for on a backend server that has its
 * model.  When every pool is full, starts an eviction on each of them instead.
 */
void
cell_adapter_request(
    struct cell_core *c, uint64_t now, const char *name, struct cell_out *out)
{
	const struct conf_adapter *a = NULL;
	const struct conf_model *m;
	struct backend_adapter *ad;
	struct cell_backend *b;
	uint32_t i;

	m = conf_find_adapter(c->conf, name, &a);
	if (m == NULL)
		return;
	for (i = 0; i < c->nbackends; i++) {
		ad = backend_find_adapter(c->backends[i], name);
		if (ad == NULL)
			continue;
		ad->used_at = now;
		if (ad->resident || ad->order_id != 0)
			return;
	}
	for (i = 0; i < c->nbackends; i++) {
		b = c->backends[i];
		if (backend_holds_model(b, m->name) && !b->conf.leaving &&
		    adapter_load(c, now, b, m, a, out) == 0)
			return;
	}
	for (i = 0; i < c->nbackends; i++) {
		if (backend_holds_model(c->backends[i], m->name) &&
		    cell_holds_delegation(c, now, c->backends[i]))
			adapter_evict(c, now, c->backends[i], out);
	}
}

/* Loads the declared adapters of resident models while the pool has room. */
void
cell_adapter_tick(struct cell_core *c, uint64_t now, struct cell_backend *b,
    struct cell_out *out)
{
	const struct conf_model *m;
	uint32_t i;
	size_t k;

	if (!cell_holds_delegation(c, now, b) || b->conf.leaving ||
	    !cell_backend_responsive(c, b, now) || b->engine_incarnation == 0)
		return;
	for (i = b->nadapters; i > 0; i--) {
		if (!b->adapters[i - 1].resident &&
		    b->adapters[i - 1].order_id == 0 &&
		    now >= b->adapters[i - 1].in_doubt_until)
			adapter_forget(b, i - 1);
	}
	for (i = 0; i < b->ledger.nentries; i++) {
		m = conf_find_model(c->conf, b->ledger.entries[i].model);
		if (m == NULL || !backend_holds_model(b, m->name))
			continue;
		for (k = 0; k < m->nadapters; k++) {
			if (backend_find_adapter(b, m->adapters[k].name) ==
			    NULL)
				adapter_load(
				    c, now, b, m, &m->adapters[k], out);
		}
	}
}

static void
adapter_forget(struct cell_backend *b, uint32_t i)
{
	b->adapters[i] = b->adapters[--b->nadapters];
}

int
cell_adapter_result(struct cell_core *c, uint64_t now, struct cell_backend *b,
    const struct order_result *r)
{
	struct backend_adapter *ad;
	uint32_t i;

	for (i = 0; i < b->nadapters; i++) {
		ad = &b->adapters[i];
		if (ad->order_id != r->id || r->id == 0)
			continue;
		ad->order_id = 0;
		b->changed_at = now;
		if (r->outcome == ORDER_UNKNOWN)
			ad->in_doubt_until = now + c->config.order_in_doubt_ns;
		else if (r->outcome != ORDER_DONE)
			ad->in_doubt_until = now + ADAPTER_RETRY_NS;
		ad->resident = r->outcome == ORDER_DONE && !ad->unloading;
		ad->unloading = 0;
		return 1;
	}
	return 0;
}

/* The engine's report decides, except for adapters with an order in flight. */
void
cell_adapter_reconcile(
    struct cell_backend *b, uint64_t now, const struct order_result *r)
{
	const struct order_loaded *ld;
	struct backend_adapter *ad;
	uint32_t i;

	for (i = 0; i < b->nadapters; i++) {
		if (b->adapters[i].order_id == 0)
			b->adapters[i].resident = 0;
	}
	for (i = 0; i < r->nloaded; i++) {
		ld = &r->loaded[i];
		if (ld->adapter[0] == '\0')
			continue;
		ad = backend_find_adapter(b, ld->adapter);
		if (ad == NULL && b->nadapters < BACKEND_ADAPTERS_MAX) {
			ad = &b->adapters[b->nadapters++];
			memset(ad, 0, sizeof(*ad));
			memcpy(ad->name, ld->adapter, sizeof(ad->name));
			memcpy(ad->model, ld->model, sizeof(ad->model));
			ad->memory_mb = ld->memory_mb;
			ad->used_at = now;
		}
		if (ad != NULL && ad->order_id == 0)
			ad->resident = 1;
	}
}
