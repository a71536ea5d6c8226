#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "directory.h"
#include "hash.h"
#include "mem.h"

/* Expired list entries are renewed this soon after the service recovered. */
#define REMOVAL_GRACE_NS (2 * NSEC_PER_SEC)
/* Load reported by a peer is valid this long. */
#define PEER_LOAD_VALID_NS (1500 * NSEC_PER_MSEC)
/* Used until the configuration gives a target gap between events. */
#define DEFAULT_PREFILL_WINDOW_NS (300 * NSEC_PER_MSEC)
/*
 * Share of prefill beside running streams: additive increase, multiplicative
 * decrease on gaps between events above the target.
 */
#define PREFILL_SHARE_INITIAL 1.3
#define PREFILL_SHARE_MIN 0.4
#define PREFILL_SHARE_MAX 1.5
#define PREFILL_SHARE_DECREASE 0.85
#define PREFILL_SHARE_RISE_PER_S 0.03
#define PREFILL_SHARE_HOLD_NS (1 * NSEC_PER_SEC)
#define AVOID_MIN_NS (150 * NSEC_PER_MSEC)
#define AVOID_MAX_NS (2 * NSEC_PER_SEC)
#define ERROR_RATE_HALF_LIFE_NS (2 * NSEC_PER_SEC)
#define ERROR_RATE_WEIGHT 0.15

static void replica_destroy(struct directory_replica *);
static void remove_predecessors(
    struct directory *, const struct fleet_replica *);
static void update_listed_info(
    struct directory_replica *, const struct fleet_replica *);
static int peer_is_current(const struct directory *, uint64_t, uint32_t);
static struct replica_load decayed_load(
    const struct directory *, uint64_t, const struct peer_load *);
static int select_all(const void *, uint32_t);
static double current_error_rate(const struct directory_replica *, uint64_t);

void
directory_init(struct directory *d)
{
	memset(d, 0, sizeof(*d));
	d->service_down_since = TIME_NEVER;
	d->prefill_window_ns = DEFAULT_PREFILL_WINDOW_NS;
}

static void
replica_destroy(struct directory_replica *m)
{
	fleet_replica_clear(&m->info);
	free(m->peer_loads);
	free(m);
}

void
directory_clear(struct directory *d)
{
	struct directory_replica *m, *next;

	HASH_ITER (hh, d->replicas, m, next) {
		HASH_DEL(d->replicas, m);
		replica_destroy(m);
	}
	kept_notice_clear(&d->kept_notices);
	free(d->peer_heard_at);
	d->peer_heard_at = NULL;
	d->npeers = 0;
}

struct directory_replica *
directory_find(const struct directory *d, const char *id)
{
	struct directory_replica *m;

	HASH_FIND_STR(d->replicas, id, m);
	return m;
}

/*
 * List entries show adapters with a delay, so that those from the leader are
 * kept as long as the replica has not restarted and still has their model.
 */
static void
update_listed_info(struct directory_replica *m, const struct fleet_replica *r)
{
	struct name_list held = m->info.adapters;
	uint64_t accepted_orders = m->info.accepted_orders;
	char model[NAME_SIZE];
	uint32_t i;

	if (m->info.started_ms != r->started_ms) {
		fleet_replica_copy(&m->info, r);
		return;
	}
	memset(&m->info.adapters, 0, sizeof(m->info.adapters));
	fleet_replica_copy(&m->info, r);
	m->info.accepted_orders = accepted_orders;
	for (i = held.n; i-- > 0;) {
		snprintf(model, sizeof(model), "%.*s",
		    (int)strcspn(held.names[i], "/"), held.names[i]);
		if (!fleet_has_model(r, model))
			name_list_remove_at(&held, i);
	}
	name_list_clear(&m->info.adapters);
	m->info.adapters = held;
}

/* An address serves one replica at a time: earlier ones there have ended. */
static void
remove_predecessors(struct directory *d, const struct fleet_replica *r)
{
	struct directory_replica *m, *next;

	HASH_ITER (hh, d->replicas, m, next) {
		if (strcmp(m->info.addr, r->addr) == 0 &&
		    strcmp(m->info.id, r->id) != 0 &&
		    m->info.started_ms < r->started_ms)
			m->presence = PRESENCE_REMOVED;
	}
}

struct directory_replica *
directory_put(struct directory *d, const struct fleet_replica *r)
{
	struct directory_replica *m;

	remove_predecessors(d, r);
	m = directory_find(d, r->id);
	if (m == NULL) {
		m = mem_alloc(sizeof(*m));
		fleet_replica_copy(&m->info, r);
		m->prefill_share = PREFILL_SHARE_INITIAL;
		kept_notice_take(&d->kept_notices, r->id, &m->notice);
		HASH_ADD_STR(d->replicas, info.id, m);
	} else if (m->info.started_ms == r->started_ms &&
	    r->heartbeats < m->info.heartbeats) {
		return m;
	} else {
		if (m->info.started_ms != r->started_ms) {
			directory_forget_failures(m);
		}
		update_listed_info(m, r);
	}
	m->presence = PRESENCE_LISTED;
	m->service_hash = hash_text(m->info.service);
	return m;
}

int
directory_serves(
    const struct directory_replica *m, const char *service, uint64_t hash)
{
	return m->service_hash == hash && strcmp(m->info.service, service) == 0;
}

int
directory_holds(
    const struct directory_replica *m, const char *model, uint64_t hash)
{
	return *model == '\0' ||
	    name_list_has_hashed(&m->info.resident, model, hash);
}

void
directory_remove(struct directory *d, uint64_t now, const char *id)
{
	struct directory_replica *m;

	m = directory_find(d, id);
	if (m == NULL || m->presence != PRESENCE_LISTED)
		return;
	if (d->service_down_since != TIME_NEVER ||
	    now < d->service_up_at + REMOVAL_GRACE_NS) {
		m->presence = PRESENCE_GRACE;
		m->grace_until = d->service_down_since != TIME_NEVER
		    ? TIME_NEVER
		    : d->service_up_at + REMOVAL_GRACE_NS;
		return;
	}
	m->presence = PRESENCE_REMOVED;
}

void
directory_remove_reported(
    struct directory *d, uint64_t now, const char *id, uint64_t grace_ns)
{
	struct directory_replica *m;

	m = directory_find(d, id);
	if (m == NULL || m->presence == PRESENCE_REMOVED)
		return;
	m->presence = grace_ns == 0 ? PRESENCE_REMOVED : PRESENCE_GRACE;
	m->grace_until = now + grace_ns;
}

void
directory_set_service_up(struct directory *d, uint64_t now, int up)
{
	struct directory_replica *m, *next;

	if (!up) {
		if (d->service_down_since == TIME_NEVER)
			d->service_down_since = now;
		return;
	}
	if (d->service_down_since == TIME_NEVER)
		return;
	d->service_down_since = TIME_NEVER;
	d->service_up_at = now;
	HASH_ITER (hh, d->replicas, m, next) {
		if (m->presence == PRESENCE_GRACE)
			m->grace_until = now + REMOVAL_GRACE_NS;
	}
}

uint64_t
directory_removal_grace_left(const struct directory *d, uint64_t now)
{
	if (d->service_down_since != TIME_NEVER)
		return REMOVAL_GRACE_NS;
	if (d->service_up_at == 0 || now >= d->service_up_at + REMOVAL_GRACE_NS)
		return 0;
	return d->service_up_at + REMOVAL_GRACE_NS - now;
}

void
directory_extend_removal_grace(struct directory *d, uint64_t now, uint64_t left)
{
	if (left != 0 && left <= REMOVAL_GRACE_NS &&
	    now + left > d->service_up_at + REMOVAL_GRACE_NS)
		d->service_up_at = now + left - REMOVAL_GRACE_NS;
}

void
directory_tick(struct directory *d, uint64_t now)
{
	struct directory_replica *m, *next;

	kept_notice_tick(&d->kept_notices, now);
	HASH_ITER (hh, d->replicas, m, next) {
		if (m->presence == PRESENCE_GRACE && now >= m->grace_until)
			m->presence = PRESENCE_REMOVED;
		if (m->presence != PRESENCE_REMOVED ||
		    m->local_load.running != 0)
			continue;
		kept_notice_put(&d->kept_notices, now, m->info.id, &m->notice);
		HASH_DEL(d->replicas, m);
		replica_destroy(m);
	}
}

int
directory_is_leaving(const struct directory_replica *m)
{
	return m->info.state != REPLICA_READY ||
	    notice_is_leaving(&m->notice, m->info.started_ms);
}

uint64_t
directory_closed_until(const struct directory_replica *m, uint64_t now)
{
	return notice_closed_until(&m->notice, m->info.started_ms, now);
}

double
directory_limit(const struct directory_replica *m)
{
	return notice_limit_of(&m->notice, m->info.started_ms);
}

void
directory_add_permit(struct directory_replica *m, uint64_t now, uint64_t until)
{
	if (now >= m->permits_until)
		m->permits = 0;
	m->permits++;
	m->permits_until = until;
}

void
directory_take_permit(struct directory_replica *m, uint64_t now)
{
	if (now < m->permits_until && m->permits != 0)
		m->permits--;
}

int
directory_permitted(const struct directory_replica *m, uint64_t now)
{
	return directory_limit(m) == 0.0 ||
	    (m->permits != 0 && now < m->permits_until);
}

int
directory_in_service(const struct directory_replica *m, uint64_t now)
{
	return m->presence != PRESENCE_REMOVED && !directory_is_leaving(m) &&
	    now >= m->avoid_until;
}

int
directory_usable(const struct directory_replica *m, uint64_t now)
{
	return directory_in_service(m, now) &&
	    directory_closed_until(m, now) == 0 &&
	    (m->local_load.running == 0 ||
		!notice_is_probed(&m->notice, m->info.started_ms, now));
}

/* Replaces the exclusion of the same name or the one that ends first. */
void
directory_exclude(
    struct directory_replica *m, const char *wanted, uint64_t until)
{
	struct exclusion *place = &m->exclusions[0];
	uint32_t i;

	for (i = 0; i < DIRECTORY_EXCLUSIONS_MAX; i++) {
		if (strcmp(m->exclusions[i].name, wanted) == 0) {
			place = &m->exclusions[i];
			break;
		}
		if (m->exclusions[i].until < place->until)
			place = &m->exclusions[i];
	}
	snprintf(place->name, sizeof(place->name), "%s", wanted);
	place->until = until;
}

int
directory_excluded(
    const struct directory_replica *m, uint64_t now, const char *wanted)
{
	uint32_t i;

	if (*wanted == '\0')
		return 0;
	for (i = 0; i < DIRECTORY_EXCLUSIONS_MAX; i++) {
		if (now < m->exclusions[i].until &&
		    strcmp(m->exclusions[i].name, wanted) == 0)
			return 1;
	}
	return 0;
}

void
directory_reset_peer_load(struct directory *d, uint64_t now, uint32_t peer)
{
	struct directory_replica *m, *next;
	uint32_t size;
	uint32_t i;

	if (peer >= d->npeers) {
		size = peer + 16;
		d->peer_heard_at =
		    mem_grow(d->peer_heard_at, size, sizeof(*d->peer_heard_at));
		memset(&d->peer_heard_at[d->npeers], 0,
		    (size - d->npeers) * sizeof(*d->peer_heard_at));
		d->npeers = size;
	}
	d->peer_heard_at[peer] = now;
	HASH_ITER (hh, d->replicas, m, next) {
		for (i = 0; i < m->npeer_loads; i++) {
			if (m->peer_loads[i].peer == peer ||
			    !peer_is_current(d, now, m->peer_loads[i].peer))
				m->peer_loads[i--] =
				    m->peer_loads[--m->npeer_loads];
		}
	}
}

void
directory_set_peer_load(struct directory *d, uint32_t peer, const char *id,
    const struct replica_load *w)
{
	struct directory_replica *m;
	uint32_t i;

	m = directory_find(d, id);
	if (m == NULL || peer >= d->npeers)
		return;
	for (i = 0; i < m->npeer_loads; i++) {
		if (m->peer_loads[i].peer == peer) {
			m->peer_loads[i].load = *w;
			return;
		}
	}
	if (m->npeer_loads == m->peer_loads_size) {
		m->peer_loads_size = m->peer_loads_size * 2 + 4;
		m->peer_loads = mem_grow(
		    m->peer_loads, m->peer_loads_size, sizeof(*m->peer_loads));
	}
	m->peer_loads[m->npeer_loads].peer = peer;
	m->peer_loads[m->npeer_loads++].load = *w;
}

void
directory_prompt_sent(
    struct directory_replica *m, uint64_t now, uint32_t read_us)
{
	struct sent_prompt *s =
	    &m->sent_prompts[m->nsent_prompts++ % DIRECTORY_SENT_PROMPTS_MAX];

	s->sent_at = now;
	s->prefill_us = read_us;
}

uint32_t
directory_recent_prefill_us(
    const struct directory *d, uint64_t now, const struct directory_replica *m)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < DIRECTORY_SENT_PROMPTS_MAX && i < m->nsent_prompts;
	     i++) {
		if (now < m->sent_prompts[i].sent_at + d->prefill_window_ns)
			sum += m->sent_prompts[i].prefill_us;
	}
	return sum;
}

double
directory_prefill_share(const struct directory_replica *m, uint64_t now)
{
	double share = m->prefill_share;

	if (m->prefill_share_at != 0)
		share += PREFILL_SHARE_RISE_PER_S *
		    (double)(now - m->prefill_share_at) / (double)NSEC_PER_SEC;
	return share < PREFILL_SHARE_MAX ? share : PREFILL_SHARE_MAX;
}

void
directory_stream_paused(
    const struct directory *d, uint64_t now, struct directory_replica *m)
{
	struct replica_load load;
	double share;

	if (now < m->prefill_share_hold_until)
		return;
	load = directory_total_load(d, now, m);
	if ((load.recent_us + load.unread_us) * (double)NSEC_PER_USEC <
	    PREFILL_SHARE_MIN * (double)d->prefill_window_ns)
		return;
	share = directory_prefill_share(m, now) * PREFILL_SHARE_DECREASE;
	m->prefill_share =
	    share > PREFILL_SHARE_MIN ? share : PREFILL_SHARE_MIN;
	m->prefill_share_at = now;
	m->prefill_share_hold_until = now + PREFILL_SHARE_HOLD_NS;
}

static int
peer_is_current(const struct directory *d, uint64_t now, uint32_t peer)
{
	return now <= d->peer_heard_at[peer] + PEER_LOAD_VALID_NS;
}

/* Prompts sent by a peer are taken to leave the window evenly. */
static struct replica_load
decayed_load(const struct directory *d, uint64_t now, const struct peer_load *p)
{
	uint64_t age = now - d->peer_heard_at[p->peer];
	struct replica_load w = p->load;

	w.recent_us = age >= d->prefill_window_ns
	    ? 0
	    : (uint32_t)(w.recent_us * (d->prefill_window_ns - age) /
		  d->prefill_window_ns);
	return w;
}

struct replica_load
directory_peer_load(const struct directory *d, uint64_t now,
    const struct directory_replica *m, uint32_t peer)
{
	struct replica_load none = { 0, 0, 0, 0 };
	uint32_t i;

	for (i = 0; i < m->npeer_loads; i++) {
		if (m->peer_loads[i].peer == peer &&
		    peer_is_current(d, now, peer))
			return decayed_load(d, now, &m->peer_loads[i]);
	}
	return none;
}

struct replica_load
directory_selected_load(const struct directory *d, uint64_t now,
    const struct directory_replica *m, int (*select)(const void *, uint32_t),
    const void *ctx)
{
	struct replica_load sum = { 0, 0, 0, 0 };
	struct replica_load w;
	uint32_t i;

	for (i = 0; i < m->npeer_loads; i++) {
		if (!peer_is_current(d, now, m->peer_loads[i].peer) ||
		    !select(ctx, m->peer_loads[i].peer))
			continue;
		w = decayed_load(d, now, &m->peer_loads[i]);
		sum.running += w.running;
		sum.unread_us += w.unread_us;
		sum.recent_us += w.recent_us;
		sum.tokens += w.tokens;
	}
	return sum;
}

static int
select_all(const void *ctx, uint32_t peer)
{
	(void)ctx;
	(void)peer;
	return 1;
}

struct replica_load
directory_peers_load(
    const struct directory *d, uint64_t now, const struct directory_replica *m)
{
	return directory_selected_load(d, now, m, select_all, NULL);
}

struct replica_load
directory_total_load(
    const struct directory *d, uint64_t now, const struct directory_replica *m)
{
	struct replica_load sum = directory_peers_load(d, now, m);

	sum.running += m->local_load.running;
	sum.unread_us += m->local_load.unread_us;
	sum.recent_us += directory_recent_prefill_us(d, now, m);
	sum.tokens += m->local_load.tokens;
	return sum;
}

static double
current_error_rate(const struct directory_replica *m, uint64_t now)
{
	double errors = m->error_rate;
	uint64_t t;

	for (t = m->error_rate_at;
	     errors > 0.01 && t + ERROR_RATE_HALF_LIFE_NS <= now;
	     t += ERROR_RATE_HALF_LIFE_NS)
		errors /= 2.0;
	return errors > 0.01 ? errors : 0.0;
}

void
directory_attempt_succeeded(struct directory_replica *m, uint64_t now)
{
	m->consecutive_failures = 0;
	m->avoid_until = 0;
	m->error_rate = current_error_rate(m, now) * (1.0 - ERROR_RATE_WEIGHT);
	m->error_rate_at = now;
}

void
directory_forget_failures(struct directory_replica *m)
{
	m->consecutive_failures = 0;
	m->avoid_until = 0;
	m->error_rate = 0.0;
}

void
directory_attempt_failed(
    struct directory_replica *m, uint64_t now, int unreachable)
{
	uint64_t pause = AVOID_MIN_NS;
	uint32_t i;

	m->error_rate = current_error_rate(m, now) * (1.0 - ERROR_RATE_WEIGHT) +
	    ERROR_RATE_WEIGHT;
	m->error_rate_at = now;
	if (!unreachable)
		return;
	for (i = 0; i < m->consecutive_failures && pause < AVOID_MAX_NS; i++)
		pause *= 2;
	m->consecutive_failures++;
	m->avoid_until = now + (pause < AVOID_MAX_NS ? pause : AVOID_MAX_NS);
}
