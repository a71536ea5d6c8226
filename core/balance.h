/*
 * Choice of the replica for one attempt, from what the directory tells.
 * Deterministic; a draw from [0, 1) breaks ties.
 */
#ifndef BALANCE_H
#define BALANCE_H

#include "attempt.h"
#include "directory.h"

#define BALANCE_TRIED_MAX 8

struct balance_want {
	const char *service;
	const struct fleet_engine *engine; /* NULL for a plain service */
	const char *model;		   /* "" for a plain service */
	const char *adapter;		   /* "" for none */
	const char *zone;		   /* of this process */
	uint32_t prompt_tokens;
	uint32_t tokens;    /* prompt and predicted output */
	uint64_t read_ns;   /* in which an engine reads the prompt */
	uint64_t waited_ns; /* already */
	int late;
	uint32_t conns_share; /* connections that this process may hold */
	uint32_t ntried;
	char tried[BALANCE_TRIED_MAX][NAME_SIZE];
};

enum balance_result {
	BALANCE_FOUND,
	BALANCE_FULL,	    /* all that could serve it are full now */
	BALANCE_NO_ADAPTER, /* a replica has the model, none the adapter */
	BALANCE_NO_MODEL,   /* no replica in service holds the model */
	BALANCE_NO_REPLICA  /* the service has no usable replica */
};

enum balance_result balance_pick(const struct directory *, uint64_t,
    const struct balance_want *, double, struct directory_replica **);
/* Tokens that a request will probably occupy. */
uint32_t balance_tokens(const struct request_want *);

#endif
