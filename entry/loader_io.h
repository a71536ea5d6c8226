/*
 * Loading and unloading of models and adapters.  The process that holds the
 * order lease sends orders to the engines and broadcasts the adapter table; the
 * others report their demand to it.
 */
#ifndef LOADER_IO_H
#define LOADER_IO_H

#include "entry_int.h"
#include "msg.h"
#include "loader.h"

struct loader_io;

struct loader_io *loader_io_create(struct entry *);
/* Whether the process at a bus address is the known lease holder. */
int loader_io_is_holder(const struct entry *, const char *);
void loader_io_destroy(struct loader_io *);
/* The key-value service is of an era, see ownership.h. */
void loader_io_store_era(struct entry *, uint64_t);
/* Whether this process holds the order lease. */
int loader_io_is_leader(const struct entry *);
/* Applies for or renews the order lease; the holder also sends orders. */
void loader_io_tick(struct entry *);
/* This process is stopping: releases the order lease. */
void loader_io_leave(struct entry *);
/* Counts a new request for a model or adapter. */
void loader_io_count_arrival(struct entry *, const struct request_params *);
/* Records whether a model has no copy, as a request has found. */
void loader_io_set_missing(struct entry *, const char *, int);
/* Since when a model has had no copy, 0 if it has one. */
uint64_t loader_io_missing_since(const struct entry *, const char *);
/* Requests for a model that wait, of all processes. */
uint32_t loader_io_waiting(const struct entry *, const char *);
/* As a relay, adds the models that requests wait for to a report. */
void loader_io_fill_waiting(struct entry *, struct msg_front *);
/* Counts and logs what a replica names beyond what is kept. */
void loader_io_note_unnamed(struct entry *, const struct fleet_replica *);
/* Asks the holder to load the model or adapter that a request waits for. */
void loader_io_request_load(struct entry *, const struct request_params *);
/*
 * Handles the end of an attempt: a replica that refused the request gets no
 * more for that model or adapter for a while.
 */
void loader_io_attempt_ended(struct entry *, struct directory_replica *,
    const struct request_params *, enum attempt_outcome, int);
/* Adds this process's demand to a report. */
void loader_io_fill_demand(struct entry *, struct msg_front *);
/* Applies the demand in a report of a peer or of another data centre. */
void loader_io_apply_demand(struct entry *, const struct msg *);
/* The relay's part: demand of a process of its data centre, and their sum. */
void loader_io_apply_zone_demand(struct entry *, const struct msg *);
void loader_io_fill_zone_demand(struct entry *, struct msg_front *);
/* The process at a bus address has started, or is heard for the first time. */
void loader_io_peer_started(struct entry *, const char *);
/* The process at a bus address is stopping. */
void loader_io_peer_stopping(struct entry *, const char *);
/* The holder sends the orders for loads requested since the last call. */
void loader_io_place_requested(struct entry *);
/* Handles MSG_HELD (adapter table), MSG_WANT (load request), MSG_LOADS. */
void loader_io_receive(struct entry *, const struct msg *);
/* Counters and lease state, for metrics. */
void loader_io_totals(struct entry *, struct loader_stats *);

#endif
