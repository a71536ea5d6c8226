/* Selects the replica for a job and the next job for a replica. */
#include <stdlib.h>

#include "sched_int.h"

#define SHORT_SEEN_WINDOW_NS (60 * NSEC_PER_SEC)
#define AFFINITY_LOAD_FACTOR 1.25 /* to the best replica's load */

static int replica_accepts_job(
    const struct sched *, const struct replica *, const struct job *, uint64_t);
static double replica_score(const struct sched *, const struct replica *);
static int replica_has_waiting_jobs(const struct replica *);
static enum sched_admission replica_admission(
    const struct sched *, const struct replica *, uint64_t);
static struct job *best_job(const struct replica *, enum sched_admission);
static struct replica *replica_with_prefix(
    const struct sched *, const struct job *);

/* Whether one more long job may start; limited while short jobs arrive. */
int
sched_long_job_allowed(
    const struct sched *s, const struct replica *r, uint64_t now)
{
	uint32_t most;
	uint32_t i;

	for (i = 0; i < r->nmodels; i++) {
		if (r->models[i]->short_seen_at != 0 &&
		    now < r->models[i]->short_seen_at + SHORT_SEEN_WINDOW_NS)
			break;
	}
	if (i == r->nmodels)
		return 1;
	most = sched_slot_limit(r) * s->config.long_share_pct / 100;
	if (most == 0)
		most = 1;
	return r->long_in_flight < most;
}

static int
replica_accepts_job(const struct sched *s, const struct replica *r,
    const struct job *job, uint64_t now)
{
	if (!sched_replica_open(r, now) || r == job->exclude)
		return 0;
	if (job->is_short)
		return sched_short_job_allowed(r);
	if (r->in_flight >= sched_slot_limit(r))
		return 0;
	return !job->is_long || sched_long_job_allowed(s, r, now);
}

/* Load with one more job, weighted by slowness; lower is better. */
static double
replica_score(const struct sched *s, const struct replica *r)
{
	uint64_t median = sched_median_token_ns(s);
	double load;

	load = (double)(r->in_flight + 1) / (double)sched_slot_limit(r);
	if (r->is_slow && median != 0)
		load *= (double)r->token_interval_ns / (double)median;
	return load;
}

static struct replica *
replica_with_prefix(const struct sched *s, const struct job *job)
{
	const struct prefix_entry *p;

	if (job->prefix_hash == 0)
		return NULL;
	p = &s->prefixes[job->prefix_hash % PREFIX_TABLE_SIZE];
	return p->hash == job->prefix_hash ? p->replica : NULL;
}

struct replica *
sched_pick_replica(struct sched *s, uint64_t now, const struct job *job)
{
	struct model *m = job->model;
	struct replica *best = NULL;
	struct replica *warm;
	struct replica *r;
	double best_score = 0.0;
	double score;
	uint32_t i;
	int warm_open = 0;

	warm = replica_with_prefix(s, job);
	for (i = 0; i < m->nreplicas; i++) {
		r = m->replicas[i];
		if (!replica_accepts_job(s, r, job, now))
			continue;
		if (warm != NULL && r == warm)
			warm_open = 1;
		score = replica_score(s, r);
		if (best == NULL || score < best_score) {
			best = r;
			best_score = score;
		}
	}
	if (warm_open && !warm->is_slow &&
	    warm->in_flight <=
		(uint32_t)(AFFINITY_LOAD_FACTOR * best->in_flight) + 1)
		return warm;
	return best;
}

static int
replica_has_waiting_jobs(const struct replica *r)
{
	uint32_t i;

	for (i = 0; i < r->nmodels; i++) {
		if (r->models[i]->waiting != 0)
			return 1;
	}
	return 0;
}

/* Kinds of jobs that may start on the replica. */
static enum sched_admission
replica_admission(const struct sched *s, const struct replica *r, uint64_t now)
{
	if (r->in_flight >= sched_slot_limit(r))
		return ALLOW_ONLY_SHORT;
	return sched_long_job_allowed(s, r, now) ? ALLOW_ALL
						 : ALLOW_ALL_BUT_LONG;
}

/* The job of lowest rank that may start on the replica. */
static struct job *
best_job(const struct replica *r, enum sched_admission allow)
{
	struct job *best = NULL;
	struct job *job;
	uint32_t i;

	for (i = 0; i < r->nmodels; i++) {
		job = sched_first_job(r->models[i], r, allow);
		if (job != NULL && (best == NULL || job->rank < best->rank))
			best = job;
	}
	return best;
}

/* Grants waiting jobs in rank order until the replica is full. */
void
sched_fill_replica(
    struct sched *s, uint64_t now, struct replica *r, struct msg_list *out)
{
	struct job *best;

	while (sched_replica_open(r, now) &&
	    (r->in_flight < sched_slot_limit(r) ||
		sched_short_job_allowed(r))) {
		best = best_job(r, replica_admission(s, r, now));
		if (best == NULL)
			break;
		if (best->deadline < now) {
			sched_refuse_job(s, now, best, REFUSE_DEADLINE, out);
			continue;
		}
		sched_send_grant(s, now, best, r, out);
	}
	/* More slots help if the limit or the share of long jobs is used up. */
	if (r->in_flight >= sched_slot_limit(r) || replica_has_waiting_jobs(r))
		r->limit_reached = 1;
}
