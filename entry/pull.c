/*
 * The configuration and the list of replicas between the entry processes: hubs
 * pass changes on, and who misses something asks a peer for the whole text.
 */
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "peers_int.h"
#include "session.h"

#define PULL_AGAIN_NS (300 * NSEC_PER_MSEC)
/*
 * Texts of some 40 KB sent to peers that ask: what the smallest links (10
 * Mbit/s) carry, so that they do not pile up in memory.
 */
#define ANSWERS_NS (100 * NSEC_PER_MSEC)
#define ANSWERS_MOST 3
#define PULL_CONFIG 0 /* msg_conf.nonce: what is asked for */
#define PULL_LIST 1
#define PUSH_LIST 2 /* changes of the list of replicas */
/* A hub passes changes on within this time. */
#define BEHIND_NS (150 * NSEC_PER_MSEC)

static int is_behind(
    struct peers *, const struct peer *, const struct msg_front *);
static void pull(struct peers *, const char *, uint64_t, uint64_t *);

/*
 * Whether changes of the list that a peer has do not come by themselves.  A
 * process that does not follow the list holds what a hub holds at the same
 * revision.
 */
static int
is_behind(struct peers *p, const struct peer *q, const struct msg_front *f)
{
	const struct directory *d = &p->e->dir;
	int unlike = f->listed == d->revision && f->digest != d->digest &&
	    p->self.since == 0 && q->hub.since != 0;

	if (f->listed <= d->revision && !unlike) {
		if (p->behind == f->listed)
			p->behind = 0;
		return 0;
	}
	if (p->behind == 0 || (p->behind <= d->revision && !unlike)) {
		p->behind = f->listed;
		p->behind_at = p->e->now;
	}
	return p->e->now >= p->behind_at + BEHIND_NS;
}

static void
pull(struct peers *p, const char *addr, uint64_t what, uint64_t *at)
{
	struct msg *m;

	if (p->e->now < *at)
		return;
	*at = p->e->now + PULL_AGAIN_NS;
	m = msg_create(MSG_CONF_PULL, addr);
	m->u.conf.nonce = what;
	bus_send(p->bus, m);
}

void
peers_compare(struct peers *p, const struct peer *q, const struct msg_front *f)
{
	const struct fleet_conf *conf = p->e->conf;

	if (conf == NULL || f->version > conf->version)
		pull(p, q->hub.addr, PULL_CONFIG, &p->pull_config_at);
	if (is_behind(p, q, f))
		pull(p, q->hub.addr, PULL_LIST, &p->pull_list_at);
}

void
peers_answer(struct peers *p, const struct msg *m)
{
	struct entry *e = p->e;
	struct msg *reply;
	char *text = NULL;
	size_t len = 0;

	/* Whoever gets no answer asks again. */
	if (e->now >= p->answers_from + ANSWERS_NS) {
		p->answers_from = e->now;
		p->answers = 0;
	}
	if (p->answers++ >= ANSWERS_MOST)
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
peers_take_text(struct peers *p, const struct msg *m)
{
	const struct msg_conf *c = &m->u.conf;

	if (c->nonce == PULL_CONFIG)
		entry_configure(p->e, c->bytes, c->len, m->from.addr);
	else if (session_news_take(p->e->session, c->bytes, c->len) == -1)
		pull(p, m->from.addr, PULL_LIST, &p->pull_list_at);
}

void
peers_news(struct peers *p, const char *text, size_t len)
{
	struct peer *q;
	struct msg *m;
	uint32_t rank = peers_own_rank(p);

	if (rank == p->nhubs || len > MSG_BYTES_MAX)
		return;
	for (q = p->peers; q != NULL; q = q->hh.next) {
		if (q->share != rank)
			continue;
		m = msg_create(MSG_CONF_CHUNK, q->hub.addr);
		m->u.conf.nonce = PUSH_LIST;
		m->u.conf.bytes = mem_alloc(len + 1);
		memcpy(m->u.conf.bytes, text, len);
		m->u.conf.len = (uint32_t)len;
		bus_send(p->bus, m);
	}
}
