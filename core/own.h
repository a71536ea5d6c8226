/*
 * Ownership of one cell: a lease key that only one process can hold, and a
 * fencing number that grows with every new ownership and outlives the lease.
 */
#ifndef OWN_H
#define OWN_H

#include "base.h"
#include "kvop.h"

struct ownership;

struct ownership_config {
	uint64_t ttl_s;	    /* of the lease */
	uint64_t margin_ns; /* orders stop this long before the deadline */
	uint64_t retry_ns;  /* between tries */
};

/* Ids for operations; shared by all users of one service session. */
struct kv_ids {
	uint64_t next;
};

void ownership_config_default(struct ownership_config *);
struct ownership *ownership_create(const struct ownership_config *,
    const char *, const struct node_id *, struct kv_ids *);
void ownership_destroy(struct ownership *);
/* Whether this process should try for the cell, and not before when. */
void ownership_set_candidate(struct ownership *, int, uint64_t);
void ownership_tick(struct ownership *, uint64_t, struct kv_ops *);
/* Takes in an answer.  Returns 1 when it was for this cell's ownership. */
int ownership_kv_result(
    struct ownership *, uint64_t, const struct kv_result *, struct kv_ops *);
/* Gives the cell back. */
void ownership_release(struct ownership *, struct kv_ops *);
/* Another process owns the cell under this fencing number. */
void ownership_superseded(struct ownership *, uint64_t);

/* Whether this process schedules the cell; may outlive the lease. */
int ownership_held(const struct ownership *);
/* Whether the lease surely stands, so that orders may be sent. */
int ownership_valid(const struct ownership *, uint64_t);
/* Fencing number of the latest ownership, 0 when there was none. */
uint64_t ownership_fence(const struct ownership *);

#endif
