/*
 * Slopes for docs/CAPACITY.md: the decisions alone, in virtual time, at
 * several sizes.  Prints one table; judges nothing.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uthash.h>

#include "clock.h"
#include "gate.h"
#include "mem.h"
#include "node.h"
#include "sched.h"
#include "wire.h"

#define STEP (10 * NSEC_PER_MSEC)
#define MODELS 540
#define REPLICAS 730
#define REQUEST_RATE 3500
#define NODES_MAX 390

static double cpu_s(void);
static double heap_mb(void);
static void name_replica(struct msg_replica *, uint32_t, uint32_t, uint32_t);
static struct sched *make_cell(uint32_t, uint32_t);
static void drop(struct msg_list *);
static void slope_sched(uint32_t);
static void slope_queue(uint32_t);
static void slope_gate(uint32_t);
static void slope_conf(uint32_t);
static void slope_nodes(uint32_t);
static json_t *big_ticket(uint32_t);
static void perform(struct gate_actions *, uint64_t *);
static void fill_gate(struct gate_core *, uint64_t, uint32_t);

static double
cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static double
heap_mb(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd) / 1048576.0;
}

static void
name_replica(
    struct msg_replica *r, uint32_t i, uint32_t nmodels, uint32_t first)
{
	uint32_t k;

	memset(r, 0, sizeof(*r));
	snprintf(r->name, sizeof(r->name), "replica%u", i);
	snprintf(r->addr, sizeof(r->addr), "10.1.%u.%u:1", i / 250, i % 250);
	for (k = 0; k < nmodels && k < REPLICA_MODELS_MAX; k++)
		snprintf(
		    r->models[r->nmodels++], NAME_SIZE, "model%u", first + k);
}

static void
drop(struct msg_list *out)
{
	struct msg *m;

	while ((m = TAILQ_FIRST(out)) != NULL) {
		TAILQ_REMOVE(out, m, entry);
		msg_destroy(m);
	}
}

/* One cell whose replicas hold three models each. */
static struct sched *
make_cell(uint32_t replicas, uint32_t models)
{
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	struct sched_config c;
	struct msg_replica *r;
	struct sched *s;
	uint32_t i;

	sched_config_default(&c);
	s = sched_create(&c, 0);
	r = mem_alloc(sizeof(*r));
	for (i = 0; i < replicas; i++) {
		name_replica(r, i, 3, i * 3 % models);
		sched_replica(s, 0, r, &out);
	}
	free(r);
	drop(&out);
	return s;
}

/* Processor time for one request: acquire, grant, release. */
static void
slope_sched(uint32_t replicas)
{
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	struct msg *acquire = msg_create(MSG_ACQUIRE, "");
	struct msg *release = msg_create(MSG_RELEASE, "");
	struct sched *s = make_cell(replicas, 24);
	uint64_t now = NSEC_PER_SEC;
	uint64_t bytes = 0;
	double start;
	char *buf;
	size_t len;
	int i;
	int n = 200000;

	strcpy(acquire->from.addr, "10.0.0.1:7001");
	strcpy(release->from.addr, "10.0.0.1:7001");
	acquire->u.acquire.tokens = 64;
	acquire->u.acquire.slack_ns = NSEC_PER_SEC;
	start = cpu_s();
	for (i = 1; i <= n; i++) {
		now += 20 * NSEC_PER_USEC;
		acquire->u.acquire.key.rid = (uint64_t)i;
		snprintf(
		    acquire->u.acquire.model, NAME_SIZE, "model%d", i % 24);
		sched_message(s, now, acquire, &out);
		/* Leave a hundred requests outstanding. */
		release->u.release.key.rid = (uint64_t)(i - 100);
		release->u.release.token_ns = 10 * NSEC_PER_MSEC;
		if (i > 100)
			sched_message(s, now, release, &out);
		if (i % 5000 == 0)
			sched_tick(s, now, &out);
		drop(&out);
	}
	start = cpu_s() - start;
	wire_encode(acquire, &buf, &len);
	bytes = len;
	free(buf);
	wire_encode(release, &buf, &len);
	bytes += len;
	free(buf);
	printf("| scheduler, requests | %u replicas in the cell | %.2f us a "
	       "request, %.0f requests/s; ACQUIRE and RELEASE %llu bytes |\n",
	    replicas, start / n * 1e6, n / start, (unsigned long long)bytes);
	msg_destroy(acquire);
	msg_destroy(release);
	sched_destroy(s);
}

/* Bytes and tick time of waiting requests. */
static void
slope_queue(uint32_t waiting)
{
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	struct msg *acquire = msg_create(MSG_ACQUIRE, "");
	struct sched_config c;
	struct sched *s;
	double before;
	double start;
	uint32_t i;

	sched_config_default(&c);
	c.queue_max = waiting * 2;
	s = sched_create(&c, 0);
	for (i = 0; i < 24; i++) {
		snprintf(acquire->u.acquire.model, NAME_SIZE, "model%u", i);
		sched_declare(s, acquire->u.acquire.model);
	}
	strcpy(acquire->from.addr, "10.0.0.1:7001");
	acquire->u.acquire.slack_ns = 3600 * NSEC_PER_SEC;
	before = heap_mb();
	for (i = 1; i <= waiting; i++) {
		acquire->u.acquire.key.rid = i;
		snprintf(
		    acquire->u.acquire.model, NAME_SIZE, "model%u", i % 24);
		sched_message(s, NSEC_PER_SEC, acquire, &out);
		drop(&out);
	}
	before = heap_mb() - before;
	start = cpu_s();
	for (i = 1; i <= 10; i++)
		sched_tick(s, NSEC_PER_SEC + i * 200ULL * NSEC_PER_MSEC, &out);
	start = cpu_s() - start;
	printf("| scheduler, queue | %u waiting | %.0f bytes each (%zu in the "
	       "job), tick %.2f ms |\n",
	    waiting, before * 1048576.0 / waiting, sched_job_size(),
	    start / 10 * 1e3);
	msg_destroy(acquire);
	drop(&out);
	sched_destroy(s);
}

/* Throws actions away but for the number of the latest fetch. */
static void
perform(struct gate_actions *out, uint64_t *fetch)
{
	struct gate_action *act;

	while ((act = TAILQ_FIRST(out)) != NULL) {
		TAILQ_REMOVE(out, act, entry);
		if (act->kind == GATE_START)
			*fetch = act->fetch;
		gate_action_destroy(act);
	}
}

/* Tells a gate of so many replicas, in full cells, and of every model. */
static void
fill_gate(struct gate_core *g, uint64_t now, uint32_t replicas)
{
	struct gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	struct msg *m = msg_create(MSG_CELL, "");
	uint32_t i;

	for (i = 0; i < replicas; i++) {
		name_replica(&m->u.cell.replicas[i % CELL_REPLICAS_MAX], i, 3,
		    i * 3 % MODELS);
		m->u.cell.nreplicas = i % CELL_REPLICAS_MAX + 1;
		if (m->u.cell.nreplicas != CELL_REPLICAS_MAX &&
		    i + 1 != replicas)
			continue;
		snprintf(
		    m->u.cell.cell, NAME_SIZE, "cell%u", i / CELL_REPLICAS_MAX);
		m->u.cell.version = 1;
		gate_message(g, now, m, &out);
	}
	msg_destroy(m);
	m = msg_create(MSG_MODEL, "");
	m->u.model.version = 1;
	for (i = 0; i < MODELS; i++) {
		snprintf(m->u.model.name, NAME_SIZE, "model%u", i);
		gate_message(g, now, m, &out);
	}
	msg_destroy(m);
}

/* One gate that knows the whole system: its table and a request's cost. */
static void
slope_gate(uint32_t replicas)
{
	struct gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	struct node_id self = { "10.0.0.1:7001", 1 };
	struct gate_request req;
	struct gate_config c;
	struct gate_fetch f;
	struct gate_core *g;
	uint64_t fetch;
	uint64_t now = NSEC_PER_SEC;
	double memory = heap_mb();
	double start;
	int i;
	int n = 2000;

	gate_config_default(&c);
	g = gate_create(&c, &self, 1);
	fill_gate(g, now, replicas);
	memory = heap_mb() - memory;
	memset(&req, 0, sizeof(req));
	memset(&f, 0, sizeof(f));
	req.repeatable = 1;
	req.stream = 1;
	f.kind = FETCH_END;
	start = cpu_s();
	for (i = 1; i <= n; i++) {
		now += NSEC_PER_MSEC;
		req.rid = (uint64_t)i;
		req.deadline = now + NSEC_PER_SEC;
		snprintf(req.model, NAME_SIZE, "model%u",
		    (uint32_t)i * 7 % (replicas < MODELS ? replicas : MODELS));
		fetch = 0;
		gate_arrive(g, now, &req, &out);
		perform(&out, &fetch);
		f.fetch = fetch;
		if (fetch != 0)
			gate_fetched(g, now, &f, &out);
		perform(&out, &fetch);
	}
	start = cpu_s() - start;
	printf("| gate | %u replicas known | %.1f us a request, table %.2f MB "
	       "|\n",
	    replicas, start / n * 1e6, memory);
	gate_destroy(g);
}

/* A declared system with so many backend servers, 540 models in scale. */
static json_t *
big_ticket(uint32_t backends)
{
	json_t *list = json_array();
	json_t *models = json_array();
	uint32_t nmodels = MODELS * backends / REPLICAS + 1;
	uint32_t i;

	for (i = 0; i < backends; i++)
		json_array_append_new(list,
		    json_pack("{s:o,s:o,s:s,s:o,s:b,s:[{s:i}]}", "name",
			json_sprintf("engine%u", i), "address",
			json_sprintf("10.1.%u.%u:80", i / 250, i % 250),
			"datacentre", "d1", "cell",
			json_sprintf("c%u", i / CELL_REPLICAS_MAX), "fencing",
			1, "accelerators", "memory_mb", 80000));
	for (i = 0; i < nmodels; i++)
		json_array_append_new(models,
		    json_pack("{s:o,s:i}", "name", json_sprintf("model%u", i),
			"memory_mb", 9000));
	return json_pack(
	    "{s:i,s:o,s:o}", "ticket", 1, "backends", list, "models", models);
}

/* Time and memory of one configuration. */
static void
slope_conf(uint32_t backends)
{
	struct conf *base = conf_create();
	struct conf *c = NULL;
	json_t *ticket = big_ticket(backends);
	struct err e = { ERR_NONE, "" };
	uint64_t number;
	double memory = heap_mb();
	double start = cpu_s();
	size_t bytes = 0;
	char *text;
	int i;

	if (conf_apply(base, ticket, &c, &number, &e) != CONF_CHANGED) {
		printf("| configuration | %u | %s |\n", backends, e.text);
		return;
	}
	start = cpu_s() - start;
	memory = heap_mb() - memory;
	for (i = 0; i < CONF_CHUNKS; i++) {
		text = conf_chunk(c, i);
		bytes += text == NULL ? 0 : strlen(text);
		free(text);
	}
	printf("| configuration | %u backend servers, %zu models | applied in "
	       "%.1f ms, %.2f MB, %zu KB in chunks |\n",
	    backends, c->nmodels, start * 1e3, memory, bytes / 1024);
	conf_destroy(c);
	conf_destroy(base);
	json_decref(ticket);
}

/* --- many nodes joined in virtual time, with a key-value service --- */

struct pair {
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
	struct msg_list inbox[NODES_MAX];
	struct pair *pairs;
	TAILQ_HEAD(, watcher) watchers;
	uint64_t revision;
	uint64_t now;
	uint64_t kv_calls;
	uint64_t messages;
	uint64_t bytes;
	uint64_t accepted_at;
};

static void fleet_answer(
    struct fleet *, uint32_t, struct kv_op *, struct kv_result *);
static void fleet_kv(struct fleet *, uint32_t, struct kv_op *);
static void fleet_perform(struct fleet *, uint32_t, struct node_out *);
static void fleet_step(struct fleet *);
static void fleet_wake(struct fleet *);
static uint32_t fleet_index(const char *);
static struct fleet *fleet_create(uint32_t);
static void fleet_ticket(struct fleet *, json_t *, uint64_t *, uint64_t *);
static int compare_u64(const void *, const void *);

static uint32_t
fleet_index(const char *addr)
{
	unsigned a = 0;
	unsigned b = 0;

	sscanf(addr, "10.0.%u.%u:", &a, &b);
	return a * 250 + b;
}

static void
fleet_answer(struct fleet *f, uint32_t i, struct kv_op *op, struct kv_result *r)
{
	struct node_out out;

	r->id = op->id;
	r->kind = op->kind;
	kv_op_destroy(op);
	node_out_init(&out);
	node_kv(f->nodes[i], f->now, r, &out);
	fleet_perform(f, i, &out);
}

static void
fleet_wake(struct fleet *f)
{
	struct watcher *w, *next;
	struct kv_result r;
	struct pair *p;

	for (w = TAILQ_FIRST(&f->watchers); w != NULL; w = next) {
		next = TAILQ_NEXT(w, entry);
		HASH_FIND_STR(f->pairs, w->op->key, p);
		if (p == NULL || p->revision <= w->op->expect)
			continue;
		TAILQ_REMOVE(&f->watchers, w, entry);
		memset(&r, 0, sizeof(r));
		r.status = KV_OK;
		r.value = p->value;
		r.revision = p->revision;
		fleet_answer(f, w->node, w->op, &r);
		free(w);
		next = TAILQ_FIRST(&f->watchers);
	}
}

static void
fleet_kv(struct fleet *f, uint32_t i, struct kv_op *op)
{
	struct kv_result r;
	struct watcher *w;
	struct pair *p;

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
		r.lease = ++f->revision;
	if (op->kind == KV_CAS && op->expect != (p == NULL ? 0 : p->revision)) {
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
	fleet_answer(f, i, op, &r);
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
		TAILQ_INSERT_TAIL(&f->inbox[fleet_index(m->to)], m, entry);
	}
	TAILQ_FOREACH (r, &out->replies, entry) {
		if (r->status == TICKET_ACCEPTED)
			f->accepted_at = f->now;
	}
	while ((op = TAILQ_FIRST(&out->kv)) != NULL) {
		TAILQ_REMOVE(&out->kv, op, entry);
		fleet_kv(f, i, op);
	}
	node_out_clear(out);
}

/* One step: a message sent in one step arrives in the next. */
static void
fleet_step(struct fleet *f)
{
	struct msg_list batch;
	struct node_out out;
	struct msg *m;
	uint32_t i;

	for (i = 0; i < f->n; i++) {
		TAILQ_INIT(&batch);
		TAILQ_CONCAT(&batch, &f->inbox[i], entry);
		while ((m = TAILQ_FIRST(&batch)) != NULL) {
			TAILQ_REMOVE(&batch, m, entry);
			node_out_init(&out);
			node_message(f->nodes[i], f->now, m, &out);
			fleet_perform(f, i, &out);
			msg_destroy(m);
		}
		node_out_init(&out);
		node_tick(f->nodes[i], f->now, &out);
		fleet_perform(f, i, &out);
	}
	fleet_wake(f);
	f->now += STEP;
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
		TAILQ_INIT(&f->inbox[i]);
		f->nodes[i] = node_create(&c, i + 1);
		node_vms(f->nodes[i], f->now, vms, n);
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

/* From the head's write to every node: times in milliseconds. */
static void
fleet_ticket(struct fleet *f, json_t *ticket, uint64_t *p50, uint64_t *max)
{
	uint64_t at[NODES_MAX] = { 0 };
	uint64_t start = f->now;
	uint64_t revision = node_revision(f->nodes[0]) + 1;
	struct node_out out;
	uint32_t done = 0;
	uint32_t i;

	node_out_init(&out);
	node_ticket(f->nodes[0], f->now, ticket, 1, &out);
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

/* Membership, dissemination and calls with so many nodes. */
static void
slope_nodes(uint32_t n)
{
	struct fleet *f = fleet_create(n);
	json_t *ticket = big_ticket(REPLICAS);
	double seconds = 10.0;
	uint64_t p50;
	uint64_t max;
	double memory = heap_mb();
	double cpu;
	uint32_t i;
	int k;

	for (k = 0; k < 300; k++)
		fleet_step(f);
	fleet_ticket(f, ticket, &p50, &max);
	for (k = 0; k < 500; k++)
		fleet_step(f);
	f->messages = f->bytes = f->kv_calls = 0;
	cpu = cpu_s();
	for (k = 0; k < (int)(seconds * 100); k++)
		fleet_step(f);
	cpu = cpu_s() - cpu;
	printf("| control, memory | %u nodes, 23 cells | %.1f MB a node |\n", n,
	    (heap_mb() - memory) / n);
	printf("| control, idle | %u nodes, 23 cells | %.1f messages/s and "
	       "%.2f KB/s sent a node, %.2f%% of a core a node, %.1f calls/s "
	       "of the key-value service in all |\n",
	    n, (double)f->messages / seconds / n,
	    (double)f->bytes / seconds / n / 1024.0, cpu / seconds / n * 100,
	    (double)f->kv_calls / seconds);
	json_object_set_new(ticket, "ticket", json_integer(2));
	json_object_del(ticket, "backends");
	fleet_ticket(f, ticket, &p50, &max);
	printf("| ticket to in force | %u nodes | p50 %llu ms, max %llu ms "
	       "|\n",
	    n, (unsigned long long)p50, (unsigned long long)max);
	fflush(stdout);
	for (i = 0; i < n; i++) {
		node_destroy(f->nodes[i]);
		drop(&f->inbox[i]);
	}
	json_decref(ticket);
}

int
main(void)
{
	printf("| part | size | measured |\n|---|---|---|\n");
	slope_sched(8);
	slope_sched(16);
	slope_sched(32);
	slope_queue(1000);
	slope_queue(10000);
	slope_queue(100000);
	slope_gate(32);
	slope_gate(256);
	slope_gate(REPLICAS);
	slope_conf(73);
	slope_conf(365);
	slope_conf(REPLICAS);
	fflush(stdout);
	slope_nodes(9);
	slope_nodes(48);
	slope_nodes(130);
	slope_nodes(NODES_MAX);
	return 0;
}
