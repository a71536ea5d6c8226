/*
 * Adaptive slot limits, by additive increase and multiplicative decrease.  A
 * replica's limit grows while it is used up and latency is within its targets,
 * is reduced by a factor when latency is above, and is cut at once when the
 * replica is much slower than its peers.
 */
#include <stdlib.h>

#include "sched_int.h"

#define SLOW_RATIO 2.0	   /* to the peers' median: slow above */
#define SLOW_END_RATIO 1.4 /* to the peers' median: normal below */
#define SLOW_CUT 0.25	   /* factor for a slow replica */
#define GROWTH_FACTOR_INITIAL 1.5
#define DECREASE_FACTOR 0.85 /* factor above the latency targets */
#define DECREASE_PERIOD_NS (500 * NSEC_PER_MSEC)
#define SAMPLE_STALE_NS (2 * NSEC_PER_SEC)
#define SHORT_EXTRA_DIVISOR 4 /* short jobs use up to 1/4 more */
#define SHORT_RESERVED_SLOTS 1
#define SAMPLE_WEIGHT 0.3
/*
 * An engine with a full batch queues further requests itself, where the
 * scheduler cannot reorder them.  This shows in the time to first token, which
 * is limited to a multiple of its minimum.
 */
#define TTFT_LIMIT_RATIO 3
#define TTFT_LIMIT_MIN_NS (150 * NSEC_PER_MSEC)
#define PROBE_SLOTS 0.25     /* growth per step above slots_after_cut */
#define TTFT_MIN_DRIFT 1.002 /* factor per sample, to age the minimum */

static int compare_u64(const void *, const void *);
static uint64_t ewma_ns(uint64_t, uint64_t);
static void adapt_replica(
    struct sched *, struct replica *, uint64_t, uint64_t, struct msg_list *);
static void cut_slots(struct replica *, double, uint64_t);
static uint64_t ttft_limit_ns(const struct sched *, const struct replica *);

static int
compare_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static uint64_t
ewma_ns(uint64_t old, uint64_t sample)
{
	if (old == 0)
		return sample;
	return (uint64_t)((1.0 - SAMPLE_WEIGHT) * (double)old +
	    SAMPLE_WEIGHT * (double)sample);
}

uint32_t
sched_slot_limit(const struct replica *r)
{
	uint32_t slots = r->slots < 1.0 ? 1 : (uint32_t)r->slots;

	return r->batch != 0 && slots > r->batch ? r->batch : slots;
}

int
sched_short_job_allowed(const struct replica *r)
{
	uint32_t slots = sched_slot_limit(r);
	uint32_t extra = slots / SHORT_EXTRA_DIVISOR;

	/* Beyond its batch size an engine only queues requests. */
	if (r->batch != 0 && r->in_flight >= r->batch)
		return 0;
	if (r->is_slow)
		return r->in_flight < slots;
	return r->in_flight < slots + extra ||
	    r->short_in_flight < extra + SHORT_RESERVED_SLOTS;
}

/* Adds a latency sample; 0 stands for an unknown value. */
void
sched_add_sample(
    struct replica *r, uint64_t now, uint64_t first_ns, uint64_t token_ns)
{
	if (first_ns != 0) {
		r->ttft_ns = ewma_ns(r->ttft_ns, first_ns);
		r->ttft_min_ns =
		    (uint64_t)((double)r->ttft_min_ns * TTFT_MIN_DRIFT);
		if (r->ttft_min_ns == 0 || first_ns < r->ttft_min_ns)
			r->ttft_min_ns = first_ns;
	}
	if (token_ns != 0)
		r->token_interval_ns = ewma_ns(r->token_interval_ns, token_ns);
	if (first_ns != 0 || token_ns != 0)
		r->sampled_at = now;
}

/* Median token interval over replicas with samples, 0 if there are none. */
uint64_t
sched_median_token_ns(const struct sched *s)
{
	uint64_t values[CELL_REPLICAS_MAX];
	size_t n = 0;
	int i;

	for (i = 0; i < CELL_REPLICAS_MAX; i++) {
		if (s->replicas_by_index[i] != NULL &&
		    s->replicas_by_index[i]->token_interval_ns != 0)
			values[n++] =
			    s->replicas_by_index[i]->token_interval_ns;
	}
	if (n == 0)
		return 0;
	qsort(values, n, sizeof(values[0]), compare_u64);
	return values[(n - 1) / 2];
}

/* Time to first token above which the engine queues requests itself. */
static uint64_t
ttft_limit_ns(const struct sched *s, const struct replica *r)
{
	uint64_t limit = TTFT_LIMIT_RATIO * r->ttft_min_ns;

	if (limit < TTFT_LIMIT_MIN_NS)
		limit = TTFT_LIMIT_MIN_NS;
	return limit < s->config.ttft_target_ns ? limit
						: s->config.ttft_target_ns;
}

static void
cut_slots(struct replica *r, double factor, uint64_t now)
{
	r->slots *= factor;
	if (r->slots < 1.0)
		r->slots = 1.0;
	/* A slow replica recovers its earlier limit in large steps. */
	r->slots_after_cut =
	    factor == SLOW_CUT ? r->slots / SLOW_CUT : r->slots;
	r->cut_at = now;
}

static void
adapt_replica(struct sched *s, struct replica *r, uint64_t median, uint64_t now,
    struct msg_list *out)
{
	double ratio = 0.0;

	if (median != 0)
		ratio = (double)r->token_interval_ns / (double)median;
	/* A fuller batch is slower too, but stays within the target. */
	if (!r->is_slow && ratio > SLOW_RATIO &&
	    r->token_interval_ns > s->config.token_interval_target_ns) {
		r->is_slow = 1;
		cut_slots(r, SLOW_CUT, now);
		return;
	}
	if (r->is_slow && ratio < SLOW_END_RATIO)
		r->is_slow = 0;
	/* Without samples, return to normal so that the replica is tried. */
	if (now > r->sampled_at + SAMPLE_STALE_NS && median != 0) {
		r->token_interval_ns = ewma_ns(r->token_interval_ns, median);
		r->ttft_ns = ewma_ns(r->ttft_ns, r->ttft_min_ns);
		r->sampled_at = now;
	}
	if (r->token_interval_ns > s->config.token_interval_target_ns ||
	    r->ttft_ns > ttft_limit_ns(s, r)) {
		/* Samples from before a cut must not cause the next one. */
		if (now >= r->cut_at + DECREASE_PERIOD_NS &&
		    r->sampled_at > r->cut_at)
			cut_slots(r, DECREASE_FACTOR, now);
		r->limit_reached = 0;
		return;
	}
	if (!r->limit_reached || r->is_slow || r->slots >= s->config.slots_max)
		return;
	/* Exponential growth until the first cut. */
	if (r->cut_at == 0)
		r->slots *= GROWTH_FACTOR_INITIAL;
	else
		r->slots += r->slots < r->slots_after_cut ? 1.0 : PROBE_SLOTS;
	if (r->slots > s->config.slots_max)
		r->slots = s->config.slots_max;
	r->limit_reached = 0;
	sched_fill_replica(s, now, r, out);
}

void
sched_adapt_slots(struct sched *s, uint64_t now, struct msg_list *out)
{
	uint64_t median;
	int i;

	median = sched_median_token_ns(s);
	for (i = 0; i < CELL_REPLICAS_MAX; i++) {
		if (s->replicas_by_index[i] != NULL)
			adapt_replica(
			    s, s->replicas_by_index[i], median, now, out);
	}
}
