/* Evidence in reports of processes, and the merging of it. */
#include <string.h>

#include "poison_int.h"

#define RANKS (4 * GROUPS_MIN + 8)    /* of parts in reports */
#define TURN_NS (100 * NSEC_PER_MSEC) /* then others go first */

static uint64_t age_ms(uint64_t, uint64_t);
static uint64_t time_of(uint64_t, uint64_t);
static uint32_t part_rank(const struct part *);
static void evidence_of(
    const struct part *, uint64_t, struct poison_evidence *);

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
 * know to be refuted, so refuted parts go first among equals; whole requests,
 * of which a crash adds many, go last.
 */
static uint32_t
part_rank(const struct part *t)
{
	uint32_t n = t->ncrashes == 0 ? t->nrefuted : poison_part_groups(t);

	if (n > GROUPS_MIN || poison_part_blocks(t, NULL, 0))
		n = GROUPS_MIN;
	if (t->blocked)
		n = GROUPS_MIN + 1;
	return 2 * (2 * n + (t->ncrashes == 0)) +
	    ((t->id & POISON_REQUEST) == 0);
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
		if (poison_part_is_old(t, now))
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
	if (at >= poison_part_last_answered(p, e->part) + PASSING_NS)
		poison_part_set_answered(p, now, e->part, at);
	t = poison_part_find(p, e->part);
	if (t == NULL && e->ncrashes != 0)
		t = poison_part_add(p, e->part);
	for (i = 0; t != NULL && i < e->ncrashes && i < POISON_CRASHES_MAX;
	     i++) {
		at = time_of(now, e->crashes[i].ago_ms);
		nrefuted += at <= t->answered_at;
		added |= poison_part_add_crash(t, e->crashes[i].replica, at);
	}
	/* The peer has not heard of the answer. */
	if (t != NULL)
		poison_part_note_refuted(t, now, nrefuted);
	return added;
}
