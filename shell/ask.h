/* Whole HTTP requests: one call out, one answer or failure back. */
#ifndef ASK_H
#define ASK_H

#include "fetch.h"

struct buffered_response {
	int status;	  /* 0: no answer */
	const char *body; /* NUL-terminated */
	size_t len;
	int maybe_sent; /* no answer: the request may have been written */
};

struct buffered_request {
	const char *url;
	const char *method;
	const char *body; /* NULL for none */
	uint64_t connect_ms;
	uint64_t total_ms;
	/* Gets the answer, in the fetch thread. */
	void (*done)(void *, const struct buffered_response *);
	/*
	 * Looks at a growing body; returning 1 ends the request there and
	 * counts the body so far as the answer.  May be NULL.
	 */
	int (*is_complete)(void *, const char *, size_t);
	void *ctx;
};

/* To be given to fetch_create(). */
void fetch_buffered_event(void *, const struct fetch_event *);
void fetch_buffered_start(struct fetch *, const struct buffered_request *);

#endif
