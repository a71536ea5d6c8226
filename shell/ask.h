/* Whole HTTP requests: one call out, one answer or failure back. */
#ifndef ASK_H
#define ASK_H

#include "fetch.h"

struct ask_answer {
	int status;	  /* 0: no answer */
	const char *body; /* NUL-terminated */
	size_t len;
	int written; /* no answer: the request may have been written */
};

struct ask_spec {
	const char *url;
	const char *method;
	const char *body; /* NULL for none */
	uint64_t connect_ms;
	uint64_t total_ms;
	/* Gets the answer, in the fetch thread. */
	void (*done)(void *, const struct ask_answer *);
	/*
	 * Looks at a growing body; returning 1 ends the request there and
	 * counts the body so far as the answer.  May be NULL.
	 */
	int (*enough)(void *, const char *, size_t);
	void *ctx;
};

/* To be given to fetch_create(). */
void ask_event(void *, const struct fetch_event *);
void ask_start(struct fetch *, const struct ask_spec *);

#endif
