/*
 * Keeps the configuration in effect up to date.  A few nodes watch the head in
 * the key-value service and all poll it infrequently; the others learn of new
 * revisions from the revision in every membership probe.  The revision never
 * decreases.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"
#include "node_int.h"

#define FETCH_RETRY_NS (300 * NSEC_PER_MSEC)
#define FETCH_TIMEOUT_NS (5 * NSEC_PER_SEC)
#define HEAD_PUSH_PEERS 4 /* peers notified of a new revision at once */
#define HEAD_RETRY_NS (1 * NSEC_PER_SEC)
#define WATCH_RETRY_NS (500 * NSEC_PER_MSEC)

static void fetch_begin(struct node *, uint64_t, uint64_t, uint64_t,
    const uint64_t *, const char *, struct node_out *);
static void fetch_request(struct node *, uint64_t, struct node_out *);
static void fetch_cancel(struct node *);
static int fetch_complete(const struct node *);
static void fetch_finish(struct node *, uint64_t, struct node_out *);
static int fetch_accept_chunk(struct node *, uint64_t, const char *, size_t);
static void on_head(
    struct node *, uint64_t, const struct kv_result *, struct node_out *);
static int on_chunk(
    struct node *, uint64_t, const struct kv_result *, struct node_out *);
static void count_lower_address(void *, const struct member_info *);
static int is_watcher(struct node *);
static void push_head(struct node *, struct node_out *);
static void send_head(struct node *, const char *, struct node_out *);
static void send_chunk(
    struct node *, const char *, uint64_t, struct node_out *);

struct rank_ctx {
	const char *self;
	uint32_t nlower;
};

int
node_head_parse(
    const char *text, uint64_t *revision, uint64_t *nonce, uint64_t *hashes)
{
	json_t *doc = json_loads(text, 0, NULL);
	json_t *list = json_object_get(doc, "chunks");
	const char *hex;
	size_t i;
	int rv = -1;

	if (json_array_size(list) == CONF_CHUNKS) {
		rv = 0;
		*revision = (uint64_t)json_integer_value(
		    json_object_get(doc, "revision"));
		hex = json_string_value(json_object_get(doc, "nonce"));
		*nonce = hex == NULL ? 0 : strtoull(hex, NULL, 16);
		for (i = 0; i < CONF_CHUNKS; i++) {
			hex = json_string_value(json_array_get(list, i));
			hashes[i] = hex == NULL ? 0 : strtoull(hex, NULL, 16);
		}
	}
	json_decref(doc);
	return rv;
}

void
node_conf_clear(struct node *n)
{
	int i;

	for (i = 0; i < CONF_CHUNKS; i++) {
		free(n->chunks[i].text);
		n->chunks[i].text = NULL;
		n->chunks[i].hash = 0;
	}
	fetch_cancel(n);
	conf_destroy(n->conf);
	n->conf = NULL;
}

/* Sends the head to a few peers, which forward it if it is new to them. */
static void
push_head(struct node *n, struct node_out *out)
{
	char addrs[HEAD_PUSH_PEERS][ADDR_SIZE];
	uint32_t count;
	uint32_t i;

	count = member_sample(n->member, HEAD_PUSH_PEERS, addrs);
	for (i = 0; i < count; i++)
		send_head(n, addrs[i], out);
}

void
node_conf_activate(struct node *n, uint64_t now, struct conf *conf,
    struct chunk *chunks, uint64_t nonce, struct node_out *out)
{
	struct conf *old = n->conf;
	int i;

	for (i = 0; i < CONF_CHUNKS; i++) {
		free(n->chunks[i].text);
		n->chunks[i] = chunks[i];
	}
	n->conf = conf;
	n->nonce = nonce;
	member_set_revision(n->member, conf->revision);
	node_gate_update_hashes(n);
	node_cells_configure(n, now, out);
	conf_destroy(old);
	push_head(n, out);
}

static void
fetch_cancel(struct node *n)
{
	int i;

	for (i = 0; i < CONF_CHUNKS; i++) {
		free(n->fetch.texts[i]);
		n->fetch_ops[i] = 0;
	}
	memset(&n->fetch, 0, sizeof(n->fetch));
}

static void
fetch_begin(struct node *n, uint64_t now, uint64_t revision, uint64_t nonce,
    const uint64_t *hashes, const char *peer, struct node_out *out)
{
	int i;

	if (revision <= n->conf->revision || revision <= n->fetch.revision)
		return;
	fetch_cancel(n);
	n->fetch.revision = revision;
	n->fetch.nonce = nonce;
	n->fetch.started_at = now;
	snprintf(n->fetch.peer, sizeof(n->fetch.peer), "%s", peer);
	memcpy(n->fetch.hashes, hashes, sizeof(n->fetch.hashes));
	for (i = 0; i < CONF_CHUNKS; i++) {
		if (hashes[i] != 0 && hashes[i] == n->chunks[i].hash)
			n->fetch.texts[i] = mem_strdup(n->chunks[i].text);
	}
	if (fetch_complete(n))
		fetch_finish(n, now, out);
	else
		fetch_request(n, now, out);
}

/* Requests the missing chunks from the service or a peer. */
static void
fetch_request(struct node *n, uint64_t now, struct node_out *out)
{
	struct kv_op *op;
	struct msg *m = NULL;
	char key[KV_KEY_SIZE];
	int i;

	n->fetch.requested_at = now;
	if (n->fetch.peer[0] != '\0') {
		m = msg_create(MSG_CONF_PULL, n->fetch.peer);
		m->u.conf.revision = n->fetch.revision;
		TAILQ_INSERT_TAIL(&out->msgs, m, entry);
	}
	for (i = 0; i < CONF_CHUNKS; i++) {
		if (n->fetch.hashes[i] == 0 || n->fetch.texts[i] != NULL)
			continue;
		if (m != NULL) {
			m->u.conf.hashes[m->u.conf.nhashes++] =
			    n->fetch.hashes[i];
			continue;
		}
		snprintf(key, sizeof(key), "config/chunk/%016" PRIx64,
		    n->fetch.hashes[i]);
		n->fetch_ops[i] = ++n->ids.next;
		op = kv_op_create(&out->kv, n->fetch_ops[i], KV_GET, key);
		(void)op;
	}
}

static int
fetch_complete(const struct node *n)
{
	int i;

	if (n->fetch.revision == 0)
		return 0;
	for (i = 0; i < CONF_CHUNKS; i++) {
		if (n->fetch.hashes[i] != 0 && n->fetch.texts[i] == NULL)
			return 0;
	}
	return 1;
}

static void
fetch_finish(struct node *n, uint64_t now, struct node_out *out)
{
	struct chunk chunks[CONF_CHUNKS];
	struct conf *conf;
	struct err e;
	uint64_t nonce = n->fetch.nonce;
	int i;

	/* A ticket may have put a later revision into effect meanwhile. */
	if (n->fetch.revision <= n->conf->revision) {
		fetch_cancel(n);
		return;
	}
	conf = conf_from_chunks(
	    n->fetch.texts, CONF_CHUNKS, n->fetch.revision, &e);
	if (conf == NULL) {
		fetch_cancel(n);
		return;
	}
	for (i = 0; i < CONF_CHUNKS; i++) {
		chunks[i].hash = n->fetch.hashes[i];
		chunks[i].text = n->fetch.texts[i];
		n->fetch.texts[i] = NULL;
	}
	fetch_cancel(n);
	node_conf_activate(n, now, conf, chunks, nonce, out);
	if (n->head_known && n->conf->revision >= n->head_conf_revision)
		node_ticket_head_ready(n, now, out);
}

/*
 * Stores the text of a chunk that is being fetched, if it matches its hash.
 * Returns whether it was needed.
 */
static int
fetch_accept_chunk(struct node *n, uint64_t hash, const char *text, size_t len)
{
	int i;
	int used = 0;

	if (hash_bytes(text, len) != hash)
		return 0;
	for (i = 0; i < CONF_CHUNKS; i++) {
		if (n->fetch.hashes[i] != hash || n->fetch.texts[i] != NULL)
			continue;
		n->fetch.texts[i] = mem_alloc(len + 1);
		memcpy(n->fetch.texts[i], text, len);
		used = 1;
	}
	return used;
}

void
node_head_read(struct node *n, struct node_out *out)
{
	if (n->head_op != 0)
		return;
	n->head_op = ++n->ids.next;
	n->head_requested_at = n->now;
	kv_op_create(&out->kv, n->head_op, KV_GET, "config/head");
}

int
node_conf_is_current(struct node *n, uint64_t since)
{
	if (n->head_fresh_at >= since)
		return n->conf->revision >= n->head_conf_revision;
	if (n->now >= n->head_requested_at + HEAD_RETRY_NS)
		n->next_poll_at = n->now;
	return 0;
}

/* The service returned the head, or that there is none. */
static void
on_head(struct node *n, uint64_t now, const struct kv_result *r,
    struct node_out *out)
{
	uint64_t hashes[CONF_CHUNKS];
	uint64_t revision;
	uint64_t nonce;

	if (r->status == KV_ABSENT) {
		n->head_known = 1;
		n->head_revision = 0;
		n->head_conf_revision = 0;
		node_ticket_head_ready(n, now, out);
		return;
	}
	if (r->status != KV_OK ||
	    node_head_parse(r->value, &revision, &nonce, hashes) == -1)
		return;
	n->head_known = 1;
	n->head_revision = r->revision;
	n->head_conf_revision = revision;
	if (revision > n->conf->revision)
		fetch_begin(n, now, revision, nonce, hashes, "", out);
	else
		node_ticket_head_ready(n, now, out);
}

static int
on_chunk(struct node *n, uint64_t now, const struct kv_result *r,
    struct node_out *out)
{
	int i;

	for (i = 0; i < CONF_CHUNKS; i++) {
		if (n->fetch_ops[i] == r->id)
			break;
	}
	if (i == CONF_CHUNKS)
		return 0;
	n->fetch_ops[i] = 0;
	if (r->status == KV_OK)
		fetch_accept_chunk(
		    n, n->fetch.hashes[i], r->value, strlen(r->value));
	if (fetch_complete(n))
		fetch_finish(n, now, out);
	return 1;
}

int
node_conf_handle_kv_result(struct node *n, uint64_t now,
    const struct kv_result *r, struct node_out *out)
{
	if (r->id == n->head_op) {
		n->head_op = 0;
		/* Retry soon: without the head the node is not ready. */
		if (r->status == KV_UNKNOWN && !n->head_known)
			n->next_poll_at = now + HEAD_RETRY_NS;
		if (r->status == KV_OK || r->status == KV_ABSENT)
			n->head_fresh_at = n->head_requested_at;
		on_head(n, now, r, out);
		return 1;
	}
	if (r->id == n->watch_op) {
		n->watch_op = 0;
		if (r->status == KV_OK)
			on_head(n, now, r, out);
		else if (r->status == KV_UNKNOWN)
			n->next_watch_at = now + WATCH_RETRY_NS;
		return 1;
	}
	return on_chunk(n, now, r, out);
}

static void
count_lower_address(void *arg, const struct member_info *info)
{
	struct rank_ctx *ctx = arg;

	if (info->state == MEMBER_ALIVE && info->id.incarnation != 0 &&
	    strcmp(info->id.addr, ctx->self) < 0)
		ctx->nlower++;
}

/* The live nodes with the lowest addresses watch the head. */
static int
is_watcher(struct node *n)
{
	struct rank_ctx ctx = { n->config.self.addr, 0 };

	member_foreach(n->member, count_lower_address, &ctx);
	return ctx.nlower < n->config.head_watchers;
}

void
node_conf_tick(struct node *n, uint64_t now, struct node_out *out)
{
	struct kv_op *op;

	if (now >= n->next_poll_at) {
		/* Jitter keeps the nodes' polls from synchronizing. */
		n->next_poll_at = now + n->config.head_poll_interval_ns / 2 +
		    (uint64_t)nrand48(n->rand_state) %
			n->config.head_poll_interval_ns;
		node_head_read(n, out);
	}
	if (n->watch_op == 0 && n->head_known && n->fetch.revision == 0 &&
	    now >= n->next_watch_at && is_watcher(n)) {
		n->watch_op = ++n->ids.next;
		op = kv_op_create(
		    &out->kv, n->watch_op, KV_WATCH, "config/head");
		op->expected_revision = n->head_revision;
	}
	if (n->fetch.revision == 0)
		return;
	if (now >= n->fetch.started_at + FETCH_TIMEOUT_NS)
		fetch_cancel(n);
	else if (now >= n->fetch.requested_at + FETCH_RETRY_NS)
		fetch_request(n, now, out);
}

/* Requests the head from a peer whose probe had a later revision. */
void
node_conf_peer_revision(struct node *n, uint64_t now,
    const struct node_id *peer, uint64_t revision, struct node_out *out)
{
	struct msg *m;

	(void)now;
	if (revision <= n->conf->revision || revision <= n->fetch.revision)
		return;
	m = msg_create(MSG_CONF_PULL, peer->addr);
	TAILQ_INSERT_TAIL(&out->msgs, m, entry);
}

static void
send_head(struct node *n, const char *to, struct node_out *out)
{
	struct msg *m;
	int i;

	m = msg_create(MSG_CONF_HEAD, to);
	m->u.conf.revision = n->conf->revision;
	m->u.conf.nonce = n->nonce;
	m->u.conf.nhashes = CONF_CHUNKS;
	for (i = 0; i < CONF_CHUNKS; i++)
		m->u.conf.hashes[i] = n->chunks[i].hash;
	TAILQ_INSERT_TAIL(&out->msgs, m, entry);
}

static void
send_chunk(struct node *n, const char *to, uint64_t hash, struct node_out *out)
{
	struct msg *m;
	int i;

	for (i = 0; i < CONF_CHUNKS; i++) {
		if (n->chunks[i].hash == hash)
			break;
	}
	if (i == CONF_CHUNKS || n->chunks[i].text == NULL)
		return;
	m = msg_create(MSG_CONF_CHUNK, to);
	m->u.conf.revision = n->conf->revision;
	m->u.conf.nhashes = 1;
	m->u.conf.hashes[0] = hash;
	m->u.conf.len = (uint32_t)strlen(n->chunks[i].text);
	m->u.conf.bytes = mem_strdup(n->chunks[i].text);
	TAILQ_INSERT_TAIL(&out->msgs, m, entry);
}

void
node_conf_handle_message(
    struct node *n, uint64_t now, const struct msg *m, struct node_out *out)
{
	const struct msg_conf *c = &m->u.conf;
	uint32_t i;

	if (m->kind == MSG_CONF_PULL) {
		if (c->nhashes == 0)
			send_head(n, m->from.addr, out);
		for (i = 0; i < c->nhashes; i++)
			send_chunk(n, m->from.addr, c->hashes[i], out);
	} else if (m->kind == MSG_CONF_HEAD) {
		if (c->nhashes == CONF_CHUNKS)
			fetch_begin(n, now, c->revision, c->nonce, c->hashes,
			    m->from.addr, out);
	} else if (m->kind == MSG_CONF_CHUNK && c->nhashes == 1) {
		if (fetch_accept_chunk(n, c->hashes[0], c->bytes, c->len) &&
		    fetch_complete(n))
			fetch_finish(n, now, out);
	}
}
