#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "msg.h"
#include "hash.h"
#include "mem.h"

/* Allocated size of a message that uses the given member of its union. */
#define MSG_SIZE(member)                                                       \
	(offsetof(struct msg, u) + sizeof(((struct msg *)0)->u.member))

struct msg_info {
	const char *name;
	size_t size;
};

static const struct msg_info msg_infos[MSG__MAX] = {
	[MSG_NONE] = { "none", sizeof(struct msg) },
	[MSG_ACQUIRE] = { "acquire", MSG_SIZE(acquire) },
	[MSG_QUEUED] = { "queued", MSG_SIZE(key) },
	[MSG_GRANT] = { "grant", MSG_SIZE(grant) },
	[MSG_REFUSE] = { "refuse", MSG_SIZE(refuse) },
	[MSG_CANCEL] = { "cancel", MSG_SIZE(key) },
	[MSG_RELEASE] = { "release", MSG_SIZE(release) },
	[MSG_SYNC] = { "sync", MSG_SIZE(sync) },
	[MSG_REPORT] = { "report", MSG_SIZE(report) },
	[MSG_HELLO] = { "hello", MSG_SIZE(hello) },
	[MSG_CELL] = { "cell", MSG_SIZE(cell) },
	[MSG_SERVICE] = { "service", MSG_SIZE(service) },
	[MSG_MODEL] = { "model", MSG_SIZE(model) },
	[MSG_READY] = { "ready", MSG_SIZE(ready) },
	[MSG_LOAD] = { "load", MSG_SIZE(load) },
	[MSG_LOAD_PULL] = { "load-pull", MSG_SIZE(load) },
	[MSG_SENDER_ASK] = { "sender-ask", MSG_SIZE(sender_none) },
	[MSG_PING] = { "ping", MSG_SIZE(ping) },
	[MSG_PING_REQ] = { "ping-req", MSG_SIZE(ping) },
	[MSG_ACK] = { "ack", MSG_SIZE(ping) },
	[MSG_CONF_PULL] = { "conf-pull", MSG_SIZE(conf) },
	[MSG_CONF_HEAD] = { "conf-head", MSG_SIZE(conf) },
	[MSG_CONF_CHUNK] = { "conf-chunk", MSG_SIZE(conf) },
	[MSG_SENDER_NONE] = { "sender-none", MSG_SIZE(sender_none) },
	[MSG_FRONT] = { "front", MSG_SIZE(front) },
	[MSG_HELD] = { "held", MSG_SIZE(held) },
	[MSG_WANT] = { "want", MSG_SIZE(want) },
	[MSG_PERMIT_REQUEST] = { "permit-request", MSG_SIZE(permit_request) },
	[MSG_PERMIT_ANSWER] = { "permit-answer", MSG_SIZE(permit_answer) },
	[MSG_SHARE_LOAN] = { "share-loan", MSG_SIZE(share_loan) },
	[MSG_SHARE_ACK] = { "share-ack", MSG_SIZE(share_ack) },
	[MSG_QUOTA_REQUEST] = { "quota-request", MSG_SIZE(quota_request) },
	[MSG_QUOTA_ANSWER] = { "quota-answer", MSG_SIZE(quota_answer) },
	[MSG_LOADS] = { "loads", MSG_SIZE(loads) },
};

static struct msg *msg_create_sized(enum msg_kind, const char *, size_t);
static void *msg_copy_list(const void *, uint32_t, size_t);

static struct msg *
msg_create_sized(enum msg_kind kind, const char *to, size_t size)
{
	struct msg *m;

	m = mem_alloc(size);
	m->size = size;
	m->kind = kind;
	snprintf(m->to, sizeof(m->to), "%s", to);
	return m;
}

static const struct {
	const char *name;
	uint32_t bit;
} msg_methods[] = {
	{ "GET", METHOD_GET },
	{ "PUT", METHOD_PUT },
	{ "DELETE", METHOD_DELETE },
	{ "POST", METHOD_POST },
	{ "PATCH", METHOD_PATCH },
	{ "HEAD", METHOD_HEAD },
};

uint32_t
msg_method_bit(const char *name)
{
	size_t i;

	for (i = 0; i < nitems(msg_methods); i++) {
		if (strcmp(msg_methods[i].name, name) == 0)
			return msg_methods[i].bit;
	}
	return 0;
}

struct msg *
msg_create(enum msg_kind kind, const char *to)
{
	return msg_create_sized(kind, to, msg_infos[kind].size);
}

struct msg *
msg_create_table(enum msg_kind kind, const char *to, uint32_t nreplicas)
{
	size_t head = kind == MSG_CELL ? offsetof(struct msg, u.cell.replicas)
				       : offsetof(struct msg, u.load.replicas);

	return msg_create_sized(
	    kind, to, head + nreplicas * sizeof(struct msg_replica));
}

uint64_t
msg_replica_hash(const struct msg_replica *r)
{
	return hash_bytes(
	    r, MSG_REPLICA_FIXED_SIZE + (size_t)r->nmodels * NAME_SIZE);
}

/* Copies a list that is owned by a message. */
static void *
msg_copy_list(const void *list, uint32_t n, size_t size)
{
	void *p;

	if (list == NULL)
		return NULL;
	p = mem_alloc((n + 1U) * size);
	memcpy(p, list, n * size);
	return p;
}

struct msg *
msg_copy(const struct msg *src)
{
	struct msg *m;

	m = mem_alloc(src->size);
	memcpy(m, src, src->size);
	if (src->kind == MSG_CONF_CHUNK)
		m->u.conf.bytes =
		    msg_copy_list(src->u.conf.bytes, src->u.conf.len, 1);
	if (src->kind == MSG_FRONT) {
		m->u.front.work = msg_copy_list(src->u.front.work,
		    src->u.front.nwork, sizeof(*src->u.front.work));
		m->u.front.demand = msg_copy_list(src->u.front.demand,
		    src->u.front.ndemand, sizeof(*src->u.front.demand));
		m->u.front.limits = msg_copy_list(src->u.front.limits,
		    src->u.front.nlimits, sizeof(*src->u.front.limits));
		m->u.front.poison = msg_copy_list(src->u.front.poison,
		    src->u.front.npoison, sizeof(*src->u.front.poison));
	}
	if (src->kind == MSG_HELD)
		m->u.held.items = msg_copy_list(src->u.held.items,
		    src->u.held.n, sizeof(*src->u.held.items));
	if (src->kind == MSG_LOADS)
		m->u.loads.loads = msg_copy_list(src->u.loads.loads,
		    src->u.loads.n, sizeof(*src->u.loads.loads));
	return m;
}

void
msg_destroy(struct msg *m)
{
	if (m == NULL)
		return;
	if (m->kind == MSG_CONF_CHUNK)
		free(m->u.conf.bytes);
	if (m->kind == MSG_FRONT) {
		free(m->u.front.work);
		free(m->u.front.demand);
		free(m->u.front.limits);
		free(m->u.front.poison);
	}
	if (m->kind == MSG_HELD)
		free(m->u.held.items);
	if (m->kind == MSG_LOADS)
		free(m->u.loads.loads);
	free(m);
}

const char *
msg_name(enum msg_kind kind)
{
	if ((unsigned)kind >= MSG__MAX)
		return "unknown";
	return msg_infos[kind].name;
}
