/*
 * How fast engines read prompts, by model, learned from the time to the first
 * event.  Deterministic.
 */
#ifndef PACE_H
#define PACE_H

#include <uthash.h>

#include "base.h"

struct pace_model {
	char name[NAME_SIZE];
	double factor; /* of the time that the slowest model is taken to need */
	UT_hash_handle hh;
};

struct pace {
	struct pace_model *models;
};

void pace_clear(struct pace *);
/* A prompt that was read alone had its first event after so long. */
void pace_add_sample(struct pace *, const char *, uint32_t, uint64_t);
/* Time in which a replica reads a prompt. */
uint64_t pace_prefill_ns(const struct pace *, const char *, uint32_t);

#endif
