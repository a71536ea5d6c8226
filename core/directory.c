#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "directory.h"
#include "mem.h"

/* A lapsed entry is written again within this time of the service's return. */
#define LAPSE_NS (2 * NSEC_PER_SEC)
/* A peer's word on its work counts this long. */
#define PEER_WORK_NS (1500 * NSEC_PER_MSEC)
/* Until the configuration tells the longest pause between events. */
#define WINDOW_NS (300 * NSEC_PER_MSEC)
/* Reading of prompts beside running streams, learned from their pauses. */
#define SHARE_FIRST 1.3
#define SHARE_LEAST 0.4
#define SHARE_MOST 1.5
#define SHARE_CUT 0.85
#define SHARE_RISE 0.03 /* a second */
#define SHARE_HOLD_NS (1 * NSEC_PER_SEC)
#define AVOID_FIRST_NS (150 * NSEC_PER_MSEC)
#define AVOID_MOST_NS (2 * NSEC_PER_SEC)
#define ERRORS_HALF_NS (2 * NSEC_PER_SEC) /* half-life of the failed share */
#define ERRORS_WEIGHT 0.15

static void end_earlier(struct directory *, const struct fleet_replica *);
static void put_kept(struct member_replica *, const struct fleet_replica *);
static double errors_now(const struct member_replica *, uint64_t);

void
directory_init(struct directory *d)
{
	memset(d, 0, sizeof(*d));
	d->away_since = TIME_NEVER;
	d->window_ns = WINDOW_NS;
}

void
directory_clear(struct directory *d)
{
	struct member_replica *m, *next;

	HASH_ITER (hh, d->replicas, m, next) {
		HASH_DEL(d->replicas, m);
		free(m->peers);
		free(m);
	}
}

struct member_replica *
directory_find(const struct directory *d, const char *id)
{
	struct member_replica *m;

	HASH_FIND_STR(d->replicas, id, m);
	return m;
}

/* Entries tell of adapters late; what the holder of orders told is newer. */
static void
put_kept(struct member_replica *m, const struct fleet_replica *r)
{
	struct fleet_replica old = m->info;
	uint32_t i;

	m->info = *r;
	if (old.born_ms != r->born_ms)
		return;
	m->info.orders = old.orders;
	m->info.nadapters = 0;
	for (i = 0; i < old.nadapters; i++) {
		char model[NAME_SIZE];
		size_t len = strcspn(old.adapters[i], "/");

		if (len >= sizeof(model))
			continue;
		memcpy(model, old.adapters[i], len);
		model[len] = '\0';
		if (fleet_has_model(r, model))
			memcpy(m->info.adapters[m->info.nadapters++],
			    old.adapters[i], FLEET_NAME_SIZE);
	}
}

/* An address serves one replica at a time: an earlier one there has ended. */
static void
end_earlier(struct directory *d, const struct fleet_replica *r)
{
	struct member_replica *m, *next;

	HASH_ITER (hh, d->replicas, m, next) {
		if (strcmp(m->info.addr, r->addr) == 0 &&
		    strcmp(m->info.id, r->id) != 0 &&
		    m->info.born_ms < r->born_ms)
			m->presence = PRESENT_GONE;
	}
}

struct member_replica *
directory_put(struct directory *d, const struct fleet_replica *r)
{
	struct member_replica *m;

	end_earlier(d, r);
	m = directory_find(d, r->id);
	if (m == NULL) {
		m = mem_alloc(sizeof(*m));
		m->info = *r;
		m->read_share = SHARE_FIRST;
		HASH_ADD_STR(d->replicas, info.id, m);
	} else {
		if (m->info.born_ms != r->born_ms) {
			m->failures = 0;
			m->avoid_until = 0;
			m->errors = 0.0;
		}
		put_kept(m, r);
	}
	m->presence = PRESENT;
	return m;
}

void
directory_remove(struct directory *d, uint64_t now, const char *id)
{
	struct member_replica *m;

	m = directory_find(d, id);
	if (m == NULL || m->presence != PRESENT)
		return;
	if (d->away_since != TIME_NEVER || now < d->back_at + LAPSE_NS) {
		m->presence = PRESENT_LAPSED;
		m->lapse_until = d->away_since != TIME_NEVER
		    ? TIME_NEVER
		    : d->back_at + LAPSE_NS;
		return;
	}
	m->presence = PRESENT_GONE;
}

void
directory_service(struct directory *d, uint64_t now, int up)
{
	struct member_replica *m, *next;

	if (!up) {
		if (d->away_since == TIME_NEVER)
			d->away_since = now;
		return;
	}
	if (d->away_since == TIME_NEVER)
		return;
	d->away_since = TIME_NEVER;
	d->back_at = now;
	HASH_ITER (hh, d->replicas, m, next) {
		if (m->presence == PRESENT_LAPSED)
			m->lapse_until = now + LAPSE_NS;
	}
}

uint64_t
directory_lapse_left(const struct directory *d, uint64_t now)
{
	if (d->away_since != TIME_NEVER)
		return LAPSE_NS;
	if (d->back_at == 0 || now >= d->back_at + LAPSE_NS)
		return 0;
	return d->back_at + LAPSE_NS - now;
}

void
directory_lapsing(struct directory *d, uint64_t now, uint64_t left)
{
	if (left != 0 && left <= LAPSE_NS && now + left > d->back_at + LAPSE_NS)
		d->back_at = now + left - LAPSE_NS;
}

void
directory_tick(struct directory *d, uint64_t now)
{
	struct member_replica *m, *next;

	HASH_ITER (hh, d->replicas, m, next) {
		if (m->presence == PRESENT_LAPSED && now >= m->lapse_until)
			m->presence = PRESENT_GONE;
		if (m->presence != PRESENT_GONE || m->own.running != 0)
			continue;
		HASH_DEL(d->replicas, m);
		free(m->peers);
		free(m);
	}
}

int
directory_usable(const struct member_replica *m, uint64_t now)
{
	return m->presence != PRESENT_GONE && m->info.state == REPLICA_READY &&
	    now >= m->avoid_until;
}

/* Takes the place of the same name, or of the one that ends first. */
void
directory_shun(struct member_replica *m, const char *wanted, uint64_t until)
{
	struct shun *place = &m->shuns[0];
	uint32_t i;

	for (i = 0; i < DIRECTORY_SHUNS_MAX; i++) {
		if (strcmp(m->shuns[i].wanted, wanted) == 0) {
			place = &m->shuns[i];
			break;
		}
		if (m->shuns[i].until < place->until)
			place = &m->shuns[i];
	}
	snprintf(place->wanted, sizeof(place->wanted), "%s", wanted);
	place->until = until;
}

int
directory_shunned(
    const struct member_replica *m, uint64_t now, const char *wanted)
{
	uint32_t i;

	if (*wanted == '\0')
		return 0;
	for (i = 0; i < DIRECTORY_SHUNS_MAX; i++) {
		if (now < m->shuns[i].until &&
		    strcmp(m->shuns[i].wanted, wanted) == 0)
			return 1;
	}
	return 0;
}

void
directory_peer_clear(struct directory *d, uint64_t now, uint32_t peer)
{
	struct member_replica *m, *next;

	if (peer >= DIRECTORY_PEERS_MAX)
		return;
	d->peer_heard[peer] = now;
	HASH_ITER (hh, d->replicas, m, next) {
		if (peer < m->npeers)
			memset(&m->peers[peer], 0, sizeof(m->peers[peer]));
	}
}

void
directory_peer_work(
    struct directory *d, uint32_t peer, const char *id, const struct work *w)
{
	struct member_replica *m;

	m = directory_find(d, id);
	if (m == NULL || peer >= DIRECTORY_PEERS_MAX)
		return;
	if (peer >= m->npeers) {
		m->peers = mem_grow(m->peers, peer + 1, sizeof(*m->peers));
		memset(&m->peers[m->npeers], 0,
		    (peer + 1 - m->npeers) * sizeof(*m->peers));
		m->npeers = peer + 1;
	}
	m->peers[peer] = *w;
}

void
directory_sent(struct member_replica *m, uint64_t now, uint32_t read_us)
{
	struct sent *s = &m->sent[m->nsent++ % DIRECTORY_SENT_MAX];

	s->at = now;
	s->read_us = read_us;
}

uint32_t
directory_recent(
    const struct directory *d, uint64_t now, const struct member_replica *m)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < DIRECTORY_SENT_MAX && i < m->nsent; i++) {
		if (now < m->sent[i].at + d->window_ns)
			sum += m->sent[i].read_us;
	}
	return sum;
}

double
directory_share(const struct member_replica *m, uint64_t now)
{
	double share = m->read_share;

	if (m->share_at != 0)
		share += SHARE_RISE * (double)(now - m->share_at) /
		    (double)NSEC_PER_SEC;
	return share < SHARE_MOST ? share : SHARE_MOST;
}

void
directory_paused(
    const struct directory *d, uint64_t now, struct member_replica *m)
{
	struct work load;
	double share;

	if (now < m->share_until)
		return;
	load = directory_load(d, now, m);
	if ((load.recent_us + load.unread_us) * (double)NSEC_PER_USEC <
	    SHARE_LEAST * (double)d->window_ns)
		return;
	share = directory_share(m, now) * SHARE_CUT;
	m->read_share = share > SHARE_LEAST ? share : SHARE_LEAST;
	m->share_at = now;
	m->share_until = now + SHARE_HOLD_NS;
}

struct work
directory_peer(const struct directory *d, uint64_t now,
    const struct member_replica *m, uint32_t peer)
{
	struct work w = { 0, 0, 0, 0 };
	uint64_t age;

	if (peer >= m->npeers || now > d->peer_heard[peer] + PEER_WORK_NS)
		return w;
	w = m->peers[peer];
	/* What a peer sent leaves the window bit by bit. */
	age = now - d->peer_heard[peer];
	w.recent_us = age >= d->window_ns
	    ? 0
	    : (uint32_t)(w.recent_us * (d->window_ns - age) / d->window_ns);
	return w;
}

struct work
directory_peers(
    const struct directory *d, uint64_t now, const struct member_replica *m)
{
	struct work sum = { 0, 0, 0, 0 };
	struct work w;
	uint32_t i;

	for (i = 0; i < m->npeers; i++) {
		w = directory_peer(d, now, m, i);
		sum.running += w.running;
		sum.unread_us += w.unread_us;
		sum.recent_us += w.recent_us;
		sum.tokens += w.tokens;
	}
	return sum;
}

struct work
directory_load(
    const struct directory *d, uint64_t now, const struct member_replica *m)
{
	struct work sum = directory_peers(d, now, m);

	sum.running += m->own.running;
	sum.unread_us += m->own.unread_us;
	sum.recent_us += directory_recent(d, now, m);
	sum.tokens += m->own.tokens;
	return sum;
}

static double
errors_now(const struct member_replica *m, uint64_t now)
{
	double errors = m->errors;
	uint64_t t;

	for (t = m->errors_at; errors > 0.01 && t + ERRORS_HALF_NS <= now;
	     t += ERRORS_HALF_NS)
		errors /= 2.0;
	return errors > 0.01 ? errors : 0.0;
}

void
directory_success(struct member_replica *m, uint64_t now)
{
	m->failures = 0;
	m->avoid_until = 0;
	m->errors = errors_now(m, now) * (1.0 - ERRORS_WEIGHT);
	m->errors_at = now;
}

void
directory_failure(struct member_replica *m, uint64_t now, int unreachable)
{
	uint64_t pause = AVOID_FIRST_NS;
	uint32_t i;

	m->errors = errors_now(m, now) * (1.0 - ERRORS_WEIGHT) + ERRORS_WEIGHT;
	m->errors_at = now;
	if (!unreachable)
		return;
	for (i = 0; i < m->failures && pause < AVOID_MOST_NS; i++)
		pause *= 2;
	m->failures++;
	m->avoid_until = now + (pause < AVOID_MOST_NS ? pause : AVOID_MOST_NS);
}
