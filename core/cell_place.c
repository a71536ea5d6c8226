/* Demand, and what placement makes of it. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_int.h"
#include "mem.h"

#define DEMAND_NS (500 * NSEC_PER_MSEC)
#define FAST_NS (3 * NSEC_PER_SEC)
#define SLOW_NS (60 * NSEC_PER_SEC)
#define MOVES_PER_STEP 4

/* Arrays for place_next(), built for one step. */
struct board {
	struct place_model *models;
	const struct conf_model **declared; /* NULL for leftovers */
	char (*versions)[NAME_SIZE];
	uint32_t n;
	struct place_backend backends[PLACE_BACKENDS_MAX];
};

static void demand_report(void *, const struct sched_demand *);
static int unit_verified(const struct unit *);
static const struct ledger *planned(const struct unit *);
static const char *base_name(const struct cell_core *, const char *);
static void board_build(struct cell_core *, uint64_t, struct board *);
static void board_backends(struct cell_core *, uint64_t, struct board *);
static void board_declared(struct cell_core *, uint64_t, struct board *);
static void board_leftovers(struct cell_core *, uint64_t, struct board *);
static void board_free(struct board *);
static struct place_model *board_add(
    struct board *, const char *, const char *, uint64_t);
static void add_copies(
    const struct cell_core *, const char *, const char *, struct place_model *);
static int may_hold(const struct unit *, const struct conf_model *);
static int in_board(const struct board *, const char *, const char *);
static int do_move(struct cell_core *, uint64_t, const struct board *,
    const struct place_move *, struct cell_out *);
static int loads_waiting(const struct cell_core *);
static void use_spare(struct cell_core *, uint64_t, struct cell_out *);
static void spare_load(struct cell_core *, uint64_t, struct unit *,
    const struct conf_model *, struct cell_out *);
static int drop_headroom(
    struct cell_core *, uint64_t, uint32_t, uint64_t, struct cell_out *);
static int set_headroom(struct cell_core *, uint64_t, struct cell_out *);
static uint64_t largest_model(const struct cell_core *);

struct demand_ctx {
	struct cell_core *cell;
	double period;
};

struct demand *
cell_demand(struct cell_core *c, const char *name)
{
	struct demand *d;

	HASH_FIND_STR(c->demands, name, d);
	if (d != NULL)
		return d;
	d = mem_alloc(sizeof(*d));
	snprintf(d->name, sizeof(d->name), "%s", name);
	HASH_ADD_STR(c->demands, name, d);
	return d;
}

/*
 * Whether the engine has told this owner that it is the incarnation the
 * ledger speaks of; a copy counts for others' removal only then.
 */
static int
unit_verified(const struct unit *u)
{
	return u->engine != 0 && u->engine == u->ledger.engine && !u->unsure;
}

/* The ledger as it will be once the write under way is done. */
static const struct ledger *
planned(const struct unit *u)
{
	return u->next != NULL ? u->next : &u->ledger;
}

/* The model an adapter belongs to, or the name itself. */
static const char *
base_name(const struct cell_core *c, const char *name)
{
	size_t i;
	size_t k;

	for (i = 0; i < c->conf->nmodels; i++) {
		for (k = 0; k < c->conf->models[i].nadapters; k++) {
			if (strcmp(c->conf->models[i].adapters[k].name, name) ==
			    0)
				return c->conf->models[i].name;
		}
	}
	return name;
}

static void
demand_report(void *arg, const struct sched_demand *sd)
{
	struct demand_ctx *ctx = arg;
	struct demand *d;
	double slots;

	d = cell_demand(ctx->cell, base_name(ctx->cell, sd->model));
	/* Slots kept busy, and those that waiting work would fill. */
	slots =
	    (double)sd->busy_ns / ctx->period + sd->waiting + 0.5 * sd->refused;
	d->fast += slots * ctx->period / (double)FAST_NS;
	d->slow += slots * ctx->period / (double)SLOW_NS;
	d->waiting += sd->waiting;
}

/* Takes a sample of demand every DEMAND_NS. */
void
cell_demand_tick(struct cell_core *c, uint64_t now)
{
	struct demand_ctx ctx;
	struct demand *d, *next;

	if (now < c->demand_at)
		return;
	ctx.cell = c;
	ctx.period = (double)DEMAND_NS;
	c->demand_at = now + DEMAND_NS;
	HASH_ITER (hh, c->demands, d, next) {
		d->fast *= exp(-ctx.period / (double)FAST_NS);
		d->slow *= exp(-ctx.period / (double)SLOW_NS);
		d->waiting = 0;
	}
	sched_demand(c->sched, demand_report, &ctx);
}

/*
 * Whether a copy of the version is confirmed on a server that stays, and no
 * ledger that is being written gives it up.
 */
int
cell_serves(const struct cell_core *c, const char *model, const char *version)
{
	const struct ledger_entry *en;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nunits; i++) {
		if (c->units[i]->conf.leaving)
			continue;
		en = ledger_model(planned(c->units[i]), model, version);
		if (en == NULL || en->state != ENTRY_RESIDENT)
			continue;
		for (k = 0; k < c->units[i]->ledger.n; k++) {
			en = &c->units[i]->ledger.entries[k];
			if (en->state == ENTRY_RESIDENT && !en->missing &&
			    unit_verified(c->units[i]) &&
			    strcmp(en->model, model) == 0 &&
			    strcmp(en->version, version) == 0)
				return 1;
		}
	}
	return 0;
}

static void
board_backends(struct cell_core *c, uint64_t now, struct board *b)
{
	const struct ledger_entry *en;
	struct place_backend *pb;
	uint32_t outstanding;
	struct unit *u;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nunits; i++) {
		u = c->units[i];
		pb = &b->backends[i];
		pb->datacentre = u->conf.datacentre;
		pb->leaving =
		    u->conf.leaving || !u->declared || !unit_fresh(c, u, now);
		pb->usable = u->step == UNIT_READY && u->engine != 0 &&
		    unit_fresh(c, u, now) && u->ledger.engine == u->engine;
		sched_replica_load(
		    c->sched, u->conf.name, &outstanding, &pb->slots);
		pb->naccelerators = u->ledger.naccelerators;
		for (k = 0; k < u->ledger.naccelerators; k++)
			pb->left_mb[k] = ledger_left(&u->ledger, k);
		for (k = 0; k < u->ledger.n; k++) {
			en = &u->ledger.entries[k];
			if (en->state == ENTRY_UNLOADING)
				pb->freeing_mb[en->accelerator] +=
				    en->memory_mb;
		}
		for (k = 0; k < u->ledger.n; k++)
			pb->busy |=
			    u->ledger.entries[k].state != ENTRY_RESIDENT;
	}
}

static struct place_model *
board_add(struct board *b, const char *name, const char *version, uint64_t mb)
{
	struct place_model *pm = &b->models[b->n];

	memset(pm, 0, sizeof(*pm));
	pm->name = name;
	pm->memory_mb = mb;
	snprintf(b->versions[b->n], NAME_SIZE, "%s", version);
	b->n++;
	return pm;
}

static void
add_copies(const struct cell_core *c, const char *model, const char *version,
    struct place_model *pm)
{
	const struct ledger_entry *en;
	const struct ledger *l;
	struct place_copy *copy;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nunits; i++) {
		l = planned(c->units[i]);
		for (k = 0; k < l->n; k++) {
			en = &l->entries[k];
			if (en->state == ENTRY_UNLOADING ||
			    strcmp(en->model, model) != 0 ||
			    strcmp(en->version, version) != 0 ||
			    pm->ncopies == PLACE_BACKENDS_MAX)
				continue;
			copy = &pm->copies[pm->ncopies++];
			copy->backend = i;
			copy->accelerator = en->accelerator;
			copy->resident = unit_verified(c->units[i]) &&
			    en->state == ENTRY_RESIDENT && !en->missing;
		}
	}
}

/* A copy that is being unloaded must be gone before another may come. */
static int
may_hold(const struct unit *u, const struct conf_model *m)
{
	const struct ledger_entry *en;

	en = ledger_model(planned(u), m->name, m->version);
	return u->declared && conf_allows(m, &u->conf) &&
	    (en == NULL || en->state != ENTRY_UNLOADING);
}

static void
board_declared(struct cell_core *c, uint64_t now, struct board *b)
{
	const struct conf_model *m;
	struct place_model *pm;
	struct demand *d;
	size_t i;
	uint32_t k;

	(void)now;
	for (i = 0; i < c->conf->nmodels; i++) {
		m = &c->conf->models[i];
		b->declared[b->n] = m;
		pm = board_add(b, m->name, m->version, m->memory_mb);
		d = cell_demand(c, m->name);
		pm->priority = m->priority;
		pm->least = conf_home(m, c->name) ? (uint32_t)m->copies : 0;
		pm->demand = d->fast > d->slow ? d->fast : d->slow;
		pm->moved = d->moved;
		if (pm->least == 0)
			pm->elsewhere =
			    c->env.elsewhere(c->env.ctx, m->name, c->name);
		for (k = 0; k < c->nunits; k++)
			pm->allowed[k] = (char)may_hold(c->units[k], m);
		add_copies(c, m->name, m->version, pm);
	}
}

static int
in_board(const struct board *b, const char *name, const char *version)
{
	uint32_t i;

	for (i = 0; i < b->n; i++) {
		if (strcmp(b->models[i].name, name) == 0 &&
		    strcmp(b->versions[i], version) == 0)
			return 1;
	}
	return 0;
}

/* Old versions, and models that are not declared any more. */
static void
board_leftovers(struct cell_core *c, uint64_t now, struct board *b)
{
	const struct conf_model *m;
	const struct ledger_entry *en;
	struct place_model *pm;
	uint32_t i;
	uint32_t k;

	(void)now;
	for (i = 0; i < c->nunits; i++) {
		for (k = 0; k < c->units[i]->ledger.n; k++) {
			en = &c->units[i]->ledger.entries[k];
			if (in_board(b, en->model, en->version))
				continue;
			m = conf_model(c->conf, en->model);
			b->declared[b->n] = NULL;
			pm =
			    board_add(b, en->model, en->version, en->memory_mb);
			pm->elsewhere =
			    m == NULL || cell_serves(c, m->name, m->version);
			add_copies(c, en->model, en->version, pm);
		}
	}
}

static void
board_build(struct cell_core *c, uint64_t now, struct board *b)
{
	size_t most = c->conf->nmodels;
	uint32_t i;

	memset(b, 0, sizeof(*b));
	for (i = 0; i < c->nunits; i++)
		most += c->units[i]->ledger.n;
	b->models = mem_alloc((most + 1) * sizeof(*b->models));
	b->versions = mem_alloc((most + 1) * sizeof(*b->versions));
	b->declared = mem_alloc((most + 1) * sizeof(const struct conf_model *));
	board_backends(c, now, b);
	board_declared(c, now, b);
	board_leftovers(c, now, b);
}

static void
board_free(struct board *b)
{
	free(b->models);
	free(b->versions);
	free(b->declared);
}

/* Loads promised but not yet ordered. */
static int
loads_waiting(const struct cell_core *c)
{
	const struct ledger *l;
	uint32_t i;
	uint32_t k;
	int n = 0;

	for (i = 0; i < c->nunits; i++) {
		l = planned(c->units[i]);
		for (k = 0; k < l->n; k++)
			n += l->entries[k].state == ENTRY_LOADING;
	}
	return n;
}

/* Writes the move into the ledger.  Returns 0 when it was begun. */
static int
do_move(struct cell_core *c, uint64_t now, const struct board *b,
    const struct place_move *move, struct cell_out *out)
{
	const struct place_model *pm = &b->models[move->model];
	struct unit *u = c->units[move->backend];
	struct ledger_entry *en;
	struct ledger *l;

	l = cell_ledger_edit(c, now, u);
	if (l == NULL)
		return -1;
	if (move->kind == PLACE_LOAD) {
		en = ledger_add(
		    l, b->declared[move->model], move->accelerator, &c->self);
	} else {
		en = ledger_model(l, pm->name, b->versions[move->model]);
		if (en != NULL && ledger_sender(en, &c->self) == -1)
			en = NULL;
		if (en != NULL) {
			en->state = ENTRY_UNLOADING;
			en->confirmed = 0;
		}
	}
	if (en == NULL) {
		free(l);
		return -1;
	}
	cell_demand(c, pm->name)->moved = now;
	cell_ledger_write(c, u, l, out);
	return 0;
}

static uint64_t
largest_model(const struct cell_core *c)
{
	uint64_t most = 0;
	size_t i;

	for (i = 0; i < c->conf->nmodels; i++) {
		if (conf_home(&c->conf->models[i], c->name) &&
		    c->conf->models[i].memory_mb > most)
			most = c->conf->models[i].memory_mb;
	}
	return most;
}

/*
 * Gives up headroom in one ledger other than the one to be kept (nunits for
 * none), where that lets so much memory be used.  Returns 1 when a write was
 * begun.
 */
static int
drop_headroom(struct cell_core *c, uint64_t now, uint32_t keep, uint64_t need,
    struct cell_out *out)
{
	const struct ledger_delegation *d;
	struct ledger *l;
	struct unit *u;
	uint32_t i;

	for (i = 0; i < c->nunits; i++) {
		u = c->units[i];
		d = &u->ledger.delegation;
		if (i == keep || !cell_delegated(c, u) || d->memory_mb == 0 ||
		    u->spare_used ||
		    ledger_left(&u->ledger, d->accelerator) + d->memory_mb <
			need)
			continue;
		l = cell_ledger_edit(c, now, u);
		if (l == NULL)
			continue;
		l->delegation.memory_mb = 0;
		cell_ledger_write(c, u, l, out);
		return 1;
	}
	return 0;
}

/*
 * Sets memory aside in one ledger for the largest model, to be used without
 * the key-value service.  Returns 1 when a write was begun.
 */
static int
set_headroom(struct cell_core *c, uint64_t now, struct cell_out *out)
{
	uint64_t want = largest_model(c);
	struct unit *best = NULL;
	uint32_t best_acc = 0;
	struct ledger *l;
	struct unit *u;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nunits; i++) {
		u = c->units[i];
		if (cell_delegated(c, u) && !u->conf.leaving &&
		    u->ledger.delegation.memory_mb >= want)
			return drop_headroom(c, now, i, 0, out);
	}
	for (i = 0; i < c->nunits; i++) {
		u = c->units[i];
		if (!cell_delegated(c, u) || u->step != UNIT_READY ||
		    u->conf.leaving || u->ledger.delegation.memory_mb != 0)
			continue;
		for (k = 0; k < u->ledger.naccelerators; k++) {
			if (ledger_left(&u->ledger, k) < want)
				continue;
			best = u;
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

static void
spare_load(struct cell_core *c, uint64_t now, struct unit *u,
    const struct conf_model *m, struct cell_out *out)
{
	struct ledger_entry *en = &u->spare;
	struct order *o;

	memset(en, 0, sizeof(*en));
	memcpy(en->model, m->name, sizeof(en->model));
	memcpy(en->version, m->version, sizeof(en->version));
	en->accelerator = u->ledger.delegation.accelerator;
	en->memory_mb = m->memory_mb;
	en->state = ENTRY_LOADING;
	en->order = ++c->ids->next;
	en->order_fence = ownership_fence(c->own);
	u->spare_used = 1;
	o = cell_order_send(c, now, u, ORDER_LOAD, en->order, out);
	memcpy(o->model, m->name, sizeof(o->model));
	memcpy(o->version, m->version, sizeof(o->version));
	o->accelerator = en->accelerator;
	o->memory_mb = m->memory_mb;
}

/*
 * While the service is out of reach: brings back a model whose last copy is
 * gone, in the memory that is delegated to this process.
 */
static void
use_spare(struct cell_core *c, uint64_t now, struct cell_out *out)
{
	const struct conf_model *m;
	struct unit *u;
	size_t i;
	uint32_t k;
	int waiting;

	for (i = 0; i < c->conf->nmodels; i++) {
		m = &c->conf->models[i];
		if (!conf_home(m, c->name))
			continue;
		waiting = 0;
		for (k = 0; k < c->nunits; k++) {
			u = c->units[k];
			waiting |= u->spare_used &&
			    strcmp(u->spare.model, m->name) == 0;
			waiting |= unit_fresh(c, u, now) &&
			    cell_unit_serves(u, m->name);
		}
		for (k = 0; k < c->nunits && !waiting; k++) {
			u = c->units[k];
			if (u->spare_used || !cell_delegated(c, u) ||
			    !conf_allows(m, &u->conf) ||
			    ledger_model(&u->ledger, m->name, m->version) !=
				NULL ||
			    !unit_fresh(c, u, now) || u->engine == 0 ||
			    u->ledger.delegation.memory_mb < m->memory_mb)
				continue;
			spare_load(c, now, u, m, out);
			break;
		}
	}
}

void
cell_place_tick(struct cell_core *c, uint64_t now, struct cell_out *out)
{
	struct place_move move;
	struct board b;
	int i;

	cell_demand_tick(c, now);
	if (now < c->place_at)
		return;
	c->place_at = now + c->config.place_ns;
	if (!ownership_valid(c->own, now)) {
		use_spare(c, now, out);
		return;
	}
	/* An older configuration would give up what is declared since. */
	if (!c->env.current(c->env.ctx, c->held_since))
		return;
	for (i = 0; i < MOVES_PER_STEP; i++) {
		board_build(c, now, &b);
		move = c->config.policy(c->config.policy_ctx == NULL
			? &c->config.place
			: c->config.policy_ctx,
		    now, b.models, b.n, b.backends, c->nunits);
		if (move.kind == PLACE_STUCK)
			drop_headroom(c, now, c->nunits,
			    b.models[move.model].memory_mb, out);
		if (move.kind == PLACE_NOTHING || move.kind == PLACE_STUCK ||
		    move.kind == PLACE_WAIT ||
		    (move.kind == PLACE_LOAD &&
			loads_waiting(c) >= (int)c->conf->store.concurrent) ||
		    do_move(c, now, &b, &move, out) == -1) {
			board_free(&b);
			break;
		}
		board_free(&b);
	}
	if (i == 0 && move.kind == PLACE_NOTHING)
		set_headroom(c, now, out);
}
