/*
 * Bounded ring of pointers between threads.  Any thread may push or pop.
 * An eventfd is readable while the ring holds something, for threads that
 * wait on several sources.
 */
#ifndef RING_H
#define RING_H

#include <stddef.h>
#include <stdint.h>

struct ring;

struct ring *ring_create(size_t);
/* The ring must be empty or its items owned elsewhere. */
void ring_destroy(struct ring *);
/* Returns 0, or -1 when the ring is full or closed. */
int ring_push(struct ring *, void *);
/* Waits while the ring is full.  Returns -1 when it is closed. */
int ring_push_wait(struct ring *, void *);
/* Waits until an item comes or the monotonic deadline passes, then NULL. */
void *ring_pop(struct ring *, uint64_t);
/* Wakes all waiters; later pushes fail, pops drain what is left. */
void ring_close(struct ring *);
int ring_fd(const struct ring *);
size_t ring_count(struct ring *);

#endif
