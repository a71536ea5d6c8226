/*
 * The control process's event loop: one thread that takes bus messages,
 * key-value results, engine results and operators' queries from a bounded
 * ring, passes them to the node, and performs its output.
 */
#ifndef CONTROL_LOOP_H
#define CONTROL_LOOP_H

#include <jansson.h>

#include "bus.h"
#include "err.h"
#include "node.h"

struct control_loop;

struct control_loop_config {
	struct node_config node;
	char service[ADDR_SIZE]; /* of the key-value service */
	char vm_list[ADDR_SIZE]; /* of the HTTP server with the VM list */
};

struct control_loop_counts {
	struct bus_counts bus;
	uint64_t kv_calls;
	size_t ring; /* items queued */
};

/* Starts the loop's threads.  Returns NULL with the error set on failure. */
struct control_loop *control_loop_create(
    const struct control_loop_config *, struct err *);
/* Stops the threads and drops the items still queued. */
void control_loop_destroy(struct control_loop *);
/* Releases the cells and announces to peers that this node is leaving. */
void control_loop_leave(struct control_loop *);

/*
 * Queries, which wait up to 20 s for the loop's answer.  The caller owns the
 * returned reference, which is NULL when there is no answer.
 */
json_t *control_loop_apply_ticket(struct control_loop *, const json_t *);
json_t *control_loop_get_state(struct control_loop *);
json_t *control_loop_get_status(struct control_loop *);
int control_loop_is_ready(struct control_loop *);
void control_loop_get_counts(
    struct control_loop *, struct control_loop_counts *);

#endif
