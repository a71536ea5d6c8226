#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "permits_int.h"

/* Reports come every 0.2 s; the rest is for those that are late. */
#define BORROWED_NS (600 * NSEC_PER_MSEC)
/* How long a share counts as lent after the last report that lent it. */
#define LENT_NS (800 * NSEC_PER_MSEC)
/* The same where the pool lends it to another one in its turn. */
#define LENT_TWICE_NS (1500 * NSEC_PER_MSEC)
/* Until a process that starts has the share that its predecessor lent. */
#define STARTUP_NS LENT_TWICE_NS
/* A process that stood still for longer does not know what holds now. */
#define PAUSED_NS (500 * NSEC_PER_MSEC)
/* A permit that comes later is not used. */
#define PERMIT_VALID_NS (REQUEST_VALID_NS + 100 * NSEC_PER_MSEC)
/* A pool that answers nothing for this time is left for a time. */
#define POOL_SILENT_NS (1 * NSEC_PER_SEC)
#define POOL_AVOID_NS (3 * NSEC_PER_SEC)
/* The rest of a limit is for orders and reports, which count as well. */
#define LIMIT_REQUESTS_SHARE 0.9

static uint32_t borrowed_shares(const struct permits *, uint64_t);
static uint32_t usable_shares(const struct permits *, uint64_t);
static void note_pause(struct permits *, uint64_t);
static void forward_request(
    struct permits *, uint64_t, const struct permit_request *);

struct permits *
permits_create(const struct directory *d, const char *self, uint64_t now,
    const struct permits_ops *ops, void *ctx)
{
	struct permits *p;

	p = mem_alloc(sizeof(*p));
	p->directory = d;
	p->ops = ops;
	p->ctx = ctx;
	snprintf(p->self, sizeof(p->self), "%s", self);
	p->processes = 1;
	p->lent_until = now + STARTUP_NS;
	TAILQ_INIT(&p->pending);
	return p;
}

void
permits_destroy(struct permits *p)
{
	struct loan *l, *next;

	if (p == NULL)
		return;
	HASH_ITER (hh, p->loans, l, next) {
		HASH_DEL(p->loans, l);
		free(l);
	}
	permits_pool_clear(p);
	free(p);
}

void
permits_set_processes(struct permits *p, uint32_t n)
{
	p->processes = n == 0 ? 1 : n;
}

void
permits_set_pool(
    struct permits *p, uint64_t now, const char *addr, int lends_on)
{
	if (p->pool[0] != '\0' && p->unanswered_since != 0 &&
	    p->requested_at > p->unanswered_since + POOL_SILENT_NS)
		p->avoid_pool_until = now + POOL_AVOID_NS;
	if (now < p->avoid_pool_until)
		addr = "";
	if (strcmp(addr, p->pool) == 0)
		return;
	p->pool[0] = '\0';
	p->unanswered_since = 0;
	if (now < p->lent_until && p->lend_ns != 0)
		return;
	if (*addr == '\0')
		return;
	snprintf(p->pool, sizeof(p->pool), "%s", addr);
	p->lend_ns = lends_on ? LENT_TWICE_NS : LENT_NS;
	p->lent_until = now + p->lend_ns;
	permits_pool_clear(p);
}

const char *
permits_pool(const struct permits *p)
{
	return p->pool;
}

void
permits_reported(struct permits *p, uint64_t now)
{
	if (p->pool[0] != '\0')
		p->lent_until = now + p->lend_ns;
}

void
permits_borrow(
    struct permits *p, uint64_t now, const char *addr, uint32_t shares)
{
	struct loan *l;

	note_pause(p, now);
	HASH_FIND_STR(p->loans, addr, l);
	if (l == NULL && shares == 0)
		return;
	if (l == NULL) {
		l = mem_alloc(sizeof(*l));
		snprintf(l->addr, sizeof(l->addr), "%s", addr);
		HASH_ADD_STR(p->loans, addr, l);
	}
	l->shares = shares;
	l->until = now + BORROWED_NS;
}

static uint32_t
borrowed_shares(const struct permits *p, uint64_t now)
{
	const struct loan *l;
	uint32_t n = 0;

	for (l = p->loans; l != NULL; l = l->hh.next)
		n += now < l->until ? l->shares : 0;
	return n;
}

uint32_t
permits_shares(const struct permits *p, uint64_t now)
{
	return 1 + borrowed_shares(p, now);
}

/* Shares at the rate of which this pool gives out permits. */
static uint32_t
usable_shares(const struct permits *p, uint64_t now)
{
	if (p->pool[0] != '\0' || now < p->lent_until)
		return 0;
	return permits_shares(p, now);
}

double
permits_available(const struct permits *p, uint64_t now)
{
	double n;

	if (p->pool[0] != '\0')
		return LIMIT_REQUESTS_SHARE;
	n = usable_shares(p, now);
	if (n > p->processes)
		n = p->processes;
	return LIMIT_REQUESTS_SHARE * n / p->processes;
}

static void
forward_request(struct permits *p, uint64_t now, const struct permit_request *r)
{
	if (r->nreplicas == 0) {
		p->ops->send_request(p->ctx, p->pool, r);
		return;
	}
	if (p->unanswered_since == 0 ||
	    now > p->requested_at + POOL_SILENT_NS / 2)
		p->unanswered_since = now;
	p->requested_at = now;
	p->ops->send_request(p->ctx, p->pool, r);
}

void
permits_ask(struct permits *p, uint64_t now, struct permit_request *r)
{
	memcpy(r->origin, p->self, sizeof(r->origin));
	r->asked_at = now;
	permits_requested(p, now, p->self, r);
}

void
permits_requested(struct permits *p, uint64_t now, const char *from,
    const struct permit_request *r)
{
	note_pause(p, now);
	if (p->pool[0] != '\0')
		forward_request(p, now, r);
	else if (usable_shares(p, now) != 0)
		permits_pool_request(p, now, from, r);
}

void
permits_answered(struct permits *p, uint64_t now, const struct permit_answer *a)
{
	p->unanswered_since = 0;
	if (strcmp(a->origin, p->self) != 0)
		p->ops->send_answer(p->ctx, a->origin, a);
	else if (now <= a->asked_at + PERMIT_VALID_NS)
		p->ops->answered(p->ctx, a, a->asked_at + PERMIT_VALID_NS);
}

/* After a pause it goes on as if it had started. */
static void
note_pause(struct permits *p, uint64_t now)
{
	if (p->ticked_at != 0 && now > p->ticked_at + PAUSED_NS &&
	    p->lent_until < now + STARTUP_NS)
		p->lent_until = now + STARTUP_NS;
	p->ticked_at = now;
}

void
permits_tick(struct permits *p, uint64_t now)
{
	struct loan *l, *next;

	note_pause(p, now);
	HASH_ITER (hh, p->loans, l, next) {
		if (now < l->until)
			continue;
		HASH_DEL(p->loans, l);
		free(l);
	}
	if (usable_shares(p, now) == 0) {
		permits_pool_clear(p);
		return;
	}
	permits_pool_tick(p, now);
}
