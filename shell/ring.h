/*
 * Bounded queue of pointers for multiple producers and consumers.  An eventfd
 * is readable while the queue is not empty, for threads that poll.
 */
#ifndef RING_H
#define RING_H

#include <stddef.h>
#include <stdint.h>

struct ring;

struct ring *ring_create(size_t);
/* Does not free queued items. */
void ring_destroy(struct ring *);
/* Returns 0, or -1 when the queue is full or closed. */
int ring_push(struct ring *, void *);
/* Waits while the queue is full.  Returns 0, or -1 when it is closed. */
int ring_push_wait(struct ring *, void *);
/* Waits for an item until the clock_mono() deadline; NULL if none comes. */
void *ring_pop(struct ring *, uint64_t);
/* Wakes all waiters; later pushes fail, pops return the remaining items. */
void ring_close(struct ring *);
/* Readable while there are items, and once the ring is closed. */
int ring_fd(const struct ring *);
size_t ring_count(struct ring *);

#endif
