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
	uint32_t slots_initial;	 /* slots of a replica never measured */
	uint32_t slots_max;	 /* most slots of a replica */
	uint32_t long_share_pct; /* most slots that long work may hold */
	uint32_t queue_max;	 /* most waiting requests in the cell */
	uint64_t token_interval_target_ns; /* wanted time between tokens */
	uint64_t ttft_target_ns;	   /* wanted time to the first token */
	uint64_t gate_timeout_ns;  /* silence after which a gate is dead */
	uint64_t tick_interval_ns; /* period of sched_tick() */
};

/* Demand for one model since the last call of sched_demand(). */
struct sched_model_demand {
	char model[NAME_SIZE];
	uint64_t arrivals;
	uint64_t busy_ns; /* slot time consumed */
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

/* Adds or replaces a replica with the models resident on it. */
void sched_update_replica(
    struct sched *, uint64_t, const struct msg_replica *, struct msg_list *);
/* Declares a model, so that requests wait for it while no copy is resident. */
void sched_declare_model(struct sched *, const char *);
/* Removes a replica; its grants are forgotten. */
void sched_remove_replica(struct sched *, const char *);
/* Handles ACQUIRE, CANCEL, RELEASE, SYNC and REPORT; ignores other kinds. */
void sched_handle_message(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
/* Gates sync no more often than this; their timeout follows. */
void sched_set_sync_interval(struct sched *, uint64_t);
/* Expires, sheds and adapts; to be called every tick_ns. */
void sched_tick(struct sched *, uint64_t, struct msg_list *);

/* Calls back with each model's demand and starts a new period. */
void sched_take_demand(struct sched *,
    void (*)(void *, const struct sched_model_demand *), void *);
void sched_get_stats(const struct sched *, struct sched_stats *);
/* Grants outstanding on a replica, and its slots. */
void sched_get_replica_load(
    const struct sched *, const char *, uint32_t *, uint32_t *);
/* Bytes held for one waiting request. */
size_t sched_job_size(void);

#endif
