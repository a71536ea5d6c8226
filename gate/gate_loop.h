/*
 * The gate's event loop: one thread that takes caller requests, bus messages
 * and fetch events from a bounded ring, passes them to the gate core, and
 * performs the actions that the core returns.
 */
#ifndef GATE_LOOP_H
#define GATE_LOOP_H

#include "bus.h"
#include "exchange.h"
#include "fetch.h"

struct gate_loop;

struct gate_loop_config {
	struct node_id self;
	char vm[NAME_SIZE];
	char control[ADDR_SIZE]; /* bus address of this VM's control */
	struct gate_config gate;
};

struct gate_loop_status {
	struct gate_stats totals;
	uint64_t revision; /* of the configuration in force */
	int ready;	   /* control's readiness; 0 when it is silent */
	struct bus_counts bus;
	size_t ring; /* items queued */
};

/* Starts the loop's threads.  Returns NULL with the error set on failure. */
struct gate_loop *gate_loop_create(
    const struct gate_loop_config *, struct err *);
/* Stops the threads and drops the items still queued. */
void gate_loop_destroy(struct gate_loop *);
/* Queues a new request.  Returns 0, or -1 when the ring is full. */
int gate_loop_submit(struct gate_loop *, struct exchange *);
/* Queues the cancellation of a request; waits while the ring is full. */
void gate_loop_cancel(struct gate_loop *, uint64_t);
void gate_loop_get_status(struct gate_loop *, struct gate_loop_status *);

#endif
