/* HTTP requests of this process, with a time-out and a buffered response. */
#ifndef QUERY_H
#define QUERY_H

#include "entry_int.h"

/* Gets the head of a response, before its body. */
typedef void (*query_head_callback)(void *, const struct http_head *);
/* Status of a response that was not read to its end, as it is too large. */
#define QUERY_TOO_LARGE (-1)

/* Gets the HTTP status and body; status 0 if there was no complete response. */
typedef void (*query_callback)(void *, int, const char *, size_t);

/* How a request is sent. */
struct query_spec {
	struct conn_pool *pool;
	const char *addr;
	const struct buf *request; /* serialised */
	uint64_t send_by;	   /* monotonic ns; not sent after it */
	double timeout_s;
	int single_use;		  /* on a connection of its own */
	query_head_callback head; /* may be NULL */
	query_callback callback;
	void *ctx;
};

/*
 * Sends a request.  The callback is called exactly once, never from within this
 * function; that of the head, if there is one, before.
 */
void query_send(struct entry *, const struct query_spec *);
/* Cancels all pending requests; their callbacks get status 0. */
void queries_cancel(struct entry *);

#endif
