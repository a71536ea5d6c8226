/* Replicas that leave, or take no requests, by their own word. */
#include <stdlib.h>

#include "sched_int.h"

int
sched_replica_open(const struct replica *r, uint64_t now)
{
	if (r->leaving || notice_is_leaving(&r->notice, r->incarnation) ||
	    notice_closed_until(&r->notice, r->incarnation, now) != 0)
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

	if (it->leaving)
		notice_leaving(&r->notice, by, now);
	notice_closed(&r->notice, by, now, it->closed_ns);
}
