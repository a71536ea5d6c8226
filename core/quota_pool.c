/*
 * The pool of a process: a token bucket for each account.  A request of any
 * size is granted while the bucket is not in debt, so that large requests fare
 * as well as small ones of the same account.
 */
#include "quota_int.h"

/* Smallest size of a bucket, as a time at the rate of the quota. */
#define BURST_MIN_S 0.1
/* Part of the operator's slack by which a bucket may be in debt. */
#define DEBT_SHARE 0.5
/* Spare tokens are granted from above this part of a bucket only. */
#define SPARE_ABOVE 0.5
/* Longest Retry-After. */
#define RETURN_MAX_NS (5 * NSEC_PER_SEC)

static double bucket_size(const struct quota *, const struct quota_account *);
static void fill(const struct quota *, uint64_t, struct quota_account *);
static uint64_t time_for(double, double);
static uint64_t return_wait(
    struct quota_account *, uint64_t, uint64_t, double, double);

static double
bucket_size(const struct quota *q, const struct quota_account *a)
{
	double least = a->rate_per_s * BURST_MIN_S;

	return q->part * (a->burst > least ? a->burst : least);
}

static void
fill(const struct quota *q, uint64_t now, struct quota_account *a)
{
	struct quota_bucket *b = &a->bucket;
	double size = bucket_size(q, a);

	if (b->filled_at != 0 && now > b->filled_at)
		b->tokens += a->rate_per_s * q->part *
		    (double)(now - b->filled_at) / (double)NSEC_PER_SEC;
	b->filled_at = now;
	if (b->tokens > size)
		b->tokens = size;
}

/* Time in which a rate yields a number of tokens, one hour at most. */
static uint64_t
time_for(double tokens, double per_s)
{
	double s = tokens / per_s;

	if (tokens <= 0.0)
		return 0;
	return s > 3600.0 ? 3600 * NSEC_PER_SEC
			  : (uint64_t)(s * (double)NSEC_PER_SEC);
}

/* Time until a refused request may be granted, after those refused earlier. */
static uint64_t
return_wait(struct quota_account *a, uint64_t now, uint64_t room_ns,
    double tokens, double per_s)
{
	struct quota_bucket *b = &a->bucket;

	if (b->room_at < now + room_ns)
		b->room_at = now + room_ns;
	b->room_at += time_for(tokens, per_s);
	if (b->room_at > now + RETURN_MAX_NS)
		b->room_at = now + RETURN_MAX_NS;
	return b->room_at - now;
}

void
quota_pool_decide(const struct quota *q, uint64_t now, struct quota_account *a,
    const struct quota_request *r, struct quota_answer *answer)
{
	double per_s = a->rate_per_s * q->part;
	double size = bucket_size(q, a);
	double tokens = (double)r->tokens;
	double spare;
	double needed;
	uint64_t wait_ns;

	fill(q, now, a);
	/* Requests up to the allowed debt need no tokens in the bucket. */
	needed = tokens - DEBT_SHARE * q->slack * q->part;
	if (needed < 0.0)
		needed = 0.0;
	/* A request larger than the bucket needs a full one. */
	if (needed > size && q->part >= 1.0)
		needed = size;
	wait_ns = time_for(needed - a->bucket.tokens, per_s);
	answer->wait_ns = wait_ns;
	if (wait_ns > r->max_wait_ns || needed > size) {
		answer->wait_ns = return_wait(a, now, wait_ns, tokens, per_s);
		return;
	}
	a->bucket.tokens -= tokens;
	answer->granted = 1;
	spare = a->bucket.tokens - SPARE_ABOVE * size;
	if (spare > (double)r->spare_tokens)
		spare = (double)r->spare_tokens;
	if (spare >= 1.0) {
		answer->spare_tokens = (uint64_t)spare;
		a->bucket.tokens -= (double)answer->spare_tokens;
	}
}

/* Scales a debt down with the rate, so that it is not paid off any later. */
void
quota_pool_rate_changed(struct quota_account *a, double per_s)
{
	if (a->bucket.tokens < 0.0 && per_s < a->rate_per_s)
		a->bucket.tokens *= per_s / a->rate_per_s;
	a->bucket.room_at = 0;
}

void
quota_pool_clear(struct quota *q, uint64_t now)
{
	struct quota_account *a;

	for (a = q->accounts; a != NULL; a = a->hh.next) {
		a->bucket.tokens = 0.0;
		a->bucket.filled_at = now;
	}
}
