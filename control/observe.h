/*
 * Turns what the decisions take in and give out into numbered events, so
 * that the decisions themselves need not log.  Used by one thread.
 */
#ifndef OBSERVE_H
#define OBSERVE_H

#include "node.h"

struct observer;

struct observer *observer_create(void);
void observer_destroy(struct observer *);
void observe_sent_message(struct observer *, const struct msg *);
void observe_received_message(struct observer *, const struct msg *);
void observe_kv_operation(struct observer *, const struct kv_op *);
void observe_kv_result(struct observer *, const struct kv_result *);
void observe_sent_order(struct observer *, const struct order *);
void observe_order_result(struct observer *, const struct order_result *,
    enum order_kind, const char *, const char *);
void observe_ticket_reply(struct observer *, const struct ticket_reply *);
/* Compares membership, cells, readiness and revision with the last look. */
void observe_node_state(struct observer *, const struct node *, uint64_t);

#endif
