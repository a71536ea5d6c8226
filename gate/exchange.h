/*
 * One caller's request inside the gate: the parsed request, and the queue of
 * response parts from the gate loop to the thread that serves the caller.
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

/* Part of a response.  The first part is the head and carries the status. */
struct response_part {
	TAILQ_ENTRY(response_part) entry;
	int status;		/* 0 for body parts */
	uint64_t retry_after_s; /* field of the head, 0: none */
	char type[128];
	char *bytes;
	size_t len;
	char *text; /* generated text in the part, or NULL */
};

struct exchange;

struct exchange_info {
	struct gate_request req;
	enum exchange_kind kind;
	char method[16];
	char *target;  /* path and query; services only */
	char *headers; /* forwarded header lines, newline-separated */
	char *body;
	size_t len;
	json_t *doc; /* parsed body; model requests only */
};

enum exchange_event {
	EXCHANGE_EVENT_PART,
	EXCHANGE_EVENT_END,
	EXCHANGE_EVENT_FAILED
};

struct exchange *exchange_create(struct exchange_info *);
/* Finds a registered exchange and takes a reference, or returns NULL. */
struct exchange *exchange_find(uint64_t);
void exchange_ref(struct exchange *);
void exchange_unref(struct exchange *);
/* Removes the exchange from lookups; existing references stay valid. */
void exchange_unregister(struct exchange *);
const struct exchange_info *exchange_info(const struct exchange *);

/*
 * Queues a part; called by the gate loop.  Returns 0, or -1 when too many
 * bytes are unread and the request should be cancelled.
 */
int exchange_push_part(struct exchange *, struct response_part *);
/* The time is when a backend server takes requests, 0: now or unknown. */
void exchange_finish(struct exchange *, enum gate_outcome, uint64_t);
/* Ends the exchange of a caller that has gone, unless it has ended. */
void exchange_abandon(struct exchange *);
/* Waits for the next part or the end; called by the caller's thread. */
enum exchange_event exchange_next_event(
    struct exchange *, struct response_part **, enum gate_outcome *);
/* The time that ended the exchange, to be called after its last event. */
uint64_t exchange_reopen_at(struct exchange *);
/* Text delivered so far, to resume a stream; gate loop only. */
const char *exchange_generated_text(const struct exchange *);

struct response_part *response_part_create(
    int, const char *, const char *, size_t);
void response_part_destroy(struct response_part *);

#endif
