#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "announce.h"
#include "mem.h"

enum announce_state {
	ANNOUNCE_IDLE,
	ANNOUNCE_GRANT, /* asking for a lease */
	ANNOUNCE_READ,	/* looking at what an earlier process left */
	ANNOUNCE_WRITE,
	ANNOUNCE_KEPT
};

struct announce {
	struct announce_config config;
	struct kv_ids *ids;
	char key[KV_KEY_SIZE];
	char *value;
	enum announce_state state;
	uint64_t pending; /* operation awaited, 0 for none */
	uint64_t next_at; /* next try, or next renewal */
	uint64_t lease;
};

static struct kv_op *announce_send(
    struct announce *, enum announce_state, enum kv_kind, struct kv_ops *);
static void announce_idle(struct announce *, uint64_t);

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
announce_send(struct announce *a, enum announce_state state, enum kv_kind kind,
    struct kv_ops *out)
{
	a->state = state;
	a->pending = ++a->ids->next;
	return kv_op_create(out, a->pending, kind, a->key);
}

static void
announce_idle(struct announce *a, uint64_t now)
{
	a->state = ANNOUNCE_IDLE;
	a->next_at = now + a->config.retry_ns;
}

void
announce_tick(struct announce *a, uint64_t now, struct kv_ops *out)
{
	struct kv_op *op;

	if (a->pending != 0 || now < a->next_at)
		return;
	if (a->state == ANNOUNCE_KEPT) {
		op = announce_send(a, ANNOUNCE_KEPT, KV_KEEP, out);
		op->lease = a->lease;
		return;
	}
	op = announce_send(a, ANNOUNCE_GRANT, KV_GRANT, out);
	op->ttl_s = a->config.ttl_s;
}

int
announce_result(struct announce *a, uint64_t now, const struct kv_result *r,
    struct kv_ops *out)
{
	struct kv_op *op;

	if (r->id != a->pending || a->pending == 0)
		return 0;
	a->pending = 0;
	if (a->state == ANNOUNCE_KEPT) {
		/* A lost renewal is tried again well before the lease ends. */
		a->next_at = now +
		    (r->status == KV_OK ? a->config.ttl_s * NSEC_PER_SEC / 3
					: a->config.retry_ns);
		if (r->status == KV_ABSENT)
			announce_idle(a, now);
		return 1;
	}
	if (r->status == KV_UNKNOWN ||
	    (r->status != KV_OK && a->state != ANNOUNCE_READ)) {
		announce_idle(a, now);
		return 1;
	}
	if (a->state == ANNOUNCE_GRANT) {
		a->lease = r->lease;
		announce_send(a, ANNOUNCE_READ, KV_GET, out);
	} else if (a->state == ANNOUNCE_READ) {
		op = announce_send(a, ANNOUNCE_WRITE, KV_CAS, out);
		op->expect = r->status == KV_OK ? r->revision : 0;
		op->lease = a->lease;
		op->value = mem_strdup(a->value);
	} else {
		a->state = ANNOUNCE_KEPT;
		a->next_at = now + a->config.ttl_s * NSEC_PER_SEC / 3;
	}
	return 1;
}

void
announce_release(struct announce *a, struct kv_ops *out)
{
	struct kv_op *op;

	if (a->state != ANNOUNCE_KEPT)
		return;
	op = kv_op_create(out, ++a->ids->next, KV_REVOKE, "");
	op->lease = a->lease;
	a->state = ANNOUNCE_IDLE;
	a->next_at = TIME_NEVER;
}
