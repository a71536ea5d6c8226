/*
 * The lists that a process keeps up to date: the configuration, the replicas
 * and its peers.  Each is read whole, then watched from that revision on.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
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

static void list_read(struct list *);
static void list_watch(struct list *);
static void list_pause(struct list *);
static void on_page(void *, int, const char *, size_t);
static void on_events(void *, int, const char *, size_t);
static void on_retry(struct ev_loop *, ev_timer *, int);
static void list_put(struct list *, const struct store_item *);
static void list_drop(struct list *, struct list_key *);
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
	[LIST_PEERS] = { STORE_OWN_PREFIX PEERS_KEY_PREFIX, put_peer,
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
	if (l->s->closing)
		return;
	ev_timer_set(&l->retry, l->pause_s, 0.0);
	ev_timer_start(l->s->e->loop, &l->retry);
	l->pause_s *= 2.0;
	if (l->pause_s > PAUSE_MOST_S)
		l->pause_s = PAUSE_MOST_S;
}

static void
on_retry(struct ev_loop *loop, ev_timer *w, int events)
{
	struct list *l = w->data;

	(void)loop;
	(void)events;
	entry_now(l->s->e);
	if (l->at != 0)
		list_watch(l);
	else
		list_read(l);
}

static void
list_read(struct list *l)
{
	struct store_call sc;

	store_range_call(l->prefix, l->after, &sc);
	session_call(l->s, &sc, READ_TIMEOUT_S, on_page, l);
}

static void
list_watch(struct list *l)
{
	struct store_call sc;

	store_watch_call(l->prefix, l->at, WATCH_WAIT_MSEC, &sc);
	session_call(l->s, &sc, WATCH_TIMEOUT_S, on_events, l);
}

static void
on_page(void *ctx, int status, const char *body, size_t len)
{
	struct list *l = ctx;
	struct store_page page;
	struct err err;
	size_t i;

	if (status != 200 || store_range_answer(body, len, &page, &err) == -1) {
		l->after[0] = '\0';
		l->begun_at = 0;
		list_pause(l);
		return;
	}
	if (l->begun_at == 0) {
		l->begun_at = page.at;
		l->reading++;
	}
	for (i = 0; i < page.n; i++) {
		list_put(l, &page.items[i]);
		memcpy(l->after, page.items[i].key, sizeof(l->after));
	}
	if (page.more && page.n != 0) {
		store_page_clear(&page);
		list_read(l);
		return;
	}
	store_page_clear(&page);
	list_whole(l);
	list_watch(l);
}

/* The whole list was read: what it did not name is gone. */
static void
list_whole(struct list *l)
{
	struct list_key *k, *next;

	HASH_ITER (hh, l->keys, k, next) {
		if (k->reading != l->reading && k->revision <= l->begun_at)
			list_drop(l, k);
	}
	l->at = l->begun_at;
	log_event(LOG_LIST_READ, NULL, "list=%s keys=%u at=%llu", l->prefix,
	    HASH_COUNT(l->keys), (unsigned long long)l->at);
	l->begun_at = 0;
	l->after[0] = '\0';
	l->pause_s = PAUSE_FIRST_S;
	if (l->id == LIST_REPLICAS) {
		l->s->e->dir.known = 1;
		l->s->e->dir.at = l->at;
	}
	l->s->e->pump = 1;
}

static void
on_events(void *ctx, int status, const char *body, size_t len)
{
	struct list *l = ctx;
	struct list_key *k;
	struct store_page page;
	struct err err;
	size_t i;

	if (status != 200 || store_watch_answer(body, len, &page, &err) == -1) {
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
	for (i = 0; i < page.n; i++) {
		if (page.items[i].value != NULL) {
			list_put(l, &page.items[i]);
			continue;
		}
		HASH_FIND_STR(l->keys, page.items[i].key, k);
		if (k != NULL && k->revision < page.items[i].revision)
			list_drop(l, k);
	}
	if (page.at > l->at)
		l->at = page.at;
	if (l->id == LIST_REPLICAS)
		l->s->e->dir.at = l->at;
	store_page_clear(&page);
	l->pause_s = PAUSE_FIRST_S;
	l->s->e->pump = 1;
	list_watch(l);
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
	k->revision = item->revision;
	list_kinds[l->id].put(l, k);
}

static void
list_drop(struct list *l, struct list_key *k)
{
	if (list_kinds[l->id].drop != NULL)
		list_kinds[l->id].drop(l, k);
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
	struct log_about about = { 0 };
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
	struct log_about about = { 0 };

	about.backend = id;
	log_event(LOG_REPLICA_GONE, &about, "revision=%llu service_up=%d",
	    (unsigned long long)k->revision, l->s->up);
	directory_remove(&l->s->e->dir, l->s->e->now, id);
}

static void
put_peer(struct list *l, const struct list_key *k)
{
	peers_listed(l->s->e->peers,
	    k->key + strlen(STORE_OWN_PREFIX PEERS_KEY_PREFIX), k->value);
}

static void
drop_peer(struct list *l, const struct list_key *k)
{
	peers_unlisted(
	    l->s->e->peers, k->key + strlen(STORE_OWN_PREFIX PEERS_KEY_PREFIX));
}

char *
session_list_text(const struct session *s, size_t *len)
{
	const struct list_key *k;
	json_t *doc = json_object();
	char *text;

	for (k = s->lists[LIST_REPLICAS].keys; k != NULL; k = k->hh.next)
		json_object_set_new(doc, k->key,
		    json_pack("{s:s%,s:I}", "value", k->value, k->len,
			"revision", (json_int_t)k->revision));
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	*len = text == NULL ? 0 : strlen(text);
	return text;
}

void
session_list_take(struct session *s, uint64_t at, const char *text, size_t len)
{
	struct list *l = &s->lists[LIST_REPLICAS];
	struct list_key *k, *next;
	struct store_item item;
	const char *key;
	json_t *value;
	json_t *doc;

	if (at <= l->s->e->dir.at || l->begun_at != 0)
		return;
	doc = json_loadb(text, len, 0, NULL);
	l->reading++;
	json_object_foreach (doc, key, value) {
		memset(&item, 0, sizeof(item));
		snprintf(item.key, sizeof(item.key), "%s", key);
		item.value =
		    (char *)json_string_value(json_object_get(value, "value"));
		item.len = item.value == NULL ? 0 : strlen(item.value);
		item.revision = (uint64_t)json_integer_value(
		    json_object_get(value, "revision"));
		if (item.value != NULL)
			list_put(l, &item);
	}
	HASH_ITER (hh, l->keys, k, next) {
		if (doc != NULL && k->reading != l->reading &&
		    k->revision <= at)
			list_drop(l, k);
	}
	json_decref(doc);
	s->e->dir.known = 1;
	s->e->dir.at = at;
	s->e->pump = 1;
}
