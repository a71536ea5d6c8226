/* Memory delegated to this process: reserved, released, and used. */
#include <stdlib.h>
#include <string.h>

#include "cell_int.h"

static uint64_t largest_model_mb(const struct cell_core *);
static int release_others(struct cell_core *, uint64_t,
    const struct cell_backend *, struct cell_out *);
static uint64_t surely_delegated_mb(const struct cell_backend *);
static void load_into_delegation(struct cell_core *, uint64_t,
    struct cell_backend *, const struct conf_model *, struct cell_out *);

static uint64_t
largest_model_mb(const struct cell_core *c)
{
	uint64_t most = 0;
	size_t i;

	for (i = 0; i < c->conf->nmodels; i++) {
		if (conf_is_home_cell(&c->conf->models[i], c->name) &&
		    c->conf->models[i].memory_mb > most)
			most = c->conf->models[i].memory_mb;
	}
	return most;
}

uint64_t
cell_headroom_mb(
    const struct cell_core *c, uint64_t now, const struct cell_backend *b)
{
	return cell_holds_delegation(c, now, b) && !b->has_delegated_copy
	    ? b->ledger.delegation.memory_mb
	    : 0;
}

int
cell_delegate_release(struct cell_core *c, uint64_t now, struct cell_backend *b,
    struct cell_out *out)
{
	struct ledger *l;

	if (cell_headroom_mb(c, now, b) == 0)
		return 0;
	l = cell_ledger_edit(c, now, b);
	if (l == NULL)
		return 0;
	l->delegation.memory_mb = 0;
	cell_ledger_write(c, b, l, out);
	return 1;
}

/* Releases headroom that another server's makes needless. */
static int
release_others(struct cell_core *c, uint64_t now,
    const struct cell_backend *keep, struct cell_out *out)
{
	uint32_t i;

	for (i = 0; i < c->nbackends; i++) {
		if (c->backends[i] != keep &&
		    cell_delegate_release(c, now, c->backends[i], out))
			return 1;
	}
	return 0;
}

int
cell_delegate_reserve(struct cell_core *c, uint64_t now, struct cell_out *out)
{
	uint64_t want = largest_model_mb(c);
	struct cell_backend *best = NULL;
	uint32_t best_acc = 0;
	struct ledger *l;
	struct cell_backend *b;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nbackends; i++) {
		b = c->backends[i];
		if (cell_holds_delegation(c, now, b) && !b->conf.leaving &&
		    b->ledger.delegation.memory_mb >= want)
			return release_others(c, now, b, out);
	}
	for (i = 0; i < c->nbackends; i++) {
		b = c->backends[i];
		if (!cell_holds_delegation(c, now, b) ||
		    b->ledger_step != LEDGER_READY || b->conf.leaving ||
		    b->ledger.delegation.memory_mb != 0)
			continue;
		for (k = 0; k < b->ledger.naccelerators; k++) {
			if (ledger_free_mb(&b->ledger, k) < want)
				continue;
			best = b;
			best_acc = k;
		}
	}
	if (best == NULL || want == 0)
		return 0;
	l = cell_ledger_edit(c, now, best);
	if (l == NULL)
		return 0;
	l->delegation.accelerator = best_acc;
	l->delegation.memory_mb = want;
	cell_ledger_write(c, best, l, out);
	return 1;
}

/* The delegated memory, whether or not unanswered writes have taken effect. */
static uint64_t
surely_delegated_mb(const struct cell_backend *b)
{
	uint64_t least = b->ledger.delegation.memory_mb;

	if (b->pending_ledger != NULL &&
	    b->pending_ledger->delegation.memory_mb < least)
		least = b->pending_ledger->delegation.memory_mb;
	if (b->write_in_doubt && b->in_doubt_delegation_mb < least)
		least = b->in_doubt_delegation_mb;
	return least;
}

static void
load_into_delegation(struct cell_core *c, uint64_t now, struct cell_backend *b,
    const struct conf_model *m, struct cell_out *out)
{
	struct ledger_entry *en = &b->delegated_copy;
	struct order *o;

	memset(en, 0, sizeof(*en));
	memcpy(en->model, m->name, sizeof(en->model));
	memcpy(en->version, m->version, sizeof(en->version));
	en->accelerator = b->ledger.delegation.accelerator;
	en->memory_mb = m->memory_mb;
	en->state = ENTRY_LOADING;
	en->order_id = ++c->ids->next;
	en->order_fencing_token = ownership_fencing_token(c->ownership);
	b->has_delegated_copy = 1;
	o = cell_order_send(c, now, b, ORDER_LOAD, en->order_id, out);
	memcpy(o->model, m->name, sizeof(o->model));
	memcpy(o->version, m->version, sizeof(o->version));
	o->accelerator = en->accelerator;
	o->memory_mb = m->memory_mb;
}

void
cell_delegate_restore(struct cell_core *c, uint64_t now, struct cell_out *out)
{
	const struct conf_model *m;
	struct cell_backend *b;
	size_t i;
	uint32_t k;
	int waiting;

	for (i = 0; i < c->conf->nmodels; i++) {
		m = &c->conf->models[i];
		if (!conf_is_home_cell(m, c->name))
			continue;
		waiting = 0;
		for (k = 0; k < c->nbackends; k++) {
			b = c->backends[k];
			waiting |= b->has_delegated_copy &&
			    strcmp(b->delegated_copy.model, m->name) == 0;
			waiting |= cell_backend_responsive(c, b, now) &&
			    cell_backend_serves(b, m->name);
		}
		for (k = 0; k < c->nbackends && !waiting; k++) {
			b = c->backends[k];
			if (b->has_delegated_copy ||
			    !cell_holds_delegation(c, now, b) ||
			    !conf_may_place(m, &b->conf) ||
			    ledger_find_model(
				&b->ledger, m->name, m->version) != NULL ||
			    !cell_backend_responsive(c, b, now) ||
			    b->engine_incarnation == 0 ||
			    surely_delegated_mb(b) < m->memory_mb)
				continue;
			load_into_delegation(c, now, b, m, out);
			break;
		}
	}
}
