/*
 * Simulates the continuous batching of a model engine: prefill, one token per
 * running sequence and step, step time that grows with the batch size,
 * priorities, and a prefix cache of limited size.
 */
#ifndef BATCH_H
#define BATCH_H

#include <jansson.h>
#include <stdint.h>

#include "base.h"

struct batch;
struct sequence;

struct batch_config {
	double step_ms;		/* step time, batch of one */
	double step_per_seq;	/* share of step_ms added per sequence */
	double prefill_ms;	/* per 1000 bytes of prompt */
	uint32_t max_sequences; /* running at once; others queue */
};

enum sequence_event {
	SEQUENCE_TOKEN, /* *index is that of the next token */
	SEQUENCE_END,
	SEQUENCE_CANCELLED
};

/* Creates a batch and starts its thread. */
struct batch *batch_create(const struct batch_config *);
/* Multiplies the time of every step by a factor; 1 is normal speed. */
void batch_set_slowdown(struct batch *, double);
/*
 * Adds a sequence that generates tokens first to last - 1, and returns it.
 * Arguments: user name and request id, both copied into its record; hash of
 * the prompt prefix; prompt length in bytes; priority, lower numbers first;
 * first; last.
 */
struct sequence *batch_add(struct batch *, const char *, const char *, uint64_t,
    size_t, int, uint32_t, uint32_t);
/*
 * Blocks until the sequence has a token, has ended or was cancelled.  The
 * index of a token is stored through the last argument.
 */
enum sequence_event batch_next_event(
    struct batch *, struct sequence *, uint32_t *);
/* Cancels the sequence with this id; ignored when there is none. */
void batch_cancel(struct batch *, uint64_t);
/* Id of a sequence, as batch_cancel takes it. */
uint64_t batch_id(const struct sequence *);
/* Removes and frees a sequence; its record keeps the outcome given. */
void batch_remove(struct batch *, struct sequence *, const char *);
/*
 * Records of removed sequences, as an array of [name, request id, start ns,
 * end ns, tokens, outcome].  The start is 0 for one that never ran.
 */
json_t *batch_records(struct batch *);
/* Sequences running and waiting, tokens generated, busy and step seconds. */
json_t *batch_stats(struct batch *);

#endif
