/* Client of the key-value service, over etcd's version 3 JSON gateway. */
#ifndef KV_H
#define KV_H

#include "fetch.h"
#include "kv_op.h"

struct kv;

/* The callback receives each result in the fetch thread. */
struct kv *kv_create(struct fetch *, const char *,
    void (*)(void *, const struct kv_result *), void *);
void kv_destroy(struct kv *);
/* Starts the operation and frees it. */
void kv_start_operation(struct kv *, struct kv_op *);
/* Number of operations started. */
uint64_t kv_calls(const struct kv *);

#endif
