/* Messages, inventory and bookkeeping of the scheduler; see sched.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "sched_int.h"

#define TOKEN_FIRST_NS (15 * NSEC_PER_MSEC) /* before any sample */
#define FIRST_FIRST_NS (200 * NSEC_PER_MSEC)
#define SERVICE_FIRST_NS (1 * NSEC_PER_SEC)
#define STANDARD_QUEUE_PCT 75 /* of queue_max, for work nobody waits on */
#define HISTORY_WEIGHT 0.1

typedef void (*sched_handler)(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);

static struct gate *gate_find(struct sched *, uint64_t, const struct node_id *);
static void gate_drop_jobs(struct sched *, const struct gate *);
static void gate_expire(struct sched *, uint64_t);
static struct model *model_find(struct sched *, const char *, int);
static void model_unlink(struct model *, const struct replica *);
static struct replica *replica_find(const struct sched *, const char *);
static struct replica *replica_create(struct sched *, const char *);
static struct job *job_find(const struct sched *, const struct job_key *);
static struct job *job_create(struct sched *, uint64_t, const struct job_key *,
    struct gate *, struct model *);
static void job_place(struct sched *, struct job *, struct replica *);
static void job_history(struct job *, uint64_t, const struct msg_release *);
static void send_job(const struct job *, enum msg_kind, struct msg_list *);
static void send_refuse(const struct node_id *, const struct job_key *,
    enum refuse_reason, struct msg_list *);
static int queue_full(const struct sched *, uint32_t);
static void on_acquire(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
static void on_again(struct job *, uint64_t, struct msg_list *);
static void on_cancel(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
static void on_release(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
static void on_sync(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
static void on_report(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
static void adopt(
    struct sched *, uint64_t, struct gate *, const struct msg_sync_item *);

static const sched_handler sched_handlers[MSG__MAX] = {
	[MSG_ACQUIRE] = on_acquire,
	[MSG_CANCEL] = on_cancel,
	[MSG_RELEASE] = on_release,
	[MSG_SYNC] = on_sync,
	[MSG_REPORT] = on_report,
};

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
static struct gate *
gate_find(struct sched *s, uint64_t now, const struct node_id *id)
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

static struct model *
model_find(struct sched *s, const char *name, int create)
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

static struct replica *
replica_find(const struct sched *s, const char *name)
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
	model_find(s, name, 1);
}

void
sched_replica(struct sched *s, uint64_t now, const struct msg_replica *info,
    struct msg_list *out)
{
	struct replica *r;
	struct model *m;
	uint32_t i;

	r = replica_find(s, info->name);
	if (r == NULL)
		r = replica_create(s, info->name);
	if (r == NULL)
		return;
	for (i = 0; i < r->nmodels; i++)
		model_unlink(r->models[i], r);
	r->leaving = info->leaving != 0;
	r->nmodels = 0;
	for (i = 0; i < info->nmodels; i++) {
		m = model_find(s, info->models[i], 1);
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

	r = replica_find(s, name);
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

static struct job *
job_find(const struct sched *s, const struct job_key *key)
{
	struct job *job;

	HASH_FIND(hh, s->jobs, key, sizeof(*key), job);
	return job;
}

static struct job *
job_create(struct sched *s, uint64_t now, const struct job_key *key,
    struct gate *g, struct model *m)
{
	struct job *job;

	job = mem_alloc(sizeof(*job));
	job->key = *key;
	job->gate = g;
	job->model = m;
	job->refreshed = now;
	g->refs++;
	HASH_ADD(hh, s->jobs, key, sizeof(job->key), job);
	return job;
}

/* Counts a job as outstanding on a replica. */
static void
job_place(struct sched *s, struct job *job, struct replica *r)
{
	job->state = JOB_GRANTED;
	job->replica = r;
	r->outstanding++;
	r->long_outstanding += job->is_long;
	TAILQ_INSERT_TAIL(&r->grants, job, entry);
	if (job->prefix != 0) {
		s->prefixes[job->prefix % PREFIX_SLOTS].prefix = job->prefix;
		s->prefixes[job->prefix % PREFIX_SLOTS].replica = r;
	}
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
		s->totals.granted--;
	}
	job->gate->refs--;
	HASH_DEL(s->jobs, job); /* NOLINT(clang-analyzer-core.*) */
	free(job);
}

static void
send_job(const struct job *job, enum msg_kind kind, struct msg_list *out)
{
	struct msg *m;

	m = msg_create(kind, job->gate->id.addr);
	if (kind == MSG_GRANT) {
		m->u.grant.key = job->key;
		m->u.grant.grant = job->grant;
		memcpy(m->u.grant.replica, job->replica->name, NAME_SIZE);
	} else {
		m->u.key = job->key;
	}
	TAILQ_INSERT_TAIL(out, m, entry);
}

static void
send_refuse(const struct node_id *to, const struct job_key *key,
    enum refuse_reason reason, struct msg_list *out)
{
	struct msg *m;

	m = msg_create(MSG_REFUSE, to->addr);
	m->u.refuse.key = *key;
	m->u.refuse.reason = reason;
	TAILQ_INSERT_TAIL(out, m, entry);
}

void
sched_refuse_job(struct sched *s, struct job *job, enum refuse_reason reason,
    struct msg_list *out)
{
	send_refuse(&job->gate->id, &job->key, reason, out);
	s->totals.refusals++;
	job->model->demand.refused++;
	sched_drop_job(s, job);
}

void
sched_send_grant(struct sched *s, uint64_t now, struct job *job,
    struct replica *r, struct msg_list *out)
{
	sched_unqueue(job);
	s->totals.waiting--;
	s->totals.granted++;
	s->totals.grants++;
	job->grant = ++s->next_grant;
	job->granted_at = now;
	job->refreshed = now;
	job_place(s, job, r);
	send_job(job, MSG_GRANT, out);
}

static int
queue_full(const struct sched *s, uint32_t job_class)
{
	uint32_t most = s->config.queue_max;

	if (job_class != CLASS_INTERACTIVE)
		most = most * STANDARD_QUEUE_PCT / 100;
	return s->totals.waiting >= most;
}

/* A repeated ACQUIRE gets the same answer again. */
static void
on_again(struct job *job, uint64_t now, struct msg_list *out)
{
	job->refreshed = now;
	send_job(job, job->state == JOB_GRANTED ? MSG_GRANT : MSG_QUEUED, out);
}

static void
on_acquire(
    struct sched *s, uint64_t now, const struct msg *m, struct msg_list *out)
{
	const struct msg_acquire *a = &m->u.acquire;
	struct replica *r;
	struct model *model;
	struct gate *g;
	struct job *job;

	g = gate_find(s, now, &m->from);
	if (g == NULL)
		return;
	job = job_find(s, &a->key);
	if (job != NULL) {
		on_again(job, now, out);
		return;
	}
	/* An adapter is queued for like a model of its own. */
	model = model_find(s, a->adapter[0] != '\0' ? a->adapter : a->model, 0);
	if (model == NULL) {
		send_refuse(&m->from, &a->key, REFUSE_NO_MODEL, out);
		return;
	}
	model->demand.arrivals++;
	if (queue_full(s, a->job_class)) {
		s->totals.refusals++;
		model->demand.refused++;
		send_refuse(&m->from, &a->key, REFUSE_OVERLOAD, out);
		return;
	}
	job = job_create(s, now, &a->key, g, model);
	job->prefix = a->prefix;
	job->tokens = a->tokens;
	job->deadline =
	    a->slack_ns >= TIME_NEVER - now ? TIME_NEVER : now + a->slack_ns;
	/* The only copy is better than none. */
	if (model->nreplicas > 1)
		job->exclude = replica_find(s, a->exclude);
	sched_estimate(job, a->job_class);
	if (job->is_short_kind)
		model->short_seen = now;
	sched_enqueue(job, a->job_class, now);
	s->totals.waiting++;
	r = sched_pick_replica(s, now, job);
	if (r != NULL)
		sched_fill(s, now, r, out);
	job = job_find(s, &a->key);
	if (job != NULL && job->state == JOB_WAITING)
		send_job(job, MSG_QUEUED, out);
}

static void
on_cancel(
    struct sched *s, uint64_t now, const struct msg *m, struct msg_list *out)
{
	struct replica *r;
	struct job *job;

	job = job_find(s, &m->u.key);
	if (job == NULL)
		return;
	r = job->replica;
	sched_drop_job(s, job);
	if (r != NULL)
		sched_fill(s, now, r, out);
}

/* Learns from a finished attempt. */
static void
job_history(struct job *job, uint64_t now, const struct msg_release *rel)
{
	struct model *m = job->model;
	double w = HISTORY_WEIGHT;
	uint64_t held;

	held = now > job->granted_at ? now - job->granted_at : 0;
	m->demand.busy_ns += held;
	sched_sample(job->replica, now, rel->first_ns, rel->token_ns);
	if (rel->outcome != RELEASE_DONE)
		return;
	m->service_ns =
	    (uint64_t)((1 - w) * (double)m->service_ns + w * (double)held);
	if (job->tokens != 0 && rel->tokens != 0)
		m->token_ratio = (1 - w) * m->token_ratio +
		    w * (double)rel->tokens / (double)job->tokens;
	if (rel->token_ns != 0)
		m->token_ns = (uint64_t)((1 - w) * (double)m->token_ns +
		    w * (double)rel->token_ns);
	if (rel->first_ns != 0)
		m->first_ns = (uint64_t)((1 - w) * (double)m->first_ns +
		    w * (double)rel->first_ns);
}

static void
on_release(
    struct sched *s, uint64_t now, const struct msg *m, struct msg_list *out)
{
	const struct msg_release *rel = &m->u.release;
	struct replica *r;
	struct job *job;

	if (gate_find(s, now, &m->from) == NULL)
		return;
	job = job_find(s, &rel->key);
	if (job == NULL)
		return;
	r = job->replica;
	if (job->state == JOB_GRANTED)
		job_history(job, now, rel);
	sched_drop_job(s, job);
	if (r != NULL)
		sched_fill(s, now, r, out);
}

/* Counts a grant that an earlier owner, or the gate itself, gave. */
static void
adopt(struct sched *s, uint64_t now, struct gate *g,
    const struct msg_sync_item *it)
{
	struct replica *r;
	struct job *job;

	r = replica_find(s, it->replica);
	job = job_find(s, &it->key);
	if (job != NULL && job->state == JOB_GRANTED) {
		job->refreshed = now;
		return;
	}
	if (r == NULL || r->nmodels == 0)
		return;
	if (job == NULL) {
		job = job_create(s, now, &it->key, g, r->models[0]);
	} else {
		sched_unqueue(job);
		s->totals.waiting--;
	}
	job->refreshed = now;
	job->granted_at = now;
	job->grant = it->grant;
	job->is_long = it->is_long != 0;
	s->totals.granted++;
	job_place(s, job, r);
}

static void
on_sync(
    struct sched *s, uint64_t now, const struct msg *m, struct msg_list *out)
{
	struct gate *g;
	uint32_t i;

	(void)out;
	g = gate_find(s, now, &m->from);
	if (g == NULL)
		return;
	for (i = 0; i < m->u.sync.n; i++)
		adopt(s, now, g, &m->u.sync.items[i]);
}

static void
on_report(
    struct sched *s, uint64_t now, const struct msg *m, struct msg_list *out)
{
	const struct msg_report_item *it;
	struct replica *r;
	uint64_t first;
	uint32_t i;

	(void)out;
	if (gate_find(s, now, &m->from) == NULL)
		return;
	for (i = 0; i < m->u.report.n; i++) {
		it = &m->u.report.items[i];
		r = replica_find(s, it->replica);
		if (r == NULL)
			continue;
		/* A first token that is overdue counts as it stands. */
		first = it->first_ns;
		if (it->waiting_ns > s->config.first_target_ns &&
		    it->waiting_ns > first)
			first = it->waiting_ns;
		sched_sample(r, now, first, it->token_ns);
	}
}

void
sched_message(
    struct sched *s, uint64_t now, const struct msg *m, struct msg_list *out)
{
	if ((unsigned)m->kind < MSG__MAX && sched_handlers[m->kind] != NULL)
		sched_handlers[m->kind](s, now, m, out);
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
	const struct replica *r = replica_find(s, name);

	*outstanding = r == NULL ? 0 : r->outstanding;
	*slots = r == NULL ? 0 : sched_slots(r);
}

size_t
sched_job_size(void)
{
	return sizeof(struct job);
}
