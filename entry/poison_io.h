/*
 * Requests that crash replicas: an attempt that breaks off as its answer begins
 * leads to a check whether the replica has crashed, which is evidence against
 * the parts of the prompt and the request as a whole (see poison.h).
 */
#ifndef POISON_IO_H
#define POISON_IO_H

#include "entry_int.h"
#include "msg.h"
#include "poison.h"

struct poison_io;

struct poison_io *poison_io_create(struct entry *);
void poison_io_destroy(struct poison_io *);
/* Logs parts that are blocked from now on and ends requests with them. */
void poison_io_tick(struct poison_io *);
/*
 * A request was answered in full; if with success, the parts of its prompt were
 * processed, too.
 */
void poison_io_answered(struct poison_io *, const struct request_params *, int);
/*
 * An attempt broke off before its answer, or soon after its first event; so
 * soon that parts of its prompt may have crashed the replica (1), or not (0).
 */
void poison_io_broken(struct poison_io *, const struct directory_replica *,
    const struct request_params *, int);
/*
 * An answer ended with its connection: it was whole unless the replica has
 * crashed.
 */
void poison_io_closed(struct poison_io *, const struct directory_replica *,
    const struct request_params *);
/*
 * An attempt was given up before its answer began; the replica may crash while
 * it still runs the request.
 */
void poison_io_left(struct poison_io *, const struct directory_replica *,
    const struct request_params *);
/* Until when such requests are refused, 0 if they are not. */
uint64_t poison_io_blocked_until(
    const struct poison_io *, const struct request_params *);
/* What evidence says on how such requests are to be sent; see poison_care(). */
enum poison_care poison_io_evidence(
    const struct poison_io *, const struct request_params *, uint64_t *);
/*
 * The same, but to no replica while it is not yet known whether one, on which
 * the same request or one with a new part broke off, has crashed; nor after a
 * start until a peer has told its evidence, for half a second at most.
 */
enum poison_care poison_io_care(
    const struct poison_io *, const struct request_params *, uint64_t *);
/* Whether a replica other than this one may have crashed from such a request.
 */
int poison_io_is_suspect(const struct poison_io *,
    const struct directory_replica *, const struct request_params *);
/* Adds the evidence of this process to a report, or a peer's to it. */
void poison_io_fill(const struct poison_io *, struct msg_front *);
void poison_io_apply(struct poison_io *, const struct msg_front *);
/* A peer has started and knows nothing yet: the next reports have all. */
void poison_io_peer_started(struct poison_io *);
/* Number of parts that are blocked, and of crashes that were confirmed. */
uint32_t poison_io_blocked(const struct poison_io *);
uint64_t poison_io_crashes(const struct poison_io *);

#endif
