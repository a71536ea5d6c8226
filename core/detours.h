/*
 * Chooses the peer that passes a request on to a replica while this process
 * cannot reach replicas itself.  Deterministic: times are passed in, in ns.
 */
#ifndef DETOURS_H
#define DETOURS_H

#include "base.h"

struct detours;

struct detours *detours_create(void);
void detours_destroy(struct detours *);
/*
 * A peer may be chosen from now on; it is near (1) if it is in the data centre
 * of this process.  Those that are not named until detours_end_update() are
 * forgotten.
 */
void detours_begin_update(struct detours *);
void detours_put(struct detours *, const char *, int);
void detours_end_update(struct detours *);
/*
 * Address of the best peer, or NULL if each rests after a failure.  The random
 * number in [0, 1) decides between equal ones.
 */
const char *detours_choose(const struct detours *, uint64_t, double);
/* A request is passed to a peer, and has ended there. */
void detours_started(struct detours *, const char *);
void detours_ended(struct detours *, const char *);
/* The peer reached a replica. */
void detours_worked(struct detours *, const char *);
/* The peer cannot be reached or reaches no replica: it rests for a while. */
void detours_failed(struct detours *, const char *, uint64_t);
/* Forgets failures and successes, but not what is under way. */
void detours_reset(struct detours *);
/* Whether a peer may be chosen, apart from its failures. */
int detours_knows(const struct detours *, const char *);
/* Whether a peer has reached a replica, and has not failed since. */
int detours_any_worked(const struct detours *);
/* Number of requests that peers are passing on. */
uint32_t detours_in_progress(const struct detours *);

#endif
