#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "hash.h"
#include "mem.h"
#include "shares.h"

/* From the acknowledgement that a loan repeats until the loan has ended. */
#define LOAN_NS (900 * NSEC_PER_MSEC)
#define RENEW_NS (200 * NSEC_PER_MSEC)
/* A candidate that does not answer is asked less often. */
#define PROBE_NS (400 * NSEC_PER_MSEC)
/* One that has been silent for longer may be gone, or of an earlier build. */
#define LOST_NS (2 * NSEC_PER_SEC)
#define LOST_PROBE_NS (2 * NSEC_PER_SEC)
/* A candidate that was last heard of earlier is taken for lost. */
#define ALIVE_NS (450 * NSEC_PER_MSEC)
/* A candidate that returns has to stay alive for this time to be preferred. */
#define STEADY_NS (3 * NSEC_PER_SEC)
/* Ticks further apart than this count as a pause, for example a freeze. */
#define PAUSED_NS (500 * NSEC_PER_MSEC)

/* A pool to which this process may lend. */
struct pool {
	struct share_candidate who;
	int self;
	int closing;
	uint64_t incarnation; /* of the latest acknowledgement */
	uint64_t pool_time;
	uint64_t acked_at;	/* 0: never */
	uint64_t alive_since;	/* 0: it is not */
	uint64_t first_sent_at; /* 0: never */
	uint64_t sent_at;
};

struct slot {
	char addr[ADDR_SIZE];	  /* of the pool that it is lent to, or "" */
	uint64_t lent_until;	  /* it may be lent elsewhere after that */
	uint64_t returned_number; /* of the loan that took it back, 0: none */
};

/* Loans of another process to this one's pool. */
struct lender {
	char addr[ADDR_SIZE];
	uint64_t number;
	uint32_t slots;
	uint32_t processes;
	uint64_t ends_at; /* of the loan */
	uint64_t until;	  /* its number is remembered */
	UT_hash_handle hh;
};

struct shares {
	struct node_id self;
	const struct shares_ops *ops;
	void *ctx;
	uint32_t processes;
	int closing;
	uint64_t ticked_at;
	uint64_t nloans;
	uint32_t npools;
	struct pool pools[SHARES_CANDIDATES_MAX];
	struct slot slots[SHARES_SLOTS];
	struct lender *lenders;
};

static int compare_candidates(const void *, const void *);
static struct pool *find_pool(struct shares *, const char *);
static int is_alive(const struct shares *, const struct pool *, uint64_t);
static void note_pause(struct shares *, uint64_t);
static void choose_pools(struct shares *, uint64_t, const char **);
static uint32_t slots_at(const struct shares *, const char *);
static void send_loan(struct shares *, uint64_t, struct pool *);
static void set_loan(
    struct shares *, uint64_t, struct lender *, const struct share_loan *);
static uint64_t renew_ns(const struct shares *, const struct pool *, uint64_t);
static void move_slot(struct shares *, uint64_t, struct slot *, const char *);

struct shares *
shares_create(const struct node_id *self, uint64_t now,
    const struct shares_ops *ops, void *ctx)
{
	struct shares *s;
	uint32_t i;

	s = mem_alloc(sizeof(*s));
	s->self = *self;
	s->ops = ops;
	s->ctx = ctx;
	s->ticked_at = now;
	/* Above the numbers of its predecessor, which had sent fewer. */
	s->nloans = now;
	/* Its predecessor may have lent the share. */
	for (i = 0; i < SHARES_SLOTS; i++)
		s->slots[i].lent_until = now + LOAN_NS;
	return s;
}

void
shares_destroy(struct shares *s)
{
	struct lender *l, *next;

	if (s == NULL)
		return;
	HASH_ITER (hh, s->lenders, l, next) {
		HASH_DEL(s->lenders, l);
		free(l);
	}
	free(s);
}

static int
compare_candidates(const void *x, const void *y)
{
	const struct share_candidate *a = x;
	const struct share_candidate *b = y;
	uint64_t ha = hash_text(a->addr);
	uint64_t hb = hash_text(b->addr);

	if (a->weight != b->weight)
		return a->weight > b->weight ? -1 : 1;
	if (ha != hb)
		return ha < hb ? -1 : 1;
	return strcmp(a->addr, b->addr);
}

/* Only the first SHARES_CANDIDATES_MAX are used, so the rest stays sorted. */
void
shares_rank(struct share_candidate *c, size_t n)
{
	struct share_candidate t;
	size_t i, k, m;

	if (n != 0)
		qsort(c, n, sizeof(*c), compare_candidates);
	for (i = 1; i < n && i < SHARES_CANDIDATES_MAX; i++) {
		/* The first one of a data centre that has none yet. */
		for (k = i; k < n; k++) {
			for (m = 0; m < i; m++) {
				if (strcmp(c[k].zone, c[m].zone) == 0)
					break;
			}
			if (m == i)
				break;
		}
		if (k == n || k == i)
			continue;
		t = c[k];
		memmove(&c[i + 1], &c[i], (k - i) * sizeof(*c));
		c[i] = t;
	}
}

static struct pool *
find_pool(struct shares *s, const char *addr)
{
	uint32_t i;

	for (i = 0; i < s->npools; i++) {
		if (strcmp(s->pools[i].who.addr, addr) == 0)
			return &s->pools[i];
	}
	return NULL;
}

void
shares_set_candidates(
    struct shares *s, const struct share_candidate *c, size_t n)
{
	struct pool pools[SHARES_CANDIDATES_MAX] = { 0 };
	const struct pool *old;
	size_t i;

	if (n > SHARES_CANDIDATES_MAX)
		n = SHARES_CANDIDATES_MAX;
	for (i = 0; i < n; i++) {
		old = find_pool(s, c[i].addr);
		if (old != NULL)
			pools[i] = *old;
		pools[i].who = c[i];
		pools[i].self = strcmp(c[i].addr, s->self.addr) == 0;
	}
	memcpy(s->pools, pools, sizeof(pools));
	s->npools = (uint32_t)n;
}

void
shares_set_processes(struct shares *s, uint32_t n)
{
	s->processes = n;
}

void
shares_close(struct shares *s)
{
	s->closing = 1;
}

static int
is_alive(const struct shares *s, const struct pool *p, uint64_t now)
{
	if (p->self)
		return !s->closing;
	return p->acked_at != 0 && now < p->acked_at + ALIVE_NS && !p->closing;
}

/* After a pause the process continues as if it had started. */
static void
note_pause(struct shares *s, uint64_t now)
{
	uint32_t i;

	if (now <= s->ticked_at + PAUSED_NS)
		return;
	for (i = 0; i < SHARES_SLOTS; i++) {
		if (s->slots[i].lent_until < now + LOAN_NS)
			s->slots[i].lent_until = now + LOAN_NS;
		s->slots[i].addr[0] = '\0';
		s->slots[i].returned_number = 0;
	}
}

/*
 * The pools that the slots are to be lent to: the first that are alive, but one
 * that was lost waits until it is steady; this process's own without any.
 */
static void
choose_pools(struct shares *s, uint64_t now, const char **chosen)
{
	struct pool *p;
	uint32_t n = 0;
	uint32_t i;
	int steady;

	for (steady = 1; steady >= 0; steady--) {
		for (i = 0; i < s->npools && n < SHARES_SLOTS; i++) {
			p = &s->pools[i];
			if (!is_alive(s, p, now) ||
			    (n != 0 && strcmp(chosen[0], p->who.addr) == 0) ||
			    (steady && !p->self &&
				slots_at(s, p->who.addr) == 0 &&
				now < p->alive_since + STEADY_NS))
				continue;
			chosen[n++] = p->who.addr;
		}
	}
	for (; n < SHARES_SLOTS; n++)
		chosen[n] = n == 0 ? s->self.addr : chosen[n - 1];
}

static uint32_t
slots_at(const struct shares *s, const char *addr)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < SHARES_SLOTS; i++)
		n += s->slots[i].returned_number == 0 &&
		    strcmp(s->slots[i].addr, addr) == 0;
	return n;
}

static void
send_loan(struct shares *s, uint64_t now, struct pool *p)
{
	struct share_loan l = { 0 };
	uint32_t i;

	l.number = ++s->nloans;
	if (p->first_sent_at == 0)
		p->first_sent_at = now;
	p->sent_at = now;
	if (p->pool_time != 0 && now < p->acked_at + LOAN_NS) {
		l.incarnation = p->incarnation;
		l.pool_time = p->pool_time;
		l.slots = slots_at(s, p->who.addr);
		l.processes = s->processes;
	}
	for (i = 0; i < SHARES_SLOTS && l.slots != 0; i++) {
		if (s->slots[i].returned_number == 0 &&
		    strcmp(s->slots[i].addr, p->who.addr) == 0 &&
		    s->slots[i].lent_until < p->acked_at + LOAN_NS)
			s->slots[i].lent_until = p->acked_at + LOAN_NS;
	}
	s->ops->send_loan(s->ctx, p->who.addr, &l);
}

/* Takes a slot back; lends it to another pool once the loan has ended. */
static void
move_slot(struct shares *s, uint64_t now, struct slot *t, const char *to)
{
	struct pool *p;

	if (t->returned_number == 0 && strcmp(t->addr, to) == 0)
		return;
	if (t->addr[0] != '\0' && t->returned_number == 0) {
		p = find_pool(s, t->addr);
		t->returned_number = s->nloans + 1;
		if (p != NULL && !p->self)
			send_loan(s, now, p);
		if (strcmp(t->addr, s->self.addr) == 0)
			t->lent_until = now;
	}
	if (now < t->lent_until)
		return;
	snprintf(t->addr, sizeof(t->addr), "%s", to);
	t->returned_number = 0;
	p = find_pool(s, to);
	if (p != NULL && !p->self)
		send_loan(s, now, p);
}

/* Time between two loans to a pool, or questions whether it is there. */
static uint64_t
renew_ns(const struct shares *s, const struct pool *p, uint64_t now)
{
	if (slots_at(s, p->who.addr) != 0)
		return RENEW_NS;
	return now < p->first_sent_at + LOST_NS || now < p->acked_at + LOST_NS
	    ? PROBE_NS
	    : LOST_PROBE_NS;
}

void
shares_tick(struct shares *s, uint64_t now)
{
	const char *chosen[SHARES_SLOTS];
	struct lender *l, *next;
	struct pool *p;
	uint32_t i;

	note_pause(s, now);
	s->ticked_at = now;
	HASH_ITER (hh, s->lenders, l, next) {
		if (now < l->until)
			continue;
		HASH_DEL(s->lenders, l);
		free(l);
	}
	for (i = 0; i < s->npools; i++) {
		p = &s->pools[i];
		if (!is_alive(s, p, now))
			p->alive_since = 0;
		if (!p->self && now >= p->sent_at + renew_ns(s, p, now))
			send_loan(s, now, p);
	}
	choose_pools(s, now, chosen);
	/* The same pools in another order move no slot. */
	if (strcmp(s->slots[0].addr, chosen[1]) == 0 ||
	    strcmp(s->slots[1].addr, chosen[0]) == 0) {
		move_slot(s, now, &s->slots[0], chosen[1]);
		move_slot(s, now, &s->slots[1], chosen[0]);
		return;
	}
	for (i = 0; i < SHARES_SLOTS; i++)
		move_slot(s, now, &s->slots[i], chosen[i]);
}

/*
 * Loans may overtake each other.  The record outlives any earlier loan, since
 * that ends within LOAN_NS.
 */
static void
set_loan(struct shares *s, uint64_t now, struct lender *l,
    const struct share_loan *r)
{
	l->number = r->number;
	l->slots = 0;
	l->until = now + LOAN_NS;
	if (r->incarnation == s->self.incarnation && r->pool_time <= now &&
	    r->processes != 0 && r->slots <= SHARES_SLOTS) {
		l->slots = r->slots;
		l->processes = r->processes;
		l->ends_at = r->pool_time + LOAN_NS;
	}
}

void
shares_lent(struct shares *s, uint64_t now, const char *from,
    const struct share_loan *r)
{
	struct share_ack ack = { r->number, s->self.incarnation, now,
		(uint32_t)s->closing };
	struct lender *l;

	HASH_FIND_STR(s->lenders, from, l);
	if (l == NULL) {
		l = mem_alloc(sizeof(*l));
		snprintf(l->addr, sizeof(l->addr), "%s", from);
		HASH_ADD_STR(s->lenders, addr, l);
	}
	if (r->number > l->number)
		set_loan(s, now, l, r);
	s->ops->send_ack(s->ctx, from, &ack);
}

void
shares_acked(
    struct shares *s, uint64_t now, const char *from, const struct share_ack *r)
{
	struct pool *p = find_pool(s, from);
	struct slot *t;
	uint32_t i;

	/* The pool has received the loan that takes the slot back. */
	for (i = 0; i < SHARES_SLOTS; i++) {
		t = &s->slots[i];
		if (t->returned_number != 0 &&
		    r->number >= t->returned_number &&
		    strcmp(t->addr, from) == 0)
			t->lent_until = now;
	}
	if (p == NULL)
		return;
	if (p->alive_since == 0)
		p->alive_since = now;
	p->acked_at = now;
	p->incarnation = r->incarnation;
	p->pool_time = r->pool_time;
	p->closing = r->closing != 0;
}

double
shares_part(const struct shares *s, uint64_t now)
{
	const struct lender *l;
	double part = 0.0;

	if (now > s->ticked_at + PAUSED_NS)
		return 0.0;
	for (l = s->lenders; l != NULL; l = l->hh.next) {
		if (l->slots != 0 && now < l->ends_at)
			part += (double)l->slots / l->processes;
	}
	if (s->processes != 0)
		part += (double)slots_at(s, s->self.addr) / s->processes;
	part /= SHARES_SLOTS;
	return part > 1.0 ? 1.0 : part;
}

const char *
shares_pool(const struct shares *s, uint32_t slot)
{
	return s->slots[slot].returned_number == 0 ? s->slots[slot].addr : "";
}
