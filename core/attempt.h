/*
 * Decides what follows each attempt of a request: a retry, a resumed stream,
 * a refusal, an unknown outcome or the replica's response.  Pure functions.
 */
#ifndef ATTEMPT_H
#define ATTEMPT_H

#include "base.h"
#include "fleet.h"

#define PROMPT_PARTS_MAX 16
#define REQUEST_ID_SIZE 128

/* A part of a prompt; requests with the same leading parts share KV cache. */
struct prompt_part {
	uint64_t id;
	uint32_t tokens;
};

/* Parameters of a caller's request. */
struct request_params {
	char id[REQUEST_ID_SIZE];      /* of the caller's attempt */
	char model[NAME_SIZE];	       /* key, "" for a plain service */
	char adapter[FLEET_NAME_SIZE]; /* MODEL/ADAPTER, or "" */
	int counts_tokens; /* it names both numbers of tokens below */
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;  /* upper bound */
	uint32_t output_hint_tokens; /* caller's estimate, 0: none */
	uint64_t timeout_ns;	     /* caller's, 0 when not set */
	uint64_t last_event_id;	     /* resume after it, 0: none */
	/* The caller's attempt that brought the stream's first event, or "". */
	char resumes[REQUEST_ID_SIZE];
	uint64_t fingerprint; /* equal for requests that ask for the same */
	uint32_t nparts;
	struct prompt_part parts[PROMPT_PARTS_MAX];
};

/* How one attempt ended. */
enum attempt_outcome {
	ATTEMPT_ANSWERED,    /* complete successful response */
	ATTEMPT_FAILED,	     /* complete response, an error after execution */
	ATTEMPT_REFUSED,     /* the replica did not execute it */
	ATTEMPT_NOT_SENT,    /* no byte of the request was sent */
	ATTEMPT_NO_RESPONSE, /* sent; connection closed before a response */
	ATTEMPT_TRUNCATED,   /* connection closed during the response */
	ATTEMPT__MAX
};

enum attempt_step {
	NEXT_FORWARD,	     /* forward the replica's response */
	NEXT_RETRY,	     /* select another replica */
	NEXT_REFUSE,	     /* report that the request was not executed */
	NEXT_REPORT_UNKNOWN, /* report that the outcome is unknown */
	NEXT_ABORT,	     /* close the connection within the response */
	NEXT__MAX
};

/* State of a request when an attempt has ended. */
struct attempt_context {
	enum route_kind kind;
	int resumable;
	uint32_t max_runs; /* replicas that may execute it */
	uint32_t runs;	   /* replicas that may have executed it */
	uint32_t attempts_made;
	int response_started; /* the caller has received part of a response */
	int retry_allowed;    /* by the retry budget */
	uint64_t deadline;
	int another_response; /* the attempt's does not continue a stream */
};

/*
 * Limit on attempts whatever their outcome, so that a request does not visit
 * every replica when all refuse it.
 */
#define ATTEMPTS_PER_REQUEST_MAX 4

enum attempt_step attempt_next_step(
    const struct attempt_context *, enum attempt_outcome, uint64_t);
/* Whether a replica may have executed an attempt with this outcome. */
int attempt_may_have_run(enum attempt_outcome);
const char *attempt_outcome_name(enum attempt_outcome);

#endif
