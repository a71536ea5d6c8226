#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "detours.h"
#include "mem.h"

/* Cost of a peer, in requests that it already passes on. */
#define COST_FAR 2.0	 /* in another data centre */
#define COST_UNTRIED 4.0 /* it may be cut off as well */
/* A whole data centre may be cut off: of an untried peer, for each failure. */
#define COST_FAILED_BESIDE 2.0
#define FAILED_BESIDE_MAX 8U
#define REST_MIN_NS (500 * NSEC_PER_MSEC)
#define REST_MAX_NS (1 * NSEC_PER_SEC)

struct detour_peer {
	char addr[ADDR_SIZE];
	int near;
	int named; /* in the current update */
	int worked;
	uint32_t in_progress;
	uint32_t failures; /* in a row */
	uint64_t rests_until;
	UT_hash_handle hh;
};

struct detours {
	struct detour_peer *peers;
	uint32_t failed[2]; /* in a row, of far peers and of near ones */
};

static struct detour_peer *find(const struct detours *, const char *);
static void forget_unnamed(struct detours *);
static double cost(const struct detours *, const struct detour_peer *);

struct detours *
detours_create(void)
{
	return mem_alloc(sizeof(struct detours));
}

void
detours_destroy(struct detours *d)
{
	if (d == NULL)
		return;
	detours_begin_update(d);
	forget_unnamed(d);
	free(d);
}

static struct detour_peer *
find(const struct detours *d, const char *addr)
{
	struct detour_peer *p;

	HASH_FIND_STR(d->peers, addr, p);
	return p;
}

void
detours_begin_update(struct detours *d)
{
	struct detour_peer *p;

	for (p = d->peers; p != NULL; p = p->hh.next)
		p->named = 0;
}

void
detours_put(struct detours *d, const char *addr, int near)
{
	struct detour_peer *p = find(d, addr);

	if (p == NULL) {
		p = mem_alloc(sizeof(*p));
		snprintf(p->addr, sizeof(p->addr), "%s", addr);
		HASH_ADD_STR(d->peers, addr, p);
	}
	p->near = near;
	p->named = 1;
}

static void
forget_unnamed(struct detours *d)
{
	struct detour_peer *p, *next;

	HASH_ITER (hh, d->peers, p, next) {
		if (p->named)
			continue;
		HASH_DEL(d->peers, p);
		free(p);
	}
}

void
detours_end_update(struct detours *d)
{
	forget_unnamed(d);
}

static double
cost(const struct detours *d, const struct detour_peer *p)
{
	double far = p->near ? 0.0 : COST_FAR;

	if (p->worked)
		return p->in_progress + far;
	return p->in_progress + far + COST_UNTRIED +
	    d->failed[p->near] * COST_FAILED_BESIDE;
}

const char *
detours_choose(const struct detours *d, uint64_t now, double draw)
{
	const struct detour_peer *best = NULL;
	const struct detour_peer *p;
	uint32_t nbest = 0;
	uint32_t skip;

	for (p = d->peers; p != NULL; p = p->hh.next) {
		if (now < p->rests_until)
			continue;
		if (best == NULL || cost(d, p) < cost(d, best)) {
			best = p;
			nbest = 0;
		}
		nbest += cost(d, p) <= cost(d, best);
	}
	skip = (uint32_t)(draw * nbest);
	for (p = best; p != NULL; p = p->hh.next) {
		if (now >= p->rests_until && cost(d, p) <= cost(d, best) &&
		    skip-- == 0)
			return p->addr;
	}
	return best == NULL ? NULL : best->addr;
}

void
detours_started(struct detours *d, const char *addr)
{
	struct detour_peer *p = find(d, addr);

	if (p != NULL)
		p->in_progress++;
}

void
detours_ended(struct detours *d, const char *addr)
{
	struct detour_peer *p = find(d, addr);

	if (p != NULL && p->in_progress != 0)
		p->in_progress--;
}

void
detours_worked(struct detours *d, const char *addr)
{
	struct detour_peer *p = find(d, addr);

	if (p == NULL)
		return;
	d->failed[p->near] = 0;
	p->worked = 1;
	p->failures = 0;
	p->rests_until = 0;
}

void
detours_failed(struct detours *d, const char *addr, uint64_t now)
{
	struct detour_peer *p = find(d, addr);
	uint64_t rest = REST_MIN_NS;
	uint32_t i;

	if (p == NULL)
		return;
	for (i = 0; i < p->failures && rest < REST_MAX_NS; i++)
		rest *= 2;
	if (d->failed[p->near] < FAILED_BESIDE_MAX)
		d->failed[p->near]++;
	p->failures++;
	p->worked = 0;
	p->rests_until = now + (rest < REST_MAX_NS ? rest : REST_MAX_NS);
}

void
detours_reset(struct detours *d)
{
	struct detour_peer *p;

	memset(d->failed, 0, sizeof(d->failed));
	for (p = d->peers; p != NULL; p = p->hh.next) {
		p->worked = 0;
		p->failures = 0;
		p->rests_until = 0;
	}
}

int
detours_knows(const struct detours *d, const char *addr)
{
	return find(d, addr) != NULL;
}

int
detours_any_worked(const struct detours *d)
{
	const struct detour_peer *p;

	for (p = d->peers; p != NULL; p = p->hh.next) {
		if (p->worked)
			return 1;
	}
	return 0;
}

uint32_t
detours_in_progress(const struct detours *d)
{
	const struct detour_peer *p;
	uint32_t n = 0;

	for (p = d->peers; p != NULL; p = p->hh.next)
		n += p->in_progress;
	return n;
}
