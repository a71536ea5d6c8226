#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catalogue.h"
#include "clock.h"
#include "decide.h"
#include "log.h"
#include "mem.h"
#include "relay.h"
#include "ring.h"

#define DECIDE_RING_SIZE 16384
#define DECIDE_TICK_NS (5 * NSEC_PER_MSEC)
#define DECIDE_HELLO_NS (250 * NSEC_PER_MSEC)
#define DECIDE_CONTROL_TIMEOUT_NS (10 * NSEC_PER_SEC)
#define DECIDE_BATCH 256

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
	struct gate_fetch fetch;
};

typedef void (*decide_act)(struct decide *, struct gate_action *);

struct decide {
	struct decide_config config;
	struct gate_core *gate;
	struct ring *ring;
	struct bus *bus;
	struct fetch *fetch;
	pthread_t thread;
	int stop;
	pthread_mutex_t lock; /* status */
	struct decide_status status;
	uint64_t hello_at;
	uint64_t control_heard;
	int catalogue_stale;
};

static void *decide_run(void *);
static void decide_item(
    struct decide *, uint64_t, struct item *, struct gate_actions *);
static void decide_message(
    struct decide *, uint64_t, const struct msg *, struct gate_actions *);
static void decide_hello(struct decide *, uint64_t);
static void decide_publish(struct decide *, uint64_t);
static void decide_perform(struct decide *, struct gate_actions *);
static void on_message(void *, struct msg *);
static void on_fetch(void *, const struct gate_fetch *);
static void decide_give_up(struct decide *, uint64_t);
static void act_send(struct decide *, struct gate_action *);
static void act_start(struct decide *, struct gate_action *);
static void act_stop(struct decide *, struct gate_action *);
static void act_data(struct decide *, struct gate_action *);
static void act_drop(struct decide *, struct gate_action *);
static void act_finish(struct decide *, struct gate_action *);

static const decide_act decide_acts[GATE__MAX] = {
	[GATE_SEND] = act_send,
	[GATE_START] = act_start,
	[GATE_STOP] = act_stop,
	[GATE_DATA] = act_data,
	[GATE_DROP] = act_drop,
	[GATE_END] = act_finish,
	[GATE_FAIL] = act_finish,
};

struct decide *
decide_create(const struct decide_config *config, struct err *e)
{
	struct decide *d;

	d = mem_alloc(sizeof(*d));
	d->config = *config;
	d->ring = ring_create(DECIDE_RING_SIZE);
	pthread_mutex_init(&d->lock, NULL);
	d->bus = bus_create(&config->self, on_message, d, e);
	if (d->bus == NULL) {
		ring_destroy(d->ring);
		free(d);
		return NULL;
	}
	d->fetch = fetch_create(relay_event, NULL);
	d->gate =
	    gate_create(&config->gate, &config->self, config->self.incarnation);
	pthread_create(&d->thread, NULL, decide_run, d);
	return d;
}

void
decide_destroy(struct decide *d)
{
	struct item *it;

	__atomic_store_n(&d->stop, 1, __ATOMIC_RELEASE);
	ring_close(d->ring);
	pthread_join(d->thread, NULL);
	fetch_destroy(d->fetch);
	bus_destroy(d->bus);
	while ((it = ring_pop(d->ring, 0)) != NULL) {
		msg_destroy(it->msg);
		part_destroy(it->fetch.payload);
		free(it);
	}
	gate_destroy(d->gate);
	ring_destroy(d->ring);
	pthread_mutex_destroy(&d->lock);
	free(d);
}

int
decide_arrive(struct decide *d, struct exchange *x)
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
decide_cancel(struct decide *d, uint64_t rid)
{
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_CANCEL;
	it->rid = rid;
	if (ring_push_wait(d->ring, it) == -1)
		free(it);
}

/* Bus thread.  The bus is lossy, so a full ring drops the message. */
static void
on_message(void *arg, struct msg *m)
{
	struct decide *d = arg;
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_MESSAGE;
	it->msg = m;
	if (ring_push(d->ring, it) == -1) {
		msg_destroy(m);
		free(it);
	}
}

/* Fetch thread.  Waits when the ring is full, which slows back ends down. */
static void
on_fetch(void *arg, const struct gate_fetch *f)
{
	struct decide *d = arg;
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_FETCH;
	it->fetch = *f;
	if (ring_push_wait(d->ring, it) == -1) {
		part_destroy(f->payload);
		free(it);
	}
}

static void
act_send(struct decide *d, struct gate_action *act)
{
	bus_send(d->bus, act->msg);
	act->msg = NULL;
}

static void
act_start(struct decide *d, struct gate_action *act)
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
	    &about, "attempt=%u resume=%u", act->attempt, act->resume);
	relay_start(d->fetch, x, act, on_fetch, d);
	exchange_unref(x);
}

static void
act_stop(struct decide *d, struct gate_action *act)
{
	fetch_cancel(d->fetch, act->fetch);
}

/* Decider thread: must not wait, and the next part tries again. */
static void
decide_give_up(struct decide *d, uint64_t rid)
{
	struct item *it;

	it = mem_alloc(sizeof(*it));
	it->kind = ITEM_CANCEL;
	it->rid = rid;
	if (ring_push(d->ring, it) == -1)
		free(it);
}

static void
act_data(struct decide *d, struct gate_action *act)
{
	struct exchange *x;

	x = exchange_find(act->rid);
	if (x == NULL) {
		part_destroy(act->payload);
		return;
	}
	/* A caller that reads too slowly is given up. */
	if (exchange_push(x, act->payload) == -1)
		decide_give_up(d, act->rid);
	exchange_unref(x);
}

static void
act_drop(struct decide *d, struct gate_action *act)
{
	(void)d;
	part_destroy(act->payload);
}

static void
act_finish(struct decide *d, struct gate_action *act)
{
	struct log_subject about = { 0 };
	struct exchange *x;

	(void)d;
	about.request = act->rid;
	if (act->kind == GATE_END)
		log_event(LOG_REQUEST_ANSWERED, &about, "%s", "");
	else
		log_event(LOG_REQUEST_FAILED, &about, "outcome=%s",
		    gate_outcome_name(act->outcome));
	x = exchange_find(act->rid);
	if (x == NULL)
		return;
	exchange_finish(
	    x, act->kind == GATE_END ? OUTCOME_ANSWERED : act->outcome);
	exchange_unref(x);
}

static void
decide_perform(struct decide *d, struct gate_actions *out)
{
	struct gate_action *act;

	while ((act = TAILQ_FIRST(out)) != NULL) {
		TAILQ_REMOVE(out, act, entry);
		decide_acts[act->kind](d, act);
		gate_action_destroy(act);
	}
}

static void
decide_message(struct decide *d, uint64_t now, const struct msg *m,
    struct gate_actions *out)
{
	switch (m->kind) {
	case MSG_READY:
		d->control_heard = now;
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
	gate_message(d->gate, now, m, out);
}

static void
decide_item(
    struct decide *d, uint64_t now, struct item *it, struct gate_actions *out)
{
	struct log_subject about = { 0 };

	switch (it->kind) {
	case ITEM_ARRIVE:
		gate_arrive(
		    d->gate, now, &exchange_info(it->exchange)->req, out);
		exchange_unref(it->exchange);
		break;
	case ITEM_CANCEL:
		about.request = it->rid;
		log_event(LOG_REQUEST_CANCELLED, &about, "%s", "");
		gate_cancel(d->gate, now, it->rid, out);
		break;
	case ITEM_MESSAGE:
		decide_message(d, now, it->msg, out);
		msg_destroy(it->msg);
		break;
	case ITEM_FETCH:
		gate_fetched(d->gate, now, &it->fetch, out);
		break;
	}
	free(it);
}

static void
decide_hello(struct decide *d, uint64_t now)
{
	struct msg *m;

	if (now < d->hello_at)
		return;
	d->hello_at = now + DECIDE_HELLO_NS;
	m = msg_create(MSG_HELLO, d->config.control);
	memcpy(m->u.hello.vm, d->config.vm, sizeof(m->u.hello.vm));
	gate_versions(d->gate, &m->u.hello);
	bus_send(d->bus, m);
}

static void
decide_publish(struct decide *d, uint64_t now)
{
	if (d->catalogue_stale && ring_count(d->ring) == 0) {
		catalogue_publish(d->gate);
		d->catalogue_stale = 0;
	}
	pthread_mutex_lock(&d->lock);
	gate_totals(d->gate, &d->status.totals);
	if (now > d->control_heard + DECIDE_CONTROL_TIMEOUT_NS)
		d->status.ready = 0;
	pthread_mutex_unlock(&d->lock);
}

static void *
decide_run(void *arg)
{
	struct gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	struct decide *d = arg;
	struct item *it;
	uint64_t tick_at = 0;
	uint64_t now;
	int i;

	while (!__atomic_load_n(&d->stop, __ATOMIC_ACQUIRE)) {
		it = ring_pop(d->ring, tick_at);
		for (i = 0; it != NULL; i++) {
			decide_item(d, clock_mono(), it, &out);
			decide_perform(d, &out);
			it = i < DECIDE_BATCH ? ring_pop(d->ring, 0) : NULL;
		}
		now = clock_mono();
		if (now < tick_at)
			continue;
		tick_at = now + DECIDE_TICK_NS;
		gate_tick(d->gate, now, &out);
		decide_perform(d, &out);
		decide_hello(d, now);
		decide_publish(d, now);
	}
	return NULL;
}

void
decide_status(struct decide *d, struct decide_status *out)
{
	pthread_mutex_lock(&d->lock);
	*out = d->status;
	pthread_mutex_unlock(&d->lock);
	bus_counts(d->bus, &out->bus);
	out->ring = ring_count(d->ring);
}
