/* Demand for models and adapters: counted here, reported, and summed up. */
#include <stdio.h>
#include <string.h>

#include "forward_int.h"
#include "loader_io_int.h"
#include "mem.h"
#include "peers.h"

/* Sources of demand: this process, then the peers by their index. */
#define DEMAND_SOURCE_SELF 0
#define DEMAND_SOURCE_PEERS 1
/* After the last waiting request, so that receivers learn that none waits. */
#define WAITING_REPORTED_NS (1 * NSEC_PER_SEC)
/* Reported for so long after the last request, should a report be lost. */
#define DEMAND_REPORTED_NS (2 * NSEC_PER_SEC)

static void count_arrival(struct demand_count *, uint64_t);
static void count_demand(struct demand_count *, const struct forward *);
static void update_demand_counts(struct entry *);
static void add_demand(
    struct msg_front *, const char *, uint64_t, uint32_t, uint32_t);
static void apply_demand(struct entry *, struct demand *, const struct msg *);

struct demand_count *
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

const char *
loader_io_wanted_name(const struct request_params *w)
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

/* Names without requests within DEMAND_REPORTED_NS are left out. */
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
