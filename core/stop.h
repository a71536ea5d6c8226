/*
 * Stop of a process that serves callers: until when it takes connections and
 * requests, and how each request ends that it cannot finish.  Times are in ns
 * of the monotonic clock.
 */
#ifndef STOP_H
#define STOP_H

#include <stdint.h>

#include "base.h"

/* While stopping, a new connection may send its first request this long. */
#define STOP_FIRST_REQUEST_NS (500 * NSEC_PER_MSEC)

struct stop_schedule {
	uint64_t since;	       /* SIGTERM, 0: the process is not stopping */
	uint64_t listen_until; /* connections are accepted before */
	uint64_t start_until; /* requests start before, however long they are */
	uint64_t settle_at;   /* requests in progress get their last answer */
	uint64_t end_at;      /* the process ends, whatever is unsent */
};

/* How far a request is as the process stops. */
struct stop_request {
	int has_caller;	      /* its connection is open */
	int response_started; /* a part of the answer has been passed on */
	int may_have_run;     /* on a replica, now or before */
};

enum stop_answer {
	STOP_NO_ANSWER, /* nobody is there to get one */
	STOP_REFUSE,	/* it has not run and will not */
	STOP_UNKNOWN,	/* its outcome is unknown */
	STOP_CUT	/* the answer that has begun cannot be completed */
};

/* Sets the schedule for a SIGTERM at a time, SIGKILL following after ns. */
void stop_begin(struct stop_schedule *, uint64_t, uint64_t);
/*
 * Whether a request with a deadline may be passed on now: it is answered at its
 * deadline at the latest, so one that is due before the stop ends can't be cut
 * off by it.
 */
int stop_may_start(const struct stop_schedule *, uint64_t, uint64_t);
/* The last answer to a request that the process does not finish. */
enum stop_answer stop_last_answer(const struct stop_request *);

#endif
