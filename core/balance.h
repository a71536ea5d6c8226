/*
 * Selects the replica for one attempt by the load that the directory reports.
 * Deterministic; the caller passes a random number in [0, 1) for ties.
 */
#ifndef BALANCE_H
#define BALANCE_H

#include "attempt.h"
#include "directory.h"

#define BALANCE_TRIED_MAX 8
#define BALANCE_LIMITED_MAX 8 /* candidates for a permit */

struct balance_request {
	const char *service;
	uint64_t service_hash;
	const struct fleet_engine *engine; /* NULL for a plain service */
	const char *model;		   /* "" for a plain service */
	uint64_t model_hash;
	const char *adapter;  /* "" for none */
	const char *zone;     /* data centre of this process */
	const char *software; /* of the replica, NULL for any */
	uint32_t prompt_tokens;
	uint32_t tokens;     /* prompt and expected output */
	uint64_t prefill_ns; /* time to prefill the prompt */
	uint64_t queued_ns;  /* since arrival */
	int past_target;
	/*
	 * Reports of peers are older than a request takes: every process would
	 * send to the same replica until the next report.
	 */
	int ignore_peers;
	uint32_t max_conns; /* per replica, of this process */
	/*
	 * Requests with the same key, unless it is 0, go to the same replica,
	 * or wait for it.
	 */
	uint64_t affinity_key;
	int take_full; /* replicas at their limit are suitable, too */
	uint32_t ntried;
	char tried[BALANCE_TRIED_MAX][NAME_SIZE];
};

enum balance_result {
	BALANCE_FOUND,
	BALANCE_FULL,	    /* every suitable replica is at its limit */
	BALANCE_NO_ADAPTER, /* some have the model, none has the adapter */
	BALANCE_NO_MODEL,   /* no usable replica has the model */
	BALANCE_NO_REPLICA, /* the service has no usable replica */
	BALANCE_LIMITED,    /* some have room, but take no more a second */
	BALANCE_SUSPECT	    /* it may crash replicas, and is held back */
};

/* Sets the names of a request, and their hashes. */
void balance_set_names(
    struct balance_request *, const char *, const char *, const char *);
/* Slots of the usable replicas without a limit that hold the model. */
uint32_t balance_slots(
    const struct directory *, uint64_t, const struct balance_request *);
/*
 * Slots of the suitable replicas where all say that they take no requests now,
 * and when the first takes them again; 0 where there are others, or none.
 */
uint32_t balance_closed_slots(const struct directory *, uint64_t,
    const struct balance_request *, uint64_t *);
/*
 * Requests a second that the usable replicas with a limit take from all
 * processes together.
 */
double balance_limited_rate(
    const struct directory *, uint64_t, const struct balance_request *);
/*
 * Fills in the ids of up to max replicas that have room for the request but no
 * permit, those of least delay first, and returns their number.
 */
uint32_t balance_limited(const struct directory *, uint64_t,
    const struct balance_request *, char (*)[NAME_SIZE], uint32_t);
/*
 * Whether a replica without a permit, which may have one, would have less delay
 * than the given one.
 */
int balance_limited_is_better(const struct directory *, uint64_t,
    const struct balance_request *, const struct directory_replica *);
enum balance_result balance_pick(const struct directory *, uint64_t,
    const struct balance_request *, double, struct directory_replica **);
/* Expected tokens of a request's prompt and output. */
uint32_t balance_expected_tokens(const struct request_params *);

#endif
