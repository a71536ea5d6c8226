/*
 * One caller's request inside the gate: what was asked, and the parts of the
 * answer on their way from the decider to the caller's thread.
 */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include <jansson.h>
#include <sys/queue.h>

#include "gate.h"

enum exchange_kind {
	EXCHANGE_CHAT,
	EXCHANGE_COMPLETION,
	EXCHANGE_SERVICE
};

/* Part of an answer; the first part is the head and has a status. */
struct response_part {
	TAILQ_ENTRY(response_part) entry;
	int status; /* 0 for body parts */
	char type[128];
	char *bytes;
	size_t len;
	char *text; /* generated text in it, or NULL */
};

struct exchange;

struct exchange_info {
	struct gate_request req;
	enum exchange_kind kind;
	char method[16];
	char *target;  /* path and query, services */
	char *headers; /* forwarded header lines, newline-separated */
	char *body;
	size_t len;
	json_t *doc; /* parsed body, models */
};

enum exchange_event {
	EXCHANGE_EVENT_PART,
	EXCHANGE_EVENT_END,
	EXCHANGE_EVENT_FAILED
};

struct exchange *exchange_create(struct exchange_info *);
/* Finds a live exchange and takes a reference, or returns NULL. */
struct exchange *exchange_find(uint64_t);
void exchange_ref(struct exchange *);
void exchange_unref(struct exchange *);
/* Ends lookups by id; references stay good. */
void exchange_unregister(struct exchange *);
const struct exchange_info *exchange_info(const struct exchange *);

/* Decider: hands over a part.  Returns -1 when the caller reads too slowly. */
int exchange_push_part(struct exchange *, struct response_part *);
void exchange_finish(struct exchange *, enum gate_outcome);
/* Caller's thread: waits for what comes next. */
enum exchange_event exchange_next_event(
    struct exchange *, struct response_part **, enum gate_outcome *);
/* Text delivered so far, for resuming; only for the decider. */
const char *exchange_generated_text(const struct exchange *);

struct response_part *response_part_create(
    int, const char *, const char *, size_t);
void response_part_destroy(struct response_part *);

#endif
