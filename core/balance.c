#include <string.h>

#include "balance.h"

/* Milliseconds of expected delay, the unit of the score. */
#define FULL_MS 64.0	      /* a batch with all its places in use */
#define PLAIN_RUNNING_MS 30.0 /* each request at a plain service */
#define ZONE_MS 8.0	      /* another data centre */
#define ERRORS_MS 3000.0      /* a replica that fails every request */
#define DRAW_MS 4.0	      /* spread between equals */
#define TRIED_MS 1e6	      /* only when nothing else is left */
/*
 * Prompts that wait to be read at a replica when one more is sent: few, so
 * that a request can still go elsewhere; more the longer it has waited.
 */
#define BACKLOG_MS 150.0
#define BACKLOG_WAITED 0.5 /* of the time waited */
/*
 * A step of an engine that reads as much of a prompt as it can, measured: an
 * event takes one such step for each token.  Below this part of the longest
 * pause, reading needs no limit.
 */
#define READ_STEP_MS 112.0
#define READ_FREELY 0.8
/* Tokens of an event for which the learned part of the time holds. */
#define READ_TOKENS 3.0
/* Part of the time for reading, falling with the places in use. */
#define SHARE_IDLE 1.15
#define SHARE_BUSY 0.65
/* Part of that room for requests that are late already. */
#define LATE_SHARE 0.6
/* Share of an engine's memory that is given out. */
#define MEMORY_SHARE 0.92

static int tried(const struct balance_want *, const char *);
static int reads_freely(const struct fleet_engine *, uint64_t);
static int full(const struct balance_want *, uint64_t, double,
    const struct directory_replica *, const struct replica_load *);
static double backlog_ms(
    const struct balance_want *, const struct replica_load *);
static double score(const struct balance_want *,
    const struct directory_replica *, const struct replica_load *);

static int
tried(const struct balance_want *w, const char *id)
{
	uint32_t i;

	for (i = 0; i < w->ntried; i++) {
		if (strcmp(w->tried[i], id) == 0)
			return 1;
	}
	return 0;
}

/* Time to read the prompts that wait at a replica, at this model's pace. */
static double
backlog_ms(const struct balance_want *w, const struct replica_load *load)
{
	(void)w;
	return load->unread_us / 1000.0;
}

/* Whether streams bear steps that all read prompts. */
static int
reads_freely(const struct fleet_engine *g, uint64_t window_ns)
{
	return g->tokens_per_event * READ_STEP_MS * (double)NSEC_PER_MSEC <=
	    (double)window_ns * READ_FREELY;
}

static int
full(const struct balance_want *w, uint64_t window_ns, double share,
    const struct directory_replica *m, const struct replica_load *load)
{
	uint32_t slots = m->info.slots;

	if (m->local_load.running >= w->conns_share)
		return 1;
	if (slots != 0 && load->running >= slots)
		return 1;
	if (w->engine == NULL)
		return 0;
	if (w->engine->tokens_per_event > READ_TOKENS)
		share *= READ_TOKENS / w->engine->tokens_per_event;
	share *= SHARE_IDLE -
	    SHARE_BUSY * (slots == 0 ? 0.0 : (double)load->running / slots);
	if (load->recent_us != 0 && !reads_freely(w->engine, window_ns) &&
	    load->recent_us * 1000.0 + (double)w->read_ns >
		(double)window_ns * share * (w->late ? LATE_SHARE : 1.0))
		return 1;
	if (backlog_ms(w, load) > BACKLOG_MS +
		BACKLOG_WAITED * (double)w->waited_ns / (double)NSEC_PER_MSEC)
		return 1;
	return load->running != 0 &&
	    (double)load->tokens + w->tokens >
	    (double)w->engine->kv_tokens * MEMORY_SHARE;
}

static double
score(const struct balance_want *w, const struct directory_replica *m,
    const struct replica_load *load)
{
	double ms;

	if (w->engine != NULL)
		ms = (double)load->running * FULL_MS /
			(m->info.slots == 0 ? FULL_MS : m->info.slots) +
		    backlog_ms(w, load);
	else
		ms = (double)load->running * PLAIN_RUNNING_MS;
	if (strcmp(m->info.zone, w->zone) != 0)
		ms += ZONE_MS;
	ms += m->error_rate * ERRORS_MS;
	if (tried(w, m->info.id))
		ms += TRIED_MS;
	return ms;
}

enum balance_result
balance_pick(const struct directory *d, uint64_t now,
    const struct balance_want *w, double draw, struct directory_replica **out)
{
	enum balance_result result = BALANCE_NO_REPLICA;
	struct directory_replica *m, *next;
	struct replica_load load;
	double best = 0.0;
	double ms;
	uint32_t n = 0;

	*out = NULL;
	HASH_ITER (hh, d->replicas, m, next) {
		if (strcmp(m->info.service, w->service) != 0 ||
		    !directory_usable(m, now))
			continue;
		if (result == BALANCE_NO_REPLICA)
			result = BALANCE_NO_MODEL;
		if (w->model[0] != '\0' && !fleet_has_model(&m->info, w->model))
			continue;
		if (result == BALANCE_NO_MODEL)
			result = BALANCE_NO_ADAPTER;
		if (w->adapter[0] != '\0' &&
		    !fleet_has_adapter(&m->info, w->adapter))
			continue;
		if (result == BALANCE_NO_ADAPTER)
			result = BALANCE_FULL;
		load = directory_total_load(d, now, m);
		if (directory_excluded(m, now, w->model) ||
		    directory_excluded(m, now, w->adapter) ||
		    full(w, d->prefill_window_ns,
			directory_prefill_share(m, now), m, &load))
			continue;
		n++;
		ms = score(w, m, &load) +
		    DRAW_MS * ((draw * n) - (double)(uint32_t)(draw * n));
		if (*out != NULL && ms >= best)
			continue;
		best = ms;
		*out = m;
	}
	return *out != NULL ? BALANCE_FOUND : result;
}

uint32_t
balance_tokens(const struct request_want *w)
{
	uint32_t out =
	    w->hint_tokens != 0 ? w->hint_tokens * 2 : w->output_tokens;

	if (out > w->output_tokens)
		out = w->output_tokens;
	return w->prompt_tokens + out;
}
