/*
 * Detects callers' disconnects: one thread polls connections and reports each
 * one whose peer has closed its side.  A descriptor must be removed before the
 * handler of its connection returns.
 */
#ifndef WATCH_H
#define WATCH_H

#include <stdint.h>

struct watch;

struct watch *watch_create(void (*)(void *, uint64_t), void *);
void watch_destroy(struct watch *);
/* Reports id once when the peer of fd closes.  Returns -1 on failure. */
int watch_add(struct watch *, int, uint64_t);
void watch_remove(struct watch *, int);

#endif
