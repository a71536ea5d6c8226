/* Replicas that leave, or take no requests, by their own word. */
#include <stdlib.h>

#include "sched_int.h"

/* The rest of a limit is for orders and what gates send without an owner. */
#define LIMIT_GRANTS_SHARE 0.9
/* Grants of this time may be given at once. */
#define LIMIT_BURST_S 1.0
#define LIMIT_BURST_MIN 1.0

static double limit_of(const struct replica *);
static double permits_at(const struct replica *, uint64_t);

/* Grants a second, 0: no limit. */
static double
limit_of(const struct replica *r)
{
	return LIMIT_GRANTS_SHARE * notice_limit_of(&r->notice, r->incarnation);
}

static double
permits_at(const struct replica *r, uint64_t now)
{
	double per_s = limit_of(r);
	double most = per_s * LIMIT_BURST_S;
	double n = r->permits +
	    per_s * (double)(now - r->permits_at) / (double)NSEC_PER_SEC;

	if (most < LIMIT_BURST_MIN)
		most = LIMIT_BURST_MIN;
	return n < most ? n : most;
}

void
sched_use_permit(struct replica *r, uint64_t now)
{
	if (limit_of(r) == 0.0)
		return;
	r->permits = permits_at(r, now) - 1.0;
	r->permits_at = now;
}

double
sched_limited_rate(const struct model *m)
{
	double sum = 0.0;
	uint32_t i;

	for (i = 0; i < m->nreplicas; i++) {
		if (m->replicas[i]->leaving)
			continue;
		if (limit_of(m->replicas[i]) == 0.0)
			return 0.0;
		sum += limit_of(m->replicas[i]);
	}
	return sum;
}

int
sched_replica_open(const struct replica *r, uint64_t now)
{
	if (r->leaving || notice_is_leaving(&r->notice, r->incarnation) ||
	    notice_closed_until(&r->notice, r->incarnation, now) != 0)
		return 0;
	if (limit_of(r) != 0.0 && permits_at(r, now) < 1.0)
		return 0;
	return r->in_flight == 0 ||
	    !notice_is_probed(&r->notice, r->incarnation, now);
}

uint64_t
sched_reopen_at(const struct model *m, uint64_t now)
{
	const struct replica *r;
	uint64_t first = 0;
	uint64_t until;
	uint32_t i;

	for (i = 0; i < m->nreplicas; i++) {
		r = m->replicas[i];
		if (r->leaving || notice_is_leaving(&r->notice, r->incarnation))
			continue;
		until = notice_closed_until(&r->notice, r->incarnation, now);
		if (until == 0)
			return 0;
		if (first == 0 || until < first)
			first = until;
	}
	return first;
}

void
sched_apply_notice(
    struct replica *r, uint64_t now, const struct msg_report_item *it)
{
	uint64_t by = it->incarnation != 0 ? it->incarnation : r->incarnation;
	double was;

	if (it->leaving)
		notice_leaving(&r->notice, by, now);
	notice_closed(&r->notice, by, now, it->closed_ns);
	if (it->limit_ago_ns >= now)
		return;
	was = limit_of(r);
	notice_limit(&r->notice, by, now - it->limit_ago_ns,
	    (double)it->limit_per_1000_s / NOTICE_LIMIT_SCALE);
	if (was == 0.0 && limit_of(r) != 0.0) {
		r->permits = 0.0;
		r->permits_at = now;
	}
}
