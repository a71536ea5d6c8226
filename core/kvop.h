/*
 * Operations on the platform's key-value service as the decisions see them.
 * An answer may be lost after a write has taken effect: KV_UNKNOWN.
 */
#ifndef KVOP_H
#define KVOP_H

#include <sys/queue.h>

#include "base.h"

#define KV_KEY_SIZE 128

enum kv_op_kind {
	KV_GET,
	KV_CAS,	      /* put if the key's revision is as expected */
	KV_WATCH,     /* waits for a later revision of the key than expect */
	KV_GRANT,     /* a lease */
	KV_KEEPALIVE, /* renew a lease */
	KV_REVOKE,    /* give a lease back */
	KV__MAX
};

enum kv_status {
	KV_OK,
	KV_ABSENT,   /* GET: no such key; KEEP: lapsed; WATCH: no change */
	KV_CONFLICT, /* CAS: the revision differs */
	KV_UNKNOWN   /* no answer; a write may have taken effect */
};

struct kv_op {
	TAILQ_ENTRY(kv_op) entry;
	uint64_t id;
	enum kv_op_kind kind;
	char key[KV_KEY_SIZE];
	char *value;		    /* CAS, owned */
	uint64_t expected_revision; /* CAS: 0 for a key that must not exist */
	uint64_t lease_id;	    /* CAS: key lives as long; KEEP, REVOKE */
	uint64_t ttl_s;		    /* GRANT */
};

TAILQ_HEAD(kv_ops, kv_op);

struct kv_result {
	uint64_t id;
	enum kv_op_kind kind;
	enum kv_status status;
	const char *value; /* GET, KV_OK */
	uint64_t revision; /* GET: of the key; CAS, KV_OK: new one */
	uint64_t lease_id; /* GRANT */
};

struct kv_op *kv_op_create(
    struct kv_ops *, uint64_t, enum kv_op_kind, const char *);
void kv_op_destroy(struct kv_op *);
const char *kv_op_kind_name(enum kv_op_kind);

#endif
