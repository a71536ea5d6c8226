/* Replicas, models, gates and statistics of the scheduler; see sched.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "sched_int.h"

#define SYNCS_MISSED_MAX 3 /* until a gate is dead */
#define TOKEN_INTERVAL_INITIAL_NS (15 * NSEC_PER_MSEC) /* without samples */
#define TTFT_INITIAL_NS (200 * NSEC_PER_MSEC)
#define SLOT_TIME_INITIAL_NS (1 * NSEC_PER_SEC)

static void drop_jobs_of_gate(struct sched *, const struct gate *);
static void expire_gates(struct sched *, uint64_t);
static void model_remove_replica(struct model *, const struct replica *);
static struct replica *replica_create(struct sched *, const char *);

void
sched_config_default(struct sched_config *c)
{
	memset(c, 0, sizeof(*c));
	c->slots_initial = 8;
	c->slots_max = 64;
	c->long_share_pct = 60;
	c->queue_max = 20000;
	c->token_interval_target_ns = 26 * NSEC_PER_MSEC;
	c->ttft_target_ns = 970 * NSEC_PER_MSEC;
	c->gate_timeout_ns = 5 * NSEC_PER_SEC;
	c->tick_interval_ns = 100 * NSEC_PER_MSEC;
}

struct sched *
sched_create(const struct sched_config *config, uint64_t first_grant)
{
	struct sched *s;

	s = mem_alloc(sizeof(*s));
	s->config = *config;
	s->last_grant_id = first_grant;
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

struct gate *
sched_touch_gate(struct sched *s, uint64_t now, const struct node_id *id)
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
		drop_jobs_of_gate(s, g);
		g->id = *id;
	}
	g->last_message_at = now;
	return g;
}

static void
drop_jobs_of_gate(struct sched *s, const struct gate *g)
{
	struct job *job, *next;

	HASH_ITER (hh, s->jobs, job, next) {
		if (job->gate == g)
			sched_drop_job(s, job);
	}
}

/* Removes jobs that gates no longer refresh, and silent gates without jobs. */
static void
expire_gates(struct sched *s, uint64_t now)
{
	struct gate *g, *g_next;
	struct job *job, *next;
	uint64_t limit = s->config.gate_timeout_ns;

	HASH_ITER (hh, s->jobs, job, next) {
		if (now > job->refreshed_at + limit ||
		    now > job->gate->last_message_at + limit)
			sched_drop_job(s, job);
	}
	for (g = TAILQ_FIRST(&s->gates); g != NULL; g = g_next) {
		g_next = TAILQ_NEXT(g, entry);
		if (g->njobs == 0 && now > g->last_message_at + 2 * limit) {
			TAILQ_REMOVE(&s->gates, g, entry);
			free(g);
		}
	}
}

struct model *
sched_get_model(struct sched *s, const char *name, int create)
{
	struct model *m;
	int lane;

	HASH_FIND_STR(s->models, name, m);
	if (m != NULL || !create)
		return m;
	m = mem_alloc(sizeof(*m));
	snprintf(m->name, sizeof(m->name), "%s", name);
	for (lane = 0; lane < LANE_COUNT; lane++)
		TAILQ_INIT(&m->lanes[lane]);
	m->token_interval_ns = TOKEN_INTERVAL_INITIAL_NS;
	m->ttft_ns = TTFT_INITIAL_NS;
	m->slot_time_ns = SLOT_TIME_INITIAL_NS;
	m->output_ratio = 1.0;
	HASH_ADD_STR(s->models, name, m);
	return m;
}

static void
model_remove_replica(struct model *m, const struct replica *r)
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
sched_find_replica(const struct sched *s, const char *name)
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

	for (i = 0; i < CELL_REPLICAS_MAX && s->replicas_by_index[i] != NULL;
	     i++)
		;
	if (i == CELL_REPLICAS_MAX)
		return NULL;
	r = mem_alloc(sizeof(*r));
	snprintf(r->name, sizeof(r->name), "%s", name);
	r->slots = s->config.slots_initial;
	r->index = i;
	TAILQ_INIT(&r->grants);
	s->replicas_by_index[i] = r;
	HASH_ADD_STR(s->replicas, name, r);
	return r;
}

void
sched_declare_model(struct sched *s, const char *name)
{
	sched_get_model(s, name, 1);
}

void
sched_update_replica(struct sched *s, uint64_t now,
    const struct msg_replica *info, struct msg_list *out)
{
	struct replica *r;
	struct model *m;
	uint32_t i;

	r = sched_find_replica(s, info->name);
	if (r == NULL)
		r = replica_create(s, info->name);
	if (r == NULL)
		return;
	for (i = 0; i < r->nmodels; i++)
		model_remove_replica(r->models[i], r);
	if (info->incarnation != 0)
		r->incarnation = info->incarnation;
	notice_listed(&r->notice, r->incarnation, r->leaving && !info->leaving);
	r->leaving = info->leaving != 0;
	r->batch = info->batch;
	r->nmodels = 0;
	for (i = 0; i < info->nmodels; i++) {
		m = sched_get_model(s, info->models[i], 1);
		if (m->nreplicas == CELL_REPLICAS_MAX)
			continue;
		m->replicas[m->nreplicas++] = r;
		r->models[r->nmodels++] = m;
	}
	sched_fill_replica(s, now, r, out);
}

void
sched_remove_replica(struct sched *s, const char *name)
{
	struct job *job, *next;
	struct replica *r;
	uint32_t i;

	r = sched_find_replica(s, name);
	if (r == NULL)
		return;
	HASH_ITER (hh, s->jobs, job, next) {
		if (job->exclude == r)
			job->exclude = NULL;
		if (job->replica == r)
			sched_drop_job(s, job);
	}
	for (i = 0; i < PREFIX_TABLE_SIZE; i++) {
		if (s->prefixes[i].replica == r)
			s->prefixes[i].replica = NULL;
	}
	for (i = 0; i < r->nmodels; i++)
		model_remove_replica(r->models[i], r);
	s->replicas_by_index[r->index] = NULL;
	HASH_DEL(s->replicas, r);
	free(r);
}

/* Removes a waiting or granted job and frees it. */
void
sched_drop_job(struct sched *s, struct job *job)
{
	struct replica *r = job->replica;

	if (job->state == JOB_WAITING) {
		sched_dequeue_job(job);
		s->stats.waiting--;
	} else {
		TAILQ_REMOVE(&r->grants, job, entry);
		r->in_flight--;
		r->long_in_flight -= job->is_long;
		r->short_in_flight -= job->is_short;
		s->stats.granted--;
	}
	job->gate->njobs--;
	HASH_DEL(s->jobs, job); /* NOLINT(clang-analyzer-core.*) */
	free(job);
}

void
sched_set_sync_interval(struct sched *s, uint64_t interval_ns)
{
	struct sched_config c;

	sched_config_default(&c);
	s->config.gate_timeout_ns =
	    c.gate_timeout_ns + SYNCS_MISSED_MAX * interval_ns;
}

void
sched_tick(struct sched *s, uint64_t now, struct msg_list *out)
{
	struct model *m, *next;
	int i;

	if (now < s->ticked_at + s->config.tick_interval_ns)
		return;
	s->ticked_at = now;
	expire_gates(s, now);
	HASH_ITER (hh, s->models, m, next) {
		if (m->waiting != 0)
			sched_refuse_late_jobs(s, m, now, out);
	}
	sched_adapt_slots(s, now, out);
	for (i = 0; i < CELL_REPLICAS_MAX; i++) {
		if (s->replicas_by_index[i] != NULL)
			sched_fill_replica(
			    s, now, s->replicas_by_index[i], out);
	}
}

void
sched_take_demand(struct sched *s,
    void (*report)(void *, const struct sched_model_demand *), void *ctx)
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
sched_get_stats(const struct sched *s, struct sched_stats *out)
{
	int i;

	*out = s->stats;
	out->slots = 0;
	for (i = 0; i < CELL_REPLICAS_MAX; i++) {
		if (s->replicas_by_index[i] != NULL &&
		    !s->replicas_by_index[i]->leaving)
			out->slots += sched_slot_limit(s->replicas_by_index[i]);
	}
}

void
sched_get_replica_load(const struct sched *s, const char *name,
    uint32_t *outstanding, uint32_t *slots)
{
	const struct replica *r = sched_find_replica(s, name);

	*outstanding = r == NULL ? 0 : r->in_flight;
	*slots = r == NULL ? 0 : sched_slot_limit(r);
}

size_t
sched_job_size(void)
{
	return sizeof(struct job);
}
