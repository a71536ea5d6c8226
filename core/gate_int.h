/* Data structures shared by the files of the gate's decisions. */
#ifndef GATE_INT_H
#define GATE_INT_H

#include <uthash.h>

#include "gate.h"

enum attempt_state {
	ATTEMPT_ASKED,	/* ACQUIRE sent, no answer yet */
	ATTEMPT_QUEUED, /* waits at the cell's owner */
	ATTEMPT_ALONE,	/* owner silent: waits for a free target here */
	ATTEMPT_RUNNING /* a fetch is in progress */
};

struct cell {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	uint64_t version;
	struct node_id owner; /* addr "" when there is none */
	uint32_t load;
};

/* A backend server: a replica of a cell, or an instance of a service. */
struct target {
	char name[NAME_SIZE];
	char addr[ADDR_SIZE];
	UT_hash_handle hh;
	struct cell *cell; /* NULL for an instance of a service */
	int leaving;
	int gone;
	uint32_t mark;	      /* update in which it was last listed */
	uint32_t outstanding; /* of this gate */
	uint64_t avoid_until;
	uint32_t nmodels;
	char (*models)[NAME_SIZE];
	/* latency since the last REPORT */
	uint64_t first_sum, token_sum;
	uint32_t first_n, token_n;
};

struct declared {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	struct msg_model info;
};

struct service {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	struct msg_service info;
	struct target *targets[CELL_REPLICAS_MAX];
};

struct call;

struct attempt {
	TAILQ_ENTRY(attempt) entry;
	struct job_key key;
	struct call *call;
	enum attempt_state state;
	struct cell *cell;
	struct target *target;
	uint64_t grant;
	uint64_t fetch;
	UT_hash_handle hh; /* by fetch */
	enum fetch_phase phase;
	uint64_t answer_due; /* ASKED, QUEUED: then choose alone */
	uint64_t resend_at;
	uint64_t started;
	uint64_t first_at;
	uint64_t last_at;
	uint32_t tokens;
	int hedge;
	void *head; /* status and headers, until the first data */
	char exclude[NAME_SIZE];
};

TAILQ_HEAD(attempt_list, attempt);

struct held {
	TAILQ_ENTRY(held) entry;
	void *payload;
};

struct call {
	struct gate_request req;
	UT_hash_handle hh; /* by rid */
	struct attempt_list attempts;
	TAILQ_HEAD(, held) held;
	size_t held_bytes;
	uint32_t next_attempt;
	uint32_t tries;
	uint32_t delivered; /* tokens the caller has */
	int begun;	    /* the caller has part of the answer */
	int written;	    /* some backend server got a byte */
	int detached;	    /* the caller left, the request goes on */
	int hedged;
	uint32_t refusals;	 /* cells that do not have the model */
	uint64_t retry_at;	 /* no attempt: try again then */
	char exclude[NAME_SIZE]; /* target that broke last */
};

struct gate_core {
	struct gate_config config;
	struct node_id self;
	unsigned short seed[3];
	struct cell *cells;
	struct target *targets;
	struct declared *models;
	struct service *services;
	struct call *calls;
	struct attempt *fetches;
	uint64_t next_fetch;
	uint32_t mark;
	double retry_tokens;
	double hedge_tokens;
	uint64_t first_p95_ns;
	uint64_t pace_ns; /* as its control process last told */
	uint64_t sync_at;
	uint64_t report_at;
	struct gate_totals totals;
};

/* gate_table.c: what the gate knows of cells, replicas and services */
void gate_table_cell(struct gate_core *, const struct msg_cell *);
void gate_table_model(struct gate_core *, const struct msg_model *);
void gate_table_service(struct gate_core *, const struct msg_service *);
void gate_table_destroy(struct gate_core *);
struct cell *gate_find_cell(struct gate_core *, const char *);
struct target *gate_find_target(struct gate_core *, const char *);
const char *gate_wanted(const struct gate_request *);
int gate_target_has(const struct target *, const char *);
struct cell *gate_pick_cell(struct gate_core *, const struct call *);
struct target *gate_pick_replica(
    struct gate_core *, uint64_t, const struct attempt *);
struct target *gate_pick_instance(
    struct gate_core *, uint64_t, const struct attempt *);

/* gate_attempt.c: one attempt */
struct attempt *gate_attempt_begin(struct gate_core *, uint64_t, struct call *,
    const char *, struct gate_actions *);
void gate_attempt_ask(
    struct gate_core *, uint64_t, struct attempt *, struct gate_actions *);
void gate_attempt_run(struct gate_core *, uint64_t, struct attempt *,
    struct target *, uint64_t, struct gate_actions *);
void gate_attempt_alone(
    struct gate_core *, uint64_t, struct attempt *, struct gate_actions *);
void gate_attempt_end(struct gate_core *, uint64_t, struct attempt *,
    enum release_outcome, struct gate_actions *);
void gate_send_release(struct gate_core *, const struct job_key *, const char *,
    uint64_t, const struct attempt *, enum release_outcome,
    struct gate_actions *);

/* gate_call.c: one request */
void gate_call_fail(struct gate_core *, uint64_t, struct call *,
    enum gate_outcome, struct gate_actions *);
void gate_call_broken(
    struct gate_core *, uint64_t, struct attempt *, struct gate_actions *);
void gate_call_finish(
    struct gate_core *, uint64_t, struct attempt *, struct gate_actions *);
void gate_call_data(struct gate_core *, uint64_t, struct attempt *,
    const struct gate_fetch *, struct gate_actions *);
void gate_call_refused(struct gate_core *, uint64_t, struct attempt *,
    enum refuse_reason, struct gate_actions *);
void gate_call_tick(
    struct gate_core *, uint64_t, struct call *, struct gate_actions *);
void gate_call_destroy(struct gate_core *, struct call *);
void gate_call_drop_held(struct call *, struct gate_actions *);

/* gate_retry.c: what follows a broken attempt */
enum retry_rule {
	RETRY_ELSEWHERE,
	RETRY_RESUME,
	RETRY_NOT_RUN,
	RETRY_UNKNOWN
};
enum retry_rule gate_retry_rule(int, enum fetch_phase);
void gate_budget_earn(struct gate_core *);
int gate_budget_retry(struct gate_core *);
int gate_budget_hedge(struct gate_core *);

struct gate_action *gate_act(
    struct gate_actions *, enum gate_action_kind, uint64_t);
void gate_send(struct gate_actions *, struct msg *);

#endif
