/* Inventory, time and totals of the scheduler; see sched.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "sched_int.h"

#define SYNCS_MISSED 3			    /* until a gate counts as dead */
#define TOKEN_FIRST_NS (15 * NSEC_PER_MSEC) /* before any sample */
#define FIRST_FIRST_NS (200 * NSEC_PER_MSEC)
#define SERVICE_FIRST_NS (1 * NSEC_PER_SEC)

static void gate_drop_jobs(struct sched *, const struct gate *);
static void gate_expire(struct sched *, uint64_t);
static void model_unlink(struct model *, const struct replica *);
static struct replica *replica_create(struct sched *, const char *);

void
sched_config_default(struct sched_config *c)
{
	memset(c, 0, sizeof(*c));
	c->slots_first = 8;
	c->slots_max = 64;
	c->long_share_pct = 60;
	c->queue_max = 20000;
	c->token_target_ns = 26 * NSEC_PER_MSEC;
	c->first_target_ns = 970 * NSEC_PER_MSEC;
	c->gate_timeout_ns = 5 * NSEC_PER_SEC;
	c->tick_ns = 100 * NSEC_PER_MSEC;
}

struct sched *
sched_create(const struct sched_config *config, uint64_t first_grant)
{
	struct sched *s;

	s = mem_alloc(sizeof(*s));
	s->config = *config;
	s->next_grant = first_grant;
	TAILQ_INIT(&s->gates);
	return s;
}

void
sched_destroy(struct sched *s)
{
	struct job *job, *job_next;
	struct model *m, *m_next;
	struct replica *r, *r_next;
	struct gate *g;

	if (s == NULL)
		return;
	HASH_ITER (hh, s->jobs, job, job_next) {
		HASH_DEL(s->jobs, job);
		free(job);
	}
	HASH_ITER (hh, s->models, m, m_next) {
		HASH_DEL(s->models, m);
		free(m);
	}
	HASH_ITER (hh, s->replicas, r, r_next) {
		HASH_DEL(s->replicas, r);
		free(r);
	}
	while ((g = TAILQ_FIRST(&s->gates)) != NULL) {
		TAILQ_REMOVE(&s->gates, g, entry);
		free(g);
	}
	free(s);
}

/*
 * Finds the record of a gate's incarnation and notes that it was heard.
 * Returns NULL for an incarnation older than one already heard.
 */
struct gate *
sched_gate(struct sched *s, uint64_t now, const struct node_id *id)
{
	struct gate *g;

	TAILQ_FOREACH (g, &s->gates, entry) {
		if (strcmp(g->id.addr, id->addr) == 0)
			break;
	}
	if (g != NULL && g->id.incarnation > id->incarnation)
		return NULL;
	if (g == NULL) {
		g = mem_alloc(sizeof(*g));
		g->id = *id;
		TAILQ_INSERT_TAIL(&s->gates, g, entry);
	} else if (g->id.incarnation < id->incarnation) {
		gate_drop_jobs(s, g);
		g->id = *id;
	}
	g->heard = now;
	return g;
}

static void
gate_drop_jobs(struct sched *s, const struct gate *g)
{
	struct job *job, *next;

	HASH_ITER (hh, s->jobs, job, next) {
		if (job->gate == g)
			sched_drop_job(s, job);
	}
}

/* Forgets jobs that no gate names any more, and gates without jobs. */
static void
gate_expire(struct sched *s, uint64_t now)
{
	struct gate *g, *g_next;
	struct job *job, *next;
	uint64_t limit = s->config.gate_timeout_ns;

	HASH_ITER (hh, s->jobs, job, next) {
		if (now > job->refreshed + limit ||
		    now > job->gate->heard + limit)
			sched_drop_job(s, job);
	}
	for (g = TAILQ_FIRST(&s->gates); g != NULL; g = g_next) {
		g_next = TAILQ_NEXT(g, entry);
		if (g->refs == 0 && now > g->heard + 2 * limit) {
			TAILQ_REMOVE(&s->gates, g, entry);
			free(g);
		}
	}
}

struct model *
sched_model(struct sched *s, const char *name, int create)
{
	struct model *m;
	int lane;

	HASH_FIND_STR(s->models, name, m);
	if (m != NULL || !create)
		return m;
	m = mem_alloc(sizeof(*m));
	snprintf(m->name, sizeof(m->name), "%s", name);
	for (lane = 0; lane < LANES; lane++)
		TAILQ_INIT(&m->lanes[lane]);
	m->token_ns = TOKEN_FIRST_NS;
	m->first_ns = FIRST_FIRST_NS;
	m->service_ns = SERVICE_FIRST_NS;
	m->token_ratio = 1.0;
	HASH_ADD_STR(s->models, name, m);
	return m;
}

static void
model_unlink(struct model *m, const struct replica *r)
{
	uint32_t i;

	for (i = 0; i < m->nreplicas; i++) {
		if (m->replicas[i] != r)
			continue;
		m->replicas[i] = m->replicas[--m->nreplicas];
		return;
	}
}

struct replica *
sched_find(const struct sched *s, const char *name)
{
	struct replica *r;

	HASH_FIND_STR(s->replicas, name, r);
	return r;
}

static struct replica *
replica_create(struct sched *s, const char *name)
{
	struct replica *r;
	uint32_t i;

	for (i = 0; i < CELL_REPLICAS_MAX && s->order[i] != NULL; i++)
		;
	if (i == CELL_REPLICAS_MAX)
		return NULL;
	r = mem_alloc(sizeof(*r));
	snprintf(r->name, sizeof(r->name), "%s", name);
	r->slots = s->config.slots_first;
	r->index = i;
	TAILQ_INIT(&r->grants);
	s->order[i] = r;
	HASH_ADD_STR(s->replicas, name, r);
	return r;
}

void
sched_declare(struct sched *s, const char *name)
{
	sched_model(s, name, 1);
}

void
sched_replica(struct sched *s, uint64_t now, const struct msg_replica *info,
    struct msg_list *out)
{
	struct replica *r;
	struct model *m;
	uint32_t i;

	r = sched_find(s, info->name);
	if (r == NULL)
		r = replica_create(s, info->name);
	if (r == NULL)
		return;
	for (i = 0; i < r->nmodels; i++)
		model_unlink(r->models[i], r);
	r->leaving = info->leaving != 0;
	r->batch = info->batch;
	r->nmodels = 0;
	for (i = 0; i < info->nmodels; i++) {
		m = sched_model(s, info->models[i], 1);
		if (m->nreplicas == CELL_REPLICAS_MAX)
			continue;
		m->replicas[m->nreplicas++] = r;
		r->models[r->nmodels++] = m;
	}
	sched_fill(s, now, r, out);
}

void
sched_replica_gone(struct sched *s, const char *name)
{
	struct job *job, *next;
	struct replica *r;
	uint32_t i;

	r = sched_find(s, name);
	if (r == NULL)
		return;
	HASH_ITER (hh, s->jobs, job, next) {
		if (job->exclude == r)
			job->exclude = NULL;
		if (job->replica == r)
			sched_drop_job(s, job);
	}
	for (i = 0; i < PREFIX_SLOTS; i++) {
		if (s->prefixes[i].replica == r)
			s->prefixes[i].replica = NULL;
	}
	for (i = 0; i < r->nmodels; i++)
		model_unlink(r->models[i], r);
	s->order[r->index] = NULL;
	HASH_DEL(s->replicas, r);
	free(r);
}

/* Removes a job from wherever it is and frees it. */
void
sched_drop_job(struct sched *s, struct job *job)
{
	struct replica *r = job->replica;

	if (job->state == JOB_WAITING) {
		sched_unqueue(job);
		s->totals.waiting--;
	} else {
		TAILQ_REMOVE(&r->grants, job, entry);
		r->outstanding--;
		r->long_outstanding -= job->is_long;
		r->short_outstanding -= job->is_short_kind;
		s->totals.granted--;
	}
	job->gate->refs--;
	HASH_DEL(s->jobs, job); /* NOLINT(clang-analyzer-core.*) */
	free(job);
}

void
sched_pace(struct sched *s, uint64_t pace_ns)
{
	struct sched_config c;

	sched_config_default(&c);
	s->config.gate_timeout_ns = c.gate_timeout_ns + SYNCS_MISSED * pace_ns;
}

void
sched_tick(struct sched *s, uint64_t now, struct msg_list *out)
{
	struct model *m, *next;
	int i;

	if (now < s->ticked + s->config.tick_ns)
		return;
	s->ticked = now;
	gate_expire(s, now);
	HASH_ITER (hh, s->models, m, next) {
		if (m->waiting != 0)
			sched_shed(s, m, now, out);
	}
	sched_adapt(s, now, out);
	for (i = 0; i < CELL_REPLICAS_MAX; i++) {
		if (s->order[i] != NULL)
			sched_fill(s, now, s->order[i], out);
	}
}

void
sched_demand(struct sched *s,
    void (*report)(void *, const struct sched_demand *), void *ctx)
{
	struct model *m, *next;

	HASH_ITER (hh, s->models, m, next) {
		memcpy(m->demand.model, m->name, NAME_SIZE);
		m->demand.waiting = m->waiting;
		report(ctx, &m->demand);
		memset(&m->demand, 0, sizeof(m->demand));
	}
}

void
sched_totals(const struct sched *s, struct sched_totals *out)
{
	int i;

	*out = s->totals;
	out->slots = 0;
	for (i = 0; i < CELL_REPLICAS_MAX; i++) {
		if (s->order[i] != NULL && !s->order[i]->leaving)
			out->slots += sched_slots(s->order[i]);
	}
}

void
sched_replica_load(const struct sched *s, const char *name,
    uint32_t *outstanding, uint32_t *slots)
{
	const struct replica *r = sched_find(s, name);

	*outstanding = r == NULL ? 0 : r->outstanding;
	*slots = r == NULL ? 0 : sched_slots(r);
}

size_t
sched_job_size(void)
{
	return sizeof(struct job);
}
