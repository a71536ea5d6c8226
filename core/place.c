#include <stdlib.h>
#include <string.h>

#include "place.h"

#define UTILIZATION_ANY 1e9 /* no limit */
#define GAIN_MIN_SLOTS 0.5  /* least gain that justifies a move */

struct place_problem {
	const struct place_config *config;
	uint64_t now;
	const struct place_model *models;
	uint32_t nmodels;
	const struct place_backend *backends;
	uint32_t nbackends;
	double utilization[PLACE_BACKENDS_MAX]; /* by backend server */
	uint32_t released; /* its headroom counts as free; nbackends: none */
	/* 1 + the model that waits for room on the accelerator; 0: none. */
	uint32_t held[PLACE_BACKENDS_MAX][CONF_ACCELERATORS_MAX];
};

static uint64_t free_mb(const struct place_problem *, uint32_t, uint32_t);
static int waits(const struct place_problem *, uint32_t);
static uint32_t count_serving_copies(
    const struct place_problem *, const struct place_model *);
static uint32_t count_planned_copies(
    const struct place_problem *, const struct place_model *);
static int has_copy(const struct place_model *, uint32_t);
static void compute_utilization(struct place_problem *);
static double least_copy_utilization(
    const struct place_problem *, const struct place_model *);
static int has_copy_in_datacentre(
    const struct place_problem *, const struct place_model *, const char *);
static struct place_move choose_load(
    const struct place_problem *, uint32_t, double, int);
static struct place_move choose_eviction(
    const struct place_problem *, uint32_t, int);
static struct place_move choose_migration(
    const struct place_problem *, uint32_t);
static int wait_for_unload(struct place_problem *, uint32_t);
static int wait_for_extra_copy(struct place_problem *, uint32_t);
static int extra_copy_loading(
    const struct place_problem *, const struct place_model *);
static struct place_move find_unplaceable_model(const struct place_problem *);
static int can_unload(
    const struct place_problem *, const struct place_model *, uint32_t);
static struct place_move choose_missing_copy(struct place_problem *, int);
static struct place_move choose_release(const struct place_problem *);
static struct place_move find_waiting_model(const struct place_problem *);
static struct place_move choose_unwanted_unload(const struct place_problem *);
static struct place_move choose_extra_copy(const struct place_problem *);

static const struct place_move no_move = { PLACE_NOTHING, 0, 0, 0, 0, 0.0 };

void
place_config_default(struct place_config *c)
{
	c->evict_utilization = 0.75;
	c->expand_utilization = 0.35;
	c->target_utilization = 0.55;
	c->cooldown_ns = 10 * NSEC_PER_SEC;
}

/* Free memory of an accelerator for which no model waits. */
static uint64_t
free_mb(const struct place_problem *s, uint32_t backend, uint32_t accelerator)
{
	const struct place_backend *b = &s->backends[backend];

	if (s->held[backend][accelerator] != 0)
		return 0;
	return b->free_mb[accelerator] +
	    (backend == s->released ? b->headroom_mb[accelerator] : 0);
}

/* Confirmed copies on backend servers that are not leaving. */
static uint32_t
count_serving_copies(const struct place_problem *s, const struct place_model *m)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < m->ncopies; i++)
		n += m->copies[i].resident &&
		    !s->backends[m->copies[i].backend].leaving;
	return n;
}

/* Resident and loading copies on backend servers that are not leaving. */
static uint32_t
count_planned_copies(const struct place_problem *s, const struct place_model *m)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < m->ncopies; i++)
		n += !s->backends[m->copies[i].backend].leaving;
	return n;
}

static int
has_copy(const struct place_model *m, uint32_t backend)
{
	uint32_t i;

	for (i = 0; i < m->ncopies; i++) {
		if (m->copies[i].backend == backend)
			return 1;
	}
	return 0;
}

/* Assumes that each model's demand is spread evenly over its copies. */
static void
compute_utilization(struct place_problem *s)
{
	const struct place_model *m;
	uint32_t backend;
	uint32_t i;
	uint32_t k;

	memset(s->utilization, 0, sizeof(s->utilization));
	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		for (k = 0; k < m->ncopies; k++) {
			backend = m->copies[k].backend;
			if (s->backends[backend].slots != 0)
				s->utilization[backend] += m->demand_slots /
				    m->ncopies / s->backends[backend].slots;
		}
	}
}

/* Utilization at the model's least used copy, which gets its next request. */
static double
least_copy_utilization(
    const struct place_problem *s, const struct place_model *m)
{
	double least = -1.0;
	double use;
	uint32_t i;

	for (i = 0; i < m->ncopies; i++) {
		use = s->utilization[m->copies[i].backend];
		if (least < 0.0 || use < least)
			least = use;
	}
	return least < 0.0 ? 1.0 : least;
}

static int
has_copy_in_datacentre(const struct place_problem *s,
    const struct place_model *m, const char *datacentre)
{
	uint32_t i;

	for (i = 0; i < m->ncopies; i++) {
		if (strcmp(s->backends[m->copies[i].backend].datacentre,
			datacentre) == 0)
			return 1;
	}
	return 0;
}

/*
 * The best backend server for one more copy: low utilization, where a data
 * centre without a copy outweighs 0.3, and then the most free memory.
 */
static struct place_move
choose_load(
    const struct place_problem *s, uint32_t model, double use_limit, int urgent)
{
	const struct place_model *m = &s->models[model];
	const struct place_backend *b;
	struct place_move best = no_move;
	double best_score = 0.0;
	double score;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nbackends; i++) {
		b = &s->backends[i];
		if (b->leaving || !b->usable || !m->allowed[i] ||
		    (b->busy && !urgent) || has_copy(m, i) ||
		    s->utilization[i] > use_limit)
			continue;
		for (k = 0; k < b->naccelerators; k++) {
			if (free_mb(s, i, k) < m->memory_mb)
				continue;
			score = 10.0 - s->utilization[i] +
			    (double)free_mb(s, i, k) / 1e7;
			if (!has_copy_in_datacentre(s, m, b->datacentre))
				score += 0.3;
			if (best.kind != PLACE_NOTHING && score <= best_score)
				continue;
			best_score = score;
			best.kind = PLACE_LOAD;
			best.model = model;
			best.backend = i;
			best.accelerator = k;
			best.urgent = urgent;
		}
	}
	return best;
}

/* Whether a copy may be unloaded without leaving too few others. */
static int
can_unload(
    const struct place_problem *s, const struct place_model *m, uint32_t copy)
{
	const struct place_copy *c = &m->copies[copy];
	const struct place_backend *b = &s->backends[c->backend];
	uint32_t others =
	    count_serving_copies(s, m) - (c->resident && !b->leaving);

	if (!c->resident || b->busy || !b->usable)
		return 0;
	if (m->min_copies == 0)
		return m->served_elsewhere;
	return others != 0 && others >= m->min_copies;
}

/* The unload with the least demand per copy that makes the model fit. */
static struct place_move
choose_eviction(const struct place_problem *s, uint32_t model, int urgent)
{
	const struct place_model *want = &s->models[model];
	const struct place_model *m;
	const struct place_copy *c;
	struct place_move best = no_move;
	double best_cost = 0.0;
	double cost;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		if (i == model ||
		    (!urgent && s->now < m->moved_at + s->config->cooldown_ns))
			continue;
		for (k = 0; k < m->ncopies; k++) {
			c = &m->copies[k];
			if (!can_unload(s, m, k) ||
			    !want->allowed[c->backend] ||
			    has_copy(want, c->backend))
				continue;
			if (free_mb(s, c->backend, c->accelerator) +
				m->memory_mb <
			    want->memory_mb)
				continue;
			cost = m->demand_slots / m->ncopies;
			if (best.kind != PLACE_NOTHING && cost >= best_cost)
				continue;
			best_cost = cost;
			best.kind = PLACE_UNLOAD;
			best.model = i;
			best.backend = c->backend;
			best.accelerator = c->accelerator;
			best.gain = -cost;
		}
	}
	return best;
}

/* Whether a copy beyond min_copies is loading, so that another may go. */
static int
extra_copy_loading(const struct place_problem *s, const struct place_model *m)
{
	uint32_t i;

	for (i = 0;
	     i < m->ncopies && count_planned_copies(s, m) > m->min_copies;
	     i++) {
		if (!m->copies[i].resident)
			return 1;
	}
	return 0;
}

static int
waits(const struct place_problem *s, uint32_t model)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nbackends; i++) {
		for (k = 0; k < s->backends[i].naccelerators; k++) {
			if (s->held[i][k] == model + 1)
				return 1;
		}
	}
	return 0;
}

/* Whether an unload in progress will make room, for which the model waits. */
static int
wait_for_unload(struct place_problem *s, uint32_t model)
{
	const struct place_model *want = &s->models[model];
	const struct place_backend *b;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nbackends; i++) {
		b = &s->backends[i];
		if (!want->allowed[i] || has_copy(want, i) || b->leaving)
			continue;
		for (k = 0; k < b->naccelerators; k++) {
			if (s->held[i][k] != 0 || b->freeing_mb[k] == 0 ||
			    free_mb(s, i, k) + b->freeing_mb[k] <
				want->memory_mb)
				continue;
			s->held[i][k] = model + 1;
			return 1;
		}
	}
	return 0;
}

/* The same for the unload that follows the load of an extra copy. */
static int
wait_for_extra_copy(struct place_problem *s, uint32_t model)
{
	const struct place_model *want = &s->models[model];
	const struct place_model *m;
	const struct place_copy *c;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		if (m->min_copies == 0 || !extra_copy_loading(s, m))
			continue;
		for (k = 0; k < m->ncopies; k++) {
			c = &m->copies[k];
			if (!c->resident || !want->allowed[c->backend] ||
			    has_copy(want, c->backend) ||
			    s->backends[c->backend].leaving ||
			    s->held[c->backend][c->accelerator] != 0 ||
			    free_mb(s, c->backend, c->accelerator) +
				    m->memory_mb <
				want->memory_mb)
				continue;
			s->held[c->backend][c->accelerator] = model + 1;
			return 1;
		}
	}
	return 0;
}

/*
 * Loads the smallest suitable model on another backend server, so that its
 * present copy can be unloaded later to make room.
 */
static struct place_move
choose_migration(const struct place_problem *s, uint32_t model)
{
	const struct place_model *want = &s->models[model];
	const struct place_model *m;
	const struct place_copy *c;
	struct place_move best = no_move;
	struct place_move move;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		if (i == model || m->min_copies == 0 ||
		    (best.kind != PLACE_NOTHING &&
			m->memory_mb >= s->models[best.model].memory_mb))
			continue;
		for (k = 0; k < m->ncopies; k++) {
			c = &m->copies[k];
			if (!c->resident || !want->allowed[c->backend] ||
			    has_copy(want, c->backend) ||
			    s->backends[c->backend].leaving)
				continue;
			if (free_mb(s, c->backend, c->accelerator) +
				m->memory_mb <
			    want->memory_mb)
				continue;
			move = choose_load(s, i, UTILIZATION_ANY, 0);
			if (move.kind != PLACE_NOTHING)
				best = move;
		}
	}
	return best;
}

/* PLACE_NO_ROOM for a model below min_copies, first for one without copies. */
static struct place_move
find_unplaceable_model(const struct place_problem *s)
{
	struct place_move move = no_move;
	uint32_t i;

	for (i = 0; i < s->nmodels; i++) {
		if (count_planned_copies(s, &s->models[i]) >=
		    s->models[i].min_copies)
			continue;
		move.kind = PLACE_NO_ROOM;
		move.model = i;
		if (count_planned_copies(s, &s->models[i]) == 0)
			break;
	}
	return move;
}

/*
 * The next move for a model below min_copies: load, else evict, else migrate.
 * A model for which moves in progress make room waits for it, and others may
 * not use that.  When urgent, only models without any copy are considered.
 */
static struct place_move
choose_missing_copy(struct place_problem *s, int urgent)
{
	const struct place_model *m;
	struct place_move move;
	uint32_t i;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		if (m->min_copies == 0 ||
		    count_planned_copies(s, m) >= m->min_copies)
			continue;
		if ((urgent && count_planned_copies(s, m) != 0) || waits(s, i))
			continue;
		move = choose_load(s, i, UTILIZATION_ANY, urgent);
		if (move.kind != PLACE_NOTHING)
			return move;
		if (wait_for_unload(s, i) || wait_for_extra_copy(s, i))
			continue;
		move = choose_eviction(s, i, urgent);
		if (move.kind == PLACE_NOTHING)
			move = choose_migration(s, i);
		if (move.kind != PLACE_NOTHING)
			return move;
	}
	return no_move;
}

/*
 * The release of headroom with which a model below min_copies can be loaded, or
 * room be made for it.  One server's headroom is tried at a time, so that none
 * is released without use.
 */
static struct place_move
choose_release(const struct place_problem *s)
{
	struct place_problem with;
	struct place_move move;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nbackends; i++) {
		for (k = 0; k < s->backends[i].naccelerators; k++) {
			if (s->backends[i].headroom_mb[k] != 0)
				break;
		}
		if (k == s->backends[i].naccelerators)
			continue;
		with = *s;
		with.released = i;
		move = choose_missing_copy(&with, 1);
		if (move.kind == PLACE_NOTHING)
			move = choose_missing_copy(&with, 0);
		if (move.kind == PLACE_NOTHING)
			continue;
		move.kind = PLACE_RELEASE;
		move.backend = i;
		move.accelerator = k;
		return move;
	}
	return no_move;
}

/* PLACE_WAIT for the first model that waits for room. */
static struct place_move
find_waiting_model(const struct place_problem *s)
{
	struct place_move move = no_move;
	uint32_t i;

	for (i = 0; i < s->nmodels && move.kind == PLACE_NOTHING; i++) {
		if (!waits(s, i))
			continue;
		move.kind = PLACE_WAIT;
		move.model = i;
	}
	return move;
}

/* Unloads models not required in this cell, and copies on leaving servers. */
static struct place_move
choose_unwanted_unload(const struct place_problem *s)
{
	const struct place_model *m;
	struct place_move move = no_move;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		for (k = 0; k < m->ncopies; k++) {
			if (m->min_copies != 0 &&
			    !s->backends[m->copies[k].backend].leaving)
				continue;
			if (!can_unload(s, m, k))
				continue;
			move.kind = PLACE_UNLOAD;
			move.model = i;
			move.backend = m->copies[k].backend;
			move.accelerator = m->copies[k].accelerator;
			return move;
		}
	}
	return move;
}

/* The extra copy with the highest gain, by demand, utilization and priority. */
static struct place_move
choose_extra_copy(const struct place_problem *s)
{
	const struct place_model *m;
	struct place_move best = no_move;
	struct place_move move;
	double utilization;
	double excess;
	double gain;
	uint32_t i;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		utilization = least_copy_utilization(s, m);
		excess = utilization - s->config->expand_utilization;
		if (m->min_copies == 0 || excess <= 0.0 ||
		    s->now < m->moved_at + s->config->cooldown_ns)
			continue;
		gain = m->demand_slots * excess *
		    (1.0 + (double)m->priority / 10.0);
		if (gain < GAIN_MIN_SLOTS || gain <= best.gain)
			continue;
		move = choose_load(s, i, s->config->target_utilization, 0);
		if (move.kind == PLACE_NOTHING &&
		    utilization > s->config->evict_utilization)
			move = choose_eviction(s, i, 0);
		/* An eviction must cost less than it gains. */
		if (move.kind == PLACE_NOTHING ||
		    (move.kind == PLACE_UNLOAD && gain + move.gain <= 0.0))
			continue;
		move.gain = gain;
		best = move;
	}
	return best;
}

struct place_move
place_next_move(const void *config, uint64_t now,
    const struct place_model *models, uint32_t nmodels,
    const struct place_backend *backends, uint32_t nbackends)
{
	struct place_problem s;
	struct place_move move;

	memset(&s, 0, sizeof(s));
	s.config = config;
	s.now = now;
	s.models = models;
	s.nmodels = nmodels;
	s.backends = backends;
	s.nbackends = nbackends;
	s.released = nbackends;
	compute_utilization(&s);
	move = choose_missing_copy(&s, 1);
	if (move.kind == PLACE_NOTHING)
		move = choose_missing_copy(&s, 0);
	if (move.kind == PLACE_NOTHING)
		move = choose_unwanted_unload(&s);
	if (move.kind == PLACE_NOTHING)
		move = choose_release(&s);
	if (move.kind == PLACE_NOTHING)
		move = find_waiting_model(&s);
	if (move.kind == PLACE_NOTHING)
		move = find_unplaceable_model(&s);
	if (move.kind == PLACE_NOTHING)
		move = choose_extra_copy(&s);
	return move;
}
