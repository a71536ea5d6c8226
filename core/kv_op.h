/*
 * Operations on the platform's key-value service, passed from the decision
 * code to the client that sends them.  A write whose answer was lost ends as
 * KV_UNKNOWN: it may have taken effect.
 */
#ifndef KV_OP_H
#define KV_OP_H

#include <sys/queue.h>

#include "base.h"

#define KV_KEY_SIZE 128

enum kv_op_kind {
	KV_GET,
	KV_CAS,	      /* write if the key's revision is as expected */
	KV_WATCH,     /* wait for a revision later than expected_revision */
	KV_GRANT,     /* create a lease */
	KV_KEEPALIVE, /* renew a lease */
	KV_REVOKE,    /* end a lease and delete its keys */
	KV__MAX
};

enum kv_status {
	KV_OK,
	KV_ABSENT, /* GET: no such key; KEEPALIVE: expired; WATCH: no change */
	KV_CONFLICT, /* CAS: the revision differs */
	KV_UNKNOWN   /* no answer: a write may have taken effect */
};

struct kv_op {
	TAILQ_ENTRY(kv_op) entry;
	uint64_t id;
	enum kv_op_kind kind;
	char key[KV_KEY_SIZE];
	char *value;		    /* CAS; freed with the operation */
	uint64_t expected_revision; /* CAS: 0 if the key must not exist */
	uint64_t lease_id; /* CAS: 0 or lease of the key; KEEPALIVE, REVOKE */
	uint64_t ttl_s;	   /* GRANT */
};

TAILQ_HEAD(kv_ops, kv_op);

struct kv_result {
	uint64_t id;
	enum kv_op_kind kind;
	enum kv_status status;
	uint64_t era;	   /* of the service that answered, 0: unknown */
	const char *value; /* GET, KV_OK */
	uint64_t revision; /* GET: current; CAS, KV_OK: new */
	uint64_t lease_id; /* GRANT */
};

/* Appends an operation to the queue. */
struct kv_op *kv_op_create(
    struct kv_ops *, uint64_t, enum kv_op_kind, const char *);
void kv_op_destroy(struct kv_op *);
const char *kv_op_kind_name(enum kv_op_kind);

#endif
