/*
 * Ownership of one cell: a lock key under a lease that one process at a time
 * holds, and a fencing token that increases with every new ownership and is
 * stored without a lease.
 */
#ifndef OWNERSHIP_H
#define OWNERSHIP_H

#include "base.h"
#include "kv_op.h"

struct ownership;

struct ownership_config {
	uint64_t ttl_s;	    /* lease lifetime */
	uint64_t margin_ns; /* orders stop this long before the lease expires */
	uint64_t retry_ns;  /* delay after a failed acquisition */
};

/* Source of operation ids; shared by all users of one service session. */
struct kv_ids {
	uint64_t next;
};

void ownership_config_default(struct ownership_config *);
struct ownership *ownership_create(const struct ownership_config *,
    const char *, const struct node_id *, struct kv_ids *);
void ownership_destroy(struct ownership *);
/* Whether this process tries to acquire the cell, and the earliest time. */
void ownership_set_candidate(struct ownership *, int, uint64_t);
void ownership_tick(struct ownership *, uint64_t, struct kv_ops *);
/* Handles a result.  Returns 1 when the operation belonged to this cell. */
int ownership_kv_result(
    struct ownership *, uint64_t, const struct kv_result *, struct kv_ops *);
/*
 * The service's era.  Where it rises, the service has gone on from an older
 * copy: leases are gone, and for a lease's lifetime their holders may not know
 * it. Fencing tokens of an era are higher than those of all former ones.
 */
void ownership_set_era(struct ownership *, uint64_t, uint64_t);
/* Gives up the cell and revokes its lease. */
void ownership_release(struct ownership *, struct kv_ops *);
/* Another process owns the cell under this fencing token. */
void ownership_superseded(struct ownership *, uint64_t);

/* Whether this process schedules the cell; may remain set after expiry. */
int ownership_held(const struct ownership *);
/* Whether the lease is certain not to have expired: orders may be sent. */
int ownership_valid(const struct ownership *, uint64_t);
/*
 * Whether no other process has taken the cell, as far as this one can know:
 * until the lease expires, and for a lease lifetime from the sending of each
 * attempt to reach the service that was sent by then and got no answer.  A
 * process that stood still for longer must acquire the cell again first.
 */
int ownership_uncontested(const struct ownership *, uint64_t);
/* Time from which orders must not be sent, as far as known; 0 if not held. */
uint64_t ownership_valid_until(const struct ownership *);
/* Whether no process has owned the cell before, in the service's first era. */
int ownership_is_first(const struct ownership *);
/* Fencing token of the latest ownership, 0 when there was none. */
uint64_t ownership_fencing_token(const struct ownership *);

#endif
