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
/* Applies for or renews the order lease; the holder also sends orders. */
void loader_io_tick(struct entry *);
/* This process is stopping: releases the order lease. */
void loader_io_leave(struct entry *);
/* Counts a new request for a model or adapter. */
void loader_io_count_arrival(struct entry *, const struct request_params *);
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
/* Applies the demand in a peer's report. */
void loader_io_apply_demand(struct entry *, const struct msg *);
/* The process at a bus address is stopping. */
void loader_io_peer_stopping(struct entry *, const char *);
/* Handles MSG_HELD (adapter table) and MSG_WANT (load request). */
void loader_io_receive(struct entry *, const struct msg *);
/* Counters and lease state, for metrics. */
void loader_io_totals(struct entry *, struct loader_stats *);

#endif
