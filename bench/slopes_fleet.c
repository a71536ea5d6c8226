/* Simulates control nodes and a key-value service in virtual time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "clock.h"
#include "mem.h"
#include "node.h"
#include "slopes.h"
#include "wire.h"

#define STEP_NS (10 * NSEC_PER_MSEC)

struct kv_pair {
	char key[KV_KEY_SIZE];
	char *value;
	uint64_t revision;
	UT_hash_handle hh;
};

struct watcher {
	uint32_t node;
	struct kv_op *op;
	TAILQ_ENTRY(watcher) entry;
};

struct fleet {
	uint32_t n;
	struct node *nodes[NODES_MAX];
	struct msg_list inboxes[NODES_MAX];
	struct kv_pair *pairs;
	TAILQ_HEAD(, watcher) watchers;
	uint64_t revision;
	uint64_t now;
	uint64_t kv_calls;
	uint64_t messages;
	uint64_t bytes;
	uint64_t ticket_accepted_at;
};

static void fleet_deliver_result(
    struct fleet *, uint32_t, struct kv_op *, struct kv_result *);
static void fleet_handle_kv(struct fleet *, uint32_t, struct kv_op *);
static void fleet_perform(struct fleet *, uint32_t, struct node_out *);
static void fleet_step(struct fleet *);
static void fleet_notify_watchers(struct fleet *);
static uint32_t fleet_node_index(const char *);
static struct fleet *fleet_create(uint32_t);
static void fleet_apply_ticket(
    struct fleet *, json_t *, uint64_t *, uint64_t *);
static int compare_u64(const void *, const void *);

static uint32_t
fleet_node_index(const char *addr)
{
	unsigned a = 0;
	unsigned b = 0;

	sscanf(addr, "10.0.%u.%u:", &a, &b);
	return a * 250 + b;
}

static void
fleet_deliver_result(
    struct fleet *f, uint32_t i, struct kv_op *op, struct kv_result *r)
{
	struct node_out out;

	r->id = op->id;
	r->kind = op->kind;
	kv_op_destroy(op);
	node_out_init(&out);
	node_handle_kv_result(f->nodes[i], f->now, r, &out);
	fleet_perform(f, i, &out);
}

static void
fleet_notify_watchers(struct fleet *f)
{
	struct watcher *w, *next;
	struct kv_result r;
	struct kv_pair *p;

	for (w = TAILQ_FIRST(&f->watchers); w != NULL; w = next) {
		next = TAILQ_NEXT(w, entry);
		HASH_FIND_STR(f->pairs, w->op->key, p);
		if (p == NULL || p->revision <= w->op->expected_revision)
			continue;
		TAILQ_REMOVE(&f->watchers, w, entry);
		memset(&r, 0, sizeof(r));
		r.status = KV_OK;
		r.value = p->value;
		r.revision = p->revision;
		fleet_deliver_result(f, w->node, w->op, &r);
		free(w);
		next = TAILQ_FIRST(&f->watchers);
	}
}

static void
fleet_handle_kv(struct fleet *f, uint32_t i, struct kv_op *op)
{
	struct kv_result r;
	struct watcher *w;
	struct kv_pair *p;

	f->kv_calls++;
	memset(&r, 0, sizeof(r));
	r.status = KV_OK;
	HASH_FIND_STR(f->pairs, op->key, p);
	if (op->kind == KV_WATCH) {
		w = mem_alloc(sizeof(*w));
		w->node = i;
		w->op = op;
		TAILQ_INSERT_TAIL(&f->watchers, w, entry);
		return;
	}
	if (op->kind == KV_GET && p == NULL)
		r.status = KV_ABSENT;
	if (op->kind == KV_GET && p != NULL) {
		r.value = p->value;
		r.revision = p->revision;
	}
	if (op->kind == KV_GRANT)
		r.lease_id = ++f->revision;
	if (op->kind == KV_CAS &&
	    op->expected_revision != (p == NULL ? 0 : p->revision)) {
		r.status = KV_CONFLICT;
	} else if (op->kind == KV_CAS) {
		if (p == NULL) {
			p = mem_alloc(sizeof(*p));
			memcpy(p->key, op->key, sizeof(p->key));
			HASH_ADD_STR(f->pairs, key, p);
		}
		free(p->value);
		p->value = op->value;
		op->value = NULL;
		p->revision = r.revision = ++f->revision;
	}
	fleet_deliver_result(f, i, op, &r);
}

static void
fleet_perform(struct fleet *f, uint32_t i, struct node_out *out)
{
	struct ticket_reply *r;
	struct kv_op *op;
	struct msg *m;
	char *buf;
	size_t len;

	while ((m = TAILQ_FIRST(&out->msgs)) != NULL) {
		TAILQ_REMOVE(&out->msgs, m, entry);
		snprintf(m->from.addr, ADDR_SIZE, "10.0.%u.%u:7002", i / 250,
		    i % 250);
		m->from.incarnation = i + 1;
		wire_encode(m, &buf, &len);
		free(buf);
		f->messages++;
		f->bytes += len;
		TAILQ_INSERT_TAIL(
		    &f->inboxes[fleet_node_index(m->to)], m, entry);
	}
	TAILQ_FOREACH (r, &out->replies, entry) {
		if (r->status == TICKET_ACCEPTED)
			f->ticket_accepted_at = f->now;
	}
	while ((op = TAILQ_FIRST(&out->kv)) != NULL) {
		TAILQ_REMOVE(&out->kv, op, entry);
		fleet_handle_kv(f, i, op);
	}
	node_out_clear(out);
}

/* Runs one step; messages sent in a step arrive in the next. */
static void
fleet_step(struct fleet *f)
{
	struct msg_list batch;
	struct node_out out;
	struct msg *m;
	uint32_t i;

	for (i = 0; i < f->n; i++) {
		TAILQ_INIT(&batch);
		TAILQ_CONCAT(&batch, &f->inboxes[i], entry);
		while ((m = TAILQ_FIRST(&batch)) != NULL) {
			TAILQ_REMOVE(&batch, m, entry);
			node_out_init(&out);
			node_handle_message(f->nodes[i], f->now, m, &out);
			fleet_perform(f, i, &out);
			msg_destroy(m);
		}
		node_out_init(&out);
		node_tick(f->nodes[i], f->now, &out);
		fleet_perform(f, i, &out);
	}
	fleet_notify_watchers(f);
	f->now += STEP_NS;
}

static struct fleet *
fleet_create(uint32_t n)
{
	struct node_config c;
	struct node_vm *vms;
	struct fleet *f;
	uint32_t i;

	f = mem_alloc(sizeof(*f));
	f->n = n;
	f->now = NSEC_PER_SEC;
	TAILQ_INIT(&f->watchers);
	vms = mem_alloc(n * sizeof(*vms));
	for (i = 0; i < n; i++)
		snprintf(vms[i].addr, ADDR_SIZE, "10.0.%u.%u:7002", i / 250,
		    i % 250);
	for (i = 0; i < n; i++) {
		node_config_default(&c);
		memcpy(c.self.addr, vms[i].addr, ADDR_SIZE);
		c.self.incarnation = i + 1;
		TAILQ_INIT(&f->inboxes[i]);
		f->nodes[i] = node_create(&c, i + 1);
		node_set_vms(f->nodes[i], f->now, vms, n);
	}
	free(vms);
	return f;
}

static int
compare_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Applies a ticket on the first node.  Gives the median and maximum time, in
 * milliseconds, until a node has it in force.
 */
static void
fleet_apply_ticket(
    struct fleet *f, json_t *ticket, uint64_t *p50, uint64_t *max)
{
	uint64_t at[NODES_MAX] = { 0 };
	uint64_t start = f->now;
	uint64_t revision = node_revision(f->nodes[0]) + 1;
	struct node_out out;
	uint32_t done = 0;
	uint32_t i;

	node_out_init(&out);
	node_submit_ticket(f->nodes[0], f->now, ticket, 1, &out);
	fleet_perform(f, 0, &out);
	while (done < f->n && f->now < start + 30 * NSEC_PER_SEC) {
		fleet_step(f);
		for (i = 0, done = 0; i < f->n; i++) {
			if (at[i] == 0 &&
			    node_revision(f->nodes[i]) >= revision)
				at[i] = f->now - start;
			done += at[i] != 0;
		}
	}
	qsort(at, f->n, sizeof(at[0]), compare_u64);
	*p50 = at[f->n / 2] / NSEC_PER_MSEC;
	*max = at[f->n - 1] / NSEC_PER_MSEC;
}

/* Measures membership, dissemination and key-value calls of n nodes. */
void
measure_nodes(uint32_t n)
{
	struct fleet *f = fleet_create(n);
	json_t *ticket = create_scaled_ticket(REPLICAS);
	double seconds = 10.0;
	uint64_t p50;
	uint64_t max;
	double memory = process_heap_mb();
	double cpu;
	uint32_t i;
	int k;

	for (k = 0; k < 300; k++)
		fleet_step(f);
	fleet_apply_ticket(f, ticket, &p50, &max);
	for (k = 0; k < 500; k++)
		fleet_step(f);
	f->messages = f->bytes = f->kv_calls = 0;
	cpu = process_cpu_s();
	for (k = 0; k < (int)(seconds * 100); k++)
		fleet_step(f);
	cpu = process_cpu_s() - cpu;
	printf("| control, memory | %u nodes, 23 cells | %.1f MB a node |\n", n,
	    (process_heap_mb() - memory) / n);
	printf("| control, idle | %u nodes, 23 cells | %.1f messages/s and "
	       "%.2f KB/s sent a node, %.2f%% of a core a node, %.1f calls/s "
	       "of the key-value service in all |\n",
	    n, (double)f->messages / seconds / n,
	    (double)f->bytes / seconds / n / 1024.0, cpu / seconds / n * 100,
	    (double)f->kv_calls / seconds);
	json_object_set_new(ticket, "ticket", json_integer(2));
	json_object_del(ticket, "backends");
	fleet_apply_ticket(f, ticket, &p50, &max);
	printf("| ticket to in force | %u nodes | p50 %llu ms, max %llu ms "
	       "|\n",
	    n, (unsigned long long)p50, (unsigned long long)max);
	fflush(stdout);
	for (i = 0; i < n; i++) {
		node_destroy(f->nodes[i]);
		destroy_messages(&f->inboxes[i]);
	}
	json_decref(ticket);
}
