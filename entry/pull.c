/*
 * Replication of the configuration and the list of replicas between the entry
 * processes: hubs push changes, and a process that is behind pulls the whole
 * text from a peer.
 */
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "peers_int.h"
#include "session.h"

#define PULL_RETRY_NS (300 * NSEC_PER_MSEC)
/*
 * Limit on texts, of about 40 KB each, sent in response to pulls.  It is what
 * the slowest links (10 Mbit/s) carry, so that texts do not pile up in memory.
 */
#define ANSWERS_WINDOW_NS (100 * NSEC_PER_MSEC)
#define ANSWERS_MAX 3
#define PULL_CONFIG 0 /* msg_conf.nonce: which text */
#define PULL_LIST 1
#define PUSH_LIST 2 /* changes of the list of replicas */
/* Hubs normally push a change within this time; later it is pulled. */
#define PUSH_DELAY_NS (150 * NSEC_PER_MSEC)

static int is_behind(
    struct peers *, const struct peer *, const struct msg_front *);
static void send_pull(struct peers *, const char *, uint64_t, uint64_t *);

/*
 * Whether the local list has stayed behind a peer's for longer than a push
 * takes.  A process that is not a hub is also behind if its list differs from
 * a hub's at the same revision.
 */
static int
is_behind(struct peers *p, const struct peer *q, const struct msg_front *f)
{
	const struct directory *d = &p->e->dir;
	int differs = f->list_revision == d->revision &&
	    f->list_digest != d->digest && p->self.hub_since == 0 &&
	    q->hub.hub_since != 0;

	if (f->list_revision <= d->revision && !differs) {
		if (p->newer_revision == f->list_revision)
			p->newer_revision = 0;
		return 0;
	}
	if (p->newer_revision == 0 ||
	    (p->newer_revision <= d->revision && !differs)) {
		p->newer_revision = f->list_revision;
		p->newer_since = p->e->now;
	}
	return p->e->now >= p->newer_since + PUSH_DELAY_NS;
}

static void
send_pull(struct peers *p, const char *addr, uint64_t what, uint64_t *at)
{
	struct msg *m;

	if (p->e->now < *at)
		return;
	*at = p->e->now + PULL_RETRY_NS;
	m = msg_create(MSG_CONF_PULL, addr);
	m->u.conf.nonce = what;
	bus_send(p->bus, m);
}

void
peers_compare_versions(
    struct peers *p, const struct peer *q, const struct msg_front *f)
{
	const struct fleet_conf *conf = p->e->conf;

	if (conf == NULL || f->version > conf->version)
		send_pull(p, q->hub.addr, PULL_CONFIG, &p->pull_config_at);
	if (is_behind(p, q, f))
		send_pull(p, q->hub.addr, PULL_LIST, &p->pull_list_at);
}

void
peers_answer_pull(struct peers *p, const struct msg *m)
{
	struct entry *e = p->e;
	struct msg *reply;
	char *text = NULL;
	size_t len = 0;

	/* Above the limit, pulls are dropped; the peer repeats them. */
	if (e->now >= p->answers_since + ANSWERS_WINDOW_NS) {
		p->answers_since = e->now;
		p->answers = 0;
	}
	if (p->answers++ >= ANSWERS_MAX)
		return;
	if (m->u.conf.nonce == PULL_LIST) {
		text = session_list_text(e->session);
		len = strlen(text);
	} else if (e->conf_text != NULL) {
		len = e->conf_len;
		text = mem_alloc(len + 1);
		memcpy(text, e->conf_text, len);
	}
	if (text == NULL || len > MSG_BYTES_MAX) {
		free(text);
		return;
	}
	reply = msg_create(MSG_CONF_CHUNK, m->from.addr);
	reply->u.conf.nonce = m->u.conf.nonce;
	reply->u.conf.bytes = text;
	reply->u.conf.len = (uint32_t)len;
	bus_send(p->bus, reply);
}

void
peers_apply_text(struct peers *p, const struct msg *m)
{
	const struct msg_conf *c = &m->u.conf;

	if (c->nonce == PULL_CONFIG)
		entry_apply_config(p->e, c->bytes, c->len, m->from.addr);
	else if (session_apply_text(p->e->session, c->bytes, c->len) == -1)
		send_pull(p, m->from.addr, PULL_LIST, &p->pull_list_at);
}

void
peers_push_changes(struct peers *p, const char *text, size_t len)
{
	struct peer *q;
	struct msg *m;
	uint32_t rank = peers_hub_rank(p);

	if (rank == p->nhubs || len > MSG_BYTES_MAX)
		return;
	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (q->relay_rank != rank)
			continue;
		m = msg_create(MSG_CONF_CHUNK, q->hub.addr);
		m->u.conf.nonce = PUSH_LIST;
		m->u.conf.bytes = mem_alloc(len + 1);
		memcpy(m->u.conf.bytes, text, len);
		m->u.conf.len = (uint32_t)len;
		bus_send(p->bus, m);
	}
}
