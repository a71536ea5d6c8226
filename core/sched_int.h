/* Data structures shared by the files of the scheduler. */
#ifndef SCHED_INT_H
#define SCHED_INT_H

#include <sys/queue.h>
#include <uthash.h>

#include "sched.h"

/* Work predicted to hold a slot this long or longer counts as long. */
#define LONG_NS (6 * NSEC_PER_SEC)

#define COST_BUCKETS 4 /* below 1.5 s, 6 s, 24 s, and above */
#define LONG_BUCKET 2  /* first bucket that is long */
#define LANES (2 * COST_BUCKETS + 1)
#define LANE_OVERNIGHT (LANES - 1)

#define PREFIX_SLOTS 4096

enum job_state {
	JOB_WAITING,
	JOB_GRANTED
};

struct gate {
	struct node_id id;
	uint64_t heard; /* time of the last message */
	uint32_t refs;	/* jobs that name this gate */
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
	struct replica *replica; /* granted: where */
	TAILQ_ENTRY(job) entry;	 /* lane, or the replica's grants */
	UT_hash_handle hh;
	uint64_t rank;	    /* lower runs first */
	uint64_t deadline;  /* latest useful start */
	uint64_t refreshed; /* last time the gate named it */
	uint64_t granted_at;
	uint64_t grant;
	uint64_t prefix;
	uint64_t cost_ns;
	struct replica *exclude;
	uint32_t tokens;
	uint8_t lane;
	uint8_t is_long;
	uint8_t is_short_kind; /* short work, for the long share */
};

TAILQ_HEAD(job_list, job);

struct model {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	struct job_list lanes[LANES];
	uint32_t waiting;
	uint32_t nreplicas; /* replicas holding the model */
	struct replica *replicas[CELL_REPLICAS_MAX];
	uint64_t token_ns;   /* mean time between tokens */
	uint64_t first_ns;   /* mean time to the first token */
	double token_ratio;  /* generated tokens per token allowed */
	uint64_t service_ns; /* mean slot time of one request */
	uint64_t short_seen; /* last arrival of short work */
	struct sched_demand demand;
};

struct replica {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	int leaving;
	int slow;
	uint32_t index;
	uint32_t batch; /* sequences the engine runs at once, 0 unknown */
	double slots;
	double ceiling; /* slots after the last cut */
	uint32_t outstanding;
	uint32_t long_outstanding;
	uint32_t short_outstanding; /* short work that someone waits for */
	struct job_list grants;
	uint32_t nmodels;
	struct model *models[REPLICA_MODELS_MAX];
	uint64_t token_ns;     /* smoothed time between tokens */
	uint64_t first_ns;     /* smoothed time to the first token */
	uint64_t first_min_ns; /* lowest lately */
	uint64_t sampled;      /* time of the last sample */
	uint64_t adapted;      /* time of the last decrease */
	uint32_t full; /* work waited for the limit since the last step */
};

struct prefix_slot {
	uint64_t prefix;
	struct replica *replica;
};

struct sched {
	struct sched_config config;
	struct job *jobs;
	struct model *models;
	struct replica *replicas;
	struct replica *order[CELL_REPLICAS_MAX];
	TAILQ_HEAD(, gate) gates;
	struct prefix_slot prefixes[PREFIX_SLOTS];
	uint64_t next_grant;
	uint64_t ticked;
	struct sched_totals totals;
};

/* sched.c */
/*
 * Finds the record of a gate's incarnation and notes that it was heard.
 * Returns NULL for an incarnation older than one already heard.
 */
struct gate *sched_gate(struct sched *, uint64_t, const struct node_id *);
struct model *sched_model(struct sched *, const char *, int);
struct replica *sched_find(const struct sched *, const char *);
void sched_drop_job(struct sched *, struct job *);

/* sched_msg.c */
void sched_send_grant(struct sched *, uint64_t, struct job *, struct replica *,
    struct msg_list *);
void sched_refuse_job(
    struct sched *, struct job *, enum refuse_reason, struct msg_list *);

/* sched_queue.c: lanes and their order */
void sched_estimate(struct job *, uint32_t);
void sched_enqueue(struct job *, uint32_t, uint64_t);
void sched_unqueue(struct job *);
/* First job of the model in rank order that may run on the replica. */
enum sched_allow {
	ALLOW_SHORT, /* only short work that someone waits for */
	ALLOW_BRIEF, /* anything but long work */
	ALLOW_ANY
};
struct job *sched_first(
    struct model *, const struct replica *, enum sched_allow);
void sched_shed(struct sched *, struct model *, uint64_t, struct msg_list *);

/* sched_pick.c: which replica, which job */
struct replica *sched_pick_replica(
    struct sched *, uint64_t, const struct job *);
void sched_fill(struct sched *, uint64_t, struct replica *, struct msg_list *);
int sched_long_allowed(const struct sched *, const struct replica *, uint64_t);

/* sched_slots.c: adaptive slots */
void sched_sample(struct replica *, uint64_t, uint64_t, uint64_t);
void sched_adapt(struct sched *, uint64_t, struct msg_list *);
uint32_t sched_slots(const struct replica *);
/*
 * Whether short work may start: up to the limit and a little beyond, and a
 * few at any time, since long work cannot be stopped when the limit shrinks.
 */
int sched_short_allowed(const struct replica *);
uint64_t sched_peer_token_ns(const struct sched *);

#endif
