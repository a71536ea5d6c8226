/*
 * Orders to engines.  Memory is reserved in the stored ledger before a load
 * order is sent, and released only after the engine has confirmed the unload
 * and no earlier order can still arrive.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_int.h"
#include "mem.h"

#define ORDER_RETRY_NS (1 * NSEC_PER_SEC)
#define STORE_BURST_LOADS 2.0
/* An unload relies on lists of copies that were asked for since. */
#define LISTING_MAX_AGE_NS (3 * NSEC_PER_SEC)

static int take_store_token(struct cell_core *, uint64_t);
static uint32_t loads_in_flight(const struct cell_core *);
static void send_entry_order(struct cell_core *, uint64_t,
    struct cell_backend *, struct ledger_entry *, struct cell_out *);
static void send_due_orders(
    struct cell_core *, uint64_t, struct cell_backend *, struct cell_out *);
static int may_unload(const struct cell_core *, const struct ledger_entry *);
static int settle_ledger(
    struct cell_core *, uint64_t, struct cell_backend *, struct ledger *);
static int settlement_due(const struct cell_backend *);
static int settle_entry(
    struct cell_core *, uint64_t, struct ledger *, struct ledger_entry *);
static void poll_engine(
    struct cell_core *, uint64_t, struct cell_backend *, struct cell_out *);
static struct ledger_entry *find_entry_by_order(
    struct cell_backend *, uint64_t);
static void handle_entry_result(struct cell_core *, uint64_t,
    struct cell_backend *, struct ledger_entry *, const struct order_result *);
static void handle_index_result(struct cell_core *, uint64_t,
    struct cell_backend *, const struct order_result *, struct cell_out *);
static const struct order_loaded *find_in_index(
    const struct order_result *, const struct ledger_entry *);
static void mark_missing(
    struct cell_backend *, const struct order_result *, uint64_t);
static int reload_after_restart(struct cell_core *, uint64_t,
    struct cell_backend *, struct ledger *, uint64_t);
static int adopt_loaded_models(
    struct cell_backend *, struct ledger *, const struct order_result *);
static int reload_missing(struct cell_core *, struct ledger *);
static int take_over_delegation(
    struct cell_core *, struct cell_backend *, struct ledger *);

/* Token bucket that limits how often loads start, by loads_per_second. */
static int
take_store_token(struct cell_core *c, uint64_t now)
{
	double rate = c->conf->store.loads_per_second;

	c->store_tokens +=
	    rate * (double)(now - c->store_refilled_at) / (double)NSEC_PER_SEC;
	c->store_refilled_at = now;
	if (c->store_tokens > STORE_BURST_LOADS)
		c->store_tokens = STORE_BURST_LOADS;
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

	for (i = 0; i < c->nbackends; i++) {
		for (k = 0; k < c->backends[i]->ledger.nentries; k++)
			n += c->backends[i]->ledger.entries[k].state ==
				ENTRY_LOADING &&
			    c->backends[i]->ledger.entries[k].order_id != 0;
		n += c->backends[i]->has_delegated_copy &&
		    c->backends[i]->delegated_copy.order_id != 0;
	}
	return n;
}

struct order *
cell_order_send(struct cell_core *c, uint64_t now, struct cell_backend *b,
    enum order_kind kind, uint64_t id, struct cell_out *out)
{
	struct order *o;

	o = mem_alloc(sizeof(*o));
	o->id = id;
	o->kind = kind;
	memcpy(o->backend, b->conf.name, sizeof(o->backend));
	memcpy(o->addr, b->conf.address, sizeof(o->addr));
	o->fence = ownership_fencing_token(c->ownership);
	o->engine_incarnation = b->engine_incarnation;
	o->deadline = now + c->config.order_timeout_ns;
	o->send_until = now + c->config.ownership.margin_ns;
	TAILQ_INSERT_TAIL(out->orders, o, entry);
	return o;
}

static void
send_entry_order(struct cell_core *c, uint64_t now, struct cell_backend *b,
    struct ledger_entry *en, struct cell_out *out)
{
	struct order *o;

	en->order_id = ++c->ids->next;
	en->order_fencing_token = ownership_fencing_token(c->ownership);
	o = cell_order_send(c, now, b,
	    en->state == ENTRY_LOADING ? ORDER_LOAD : ORDER_UNLOAD,
	    en->order_id, out);
	memcpy(o->model, en->model, sizeof(o->model));
	memcpy(o->version, en->version, sizeof(o->version));
	o->accelerator = en->accelerator;
	o->memory_mb = en->memory_mb;
}

/*
 * Whether another copy serves the model, as far as is known now.  The engine of
 * the one that the move relied on may have restarted during the ledger's write.
 */
static int
may_unload(const struct cell_core *c, const struct ledger_entry *en)
{
	const struct conf_model *m = conf_find_model(c->conf, en->model);

	return m == NULL || cell_serves(c, m->name, m->version) ||
	    (!conf_is_home_cell(m, c->name) &&
		c->env.served_elsewhere(c->env.ctx, m->name, c->name));
}

static int
settle_entry(struct cell_core *c, uint64_t now, struct ledger *l,
    struct ledger_entry *en)
{
	int quiet = en->order_id == 0 && now >= en->in_doubt_until;

	if (en->state == ENTRY_LOADING && en->confirmed) {
		en->state = ENTRY_RESIDENT;
		if (quiet && ledger_is_sole_sender(en, &c->self))
			en->nsenders = 0;
		return 1;
	}
	if (en->state == ENTRY_UNLOADING && en->confirmed && quiet &&
	    ledger_is_sole_sender(en, &c->self)) {
		ledger_remove_entry(l, en->id);
		return 1;
	}
	/* The copy is there and needed, and no unload can arrive. */
	if (en->state == ENTRY_UNLOADING && en->listed && quiet &&
	    ledger_is_sole_sender(en, &c->self) && !may_unload(c, en)) {
		en->state = ENTRY_RESIDENT;
		en->nsenders = 0;
		return 1;
	}
	/* This process is the last sender and has nothing to send. */
	if (en->state == ENTRY_RESIDENT && quiet && en->nsenders != 0 &&
	    ledger_is_sole_sender(en, &c->self)) {
		en->nsenders = 0;
		return 1;
	}
	return 0;
}

/* Whether an entry has a move or senders, or a delegated copy exists. */
static int
settlement_due(const struct cell_backend *b)
{
	uint32_t i;

	for (i = 0; i < b->ledger.nentries; i++) {
		if (b->ledger.entries[i].state != ENTRY_RESIDENT ||
		    b->ledger.entries[i].nsenders != 0)
			return 1;
	}
	return b->has_delegated_copy;
}

/* Applies confirmed loads and unloads to the ledger.  Returns 1 on change. */
static int
settle_ledger(
    struct cell_core *c, uint64_t now, struct cell_backend *b, struct ledger *l)
{
	uint32_t i;
	int changed = cell_delegated_copy_merged(b, l);

	for (i = l->nentries; i > 0; i--)
		changed |= settle_entry(c, now, l, &l->entries[i - 1]);
	return changed;
}

static void
poll_engine(struct cell_core *c, uint64_t now, struct cell_backend *b,
    struct cell_out *out)
{
	const struct node_id *owner = &b->ledger.delegation.owner;

	if (b->poll_id != 0 || now < b->poll_at)
		return;
	b->poll_at = now + c->config.poll_interval_ns;
	b->poll_sent_at = now;
	b->poll_id = ++c->ids->next;
	b->poll_excludes_others = owner->addr[0] != '\0' &&
	    ((b->conf.fencing &&
		 b->accepted_fencing_token ==
		     ownership_fencing_token(c->ownership)) ||
		cell_sender_cleared(c, owner));
	cell_order_send(c, now, b, ORDER_INDEX, b->poll_id, out);
}

void
cell_listing_expire(struct cell_backend *b, uint64_t now)
{
	uint32_t i;

	if (now < b->listed_at + LISTING_MAX_AGE_NS)
		return;
	for (i = 0; i < b->ledger.nentries; i++)
		b->ledger.entries[i].listed = 0;
}

static void
send_due_orders(struct cell_core *c, uint64_t now, struct cell_backend *b,
    struct cell_out *out)
{
	struct ledger_entry *en;
	uint32_t i;

	for (i = 0; i < b->ledger.nentries; i++) {
		en = &b->ledger.entries[i];
		if (en->order_id != 0 || now < en->retry_at ||
		    en->state == ENTRY_RESIDENT || en->confirmed)
			continue;
		if (en->state == ENTRY_UNLOADING && !may_unload(c, en))
			continue;
		if (en->state == ENTRY_LOADING &&
		    (loads_in_flight(c) >= c->conf->store.concurrent ||
			!take_store_token(c, now)))
			continue;
		send_entry_order(c, now, b, en, out);
	}
}

void
cell_order_tick(struct cell_core *c, uint64_t now, struct cell_backend *b,
    struct cell_out *out)
{
	struct ledger *l;

	poll_engine(c, now, b, out);
	if (b->ledger_step != LEDGER_READY ||
	    !ownership_valid(c->ownership, now) ||
	    b->ledger.fence != ownership_fencing_token(c->ownership) ||
	    !settlement_due(b))
		return;
	l = cell_ledger_edit(c, now, b);
	if (l != NULL && settle_ledger(c, now, b, l)) {
		cell_ledger_write(c, b, l, out);
		return;
	}
	free(l);
	send_due_orders(c, now, b, out);
}

static struct ledger_entry *
find_entry_by_order(struct cell_backend *b, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < b->ledger.nentries; i++) {
		if (b->ledger.entries[i].order_id == id)
			return &b->ledger.entries[i];
	}
	if (b->has_delegated_copy && b->delegated_copy.order_id == id)
		return &b->delegated_copy;
	return NULL;
}

static void
handle_entry_result(struct cell_core *c, uint64_t now, struct cell_backend *b,
    struct ledger_entry *en, const struct order_result *r)
{
	en->order_id = 0;
	/* The answer does not tell the engine's incarnation. */
	en->listed = 0;
	b->changed_at = now;
	switch (r->outcome) {
	case ORDER_DONE:
		en->confirmed = 1;
		en->missing = 0;
		if (en->state == ENTRY_LOADING)
			c->totals.loads++;
		else
			c->totals.unloads++;
		if (b->conf.fencing &&
		    en->order_fencing_token ==
			ownership_fencing_token(c->ownership))
			b->accepted_fencing_token = en->order_fencing_token;
		return;
	case ORDER_STALE:
		/* The engine has accepted a later owner's fencing token. */
		if (en->order_fencing_token ==
		    ownership_fencing_token(c->ownership))
			ownership_superseded(c->ownership,
			    ownership_fencing_token(c->ownership) + 1);
		break;
	case ORDER_REFUSED:
		break;
	case ORDER_UNKNOWN:
		en->in_doubt_until = now + c->config.order_in_doubt_ns;
		break;
	}
	c->totals.orders_failed++;
	en->retry_at = now + ORDER_RETRY_NS;
}

static const struct order_loaded *
find_in_index(const struct order_result *r, const struct ledger_entry *en)
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

/* Compares the entries with an INDEX answer. */
static void
mark_missing(struct cell_backend *b, const struct order_result *r, uint64_t now)
{
	struct ledger_entry *en;
	uint32_t i;
	int there;

	(void)now;
	b->listed_at = b->poll_sent_at;
	for (i = 0; i < b->ledger.nentries; i++) {
		en = &b->ledger.entries[i];
		there = find_in_index(r, en) != NULL;
		en->missing = !there;
		en->listed = there;
		if (en->order_id != 0)
			continue;
		/* The answer was lost, or the order took effect late. */
		if (en->state == ENTRY_LOADING)
			en->confirmed = there;
		else if (en->state == ENTRY_UNLOADING)
			en->confirmed = !there;
	}
}

/*
 * Handles a new incarnation of the engine, which has nothing loaded.  Entries
 * keep their reservation and are loaded again; those that were being unloaded
 * are removed, unless an order can still arrive.  Returns 1 on change.
 */
static int
reload_after_restart(struct cell_core *c, uint64_t now, struct cell_backend *b,
    struct ledger *l, uint64_t engine)
{
	struct ledger_entry *en;
	uint32_t i;

	if (l->engine_incarnation == engine)
		return 0;
	for (i = l->nentries; i > 0 && l->engine_incarnation != 0; i--) {
		en = &l->entries[i - 1];
		en->confirmed = 0;
		if (en->state == ENTRY_UNLOADING) {
			if (en->order_id == 0 && now >= en->in_doubt_until &&
			    ledger_is_sole_sender(en, &c->self))
				ledger_remove_entry(l, en->id);
			continue;
		}
		en->state = ENTRY_LOADING;
		ledger_add_sender(en, &c->self);
	}
	l->engine_incarnation = engine;
	(void)b;
	return 1;
}

/* Adds entries for loaded models that have none.  Returns 1 on change. */
static int
adopt_loaded_models(
    struct cell_backend *b, struct ledger *l, const struct order_result *r)
{
	const struct order_loaded *ld;
	uint32_t i;
	int changed = 0;

	for (i = 0; i < r->nloaded; i++) {
		ld = &r->loaded[i];
		if (ld->adapter[0] != '\0' ||
		    l->nentries == LEDGER_ENTRIES_MAX ||
		    ld->accelerator >= l->naccelerators ||
		    ledger_find_model(l, ld->model, ld->version) != NULL)
			continue;
		if (b->has_delegated_copy &&
		    strcmp(b->delegated_copy.model, ld->model) == 0)
			continue;
		ledger_adopt_copy(
		    l, ld->model, ld->version, ld->accelerator, ld->memory_mb);
		changed = 1;
	}
	return changed;
}

/* Reloads copies that a delayed order has unloaded.  Returns 1 on change. */
static int
reload_missing(struct cell_core *c, struct ledger *l)
{
	uint32_t i;
	int changed = 0;

	for (i = 0; i < l->nentries; i++) {
		if (l->entries[i].state != ENTRY_RESIDENT ||
		    !l->entries[i].missing || l->entries[i].order_id != 0)
			continue;
		l->entries[i].state = ENTRY_LOADING;
		l->entries[i].confirmed = 0;
		ledger_add_sender(&l->entries[i], &c->self);
		changed = 1;
	}
	return changed;
}

/*
 * Takes the delegated memory once its earlier owner can send no more orders.
 * Returns 1 on change.
 */
static int
take_over_delegation(
    struct cell_core *c, struct cell_backend *b, struct ledger *l)
{
	if (!b->poll_excludes_others ||
	    (strcmp(l->delegation.owner.addr, c->self.addr) == 0 &&
		l->delegation.owner.incarnation == c->self.incarnation))
		return 0;
	memset(&l->delegation, 0, sizeof(l->delegation));
	l->delegation.owner = c->self;
	return 1;
}

static void
handle_index_result(struct cell_core *c, uint64_t now, struct cell_backend *b,
    const struct order_result *r, struct cell_out *out)
{
	struct ledger *l;
	int changed;

	b->poll_id = 0;
	if (r->outcome != ORDER_DONE)
		return;
	b->answered_at = now;
	if (b->engine_incarnation != 0 &&
	    b->engine_incarnation != r->engine_incarnation) {
		b->nadapters = 0;
		if (b->has_delegated_copy && b->delegated_copy.order_id == 0)
			b->has_delegated_copy = 0;
	}
	b->engine_incarnation = r->engine_incarnation;
	b->batch = r->batch;
	/* The answer may not include the last change. */
	if (b->poll_sent_at <= b->changed_at)
		return;
	cell_adapter_reconcile(b, now, r);
	mark_missing(b, r, now);
	l = cell_ledger_edit(c, now, b);
	if (l == NULL)
		return;
	changed = reload_after_restart(c, now, b, l, r->engine_incarnation);
	changed |= cell_delegated_copy_merged(b, l);
	changed |= adopt_loaded_models(b, l, r);
	changed |= reload_missing(c, l);
	changed |= take_over_delegation(c, b, l);
	if (changed)
		cell_ledger_write(c, b, l, out);
	else
		free(l);
}

int
cell_handle_order_result(struct cell_core *c, uint64_t now,
    const struct order_result *r, struct cell_out *out)
{
	struct ledger_entry *en;
	struct cell_backend *b;
	uint32_t i;

	for (i = 0; i < c->nbackends; i++) {
		b = c->backends[i];
		if (b->poll_id == r->id && r->id != 0) {
			handle_index_result(c, now, b, r, out);
			return 1;
		}
		en = find_entry_by_order(b, r->id);
		if (en != NULL) {
			handle_entry_result(c, now, b, en, r);
			return 1;
		}
		if (cell_adapter_result(c, now, b, r))
			return 1;
	}
	return 0;
}

int
cell_orders_pending(const struct cell_core *c, uint64_t now)
{
	const struct ledger_entry *en;
	const struct cell_backend *b;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nbackends; i++) {
		b = c->backends[i];
		for (k = 0; k < b->ledger.nentries; k++) {
			en = &b->ledger.entries[k];
			if (en->order_id != 0 || now < en->in_doubt_until)
				return 1;
		}
		if (b->has_delegated_copy &&
		    (b->delegated_copy.order_id != 0 ||
			now < b->delegated_copy.in_doubt_until))
			return 1;
		for (k = 0; k < b->nadapters; k++) {
			if (b->adapters[k].order_id != 0 ||
			    now < b->adapters[k].in_doubt_until)
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
