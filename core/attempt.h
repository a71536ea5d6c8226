/*
 * What happens to one request after each of its attempts: it is repeated,
 * resumed, refused, given up or handed on.  Pure.
 */
#ifndef ATTEMPT_H
#define ATTEMPT_H

#include "base.h"
#include "fleet.h"

#define REQUEST_PARTS_MAX 16
#define REQUEST_ID_SIZE 128

/* A part of a prompt; requests with equal leading parts share their cache. */
struct request_part {
	uint64_t id;
	uint32_t tokens;
};

/* What a caller asks for, decoded from its request. */
struct request_want {
	char id[REQUEST_ID_SIZE];      /* of this attempt of the caller's */
	char model[NAME_SIZE];	       /* "" for a plain service */
	char adapter[FLEET_NAME_SIZE]; /* MODEL/ADAPTER, or "" */
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* most */
	uint32_t hint_tokens;	/* the caller's estimate, 0 for none */
	uint64_t patience_ns;	/* the caller waits, 0 when not told */
	uint64_t last_event;	/* resumes after this event, 0 for none */
	uint32_t nparts;
	struct request_part parts[REQUEST_PARTS_MAX];
};

/* How one attempt ended. */
enum attempt_end {
	ATTEMPT_ANSWERED, /* the whole answer of the replica, a success */
	ATTEMPT_FAILED,	  /* the whole answer, a failure after running */
	ATTEMPT_REFUSED,  /* the replica says that it did not run it */
	ATTEMPT_UNSENT,	  /* no byte of it left this process */
	ATTEMPT_SILENT,	  /* sent; the connection ended without an answer */
	ATTEMPT_BROKEN,	  /* part of an answer came */
	ATTEMPT__MAX
};

enum attempt_step {
	STEP_HAND_ON, /* give the caller the replica's answer */
	STEP_AGAIN,   /* choose another replica */
	STEP_REFUSE,  /* tell the caller that it was not run */
	STEP_GIVE_UP, /* tell the caller that the outcome is unknown */
	STEP_CUT,     /* break off what the caller has begun to read */
	STEP__MAX
};

/* What is known of a request when an attempt has ended. */
struct attempt_facts {
	enum route_kind kind;
	int resumable;
	uint32_t attempts_max; /* replicas that may run it */
	uint32_t runs;	       /* replicas that may have run it so far */
	uint32_t sends;	       /* attempts so far */
	int begun;	       /* the caller has part of an answer */
	int budget;	       /* a repeat is within the budget */
	uint64_t deadline;
};

/* Attempts at most, whatever became of them; bounds a refusing fleet. */
#define ATTEMPTS_MAX 4

enum attempt_step attempt_next(
    const struct attempt_facts *, enum attempt_end, uint64_t);
/* Whether an attempt that ended so may have run at the replica. */
int attempt_may_have_run(enum attempt_end);
const char *attempt_end_name(enum attempt_end);

#endif
