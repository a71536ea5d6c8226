/*
 * The queue of requests for engines that one process keeps for all: it sees
 * every grant, so that prompts are spread out in time and over replicas.
 * Soft state: lost, it is asked for again.  Deterministic.
 */
#ifndef DISPATCH_H
#define DISPATCH_H

#include "balance.h"
#include "msg.h"
#include "pace.h"

struct dispatch;

struct dispatch_ask {
	struct job_key key;
	char from[ADDR_SIZE]; /* process that asks, "" for this one */
	char service[NAME_SIZE];
	char model[NAME_SIZE];
	char adapter[FLEET_NAME_SIZE];
	char zone[NAME_SIZE];
	char exclude[NAME_SIZE]; /* replica not to be chosen, or "" */
	uint32_t prompt_tokens;
	uint32_t tokens;   /* prompt and predicted output */
	uint32_t priority; /* 0 is the highest */
	uint64_t target;   /* an answer that begins later is late */
	uint64_t deadline;
};

typedef void (*dispatch_granted)(
    void *, const struct dispatch_ask *, struct member_replica *);

struct dispatch *dispatch_create(struct directory *, struct pace *);
void dispatch_destroy(struct dispatch *);
/* Queues a request, or renews it. */
void dispatch_put(struct dispatch *, uint64_t, const struct dispatch_ask *);
void dispatch_cancel(struct dispatch *, const struct job_key *);
/* Grants what can be granted, the most urgent first. */
void dispatch_run(struct dispatch *, uint64_t, const struct fleet_conf *,
    uint32_t, dispatch_granted, void *);
/* A process has told of its work: its grants before then are part of it. */
void dispatch_told(struct dispatch *, uint64_t, const char *);
uint32_t dispatch_waiting(const struct dispatch *);
/* A balance_want for a request, with the engine of its service. */
void dispatch_want(const struct dispatch_ask *, const struct fleet_service *,
    uint64_t, uint32_t, struct balance_want *);

#endif
