/*
 * Adaptive slots.  Each replica's limit grows by a little while it is used up
 * and latency is on target, shrinks by a factor when it is not, and is cut at
 * once when the replica is much slower than its peers.
 */
#include <stdlib.h>

#include "sched_int.h"

#define SLOW_RATIO 2.0	     /* against the peers' median: cut */
#define SLOW_CLEAR_RATIO 1.4 /* below this the replica is normal again */
#define SLOW_CUT 0.25	     /* factor on the slots of a slow replica */
#define GROWTH_FIRST 1.5
#define DECREASE 0.85 /* factor when latency misses its target */
#define DECREASE_PERIOD_NS (500 * NSEC_PER_MSEC)
#define STALE_NS (2 * NSEC_PER_SEC)
#define SHORT_BURST 4 /* short work may use a quarter more */
#define SHORT_RESERVE 1
#define SAMPLE_WEIGHT 0.3
/*
 * An engine whose batch is full lets new work wait inside it, where it cannot
 * be reordered; that shows as a first token later than this.
 */
#define FIRST_RATIO 3
#define FIRST_FLOOR_NS (150 * NSEC_PER_MSEC)
#define PROBE_SLOTS 0.25      /* growth a step above the last limit that held */
#define FIRST_MIN_DRIFT 1.002 /* factor a sample, so that the minimum ages */

static int compare_u64(const void *, const void *);
static uint64_t smooth(uint64_t, uint64_t);
static void adapt_replica(
    struct sched *, struct replica *, uint64_t, uint64_t, struct msg_list *);
static void cut_slots(struct replica *, double, uint64_t);
static uint64_t first_limit(const struct sched *, const struct replica *);

static int
compare_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static uint64_t
smooth(uint64_t old, uint64_t sample)
{
	if (old == 0)
		return sample;
	return (uint64_t)((1.0 - SAMPLE_WEIGHT) * (double)old +
	    SAMPLE_WEIGHT * (double)sample);
}

uint32_t
sched_slots(const struct replica *r)
{
	uint32_t slots = r->slots < 1.0 ? 1 : (uint32_t)r->slots;

	return r->batch != 0 && slots > r->batch ? r->batch : slots;
}

int
sched_short_allowed(const struct replica *r)
{
	uint32_t slots = sched_slots(r);
	uint32_t extra = slots / SHORT_BURST;

	/* Beyond its batch an engine would only let work wait. */
	if (r->batch != 0 && r->outstanding >= r->batch)
		return 0;
	if (r->slow)
		return r->outstanding < slots;
	return r->outstanding < slots + extra ||
	    r->short_outstanding < extra + SHORT_RESERVE;
}

/* Takes one latency sample; a zero part is not known. */
void
sched_sample(
    struct replica *r, uint64_t now, uint64_t first_ns, uint64_t token_ns)
{
	if (first_ns != 0) {
		r->first_ns = smooth(r->first_ns, first_ns);
		r->first_min_ns =
		    (uint64_t)((double)r->first_min_ns * FIRST_MIN_DRIFT);
		if (r->first_min_ns == 0 || first_ns < r->first_min_ns)
			r->first_min_ns = first_ns;
	}
	if (token_ns != 0)
		r->token_ns = smooth(r->token_ns, token_ns);
	if (first_ns != 0 || token_ns != 0)
		r->sampled = now;
}

/* Median time between tokens over the replicas measured, 0 when none is. */
uint64_t
sched_peer_token_ns(const struct sched *s)
{
	uint64_t values[CELL_REPLICAS_MAX];
	size_t n = 0;
	int i;

	for (i = 0; i < CELL_REPLICAS_MAX; i++) {
		if (s->order[i] != NULL && s->order[i]->token_ns != 0)
			values[n++] = s->order[i]->token_ns;
	}
	if (n == 0)
		return 0;
	qsort(values, n, sizeof(values[0]), compare_u64);
	return values[(n - 1) / 2];
}

/* First tokens later than this mean that work waits inside the engine. */
static uint64_t
first_limit(const struct sched *s, const struct replica *r)
{
	uint64_t limit = FIRST_RATIO * r->first_min_ns;

	if (limit < FIRST_FLOOR_NS)
		limit = FIRST_FLOOR_NS;
	return limit < s->config.first_target_ns ? limit
						 : s->config.first_target_ns;
}

static void
cut_slots(struct replica *r, double factor, uint64_t now)
{
	r->slots *= factor;
	if (r->slots < 1.0)
		r->slots = 1.0;
	/* A slow replica comes back to where it was. */
	r->ceiling = factor == SLOW_CUT ? r->slots / SLOW_CUT : r->slots;
	r->adapted = now;
}

static void
adapt_replica(struct sched *s, struct replica *r, uint64_t median, uint64_t now,
    struct msg_list *out)
{
	double ratio = 0.0;

	if (median != 0)
		ratio = (double)r->token_ns / (double)median;
	/* A fuller batch alone is slower too, but stays on target. */
	if (!r->slow && ratio > SLOW_RATIO &&
	    r->token_ns > s->config.token_target_ns) {
		r->slow = 1;
		cut_slots(r, SLOW_CUT, now);
		return;
	}
	if (r->slow && ratio < SLOW_CLEAR_RATIO)
		r->slow = 0;
	/* With no fresh sample, drift back so that the replica is tried. */
	if (now > r->sampled + STALE_NS && median != 0) {
		r->token_ns = smooth(r->token_ns, median);
		r->first_ns = smooth(r->first_ns, r->first_min_ns);
		r->sampled = now;
	}
	if (r->token_ns > s->config.token_target_ns ||
	    r->first_ns > first_limit(s, r)) {
		/* Each cut needs news from after the one before. */
		if (now >= r->adapted + DECREASE_PERIOD_NS &&
		    r->sampled > r->adapted)
			cut_slots(r, DECREASE, now);
		r->full = 0;
		return;
	}
	if (!r->full || r->slow || r->slots >= s->config.slots_max)
		return;
	/* Doubles within two steps until latency first says stop. */
	if (r->adapted == 0)
		r->slots *= GROWTH_FIRST;
	else
		r->slots += r->slots < r->ceiling ? 1.0 : PROBE_SLOTS;
	if (r->slots > s->config.slots_max)
		r->slots = s->config.slots_max;
	r->full = 0;
	sched_fill(s, now, r, out);
}

void
sched_adapt(struct sched *s, uint64_t now, struct msg_list *out)
{
	uint64_t median;
	int i;

	median = sched_peer_token_ns(s);
	for (i = 0; i < CELL_REPLICAS_MAX; i++) {
		if (s->order[i] != NULL)
			adapt_replica(s, s->order[i], median, now, out);
	}
}
