/* Sends orders to engines, and the adapter table to the peers. */
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
#include "loader_io.h"

#define TABLE_INTERVAL_NS (250 * NSEC_PER_MSEC) /* without changes */
/* A peer that lost a message has the current table after this time. */
#define FULL_TABLE_INTERVAL_NS (2 * NSEC_PER_SEC)
/* With many replicas changes come all the time: sent together. */
#define TABLE_CHANGES_NS (50 * NSEC_PER_MSEC)
/* Without a table for this long, the holder may have ended. */
#define HOLDER_SILENT_NS (800 * NSEC_PER_MSEC)
/*
 * Only hubs apply for the lease, since demand is reported to them.  They wait
 * this much longer per rank, so that they do not compete.
 */
#define CANDIDATE_STEP_NS (150 * NSEC_PER_MSEC)
#define WANT_INTERVAL_NS (60 * NSEC_PER_MSEC) /* per name */
/* A model being unloaded is announced again well within this time. */
#define UNLOADING_AVOID_NS (600 * NSEC_PER_MSEC)
/* A replica that refused a model or adapter is tried again after this time. */
#define REFUSED_AVOID_NS (120 * NSEC_PER_MSEC)
/* A replica without a model it is listed with has restarted or unloaded it. */
#define ABSENT_AVOID_NS (600 * NSEC_PER_MSEC)
#define ORDER_TIMEOUT_S 0.6
#define SERVICE_TIME_NS (2 * NSEC_PER_SEC) /* until it has been measured */
/* After the last waiting request, so that receivers learn that none waits. */
#define WAITING_REPORTED_NS (1 * NSEC_PER_SEC)
/* Reported for so long after the last request, should a report be lost. */
#define DEMAND_REPORTED_NS (2 * NSEC_PER_SEC)
/* Sources of demand: this process, then the peers by their index. */
#define DEMAND_SOURCE_SELF 0
#define DEMAND_SOURCE_PEERS 1

/* This process's own demand for a model or adapter. */
struct demand_count {
	char wanted[FLEET_NAME_SIZE];
	uint64_t arrivals;
	uint64_t busy_at;	/* latest arrival, or request in work */
	uint64_t missing_since; /* no replica holds the model, 0: one does */
	uint64_t asked_at;
	uint32_t running;
	uint32_t waiting;
	UT_hash_handle hh;
};

struct loader_io {
	struct entry *e;
	struct loader *loader;
	struct demand_count *demand_counts;
	struct demand zone_demand; /* a relay's: of its data centre */
	uint64_t table_changes;
	uint64_t table_sent_at;
	uint64_t table_fencing_token;
	uint64_t full_table_at;	  /* when the whole table is sent again */
	uint64_t holder_heard_at; /* when the last table came from a holder */
	uint64_t holder_fencing_token;
	char holder[ADDR_SIZE];
	int is_holder;
};

/* A pending order or report query. */
struct order_call {
	struct entry *e;
	struct loader_order o;
};

static void on_order_answer(void *, int, const char *, size_t);
static void send_order(struct entry *, const struct loader_order *);
static void send_orders(
    struct entry *, struct kv_ops *, struct loader_orders *);
static void on_result(void *, const struct kv_result *);
static uint64_t engine_service_time(const struct entry *);
static void count_arrival(struct demand_count *, uint64_t);
static void count_demand(struct demand_count *, const struct forward *);
static void add_demand(
    struct msg_front *, const char *, uint64_t, uint32_t, uint32_t);
static void update_demand_counts(struct entry *);
static void apply_demand(struct entry *, struct demand *, const struct msg *);
static struct demand_count *demand_count_of(struct loader_io *, const char *);
static const char *wanted_name(const struct request_params *);
static void table_add(
    struct msg_held *, const struct directory_replica *, const char *);
static uint64_t adapters_hash(const struct directory_replica *);
static void table_add_replica(
    struct entry *, struct msg_held *, struct directory_replica *);
static void send_adapter_table(struct entry *);
static void apply_adapter_table(struct entry *, const struct msg *);

struct loader_io *
loader_io_create(struct entry *e)
{
	struct loader_config config;
	struct loader_io *st;

	loader_config_default(&config);
	/* Engines that check fencing tokens need no pause between holders. */
	config.takeover_delay_ns =
	    e->boot.require_fencing ? 0 : e->boot.lease_ns;
	config.load_window_ns = e->boot.load_window_ns;
	config.load_burst = e->boot.load_burst_factor;
	st = mem_alloc(sizeof(*st));
	st->e = e;
	st->loader =
	    loader_create(&config, &e->dir, &e->self, peers_kv_ids(e->peers));
	return st;
}

void
loader_io_destroy(struct loader_io *st)
{
	struct demand_count *t, *next;

	if (st == NULL)
		return;
	HASH_ITER (hh, st->demand_counts, t, next) {
		HASH_DEL(st->demand_counts, t);
		free(t);
	}
	loader_destroy(st->loader);
	demand_clear(&st->zone_demand);
	free(st);
}

static struct demand_count *
demand_count_of(struct loader_io *st, const char *wanted)
{
	struct demand_count *t;

	HASH_FIND_STR(st->demand_counts, wanted, t);
	if (t != NULL)
		return t;
	t = mem_alloc(sizeof(*t));
	snprintf(t->wanted, sizeof(t->wanted), "%s", wanted);
	HASH_ADD_STR(st->demand_counts, wanted, t);
	return t;
}

static const char *
wanted_name(const struct request_params *w)
{
	return w->adapter[0] != '\0' ? w->adapter : w->model;
}

static void
count_arrival(struct demand_count *t, uint64_t now)
{
	t->arrivals++;
	t->busy_at = now;
}

void
loader_io_count_arrival(struct entry *e, const struct request_params *w)
{
	if (w->model[0] == '\0')
		return;
	count_arrival(demand_count_of(e->loader_io, w->model), e->now);
	if (w->adapter[0] != '\0')
		count_arrival(
		    demand_count_of(e->loader_io, w->adapter), e->now);
}

static void
count_demand(struct demand_count *t, const struct forward *f)
{
	t->busy_at = f->e->now;
	if (f->waiting.group != NULL)
		t->waiting++;
	else
		t->running++;
}

/* Counts running and queued requests per model and adapter. */
static void
update_demand_counts(struct entry *e)
{
	struct forward *f;
	struct demand_count *t;

	for (t = e->loader_io->demand_counts; t != NULL; t = t->hh.next) {
		t->running = 0;
		t->waiting = 0;
	}
	TAILQ_FOREACH (f, &e->requests, entry) {
		if (f->params.model[0] == '\0')
			continue;
		count_demand(demand_count_of(e->loader_io, f->params.model), f);
		if (f->params.adapter[0] != '\0')
			count_demand(
			    demand_count_of(e->loader_io, f->params.adapter),
			    f);
	}
}

static void
add_demand(struct msg_front *out, const char *wanted, uint64_t arrivals,
    uint32_t running, uint32_t waiting)
{
	struct msg_demand *d;

	if (out->ndemand == MSG_LIST_MAX - 1)
		return;
	d = &out->demand[out->ndemand++];
	snprintf(d->wanted, sizeof(d->wanted), "%s", wanted);
	d->arrivals = arrivals;
	d->running = running;
	d->waiting = waiting;
}

/* What was not asked for lately is left out. */
void
loader_io_fill_demand(struct entry *e, struct msg_front *out)
{
	struct loader_io *st = e->loader_io;
	struct demand_count *t;

	update_demand_counts(e);
	out->demand = mem_alloc(
	    (HASH_COUNT(st->demand_counts) + 1) * sizeof(*out->demand));
	for (t = st->demand_counts; t != NULL; t = t->hh.next) {
		if (e->now > t->busy_at + DEMAND_REPORTED_NS)
			continue;
		add_demand(out, t->wanted, t->arrivals, t->running, t->waiting);
		/* A relay reports this process's demand as well. */
		if (!peers_use_relays(e->peers))
			demand_update(loader_demand(st->loader), e->now,
			    DEMAND_SOURCE_SELF, t->wanted, t->arrivals,
			    t->running, t->waiting);
	}
}

void
loader_io_fill_zone_demand(struct entry *e, struct msg_front *out)
{
	struct loader_io *st = e->loader_io;
	struct demand *zone = &st->zone_demand;
	const struct demand_item *i;
	struct demand_count *t;
	uint32_t running;
	uint32_t waiting;

	update_demand_counts(e);
	for (t = st->demand_counts; t != NULL; t = t->hh.next) {
		if (e->now <= t->busy_at + DEMAND_REPORTED_NS)
			demand_update(zone, e->now, DEMAND_SOURCE_SELF,
			    t->wanted, t->arrivals, t->running, t->waiting);
	}
	out->demand =
	    mem_alloc((HASH_COUNT(zone->items) + 1) * sizeof(*out->demand));
	for (i = zone->items; i != NULL; i = i->hh.next) {
		if (!demand_is_current(i, e->now))
			continue;
		running = demand_running_count(i, e->now);
		waiting = demand_waiting_count(i, e->now);
		add_demand(out, i->name, i->total, running, waiting);
		demand_update(loader_demand(st->loader), e->now,
		    DEMAND_SOURCE_SELF, i->name, i->total, running, waiting);
	}
}

static void
apply_demand(struct entry *e, struct demand *d, const struct msg *m)
{
	const struct msg_front *f = &m->u.front;
	uint32_t peer = peers_index(e->peers, m->from.addr);
	uint32_t i;

	if (peer == UINT32_MAX)
		return;
	for (i = 0; i < f->ndemand; i++)
		demand_update(d, e->now, DEMAND_SOURCE_PEERS + peer,
		    f->demand[i].wanted, f->demand[i].arrivals,
		    f->demand[i].running, f->demand[i].waiting);
}

void
loader_io_apply_zone_demand(struct entry *e, const struct msg *m)
{
	apply_demand(e, &e->loader_io->zone_demand, m);
}

void
loader_io_apply_demand(struct entry *e, const struct msg *m)
{
	apply_demand(e, loader_demand(e->loader_io->loader), m);
}

void
loader_io_set_missing(struct entry *e, const char *model, int missing)
{
	struct demand_count *t;

	if (*model == '\0')
		return;
	t = demand_count_of(e->loader_io, model);
	if (!missing)
		t->missing_since = 0;
	else if (t->missing_since == 0)
		t->missing_since = e->now;
}

uint64_t
loader_io_missing_since(const struct entry *e, const char *model)
{
	const struct demand_count *t;

	HASH_FIND_STR(e->loader_io->demand_counts, model, t);
	return t == NULL ? 0 : t->missing_since;
}

uint32_t
loader_io_waiting(const struct entry *e, const char *model)
{
	const struct demand_item *i =
	    demand_find(loader_demand(e->loader_io->loader), model);

	return i == NULL ? 0 : demand_waiting_count(i, e->now);
}

void
loader_io_fill_waiting(struct entry *e, struct msg_front *out)
{
	const struct demand *d = loader_demand(e->loader_io->loader);
	const struct demand_item *i;

	out->demand =
	    mem_alloc((HASH_COUNT(d->items) + 1) * sizeof(*out->demand));
	for (i = d->items; i != NULL; i = i->hh.next) {
		if (i->last_waiting_at != 0 && strchr(i->name, '/') == NULL &&
		    e->now < i->last_waiting_at + WAITING_REPORTED_NS)
			add_demand(out, i->name, i->total,
			    demand_running_count(i, e->now),
			    demand_waiting_count(i, e->now));
	}
}

void
loader_io_request_load(struct entry *e, const struct request_params *w)
{
	struct loader_io *st = e->loader_io;
	struct demand_count *t = demand_count_of(st, wanted_name(w));
	struct msg *m;

	if (e->now < t->asked_at + WANT_INTERVAL_NS)
		return;
	t->asked_at = e->now;
	loader_request_adapter(st->loader, e->now, wanted_name(w));
	if (loader_is_leader(st->loader, e->now)) {
		loader_io_tick(e);
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
loader_io_attempt_ended(struct entry *e, struct directory_replica *m,
    const struct request_params *w, enum attempt_outcome end, int status)
{
	uint32_t i;

	if (end != ATTEMPT_REFUSED || w->model[0] == '\0')
		return;
	directory_exclude(m, wanted_name(w),
	    e->now +
		(status == 421 && w->adapter[0] == '\0' ? ABSENT_AVOID_NS
							: REFUSED_AVOID_NS));
	/* The adapter is not loaded: unlisted until the next adapter table. */
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

/* Handles the response to an order or report query; status 0 if none. */
static void
on_order_answer(void *ctx, int status, const char *body, size_t len)
{
	struct order_call *c = ctx;
	struct loader *s = c->e->loader_io->loader;
	struct log_subject about = { 0 };
	struct fleet_replica r;
	struct err err;
	enum order_answer answer = platform_order_result(status);
	int valid;

	about.order = c->o.id;
	about.backend = c->o.replica;
	about.model = c->o.adapter[0] != '\0' ? c->o.adapter : c->o.model;
	if (c->o.kind == LOADER_REPORT) {
		memset(&r, 0, sizeof(r));
		valid = status == 200 &&
		    platform_report_decode(body, len, &r, &err) == 0;
		log_event(LOG_ORDER_DONE, &about,
		    "report status=%d orders=%llu busy=%d", status,
		    (unsigned long long)r.accepted_orders, r.busy);
		loader_report_received(s, c->e->now, &c->o, valid ? &r : NULL);
	} else {
		log_event(answer <= ANSWER_ALREADY_DONE ? LOG_ORDER_DONE
							: LOG_ORDER_FAILED,
		    &about, "%s answer=%s status=%d expected=%llu",
		    c->o.kind == LOADER_LOAD ? "load" : "unload",
		    order_answer_name(answer), status,
		    (unsigned long long)c->o.expected_sequence);
		loader_order_answered(s, c->e->now, &c->o, answer);
	}
	free(c);
}

static void
send_order(struct entry *e, const struct loader_order *o)
{
	struct log_subject about = { 0 };
	struct order_call *c;
	struct buf out = { 0 };
	char *body = NULL;

	c = mem_alloc(sizeof(*c));
	c->e = e;
	c->o = *o;
	if (o->kind != LOADER_REPORT)
		body = platform_order_body(o, e->boot.vm);
	fields_write_control_request(&out,
	    body == NULL ? REPORT_TARGET : ORDER_TARGET, o->addr, o->replica,
	    body);
	about.order = o->id;
	about.backend = o->replica;
	about.model = o->adapter[0] != '\0' ? o->adapter : o->model;
	if (body != NULL)
		log_event(LOG_ORDER_SENT, &about, "%s expected=%llu fence=%llu",
		    o->kind == LOADER_LOAD ? "load" : "unload",
		    (unsigned long long)o->expected_sequence,
		    (unsigned long long)o->fence);
	query_send(e, e->replicas, o->addr, &out, o->send_by, ORDER_TIMEOUT_S,
	    on_order_answer, c);
	buf_free(&out);
	free(body);
}

static void
send_orders(struct entry *e, struct kv_ops *kv, struct loader_orders *orders)
{
	struct loader_order *o;

	session_send(e->session, kv, on_result, e);
	while ((o = TAILQ_FIRST(orders)) != NULL) {
		TAILQ_REMOVE(orders, o, entry);
		send_order(e, o);
		free(o);
	}
}

static void
on_result(void *ctx, const struct kv_result *r)
{
	struct entry *e = ctx;
	struct loader_orders orders;
	struct kv_ops kv;
	struct loader_output out = { &kv, &orders };

	TAILQ_INIT(&kv);
	TAILQ_INIT(&orders);
	loader_kv_result(e->loader_io->loader, e->now, r, &out);
	send_orders(e, &kv, &orders);
}

/* Time that a request takes at the first service with engines. */
static uint64_t
engine_service_time(const struct entry *e)
{
	uint32_t i;

	for (i = 0; e->conf != NULL && i < e->conf->nservices; i++) {
		if (e->conf->services[i].engine != NULL)
			return pace_service_ns(&e->pace,
			    e->conf->services[i].name, SERVICE_TIME_NS);
	}
	return SERVICE_TIME_NS;
}

void
loader_io_tick(struct entry *e)
{
	struct loader_io *st = e->loader_io;
	struct loader_orders orders;
	struct kv_ops kv;
	struct loader_output out = { &kv, &orders };
	struct loader_stats t;
	uint64_t from;

	TAILQ_INIT(&kv);
	TAILQ_INIT(&orders);
	from = st->holder_heard_at + HOLDER_SILENT_NS +
	    peers_candidate_rank(e->peers) * CANDIDATE_STEP_NS;
	loader_set_candidate(st->loader,
	    !e->stopping && e->dir.synced && e->now >= from &&
		peers_candidate_rank(e->peers) < HUBS_MAX,
	    0);
	loader_set_service_time(st->loader, engine_service_time(e));
	loader_tick(st->loader, e->now, e->conf, &out);
	send_orders(e, &kv, &orders);
	loader_get_stats(st->loader, e->now, &t);
	if (t.is_leader != st->is_holder) {
		st->is_holder = t.is_leader;
		log_event(t.is_leader ? LOG_CELL_TAKEN : LOG_CELL_LOST, NULL,
		    "orders fence=%llu", (unsigned long long)t.fence);
	}
	if (t.is_leader)
		send_adapter_table(e);
}

void
loader_io_leave(struct entry *e)
{
	struct loader_orders orders;
	struct kv_ops kv;
	struct loader_output out = { &kv, &orders };

	TAILQ_INIT(&kv);
	TAILQ_INIT(&orders);
	loader_release(e->loader_io->loader, &out);
	send_orders(e, &kv, &orders);
}

static void
table_add(
    struct msg_held *h, const struct directory_replica *m, const char *name)
{
	struct msg_held_item *item;

	if (h->n == MSG_LIST_MAX - 1)
		return;
	item = &h->items[h->n++];
	snprintf(item->replica, sizeof(item->replica), "%s", m->info.id);
	snprintf(item->name, sizeof(item->name), "%s", name);
	item->replica_start = m->info.started_ms;
}

/* Hash of a replica's start time and adapters; never 0. */
static uint64_t
adapters_hash(const struct directory_replica *m)
{
	uint64_t hash = m->info.started_ms + 1;
	uint32_t i;

	for (i = 0; i < m->info.nadapters; i++)
		hash ^= hash_version(m->info.adapters[i], 1);
	return hash == 0 ? 1 : hash;
}

/* Adds a replica to the table if it has changed since it was last sent. */
static void
table_add_replica(
    struct entry *e, struct msg_held *h, struct directory_replica *m)
{
	const char *leaving =
	    loader_unloading_model(e->loader_io->loader, m->info.id);
	uint64_t hash = adapters_hash(m);
	uint32_t i;

	if (!h->is_full && m->adapters_hash_sent == hash && *leaving == '\0')
		return;
	m->adapters_hash_sent = hash;
	table_add(h, m, "");
	for (i = 0; i < m->info.nadapters; i++)
		table_add(h, m, m->info.adapters[i]);
	if (*leaving == '\0')
		return;
	table_add(h, m, leaving);
	directory_exclude(m, leaving, e->now + UNLOADING_AVOID_NS);
}

/* Broadcasts changes of the adapter table, and at intervals all of it. */
static void
send_adapter_table(struct entry *e)
{
	struct loader_io *st = e->loader_io;
	uint64_t changes = loader_change_count(st->loader);
	struct loader_stats t;
	struct directory_replica *m;
	uint64_t after;
	struct msg *msg;

	after = TABLE_INTERVAL_NS;
	if (changes != st->table_changes)
		after = peers_use_relays(e->peers) ? TABLE_CHANGES_NS : 0;
	if (e->now < st->table_sent_at + after)
		return;
	if (changes != st->table_changes)
		e->retry_waiting = 1;
	st->table_changes = changes;
	st->table_sent_at = e->now;
	st->holder_heard_at = e->now;
	loader_get_stats(st->loader, e->now, &t);
	msg = msg_create(MSG_HELD, "");
	snprintf(
	    msg->u.held.holder, sizeof(msg->u.held.holder), "%s", e->self.addr);
	msg->u.held.fence = t.fence;
	msg->u.held.is_full =
	    st->table_fencing_token != t.fence || e->now >= st->full_table_at;
	if (msg->u.held.is_full)
		st->full_table_at = e->now + FULL_TABLE_INTERVAL_NS;
	st->table_fencing_token = t.fence;
	msg->u.held.items =
	    mem_alloc(MSG_LIST_MAX * sizeof(*msg->u.held.items));
	for (m = e->dir.replicas; m != NULL; m = m->hh.next)
		table_add_replica(e, &msg->u.held, m);
	peers_send_down(e->peers, msg);
}

static void
apply_adapter_table(struct entry *e, const struct msg *msg)
{
	const struct msg_held *h = &msg->u.held;
	struct loader_io *st = e->loader_io;
	struct directory_replica *m;
	struct fleet_replica *r;
	uint32_t i;

	if (h->fence < st->holder_fencing_token)
		return;
	st->holder_fencing_token = h->fence;
	st->holder_heard_at = e->now;
	snprintf(st->holder, sizeof(st->holder), "%s", h->holder);
	loader_superseded(st->loader, h->fence);
	for (m = e->dir.replicas; m != NULL && h->is_full; m = m->hh.next)
		m->info.nadapters = 0;
	for (i = 0; i < h->n; i++) {
		m = directory_find(&e->dir, h->items[i].replica);
		if (m == NULL ||
		    m->info.started_ms != h->items[i].replica_start)
			continue;
		/* The items of each replica start with an empty name. */
		if (h->items[i].name[0] == '\0') {
			m->info.nadapters = 0;
			continue;
		}
		if (m->info.nadapters == FLEET_ADAPTERS_MAX)
			continue;
		if (strchr(h->items[i].name, '/') == NULL) {
			directory_exclude(
			    m, h->items[i].name, e->now + UNLOADING_AVOID_NS);
			continue;
		}
		r = &m->info;
		snprintf(r->adapters[r->nadapters++], FLEET_NAME_SIZE, "%s",
		    h->items[i].name);
	}
	e->retry_waiting = 1;
}

int
loader_io_is_leader(const struct entry *e)
{
	return e->loader_io != NULL && e->loader_io->is_holder;
}

int
loader_io_is_holder(const struct entry *e, const char *addr)
{
	return strcmp(e->loader_io->holder, addr) == 0;
}

/* A stopping holder has released its lease: others apply at once. */
void
loader_io_peer_stopping(struct entry *e, const char *addr)
{
	if (strcmp(e->loader_io->holder, addr) == 0)
		e->loader_io->holder_heard_at = 0;
}

void
loader_io_receive(struct entry *e, const struct msg *m)
{
	if (m->kind == MSG_HELD) {
		apply_adapter_table(e, m);
		return;
	}
	if (m->kind != MSG_WANT)
		return;
	loader_request_adapter(e->loader_io->loader, e->now, m->u.want.wanted);
	if (loader_is_leader(e->loader_io->loader, e->now))
		loader_io_tick(e);
}

void
loader_io_totals(struct entry *e, struct loader_stats *t)
{
	loader_get_stats(e->loader_io->loader, e->now, t);
}
