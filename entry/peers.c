/* Peers: who they are, and the messages between them. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "announce.h"
#include "bus.h"
#include "hubs.h"
#include "mem.h"
#include "peers.h"
#include "ring.h"
#include "session.h"
#include "steer.h"

#define PEER_LEASE_S 30
#define PEER_RETRY_NS (500 * NSEC_PER_MSEC)
#define PEER_SILENT_NS (1500 * NSEC_PER_MSEC) /* counts as silent after */
#define PEER_FORGET_NS (15 * NSEC_PER_SEC)    /* unlisted and silent */
#define TELL_NS (100 * NSEC_PER_MSEC)	      /* between two reports */
#define TELL_SOON_NS (10 * NSEC_PER_MSEC)     /* after a change */
/* With more peers, reports go to the hubs, which sum them up for the others. */
#define TELL_PEERS 15
#define TELL_HUBS_NS (200 * NSEC_PER_MSEC)
#define PULL_AGAIN_NS (300 * NSEC_PER_MSEC)
#define INBOX_RING 4096
#define PULL_CONFIG 0 /* msg_conf.nonce: what is asked for */
#define PULL_LIST 1
#define PUSH_LIST 2 /* changes of the list of replicas */
/* A hub passes changes on within this time. */
#define BEHIND_NS (150 * NSEC_PER_MSEC)
#define HUB_SILENT_NS (800 * NSEC_PER_MSEC) /* several reports */
/* Time in which the peers of a process that starts become known. */
#define HUB_FIRST_NS (700 * NSEC_PER_MSEC)
#define HUB_CENTS 100.0 /* of a core, in a hub's weight */

struct peer {
	char vm[NAME_SIZE];
	struct hub hub; /* its bus address, and when it was heard */
	uint32_t share; /* rank of the hub that passes changes on to it */
	uint32_t index; /* in the directory's tables */
	int listed;
	int heard;
	uint64_t incarnation;
	uint64_t seq; /* of its newest report */
	UT_hash_handle hh;
};

struct peers {
	struct entry *e;
	struct bus *bus;
	struct ring *inbox;
	ev_io io;
	struct peer *peers;
	uint32_t indexes; /* handed out */
	struct announce *announce;
	struct kv_ids ids;
	uint64_t tell_at;
	uint64_t pull_config_at;
	uint64_t pull_list_at;
	uint64_t behind; /* a revision of the list that a peer has */
	uint64_t behind_at;
	uint64_t started_at;
	struct hub self;
	uint32_t self_share; /* rank of the hub that tells this process */
	uint32_t nhubs;
	struct hub *hubs[HUBS_MAX];
};

static void on_bus(void *, struct msg *);
static void on_inbox(struct ev_loop *, ev_io *, int);
static void on_result(void *, const struct kv_result *);
static void take(struct peers *, struct msg *);
static void take_front(struct peers *, struct peer *, const struct msg *);
static void take_pull(struct peers *, const struct msg *);
static void take_chunk(struct peers *, const struct msg *);
static int is_behind(
    struct peers *, const struct peer *, const struct msg_front *);
static void pull(struct peers *, const char *, uint64_t, uint64_t *);
static void choose_hubs(struct peers *);
static struct peer *peer_find(struct peers *, const char *);
static struct peer *peer_add(struct peers *, const char *, const char *);
static void tell(struct peers *);
static struct msg *compose(struct peers *);
static uint32_t own_rank(const struct peers *);
static struct work *sum_peers(const struct peers *);
static struct work peer_work(
    const struct peers *, const struct peer *, const struct member_replica *);
static void add_peers(const struct peers *, const struct work *,
    const struct peer *, struct msg_front *);
static void tell_by_hubs(struct peers *, struct msg *);

struct peers *
peers_create(struct entry *e, struct err *err)
{
	struct announce_config config = { PEER_LEASE_S, PEER_RETRY_NS };
	struct peers *p;
	char key[KV_KEY_SIZE];
	char value[256];

	p = mem_alloc(sizeof(*p));
	p->e = e;
	p->inbox = ring_create(INBOX_RING);
	p->bus = bus_create(&e->self, on_bus, p, err);
	if (p->bus == NULL) {
		ring_destroy(p->inbox);
		free(p);
		return NULL;
	}
	ev_io_init(&p->io, on_inbox, ring_fd(p->inbox), EV_READ);
	p->io.data = p;
	ev_io_start(e->loop, &p->io);
	snprintf(key, sizeof(key), PEERS_KEY_PREFIX "%s", e->boot.vm);
	memcpy(p->self.addr, e->self.addr, sizeof(p->self.addr));
	p->self.weight = (uint32_t)(e->boot.cpu_share * HUB_CENTS);
	p->self.self = 1;
	p->started_at = entry_now(e);
	snprintf(value, sizeof(value),
	    "{\"bus\":\"%s\",\"incarnation\":%llu,\"weight\":%u}", e->self.addr,
	    (unsigned long long)e->self.incarnation, p->self.weight);
	p->announce = announce_create(&config, key, value, &p->ids);
	return p;
}

void
peers_destroy(struct peers *p)
{
	struct peer *q, *next;
	struct msg *m;

	if (p == NULL)
		return;
	ev_io_stop(p->e->loop, &p->io);
	bus_destroy(p->bus);
	ring_close(p->inbox);
	while ((m = ring_pop(p->inbox, 0)) != NULL)
		msg_destroy(m);
	ring_destroy(p->inbox);
	HASH_ITER (hh, p->peers, q, next) {
		HASH_DEL(p->peers, q);
		free(q);
	}
	announce_destroy(p->announce);
	free(p);
}

struct kv_ids *
peers_ids(struct peers *p)
{
	return &p->ids;
}

/* In the bus's thread. */
static void
on_bus(void *ctx, struct msg *m)
{
	struct peers *p = ctx;

	if (ring_push(p->inbox, m) == -1)
		msg_destroy(m);
}

static void
on_inbox(struct ev_loop *loop, ev_io *w, int events)
{
	struct peers *p = w->data;
	struct msg *m;

	(void)loop;
	(void)events;
	entry_now(p->e);
	while ((m = ring_pop(p->inbox, 0)) != NULL) {
		take(p, m);
		msg_destroy(m);
	}
}

static struct peer *
peer_find(struct peers *p, const char *addr)
{
	struct peer *q;

	HASH_FIND_STR(p->peers, addr, q);
	return q;
}

static struct peer *
peer_add(struct peers *p, const char *addr, const char *vm)
{
	struct peer *q = peer_find(p, addr);

	if (q != NULL)
		return q;
	q = mem_alloc(sizeof(*q));
	snprintf(q->hub.addr, sizeof(q->hub.addr), "%s", addr);
	snprintf(q->vm, sizeof(q->vm), "%s", vm);
	q->index = p->indexes++;
	HASH_ADD_STR(p->peers, hub.addr, q);
	p->e->nprocesses = peers_count(p) + 1;
	budget_processes(&p->e->budget, p->e->nprocesses);
	return q;
}

void
peers_listed(struct peers *p, const char *vm, const char *value)
{
	json_t *doc = json_loads(value, 0, NULL);
	const char *addr = json_string_value(json_object_get(doc, "bus"));
	struct peer *q;

	if (addr != NULL && strcmp(addr, p->e->self.addr) != 0) {
		q = peer_add(p, addr, vm);
		q->listed = 1;
		q->hub.weight = (uint32_t)json_integer_value(
		    json_object_get(doc, "weight"));
		snprintf(q->vm, sizeof(q->vm), "%s", vm);
	}
	json_decref(doc);
}

void
peers_unlisted(struct peers *p, const char *vm)
{
	struct peer *q;

	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (strcmp(q->vm, vm) == 0)
			q->listed = 0;
	}
}

uint32_t
peers_count(const struct peers *p)
{
	return HASH_COUNT(p->peers);
}

uint32_t
peers_index(const struct peers *p, const char *addr)
{
	const struct peer *q;

	HASH_FIND_STR(p->peers, addr, q);
	return q == NULL ? UINT32_MAX : q->index;
}

static void
take(struct peers *p, struct msg *m)
{
	struct peer *q;

	q = peer_add(
	    p, m->from.addr, m->kind == MSG_FRONT ? m->u.front.vm : "");
	if (m->from.incarnation < q->incarnation)
		return;
	if (m->from.incarnation > q->incarnation) {
		q->incarnation = m->from.incarnation;
		q->seq = 0;
	}
	if (!q->heard)
		log_event(LOG_PEER_HEARD, NULL, "peer=%s addr=%s", q->vm,
		    q->hub.addr);
	q->heard = 1;
	q->hub.heard_at = p->e->now;
	switch (m->kind) {
	case MSG_FRONT:
		take_front(p, q, m);
		break;
	case MSG_CONF_PULL:
		take_pull(p, m);
		break;
	case MSG_CONF_CHUNK:
		take_chunk(p, m);
		break;
	default:
		steer_message(p->e, m);
		break;
	}
}

static void
take_front(struct peers *p, struct peer *q, const struct msg *m)
{
	const struct msg_front *f = &m->u.front;
	struct entry *e = p->e;
	struct work w;
	uint32_t i;

	if (m->seq <= q->seq)
		return;
	q->seq = m->seq;
	snprintf(q->vm, sizeof(q->vm), "%s", f->vm);
	q->hub.weight = f->weight;
	directory_peer_clear(&e->dir, e->now, q->index);
	for (i = 0; i < f->nwork; i++) {
		w.running = f->work[i].running;
		w.unread_us = f->work[i].unread_us;
		w.recent_us = f->work[i].recent_us;
		w.tokens = f->work[i].tokens;
		directory_peer_work(&e->dir, q->index, f->work[i].replica, &w);
	}
	steer_demand(e, m);
	if (f->stopping)
		steer_peer_stops(e, q->hub.addr);
	if (e->conf == NULL || f->version > e->conf->version)
		pull(p, q->hub.addr, PULL_CONFIG, &p->pull_config_at);
	if (is_behind(p, q, f))
		pull(p, q->hub.addr, PULL_LIST, &p->pull_list_at);
}

/*
 * Whether changes of the list that a peer has do not come by themselves.  A
 * process that does not follow the list holds what its hub holds.
 */
static int
is_behind(struct peers *p, const struct peer *q, const struct msg_front *f)
{
	const struct directory *d = &p->e->dir;
	int unlike = f->listed == d->at && f->digest != d->digest &&
	    p->self.since == 0 && p->self_share < p->nhubs &&
	    p->hubs[p->self_share] == &q->hub;

	if (f->listed <= d->at && !unlike) {
		if (p->behind == f->listed)
			p->behind = 0;
		return 0;
	}
	if (p->behind == 0 || (p->behind <= d->at && !unlike)) {
		p->behind = f->listed;
		p->behind_at = p->e->now;
	}
	return p->e->now >= p->behind_at + BEHIND_NS;
}

static void
pull(struct peers *p, const char *addr, uint64_t what, uint64_t *at)
{
	struct msg *m;

	if (p->e->now < *at)
		return;
	*at = p->e->now + PULL_AGAIN_NS;
	m = msg_create(MSG_CONF_PULL, addr);
	m->u.conf.nonce = what;
	bus_send(p->bus, m);
}

static void
take_pull(struct peers *p, const struct msg *m)
{
	struct entry *e = p->e;
	struct msg *reply;
	char *text = NULL;
	size_t len = 0;

	if (m->u.conf.nonce == PULL_LIST) {
		text = session_list_text(e->session);
		len = strlen(text);
	} else if (e->conf_text != NULL) {
		len = e->conf_len;
		text = mem_alloc(len + 1);
		memcpy(text, e->conf_text, len);
	}
	if (text == NULL || len > MSG_BYTES_MAX) {
		free(text);
		return;
	}
	reply = msg_create(MSG_CONF_CHUNK, m->from.addr);
	reply->u.conf.nonce = m->u.conf.nonce;
	reply->u.conf.bytes = text;
	reply->u.conf.len = (uint32_t)len;
	bus_send(p->bus, reply);
}

static void
take_chunk(struct peers *p, const struct msg *m)
{
	const struct msg_conf *c = &m->u.conf;

	if (c->nonce == PULL_CONFIG)
		entry_configure(p->e, c->bytes, c->len, m->from.addr);
	else if (session_news_take(p->e->session, c->bytes, c->len) == -1)
		pull(p, m->from.addr, PULL_LIST, &p->pull_list_at);
}

/* Works out anew who the hubs are. */
static void
choose_hubs(struct peers *p)
{
	struct hub **all;
	struct peer *q;
	uint32_t n = 0;
	int was = p->self.since != 0;

	all = mem_alloc((peers_count(p) + 1) * sizeof(*all));
	if (!p->e->stopping)
		all[n++] = &p->self;
	for (q = p->peers; q != NULL; q = q->hh.next)
		all[n++] = &q->hub;
	p->nhubs = hubs_choose(all, n, p->e->now, HUB_SILENT_NS, p->hubs);
	free(all);
	if (p->nhubs != 0)
		p->self_share = hubs_share(p->self.addr, p->nhubs);
	for (q = p->peers; q != NULL && p->nhubs != 0; q = q->hh.next)
		q->share = hubs_share(q->hub.addr, p->nhubs);
	if (was != (p->self.since != 0))
		log_event(LOG_HUB, NULL, "hub=%d hubs=%u peers=%u", !was,
		    p->nhubs, peers_count(p));
}

int
peers_follows(const struct peers *p)
{
	return p->self.since != 0 && p->e->now >= p->started_at + HUB_FIRST_NS;
}

void
peers_news(struct peers *p, const char *text, size_t len)
{
	struct peer *q;
	struct msg *m;
	uint32_t rank = own_rank(p);

	if (rank == p->nhubs || len > MSG_BYTES_MAX)
		return;
	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (q->share != rank)
			continue;
		m = msg_create(MSG_CONF_CHUNK, q->hub.addr);
		m->u.conf.nonce = PUSH_LIST;
		m->u.conf.bytes = mem_alloc(len + 1);
		memcpy(m->u.conf.bytes, text, len);
		m->u.conf.len = (uint32_t)len;
		bus_send(p->bus, m);
	}
}

void
peers_send(struct peers *p, struct msg *m)
{
	bus_send(p->bus, m);
}

void
peers_broadcast(struct peers *p, struct msg *m)
{
	struct peer *q;
	struct msg *copy;

	for (q = p->peers; q != NULL; q = q->hh.next) {
		copy = msg_copy(m);
		snprintf(copy->to, sizeof(copy->to), "%s", q->hub.addr);
		bus_send(p->bus, copy);
	}
	msg_destroy(m);
}

static struct msg *
compose(struct peers *p)
{
	struct entry *e = p->e;
	struct member_replica *r;
	struct msg_work *w;
	struct msg *m;
	uint32_t recent;

	m = msg_create(MSG_FRONT, "");
	snprintf(m->u.front.vm, sizeof(m->u.front.vm), "%s", e->boot.vm);
	m->u.front.version = e->conf == NULL ? 0 : e->conf->version;
	m->u.front.listed = e->dir.at;
	m->u.front.digest = e->dir.digest;
	m->u.front.stopping = (uint32_t)e->stopping;
	m->u.front.weight = p->self.weight;
	m->u.front.work = mem_alloc(
	    (HASH_COUNT(e->dir.replicas) + 1) * sizeof(*m->u.front.work));
	for (r = e->dir.replicas; r != NULL; r = r->hh.next) {
		recent = directory_recent(&e->dir, e->now, r);
		if ((r->own.running == 0 && recent == 0) ||
		    m->u.front.nwork == MSG_LIST_MAX - 1)
			continue;
		w = &m->u.front.work[m->u.front.nwork++];
		snprintf(w->replica, sizeof(w->replica), "%s", r->info.id);
		w->running = r->own.running;
		w->unread_us = r->own.unread_us;
		w->recent_us = recent;
		w->tokens = r->own.tokens;
	}
	steer_fill_demand(e, &m->u.front);
	return m;
}

/* Work by replica, in the directory's order, of all peers. */
static struct work *
sum_peers(const struct peers *p)
{
	const struct member_replica *r = p->e->dir.replicas;
	struct work *all;
	struct work *w;

	all = mem_alloc((HASH_COUNT(r) + 1) * sizeof(*all));
	for (w = all; r != NULL; r = r->hh.next, w++)
		*w = directory_peers(&p->e->dir, p->e->now, r);
	return all;
}

/* What a peer last told of a replica. */
static struct work
peer_work(
    const struct peers *p, const struct peer *q, const struct member_replica *r)
{
	return directory_peer(&p->e->dir, p->e->now, r, q->index);
}

/* Adds the peers' work to this hub's report, without the receiver's own. */
static void
add_peers(const struct peers *p, const struct work *all, const struct peer *to,
    struct msg_front *f)
{
	const struct member_replica *r = p->e->dir.replicas;
	struct work own;
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

/* This process's place among the hubs; their number when it is none. */
static uint32_t
own_rank(const struct peers *p)
{
	uint32_t rank;

	for (rank = 0; rank < p->nhubs && p->hubs[rank] != &p->self; rank++)
		continue;
	return rank;
}

uint32_t
peers_rank(const struct peers *p)
{
	uint32_t rank = own_rank(p);

	return rank < p->nhubs ? rank : HUBS_MAX + 1;
}

/* In a large fleet: to the hubs, and from them to all. */
static void
tell_by_hubs(struct peers *p, struct msg *report)
{
	uint32_t rank = own_rank(p);
	struct work *all = NULL;
	struct msg *m;
	struct peer *q;

	if (rank < p->nhubs)
		all = sum_peers(p);
	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (rank == p->nhubs && q->hub.since == 0 &&
		    !steer_is_holder(p->e, q->hub.addr))
			continue;
		m = msg_copy(report);
		snprintf(m->to, sizeof(m->to), "%s", q->hub.addr);
		if (rank < p->nhubs && q->hub.since == 0) {
			/* Another hub tells it of all work, this one's too. */
			if (q->share == rank)
				add_peers(p, all, q, &m->u.front);
			else
				m->u.front.nwork = 0;
		}
		bus_send(p->bus, m);
	}
	free(all);
	msg_destroy(report);
}

void
peers_tell_soon(struct peers *p)
{
	if (peers_count(p) <= TELL_PEERS &&
	    p->tell_at > p->e->now + TELL_SOON_NS)
		p->tell_at = p->e->now + TELL_SOON_NS;
}

static void
tell(struct peers *p)
{
	int few = peers_count(p) <= TELL_PEERS;

	if (p->e->now < p->tell_at)
		return;
	p->tell_at = p->e->now + (few ? TELL_NS : TELL_HUBS_NS);
	if (few || p->e->stopping)
		peers_broadcast(p, compose(p));
	else
		tell_by_hubs(p, compose(p));
}

static void
on_result(void *ctx, const struct kv_result *r)
{
	struct peers *p = ctx;
	struct kv_ops ops;

	TAILQ_INIT(&ops);
	announce_result(p->announce, p->e->now, r, &ops);
	session_send(p->e->session, &ops, on_result, p);
}

void
peers_tick(struct peers *p)
{
	struct peer *q, *next;
	struct kv_ops ops;

	TAILQ_INIT(&ops);
	announce_tick(p->announce, p->e->now, &ops);
	session_send(p->e->session, &ops, on_result, p);
	choose_hubs(p);
	tell(p);
	HASH_ITER (hh, p->peers, q, next) {
		if (q->heard && p->e->now > q->hub.heard_at + PEER_SILENT_NS) {
			log_event(LOG_PEER_SILENT, NULL, "peer=%s addr=%s",
			    q->vm, q->hub.addr);
			q->heard = 0;
		}
		if (q->listed || q->heard ||
		    p->e->now < q->hub.heard_at + PEER_FORGET_NS)
			continue;
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		HASH_DEL(p->peers, q);
		free(q);
		p->e->nprocesses = peers_count(p) + 1;
		budget_processes(&p->e->budget, p->e->nprocesses);
	}
}

void
peers_leave(struct peers *p)
{
	struct kv_ops ops;

	TAILQ_INIT(&ops);
	announce_release(p->announce, &ops);
	session_send(p->e->session, &ops, on_result, p);
	p->tell_at = 0;
	tell(p);
}
