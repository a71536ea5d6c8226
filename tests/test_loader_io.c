/* The order lease's holder: load requests and adapter tables of its peers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loader_io.h"
#include "mem.h"
#include "peers.h"
#include "query.h"
#include "session.h"
#include "unit.h"

#define QUERIES_MAX 64
#define FORMER_FENCE 6 /* of the holder before this process */
#define MANY_REPLICAS 730
#define ADAPTERS 8
#define MANY_ADAPTERS 300 /* of one replica */

/* What the loader has sent to replicas and is not answered yet. */
static struct {
	uint32_t n;
	query_callback callbacks[QUERIES_MAX];
	void *contexts[QUERIES_MAX];
	uint32_t orders;
} sent;
static struct kv_ids ids;
static int cut_off; /* this process reaches no replica, and a peer does */

/* The messages to the other processes. */
static struct {
	uint32_t n;
	struct msg *tables[4096];
} told;

static void setup(struct entry *);
static void finish(struct entry *);
static void answer(int, const char *);
static void run(struct entry *, uint64_t);
static void receive_want(struct entry *, const char *);
static void receive_table(struct entry *, uint64_t, const char *);
static void test_requests_of_one_turn(void);
static void test_table_of_former_holder(void);
static void test_table_of_later_holder(void);
static void forget_tables(void);
static void list_replicas(struct entry *, uint32_t);
static uint32_t count_complete(struct entry *, uint32_t);
static void check_whole_table(uint32_t);
static void test_table_of_many_replicas(void);
static void test_table_of_many_adapters(void);
static void test_replica_that_the_holder_does_not_list(void);
static uint32_t count_told_loads(uint64_t);
static void test_process_started_after_a_stop_is_told_loads(void);
static void test_holder_that_reaches_no_replica(void);

int
detour_io_may_order(const struct entry *e)
{
	(void)e;
	return !cut_off;
}

int
detour_io_yields_orders(const struct entry *e)
{
	(void)e;
	return cut_off;
}

uint64_t
entry_update_now(struct entry *e)
{
	return e->now;
}

uint32_t
peers_candidate_rank(const struct peers *p)
{
	(void)p;
	return 0;
}

uint32_t
peers_index(const struct peers *p, const char *addr)
{
	(void)p;
	(void)addr;
	return UINT32_MAX;
}

struct kv_ids *
peers_kv_ids(struct peers *p)
{
	(void)p;
	return &ids;
}

void
peers_send(struct peers *p, struct msg *m)
{
	peers_send_down(p, m);
}

void
peers_send_down(struct peers *p, struct msg *m)
{
	(void)p;
	if (told.n < sizeof(told.tables) / sizeof(told.tables[0]))
		told.tables[told.n++] = m;
	else
		msg_destroy(m);
}

void
peers_broadcast(struct peers *p, struct msg *m)
{
	peers_send_down(p, m);
}

int
peers_use_relays(const struct peers *p)
{
	(void)p;
	return 0;
}

/* The store grants all; another process has held the order lease before. */
void
session_send(struct session *s, struct kv_ops *ops,
    void (*result)(void *, const struct kv_result *), void *ctx)
{
	struct kv_result r;
	struct kv_op *op;

	(void)s;
	while ((op = TAILQ_FIRST(ops)) != NULL) {
		TAILQ_REMOVE(ops, op, entry);
		memset(&r, 0, sizeof(r));
		r.id = op->id;
		r.kind = op->kind;
		r.status = KV_OK;
		r.revision = 1;
		r.lease_id = 9;
		if (op->kind == KV_GET && strncmp(op->key, "lease/", 6) == 0)
			r.status = KV_ABSENT;
		else if (op->kind == KV_GET)
			r.value = "{\"owner\":\"x\",\"fence\":6}";
		kv_op_destroy(op);
		result(ctx, &r);
	}
}

void
query_send(struct entry *e, const struct query_spec *spec)
{
	int is_order = memcmp(buf_data(spec->request), "POST", 4) == 0;

	CU_ASSERT_FATAL(sent.n < QUERIES_MAX);
	CU_ASSERT(spec->pool == e->engines);
	CU_ASSERT_EQUAL(spec->single_use, is_order);
	sent.callbacks[sent.n] = spec->callback;
	sent.contexts[sent.n++] = spec->ctx;
	sent.orders += is_order;
}

/* Becomes the holder; the replica reports two adapters. */
static void
setup(struct entry *e)
{
	static const char report[] =
	    "{\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":"
	    "[\"a1\",\"a2\"]}],\"occupied\":false,\"sequence\":14,\"born\":1}";
	struct fleet_replica r = { 0 };
	struct fleet_engine *g;

	memset(e, 0, sizeof(*e));
	memset(&sent, 0, sizeof(sent));
	cut_off = 0;
	e->now = 100 * NSEC_PER_SEC;
	e->boot.require_fencing = 1;
	e->boot.load_window_ns = 5 * NSEC_PER_SEC;
	e->boot.load_burst_factor = 1.0;
	strcpy(e->self.addr, "10.0.0.1:7000");
	directory_init(&e->dir);
	e->dir.synced = 1;
	e->conf = fleet_conf_create();
	e->conf->nservices = 1;
	e->conf->services = mem_alloc(sizeof(*e->conf->services));
	strcpy(e->conf->services[0].name, "llm");
	g = mem_alloc(sizeof(*g));
	e->conf->services[0].engine = g;
	g->slots = 8;
	g->kv_tokens = 100000;
	g->memory_mb = 250;
	g->adapter_slots = 8;
	g->loads_per_s = 1.0;
	g->models = mem_alloc(sizeof(*g->models));
	g->nmodels = 1;
	strcpy(g->models[0].name, "m0");
	g->models[0].memory_mb = 100;
	g->models[0].store_load_ns = NSEC_PER_SEC;
	g->models[0].adapter_count = 9;
	g->models[0].adapter_mb = 5;
	fleet_engine_index_models(g);
	strcpy(r.id, "r0");
	strcpy(r.service, "llm");
	strcpy(r.addr, "10.0.0.2:80");
	r.slots = 8;
	r.started_ms = 1;
	name_list_append(&r.resident, "m0");
	directory_put(&e->dir, &r);
	fleet_replica_clear(&r);
	e->loader_io = loader_io_create(e);
	run(e, 100 * NSEC_PER_MSEC);
	CU_ASSERT(loader_io_is_leader(e));
	CU_ASSERT_EQUAL(sent.n, 1);
	answer(200, report);
	CU_ASSERT_EQUAL(directory_find(&e->dir, "r0")->info.adapters.n, 2);
}

static void
finish(struct entry *e)
{
	forget_tables();
	while (sent.n != 0)
		answer(0, "");
	loader_io_destroy(e->loader_io);
	directory_clear(&e->dir);
	fleet_conf_destroy(e->conf);
}

/* Answers the latest order or report request. */
static void
answer(int status, const char *body)
{
	CU_ASSERT_FATAL(sent.n != 0);
	sent.n--;
	sent.callbacks[sent.n](
	    sent.contexts[sent.n], status, body, strlen(body));
}

static void
run(struct entry *e, uint64_t for_ns)
{
	uint64_t end = e->now + for_ns;

	for (; e->now < end; e->now += 20 * NSEC_PER_MSEC)
		loader_io_tick(e);
}

static void
receive_want(struct entry *e, const char *wanted)
{
	struct msg *m = msg_create(MSG_WANT, "");

	snprintf(m->u.want.wanted, sizeof(m->u.want.wanted), "%s", wanted);
	loader_io_receive(e, m);
	msg_destroy(m);
}

/* A table in which the replica has one adapter. */
static void
receive_table(struct entry *e, uint64_t fence, const char *adapter)
{
	struct msg *m = msg_create(MSG_HELD, "");
	struct msg_held *h = &m->u.held;

	strcpy(h->holder, "10.0.0.9:7000");
	h->fence = fence;
	h->items = mem_alloc(2 * sizeof(*h->items));
	strcpy(h->items[0].replica, "r0");
	h->items[0].replica_start = 1;
	h->items[1] = h->items[0];
	snprintf(h->items[1].name, sizeof(h->items[1].name), "%s", adapter);
	h->n = 2;
	loader_io_receive(e, m);
	msg_destroy(m);
}

/*
 * Requests that arrive together lead to one round of orders, after all of
 * them: with a round for each, a holder of a large fleet falls behind.
 */
static void
test_requests_of_one_turn(void)
{
	struct entry e;

	setup(&e);
	receive_want(&e, "m0/a3");
	receive_want(&e, "m0/a4");
	receive_want(&e, "m0/a5");
	CU_ASSERT_EQUAL(sent.orders, 0);
	loader_io_place_requested(&e);
	CU_ASSERT_EQUAL(sent.orders, 1); /* one at a time for a replica */
	answer(202, "");
	loader_io_place_requested(&e);
	CU_ASSERT_EQUAL(sent.orders, 1);
	receive_want(&e, "m0/a4");
	/* The next round follows 5 ms after the last one. */
	loader_io_place_requested(&e);
	CU_ASSERT_EQUAL(sent.orders, 1);
	e.now += 5 * NSEC_PER_MSEC;
	loader_io_place_requested(&e);
	CU_ASSERT_EQUAL(sent.orders, 2);
	finish(&e);
}

/* A table that a former holder sent does not replace newer reports. */
static void
test_table_of_former_holder(void)
{
	const struct fleet_replica *r;
	struct entry e;

	setup(&e);
	receive_table(&e, FORMER_FENCE, "m0/a7");
	r = &directory_find(&e.dir, "r0")->info;
	CU_ASSERT_EQUAL(r->adapters.n, 2);
	CU_ASSERT(fleet_has_adapter(r, "m0/a1"));
	CU_ASSERT(fleet_has_adapter(r, "m0/a2"));
	CU_ASSERT(!loader_io_is_holder(&e, "10.0.0.9:7000"));
	finish(&e);
}

static void
test_table_of_later_holder(void)
{
	const struct fleet_replica *r;
	struct entry e;

	setup(&e);
	receive_table(&e, FORMER_FENCE + 2, "m0/a7");
	r = &directory_find(&e.dir, "r0")->info;
	CU_ASSERT_EQUAL(r->adapters.n, 1);
	CU_ASSERT(fleet_has_adapter(r, "m0/a7"));
	CU_ASSERT(loader_io_is_holder(&e, "10.0.0.9:7000"));
	run(&e, 20 * NSEC_PER_MSEC);
	CU_ASSERT(!loader_io_is_leader(&e));
	finish(&e);
}

static void
forget_tables(void)
{
	while (told.n != 0)
		msg_destroy(told.tables[--told.n]);
}

/* Replicas with that many adapters each, of a service without orders. */
static void
list_replicas(struct entry *e, uint32_t nadapters)
{
	struct fleet_replica r = { 0 };
	struct fleet_replica *info;
	char name[FLEET_NAME_SIZE];
	uint32_t i, k;

	strcpy(r.service, "other");
	strcpy(r.addr, "10.0.0.3:80");
	r.started_ms = 1;
	for (i = 0; i < MANY_REPLICAS; i++) {
		snprintf(r.id, sizeof(r.id), "other%u", i);
		directory_put(&e->dir, &r);
		info = &directory_find(&e->dir, r.id)->info;
		name_list_truncate(&info->adapters);
		for (k = 0; k < nadapters; k++) {
			snprintf(name, sizeof(name), "m0/a%u", i + k);
			name_list_append(&info->adapters, name);
		}
	}
}

/* Replicas with all adapters that list_replicas() gave them. */
static uint32_t
count_complete(struct entry *e, uint32_t nadapters)
{
	const struct directory_replica *m;
	char name[FLEET_NAME_SIZE];
	uint32_t n = 0;
	uint32_t i, k;

	for (i = 0; i < MANY_REPLICAS; i++) {
		snprintf(name, sizeof(name), "other%u", i);
		m = directory_find(&e->dir, name);
		for (k = 0; m != NULL && k < nadapters; k++) {
			snprintf(name, sizeof(name), "m0/a%u", i + k);
			if (!fleet_has_adapter(&m->info, name))
				break;
		}
		n += k == nadapters && m->info.adapters.n == nadapters;
	}
	return n;
}

static void
check_whole_table(uint32_t nadapters)
{
	struct entry holder, other;
	uint32_t i;

	setup(&holder);
	list_replicas(&holder, nadapters);
	forget_tables();
	run(&holder, 3 * NSEC_PER_SEC);
	memset(&other, 0, sizeof(other));
	other.now = holder.now;
	directory_init(&other.dir);
	list_replicas(&other, 0);
	other.loader_io = loader_io_create(&other);
	for (i = 0; i < told.n; i++)
		loader_io_receive(&other, told.tables[i]);
	CU_ASSERT_EQUAL(count_complete(&other, nadapters), MANY_REPLICAS);
	loader_io_destroy(other.loader_io);
	directory_clear(&other.dir);
	finish(&holder);
}

/* A whole table of more adapters than a message holds is not cut. */
static void
test_table_of_many_replicas(void)
{
	check_whole_table(ADAPTERS);
}

/* Guards against review/14: adapters beyond the 32nd were left out. */
static void
test_table_of_many_adapters(void)
{
	check_whole_table(MANY_ADAPTERS);
}

/* Adapters known from a list stay, if the table does not name the replica. */
static void
test_replica_that_the_holder_does_not_list(void)
{
	struct entry e;

	setup(&e);
	list_replicas(&e, ADAPTERS);
	receive_table(&e, FORMER_FENCE + 2, "m0/a7");
	CU_ASSERT_EQUAL(count_complete(&e, ADAPTERS), MANY_REPLICAS);
	finish(&e);
}

/* Messages of the loads up to a holder. */
static uint32_t
count_told_loads(uint64_t fence)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < told.n; i++)
		n += told.tables[i]->kind == MSG_LOADS &&
		    told.tables[i]->u.loads.fence == fence;
	return n;
}

/*
 * VMs stop in turn: the holder has told its loads and stopped, and the next one
 * starts later.  It is told then, or it begins no load for a window.
 */
static void
test_process_started_after_a_stop_is_told_loads(void)
{
	struct msg *m = msg_create(MSG_LOADS, "");
	struct entry holder, other;

	setup(&holder);
	forget_tables();
	loader_io_peer_started(&holder, "10.0.0.9:7000");
	CU_ASSERT_EQUAL(told.n, 0); /* its loads go on */
	memset(&other, 0, sizeof(other));
	other.now = holder.now;
	directory_init(&other.dir);
	other.loader_io = loader_io_create(&other);
	loader_io_peer_started(&other, "10.0.0.9:7000");
	CU_ASSERT_EQUAL(told.n, 0); /* it knows nothing */
	m->u.loads.fence = FORMER_FENCE + 1;
	loader_io_receive(&other, m);
	msg_destroy(m);
	loader_io_peer_started(&other, "10.0.0.9:7000");
	CU_ASSERT_EQUAL(count_told_loads(FORMER_FENCE + 1), 1);
	loader_io_destroy(other.loader_io);
	directory_clear(&other.dir);
	finish(&holder);
}

/* The right to order goes to a process that reaches the replicas. */
static void
test_holder_that_reaches_no_replica(void)
{
	struct entry e;

	setup(&e);
	run(&e, NSEC_PER_SEC);
	CU_ASSERT(loader_io_is_leader(&e));
	cut_off = 1;
	run(&e, 100 * NSEC_PER_MSEC);
	CU_ASSERT(!loader_io_is_leader(&e));
	run(&e, 10 * NSEC_PER_SEC);
	CU_ASSERT(!loader_io_is_leader(&e));
	cut_off = 0;
	run(&e, 10 * NSEC_PER_SEC);
	CU_ASSERT(loader_io_is_leader(&e));
	finish(&e);
}

static const struct unit_case cases[] = {
	{ "holder that reaches no replica",
	    test_holder_that_reaches_no_replica },
	{ "requests of one turn", test_requests_of_one_turn },
	{ "table of a former holder", test_table_of_former_holder },
	{ "table of a later holder", test_table_of_later_holder },
	{ "table of many replicas", test_table_of_many_replicas },
	{ "table of many adapters", test_table_of_many_adapters },
	{ "replica that the holder does not list",
	    test_replica_that_the_holder_does_not_list },
	{ "process started after a stop is told loads",
	    test_process_started_after_a_stop_is_told_loads },
};

UNIT_MAIN("loader_io", cases)
