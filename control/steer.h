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

struct control_loop;

struct control_loop_config {
	struct node_config node;
	char service[ADDR_SIZE]; /* key-value service */
	char vm_list[ADDR_SIZE]; /* list of VMs, over HTTP */
};

struct control_loop_counts {
	struct bus_counts bus;
	uint64_t kv_calls;
	size_t ring;
};

struct control_loop *control_loop_create(
    const struct control_loop_config *, struct err *);
void control_loop_destroy(struct control_loop *);
/* Leaves cells and peers before a stop. */
void control_loop_leave(struct control_loop *);

/* Each waits for the decider's answer; the caller drops the reference. */
json_t *control_loop_apply_ticket(struct control_loop *, const json_t *);
json_t *control_loop_get_state(struct control_loop *);
json_t *control_loop_get_status(struct control_loop *);
int control_loop_is_ready(struct control_loop *);
void control_loop_get_counts(
    struct control_loop *, struct control_loop_counts *);

#endif
