/*
 * Processes tickets one at a time: reads the head, applies the ticket, writes
 * the chunks, replaces the head by compare-and-swap, and waits until a peer has
 * the result.  When a response is lost, the head is read and the ticket applied
 * again, which changes nothing if the first attempt succeeded.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"
#include "node_int.h"

#define RETRY_NS (300 * NSEC_PER_MSEC)
#define PEER_WAIT_NS (3 * NSEC_PER_SEC) /* limit on the wait for a peer */

static void ticket_reply(struct node *, enum ticket_status, uint64_t,
    const struct err *, struct node_out *);
static void ticket_restart(struct node *, uint64_t);
static void write_chunks(struct node *, struct node_out *);
static void write_head(struct node *, struct node_out *);
static void commit_pending(struct node *, uint64_t, struct node_out *);
static void discard_pending(struct node *);
static int chunks_written(const struct node *);
static void count_replica(void *, const struct member_info *);
static int conf_replicated(struct node *);

struct replication_ctx {
	const char *self;
	uint64_t revision;
	int peers;
	int holders;
};

void
node_submit_ticket(struct node *n, uint64_t now, const json_t *doc,
    uint64_t cookie, struct node_out *out)
{
	struct ticket *t;

	t = mem_alloc(sizeof(*t));
	t->doc = json_deep_copy(doc);
	t->cookie = cookie;
	t->deadline = now + n->config.ticket_timeout_ns;
	TAILQ_INSERT_TAIL(&n->tickets, t, entry);
	node_ticket_tick(n, now, out);
}

static void
discard_pending(struct node *n)
{
	int i;

	conf_destroy(n->pending_conf);
	n->pending_conf = NULL;
	for (i = 0; i < CONF_CHUNKS; i++) {
		free(n->pending_chunks[i].text);
		n->pending_chunks[i].text = NULL;
		n->pending_chunks[i].hash = 0;
		n->chunk_ops[i] = 0;
	}
}

void
node_ticket_clear(struct node *n)
{
	struct ticket *t;

	discard_pending(n);
	while ((t = TAILQ_FIRST(&n->tickets)) != NULL) {
		TAILQ_REMOVE(&n->tickets, t, entry);
		json_decref(t->doc);
		free(t);
	}
}

/* Replies to the current ticket and removes it from the queue. */
static void
ticket_reply(struct node *n, enum ticket_status status, uint64_t revision,
    const struct err *e, struct node_out *out)
{
	struct ticket *t = TAILQ_FIRST(&n->tickets);
	struct ticket_reply *r;

	r = mem_alloc(sizeof(*r));
	r->cookie = t->cookie;
	r->status = status;
	r->number = n->ticket_number;
	r->revision = revision;
	if (e != NULL)
		r->err = *e;
	TAILQ_INSERT_TAIL(&out->replies, r, entry);
	TAILQ_REMOVE(&n->tickets, t, entry);
	json_decref(t->doc);
	free(t);
	discard_pending(n);
	n->ticket_step = TICKET_IDLE;
	n->ticket_op = 0;
	n->ticket_number = 0;
}

/* Restarts the current ticket from reading the head. */
static void
ticket_restart(struct node *n, uint64_t now)
{
	discard_pending(n);
	n->ticket_step = TICKET_READ_HEAD;
	n->ticket_op = 0;
	n->retry_at = now + RETRY_NS;
}

static void
write_chunks(struct node *n, struct node_out *out)
{
	struct kv_op *op;
	char key[KV_KEY_SIZE];
	int i;

	n->ticket_step = TICKET_WRITE_CHUNKS;
	for (i = 0; i < CONF_CHUNKS; i++) {
		if (n->pending_chunks[i].hash == 0 ||
		    n->pending_chunks[i].hash == n->chunks[i].hash)
			continue;
		snprintf(key, sizeof(key), "config/chunk/%016" PRIx64,
		    n->pending_chunks[i].hash);
		n->chunk_ops[i] = ++n->ids.next;
		op = kv_op_create(&out->kv, n->chunk_ops[i], KV_CAS, key);
		op->expected_revision = 0;
		op->value = mem_strdup(n->pending_chunks[i].text);
	}
	if (chunks_written(n))
		write_head(n, out);
}

static int
chunks_written(const struct node *n)
{
	int i;

	for (i = 0; i < CONF_CHUNKS; i++) {
		if (n->chunk_ops[i] != 0)
			return 0;
	}
	return 1;
}

static void
write_head(struct node *n, struct node_out *out)
{
	json_t *list = json_array();
	json_t *doc;
	struct kv_op *op;
	char hex[17];
	int i;

	n->ticket_step = TICKET_WRITE_HEAD;
	for (i = 0; i < CONF_CHUNKS; i++) {
		snprintf(
		    hex, sizeof(hex), "%016" PRIx64, n->pending_chunks[i].hash);
		json_array_append_new(
		    list, json_string(n->pending_chunks[i].hash ? hex : "0"));
	}
	snprintf(hex, sizeof(hex), "%016" PRIx64, n->pending_nonce);
	doc = json_pack("{s:I,s:s,s:o}", "revision",
	    (json_int_t)n->pending_conf->revision, "nonce", hex, "chunks",
	    list);
	n->ticket_op = ++n->ids.next;
	op = kv_op_create(&out->kv, n->ticket_op, KV_CAS, "config/head");
	op->expected_revision = n->ticket_expect;
	op->value = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
}

void
node_ticket_head_ready(struct node *n, uint64_t now, struct node_out *out)
{
	struct ticket *t = TAILQ_FIRST(&n->tickets);
	enum conf_result result;
	struct err e = { ERR_NONE, "" };
	int i;

	if (t == NULL || n->ticket_step != TICKET_READ_HEAD ||
	    now < n->retry_at)
		return;
	if (n->conf->revision != n->head_conf_revision)
		return; /* a peer sent a later one; read the head again */
	discard_pending(n);
	n->ticket_expect = n->head_revision;
	result = conf_apply(
	    n->conf, t->doc, &n->pending_conf, &n->ticket_number, &e);
	if (result != CONF_CHANGED) {
		ticket_reply(n,
		    result == CONF_UNCHANGED ? TICKET_UNCHANGED
					     : TICKET_REFUSED,
		    n->conf->revision, &e, out);
		return;
	}
	for (i = 0; i < CONF_CHUNKS; i++) {
		n->pending_chunks[i].text =
		    conf_encode_chunk(n->pending_conf, i);
		if (n->pending_chunks[i].text == NULL)
			continue;
		n->pending_chunks[i].hash =
		    hash_text(n->pending_chunks[i].text);
		if (strlen(n->pending_chunks[i].text) <= CONF_CHUNK_BYTES_MAX)
			continue;
		err_set(&e, ERR_CAPACITY,
		    "the configuration exceeds the size of its chunks; "
		    "declare fewer objects");
		ticket_reply(n, TICKET_REFUSED, n->conf->revision, &e, out);
		return;
	}
	n->pending_nonce = ((uint64_t)nrand48(n->rand_state) << 31) ^
	    (uint64_t)nrand48(n->rand_state) ^
	    (n->config.self.incarnation << 20);
	write_chunks(n, out);
}

/* The head was replaced: puts the result into effect. */
static void
commit_pending(struct node *n, uint64_t now, struct node_out *out)
{
	struct conf *conf = n->pending_conf;
	struct chunk chunks[CONF_CHUNKS];

	n->pending_conf = NULL;
	memcpy(chunks, n->pending_chunks, sizeof(chunks));
	memset(n->pending_chunks, 0, sizeof(n->pending_chunks));
	n->head_conf_revision = conf->revision;
	n->ticket_step = TICKET_AWAIT_PEER;
	n->retry_at = now + PEER_WAIT_NS;
	if (conf->revision <= n->conf->revision) {
		/* A peer sent a later revision meanwhile. */
		int i;

		for (i = 0; i < CONF_CHUNKS; i++)
			free(chunks[i].text);
		conf_destroy(conf);
		return;
	}
	node_conf_activate(n, now, conf, chunks, n->pending_nonce, out);
}

int
node_ticket_handle_kv_result(struct node *n, uint64_t now,
    const struct kv_result *r, struct node_out *out)
{
	int i;

	if (r->id == n->ticket_op && n->ticket_step == TICKET_WRITE_HEAD) {
		n->ticket_op = 0;
		if (r->status == KV_OK) {
			n->head_revision = r->revision;
			commit_pending(n, now, out);
		} else {
			ticket_restart(n, now);
		}
		return 1;
	}
	for (i = 0; i < CONF_CHUNKS; i++) {
		if (n->chunk_ops[i] != r->id)
			continue;
		n->chunk_ops[i] = 0;
		/* Keys are content hashes: an existing chunk is identical. */
		if (r->status != KV_OK && r->status != KV_CONFLICT)
			ticket_restart(n, now);
		else if (n->ticket_step == TICKET_WRITE_CHUNKS &&
		    chunks_written(n))
			write_head(n, out);
		return 1;
	}
	return 0;
}

static void
count_replica(void *arg, const struct member_info *info)
{
	struct replication_ctx *ctx = arg;

	if (strcmp(info->id.addr, ctx->self) == 0 ||
	    info->state != MEMBER_ALIVE || info->last_heard_at == 0)
		return;
	ctx->peers++;
	ctx->holders += info->revision >= ctx->revision;
}

/* Whether a peer has the configuration, or there is no live peer. */
static int
conf_replicated(struct node *n)
{
	struct replication_ctx ctx = { n->config.self.addr, n->conf->revision,
		0, 0 };

	member_foreach(n->member, count_replica, &ctx);
	return ctx.peers == 0 || ctx.holders != 0;
}

void
node_ticket_tick(struct node *n, uint64_t now, struct node_out *out)
{
	struct ticket *t = TAILQ_FIRST(&n->tickets);
	struct err e;

	if (t == NULL)
		return;
	if (n->ticket_step == TICKET_IDLE) {
		n->ticket_step = TICKET_READ_HEAD;
		n->retry_at = 0;
		node_head_read(n, out);
		return;
	}
	if (n->ticket_step == TICKET_AWAIT_PEER) {
		if (conf_replicated(n) || now >= n->retry_at)
			ticket_reply(
			    n, TICKET_ACCEPTED, n->conf->revision, NULL, out);
		return;
	}
	if (now >= t->deadline) {
		err_set(&e, ERR_UNAVAILABLE,
		    "the key-value service did not respond in time; the "
		    "ticket may be in effect: apply it again");
		ticket_reply(n, TICKET_UNKNOWN, n->conf->revision, &e, out);
		return;
	}
	if (n->ticket_step == TICKET_READ_HEAD && now >= n->retry_at &&
	    n->head_op == 0 && n->fetch.revision == 0) {
		n->retry_at = 0;
		node_head_read(n, out);
	}
}
