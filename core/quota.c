#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "quota_int.h"

/* After a longer pause the share that was last set is out of date. */
#define PAUSED_NS (500 * NSEC_PER_MSEC)
/* After a refusal, the next one within this time is not the first one. */
#define QUIET_NS (5 * NSEC_PER_SEC)
/* Spare tokens are requested for the consumption of one such interval. */
#define INTERVAL_NS (500 * NSEC_PER_MSEC)

static double own_part(const struct quota *, uint64_t);
static int account_is_limited(const struct quota_account *);
static void add_lot(struct quota_account *, uint64_t, uint64_t, uint64_t);
static void note_spent(struct quota_account *, uint64_t, uint64_t);
static uint64_t spare_wanted(const struct quota_account *, uint64_t);
static int precedes(const struct quota_account *, const struct quota_account *);

struct quota *
quota_create(
    const char *self, double slack, const struct quota_ops *ops, void *ctx)
{
	struct quota *q;

	q = mem_alloc(sizeof(*q));
	snprintf(q->self, sizeof(q->self), "%s", self);
	q->slack = slack;
	q->ops = ops;
	q->ctx = ctx;
	return q;
}

void
quota_destroy(struct quota *q)
{
	struct quota_account *a, *next;

	if (q == NULL)
		return;
	HASH_ITER (hh, q->accounts, a, next) {
		HASH_DEL(q->accounts, a);
		free(a);
	}
	free(q);
}

struct quota_account *
quota_find(const struct quota *q, const char *name)
{
	struct quota_account *a;

	HASH_FIND_STR(q->accounts, name, a);
	return a;
}

void
quota_set_accounts(struct quota *q, uint64_t now,
    const struct fleet_account *accounts, uint32_t n)
{
	struct quota_account *a, *next;
	uint32_t i;

	q->generation++;
	for (i = 0; i < n; i++) {
		a = quota_find(q, accounts[i].name);
		if (a == NULL) {
			a = mem_alloc(sizeof(*a));
			memcpy(a->name, accounts[i].name, sizeof(a->name));
			a->stats.account = a->name;
			a->bucket.filled_at = now;
			HASH_ADD_STR(q->accounts, name, a);
		}
		if (a->rate_per_s != accounts[i].rate_per_s)
			quota_pool_rate_changed(a, accounts[i].rate_per_s);
		a->rate_per_s = accounts[i].rate_per_s;
		a->burst = accounts[i].burst;
		a->generation = q->generation;
	}
	HASH_ITER (hh, q->accounts, a, next) {
		if (a->generation == q->generation)
			continue;
		HASH_DEL(q->accounts, a);
		free(a);
	}
}

static double
own_part(const struct quota *q, uint64_t now)
{
	return now < q->part_at + PAUSED_NS ? q->part : 0.0;
}

void
quota_set_pool(struct quota *q, uint32_t slot, const char *addr)
{
	snprintf(q->pools[slot], sizeof(q->pools[slot]), "%s", addr);
}

void
quota_set_part(struct quota *q, uint64_t now, double part)
{
	if ((part == 0.0) != (own_part(q, now) == 0.0))
		quota_pool_clear(q, now);
	q->part = part;
	q->part_at = now;
}

static int
account_is_limited(const struct quota_account *a)
{
	return a->rate_per_s > 0.0;
}

int
quota_is_limited(const struct quota *q, const char *name)
{
	const struct quota_account *a = quota_find(q, name);

	return a != NULL && account_is_limited(a);
}

double
quota_rate(const struct quota *q, const char *name)
{
	const struct quota_account *a = quota_find(q, name);

	return a == NULL ? 0.0 : a->rate_per_s;
}

/* If all lots are in use, the tokens are dropped. */
static void
add_lot(struct quota_account *a, uint64_t now, uint64_t tokens,
    uint64_t valid_until)
{
	uint32_t i;

	if (tokens == 0 || now >= valid_until)
		return;
	for (i = 0; i < a->nlots; i++) {
		if (a->lots[i].tokens == 0 || now >= a->lots[i].valid_until)
			break;
	}
	if (i == QUOTA_LOTS_MAX)
		return;
	if (i == a->nlots)
		a->nlots++;
	a->lots[i].tokens = tokens;
	a->lots[i].valid_until = valid_until;
}

static void
note_spent(struct quota_account *a, uint64_t now, uint64_t tokens)
{
	if (now >= a->interval_until) {
		a->spent_last =
		    now < a->interval_until + INTERVAL_NS ? a->spent : 0;
		a->spent = 0;
		a->interval_until = now + INTERVAL_NS;
	}
	a->spent += tokens;
}

static uint64_t
spare_wanted(const struct quota_account *a, uint64_t now)
{
	if (now >= a->interval_until + INTERVAL_NS)
		return 0;
	return a->spent > a->spent_last ? a->spent : a->spent_last;
}

/* Takes all tokens or none. */
int
quota_take(struct quota *q, uint64_t now, const char *name, uint64_t tokens,
    uint64_t *asked_at)
{
	struct quota_account *a = quota_find(q, name);
	uint64_t held = 0;
	uint64_t left = tokens;
	uint64_t part;
	uint32_t i;

	*asked_at = now;
	if (a == NULL || !account_is_limited(a))
		return 1;
	for (i = 0; i < a->nlots; i++)
		held += now < a->lots[i].valid_until ? a->lots[i].tokens : 0;
	if (held < tokens)
		return 0;
	for (i = 0; i < a->nlots && left != 0; i++) {
		if (now >= a->lots[i].valid_until)
			continue;
		part = a->lots[i].tokens < left ? a->lots[i].tokens : left;
		a->lots[i].tokens -= part;
		left -= part;
		if (*asked_at > a->lots[i].valid_until - QUOTA_VALID_NS)
			*asked_at = a->lots[i].valid_until - QUOTA_VALID_NS;
	}
	note_spent(a, now, tokens);
	return 1;
}

int
quota_ask(struct quota *q, uint64_t now, struct quota_request *r, uint32_t try)
{
	struct quota_account *a = quota_find(q, r->account);
	const char *pool = q->pools[(r->id + try) % SHARES_SLOTS];

	if (*pool == '\0')
		pool = q->pools[(r->id + try + 1) % SHARES_SLOTS];
	if (a == NULL || *pool == '\0')
		return -1;
	memcpy(r->origin, q->self, sizeof(r->origin));
	r->asked_at = now;
	r->spare_tokens = spare_wanted(a, now);
	if (strcmp(pool, q->self) == 0)
		quota_requested(q, now, q->self, r);
	else
		q->ops->send_request(q->ctx, pool, r);
	return 0;
}

/* A pool without a share does not answer; the origin asks another one. */
void
quota_requested(struct quota *q, uint64_t now, const char *from,
    const struct quota_request *r)
{
	struct quota_account *a = quota_find(q, r->account);
	struct quota_answer answer = { 0 };

	if (a == NULL || !account_is_limited(a) || own_part(q, now) == 0.0)
		return;
	memcpy(answer.origin, r->origin, sizeof(answer.origin));
	answer.id = r->id;
	answer.asked_at = r->asked_at;
	memcpy(answer.account, r->account, sizeof(answer.account));
	answer.tokens = r->tokens;
	quota_pool_decide(q, now, a, r, &answer);
	if (strcmp(from, q->self) == 0)
		quota_answered(q, now, &answer);
	else
		q->ops->send_answer(q->ctx, from, &answer);
}

void
quota_answered(struct quota *q, uint64_t now, const struct quota_answer *r)
{
	struct quota_account *a;

	if (strcmp(r->origin, q->self) != 0 ||
	    now >= r->asked_at + QUOTA_VALID_NS)
		return;
	a = quota_find(q, r->account);
	if (a == NULL)
		return;
	if (r->granted) {
		add_lot(a, now, r->spare_tokens, r->asked_at + QUOTA_VALID_NS);
		note_spent(a, now, r->tokens);
	}
	q->ops->answered(q->ctx, r);
}

void
quota_keep(struct quota *q, uint64_t now, const struct quota_answer *r)
{
	/* Tokens granted ahead of time cannot be used by another request. */
	if (r->granted && r->wait_ns == 0)
		quota_give_back(q, now, r->account, r->tokens, r->asked_at);
}

void
quota_give_back(struct quota *q, uint64_t now, const char *name,
    uint64_t tokens, uint64_t asked_at)
{
	struct quota_account *a = quota_find(q, name);

	if (a != NULL)
		add_lot(a, now, tokens, asked_at + QUOTA_VALID_NS);
}

int
quota_count(struct quota *q, uint64_t now, const char *name, uint64_t tokens,
    int granted)
{
	struct quota_account *a = quota_find(q, name);
	int first;

	if (a == NULL)
		return 0;
	if (granted) {
		a->stats.granted++;
		a->stats.granted_tokens += tokens;
		return 0;
	}
	a->stats.refused++;
	first = now >= a->quiet_until;
	a->quiet_until = now + QUIET_NS;
	return first;
}

static int
precedes(const struct quota_account *a, const struct quota_account *b)
{
	if (a->stats.refused != b->stats.refused)
		return a->stats.refused > b->stats.refused;
	return strcmp(a->name, b->name) < 0;
}

/* The accounts that come before each are counted, which needs no copy. */
void
quota_for_each(const struct quota *q, uint32_t most,
    void (*each)(void *, const struct quota_stats *), void *ctx)
{
	const struct quota_account *a, *b;
	uint32_t n;

	for (a = q->accounts; a != NULL; a = a->hh.next) {
		n = 0;
		for (b = q->accounts; b != NULL && n < most; b = b->hh.next)
			n += precedes(b, a);
		if (n < most)
			each(ctx, &a->stats);
	}
}
