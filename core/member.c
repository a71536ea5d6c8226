#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member_int.h"
#include "mem.h"

#define SPREAD_FACTOR 3 /* times log2 of the members */
#define SPREAD_LEAST 4

static struct peer *peer_create(struct member *, uint64_t, const char *);
static void peer_state(
    struct member *, uint64_t, struct peer *, enum member_state);
static void peer_alive(
    struct member *, uint64_t, const struct node_id *, uint64_t);
static void learn(struct member *, uint64_t, const struct msg_member *);
static void learn_self(struct member *, const struct msg_member *);
static struct msg *probe_msg(
    struct member *, enum msg_kind, const char *, uint64_t);
static void add_gossip(struct member *, struct msg_ping *);
static int add_one(struct peer *, struct msg_ping *);
static void shuffle(struct member *);
static struct peer *next_target(struct member *);
static void begin_probe(struct member *, uint64_t, struct msg_list *);
static void ask_relays(struct member *, struct msg_list *);
static void expire(struct member *, uint64_t);
static uint32_t spread_count(const struct member *);
static void on_ping(
    struct member *, uint64_t, const struct msg *, struct msg_list *);
static void on_ping_req(
    struct member *, uint64_t, const struct msg *, struct msg_list *);
static void on_ack(
    struct member *, uint64_t, const struct msg *, struct msg_list *);

void
member_config_default(struct member_config *c)
{
	c->period_ns = 400 * NSEC_PER_MSEC;
	c->ack_ns = 150 * NSEC_PER_MSEC;
	c->suspect_ns = 1200 * NSEC_PER_MSEC;
	c->forget_ns = 300 * NSEC_PER_SEC;
	c->relays = 3;
}

struct member *
member_create(const struct member_config *config, const struct node_id *self,
    uint64_t seed)
{
	struct member *m;

	m = mem_alloc(sizeof(*m));
	m->config = *config;
	m->self = *self;
	m->seed[0] = (unsigned short)seed;
	m->seed[1] = (unsigned short)(seed >> 16);
	m->seed[2] = (unsigned short)(seed >> 32);
	m->self_peer.info.id = *self;
	m->self_peer.info.state = MEMBER_ALIVE;
	m->self_peer.spread = SPREAD_LEAST;
	m->fail_due = TIME_NEVER;
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
	free(m->order);
	free(m);
}

struct peer *
member_peer(const struct member *m, const char *addr)
{
	struct peer *p;

	HASH_FIND_STR(m->peers, addr, p);
	return p;
}

static uint32_t
spread_count(const struct member *m)
{
	uint32_t n = HASH_COUNT(m->peers);
	uint32_t log = 0;

	for (; n != 0; n /= 2)
		log++;
	return SPREAD_LEAST + SPREAD_FACTOR * log;
}

static struct peer *
peer_create(struct member *m, uint64_t now, const char *addr)
{
	struct peer *p;

	p = mem_alloc(sizeof(*p));
	snprintf(p->info.id.addr, sizeof(p->info.id.addr), "%s", addr);
	p->info.state = MEMBER_ALIVE;
	p->since = now;
	p->listed = 1;
	HASH_ADD_KEYPTR(
	    hh, m->peers, p->info.id.addr, strlen(p->info.id.addr), p);
	return p;
}

static void
peer_state(
    struct member *m, uint64_t now, struct peer *p, enum member_state state)
{
	p->info.state = state;
	p->since = now;
	p->spread = spread_count(m);
}

void
member_seed(struct member *m, uint64_t now, const char *addr)
{
	if (strcmp(addr, m->self.addr) == 0)
		return;
	if (member_peer(m, addr) == NULL)
		peer_create(m, now, addr);
}

void
member_leaving(struct member *m, uint64_t now, const char *addr)
{
	struct peer *p = member_peer(m, addr);

	if (p == NULL || p->info.state == MEMBER_LEAVING ||
	    p->info.state == MEMBER_DEAD)
		return;
	peer_state(m, now, p, MEMBER_LEAVING);
}

void
member_listed(struct member *m, const char *addr, int listed)
{
	struct peer *p = member_peer(m, addr);

	if (p != NULL)
		p->listed = listed;
}

void
member_revision(struct member *m, uint64_t revision)
{
	m->revision = revision;
}

/* A message came straight from the peer. */
static void
peer_alive(
    struct member *m, uint64_t now, const struct node_id *id, uint64_t revision)
{
	struct peer *p;

	if (strcmp(id->addr, m->self.addr) == 0)
		return;
	p = member_peer(m, id->addr);
	if (p == NULL)
		p = peer_create(m, now, id->addr);
	if (id->incarnation < p->info.id.incarnation)
		return;
	if (id->incarnation > p->info.id.incarnation) {
		p->info.id.incarnation = id->incarnation;
		p->info.revision = 0;
		peer_state(m, now, p, MEMBER_ALIVE);
	}
	/* Leaving never reverts within an incarnation. */
	if (p->info.state == MEMBER_SUSPECT || p->info.state == MEMBER_DEAD)
		peer_state(m, now, p, MEMBER_ALIVE);
	p->info.heard = now;
	if (revision > p->info.revision)
		p->info.revision = revision;
}

/* Others say something about this process. */
static void
learn_self(struct member *m, const struct msg_member *news)
{
	if (news->incarnation != m->self.incarnation ||
	    news->state == (uint32_t)m->self_peer.info.state)
		return;
	m->self_peer.spread = spread_count(m);
}

/*
 * Takes in gossip.  A later incarnation wins; within one, only a worse state
 * does.  What a process says itself is taken in peer_alive().
 */
static void
learn(struct member *m, uint64_t now, const struct msg_member *news)
{
	static const int rank[MEMBER__MAX] = {
		[MEMBER_ALIVE] = 0,
		[MEMBER_SUSPECT] = 1,
		[MEMBER_LEAVING] = 2,
		[MEMBER_DEAD] = 3,
	};
	struct peer *p;

	if (strcmp(news->addr, m->self.addr) == 0) {
		learn_self(m, news);
		return;
	}
	p = member_peer(m, news->addr);
	if (p == NULL) {
		if (news->state == MEMBER_DEAD)
			return;
		p = peer_create(m, now, news->addr);
	}
	if (news->incarnation < p->info.id.incarnation)
		return;
	if (news->incarnation == p->info.id.incarnation &&
	    rank[news->state] <= rank[p->info.state])
		return;
	/* Heard lately: an older suspicion is not news. */
	if (news->state == MEMBER_SUSPECT &&
	    now < p->info.heard + m->config.period_ns)
		return;
	p->info.id.incarnation = news->incarnation;
	peer_state(m, now, p, (enum member_state)news->state);
}

static int
add_one(struct peer *p, struct msg_ping *ping)
{
	struct msg_member *news;

	if (p->spread == 0 || ping->n == MSG_MEMBERS_MAX)
		return 0;
	p->spread--;
	news = &ping->members[ping->n++];
	memcpy(news->addr, p->info.id.addr, sizeof(news->addr));
	news->incarnation = p->info.id.incarnation;
	news->state = p->info.state;
	return 1;
}

static void
add_gossip(struct member *m, struct msg_ping *ping)
{
	struct peer *p, *next;

	add_one(&m->self_peer, ping);
	HASH_ITER (hh, m->peers, p, next)
		add_one(p, ping);
}

static struct msg *
probe_msg(struct member *m, enum msg_kind kind, const char *to, uint64_t probe)
{
	struct msg *msg;

	msg = msg_create(kind, to);
	msg->u.ping.probe = probe;
	msg->u.ping.revision = m->revision;
	add_gossip(m, &msg->u.ping);
	return msg;
}

/* Starts a new round over all peers in random order. */
static void
shuffle(struct member *m)
{
	struct peer *p, *next, *swap;
	uint32_t i;
	uint32_t k;

	m->next = 0;
	m->norder = 0;
	m->order =
	    mem_grow(m->order, HASH_COUNT(m->peers) + 1, sizeof(struct peer *));
	HASH_ITER (hh, m->peers, p, next)
		m->order[m->norder++] = p;
	for (i = m->norder; i > 1; i--) {
		k = (uint32_t)nrand48(m->seed) % i;
		swap = m->order[i - 1];
		m->order[i - 1] = m->order[k];
		m->order[k] = swap;
	}
}

static struct peer *
next_target(struct member *m)
{
	struct peer *p;
	uint32_t tried;

	for (tried = 0; tried <= 2 * m->norder + 1; tried++) {
		if (m->next >= m->norder) {
			shuffle(m);
			if (m->norder == 0)
				return NULL;
		}
		p = m->order[m->next++];
		/* The dead are tried now and then: cuts heal. */
		if (p->info.state != MEMBER_DEAD || nrand48(m->seed) % 8 == 0)
			return p;
	}
	return NULL;
}

static void
begin_probe(struct member *m, uint64_t now, struct msg_list *out)
{
	struct msg *msg;
	struct peer *p;

	m->probe_at = now + m->config.period_ns;
	p = next_target(m);
	if (p == NULL)
		return;
	m->probe++;
	memcpy(m->target, p->info.id.addr, sizeof(m->target));
	m->ack_due = now + m->config.ack_ns;
	m->fail_due = now + m->config.period_ns - NSEC_PER_MSEC;
	m->asked_relays = 0;
	msg = probe_msg(m, MSG_PING, m->target, m->probe);
	TAILQ_INSERT_TAIL(out, msg, entry);
}

static void
ask_relays(struct member *m, struct msg_list *out)
{
	struct msg *msg;
	struct peer *p;
	uint32_t asked = 0;
	uint32_t i;

	m->asked_relays = 1;
	for (i = 0; i < m->norder && asked < m->config.relays; i++) {
		p = m->order[(m->next + i) % m->norder];
		if (p->info.state != MEMBER_ALIVE ||
		    strcmp(p->info.id.addr, m->target) == 0)
			continue;
		msg = probe_msg(m, MSG_PING_REQ, p->info.id.addr, m->probe);
		memcpy(
		    msg->u.ping.target, m->target, sizeof(msg->u.ping.target));
		TAILQ_INSERT_TAIL(out, msg, entry);
		asked++;
	}
}

static void
expire(struct member *m, uint64_t now)
{
	struct peer *p, *next;

	HASH_ITER (hh, m->peers, p, next) {
		if (p->info.state == MEMBER_SUSPECT &&
		    now >= p->since + m->config.suspect_ns)
			peer_state(m, now, p, MEMBER_DEAD);
		if (p->info.state != MEMBER_DEAD || p->listed ||
		    now < p->since + m->config.forget_ns)
			continue;
		HASH_DEL(m->peers, p);
		free(p);
		m->norder = m->next = 0;
	}
}

void
member_tick(struct member *m, uint64_t now, struct msg_list *out)
{
	struct peer *p;

	if (m->fail_due != TIME_NEVER && now >= m->ack_due && !m->asked_relays)
		ask_relays(m, out);
	if (now >= m->fail_due) {
		m->fail_due = TIME_NEVER;
		p = member_peer(m, m->target);
		if (p != NULL && (p->info.state == MEMBER_ALIVE))
			peer_state(m, now, p, MEMBER_SUSPECT);
		if (p != NULL && p->info.state == MEMBER_LEAVING)
			peer_state(m, now, p, MEMBER_DEAD);
	}
	expire(m, now);
	if (now >= m->probe_at)
		begin_probe(m, now, out);
}

static void
on_ping(
    struct member *m, uint64_t now, const struct msg *msg, struct msg_list *out)
{
	struct msg *reply;

	(void)now;
	reply = probe_msg(m, MSG_ACK, msg->from.addr, msg->u.ping.probe);
	TAILQ_INSERT_TAIL(out, reply, entry);
}

/* Probes a third on behalf of the sender. */
static void
on_ping_req(
    struct member *m, uint64_t now, const struct msg *msg, struct msg_list *out)
{
	struct relay *r;
	struct msg *probe;

	r = &m->relays[m->next_relay++ % RELAYS_MAX];
	memset(r, 0, sizeof(*r));
	r->probe = msg->u.ping.probe;
	r->ours = ++m->probe;
	memcpy(r->asker, msg->from.addr, sizeof(r->asker));
	r->until = now + m->config.period_ns;
	probe = probe_msg(m, MSG_PING, msg->u.ping.target, r->ours);
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
		if (r->ours != ping->probe || r->ours == 0)
			continue;
		if (now < r->until) {
			reply = probe_msg(m, MSG_ACK, r->asker, r->probe);
			memcpy(reply->u.ping.target, msg->from.addr,
			    sizeof(reply->u.ping.target));
			TAILQ_INSERT_TAIL(out, reply, entry);
		}
		r->ours = 0;
		return;
	}
	/* From the target itself, or through a relay that names it. */
	if (strcmp(msg->from.addr, m->target) == 0 ||
	    strcmp(ping->target, m->target) == 0)
		m->fail_due = TIME_NEVER;
}

void
member_message(
    struct member *m, uint64_t now, const struct msg *msg, struct msg_list *out)
{
	uint32_t i;

	peer_alive(m, now, &msg->from, msg->u.ping.revision);
	for (i = 0; i < msg->u.ping.n; i++)
		learn(m, now, &msg->u.ping.members[i]);
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
	uint32_t told = 0;

	m->self_peer.info.state = MEMBER_LEAVING;
	HASH_ITER (hh, m->peers, p, next) {
		if (p->info.state != MEMBER_ALIVE || told == 8)
			continue;
		m->self_peer.spread = 1;
		msg = probe_msg(m, MSG_PING, p->info.id.addr, ++m->probe);
		TAILQ_INSERT_TAIL(out, msg, entry);
		told++;
	}
}
