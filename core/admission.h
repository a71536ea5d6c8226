/*
 * Admission of requests for which no replica has room: whether one waits, until
 * when, or is refused at once, and when a refused caller should come back.
 * Answers bursts, models that are still being loaded, and callers who return
 * all at the same time.  Pure functions on plain structs.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include "base.h"
#include "fleet.h"

/* A request, by its route and caller. */
struct admission_request {
	enum route_kind kind;
	uint64_t started;  /* its first byte was received */
	uint64_t deadline; /* of its caller and route */
	uint64_t target_latency_ns;
	uint64_t target_gap_ns;
	uint64_t first_event_ns; /* expected, once a replica has it */
	uint64_t service_ns;	 /* expected time on a replica */
};

/* The replicas that could run it. */
struct admission_capacity {
	uint32_t slots;	   /* of usable replicas that hold the model */
	uint32_t waiting;  /* requests of all processes for the same */
	uint64_t ready_at; /* without slots: when a copy is expected */
	/* Of replicas that by their own word take requests from ready_at on. */
	uint32_t closed_slots;
	/*
	 * Requests a second that replicas with a limit take, and when a permit
	 * for this request is expected, 0: not known.
	 */
	double limited_per_s;
	uint64_t permit_at;
};

enum admission_step {
	ADMISSION_WAIT,
	ADMISSION_REFUSE
};

struct admission_decision {
	enum admission_step step;
	uint64_t until;		 /* WAIT: to be refused then */
	uint64_t retry_after_ns; /* for the caller when it is refused */
};

/* The latest start with which a caller still gets an answer. */
uint64_t admission_latest_start(const struct admission_request *);
/* The start that the capacity lets expect, at a time in ns. */
uint64_t admission_predicted_start(const struct admission_request *,
    const struct admission_capacity *, uint64_t);
/*
 * Decides at a time in ns.  A random number in [0, 1) spreads the callers who
 * are told to come back.
 */
struct admission_decision admission_decide(const struct admission_request *,
    const struct admission_capacity *, uint64_t, double);

#endif
