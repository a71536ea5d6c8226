/*
 * Which processes of a data centre are alive, once its relay has fallen silent.
 * They hear only their relay, so that successors which were lost together with
 * it would be waited for one after the other.  Each tells all others that it is
 * alive, and those that did not are passed over at once.  Deterministic; ns.
 */
#ifndef ROLL_CALL_H
#define ROLL_CALL_H

#include "hubs.h"

struct roll_call {
	uint64_t called_at; /* the latest, 0: none yet */
	int open;	    /* answers may still come */
};

/*
 * The relay has fallen silent, or another process calls.  Returns 1 if this
 * process is to tell the others that it is alive.
 */
int roll_call_start(struct roll_call *, uint64_t);
/* Whether the time for answers has passed; told once. */
int roll_call_is_over(struct roll_call *, uint64_t);
/* Marks a candidate as silent if it has not been heard since the call. */
void roll_call_judge(const struct roll_call *, struct hub *);

#endif
