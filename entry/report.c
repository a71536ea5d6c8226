/*
 * Load reports between the entry processes.  In a small fleet each process
 * reports to all.  In a large one reports go up and down a tree: a process to
 * the relay of its data centre, relays to each other as sums, and each relay
 * the rest of the fleet's work to the processes of its own.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "peers_int.h"
#include "loader_io.h"
#include "permit_io.h"
#include "poison_io.h"
#include "session.h"

#define REPORT_NS (100 * NSEC_PER_MSEC)	    /* report interval */
#define REPORT_SOON_NS (10 * NSEC_PER_MSEC) /* after a change of load */
#define REPORT_TREE_NS (200 * NSEC_PER_MSEC)
#define LIMITS_NS (300 * NSEC_PER_MSEC) /* between reports with limits */

/* Peers whose work is part of a sum, by index. */
struct selection {
	uint32_t n;
	char *selected;
};

static struct msg *compose_report(struct peers *, enum front_scope);
static int is_selected(const void *, uint32_t);
static int reports_load(
    const struct peers *, const struct peer *, const struct msg_front *);
static struct replica_load *sum_work(
    const struct peers *, int (*)(const void *, uint32_t), const void *);
static int select_every(const void *, uint32_t);
static void fill_work(struct peers *, struct msg_front *,
    const struct replica_load *, const struct peer *);
static void send_copy(struct peers *, const struct msg *, const char *);
static void relay_to_fleet(struct peers *);
static void relay_to_zone(struct peers *);
static void report_to_zone(struct peers *);
static void apply_rank(struct peers *, struct peer *, const struct msg_front *);

/* Whether a report's work is not contained in another one that is applied. */
static int
reports_load(
    const struct peers *p, const struct peer *q, const struct msg_front *f)
{
	if (!peers_use_relays(p))
		return f->scope == FRONT_OWN;
	if (peers_is_relay(p))
		return f->scope == FRONT_ZONE ||
		    (f->scope == FRONT_OWN && peers_in_zone(p, q));
	return f->scope == FRONT_ALL;
}

/*
 * A process without weight does not reach the store; others may not either.
 * One that reports to others than its relay calls the roll.
 */
static void
apply_rank(struct peers *p, struct peer *q, const struct msg_front *f)
{
	int lost = q->relay.weight != 0 && f->weight == 0;

	peer_set_rank(q, f->weight, f->zone);
	if (!peers_use_relays(p) || !peers_in_zone(p, q))
		return;
	if (lost)
		session_doubt_store(p->e->session);
	if (f->scope == FRONT_OWN && !peers_is_relay(p) &&
	    q->relay.hub_since == 0)
		p->tells_zone |= roll_call_start(&p->roll_call, p->e->now);
}

void
peers_apply_report(struct peers *p, struct peer *q, const struct msg *m)
{
	const struct msg_front *f = &m->u.front;
	struct entry *e = p->e;
	struct replica_load w;
	uint32_t i;

	if (m->seq <= q->seq)
		return;
	q->seq = m->seq;
	snprintf(q->vm, sizeof(q->vm), "%s", f->vm);
	apply_rank(p, q, f);
	q->hub.stopping = f->stopping != 0;
	q->relay.stopping = q->hub.stopping;
	if (reports_load(p, q, f)) {
		directory_reset_peer_load(&e->dir, e->now, q->index);
		for (i = 0; i < f->nwork; i++) {
			w.running = f->work[i].running;
			w.unread_us = f->work[i].unread_us;
			w.recent_us = f->work[i].recent_us;
			w.tokens = f->work[i].tokens;
			directory_set_peer_load(
			    &e->dir, q->index, f->work[i].replica, &w);
		}
	}
	/* Relays and the lease holder have the sums of all data centres. */
	if (!peers_use_relays(p) || f->scope == FRONT_ZONE ||
	    (f->scope == FRONT_ALL && !p->knows_fleet))
		loader_io_apply_demand(e, m);
	else if (f->scope == FRONT_OWN && peers_is_relay(p) &&
	    peers_in_zone(p, q))
		loader_io_apply_zone_demand(e, m);
	poison_io_apply(e->poison_io, f);
	permit_io_apply(e->permit_io, q->hub.addr, f);
	if (f->stopping)
		loader_io_peer_stopping(e, q->hub.addr);
	peers_compare_versions(p, q, f);
}

static struct msg *
compose_report(struct peers *p, enum front_scope scope)
{
	struct entry *e = p->e;
	struct msg *m;

	m = msg_create(MSG_FRONT, "");
	snprintf(m->u.front.vm, sizeof(m->u.front.vm), "%s", e->boot.vm);
	snprintf(m->u.front.zone, sizeof(m->u.front.zone), "%s", e->boot.zone);
	m->u.front.scope = scope;
	m->u.front.version = e->conf == NULL ? 0 : e->conf->version;
	m->u.front.list_revision = revision_short(e->dir.revision);
	m->u.front.list_digest = e->dir.digest;
	m->u.front.stopping = (uint32_t)e->stopping;
	m->u.front.weight = p->self.weight;
	poison_io_fill(e->poison_io, &m->u.front);
	permit_io_fill(e->permit_io, &m->u.front, p->e->now >= p->limits_at);
	return m;
}

static int
is_selected(const void *ctx, uint32_t peer)
{
	const struct selection *s = ctx;

	return peer < s->n && s->selected[peer];
}

static int
select_every(const void *ctx, uint32_t peer)
{
	(void)ctx;
	(void)peer;
	return 1;
}

/* Sums the work of the selected peers per replica, in the directory's order. */
static struct replica_load *
sum_work(const struct peers *p, int (*select)(const void *, uint32_t),
    const void *ctx)
{
	const struct directory_replica *r = p->e->dir.replicas;
	struct replica_load *all;
	struct replica_load *w;

	all = mem_alloc((HASH_COUNT(r) + 1) * sizeof(*all));
	for (w = all; r != NULL; r = r->hh.next, w++)
		*w = directory_selected_load(
		    &p->e->dir, p->e->now, r, select, ctx);
	return all;
}

/*
 * Fills in this process's work, and that of others if given, less the work of
 * the receiver.
 */
static void
fill_work(struct peers *p, struct msg_front *f,
    const struct replica_load *others, const struct peer *to)
{
	struct directory *d = &p->e->dir;
	const struct directory_replica *r;
	struct replica_load none = { 0, 0, 0, 0 };
	struct replica_load less = none;
	const struct replica_load *add = others == NULL ? &none : others;
	struct msg_work *w;

	f->work = mem_alloc((HASH_COUNT(d->replicas) + 1) * sizeof(*f->work));
	for (r = d->replicas; r != NULL && f->nwork < MSG_LIST_MAX - 1;
	     r = r->hh.next) {
		if (to != NULL)
			less = directory_peer_load(d, p->e->now, r, to->index);
		w = &f->work[f->nwork];
		w->running =
		    r->local_load.running + add->running - less.running;
		w->unread_us =
		    r->local_load.unread_us + add->unread_us - less.unread_us;
		w->recent_us = directory_recent_prefill_us(d, p->e->now, r) +
		    add->recent_us - less.recent_us;
		w->tokens = r->local_load.tokens + add->tokens - less.tokens;
		if (others != NULL)
			add++;
		if (w->running == 0 && w->recent_us == 0)
			continue;
		memcpy(w->replica, r->info.id, NAME_SIZE);
		f->nwork++;
	}
}

static void
send_copy(struct peers *p, const struct msg *m, const char *addr)
{
	struct msg *copy = msg_copy(m);

	snprintf(copy->to, sizeof(copy->to), "%s", addr);
	bus_send(p->bus, copy);
}

/* Reports the sum of this data centre to the relays and the lease holder. */
static void
relay_to_fleet(struct peers *p)
{
	struct selection s = { p->next_index, NULL };
	struct replica_load *zone;
	struct peer *q;
	struct msg *m = compose_report(p, FRONT_ZONE);

	s.selected = mem_alloc(p->next_index + 1);
	for (q = p->peers; q != NULL; q = q->hh.next)
		s.selected[q->index] = (char)peers_in_zone(p, q);
	zone = sum_work(p, is_selected, &s);
	fill_work(p, &m->u.front, zone, NULL);
	loader_io_fill_zone_demand(p->e, &m->u.front);
	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (q->relay.hub_since != 0 ||
		    loader_io_is_holder(p->e, q->hub.addr))
			send_copy(p, m, q->hub.addr);
	}
	free(zone);
	free(s.selected);
	msg_destroy(m);
}

/* Reports the work of all others to each process of this data centre. */
static void
relay_to_zone(struct peers *p)
{
	struct replica_load *all = sum_work(p, select_every, NULL);
	struct peer *q;
	struct msg *m;

	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (!peers_in_zone(p, q))
			continue;
		m = compose_report(p, FRONT_ALL);
		snprintf(m->to, sizeof(m->to), "%s", q->hub.addr);
		fill_work(p, &m->u.front, all, q);
		loader_io_fill_waiting(p->e, &m->u.front);
		bus_send(p->bus, m);
	}
	free(all);
}

void
peers_report_soon(struct peers *p)
{
	if (!peers_use_relays(p) && p->report_at > p->e->now + REPORT_SOON_NS)
		p->report_at = p->e->now + REPORT_SOON_NS;
}

void
peers_report_to_all(struct peers *p)
{
	struct msg *m = compose_report(p, FRONT_OWN);

	fill_work(p, &m->u.front, NULL, NULL);
	loader_io_fill_demand(p->e, &m->u.front);
	peers_broadcast(p, m);
}

/*
 * A process that gives a duty up, or takes it back, says so at once to those
 * that go by it: they would take the duty from it only after a silence.  In a
 * roll call each says that it is alive.
 */
static void
report_to_zone(struct peers *p)
{
	struct msg *m;

	if (p->self.weight == p->reported_weight && !p->tells_zone)
		return;
	p->reported_weight = p->self.weight;
	p->tells_zone = 0;
	if (!peers_use_relays(p))
		return;
	m = compose_report(p, FRONT_OWN);
	fill_work(p, &m->u.front, NULL, NULL);
	loader_io_fill_demand(p->e, &m->u.front);
	peers_send_to_own_zone(p, m);
}

void
peers_report(struct peers *p)
{
	struct msg *m;

	report_to_zone(p);
	if (p->e->now < p->report_at)
		return;
	p->report_at =
	    p->e->now + (peers_use_relays(p) ? REPORT_TREE_NS : REPORT_NS);
	if (!peers_use_relays(p))
		peers_report_to_all(p);
	else if (peers_is_relay(p)) {
		relay_to_fleet(p);
		relay_to_zone(p);
	} else if (p->relay != NULL) {
		m = compose_report(p, FRONT_OWN);
		fill_work(p, &m->u.front, NULL, NULL);
		loader_io_fill_demand(p->e, &m->u.front);
		send_copy(p, m, p->relay->addr);
		msg_destroy(m);
	}
	if (p->e->now >= p->limits_at)
		p->limits_at = p->e->now + LIMITS_NS;
}
