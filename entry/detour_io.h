/*
 * Detours: while this process reaches no replica, its attempts go through peers
 * that do.  The peer passes the bytes of one attempt on, over one hop; all
 * decisions stay with the process that the caller is connected to.
 */
#ifndef DETOUR_IO_H
#define DETOUR_IO_H

#include "entry_int.h"
#include "reach.h"

/*
 * A request to a peer: POST to this target, with the bytes for the replica as
 * its body, and what the peer has to know in its fields.
 */
#define DETOUR_TARGET "/attempt"
#define DETOUR_FIELD_REPLICA "Spindle-Replica" /* its id */
#define DETOUR_FIELD_STARTED "Spindle-Started" /* its incarnation, ms */
#define DETOUR_FIELD_ID "Spindle-Request-Id"   /* of the caller's attempt */
#define DETOUR_FIELD_TIMEOUT "Spindle-Timeout" /* time left, ms */
#define DETOUR_FIELD_REUSE "Spindle-Reuse"     /* see exchange_conn, ms */
#define DETOUR_FIELD_NO_BODY "Spindle-No-Body" /* the answer has none */
/* In each answer of a peer, one of the names below. */
#define DETOUR_FIELD_PATH "Spindle-Path"

/* Sender of an answer to a peer, and the outcome of the attempt. */
enum detour_answer {
	DETOUR_REPLICA,	       /* the replica's answer */
	DETOUR_REPLICA_CLOSES, /* the same; it ends with its connection */
	DETOUR_UNREACHABLE,    /* not sent: the replica cannot be reached */
	DETOUR_NO_PATH,	       /* not sent: the peer reaches no replica */
	DETOUR_SILENT,	       /* sent, and closed without an answer */
	DETOUR_BROKEN,	       /* sent, and closed before the body began */
	DETOUR_UNKNOWN,	       /* no such name */
	DETOUR__MAX
};

const char *detour_answer_name(enum detour_answer);
enum detour_answer detour_answer_of(const char *);
/* The address for detours of the process at a bus address. */
void detour_address(const char *, char[ADDR_SIZE]);

struct detour_io *detour_io_create(struct entry *);
void detour_io_destroy(struct detour_io *);
/* Looks for attempts that hang, and whether replicas can be reached again. */
void detour_io_tick(struct entry *);
/* Evidence of this process's own attempts. */
void detour_io_not_connected(struct entry *, const struct directory_replica *);
void detour_io_connected(struct entry *);
void detour_io_heard(struct entry *);
/* A peer cannot connect to the replica either. */
void detour_io_replica_down(struct entry *, const struct directory_replica *);
enum reach_mode detour_io_mode(const struct entry *);
/* Whether a replica that cannot be connected is likely to be down. */
int detour_io_hears_others(const struct entry *);
/* Whether this process may apply for the right to order engines. */
int detour_io_may_order(const struct entry *);
/* Whether it is to give that right up to a peer, which reaches replicas. */
int detour_io_yields_orders(const struct entry *);
/* Whether an attempt has to go through a peer. */
int detour_io_is_needed(
    const struct entry *, const char *, const struct exchange_conn *);
/* Whether there is a peer to try. */
int detour_io_has_peer(struct entry *);
/* Counters and a gauge, for metrics. */
void detour_io_write_metrics(const struct entry *, FILE *);

#endif
