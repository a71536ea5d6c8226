/*
 * Splits a stream of server-sent events into whole events, so that an answer
 * can be broken off, or go on elsewhere, between two of them.
 */
#ifndef EVENTS_H
#define EVENTS_H

#include "buf.h"

struct sse_splitter {
	struct buf partial;
};

/*
 * Takes bytes in and calls back with the whole events at their start, all in
 * one piece.
 */
void sse_feed(struct sse_splitter *, const char *, size_t,
    void (*)(void *, const char *, size_t), void *);
void sse_free(struct sse_splitter *);
/* Length of the first whole event, 0 when it is not complete. */
size_t sse_event_len(const char *, size_t);

#endif
