/*
 * Reads and writes memory ledgers.  A new owner first rewrites each ledger with
 * its fencing token.  A ledger has at most one operation in flight; after a
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
static void note_write_in_doubt(struct cell_backend *, const struct ledger *);
static void merge_delegated_copy(
    struct cell_core *, struct cell_backend *, struct ledger *);
static void settle_delegated_copy(
    const struct cell_core *, struct cell_backend *);
static int engine_sender_cleared(void *, const struct node_id *);
static int delegated_to_self(const struct cell_core *, const struct ledger *);

struct clear_ctx {
	struct cell_core *cell;
	struct cell_backend *backend;
};

static void
ledger_key(const struct cell_backend *b, char *key, size_t size)
{
	snprintf(key, size, "ledger/%s", b->conf.name);
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
			ownership_fencing_token(c->ownership))
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
	if (ctx->backend->conf.fencing &&
	    ctx->backend->accepted_fencing_token ==
		ownership_fencing_token(c->ownership))
		return 1;
	return cell_sender_cleared(c, id);
}

static int
delegated_to_self(const struct cell_core *c, const struct ledger *l)
{
	const struct node_id *owner = &l->delegation.owner;

	return strcmp(owner->addr, c->self.addr) == 0 &&
	    owner->incarnation == c->self.incarnation;
}

int
cell_holds_delegation(
    const struct cell_core *c, uint64_t now, const struct cell_backend *b)
{
	return ownership_uncontested(c->ownership, now) &&
	    delegated_to_self(c, &b->ledger);
}

static void
start_ledger_read(
    struct cell_core *c, struct cell_backend *b, struct cell_out *out)
{
	char key[KV_KEY_SIZE];

	ledger_key(b, key, sizeof(key));
	b->ledger_step = LEDGER_READING;
	b->kv_op_id = ++c->ids->next;
	kv_op_create(out->kv, b->kv_op_id, KV_GET, key);
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
		en->order_fencing_token = from->entries[i].order_fencing_token;
		en->retry_at = from->entries[i].retry_at;
		en->in_doubt_until = from->entries[i].in_doubt_until;
		en->missing = from->entries[i].missing;
		en->listed = from->entries[i].listed;
		if (en->state == from->entries[i].state)
			en->confirmed = from->entries[i].confirmed;
	}
}

/* Turns the copy in delegated memory into an entry of the ledger. */
static void
merge_delegated_copy(
    struct cell_core *c, struct cell_backend *b, struct ledger *l)
{
	struct ledger_entry *en;

	if (!b->has_delegated_copy || !delegated_to_self(c, l) ||
	    l->delegation.memory_mb < b->delegated_copy.memory_mb ||
	    l->nentries == LEDGER_ENTRIES_MAX)
		return;
	/* An entry added before the copy was known already counts it. */
	if (ledger_find_model(
		l, b->delegated_copy.model, b->delegated_copy.version) != NULL)
		return;
	l->delegation.memory_mb -= b->delegated_copy.memory_mb;
	en = &l->entries[l->nentries++];
	*en = b->delegated_copy;
	en->id = ++l->next_id;
	ledger_add_sender(en, &c->self);
}

/*
 * Clears the delegated copy once the stored ledger has an entry for it, or
 * delegates the memory to another process, which adopts the copy if it is
 * still loaded.
 */
static void
settle_delegated_copy(const struct cell_core *c, struct cell_backend *b)
{
	if (!b->has_delegated_copy || b->delegated_copy.order_id != 0)
		return;
	if (!delegated_to_self(c, &b->ledger) ||
	    ledger_find_model(&b->ledger, b->delegated_copy.model,
		b->delegated_copy.version) != NULL)
		b->has_delegated_copy = 0;
}

int
cell_delegated_copy_merged(const struct cell_backend *b, const struct ledger *l)
{
	return b->has_delegated_copy && b->delegated_copy.order_id == 0 &&
	    ledger_find_model(
		l, b->delegated_copy.model, b->delegated_copy.version) != NULL;
}

struct ledger *
cell_ledger_edit(struct cell_core *c, uint64_t now, struct cell_backend *b)
{
	struct clear_ctx ctx = { c, b };
	struct ledger *l;

	if (b->ledger_step != LEDGER_READY ||
	    !ownership_valid(c->ownership, now))
		return NULL;
	l = mem_alloc(sizeof(*l));
	*l = b->ledger;
	ledger_clear_senders(l, engine_sender_cleared, &ctx);
	if (b->has_delegated_copy && b->delegated_copy.order_id == 0)
		merge_delegated_copy(c, b, l);
	return l;
}

void
cell_ledger_write(struct cell_core *c, struct cell_backend *b, struct ledger *l,
    struct cell_out *out)
{
	struct kv_op *op;
	char key[KV_KEY_SIZE];

	ledger_key(b, key, sizeof(key));
	b->pending_ledger = l;
	b->ledger_step = LEDGER_WRITING;
	b->kv_op_id = ++c->ids->next;
	op = kv_op_create(out->kv, b->kv_op_id, KV_CAS, key);
	op->expected_revision = b->revision;
	op->value = ledger_dump(l);
	c->totals.ledger_writes++;
}

void
cell_ledger_tick(struct cell_core *c, uint64_t now, struct cell_backend *b,
    struct cell_out *out)
{
	struct ledger *l;

	if (!ownership_valid(c->ownership, now) || now < b->retry_at)
		return;
	if (b->ledger_step == LEDGER_READY &&
	    b->ledger.fence != ownership_fencing_token(c->ownership))
		b->ledger_step = LEDGER_UNREAD;
	if (b->ledger_step == LEDGER_UNREAD) {
		start_ledger_read(c, b, out);
		return;
	}
	if (b->ledger_step != LEDGER_OLD_FENCING_TOKEN)
		return;
	l = mem_alloc(sizeof(*l));
	*l = b->ledger;
	l->fence = ownership_fencing_token(c->ownership);
	if (b->has_delegated_copy && b->delegated_copy.order_id == 0)
		merge_delegated_copy(c, b, l);
	if (l->delegation.owner.addr[0] == '\0')
		l->delegation.owner = c->self;
	cell_ledger_write(c, b, l, out);
}

static void
handle_ledger_read(struct cell_core *c, uint64_t now, struct cell_backend *b,
    const struct kv_result *r)
{
	struct ledger *l;
	struct err e;

	b->ledger_step = LEDGER_UNREAD;
	if (r->status != KV_OK && r->status != KV_ABSENT) {
		b->retry_at = now + LEDGER_RETRY_NS;
		return;
	}
	l = mem_alloc(sizeof(*l));
	ledger_set_capacity(l, &b->conf);
	if (r->status == KV_OK && ledger_parse(l, r->value, &e) == -1) {
		/* No memory is reserved while the ledger cannot be read. */
		b->retry_at = now + 10 * NSEC_PER_SEC;
		free(l);
		return;
	}
	copy_unstored_fields(l, &b->ledger);
	b->revision = r->status == KV_OK ? r->revision : 0;
	if (l->fence > ownership_fencing_token(c->ownership))
		ownership_superseded(c->ownership, l->fence);
	else
		b->ledger_step =
		    l->fence == ownership_fencing_token(c->ownership) &&
			!b->write_in_doubt
		    ? LEDGER_READY
		    : LEDGER_OLD_FENCING_TOKEN;
	b->ledger = *l;
	free(l);
	settle_delegated_copy(c, b);
}

static void
note_write_in_doubt(struct cell_backend *b, const struct ledger *l)
{
	if (!b->write_in_doubt ||
	    l->delegation.memory_mb < b->in_doubt_delegation_mb)
		b->in_doubt_delegation_mb = l->delegation.memory_mb;
	b->write_in_doubt = 1;
}

static void
handle_ledger_written(struct cell_core *c, uint64_t now, struct cell_backend *b,
    const struct kv_result *r)
{
	struct ledger *l = b->pending_ledger;

	b->pending_ledger = NULL;
	if (r->status == KV_OK) {
		copy_unstored_fields(l, &b->ledger);
		b->ledger = *l;
		b->revision = r->revision;
		b->ledger_step = LEDGER_READY;
		b->write_in_doubt = 0;
		settle_delegated_copy(c, b);
	} else {
		c->totals.ledger_conflicts += r->status == KV_CONFLICT;
		b->ledger_step = LEDGER_UNREAD;
		if (r->status == KV_UNKNOWN)
			note_write_in_doubt(b, l);
		b->retry_at =
		    r->status == KV_UNKNOWN ? now + LEDGER_RETRY_NS : now;
	}
	free(l);
}

int
cell_ledger_result(struct cell_core *c, uint64_t now, const struct kv_result *r)
{
	struct cell_backend *b;
	uint32_t i;

	for (i = 0; i < c->nbackends; i++) {
		b = c->backends[i];
		if (b->kv_op_id != r->id || b->kv_op_id == 0)
			continue;
		b->kv_op_id = 0;
		if (b->ledger_step == LEDGER_READING)
			handle_ledger_read(c, now, b, r);
		else
			handle_ledger_written(c, now, b, r);
		return 1;
	}
	return 0;
}
