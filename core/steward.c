#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "steward_int.h"

#define PLACE_NS (100 * NSEC_PER_MSEC)
/* A free right to order is taken up soon after it lapsed. */
#define OWN_RETRY_NS (300 * NSEC_PER_MSEC)
#define SETTLE_NS (2500 * NSEC_PER_MSEC)
#define ASK_AGAIN_NS (400 * NSEC_PER_MSEC)
/* The list shows what a report told within a few heartbeats. */
#define REPORTED_NS (4 * NSEC_PER_SEC)
#define BUSY_ASK_NS (700 * NSEC_PER_MSEC)
#define REPEAT_NS (300 * NSEC_PER_MSEC)
/* A change shows in the list a few times its usual duration later at most. */
#define CHANGE_SHOWN_NS (20 * NSEC_PER_SEC)

static struct charge *charge_get(
    struct steward *, const struct member_replica *);
static void charges_step(struct steward *, uint64_t, const struct fleet_conf *);
static void charge_step(
    struct steward *, uint64_t, struct charge *, struct member_replica *);
static void charges_repeat(struct steward *, uint64_t, struct steward_out *);
static void charge_started(
    struct steward *, uint64_t, struct charge *, const struct steward_order *);
static const char *charge_pending(const struct charge *, enum steward_kind);
static int reports_model(const struct charge *, const char *);
static void adapter_add(struct fleet_replica *, const char *);
static void adapter_remove(struct fleet_replica *, const char *);
static void steward_settle(struct steward *, uint64_t);
static void steward_take_over(struct steward *, uint64_t);

static const char *const answer_names[ANSWER__MAX] = {
	[ANSWER_STARTED] = "started",
	[ANSWER_HOLDS] = "holds",
	[ANSWER_CONFLICT] = "conflict",
	[ANSWER_STALE] = "stale",
	[ANSWER_REFUSED] = "refused",
	[ANSWER_NONE] = "none",
};

const char *
order_answer_name(enum order_answer a)
{
	return answer_names[a];
}

void
steward_config_default(struct steward_config *c)
{
	swift_config_default(&c->place);
	c->lease_s = 2;
	c->apart_ns = 3 * NSEC_PER_SEC;
	c->window_ns = 5 * NSEC_PER_SEC;
	c->burst = 1.0;
	c->adapter_ns = 40 * NSEC_PER_MSEC;
}

struct steward *
steward_create(const struct steward_config *config, struct directory *dir,
    const struct node_id *self, struct kv_ids *ids)
{
	struct own_config oc;
	struct steward *s;

	s = mem_alloc(sizeof(*s));
	s->config = *config;
	s->dir = dir;
	own_config_default(&oc);
	oc.ttl_s = config->lease_s;
	oc.retry_ns = OWN_RETRY_NS;
	s->own = own_create(&oc, "orders", self, ids);
	return s;
}

void
steward_destroy(struct steward *s)
{
	struct charge *c, *next;

	if (s == NULL)
		return;
	HASH_ITER (hh, s->charges, c, next) {
		HASH_DEL(s->charges, c);
		free(c);
	}
	demand_clear(&s->demand);
	own_destroy(s->own);
	free(s);
}

struct demand *
steward_demand(struct steward *s)
{
	return &s->demand;
}

void
steward_candidate(struct steward *s, int want, uint64_t not_before)
{
	own_want(s->own, want, not_before);
}

void
steward_superseded(struct steward *s, uint64_t fence)
{
	own_superseded(s->own, fence);
}

int
steward_holds(const struct steward *s, uint64_t now)
{
	return own_valid(s->own, now) && now >= s->order_from &&
	    s->fence == own_fence(s->own);
}

/* The model of an order that may yet be carried out. */
static const char *
charge_pending(const struct charge *c, enum steward_kind kind)
{
	if ((c->order == 0 && !c->unanswered) || c->last.kind != kind ||
	    c->last.adapter[0] != '\0')
		return "";
	return c->last.model;
}

const char *
charge_loading(const struct charge *c)
{
	return c->loading[0] != '\0' ? c->loading
				     : charge_pending(c, STEWARD_LOAD);
}

const char *
charge_unloading(const struct charge *c)
{
	return c->unloading[0] != '\0' ? c->unloading
				       : charge_pending(c, STEWARD_UNLOAD);
}

const char *
steward_leaving(const struct steward *s, const char *replica)
{
	const struct charge *c = charge_find(s, replica);

	return c == NULL ? "" : charge_unloading(c);
}

uint64_t
steward_changes(const struct steward *s)
{
	return s->changes;
}

void
steward_totals(const struct steward *s, uint64_t now, struct steward_totals *t)
{
	*t = s->totals;
	t->fence = own_fence(s->own);
	t->holds = steward_holds(s, now);
}

int
steward_kv(struct steward *s, uint64_t now, const struct kv_result *r,
    struct steward_out *out)
{
	return own_result(s->own, now, r, out->kv);
}

void
steward_release(struct steward *s, struct steward_out *out)
{
	own_release(s->own, out->kv);
}

struct charge *
charge_find(const struct steward *s, const char *id)
{
	struct charge *c;

	HASH_FIND_STR(s->charges, id, c);
	return c;
}

static struct charge *
charge_get(struct steward *s, const struct member_replica *m)
{
	struct charge *c = charge_find(s, m->info.id);

	if (c != NULL)
		return c;
	c = mem_alloc(sizeof(*c));
	snprintf(c->replica, sizeof(c->replica), "%s", m->info.id);
	c->born_ms = m->info.born_ms;
	/* An earlier holder may have given orders. */
	c->doubtful = 1;
	HASH_ADD_STR(s->charges, replica, c);
	return c;
}

int
charge_free(const struct steward *s, uint64_t now, const struct charge *c)
{
	(void)s;
	return c->order == 0 && c->asked == 0 && !c->unanswered &&
	    !c->doubtful && now >= c->again_at;
}

/* Whether its last report named a model that the list may not show yet. */
static int
reports_model(const struct charge *c, const char *model)
{
	uint32_t i;

	for (i = 0; i < c->nreported; i++) {
		if (strcmp(c->reported[i], model) == 0)
			return 1;
	}
	return 0;
}

uint64_t
charge_left_mb(const struct charge *c, const struct member_replica *m,
    const struct fleet_engine *g)
{
	const struct fleet_model *fm;
	uint64_t adapter_mb = 0;
	uint64_t used = 0;
	uint32_t i;

	for (i = 0; i < g->nmodels; i++) {
		fm = &g->models[i];
		if (fm->adapter_mb > adapter_mb && fm->adapters != 0)
			adapter_mb = fm->adapter_mb;
		if (fleet_has_model(&m->info, fm->name) ||
		    strcmp(charge_loading(c), fm->name) == 0 ||
		    reports_model(c, fm->name) || charge_haunted(c, fm->name))
			used += fm->memory_mb;
	}
	/* Models that the configuration does not know use unknown memory. */
	for (i = 0; i < m->info.nresident; i++) {
		if (fleet_model(g, m->info.resident[i]) == NULL)
			used += g->memory_mb;
	}
	used += adapter_mb * g->adapter_slots;
	return used >= g->memory_mb ? 0 : g->memory_mb - used;
}

struct steward_order *
steward_send(struct steward *s, uint64_t now, struct charge *c,
    enum steward_kind kind, const char *model, const char *adapter,
    struct steward_out *out)
{
	const struct member_replica *m = directory_find(s->dir, c->replica);
	struct steward_order *o;

	o = mem_alloc(sizeof(*o));
	o->id = ++s->next_id;
	o->kind = kind;
	snprintf(o->replica, sizeof(o->replica), "%s", c->replica);
	snprintf(o->addr, sizeof(o->addr), "%s", m->info.addr);
	snprintf(o->model, sizeof(o->model), "%s", model);
	snprintf(o->adapter, sizeof(o->adapter), "%s", adapter);
	o->expected = c->sequence;
	o->fence = own_fence(s->own);
	o->born_ms = c->born_ms;
	if (kind == STEWARD_REPORT) {
		c->asked = o->id;
		c->ask_at = now + ASK_AGAIN_NS;
	} else {
		c->order = o->id;
		c->last = *o;
		s->changes += kind == STEWARD_UNLOAD;
	}
	TAILQ_INSERT_TAIL(out->orders, o, entry);
	return o;
}

/* A new ownership starts as if half of the loads of a window were used. */
static void
steward_take_over(struct steward *s, uint64_t now)
{
	struct charge *c, *next;

	s->order_from = own_fence(s->own) > 1 ? now + s->config.apart_ns : now;
	s->fence = own_fence(s->own);
	s->nloads = 0;
	HASH_ITER (hh, s->charges, c, next) {
		HASH_DEL(s->charges, c);
		free(c);
	}
}

static void
adapter_add(struct fleet_replica *r, const char *adapter)
{
	if (fleet_has_adapter(r, adapter) || r->nadapters == FLEET_ADAPTERS_MAX)
		return;
	snprintf(r->adapters[r->nadapters++], FLEET_NAME_SIZE, "%s", adapter);
}

static void
adapter_remove(struct fleet_replica *r, const char *adapter)
{
	uint32_t i;

	for (i = 0; i < r->nadapters; i++) {
		if (strcmp(r->adapters[i], adapter) != 0)
			continue;
		r->nadapters--;
		memmove(
		    r->adapters[i], r->adapters[r->nadapters], FLEET_NAME_SIZE);
		return;
	}
}

/* Notices restarts, changes that the list shows, and adapters come in. */
static void
charge_step(
    struct steward *s, uint64_t now, struct charge *c, struct member_replica *m)
{
	uint32_t i;

	if (m->info.born_ms != c->born_ms) {
		c->born_ms = m->info.born_ms;
		c->sequence = 0;
		c->unanswered = 0;
		c->doubtful = 0;
		c->loading[0] = '\0';
		c->unloading[0] = '\0';
		c->ncoming = 0;
		c->nreported = 0;
		s->changes++;
	}
	ghosts_step(c, now);
	if (now >= c->reported_until)
		c->nreported = 0;
	if (fleet_has_model(&m->info, c->loading))
		c->loading[0] = '\0';
	if (!fleet_has_model(&m->info, c->unloading))
		c->unloading[0] = '\0';
	if (now >= c->until &&
	    (c->loading[0] != '\0' || c->unloading[0] != '\0')) {
		c->loading[0] = '\0';
		c->unloading[0] = '\0';
		c->doubtful = 1;
	}
	for (i = 0; i < c->ncoming; i++) {
		if (now < c->coming[i].ready_at)
			continue;
		adapter_add(&m->info, c->coming[i].adapter);
		c->coming[i--] = c->coming[--c->ncoming];
		s->changes++;
	}
}

static void
charges_step(struct steward *s, uint64_t now, const struct fleet_conf *conf)
{
	const struct fleet_service *service;
	struct member_replica *m;
	struct charge *c, *next;

	for (m = s->dir->replicas; m != NULL; m = m->hh.next) {
		service = fleet_service(conf, m->info.service);
		if (service != NULL && service->engine != NULL)
			charge_step(s, now, charge_get(s, m), m);
	}
	HASH_ITER (hh, s->charges, c, next) {
		if (directory_find(s->dir, c->replica) != NULL)
			continue;
		HASH_DEL(s->charges, c);
		free(c);
	}
}

/*
 * An order without an answer is sent again as it was: only one of the two
 * finds the sequence that it expects.
 */
static void
charges_repeat(struct steward *s, uint64_t now, struct steward_out *out)
{
	struct steward_order last;
	struct member_replica *m;
	struct charge *c;

	for (c = s->charges; c != NULL; c = c->hh.next) {
		m = directory_find(s->dir, c->replica);
		if (m->presence == PRESENT_GONE || c->order != 0 ||
		    c->asked != 0)
			continue;
		if (c->doubtful) {
			if (now >= c->ask_at)
				steward_send(
				    s, now, c, STEWARD_REPORT, "", "", out);
			continue;
		}
		if (!c->unanswered || now < c->again_at)
			continue;
		last = c->last;
		c->unanswered = 0;
		steward_send(
		    s, now, c, last.kind, last.model, last.adapter, out);
	}
}

/*
 * While replicas come into the list, models seem absent that are not; only
 * those that somebody asks for are placed then.
 */
static void
steward_settle(struct steward *s, uint64_t now)
{
	uint32_t n = HASH_COUNT(s->charges);

	if (n > s->nlisted)
		s->settled_at = now + SETTLE_NS;
	s->nlisted = n;
}

void
steward_tick(struct steward *s, uint64_t now, const struct fleet_conf *conf,
    struct steward_out *out)
{
	uint32_t i;

	demand_update_averages(&s->demand, now);
	own_tick(s->own, now, out->kv);
	if (!own_valid(s->own, now) || conf == NULL || !s->dir->known)
		return;
	if (s->fence != own_fence(s->own))
		steward_take_over(s, now);
	charges_step(s, now, conf);
	steward_settle(s, now);
	if (!steward_holds(s, now))
		return;
	charges_repeat(s, now, out);
	for (i = 0; i < conf->nservices; i++) {
		if (conf->services[i].engine == NULL)
			continue;
		steward_adapt(s, now, &conf->services[i], out);
		if (now >= s->place_at)
			steward_place(s, now, &conf->services[i], out);
	}
	if (now >= s->place_at)
		s->place_at = now + PLACE_NS;
}

void
steward_asked(struct steward *s, uint64_t now, const char *wanted)
{
	demand_get_or_create(&s->demand, wanted)->last_waiting_at = now;
}

/* The replica has accepted an order. */
static void
charge_started(struct steward *s, uint64_t now, struct charge *c,
    const struct steward_order *o)
{
	struct member_replica *m = directory_find(s->dir, c->replica);
	struct coming *in;

	c->sequence = o->expected + 1;
	c->until = now + CHANGE_SHOWN_NS;
	if (o->adapter[0] != '\0' && o->kind == STEWARD_UNLOAD) {
		if (m != NULL)
			adapter_remove(&m->info, o->adapter);
		s->changes++;
	} else if (o->adapter[0] != '\0') {
		s->totals.adapter_loads++;
		if (c->ncoming == FLEET_COMING_MAX)
			return;
		in = &c->coming[c->ncoming++];
		memcpy(in->adapter, o->adapter, sizeof(in->adapter));
		in->ready_at = now + s->config.adapter_ns;
	} else if (o->kind == STEWARD_LOAD) {
		s->totals.loads++;
		memcpy(c->loading, o->model, sizeof(c->loading));
	} else {
		s->totals.unloads++;
		memcpy(c->unloading, o->model, sizeof(c->unloading));
	}
}

void
steward_answer(struct steward *s, uint64_t now, const struct steward_order *o,
    enum order_answer answer)
{
	struct charge *c = charge_find(s, o->replica);

	if (c == NULL || c->order != o->id)
		return;
	c->order = 0;
	if (answer == ANSWER_NONE)
		ghost_add(c, now, o);
	if (o->born_ms != c->born_ms)
		return;
	switch (answer) {
	case ANSWER_STARTED:
		charge_started(s, now, c, o);
		return;
	case ANSWER_HOLDS:
		/* Unused adapters are dropped at once, and that counts. */
		charge_started(s, now, c, o);
		if (o->kind != STEWARD_UNLOAD)
			c->sequence = o->expected;
		return;
	case ANSWER_NONE:
		c->unanswered = 1;
		c->again_at = now + REPEAT_NS;
		break;
	case ANSWER_STALE:
		own_superseded(s->own, own_fence(s->own) + 1);
		break;
	default:
		c->doubtful = 1;
		c->again_at = now + REPEAT_NS;
		break;
	}
	s->totals.failed++;
}

void
steward_report(struct steward *s, uint64_t now, const struct steward_order *o,
    const struct fleet_replica *r)
{
	struct charge *c = charge_find(s, o->replica);
	struct member_replica *m = directory_find(s->dir, o->replica);
	uint32_t i;

	if (c == NULL || m == NULL || c->asked != o->id)
		return;
	c->asked = 0;
	if (r == NULL || o->born_ms != c->born_ms)
		return;
	/* Its word is some hundred ms old; an order of ours may be newer. */
	if (r->orders < c->sequence ||
	    (r->born_ms != 0 && r->born_ms != c->born_ms))
		return;
	c->doubtful = 0;
	c->sequence = r->orders;
	c->nreported = r->nresident;
	memcpy(c->reported, r->resident, sizeof(c->reported));
	c->reported_until = now + REPORTED_NS;
	m->info.nadapters = r->nadapters;
	memcpy(m->info.adapters, r->adapters, sizeof(r->adapters));
	c->ncoming = r->ncoming;
	for (i = 0; i < r->ncoming; i++) {
		memcpy(c->coming[i].adapter, r->coming[i], FLEET_NAME_SIZE);
		c->coming[i].ready_at = now + s->config.adapter_ns;
	}
	/* An order of an earlier holder is under way. */
	if (r->busy) {
		c->doubtful = 1;
		c->ask_at = now + BUSY_ASK_NS;
	}
	s->changes++;
}
