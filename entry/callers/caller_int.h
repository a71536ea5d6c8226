/*
 * State of a caller's connection, shared by caller.c, caller_answer.c and
 * caller_held.c.
 */
#ifndef CALLER_INT_H
#define CALLER_INT_H

#include "buf.h"
#include "conn.h"
#include "entry_int.h"
#include "expiry.h"

/* A caller is idle once it has read its answer; looked at this often. */
#define CALLER_UNREAD_CHECK_NS NSEC_PER_SEC

struct caller {
	TAILQ_ENTRY(caller) entry;
	struct entry *e;
	struct conn *conn;
	struct http_reader *reader;
	struct forward *forward; /* the current request */
	struct expiry *expiry;	 /* of waiting for input, or for its end */
	struct buf pipelined;	 /* bytes received after the current request */
	struct buf body;
	uint64_t accepted_at;
	uint64_t idle_since; /* end of the latest response, or accepted_at */
	uint64_t request_started_at;
	int response_sent; /* has had a response */
	int in_request;	   /* a complete request is being handled */
	int head_received; /* of the request being read */
	int request_complete;
	int head_too_large;
	int body_too_large;
	int unread; /* its answers wait to be read, and it is not read */
	uint64_t progress_at; /* latest input */
	uint64_t whole_by;    /* when the request has to be whole */
	size_t held;	   /* unfinished bytes, as counted; see caller_held.c */
	size_t held_whole; /* of a whole request */
	int refused_early; /* the caller asked whether to send the body */
};

/* caller.c */
/* Sends an error for a request that cannot be read, and closes. */
void caller_reject(struct caller *, int, const char *);
/* Frees the caller; its connection must be closed separately. */
void caller_destroy(struct caller *);
/* Closes the connection once the buffered bytes have been sent. */
void caller_close(struct caller *);
/* Goes on with a caller that has read its answers. */
void caller_resume(struct caller *);
void caller_set_timer(struct caller *, uint64_t);
/* Closes at once, whatever the state of the request. */
void caller_drop(struct caller *);
/* caller_held.c */
/* Closes the connection to make room for others; the reason is logged. */
void caller_evict(struct caller *, const char *);
/* Counts what the caller's connection holds now. */
void caller_held_update(struct caller *);
/* The connection is closed: it holds nothing. */
void caller_held_clear(struct caller *);
/*
 * Makes room for what this caller has sent, at the cost of others that have not
 * finished either.  Returns whether there is room.
 */
int caller_held_make_room(struct caller *);
/* Whether a whole request of the caller fits beside the others. */
int caller_held_fits(struct caller *);
/* Makes room for one more connection; returns whether there is room. */
int callers_make_room(struct entry *);

#endif
