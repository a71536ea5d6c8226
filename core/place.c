#include <stdlib.h>
#include <string.h>

#include "place.h"

#define USE_ANY 1e9    /* any utilization */
#define GAIN_LEAST 0.5 /* slots of demand relieved, to be worth a move */

struct scene {
	const struct place_config *config;
	uint64_t now;
	const struct place_model *models;
	uint32_t nmodels;
	const struct place_backend *backends;
	uint32_t nbackends;
	double use[PLACE_BACKENDS_MAX]; /* utilization by backend server */
};

static uint32_t serving(const struct scene *, const struct place_model *);
static uint32_t counted(const struct scene *, const struct place_model *);
static int has_copy(const struct place_model *, uint32_t);
static void fill_use(struct scene *);
static double pressure(const struct scene *, const struct place_model *);
static int in_datacentre(
    const struct scene *, const struct place_model *, const char *);
static struct place_move load_best(const struct scene *, uint32_t, double, int);
static struct place_move make_room(const struct scene *, uint32_t, int);
static struct place_move migrate(const struct scene *, uint32_t);
static int room_coming(const struct scene *, uint32_t);
static int spare_loading(const struct scene *, const struct place_model *);
static struct place_move stuck(const struct scene *);
static int may_unload(
    const struct scene *, const struct place_model *, uint32_t);
static struct place_move need_copies(const struct scene *, int);
static struct place_move unload_unwanted(const struct scene *);
static struct place_move add_by_gain(const struct scene *);

static const struct place_move place_nothing = { PLACE_NOTHING, 0, 0, 0, 0,
	0.0 };

void
place_config_default(struct place_config *c)
{
	c->high = 0.75;
	c->spare = 0.35;
	c->low = 0.55;
	c->hold_ns = 10 * NSEC_PER_SEC;
}

/* Confirmed copies on backend servers that stay. */
static uint32_t
serving(const struct scene *s, const struct place_model *m)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < m->ncopies; i++)
		n += m->copies[i].resident &&
		    !s->backends[m->copies[i].backend].leaving;
	return n;
}

/* Copies resident or loading on backend servers that stay. */
static uint32_t
counted(const struct scene *s, const struct place_model *m)
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

/* Spreads each model's demand evenly over its copies. */
static void
fill_use(struct scene *s)
{
	const struct place_model *m;
	uint32_t backend;
	uint32_t i;
	uint32_t k;

	memset(s->use, 0, sizeof(s->use));
	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		for (k = 0; k < m->ncopies; k++) {
			backend = m->copies[k].backend;
			if (s->backends[backend].slots != 0)
				s->use[backend] += m->demand / m->ncopies /
				    s->backends[backend].slots;
		}
	}
}

/* Utilization of the model's least used copy, which takes its next work. */
static double
pressure(const struct scene *s, const struct place_model *m)
{
	double least = -1.0;
	double use;
	uint32_t i;

	for (i = 0; i < m->ncopies; i++) {
		use = s->use[m->copies[i].backend];
		if (least < 0.0 || use < least)
			least = use;
	}
	return least < 0.0 ? 1.0 : least;
}

static int
in_datacentre(
    const struct scene *s, const struct place_model *m, const char *datacentre)
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
 * The best place for one more copy: another data centre first, then the
 * least used backend server, then the most memory left.
 */
static struct place_move
load_best(const struct scene *s, uint32_t model, double use_limit, int urgent)
{
	const struct place_model *m = &s->models[model];
	const struct place_backend *b;
	struct place_move best = place_nothing;
	double best_score = 0.0;
	double score;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nbackends; i++) {
		b = &s->backends[i];
		if (b->leaving || !b->usable || !m->allowed[i] ||
		    (b->busy && !urgent) || has_copy(m, i) ||
		    s->use[i] > use_limit)
			continue;
		for (k = 0; k < b->naccelerators; k++) {
			if (b->left_mb[k] < m->memory_mb)
				continue;
			score = 10.0 - s->use[i] + (double)b->left_mb[k] / 1e7;
			if (!in_datacentre(s, m, b->datacentre))
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

/* Whether the model's copy on a backend server may go. */
static int
may_unload(const struct scene *s, const struct place_model *m, uint32_t copy)
{
	const struct place_copy *c = &m->copies[copy];
	const struct place_backend *b = &s->backends[c->backend];
	uint32_t others = serving(s, m) - (c->resident && !b->leaving);

	if (!c->resident || b->busy || !b->usable)
		return 0;
	if (m->least == 0)
		return m->elsewhere;
	return others != 0 && others >= m->least;
}

/* Unloads the cheapest spare copy where the model would then fit. */
static struct place_move
make_room(const struct scene *s, uint32_t model, int urgent)
{
	const struct place_model *want = &s->models[model];
	const struct place_model *m;
	const struct place_copy *c;
	struct place_move best = place_nothing;
	double best_cost = 0.0;
	double cost;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		if (i == model ||
		    (!urgent && s->now < m->moved + s->config->hold_ns))
			continue;
		for (k = 0; k < m->ncopies; k++) {
			c = &m->copies[k];
			if (!may_unload(s, m, k) ||
			    !want->allowed[c->backend] ||
			    has_copy(want, c->backend))
				continue;
			if (s->backends[c->backend].left_mb[c->accelerator] +
				m->memory_mb <
			    want->memory_mb)
				continue;
			cost = m->demand / m->ncopies;
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

/* Whether a copy beyond the least is being loaded, for another to go. */
static int
spare_loading(const struct scene *s, const struct place_model *m)
{
	uint32_t i;

	for (i = 0; i < m->ncopies && counted(s, m) > m->least; i++) {
		if (!m->copies[i].resident)
			return 1;
	}
	return 0;
}

/* Whether moves under way will let the model fit; then nothing more moves. */
static int
room_coming(const struct scene *s, uint32_t model)
{
	const struct place_model *want = &s->models[model];
	const struct place_backend *b;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nmodels; i++) {
		if (s->models[i].least != 0 && spare_loading(s, &s->models[i]))
			return 1;
	}
	for (i = 0; i < s->nbackends; i++) {
		b = &s->backends[i];
		if (!want->allowed[i] || has_copy(want, i) || b->leaving)
			continue;
		for (k = 0; k < b->naccelerators; k++) {
			if (b->freeing_mb[k] != 0 &&
			    b->left_mb[k] + b->freeing_mb[k] >= want->memory_mb)
				return 1;
		}
	}
	return 0;
}

/*
 * Copies a smaller model to another backend server, so that its first copy
 * can go later and the model at hand then fits.
 */
static struct place_move
migrate(const struct scene *s, uint32_t model)
{
	const struct place_model *want = &s->models[model];
	const struct place_model *m;
	const struct place_copy *c;
	struct place_move best = place_nothing;
	struct place_move move;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		if (i == model || m->least == 0 ||
		    (best.kind != PLACE_NOTHING &&
			m->memory_mb >= s->models[best.model].memory_mb))
			continue;
		for (k = 0; k < m->ncopies; k++) {
			c = &m->copies[k];
			if (!c->resident || !want->allowed[c->backend] ||
			    has_copy(want, c->backend) ||
			    s->backends[c->backend].leaving)
				continue;
			if (s->backends[c->backend].left_mb[c->accelerator] +
				m->memory_mb <
			    want->memory_mb)
				continue;
			move = load_best(s, i, USE_ANY, 0);
			if (move.kind != PLACE_NOTHING)
				best = move;
		}
	}
	return best;
}

/* A model that lacks a copy, though nothing can be done here. */
static struct place_move
stuck(const struct scene *s)
{
	struct place_move move = place_nothing;
	uint32_t i;

	for (i = 0; i < s->nmodels; i++) {
		if (counted(s, &s->models[i]) >= s->models[i].least)
			continue;
		move.kind = PLACE_STUCK;
		move.model = i;
		if (counted(s, &s->models[i]) == 0)
			break;
	}
	return move;
}

/* Models below their least copies; first those that nobody serves. */
static struct place_move
need_copies(const struct scene *s, int urgent)
{
	const struct place_model *m;
	struct place_move move;
	uint32_t i;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		if (m->least == 0 || counted(s, m) >= m->least)
			continue;
		if (urgent && counted(s, m) != 0)
			continue;
		move = load_best(s, i, USE_ANY, urgent);
		if (move.kind != PLACE_NOTHING)
			return move;
		if (room_coming(s, i)) {
			move.kind = PLACE_WAIT;
			return move;
		}
		move = make_room(s, i, urgent);
		if (move.kind == PLACE_NOTHING)
			move = migrate(s, i);
		if (move.kind != PLACE_NOTHING)
			return move;
	}
	return place_nothing;
}

/* Copies of models not wanted here, and copies on leaving servers. */
static struct place_move
unload_unwanted(const struct scene *s)
{
	const struct place_model *m;
	struct place_move move = place_nothing;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		for (k = 0; k < m->ncopies; k++) {
			if (m->least != 0 &&
			    !s->backends[m->copies[k].backend].leaving)
				continue;
			if (!may_unload(s, m, k))
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

/* One more copy where it relieves the most demand for its cost. */
static struct place_move
add_by_gain(const struct scene *s)
{
	const struct place_model *m;
	struct place_move best = place_nothing;
	struct place_move move;
	double press;
	double over;
	double gain;
	uint32_t i;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		press = pressure(s, m);
		over = press - s->config->spare;
		if (m->least == 0 || over <= 0.0 ||
		    s->now < m->moved + s->config->hold_ns)
			continue;
		gain = m->demand * over * (1.0 + (double)m->priority / 10.0);
		if (gain < GAIN_LEAST || gain <= best.gain)
			continue;
		move = load_best(s, i, s->config->low, 0);
		if (move.kind == PLACE_NOTHING && press > s->config->high)
			move = make_room(s, i, 0);
		/* Making room must cost less than it gains. */
		if (move.kind == PLACE_NOTHING ||
		    (move.kind == PLACE_UNLOAD && gain + move.gain <= 0.0))
			continue;
		move.gain = gain;
		best = move;
	}
	return best;
}

struct place_move
place_next(const void *config, uint64_t now, const struct place_model *models,
    uint32_t nmodels, const struct place_backend *backends, uint32_t nbackends)
{
	struct scene s;
	struct place_move move;

	s.config = config;
	s.now = now;
	s.models = models;
	s.nmodels = nmodels;
	s.backends = backends;
	s.nbackends = nbackends;
	fill_use(&s);
	move = need_copies(&s, 1);
	if (move.kind == PLACE_NOTHING)
		move = need_copies(&s, 0);
	if (move.kind == PLACE_NOTHING)
		move = unload_unwanted(&s);
	if (move.kind == PLACE_NOTHING)
		move = stuck(&s);
	if (move.kind == PLACE_NOTHING)
		move = add_by_gain(&s);
	return move;
}
