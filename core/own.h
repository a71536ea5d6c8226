/*
 * Ownership of one cell: a lease key that only one process can hold, and a
 * fencing number that grows with every new ownership and outlives the lease.
 */
#ifndef OWN_H
#define OWN_H

#include "base.h"
#include "kvop.h"

struct own;

struct own_config {
	uint64_t ttl_s;	    /* of the lease */
	uint64_t margin_ns; /* orders stop this long before the deadline */
	uint64_t retry_ns;  /* between tries */
};

/* Ids for operations; shared by all users of one service session. */
struct kv_ids {
	uint64_t next;
};

void own_config_default(struct own_config *);
struct own *own_create(const struct own_config *, const char *,
    const struct node_id *, struct kv_ids *);
void own_destroy(struct own *);
/* Whether this process should try for the cell, and not before when. */
void own_want(struct own *, int, uint64_t);
void own_tick(struct own *, uint64_t, struct kv_ops *);
/* Takes in an answer.  Returns 1 when it was for this cell's ownership. */
int own_result(
    struct own *, uint64_t, const struct kv_result *, struct kv_ops *);
/* Gives the cell back. */
void own_release(struct own *, struct kv_ops *);
/* Another process owns the cell under this fencing number. */
void own_superseded(struct own *, uint64_t);

/* Whether this process schedules the cell; may outlive the lease. */
int own_held(const struct own *);
/* Whether the lease surely stands, so that orders may be sent. */
int own_valid(const struct own *, uint64_t);
/* Fencing number of the latest ownership, 0 when there was none. */
uint64_t own_fence(const struct own *);

#endif
