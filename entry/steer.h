/*
 * Carries out the decisions on models and adapters: sends orders while this
 * process holds the right to, tells the holder what is asked for.
 */
#ifndef STEER_H
#define STEER_H

#include "entry_int.h"
#include "msg.h"
#include "steward.h"

struct steer;

struct steer *steer_create(struct entry *);
/* Whether the process at a bus address sent the latest table. */
int steer_is_holder(const struct entry *, const char *);
void steer_destroy(struct steer *);
void steer_tick(struct entry *);
/* This process is going to stop: gives the right to order back. */
void steer_leave(struct entry *);
/* A request for a model or adapter has come in. */
void steer_arrival(struct entry *, const struct request_want *);
/* A request waits because nothing that it needs is loaded. */
void steer_want(struct entry *, const struct request_want *);
/* An attempt has ended; a replica may lack what it was thought to hold. */
void steer_ended(struct entry *, struct directory_replica *,
    const struct request_want *, enum attempt_end, int);
/* Fills in this process's demand for a report. */
void steer_fill_demand(struct entry *, struct msg_front *);
/* A peer's report. */
void steer_demand(struct entry *, const struct msg *);
/* The process at a bus address is stopping. */
void steer_peer_stops(struct entry *, const char *);
/* HELD and WANT. */
void steer_message(struct entry *, const struct msg *);
void steer_totals(struct entry *, struct loader_stats *);

#endif
