/*
 * The lists that a process keeps up to date: the configuration, the replicas
 * and its peers.  Each is read whole first.  The configuration is watched from
 * that revision on; so are the replicas, by the hubs, who pass changes on to
 * the others.  Peers come rarely and are heard anyway: their list is read
 * again now and then.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "hash.h"
#include "mem.h"
#include "peers.h"
#include "replica.h"
#include "session.h"
#include "session_int.h"

#define WATCH_WAIT_MSEC 10000
#define WATCH_TIMEOUT_S 12.0
#define READ_TIMEOUT_S 1.5
#define PAUSE_FIRST_S 0.05
#define PAUSE_MOST_S 0.8
#define PAUSE_OTHERS_S 2.4 /* for those who hear from the hubs */
#define PEERS_FIRST_S 0.3  /* between readings of the peers, then doubled */
#define PEERS_MOST_S 5.0
/* Without a watch, entries that hubs did not pass on are found after. */
#define BACKSTOP_S 2.0
/* Changes come in groups: each answer of a watch is one priced call. */
#define GROUP_S 0.05

static void list_read(struct list *);
static void list_watch(struct list *);
static void list_pause(struct list *);
static void on_page(void *, int, const char *, size_t);
static void on_events(void *, int, const char *, size_t);
static void on_retry(struct ev_loop *, ev_timer *, int);
static void list_put(struct list *, const struct store_item *);
static void list_next(struct list *);
static void list_rest(struct list *, double);
static void list_at(struct list *, int);
static int list_removed(const struct list *, const struct store_item *);
static void list_whole(struct list *);
static const char *models_text(const struct fleet_replica *, char *, size_t);
static void put_config(struct list *, const struct list_key *);
static void put_replica(struct list *, const struct list_key *);
static void put_peer(struct list *, const struct list_key *);
static void drop_replica(struct list *, const struct list_key *);
static void drop_peer(struct list *, const struct list_key *);

static const struct {
	const char *prefix;
	void (*put)(struct list *, const struct list_key *);
	void (*drop)(struct list *, const struct list_key *);
} list_kinds[LIST__MAX] = {
	[LIST_CONFIG] = { PLATFORM_CONFIG_PREFIX, put_config, NULL },
	[LIST_REPLICAS] = { PLATFORM_REPLICA_PREFIX, put_replica,
	    drop_replica },
	[LIST_PEERS] = { STORE_KEY_PREFIX PEERS_KEY_PREFIX, put_peer,
	    drop_peer },
};

void
lists_start(struct session *s)
{
	struct list *l;
	int i;

	for (i = 0; i < LIST__MAX; i++) {
		l = &s->lists[i];
		l->s = s;
		l->id = (enum list_id)i;
		l->prefix = list_kinds[i].prefix;
		l->pause_s = PAUSE_FIRST_S;
		l->rest_s = PEERS_FIRST_S;
		ev_timer_init(&l->retry, on_retry, 0.0, 0.0);
		l->retry.data = l;
		list_read(l);
	}
}

void
lists_stop(struct session *s)
{
	struct list_key *k, *next;
	int i;

	for (i = 0; i < LIST__MAX; i++) {
		ev_timer_stop(s->e->loop, &s->lists[i].retry);
		HASH_ITER (hh, s->lists[i].keys, k, next) {
			HASH_DEL(s->lists[i].keys, k);
			free(k->value);
			free(k);
		}
	}
}

static void
list_pause(struct list *l)
{
	double most;

	if (l->s->closing)
		return;
	ev_timer_set(&l->retry, l->pause_s, 0.0);
	ev_timer_start(l->s->e->loop, &l->retry);
	most = peers_follows(l->s->e->peers) ? PAUSE_MOST_S : PAUSE_OTHERS_S;
	l->pause_s = l->pause_s * 2.0 < most ? l->pause_s * 2.0 : most;
}

static void
on_retry(struct ev_loop *loop, ev_timer *w, int events)
{
	struct list *l = w->data;

	(void)loop;
	(void)events;
	entry_now(l->s->e);
	if (l->at != 0)
		list_next(l);
	else
		list_read(l);
}

/* Looks at the list again later, without a watch. */
static void
list_rest(struct list *l, double after_s)
{
	if (l->s->closing)
		return;
	l->at = 0;
	l->resting = 1;
	ev_timer_set(&l->retry, after_s, 0.0);
	ev_timer_start(l->s->e->loop, &l->retry);
}

/* The list is known: keeps it so. */
static void
list_next(struct list *l)
{
	if (l->id == LIST_PEERS) {
		list_rest(l, l->rest_s);
		l->rest_s *= 2.0;
		if (l->rest_s > PEERS_MOST_S)
			l->rest_s = PEERS_MOST_S;
	} else if (l->id == LIST_REPLICAS && !peers_follows(l->s->e->peers)) {
		list_rest(l, BACKSTOP_S);
	} else if (l->stale) {
		/* What changed since an old answer would be missed. */
		list_read(l);
	} else {
		list_watch(l);
	}
}

void
session_tick(struct session *s)
{
	struct list *l = &s->lists[LIST_REPLICAS];

	if (!l->resting || !peers_follows(s->e->peers))
		return;
	ev_timer_stop(s->e->loop, &l->retry);
	list_read(l);
}

static void
list_read(struct list *l)
{
	struct store_request sc;

	if (l->after[0] == '\0') {
		l->stale = l->resting &&
		    (l->id == LIST_PEERS || !peers_follows(l->s->e->peers));
		l->resting = 0;
	}
	store_range_request(l->prefix, l->after, l->stale, &sc);
	session_call(l->s, &sc, READ_TIMEOUT_S, on_page, l);
}

static void
list_watch(struct list *l)
{
	struct store_request sc;

	store_watch_request(l->prefix, l->at, WATCH_WAIT_MSEC, &sc);
	session_call(l->s, &sc, WATCH_TIMEOUT_S, on_events, l);
}

/* An old answer may name what has been removed since. */
static int
list_removed(const struct list *l, const struct store_item *item)
{
	const struct list_key *k;

	HASH_FIND_STR(l->keys, item->key, k);
	return l->id == LIST_REPLICAS && k == NULL &&
	    item->revision <= l->s->e->dir.at;
}

static void
on_page(void *ctx, int status, const char *body, size_t len)
{
	struct list *l = ctx;
	struct store_page page;
	struct err err;
	size_t i;

	if (status != 200 ||
	    store_range_response(body, len, &page, &err) == -1) {
		l->after[0] = '\0';
		l->begun_at = 0;
		if (l->stale)
			list_next(l);
		else
			list_pause(l);
		return;
	}
	if (l->begun_at == 0) {
		l->begun_at = page.revision;
		l->reading++;
	}
	for (i = 0; i < page.n; i++) {
		if (!l->stale || !list_removed(l, &page.items[i]))
			list_put(l, &page.items[i]);
		memcpy(l->after, page.items[i].key, sizeof(l->after));
	}
	if (page.has_more && page.n != 0) {
		store_page_clear(&page);
		list_read(l);
		return;
	}
	store_page_clear(&page);
	list_whole(l);
	list_next(l);
}

/* Notes the revision of the newest entry, as peers compare it. */
static void
list_at(struct list *l, int dropped)
{
	struct directory *d = &l->s->e->dir;
	const struct list_key *k;

	if (l->id != LIST_REPLICAS || l->stale)
		return;
	d->known = 1;
	if (dropped && l->at > d->at)
		d->at = l->at;
	/* Pages are no snapshot: entries beyond the first one's are partial. */
	for (k = l->keys; k != NULL; k = k->hh.next) {
		if (k->revision > d->at && k->revision <= l->at)
			d->at = k->revision;
	}
}

/*
 * The whole list was read: what it did not name is gone, unless the answer may
 * have been old.
 */
static void
list_whole(struct list *l)
{
	struct list_key *k, *next;
	int dropped = 0;

	HASH_ITER (hh, l->keys, k, next) {
		if (k->reading == l->reading || k->revision > l->begun_at ||
		    (l->stale && l->id == LIST_REPLICAS))
			continue;
		list_drop(l, k);
		dropped = 1;
	}
	l->at = l->begun_at;
	if (!l->stale)
		log_event(LOG_LIST_READ, NULL, "list=%s keys=%u at=%llu",
		    l->prefix, HASH_COUNT(l->keys), (unsigned long long)l->at);
	l->begun_at = 0;
	l->after[0] = '\0';
	l->pause_s = PAUSE_FIRST_S;
	list_at(l, dropped);
	l->s->e->pump = 1;
}

static void
on_events(void *ctx, int status, const char *body, size_t len)
{
	struct list *l = ctx;
	struct store_page page;
	struct err err;
	uint64_t from = l->s->e->dir.at;
	char *text;
	size_t page_items;
	size_t i;

	if (status != 200 ||
	    store_watch_response(body, len, &page, &err) == -1) {
		/*
		 * A watch taken up after a cut may wait on a history that the
		 * service has dropped, so the list is read whole again.
		 */
		log_event(LOG_WATCH_LOST, NULL, "list=%s status=%d at=%llu",
		    l->prefix, status, (unsigned long long)l->at);
		l->at = 0;
		list_pause(l);
		return;
	}
	l->stale = 0;
	for (i = 0; i < page.n; i++)
		list_item(l, &page.items[i]);
	if (page.revision > l->at)
		l->at = page.revision;
	if (l->id == LIST_REPLICAS && page.n != 0) {
		for (i = 0; i < page.n; i++) {
			if (page.items[i].revision > l->s->e->dir.at)
				l->s->e->dir.at = page.items[i].revision;
		}
		text = session_news_text(l->s, from, &page);
		peers_news(l->s->e->peers, text, strlen(text));
		free(text);
	}
	page_items = page.n;
	store_page_clear(&page);
	l->pause_s = PAUSE_FIRST_S;
	l->s->e->pump = 1;
	if (l->id != LIST_REPLICAS || page_items == 0) {
		list_next(l);
		return;
	}
	if (l->s->closing)
		return;
	ev_timer_set(&l->retry, GROUP_S, 0.0);
	ev_timer_start(l->s->e->loop, &l->retry);
}

void
list_item(struct list *l, const struct store_item *item)
{
	struct list_key *k;

	if (item->value != NULL) {
		list_put(l, item);
		return;
	}
	HASH_FIND_STR(l->keys, item->key, k);
	if (k != NULL && k->revision < item->revision)
		list_drop(l, k);
}

static void
list_put(struct list *l, const struct store_item *item)
{
	struct list_key *k;

	HASH_FIND_STR(l->keys, item->key, k);
	if (k == NULL) {
		k = mem_alloc(sizeof(*k));
		memcpy(k->key, item->key, sizeof(k->key));
		HASH_ADD_STR(l->keys, key, k);
	}
	k->reading = l->reading;
	if (k->value != NULL && item->revision <= k->revision)
		return;
	free(k->value);
	k->value = mem_alloc(item->len + 1);
	memcpy(k->value, item->value, item->len);
	k->len = item->len;
	if (l->id == LIST_REPLICAS)
		l->s->e->dir.digest ^= hash_version(k->key, k->revision) ^
		    hash_version(k->key, item->revision);
	k->revision = item->revision;
	list_kinds[l->id].put(l, k);
}

void
list_drop(struct list *l, struct list_key *k)
{
	if (list_kinds[l->id].drop != NULL)
		list_kinds[l->id].drop(l, k);
	if (l->id == LIST_REPLICAS)
		l->s->e->dir.digest ^=
		    hash_version(k->key, k->revision) ^ hash_version(k->key, 0);
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference): it holds k */
	HASH_DEL(l->keys, k);
	free(k->value);
	free(k);
}

static void
put_config(struct list *l, const struct list_key *k)
{
	if (strcmp(k->key, PLATFORM_CONFIG_KEY) == 0)
		entry_configure(l->s->e, k->value, k->len, "store");
}

/* Names of the models that a replica holds, as far as they fit. */
static const char *
models_text(const struct fleet_replica *r, char *out, size_t size)
{
	size_t len = 0;
	uint32_t i;

	out[0] = '\0';
	for (i = 0; i < r->nresident && len + NAME_SIZE < size; i++)
		len += (size_t)snprintf(out + len, size - len, "%s%s",
		    i == 0 ? "" : ",", r->resident[i]);
	return out;
}

static void
put_replica(struct list *l, const struct list_key *k)
{
	const char *id = k->key + strlen(PLATFORM_REPLICA_PREFIX);
	struct fleet_replica r;
	struct entry *e = l->s->e;
	struct log_subject about = { 0 };
	struct err err;
	char models[160];

	about.backend = id;
	if (platform_replica_decode(id, k->value, k->len, &r, &err) == -1) {
		log_event(LOG_REPLICA_BAD, &about, "%s", err.text);
		drop_replica(l, k);
		return;
	}
	directory_put(&e->dir, &r);
	log_event(r.state == REPLICA_LEAVING ? LOG_REPLICA_LEAVING
					     : LOG_REPLICA_LISTED,
	    &about, "revision=%llu service=%s addr=%s models=%s left_ms=%llu",
	    (unsigned long long)k->revision, r.service, r.addr,
	    models_text(&r, models, sizeof(models)),
	    (unsigned long long)(r.leave_ns / NSEC_PER_MSEC));
}

static void
drop_replica(struct list *l, const struct list_key *k)
{
	const char *id = k->key + strlen(PLATFORM_REPLICA_PREFIX);
	struct log_subject about = { 0 };

	about.backend = id;
	log_event(LOG_REPLICA_GONE, &about, "revision=%llu service_up=%d",
	    (unsigned long long)k->revision, l->s->up);
	directory_remove(&l->s->e->dir, l->s->e->now, id);
}

static void
put_peer(struct list *l, const struct list_key *k)
{
	peers_listed(l->s->e->peers,
	    k->key + strlen(STORE_KEY_PREFIX PEERS_KEY_PREFIX), k->value);
}

static void
drop_peer(struct list *l, const struct list_key *k)
{
	peers_unlisted(
	    l->s->e->peers, k->key + strlen(STORE_KEY_PREFIX PEERS_KEY_PREFIX));
}
