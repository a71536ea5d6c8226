/*
 * Scheduler of one cell: queues work, grants slots on replicas, adapts the
 * slots of each replica to measured latency, and refuses what cannot begin in
 * time.  Deterministic: messages and the time go in, messages come out.
 */
#ifndef SCHED_H
#define SCHED_H

#include "base.h"
#include "msg.h"

struct sched;

struct sched_config {
	uint32_t slots_first;	  /* slots of a replica never measured */
	uint32_t slots_max;	  /* most slots of a replica */
	uint32_t long_share_pct;  /* most slots that long work may hold */
	uint32_t queue_max;	  /* most waiting requests in the cell */
	uint64_t token_target_ns; /* wanted time between tokens */
	uint64_t first_target_ns; /* wanted time to the first token */
	uint64_t gate_timeout_ns; /* silence after which a gate is dead */
	uint64_t tick_ns;	  /* period of sched_tick() */
};

/* Demand for one model since the last call of sched_demand(). */
struct sched_demand {
	char model[NAME_SIZE];
	uint64_t arrivals;
	uint64_t busy_ns; /* slot time consumed */
	uint32_t waiting;
	uint32_t refused;
};

struct sched_totals {
	uint32_t waiting;
	uint32_t granted;
	uint32_t slots;
	uint64_t grants;
	uint64_t refusals;
	uint64_t expired;
};

void sched_config_default(struct sched_config *);
struct sched *sched_create(const struct sched_config *, uint64_t);
void sched_destroy(struct sched *);

/* Adds or replaces a replica with the models resident on it. */
void sched_replica(
    struct sched *, uint64_t, const struct msg_replica *, struct msg_list *);
/* Declares a model, so that requests wait for it while no copy is resident. */
void sched_declare(struct sched *, const char *);
/* Removes a replica; its grants are forgotten. */
void sched_replica_gone(struct sched *, const char *);
/* Handles ACQUIRE, CANCEL, RELEASE, SYNC and REPORT; ignores other kinds. */
void sched_message(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
/* Gates sync no more often than this; their timeout follows. */
void sched_pace(struct sched *, uint64_t);
/* Expires, sheds and adapts; to be called every tick_ns. */
void sched_tick(struct sched *, uint64_t, struct msg_list *);

/* Calls back with each model's demand and starts a new period. */
void sched_demand(
    struct sched *, void (*)(void *, const struct sched_demand *), void *);
void sched_totals(const struct sched *, struct sched_totals *);
/* Grants outstanding on a replica, and its slots. */
void sched_replica_load(
    const struct sched *, const char *, uint32_t *, uint32_t *);
/* Bytes held for one waiting request. */
size_t sched_job_size(void);

#endif
