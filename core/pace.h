/*
 * Speed of engines: prefill by model, estimated from the time to the first
 * event, and the time of a service's requests.  Deterministic.
 */
#ifndef PACE_H
#define PACE_H

#include <uthash.h>

#include "base.h"

struct pace_model {
	char name[NAME_SIZE];
	double factor; /* of the prefill time of the slowest model */
	UT_hash_handle hh;
};

/* Time that requests of a service take on a replica. */
struct pace_service {
	char name[NAME_SIZE];
	double mean_ns;
	UT_hash_handle hh;
};

struct pace {
	struct pace_model *models;
	struct pace_service *services;
};

void pace_clear(struct pace *);
/*
 * Adds a sample: prompt tokens and time to the first event.  No other prompt
 * may have been in prefill on the replica.
 */
void pace_add_sample(struct pace *, const char *, uint32_t, uint64_t);
/* Adds the time that an answered request took. */
void pace_add_service(struct pace *, const char *, uint64_t);
/* Mean time of a service's requests, or the given one before the first. */
uint64_t pace_service_ns(const struct pace *, const char *, uint64_t);
/* Estimated time to prefill a prompt of so many tokens. */
uint64_t pace_prefill_ns(const struct pace *, const char *, uint32_t);

#endif
