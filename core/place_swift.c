#include <math.h>
#include <string.h>

#include "place_swift.h"

#define NEED_UNSERVED 1e6 /* no copy, and requests wait */
#define NEED_ABSENT 1e3	  /* no copy */

struct swift {
	const struct swift_config *config;
	uint64_t now;
	struct place_model *models;
	uint32_t nmodels;
	struct place_backend *backends;
	uint32_t nbackends;
	double use[PLACE_BACKENDS_MAX]; /* work by backend server */
};

static uint32_t copies(const struct swift *, const struct place_model *, int);
static double need(const struct swift *, const struct place_model *);
static int held_by(const struct place_model *, uint32_t);
static void fill_use(struct swift *);
static int load_into_room(struct swift *, uint32_t, struct place_move *);
static int unload_for(struct swift *, uint32_t, struct place_move *);
static double spare_cost(
    const struct swift *, const struct place_model *, uint32_t);
static int next_move(struct swift *, char *, struct place_move *);
static int room_on_its_way(const struct swift *, const struct place_model *);

void
swift_config_default(struct swift_config *c)
{
	c->work = 10.0;
	c->better = 4.0;
	c->at_hand = 6.0;
	c->hold_ns = 3 * NSEC_PER_SEC;
	c->moves = 6;
	c->unasked = 1;
}

/* Copies on backend servers that stay; resident ones only, or all. */
static uint32_t
copies(const struct swift *s, const struct place_model *m, int resident)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < m->ncopies; i++)
		n += !s->backends[m->copies[i].backend].leaving &&
		    (!resident || m->copies[i].resident);
	return n;
}

/* How much the model gains by one more copy; 0 when it needs none. */
static double
need(const struct swift *s, const struct place_model *m)
{
	uint32_t n = copies(s, m, 0);

	if (m->min_copies == 0)
		return 0.0;
	if (n == 0 && m->demand_slots > 0.0)
		return NEED_UNSERVED + m->demand_slots;
	if (n < m->min_copies && s->config->unasked)
		return n == 0 ? NEED_ABSENT : NEED_ABSENT / 2.0;
	if (n == 0)
		return 0.0;
	if (m->demand_slots <= n * s->config->work)
		return 0.0;
	return m->demand_slots / n;
}

static int
held_by(const struct place_model *m, uint32_t backend)
{
	uint32_t i;

	for (i = 0; i < m->ncopies; i++) {
		if (m->copies[i].backend == backend)
			return 1;
	}
	return 0;
}

static void
fill_use(struct swift *s)
{
	const struct place_model *m;
	uint32_t i;
	uint32_t k;

	memset(s->use, 0, sizeof(s->use));
	for (i = 0; i < s->nmodels; i++) {
		m = &s->models[i];
		for (k = 0; k < m->ncopies; k++)
			s->use[m->copies[k].backend] +=
			    m->demand_slots / m->ncopies;
	}
}

/* Loads where there is room, on the least used backend server. */
static int
load_into_room(struct swift *s, uint32_t model, struct place_move *move)
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
		    held_by(m, i) || b->free_mb[0] < m->memory_mb)
			continue;
		use = s->use[i];
		if (m->allowed[i] == PLACE_WEIGHTS_ON_DISK)
			use -= s->config->at_hand;
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

/* What is lost when a model gives up one copy; negative: it must not. */
static double
spare_cost(const struct swift *s, const struct place_model *m, uint32_t copy)
{
	uint32_t n = copies(s, m, 1);

	if (!m->copies[copy].resident ||
	    (m->min_copies != 0 && (n <= 1 || n <= m->min_copies)) ||
	    s->now < m->moved_at + s->config->hold_ns)
		return -1.0;
	return n <= 1 ? 0.0 : m->demand_slots / (n - 1);
}

/* Whether memory that is being freed will hold the model. */
static int
room_on_its_way(const struct swift *s, const struct place_model *m)
{
	const struct place_backend *b;
	uint32_t i;

	for (i = 0; i < s->nbackends; i++) {
		b = &s->backends[i];
		if (!b->leaving && b->usable && !held_by(m, i) &&
		    b->freeing_mb[0] != 0 &&
		    b->free_mb[0] + b->freeing_mb[0] >= m->memory_mb)
			return 1;
	}
	return 0;
}

/* Drops the copy that can best be spared where the model then fits. */
static int
unload_for(struct swift *s, uint32_t model, struct place_move *move)
{
	const struct place_model *want = &s->models[model];
	double limit = need(s, want) - s->config->better;
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
			    held_by(want, m->copies[k].backend) ||
			    b->free_mb[0] + m->memory_mb < want->memory_mb)
				continue;
			cost = spare_cost(s, m, k);
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

/* The most needed model for which something can begin now. */
static int
next_move(struct swift *s, char *tried, struct place_move *move)
{
	double most;
	double n;
	uint32_t best;
	uint32_t i;

	for (;;) {
		most = 0.0;
		best = s->nmodels;
		for (i = 0; i < s->nmodels; i++) {
			n = tried[i] ? 0.0 : need(s, &s->models[i]);
			if (n > most) {
				most = n;
				best = i;
			}
		}
		if (best == s->nmodels)
			return 0;
		memset(move, 0, sizeof(*move));
		move->gain = most;
		move->urgent = most >= NEED_UNSERVED;
		if (load_into_room(s, best, move))
			return 1;
		tried[best] = 1;
		if (!room_on_its_way(s, &s->models[best]) &&
		    unload_for(s, best, move))
			return 1;
	}
}

uint32_t
place_swift(const struct swift_config *config, uint64_t now,
    struct place_model *models, uint32_t nmodels,
    struct place_backend *backends, uint32_t nbackends,
    struct place_move *moves, uint32_t max)
{
	struct swift s;
	char tried[1024];
	uint32_t n = 0;

	memset(&s, 0, sizeof(s));
	s.config = config;
	s.now = now;
	s.models = models;
	s.nmodels = nmodels < sizeof(tried) ? nmodels : sizeof(tried);
	s.backends = backends;
	s.nbackends = nbackends;
	fill_use(&s);
	memset(tried, 0, sizeof(tried));
	while (n < max && n < config->moves && next_move(&s, tried, &moves[n]))
		n++;
	return n;
}
