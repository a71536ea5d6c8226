/* Sends orders to engines, for the holder of the order lease. */
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
#include "loader_io_int.h"

/* Without a table for this long, the holder may have ended. */
#define HOLDER_SILENT_NS (800 * NSEC_PER_MSEC)
/*
 * Only hubs apply for the lease, since demand is reported to them.  They wait
 * this much longer per rank, so that they do not compete.
 */
#define CANDIDATE_STEP_NS (150 * NSEC_PER_MSEC)
#define WANT_INTERVAL_NS (60 * NSEC_PER_MSEC) /* per name */
/* A replica that refused a model or adapter is tried again after this time. */
#define REFUSED_AVOID_NS (120 * NSEC_PER_MSEC)
/* A replica without a model it is listed with has restarted or unloaded it. */
#define ABSENT_AVOID_NS (600 * NSEC_PER_MSEC)
/* Between rounds of orders that requests or peers ask for. */
#define ROUND_INTERVAL_NS (5 * NSEC_PER_MSEC)
#define ORDER_TIMEOUT_S 0.6
/* A former holder tells its loads again while answers are due. */
#define TELL_LOADS_INTERVAL_NS (100 * NSEC_PER_MSEC)
#define SERVICE_TIME_NS (2 * NSEC_PER_SEC) /* until it has been measured */

/* A pending order or report query. */
struct order_call {
	struct entry *e;
	struct loader_order o;
};

static void on_order_answer(void *, int, const char *, size_t);
static const char *full_model_name(
    const struct entry *, const struct loader_order *);
static void send_order(struct entry *, const struct loader_order *);
static void send_orders(
    struct entry *, struct kv_ops *, struct loader_orders *);
static void on_result(void *, const struct kv_result *);
static uint64_t engine_service_time(const struct entry *);
static void tell_loads(struct entry *);

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

void
loader_io_request_load(struct entry *e, const struct request_params *w)
{
	struct loader_io *st = e->loader_io;
	struct demand_count *t = demand_count_of(st, loader_io_wanted_name(w));
	struct msg *m;

	if (e->now < t->asked_at + WANT_INTERVAL_NS)
		return;
	t->asked_at = e->now;
	loader_request_adapter(st->loader, e->now, loader_io_wanted_name(w));
	if (loader_is_leader(st->loader, e->now)) {
		st->load_requested = 1;
		return;
	}
	if (st->holder[0] == '\0')
		return;
	m = msg_create(MSG_WANT, st->holder);
	snprintf(m->u.want.wanted, sizeof(m->u.want.wanted), "%s",
	    loader_io_wanted_name(w));
	peers_send(e->peers, m);
}

void
loader_io_attempt_ended(struct entry *e, struct directory_replica *m,
    const struct request_params *w, enum attempt_outcome end, int status)
{
	if (end != ATTEMPT_REFUSED || w->model[0] == '\0')
		return;
	directory_exclude(m, loader_io_wanted_name(w),
	    e->now +
		(status == 421 && w->adapter[0] == '\0' ? ABSENT_AVOID_NS
							: REFUSED_AVOID_NS));
	/* The adapter is not loaded: unlisted until the next adapter table. */
	if (status == 421 && w->adapter[0] != '\0')
		name_list_remove(&m->info.adapters, w->adapter);
}

void
loader_io_note_unnamed(struct entry *e, const struct fleet_replica *r)
{
	struct log_subject about = { 0 };
	uint32_t n = r->resident.nunnamed + r->adapters.nunnamed +
	    r->loading_adapters.nunnamed;

	if (n == 0)
		return;
	e->counts.unnamed += n;
	about.backend = r->id;
	log_event(LOG_NAMES_LEFT_OUT, &about, "left_out=%u kept=%d", n,
	    NAME_LIST_MAX);
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
	enum order_answer answer;
	int valid;

	/* What it was is not known. */
	if (status == QUERY_TOO_LARGE)
		status = 0;
	answer = platform_order_result(status);

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
		snprintf(r.id, sizeof(r.id), "%s", c->o.replica);
		loader_io_note_unnamed(c->e, &r);
		fleet_replica_clear(&r);
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

/* An order to a model that has left the configuration bears its key. */
static const char *
full_model_name(const struct entry *e, const struct loader_order *o)
{
	const struct directory_replica *m = directory_find(&e->dir, o->replica);
	const struct fleet_service *s = NULL;
	const struct fleet_model *model = NULL;

	if (m != NULL && e->conf != NULL)
		s = fleet_find_service(e->conf, m->info.service);
	if (s != NULL && s->engine != NULL)
		model = fleet_find_model(s->engine, o->model);
	return model == NULL || model->full_name == NULL ? o->model
							 : model->full_name;
}

static void
send_order(struct entry *e, const struct loader_order *o)
{
	struct log_subject about = { 0 };
	struct query_spec spec = { 0 };
	struct order_call *c;
	struct buf out = { 0 };
	char *body = NULL;

	c = mem_alloc(sizeof(*c));
	c->e = e;
	c->o = *o;
	if (o->kind != LOADER_REPORT)
		body =
		    platform_order_body(o, full_model_name(e, o), e->boot.vm);
	fields_write_control_request(&out,
	    body == NULL ? REPORT_TARGET : ORDER_TARGET, o->addr, o->replica,
	    body);
	about.order = o->id;
	about.backend = o->replica;
	about.model = o->adapter[0] != '\0' ? o->adapter : o->model;
	if (body != NULL)
		log_event(LOG_ORDER_SENT, &about,
		    "%s expected=%llu fence=%llu window=%u",
		    o->kind == LOADER_LOAD ? "load" : "unload",
		    (unsigned long long)o->expected_sequence,
		    (unsigned long long)o->fence, o->window_loads);
	spec.pool = e->engines;
	spec.addr = o->addr;
	spec.request = &out;
	spec.send_by = o->send_by;
	spec.timeout_s = ORDER_TIMEOUT_S;
	/* Answers bear no id: a late copy would count for another order. */
	spec.single_use = o->kind != LOADER_REPORT;
	spec.callback = on_order_answer;
	spec.ctx = c;
	query_send(e, &spec);
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
	if (loader_is_leader(st->loader, e->now) && detour_io_yields_orders(e))
		loader_io_leave(e);
	loader_set_candidate(st->loader,
	    !e->stopping && e->dir.synced && e->now >= from &&
		detour_io_may_order(e) &&
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
		if (!t.is_leader)
			tell_loads(e);
	}
	if (t.is_leader)
		adapter_table_send(e);
	if (st->tell_loads_at != 0 && e->now >= st->tell_loads_at)
		tell_loads(e);
	st->load_requested = 0;
	st->round_ended_at = entry_update_now(e);
}

/* Tells the next holder which loads count for the weight store's rate. */
static void
tell_loads(struct entry *e)
{
	struct loader_io *st = e->loader_io;
	struct msg *m = msg_create(MSG_LOADS, "");
	struct loader_stats t;

	loader_get_stats(st->loader, e->now, &t);
	loader_get_loads(st->loader, e->now, &m->u.loads);
	/* A later holder has told its own. */
	if (m->u.loads.fence != t.fence) {
		st->tell_loads_at = 0;
		msg_destroy(m);
		return;
	}
	st->tell_loads_at =
	    m->u.loads.open != 0 ? e->now + TELL_LOADS_INTERVAL_NS : 0;
	peers_broadcast(e->peers, m);
}

void
loader_io_peer_started(struct entry *e, const char *addr)
{
	const struct loader *s = e->loader_io->loader;
	struct msg *m;

	if (!loader_knows_loads(s))
		return;
	m = msg_create(MSG_LOADS, addr);
	loader_get_loads(e->loader_io->loader, e->now, &m->u.loads);
	peers_send(e->peers, m);
}

void
loader_io_leave(struct entry *e)
{
	struct loader_orders orders;
	struct kv_ops kv;
	struct loader_output out = { &kv, &orders };

	TAILQ_INIT(&kv);
	TAILQ_INIT(&orders);
	/* Told before the lease is free to be taken. */
	if (loader_is_leader(e->loader_io->loader, e->now))
		tell_loads(e);
	loader_release(e->loader_io->loader, &out);
	send_orders(e, &kv, &orders);
}

void
loader_io_store_era(struct entry *e, uint64_t era)
{
	loader_set_era(e->loader_io->loader, e->now, era);
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
		adapter_table_apply(e, m);
		return;
	}
	if (m->kind == MSG_LOADS) {
		loader_take_loads(e->loader_io->loader, e->now, &m->u.loads);
		return;
	}
	if (m->kind != MSG_WANT)
		return;
	loader_request_adapter(e->loader_io->loader, e->now, m->u.want.wanted);
	e->loader_io->load_requested = 1;
}

/*
 * Once for all requests there are: a round of orders of a large fleet takes
 * longer than requests for loads are apart.
 */
void
loader_io_place_requested(struct entry *e)
{
	struct loader_io *st = e->loader_io;

	if (!st->load_requested ||
	    entry_update_now(e) < st->round_ended_at + ROUND_INTERVAL_NS)
		return;
	st->load_requested = 0;
	if (loader_is_leader(st->loader, e->now))
		loader_io_tick(e);
}

void
loader_io_totals(struct entry *e, struct loader_stats *t)
{
	loader_get_stats(e->loader_io->loader, e->now, t);
}
