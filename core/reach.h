/*
 * Whether this process reaches replicas by itself, judged by its own attempts.
 * Deterministic: times are passed in, in ns; replicas are named by hashes.
 */
#ifndef REACH_H
#define REACH_H

#include "base.h"

/* Replicas to which no connection could be made, until the process is cut off.
 */
#define REACH_FAILED_MAX 3

enum reach_mode {
	REACH_DIRECT, /* connections to replicas can be made */
	REACH_KEPT,   /* those that are open work, new ones fail */
	REACH_NONE,   /* no connection works */
	REACH__MAX
};

struct reach {
	struct reach_failure {
		uint64_t replica;
		uint64_t at;
	} failures[REACH_FAILED_MAX]; /* distinct replicas, newest last */
	uint32_t nfailures;
	uint64_t cut_since;    /* 0: not cut off */
	uint64_t failing_from; /* the first of the failures before that */
	uint64_t connected_at; /* the latest new connection */
	uint64_t heard_at;     /* latest bytes of a replica */
	uint64_t probe_at;     /* earliest time of the next probe */
};

/*
 * A replica could not be connected, or has acknowledged nothing.  Of the number
 * of replicas that are listed, so many must fail in a row.  Returns 1 if the
 * process is cut off from now on.
 */
int reach_failed(struct reach *, uint64_t, uint64_t, uint32_t);
/* Whether a replica is among the last ones that failed. */
int reach_has_failed(const struct reach *, uint64_t);
/* A new connection was made.  Returns 1 if the process was cut off. */
int reach_connected(struct reach *, uint64_t);
/* Bytes of a replica were received on any connection. */
void reach_heard(struct reach *, uint64_t);
/*
 * A peer cannot connect to the replica either: it is the replica that fails.
 * Returns 1 if the process is not cut off any more.
 */
int reach_replica_down(struct reach *, uint64_t);
enum reach_mode reach_mode(const struct reach *, uint64_t);
/*
 * Whether a failure to connect is likely to be the replica's: others are heard.
 */
int reach_hears_others(const struct reach *, uint64_t);
/* Whether a connection is to be tried now, to find out that the cut ended. */
int reach_probe_due(struct reach *, uint64_t);
const char *reach_mode_name(enum reach_mode);

#endif
