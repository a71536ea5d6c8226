/*
 * The gate's decider thread: takes what callers, the bus and fetches bring
 * from one bounded ring, steps the decisions, and carries out the actions.
 */
#ifndef DECIDE_H
#define DECIDE_H

#include "bus.h"
#include "exchange.h"
#include "fetch.h"

struct decide;

struct decide_config {
	struct node_id self;
	char vm[NAME_SIZE];
	char control[ADDR_SIZE]; /* bus address of this VM's control */
	struct gate_config gate;
};

struct decide_status {
	struct gate_stats totals;
	uint64_t revision; /* configuration in force */
	int ready;	   /* control says so, and was heard lately */
	struct bus_counts bus;
	size_t ring;
};

struct decide *decide_create(const struct decide_config *, struct err *);
void decide_destroy(struct decide *);
/* Hands a new request over.  Returns -1 when the ring is full. */
int decide_arrive(struct decide *, struct exchange *);
void decide_cancel(struct decide *, uint64_t);
void decide_status(struct decide *, struct decide_status *);

#endif
