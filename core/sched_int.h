/* Internal declarations of the scheduler; see sched.h. */
#ifndef SCHED_INT_H
#define SCHED_INT_H

#include <sys/queue.h>
#include <uthash.h>

#include "notice.h"
#include "sched.h"

/* Jobs expected to hold a slot at least this long are long. */
#define LONG_JOB_MIN_NS (6 * NSEC_PER_SEC)

#define COST_BUCKETS 4	    /* below 1.5 s, 6 s, 24 s; above */
#define FIRST_LONG_BUCKET 2 /* of long jobs */
/* Queues of a model: one per class and expected slot time, one overnight. */
#define LANE_COUNT (2 * COST_BUCKETS + 1)
#define LANE_OVERNIGHT (LANE_COUNT - 1)

#define PREFIX_TABLE_SIZE 4096

enum job_state {
	JOB_WAITING,
	JOB_GRANTED
};

struct gate {
	struct node_id id;
	uint64_t last_message_at;
	uint32_t njobs; /* jobs of this gate */
	TAILQ_ENTRY(gate) entry;
};

struct replica;
struct model;

/* One attempt of one request, waiting or granted. */
struct job {
	struct job_key key;
	enum job_state state;
	struct gate *gate;
	struct model *model;
	struct replica *replica; /* GRANTED */
	TAILQ_ENTRY(job) entry;	 /* in a lane or a replica's grants */
	UT_hash_handle hh;
	uint64_t rank;	       /* lower runs first */
	uint64_t deadline;     /* by which it must start */
	uint64_t refreshed_at; /* last named in an ACQUIRE or SYNC */
	uint64_t granted_at;
	uint64_t grant_id;
	uint64_t incarnation; /* of the replica when granted */
	uint64_t prefix_hash;
	uint64_t expected_slot_ns;
	struct replica *exclude;
	uint32_t max_tokens;
	uint8_t lane;
	uint8_t is_long;
	uint8_t is_short; /* neither long nor overnight */
};

TAILQ_HEAD(job_list, job);

struct model {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	struct job_list lanes[LANE_COUNT];
	uint32_t waiting;
	uint32_t nreplicas; /* with the model resident */
	struct replica *replicas[CELL_REPLICAS_MAX];
	uint64_t token_interval_ns; /* moving average */
	uint64_t ttft_ns;	    /* time to first token, average */
	double output_ratio;	    /* generated tokens to max_tokens */
	uint64_t slot_time_ns;	    /* per request, moving average */
	uint64_t short_seen_at;	    /* last arrival of a short job */
	struct sched_model_demand demand;
};

struct replica {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	int leaving;
	int is_slow;
	uint64_t incarnation; /* latest known, 0: unknown */
	struct notice notice; /* what it said of itself to gates */
	double permits;	      /* grants that its limit allowed at permits_at */
	uint64_t permits_at;
	uint32_t index;
	uint32_t batch; /* sequences that the engine runs at once, 0: unknown */
	double slots;
	double slots_after_cut; /* limit right after the last cut */
	uint32_t in_flight;
	uint32_t long_in_flight;
	uint32_t short_in_flight; /* jobs with is_short */
	struct job_list grants;
	uint32_t nmodels;
	struct model *models[REPLICA_MODELS_MAX];
	uint64_t token_interval_ns; /* moving average */
	uint64_t ttft_ns;	    /* time to first token, average */
	uint64_t ttft_min_ns;	    /* lowest, rising slowly */
	uint64_t sampled_at;	    /* last sample */
	uint64_t cut_at;	    /* last reduction of slots */
	uint32_t limit_reached;	    /* a job waited since the last step */
};

/* Replica that last ran a prompt prefix, and so may have it cached. */
struct prefix_entry {
	uint64_t hash;
	struct replica *replica;
};

struct sched {
	struct sched_config config;
	struct job *jobs;
	struct model *models;
	struct replica *replicas;
	struct replica *replicas_by_index[CELL_REPLICAS_MAX];
	TAILQ_HEAD(, gate) gates;
	struct prefix_entry prefixes[PREFIX_TABLE_SIZE];
	uint64_t last_grant_id;
	uint64_t ticked_at;
	struct sched_stats stats;
};

/* sched.c */
/*
 * Finds or adds a gate and records that it sent a message.  The jobs of an
 * older incarnation are removed; returns NULL if the message is from an older
 * one.
 */
struct gate *sched_touch_gate(struct sched *, uint64_t, const struct node_id *);
/* Finds a model; if there is none, creates it when the flag is set. */
struct model *sched_get_model(struct sched *, const char *, int);
struct replica *sched_find_replica(const struct sched *, const char *);
void sched_drop_job(struct sched *, struct job *);

/* sched_msg.c */
void sched_send_grant(struct sched *, uint64_t, struct job *, struct replica *,
    struct msg_list *);
void sched_refuse_job(struct sched *, uint64_t, struct job *,
    enum refuse_reason, struct msg_list *);

/* sched_queue.c: queues of waiting jobs */
void sched_estimate_cost(struct job *, uint32_t);
void sched_enqueue_job(struct job *, uint32_t, uint64_t);
void sched_dequeue_job(struct job *);
/* Jobs that may start on a replica. */
enum sched_admission {
	ALLOW_ONLY_SHORT,   /* only jobs with is_short */
	ALLOW_ALL_BUT_LONG, /* jobs without is_long */
	ALLOW_ALL
};
/* First job of the model, by rank, that may start on the replica. */
struct job *sched_first_job(
    struct model *, const struct replica *, enum sched_admission);
void sched_refuse_late_jobs(
    struct sched *, struct model *, uint64_t, struct msg_list *);

/* sched_pick.c: selection of replicas and jobs */
struct replica *sched_pick_replica(
    struct sched *, uint64_t, const struct job *);
void sched_fill_replica(
    struct sched *, uint64_t, struct replica *, struct msg_list *);
int sched_long_job_allowed(
    const struct sched *, const struct replica *, uint64_t);

/* sched_notice.c: replicas that take no requests by their own word */
/* Whether a replica takes another request. */
int sched_replica_open(const struct replica *, uint64_t);
/* A grant on a replica uses up a part of its limit. */
void sched_use_permit(struct replica *, uint64_t);
/*
 * Grants a second that the limits of a model's replicas allow; 0 if one has no
 * limit.
 */
double sched_limited_rate(const struct model *);
/* When the first of a model's replicas takes requests, 0: now or unknown. */
uint64_t sched_reopen_at(const struct model *, uint64_t);
/* Records what a gate reports that a replica said of itself. */
void sched_apply_notice(
    struct replica *, uint64_t, const struct msg_report_item *);

/* sched_slots.c: adaptive slots */
void sched_add_sample(struct replica *, uint64_t, uint64_t, uint64_t);
void sched_adapt_slots(struct sched *, uint64_t, struct msg_list *);
uint32_t sched_slot_limit(const struct replica *);
/*
 * Whether a short job may start: up to somewhat above the slot limit, and a few
 * at any time, since long jobs cannot be stopped when the limit is reduced.
 */
int sched_short_job_allowed(const struct replica *);
uint64_t sched_median_token_ns(const struct sched *);

#endif
