/*
 * Turns what the decisions take in and give out into numbered events, so
 * that the decisions themselves need not log.  Used by one thread.
 */
#ifndef OBSERVE_H
#define OBSERVE_H

#include "node.h"

struct observe;

struct observe *observe_create(void);
void observe_destroy(struct observe *);
void observe_message(struct observe *, const struct msg *);
void observe_received(struct observe *, const struct msg *);
void observe_kv_op(struct observe *, const struct kv_op *);
void observe_kv_result(struct observe *, const struct kv_result *);
void observe_order(struct observe *, const struct order *);
void observe_order_result(struct observe *, const struct order_result *,
    enum order_kind, const char *, const char *);
void observe_ticket(struct observe *, const struct ticket_reply *);
/* Compares membership, cells, readiness and revision with the last look. */
void observe_node(struct observe *, const struct node *, uint64_t);

#endif
