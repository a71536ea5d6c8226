/*
 * The weight store's rate: loads that begin in a window, also those of earlier
 * leaders.  A load counts from its order on, since it may begin at any time
 * until the answer, and then for a window.
 */
#include <string.h>

#include "loader_int.h"
#include "mem.h"

/* Engines carry out an order at most 12 s after it was sent; 1 s of margin. */
#define LATE_START_NS (13 * NSEC_PER_SEC)
/* Orders without an answer that may begin beyond the rate, in all. */
#define LOST_LOADS_FREE 3

static struct store_load *store_load_find(struct loader *, uint64_t);
static struct store_load *store_load_add(struct loader *);
static void store_loads_expire(struct loader *, uint64_t);
static void store_loads_forget_told(struct loader *);
static void store_loads_append(
    struct loader *, uint64_t, const struct loader_loads *);

static struct store_load *
store_load_find(struct loader *s, uint64_t order)
{
	uint32_t i;

	for (i = 0; i < s->nstore_loads; i++) {
		if (s->store_loads[i].order == order)
			return &s->store_loads[i];
	}
	return NULL;
}

static struct store_load *
store_load_add(struct loader *s)
{
	struct store_load *l;

	if (s->nstore_loads == s->store_loads_size) {
		s->store_loads_size = s->store_loads_size * 2 + 16;
		s->store_loads = mem_grow(s->store_loads, s->store_loads_size,
		    sizeof(*s->store_loads));
	}
	l = &s->store_loads[s->nstore_loads++];
	memset(l, 0, sizeof(*l));
	return l;
}

static void
store_loads_expire(struct loader *s, uint64_t now)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < s->nstore_loads; i++) {
		if (now < s->store_loads[i].counts_until)
			s->store_loads[kept++] = s->store_loads[i];
	}
	s->nstore_loads = kept;
}

void
store_load_sent(struct loader *s, uint64_t now, const struct loader_order *o)
{
	struct store_load *l = store_load_add(s);

	l->order = o->id;
	l->counts_until = now + LATE_START_NS + s->config.load_window_ns;
}

/* Of an order and its repeat, the replica accepts one. */
void
store_load_repeated(struct loader *s, uint64_t now, uint64_t first,
    const struct loader_order *o)
{
	struct store_load *l = store_load_find(s, first);

	if (l == NULL)
		return;
	l->order = o->id;
	l->answered = 0;
	l->repeated = 1;
	l->counts_until = now + LATE_START_NS + s->config.load_window_ns;
}

void
store_load_answered(struct loader *s, uint64_t now,
    const struct loader_order *o, enum order_answer answer)
{
	struct store_load *l = store_load_find(s, o->id);

	if (l == NULL)
		return;
	if (answer == ANSWER_NONE) {
		l->lost = 1;
		return;
	}
	l->answered = 1;
	/* An earlier copy may have begun, or begin still. */
	if (answer != ANSWER_STARTED && l->repeated)
		return;
	l->lost = 0;
	l->counts_until =
	    answer == ANSWER_STARTED ? now + s->config.load_window_ns : now;
}

double
store_loads_most(const struct loader *s, const struct fleet_engine *g)
{
	return g->loads_per_s * (double)s->config.load_window_ns /
	    (double)NSEC_PER_SEC * s->config.load_burst;
}

uint32_t
store_loads_counted(struct loader *s, uint64_t now)
{
	uint32_t lost = 0;
	uint32_t i;

	store_loads_expire(s, now);
	for (i = 0; i < s->nstore_loads; i++)
		lost += s->store_loads[i].lost != 0;
	return s->nstore_loads -
	    (lost < LOST_LOADS_FREE ? lost : LOST_LOADS_FREE);
}

double
store_loads_left(struct loader *s, uint64_t now, const struct fleet_engine *g)
{
	if (now < s->loads_unknown_until)
		return 0.0;
	return store_loads_most(s, g) - store_loads_counted(s, now);
}

/* A leader that was told no loads of its predecessor assumes the maximum. */
void
store_loads_take_over(struct loader *s, uint64_t now, uint64_t fence)
{
	if (!ownership_is_first(s->ownership) &&
	    s->loads_known_fence + 1 != fence)
		s->loads_unknown_until = now + s->config.load_window_ns;
	s->loads_known_fence = fence;
}

void
loader_get_loads(struct loader *s, uint64_t now, struct loader_loads *t)
{
	uint32_t i;

	store_loads_expire(s, now);
	t->fence = s->loads_known_fence;
	t->unknown_ns =
	    now < s->loads_unknown_until ? s->loads_unknown_until - now : 0;
	t->open = 0;
	t->n = s->nstore_loads;
	t->loads = mem_alloc((t->n + 1U) * sizeof(*t->loads));
	for (i = 0; i < t->n; i++) {
		t->loads[i].left_ns = s->store_loads[i].counts_until - now;
		t->loads[i].lost = s->store_loads[i].lost != 0;
		t->open += s->store_loads[i].order != 0 &&
		    !s->store_loads[i].answered && !s->store_loads[i].lost;
	}
}

int
loader_knows_loads(const struct loader *s)
{
	return s->loads_known_fence != 0 && !ownership_held(s->ownership);
}

static void
store_loads_append(struct loader *s, uint64_t now, const struct loader_loads *t)
{
	struct store_load *l;
	uint32_t i;

	for (i = 0; i < t->n; i++) {
		l = store_load_add(s);
		l->counts_until = now + t->loads[i].left_ns;
		l->lost = t->loads[i].lost != 0;
	}
}

/* Keeps this process's own loads. */
static void
store_loads_forget_told(struct loader *s)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < s->nstore_loads; i++) {
		if (s->store_loads[i].order != 0)
			s->store_loads[kept++] = s->store_loads[i];
	}
	s->nstore_loads = kept;
}

void
loader_take_loads(struct loader *s, uint64_t now, const struct loader_loads *t)
{
	int leads = s->fence != 0 && s->loads_known_fence == s->fence;

	/* The leader before may tell after this process took over, or again. */
	if (leads && t->fence + 1 == s->fence)
		store_loads_forget_told(s);
	else if (t->fence < s->loads_known_fence ||
	    (leads && t->fence == s->fence))
		return;
	else {
		s->nstore_loads = 0;
		s->loads_known_fence = t->fence;
	}
	s->loads_unknown_until = now + t->unknown_ns;
	store_loads_append(s, now, t);
}
