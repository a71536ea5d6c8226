#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "poison_int.h"

/*
 * A sound request is either repeated so often that it is answered between two
 * crashes, or so rarely that it hardly meets two by chance.
 */
#define REQUEST_GROUPS_MIN 2
/* Crashes further apart may be chance: one more is needed. */
#define REQUEST_NEAR_NS (30 * NSEC_PER_SEC)
/* For a part that was never answered, fewer groups suffice. */
#define UNPROVEN_GROUPS_MIN 2
#define UNPROVEN_REPLICAS_MIN 3
/*
 * Replicas that crash within this time are a group, which may be a host or a
 * rack that has failed: any part may have been on several of them.
 */
#define GROUP_NS (300 * NSEC_PER_MSEC)
/*
 * From the first crash until a part can be blocked: two ways through the tree
 * of reports, so that a process that had an answer has been heard.
 */
#define SETTLE_NS (1500 * NSEC_PER_MSEC)
/* With as many crashed replicas a part is blocked for long. */
#define REPLICAS_SURE 5
/* Evidence that does not block is kept. */
#define SUSPECT_NS (30 * NSEC_PER_SEC)
/* A part blocked on few crashes may be sound, and is tried again. */
#define BLOCK_FIRST_NS (60 * NSEC_PER_SEC)
#define BLOCK_NS (600 * NSEC_PER_SEC)  /* after more crashes */
#define ANSWERED_NS (5 * NSEC_PER_SEC) /* a refutation is passed on */

/* Crashes of a part. */
struct groups {
	uint32_t n;
	uint32_t nreplicas; /* in all groups */
	uint64_t first_at;
	uint64_t last_at;
};

static int is_request(uint64_t);
static struct part *part_to_drop(const struct poison *);
static void part_remove(struct poison *, struct part *);
static int part_make_room(struct part *, uint64_t);
static int part_has_crash(const struct part *, uint64_t);
static int part_explains(const struct part *, const struct crash *);
static struct groups group_crashes(
    const struct part *, struct part *const *, uint32_t);
static int part_is_unproven(const struct part *, uint64_t);
static int part_precedes(const struct part *, const struct part *);
static enum poison_care request_care(const struct part *, uint64_t);
static uint32_t find_candidates(struct poison *, uint64_t, struct part **);
static void part_set_blocked(
    struct part *, int, void (*)(void *, uint64_t, int), void *);
static uint64_t part_blocked_until(const struct part *);
static uint32_t answered_slot(uint64_t);
static uint32_t crashes_min(const struct part *);
static int part_is_done(const struct part *, uint64_t);

struct poison *
poison_create(void)
{
	return mem_alloc(sizeof(struct poison));
}

void
poison_destroy(struct poison *p)
{
	if (p == NULL)
		return;
	while (p->parts != NULL)
		part_remove(p, p->parts);
	free(p);
}

static int
is_request(uint64_t id)
{
	return (id & POISON_REQUEST) != 0;
}

struct part *
poison_part_find(const struct poison *p, uint64_t id)
{
	struct part *t;

	HASH_FIND(hh, p->parts, &id, sizeof(id), t);
	return t;
}

/*
 * The oldest part with little evidence.  A crash adds each request that was in
 * progress, so that those with one crash go first.
 */
static struct part *
part_to_drop(const struct poison *p)
{
	struct part *found = NULL;
	struct part *t;

	for (t = p->parts; t != NULL; t = t->hh.next) {
		if (is_request(t->id) && t->ncrashes <= 1)
			return t;
		if (found == NULL && !poison_part_blocks(t, NULL, 0))
			found = t;
	}
	return found;
}

struct part *
poison_part_add(struct poison *p, uint64_t id)
{
	struct part *t = poison_part_find(p, id);
	struct part *old;

	if (t != NULL)
		return t;
	if (HASH_COUNT(p->parts) >= PARTS_MAX) {
		old = part_to_drop(p);
		if (old == NULL)
			return NULL;
		part_remove(p, old);
	}
	t = mem_alloc(sizeof(*t));
	t->id = id;
	HASH_ADD(hh, p->parts, id, sizeof(t->id), t);
	t->answered_at = poison_part_last_answered(p, id);
	return t;
}

static void
part_remove(struct poison *p, struct part *t)
{
	HASH_DEL(p->parts, t);
	free(t);
}

void
poison_part_note_refuted(struct part *t, uint64_t now, uint32_t n)
{
	if (n == 0)
		return;
	t->refuted_at = now;
	if (n > t->nrefuted)
		t->nrefuted = n;
}

/* An answer after a crash shows that the part did not cause it. */
void
poison_part_set_answered(
    struct poison *p, uint64_t now, uint64_t id, uint64_t at)
{
	struct answered *a = &p->answered[answered_slot(id)];
	struct part *t = poison_part_find(p, id);
	uint32_t n;

	a->id = id;
	a->at = at;
	if (t == NULL || at <= t->answered_at)
		return;
	t->answered_at = at;
	for (n = 0; n < t->ncrashes && t->crashes[n].at <= at; n++)
		continue;
	poison_part_note_refuted(t, now, n);
	t->ncrashes -= n;
	memmove(t->crashes, t->crashes + n, t->ncrashes * sizeof(*t->crashes));
}

/*
 * Drops one crash for a later one: one that does not count, else the last.
 * Peers' lists may end with other crashes, whose times vary by PASSING_NS.
 */
static int
part_make_room(struct part *t, uint64_t at)
{
	uint64_t counted_at = t->crashes[0].at;
	uint32_t n = t->ncrashes;
	uint32_t i;

	if (at < t->crashes[n - 1].at)
		return 0;
	for (i = 1; i < n && t->crashes[i].at >= counted_at + GROUP_NS; i++)
		counted_at = t->crashes[i].at;
	if (i == n && at < t->crashes[n - 1].at + PASSING_NS)
		return 0;
	if (i == n)
		i--;
	memmove(t->crashes + i, t->crashes + i + 1,
	    (n - i - 1) * sizeof(*t->crashes));
	t->ncrashes--;
	return 1;
}

/* Adds a crash unless it is known; returns whether it was added. */
int
poison_part_add_crash(struct part *t, uint64_t replica, uint64_t at)
{
	uint32_t n = t->ncrashes;
	uint32_t i;

	if (at <= t->answered_at || part_has_crash(t, replica))
		return 0;
	if (n == POISON_CRASHES_MAX) {
		if (!part_make_room(t, at))
			return 0;
		n = t->ncrashes;
	}
	for (i = n; i > 0 && t->crashes[i - 1].at > at; i--)
		t->crashes[i] = t->crashes[i - 1];
	t->crashes[i].replica = replica;
	t->crashes[i].at = at;
	t->ncrashes = n + 1;
	return 1;
}

static int
part_has_crash(const struct part *t, uint64_t replica)
{
	uint32_t i;

	for (i = 0; i < t->ncrashes; i++) {
		if (t->crashes[i].replica == replica)
			return 1;
	}
	return 0;
}

/*
 * Whether the crash may be due to the part.  A full list does not name each
 * crash; it explains all of its time.
 */
static int
part_explains(const struct part *t, const struct crash *c)
{
	if (part_has_crash(t, c->replica))
		return 1;
	return t->ncrashes == POISON_CRASHES_MAX && c->at >= t->crashes[0].at &&
	    c->at <= t->crashes[t->ncrashes - 1].at + GROUP_NS;
}

/* Groups the crashes that none of the given parts explains. */
static struct groups
group_crashes(
    const struct part *t, struct part *const *others, uint32_t nothers)
{
	struct groups g = { 0 };
	uint64_t began_at = 0;
	uint32_t i, j;

	for (i = 0; i < t->ncrashes; i++) {
		for (j = 0; j < nothers; j++) {
			if (part_explains(others[j], &t->crashes[i]))
				break;
		}
		if (j < nothers)
			continue;
		if (g.nreplicas++ == 0)
			g.first_at = t->crashes[i].at;
		g.last_at = t->crashes[i].at;
		if (g.n == 0 || t->crashes[i].at >= began_at + GROUP_NS) {
			began_at = t->crashes[i].at;
			g.n++;
		}
	}
	return g;
}

uint32_t
poison_part_groups(const struct part *t)
{
	return group_crashes(t, NULL, 0).n;
}

int
poison_part_blocks(
    const struct part *t, struct part *const *others, uint32_t nothers)
{
	struct groups g = group_crashes(t, others, nothers);

	if (is_request(t->id))
		return g.n > REQUEST_GROUPS_MIN ||
		    (g.n == REQUEST_GROUPS_MIN &&
			g.last_at < g.first_at + REQUEST_NEAR_NS);
	return g.n >= GROUPS_MIN ||
	    (t->answered_at == 0 && g.n >= UNPROVEN_GROUPS_MIN &&
		g.nreplicas >= UNPROVEN_REPLICAS_MIN);
}

/*
 * Parts that were never answered, and those with more crashes, go first; among
 * equals a whole request, which holds all parts and has the fewest callers.
 */
static int
part_precedes(const struct part *a, const struct part *b)
{
	if ((a->answered_at == 0) != (b->answered_at == 0))
		return a->answered_at == 0;
	if (a->ncrashes != b->ncrashes)
		return a->ncrashes > b->ncrashes;
	if (is_request(a->id) != is_request(b->id))
		return is_request(a->id);
	return a->id < b->id;
}

int
poison_part_is_old(const struct part *t, uint64_t now)
{
	if (t->ncrashes == 0)
		return now >= t->refuted_at + ANSWERED_NS;
	return now >= t->crashes[t->ncrashes - 1].at +
	    (poison_part_blocks(t, NULL, 0) ? BLOCK_NS : SUSPECT_NS);
}

/*
 * Whether the part can be forgotten.  A request may come again after longer
 * than its evidence counts by itself.
 */
static int
part_is_done(const struct part *t, uint64_t now)
{
	if (!poison_part_is_old(t, now))
		return 0;
	return !is_request(t->id) || t->ncrashes == 0 ||
	    now >= t->crashes[t->ncrashes - 1].at + BLOCK_NS;
}

/* Fewer crashes cannot block a part. */
static uint32_t
crashes_min(const struct part *t)
{
	return is_request(t->id) ? REQUEST_GROUPS_MIN : GROUPS_MIN;
}

static uint64_t
part_blocked_until(const struct part *t)
{
	int sure = t->ncrashes >= REPLICAS_SURE ||
	    poison_part_groups(t) > crashes_min(t);

	if (t->ncrashes == 0)
		return 0;
	return t->crashes[t->ncrashes - 1].at +
	    (sure ? BLOCK_NS : BLOCK_FIRST_NS);
}

static uint32_t
answered_slot(uint64_t id)
{
	/* Ids may differ in some bits only. */
	return (uint32_t)((id * 0x9e3779b97f4a7c15ULL >> 32) % ANSWERED_SLOTS);
}

uint64_t
poison_part_last_answered(const struct poison *p, uint64_t id)
{
	const struct answered *a = &p->answered[answered_slot(id)];

	return a->id == id ? a->at : 0;
}

void
poison_answered(struct poison *p, uint64_t now, const uint64_t *ids, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (!is_request(ids[i]) || poison_part_find(p, ids[i]) != NULL)
			poison_part_set_answered(p, now, ids[i], now);
	}
}

void
poison_crashed(struct poison *p, uint64_t now, uint64_t replica,
    const uint64_t *ids, uint32_t n)
{
	struct part *t;
	uint32_t i;

	for (i = 0; i < n; i++) {
		t = poison_part_add(p, ids[i]);
		if (t != NULL)
			(void)poison_part_add_crash(t, replica, now);
	}
}

uint64_t
poison_blocked_until(
    const struct poison *p, uint64_t now, const uint64_t *ids, uint32_t n)
{
	const struct part *t;
	uint64_t until = 0;
	uint32_t i;

	for (i = 0; i < n && p->parts != NULL; i++) {
		t = poison_part_find(p, ids[i]);
		if (t != NULL && t->blocked && part_blocked_until(t) > until)
			until = part_blocked_until(t);
	}
	return until > now ? until : 0;
}

int
poison_is_suspect(const struct poison *p, uint64_t now, uint64_t replica,
    const uint64_t *ids, uint32_t n)
{
	const struct part *t;
	uint32_t i;

	for (i = 0; i < n && p->parts != NULL; i++) {
		t = poison_part_find(p, ids[i]);
		if (t != NULL && !poison_part_is_old(t, now) &&
		    t->ncrashes > (uint32_t)part_has_crash(t, replica))
			return 1;
	}
	return 0;
}

static int
part_is_unproven(const struct part *t, uint64_t now)
{
	return t->answered_at == 0 && t->ncrashes != 0 &&
	    !poison_part_is_old(t, now);
}

int
poison_is_new(const struct poison *p, uint64_t id)
{
	const struct part *t = poison_part_find(p, id);

	return poison_part_last_answered(p, id) == 0 &&
	    (t == NULL || t->answered_at == 0);
}

/* How to send a whole request; each crash is of one more replica. */
static enum poison_care
request_care(const struct part *t, uint64_t now)
{
	if (t == NULL || t->ncrashes == 0 || poison_part_is_old(t, now))
		return POISON_ANY_REPLICA;
	return t->ncrashes > 1 && now < t->crashes[0].at + SETTLE_NS
	    ? POISON_WAIT
	    : POISON_ONE_REPLICA;
}

enum poison_care
poison_care(const struct poison *p, uint64_t now, const uint64_t *ids,
    uint32_t n, uint64_t *part)
{
	enum poison_care whole = POISON_ANY_REPLICA;
	const struct part *worst = NULL;
	const struct part *t;
	int proven = 0;
	int settling = 0;
	uint32_t i;

	for (i = 0; i < n && p->parts != NULL; i++) {
		t = poison_part_find(p, ids[i]);
		if (is_request(ids[i])) {
			whole = request_care(t, now);
			if (whole != POISON_ANY_REPLICA)
				*part = ids[i];
			continue;
		}
		proven |= !poison_is_new(p, ids[i]);
		if (t == NULL || !part_is_unproven(t, now))
			continue;
		settling |=
		    t->ncrashes > 1 && now < t->crashes[0].at + SETTLE_NS;
		if (worst == NULL || part_precedes(t, worst))
			worst = t;
	}
	/* After a start of everything common parts are unproven, too. */
	if (worst == NULL || !proven)
		return whole;
	/* A part binds more requests than one of them as a whole. */
	*part = worst->id;
	return settling || whole == POISON_WAIT ? POISON_WAIT
						: POISON_ONE_REPLICA;
}

/* Parts that may be blocked, in the order of part_precedes(). */
static uint32_t
find_candidates(struct poison *p, uint64_t now, struct part **out)
{
	struct part *t, *next;
	uint32_t n = 0;
	uint32_t i;

	HASH_ITER (hh, p->parts, t, next) {
		if (part_is_done(t, now) && !t->blocked) {
			part_remove(p, t);
			continue;
		}
		if (t->ncrashes < crashes_min(t) ||
		    poison_part_is_old(t, now) ||
		    now < t->crashes[0].at + SETTLE_NS)
			continue;
		for (i = n++; i > 0 && part_precedes(t, out[i - 1]); i--)
			out[i] = out[i - 1];
		out[i] = t;
	}
	return n;
}

static void
part_set_blocked(
    struct part *t, int on, void (*changed)(void *, uint64_t, int), void *ctx)
{
	if (t->blocked == on)
		return;
	t->blocked = on;
	changed(ctx, t->id, on);
}

void
poison_update(struct poison *p, uint64_t now,
    void (*changed)(void *, uint64_t, int), void *ctx)
{
	struct part *found[PARTS_MAX];
	struct part *t;
	uint32_t n, i;
	uint32_t nblocked = 0;

	if (p->parts == NULL)
		return;
	n = find_candidates(p, now, found);
	for (i = 0; i < n; i++) {
		t = found[i];
		if (poison_part_blocks(t, found, nblocked))
			found[nblocked++] = t;
	}
	for (t = p->parts; t != NULL; t = t->hh.next) {
		for (i = 0; i < nblocked && found[i] != t; i++)
			continue;
		part_set_blocked(t, i < nblocked && now < part_blocked_until(t),
		    changed, ctx);
	}
}

uint32_t
poison_count_blocked(const struct poison *p)
{
	const struct part *t;
	uint32_t n = 0;

	for (t = p->parts; t != NULL; t = t->hh.next)
		n += (uint32_t)t->blocked;
	return n;
}
