/*
 * Splits a stream of server-sent events at event boundaries, so that a
 * response can be ended, or resumed on another replica, between two events.
 */
#ifndef SSE_H
#define SSE_H

#include "buf.h"

struct sse_splitter {
	struct buf partial; /* start of an incomplete event */
	size_t searched;    /* bytes of it without an end of an event */
};

/*
 * Adds bytes and passes all complete events to the callback in one call; an
 * incomplete event at the end is kept for the next call.
 */
void sse_feed(struct sse_splitter *, const char *, size_t,
    void (*)(void *, const char *, size_t), void *);
void sse_free(struct sse_splitter *);
/* Length of the first event in bytes, or 0 when it is incomplete. */
size_t sse_event_len(const char *, size_t);

#endif
