/*
 * What happens to one request after each of its attempts: it is repeated,
 * resumed, refused, given up or handed on.  Pure.
 */
#ifndef ATTEMPT_H
#define ATTEMPT_H

#include "base.h"
#include "fleet.h"

#define PROMPT_PARTS_MAX 16
#define REQUEST_ID_SIZE 128

/* A part of a prompt; requests with equal leading parts share their cache. */
struct prompt_part {
	uint64_t id;
	uint32_t tokens;
};

/* What a caller asks for, decoded from its request. */
struct request_params {
	char id[REQUEST_ID_SIZE];      /* of this attempt of the caller's */
	char model[NAME_SIZE];	       /* "" for a plain service */
	char adapter[FLEET_NAME_SIZE]; /* MODEL/ADAPTER, or "" */
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;  /* most */
	uint32_t output_hint_tokens; /* the caller's estimate, 0 for none */
	uint64_t timeout_ns;	     /* the caller waits, 0 when not told */
	uint64_t last_event_id;	     /* resumes after this event, 0 for none */
	uint32_t nparts;
	struct prompt_part parts[PROMPT_PARTS_MAX];
};

/* How one attempt ended. */
enum attempt_outcome {
	ATTEMPT_ANSWERED,    /* the whole answer of the replica, a success */
	ATTEMPT_FAILED,	     /* the whole answer, a failure after running */
	ATTEMPT_REFUSED,     /* the replica says that it did not run it */
	ATTEMPT_NOT_SENT,    /* no byte of it left this process */
	ATTEMPT_NO_RESPONSE, /* sent; the connection ended without an answer */
	ATTEMPT_TRUNCATED,   /* part of an answer came */
	ATTEMPT__MAX
};

enum attempt_step {
	NEXT_FORWARD,	     /* give the caller the replica's answer */
	NEXT_RETRY,	     /* choose another replica */
	NEXT_REFUSE,	     /* tell the caller that it was not run */
	NEXT_REPORT_UNKNOWN, /* tell the caller that the outcome is unknown */
	NEXT_ABORT,	     /* break off what the caller has begun to read */
	NEXT__MAX
};

/* What is known of a request when an attempt has ended. */
struct attempt_context {
	enum route_kind kind;
	int resumable;
	uint32_t max_runs;    /* replicas that may run it */
	uint32_t runs;	      /* replicas that may have run it so far */
	uint32_t sends;	      /* attempts so far */
	int response_started; /* the caller has part of an answer */
	int retry_allowed;    /* a repeat is within the budget */
	uint64_t deadline;
};

/* Attempts at most, whatever became of them; bounds a refusing fleet. */
#define ATTEMPTS_PER_REQUEST_MAX 4

enum attempt_step attempt_next_step(
    const struct attempt_context *, enum attempt_outcome, uint64_t);
/* Whether an attempt that ended so may have run at the replica. */
int attempt_may_have_run(enum attempt_outcome);
const char *attempt_outcome_name(enum attempt_outcome);

#endif
