#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base.h"
#include "mem.h"
#include "poison.h"

/* Crashes without an answer between them that block a part. */
#define CRASHES_MIN 3
/*
 * Replicas that fail together within this time count as one crash: a host or a
 * rack has failed, and any part may have been on several of them.
 */
#define CRASH_GAP_NS (300 * NSEC_PER_MSEC)
/*
 * From the first crash until a part can be blocked: two ways through the tree
 * of reports, so that a process that had an answer has been heard.
 */
#define SETTLE_NS (1500 * NSEC_PER_MSEC)
/* With as many crashed replicas a part is blocked for long. */
#define REPLICAS_SURE 5
/* Evidence below CRASHES_MIN is kept. */
#define SUSPECT_NS (30 * NSEC_PER_SEC)
/* A part blocked on few crashes may be sound, and is tried again. */
#define BLOCK_FIRST_NS (60 * NSEC_PER_SEC)
#define BLOCK_NS (600 * NSEC_PER_SEC)  /* after more crashes */
#define ANSWERED_NS (5 * NSEC_PER_SEC) /* a refutation is passed on */
/*
 * Ages do not contain the time of passing them on.  A peer's answer that is
 * later by less than this may be one that is known.
 */
#define PASSING_NS (1 * NSEC_PER_SEC)
#define RANKS (2 * CRASHES_MIN + 4)   /* of parts in reports */
#define TURN_NS (100 * NSEC_PER_MSEC) /* then others go first */
#define PARTS_MAX 512		      /* with evidence */
#define ANSWERED_SLOTS 16384	      /* parts whose latest answer is known */

struct crash {
	uint64_t replica;
	uint64_t at;
};

struct part {
	uint64_t id;
	uint64_t answered_at; /* by any process, 0: never */
	uint64_t refuted_at;  /* crashes were found to be before an answer */
	uint32_t nrefuted;    /* most crashes before an answer */
	uint32_t ncrashes;    /* after answered_at, oldest first */
	struct crash crashes[POISON_CRASHES_MAX];
	int blocked; /* by the latest update */
	UT_hash_handle hh;
};

/* The latest answer to a request with the part; a hash collision forgets it. */
struct answered {
	uint64_t id;
	uint64_t at;
};

struct poison {
	struct part *parts;
	struct answered answered[ANSWERED_SLOTS];
};

static struct part *part_find(const struct poison *, uint64_t);
static struct part *part_add(struct poison *, uint64_t);
static void part_remove(struct poison *, struct part *);
static int part_make_room(struct part *, uint64_t);
static int part_add_crash(struct part *, uint64_t, uint64_t);
static void part_note_refuted(struct part *, uint64_t, uint32_t);
static void set_answered(struct poison *, uint64_t, uint64_t, uint64_t);
static uint64_t last_answered(struct poison *, uint64_t);
static int part_has_crash(const struct part *, uint64_t);
static int part_explains(const struct part *, const struct crash *);
static uint32_t part_count_crashes(
    const struct part *, struct part *const *, uint32_t);
static int part_precedes(const struct part *, const struct part *);
static uint32_t find_candidates(struct poison *, uint64_t, struct part **);
static void part_set_blocked(
    struct part *, int, void (*)(void *, uint64_t, int), void *);
static int part_is_old(const struct part *, uint64_t);
static uint64_t part_blocked_until(const struct part *);
static struct answered *answered_slot(struct poison *, uint64_t);
static uint64_t age_ms(uint64_t, uint64_t);
static uint64_t time_of(uint64_t, uint64_t);
static uint32_t part_rank(const struct part *);
static void evidence_of(
    const struct part *, uint64_t, struct poison_evidence *);

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

static struct part *
part_find(const struct poison *p, uint64_t id)
{
	struct part *t;

	HASH_FIND(hh, p->parts, &id, sizeof(id), t);
	return t;
}

/* Makes room by dropping the oldest part with little evidence. */
static struct part *
part_add(struct poison *p, uint64_t id)
{
	struct part *t = part_find(p, id);
	struct part *old;

	if (t != NULL)
		return t;
	for (old = p->parts; old != NULL && HASH_COUNT(p->parts) >= PARTS_MAX;
	     old = old->hh.next) {
		if (part_count_crashes(old, NULL, 0) < CRASHES_MIN) {
			part_remove(p, old);
			break;
		}
	}
	if (HASH_COUNT(p->parts) >= PARTS_MAX)
		return NULL;
	t = mem_alloc(sizeof(*t));
	t->id = id;
	HASH_ADD(hh, p->parts, id, sizeof(t->id), t);
	t->answered_at = last_answered(p, id);
	return t;
}

static void
part_remove(struct poison *p, struct part *t)
{
	HASH_DEL(p->parts, t);
	free(t);
}

static void
part_note_refuted(struct part *t, uint64_t now, uint32_t n)
{
	if (n == 0)
		return;
	t->refuted_at = now;
	if (n > t->nrefuted)
		t->nrefuted = n;
}

/* An answer after a crash shows that the part did not cause it. */
static void
set_answered(struct poison *p, uint64_t now, uint64_t id, uint64_t at)
{
	struct answered *a = answered_slot(p, id);
	struct part *t = part_find(p, id);
	uint32_t n;

	a->id = id;
	a->at = at;
	if (t == NULL || at <= t->answered_at)
		return;
	t->answered_at = at;
	for (n = 0; n < t->ncrashes && t->crashes[n].at <= at; n++)
		continue;
	part_note_refuted(t, now, n);
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
	for (i = 1; i < n && t->crashes[i].at >= counted_at + CRASH_GAP_NS; i++)
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
static int
part_add_crash(struct part *t, uint64_t replica, uint64_t at)
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
	    c->at <= t->crashes[t->ncrashes - 1].at + CRASH_GAP_NS;
}

/*
 * Crashes that none of the given parts explains; those within CRASH_GAP_NS
 * count once.
 */
static uint32_t
part_count_crashes(
    const struct part *t, struct part *const *others, uint32_t nothers)
{
	uint64_t counted_at = 0;
	uint32_t n = 0;
	uint32_t i, j;

	for (i = 0; i < t->ncrashes; i++) {
		for (j = 0; j < nothers; j++) {
			if (part_explains(others[j], &t->crashes[i]))
				break;
		}
		if (j < nothers ||
		    (n != 0 && t->crashes[i].at < counted_at + CRASH_GAP_NS))
			continue;
		counted_at = t->crashes[i].at;
		n++;
	}
	return n;
}

/* Parts that were never answered, and those with more crashes, go first. */
static int
part_precedes(const struct part *a, const struct part *b)
{
	if ((a->answered_at == 0) != (b->answered_at == 0))
		return a->answered_at == 0;
	if (a->ncrashes != b->ncrashes)
		return a->ncrashes > b->ncrashes;
	return a->id < b->id;
}

static int
part_is_old(const struct part *t, uint64_t now)
{
	if (t->ncrashes == 0)
		return now >= t->refuted_at + ANSWERED_NS;
	return now >= t->crashes[t->ncrashes - 1].at +
	    (part_count_crashes(t, NULL, 0) < CRASHES_MIN ? SUSPECT_NS
							  : BLOCK_NS);
}

static uint64_t
part_blocked_until(const struct part *t)
{
	int sure = t->ncrashes >= REPLICAS_SURE ||
	    part_count_crashes(t, NULL, 0) > CRASHES_MIN;

	if (t->ncrashes == 0)
		return 0;
	return t->crashes[t->ncrashes - 1].at +
	    (sure ? BLOCK_NS : BLOCK_FIRST_NS);
}

static struct answered *
answered_slot(struct poison *p, uint64_t id)
{
	/* Ids may differ in some bits only. */
	return &p->answered[(id * 0x9e3779b97f4a7c15ULL >> 32) %
	    ANSWERED_SLOTS];
}

static uint64_t
last_answered(struct poison *p, uint64_t id)
{
	const struct answered *a = answered_slot(p, id);

	return a->id == id ? a->at : 0;
}

void
poison_answered(struct poison *p, uint64_t now, const uint64_t *ids, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		set_answered(p, now, ids[i], now);
}

void
poison_crashed(struct poison *p, uint64_t now, uint64_t replica,
    const uint64_t *ids, uint32_t n)
{
	struct part *t;
	uint32_t i;

	for (i = 0; i < n; i++) {
		t = part_add(p, ids[i]);
		if (t != NULL)
			(void)part_add_crash(t, replica, now);
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
		t = part_find(p, ids[i]);
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
		t = part_find(p, ids[i]);
		if (t != NULL && !part_is_old(t, now) &&
		    t->ncrashes > (uint32_t)part_has_crash(t, replica))
			return 1;
	}
	return 0;
}

/* Parts that may be blocked, in the order of part_precedes(). */
static uint32_t
find_candidates(struct poison *p, uint64_t now, struct part **out)
{
	struct part *t, *next;
	uint32_t n = 0;
	uint32_t i;

	HASH_ITER (hh, p->parts, t, next) {
		if (part_is_old(t, now) && !t->blocked) {
			part_remove(p, t);
			continue;
		}
		if (t->ncrashes < CRASHES_MIN || part_is_old(t, now) ||
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
		if (part_count_crashes(t, found, nblocked) >= CRASHES_MIN)
			found[nblocked++] = t;
	}
	for (t = p->parts; t != NULL; t = t->hh.next) {
		for (i = 0; i < nblocked && found[i] != t; i++)
			continue;
		part_set_blocked(t, i < nblocked && now < part_blocked_until(t),
		    changed, ctx);
	}
}

static uint64_t
age_ms(uint64_t now, uint64_t at)
{
	return now > at ? (now - at) / NSEC_PER_MSEC : 0;
}

static uint64_t
time_of(uint64_t now, uint64_t ago_ms)
{
	return ago_ms < now / NSEC_PER_MSEC ? now - ago_ms * NSEC_PER_MSEC : 0;
}

static void
evidence_of(const struct part *t, uint64_t now, struct poison_evidence *e)
{
	uint32_t i;

	memset(e, 0, sizeof(*e));
	e->part = t->id;
	e->answered_ago_ms =
	    t->answered_at == 0 ? POISON_NEVER : age_ms(now, t->answered_at);
	e->ncrashes = t->ncrashes;
	for (i = 0; i < t->ncrashes; i++) {
		e->crashes[i].replica = t->crashes[i].replica;
		e->crashes[i].ago_ms = age_ms(now, t->crashes[i].at);
	}
}

/*
 * Rank in a report: blocked parts, then those with the most crashes held
 * against them or refuted.  Peers block a part on evidence that they do not
 * know to be refuted, so refuted parts go first among equals.
 */
static uint32_t
part_rank(const struct part *t)
{
	uint32_t n =
	    t->ncrashes == 0 ? t->nrefuted : part_count_crashes(t, NULL, 0);

	if (n > CRASHES_MIN)
		n = CRASHES_MIN;
	if (t->blocked)
		n = CRASHES_MIN + 1;
	return 2 * n + (t->ncrashes == 0);
}

uint32_t
poison_report(const struct poison *p, uint64_t now, struct poison_evidence *out)
{
	const struct part *found[PARTS_MAX];
	uint32_t ranks[PARTS_MAX];
	const struct part *t;
	uint32_t nfound = 0;
	uint32_t nrefuted = 0;
	uint32_t n = 0;
	uint32_t i, j, rank, turn;

	for (t = p->parts; t != NULL && nfound < PARTS_MAX; t = t->hh.next) {
		if (part_is_old(t, now))
			continue;
		found[nfound] = t;
		ranks[nfound++] = part_rank(t);
	}
	/* Parts of the same rank take turns. */
	turn = (uint32_t)(now / TURN_NS * (POISON_REPORT_MAX / 2) % PARTS_MAX);
	for (rank = RANKS; rank-- > 0;) {
		for (i = 0; i < nfound && n < POISON_REPORT_MAX; i++) {
			j = (turn + i) % nfound;
			if (ranks[j] != rank ||
			    (found[j]->ncrashes == 0 &&
				nrefuted == POISON_REPORT_MAX / 2))
				continue;
			nrefuted += found[j]->ncrashes == 0;
			evidence_of(found[j], now, &out[n++]);
		}
	}
	return n;
}

int
poison_merge(struct poison *p, uint64_t now, const struct poison_evidence *e)
{
	struct part *t;
	uint64_t at = 0;
	uint32_t nrefuted = 0;
	uint32_t i;
	int added = 0;

	if (e->answered_ago_ms != POISON_NEVER)
		at = time_of(now, e->answered_ago_ms);
	if (at >= last_answered(p, e->part) + PASSING_NS)
		set_answered(p, now, e->part, at);
	t = part_find(p, e->part);
	if (t == NULL && e->ncrashes != 0)
		t = part_add(p, e->part);
	for (i = 0; t != NULL && i < e->ncrashes && i < POISON_CRASHES_MAX;
	     i++) {
		at = time_of(now, e->crashes[i].ago_ms);
		nrefuted += at <= t->answered_at;
		added |= part_add_crash(t, e->crashes[i].replica, at);
	}
	/* The peer has not heard of the answer. */
	if (t != NULL)
		part_note_refuted(t, now, nrefuted);
	return added;
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
