/*
 * Roles of this process and its peers: in a large fleet a relay in each data
 * centre, and the hubs, which watch the lists for all.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loader_io.h"
#include "mem.h"
#include "peers_int.h"
#include "session.h"

#define HUB_SILENT_NS (800 * NSEC_PER_MSEC) /* several missed reports */
/* Time for a starting process to discover its peers. */
#define HUB_STARTUP_NS (700 * NSEC_PER_MSEC)
/* With more peers, reports and lists go through relays. */
#define DIRECT_PEERS_MAX 15

static void choose_hubs(struct peers *);
static void choose_relays(struct peers *);
static void forget_relays(struct peers *);
static uint32_t count_silent(const struct peers *);
static void call_roll(struct peers *, int);
static void send_to_zone(struct peers *, const struct msg *, const char *);

void
peer_set_rank(struct peer *q, uint32_t weight, const char *zone)
{
	q->hub.weight = weight;
	q->relay.weight = weight;
	snprintf(q->hub.zone, sizeof(q->hub.zone), "%s", zone);
	snprintf(q->relay.zone, sizeof(q->relay.zone), "%s", zone);
}

int
peers_use_relays(const struct peers *p)
{
	return peers_count(p) > DIRECT_PEERS_MAX;
}

int
peers_is_relay(const struct peers *p)
{
	return peers_use_relays(p) && p->self_relay.hub_since != 0;
}

int
peers_has_duty(const struct peers *p)
{
	return !peers_use_relays(p) || peers_is_relay(p) ||
	    loader_io_is_leader(p->e);
}

/* In a large fleet the relays, which lend to the first hub. */
const char *
peers_permit_pool(const struct peers *p, int *lends_on)
{
	const struct hub *h = p->nhubs == 0 ? NULL : p->hubs[0];

	*lends_on = 0;
	if (peers_use_relays(p) && !peers_is_relay(p)) {
		*lends_on = 1;
		h = p->relay;
	}
	return h == NULL || h->self ? "" : h->addr;
}

int
peers_in_zone(const struct peers *p, const struct peer *q)
{
	return strcmp(q->relay.zone, p->self.zone) == 0;
}

/*
 * Chooses the hubs, and assigns a hub to each peer.  In a large fleet relays
 * alone are candidates: they report to each other, so that each knows which
 * of them live.
 */
static void
choose_hubs(struct peers *p)
{
	int large = peers_use_relays(p);
	struct hub **all;
	struct peer *q;
	uint32_t n = 0;
	int was_hub = p->self.hub_since != 0;

	all = mem_alloc((peers_count(p) + 1) * sizeof(struct hub *));
	p->self.hub_since =
	    large && p->self_relay.hub_since == 0 ? 0 : p->self.hub_since;
	if (!p->e->stopping && (!large || p->self_relay.hub_since != 0))
		all[n++] = &p->self;
	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (!large || q->relay.hub_since != 0)
			all[n++] = &q->hub;
		else
			q->hub.hub_since = 0;
	}
	p->nhubs = hubs_choose(all, n, p->e->now, HUB_SILENT_NS, p->hubs);
	free(all);
	for (q = p->peers; q != NULL && p->nhubs != 0; q = q->hh.next)
		q->hub_rank = hubs_index_for(q->hub.addr, p->nhubs);
	if (was_hub != (p->self.hub_since != 0))
		log_event(LOG_HUB, NULL, "hub=%d hubs=%u peers=%u", !was_hub,
		    p->nhubs, peers_count(p));
}

/* Relays of other data centres were not heard: nothing is known of them. */
static void
forget_relays(struct peers *p)
{
	struct peer *q;

	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (peers_in_zone(p, q))
			continue;
		q->relay.hub_since = 0;
		q->relay.silent = 0;
	}
}

/* Candidates of this data centre. */
static uint32_t
count_silent(const struct peers *p)
{
	const struct peer *q;
	uint32_t n = 0;

	for (q = p->peers; q != NULL; q = q->hh.next)
		n += q->relay.silent && peers_in_zone(p, q);
	return n;
}

/* Begins a roll call if the relay is silent, and applies the answers. */
static void
call_roll(struct peers *p, int relay_is_silent)
{
	struct peer *q;

	if (relay_is_silent)
		p->tells_zone |= roll_call_start(&p->roll_call, p->e->now);
	if (!roll_call_is_over(&p->roll_call, p->e->now))
		return;
	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (peers_in_zone(p, q))
			roll_call_judge(&p->roll_call, &q->relay);
	}
}

/*
 * Chooses the relay of this data centre and, for a relay or lease holder, those
 * of the others: only these hear them.
 */
static void
choose_relays(struct peers *p)
{
	uint32_t silent = count_silent(p);
	struct hub **all;
	struct hub **out;
	struct peer *q;
	uint32_t n = 0;
	uint32_t i;
	int fleet = p->self_relay.hub_since != 0 || loader_io_is_leader(p->e);
	int was_relay = p->self_relay.hub_since != 0;

	if (fleet && !p->knows_fleet)
		forget_relays(p);
	p->knows_fleet = fleet;
	all = mem_alloc((peers_count(p) + 1) * sizeof(struct hub *));
	out = mem_alloc((peers_count(p) + 1) * sizeof(struct hub *));
	if (p->e->stopping)
		p->self_relay.hub_since = 0;
	else
		all[n++] = &p->self_relay;
	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (fleet || peers_in_zone(p, q))
			all[n++] = &q->relay;
	}
	n = relays_choose(all, n, p->e->now, HUB_SILENT_NS, out);
	if (peers_use_relays(p))
		call_roll(p, count_silent(p) > silent);
	p->relay = NULL;
	for (i = 0; i < n; i++) {
		if (strcmp(out[i]->zone, p->self.zone) == 0)
			p->relay = out[i];
	}
	free(all);
	free(out);
	if (was_relay != (p->self_relay.hub_since != 0))
		log_event(LOG_RELAY, NULL, "relay=%d zone=%s peers=%u",
		    !was_relay, p->self.zone, peers_count(p));
}

/*
 * A process that the store turns away ranks last: it could not follow the lists
 * for others.
 */
void
peers_choose(struct peers *p)
{
	int up = p->e->session == NULL || session_is_up(p->e->session);

	p->self.weight = up ? p->weight : 0;
	p->self_relay.weight = p->self.weight;
	choose_relays(p);
	choose_hubs(p);
}

uint32_t
peers_hub_rank(const struct peers *p)
{
	uint32_t rank;

	for (rank = 0; rank < p->nhubs && p->hubs[rank] != &p->self; rank++)
		continue;
	return rank;
}

uint32_t
peers_candidate_rank(const struct peers *p)
{
	uint32_t rank = peers_hub_rank(p);

	return rank < p->nhubs ? rank : HUBS_MAX + 1;
}

int
peers_is_active_hub(const struct peers *p)
{
	return p->self.hub_since != 0 &&
	    p->e->now >= p->started_at + HUB_STARTUP_NS;
}

int
peers_is_first_hub(const struct peers *p)
{
	return peers_hub_rank(p) == 0 && peers_is_active_hub(p);
}

int
peers_follow_hubs(const struct peers *p)
{
	return peers_use_relays(p) && p->self.hub_since == 0;
}

/* Sends a copy to each process of this data centre but one. */
static void
send_to_zone(struct peers *p, const struct msg *m, const char *except)
{
	struct peer *q;
	struct msg *copy;

	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (!peers_in_zone(p, q) || strcmp(q->hub.addr, except) == 0)
			continue;
		copy = msg_copy(m);
		snprintf(copy->to, sizeof(copy->to), "%s", q->hub.addr);
		bus_send(p->bus, copy);
	}
}

void
peers_send_down(struct peers *p, struct msg *m)
{
	struct peer *q;
	struct msg *copy;

	if (!peers_use_relays(p)) {
		peers_broadcast(p, m);
		return;
	}
	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (q->relay.hub_since == 0)
			continue;
		copy = msg_copy(m);
		snprintf(copy->to, sizeof(copy->to), "%s", q->hub.addr);
		bus_send(p->bus, copy);
	}
	if (peers_is_relay(p))
		send_to_zone(p, m, "");
	msg_destroy(m);
}

void
peers_send_to_own_zone(struct peers *p, struct msg *m)
{
	send_to_zone(p, m, "");
	msg_destroy(m);
}

void
peers_relay_table(struct peers *p, const struct msg *m)
{
	if (peers_is_relay(p) && strcmp(m->from.addr, m->u.held.holder) == 0)
		send_to_zone(p, m, m->from.addr);
}
