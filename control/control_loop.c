#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fetch_buffered.h"
#include "clock.h"
#include "engine.h"
#include "kv.h"
#include "mem.h"
#include "observer.h"
#include "ring.h"
#include "control_loop.h"

#define CONTROL_LOOP_RING_SIZE 65536
#define CONTROL_LOOP_TICK_NS (10 * NSEC_PER_MSEC)
#define CONTROL_LOOP_BATCH 256
#define VM_LIST_PERIOD_NS (1 * NSEC_PER_SEC)
#define VM_LIST_MAX 1024
#define VM_LIST_TIMEOUT_MSEC 1500
#define QUERY_TIMEOUT_NS (20 * NSEC_PER_SEC)

enum item_kind {
	ITEM_MESSAGE,
	ITEM_KV,
	ITEM_ORDER,
	ITEM_VMS,
	ITEM_QUERY
};

enum loop_query_kind {
	QUERY_TICKET,
	QUERY_STATE,
	QUERY_STATUS,
	QUERY_READY,
	QUERY_LEAVE
};

/*
 * Query from an HTTP handler to the loop.  Each side holds a reference, since
 * the handler may time out before the loop answers.
 */
struct loop_query {
	enum loop_query_kind kind;
	const json_t *ticket;
	uint64_t cookie;
	json_t *answer;
	int done;
	int refs;
	pthread_mutex_t lock;
	pthread_cond_t cond;
	TAILQ_ENTRY(loop_query) entry;
};

struct item {
	enum item_kind kind;
	struct msg *msg;
	struct kv_result kv;
	struct order_result order;
	struct order_loaded *loaded;
	enum order_kind order_kind;
	char order_backend[NAME_SIZE];
	char order_model[NAME_SIZE];
	struct node_vm *vms;
	size_t nvms;
	struct loop_query *query;
};

struct control_loop {
	struct control_loop_config config;
	struct node *node;
	struct ring *ring;
	struct bus *bus;
	struct fetch *fetch;
	struct kv *kv;
	struct engine *engine;
	struct observer *observe;
	pthread_t thread;
	int stop;
	uint64_t vms_at;
	uint64_t next_cookie;
	TAILQ_HEAD(, loop_query) pending_tickets; /* await a reply */
};

static void *control_loop_run(void *);
static void control_loop_handle_item(
    struct control_loop *, uint64_t, struct item *, struct node_out *);
static void control_loop_perform(struct control_loop *, struct node_out *);
static void control_loop_handle_query(
    struct control_loop *, uint64_t, struct loop_query *, struct node_out *);
static void control_loop_reply_ticket(
    struct control_loop *, const struct ticket_reply *);
static void control_loop_fetch_vms(struct control_loop *, uint64_t);
static void item_enqueue(struct control_loop *, struct item *);
static void item_free(struct item *);
static json_t *control_loop_query(
    struct control_loop *, enum loop_query_kind, const json_t *);
static void loop_query_complete(struct loop_query *, json_t *);
static void loop_query_unref(struct loop_query *);
static void on_message(void *, struct msg *);
static void on_kv(void *, const struct kv_result *);
static void on_order(void *, const struct order_result *, const struct order *);
static void on_vms(void *, const struct buffered_response *);

struct control_loop *
control_loop_create(const struct control_loop_config *config, struct err *e)
{
	struct control_loop *s;

	s = mem_alloc(sizeof(*s));
	s->config = *config;
	s->ring = ring_create(CONTROL_LOOP_RING_SIZE);
	TAILQ_INIT(&s->pending_tickets);
	s->bus = bus_create(&config->node.self, on_message, s, e);
	if (s->bus == NULL) {
		ring_destroy(s->ring);
		free(s);
		return NULL;
	}
	s->fetch = fetch_create(fetch_buffered_event, NULL);
	s->kv = kv_create(s->fetch, config->service, on_kv, s);
	s->engine = engine_create(s->fetch, on_order, s);
	s->observe = observer_create();
	s->node = node_create(&config->node, config->node.self.incarnation);
	pthread_create(&s->thread, NULL, control_loop_run, s);
	return s;
}

void
control_loop_destroy(struct control_loop *s)
{
	struct item *it;

	__atomic_store_n(&s->stop, 1, __ATOMIC_RELEASE);
	ring_close(s->ring);
	pthread_join(s->thread, NULL);
	fetch_destroy(s->fetch);
	bus_destroy(s->bus);
	while ((it = ring_pop(s->ring, 0)) != NULL)
		item_free(it);
	kv_destroy(s->kv);
	engine_destroy(s->engine);
	observer_destroy(s->observe);
	node_destroy(s->node);
	ring_destroy(s->ring);
	free(s);
}

static void
item_free(struct item *it)
{
	msg_destroy(it->msg);
	free((char *)it->kv.value);
	free(it->loaded);
	free(it->vms);
	if (it->query != NULL) {
		loop_query_complete(it->query, NULL);
		loop_query_unref(it->query);
	}
	free(it);
}

/* Results must not be lost, so the producing thread waits on a full ring. */
static void
item_enqueue(struct control_loop *s, struct item *it)
{
	if (ring_push_wait(s->ring, it) == -1)
		item_free(it);
}

static void
on_message(void *arg, struct msg *m)
{
	struct control_loop *s = arg;
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_MESSAGE;
	it->msg = m;
	if (ring_push(s->ring, it) == -1)
		item_free(it);
}

static void
on_kv(void *arg, const struct kv_result *r)
{
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_KV;
	it->kv = *r;
	if (r->value != NULL)
		it->kv.value = mem_strdup(r->value);
	item_enqueue(arg, it);
}

static void
on_order(void *arg, const struct order_result *r, const struct order *o)
{
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_ORDER;
	it->order = *r;
	it->order_kind = o->kind;
	memcpy(it->order_backend, o->backend, NAME_SIZE);
	memcpy(it->order_model, o->model, NAME_SIZE);
	if (r->nloaded != 0) {
		it->loaded = mem_alloc(r->nloaded * sizeof(*r->loaded));
		memcpy(it->loaded, r->loaded, r->nloaded * sizeof(*r->loaded));
	}
	it->order.loaded = it->loaded;
	item_enqueue(arg, it);
}

static void
on_vms(void *arg, const struct buffered_response *a)
{
	const char *addr;
	struct item *it;
	json_t *doc;
	json_t *vm;
	size_t i;

	if (a->status != 200)
		return;
	doc = json_loads(a->body, 0, NULL);
	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_VMS;
	it->vms = mem_alloc(VM_LIST_MAX * sizeof(*it->vms));
	json_array_foreach (doc, i, vm) {
		addr = json_string_value(json_object_get(vm, "address"));
		if (addr == NULL || it->nvms == VM_LIST_MAX)
			continue;
		snprintf(it->vms[it->nvms].addr, ADDR_SIZE, "%s", addr);
		it->vms[it->nvms++].leaving =
		    json_is_true(json_object_get(vm, "leaving"));
	}
	json_decref(doc);
	item_enqueue(arg, it);
}

static void
control_loop_fetch_vms(struct control_loop *s, uint64_t now)
{
	struct buffered_request spec;
	char url[ADDR_SIZE + 16];

	if (now < s->vms_at)
		return;
	s->vms_at = now + VM_LIST_PERIOD_NS;
	snprintf(url, sizeof(url), "http://%s/vms", s->config.vm_list);
	memset(&spec, 0, sizeof(spec));
	spec.url = url;
	spec.method = "GET";
	spec.connect_timeout_ms = VM_LIST_TIMEOUT_MSEC;
	spec.total_timeout_ms = VM_LIST_TIMEOUT_MSEC;
	spec.done = on_vms;
	spec.ctx = s;
	fetch_buffered_start(s->fetch, &spec);
}

static void
loop_query_complete(struct loop_query *q, json_t *answer)
{
	pthread_mutex_lock(&q->lock);
	q->answer = answer;
	q->done = 1;
	pthread_cond_signal(&q->cond);
	pthread_mutex_unlock(&q->lock);
}

static void
loop_query_unref(struct loop_query *q)
{
	if (__atomic_sub_fetch(&q->refs, 1, __ATOMIC_ACQ_REL) != 0)
		return;
	pthread_mutex_destroy(&q->lock);
	pthread_cond_destroy(&q->cond);
	json_decref((json_t *)q->ticket);
	json_decref(q->answer);
	free(q);
}

static void
control_loop_reply_ticket(struct control_loop *s, const struct ticket_reply *r)
{
	static const char *const names[] = { "accepted", "same", "refused",
		"unknown" };
	struct loop_query *q;
	json_t *doc;

	observe_ticket_reply(s->observe, r);
	TAILQ_FOREACH (q, &s->pending_tickets, entry) {
		if (q->cookie == r->cookie)
			break;
	}
	if (q == NULL)
		return;
	doc = json_pack("{s:s,s:I,s:I}", "status", names[r->status], "ticket",
	    (json_int_t)r->number, "revision", (json_int_t)r->revision);
	if (r->err.kind != ERR_NONE)
		json_object_set_new(doc, "error",
		    json_pack("{s:s,s:s}", "type", err_name(r->err.kind),
			"message", r->err.text));
	TAILQ_REMOVE(&s->pending_tickets, q, entry);
	loop_query_complete(q, doc);
	loop_query_unref(q);
}

static void
control_loop_handle_query(struct control_loop *s, uint64_t now,
    struct loop_query *q, struct node_out *out)
{
	json_t *state;
	json_t *doc = NULL;

	switch (q->kind) {
	case QUERY_TICKET:
		q->cookie = ++s->next_cookie;
		TAILQ_INSERT_TAIL(&s->pending_tickets, q, entry);
		node_submit_ticket(s->node, now, q->ticket, q->cookie, out);
		return;
	case QUERY_STATE:
		state = node_state(s->node);
		doc = json_deep_copy(state);
		json_decref(state);
		break;
	case QUERY_STATUS:
		doc = node_status(s->node, now);
		break;
	case QUERY_READY:
		doc = json_boolean(node_ready(s->node, now));
		break;
	case QUERY_LEAVE:
		node_leave(s->node, now, out);
		doc = json_true();
		break;
	}
	loop_query_complete(q, doc);
	loop_query_unref(q);
}

static void
control_loop_perform(struct control_loop *s, struct node_out *out)
{
	struct ticket_reply *r;
	struct kv_op *op;
	struct order *o;
	struct msg *m;

	while ((m = TAILQ_FIRST(&out->msgs)) != NULL) {
		TAILQ_REMOVE(&out->msgs, m, entry);
		observe_sent_message(s->observe, m);
		bus_send(s->bus, m);
	}
	while ((op = TAILQ_FIRST(&out->kv)) != NULL) {
		TAILQ_REMOVE(&out->kv, op, entry);
		observe_kv_operation(s->observe, op);
		kv_start_operation(s->kv, op);
	}
	while ((o = TAILQ_FIRST(&out->orders)) != NULL) {
		TAILQ_REMOVE(&out->orders, o, entry);
		observe_sent_order(s->observe, o);
		engine_send_order(s->engine, o);
	}
	while ((r = TAILQ_FIRST(&out->replies)) != NULL) {
		TAILQ_REMOVE(&out->replies, r, entry);
		control_loop_reply_ticket(s, r);
		free(r);
	}
}

static void
control_loop_handle_item(
    struct control_loop *s, uint64_t now, struct item *it, struct node_out *out)
{
	struct loop_query *q;

	switch (it->kind) {
	case ITEM_MESSAGE:
		observe_received_message(s->observe, it->msg);
		node_handle_message(s->node, now, it->msg, out);
		break;
	case ITEM_KV:
		observe_kv_result(s->observe, &it->kv);
		node_handle_kv_result(s->node, now, &it->kv, out);
		break;
	case ITEM_ORDER:
		observe_order_result(s->observe, &it->order, it->order_kind,
		    it->order_backend, it->order_model);
		node_handle_order_result(s->node, now, &it->order, out);
		break;
	case ITEM_VMS:
		node_set_vms(s->node, now, it->vms, it->nvms);
		break;
	case ITEM_QUERY:
		q = it->query;
		it->query = NULL;
		control_loop_handle_query(s, now, q, out);
		break;
	}
	item_free(it);
}

static void *
control_loop_run(void *arg)
{
	struct control_loop *s = arg;
	struct node_out out;
	struct item *it;
	uint64_t tick_at = 0;
	uint64_t now;
	int i;

	node_out_init(&out);
	while (!__atomic_load_n(&s->stop, __ATOMIC_ACQUIRE)) {
		it = ring_pop(s->ring, tick_at);
		for (i = 0; it != NULL; i++) {
			control_loop_handle_item(s, clock_mono(), it, &out);
			control_loop_perform(s, &out);
			it = i < CONTROL_LOOP_BATCH ? ring_pop(s->ring, 0)
						    : NULL;
		}
		now = clock_mono();
		if (now < tick_at)
			continue;
		tick_at = now + CONTROL_LOOP_TICK_NS;
		node_tick(s->node, now, &out);
		control_loop_perform(s, &out);
		control_loop_fetch_vms(s, now);
		observe_node_state(s->observe, s->node, now);
	}
	return NULL;
}

/* Queues a query for the loop and waits for its answer, or until time-out. */
static json_t *
control_loop_query(
    struct control_loop *s, enum loop_query_kind kind, const json_t *ticket)
{
	struct loop_query *q;
	struct timespec ts;
	struct item *it;
	json_t *answer;
	uint64_t until = clock_wall() + QUERY_TIMEOUT_NS;

	q = mem_alloc(sizeof(*q));
	q->kind = kind;
	q->ticket = ticket == NULL ? NULL : json_deep_copy(ticket);
	q->refs = 2;
	pthread_mutex_init(&q->lock, NULL);
	pthread_cond_init(&q->cond, NULL);
	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_QUERY;
	it->query = q;
	item_enqueue(s, it);
	ts.tv_sec = (time_t)(until / NSEC_PER_SEC);
	ts.tv_nsec = (long)(until % NSEC_PER_SEC);
	pthread_mutex_lock(&q->lock);
	while (!q->done && pthread_cond_timedwait(&q->cond, &q->lock, &ts) == 0)
		;
	answer = q->answer;
	q->answer = NULL;
	pthread_mutex_unlock(&q->lock);
	loop_query_unref(q);
	return answer;
}

json_t *
control_loop_apply_ticket(struct control_loop *s, const json_t *ticket)
{
	return control_loop_query(s, QUERY_TICKET, ticket);
}

json_t *
control_loop_get_state(struct control_loop *s)
{
	return control_loop_query(s, QUERY_STATE, NULL);
}

json_t *
control_loop_get_status(struct control_loop *s)
{
	return control_loop_query(s, QUERY_STATUS, NULL);
}

int
control_loop_is_ready(struct control_loop *s)
{
	json_t *answer = control_loop_query(s, QUERY_READY, NULL);
	int ready = json_is_true(answer);

	json_decref(answer);
	return ready;
}

void
control_loop_leave(struct control_loop *s)
{
	json_decref(control_loop_query(s, QUERY_LEAVE, NULL));
}

void
control_loop_get_counts(struct control_loop *s, struct control_loop_counts *out)
{
	bus_counts(s->bus, &out->bus);
	out->kv_calls = kv_calls(s->kv);
	out->ring = ring_count(s->ring);
}
