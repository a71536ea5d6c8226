/*
 * Orders to engines.  The ledger is written before an order is sent; memory
 * is freed only when the engine has confirmed and nothing sent earlier can
 * still arrive.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_int.h"
#include "mem.h"

#define RETRY_NS (1 * NSEC_PER_SEC)
#define STORE_BURST 2.0

static int store_take(struct cell_core *, uint64_t);
static uint32_t loads_in_flight(const struct cell_core *);
static void entry_send(struct cell_core *, uint64_t, struct unit *,
    struct ledger_entry *, struct cell_out *);
static int entry_settle(
    struct cell_core *, uint64_t, struct unit *, struct ledger *);
static int settle_due(const struct unit *);
static int settle_one(
    struct cell_core *, uint64_t, struct ledger *, struct ledger_entry *);
static void poll_engine(
    struct cell_core *, uint64_t, struct unit *, struct cell_out *);
static struct ledger_entry *entry_by_order(struct unit *, uint64_t);
static void on_entry(struct cell_core *, uint64_t, struct unit *,
    struct ledger_entry *, const struct order_result *);
static void on_index(struct cell_core *, uint64_t, struct unit *,
    const struct order_result *, struct cell_out *);
static const struct order_loaded *index_find(
    const struct order_result *, const struct ledger_entry *);
static void mark_missing(struct unit *, const struct order_result *, uint64_t);
static int restart(
    struct cell_core *, uint64_t, struct unit *, struct ledger *, uint64_t);
static int adopt(struct unit *, struct ledger *, const struct order_result *);
static int reload_missing(struct cell_core *, struct ledger *);
static int take_delegation(struct cell_core *, struct unit *, struct ledger *);

/* Whether the store's rate allows one more load now. */
static int
store_take(struct cell_core *c, uint64_t now)
{
	double rate = c->conf->store.loads_per_second;

	c->store_tokens +=
	    rate * (double)(now - c->store_at) / (double)NSEC_PER_SEC;
	c->store_at = now;
	if (c->store_tokens > STORE_BURST)
		c->store_tokens = STORE_BURST;
	if (c->store_tokens < 1.0)
		return 0;
	c->store_tokens -= 1.0;
	return 1;
}

static uint32_t
loads_in_flight(const struct cell_core *c)
{
	uint32_t n = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nunits; i++) {
		for (k = 0; k < c->units[i]->ledger.n; k++)
			n += c->units[i]->ledger.entries[k].state ==
				ENTRY_LOADING &&
			    c->units[i]->ledger.entries[k].order != 0;
		n += c->units[i]->spare_used && c->units[i]->spare.order != 0;
	}
	return n;
}

struct order *
cell_order_send(struct cell_core *c, uint64_t now, struct unit *u,
    enum order_kind kind, uint64_t id, struct cell_out *out)
{
	struct order *o;

	o = mem_alloc(sizeof(*o));
	o->id = id;
	o->kind = kind;
	memcpy(o->backend, u->conf.name, sizeof(o->backend));
	memcpy(o->addr, u->conf.address, sizeof(o->addr));
	o->fence = ownership_fence(c->own);
	o->engine = u->engine;
	o->deadline = now + c->config.order_ns;
	o->send_until = now + c->config.own.margin_ns;
	TAILQ_INSERT_TAIL(out->orders, o, entry);
	return o;
}

static void
entry_send(struct cell_core *c, uint64_t now, struct unit *u,
    struct ledger_entry *en, struct cell_out *out)
{
	struct order *o;

	en->order = ++c->ids->next;
	en->order_fence = ownership_fence(c->own);
	o = cell_order_send(c, now, u,
	    en->state == ENTRY_LOADING ? ORDER_LOAD : ORDER_UNLOAD, en->order,
	    out);
	memcpy(o->model, en->model, sizeof(o->model));
	memcpy(o->version, en->version, sizeof(o->version));
	o->accelerator = en->accelerator;
	o->memory_mb = en->memory_mb;
}

static int
settle_one(struct cell_core *c, uint64_t now, struct ledger *l,
    struct ledger_entry *en)
{
	int quiet = en->order == 0 && now >= en->late_until;

	if (en->state == ENTRY_LOADING && en->confirmed) {
		en->state = ENTRY_RESIDENT;
		if (quiet && ledger_only(en, &c->self))
			en->nsenders = 0;
		return 1;
	}
	if (en->state == ENTRY_UNLOADING && en->confirmed && quiet &&
	    ledger_only(en, &c->self)) {
		ledger_remove(l, en->id);
		return 1;
	}
	/* A sender of ours that can send nothing more. */
	if (en->state == ENTRY_RESIDENT && quiet && en->nsenders != 0 &&
	    ledger_only(en, &c->self)) {
		en->nsenders = 0;
		return 1;
	}
	return 0;
}

/* Whether any entry, or a copy in delegated memory, is not settled. */
static int
settle_due(const struct unit *u)
{
	uint32_t i;

	for (i = 0; i < u->ledger.n; i++) {
		if (u->ledger.entries[i].state != ENTRY_RESIDENT ||
		    u->ledger.entries[i].nsenders != 0)
			return 1;
	}
	return u->spare_used;
}

/* Brings the ledger up to what engines confirmed.  Returns 1 on change. */
static int
entry_settle(
    struct cell_core *c, uint64_t now, struct unit *u, struct ledger *l)
{
	uint32_t i;
	int changed = u->spare_used && u->spare.order == 0;

	for (i = l->n; i > 0; i--)
		changed |= settle_one(c, now, l, &l->entries[i - 1]);
	return changed;
}

static void
poll_engine(
    struct cell_core *c, uint64_t now, struct unit *u, struct cell_out *out)
{
	const struct node_id *owner = &u->ledger.delegation.owner;

	if (u->poll != 0 || now < u->poll_at)
		return;
	u->poll_at = now + c->config.poll_ns;
	u->poll_sent = now;
	u->poll = ++c->ids->next;
	u->poll_cleared = owner->addr[0] != '\0' &&
	    ((u->conf.fencing && u->barrier == ownership_fence(c->own)) ||
		cell_holds_nothing(c, owner));
	cell_order_send(c, now, u, ORDER_INDEX, u->poll, out);
}

void
cell_order_tick(
    struct cell_core *c, uint64_t now, struct unit *u, struct cell_out *out)
{
	struct ledger_entry *en;
	struct ledger *l;
	uint32_t i;

	poll_engine(c, now, u, out);
	if (u->step != UNIT_READY || !ownership_valid(c->own, now) ||
	    u->ledger.fence != ownership_fence(c->own) || !settle_due(u))
		return;
	l = cell_ledger_edit(c, now, u);
	if (l != NULL && entry_settle(c, now, u, l)) {
		cell_ledger_write(c, u, l, out);
		return;
	}
	free(l);
	for (i = 0; i < u->ledger.n; i++) {
		en = &u->ledger.entries[i];
		if (en->order != 0 || now < en->retry_at ||
		    en->state == ENTRY_RESIDENT || en->confirmed)
			continue;
		if (en->state == ENTRY_LOADING &&
		    (loads_in_flight(c) >= c->conf->store.concurrent ||
			!store_take(c, now)))
			continue;
		entry_send(c, now, u, en, out);
	}
}

static struct ledger_entry *
entry_by_order(struct unit *u, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < u->ledger.n; i++) {
		if (u->ledger.entries[i].order == id)
			return &u->ledger.entries[i];
	}
	if (u->spare_used && u->spare.order == id)
		return &u->spare;
	return NULL;
}

static void
on_entry(struct cell_core *c, uint64_t now, struct unit *u,
    struct ledger_entry *en, const struct order_result *r)
{
	en->order = 0;
	u->changed_at = now;
	switch (r->outcome) {
	case ORDER_DONE:
		en->confirmed = 1;
		en->missing = 0;
		if (en->state == ENTRY_LOADING)
			c->totals.loads++;
		else
			c->totals.unloads++;
		if (u->conf.fencing &&
		    en->order_fence == ownership_fence(c->own))
			u->barrier = en->order_fence;
		return;
	case ORDER_STALE:
		/* The engine has seen a later owner. */
		if (en->order_fence == ownership_fence(c->own))
			ownership_superseded(
			    c->own, ownership_fence(c->own) + 1);
		break;
	case ORDER_REFUSED:
		break;
	case ORDER_UNKNOWN:
		en->late_until = now + c->config.late_ns;
		break;
	}
	c->totals.orders_failed++;
	en->retry_at = now + RETRY_NS;
}

static const struct order_loaded *
index_find(const struct order_result *r, const struct ledger_entry *en)
{
	uint32_t i;

	for (i = 0; i < r->nloaded; i++) {
		if (r->loaded[i].adapter[0] == '\0' &&
		    strcmp(r->loaded[i].model, en->model) == 0 &&
		    strcmp(r->loaded[i].version, en->version) == 0)
			return &r->loaded[i];
	}
	return NULL;
}

/* Compares the entries with what the engine reports. */
static void
mark_missing(struct unit *u, const struct order_result *r, uint64_t now)
{
	struct ledger_entry *en;
	uint32_t i;
	int there;

	(void)now;
	for (i = 0; i < u->ledger.n; i++) {
		en = &u->ledger.entries[i];
		there = index_find(r, en) != NULL;
		en->missing = !there;
		if (en->order != 0)
			continue;
		/* An answer was lost, or an order took effect late. */
		if (en->state == ENTRY_LOADING)
			en->confirmed = there;
		else if (en->state == ENTRY_UNLOADING)
			en->confirmed = !there;
	}
}

/*
 * The engine has a new incarnation: all its memory is free.  Entries keep
 * their memory and are loaded again in place.
 */
static int
restart(struct cell_core *c, uint64_t now, struct unit *u, struct ledger *l,
    uint64_t engine)
{
	struct ledger_entry *en;
	uint32_t i;

	if (l->engine == engine)
		return 0;
	for (i = l->n; i > 0 && l->engine != 0; i--) {
		en = &l->entries[i - 1];
		en->confirmed = 0;
		if (en->state == ENTRY_UNLOADING) {
			if (en->order == 0 && now >= en->late_until &&
			    ledger_only(en, &c->self))
				ledger_remove(l, en->id);
			continue;
		}
		en->state = ENTRY_LOADING;
		ledger_sender(en, &c->self);
	}
	l->engine = engine;
	(void)u;
	return 1;
}

/* Promises memory to what is loaded without an entry. */
static int
adopt(struct unit *u, struct ledger *l, const struct order_result *r)
{
	const struct order_loaded *ld;
	uint32_t i;
	int changed = 0;

	for (i = 0; i < r->nloaded; i++) {
		ld = &r->loaded[i];
		if (ld->adapter[0] != '\0' || l->n == LEDGER_ENTRIES_MAX ||
		    ld->accelerator >= l->naccelerators ||
		    ledger_model(l, ld->model, ld->version) != NULL)
			continue;
		if (u->spare_used && strcmp(u->spare.model, ld->model) == 0)
			continue;
		ledger_adopt(
		    l, ld->model, ld->version, ld->accelerator, ld->memory_mb);
		changed = 1;
	}
	return changed;
}

/* Loads again what a late order has unloaded. */
static int
reload_missing(struct cell_core *c, struct ledger *l)
{
	uint32_t i;
	int changed = 0;

	for (i = 0; i < l->n; i++) {
		if (l->entries[i].state != ENTRY_RESIDENT ||
		    !l->entries[i].missing || l->entries[i].order != 0)
			continue;
		l->entries[i].state = ENTRY_LOADING;
		l->entries[i].confirmed = 0;
		ledger_sender(&l->entries[i], &c->self);
		changed = 1;
	}
	return changed;
}

/* The earlier holder of the delegated memory holds no order any more. */
static int
take_delegation(struct cell_core *c, struct unit *u, struct ledger *l)
{
	if (!u->poll_cleared ||
	    (strcmp(l->delegation.owner.addr, c->self.addr) == 0 &&
		l->delegation.owner.incarnation == c->self.incarnation))
		return 0;
	memset(&l->delegation, 0, sizeof(l->delegation));
	l->delegation.owner = c->self;
	return 1;
}

static void
on_index(struct cell_core *c, uint64_t now, struct unit *u,
    const struct order_result *r, struct cell_out *out)
{
	struct ledger *l;
	int changed;

	u->poll = 0;
	if (r->outcome != ORDER_DONE)
		return;
	u->answered = now;
	if (u->engine != 0 && u->engine != r->engine) {
		u->nadapters = 0;
		if (u->spare_used && u->spare.order == 0)
			u->spare_used = 0;
	}
	u->engine = r->engine;
	u->batch = r->batch;
	/* The answer may be older than the last change. */
	if (u->poll_sent <= u->changed_at)
		return;
	cell_adapter_index(u, now, r);
	mark_missing(u, r, now);
	l = cell_ledger_edit(c, now, u);
	if (l == NULL)
		return;
	changed = restart(c, now, u, l, r->engine);
	changed |= u->spare_used && u->spare.order == 0;
	changed |= adopt(u, l, r);
	changed |= reload_missing(c, l);
	changed |= take_delegation(c, u, l);
	if (changed)
		cell_ledger_write(c, u, l, out);
	else
		free(l);
}

int
cell_order(struct cell_core *c, uint64_t now, const struct order_result *r,
    struct cell_out *out)
{
	struct ledger_entry *en;
	struct unit *u;
	uint32_t i;

	for (i = 0; i < c->nunits; i++) {
		u = c->units[i];
		if (u->poll == r->id && r->id != 0) {
			on_index(c, now, u, r, out);
			return 1;
		}
		en = entry_by_order(u, r->id);
		if (en != NULL) {
			on_entry(c, now, u, en, r);
			return 1;
		}
		if (cell_adapter_result(c, now, u, r))
			return 1;
	}
	return 0;
}

/* Whether an order of this process is in flight or may arrive late. */
int
cell_orders_open(const struct cell_core *c, uint64_t now)
{
	const struct ledger_entry *en;
	const struct unit *u;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nunits; i++) {
		u = c->units[i];
		for (k = 0; k < u->ledger.n; k++) {
			en = &u->ledger.entries[k];
			if (en->order != 0 || now < en->late_until)
				return 1;
		}
		if (u->spare_used &&
		    (u->spare.order != 0 || now < u->spare.late_until))
			return 1;
		for (k = 0; k < u->nadapters; k++) {
			if (u->adapters[k].order != 0 ||
			    now < u->adapters[k].late_until)
				return 1;
		}
	}
	return 0;
}

void
order_destroy(struct order *o)
{
	free(o);
}
