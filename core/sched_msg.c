/* Handlers of the messages from gates. */
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "sched_int.h"

#define STANDARD_QUEUE_PCT 75 /* of queue_max, unless interactive */
#define FIRST_TOKEN_OVERDUE_NS (100 * NSEC_PER_MSEC)
#define MODEL_SAMPLE_WEIGHT 0.1

typedef void (*sched_handler)(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);

static struct job *find_job(const struct sched *, const struct job_key *);
static struct job *job_create(struct sched *, uint64_t, const struct job_key *,
    struct gate *, struct model *);
static void job_assign(
    struct sched *, uint64_t, struct job *, struct replica *);
static void job_update_model(
    struct job *, uint64_t, const struct msg_release *);
static void send_job_state(
    const struct job *, enum msg_kind, struct msg_list *);
static void send_refuse(const struct node_id *, const struct job_key *,
    enum refuse_reason, uint64_t, struct msg_list *);
static int queue_full(const struct sched *, uint32_t);
static void on_acquire(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
static void on_repeated_acquire(struct job *, uint64_t, struct msg_list *);
static void on_cancel(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
static void on_release(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
static void on_sync(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
static void on_report(
    struct sched *, uint64_t, const struct msg *, struct msg_list *);
static void adopt_grant(
    struct sched *, uint64_t, struct gate *, const struct msg_sync_item *);

static const sched_handler sched_handlers[MSG__MAX] = {
	[MSG_ACQUIRE] = on_acquire,
	[MSG_CANCEL] = on_cancel,
	[MSG_RELEASE] = on_release,
	[MSG_SYNC] = on_sync,
	[MSG_REPORT] = on_report,
};

static struct job *
find_job(const struct sched *s, const struct job_key *key)
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
	job->refreshed_at = now;
	g->njobs++;
	HASH_ADD(hh, s->jobs, key, sizeof(job->key), job);
	return job;
}

/* Marks a job as granted on a replica. */
static void
job_assign(struct sched *s, uint64_t now, struct job *job, struct replica *r)
{
	job->state = JOB_GRANTED;
	job->replica = r;
	job->incarnation = r->incarnation;
	sched_use_permit(r, now);
	r->in_flight++;
	r->long_in_flight += job->is_long;
	r->short_in_flight += job->is_short;
	TAILQ_INSERT_TAIL(&r->grants, job, entry);
	if (job->prefix_hash != 0) {
		s->prefixes[job->prefix_hash % PREFIX_TABLE_SIZE].hash =
		    job->prefix_hash;
		s->prefixes[job->prefix_hash % PREFIX_TABLE_SIZE].replica = r;
	}
}

static void
send_job_state(const struct job *job, enum msg_kind kind, struct msg_list *out)
{
	struct msg *m;

	m = msg_create(kind, job->gate->id.addr);
	if (kind == MSG_GRANT) {
		m->u.grant.key = job->key;
		m->u.grant.grant_id = job->grant_id;
		memcpy(m->u.grant.replica, job->replica->name, NAME_SIZE);
	} else {
		m->u.key = job->key;
	}
	TAILQ_INSERT_TAIL(out, m, entry);
}

static void
send_refuse(const struct node_id *to, const struct job_key *key,
    enum refuse_reason reason, uint64_t retry_ns, struct msg_list *out)
{
	struct msg *m;

	m = msg_create(MSG_REFUSE, to->addr);
	m->u.refuse.key = *key;
	m->u.refuse.reason = reason;
	m->u.refuse.retry_ns = retry_ns;
	TAILQ_INSERT_TAIL(out, m, entry);
}

void
sched_refuse_job(struct sched *s, uint64_t now, struct job *job,
    enum refuse_reason reason, struct msg_list *out)
{
	uint64_t reopen_at = sched_reopen_at(job->model, now);

	send_refuse(&job->gate->id, &job->key, reason,
	    reopen_at != 0 ? reopen_at - now : 0, out);
	s->stats.refusals++;
	job->model->demand.refused++;
	sched_drop_job(s, job);
}

void
sched_send_grant(struct sched *s, uint64_t now, struct job *job,
    struct replica *r, struct msg_list *out)
{
	sched_dequeue_job(job);
	s->stats.waiting--;
	s->stats.granted++;
	s->stats.grants++;
	job->grant_id = ++s->last_grant_id;
	job->granted_at = now;
	job->refreshed_at = now;
	job_assign(s, now, job, r);
	send_job_state(job, MSG_GRANT, out);
}

static int
queue_full(const struct sched *s, uint32_t job_class)
{
	uint32_t most = s->config.queue_max;

	if (job_class != CLASS_INTERACTIVE)
		most = most * STANDARD_QUEUE_PCT / 100;
	return s->stats.waiting >= most;
}

/* Repeats the reply to an ACQUIRE. */
static void
on_repeated_acquire(struct job *job, uint64_t now, struct msg_list *out)
{
	job->refreshed_at = now;
	send_job_state(
	    job, job->state == JOB_GRANTED ? MSG_GRANT : MSG_QUEUED, out);
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

	g = sched_touch_gate(s, now, &m->from);
	if (g == NULL)
		return;
	job = find_job(s, &a->key);
	if (job != NULL) {
		on_repeated_acquire(job, now, out);
		return;
	}
	/* Each adapter has a queue of its own, like a model. */
	model = sched_get_model(
	    s, a->adapter[0] != '\0' ? a->adapter : a->model, 0);
	if (model == NULL) {
		send_refuse(&m->from, &a->key, REFUSE_NO_MODEL, 0, out);
		return;
	}
	model->demand.arrivals++;
	if (queue_full(s, a->job_class)) {
		s->stats.refusals++;
		model->demand.refused++;
		send_refuse(&m->from, &a->key, REFUSE_OVERLOAD, 0, out);
		return;
	}
	job = job_create(s, now, &a->key, g, model);
	job->prefix_hash = a->prefix;
	job->max_tokens = a->tokens;
	job->deadline =
	    a->slack_ns >= TIME_NEVER - now ? TIME_NEVER : now + a->slack_ns;
	/* A single copy is used even if the gate excludes it. */
	if (model->nreplicas > 1)
		job->exclude = sched_find_replica(s, a->exclude);
	sched_estimate_cost(job, a->job_class);
	if (job->is_short)
		model->short_seen_at = now;
	sched_enqueue_job(job, a->job_class, now);
	s->stats.waiting++;
	r = sched_pick_replica(s, now, job);
	if (r != NULL)
		sched_fill_replica(s, now, r, out);
	job = find_job(s, &a->key);
	if (job == NULL || job->state != JOB_WAITING)
		return;
	if (sched_reopen_at(model, now) > job->deadline)
		sched_refuse_job(s, now, job, REFUSE_DEADLINE, out);
	else
		send_job_state(job, MSG_QUEUED, out);
}

static void
on_cancel(
    struct sched *s, uint64_t now, const struct msg *m, struct msg_list *out)
{
	struct replica *r;
	struct job *job;

	job = find_job(s, &m->u.key);
	if (job == NULL)
		return;
	r = job->replica;
	sched_drop_job(s, job);
	if (r != NULL)
		sched_fill_replica(s, now, r, out);
}

/* Updates the model's averages from a finished attempt. */
static void
job_update_model(struct job *job, uint64_t now, const struct msg_release *rel)
{
	struct model *m = job->model;
	double w = MODEL_SAMPLE_WEIGHT;
	uint64_t held;

	held = now > job->granted_at ? now - job->granted_at : 0;
	m->demand.busy_ns += held;
	sched_add_sample(job->replica, now, rel->first_ns, rel->token_ns);
	if (rel->outcome != RELEASE_DONE)
		return;
	notice_answered(
	    &job->replica->notice, job->incarnation, job->granted_at);
	m->slot_time_ns =
	    (uint64_t)((1 - w) * (double)m->slot_time_ns + w * (double)held);
	if (job->max_tokens != 0 && rel->tokens != 0)
		m->output_ratio = (1 - w) * m->output_ratio +
		    w * (double)rel->tokens / (double)job->max_tokens;
	if (rel->token_ns != 0)
		m->token_interval_ns =
		    (uint64_t)((1 - w) * (double)m->token_interval_ns +
			w * (double)rel->token_ns);
	if (rel->first_ns != 0)
		m->ttft_ns = (uint64_t)((1 - w) * (double)m->ttft_ns +
		    w * (double)rel->first_ns);
}

static void
on_release(
    struct sched *s, uint64_t now, const struct msg *m, struct msg_list *out)
{
	const struct msg_release *rel = &m->u.release;
	struct replica *r;
	struct job *job;

	if (sched_touch_gate(s, now, &m->from) == NULL)
		return;
	job = find_job(s, &rel->key);
	if (job == NULL)
		return;
	r = job->replica;
	if (job->state == JOB_GRANTED)
		job_update_model(job, now, rel);
	sched_drop_job(s, job);
	if (r != NULL)
		sched_fill_replica(s, now, r, out);
}

/* Records a grant of an earlier owner, or a gate's local selection. */
static void
adopt_grant(struct sched *s, uint64_t now, struct gate *g,
    const struct msg_sync_item *it)
{
	struct replica *r;
	struct job *job;

	r = sched_find_replica(s, it->replica);
	job = find_job(s, &it->key);
	if (job != NULL && job->state == JOB_GRANTED) {
		job->refreshed_at = now;
		return;
	}
	if (r == NULL || r->nmodels == 0)
		return;
	if (job == NULL) {
		job = job_create(s, now, &it->key, g, r->models[0]);
	} else {
		sched_dequeue_job(job);
		s->stats.waiting--;
	}
	job->refreshed_at = now;
	job->granted_at = now;
	job->grant_id = it->grant_id;
	job->is_long = it->is_long != 0;
	s->stats.granted++;
	job_assign(s, now, job, r);
}

static void
on_sync(
    struct sched *s, uint64_t now, const struct msg *m, struct msg_list *out)
{
	struct gate *g;
	uint32_t i;

	(void)out;
	g = sched_touch_gate(s, now, &m->from);
	if (g == NULL)
		return;
	for (i = 0; i < m->u.sync.n; i++)
		adopt_grant(s, now, g, &m->u.sync.items[i]);
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
	if (sched_touch_gate(s, now, &m->from) == NULL)
		return;
	for (i = 0; i < m->u.report.n; i++) {
		it = &m->u.report.items[i];
		r = sched_find_replica(s, it->replica);
		if (r == NULL)
			continue;
		sched_apply_notice(r, now, it);
		/* An overdue first token counts with its age so far. */
		first = it->first_ns;
		if (it->waiting_ns > FIRST_TOKEN_OVERDUE_NS &&
		    it->waiting_ns > first)
			first = it->waiting_ns;
		sched_add_sample(r, now, first, it->token_ns);
	}
}

void
sched_handle_message(
    struct sched *s, uint64_t now, const struct msg *m, struct msg_list *out)
{
	if ((unsigned)m->kind < MSG__MAX && sched_handlers[m->kind] != NULL)
		sched_handlers[m->kind](s, now, m, out);
}
