/*
 * Scheduler of one cell: queues requests, grants slots on replicas, adapts the
 * number of slots to measured latency, and refuses requests that cannot start
 * before their deadline.  Deterministic: takes messages and the time, returns
 * messages.
 */
#ifndef SCHED_H
#define SCHED_H

#include "base.h"
#include "msg.h"

struct sched;

struct sched_config {
	uint32_t slots_initial;		   /* slots of a new replica */
	uint32_t slots_max;		   /* per replica */
	uint32_t long_share_pct;	   /* of the slots, for long jobs */
	uint32_t queue_max;		   /* waiting requests in the cell */
	uint64_t token_interval_target_ns; /* time between tokens */
	uint64_t ttft_target_ns;	   /* time to first token */
	uint64_t gate_timeout_ns;  /* gates silent for longer are dead */
	uint64_t tick_interval_ns; /* of sched_tick() */
};

/* Demand for one model since the last call of sched_take_demand(). */
struct sched_model_demand {
	char model[NAME_SIZE];
	uint64_t arrivals;
	uint64_t busy_ns; /* sum of the times that slots were held */
	uint32_t waiting;
	uint32_t refused;
};

struct sched_stats {
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

/* Adds or updates a replica and its resident models. */
void sched_update_replica(
    struct sched *, uint64_t, const struct msg_replica *, struct msg_list *);
/* Declares a model: requests for it queue while no copy is resident. */
void sched_declare_model(struct sched *, const char *);
/* Removes a replica and its grants. */
void sched_remove_replica(struct sched *, const char *);
/* Handles ACQUIRE, CANCEL, RELEASE, SYNC and REPORT; ignores other kinds. */
void sched_handle_message(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
/* Derives the gate timeout from the minimum interval between SYNCs, in ns. */
void sched_set_sync_interval(struct sched *, uint64_t);
/*
 * Expires gates, refuses late jobs and adapts slots; to be called every
 * tick_interval_ns.
 */
void sched_tick(struct sched *, uint64_t, struct msg_list *);

/* Calls back with each model's demand and resets it. */
void sched_take_demand(struct sched *,
    void (*)(void *, const struct sched_model_demand *), void *);
void sched_get_stats(const struct sched *, struct sched_stats *);
/* Outstanding grants and slot limit of a replica, 0 if it is unknown. */
void sched_get_replica_load(
    const struct sched *, const char *, uint32_t *, uint32_t *);
/* Bytes of memory per waiting request. */
size_t sched_job_size(void);

#endif
