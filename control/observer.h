/*
 * Logs the inputs, outputs and state changes of the control node as numbered
 * events, so that the node itself stays free of logging.  Not thread-safe.
 */
#ifndef OBSERVER_H
#define OBSERVER_H

#include "node.h"

struct observer;

struct observer *observer_create(void);
void observer_destroy(struct observer *);
/* Log one input or output each; those without an event are ignored. */
void observe_sent_message(struct observer *, const struct msg *);
void observe_received_message(struct observer *, const struct msg *);
void observe_kv_operation(struct observer *, const struct kv_op *);
void observe_kv_result(struct observer *, const struct kv_result *);
void observe_sent_order(struct observer *, const struct order *);
void observe_order_result(struct observer *, const struct order_result *,
    enum order_kind, const char *, const char *);
void observe_ticket_reply(struct observer *, const struct ticket_reply *);
/*
 * Logs changes of membership, cells, readiness and revision since the last
 * check; checks at most once every 100 ms.
 */
void observe_node_state(struct observer *, const struct node *, uint64_t);

#endif
