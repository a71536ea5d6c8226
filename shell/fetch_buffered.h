/* HTTP client requests with a buffered response: one result per request. */
#ifndef FETCH_BUFFERED_H
#define FETCH_BUFFERED_H

#include "fetch.h"

struct buffered_response {
	int status;	  /* 0: no response */
	const char *body; /* NUL-terminated */
	size_t len;
	int maybe_sent; /* no response: the request may have been sent */
};

struct buffered_request {
	const char *url;
	const char *method;
	const char *body; /* NULL for none */
	uint64_t connect_timeout_ms;
	uint64_t total_timeout_ms;
	/* Called once with the response, in the fetch thread. */
	void (*done)(void *, const struct buffered_response *);
	/*
	 * Called after each part of the body; returning 1 ends the request with
	 * the body received so far as the response.  May be NULL.
	 */
	int (*is_complete)(void *, const char *, size_t);
	void *ctx;
};

/* Event callback for fetch_create(). */
void fetch_buffered_event(void *, const struct fetch_event *);
void fetch_buffered_start(struct fetch *, const struct buffered_request *);

#endif
