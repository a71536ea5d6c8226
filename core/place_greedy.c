#include <math.h>
#include <string.h>

#include "place_greedy.h"

#define GAIN_UNSERVED 1e6 /* no copy and requests waiting */
#define GAIN_NO_COPY 1e3  /* no copy, no requests */

struct greedy_state {
	const struct place_greedy_config *config;
	uint64_t now;
	struct place_model *models;
	uint32_t nmodels;
	struct place_backend *backends;
	uint32_t nbackends;
	double backend_load[PLACE_BACKENDS_MAX]; /* requests */
};

static uint32_t count_copies(
    const struct greedy_state *, const struct place_model *, int);
static double copy_gain(
    const struct greedy_state *, const struct place_model *);
static int has_copy_on(const struct place_model *, uint32_t);
static void compute_backend_load(struct greedy_state *);
static int plan_load(struct greedy_state *, uint32_t, struct place_move *);
static int plan_unload_for(
    struct greedy_state *, uint32_t, struct place_move *);
static double unload_cost(
    const struct greedy_state *, const struct place_model *, uint32_t);
static int plan_next_move(struct greedy_state *, char *, struct place_move *);
static int memory_being_freed(
    const struct greedy_state *, const struct place_model *);

void
place_greedy_config_default(struct place_greedy_config *c)
{
	c->requests_per_copy = 10.0;
	c->min_gain = 4.0;
	c->cached_bonus = 6.0;
	c->min_hold_ns = 3 * NSEC_PER_SEC;
	c->max_moves = 6;
	c->load_without_demand = 1;
}

/* Copies, or resident ones only, on backend servers that are not leaving. */
static uint32_t
count_copies(
    const struct greedy_state *s, const struct place_model *m, int resident)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < m->ncopies; i++)
		n += !s->backends[m->copies[i].backend].leaving &&
		    (!resident || m->copies[i].resident);
	return n;
}

/* Gain of one more copy of the model; 0 when it needs none. */
static double
copy_gain(const struct greedy_state *s, const struct place_model *m)
{
	uint32_t n = count_copies(s, m, 0);

	if (m->min_copies == 0)
		return 0.0;
	if (n == 0 && m->demand_slots > 0.0)
		return GAIN_UNSERVED + m->demand_slots;
	if (n < m->min_copies && s->config->load_without_demand)
		return n == 0 ? GAIN_NO_COPY : GAIN_NO_COPY / 2.0;
	if (n == 0)
		return 0.0;
	if (m->demand_slots <= n * s->config->requests_per_copy)
		return 0.0;
	return m->demand_slots / n;
}

static int
has_copy_on(const struct place_model *m, uint32_t backend)
{
	uint32_t i;

	for (i = 0; i < m->ncopies; i++) {
		if (m->copies[i].backend == backend)
			return 1;
	}
	return 0;
}

static void
compute_backend_load(struct greedy_state *s)
{
	const struct place_model *m;
	uint32_t i;
	uint32_t k;

	memset(s->backend_load, 0, sizeof(s->backend_load));
	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		for (k = 0; k < m->ncopies; k++)
			s->backend_load[m->copies[k].backend] +=
			    m->demand_slots / m->ncopies;
	}
}

/* Plans a load on the least used backend server with enough free memory. */
static int
plan_load(struct greedy_state *s, uint32_t model, struct place_move *move)
{
	struct place_model *m = &s->models[model];
	struct place_backend *b;
	uint32_t best = s->nbackends;
	double least = 0.0;
	double use;
	uint32_t i;

	for (i = 0; i < s->nbackends; i++) {
		b = &s->backends[i];
		if (b->leaving || !b->usable || b->busy || !m->allowed[i] ||
		    has_copy_on(m, i) || b->free_mb[0] < m->memory_mb)
			continue;
		use = s->backend_load[i];
		if (m->allowed[i] == PLACE_WEIGHTS_ON_DISK)
			use -= s->config->cached_bonus;
		if (best != s->nbackends && use >= least)
			continue;
		best = i;
		least = use;
	}
	if (best == s->nbackends)
		return 0;
	move->kind = PLACE_LOAD;
	move->model = model;
	move->backend = best;
	s->backends[best].free_mb[0] -= m->memory_mb;
	s->backends[best].busy = 1;
	m->copies[m->ncopies].backend = best;
	m->copies[m->ncopies].resident = 0;
	m->ncopies++;
	return 1;
}

/* Requests per remaining copy without this copy; negative: must stay. */
static double
unload_cost(
    const struct greedy_state *s, const struct place_model *m, uint32_t copy)
{
	uint32_t n = count_copies(s, m, 1);

	if (!m->copies[copy].resident ||
	    (m->min_copies != 0 && (n <= 1 || n <= m->min_copies)) ||
	    s->now < m->moved_at + s->config->min_hold_ns)
		return -1.0;
	return n <= 1 ? 0.0 : m->demand_slots / (n - 1);
}

/* Whether an unload in progress frees enough memory for the model. */
static int
memory_being_freed(const struct greedy_state *s, const struct place_model *m)
{
	const struct place_backend *b;
	uint32_t i;

	for (i = 0; i < s->nbackends; i++) {
		b = &s->backends[i];
		if (!b->leaving && b->usable && !has_copy_on(m, i) &&
		    b->freeing_mb[0] != 0 &&
		    b->free_mb[0] + b->freeing_mb[0] >= m->memory_mb)
			return 1;
	}
	return 0;
}

/* Plans to unload the copy of least cost that makes room for the model. */
static int
plan_unload_for(struct greedy_state *s, uint32_t model, struct place_move *move)
{
	const struct place_model *want = &s->models[model];
	double limit = copy_gain(s, want) - s->config->min_gain;
	struct place_model *m;
	struct place_backend *b;
	double best = -1.0;
	double cost;
	uint32_t at = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		for (k = 0; i != model && k < m->ncopies; k++) {
			b = &s->backends[m->copies[k].backend];
			if (b->leaving || !b->usable || b->busy ||
			    has_copy_on(want, m->copies[k].backend) ||
			    b->free_mb[0] + m->memory_mb < want->memory_mb)
				continue;
			cost = unload_cost(s, m, k);
			if (cost < 0.0 || cost > limit ||
			    (best >= 0.0 && cost >= best))
				continue;
			best = cost;
			move->model = i;
			move->backend = m->copies[k].backend;
			at = k;
		}
	}
	if (best < 0.0)
		return 0;
	move->kind = PLACE_UNLOAD;
	m = &s->models[move->model];
	m->copies[at] = m->copies[--m->ncopies];
	b = &s->backends[move->backend];
	b->busy = 1;
	b->freeing_mb[0] += m->memory_mb;
	return 1;
}

/* Plans a move for the model of largest gain for which one can start now. */
static int
plan_next_move(struct greedy_state *s, char *tried, struct place_move *move)
{
	double most;
	double n;
	uint32_t best;
	uint32_t i;

	for (;;) {
		most = 0.0;
		best = s->nmodels;
		for (i = 0; i < s->nmodels; i++) {
			n = tried[i] ? 0.0 : copy_gain(s, &s->models[i]);
			if (n > most) {
				most = n;
				best = i;
			}
		}
		if (best == s->nmodels)
			return 0;
		memset(move, 0, sizeof(*move));
		move->gain = most;
		move->urgent = most >= GAIN_UNSERVED;
		if (plan_load(s, best, move))
			return 1;
		tried[best] = 1;
		if (!memory_being_freed(s, &s->models[best]) &&
		    plan_unload_for(s, best, move))
			return 1;
	}
}

uint32_t
place_greedy(const struct place_greedy_config *config, uint64_t now,
    struct place_model *models, uint32_t nmodels,
    struct place_backend *backends, uint32_t nbackends,
    struct place_move *moves, uint32_t max)
{
	struct greedy_state s;
	char tried[1024];
	uint32_t n = 0;

	memset(&s, 0, sizeof(s));
	s.config = config;
	s.now = now;
	s.models = models;
	s.nmodels = nmodels < sizeof(tried) ? nmodels : sizeof(tried);
	s.backends = backends;
	s.nbackends = nbackends;
	compute_backend_load(&s);
	memset(tried, 0, sizeof(tried));
	while (n < max && n < config->max_moves &&
	    plan_next_move(&s, tried, &moves[n]))
		n++;
	return n;
}
