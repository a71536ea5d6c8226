/*
 * Reading, stamping and writing of memory ledgers.  Each ledger has at most
 * one operation under way; what a lost answer left is read back.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_int.h"
#include "mem.h"

#define RETRY_NS (500 * NSEC_PER_MSEC)

static void unit_read(struct cell_core *, struct unit *, struct cell_out *);
static void unit_key(const struct unit *, char *, size_t);
static void keep_local(struct ledger *, const struct ledger *);
static void on_read(
    struct cell_core *, uint64_t, struct unit *, const struct kv_result *);
static void on_written(
    struct cell_core *, uint64_t, struct unit *, const struct kv_result *);
static void fold_spare(struct cell_core *, struct unit *, struct ledger *);
static void spare_settled(struct unit *);
static int holds_nothing_here(void *, const struct node_id *);

struct clear_ctx {
	struct cell_core *cell;
	struct unit *unit;
};

static void
unit_key(const struct unit *u, char *key, size_t size)
{
	snprintf(key, size, "ledger/%s", u->conf.name);
}

/* Whether a process holds no unsent order for this cell. */
int
cell_holds_nothing(void *arg, const struct node_id *id)
{
	struct cell_core *c = arg;
	uint32_t i;

	if (strcmp(id->addr, c->self.addr) == 0 &&
	    id->incarnation == c->self.incarnation)
		return 0;
	for (i = 0; i < c->ncleared; i++) {
		if (strcmp(c->cleared[i].id.addr, id->addr) == 0 &&
		    c->cleared[i].id.incarnation == id->incarnation &&
		    c->cleared[i].fence >= ownership_fence(c->own))
			return 1;
	}
	return c->env.gone(c->env.ctx, id);
}

/* The same for one engine, which may refuse old fencing numbers itself. */
static int
holds_nothing_here(void *arg, const struct node_id *id)
{
	struct clear_ctx *ctx = arg;
	struct cell_core *c = ctx->cell;

	if (strcmp(id->addr, c->self.addr) == 0 &&
	    id->incarnation == c->self.incarnation)
		return 0;
	if (ctx->unit->conf.fencing &&
	    ctx->unit->barrier == ownership_fence(c->own))
		return 1;
	return cell_holds_nothing(c, id);
}

int
cell_delegated(const struct cell_core *c, const struct unit *u)
{
	const struct node_id *owner = &u->ledger.delegation.owner;

	return ownership_held(c->own) &&
	    strcmp(owner->addr, c->self.addr) == 0 &&
	    owner->incarnation == c->self.incarnation;
}

static void
unit_read(struct cell_core *c, struct unit *u, struct cell_out *out)
{
	char key[KV_KEY_SIZE];

	unit_key(u, key, sizeof(key));
	u->step = UNIT_READING;
	u->pending = ++c->ids->next;
	kv_op_create(out->kv, u->pending, KV_GET, key);
}

/* Carries over what is known of entries beyond the stored part. */
static void
keep_local(struct ledger *to, const struct ledger *from)
{
	struct ledger_entry *en;
	uint32_t i;

	for (i = 0; i < from->n; i++) {
		en = ledger_find(to, from->entries[i].id);
		if (en == NULL)
			continue;
		en->order = from->entries[i].order;
		en->order_fence = from->entries[i].order_fence;
		en->retry_at = from->entries[i].retry_at;
		en->late_until = from->entries[i].late_until;
		en->missing = from->entries[i].missing;
		if (en->state == from->entries[i].state)
			en->confirmed = from->entries[i].confirmed;
	}
}

/* Moves a copy loaded into delegated memory into the ledger proper. */
static void
fold_spare(struct cell_core *c, struct unit *u, struct ledger *l)
{
	struct ledger_entry *en;

	if (!u->spare_used ||
	    strcmp(l->delegation.owner.addr, c->self.addr) != 0 ||
	    l->delegation.owner.incarnation != c->self.incarnation ||
	    l->delegation.memory_mb < u->spare.memory_mb ||
	    l->n == LEDGER_ENTRIES_MAX)
		return;
	/* An entry planned before the copy was known stands for it. */
	if (ledger_model(l, u->spare.model, u->spare.version) != NULL)
		return;
	l->delegation.memory_mb -= u->spare.memory_mb;
	en = &l->entries[l->n++];
	*en = u->spare;
	en->id = ++l->next_id;
	ledger_sender(en, &c->self);
}

/* Once the stored ledger has the copy, it is an entry like any other. */
static void
spare_settled(struct unit *u)
{
	if (u->spare_used && u->spare.order == 0 &&
	    ledger_model(&u->ledger, u->spare.model, u->spare.version) != NULL)
		u->spare_used = 0;
}

struct ledger *
cell_ledger_edit(struct cell_core *c, uint64_t now, struct unit *u)
{
	struct clear_ctx ctx = { c, u };
	struct ledger *l;

	if (u->step != UNIT_READY || !ownership_valid(c->own, now))
		return NULL;
	l = mem_alloc(sizeof(*l));
	*l = u->ledger;
	ledger_clear_senders(l, holds_nothing_here, &ctx);
	if (u->spare_used && u->spare.order == 0)
		fold_spare(c, u, l);
	return l;
}

/* Takes over the edited ledger and writes it. */
void
cell_ledger_write(
    struct cell_core *c, struct unit *u, struct ledger *l, struct cell_out *out)
{
	struct kv_op *op;
	char key[KV_KEY_SIZE];

	unit_key(u, key, sizeof(key));
	u->next = l;
	u->step = UNIT_WRITING;
	u->pending = ++c->ids->next;
	op = kv_op_create(out->kv, u->pending, KV_CAS, key);
	op->expected_revision = u->revision;
	op->value = ledger_dump(l);
	c->totals.ledger_writes++;
}

void
cell_ledger_tick(
    struct cell_core *c, uint64_t now, struct unit *u, struct cell_out *out)
{
	struct ledger *l;

	if (!ownership_valid(c->own, now) || now < u->retry_at)
		return;
	if (u->step == UNIT_READY && u->ledger.fence != ownership_fence(c->own))
		u->step = UNIT_UNREAD;
	if (u->step == UNIT_UNREAD) {
		unit_read(c, u, out);
		return;
	}
	if (u->step != UNIT_UNSTAMPED)
		return;
	l = mem_alloc(sizeof(*l));
	*l = u->ledger;
	l->fence = ownership_fence(c->own);
	if (u->spare_used && u->spare.order == 0)
		fold_spare(c, u, l);
	if (l->delegation.owner.addr[0] == '\0')
		l->delegation.owner = c->self;
	cell_ledger_write(c, u, l, out);
}

static void
on_read(struct cell_core *c, uint64_t now, struct unit *u,
    const struct kv_result *r)
{
	struct ledger *l;
	struct err e;

	u->step = UNIT_UNREAD;
	if (r->status != KV_OK && r->status != KV_ABSENT) {
		u->retry_at = now + RETRY_NS;
		return;
	}
	l = mem_alloc(sizeof(*l));
	ledger_capacity(l, &u->conf);
	if (r->status == KV_OK && ledger_parse(l, r->value, &e) == -1) {
		/* Nothing may be promised on a ledger that can't be read. */
		u->retry_at = now + 10 * NSEC_PER_SEC;
		free(l);
		return;
	}
	keep_local(l, &u->ledger);
	u->revision = r->status == KV_OK ? r->revision : 0;
	if (l->fence > ownership_fence(c->own))
		ownership_superseded(c->own, l->fence);
	else
		u->step = l->fence == ownership_fence(c->own) && !u->unsure
		    ? UNIT_READY
		    : UNIT_UNSTAMPED;
	u->ledger = *l;
	free(l);
	spare_settled(u);
}

static void
on_written(struct cell_core *c, uint64_t now, struct unit *u,
    const struct kv_result *r)
{
	struct ledger *l = u->next;

	u->next = NULL;
	if (r->status == KV_OK) {
		keep_local(l, &u->ledger);
		u->ledger = *l;
		u->revision = r->revision;
		u->step = UNIT_READY;
		u->unsure = 0;
		spare_settled(u);
	} else {
		c->totals.ledger_conflicts += r->status == KV_CONFLICT;
		u->step = UNIT_UNREAD;
		u->unsure |= r->status == KV_UNKNOWN;
		u->retry_at = r->status == KV_UNKNOWN ? now + RETRY_NS : now;
	}
	free(l);
}

int
cell_ledger_result(struct cell_core *c, uint64_t now, const struct kv_result *r)
{
	struct unit *u;
	uint32_t i;

	for (i = 0; i < c->nunits; i++) {
		u = c->units[i];
		if (u->pending != r->id || u->pending == 0)
			continue;
		u->pending = 0;
		if (u->step == UNIT_READING)
			on_read(c, now, u, r);
		else
			on_written(c, now, u, r);
		return 1;
	}
	return 0;
}
