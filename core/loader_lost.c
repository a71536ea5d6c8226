/* Lost loads: those without an answer that may still be carried out. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loader_int.h"
#include "mem.h"

/* Engines carry out an order at most 12 s after it was sent; 1 s of margin. */
#define LOST_LOAD_MAX_AGE_NS (13 * NSEC_PER_SEC)

static struct replica_losses *losses_get(
    struct loader *, struct engine_state *);
static void losses_remove(struct loader *, struct replica_losses *);
static void lost_load_remove(struct replica_losses *, struct lost_load *);
static int same_load(const struct lost_load *, const struct lost_load *);
static void drop_earlier_copy(
    struct replica_losses *, const struct lost_load *);
static int may_start(const struct engine_state *, const struct lost_load *);

static struct replica_losses *
losses_get(struct loader *s, struct engine_state *e)
{
	struct replica_losses *l;

	HASH_FIND_STR(s->losses, e->replica, l);
	if (l != NULL)
		return l;
	l = mem_alloc(sizeof(*l));
	snprintf(l->replica, sizeof(l->replica), "%s", e->replica);
	TAILQ_INIT(&l->loads);
	HASH_ADD_STR(s->losses, replica, l);
	e->losses = l;
	return l;
}

static void
lost_load_remove(struct replica_losses *l, struct lost_load *g)
{
	TAILQ_REMOVE(&l->loads, g, entry);
	free(g);
}

static void
losses_remove(struct loader *s, struct replica_losses *l)
{
	struct engine_state *e = engine_state_find(s, l->replica);

	if (e != NULL)
		e->losses = NULL;
	HASH_DEL(s->losses, l);
	free(l);
}

void
lost_loads_attach(const struct loader *s, struct engine_state *e)
{
	struct replica_losses *l;

	HASH_FIND_STR(s->losses, e->replica, l);
	e->losses = l;
}

/* It is taken as lost until the answer says otherwise. */
void
lost_load_sent(
    struct loader *s, struct engine_state *e, const struct loader_order *o)
{
	struct replica_losses *l = losses_get(s, e);
	struct lost_load *g = mem_alloc(sizeof(*g));

	g->order = o->id;
	g->started_ms = o->started_ms;
	g->expires_at = TIME_NEVER;
	snprintf(g->model, sizeof(g->model), "%s", o->model);
	snprintf(g->adapter, sizeof(g->adapter), "%s", o->adapter);
	TAILQ_INSERT_TAIL(&l->loads, g, entry);
}

static int
same_load(const struct lost_load *a, const struct lost_load *b)
{
	return strcmp(a->model, b->model) == 0 &&
	    strcmp(a->adapter, b->adapter) == 0;
}

/* The later copy of a load expires last. */
static void
drop_earlier_copy(struct replica_losses *l, const struct lost_load *later)
{
	struct lost_load *g, *next;

	for (g = TAILQ_FIRST(&l->loads); g != NULL && g != later; g = next) {
		next = TAILQ_NEXT(g, entry);
		if (g->started_ms == later->started_ms &&
		    g->expires_at != TIME_NEVER && same_load(g, later))
			lost_load_remove(l, g);
	}
}

void
lost_load_answered(struct loader *s, uint64_t now, const struct loader_order *o,
    enum order_answer answer)
{
	struct replica_losses *l;
	struct lost_load *g;

	HASH_FIND_STR(s->losses, o->replica, l);
	if (l == NULL)
		return;
	TAILQ_FOREACH (g, &l->loads, entry) {
		if (g->order == o->id)
			break;
	}
	if (g == NULL)
		return;
	if (answer == ANSWER_NONE) {
		g->expires_at = now + LOST_LOAD_MAX_AGE_NS;
		drop_earlier_copy(l, g);
		return;
	}
	lost_load_remove(l, g);
	if (TAILQ_EMPTY(&l->loads))
		losses_remove(s, l);
}

void
lost_loads_expire(struct loader *s, uint64_t now)
{
	struct replica_losses *l, *next_l;
	struct lost_load *g, *next;

	HASH_ITER (hh, s->losses, l, next_l) {
		for (g = TAILQ_FIRST(&l->loads); g != NULL; g = next) {
			next = TAILQ_NEXT(g, entry);
			if (now >= g->expires_at)
				lost_load_remove(l, g);
		}
		if (TAILQ_EMPTY(&l->loads))
			losses_remove(s, l);
	}
}

void
lost_loads_clear(struct loader *s)
{
	struct replica_losses *l, *next;

	HASH_ITER (hh, s->losses, l, next) {
		while (!TAILQ_EMPTY(&l->loads))
			lost_load_remove(l, TAILQ_FIRST(&l->loads));
		losses_remove(s, l);
	}
}

/* Whether it was sent before the replica's last restart. */
static int
may_start(const struct engine_state *e, const struct lost_load *g)
{
	return g->started_ms != e->started_ms;
}

const struct lost_load *
engine_state_next_lost_load(
    const struct engine_state *e, const struct lost_load *after)
{
	const struct lost_load *g;
	const struct lost_load *first;

	if (e->losses == NULL)
		return NULL;
	g = after == NULL ? TAILQ_FIRST(&e->losses->loads)
			  : TAILQ_NEXT(after, entry);
	for (; g != NULL; g = TAILQ_NEXT(g, entry)) {
		if (!may_start(e, g))
			continue;
		TAILQ_FOREACH (first, &e->losses->loads, entry) {
			if (may_start(e, first) && same_load(first, g))
				break;
		}
		if (first == g)
			return g;
	}
	return NULL;
}

uint32_t
engine_state_lost_adapter_loads(const struct engine_state *e)
{
	const struct lost_load *g = NULL;
	uint32_t n = 0;

	while ((g = engine_state_next_lost_load(e, g)) != NULL)
		n += g->adapter[0] != '\0';
	return n;
}
