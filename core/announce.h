/*
 * Registers this process in the key-value service: one key under a lease, so
 * that peers discover the process and its entry expires after it ends.
 * Deterministic: time and answers come from the caller.
 */
#ifndef ANNOUNCE_H
#define ANNOUNCE_H

#include "kv_op.h"
#include "ownership.h"

struct announce_config {
	uint64_t ttl_s;	   /* lease lifetime */
	uint64_t retry_ns; /* delay after a failed operation */
};

struct announce;

/* Registers the key with the value; both are copied. */
struct announce *announce_create(const struct announce_config *, const char *,
    const char *, struct kv_ids *);
void announce_destroy(struct announce *);
/* The service's era: where it rises, the key and its lease are gone. */
void announce_set_era(struct announce *, uint64_t, uint64_t);
/* Starts operations that are due at the time given, in ns. */
void announce_tick(struct announce *, uint64_t, struct kv_ops *);
/* Handles a result.  Returns 1 when the operation belonged to this key. */
int announce_kv_result(
    struct announce *, uint64_t, const struct kv_result *, struct kv_ops *);
/* Revokes the lease, which deletes the key, and stops registering. */
void announce_release(struct announce *, struct kv_ops *);

#endif
