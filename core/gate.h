/*
 * Request handling of one gate: selects a backend server for every caller's
 * request, retries, resumes and hedges it, and determines its outcome.
 * Deterministic: takes events and the time, returns an ordered list of actions.
 */
#ifndef GATE_H
#define GATE_H

#include <sys/queue.h>

#include "base.h"
#include "msg.h"

struct gate_core;

/* Outcome of a request, reported to the caller unless it was answered. */
enum gate_outcome {
	OUTCOME_ANSWERED,
	OUTCOME_NO_MODEL,    /* not run: the model is not declared */
	OUTCOME_DEADLINE,    /* not run: could not start before its deadline */
	OUTCOME_OVERLOAD,    /* not run: the queue is full */
	OUTCOME_UNREACHABLE, /* not run: no backend server reachable */
	OUTCOME_CLOSING,     /* not run: this process is shutting down */
	OUTCOME_UNKNOWN,     /* sent to a backend server, no response */
	OUTCOME_FAILED,	     /* repeatable, but every attempt failed */
	OUTCOME__MAX
};

/* Progress of a request to a backend server. */
enum fetch_phase {
	PHASE_CONNECTING,
	PHASE_CONNECTED, /* no byte of the request written */
	PHASE_REQUEST_WRITTEN,
	PHASE_RESPONSE_STARTED, /* part of the response received */
	PHASE__MAX
};

/* A caller's request. */
struct gate_request {
	uint64_t rid;		 /* unique over all gates */
	char model[NAME_SIZE];	 /* "" for a plain service */
	char adapter[NAME_SIZE]; /* of the model, or "" */
	char service[NAME_SIZE]; /* or "" */
	enum job_class job_class;
	uint32_t max_tokens; /* upper bound on generated tokens */
	uint64_t prefix_hash;
	uint64_t deadline; /* by which it must start */
	int stream;
	int repeatable; /* may be executed more than once */
};

enum fetch_event_kind {
	FETCH_PHASE, /* a new phase was reached */
	FETCH_HEAD,  /* status line and headers */
	FETCH_DATA,  /* part of the body */
	FETCH_END,   /* the response is complete */
	FETCH_FAILED /* failed; phase is the last one reached */
};

/* Event of a fetch; fields are set for the kinds named. */
struct gate_fetch_event {
	enum fetch_event_kind kind;
	uint64_t fetch_id;
	enum fetch_phase phase; /* PHASE, FAILED */
	int status;		/* HEAD */
	int leaving;		/* HEAD: the replica says that it leaves */
	uint64_t closed_ns;	/* HEAD: it takes no requests for, 0: it does */
	double limit_per_s;	/* HEAD: requests it takes from all, 0: any */
	int limit_is_bad;	/* HEAD: the limit cannot be read */
	uint32_t tokens;	/* DATA: tokens in this part */
	size_t bytes;		/* DATA */
	void *payload;		/* HEAD, DATA: returned in an action */
};

enum gate_action_kind {
	GATE_SEND_MSG,	     /* send msg on the bus */
	GATE_START_FETCH,    /* start a fetch */
	GATE_STOP_FETCH,     /* close a fetch; its further events are ignored */
	GATE_FORWARD_DATA,   /* forward payload to the caller of rid */
	GATE_WITHDRAW_FETCH, /* fail a fetch unless it was written in part */
	GATE_REPORT_NOTICE,  /* what target says of itself */
	GATE_FREE_PAYLOAD,
	GATE_END_RESPONSE, /* the response to rid is complete */
	GATE_FAIL_REQUEST, /* report the outcome to the caller of rid */
	GATE__MAX
};

enum gate_notice {
	GATE_SAYS_LEAVING,
	GATE_SAYS_CLOSED, /* until reopen_at */
	GATE_REOPENED,	  /* that time has passed */
	GATE_SAYS_LIMIT	  /* another limit, or none any more */
};

struct gate_action {
	TAILQ_ENTRY(gate_action) entry;
	enum gate_action_kind kind;
	uint64_t rid;
	uint64_t fetch_id;
	struct msg *msg;
	char addr[ADDR_SIZE];
	char target[NAME_SIZE];
	uint32_t attempt;
	uint32_t resume_tokens; /* START_FETCH: already delivered */
	int at_most_once;	/* START_FETCH: must not be sent twice */
	enum gate_outcome outcome;
	enum gate_notice notice; /* REPORT_NOTICE */
	/*
	 * REPORT_NOTICE: see above; FAIL_REQUEST: when the first suitable
	 * backend server takes requests, 0: now or unknown.
	 */
	uint64_t reopen_at;
	double limit_per_s; /* REPORT_NOTICE: of GATE_SAYS_LIMIT */
	void *payload;
};

TAILQ_HEAD(gate_actions, gate_action);

struct gate_config {
	uint64_t acquire_timeout_ns;	/* then select locally */
	uint64_t resend_interval_ns;	/* between repeated ACQUIREs */
	uint64_t resend_timeout_ns;	/* of a repeat, then select locally */
	uint64_t sync_interval_ns;	/* between SYNCs */
	uint64_t report_interval_ns;	/* between REPORTs */
	uint32_t local_per_replica_max; /* requests without a grant */
	uint32_t failed_attempts_max;	/* per request */
	double retry_ratio;		/* retries per request */
	double hedge_ratio;		/* hedges per request */
	size_t response_buffer_max;	/* bytes per response */
};

struct gate_stats {
	uint64_t arrived;
	uint64_t answered;
	uint64_t cancelled;
	uint64_t failed[OUTCOME__MAX];
	uint64_t retries;
	uint64_t resumes;
	uint64_t hedges;
	uint64_t local_selections; /* attempts without a grant */
	uint64_t leaving_notices;  /* backend servers that said it */
	uint64_t closed_notices;
	uint32_t calls; /* in progress */
};

void gate_config_default(struct gate_config *);
struct gate_core *gate_create(
    const struct gate_config *, const struct node_id *, uint64_t);
void gate_destroy(struct gate_core *);

/* Handles a new request; its rid must be unused. */
void gate_handle_request(struct gate_core *, uint64_t,
    const struct gate_request *, struct gate_actions *);
/* Handles a caller that closed its connection: gate, time, rid. */
void gate_cancel_request(
    struct gate_core *, uint64_t, uint64_t, struct gate_actions *);
/* Handles a bus message. */
void gate_handle_message(
    struct gate_core *, uint64_t, const struct msg *, struct gate_actions *);
/* Handles an event of a fetch. */
void gate_handle_fetch(struct gate_core *, uint64_t,
    const struct gate_fetch_event *, struct gate_actions *);
/* Handles timeouts; to be called every few milliseconds. */
void gate_tick(struct gate_core *, uint64_t, struct gate_actions *);

void gate_get_stats(const struct gate_core *, struct gate_stats *);
/* Sets the hashes of the routing tables in a HELLO. */
void gate_fill_hello(const struct gate_core *, struct msg_hello *);
/*
 * Calls back for each declared model ("" as the adapter) and each of its
 * adapters, or for each service.
 */
void gate_for_each_model(const struct gate_core *,
    void (*)(void *, const char *, const char *), void *);
void gate_for_each_service(const struct gate_core *,
    void (*)(void *, const struct msg_service *), void *);
void gate_action_destroy(struct gate_action *);
/* Name of an outcome in the outcome header. */
const char *gate_outcome_name(enum gate_outcome);
/* Whether the outcome guarantees that the request was not executed. */
int gate_outcome_not_run(enum gate_outcome);

#endif
