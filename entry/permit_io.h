/*
 * Permits for requests to replicas with a limit (see permits.h): asked for on
 * behalf of requests that wait, and given out to other processes; the limits
 * themselves are told to all.
 */
#ifndef PERMIT_IO_H
#define PERMIT_IO_H

#include "entry_int.h"
#include "msg.h"

struct permit_io;

struct permit_io *permit_io_create(struct entry *);
void permit_io_destroy(struct permit_io *);
/* Chooses the pool, gives out permits, and asks again for them. */
void permit_io_tick(struct permit_io *);
/* Asks for a permit for a request that waits, if it can use one. */
void permit_io_ask(struct permit_io *, struct forward *);
/*
 * Whether a request waits for a permit for a moment, although it could be sent
 * to the given replica, since one with a limit would be better.
 */
int permit_io_holds(
    struct permit_io *, struct forward *, const struct directory_replica *);
/* The request has a replica, or has ended: it needs no permit any more. */
void permit_io_forget(struct permit_io *, struct forward *);
/* Part of the limits that requests of this process may use, 0 to 1. */
double permit_io_available(const struct permit_io *);
/* Handles MSG_PERMIT_REQUEST and MSG_PERMIT_ANSWER. */
void permit_io_receive(struct permit_io *, const struct msg *);
/*
 * Fills in a report: the pool that this process lends to and, where wanted, the
 * limits that it knows.
 */
void permit_io_fill(struct permit_io *, struct msg_front *, int);
/* A peer's report, whose address is given. */
void permit_io_apply(
    struct permit_io *, const char *, const struct msg_front *);

#endif
