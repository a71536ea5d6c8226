#include <stdio.h>
#include <stdlib.h>

#include "kv_op.h"
#include "mem.h"

static const char *const kv_op_kind_names[KV__MAX] = {
	[KV_GET] = "get",
	[KV_CAS] = "cas",
	[KV_WATCH] = "watch",
	[KV_GRANT] = "lease-grant",
	[KV_KEEPALIVE] = "lease-keepalive",
	[KV_REVOKE] = "lease-revoke",
};

struct kv_op *
kv_op_create(
    struct kv_ops *out, uint64_t id, enum kv_op_kind kind, const char *key)
{
	struct kv_op *op;

	op = mem_alloc(sizeof(*op));
	op->id = id;
	op->kind = kind;
	snprintf(op->key, sizeof(op->key), "%s", key);
	TAILQ_INSERT_TAIL(out, op, entry);
	return op;
}

void
kv_op_destroy(struct kv_op *op)
{
	if (op == NULL)
		return;
	free(op->value);
	free(op);
}

const char *
kv_op_kind_name(enum kv_op_kind kind)
{
	return kv_op_kind_names[kind];
}
