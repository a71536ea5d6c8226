/*
 * The control process's decider thread: takes what the bus, the key-value
 * service, engines and operators bring from one bounded ring, steps the
 * decisions, and carries out what they say.
 */
#ifndef STEER_H
#define STEER_H

#include <jansson.h>

#include "bus.h"
#include "err.h"
#include "node.h"

struct steer;

struct steer_config {
	struct node_config node;
	char service[ADDR_SIZE]; /* key-value service */
	char vm_list[ADDR_SIZE]; /* list of VMs, over HTTP */
};

struct steer_counts {
	struct bus_counts bus;
	uint64_t kv_calls;
	size_t ring;
};

struct steer *steer_create(const struct steer_config *, struct err *);
void steer_destroy(struct steer *);
/* Leaves cells and peers before a stop. */
void steer_leave(struct steer *);

/* Each waits for the decider's answer; the caller drops the reference. */
json_t *steer_ticket(struct steer *, const json_t *);
json_t *steer_state(struct steer *);
json_t *steer_status(struct steer *);
int steer_ready(struct steer *);
void steer_counts(struct steer *, struct steer_counts *);

#endif
