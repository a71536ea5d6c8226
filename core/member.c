#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member_int.h"
#include "mem.h"

/* A change is sent GOSSIP_MIN + GOSSIP_FACTOR * log2(peers) times. */
#define GOSSIP_FACTOR 3
#define GOSSIP_MIN 4

static struct peer *peer_create(struct member *, uint64_t, const char *);
static void peer_set_state(
    struct member *, uint64_t, struct peer *, enum member_state);
static void peer_mark_alive(
    struct member *, uint64_t, const struct node_id *, uint64_t);
static void merge_gossip(struct member *, uint64_t, const struct msg_member *);
static void merge_self_gossip(struct member *, const struct msg_member *);
static struct msg *create_probe(
    struct member *, enum msg_kind, const char *, uint64_t);
static void add_gossip(struct member *, struct msg_ping *);
static int add_peer_gossip(struct peer *, struct msg_ping *);
static void shuffle_probe_order(struct member *);
static struct peer *next_probe_target(struct member *);
static void start_probe(struct member *, uint64_t, struct msg_list *);
static void send_ping_reqs(struct member *, struct msg_list *);
static void expire_peers(struct member *, uint64_t);
static uint32_t gossip_limit(const struct member *);
static void on_ping(
    struct member *, uint64_t, const struct msg *, struct msg_list *);
static void on_ping_req(
    struct member *, uint64_t, const struct msg *, struct msg_list *);
static void on_ack(
    struct member *, uint64_t, const struct msg *, struct msg_list *);

void
member_config_default(struct member_config *c)
{
	c->probe_interval_ns = 400 * NSEC_PER_MSEC;
	c->ack_timeout_ns = 150 * NSEC_PER_MSEC;
	c->suspect_timeout_ns = 1200 * NSEC_PER_MSEC;
	c->dead_retention_ns = 300 * NSEC_PER_SEC;
	c->indirect_probes = 3;
}

struct member *
member_create(const struct member_config *config, const struct node_id *self,
    uint64_t seed)
{
	struct member *m;

	m = mem_alloc(sizeof(*m));
	m->config = *config;
	m->self = *self;
	m->rand_state[0] = (unsigned short)seed;
	m->rand_state[1] = (unsigned short)(seed >> 16);
	m->rand_state[2] = (unsigned short)(seed >> 32);
	m->self_peer.info.id = *self;
	m->self_peer.info.state = MEMBER_ALIVE;
	m->self_peer.gossip_left = GOSSIP_MIN;
	m->probe_deadline = TIME_NEVER;
	return m;
}

void
member_destroy(struct member *m)
{
	struct peer *p, *next;

	if (m == NULL)
		return;
	HASH_ITER (hh, m->peers, p, next) {
		HASH_DEL(m->peers, p);
		free(p);
	}
	free(m->probe_order);
	free(m);
}

struct peer *
member_find_peer(const struct member *m, const char *addr)
{
	struct peer *p;

	HASH_FIND_STR(m->peers, addr, p);
	return p;
}

static uint32_t
gossip_limit(const struct member *m)
{
	uint32_t n = HASH_COUNT(m->peers);
	uint32_t log = 0;

	for (; n != 0; n /= 2)
		log++;
	return GOSSIP_MIN + GOSSIP_FACTOR * log;
}

static struct peer *
peer_create(struct member *m, uint64_t now, const char *addr)
{
	struct peer *p;

	p = mem_alloc(sizeof(*p));
	snprintf(p->info.id.addr, sizeof(p->info.id.addr), "%s", addr);
	p->info.state = MEMBER_ALIVE;
	p->state_since = now;
	p->listed = 1;
	HASH_ADD_KEYPTR(
	    hh, m->peers, p->info.id.addr, strlen(p->info.id.addr), p);
	return p;
}

static void
peer_set_state(
    struct member *m, uint64_t now, struct peer *p, enum member_state state)
{
	p->info.state = state;
	p->state_since = now;
	p->gossip_left = gossip_limit(m);
}

void
member_add_seed(struct member *m, uint64_t now, const char *addr)
{
	if (strcmp(addr, m->self.addr) == 0)
		return;
	if (member_find_peer(m, addr) == NULL)
		peer_create(m, now, addr);
}

void
member_mark_leaving(struct member *m, uint64_t now, const char *addr)
{
	struct peer *p = member_find_peer(m, addr);

	if (p == NULL || p->info.state == MEMBER_LEAVING ||
	    p->info.state == MEMBER_DEAD)
		return;
	peer_set_state(m, now, p, MEMBER_LEAVING);
}

void
member_set_listed(struct member *m, const char *addr, int listed)
{
	struct peer *p = member_find_peer(m, addr);

	if (p != NULL)
		p->listed = listed;
}

void
member_set_revision(struct member *m, uint64_t revision)
{
	m->revision = revision;
}

/* Records a message received directly from the peer. */
static void
peer_mark_alive(
    struct member *m, uint64_t now, const struct node_id *id, uint64_t revision)
{
	struct peer *p;

	if (strcmp(id->addr, m->self.addr) == 0)
		return;
	p = member_find_peer(m, id->addr);
	if (p == NULL)
		p = peer_create(m, now, id->addr);
	if (id->incarnation < p->info.id.incarnation)
		return;
	if (id->incarnation > p->info.id.incarnation) {
		p->info.id.incarnation = id->incarnation;
		p->info.revision = 0;
		peer_set_state(m, now, p, MEMBER_ALIVE);
	}
	/* MEMBER_LEAVING is kept until the next incarnation. */
	if (p->info.state == MEMBER_SUSPECT || p->info.state == MEMBER_DEAD)
		peer_set_state(m, now, p, MEMBER_ALIVE);
	p->info.last_heard_at = now;
	if (revision > p->info.revision)
		p->info.revision = revision;
}

/* Repeats the own state when a peer reports another one. */
static void
merge_self_gossip(struct member *m, const struct msg_member *update)
{
	if (update->incarnation != m->self.incarnation ||
	    update->state == (uint32_t)m->self_peer.info.state)
		return;
	m->self_peer.gossip_left = gossip_limit(m);
}

/*
 * Merges a state received from a third process.  A later incarnation takes
 * precedence; within an incarnation only a worse state does.  Direct messages
 * are handled by peer_mark_alive().
 */
static void
merge_gossip(struct member *m, uint64_t now, const struct msg_member *update)
{
	static const int rank[MEMBER__MAX] = {
		[MEMBER_ALIVE] = 0,
		[MEMBER_SUSPECT] = 1,
		[MEMBER_LEAVING] = 2,
		[MEMBER_DEAD] = 3,
	};
	struct peer *p;

	if (strcmp(update->addr, m->self.addr) == 0) {
		merge_self_gossip(m, update);
		return;
	}
	p = member_find_peer(m, update->addr);
	if (p == NULL) {
		if (update->state == MEMBER_DEAD)
			return;
		p = peer_create(m, now, update->addr);
	}
	if (update->incarnation < p->info.id.incarnation)
		return;
	if (update->incarnation == p->info.id.incarnation &&
	    rank[update->state] <= rank[p->info.state])
		return;
	/* The peer was heard since: the suspicion is out of date. */
	if (update->state == MEMBER_SUSPECT &&
	    now < p->info.last_heard_at + m->config.probe_interval_ns)
		return;
	p->info.id.incarnation = update->incarnation;
	peer_set_state(m, now, p, (enum member_state)update->state);
}

static int
add_peer_gossip(struct peer *p, struct msg_ping *ping)
{
	struct msg_member *update;

	if (p->gossip_left == 0 || ping->n == MSG_MEMBERS_MAX)
		return 0;
	p->gossip_left--;
	update = &ping->members[ping->n++];
	memcpy(update->addr, p->info.id.addr, sizeof(update->addr));
	update->incarnation = p->info.id.incarnation;
	update->state = p->info.state;
	return 1;
}

static void
add_gossip(struct member *m, struct msg_ping *ping)
{
	struct peer *p, *next;

	add_peer_gossip(&m->self_peer, ping);
	HASH_ITER (hh, m->peers, p, next)
		add_peer_gossip(p, ping);
}

static struct msg *
create_probe(
    struct member *m, enum msg_kind kind, const char *to, uint64_t probe)
{
	struct msg *msg;

	msg = msg_create(kind, to);
	msg->u.ping.probe = probe;
	msg->u.ping.revision = m->revision;
	add_gossip(m, &msg->u.ping);
	return msg;
}

/* Starts a new round of probes of all peers in random order. */
static void
shuffle_probe_order(struct member *m)
{
	struct peer *p, *next, *swap;
	uint32_t i;
	uint32_t k;

	m->probe_index = 0;
	m->nprobe_order = 0;
	m->probe_order = mem_grow(
	    m->probe_order, HASH_COUNT(m->peers) + 1, sizeof(struct peer *));
	HASH_ITER (hh, m->peers, p, next)
		m->probe_order[m->nprobe_order++] = p;
	for (i = m->nprobe_order; i > 1; i--) {
		k = (uint32_t)nrand48(m->rand_state) % i;
		swap = m->probe_order[i - 1];
		m->probe_order[i - 1] = m->probe_order[k];
		m->probe_order[k] = swap;
	}
}

static struct peer *
next_probe_target(struct member *m)
{
	struct peer *p;
	uint32_t tried;

	for (tried = 0; tried <= 2 * m->nprobe_order + 1; tried++) {
		if (m->probe_index >= m->nprobe_order) {
			shuffle_probe_order(m);
			if (m->nprobe_order == 0)
				return NULL;
		}
		p = m->probe_order[m->probe_index++];
		/* Dead peers are probed now and then, since partitions heal. */
		if (p->info.state != MEMBER_DEAD ||
		    nrand48(m->rand_state) % 8 == 0)
			return p;
	}
	return NULL;
}

static void
start_probe(struct member *m, uint64_t now, struct msg_list *out)
{
	struct msg *msg;
	struct peer *p;

	m->next_probe_at = now + m->config.probe_interval_ns;
	p = next_probe_target(m);
	if (p == NULL)
		return;
	m->probe++;
	memcpy(m->target, p->info.id.addr, sizeof(m->target));
	m->ack_deadline = now + m->config.ack_timeout_ns;
	m->probe_deadline = now + m->config.probe_interval_ns - NSEC_PER_MSEC;
	m->ping_reqs_sent = 0;
	msg = create_probe(m, MSG_PING, m->target, m->probe);
	TAILQ_INSERT_TAIL(out, msg, entry);
}

static void
send_ping_reqs(struct member *m, struct msg_list *out)
{
	struct msg *msg;
	struct peer *p;
	uint32_t nsent = 0;
	uint32_t i;

	m->ping_reqs_sent = 1;
	for (i = 0; i < m->nprobe_order && nsent < m->config.indirect_probes;
	     i++) {
		p = m->probe_order[(m->probe_index + i) % m->nprobe_order];
		if (p->info.state != MEMBER_ALIVE ||
		    strcmp(p->info.id.addr, m->target) == 0)
			continue;
		msg = create_probe(m, MSG_PING_REQ, p->info.id.addr, m->probe);
		memcpy(
		    msg->u.ping.target, m->target, sizeof(msg->u.ping.target));
		TAILQ_INSERT_TAIL(out, msg, entry);
		nsent++;
	}
}

static void
expire_peers(struct member *m, uint64_t now)
{
	struct peer *p, *next;

	HASH_ITER (hh, m->peers, p, next) {
		if (p->info.state == MEMBER_SUSPECT &&
		    now >= p->state_since + m->config.suspect_timeout_ns)
			peer_set_state(m, now, p, MEMBER_DEAD);
		if (p->info.state != MEMBER_DEAD || p->listed ||
		    now < p->state_since + m->config.dead_retention_ns)
			continue;
		HASH_DEL(m->peers, p);
		free(p);
		m->nprobe_order = m->probe_index = 0;
	}
}

void
member_tick(struct member *m, uint64_t now, struct msg_list *out)
{
	struct peer *p;

	if (m->probe_deadline != TIME_NEVER && now >= m->ack_deadline &&
	    !m->ping_reqs_sent)
		send_ping_reqs(m, out);
	if (now >= m->probe_deadline) {
		m->probe_deadline = TIME_NEVER;
		p = member_find_peer(m, m->target);
		if (p != NULL && (p->info.state == MEMBER_ALIVE))
			peer_set_state(m, now, p, MEMBER_SUSPECT);
		if (p != NULL && p->info.state == MEMBER_LEAVING)
			peer_set_state(m, now, p, MEMBER_DEAD);
	}
	expire_peers(m, now);
	if (now >= m->next_probe_at)
		start_probe(m, now, out);
}

static void
on_ping(
    struct member *m, uint64_t now, const struct msg *msg, struct msg_list *out)
{
	struct msg *reply;

	(void)now;
	reply = create_probe(m, MSG_ACK, msg->from.addr, msg->u.ping.probe);
	TAILQ_INSERT_TAIL(out, reply, entry);
}

/* Probes a third process on behalf of the sender. */
static void
on_ping_req(
    struct member *m, uint64_t now, const struct msg *msg, struct msg_list *out)
{
	struct relay *r;
	struct msg *probe;

	r = &m->relays[m->next_relay++ % RELAYS_MAX];
	memset(r, 0, sizeof(*r));
	r->requester_probe = msg->u.ping.probe;
	r->relayed_probe = ++m->probe;
	memcpy(r->requester, msg->from.addr, sizeof(r->requester));
	r->expires_at = now + m->config.probe_interval_ns;
	probe = create_probe(m, MSG_PING, msg->u.ping.target, r->relayed_probe);
	TAILQ_INSERT_TAIL(out, probe, entry);
}

static void
on_ack(
    struct member *m, uint64_t now, const struct msg *msg, struct msg_list *out)
{
	const struct msg_ping *ping = &msg->u.ping;
	struct msg *reply;
	struct relay *r;
	int i;

	for (i = 0; i < RELAYS_MAX; i++) {
		r = &m->relays[i];
		if (r->relayed_probe != ping->probe || r->relayed_probe == 0)
			continue;
		if (now < r->expires_at) {
			reply = create_probe(
			    m, MSG_ACK, r->requester, r->requester_probe);
			memcpy(reply->u.ping.target, msg->from.addr,
			    sizeof(reply->u.ping.target));
			TAILQ_INSERT_TAIL(out, reply, entry);
		}
		r->relayed_probe = 0;
		return;
	}
	/* From the target itself, or relayed with its address. */
	if (strcmp(msg->from.addr, m->target) == 0 ||
	    strcmp(ping->target, m->target) == 0)
		m->probe_deadline = TIME_NEVER;
}

void
member_handle_message(
    struct member *m, uint64_t now, const struct msg *msg, struct msg_list *out)
{
	uint32_t i;

	peer_mark_alive(m, now, &msg->from, msg->u.ping.revision);
	for (i = 0; i < msg->u.ping.n; i++)
		merge_gossip(m, now, &msg->u.ping.members[i]);
	if (msg->kind == MSG_PING)
		on_ping(m, now, msg, out);
	else if (msg->kind == MSG_PING_REQ)
		on_ping_req(m, now, msg, out);
	else if (msg->kind == MSG_ACK)
		on_ack(m, now, msg, out);
}

void
member_leave(struct member *m, struct msg_list *out)
{
	struct peer *p, *next;
	struct msg *msg;
	uint32_t nsent = 0;

	m->self_peer.info.state = MEMBER_LEAVING;
	HASH_ITER (hh, m->peers, p, next) {
		if (p->info.state != MEMBER_ALIVE || nsent == 8)
			continue;
		m->self_peer.gossip_left = 1;
		msg = create_probe(m, MSG_PING, p->info.id.addr, ++m->probe);
		TAILQ_INSERT_TAIL(out, msg, entry);
		nsent++;
	}
}
