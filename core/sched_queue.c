/*
 * Queues of one model.  A job's rank is its arrival time plus an offset that is
 * the same for all jobs of a lane, so each lane is a FIFO in rank order, with
 * insertion and removal in constant time, and later arrivals cannot starve a
 * job.  Overnight jobs are ranked by their latest start instead.
 */
#include <stdlib.h>

#include "sched_int.h"

#define OUTPUT_RATIO_MIN 0.05
#define OVERNIGHT_MARGIN_NS (30 * NSEC_PER_SEC)

static const uint64_t bucket_limits_ns[COST_BUCKETS] = {
	1500 * NSEC_PER_MSEC,
	LONG_JOB_MIN_NS,
	24 * NSEC_PER_SEC,
	TIME_NEVER,
};

static const uint64_t lane_offsets_ns[LANE_COUNT] = {
	/* interactive */
	0,
	1 * NSEC_PER_SEC,
	6 * NSEC_PER_SEC,
	12 * NSEC_PER_SEC,
	/* standard */
	2 * NSEC_PER_SEC,
	4 * NSEC_PER_SEC,
	12 * NSEC_PER_SEC,
	24 * NSEC_PER_SEC,
	/* overnight: not used */
	0,
};

static uint32_t lane_for_job(uint32_t, uint64_t);
static void lane_insert_sorted(struct job_list *, struct job *);

static uint32_t
lane_for_job(uint32_t job_class, uint64_t cost_ns)
{
	uint32_t bucket;

	if (job_class == CLASS_OVERNIGHT)
		return LANE_OVERNIGHT;
	for (bucket = 0; cost_ns >= bucket_limits_ns[bucket]; bucket++) {
		if (bucket == COST_BUCKETS - 1)
			break;
	}
	return job_class * COST_BUCKETS + bucket;
}

static void
lane_insert_sorted(struct job_list *lane, struct job *job)
{
	struct job *at;

	TAILQ_FOREACH_REVERSE(at, lane, job_list, entry)
	{
		if (at->rank <= job->rank) {
			TAILQ_INSERT_AFTER(lane, at, job, entry);
			return;
		}
	}
	TAILQ_INSERT_HEAD(lane, job, entry);
}

/* Estimates how long the job will hold a slot, by its model's averages. */
void
sched_estimate_cost(struct job *job, uint32_t job_class)
{
	const struct model *m = job->model;
	double ratio = m->output_ratio;

	if (ratio < OUTPUT_RATIO_MIN)
		ratio = OUTPUT_RATIO_MIN;
	job->expected_slot_ns = m->ttft_ns +
	    (uint64_t)((double)job->max_tokens * ratio *
		(double)m->token_interval_ns);
	job->is_long = job->expected_slot_ns >= LONG_JOB_MIN_NS;
	job->is_short = !job->is_long && job_class != CLASS_OVERNIGHT;
}

void
sched_enqueue_job(struct job *job, uint32_t job_class, uint64_t now)
{
	uint64_t margin;

	job->state = JOB_WAITING;
	job->lane = (uint8_t)lane_for_job(job_class, job->expected_slot_ns);
	job->model->waiting++;
	if (job->lane != LANE_OVERNIGHT) {
		job->rank = now + lane_offsets_ns[job->lane];
		TAILQ_INSERT_TAIL(&job->model->lanes[job->lane], job, entry);
		return;
	}
	margin = 2 * job->expected_slot_ns + OVERNIGHT_MARGIN_NS;
	job->rank = job->deadline > margin ? job->deadline - margin : 0;
	if (job->rank < now)
		job->rank = now;
	lane_insert_sorted(&job->model->lanes[LANE_OVERNIGHT], job);
}

void
sched_dequeue_job(struct job *job)
{
	TAILQ_REMOVE(&job->model->lanes[job->lane], job, entry);
	job->model->waiting--;
}

struct job *
sched_first_job(
    struct model *m, const struct replica *r, enum sched_admission allow)
{
	struct job *best = NULL;
	struct job *job;
	int lane;

	if (m->waiting == 0)
		return NULL;
	for (lane = 0; lane < LANE_COUNT; lane++) {
		TAILQ_FOREACH (job, &m->lanes[lane], entry) {
			if (job->exclude == r)
				continue;
			if (job->is_long && allow != ALLOW_ALL)
				continue;
			if (!job->is_short && allow == ALLOW_ONLY_SHORT)
				continue;
			if (best == NULL || job->rank < best->rank)
				best = job;
			break;
		}
	}
	return best;
}

/*
 * Refuses waiting jobs that cannot start before their deadline, in rank order,
 * assuming that all slots of the model's replicas serve only this model.
 */
void
sched_refuse_late_jobs(
    struct sched *s, struct model *m, uint64_t now, struct msg_list *out)
{
	struct job *heads[LANE_COUNT];
	struct job *job;
	uint64_t reopen_at = sched_reopen_at(m, now);
	uint64_t start = reopen_at != 0 ? reopen_at : now;
	double per_s = sched_limited_rate(m);
	uint64_t slots = 0;
	uint64_t wait;
	uint64_t ahead = 0;
	uint32_t i;
	int lane;
	int best;

	for (i = 0; i < m->nreplicas; i++) {
		if (!m->replicas[i]->leaving)
			slots += sched_slot_limit(m->replicas[i]);
	}
	if (slots == 0)
		slots = 1;
	for (lane = 0; lane < LANE_COUNT; lane++)
		heads[lane] = TAILQ_FIRST(&m->lanes[lane]);
	for (;;) {
		best = -1;
		for (lane = 0; lane < LANE_COUNT; lane++) {
			if (heads[lane] == NULL)
				continue;
			if (best == -1 || heads[lane]->rank < heads[best]->rank)
				best = lane;
		}
		if (best == -1)
			return;
		job = heads[best];
		heads[best] = TAILQ_NEXT(job, entry);
		wait = ahead * m->slot_time_ns / slots;
		if (per_s != 0.0 &&
		    (double)wait < (double)ahead / per_s * (double)NSEC_PER_SEC)
			wait = (uint64_t)((double)ahead / per_s *
			    (double)NSEC_PER_SEC);
		if (start + wait > job->deadline)
			sched_refuse_job(s, now, job, REFUSE_DEADLINE, out);
		else
			ahead++;
	}
}
