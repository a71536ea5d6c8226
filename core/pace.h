/*
 * Prefill speed of engines by model, estimated from the time to the first
 * event.  Deterministic.
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

struct pace {
	struct pace_model *models;
};

void pace_clear(struct pace *);
/*
 * Adds a sample: prompt tokens and time to the first event.  No other prompt
 * may have been in prefill on the replica.
 */
void pace_add_sample(struct pace *, const char *, uint32_t, uint64_t);
/* Estimated time to prefill a prompt of so many tokens. */
uint64_t pace_prefill_ns(const struct pace *, const char *, uint32_t);

#endif
