/* Placement of models on the replicas of one service. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "loader_int.h"

/* Concurrent loads beyond the weight store's rate slow each other down. */
#define MIN_CONCURRENT_LOADS 2.0
/* Loads that no request waits for leave this share of the rate to others. */
#define FILL_RATE_SHARE 0.5
/* Unloads run ahead of the loads that may start within this time. */
#define UNLOAD_AHEAD_S 1.0
#define MOVES_MAX 32 /* of one step */
/* One being loaded, and one that the step adds. */
#define EXTRA_COPIES 2
/* A replica closed for longer is missed more than a load costs. */
#define CLOSED_LONG_NS (10 * NSEC_PER_SEC)
/*
 * Part of the rate with which copies in use give way, so that each declared
 * model has a copy, and the least rate.
 */
#define KEEP_ALL_RATE_SHARE 0.1
#define KEEP_ALL_RATE_MIN 0.01 /* a second */
/* An unload waits for its requests; then the load that it is for follows. */
#define RESERVE_NS (10 * NSEC_PER_SEC)
/* Shortest time for which a limit on requests is assumed to hold. */
#define LIMIT_MIN_NS (5 * NSEC_PER_SEC)
/* Time with requests before their absence means that a copy is not needed. */
#define DEMAND_KNOWN_NS (10 * NSEC_PER_SEC)

struct placement_input {
	const struct fleet_engine *engine;
	struct placement_model *models;
	uint32_t nreplicas;
	struct placement_replica *replicas;
	struct directory_replica **entries;
	struct engine_state **engines;
	uint32_t nloading; /* models being loaded on all replicas */
};

static void input_add_models(
    struct placement_input *, const struct loader *, uint64_t);
static void input_add_replicas(struct placement_input *, const struct loader *,
    uint64_t, const struct fleet_service *);
static int limit_lasts(const struct fleet_engine *, uint64_t);
static uint32_t limited_slots(double, uint32_t);
static void input_add_copies(struct placement_input *, uint32_t);
static int input_model(const struct placement_input *, const char *);
static void add_copy(struct placement_replica *, int, int);
static int weight_store_allows_load(
    const struct loader *, const struct placement_input *, double, int);
static void set_evictions(const struct loader *, uint64_t,
    const struct placement_input *, struct placement_config *);
static void execute_move(struct placement_input *, struct loader *, uint64_t,
    const struct placement_move *, struct loader_output *);

static void
input_add_models(
    struct placement_input *p, const struct loader *s, uint64_t now)
{
	const struct demand_item *d;
	struct placement_model *m;
	uint32_t i;

	p->models = mem_alloc((p->engine->nmodels + 1) * sizeof(*p->models));
	for (i = 0; i < p->engine->nmodels; i++) {
		m = &p->models[i];
		m->memory_mb = p->engine->models[i].memory_mb;
		d = demand_find(&s->demand, p->engine->models[i].name);
		if (d == NULL)
			continue;
		m->waiting = demand_waiting_count(d, now);
		/* Only the rate counts requests that were refused. */
		m->demand = fmax(fmax(d->load, m->waiting),
		    demand_recent_rate(d, now) * s->service_time_s);
		m->requested_at = d->last_arrival_at;
		m->moved_at = d->copies_changed_at;
	}
}

/* Index of a declared model, -1 for another one. */
static int
input_model(const struct placement_input *p, const char *name)
{
	const struct fleet_model *m;

	if (*name == '\0')
		return -1;
	m = fleet_find_model(p->engine, name);
	return m == NULL ? -1 : (int)(m - p->engine->models);
}

static void
add_copy(struct placement_replica *r, int model, int resident)
{
	if (model == -1 || r->ncopies == r->copies_size)
		return;
	r->copies[r->ncopies].model = (uint32_t)model;
	r->copies[r->ncopies++].resident = resident;
}

/* A model that is being unloaded is no copy any more. */
static void
input_add_copies(struct placement_input *p, uint32_t at)
{
	const struct fleet_replica *info = &p->entries[at]->info;
	const struct engine_state *e = p->engines[at];
	struct placement_replica *r = &p->replicas[at];
	const char *unloading = engine_state_unloading_model(e);
	const char *loading = engine_state_loading_model(e);
	int model;
	uint32_t i;

	r->copies_size = info->resident.n + EXTRA_COPIES;
	r->copies = mem_alloc(r->copies_size * sizeof(*r->copies));
	r->cached = mem_alloc((info->cached_models.n + 1) * sizeof(*r->cached));
	for (i = 0; i < info->resident.n; i++) {
		model = input_model(p, info->resident.names[i]);
		if (strcmp(info->resident.names[i], unloading) != 0)
			add_copy(r, model, 1);
		else if (model != -1)
			r->freeing_mb = p->models[model].memory_mb;
	}
	if (*loading != '\0') {
		p->nloading++;
		if (!fleet_has_model(info, loading))
			add_copy(r, input_model(p, loading), 0);
	}
	for (i = 0; i < info->cached_models.n; i++) {
		model = input_model(p, info->cached_models.names[i]);
		if (model != -1)
			r->cached[r->ncached++] = (uint32_t)model;
	}
}

/*
 * Whether a limit, named for some time, is worth a load.  It is assumed to
 * hold for as long again; a load must be over in half of that.
 */
static int
limit_lasts(const struct fleet_engine *g, uint64_t for_ns)
{
	uint64_t longest = 0;
	uint32_t i;

	for (i = 0; i < g->nmodels; i++) {
		if (g->models[i].store_load_ns > longest)
			longest = g->models[i].store_load_ns;
	}
	if (for_ns < LIMIT_MIN_NS)
		for_ns = LIMIT_MIN_NS;
	return longest <= for_ns / 2;
}

/* Requests at once of a replica that limits how many begin in a second. */
static uint32_t
limited_slots(double concurrent, uint32_t slots)
{
	if (concurrent < 1.0)
		return 1;
	return concurrent < slots ? (uint32_t)concurrent : slots;
}

static void
input_add_replicas(struct placement_input *p, const struct loader *s,
    uint64_t now, const struct fleet_service *service)
{
	uint32_t most = HASH_COUNT(s->directory->replicas) + 1;
	struct placement_replica *r;
	struct directory_replica *m;
	struct engine_state *e;

	p->replicas = mem_alloc(most * sizeof(*p->replicas));
	p->entries = mem_alloc(most * sizeof(struct directory_replica *));
	p->engines = mem_alloc(most * sizeof(struct engine_state *));
	for (m = s->directory->replicas; m != NULL; m = m->hh.next) {
		e = engine_state_find(s, m->info.id);
		if (strcmp(m->info.service, service->name) != 0 || e == NULL ||
		    m->presence == PRESENCE_REMOVED)
			continue;
		r = &p->replicas[p->nreplicas];
		r->leaving = directory_is_leaving(m) ||
		    directory_closed_until(m, now) > now + CLOSED_LONG_NS;
		r->usable =
		    directory_usable(m, now) && m->presence == PRESENCE_LISTED;
		r->busy = e->loading[0] != '\0' || e->unloading[0] != '\0' ||
		    !engine_state_accepts_orders(s, now, e) ||
		    e->nloading_adapters != 0;
		r->slots =
		    m->info.slots != 0 ? m->info.slots : p->engine->slots;
		r->limited = directory_limit(m) != 0.0;
		if (r->limited)
			r->slots = limited_slots(
			    directory_limit(m) * s->service_time_s, r->slots);
		r->limit_lasts = r->limited &&
		    limit_lasts(p->engine, now - m->notice.limit_since);
		r->free_mb = engine_state_free_mb(e, m, p->engine);
		p->entries[p->nreplicas] = m;
		p->engines[p->nreplicas] = e;
		r->reserved_for = now < e->reserved_until
		    ? input_model(p, e->reserved_for)
		    : PLACEMENT_NONE;
		input_add_copies(p, p->nreplicas++);
	}
}

static int
weight_store_allows_load(const struct loader *s,
    const struct placement_input *p, double left, int filling)
{
	double at_once = 0.0;
	uint32_t i;

	for (i = 0; i < p->engine->nmodels; i++)
		at_once = fmax(at_once,
		    (double)p->engine->models[i].store_load_ns /
			(double)NSEC_PER_SEC);
	at_once = fmax(at_once * p->engine->loads_per_s, MIN_CONCURRENT_LOADS);
	if (filling && left <= FILL_RATE_SHARE * store_loads_most(s, p->engine))
		return 0;
	return left >= 1.0 && p->nloading + 1.0 <= at_once;
}

static void
execute_move(struct placement_input *p, struct loader *s, uint64_t now,
    const struct placement_move *move, struct loader_output *out)
{
	const char *model = p->engine->models[move->model].name;
	struct engine_state *e = p->engines[move->replica];
	struct loader_order *o;
	int from_store;
	double left;

	if (move->kind == PLACEMENT_UNLOAD) {
		memcpy(e->reserved_for, p->engine->models[move->for_model].name,
		    NAME_SIZE);
		e->reserved_until = now + RESERVE_NS;
		if (move->filling)
			s->next_keep_all_at = now +
			    (uint64_t)((double)NSEC_PER_SEC /
				fmax(p->engine->loads_per_s *
					KEEP_ALL_RATE_SHARE,
				    KEEP_ALL_RATE_MIN));
		loader_send_order(s, now, e, LOADER_UNLOAD, model, "", out);
		return;
	}
	from_store = !name_list_has(
	    &p->entries[move->replica]->info.cached_models, model);
	if (from_store) {
		left = store_loads_left(s, now, p->engine);
		if (!weight_store_allows_load(s, p, left, move->filling))
			return;
	}
	e->reserved_until = 0;
	o = loader_send_order(s, now, e, LOADER_LOAD, model, "", out);
	if (from_store) {
		store_load_sent(s, now, o);
		o->window_loads = store_loads_counted(s, now);
	}
	p->nloading++;
	demand_get_or_create(&s->demand, model)->copies_changed_at = now;
}

/* Decides which copies give way to models that no request asks for. */
static void
set_evictions(const struct loader *s, uint64_t now,
    const struct placement_input *p, struct placement_config *c)
{
	uint64_t largest_mb = 1;
	uint64_t places;
	uint32_t i;

	for (i = 0; i < p->engine->nmodels; i++) {
		if (p->models[i].memory_mb > largest_mb)
			largest_mb = p->models[i].memory_mb;
	}
	places = p->nreplicas * (p->engine->memory_mb / largest_mb);
	c->evict_last = places < p->engine->nmodels;
	if (s->demand.first_arrival_at == 0 ||
	    now < s->demand.first_arrival_at + DEMAND_KNOWN_NS)
		c->evict = PLACEMENT_EVICT_NONE;
	else if (c->evict_last || now < s->next_keep_all_at)
		c->evict = PLACEMENT_EVICT_IDLE;
	else
		c->evict = PLACEMENT_EVICT_SURPLUS;
}

void
loader_place_models(struct loader *s, uint64_t now,
    const struct fleet_service *service, struct loader_output *out)
{
	struct placement_move moves[MOVES_MAX];
	struct placement_input p = { 0 };
	struct placement_config config = s->config.place;
	double left;
	uint32_t n;
	uint32_t i;

	p.engine = service->engine;
	input_add_models(&p, s, now);
	input_add_replicas(&p, s, now, service);
	config.fill = now >= s->list_settled_at;
	config.slots = p.engine->slots;
	set_evictions(s, now, &p, &config);
	left = store_loads_left(s, now, p.engine);
	config.max_unloads = (uint32_t)fmin(
	    fmax(left, 0.0), ceil(p.engine->loads_per_s * UNLOAD_AHEAD_S));
	n = placement_plan(&config, now, p.models, p.engine->nmodels,
	    p.replicas, p.nreplicas, moves, MOVES_MAX);
	for (i = 0; i < n; i++)
		execute_move(&p, s, now, &moves[i], out);
	for (i = 0; i < p.nreplicas; i++) {
		free(p.replicas[i].copies);
		free(p.replicas[i].cached);
	}
	free(p.models);
	free(p.replicas);
	free(p.entries);
	free(p.engines);
}
