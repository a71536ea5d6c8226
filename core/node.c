/* Dispatches a node's events to its parts; see node.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "node_int.h"

typedef void (*node_handler)(
    struct node *, uint64_t, const struct msg *, struct node_out *);

static void on_probe(
    struct node *, uint64_t, const struct msg *, struct node_out *);
static void append_member(void *, const struct member_info *);
static void record_vm(struct node *, const char *);

static const node_handler node_handlers[MSG__MAX] = {
	[MSG_ACQUIRE] = node_cells_handle_message,
	[MSG_CANCEL] = node_cells_handle_message,
	[MSG_RELEASE] = node_cells_handle_message,
	[MSG_SYNC] = node_cells_handle_message,
	[MSG_REPORT] = node_cells_handle_message,
	[MSG_LOAD] = node_cells_handle_message,
	[MSG_LOAD_PULL] = node_cells_handle_message,
	[MSG_SENDER_ASK] = node_cells_handle_message,
	[MSG_SENDER_NONE] = node_cells_handle_message,
	[MSG_HELLO] = node_gate_handle_hello,
	[MSG_PING] = on_probe,
	[MSG_PING_REQ] = on_probe,
	[MSG_ACK] = on_probe,
	[MSG_CONF_PULL] = node_conf_handle_message,
	[MSG_CONF_HEAD] = node_conf_handle_message,
	[MSG_CONF_CHUNK] = node_conf_handle_message,
};

void
node_config_default(struct node_config *c)
{
	memset(c, 0, sizeof(*c));
	member_config_default(&c->member);
	cell_config_default(&c->cell);
	c->ticket_timeout_ns = 15 * NSEC_PER_SEC;
	c->head_poll_interval_ns = 15 * NSEC_PER_SEC;
	c->contact_timeout_ns = 5 * NSEC_PER_SEC;
	c->head_watchers = 2;
}

struct node *
node_create(const struct node_config *config, uint64_t seed)
{
	struct node *n;

	n = mem_alloc(sizeof(*n));
	n->config = *config;
	n->rand_state[0] = (unsigned short)seed;
	n->rand_state[1] = (unsigned short)(seed >> 16);
	n->rand_state[2] = (unsigned short)(seed >> 32);
	n->member = member_create(&config->member, &config->self, seed);
	n->conf = conf_create();
	TAILQ_INIT(&n->cells);
	TAILQ_INIT(&n->tickets);
	return n;
}

void
node_destroy(struct node *n)
{
	struct cell_state *s;

	if (n == NULL)
		return;
	while ((s = TAILQ_FIRST(&n->cells)) != NULL) {
		TAILQ_REMOVE(&n->cells, s, entry);
		cell_destroy(s->cell);
		free(s);
	}
	node_ticket_clear(n);
	node_conf_clear(n);
	member_destroy(n->member);
	free(n->listed_vms);
	free(n->known_vms);
	free(n);
}

void
node_out_init(struct node_out *out)
{
	TAILQ_INIT(&out->msgs);
	TAILQ_INIT(&out->kv);
	TAILQ_INIT(&out->orders);
	TAILQ_INIT(&out->replies);
}

void
node_out_clear(struct node_out *out)
{
	struct ticket_reply *r;
	struct kv_op *op;
	struct order *o;
	struct msg *m;

	while ((m = TAILQ_FIRST(&out->msgs)) != NULL) {
		TAILQ_REMOVE(&out->msgs, m, entry);
		msg_destroy(m);
	}
	while ((op = TAILQ_FIRST(&out->kv)) != NULL) {
		TAILQ_REMOVE(&out->kv, op, entry);
		kv_op_destroy(op);
	}
	while ((o = TAILQ_FIRST(&out->orders)) != NULL) {
		TAILQ_REMOVE(&out->orders, o, entry);
		order_destroy(o);
	}
	while ((r = TAILQ_FIRST(&out->replies)) != NULL) {
		TAILQ_REMOVE(&out->replies, r, entry);
		free(r);
	}
}

static void
on_probe(
    struct node *n, uint64_t now, const struct msg *m, struct node_out *out)
{
	member_handle_message(n->member, now, m, &out->msgs);
	node_conf_peer_revision(n, now, &m->from, m->u.ping.revision, out);
}

void
node_handle_message(
    struct node *n, uint64_t now, const struct msg *m, struct node_out *out)
{
	n->now = now;
	if ((unsigned)m->kind < MSG__MAX && node_handlers[m->kind] != NULL)
		node_handlers[m->kind](n, now, m, out);
}

void
node_handle_kv_result(struct node *n, uint64_t now, const struct kv_result *r,
    struct node_out *out)
{
	struct cell_out co = node_cell_out(out);
	struct cell_state *s;

	n->now = now;
	if (r->status != KV_UNKNOWN)
		n->kv_answered_at = now;
	if (r->id == 0 || node_conf_handle_kv_result(n, now, r, out) ||
	    node_ticket_handle_kv_result(n, now, r, out))
		return;
	TAILQ_FOREACH (s, &n->cells, entry) {
		if (cell_handle_kv_result(s->cell, now, r, &co))
			return;
	}
}

void
node_handle_order_result(struct node *n, uint64_t now,
    const struct order_result *r, struct node_out *out)
{
	struct cell_out co = node_cell_out(out);
	struct cell_state *s;

	n->now = now;
	TAILQ_FOREACH (s, &n->cells, entry) {
		if (cell_handle_order_result(s->cell, now, r, &co))
			return;
	}
}

static void
record_vm(struct node *n, const char *addr)
{
	size_t i;

	for (i = 0; i < n->nknown_vms; i++) {
		if (strcmp(n->known_vms[i], addr) == 0)
			return;
	}
	n->known_vms = mem_grow(n->known_vms, n->nknown_vms + 1, ADDR_SIZE);
	snprintf(n->known_vms[n->nknown_vms++], ADDR_SIZE, "%s", addr);
}

void
node_set_vms(
    struct node *n, uint64_t now, const struct node_vm *vms, size_t nvms)
{
	size_t i;

	n->now = now;
	n->listed_vms = mem_grow(n->listed_vms, nvms + 1, ADDR_SIZE);
	n->nlisted_vms = nvms;
	for (i = 0; i < n->nknown_vms; i++)
		member_set_listed(n->member, n->known_vms[i], 0);
	for (i = 0; i < nvms; i++) {
		snprintf(n->listed_vms[i], ADDR_SIZE, "%s", vms[i].addr);
		record_vm(n, vms[i].addr);
		member_add_seed(n->member, now, vms[i].addr);
		member_set_listed(n->member, vms[i].addr, 1);
		if (vms[i].leaving)
			member_mark_leaving(n->member, now, vms[i].addr);
	}
}

void
node_tick(struct node *n, uint64_t now, struct node_out *out)
{
	n->now = now;
	if (n->started_at == 0)
		n->started_at = now;
	member_tick(n->member, now, &out->msgs);
	node_conf_tick(n, now, out);
	node_ticket_tick(n, now, out);
	node_cells_tick(n, now, out);
}

void
node_leave(struct node *n, uint64_t now, struct node_out *out)
{
	struct cell_out co = node_cell_out(out);
	struct cell_state *s;

	n->now = now;
	TAILQ_FOREACH (s, &n->cells, entry)
		cell_release(s->cell, &co);
	member_leave(n->member, &out->msgs);
}

uint64_t
node_revision(const struct node *n)
{
	return n->conf->revision;
}

/*
 * Without contact to the key-value service and to peers a node cannot know
 * which configuration is in effect.
 */
int
node_ready(const struct node *n, uint64_t now)
{
	uint64_t since = now > n->config.contact_timeout_ns
	    ? now - n->config.contact_timeout_ns
	    : 0;

	if (!n->head_known && n->conf->revision == 0)
		return 0;
	return node_kv_up(n, now) || member_count_heard(n->member, since) != 0;
}

int
node_kv_up(const struct node *n, uint64_t now)
{
	return n->kv_answered_at != 0 &&
	    now < n->kv_answered_at + n->config.head_poll_interval_ns +
		n->config.contact_timeout_ns;
}

json_t *
node_state(const struct node *n)
{
	return json_pack("{s:I,s:O}", "revision", (json_int_t)n->conf->revision,
	    "objects", n->conf->objects);
}

static void
append_member(void *arg, const struct member_info *info)
{
	static const char *const states[MEMBER__MAX] = { "alive", "suspect",
		"dead", "leaving" };

	json_array_append_new(arg,
	    json_pack("{s:s,s:I,s:s,s:I}", "address", info->id.addr,
		"incarnation", (json_int_t)info->id.incarnation, "state",
		states[info->state], "revision", (json_int_t)info->revision));
}

json_t *
node_status(const struct node *n, uint64_t now)
{
	json_t *members = json_array();
	json_t *cells = json_array();
	json_t *doc;
	struct cell_state *s;

	member_foreach(n->member, append_member, members);
	TAILQ_FOREACH (s, &n->cells, entry) {
		doc = cell_status(s->cell, now);
		json_object_set_new(doc, "owner", json_string(s->owner.addr));
		json_object_set_new(doc, "load", json_integer(s->load));
		json_array_append_new(cells, doc);
	}
	return json_pack("{s:s,s:I,s:b,s:b,s:o,s:o}", "address",
	    n->config.self.addr, "revision", (json_int_t)n->conf->revision,
	    "ready", node_ready(n, now), "service_answers", node_kv_up(n, now),
	    "members", members, "cells", cells);
}

void
node_foreach_member(const struct node *n,
    void (*report)(void *, const struct member_info *), void *ctx)
{
	member_foreach(n->member, report, ctx);
}

void
node_foreach_cell(const struct node *n,
    void (*report)(void *, const struct cell_core *), void *ctx)
{
	const struct cell_state *s;

	TAILQ_FOREACH (s, &n->cells, entry)
		report(ctx, s->cell);
}
