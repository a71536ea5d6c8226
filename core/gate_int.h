/* Internal declarations of the gate's request handling; see gate.h. */
#ifndef GATE_INT_H
#define GATE_INT_H

#include <uthash.h>

#include "gate.h"
#include "notice.h"

enum attempt_state {
	ATTEMPT_ACQUIRING, /* ACQUIRE sent, no reply yet */
	ATTEMPT_QUEUED,	   /* queued by the cell's owner */
	ATTEMPT_SELECTING, /* no owner: the gate selects a target */
	ATTEMPT_RUNNING	   /* a fetch is in progress */
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
	int removed;
	uint32_t update_seq; /* update in which it was last listed */
	uint32_t in_flight;  /* requests of this gate */
	uint64_t avoid_until;
	uint64_t incarnation;	     /* latest known, 0: unknown */
	struct notice notice;	     /* what it said of itself */
	uint64_t probed_incarnation; /* that was sent one request */
	uint32_t nmodels;
	char (*models)[NAME_SIZE];
	/* latency samples since the last REPORT */
	uint64_t ttft_sum_ns, token_sum_ns;
	uint32_t ttft_samples, token_samples;
};

struct declared_model {
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

/* One attempt of a request, from ACQUIRE to the end of its fetch. */
struct attempt {
	TAILQ_ENTRY(attempt) entry;
	struct job_key key;
	struct call *call;
	enum attempt_state state;
	struct cell *cell;
	struct target *target;
	uint64_t grant_id;
	uint64_t fetch_id;
	UT_hash_handle hh; /* by fetch */
	enum fetch_phase phase;
	uint64_t reply_deadline; /* ACQUIRING, QUEUED: then select locally */
	uint64_t resend_at;
	uint64_t started_at;
	uint64_t incarnation; /* of the target at the start */
	uint64_t first_token_at;
	uint64_t last_token_at;
	uint32_t tokens_received;
	int is_hedge;
	void *response_head; /* kept until the first data */
	char exclude[NAME_SIZE];
};

TAILQ_HEAD(attempt_list, attempt);

/* Part of a response that is forwarded only when complete. */
struct buffered_part {
	TAILQ_ENTRY(buffered_part) entry;
	void *payload;
};

/* A request in progress. */
struct call {
	struct gate_request req;
	UT_hash_handle hh; /* by rid */
	struct attempt_list attempts;
	TAILQ_HEAD(, buffered_part) buffered;
	size_t buffered_bytes;
	uint32_t last_attempt_id;
	uint32_t failed_attempts;
	uint32_t tokens_delivered; /* to the caller */
	int response_started;	   /* the caller has part of it */
	int request_written;	   /* to a backend server, at least in part */
	int caller_gone; /* connection closed, request still running */
	int hedged;
	uint32_t no_model_refusals; /* by cells without a copy */
	uint64_t reopen_at;	    /* told by the owner, see gate_action */
	uint64_t retry_at;	    /* no attempt: start the next one then */
	char exclude[NAME_SIZE];    /* target that failed last */
};

struct gate_core {
	struct gate_config config;
	struct node_id self;
	unsigned short rng_state[3];
	struct cell *cells;
	struct target *targets;
	struct declared_model *models;
	struct service *services;
	struct call *calls;
	struct attempt *fetches;
	uint64_t last_fetch_id;
	uint32_t update_seq;
	double retry_credit;
	double hedge_credit;
	uint64_t ttft_p95_ns;
	uint64_t min_interval_ns; /* of SYNC and REPORT, set by control */
	uint64_t sync_at;
	uint64_t report_at;
	struct gate_stats stats;
};

/* gate_table.c: routing tables of cells, models and services */
void gate_table_update_cell(struct gate_core *, const struct msg_cell *);
void gate_table_update_model(struct gate_core *, const struct msg_model *);
void gate_table_update_service(struct gate_core *, const struct msg_service *);
void gate_table_destroy(struct gate_core *);
struct cell *gate_find_cell(struct gate_core *, const char *);
struct target *gate_find_target(struct gate_core *, const char *);
const char *gate_request_model(const struct gate_request *);
int gate_target_has_model(const struct target *, const char *);
struct cell *gate_pick_cell(struct gate_core *, const struct call *);
struct target *gate_pick_replica(
    struct gate_core *, uint64_t, const struct attempt *);
struct target *gate_pick_instance(
    struct gate_core *, uint64_t, const struct attempt *);

/* gate_attempt.c: one attempt */
struct attempt *gate_attempt_start(struct gate_core *, uint64_t, struct call *,
    const char *, struct gate_actions *);
void gate_attempt_send_acquire(
    struct gate_core *, uint64_t, struct attempt *, struct gate_actions *);
void gate_attempt_start_fetch(struct gate_core *, uint64_t, struct attempt *,
    struct target *, uint64_t, struct gate_actions *);
void gate_attempt_select_local(
    struct gate_core *, uint64_t, struct attempt *, struct gate_actions *);
void gate_attempt_end(struct gate_core *, uint64_t, struct attempt *,
    enum release_outcome, struct gate_actions *);
void gate_send_release(struct gate_core *, const struct job_key *, const char *,
    uint64_t, const struct attempt *, enum release_outcome,
    struct gate_actions *);

/* gate_call.c: one request */
void gate_call_fail(struct gate_core *, uint64_t, struct call *,
    enum gate_outcome, struct gate_actions *);
void gate_call_handle_failure(
    struct gate_core *, uint64_t, struct attempt *, struct gate_actions *);
void gate_call_complete(
    struct gate_core *, uint64_t, struct attempt *, struct gate_actions *);
void gate_call_handle_data(struct gate_core *, uint64_t, struct attempt *,
    const struct gate_fetch_event *, struct gate_actions *);
void gate_call_handle_refusal(struct gate_core *, uint64_t, struct attempt *,
    enum refuse_reason, struct gate_actions *);
void gate_call_tick(
    struct gate_core *, uint64_t, struct call *, struct gate_actions *);
void gate_call_destroy(struct gate_core *, struct call *);
void gate_call_drop_buffered(struct call *, struct gate_actions *);

/* gate_notice.c: what backend servers say of themselves */
/* Whether a target takes requests, one at a time at least. */
int gate_target_open(const struct target *, uint64_t);
/* Whether it may take a request that no owner granted. */
int gate_target_usable(const struct target *, uint64_t);
/* When the first target suitable for a call is open, 0: now or unknown. */
uint64_t gate_reopen_at(
    const struct gate_core *, uint64_t, const struct call *);
void gate_notice_apply(struct gate_core *, uint64_t, struct attempt *,
    const struct gate_fetch_event *, struct gate_actions *);
/* Tells the owner of a target's cell of its notice. */
void gate_notice_send(const struct target *, uint64_t, struct gate_actions *);
/* Adds the notice to a report; returns whether there is one. */
int gate_notice_fill(const struct target *, uint64_t, struct msg_report_item *);
void gate_notice_tick(struct gate_core *, uint64_t, struct gate_actions *);

/* gate_retry.c: whether a failed attempt is retried */
enum retry_rule {
	RETRY_OTHER_TARGET,
	RETRY_RESUME,
	RETRY_NOT_RUN,
	RETRY_FORBIDDEN
};
enum retry_rule gate_retry_rule(int, enum fetch_phase);
void gate_budget_add_request(struct gate_core *);
int gate_budget_take_retry(struct gate_core *);
int gate_budget_take_hedge(struct gate_core *);

struct gate_action *gate_add_action(
    struct gate_actions *, enum gate_action_kind, uint64_t);
void gate_send_msg(struct gate_actions *, struct msg *);

#endif
