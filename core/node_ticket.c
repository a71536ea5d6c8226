/*
 * Operators' tickets, one at a time: read the head, apply, write the chunks,
 * swap the head, and wait until a peer holds the result.  A lost answer is
 * resolved by reading back: the same ticket applied again changes nothing.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"
#include "node_int.h"

#define RETRY_NS (300 * NSEC_PER_MSEC)
#define SPREAD_NS (3 * NSEC_PER_SEC) /* longest wait for a peer */

static void ticket_reply(struct node *, enum ticket_status, uint64_t,
    const struct err *, struct node_out *);
static void ticket_again(struct node *, uint64_t);
static void write_chunks(struct node *, struct node_out *);
static void write_head(struct node *, struct node_out *);
static void commit(struct node *, uint64_t, struct node_out *);
static void drop_next(struct node *);
static int chunks_written(const struct node *);
static void peer_holds(void *, const struct member_info *);
static int spread(struct node *);

struct holds_ctx {
	const char *self;
	uint64_t revision;
	int peers;
	int holders;
};

void
node_ticket(struct node *n, uint64_t now, const json_t *doc, uint64_t cookie,
    struct node_out *out)
{
	struct ticket *t;

	t = mem_alloc(sizeof(*t));
	t->doc = json_deep_copy(doc);
	t->cookie = cookie;
	t->deadline = now + n->config.ticket_ns;
	TAILQ_INSERT_TAIL(&n->tickets, t, entry);
	node_ticket_tick(n, now, out);
}

static void
drop_next(struct node *n)
{
	int i;

	conf_destroy(n->next);
	n->next = NULL;
	for (i = 0; i < CONF_CHUNKS; i++) {
		free(n->next_chunks[i].text);
		n->next_chunks[i].text = NULL;
		n->next_chunks[i].hash = 0;
		n->chunk_ops[i] = 0;
	}
}

void
node_ticket_clear(struct node *n)
{
	struct ticket *t;

	drop_next(n);
	while ((t = TAILQ_FIRST(&n->tickets)) != NULL) {
		TAILQ_REMOVE(&n->tickets, t, entry);
		json_decref(t->doc);
		free(t);
	}
}

/* Answers the ticket at hand and goes on to the next. */
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
	drop_next(n);
	n->step = TICKET_IDLE;
	n->ticket_op = 0;
	n->ticket_number = 0;
}

/* Starts over with a fresh head. */
static void
ticket_again(struct node *n, uint64_t now)
{
	drop_next(n);
	n->step = TICKET_READ;
	n->ticket_op = 0;
	n->retry_at = now + RETRY_NS;
}

static void
write_chunks(struct node *n, struct node_out *out)
{
	struct kv_op *op;
	char key[KV_KEY_SIZE];
	int i;

	n->step = TICKET_CHUNKS;
	for (i = 0; i < CONF_CHUNKS; i++) {
		if (n->next_chunks[i].hash == 0 ||
		    n->next_chunks[i].hash == n->chunks[i].hash)
			continue;
		snprintf(key, sizeof(key), "config/chunk/%016" PRIx64,
		    n->next_chunks[i].hash);
		n->chunk_ops[i] = ++n->ids.next;
		op = kv_op_create(&out->kv, n->chunk_ops[i], KV_CAS, key);
		op->expected_revision = 0;
		op->value = mem_strdup(n->next_chunks[i].text);
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

	n->step = TICKET_HEAD;
	for (i = 0; i < CONF_CHUNKS; i++) {
		snprintf(
		    hex, sizeof(hex), "%016" PRIx64, n->next_chunks[i].hash);
		json_array_append_new(
		    list, json_string(n->next_chunks[i].hash ? hex : "0"));
	}
	snprintf(hex, sizeof(hex), "%016" PRIx64, n->next_nonce);
	doc = json_pack("{s:I,s:s,s:o}", "revision",
	    (json_int_t)n->next->revision, "nonce", hex, "chunks", list);
	n->ticket_op = ++n->ids.next;
	op = kv_op_create(&out->kv, n->ticket_op, KV_CAS, "config/head");
	op->expected_revision = n->ticket_expect;
	op->value = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
}

/* Called whenever the head is fresh and its configuration in force. */
void
node_ticket_ready(struct node *n, uint64_t now, struct node_out *out)
{
	struct ticket *t = TAILQ_FIRST(&n->tickets);
	enum conf_result result;
	struct err e = { ERR_NONE, "" };
	int i;

	if (t == NULL || n->step != TICKET_READ || now < n->retry_at)
		return;
	if (n->conf->revision != n->head_seen)
		return; /* peers know a later one; the head will follow */
	drop_next(n);
	n->ticket_expect = n->head_revision;
	result = conf_apply(n->conf, t->doc, &n->next, &n->ticket_number, &e);
	if (result != CONF_CHANGED) {
		ticket_reply(n,
		    result == CONF_SAME ? TICKET_SAME : TICKET_REFUSED,
		    n->conf->revision, &e, out);
		return;
	}
	for (i = 0; i < CONF_CHUNKS; i++) {
		n->next_chunks[i].text = conf_chunk(n->next, i);
		if (n->next_chunks[i].text == NULL)
			continue;
		n->next_chunks[i].hash = hash_text(n->next_chunks[i].text);
		if (strlen(n->next_chunks[i].text) <= CONF_CHUNK_BYTES_MAX)
			continue;
		err_set(&e, ERR_CAPACITY,
		    "the configuration is too large for its chunks; declare "
		    "fewer objects");
		ticket_reply(n, TICKET_REFUSED, n->conf->revision, &e, out);
		return;
	}
	n->next_nonce = ((uint64_t)nrand48(n->seed) << 31) ^
	    (uint64_t)nrand48(n->seed) ^ (n->config.self.incarnation << 20);
	write_chunks(n, out);
}

/* The head names our configuration now. */
static void
commit(struct node *n, uint64_t now, struct node_out *out)
{
	struct conf *conf = n->next;
	struct chunk chunks[CONF_CHUNKS];

	n->next = NULL;
	memcpy(chunks, n->next_chunks, sizeof(chunks));
	memset(n->next_chunks, 0, sizeof(n->next_chunks));
	n->head_seen = conf->revision;
	n->step = TICKET_SPREAD;
	n->retry_at = now + SPREAD_NS;
	if (conf->revision <= n->conf->revision) {
		/* A peer passed on a later one meanwhile. */
		int i;

		for (i = 0; i < CONF_CHUNKS; i++)
			free(chunks[i].text);
		conf_destroy(conf);
		return;
	}
	node_conf_use(n, now, conf, chunks, n->next_nonce, out);
}

int
node_ticket_kv(struct node *n, uint64_t now, const struct kv_result *r,
    struct node_out *out)
{
	int i;

	if (r->id == n->ticket_op && n->step == TICKET_HEAD) {
		n->ticket_op = 0;
		if (r->status == KV_OK) {
			n->head_revision = r->revision;
			commit(n, now, out);
		} else {
			ticket_again(n, now);
		}
		return 1;
	}
	for (i = 0; i < CONF_CHUNKS; i++) {
		if (n->chunk_ops[i] != r->id)
			continue;
		n->chunk_ops[i] = 0;
		/* Chunks are immutable: one that exists is the same. */
		if (r->status != KV_OK && r->status != KV_CONFLICT)
			ticket_again(n, now);
		else if (n->step == TICKET_CHUNKS && chunks_written(n))
			write_head(n, out);
		return 1;
	}
	return 0;
}

static void
peer_holds(void *arg, const struct member_info *info)
{
	struct holds_ctx *ctx = arg;

	if (strcmp(info->id.addr, ctx->self) == 0 ||
	    info->state != MEMBER_ALIVE || info->heard == 0)
		return;
	ctx->peers++;
	ctx->holders += info->revision >= ctx->revision;
}

/* Whether a peer holds the configuration, or there is no peer. */
static int
spread(struct node *n)
{
	struct holds_ctx ctx = { n->config.self.addr, n->conf->revision, 0, 0 };

	member_each(n->member, peer_holds, &ctx);
	return ctx.peers == 0 || ctx.holders != 0;
}

void
node_ticket_tick(struct node *n, uint64_t now, struct node_out *out)
{
	struct ticket *t = TAILQ_FIRST(&n->tickets);
	struct err e;

	if (t == NULL)
		return;
	if (n->step == TICKET_IDLE) {
		n->step = TICKET_READ;
		n->retry_at = 0;
		node_head_read(n, out);
		return;
	}
	if (n->step == TICKET_SPREAD) {
		if (spread(n) || now >= n->retry_at)
			ticket_reply(
			    n, TICKET_ACCEPTED, n->conf->revision, NULL, out);
		return;
	}
	if (now >= t->deadline) {
		err_set(&e, ERR_UNAVAILABLE,
		    "the key-value service does not answer; it is not known "
		    "whether the ticket is in force: apply it again");
		ticket_reply(n, TICKET_UNKNOWN, n->conf->revision, &e, out);
		return;
	}
	if (n->step == TICKET_READ && now >= n->retry_at && n->head_op == 0 &&
	    n->fetch.revision == 0) {
		n->retry_at = 0;
		node_head_read(n, out);
	}
}
