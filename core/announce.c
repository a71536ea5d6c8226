#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "announce.h"
#include "mem.h"

enum announce_state {
	ANNOUNCE_IDLE,
	ANNOUNCE_GRANT_LEASE, /* creating a lease */
	ANNOUNCE_READ_KEY,    /* reading a key of an earlier process */
	ANNOUNCE_WRITE_KEY,
	ANNOUNCE_ACTIVE
};

struct announce {
	struct announce_config config;
	struct kv_ids *ids;
	char key[KV_KEY_SIZE];
	char *value;
	enum announce_state state;
	uint64_t pending_op;  /* id of the operation in flight, 0 for none */
	uint64_t next_try_at; /* next attempt or lease renewal */
	uint64_t lease_id;
	uint64_t era; /* of the service, 0: not known */
};

static struct kv_op *announce_send_op(
    struct announce *, enum announce_state, enum kv_op_kind, struct kv_ops *);
static void announce_retry_later(struct announce *, uint64_t);

struct announce *
announce_create(const struct announce_config *config, const char *key,
    const char *value, struct kv_ids *ids)
{
	struct announce *a;

	a = mem_alloc(sizeof(*a));
	a->config = *config;
	a->ids = ids;
	snprintf(a->key, sizeof(a->key), "%s", key);
	a->value = mem_strdup(value);
	return a;
}

void
announce_destroy(struct announce *a)
{
	if (a == NULL)
		return;
	free(a->value);
	free(a);
}

static struct kv_op *
announce_send_op(struct announce *a, enum announce_state state,
    enum kv_op_kind kind, struct kv_ops *out)
{
	a->state = state;
	a->pending_op = ++a->ids->next;
	return kv_op_create(out, a->pending_op, kind, a->key);
}

static void
announce_retry_later(struct announce *a, uint64_t now)
{
	a->state = ANNOUNCE_IDLE;
	a->next_try_at = now + a->config.retry_ns;
}

void
announce_tick(struct announce *a, uint64_t now, struct kv_ops *out)
{
	struct kv_op *op;

	if (a->pending_op != 0 || now < a->next_try_at)
		return;
	if (a->state == ANNOUNCE_ACTIVE) {
		op = announce_send_op(a, ANNOUNCE_ACTIVE, KV_KEEPALIVE, out);
		op->lease_id = a->lease_id;
		return;
	}
	op = announce_send_op(a, ANNOUNCE_GRANT_LEASE, KV_GRANT, out);
	op->ttl_s = a->config.ttl_s;
}

int
announce_kv_result(struct announce *a, uint64_t now, const struct kv_result *r,
    struct kv_ops *out)
{
	struct kv_op *op;

	if (r->id != a->pending_op || a->pending_op == 0)
		return 0;
	a->pending_op = 0;
	if (a->state == ANNOUNCE_ACTIVE) {
		/* A failed renewal is retried well before the lease expires. */
		a->next_try_at = now +
		    (r->status == KV_OK ? a->config.ttl_s * NSEC_PER_SEC / 3
					: a->config.retry_ns);
		if (r->status == KV_ABSENT)
			announce_retry_later(a, now);
		return 1;
	}
	if (r->status == KV_UNKNOWN ||
	    (r->status != KV_OK && a->state != ANNOUNCE_READ_KEY)) {
		announce_retry_later(a, now);
		return 1;
	}
	if (a->state == ANNOUNCE_GRANT_LEASE) {
		a->lease_id = r->lease_id;
		announce_send_op(a, ANNOUNCE_READ_KEY, KV_GET, out);
	} else if (a->state == ANNOUNCE_READ_KEY) {
		op = announce_send_op(a, ANNOUNCE_WRITE_KEY, KV_CAS, out);
		op->expected_revision = r->status == KV_OK ? r->revision : 0;
		op->lease_id = a->lease_id;
		op->value = mem_strdup(a->value);
	} else {
		a->state = ANNOUNCE_ACTIVE;
		a->next_try_at = now + a->config.ttl_s * NSEC_PER_SEC / 3;
	}
	return 1;
}

void
announce_set_era(struct announce *a, uint64_t now, uint64_t era)
{
	uint64_t was = a->era;

	if (era <= was)
		return;
	a->era = era;
	if (was == 0 || a->next_try_at == TIME_NEVER)
		return;
	a->state = ANNOUNCE_IDLE;
	a->pending_op = 0;
	a->next_try_at = now;
}

void
announce_release(struct announce *a, struct kv_ops *out)
{
	struct kv_op *op;

	if (a->state != ANNOUNCE_ACTIVE)
		return;
	op = kv_op_create(out, ++a->ids->next, KV_REVOKE, "");
	op->lease_id = a->lease_id;
	a->state = ANNOUNCE_IDLE;
	a->next_try_at = TIME_NEVER;
}
