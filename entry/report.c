/*
 * Load reports between the entry processes: sent to every peer in a small
 * fleet, aggregated by the hubs in a large one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "peers_int.h"
#include "loader_io.h"

#define REPORT_NS (100 * NSEC_PER_MSEC)	    /* report interval */
#define REPORT_SOON_NS (10 * NSEC_PER_MSEC) /* after a change of load */
/* With more peers, reports go to the hubs, which aggregate them. */
#define REPORT_DIRECT_MAX_PEERS 15
#define REPORT_VIA_HUBS_NS (200 * NSEC_PER_MSEC)

static struct msg *compose_report(struct peers *);
static struct replica_load *sum_peer_work(const struct peers *);
static struct replica_load peer_work(const struct peers *, const struct peer *,
    const struct directory_replica *);
static void add_peer_work(const struct peers *, const struct replica_load *,
    const struct peer *, struct msg_front *);
static void report_via_hubs(struct peers *, struct msg *);

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
	q->hub.weight = f->weight;
	directory_reset_peer_load(&e->dir, e->now, q->index);
	for (i = 0; i < f->nwork; i++) {
		w.running = f->work[i].running;
		w.unread_us = f->work[i].unread_us;
		w.recent_us = f->work[i].recent_us;
		w.tokens = f->work[i].tokens;
		directory_set_peer_load(
		    &e->dir, q->index, f->work[i].replica, &w);
	}
	loader_io_apply_demand(e, m);
	if (f->stopping)
		loader_io_peer_stopping(e, q->hub.addr);
	peers_compare_versions(p, q, f);
}

static struct msg *
compose_report(struct peers *p)
{
	struct entry *e = p->e;
	struct directory_replica *r;
	struct msg_work *w;
	struct msg *m;
	uint32_t recent;

	m = msg_create(MSG_FRONT, "");
	snprintf(m->u.front.vm, sizeof(m->u.front.vm), "%s", e->boot.vm);
	m->u.front.version = e->conf == NULL ? 0 : e->conf->version;
	m->u.front.list_revision = e->dir.revision;
	m->u.front.list_digest = e->dir.digest;
	m->u.front.stopping = (uint32_t)e->stopping;
	m->u.front.weight = p->self.weight;
	m->u.front.work = mem_alloc(
	    (HASH_COUNT(e->dir.replicas) + 1) * sizeof(*m->u.front.work));
	for (r = e->dir.replicas; r != NULL; r = r->hh.next) {
		recent = directory_recent_prefill_us(&e->dir, e->now, r);
		if ((r->local_load.running == 0 && recent == 0) ||
		    m->u.front.nwork == MSG_LIST_MAX - 1)
			continue;
		w = &m->u.front.work[m->u.front.nwork++];
		snprintf(w->replica, sizeof(w->replica), "%s", r->info.id);
		w->running = r->local_load.running;
		w->unread_us = r->local_load.unread_us;
		w->recent_us = recent;
		w->tokens = r->local_load.tokens;
	}
	loader_io_fill_demand(e, &m->u.front);
	return m;
}

/* Sums the work of all peers per replica, in the directory's order. */
static struct replica_load *
sum_peer_work(const struct peers *p)
{
	const struct directory_replica *r = p->e->dir.replicas;
	struct replica_load *all;
	struct replica_load *w;

	all = mem_alloc((HASH_COUNT(r) + 1) * sizeof(*all));
	for (w = all; r != NULL; r = r->hh.next, w++)
		*w = directory_peers_load(&p->e->dir, p->e->now, r);
	return all;
}

/* The work on a replica in a peer's latest report. */
static struct replica_load
peer_work(const struct peers *p, const struct peer *q,
    const struct directory_replica *r)
{
	return directory_peer_load(&p->e->dir, p->e->now, r, q->index);
}

/* Adds all peers' work, except the receiver's, to a copy of a hub's report. */
static void
add_peer_work(const struct peers *p, const struct replica_load *all,
    const struct peer *to, struct msg_front *f)
{
	const struct directory_replica *r = p->e->dir.replicas;
	struct replica_load own;
	const struct msg_work *here;
	struct msg_work *list;
	uint32_t at = 0;
	uint32_t n = 0;

	list = mem_alloc((HASH_COUNT(r) + 1) * sizeof(*list));
	for (; r != NULL && n < MSG_LIST_MAX - 1; r = r->hh.next, all++) {
		own = peer_work(p, to, r);
		/* The report lists replicas in the same order. */
		here = at < f->nwork &&
			strcmp(f->work[at].replica, r->info.id) == 0
		    ? &f->work[at++]
		    : NULL;
		if (here != NULL)
			list[n] = *here;
		list[n].running += all->running - own.running;
		list[n].unread_us += all->unread_us - own.unread_us;
		list[n].recent_us += all->recent_us - own.recent_us;
		list[n].tokens += all->tokens - own.tokens;
		if (list[n].running == 0 && list[n].recent_us == 0)
			continue;
		memcpy(list[n++].replica, r->info.id, NAME_SIZE);
	}
	free(f->work);
	f->work = list;
	f->nwork = n;
}

/*
 * In a large fleet, reports go to the hubs and the lease holder; hubs send the
 * aggregate to the other processes.
 */
static void
report_via_hubs(struct peers *p, struct msg *report)
{
	uint32_t rank = peers_hub_rank(p);
	struct replica_load *all = NULL;
	struct msg *m;
	struct peer *q;

	if (rank < p->nhubs)
		all = sum_peer_work(p);
	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (rank == p->nhubs && q->hub.hub_since == 0 &&
		    !loader_io_is_holder(p->e, q->hub.addr))
			continue;
		m = msg_copy(report);
		snprintf(m->to, sizeof(m->to), "%s", q->hub.addr);
		if (rank < p->nhubs && q->hub.hub_since == 0) {
			/* Its own hub reports this hub's work as well. */
			if (q->relay_rank == rank)
				add_peer_work(p, all, q, &m->u.front);
			else
				m->u.front.nwork = 0;
		}
		bus_send(p->bus, m);
	}
	free(all);
	msg_destroy(report);
}

void
peers_report_soon(struct peers *p)
{
	if (peers_count(p) <= REPORT_DIRECT_MAX_PEERS &&
	    p->report_at > p->e->now + REPORT_SOON_NS)
		p->report_at = p->e->now + REPORT_SOON_NS;
}

void
peers_report(struct peers *p)
{
	int direct = peers_count(p) <= REPORT_DIRECT_MAX_PEERS;

	if (p->e->now < p->report_at)
		return;
	p->report_at = p->e->now + (direct ? REPORT_NS : REPORT_VIA_HUBS_NS);
	if (direct || p->e->stopping)
		peers_broadcast(p, compose_report(p));
	else
		report_via_hubs(p, compose_report(p));
}
