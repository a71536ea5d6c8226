#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catalogue.h"
#include "clock.h"
#include "gate_loop.h"
#include "log.h"
#include "mem.h"
#include "relay.h"
#include "ring.h"

#define GATE_LOOP_RING_SIZE 16384
#define GATE_LOOP_TICK_NS (5 * NSEC_PER_MSEC)
#define GATE_LOOP_HELLO_NS (250 * NSEC_PER_MSEC)
#define GATE_LOOP_CONTROL_TIMEOUT_NS (10 * NSEC_PER_SEC)
#define GATE_LOOP_BATCH 256

enum item_kind {
	ITEM_ARRIVE,
	ITEM_CANCEL,
	ITEM_MESSAGE,
	ITEM_FETCH
};

struct item {
	enum item_kind kind;
	uint64_t rid;
	struct exchange *exchange;
	struct msg *msg;
	struct gate_fetch_event fetch;
};

typedef void (*action_handler)(struct gate_loop *, struct gate_action *);

struct gate_loop {
	struct gate_loop_config config;
	struct gate_core *gate;
	struct ring *ring;
	struct bus *bus;
	struct fetch *fetch;
	pthread_t thread;
	int stop;
	pthread_mutex_t lock; /* protects status */
	struct gate_loop_status status;
	uint64_t next_hello_at;
	uint64_t control_heard_at;
	int catalogue_stale;
};

static void *gate_loop_run(void *);
static void gate_loop_handle_item(
    struct gate_loop *, uint64_t, struct item *, struct gate_actions *);
static void gate_loop_handle_message(
    struct gate_loop *, uint64_t, const struct msg *, struct gate_actions *);
static void gate_loop_send_hello(struct gate_loop *, uint64_t);
static void gate_loop_publish(struct gate_loop *, uint64_t);
static void gate_loop_perform(struct gate_loop *, struct gate_actions *);
static void on_message(void *, struct msg *);
static void on_fetch(void *, const struct gate_fetch_event *);
static void gate_loop_queue_cancel(struct gate_loop *, uint64_t);
static void gate_loop_abandon(uint64_t);
static void action_send(struct gate_loop *, struct gate_action *);
static void action_start_fetch(struct gate_loop *, struct gate_action *);
static void action_stop_fetch(struct gate_loop *, struct gate_action *);
static void action_deliver_part(struct gate_loop *, struct gate_action *);
static void action_withdraw_fetch(struct gate_loop *, struct gate_action *);
static void action_report_notice(struct gate_loop *, struct gate_action *);
static void action_drop_payload(struct gate_loop *, struct gate_action *);
static void action_finish_request(struct gate_loop *, struct gate_action *);

static const action_handler action_handlers[GATE__MAX] = {
	[GATE_SEND_MSG] = action_send,
	[GATE_START_FETCH] = action_start_fetch,
	[GATE_STOP_FETCH] = action_stop_fetch,
	[GATE_FORWARD_DATA] = action_deliver_part,
	[GATE_WITHDRAW_FETCH] = action_withdraw_fetch,
	[GATE_REPORT_NOTICE] = action_report_notice,
	[GATE_FREE_PAYLOAD] = action_drop_payload,
	[GATE_END_RESPONSE] = action_finish_request,
	[GATE_FAIL_REQUEST] = action_finish_request,
};

struct gate_loop *
gate_loop_create(const struct gate_loop_config *config, struct err *e)
{
	struct gate_loop *d;

	d = mem_alloc(sizeof(*d));
	d->config = *config;
	d->ring = ring_create(GATE_LOOP_RING_SIZE);
	pthread_mutex_init(&d->lock, NULL);
	d->bus = bus_create(&config->self, on_message, d, e);
	if (d->bus == NULL) {
		ring_destroy(d->ring);
		free(d);
		return NULL;
	}
	d->fetch = fetch_create(relay_handle_fetch_event, NULL);
	d->gate =
	    gate_create(&config->gate, &config->self, config->self.incarnation);
	pthread_create(&d->thread, NULL, gate_loop_run, d);
	return d;
}

void
gate_loop_destroy(struct gate_loop *d)
{
	struct item *it;

	__atomic_store_n(&d->stop, 1, __ATOMIC_RELEASE);
	ring_close(d->ring);
	pthread_join(d->thread, NULL);
	fetch_destroy(d->fetch);
	bus_destroy(d->bus);
	while ((it = ring_pop(d->ring, 0)) != NULL) {
		msg_destroy(it->msg);
		response_part_destroy(it->fetch.payload);
		free(it);
	}
	gate_destroy(d->gate);
	ring_destroy(d->ring);
	pthread_mutex_destroy(&d->lock);
	free(d);
}

int
gate_loop_submit(struct gate_loop *d, struct exchange *x)
{
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_ARRIVE;
	it->exchange = x;
	exchange_ref(x);
	if (ring_push(d->ring, it) == 0)
		return 0;
	exchange_unref(x);
	free(it);
	return -1;
}

void
gate_loop_cancel(struct gate_loop *d, uint64_t rid)
{
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_CANCEL;
	it->rid = rid;
	if (ring_push_wait(d->ring, it) == -1)
		free(it);
}

/*
 * Runs in the bus thread.  The protocol tolerates lost messages, so one is
 * dropped when the ring is full.
 */
static void
on_message(void *arg, struct msg *m)
{
	struct gate_loop *d = arg;
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_MESSAGE;
	it->msg = m;
	if (ring_push(d->ring, it) == -1) {
		msg_destroy(m);
		free(it);
	}
}

/*
 * Runs in the fetch thread.  Blocks while the ring is full, which applies
 * backpressure to the backend servers.
 */
static void
on_fetch(void *arg, const struct gate_fetch_event *f)
{
	struct gate_loop *d = arg;
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_FETCH;
	it->fetch = *f;
	if (ring_push_wait(d->ring, it) == -1) {
		response_part_destroy(f->payload);
		free(it);
	}
}

static void
action_send(struct gate_loop *d, struct gate_action *act)
{
	bus_send(d->bus, act->msg);
	act->msg = NULL;
}

static void
action_start_fetch(struct gate_loop *d, struct gate_action *act)
{
	const struct exchange_info *info;
	struct log_subject about = { 0 };
	struct exchange *x;

	x = exchange_find(act->rid);
	if (x == NULL)
		return;
	info = exchange_info(x);
	about.request = act->rid;
	about.model = info->req.model;
	about.backend = act->target;
	log_event(act->attempt > 1 ? LOG_REQUEST_RETRIED : LOG_REQUEST_STARTED,
	    &about, "attempt=%u resume=%u", act->attempt, act->resume_tokens);
	relay_start(d->fetch, x, act, on_fetch, d);
	exchange_unref(x);
}

static void
action_stop_fetch(struct gate_loop *d, struct gate_action *act)
{
	fetch_cancel(d->fetch, act->fetch_id);
}

static void
action_withdraw_fetch(struct gate_loop *d, struct gate_action *act)
{
	fetch_withdraw(d->fetch, act->fetch_id);
}

static void
action_report_notice(struct gate_loop *d, struct gate_action *act)
{
	static const enum log_id ids[] = {
		[GATE_SAYS_LEAVING] = LOG_REPLICA_SAYS_LEAVING,
		[GATE_SAYS_CLOSED] = LOG_REPLICA_REFUSING,
		[GATE_REOPENED] = LOG_REPLICA_REOPENED,
		[GATE_SAYS_LIMIT] = LOG_REPLICA_LIMIT,
	};
	struct log_subject about = { 0 };
	uint64_t now = clock_mono();

	(void)d;
	about.backend = act->target;
	if (act->notice == GATE_SAYS_LIMIT) {
		log_event(LOG_REPLICA_LIMIT, &about, "per_s=%.2f from=answer",
		    act->limit_per_s);
		return;
	}
	log_event(ids[act->notice], &about, "for_ms=%llu",
	    (unsigned long long)(act->reopen_at > now
		    ? (act->reopen_at - now) / NSEC_PER_MSEC
		    : 0));
}

/*
 * Cancels a request from within the loop.  Does not block on a full ring,
 * since the loop itself drains it; the next part of the response retries.
 */
static void
gate_loop_queue_cancel(struct gate_loop *d, uint64_t rid)
{
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_CANCEL;
	it->rid = rid;
	if (ring_push(d->ring, it) == -1)
		free(it);
}

static void
action_deliver_part(struct gate_loop *d, struct gate_action *act)
{
	struct exchange *x;

	x = exchange_find(act->rid);
	if (x == NULL) {
		response_part_destroy(act->payload);
		return;
	}
	/* Cancel the request of a caller that reads too slowly. */
	if (exchange_push_part(x, act->payload) == -1)
		gate_loop_queue_cancel(d, act->rid);
	exchange_unref(x);
}

static void
action_drop_payload(struct gate_loop *d, struct gate_action *act)
{
	(void)d;
	response_part_destroy(act->payload);
}

static void
action_finish_request(struct gate_loop *d, struct gate_action *act)
{
	struct log_subject about = { 0 };
	struct exchange *x;

	(void)d;
	about.request = act->rid;
	if (act->kind == GATE_END_RESPONSE)
		log_event(LOG_REQUEST_ANSWERED, &about, "%s", "");
	else
		log_event(LOG_REQUEST_FAILED, &about, "outcome=%s",
		    gate_outcome_name(act->outcome));
	x = exchange_find(act->rid);
	if (x == NULL)
		return;
	exchange_finish(x,
	    act->kind == GATE_END_RESPONSE ? OUTCOME_ANSWERED : act->outcome,
	    act->reopen_at);
	exchange_unref(x);
}

static void
gate_loop_perform(struct gate_loop *d, struct gate_actions *out)
{
	struct gate_action *act;

	while ((act = TAILQ_FIRST(out)) != NULL) {
		TAILQ_REMOVE(out, act, entry);
		action_handlers[act->kind](d, act);
		gate_action_destroy(act);
	}
}

static void
gate_loop_handle_message(struct gate_loop *d, uint64_t now, const struct msg *m,
    struct gate_actions *out)
{
	switch (m->kind) {
	case MSG_READY:
		d->control_heard_at = now;
		pthread_mutex_lock(&d->lock);
		d->status.ready = m->u.ready.ready != 0;
		d->status.revision = m->u.ready.revision;
		pthread_mutex_unlock(&d->lock);
		return;
	case MSG_MODEL:
	case MSG_SERVICE:
		d->catalogue_stale = 1;
		break;
	default:
		break;
	}
	gate_handle_message(d->gate, now, m, out);
}

/*
 * The core reports nothing more of a request whose caller has gone, even if it
 * runs to its end: its handler must not wait for that.
 */
static void
gate_loop_abandon(uint64_t rid)
{
	struct exchange *x = exchange_find(rid);

	if (x == NULL)
		return;
	exchange_abandon(x);
	exchange_unref(x);
}

static void
gate_loop_handle_item(struct gate_loop *d, uint64_t now, struct item *it,
    struct gate_actions *out)
{
	struct log_subject about = { 0 };

	switch (it->kind) {
	case ITEM_ARRIVE:
		gate_handle_request(
		    d->gate, now, &exchange_info(it->exchange)->req, out);
		exchange_unref(it->exchange);
		break;
	case ITEM_CANCEL:
		about.request = it->rid;
		log_event(LOG_REQUEST_CANCELLED, &about, "%s", "");
		gate_cancel_request(d->gate, now, it->rid, out);
		gate_loop_abandon(it->rid);
		break;
	case ITEM_MESSAGE:
		gate_loop_handle_message(d, now, it->msg, out);
		msg_destroy(it->msg);
		break;
	case ITEM_FETCH:
		gate_handle_fetch(d->gate, now, &it->fetch, out);
		break;
	}
	free(it);
}

static void
gate_loop_send_hello(struct gate_loop *d, uint64_t now)
{
	struct msg *m;

	if (now < d->next_hello_at)
		return;
	d->next_hello_at = now + GATE_LOOP_HELLO_NS;
	m = msg_create(MSG_HELLO, d->config.control);
	memcpy(m->u.hello.vm, d->config.vm, sizeof(m->u.hello.vm));
	gate_fill_hello(d->gate, &m->u.hello);
	bus_send(d->bus, m);
}

static void
gate_loop_publish(struct gate_loop *d, uint64_t now)
{
	if (d->catalogue_stale && ring_count(d->ring) == 0) {
		catalogue_publish(d->gate);
		d->catalogue_stale = 0;
	}
	pthread_mutex_lock(&d->lock);
	gate_get_stats(d->gate, &d->status.totals);
	if (now > d->control_heard_at + GATE_LOOP_CONTROL_TIMEOUT_NS)
		d->status.ready = 0;
	pthread_mutex_unlock(&d->lock);
}

static void *
gate_loop_run(void *arg)
{
	struct gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	struct gate_loop *d = arg;
	struct item *it;
	uint64_t tick_at = 0;
	uint64_t now;
	int i;

	while (!__atomic_load_n(&d->stop, __ATOMIC_ACQUIRE)) {
		it = ring_pop(d->ring, tick_at);
		for (i = 0; it != NULL; i++) {
			gate_loop_handle_item(d, clock_mono(), it, &out);
			gate_loop_perform(d, &out);
			it = i < GATE_LOOP_BATCH ? ring_pop(d->ring, 0) : NULL;
		}
		now = clock_mono();
		if (now < tick_at)
			continue;
		tick_at = now + GATE_LOOP_TICK_NS;
		gate_tick(d->gate, now, &out);
		gate_loop_perform(d, &out);
		gate_loop_send_hello(d, now);
		gate_loop_publish(d, now);
	}
	return NULL;
}

void
gate_loop_get_status(struct gate_loop *d, struct gate_loop_status *out)
{
	pthread_mutex_lock(&d->lock);
	*out = d->status;
	pthread_mutex_unlock(&d->lock);
	bus_counts(d->bus, &out->bus);
	out->ring = ring_count(d->ring);
}
