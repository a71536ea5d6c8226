/*
 * Keeps one key of this process in the key-value service under a lease, so
 * that peers find it and a process that has ended is forgotten.
 * Deterministic.
 */
#ifndef ANNOUNCE_H
#define ANNOUNCE_H

#include "kvop.h"
#include "own.h"

struct announce_config {
	uint64_t ttl_s;	   /* of the lease */
	uint64_t retry_ns; /* between tries */
};

struct announce;

struct announce *announce_create(const struct announce_config *, const char *,
    const char *, struct kv_ids *);
void announce_destroy(struct announce *);
void announce_tick(struct announce *, uint64_t, struct kv_ops *);
/* Takes in an answer.  Returns 1 when it was for this key. */
int announce_kv_result(
    struct announce *, uint64_t, const struct kv_result *, struct kv_ops *);
/* Takes the key away. */
void announce_release(struct announce *, struct kv_ops *);

#endif
