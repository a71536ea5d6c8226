/*
 * Passes on the events of a stream that its caller does not have yet.  Events
 * have increasing ids; a replica may repeat some, also behind new ones.
 */
#ifndef EVENT_FILTER_H
#define EVENT_FILTER_H

#include <stddef.h>
#include <stdint.h>

struct event_filter {
	uint64_t read_id;    /* highest id that was read */
	uint64_t written_id; /* id of the latest event that was written */
	int unnumbered;	     /* data without an id was written since */
};

/* Begins behind the event with an id that the caller has, 0: none. */
void event_filter_start(struct event_filter *, uint64_t);
/*
 * Takes complete events.  Calls back, with the context, for each run of
 * consecutive ones that are new; events without an id are.
 */
void event_filter_pass(struct event_filter *, const char *, size_t,
    void (*)(void *, const char *, size_t), void *);

#endif
