#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "loader_int.h"

#define PLACEMENT_INTERVAL_NS (100 * NSEC_PER_MSEC)
/* Short, so that a new leader follows soon after a lease has expired. */
#define OWNERSHIP_RETRY_NS (300 * NSEC_PER_MSEC)
#define LIST_SETTLE_NS (2500 * NSEC_PER_MSEC)
#define REPORT_RETRY_NS (400 * NSEC_PER_MSEC)
/* The list shows what a report contains within a few heartbeats. */
#define REPORT_VALID_NS (4 * NSEC_PER_SEC)
#define BUSY_REPORT_RETRY_NS (700 * NSEC_PER_MSEC)
#define ORDER_RETRY_NS (300 * NSEC_PER_MSEC)
/* Until the first requests have been answered. */
#define SERVICE_TIME_DEFAULT_S 2.0
/* Several times the usual duration of a load. */
#define CHANGE_LISTED_MAX_NS (20 * NSEC_PER_SEC)

static struct engine_state *engine_state_get(
    struct loader *, const struct directory_replica *);
static void engine_states_update(
    struct loader *, uint64_t, const struct fleet_conf *);
static void engine_state_update(struct loader *, uint64_t,
    struct engine_state *, struct directory_replica *);
static void engine_states_resend(
    struct loader *, uint64_t, struct loader_output *);
static void engine_state_order_started(struct loader *, uint64_t,
    struct engine_state *, const struct loader_order *);
static const char *engine_state_outstanding_model(
    const struct engine_state *, enum loader_order_kind);
static void loader_update_list_settled(struct loader *, uint64_t);
static void loader_take_over(struct loader *, uint64_t);

static const char *const order_answer_names[ANSWER__MAX] = {
	[ANSWER_STARTED] = "started",
	[ANSWER_ALREADY_DONE] = "holds",
	[ANSWER_CONFLICT] = "conflict",
	[ANSWER_STALE] = "stale",
	[ANSWER_REFUSED] = "refused",
	[ANSWER_NONE] = "none",
};

const char *
order_answer_name(enum order_answer a)
{
	return order_answer_names[a];
}

void
loader_config_default(struct loader_config *c)
{
	placement_config_default(&c->place);
	c->lease_ttl_s = 2;
	c->takeover_delay_ns = 3 * NSEC_PER_SEC;
	c->load_window_ns = 5 * NSEC_PER_SEC;
	c->load_burst = 1.0;
	c->adapter_load_ns = 40 * NSEC_PER_MSEC;
}

struct loader *
loader_create(const struct loader_config *config, struct directory *dir,
    const struct node_id *self, struct kv_ids *ids)
{
	struct ownership_config oc;
	struct loader *s;

	s = mem_alloc(sizeof(*s));
	s->config = *config;
	s->directory = dir;
	s->service_time_s = SERVICE_TIME_DEFAULT_S;
	ownership_config_default(&oc);
	oc.ttl_s = config->lease_ttl_s;
	oc.retry_ns = OWNERSHIP_RETRY_NS;
	s->ownership = ownership_create(&oc, "orders", self, ids);
	return s;
}

void
loader_destroy(struct loader *s)
{
	struct engine_state *e, *next;

	if (s == NULL)
		return;
	HASH_ITER (hh, s->engines, e, next) {
		HASH_DEL(s->engines, e);
		engine_state_destroy(e);
	}
	lost_loads_clear(s);
	demand_clear(&s->demand);
	ownership_destroy(s->ownership);
	free(s->store_loads);
	free(s);
}

struct demand *
loader_demand(struct loader *s)
{
	return &s->demand;
}

void
loader_set_candidate(struct loader *s, int want, uint64_t not_before)
{
	ownership_set_candidate(s->ownership, want, not_before);
}

void
loader_set_service_time(struct loader *s, uint64_t ns)
{
	s->service_time_s = (double)ns / (double)NSEC_PER_SEC;
}

void
loader_superseded(struct loader *s, uint64_t fence)
{
	ownership_superseded(s->ownership, fence);
}

int
loader_is_leader(const struct loader *s, uint64_t now)
{
	return ownership_valid(s->ownership, now) && now >= s->leader_from &&
	    s->fence == ownership_fencing_token(s->ownership);
}

/* The model of an order in flight or without an answer, or "". */
static const char *
engine_state_outstanding_model(
    const struct engine_state *e, enum loader_order_kind kind)
{
	if ((e->order_id == 0 && !e->last_unanswered) ||
	    e->last_order.kind != kind || e->last_order.adapter[0] != '\0')
		return "";
	return e->last_order.model;
}

const char *
engine_state_loading_model(const struct engine_state *e)
{
	return e->loading[0] != '\0'
	    ? e->loading
	    : engine_state_outstanding_model(e, LOADER_LOAD);
}

const char *
engine_state_unloading_model(const struct engine_state *e)
{
	return e->unloading[0] != '\0'
	    ? e->unloading
	    : engine_state_outstanding_model(e, LOADER_UNLOAD);
}

const char *
loader_unloading_model(const struct loader *s, const char *replica)
{
	const struct engine_state *e = engine_state_find(s, replica);

	return e == NULL ? "" : engine_state_unloading_model(e);
}

uint64_t
loader_change_count(const struct loader *s)
{
	return s->change_count;
}

void
loader_get_stats(const struct loader *s, uint64_t now, struct loader_stats *t)
{
	*t = s->stats;
	t->fence = ownership_fencing_token(s->ownership);
	t->is_leader = loader_is_leader(s, now);
}

int
loader_kv_result(struct loader *s, uint64_t now, const struct kv_result *r,
    struct loader_output *out)
{
	return ownership_kv_result(s->ownership, now, r, out->kv);
}

void
loader_set_era(struct loader *s, uint64_t now, uint64_t era)
{
	ownership_set_era(s->ownership, now, era);
}

void
loader_release(struct loader *s, struct loader_output *out)
{
	ownership_release(s->ownership, out->kv);
}

void
engine_state_destroy(struct engine_state *e)
{
	name_list_clear(&e->reported);
	name_list_clear(&e->adapters);
	free(e->loading_adapters);
	free(e);
}

struct engine_state *
engine_state_find(const struct loader *s, const char *id)
{
	struct engine_state *e;

	HASH_FIND_STR(s->engines, id, e);
	return e;
}

static struct engine_state *
engine_state_get(struct loader *s, const struct directory_replica *m)
{
	struct engine_state *e = engine_state_find(s, m->info.id);

	if (e != NULL)
		return e;
	e = mem_alloc(sizeof(*e));
	snprintf(e->replica, sizeof(e->replica), "%s", m->info.id);
	e->started_ms = m->info.started_ms;
	/* An earlier leader may have sent orders. */
	e->sequence_unknown = 1;
	lost_loads_attach(s, e);
	HASH_ADD_STR(s->engines, replica, e);
	return e;
}

int
engine_state_accepts_orders(
    const struct loader *s, uint64_t now, const struct engine_state *e)
{
	(void)s;
	return e->order_id == 0 && e->report_id == 0 && !e->last_unanswered &&
	    !e->sequence_unknown && now >= e->next_order_at;
}

struct loader_order *
loader_send_order(struct loader *s, uint64_t now, struct engine_state *e,
    enum loader_order_kind kind, const char *model, const char *adapter,
    struct loader_output *out)
{
	const struct directory_replica *m =
	    directory_find(s->directory, e->replica);
	struct loader_order *o;

	o = mem_alloc(sizeof(*o));
	o->id = ++s->next_id;
	o->kind = kind;
	snprintf(o->replica, sizeof(o->replica), "%s", e->replica);
	snprintf(o->addr, sizeof(o->addr), "%s", m->info.addr);
	snprintf(o->model, sizeof(o->model), "%s", model);
	snprintf(o->adapter, sizeof(o->adapter), "%s", adapter);
	o->expected_sequence = e->sequence;
	o->fence = ownership_fencing_token(s->ownership);
	o->send_by = ownership_valid_until(s->ownership);
	o->started_ms = e->started_ms;
	if (kind == LOADER_REPORT) {
		e->report_id = o->id;
		e->next_report_at = now + REPORT_RETRY_NS;
	} else {
		e->order_id = o->id;
		e->last_order = *o;
		s->change_count += kind == LOADER_UNLOAD;
		if (kind == LOADER_LOAD)
			lost_load_sent(s, e, o);
	}
	TAILQ_INSERT_TAIL(out->orders, o, entry);
	return o;
}

/* Becomes leader: waits if there was an earlier one, forgets all sequences. */
static void
loader_take_over(struct loader *s, uint64_t now)
{
	struct engine_state *e, *next;

	s->leader_from = ownership_fencing_token(s->ownership) > 1
	    ? now + s->config.takeover_delay_ns
	    : now;
	s->fence = ownership_fencing_token(s->ownership);
	store_loads_take_over(s, now, s->fence);
	HASH_ITER (hh, s->engines, e, next) {
		HASH_DEL(s->engines, e);
		engine_state_destroy(e);
	}
}

/* Handles restarts, changes shown by the list, and adapters loaded by now. */
static void
engine_state_update(struct loader *s, uint64_t now, struct engine_state *e,
    struct directory_replica *m)
{
	if (m->info.started_ms != e->started_ms) {
		e->started_ms = m->info.started_ms;
		e->sequence = 0;
		e->last_unanswered = 0;
		e->sequence_unknown = 0;
		e->loading[0] = '\0';
		e->unloading[0] = '\0';
		name_list_truncate(&e->adapters);
		e->nloading_adapters = 0;
		name_list_truncate(&e->reported);
		s->change_count++;
	}
	if (now >= e->report_valid_until)
		name_list_truncate(&e->reported);
	if (fleet_has_model(&m->info, e->loading))
		e->loading[0] = '\0';
	if (e->unloading[0] != '\0' &&
	    !fleet_has_model(&m->info, e->unloading)) {
		engine_state_drop_adapters(e, e->unloading);
		e->unloading[0] = '\0';
	}
	if (now >= e->change_listed_by &&
	    (e->loading[0] != '\0' || e->unloading[0] != '\0')) {
		e->loading[0] = '\0';
		e->unloading[0] = '\0';
		e->sequence_unknown = 1;
	}
	s->change_count += adapters_loaded(e, now, m);
}

static void
engine_states_update(
    struct loader *s, uint64_t now, const struct fleet_conf *conf)
{
	const struct fleet_service *service;
	struct directory_replica *m;
	struct engine_state *e, *next;

	for (m = s->directory->replicas; m != NULL; m = m->hh.next) {
		service = fleet_find_service(conf, m->info.service);
		if (service != NULL && service->engine != NULL)
			engine_state_update(s, now, engine_state_get(s, m), m);
	}
	HASH_ITER (hh, s->engines, e, next) {
		if (directory_find(s->directory, e->replica) != NULL)
			continue;
		HASH_DEL(s->engines, e);
		engine_state_destroy(e);
	}
}

/*
 * Requests reports where the sequence is unknown, and repeats orders without an
 * answer unchanged: the replica accepts only one of the two, as both expect the
 * same sequence.
 */
static void
engine_states_resend(struct loader *s, uint64_t now, struct loader_output *out)
{
	struct loader_order last;
	struct loader_order *o;
	struct directory_replica *m;
	struct engine_state *e;

	for (e = s->engines; e != NULL; e = e->hh.next) {
		m = directory_find(s->directory, e->replica);
		if (m->presence == PRESENCE_REMOVED || e->order_id != 0 ||
		    e->report_id != 0)
			continue;
		if (e->sequence_unknown) {
			if (now >= e->next_report_at)
				loader_send_order(
				    s, now, e, LOADER_REPORT, "", "", out);
			continue;
		}
		if (!e->last_unanswered || now < e->next_order_at)
			continue;
		last = e->last_order;
		e->last_unanswered = 0;
		o = loader_send_order(
		    s, now, e, last.kind, last.model, last.adapter, out);
		store_load_repeated(s, now, last.id, o);
	}
}

/*
 * While replicas are still joining the list, loaded models may seem to have no
 * copy, so that only models with demand are placed until the list is stable.
 */
static void
loader_update_list_settled(struct loader *s, uint64_t now)
{
	uint32_t n = HASH_COUNT(s->engines);

	if (n > s->nengines)
		s->list_settled_at = now + LIST_SETTLE_NS;
	s->nengines = n;
}

void
loader_tick(struct loader *s, uint64_t now, const struct fleet_conf *conf,
    struct loader_output *out)
{
	uint32_t i;

	demand_update_averages(&s->demand, now);
	ownership_tick(s->ownership, now, out->kv);
	if (!ownership_valid(s->ownership, now) || conf == NULL ||
	    !s->directory->synced)
		return;
	if (s->fence != ownership_fencing_token(s->ownership))
		loader_take_over(s, now);
	lost_loads_expire(s, now);
	engine_states_update(s, now, conf);
	loader_update_list_settled(s, now);
	if (!loader_is_leader(s, now))
		return;
	engine_states_resend(s, now, out);
	for (i = 0; i < conf->nservices; i++) {
		if (conf->services[i].engine == NULL)
			continue;
		loader_place_adapters(s, now, &conf->services[i], out);
		if (now >= s->next_placement_at)
			loader_place_models(s, now, &conf->services[i], out);
	}
	if (now >= s->next_placement_at)
		s->next_placement_at = now + PLACEMENT_INTERVAL_NS;
}

void
loader_request_adapter(struct loader *s, uint64_t now, const char *wanted)
{
	demand_get_or_create(&s->demand, wanted)->last_waiting_at = now;
}

/* The replica accepted an order. */
static void
engine_state_order_started(struct loader *s, uint64_t now,
    struct engine_state *e, const struct loader_order *o)
{
	struct directory_replica *m = directory_find(s->directory, e->replica);

	e->sequence = o->expected_sequence + 1;
	e->change_listed_by = now + CHANGE_LISTED_MAX_NS;
	if (o->adapter[0] != '\0' && o->kind == LOADER_UNLOAD) {
		adapter_unloaded(e, m, o->adapter);
		s->change_count++;
	} else if (o->adapter[0] != '\0') {
		s->stats.adapter_loads++;
		adapter_load_started(
		    e, o->adapter, now + s->config.adapter_load_ns);
	} else if (o->kind == LOADER_LOAD) {
		s->stats.loads++;
		memcpy(e->loading, o->model, sizeof(e->loading));
	} else {
		s->stats.unloads++;
		memcpy(e->unloading, o->model, sizeof(e->unloading));
	}
}

void
loader_order_answered(struct loader *s, uint64_t now,
    const struct loader_order *o, enum order_answer answer)
{
	struct engine_state *e = engine_state_find(s, o->replica);

	store_load_answered(s, now, o, answer);
	lost_load_answered(s, now, o, answer);
	if (e == NULL || e->order_id != o->id)
		return;
	e->order_id = 0;
	if (o->started_ms != e->started_ms)
		return;
	switch (answer) {
	case ANSWER_STARTED:
		engine_state_order_started(s, now, e, o);
		return;
	case ANSWER_ALREADY_DONE:
		/* An engine unloads an adapter at once and counts that order.
		 */
		engine_state_order_started(s, now, e, o);
		if (o->kind != LOADER_UNLOAD)
			e->sequence = o->expected_sequence;
		return;
	case ANSWER_NONE:
		e->last_unanswered = 1;
		e->next_order_at = now + ORDER_RETRY_NS;
		break;
	case ANSWER_STALE:
		ownership_superseded(
		    s->ownership, ownership_fencing_token(s->ownership) + 1);
		break;
	default:
		e->sequence_unknown = 1;
		e->next_order_at = now + ORDER_RETRY_NS;
		break;
	}
	s->stats.failed++;
}

void
loader_report_received(struct loader *s, uint64_t now,
    const struct loader_order *o, const struct fleet_replica *r)
{
	struct engine_state *e = engine_state_find(s, o->replica);
	struct directory_replica *m = directory_find(s->directory, o->replica);

	if (e == NULL || m == NULL || e->report_id != o->id)
		return;
	e->report_id = 0;
	if (r == NULL || o->started_ms != e->started_ms)
		return;
	/* A report is some 100 ms old; a later order may have been accepted. */
	if (r->accepted_orders < e->sequence ||
	    (r->started_ms != 0 && r->started_ms != e->started_ms))
		return;
	e->sequence_unknown = 0;
	e->sequence = r->accepted_orders;
	name_list_copy(&e->reported, &r->resident);
	e->report_valid_until = now + REPORT_VALID_NS;
	engine_state_take_adapters(e, now + s->config.adapter_load_ns, m, r);
	/* An order of an earlier leader is being carried out. */
	if (r->busy) {
		e->sequence_unknown = 1;
		e->next_report_at = now + BUSY_REPORT_RETRY_NS;
	}
	s->change_count++;
}
