/*
 * Replication of the configuration and the list of replicas between the entry
 * processes: hubs push changes, and a process that is behind pulls the whole
 * text from a peer.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf_decoder.h"
#include "deflate.h"
#include "list_text.h"
#include "mem.h"
#include "peers_int.h"
#include "session.h"
#include "stream_io.h"

/*
 * Between requests for the list, and added at random: processes that a push has
 * led to ask at the same time would all be too many each time.
 */
#define PULL_RETRY_NS (200 * NSEC_PER_MSEC)
#define PULL_SPREAD_NS (300 * NSEC_PER_MSEC)
#define PULL_CONFIG 0 /* msg_conf.nonce: which text */
#define PULL_LIST 1
#define PUSH_LIST 2 /* changes of the list of replicas */
#define PACKED_CONFIG 3
#define STREAM_RECORDS 4
#define PACKED_LIST 5 /* a part of the whole list */
/* Of msg_conf.hashes in a request: era and number that were cut. */
#define EXACT_HASHES 2
#define LIST_TEXT_MAX_BYTES 4194304 /* unpacked */
/* An encoded list tells a grace period, which ends. */
#define LIST_TEXT_NS (300 * NSEC_PER_MSEC)

static void send_config_again(struct peers *, struct peer *, uint64_t);
static void send_request(struct peers *, const char *, uint64_t, revision_t);
static revision_t requested_since(const struct msg_conf *);
static const struct packed_list *pack_list(struct peers *);
static void send_list(struct peers *, const char *);
static void leave_unanswered(struct peers *, const char *);
static int fits_message(struct peers *, const char *, size_t);
static struct msg *compose_text(uint64_t, const char *, size_t);
static void push_text(struct peers *, struct msg *);
static void push_to_peer(struct peers *, struct peer *);
static int is_behind(
    struct peers *, const struct peer *, const struct msg_front *);
static void pull_list(struct peers *, const char *, revision_t);
static void send_text(
    struct peers *, const char *, uint64_t, const char *, size_t);
static int answer_changes(struct peers *, const struct msg *);
static void apply_list(struct peers *, const char *, const char *, size_t, int);
static void apply_packed_list(struct peers *, const struct msg *);

/*
 * Whether the local list is to be pulled from a peer.  Where lists differ at
 * the same revision, a hub's decides; to a process its relay is the only hub.
 */
static int
is_behind(struct peers *p, const struct peer *q, const struct msg_front *f)
{
	const struct follow_list mine = { p->e->dir.revision,
		p->e->dir.digest };
	const struct follow_list theirs = { revision_near(f->list_revision,
						p->e->dir.revision),
		f->list_digest };
	int decides = p->self.hub_since == 0 && q->hub.hub_since != 0;

	return follow_list_report(&p->list, p->e->now, &mine, &theirs, decides);
}

uint64_t
peers_list_differs_ns(const struct peers *p)
{
	return p->list.differs_since == 0 ? 0
					  : p->e->now - p->list.differs_since;
}

/* Asks for the changes of the list since a revision, 0 for the whole list. */
static void
pull_list(struct peers *p, const char *addr, revision_t since)
{
	if (p->e->now < p->pull_list_at)
		return;
	p->pull_list_at = p->e->now + PULL_RETRY_NS +
	    (uint64_t)(entry_random(p->e) * (double)PULL_SPREAD_NS);
	send_request(p, addr, PULL_LIST, since);
}

static void
send_request(struct peers *p, const char *addr, uint64_t what, revision_t since)
{
	struct msg *m = msg_create(MSG_CONF_PULL, addr);
	struct msg_conf *c = &m->u.conf;

	c->nonce = what;
	c->revision = revision_short(since);
	if (!revision_fits_short(since)) {
		c->nhashes = EXACT_HASHES;
		c->hashes[0] = revision_era(since);
		c->hashes[1] = revision_number(since);
	}
	bus_send(p->bus, m);
}

/* An earlier build may have cut it, and asks for more than it needs then. */
static revision_t
requested_since(const struct msg_conf *c)
{
	if (c->nhashes != EXACT_HASHES)
		return revision_of_short(c->revision);
	return revision_of(c->hashes[0], c->hashes[1]);
}

/*
 * A relay sends its configuration to a process of its data centre that reports
 * an older one: a push was lost, or not sent while it was no relay.
 */
static void
send_config_again(struct peers *p, struct peer *q, uint64_t version)
{
	const struct entry *e = p->e;

	if (!peers_is_relay(p) || !peers_in_zone(p, q) ||
	    !follow_is_to_send(&p->config, &q->sent, version, e->now))
		return;
	follow_set_sent(&p->config, &q->sent, e->now);
	if (!fits_message(p, "configuration", e->conf_packed_len))
		return;
	send_text(
	    p, q->hub.addr, PACKED_CONFIG, e->conf_packed, e->conf_packed_len);
}

void
peers_compare_versions(
    struct peers *p, struct peer *q, const struct msg_front *f)
{
	follow_report(&p->config, p->e->now, f->version, q->hub.addr);
	follow_set_reported(&q->sent, f->version);
	send_config_again(p, q, f->version);
	/* A list that differs at the same revision lacks older changes. */
	if (is_behind(p, q, f))
		pull_list(p, q->hub.addr,
		    f->list_revision == revision_short(p->e->dir.revision)
			? 0
			: p->e->dir.revision);
}

void
peers_follow_config(struct peers *p)
{
	const struct follow *f = &p->config;
	unsigned todo;

	/* The text being decoded may be the newest version. */
	if (conf_decoder_is_busy(p->e->conf_decoder))
		return;
	todo = follow_next(&p->config, p->e->now);
	if (todo == 0)
		return;
	log_event(LOG_CONF_BEHIND, NULL,
	    "version=%llu newest=%llu peer=%s read_store=%d",
	    (unsigned long long)f->version, (unsigned long long)f->newest,
	    f->source, (todo & FOLLOW_READ) != 0);
	if (todo & FOLLOW_PULL)
		send_request(p, f->source, PULL_CONFIG, 0);
	if (todo & FOLLOW_READ)
		session_read_config(p->e->session);
}

uint64_t
peers_newest_config(const struct peers *p)
{
	return follow_is_behind(&p->config) ? p->config.newest
					    : p->config.version;
}

void
packed_list_clear(struct packed_list *l)
{
	size_t i;

	for (i = 0; i < l->n; i++)
		buf_free(&l->parts[i]);
	free(l->parts);
	memset(l, 0, sizeof(*l));
}

/* Many processes pull the same list; it is packed for all of them once. */
static const struct packed_list *
pack_list(struct peers *p)
{
	struct packed_list *l = &p->packed_list;
	struct list_texts t = { 0 };
	struct entry *e = p->e;
	size_t i;

	if (l->n != 0 && l->digest == e->dir.digest &&
	    e->now < l->packed_at + LIST_TEXT_NS)
		return l;
	packed_list_clear(l);
	list_texts_encode_whole(e->session, &t);
	l->parts = mem_alloc(t.n * sizeof(*l->parts));
	l->n = t.n;
	for (i = 0; i < t.n; i++)
		deflate_pack(&l->parts[i], t.texts[i], strlen(t.texts[i]));
	list_texts_free(&t);
	l->digest = e->dir.digest;
	l->packed_at = e->now;
	return l;
}

/* Whether a text fits in a message; one that does not is logged and counted. */
static int
fits_message(struct peers *p, const char *what, size_t len)
{
	if (len <= MSG_BYTES_MAX)
		return 1;
	p->e->counts.unsent_texts++;
	log_event(LOG_TEXT_UNSENT, NULL, "text=%s bytes=%zu", what, len);
	return 0;
}

static void
leave_unanswered(struct peers *p, const char *addr)
{
	p->e->counts.unanswered_pulls++;
	log_event(LOG_PULL_UNANSWERED, NULL, "peer=%s", addr);
}

/* Returns whether the request was for changes that are known. */
static int
answer_changes(struct peers *p, const struct msg *m)
{
	revision_t since = requested_since(&m->u.conf);
	struct list_texts texts = { 0 };
	size_t len;
	size_t i;

	if (since != 0 && since >= p->e->dir.revision)
		return 1;
	if (list_texts_encode_changes(p->e->session, since, &texts) == -1)
		return 0;
	/* After a part that is left out, the peer asks for the rest. */
	for (i = 0; i < texts.n; i++) {
		len = strlen(texts.texts[i]);
		if (!fits_message(p, "changes", len))
			break;
		if (!follow_answers_changes(&p->answers, p->e->now, len)) {
			leave_unanswered(p, m->from.addr);
			break;
		}
		send_text(p, m->from.addr, PUSH_LIST, texts.texts[i], len);
	}
	list_texts_free(&texts);
	return 1;
}

static void
send_list(struct peers *p, const char *addr)
{
	const struct packed_list *l = pack_list(p);
	size_t i;

	for (i = 0; i < l->n; i++)
		send_text(p, addr, PACKED_LIST, buf_data(&l->parts[i]),
		    buf_len(&l->parts[i]));
}

void
peers_answer_pull(struct peers *p, const struct msg *m)
{
	const struct entry *e = p->e;

	if (m->u.conf.nonce == PULL_LIST && answer_changes(p, m))
		return;
	if (m->u.conf.nonce != PULL_LIST) {
		pulls_add(&p->pulls, m->from.addr);
		peers_answer_waiting(p);
	} else if (follow_answers_pull(&p->answers, e->now, FOLLOW_LIST)) {
		send_list(p, m->from.addr);
	} else {
		leave_unanswered(p, m->from.addr);
	}
}

void
peers_answer_waiting(struct peers *p)
{
	const struct entry *e = p->e;
	char addr[ADDR_SIZE];

	while (pulls_next(&p->pulls, &p->answers, e->now, addr)) {
		if (e->conf_packed != NULL &&
		    fits_message(p, "configuration", e->conf_packed_len))
			send_text(p, addr, PACKED_CONFIG, e->conf_packed,
			    e->conf_packed_len);
	}
}

void
peers_apply_text(struct peers *p, const struct msg *m)
{
	const struct msg_conf *c = &m->u.conf;

	if (c->nonce == PACKED_CONFIG) {
		entry_receive_packed_config(
		    p->e, c->bytes, c->len, m->from.addr);
		return;
	}
	if (c->nonce == STREAM_RECORDS) {
		stream_io_apply_records(
		    p->e->stream_io, m->from.addr, c->bytes, c->len);
		return;
	}
	/* From a process of an earlier release. */
	if (c->nonce == PULL_CONFIG) {
		entry_receive_config(p->e, c->bytes, c->len, m->from.addr);
		return;
	}
	if (c->nonce == PACKED_LIST) {
		apply_packed_list(p, m);
		return;
	}
	apply_list(p, m->from.addr, c->bytes, c->len, c->nonce == PULL_LIST);
}

/* Changes of the list, or a part of the whole one. */
static void
apply_list(
    struct peers *p, const char *from, const char *text, size_t len, int whole)
{
	/* Further parts are on their way. */
	if (whole)
		p->pull_list_at = p->e->now + PULL_RETRY_NS;
	switch (session_apply_text(p->e->session, text, len, from)) {
	case TEXT_MISSES_CHANGES:
		pull_list(p, from, p->e->dir.revision);
		break;
	case TEXT_DIFFERS:
		p->e->counts.list_differs++;
		pull_list(p, from, 0);
		break;
	default:
		break;
	}
}

static void
apply_packed_list(struct peers *p, const struct msg *m)
{
	struct buf text = { 0 };

	if (deflate_unpack(&text, m->u.conf.bytes, m->u.conf.len,
		LIST_TEXT_MAX_BYTES) == -1)
		p->e->counts.bad_texts++;
	else
		apply_list(p, m->from.addr, buf_data(&text), buf_len(&text), 1);
	buf_free(&text);
}

static void
send_text(struct peers *p, const char *addr, uint64_t what, const char *text,
    size_t len)
{
	struct msg *m = compose_text(what, text, len);

	snprintf(m->to, sizeof(m->to), "%s", addr);
	bus_send(p->bus, m);
}

static struct msg *
compose_text(uint64_t what, const char *text, size_t len)
{
	struct msg *m = msg_create(MSG_CONF_CHUNK, "");

	m->u.conf.nonce = what;
	m->u.conf.bytes = mem_alloc(len + 1);
	memcpy(m->u.conf.bytes, text, len);
	m->u.conf.len = (uint32_t)len;
	return m;
}

/*
 * In a large fleet every hub sends to every relay, so that a hub that hears
 * nothing delays nobody.
 */
static void
push_text(struct peers *p, struct msg *m)
{
	struct msg *copy;
	struct peer *q;
	uint32_t rank = peers_hub_rank(p);

	if (peers_use_relays(p)) {
		if (rank < p->nhubs)
			peers_send_down(p, m);
		else if (peers_is_relay(p))
			peers_send_to_own_zone(p, m);
		else
			msg_destroy(m);
		return;
	}
	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (rank == p->nhubs || q->hub_rank != rank)
			continue;
		copy = msg_copy(m);
		snprintf(copy->to, sizeof(copy->to), "%s", q->hub.addr);
		bus_send(p->bus, copy);
	}
	msg_destroy(m);
}

int
peers_send_records(struct peers *p, const char *text, size_t len)
{
	if (p->nhubs == 0 || p->hubs[0] == &p->self)
		return -1;
	send_text(p, p->hubs[0]->addr, STREAM_RECORDS, text, len);
	return 0;
}

int
peers_relays_for(const struct peers *p, const char *addr)
{
	const struct peer *q;

	HASH_FIND_STR(p->peers, addr, q);
	return q != NULL && peers_is_relay(p) && peers_in_zone(p, q) &&
	    p->nhubs != 0 && p->hubs[0] != &p->self;
}

void
peers_push_changes(struct peers *p, const char *text, size_t len)
{
	if (fits_message(p, "changes", len))
		push_text(p, compose_text(PUSH_LIST, text, len));
}

/* Sends the configuration to a relay if hub, or to the own data centre. */
static void
push_to_peer(struct peers *p, struct peer *q)
{
	const struct entry *e = p->e;

	if (peers_is_relay(p) && peers_in_zone(p, q)) {
		if (!follow_is_to_push(&q->sent, e->now))
			return;
		follow_set_sent(&p->config, &q->sent, e->now);
	} else if (peers_hub_rank(p) == p->nhubs || q->relay.hub_since == 0) {
		return;
	}
	send_text(
	    p, q->hub.addr, PACKED_CONFIG, e->conf_packed, e->conf_packed_len);
}

void
peers_push_config(struct peers *p)
{
	struct entry *e = p->e;
	struct peer *q;

	follow_set_version(&p->config, e->now, e->conf->version);
	/* In a small fleet every process watches the configuration. */
	if (!peers_use_relays(p) ||
	    !fits_message(p, "configuration", e->conf_packed_len))
		return;
	for (q = p->peers; q != NULL; q = q->hh.next)
		push_to_peer(p, q);
}
