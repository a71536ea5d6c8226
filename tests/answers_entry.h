/*
 * Requests one after another at an entry process, from the bytes of replicas to
 * the bytes for callers, without sockets: the connections to replicas and to
 * the caller are stand-ins.
 */
#ifndef ANSWERS_ENTRY_H
#define ANSWERS_ENTRY_H

#include <stddef.h>
#include <stdint.h>

struct answers_entry;

struct answers_config {
	const char *request; /* head of the caller's request */
	const char *id;
	uint64_t last_event_id; /* named in the request, 0: none */
	int stream;
	int resumable;
};

enum answers_state {
	ANSWERS_RUNNING, /* an attempt is in progress */
	ANSWERS_RETRY,	 /* the next attempt may be started */
	ANSWERS_DONE,	 /* the answer was forwarded */
	ANSWERS_FAILED	 /* refused, unknown, or broken off */
};

struct answers_entry *answers_entry_create(void);
void answers_entry_destroy(struct answers_entry *);
/* Begins a request; that before has ended.  Idle connections are kept. */
void answers_entry_begin(struct answers_entry *, const struct answers_config *);
void answers_entry_start_attempt(struct answers_entry *);
/* Bytes of the replica, and the end of its connection: 0 or an errno. */
void answers_entry_receive(struct answers_entry *, const char *, size_t);
void answers_entry_close(struct answers_entry *, int);
enum answers_state answers_entry_state(const struct answers_entry *);
/* The event behind which the current attempt begins. */
uint64_t answers_entry_resumed_after(const struct answers_entry *);
/* The bytes written to the caller. */
const char *answers_entry_written(const struct answers_entry *, size_t *);

#endif
