/*
 * Samples demand, runs the placement policy and begins its moves in the
 * ledgers.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_int.h"
#include "mem.h"

#define DEMAND_INTERVAL_NS (500 * NSEC_PER_MSEC)
#define SHORT_AVERAGE_NS (3 * NSEC_PER_SEC)
#define LONG_AVERAGE_NS (60 * NSEC_PER_SEC)
#define MOVES_PER_STEP_MAX 4

/* Arguments of the placement policy for one step. */
struct place_input {
	struct place_model *models;
	const struct conf_model **declared; /* NULL: to be unloaded only */
	char (*versions)[NAME_SIZE];
	uint32_t n;
	struct place_backend backends[PLACE_BACKENDS_MAX];
};

static void record_demand(void *, const struct sched_model_demand *);
static int copy_verified(
    const struct cell_backend *, const struct ledger_entry *);
static const struct ledger *planned_ledger(const struct cell_backend *);
static const char *demand_model_name(const struct cell_core *, const char *);
static void input_build(struct cell_core *, uint64_t, struct place_input *);
static void input_add_backends(
    struct cell_core *, uint64_t, struct place_input *);
static void input_add_declared(
    struct cell_core *, uint64_t, struct place_input *);
static void input_add_undeclared(
    struct cell_core *, uint64_t, struct place_input *);
static void input_free(struct place_input *);
static struct place_model *input_add_model(
    struct place_input *, const char *, const char *, uint64_t);
static void add_copies(
    const struct cell_core *, const char *, const char *, struct place_model *);
static int may_load(const struct cell_backend *, const struct conf_model *);
static int input_has_model(
    const struct place_input *, const char *, const char *);
static int begin_move(struct cell_core *, uint64_t, const struct place_input *,
    const struct place_move *, struct cell_out *);
static int count_planned_loads(const struct cell_core *, uint64_t);

struct demand_ctx {
	struct cell_core *cell;
	double period;
};

struct model_demand *
cell_model_demand(struct cell_core *c, const char *name)
{
	struct model_demand *d;

	HASH_FIND_STR(c->demands, name, d);
	if (d != NULL)
		return d;
	d = mem_alloc(sizeof(*d));
	snprintf(d->name, sizeof(d->name), "%s", name);
	HASH_ADD_STR(c->demands, name, d);
	return d;
}

/*
 * Whether a copy may count for the removal of another: the engine has listed it
 * since its load was answered, and reported to this owner the incarnation that
 * is in the ledger.
 */
static int
copy_verified(const struct cell_backend *b, const struct ledger_entry *en)
{
	return b->engine_incarnation != 0 &&
	    b->engine_incarnation == b->ledger.engine_incarnation &&
	    !b->write_in_doubt && en->state == ENTRY_RESIDENT && en->listed;
}

/* The ledger after the write in flight, if there is one. */
static const struct ledger *
planned_ledger(const struct cell_backend *b)
{
	return b->pending_ledger != NULL ? b->pending_ledger : &b->ledger;
}

/* The base model of an adapter; any other name is returned as it is. */
static const char *
demand_model_name(const struct cell_core *c, const char *name)
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
record_demand(void *arg, const struct sched_model_demand *sd)
{
	struct demand_ctx *ctx = arg;
	struct model_demand *d;
	double slots;

	d = cell_model_demand(
	    ctx->cell, demand_model_name(ctx->cell, sd->model));
	/* Busy slots, one per waiting and half a one per refused request. */
	slots =
	    (double)sd->busy_ns / ctx->period + sd->waiting + 0.5 * sd->refused;
	d->short_average += slots * ctx->period / (double)SHORT_AVERAGE_NS;
	d->long_average += slots * ctx->period / (double)LONG_AVERAGE_NS;
	d->waiting += sd->waiting;
}

void
cell_demand_tick(struct cell_core *c, uint64_t now)
{
	struct demand_ctx ctx;
	struct model_demand *d, *next;

	if (now < c->demand_at)
		return;
	ctx.cell = c;
	ctx.period = (double)DEMAND_INTERVAL_NS;
	c->demand_at = now + DEMAND_INTERVAL_NS;
	HASH_ITER (hh, c->demands, d, next) {
		d->short_average *= exp(-ctx.period / (double)SHORT_AVERAGE_NS);
		d->long_average *= exp(-ctx.period / (double)LONG_AVERAGE_NS);
		d->waiting = 0;
	}
	sched_take_demand(c->sched, record_demand, &ctx);
}

/*
 * Whether a copy of the version is verified on a backend server that is not
 * leaving, and the ledger write in flight, if any, keeps it resident.
 */
int
cell_serves(const struct cell_core *c, const char *model, const char *version)
{
	const struct ledger_entry *en;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nbackends; i++) {
		if (c->backends[i]->conf.leaving)
			continue;
		en = ledger_find_model(
		    planned_ledger(c->backends[i]), model, version);
		if (en == NULL || en->state != ENTRY_RESIDENT)
			continue;
		for (k = 0; k < c->backends[i]->ledger.nentries; k++) {
			en = &c->backends[i]->ledger.entries[k];
			if (copy_verified(c->backends[i], en) &&
			    strcmp(en->model, model) == 0 &&
			    strcmp(en->version, version) == 0)
				return 1;
		}
	}
	return 0;
}

static void
input_add_backends(struct cell_core *c, uint64_t now, struct place_input *in)
{
	const struct ledger_entry *en;
	struct place_backend *pb;
	uint32_t outstanding;
	struct cell_backend *b;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < c->nbackends; i++) {
		b = c->backends[i];
		pb = &in->backends[i];
		pb->datacentre = b->conf.datacentre;
		pb->leaving = b->conf.leaving || !b->declared ||
		    !cell_backend_responsive(c, b, now);
		pb->usable = b->ledger_step == LEDGER_READY &&
		    b->engine_incarnation != 0 &&
		    cell_backend_responsive(c, b, now) &&
		    b->ledger.engine_incarnation == b->engine_incarnation;
		sched_get_replica_load(
		    c->sched, b->conf.name, &outstanding, &pb->slots);
		pb->naccelerators = b->ledger.naccelerators;
		for (k = 0; k < b->ledger.naccelerators; k++)
			pb->free_mb[k] = ledger_free_mb(&b->ledger, k);
		for (k = 0; k < b->ledger.nentries; k++) {
			en = &b->ledger.entries[k];
			if (en->state == ENTRY_UNLOADING)
				pb->freeing_mb[en->accelerator] +=
				    en->memory_mb;
		}
		k = b->ledger.delegation.accelerator;
		if (pb->usable && k < pb->naccelerators)
			pb->headroom_mb[k] = cell_headroom_mb(c, now, b);
		for (k = 0; k < b->ledger.nentries; k++)
			pb->busy |=
			    b->ledger.entries[k].state != ENTRY_RESIDENT;
	}
}

static struct place_model *
input_add_model(
    struct place_input *in, const char *name, const char *version, uint64_t mb)
{
	struct place_model *pm = &in->models[in->n];

	memset(pm, 0, sizeof(*pm));
	pm->name = name;
	pm->memory_mb = mb;
	snprintf(in->versions[in->n], NAME_SIZE, "%s", version);
	in->n++;
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

	for (i = 0; i < c->nbackends; i++) {
		l = planned_ledger(c->backends[i]);
		for (k = 0; k < l->nentries; k++) {
			en = &l->entries[k];
			if (en->state == ENTRY_UNLOADING ||
			    strcmp(en->model, model) != 0 ||
			    strcmp(en->version, version) != 0 ||
			    pm->ncopies == PLACE_BACKENDS_MAX)
				continue;
			copy = &pm->copies[pm->ncopies++];
			copy->backend = i;
			copy->accelerator = en->accelerator;
			copy->resident = copy_verified(c->backends[i], en);
		}
	}
}

/* An unload must complete before the same version may be loaded again. */
static int
may_load(const struct cell_backend *b, const struct conf_model *m)
{
	const struct ledger_entry *en;

	en = ledger_find_model(planned_ledger(b), m->name, m->version);
	return b->declared && conf_may_place(m, &b->conf) &&
	    (en == NULL || en->state != ENTRY_UNLOADING);
}

static void
input_add_declared(struct cell_core *c, uint64_t now, struct place_input *in)
{
	const struct conf_model *m;
	struct place_model *pm;
	struct model_demand *d;
	size_t i;
	uint32_t k;

	(void)now;
	for (i = 0; i < c->conf->nmodels; i++) {
		m = &c->conf->models[i];
		in->declared[in->n] = m;
		pm = input_add_model(in, m->name, m->version, m->memory_mb);
		d = cell_model_demand(c, m->name);
		pm->priority = m->priority;
		pm->min_copies =
		    conf_is_home_cell(m, c->name) ? (uint32_t)m->copies : 0;
		pm->demand_slots = d->short_average > d->long_average
		    ? d->short_average
		    : d->long_average;
		pm->moved_at = d->moved_at;
		if (pm->min_copies == 0)
			pm->served_elsewhere = c->env.served_elsewhere(
			    c->env.ctx, m->name, c->name);
		for (k = 0; k < c->nbackends; k++)
			pm->allowed[k] = (char)may_load(c->backends[k], m);
		add_copies(c, m->name, m->version, pm);
	}
}

static int
input_has_model(
    const struct place_input *in, const char *name, const char *version)
{
	uint32_t i;

	for (i = 0; i < in->n; i++) {
		if (strcmp(in->models[i].name, name) == 0 &&
		    strcmp(in->versions[i], version) == 0)
			return 1;
	}
	return 0;
}

/* Adds old versions and models that are no longer declared. */
static void
input_add_undeclared(struct cell_core *c, uint64_t now, struct place_input *in)
{
	const struct conf_model *m;
	const struct ledger_entry *en;
	struct place_model *pm;
	uint32_t i;
	uint32_t k;

	(void)now;
	for (i = 0; i < c->nbackends; i++) {
		for (k = 0; k < c->backends[i]->ledger.nentries; k++) {
			en = &c->backends[i]->ledger.entries[k];
			if (input_has_model(in, en->model, en->version))
				continue;
			m = conf_find_model(c->conf, en->model);
			in->declared[in->n] = NULL;
			pm = input_add_model(
			    in, en->model, en->version, en->memory_mb);
			pm->served_elsewhere =
			    m == NULL || cell_serves(c, m->name, m->version);
			add_copies(c, en->model, en->version, pm);
		}
	}
}

static void
input_build(struct cell_core *c, uint64_t now, struct place_input *in)
{
	size_t most = c->conf->nmodels;
	uint32_t i;

	memset(in, 0, sizeof(*in));
	for (i = 0; i < c->nbackends; i++)
		most += c->backends[i]->ledger.nentries;
	in->models = mem_alloc((most + 1) * sizeof(*in->models));
	in->versions = mem_alloc((most + 1) * sizeof(*in->versions));
	in->declared =
	    mem_alloc((most + 1) * sizeof(const struct conf_model *));
	input_add_backends(c, now, in);
	input_add_declared(c, now, in);
	input_add_undeclared(c, now, in);
}

static void
input_free(struct place_input *in)
{
	free(in->models);
	free(in->versions);
	free(in->declared);
}

/*
 * Loading entries of all ledgers, including writes in flight.  Those that wait
 * to be tried again leave their place to others meanwhile.
 */
static int
count_planned_loads(const struct cell_core *c, uint64_t now)
{
	const struct ledger *l;
	uint32_t i;
	uint32_t k;
	int n = 0;

	for (i = 0; i < c->nbackends; i++) {
		l = planned_ledger(c->backends[i]);
		for (k = 0; k < l->nentries; k++)
			n += l->entries[k].state == ENTRY_LOADING &&
			    now >= l->entries[k].retry_at;
	}
	return n;
}

/* Starts writing the move to the ledger.  Returns -1 when it cannot begin. */
static int
begin_move(struct cell_core *c, uint64_t now, const struct place_input *in,
    const struct place_move *move, struct cell_out *out)
{
	const struct place_model *pm = &in->models[move->model];
	struct cell_backend *b = c->backends[move->backend];
	struct ledger_entry *en;
	struct ledger *l;

	l = cell_ledger_edit(c, now, b);
	if (l == NULL)
		return -1;
	if (move->kind == PLACE_LOAD) {
		en = ledger_reserve(
		    l, in->declared[move->model], move->accelerator, &c->self);
	} else {
		en = ledger_find_model(l, pm->name, in->versions[move->model]);
		if (en != NULL && ledger_add_sender(en, &c->self) == -1)
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
	cell_model_demand(c, pm->name)->moved_at = now;
	cell_ledger_write(c, b, l, out);
	return 0;
}

void
cell_place_tick(struct cell_core *c, uint64_t now, struct cell_out *out)
{
	struct place_move move;
	struct place_input in;
	int i;

	cell_demand_tick(c, now);
	if (now < c->place_at)
		return;
	c->place_at = now + c->config.place_interval_ns;
	if (!ownership_valid(c->ownership, now)) {
		cell_delegate_restore(c, now, out);
		return;
	}
	/* An outdated configuration would unload models declared since. */
	if (!c->env.config_applied(c->env.ctx, c->owner_since))
		return;
	for (i = 0; i < MOVES_PER_STEP_MAX; i++) {
		input_build(c, now, &in);
		move = c->config.policy(c->config.policy_ctx == NULL
			? &c->config.place
			: c->config.policy_ctx,
		    now, in.models, in.n, in.backends, c->nbackends);
		if (move.kind == PLACE_RELEASE)
			cell_delegate_release(
			    c, now, c->backends[move.backend], out);
		if ((move.kind != PLACE_LOAD && move.kind != PLACE_UNLOAD) ||
		    (move.kind == PLACE_LOAD &&
			count_planned_loads(c, now) >=
			    (int)c->conf->store.concurrent) ||
		    begin_move(c, now, &in, &move, out) == -1) {
			input_free(&in);
			break;
		}
		input_free(&in);
	}
	if (i == 0 && move.kind == PLACE_NOTHING)
		cell_delegate_reserve(c, now, out);
}
