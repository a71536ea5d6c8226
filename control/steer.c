#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ask.h"
#include "clock.h"
#include "engine.h"
#include "kv.h"
#include "mem.h"
#include "observe.h"
#include "ring.h"
#include "steer.h"

#define STEER_RING_SIZE 65536
#define STEER_TICK_NS (10 * NSEC_PER_MSEC)
#define STEER_BATCH 256
#define STEER_VMS_NS (1 * NSEC_PER_SEC)
#define STEER_VMS_MAX 1024
#define STEER_VMS_MSEC 1500
#define STEER_ANSWER_NS (20 * NSEC_PER_SEC)

enum item_kind {
	ITEM_MESSAGE,
	ITEM_KV,
	ITEM_ORDER,
	ITEM_VMS,
	ITEM_QUESTION
};

enum question_kind {
	QUESTION_TICKET,
	QUESTION_STATE,
	QUESTION_STATUS,
	QUESTION_READY,
	QUESTION_LEAVE
};

/* A handler's question; freed by the last of the two who hold it. */
struct question {
	enum question_kind kind;
	const json_t *ticket;
	uint64_t cookie;
	json_t *answer;
	int done;
	int refs;
	pthread_mutex_t lock;
	pthread_cond_t cond;
	TAILQ_ENTRY(question) entry;
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
	struct question *question;
};

struct steer {
	struct steer_config config;
	struct node *node;
	struct ring *ring;
	struct bus *bus;
	struct fetch *fetch;
	struct kv *kv;
	struct engine *engine;
	struct observe *observe;
	pthread_t thread;
	int stop;
	uint64_t vms_at;
	uint64_t next_cookie;
	TAILQ_HEAD(, question) open; /* tickets without a reply */
};

static void *steer_run(void *);
static void steer_item(
    struct steer *, uint64_t, struct item *, struct node_out *);
static void steer_perform(struct steer *, struct node_out *);
static void steer_question(
    struct steer *, uint64_t, struct question *, struct node_out *);
static void steer_reply(struct steer *, const struct ticket_reply *);
static void steer_vms(struct steer *, uint64_t);
static void item_push(struct steer *, struct item *);
static void item_free(struct item *);
static json_t *steer_ask(struct steer *, enum question_kind, const json_t *);
static void question_answer(struct question *, json_t *);
static void question_unref(struct question *);
static void on_message(void *, struct msg *);
static void on_kv(void *, const struct kv_result *);
static void on_order(void *, const struct order_result *, const struct order *);
static void on_vms(void *, const struct buffered_response *);

struct steer *
steer_create(const struct steer_config *config, struct err *e)
{
	struct steer *s;

	s = mem_alloc(sizeof(*s));
	s->config = *config;
	s->ring = ring_create(STEER_RING_SIZE);
	TAILQ_INIT(&s->open);
	s->bus = bus_create(&config->node.self, on_message, s, e);
	if (s->bus == NULL) {
		ring_destroy(s->ring);
		free(s);
		return NULL;
	}
	s->fetch = fetch_create(fetch_buffered_event, NULL);
	s->kv = kv_create(s->fetch, config->service, on_kv, s);
	s->engine = engine_create(s->fetch, on_order, s);
	s->observe = observe_create();
	s->node = node_create(&config->node, config->node.self.incarnation);
	pthread_create(&s->thread, NULL, steer_run, s);
	return s;
}

void
steer_destroy(struct steer *s)
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
	observe_destroy(s->observe);
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
	if (it->question != NULL) {
		question_answer(it->question, NULL);
		question_unref(it->question);
	}
	free(it);
}

/* Answers must not be lost, so their threads wait while the ring is full. */
static void
item_push(struct steer *s, struct item *it)
{
	if (ring_push_wait(s->ring, it) == -1)
		item_free(it);
}

static void
on_message(void *arg, struct msg *m)
{
	struct steer *s = arg;
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
	item_push(arg, it);
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
	item_push(arg, it);
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
	it->vms = mem_alloc(STEER_VMS_MAX * sizeof(*it->vms));
	json_array_foreach (doc, i, vm) {
		addr = json_string_value(json_object_get(vm, "address"));
		if (addr == NULL || it->nvms == STEER_VMS_MAX)
			continue;
		snprintf(it->vms[it->nvms].addr, ADDR_SIZE, "%s", addr);
		it->vms[it->nvms++].leaving =
		    json_is_true(json_object_get(vm, "leaving"));
	}
	json_decref(doc);
	item_push(arg, it);
}

static void
steer_vms(struct steer *s, uint64_t now)
{
	struct buffered_request spec;
	char url[ADDR_SIZE + 16];

	if (now < s->vms_at)
		return;
	s->vms_at = now + STEER_VMS_NS;
	snprintf(url, sizeof(url), "http://%s/vms", s->config.vm_list);
	memset(&spec, 0, sizeof(spec));
	spec.url = url;
	spec.method = "GET";
	spec.connect_ms = STEER_VMS_MSEC;
	spec.total_ms = STEER_VMS_MSEC;
	spec.done = on_vms;
	spec.ctx = s;
	fetch_buffered_start(s->fetch, &spec);
}

static void
question_answer(struct question *q, json_t *answer)
{
	pthread_mutex_lock(&q->lock);
	q->answer = answer;
	q->done = 1;
	pthread_cond_signal(&q->cond);
	pthread_mutex_unlock(&q->lock);
}

static void
question_unref(struct question *q)
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
steer_reply(struct steer *s, const struct ticket_reply *r)
{
	static const char *const names[] = { "accepted", "same", "refused",
		"unknown" };
	struct question *q;
	json_t *doc;

	observe_ticket(s->observe, r);
	TAILQ_FOREACH (q, &s->open, entry) {
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
	TAILQ_REMOVE(&s->open, q, entry);
	question_answer(q, doc);
	question_unref(q);
}

static void
steer_question(
    struct steer *s, uint64_t now, struct question *q, struct node_out *out)
{
	json_t *state;
	json_t *doc = NULL;

	switch (q->kind) {
	case QUESTION_TICKET:
		q->cookie = ++s->next_cookie;
		TAILQ_INSERT_TAIL(&s->open, q, entry);
		node_ticket(s->node, now, q->ticket, q->cookie, out);
		return;
	case QUESTION_STATE:
		state = node_state(s->node);
		doc = json_deep_copy(state);
		json_decref(state);
		break;
	case QUESTION_STATUS:
		doc = node_status(s->node, now);
		break;
	case QUESTION_READY:
		doc = json_boolean(node_ready(s->node, now));
		break;
	case QUESTION_LEAVE:
		node_leave(s->node, now, out);
		doc = json_true();
		break;
	}
	question_answer(q, doc);
	question_unref(q);
}

static void
steer_perform(struct steer *s, struct node_out *out)
{
	struct ticket_reply *r;
	struct kv_op *op;
	struct order *o;
	struct msg *m;

	while ((m = TAILQ_FIRST(&out->msgs)) != NULL) {
		TAILQ_REMOVE(&out->msgs, m, entry);
		observe_message(s->observe, m);
		bus_send(s->bus, m);
	}
	while ((op = TAILQ_FIRST(&out->kv)) != NULL) {
		TAILQ_REMOVE(&out->kv, op, entry);
		observe_kv_op(s->observe, op);
		kv_start(s->kv, op);
	}
	while ((o = TAILQ_FIRST(&out->orders)) != NULL) {
		TAILQ_REMOVE(&out->orders, o, entry);
		observe_order(s->observe, o);
		engine_start(s->engine, o);
	}
	while ((r = TAILQ_FIRST(&out->replies)) != NULL) {
		TAILQ_REMOVE(&out->replies, r, entry);
		steer_reply(s, r);
		free(r);
	}
}

static void
steer_item(struct steer *s, uint64_t now, struct item *it, struct node_out *out)
{
	struct question *q;

	switch (it->kind) {
	case ITEM_MESSAGE:
		observe_received(s->observe, it->msg);
		node_message(s->node, now, it->msg, out);
		break;
	case ITEM_KV:
		observe_kv_result(s->observe, &it->kv);
		node_kv(s->node, now, &it->kv, out);
		break;
	case ITEM_ORDER:
		observe_order_result(s->observe, &it->order, it->order_kind,
		    it->order_backend, it->order_model);
		node_order(s->node, now, &it->order, out);
		break;
	case ITEM_VMS:
		node_vms(s->node, now, it->vms, it->nvms);
		break;
	case ITEM_QUESTION:
		q = it->question;
		it->question = NULL;
		steer_question(s, now, q, out);
		break;
	}
	item_free(it);
}

static void *
steer_run(void *arg)
{
	struct steer *s = arg;
	struct node_out out;
	struct item *it;
	uint64_t tick_at = 0;
	uint64_t now;
	int i;

	node_out_init(&out);
	while (!__atomic_load_n(&s->stop, __ATOMIC_ACQUIRE)) {
		it = ring_pop(s->ring, tick_at);
		for (i = 0; it != NULL; i++) {
			steer_item(s, clock_mono(), it, &out);
			steer_perform(s, &out);
			it = i < STEER_BATCH ? ring_pop(s->ring, 0) : NULL;
		}
		now = clock_mono();
		if (now < tick_at)
			continue;
		tick_at = now + STEER_TICK_NS;
		node_tick(s->node, now, &out);
		steer_perform(s, &out);
		steer_vms(s, now);
		observe_node(s->observe, s->node, now);
	}
	return NULL;
}

/* Hands a question to the decider and waits for its answer. */
static json_t *
steer_ask(struct steer *s, enum question_kind kind, const json_t *ticket)
{
	struct question *q;
	struct timespec ts;
	struct item *it;
	json_t *answer;
	uint64_t until = clock_wall() + STEER_ANSWER_NS;

	q = mem_alloc(sizeof(*q));
	q->kind = kind;
	q->ticket = ticket == NULL ? NULL : json_deep_copy(ticket);
	q->refs = 2;
	pthread_mutex_init(&q->lock, NULL);
	pthread_cond_init(&q->cond, NULL);
	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_QUESTION;
	it->question = q;
	item_push(s, it);
	ts.tv_sec = (time_t)(until / NSEC_PER_SEC);
	ts.tv_nsec = (long)(until % NSEC_PER_SEC);
	pthread_mutex_lock(&q->lock);
	while (!q->done && pthread_cond_timedwait(&q->cond, &q->lock, &ts) == 0)
		;
	answer = q->answer;
	q->answer = NULL;
	pthread_mutex_unlock(&q->lock);
	question_unref(q);
	return answer;
}

json_t *
steer_ticket(struct steer *s, const json_t *ticket)
{
	return steer_ask(s, QUESTION_TICKET, ticket);
}

json_t *
steer_state(struct steer *s)
{
	return steer_ask(s, QUESTION_STATE, NULL);
}

json_t *
steer_status(struct steer *s)
{
	return steer_ask(s, QUESTION_STATUS, NULL);
}

int
steer_ready(struct steer *s)
{
	json_t *answer = steer_ask(s, QUESTION_READY, NULL);
	int ready = json_is_true(answer);

	json_decref(answer);
	return ready;
}

void
steer_leave(struct steer *s)
{
	json_decref(steer_ask(s, QUESTION_LEAVE, NULL));
}

void
steer_counts(struct steer *s, struct steer_counts *out)
{
	bus_counts(s->bus, &out->bus);
	out->kv_calls = kv_calls(s->kv);
	out->ring = ring_count(s->ring);
}
