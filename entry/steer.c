/* Orders out, their answers in; the table of adapters to the peers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward_int.h"
#include "hash.h"
#include "hubs.h"
#include "mem.h"
#include "order.h"
#include "peers.h"
#include "query.h"
#include "replica.h"
#include "session.h"
#include "steer.h"

#define HELD_NS (250 * NSEC_PER_MSEC) /* between tables without a change */
/* A peer that missed a change has it after. */
#define HELD_WHOLE_NS (2 * NSEC_PER_SEC)
/* No table for so long: the holder may have ended. */
#define HOLDER_SILENT_NS (800 * NSEC_PER_MSEC)
/* Only hubs try, one after the other, since demand is told to them. */
#define CANDIDATE_NS (150 * NSEC_PER_MSEC)
#define WANT_NS (60 * NSEC_PER_MSEC) /* between two askings for one name */
/* A leaving model is told again well within this time. */
#define LEAVING_NS (600 * NSEC_PER_MSEC)
/* A replica that refused a model or adapter is asked again after. */
#define REFUSED_NS (120 * NSEC_PER_MSEC)
/* One that lacks the model, though listed with it, has ended or dropped it. */
#define ABSENT_NS (600 * NSEC_PER_MSEC)
#define ORDER_TIMEOUT_S 0.6
#define SELF_SOURCE 511 /* this process's place among demand's sources */

/* This process's own demand for one name. */
struct tally {
	char wanted[FLEET_NAME_SIZE];
	uint64_t arrivals;
	uint64_t asked_at;
	uint32_t running;
	uint32_t waiting;
	UT_hash_handle hh;
};

struct steer {
	struct entry *e;
	struct steward *steward;
	struct tally *tallies;
	uint64_t told_changes;
	uint64_t told_at;
	uint64_t told_fence;
	uint64_t whole_at;     /* the whole table is told again then */
	uint64_t holder_heard; /* when a holder last sent its table */
	uint64_t holder_fence;
	char holder[ADDR_SIZE];
	int held;
};

/* An order or question under way. */
struct order_call {
	struct entry *e;
	struct steward_order o;
};

static void order_answered(void *, int, const char *, size_t);
static void order_send(struct entry *, const struct steward_order *);
static void carry_out(struct entry *, struct kv_ops *, struct steward_orders *);
static void on_result(void *, const struct kv_result *);
static void count_work(struct entry *);
static struct tally *tally(struct steer *, const char *);
static const char *wanted_name(const struct request_want *);
static void held_add(
    struct msg_held *, const struct member_replica *, const char *);
static uint64_t held_hash(const struct member_replica *);
static void held_replica(
    struct entry *, struct msg_held *, struct member_replica *);
static void tell_held(struct entry *);
static void take_held(struct entry *, const struct msg *);

struct steer *
steer_create(struct entry *e)
{
	struct steward_config config;
	struct steer *st;

	steward_config_default(&config);
	/* Engines that check fencing numbers need no pause between holders. */
	config.apart_ns = e->boot.require_fencing ? 0 : e->boot.lease_ns;
	config.window_ns = e->boot.load_window_ns;
	config.burst = e->boot.load_burst_factor;
	st = mem_alloc(sizeof(*st));
	st->e = e;
	st->steward =
	    steward_create(&config, &e->dir, &e->self, peers_ids(e->peers));
	return st;
}

void
steer_destroy(struct steer *st)
{
	struct tally *t, *next;

	if (st == NULL)
		return;
	HASH_ITER (hh, st->tallies, t, next) {
		HASH_DEL(st->tallies, t);
		free(t);
	}
	steward_destroy(st->steward);
	free(st);
}

static struct tally *
tally(struct steer *st, const char *wanted)
{
	struct tally *t;

	HASH_FIND_STR(st->tallies, wanted, t);
	if (t != NULL)
		return t;
	t = mem_alloc(sizeof(*t));
	snprintf(t->wanted, sizeof(t->wanted), "%s", wanted);
	HASH_ADD_STR(st->tallies, wanted, t);
	return t;
}

static const char *
wanted_name(const struct request_want *w)
{
	return w->adapter[0] != '\0' ? w->adapter : w->model;
}

void
steer_arrival(struct entry *e, const struct request_want *w)
{
	if (w->model[0] == '\0')
		return;
	tally(e->steer, w->model)->arrivals++;
	if (w->adapter[0] != '\0')
		tally(e->steer, w->adapter)->arrivals++;
}

/* Counts what runs and waits here, by model and adapter. */
static void
count_work(struct entry *e)
{
	struct forward *f;
	struct tally *t;

	for (t = e->steer->tallies; t != NULL; t = t->hh.next) {
		t->running = 0;
		t->waiting = 0;
	}
	TAILQ_FOREACH (f, &e->running, entry) {
		if (f->want.model[0] != '\0')
			tally(e->steer, f->want.model)->running++;
		if (f->want.adapter[0] != '\0')
			tally(e->steer, f->want.adapter)->running++;
	}
	TAILQ_FOREACH (f, &e->waiting, entry) {
		if (f->want.model[0] != '\0')
			tally(e->steer, f->want.model)->waiting++;
		if (f->want.adapter[0] != '\0')
			tally(e->steer, f->want.adapter)->waiting++;
	}
}

void
steer_fill_demand(struct entry *e, struct msg_front *out)
{
	struct steer *st = e->steer;
	struct msg_demand *d;
	struct tally *t;

	count_work(e);
	out->demand =
	    mem_alloc((HASH_COUNT(st->tallies) + 1) * sizeof(*out->demand));
	for (t = st->tallies; t != NULL; t = t->hh.next) {
		if (out->ndemand == MSG_LIST_MAX - 1)
			break;
		d = &out->demand[out->ndemand++];
		snprintf(d->wanted, sizeof(d->wanted), "%s", t->wanted);
		d->arrivals = t->arrivals;
		d->running = t->running;
		d->waiting = t->waiting;
		demand_tell(steward_demand(st->steward), e->now, SELF_SOURCE,
		    t->wanted, t->arrivals, t->running, t->waiting);
	}
}

void
steer_demand(struct entry *e, const struct msg *m)
{
	const struct msg_front *f = &m->u.front;
	uint32_t source = peers_index(e->peers, m->from.addr);
	uint32_t i;

	for (i = 0; i < f->ndemand; i++)
		demand_tell(steward_demand(e->steer->steward), e->now, source,
		    f->demand[i].wanted, f->demand[i].arrivals,
		    f->demand[i].running, f->demand[i].waiting);
}

void
steer_want(struct entry *e, const struct request_want *w)
{
	struct steer *st = e->steer;
	struct tally *t = tally(st, wanted_name(w));
	struct msg *m;

	if (e->now < t->asked_at + WANT_NS)
		return;
	t->asked_at = e->now;
	steward_asked(st->steward, e->now, wanted_name(w));
	if (steward_holds(st->steward, e->now)) {
		steer_tick(e);
		return;
	}
	if (st->holder[0] == '\0')
		return;
	m = msg_create(MSG_WANT, st->holder);
	snprintf(
	    m->u.want.wanted, sizeof(m->u.want.wanted), "%s", wanted_name(w));
	peers_send(e->peers, m);
}

void
steer_ended(struct entry *e, struct member_replica *m,
    const struct request_want *w, enum attempt_end end, int status)
{
	uint32_t i;

	if (end != ATTEMPT_REFUSED || w->model[0] == '\0')
		return;
	directory_shun(m, wanted_name(w),
	    e->now +
		(status == 421 && w->adapter[0] == '\0' ? ABSENT_NS
							: REFUSED_NS));
	/* It lacks the adapter: not counted on until it is told again. */
	if (status != 421 || w->adapter[0] == '\0')
		return;
	for (i = 0; i < m->info.nadapters; i++) {
		if (strcmp(m->info.adapters[i], w->adapter) != 0)
			continue;
		m->info.nadapters--;
		memmove(m->info.adapters[i],
		    m->info.adapters[m->info.nadapters], FLEET_NAME_SIZE);
		break;
	}
}

/* Status 0 stands for no answer. */
static void
order_answered(void *ctx, int status, const char *body, size_t len)
{
	struct order_call *c = ctx;
	struct steward *s = c->e->steer->steward;
	struct log_subject about = { 0 };
	struct fleet_replica r;
	struct err err;
	enum order_answer answer = platform_order_result(status);
	int good;

	about.order = c->o.id;
	about.backend = c->o.replica;
	about.model = c->o.adapter[0] != '\0' ? c->o.adapter : c->o.model;
	if (c->o.kind == STEWARD_REPORT) {
		memset(&r, 0, sizeof(r));
		good = status == 200 &&
		    platform_report_decode(body, len, &r, &err) == 0;
		log_event(LOG_ORDER_DONE, &about,
		    "report status=%d orders=%llu busy=%d", status,
		    (unsigned long long)r.orders, r.busy);
		steward_report(s, c->e->now, &c->o, good ? &r : NULL);
	} else {
		log_event(
		    answer <= ANSWER_HOLDS ? LOG_ORDER_DONE : LOG_ORDER_FAILED,
		    &about, "%s answer=%s status=%d expected=%llu",
		    c->o.kind == STEWARD_LOAD ? "load" : "unload",
		    order_answer_name(answer), status,
		    (unsigned long long)c->o.expected);
		steward_answer(s, c->e->now, &c->o, answer);
	}
	free(c);
}

static void
order_send(struct entry *e, const struct steward_order *o)
{
	struct log_subject about = { 0 };
	struct order_call *c;
	struct buf out = { 0 };
	char *body = NULL;

	c = mem_alloc(sizeof(*c));
	c->e = e;
	c->o = *o;
	if (o->kind != STEWARD_REPORT)
		body = platform_order_body(o, e->boot.vm);
	fields_write_control_request(&out,
	    body == NULL ? REPORT_TARGET : ORDER_TARGET, o->addr, o->replica,
	    body);
	about.order = o->id;
	about.backend = o->replica;
	about.model = o->adapter[0] != '\0' ? o->adapter : o->model;
	if (body != NULL)
		log_event(LOG_ORDER_SENT, &about, "%s expected=%llu fence=%llu",
		    o->kind == STEWARD_LOAD ? "load" : "unload",
		    (unsigned long long)o->expected,
		    (unsigned long long)o->fence);
	query_send(
	    e, e->replicas, o->addr, &out, ORDER_TIMEOUT_S, order_answered, c);
	buf_free(&out);
	free(body);
}

static void
carry_out(struct entry *e, struct kv_ops *kv, struct steward_orders *orders)
{
	struct steward_order *o;

	session_send(e->session, kv, on_result, e);
	while ((o = TAILQ_FIRST(orders)) != NULL) {
		TAILQ_REMOVE(orders, o, entry);
		order_send(e, o);
		free(o);
	}
}

static void
on_result(void *ctx, const struct kv_result *r)
{
	struct entry *e = ctx;
	struct steward_orders orders;
	struct kv_ops kv;
	struct steward_out out = { &kv, &orders };

	TAILQ_INIT(&kv);
	TAILQ_INIT(&orders);
	steward_kv(e->steer->steward, e->now, r, &out);
	carry_out(e, &kv, &orders);
}

void
steer_tick(struct entry *e)
{
	struct steer *st = e->steer;
	struct steward_orders orders;
	struct kv_ops kv;
	struct steward_out out = { &kv, &orders };
	struct steward_totals t;
	uint64_t from;

	TAILQ_INIT(&kv);
	TAILQ_INIT(&orders);
	from = st->holder_heard + HOLDER_SILENT_NS +
	    peers_rank(e->peers) * CANDIDATE_NS;
	steward_candidate(st->steward,
	    !e->stopping && e->dir.known && e->now >= from &&
		peers_rank(e->peers) < HUBS_MAX,
	    0);
	steward_tick(st->steward, e->now, e->conf, &out);
	carry_out(e, &kv, &orders);
	steward_totals(st->steward, e->now, &t);
	if (t.holds != st->held) {
		st->held = t.holds;
		log_event(t.holds ? LOG_CELL_TAKEN : LOG_CELL_LOST, NULL,
		    "orders fence=%llu", (unsigned long long)t.fence);
	}
	if (t.holds)
		tell_held(e);
}

void
steer_leave(struct entry *e)
{
	struct steward_orders orders;
	struct kv_ops kv;
	struct steward_out out = { &kv, &orders };

	TAILQ_INIT(&kv);
	TAILQ_INIT(&orders);
	steward_release(e->steer->steward, &out);
	carry_out(e, &kv, &orders);
}

static void
held_add(struct msg_held *h, const struct member_replica *m, const char *name)
{
	struct msg_held_item *item;

	if (h->n == MSG_LIST_MAX - 1)
		return;
	item = &h->items[h->n++];
	snprintf(item->replica, sizeof(item->replica), "%s", m->info.id);
	snprintf(item->name, sizeof(item->name), "%s", name);
	item->born = m->info.born_ms;
}

/* Identifies what a replica holds; never 0. */
static uint64_t
held_hash(const struct member_replica *m)
{
	uint64_t hash = m->info.born_ms + 1;
	uint32_t i;

	for (i = 0; i < m->info.nadapters; i++)
		hash ^= hash_version(m->info.adapters[i], 1);
	return hash == 0 ? 1 : hash;
}

/* Adds a replica's line to the table where peers may not have it. */
static void
held_replica(struct entry *e, struct msg_held *h, struct member_replica *m)
{
	const char *leaving = steward_leaving(e->steer->steward, m->info.id);
	uint64_t hash = held_hash(m);
	uint32_t i;

	if (!h->whole && m->told == hash && *leaving == '\0')
		return;
	m->told = hash;
	held_add(h, m, "");
	for (i = 0; i < m->info.nadapters; i++)
		held_add(h, m, m->info.adapters[i]);
	if (*leaving == '\0')
		return;
	held_add(h, m, leaving);
	directory_shun(m, leaving, e->now + LEAVING_NS);
}

/* The table of adapters: what changed, at once, and now and then all of it. */
static void
tell_held(struct entry *e)
{
	struct steer *st = e->steer;
	uint64_t changes = steward_changes(st->steward);
	struct steward_totals t;
	struct member_replica *m;
	struct msg *msg;

	if (changes == st->told_changes && e->now < st->told_at + HELD_NS)
		return;
	if (changes != st->told_changes)
		e->pump = 1;
	st->told_changes = changes;
	st->told_at = e->now;
	st->holder_heard = e->now;
	steward_totals(st->steward, e->now, &t);
	msg = msg_create(MSG_HELD, "");
	msg->u.held.fence = t.fence;
	msg->u.held.whole = st->told_fence != t.fence || e->now >= st->whole_at;
	if (msg->u.held.whole)
		st->whole_at = e->now + HELD_WHOLE_NS;
	st->told_fence = t.fence;
	msg->u.held.items =
	    mem_alloc(MSG_LIST_MAX * sizeof(*msg->u.held.items));
	for (m = e->dir.replicas; m != NULL; m = m->hh.next)
		held_replica(e, &msg->u.held, m);
	peers_broadcast(e->peers, msg);
}

static void
take_held(struct entry *e, const struct msg *msg)
{
	const struct msg_held *h = &msg->u.held;
	struct steer *st = e->steer;
	struct member_replica *m;
	struct fleet_replica *r;
	uint32_t i;

	if (h->fence < st->holder_fence)
		return;
	st->holder_fence = h->fence;
	st->holder_heard = e->now;
	snprintf(st->holder, sizeof(st->holder), "%s", msg->from.addr);
	steward_superseded(st->steward, h->fence);
	for (m = e->dir.replicas; m != NULL && h->whole; m = m->hh.next)
		m->info.nadapters = 0;
	for (i = 0; i < h->n; i++) {
		m = directory_find(&e->dir, h->items[i].replica);
		if (m == NULL || m->info.born_ms != h->items[i].born)
			continue;
		/* A replica's line begins with an empty name. */
		if (h->items[i].name[0] == '\0') {
			m->info.nadapters = 0;
			continue;
		}
		if (m->info.nadapters == FLEET_ADAPTERS_MAX)
			continue;
		if (strchr(h->items[i].name, '/') == NULL) {
			directory_shun(
			    m, h->items[i].name, e->now + LEAVING_NS);
			continue;
		}
		r = &m->info;
		snprintf(r->adapters[r->nadapters++], FLEET_NAME_SIZE, "%s",
		    h->items[i].name);
	}
	e->pump = 1;
}

int
steer_is_holder(const struct entry *e, const char *addr)
{
	return strcmp(e->steer->holder, addr) == 0;
}

/* A holder that stops has given its right back: others try at once. */
void
steer_peer_stops(struct entry *e, const char *addr)
{
	if (strcmp(e->steer->holder, addr) == 0)
		e->steer->holder_heard = 0;
}

void
steer_message(struct entry *e, const struct msg *m)
{
	if (m->kind == MSG_HELD) {
		take_held(e, m);
		return;
	}
	if (m->kind != MSG_WANT)
		return;
	steward_asked(e->steer->steward, e->now, m->u.want.wanted);
	if (steward_holds(e->steer->steward, e->now))
		steer_tick(e);
}

void
steer_totals(struct entry *e, struct steward_totals *t)
{
	steward_totals(e->steer->steward, e->now, t);
}
