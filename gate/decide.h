/*
 * The gate's decider thread: takes what callers, the bus and fetches bring
 * from one bounded ring, steps the decisions, and carries out the actions.
 */
#ifndef DECIDE_H
#define DECIDE_H

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
	struct gate_totals totals;
	uint64_t revision; /* configuration in force */
	int ready;	   /* control says so, and was heard lately */
	struct bus_counts bus;
	size_t ring;
};

struct gate_loop *gate_loop_create(
    const struct gate_loop_config *, struct err *);
void gate_loop_destroy(struct gate_loop *);
/* Hands a new request over.  Returns -1 when the ring is full. */
int gate_loop_submit(struct gate_loop *, struct exchange *);
void gate_loop_cancel(struct gate_loop *, uint64_t);
void gate_loop_get_status(struct gate_loop *, struct gate_loop_status *);

#endif
