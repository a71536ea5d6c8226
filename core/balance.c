#include <string.h>

#include "balance.h"
#include "hash.h"

/* Weights of the estimated delay, in milliseconds. */
#define FULL_BATCH_MS 64.0    /* an engine with all slots in use */
#define PLAIN_REQUEST_MS 30.0 /* per running request, plain service */
#define REMOTE_ZONE_MS 8.0    /* replica in another data centre */
#define ERROR_RATE_MS 3000.0  /* at an error rate of 1 */
#define JITTER_MS 4.0	      /* random spread between equal replicas */
#define BLIND_JITTER_MS 30.0  /* the same, without the load of peers */
#define ALREADY_TRIED_MS 1e6  /* last resort */
#define LIMITED_MS 16.0	      /* it says that it is short of capacity */
#define AFFINITY_FAILED 1e20  /* the same; above all hashes */
/*
 * Prefill backlog up to which a replica accepts another prompt.  It is low, so
 * that a request can still go elsewhere, and grows with the time queued.
 */
#define PREFILL_BACKLOG_MS 150.0
#define PREFILL_BACKLOG_QUEUED_SHARE 0.5 /* of the time queued */
/*
 * Duration of an engine step with a full chunk of prefill.  An event takes one
 * such step for each of its tokens; while that stays below this share of the
 * longest allowed pause between events, prefill needs no limit.
 */
#define PREFILL_STEP_MS 112.0
#define PREFILL_UNLIMITED_SHARE 0.8
/* Tokens per event up to which the full prefill share applies. */
#define PREFILL_SHARE_EVENT_TOKENS 3.0
/* Share of the time for prefill, falling with the slots in use. */
#define PREFILL_SHARE_IDLE 1.15
#define PREFILL_SHARE_BUSY_DROP 0.65
/* Part of it for requests already past their latency target. */
#define PAST_TARGET_SHARE 0.6
/* Slots that requests past their target leave to those in time. */
#define IN_TIME_SLOTS_SHARE 0.1
/* Share of an engine's KV cache that requests may fill. */
#define KV_CACHE_SHARE 0.92

static int already_tried(const struct balance_request *, const char *);
static int prefill_is_unlimited(const struct fleet_engine *, uint64_t);
static int replica_is_full(const struct balance_request *, uint64_t, double,
    const struct directory_replica *, const struct replica_load *);
static double replica_draw(double, uint32_t);
static double prefill_backlog_ms(
    const struct balance_request *, const struct replica_load *);
static double replica_delay_ms(const struct balance_request *,
    const struct directory_replica *, const struct replica_load *);
static double affinity_rank(
    const struct balance_request *, const struct directory_replica *);
static int replica_serves(
    const struct balance_request *, const struct directory_replica *);
static int replica_suits(uint64_t, const struct balance_request *,
    const struct directory_replica *, enum balance_result *);
static struct replica_load load_of(const struct directory *, uint64_t,
    const struct balance_request *, const struct directory_replica *);
static uint32_t insert_by_delay(
    char (*)[NAME_SIZE], double *, uint32_t, uint32_t, const char *, double);

static int
already_tried(const struct balance_request *w, const char *id)
{
	uint32_t i;

	for (i = 0; i < w->ntried; i++) {
		if (strcmp(w->tried[i], id) == 0)
			return 1;
	}
	return 0;
}

/* Time to prefill the prompts that wait at a replica. */
static double
prefill_backlog_ms(
    const struct balance_request *w, const struct replica_load *load)
{
	(void)w;
	return load->unread_us / 1000.0;
}

/* Whether streams keep to the longest pause when every step prefills. */
static int
prefill_is_unlimited(const struct fleet_engine *g, uint64_t window_ns)
{
	return g->tokens_per_event * PREFILL_STEP_MS * (double)NSEC_PER_MSEC <=
	    (double)window_ns * PREFILL_UNLIMITED_SHARE;
}

static int
replica_is_full(const struct balance_request *w, uint64_t window_ns,
    double share, const struct directory_replica *m,
    const struct replica_load *load)
{
	uint32_t slots = m->info.slots;

	if (m->local_load.running >= w->max_conns)
		return 1;
	if (slots != 0 && load->running >= slots)
		return 1;
	if (w->engine == NULL)
		return 0;
	if (w->past_target && load->running != 0 &&
	    load->running >= (1.0 - IN_TIME_SLOTS_SHARE) * slots)
		return 1;
	if (w->engine->tokens_per_event > PREFILL_SHARE_EVENT_TOKENS)
		share *=
		    PREFILL_SHARE_EVENT_TOKENS / w->engine->tokens_per_event;
	share *= PREFILL_SHARE_IDLE -
	    PREFILL_SHARE_BUSY_DROP *
		(slots == 0 ? 0.0 : (double)load->running / slots);
	if (load->recent_us != 0 &&
	    !prefill_is_unlimited(w->engine, window_ns) &&
	    load->recent_us * 1000.0 + (double)w->prefill_ns >
		(double)window_ns * share *
		    (w->past_target ? PAST_TARGET_SHARE : 1.0))
		return 1;
	if (prefill_backlog_ms(w, load) > PREFILL_BACKLOG_MS +
		PREFILL_BACKLOG_QUEUED_SHARE * (double)w->queued_ns /
		    (double)NSEC_PER_MSEC)
		return 1;
	return load->running != 0 &&
	    (double)load->tokens + w->tokens >
	    (double)w->engine->kv_tokens * KV_CACHE_SHARE;
}

static double
replica_delay_ms(const struct balance_request *w,
    const struct directory_replica *m, const struct replica_load *load)
{
	double ms;

	if (w->engine != NULL)
		ms = (double)load->running * FULL_BATCH_MS /
			(m->info.slots == 0 ? FULL_BATCH_MS : m->info.slots) +
		    prefill_backlog_ms(w, load);
	else
		ms = (double)load->running * PLAIN_REQUEST_MS;
	if (strcmp(m->info.zone, w->zone) != 0)
		ms += REMOTE_ZONE_MS;
	ms += m->error_rate * ERROR_RATE_MS;
	if (directory_limit(m) != 0.0)
		ms += LIMITED_MS;
	if (already_tried(w, m->info.id))
		ms += ALREADY_TRIED_MS;
	return ms;
}

/* A replica that is down, but listed, is not tried again and again. */
static double
affinity_rank(
    const struct balance_request *w, const struct directory_replica *m)
{
	return (double)hash_version(m->info.id, w->affinity_key) +
	    (m->consecutive_failures != 0 ? AFFINITY_FAILED : 0.0);
}

/* A number in [0, 1) for the nth replica, from the request's. */
static double
replica_draw(double draw, uint32_t n)
{
	double x = draw * 7919.0 * n;

	return x - (double)(uint32_t)x;
}

void
balance_set_names(struct balance_request *w, const char *service,
    const char *model, const char *adapter)
{
	w->service = service;
	w->service_hash = hash_text(service);
	w->model = model;
	w->model_hash = hash_text(model);
	w->adapter = adapter;
}

/* Whether a replica is of the service, and of the version if one is wanted. */
static int
replica_serves(
    const struct balance_request *w, const struct directory_replica *m)
{
	return directory_serves(m, w->service, w->service_hash) &&
	    (w->software == NULL || strcmp(w->software, m->info.software) == 0);
}

/*
 * Whether the replica could run the request, apart from its load; raises the
 * result to the furthest that any replica came.
 */
static int
replica_suits(uint64_t now, const struct balance_request *w,
    const struct directory_replica *m, enum balance_result *result)
{
	if (!replica_serves(w, m) || !directory_in_service(m, now))
		return 0;
	if (*result == BALANCE_NO_REPLICA)
		*result = BALANCE_NO_MODEL;
	if (!directory_holds(m, w->model, w->model_hash))
		return 0;
	if (*result == BALANCE_NO_MODEL)
		*result = BALANCE_NO_ADAPTER;
	if (w->adapter[0] != '\0' && !fleet_has_adapter(&m->info, w->adapter))
		return 0;
	if (*result == BALANCE_NO_ADAPTER)
		*result = BALANCE_FULL;
	return directory_usable(m, now) &&
	    !directory_excluded(m, now, w->model) &&
	    !directory_excluded(m, now, w->adapter);
}

static struct replica_load
load_of(const struct directory *d, uint64_t now,
    const struct balance_request *w, const struct directory_replica *m)
{
	return w->ignore_peers ? m->local_load
			       : directory_total_load(d, now, m);
}

enum balance_result
balance_pick(const struct directory *d, uint64_t now,
    const struct balance_request *w, double draw,
    struct directory_replica **out)
{
	enum balance_result result = BALANCE_NO_REPLICA;
	struct directory_replica *m, *next;
	struct replica_load load;
	double best = 0.0;
	double ms;
	uint32_t n = 0;
	int full;
	int best_full = 0;
	int limited = 0;

	*out = NULL;
	HASH_ITER (hh, d->replicas, m, next) {
		if (!replica_suits(now, w, m, &result))
			continue;
		load = load_of(d, now, w, m);
		full = !w->take_full &&
		    replica_is_full(w, d->prefill_window_ns,
			directory_prefill_share(m, now), m, &load);
		if (!directory_permitted(m, now)) {
			limited |= !full;
			full = 1;
		}
		if (full && w->affinity_key == 0)
			continue;
		n++;
		ms = w->affinity_key != 0 ? affinity_rank(w, m)
					  : replica_delay_ms(w, m, &load) +
			(w->ignore_peers ? BLIND_JITTER_MS : JITTER_MS) *
			    replica_draw(draw, n);
		if (*out != NULL && ms >= best)
			continue;
		best = ms;
		best_full = full;
		*out = m;
	}
	if (best_full)
		*out = NULL;
	if (*out != NULL)
		return BALANCE_FOUND;
	return limited ? BALANCE_LIMITED : result;
}

/* Inserts a replica by its delay among the first of up to max. */
static uint32_t
insert_by_delay(char (*ids)[NAME_SIZE], double *delays, uint32_t n,
    uint32_t max, const char *id, double ms)
{
	uint32_t at = n;

	while (at > 0 && ms < delays[at - 1])
		at--;
	if (at == max)
		return n;
	if (n == max)
		n--;
	memmove(ids[at + 1], ids[at], (size_t)(n - at) * NAME_SIZE);
	memmove(
	    &delays[at + 1], &delays[at], (size_t)(n - at) * sizeof(*delays));
	memcpy(ids[at], id, NAME_SIZE);
	delays[at] = ms;
	return n + 1;
}

uint32_t
balance_limited(const struct directory *d, uint64_t now,
    const struct balance_request *w, char (*ids)[NAME_SIZE], uint32_t max)
{
	enum balance_result result = BALANCE_NO_REPLICA;
	double delays[BALANCE_LIMITED_MAX];
	const struct directory_replica *m;
	struct replica_load load;
	uint32_t n = 0;

	if (max > BALANCE_LIMITED_MAX)
		max = BALANCE_LIMITED_MAX;
	if (w->affinity_key != 0)
		max = 1;
	for (m = d->replicas; m != NULL; m = m->hh.next) {
		if (directory_permitted(m, now) ||
		    !replica_suits(now, w, m, &result))
			continue;
		load = load_of(d, now, w, m);
		if (!replica_is_full(w, d->prefill_window_ns,
			directory_prefill_share(m, now), m, &load))
			n = insert_by_delay(ids, delays, n, max, m->info.id,
			    w->affinity_key != 0
				? affinity_rank(w, m)
				: replica_delay_ms(w, m, &load));
	}
	return n;
}

int
balance_limited_is_better(const struct directory *d, uint64_t now,
    const struct balance_request *w, const struct directory_replica *than)
{
	enum balance_result result = BALANCE_NO_REPLICA;
	const struct directory_replica *m;
	struct replica_load load = load_of(d, now, w, than);
	double most = replica_delay_ms(w, than, &load);

	for (m = d->replicas; m != NULL; m = m->hh.next) {
		if (directory_permitted(m, now) || now < m->no_permit_until ||
		    !replica_suits(now, w, m, &result))
			continue;
		load = load_of(d, now, w, m);
		if (!replica_is_full(w, d->prefill_window_ns,
			directory_prefill_share(m, now), m, &load) &&
		    replica_delay_ms(w, m, &load) < most)
			return 1;
	}
	return 0;
}

double
balance_limited_rate(
    const struct directory *d, uint64_t now, const struct balance_request *w)
{
	const struct directory_replica *m;
	double per_s = 0.0;

	for (m = d->replicas; m != NULL; m = m->hh.next) {
		if (replica_serves(w, m) && directory_usable(m, now) &&
		    directory_holds(m, w->model, w->model_hash))
			per_s += directory_limit(m);
	}
	return per_s;
}

uint32_t
balance_slots(
    const struct directory *d, uint64_t now, const struct balance_request *w)
{
	const struct directory_replica *m;
	uint32_t slots = 0;

	for (m = d->replicas; m != NULL; m = m->hh.next) {
		if (replica_serves(w, m) && directory_usable(m, now) &&
		    directory_limit(m) == 0.0 &&
		    directory_holds(m, w->model, w->model_hash))
			slots += m->info.slots;
	}
	return slots;
}

uint32_t
balance_closed_slots(const struct directory *d, uint64_t now,
    const struct balance_request *w, uint64_t *reopens_at)
{
	const struct directory_replica *m;
	uint64_t until;
	uint32_t slots = 0;

	*reopens_at = TIME_NEVER;
	for (m = d->replicas; m != NULL; m = m->hh.next) {
		if (!replica_serves(w, m) || !directory_in_service(m, now) ||
		    !directory_holds(m, w->model, w->model_hash))
			continue;
		until = directory_closed_until(m, now);
		if (until == 0)
			return 0;
		if (until < *reopens_at)
			*reopens_at = until;
		slots += m->info.slots == 0 ? 1 : m->info.slots;
	}
	return slots;
}

uint32_t
balance_expected_tokens(const struct request_params *w)
{
	uint32_t out = w->output_hint_tokens != 0 ? w->output_hint_tokens * 2
						  : w->max_output_tokens;

	if (out > w->max_output_tokens)
		out = w->max_output_tokens;
	return w->prompt_tokens + out;
}
