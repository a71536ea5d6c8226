#include <stdio.h>
#include <stdlib.h>

#include "fleet.h"
#include "mem.h"
#include "waitq.h"

/* Instead of an adapter's name a longer one with it may be given. */
#define KEY_SIZE (2 * NAME_SIZE + FLEET_NAME_SIZE + 32)

struct waitq_group {
	char key[KEY_SIZE]; /* service, model and adapter */
	struct waitq_items items;
	uint32_t nitems;
	int failed; /* there was no room in the current pass */
	UT_hash_handle hh;
};

/* An account whose next turn is later than the current one. */
struct waitq_account {
	char name[NAME_SIZE];
	uint64_t next_turn;
	UT_hash_handle hh;
};

static void set_turn(struct waitq *, struct waitq_item *);
static void forget_accounts(struct waitq *, int);
static int goes_after(const struct waitq_item *, const struct waitq_item *);
static int item_precedes(
    const struct waitq_item *, const struct waitq_item *, uint64_t);
static struct waitq_item *group_best(const struct waitq_group *, uint64_t);
static void group_release(struct waitq *, struct waitq_group *);

void
waitq_init(struct waitq *q)
{
	q->groups = NULL;
	q->accounts = NULL;
	q->turn = 0;
	q->nitems = 0;
}

void
waitq_clear(struct waitq *q)
{
	struct waitq_group *g, *next;
	struct waitq_item *i;

	while ((i = waitq_any(q)) != NULL)
		waitq_remove(q, i);
	HASH_ITER (hh, q->groups, g, next) {
		group_release(q, g);
	}
	forget_accounts(q, 1);
}

/* An account that is not ahead of the current turn needs no entry. */
static void
forget_accounts(struct waitq *q, int all)
{
	struct waitq_account *a, *next;

	HASH_ITER (hh, q->accounts, a, next) {
		if (!all && a->next_turn > q->turn)
			continue;
		HASH_DEL(q->accounts, a);
		free(a);
	}
}

/*
 * Start-time fair queueing: the turns of an account's requests are as far apart
 * as the requests cost.  An account without recent requests starts at the
 * current turn.
 */
static void
set_turn(struct waitq *q, struct waitq_item *i)
{
	struct waitq_account *a;

	i->turn = q->turn;
	if (i->account == NULL || *i->account == '\0' || i->cost == 0)
		return;
	HASH_FIND_STR(q->accounts, i->account, a);
	if (a == NULL) {
		a = mem_alloc(sizeof(*a));
		snprintf(a->name, sizeof(a->name), "%s", i->account);
		HASH_ADD_STR(q->accounts, name, a);
	}
	if (a->next_turn > i->turn)
		i->turn = a->next_turn;
	a->next_turn = i->turn + i->cost;
}

static int
goes_after(const struct waitq_item *a, const struct waitq_item *b)
{
	if (a->priority != b->priority)
		return a->priority > b->priority;
	if (a->turn != b->turn)
		return a->turn > b->turn;
	return a->arrived > b->arrived;
}

void
waitq_add(struct waitq *q, struct waitq_item *i, const char *service,
    const char *model, const char *adapter)
{
	struct waitq_group *g;
	struct waitq_item *after;
	char key[KEY_SIZE];

	snprintf(key, sizeof(key), "%s\n%s\n%s", service, model, adapter);
	HASH_FIND_STR(q->groups, key, g);
	if (g == NULL) {
		g = mem_alloc(sizeof(*g));
		snprintf(g->key, sizeof(g->key), "%s", key);
		TAILQ_INIT(&g->items);
		HASH_ADD_STR(q->groups, key, g);
	}
	set_turn(q, i);
	TAILQ_FOREACH_REVERSE(after, &g->items, waitq_items, entry)
	{
		if (!goes_after(after, i))
			break;
	}
	if (after == NULL)
		TAILQ_INSERT_HEAD(&g->items, i, entry);
	else
		TAILQ_INSERT_AFTER(&g->items, after, i, entry);
	i->group = g;
	g->nitems++;
	q->nitems++;
}

/* Groups are freed by the next pass, which may be running now. */
void
waitq_remove(struct waitq *q, struct waitq_item *i)
{
	struct waitq_group *g = i->group;

	if (g == NULL)
		return;
	TAILQ_REMOVE(&g->items, i, entry);
	g->nitems--;
	i->group = NULL;
	if (i->turn > q->turn)
		q->turn = i->turn;
	q->nitems--;
}

uint32_t
waitq_group_size(const struct waitq_item *i)
{
	return i->group == NULL ? 0 : i->group->nitems;
}

struct waitq_item *
waitq_any(const struct waitq *q)
{
	const struct waitq_group *g;

	for (g = q->groups; g != NULL; g = g->hh.next) {
		if (!TAILQ_EMPTY(&g->items))
			return TAILQ_FIRST(&g->items);
	}
	return NULL;
}

static int
item_precedes(
    const struct waitq_item *a, const struct waitq_item *b, uint64_t now)
{
	int a_late = now > a->target;
	int b_late = now > b->target;

	if (a_late != b_late)
		return b_late;
	return goes_after(b, a);
}

/* The first of a group that can be in time, or else the first. */
static struct waitq_item *
group_best(const struct waitq_group *g, uint64_t now)
{
	struct waitq_item *i;

	TAILQ_FOREACH (i, &g->items, entry) {
		if (now <= i->target)
			return i;
	}
	return TAILQ_FIRST(&g->items);
}

static void
group_release(struct waitq *q, struct waitq_group *g)
{
	HASH_DEL(q->groups, g);
	free(g);
}

void
waitq_dispatch(struct waitq *q, uint64_t now, waitq_try try, void *ctx)
{
	struct waitq_group *g, *next;
	struct waitq_item *best;
	struct waitq_item *i;

	HASH_ITER (hh, q->groups, g, next) {
		g->failed = 0;
		if (TAILQ_EMPTY(&g->items))
			group_release(q, g);
	}
	forget_accounts(q, 0);
	for (;;) {
		best = NULL;
		for (g = q->groups; g != NULL; g = g->hh.next) {
			i = g->failed ? NULL : group_best(g, now);
			if (i != NULL &&
			    (best == NULL || item_precedes(i, best, now)))
				best = i;
		}
		if (best == NULL)
			return;
		g = best->group;
		if (!try(ctx, best))
			g->failed = 1;
	}
}
