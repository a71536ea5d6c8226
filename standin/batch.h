/*
 * A model engine's continuous batching in small: prefill, one token for every
 * running sequence a step, steps that slow down with the batch, priorities,
 * and a prefix cache of limited size.
 */
#ifndef BATCH_H
#define BATCH_H

#include <jansson.h>
#include <stdint.h>

#include "base.h"

struct batch;
struct sequence;

struct batch_config {
	double step_ms;		/* one step alone */
	double step_per_seq;	/* share of step_ms added by each sequence */
	double prefill_ms;	/* for each 1000 bytes of prompt */
	uint32_t max_sequences; /* sequences in one batch; more wait */
};

enum sequence_event {
	SEQUENCE_TOKEN, /* *index is the next token's */
	SEQUENCE_END,
	SEQUENCE_CANCELLED
};

struct batch *batch_create(const struct batch_config *);
/* Multiplies the time of every step. */
void batch_set_slowdown(struct batch *, double);
/*
 * Adds a sequence that generates tokens first to last - 1.  Lower priority
 * numbers run first.  The name and rid label its record.
 */
struct sequence *batch_add(struct batch *, const char *, const char *, uint64_t,
    size_t, int, uint32_t, uint32_t);
/* Waits for the next news of a sequence. */
enum sequence_event batch_next_event(
    struct batch *, struct sequence *, uint32_t *);
void batch_cancel(struct batch *, uint64_t);
uint64_t batch_id(const struct sequence *);
/* Ends a sequence and writes its record. */
void batch_remove(struct batch *, struct sequence *, const char *);
/* Records of ended sequences, and totals. */
json_t *batch_records(struct batch *);
json_t *batch_stats(struct batch *);

#endif
