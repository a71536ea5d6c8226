/*
 * Scaling measurements for docs/CAPACITY.md: cost of the scheduler, the gate,
 * the configuration and the control nodes at several sizes, in virtual time
 * and without I/O.  Prints one table and makes no pass or fail decision.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock.h"
#include "conf.h"
#include "gate.h"
#include "mem.h"
#include "sched.h"
#include "slopes.h"
#include "wire.h"

#define STEP_NS (10 * NSEC_PER_MSEC)
#define MODELS 540
#define REQUEST_RATE 3500

static void init_replica(struct msg_replica *, uint32_t, uint32_t, uint32_t);
static struct sched *create_cell(uint32_t, uint32_t);
static void measure_sched(uint32_t);
static void measure_queue(uint32_t);
static void measure_gate(uint32_t);
static void measure_conf(uint32_t);
static void discard_actions(struct gate_actions *, uint64_t *);
static void publish_system(struct gate_core *, uint64_t, uint32_t);

double
process_cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

double
process_heap_mb(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd) / 1048576.0;
}

static void
init_replica(
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

void
destroy_messages(struct msg_list *out)
{
	struct msg *m;

	while ((m = TAILQ_FIRST(out)) != NULL) {
		TAILQ_REMOVE(out, m, entry);
		msg_destroy(m);
	}
}

/* Creates the scheduler of a cell whose replicas hold three models each. */
static struct sched *
create_cell(uint32_t replicas, uint32_t models)
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
		init_replica(r, i, 3, i * 3 % models);
		sched_update_replica(s, 0, r, &out);
	}
	free(r);
	destroy_messages(&out);
	return s;
}

/* Measures the CPU time of a request: acquire, grant and release. */
static void
measure_sched(uint32_t replicas)
{
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	struct msg *acquire = msg_create(MSG_ACQUIRE, "");
	struct msg *release = msg_create(MSG_RELEASE, "");
	struct sched *s = create_cell(replicas, 24);
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
	start = process_cpu_s();
	for (i = 1; i <= n; i++) {
		now += 20 * NSEC_PER_USEC;
		acquire->u.acquire.key.rid = (uint64_t)i;
		snprintf(
		    acquire->u.acquire.model, NAME_SIZE, "model%d", i % 24);
		sched_handle_message(s, now, acquire, &out);
		/* Keep 100 requests outstanding. */
		release->u.release.key.rid = (uint64_t)(i - 100);
		release->u.release.token_ns = 10 * NSEC_PER_MSEC;
		if (i > 100)
			sched_handle_message(s, now, release, &out);
		if (i % 5000 == 0)
			sched_tick(s, now, &out);
		destroy_messages(&out);
	}
	start = process_cpu_s() - start;
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

/* Measures memory and tick time per queued request. */
static void
measure_queue(uint32_t waiting)
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
		sched_declare_model(s, acquire->u.acquire.model);
	}
	strcpy(acquire->from.addr, "10.0.0.1:7001");
	acquire->u.acquire.slack_ns = 3600 * NSEC_PER_SEC;
	before = process_heap_mb();
	for (i = 1; i <= waiting; i++) {
		acquire->u.acquire.key.rid = i;
		snprintf(
		    acquire->u.acquire.model, NAME_SIZE, "model%u", i % 24);
		sched_handle_message(s, NSEC_PER_SEC, acquire, &out);
		destroy_messages(&out);
	}
	before = process_heap_mb() - before;
	start = process_cpu_s();
	for (i = 1; i <= 10; i++)
		sched_tick(s, NSEC_PER_SEC + i * 200ULL * NSEC_PER_MSEC, &out);
	start = process_cpu_s() - start;
	printf("| scheduler, queue | %u waiting | %.0f bytes each (%zu in the "
	       "job), tick %.2f ms |\n",
	    waiting, before * 1048576.0 / waiting, sched_job_size(),
	    start / 10 * 1e3);
	msg_destroy(acquire);
	destroy_messages(&out);
	sched_destroy(s);
}

/* Frees all actions; stores the id of the last fetch that one started. */
static void
discard_actions(struct gate_actions *out, uint64_t *fetch)
{
	struct gate_action *act;

	while ((act = TAILQ_FIRST(out)) != NULL) {
		TAILQ_REMOVE(out, act, entry);
		if (act->kind == GATE_START_FETCH)
			*fetch = act->fetch_id;
		gate_action_destroy(act);
	}
}

/* Sends a gate the tables of all cells, each filled up, and all models. */
static void
publish_system(struct gate_core *g, uint64_t now, uint32_t replicas)
{
	struct gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	struct msg *m = msg_create(MSG_CELL, "");
	uint32_t i;

	for (i = 0; i < replicas; i++) {
		init_replica(&m->u.cell.replicas[i % CELL_REPLICAS_MAX], i, 3,
		    i * 3 % MODELS);
		m->u.cell.nreplicas = i % CELL_REPLICAS_MAX + 1;
		if (m->u.cell.nreplicas != CELL_REPLICAS_MAX &&
		    i + 1 != replicas)
			continue;
		snprintf(
		    m->u.cell.cell, NAME_SIZE, "cell%u", i / CELL_REPLICAS_MAX);
		m->u.cell.version = 1;
		gate_handle_message(g, now, m, &out);
	}
	msg_destroy(m);
	m = msg_create(MSG_MODEL, "");
	m->u.model.version = 1;
	for (i = 0; i < MODELS; i++) {
		snprintf(m->u.model.name, NAME_SIZE, "model%u", i);
		gate_handle_message(g, now, m, &out);
	}
	msg_destroy(m);
}

/* Measures the table size and CPU time per request of one gate. */
static void
measure_gate(uint32_t replicas)
{
	struct gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	struct node_id self = { "10.0.0.1:7001", 1 };
	struct gate_request req;
	struct gate_config c;
	struct gate_fetch_event f;
	struct gate_core *g;
	uint64_t fetch;
	uint64_t now = NSEC_PER_SEC;
	double memory = process_heap_mb();
	double start;
	int i;
	int n = 2000;

	gate_config_default(&c);
	g = gate_create(&c, &self, 1);
	publish_system(g, now, replicas);
	memory = process_heap_mb() - memory;
	memset(&req, 0, sizeof(req));
	memset(&f, 0, sizeof(f));
	req.repeatable = 1;
	req.stream = 1;
	f.kind = FETCH_END;
	start = process_cpu_s();
	for (i = 1; i <= n; i++) {
		now += NSEC_PER_MSEC;
		req.rid = (uint64_t)i;
		req.deadline = now + NSEC_PER_SEC;
		snprintf(req.model, NAME_SIZE, "model%u",
		    (uint32_t)i * 7 % (replicas < MODELS ? replicas : MODELS));
		fetch = 0;
		gate_handle_request(g, now, &req, &out);
		discard_actions(&out, &fetch);
		f.fetch_id = fetch;
		if (fetch != 0)
			gate_handle_fetch(g, now, &f, &out);
		discard_actions(&out, &fetch);
	}
	start = process_cpu_s() - start;
	printf("| gate | %u replicas known | %.1f us a request, table %.2f MB "
	       "|\n",
	    replicas, start / n * 1e6, memory);
	gate_destroy(g);
}

/* Creates a ticket with this many backend servers and models in proportion. */
json_t *
create_scaled_ticket(uint32_t backends)
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

/* Measures time to apply, memory and encoded size of one configuration. */
static void
measure_conf(uint32_t backends)
{
	struct conf *base = conf_create();
	struct conf *c = NULL;
	json_t *ticket = create_scaled_ticket(backends);
	struct err e = { ERR_NONE, "" };
	uint64_t number;
	double memory = process_heap_mb();
	double start = process_cpu_s();
	size_t bytes = 0;
	char *text;
	int i;

	if (conf_apply(base, ticket, &c, &number, &e) != CONF_CHANGED) {
		printf("| configuration | %u | %s |\n", backends, e.text);
		return;
	}
	start = process_cpu_s() - start;
	memory = process_heap_mb() - memory;
	for (i = 0; i < CONF_CHUNKS; i++) {
		text = conf_encode_chunk(c, i);
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

int
main(void)
{
	printf("| part | size | measured |\n|---|---|---|\n");
	measure_sched(8);
	measure_sched(16);
	measure_sched(32);
	measure_queue(1000);
	measure_queue(10000);
	measure_queue(100000);
	measure_gate(32);
	measure_gate(256);
	measure_gate(REPLICAS);
	measure_conf(73);
	measure_conf(365);
	measure_conf(REPLICAS);
	fflush(stdout);
	measure_nodes(9);
	measure_nodes(48);
	measure_nodes(130);
	measure_nodes(NODES_MAX);
	return 0;
}
