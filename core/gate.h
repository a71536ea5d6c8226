/*
 * Decisions of one gate: for every caller's request, where and when it is
 * sent, what is retried or resumed, and what the caller is told.
 * Deterministic: events and the time go in, actions come out in order.
 */
#ifndef GATE_H
#define GATE_H

#include <sys/queue.h>

#include "base.h"
#include "msg.h"

struct gate_core;

/* What a caller is told when its request gets no answer of its own. */
enum gate_outcome {
	OUTCOME_ANSWERED,
	OUTCOME_NO_MODEL,    /* not run: the model is not declared */
	OUTCOME_DEADLINE,    /* not run: could not begin in time */
	OUTCOME_OVERLOAD,    /* not run: the queue is full */
	OUTCOME_UNREACHABLE, /* not run: no backend server was reached */
	OUTCOME_CLOSING,     /* not run: this process is shutting down */
	OUTCOME_UNKNOWN,     /* written to a backend server, no answer */
	OUTCOME_FAILED,	     /* repeatable, but every try broke */
	OUTCOME__MAX
};

/* How far a request to a backend server got. */
enum fetch_phase {
	PHASE_CONNECTING,
	PHASE_CONNECTED, /* no byte written */
	PHASE_REQUEST_WRITTEN,
	PHASE_RESPONSE_STARTED, /* part of the answer has come */
	PHASE__MAX
};

/* One request as the caller made it. */
struct gate_request {
	uint64_t rid;		 /* unique over all gates */
	char model[NAME_SIZE];	 /* "" for a plain service */
	char adapter[NAME_SIZE]; /* of the model, or "" */
	char service[NAME_SIZE]; /* or "" */
	enum job_class job_class;
	uint32_t max_tokens; /* most tokens to generate */
	uint64_t prefix_hash;
	uint64_t deadline; /* latest useful start */
	int stream;
	int repeatable; /* may run more than once */
};

enum fetch_kind {
	FETCH_PHASE, /* a new phase was reached */
	FETCH_HEAD,  /* status line and headers */
	FETCH_DATA,  /* part of the body */
	FETCH_END,   /* the whole answer has come */
	FETCH_FAILED /* broken; phase tells how far it got */
};

struct gate_fetch_event {
	enum fetch_kind kind;
	uint64_t fetch_id;
	enum fetch_phase phase; /* PHASE, FAIL */
	int status;		/* HEAD */
	uint32_t tokens;	/* DATA: tokens in this part */
	size_t bytes;		/* DATA */
	void *payload;		/* HEAD, DATA: handed back in an action */
};

enum gate_action_kind {
	GATE_SEND_MSG,	   /* put msg on the bus */
	GATE_START_FETCH,  /* begin a fetch */
	GATE_STOP_FETCH,   /* close a fetch; no more events of it are wanted */
	GATE_FORWARD_DATA, /* hand payload to the caller of rid */
	GATE_FREE_PAYLOAD, /* free payload */
	GATE_END_RESPONSE, /* the answer of rid is complete */
	GATE_FAIL_REQUEST, /* tell the caller of rid the outcome */
	GATE__MAX
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
	uint32_t resume_tokens; /* START: tokens that the caller already has */
	int at_most_once;	/* START: must not be written twice */
	enum gate_outcome outcome;
	void *payload;
};

TAILQ_HEAD(gate_actions, gate_action);

struct gate_config {
	uint64_t acquire_timeout_ns; /* no answer: choose alone */
	uint64_t resend_interval_ns; /* period of repeated ACQUIREs */
	uint64_t resend_timeout_ns;  /* no answer to a repeat: choose alone */
	uint64_t sync_interval_ns;   /* period of SYNC */
	uint64_t report_interval_ns; /* period of REPORT */
	uint32_t local_per_replica_max; /* most requests per replica alone */
	uint32_t failed_attempts_max;	/* most attempts of one request */
	double retry_ratio;		/* retries per request */
	double hedge_ratio;		/* hedges per request */
	size_t response_buffer_max;	/* bytes of one held answer */
};

struct gate_stats {
	uint64_t arrived;
	uint64_t answered;
	uint64_t cancelled;
	uint64_t failed[OUTCOME__MAX];
	uint64_t retries;
	uint64_t resumes;
	uint64_t hedges;
	uint64_t local_selections; /* sent without a grant */
	uint32_t calls;		   /* in progress */
};

void gate_config_default(struct gate_config *);
struct gate_core *gate_create(
    const struct gate_config *, const struct node_id *, uint64_t);
void gate_destroy(struct gate_core *);

/* A request has come in; rid must be new. */
void gate_handle_request(struct gate_core *, uint64_t,
    const struct gate_request *, struct gate_actions *);
/* The caller has gone away. */
void gate_cancel_request(
    struct gate_core *, uint64_t, uint64_t, struct gate_actions *);
/* A bus message has come in. */
void gate_handle_message(
    struct gate_core *, uint64_t, const struct msg *, struct gate_actions *);
/* News of a fetch. */
void gate_handle_fetch(struct gate_core *, uint64_t,
    const struct gate_fetch_event *, struct gate_actions *);
/* To be called every few milliseconds. */
void gate_tick(struct gate_core *, uint64_t, struct gate_actions *);

void gate_get_stats(const struct gate_core *, struct gate_stats *);
/* Hashes of the tables held, for HELLO. */
void gate_fill_hello(const struct gate_core *, struct msg_hello *);
/* Calls back for each declared model and adapter, and each service. */
void gate_for_each_model(const struct gate_core *,
    void (*)(void *, const char *, const char *), void *);
void gate_for_each_service(const struct gate_core *,
    void (*)(void *, const struct msg_service *), void *);
void gate_action_destroy(struct gate_action *);
/* Short name of an outcome, as sent in the outcome header. */
const char *gate_outcome_name(enum gate_outcome);
/* Whether the outcome means that no part of the request was run. */
int gate_outcome_not_run(enum gate_outcome);

#endif
