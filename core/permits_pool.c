/*
 * The pool of a process: a token bucket for each replica with a limit, and the
 * requests that wait for permits.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "permits_int.h"

/* Permits of this time may be given out at once. */
#define BURST_S 1.0
#define BURST_MIN 2.0
/* Requests that have another replica leave this share to those that do not. */
#define LEFT_SHARE 0.25
#define PENDING_MAX 4096

static void drop_buckets(struct permits *);
static void drop_pending(struct permits *);
static struct bucket *bucket_find(const struct permits *, const char *);
static void fill_bucket(
    struct permits *, uint64_t, const struct directory_replica *, double);
static void fill_buckets(struct permits *, uint64_t);
static int pending_precedes(const struct pending *, const struct pending *);
static void pending_add(struct permits *, struct pending *);
static void pending_remove(struct permits *, struct pending *);
static struct pending *pending_find(
    const struct permits *, const struct permit_request *);
static int shares_replica(
    const struct permit_request *, const struct permit_request *);
static double permits_left(
    const struct bucket *, const struct permit_request *);
static int goes_before(
    const struct pending *, const struct pending *, uint64_t);
static uint64_t expected_wait(
    const struct permits *, uint64_t, const struct pending *);
static int take_permit(
    struct permits *, const struct permit_request *, const char **);
static void answer(
    struct permits *, uint64_t, const struct pending *, const char *, uint64_t);
static void give_permits_to(struct permits *, uint64_t, int);
static void give_permits(struct permits *, uint64_t);

static void
drop_buckets(struct permits *p)
{
	struct bucket *b, *next;

	HASH_ITER (hh, p->buckets, b, next) {
		HASH_DEL(p->buckets, b);
		free(b);
	}
}

static void
drop_pending(struct permits *p)
{
	struct pending *q;

	while ((q = TAILQ_FIRST(&p->pending)) != NULL)
		pending_remove(p, q);
}

static struct bucket *
bucket_find(const struct permits *p, const char *replica)
{
	struct bucket *b;

	HASH_FIND_STR(p->buckets, replica, b);
	return b;
}

static void
fill_bucket(struct permits *p, uint64_t now, const struct directory_replica *m,
    double available)
{
	struct bucket *b = bucket_find(p, m->info.id);

	if (b == NULL) {
		b = mem_alloc(sizeof(*b));
		snprintf(b->replica, sizeof(b->replica), "%s", m->info.id);
		b->filled_at = now;
		HASH_ADD_STR(p->buckets, replica, b);
	}
	b->per_s = directory_limit(m) * available;
	b->permits +=
	    b->per_s * (double)(now - b->filled_at) / (double)NSEC_PER_SEC;
	b->most = b->per_s * BURST_S;
	if (b->most < BURST_MIN)
		b->most = BURST_MIN;
	if (b->permits > b->most)
		b->permits = b->most;
	b->filled_at = now;
}

/* Replicas without a limit, or that are gone, have no bucket. */
static void
fill_buckets(struct permits *p, uint64_t now)
{
	double available = permits_available(p, now);
	const struct directory_replica *m;
	struct bucket *b, *next;

	for (m = p->directory->replicas; m != NULL; m = m->hh.next) {
		if (directory_limit(m) != 0.0)
			fill_bucket(p, now, m, available);
	}
	HASH_ITER (hh, p->buckets, b, next) {
		if (b->filled_at == now)
			continue;
		HASH_DEL(p->buckets, b);
		free(b);
	}
}

static int
pending_precedes(const struct pending *a, const struct pending *b)
{
	if (a->request.priority != b->request.priority)
		return a->request.priority < b->request.priority;
	if (a->arrived != b->arrived)
		return a->arrived < b->arrived;
	return a->number < b->number;
}

static void
pending_add(struct permits *p, struct pending *q)
{
	struct pending *after;

	TAILQ_FOREACH_REVERSE(after, &p->pending, pending_list, entry)
	{
		if (!pending_precedes(q, after))
			break;
	}
	if (after == NULL)
		TAILQ_INSERT_HEAD(&p->pending, q, entry);
	else
		TAILQ_INSERT_AFTER(&p->pending, after, q, entry);
	p->npending++;
}

static void
pending_remove(struct permits *p, struct pending *q)
{
	TAILQ_REMOVE(&p->pending, q, entry);
	p->npending--;
	free(q);
}

static struct pending *
pending_find(const struct permits *p, const struct permit_request *r)
{
	struct pending *q;

	TAILQ_FOREACH (q, &p->pending, entry) {
		if (q->request.id == r->id &&
		    strcmp(q->request.origin, r->origin) == 0)
			return q;
	}
	return NULL;
}

/* Those whose answers can be in time go first. */
static int
goes_before(const struct pending *a, const struct pending *b, uint64_t now)
{
	int a_late = now >= a->target;
	int b_late = now >= b->target;

	return a_late != b_late ? b_late : pending_precedes(a, b);
}

static int
shares_replica(const struct permit_request *a, const struct permit_request *b)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < a->nreplicas; i++) {
		for (k = 0; k < b->nreplicas; k++) {
			if (strcmp(a->replicas[i], b->replicas[k]) == 0)
				return 1;
		}
	}
	return 0;
}

/* Permits that a request does not take. */
static double
permits_left(const struct bucket *b, const struct permit_request *r)
{
	return r->has_other ? b->most * LEFT_SHARE : 0.0;
}

/* Until those before it, and it, have had a permit of the same replicas. */
static uint64_t
expected_wait(const struct permits *p, uint64_t now, const struct pending *q)
{
	const struct pending *other;
	const struct bucket *b;
	double needed = 1.0;
	double per_s = 0.0;
	int known = 0;
	uint32_t i;

	TAILQ_FOREACH (other, &p->pending, entry) {
		if (other != q && goes_before(other, q, now) &&
		    shares_replica(&other->request, &q->request))
			needed += 1.0;
	}
	for (i = 0; i < q->request.nreplicas; i++) {
		b = bucket_find(p, q->request.replicas[i]);
		if (b == NULL)
			continue;
		known = 1;
		needed += permits_left(b, &q->request) - b->permits;
		per_s += b->per_s;
	}
	/* A limit of which this process has not heard yet. */
	if (!known || needed <= 0.0)
		return 0;
	if (needed > per_s * (double)(TIME_NEVER / NSEC_PER_SEC / 2))
		return TIME_NEVER / 2;
	return (uint64_t)(needed / per_s * (double)NSEC_PER_SEC);
}

/*
 * Takes a permit for one of the replicas, of which most are left.  Returns
 * whether there was one.
 */
static int
take_permit(
    struct permits *p, const struct permit_request *r, const char **replica)
{
	struct bucket *best = NULL;
	struct bucket *b;
	uint32_t i;

	for (i = 0; i < r->nreplicas; i++) {
		b = bucket_find(p, r->replicas[i]);
		if (b != NULL && b->permits >= 1.0 + permits_left(b, r) &&
		    (best == NULL || b->permits > best->permits))
			best = b;
	}
	if (best == NULL)
		return 0;
	best->permits -= 1.0;
	*replica = best->replica;
	return 1;
}

static void
answer(struct permits *p, uint64_t now, const struct pending *q,
    const char *replica, uint64_t wait_ns)
{
	struct permit_answer a = { 0 };

	memcpy(a.origin, q->request.origin, sizeof(a.origin));
	a.id = q->request.id;
	a.asked_at = q->request.asked_at;
	snprintf(a.replica, sizeof(a.replica), "%s", replica);
	a.wait_ns = wait_ns;
	if (strcmp(q->answer_to, p->self) == 0)
		permits_answered(p, now, &a);
	else
		p->ops->send_answer(p->ctx, q->answer_to, &a);
}

/* Gives permits to those that are late, or those that are not. */
static void
give_permits_to(struct permits *p, uint64_t now, int late)
{
	struct pending *q, *next;
	const char *replica;

	for (q = TAILQ_FIRST(&p->pending); q != NULL; q = next) {
		next = TAILQ_NEXT(q, entry);
		if ((now >= q->target) != late)
			continue;
		if (now < q->valid_until) {
			if (!take_permit(p, &q->request, &replica))
				continue;
			answer(p, now, q, replica, 0);
		}
		pending_remove(p, q);
	}
}

static void
give_permits(struct permits *p, uint64_t now)
{
	give_permits_to(p, now, 0);
	give_permits_to(p, now, 1);
}

void
permits_pool_request(struct permits *p, uint64_t now, const char *from,
    const struct permit_request *r)
{
	struct pending *q = pending_find(p, r);
	uint64_t wait_ns;

	if (q != NULL)
		pending_remove(p, q);
	if (p->npending == PENDING_MAX || r->nreplicas == 0)
		return;
	q = mem_alloc(sizeof(*q));
	q->request = *r;
	q->number = ++p->nrequests;
	snprintf(q->answer_to, sizeof(q->answer_to), "%s", from);
	q->arrived = now > r->waited_ns ? now - r->waited_ns : 0;
	q->target = now + r->target_ns;
	q->valid_until = now + REQUEST_VALID_NS;
	pending_add(p, q);
	fill_buckets(p, now);
	give_permits(p, now);
	q = pending_find(p, r);
	if (q == NULL)
		return;
	wait_ns = expected_wait(p, now, q);
	answer(p, now, q, "", wait_ns);
	/* The answer may have withdrawn it. */
	q = pending_find(p, r);
	if (q != NULL && wait_ns > r->max_wait_ns)
		pending_remove(p, q);
}

void
permits_pool_tick(struct permits *p, uint64_t now)
{
	fill_buckets(p, now);
	give_permits(p, now);
}

void
permits_pool_clear(struct permits *p)
{
	drop_buckets(p);
	drop_pending(p);
}
