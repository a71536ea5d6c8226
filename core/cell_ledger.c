/*
 * Reads and writes memory ledgers.  A new owner first rewrites each ledger with
 * its fencing number.  A ledger has at most one operation in flight; after a
 * write with an unknown result it is read again.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_int.h"
#include "mem.h"

#define LEDGER_RETRY_NS (500 * NSEC_PER_MSEC)

static void start_ledger_read(
    struct cell_core *, struct cell_backend *, struct cell_out *);
static void ledger_key(const struct cell_backend *, char *, size_t);
static void copy_unstored_fields(struct ledger *, const struct ledger *);
static void handle_ledger_read(struct cell_core *, uint64_t,
    struct cell_backend *, const struct kv_result *);
static void handle_ledger_written(struct cell_core *, uint64_t,
    struct cell_backend *, const struct kv_result *);
static void merge_delegated_copy(
    struct cell_core *, struct cell_backend *, struct ledger *);
static void settle_delegated_copy(struct cell_backend *);
static int engine_sender_cleared(void *, const struct node_id *);

struct clear_ctx {
	struct cell_core *cell;
	struct cell_backend *unit;
};

static void
ledger_key(const struct cell_backend *u, char *key, size_t size)
{
	snprintf(key, size, "ledger/%s", u->conf.name);
}

int
cell_sender_cleared(void *arg, const struct node_id *id)
{
	struct cell_core *c = arg;
	uint32_t i;

	if (strcmp(id->addr, c->self.addr) == 0 &&
	    id->incarnation == c->self.incarnation)
		return 0;
	for (i = 0; i < c->ncleared_senders; i++) {
		if (strcmp(c->cleared_senders[i].id.addr, id->addr) == 0 &&
		    c->cleared_senders[i].id.incarnation == id->incarnation &&
		    c->cleared_senders[i].fence >=
			ownership_fence(c->ownership))
			return 1;
	}
	return c->env.process_ended(c->env.ctx, id);
}

/* As cell_sender_cleared(); an engine with fencing refuses older orders. */
static int
engine_sender_cleared(void *arg, const struct node_id *id)
{
	struct clear_ctx *ctx = arg;
	struct cell_core *c = ctx->cell;

	if (strcmp(id->addr, c->self.addr) == 0 &&
	    id->incarnation == c->self.incarnation)
		return 0;
	if (ctx->unit->conf.fencing &&
	    ctx->unit->accepted_fence == ownership_fence(c->ownership))
		return 1;
	return cell_sender_cleared(c, id);
}

int
cell_holds_delegation(const struct cell_core *c, const struct cell_backend *u)
{
	const struct node_id *owner = &u->ledger.delegation.owner;

	return ownership_held(c->ownership) &&
	    strcmp(owner->addr, c->self.addr) == 0 &&
	    owner->incarnation == c->self.incarnation;
}

static void
start_ledger_read(
    struct cell_core *c, struct cell_backend *u, struct cell_out *out)
{
	char key[KV_KEY_SIZE];

	ledger_key(u, key, sizeof(key));
	u->ledger_step = LEDGER_READING;
	u->kv_op_id = ++c->ids->next;
	kv_op_create(out->kv, u->kv_op_id, KV_GET, key);
}

/* Copies the fields that are not stored, for entries in both ledgers. */
static void
copy_unstored_fields(struct ledger *to, const struct ledger *from)
{
	struct ledger_entry *en;
	uint32_t i;

	for (i = 0; i < from->nentries; i++) {
		en = ledger_find_id(to, from->entries[i].id);
		if (en == NULL)
			continue;
		en->order_id = from->entries[i].order_id;
		en->order_fence = from->entries[i].order_fence;
		en->retry_at = from->entries[i].retry_at;
		en->in_doubt_until = from->entries[i].in_doubt_until;
		en->missing = from->entries[i].missing;
		if (en->state == from->entries[i].state)
			en->confirmed = from->entries[i].confirmed;
	}
}

/* Turns the copy in delegated memory into an entry of the ledger. */
static void
merge_delegated_copy(
    struct cell_core *c, struct cell_backend *u, struct ledger *l)
{
	struct ledger_entry *en;

	if (!u->has_delegated_copy ||
	    strcmp(l->delegation.owner.addr, c->self.addr) != 0 ||
	    l->delegation.owner.incarnation != c->self.incarnation ||
	    l->delegation.memory_mb < u->delegated_copy.memory_mb ||
	    l->nentries == LEDGER_ENTRIES_MAX)
		return;
	/* An entry added before the copy was known already counts it. */
	if (ledger_find_model(
		l, u->delegated_copy.model, u->delegated_copy.version) != NULL)
		return;
	l->delegation.memory_mb -= u->delegated_copy.memory_mb;
	en = &l->entries[l->nentries++];
	*en = u->delegated_copy;
	en->id = ++l->next_id;
	ledger_add_sender(en, &c->self);
}

/* Clears the delegated copy once the stored ledger has an entry for it. */
static void
settle_delegated_copy(struct cell_backend *u)
{
	if (u->has_delegated_copy && u->delegated_copy.order_id == 0 &&
	    ledger_find_model(&u->ledger, u->delegated_copy.model,
		u->delegated_copy.version) != NULL)
		u->has_delegated_copy = 0;
}

struct ledger *
cell_ledger_edit(struct cell_core *c, uint64_t now, struct cell_backend *u)
{
	struct clear_ctx ctx = { c, u };
	struct ledger *l;

	if (u->ledger_step != LEDGER_READY ||
	    !ownership_valid(c->ownership, now))
		return NULL;
	l = mem_alloc(sizeof(*l));
	*l = u->ledger;
	ledger_clear_senders(l, engine_sender_cleared, &ctx);
	if (u->has_delegated_copy && u->delegated_copy.order_id == 0)
		merge_delegated_copy(c, u, l);
	return l;
}

void
cell_ledger_write(struct cell_core *c, struct cell_backend *u, struct ledger *l,
    struct cell_out *out)
{
	struct kv_op *op;
	char key[KV_KEY_SIZE];

	ledger_key(u, key, sizeof(key));
	u->pending_ledger = l;
	u->ledger_step = LEDGER_WRITING;
	u->kv_op_id = ++c->ids->next;
	op = kv_op_create(out->kv, u->kv_op_id, KV_CAS, key);
	op->expected_revision = u->revision;
	op->value = ledger_dump(l);
	c->totals.ledger_writes++;
}

void
cell_ledger_tick(struct cell_core *c, uint64_t now, struct cell_backend *u,
    struct cell_out *out)
{
	struct ledger *l;

	if (!ownership_valid(c->ownership, now) || now < u->retry_at)
		return;
	if (u->ledger_step == LEDGER_READY &&
	    u->ledger.fence != ownership_fence(c->ownership))
		u->ledger_step = LEDGER_UNREAD;
	if (u->ledger_step == LEDGER_UNREAD) {
		start_ledger_read(c, u, out);
		return;
	}
	if (u->ledger_step != LEDGER_OLD_FENCE)
		return;
	l = mem_alloc(sizeof(*l));
	*l = u->ledger;
	l->fence = ownership_fence(c->ownership);
	if (u->has_delegated_copy && u->delegated_copy.order_id == 0)
		merge_delegated_copy(c, u, l);
	if (l->delegation.owner.addr[0] == '\0')
		l->delegation.owner = c->self;
	cell_ledger_write(c, u, l, out);
}

static void
handle_ledger_read(struct cell_core *c, uint64_t now, struct cell_backend *u,
    const struct kv_result *r)
{
	struct ledger *l;
	struct err e;

	u->ledger_step = LEDGER_UNREAD;
	if (r->status != KV_OK && r->status != KV_ABSENT) {
		u->retry_at = now + LEDGER_RETRY_NS;
		return;
	}
	l = mem_alloc(sizeof(*l));
	ledger_set_capacity(l, &u->conf);
	if (r->status == KV_OK && ledger_parse(l, r->value, &e) == -1) {
		/* No memory is reserved while the ledger cannot be read. */
		u->retry_at = now + 10 * NSEC_PER_SEC;
		free(l);
		return;
	}
	copy_unstored_fields(l, &u->ledger);
	u->revision = r->status == KV_OK ? r->revision : 0;
	if (l->fence > ownership_fence(c->ownership))
		ownership_superseded(c->ownership, l->fence);
	else
		u->ledger_step = l->fence == ownership_fence(c->ownership) &&
			!u->write_in_doubt
		    ? LEDGER_READY
		    : LEDGER_OLD_FENCE;
	u->ledger = *l;
	free(l);
	settle_delegated_copy(u);
}

static void
handle_ledger_written(struct cell_core *c, uint64_t now, struct cell_backend *u,
    const struct kv_result *r)
{
	struct ledger *l = u->pending_ledger;

	u->pending_ledger = NULL;
	if (r->status == KV_OK) {
		copy_unstored_fields(l, &u->ledger);
		u->ledger = *l;
		u->revision = r->revision;
		u->ledger_step = LEDGER_READY;
		u->write_in_doubt = 0;
		settle_delegated_copy(u);
	} else {
		c->totals.ledger_conflicts += r->status == KV_CONFLICT;
		u->ledger_step = LEDGER_UNREAD;
		u->write_in_doubt |= r->status == KV_UNKNOWN;
		u->retry_at =
		    r->status == KV_UNKNOWN ? now + LEDGER_RETRY_NS : now;
	}
	free(l);
}

int
cell_ledger_result(struct cell_core *c, uint64_t now, const struct kv_result *r)
{
	struct cell_backend *u;
	uint32_t i;

	for (i = 0; i < c->nbackends; i++) {
		u = c->backends[i];
		if (u->kv_op_id != r->id || u->kv_op_id == 0)
			continue;
		u->kv_op_id = 0;
		if (u->ledger_step == LEDGER_READING)
			handle_ledger_read(c, now, u, r);
		else
			handle_ledger_written(c, now, u, r);
		return 1;
	}
	return 0;
}
