#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "demand.h"
#include "mem.h"

#define DEMAND_RISE_S 0.7 /* time constant while demand grows */
#define DEMAND_FALL_S 4.0 /* while it shrinks */
#define DEMAND_REPORT_TTL_NS (2 * NSEC_PER_SEC)
#define DEMAND_BUCKET_NS (250 * NSEC_PER_MSEC)

static void demand_add_recent(struct demand_item *, uint64_t, uint64_t);
static double smooth_towards(double, double, double);

void
demand_clear(struct demand *d)
{
	struct demand_item *i, *next;

	HASH_ITER (hh, d->items, i, next) {
		HASH_DEL(d->items, i);
		free(i->sources);
		free(i);
	}
}

struct demand_item *
demand_find(const struct demand *d, const char *wanted)
{
	struct demand_item *i;

	HASH_FIND_STR(d->items, wanted, i);
	return i;
}

struct demand_item *
demand_get_or_create(struct demand *d, const char *wanted)
{
	struct demand_item *i = demand_find(d, wanted);

	if (i != NULL)
		return i;
	i = mem_alloc(sizeof(*i));
	snprintf(i->name, sizeof(i->name), "%s", wanted);
	HASH_ADD_STR(d->items, name, i);
	return i;
}

static void
demand_add_recent(struct demand_item *i, uint64_t now, uint64_t n)
{
	uint64_t bucket = now / DEMAND_BUCKET_NS;

	if (bucket >= i->recent_bucket + DEMAND_RECENT_BUCKETS) {
		memset(i->recent, 0, sizeof(i->recent));
		i->recent_bucket = bucket;
	}
	while (i->recent_bucket < bucket)
		i->recent[++i->recent_bucket % DEMAND_RECENT_BUCKETS] = 0;
	i->recent[bucket % DEMAND_RECENT_BUCKETS] += (uint32_t)n;
}

double
demand_recent_rate(const struct demand_item *i, uint64_t now)
{
	uint64_t newest = now / DEMAND_BUCKET_NS;
	uint64_t sum = 0;
	uint64_t b;

	for (b = i->recent_bucket; b + DEMAND_RECENT_BUCKETS > newest &&
	     b + DEMAND_RECENT_BUCKETS > i->recent_bucket;
	     b--)
		sum += i->recent[b % DEMAND_RECENT_BUCKETS];
	return (double)sum * (double)NSEC_PER_SEC /
	    (double)(DEMAND_RECENT_BUCKETS * DEMAND_BUCKET_NS);
}

void
demand_update(struct demand *d, uint64_t now, uint32_t source,
    const char *wanted, uint64_t arrivals, uint32_t running, uint32_t waiting)
{
	struct demand_item *i = demand_get_or_create(d, wanted);
	struct demand_source *s;
	uint64_t fresh = 0;

	if (source >= i->nsources) {
		i->sources =
		    mem_grow(i->sources, source + 1, sizeof(*i->sources));
		memset(&i->sources[i->nsources], 0,
		    (source + 1 - i->nsources) * sizeof(*i->sources));
		i->nsources = source + 1;
	}
	s = &i->sources[source];
	/* The counter of a restarted process begins at zero. */
	if (s->reported_at == 0)
		fresh =
		    arrivals < running + waiting ? arrivals : running + waiting;
	else if (arrivals > s->arrivals)
		fresh = arrivals - s->arrivals;
	if (fresh != 0) {
		i->total += fresh;
		i->new_arrivals += fresh;
		i->last_arrival_at = now;
		demand_add_recent(i, now, fresh);
		if (d->first_arrival_at == 0)
			d->first_arrival_at = now;
	}
	if (fresh != 0 || running != 0 || waiting != 0)
		i->last_busy_at = now;
	s->arrivals = arrivals;
	s->running = running;
	s->waiting = waiting;
	s->reported_at = now;
	if (waiting != 0)
		i->last_waiting_at = now;
}

double
demand_current_load(const struct demand_item *i, uint64_t now)
{
	double sum = 0.0;
	uint32_t k;

	for (k = 0; k < i->nsources; k++) {
		if (now < i->sources[k].reported_at + DEMAND_REPORT_TTL_NS)
			sum += i->sources[k].running + i->sources[k].waiting;
	}
	return sum;
}

uint32_t
demand_waiting_count(const struct demand_item *i, uint64_t now)
{
	uint32_t sum = 0;
	uint32_t k;

	for (k = 0; k < i->nsources; k++) {
		if (now < i->sources[k].reported_at + DEMAND_REPORT_TTL_NS)
			sum += i->sources[k].waiting;
	}
	return sum;
}

uint32_t
demand_running_count(const struct demand_item *i, uint64_t now)
{
	return (uint32_t)demand_current_load(i, now) -
	    demand_waiting_count(i, now);
}

int
demand_is_current(const struct demand_item *i, uint64_t now)
{
	return i->last_busy_at != 0 &&
	    now < i->last_busy_at + DEMAND_REPORT_TTL_NS;
}

static double
smooth_towards(double value, double target, double dt)
{
	double tau = target > value ? DEMAND_RISE_S : DEMAND_FALL_S;

	return target + (value - target) * exp(-dt / tau);
}

void
demand_update_averages(struct demand *d, uint64_t now)
{
	struct demand_item *i, *next;
	double dt;

	if (d->averaged_at == 0) {
		d->averaged_at = now;
		return;
	}
	dt = (double)(now - d->averaged_at) / (double)NSEC_PER_SEC;
	if (dt <= 0.0)
		return;
	d->averaged_at = now;
	HASH_ITER (hh, d->items, i, next) {
		i->rate =
		    smooth_towards(i->rate, (double)i->new_arrivals / dt, dt);
		i->load =
		    smooth_towards(i->load, demand_current_load(i, now), dt);
		i->new_arrivals = 0;
	}
}
