/*
 * The shared queue of requests for engines: asked for at the process that
 * keeps it, or kept here.
 */
#ifndef GRANT_H
#define GRANT_H

#include "forward_int.h"
#include "msg.h"

struct grant_desk;

struct grant_desk *grant_create(struct entry *);
void grant_destroy(struct grant_desk *);
/* Whether the request waits for a grant; 0 lets it choose alone. */
int grant_ask(struct forward *);
/* It waits no longer. */
void grant_drop(struct forward *);
/* Grants what can be granted. */
void grant_run(struct entry *);
/* ASK, QUEUED, GRANT and CANCEL. */
void grant_message(struct entry *, const struct msg *);
/* A peer has told of its work. */
void grant_told(struct entry *, const char *);
/* A request's first event has come. */
void grant_first(struct forward *);
uint64_t grant_read_ns(struct entry *, const struct request_want *);
uint32_t grant_waiting(const struct entry *);

#endif
