/* Routing tables of a gate, updated by messages of its control process. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate_int.h"
#include "mem.h"

static struct target *target_update(
    struct gate_core *, const char *, const char *);
static void target_set_models(struct target *, const struct msg_replica *);
static void cell_mark_removed(struct gate_core *, const struct cell *);
static int target_usable(const struct target *, uint64_t, const char *);
static void target_list(struct target *, uint64_t, int);
static struct target *pick_less_loaded(
    struct gate_core *, struct target **, uint32_t);

struct cell *
gate_find_cell(struct gate_core *g, const char *name)
{
	struct cell *c;

	HASH_FIND_STR(g->cells, name, c);
	return c;
}

struct target *
gate_find_target(struct gate_core *g, const char *name)
{
	struct target *t;

	HASH_FIND_STR(g->targets, name, t);
	return t;
}

/* Targets live as long as the gate, since attempts point to them. */
static struct target *
target_update(struct gate_core *g, const char *name, const char *addr)
{
	struct target *t;

	t = gate_find_target(g, name);
	if (t == NULL) {
		t = mem_alloc(sizeof(*t));
		snprintf(t->name, sizeof(t->name), "%s", name);
		HASH_ADD_STR(g->targets, name, t);
	}
	snprintf(t->addr, sizeof(t->addr), "%s", addr);
	t->removed = 0;
	t->update_seq = g->update_seq;
	return t;
}

/* Applies a table's entry for a target; incarnations only increase. */
static void
target_list(struct target *t, uint64_t incarnation, int leaving)
{
	if (incarnation > t->incarnation)
		t->incarnation = incarnation;
	notice_listed(&t->notice, t->incarnation, t->leaving && !leaving);
	t->leaving = leaving;
}

static void
target_set_models(struct target *t, const struct msg_replica *r)
{
	free(t->models);
	t->models = NULL;
	t->nmodels = r->nmodels;
	if (r->nmodels == 0)
		return;
	t->models = mem_alloc((size_t)r->nmodels * NAME_SIZE);
	memcpy(t->models, r->models, (size_t)r->nmodels * NAME_SIZE);
}

/* Marks the cell's replicas missing from the last update as removed. */
static void
cell_mark_removed(struct gate_core *g, const struct cell *c)
{
	struct target *t, *next;

	HASH_ITER (hh, g->targets, t, next) {
		if (t->cell == c && t->update_seq != g->update_seq) {
			t->removed = 1;
			t->nmodels = 0;
		}
	}
}

void
gate_table_update_cell(struct gate_core *g, const struct msg_cell *m)
{
	const struct msg_replica *r;
	struct target *t;
	struct cell *c;
	uint32_t i;

	c = gate_find_cell(g, m->cell);
	if (c == NULL) {
		c = mem_alloc(sizeof(*c));
		memcpy(c->name, m->cell, sizeof(c->name));
		HASH_ADD_STR(g->cells, name, c);
	}
	c->version = m->removed ? 0 : m->version;
	c->load = m->load;
	memcpy(c->owner.addr, m->owner, sizeof(c->owner.addr));
	c->owner.incarnation = m->owner_incarnation;
	g->update_seq++;
	for (i = 0; i < m->nreplicas && !m->removed; i++) {
		r = &m->replicas[i];
		t = target_update(g, r->name, r->addr);
		t->cell = c;
		target_list(t, r->incarnation, r->leaving != 0);
		target_set_models(t, r);
	}
	cell_mark_removed(g, c);
}

void
gate_table_update_model(struct gate_core *g, const struct msg_model *m)
{
	struct declared_model *d;

	HASH_FIND_STR(g->models, m->name, d);
	if (d == NULL && m->removed)
		return;
	if (m->removed) {
		HASH_DEL(g->models, d);
		free(d);
		return;
	}
	if (d == NULL) {
		d = mem_alloc(sizeof(*d));
		memcpy(d->name, m->name, sizeof(d->name));
		HASH_ADD_STR(g->models, name, d);
	}
	d->info = *m;
}

void
gate_table_update_service(struct gate_core *g, const struct msg_service *m)
{
	struct service *s;
	struct target *t;
	uint32_t i;

	HASH_FIND_STR(g->services, m->name, s);
	if (s == NULL && m->removed)
		return;
	if (m->removed) {
		HASH_DEL(g->services, s);
		free(s);
		return;
	}
	if (s == NULL) {
		s = mem_alloc(sizeof(*s));
		memcpy(s->name, m->name, sizeof(s->name));
		HASH_ADD_STR(g->services, name, s);
	}
	s->info = *m;
	for (i = 0; i < m->nbackends; i++) {
		t = target_update(g, m->backends[i].name, m->backends[i].addr);
		target_list(t, 0, m->backends[i].leaving != 0);
		s->targets[i] = t;
	}
}

void
gate_table_destroy(struct gate_core *g)
{
	struct cell *c, *c_next;
	struct target *t, *t_next;
	struct declared_model *d, *d_next;
	struct service *s, *s_next;

	HASH_ITER (hh, g->cells, c, c_next) {
		HASH_DEL(g->cells, c);
		free(c);
	}
	HASH_ITER (hh, g->targets, t, t_next) {
		HASH_DEL(g->targets, t);
		free(t->models);
		free(t);
	}
	HASH_ITER (hh, g->models, d, d_next) {
		HASH_DEL(g->models, d);
		free(d);
	}
	HASH_ITER (hh, g->services, s, s_next) {
		HASH_DEL(g->services, s);
		free(s);
	}
}

/* Name that a replica must serve: the adapter, or else the model. */
const char *
gate_request_model(const struct gate_request *req)
{
	return req->adapter[0] != '\0' ? req->adapter : req->model;
}

int
gate_target_has_model(const struct target *t, const char *model)
{
	uint32_t i;

	for (i = 0; i < t->nmodels; i++) {
		if (strcmp(t->models[i], model) == 0)
			return 1;
	}
	return 0;
}

/*
 * Selects the least loaded cell with the model.  If there is none, or it
 * refused, tries the cells in turn, since one may be about to load the model.
 */
struct cell *
gate_pick_cell(struct gate_core *g, const struct call *call)
{
	struct target *t, *t_next;
	struct cell *best = NULL;
	struct cell *c, *c_next;
	uint32_t skip = 0;
	uint32_t n;

	HASH_ITER (hh, g->targets, t, t_next) {
		if (t->cell == NULL || t->leaving || t->cell->version == 0)
			continue;
		if (!gate_target_has_model(t, gate_request_model(&call->req)))
			continue;
		if (best == NULL || t->cell->load < best->load)
			best = t->cell;
	}
	if (best != NULL && call->no_model_refusals == 0)
		return best;
	n = HASH_COUNT(g->cells);
	if (n != 0)
		skip = call->no_model_refusals % n;
	HASH_ITER (hh, g->cells, c, c_next) {
		if (skip-- == 0)
			return c->version == 0 ? best : c;
	}
	return best;
}

static int
target_usable(const struct target *t, uint64_t now, const char *exclude)
{
	/* Of an engine with a limit, only the owner knows what others send. */
	return gate_target_usable(t, now) && t->avoid_until <= now &&
	    (t->cell == NULL ||
		notice_limit_of(&t->notice, t->incarnation) == 0.0) &&
	    strcmp(t->name, exclude) != 0;
}

/* The less loaded of two candidates chosen at random. */
static struct target *
pick_less_loaded(struct gate_core *g, struct target **list, uint32_t n)
{
	struct target *a;
	struct target *b;

	if (n == 0)
		return NULL;
	a = list[(uint32_t)nrand48(g->rng_state) % n];
	b = list[(uint32_t)nrand48(g->rng_state) % n];
	return a->in_flight <= b->in_flight ? a : b;
}

/* Selects a replica without a grant, within the gate's limit for each. */
struct target *
gate_pick_replica(struct gate_core *g, uint64_t now, const struct attempt *a)
{
	struct target *list[CELL_REPLICAS_MAX * 4];
	struct target *t, *next;
	uint32_t n = 0;

	HASH_ITER (hh, g->targets, t, next) {
		if (t->cell == NULL || n == nitems(list))
			continue;
		if (!target_usable(t, now, a->exclude) ||
		    t->in_flight >= g->config.local_per_replica_max)
			continue;
		if (gate_target_has_model(t, gate_request_model(&a->call->req)))
			list[n++] = t;
	}
	return pick_less_loaded(g, list, n);
}

/*
 * Selects an instance of a plain service; if all are to be avoided, any that
 * takes requests.
 */
struct target *
gate_pick_instance(struct gate_core *g, uint64_t now, const struct attempt *a)
{
	struct target *list[CELL_REPLICAS_MAX];
	struct service *s;
	uint32_t n = 0;
	uint32_t i;

	HASH_FIND_STR(g->services, a->call->req.service, s);
	if (s == NULL)
		return NULL;
	for (i = 0; i < s->info.nbackends; i++) {
		if (target_usable(s->targets[i], now, a->exclude))
			list[n++] = s->targets[i];
	}
	for (i = 0; i < s->info.nbackends && n == 0; i++) {
		if (gate_target_usable(s->targets[i], now))
			list[n++] = s->targets[i];
	}
	return pick_less_loaded(g, list, n);
}
