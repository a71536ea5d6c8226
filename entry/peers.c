/* Discovery of peers, and sending to peers. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "peers_int.h"
#include "session.h"
#include "loader_io.h"
#include "permit_io.h"
#include "poison_io.h"
#include "quota_io.h"

#define PEER_LEASE_S 30
#define PEER_RETRY_NS (500 * NSEC_PER_MSEC)
#define PEER_SILENT_NS (1500 * NSEC_PER_MSEC)
#define PEER_FORGET_NS (15 * NSEC_PER_SEC) /* if unlisted */
/* In a small fleet each peer is heard of several times in this span. */
#define PEER_ALIVE_NS (400 * NSEC_PER_MSEC)
#define INBOX_SLOTS 4096
/* Handled in a row; more may arrive meanwhile than can be handled. */
#define RECEIVE_MAX 128
#define HUB_WEIGHT_PER_CORE 100.0 /* hub weights are in 1/100 core */

static void on_bus(void *, struct msg *);
static void on_inbox(struct ev_loop *, ev_io *, int);
static void on_result(void *, const struct kv_result *);
static void receive_some(struct peers *);
static void find_silent(struct peers *);
static void receive_msg(struct peers *, struct msg *);
static int may_be_alive(const struct peers *, const struct peer *);
static struct peer *peer_find(struct peers *, const char *);
static struct peer *peer_add(struct peers *, const char *, const char *);

struct peers *
peers_create(struct entry *e, struct err *err)
{
	struct announce_config config = { PEER_LEASE_S, PEER_RETRY_NS };
	struct peers *p;
	char key[KV_KEY_SIZE];
	char value[256];

	p = mem_alloc(sizeof(*p));
	p->e = e;
	p->inbox = ring_create(INBOX_SLOTS);
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
	memcpy(p->self.zone, e->boot.zone, sizeof(p->self.zone));
	p->weight = (uint32_t)(e->boot.cpu_share * HUB_WEIGHT_PER_CORE);
	p->self.weight = p->weight;
	p->own_weight = p->weight;
	p->reported_weight = p->weight;
	p->self.self = 1;
	p->self_relay = p->self;
	p->started_at = entry_update_now(e);
	snprintf(value, sizeof(value),
	    "{\"bus\":\"%s\",\"incarnation\":%llu,\"weight\":%u,"
	    "\"zone\":\"%s\"}",
	    e->self.addr, (unsigned long long)e->self.incarnation,
	    p->self.weight, e->boot.zone);
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
	packed_list_clear(&p->packed_list);
	pulls_clear(&p->pulls);
	free(p);
}

struct kv_ids *
peers_kv_ids(struct peers *p)
{
	return &p->ids;
}

/* Called in the thread of the bus. */
static void
on_bus(void *ctx, struct msg *m)
{
	struct peers *p = ctx;

	if (ring_push(p->inbox, m) == 0)
		return;
	__atomic_fetch_add(&p->unread, 1, __ATOMIC_RELAXED);
	log_event(LOG_PEER_UNREAD, NULL, "from=%s kind=%d", m->from.addr,
	    (int)m->kind);
	msg_destroy(m);
}

static void
on_inbox(struct ev_loop *loop, ev_io *w, int events)
{
	struct peers *p = w->data;

	(void)loop;
	(void)events;
	receive_some(p);
}

static void
receive_some(struct peers *p)
{
	struct msg *m;
	int i;

	entry_update_now(p->e);
	for (i = 0; i < RECEIVE_MAX; i++) {
		m = ring_pop(p->inbox, 0);
		if (m == NULL)
			return;
		receive_msg(p, m);
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
	snprintf(q->relay.addr, sizeof(q->relay.addr), "%s", addr);
	snprintf(q->vm, sizeof(q->vm), "%s", vm);
	q->index = p->next_index++;
	HASH_ADD_STR(p->peers, hub.addr, q);
	p->e->nprocesses = peers_count(p) + 1;
	budget_set_processes(&p->e->budget, p->e->nprocesses);
	return q;
}

void
peers_set_listed(struct peers *p, const char *vm, const char *value)
{
	json_t *doc = json_loads(value, 0, NULL);
	const char *addr = json_string_value(json_object_get(doc, "bus"));
	const char *zone;
	struct peer *q;

	if (addr != NULL && strcmp(addr, p->e->self.addr) != 0) {
		q = peer_add(p, addr, vm);
		q->listed = 1;
		q->listed_weight = (uint32_t)json_integer_value(
		    json_object_get(doc, "weight"));
		zone = json_string_value(json_object_get(doc, "zone"));
		peer_set_rank(q, q->listed_weight, zone == NULL ? "" : zone);
		snprintf(q->vm, sizeof(q->vm), "%s", vm);
	}
	json_decref(doc);
}

void
peers_clear_listed(struct peers *p, const char *vm)
{
	struct peer *q;

	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (strcmp(q->vm, vm) == 0)
			q->listed = 0;
	}
}

uint64_t
peers_dropped_count(const struct peers *p)
{
	struct bus_counts c;

	bus_counts(p->bus, &c);
	return c.dropped + c.malformed +
	    __atomic_load_n(&p->unread, __ATOMIC_RELAXED);
}

uint32_t
peers_count(const struct peers *p)
{
	return HASH_COUNT(p->peers);
}

/* In a large fleet only relays are heard of all the time. */
static int
may_be_alive(const struct peers *p, const struct peer *q)
{
	return !q->hub.stopping &&
	    (peers_use_relays(p) ||
		p->e->now < q->hub.heard_at + PEER_ALIVE_NS);
}

void
peers_for_each(
    const struct peers *p, void (*each)(void *, const char *, int), void *ctx)
{
	const struct peer *q;

	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (may_be_alive(p, q))
			each(ctx, q->hub.addr, peers_in_zone(p, q));
	}
}

size_t
peers_fill_candidates(
    const struct peers *p, struct share_candidate *c, size_t max)
{
	const struct peer *q;
	size_t n = 0;

	memset(c, 0, max * sizeof(*c));
	memcpy(c[n].addr, p->self.addr, sizeof(c[n].addr));
	memcpy(c[n].zone, p->self.zone, sizeof(c[n].zone));
	c[n++].weight = p->own_weight;
	for (q = p->peers; q != NULL && n < max; q = q->hh.next) {
		if (!q->listed)
			continue;
		memcpy(c[n].addr, q->hub.addr, sizeof(c[n].addr));
		memcpy(c[n].zone, q->relay.zone, sizeof(c[n].zone));
		c[n++].weight = q->listed_weight;
	}
	return n;
}

int
peers_has_ip(const struct peers *p, const char *ip)
{
	const struct peer *q;
	size_t len = strlen(ip);

	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (strncmp(q->hub.addr, ip, len) == 0 &&
		    q->hub.addr[len] == ':')
			return 1;
	}
	return 0;
}

uint32_t
peers_index(const struct peers *p, const char *addr)
{
	const struct peer *q;

	HASH_FIND_STR(p->peers, addr, q);
	return q == NULL ? UINT32_MAX : q->index;
}

static void
receive_msg(struct peers *p, struct msg *m)
{
	struct peer *q;

	q = peer_add(
	    p, m->from.addr, m->kind == MSG_FRONT ? m->u.front.vm : "");
	if (m->from.incarnation < q->incarnation)
		return;
	if (m->from.incarnation > q->incarnation) {
		q->incarnation = m->from.incarnation;
		q->seq = 0;
		q->hub.stopping = 0;
		q->relay.stopping = 0;
		memset(&q->sent, 0, sizeof(q->sent));
		poison_io_peer_started(p->e->poison_io);
		loader_io_peer_started(p->e, q->hub.addr);
	}
	if (!q->reachable)
		log_event(LOG_PEER_HEARD, NULL, "peer=%s addr=%s", q->vm,
		    q->hub.addr);
	q->reachable = 1;
	q->hub.heard_at = p->e->now;
	q->relay.heard_at = p->e->now;
	switch (m->kind) {
	case MSG_FRONT:
		peers_apply_report(p, q, m);
		break;
	case MSG_CONF_PULL:
		peers_answer_pull(p, m);
		break;
	case MSG_CONF_CHUNK:
		peers_apply_text(p, m);
		break;
	case MSG_PERMIT_REQUEST:
	case MSG_PERMIT_ANSWER:
		permit_io_receive(p->e->permit_io, m);
		break;
	case MSG_SHARE_LOAN:
	case MSG_SHARE_ACK:
	case MSG_QUOTA_REQUEST:
	case MSG_QUOTA_ANSWER:
		quota_io_receive(p->e->quota_io, m);
		break;
	case MSG_HELD:
		peers_relay_table(p, m);
		loader_io_receive(p->e, m);
		break;
	default:
		loader_io_receive(p->e, m);
		break;
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

static void
on_result(void *ctx, const struct kv_result *r)
{
	struct peers *p = ctx;
	struct kv_ops ops;

	TAILQ_INIT(&ops);
	announce_kv_result(p->announce, p->e->now, r, &ops);
	session_send(p->e->session, &ops, on_result, p);
}

void
peers_tick(struct peers *p)
{
	struct kv_ops ops;

	receive_some(p);
	TAILQ_INIT(&ops);
	announce_tick(p->announce, p->e->now, &ops);
	session_send(p->e->session, &ops, on_result, p);
	peers_choose(p);
	peers_report(p);
	peers_follow_config(p);
	peers_answer_waiting(p);
	/* A peer is silent only if nothing of it has arrived. */
	if (ring_count(p->inbox) == 0)
		find_silent(p);
}

/* Marks the peers that are silent, and forgets those that have gone. */
static void
find_silent(struct peers *p)
{
	struct peer *q, *next;

	HASH_ITER (hh, p->peers, q, next) {
		if (q->reachable &&
		    p->e->now > q->hub.heard_at + PEER_SILENT_NS) {
			log_event(LOG_PEER_SILENT, NULL, "peer=%s addr=%s",
			    q->vm, q->hub.addr);
			q->reachable = 0;
		}
		if (q->listed || q->reachable ||
		    p->e->now < q->hub.heard_at + PEER_FORGET_NS)
			continue;
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		HASH_DEL(p->peers, q);
		free(q);
		p->e->nprocesses = peers_count(p) + 1;
		budget_set_processes(&p->e->budget, p->e->nprocesses);
	}
}

void
peers_store_era(struct peers *p, uint64_t era)
{
	announce_set_era(p->announce, p->e->now, era);
}

void
peers_leave(struct peers *p)
{
	struct kv_ops ops;

	TAILQ_INIT(&ops);
	announce_release(p->announce, &ops);
	session_send(p->e->session, &ops, on_result, p);
	peers_report_to_all(p);
}
