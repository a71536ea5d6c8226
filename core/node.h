/*
 * The logic of a control process: membership, the configuration and its
 * tickets, the cells, and updates for gates.  Deterministic and without I/O:
 * takes events with the time, and returns messages, key-value operations,
 * engine orders and replies to tickets.
 */
#ifndef NODE_H
#define NODE_H

#include <jansson.h>

#include "cell.h"
#include "conf.h"
#include "kv_op.h"
#include "member.h"
#include "msg.h"

struct node;

struct node_config {
	struct node_id self;
	struct member_config member;
	struct cell_config cell;
	uint64_t ticket_timeout_ns;	/* until TICKET_UNKNOWN */
	uint64_t head_poll_interval_ns; /* mean interval of reads of the head */
	uint64_t contact_timeout_ns;	/* without contact: not ready */
	uint32_t head_watchers;		/* nodes that watch the head */
};

enum ticket_status {
	TICKET_ACCEPTED,
	TICKET_UNCHANGED, /* already in effect */
	TICKET_REFUSED,
	TICKET_UNKNOWN /* outcome unknown; apply it again */
};

struct ticket_reply {
	TAILQ_ENTRY(ticket_reply) entry;
	uint64_t cookie;
	enum ticket_status status;
	uint64_t number;
	uint64_t revision;
	struct err err;
};

TAILQ_HEAD(ticket_replies, ticket_reply);

struct node_out {
	struct msg_list msgs;
	struct kv_ops kv;
	struct orders orders;
	struct ticket_replies replies;
};

/* A VM of the platform's list. */
struct node_vm {
	char addr[ADDR_SIZE]; /* bus address of its control process */
	int leaving;
};

void node_config_default(struct node_config *);
/* Creates a node; the number seeds its random choices. */
struct node *node_create(const struct node_config *, uint64_t);
void node_destroy(struct node *);
void node_out_init(struct node_out *);
/* Destroys all remaining items. */
void node_out_clear(struct node_out *);

void node_handle_message(
    struct node *, uint64_t, const struct msg *, struct node_out *);
void node_handle_kv_result(
    struct node *, uint64_t, const struct kv_result *, struct node_out *);
void node_handle_order_result(
    struct node *, uint64_t, const struct order_result *, struct node_out *);
/* Submits a ticket; its reply carries the cookie. */
void node_submit_ticket(
    struct node *, uint64_t, const json_t *, uint64_t, struct node_out *);
/* Replaces the platform's list of VMs. */
void node_set_vms(struct node *, uint64_t, const struct node_vm *, size_t);
void node_tick(struct node *, uint64_t, struct node_out *);
/* Before shutdown: releases the owned cells and notifies peers. */
void node_leave(struct node *, uint64_t, struct node_out *);

uint64_t node_revision(const struct node *);
/* Whether a configuration is known and the service or a peer is in contact. */
int node_ready(const struct node *, uint64_t);
/* Whether the key-value service has responded recently. */
int node_kv_up(const struct node *, uint64_t);
/* The declared objects as JSON; the caller owns the reference. */
json_t *node_state(const struct node *);
json_t *node_status(const struct node *, uint64_t);
void node_foreach_member(
    const struct node *, void (*)(void *, const struct member_info *), void *);
void node_foreach_cell(
    const struct node *, void (*)(void *, const struct cell_core *), void *);

#endif
