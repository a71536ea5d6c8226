/*
 * JSON encoding of the list of replicas for peers: the whole list, or the
 * changes since a revision.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "follow.h"
#include "mem.h"
#include "peers.h"
#include "session.h"
#include "session_int.h"

static json_t *pack_item(const char *, const char *, size_t, uint64_t);
static char *pack_list(
    const struct session *, uint64_t, int, uint64_t, json_t *);
static void apply_item(struct list *, const json_t *);
static void remove_unlisted(struct list *, uint64_t);

static json_t *
pack_item(const char *key, const char *value, size_t len, uint64_t revision)
{
	if (value == NULL)
		return json_pack(
		    "{s:s,s:I}", "key", key, "revision", (json_int_t)revision);
	return json_pack("{s:s,s:s%,s:I}", "key", key, "value", value, len,
	    "revision", (json_int_t)revision);
}

static char *
pack_list(const struct session *s, uint64_t from, int whole, uint64_t grace_ns,
    json_t *items)
{
	const struct directory *d = &s->e->dir;
	json_t *doc;
	char *text;

	doc = json_pack("{s:I,s:I,s:b,s:I,s:o}", "from", (json_int_t)from, "at",
	    (json_int_t)d->revision, "whole", whole, "lapse_ns",
	    (json_int_t)grace_ns, "items", items);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

char *
session_list_text(const struct session *s)
{
	const struct list_key *k;
	json_t *items = json_array();

	for (k = s->lists[LIST_REPLICAS].keys; k != NULL; k = k->hh.next)
		json_array_append_new(
		    items, pack_item(k->key, k->value, k->len, k->revision));
	return pack_list(s, 0, 1,
	    directory_removal_grace_left(&s->e->dir, s->e->now), items);
}

char *
session_changes_text(const struct session *s, uint64_t since)
{
	const struct removal *r;
	const struct list_key *k;
	json_t *items;
	uint32_t i;

	if (!removals_known_since(&s->removals, since) ||
	    since >= s->e->dir.revision)
		return NULL;
	items = json_array();
	for (k = s->lists[LIST_REPLICAS].keys; k != NULL; k = k->hh.next) {
		if (k->revision > since)
			json_array_append_new(items,
			    pack_item(k->key, k->value, k->len, k->revision));
	}
	for (i = 0; i < REMOVALS_MAX; i++) {
		r = removals_get(&s->removals, i, since);
		if (r != NULL)
			json_array_append_new(
			    items, pack_item(r->key, NULL, 0, r->revision));
	}
	return pack_list(s, since, 0,
	    directory_removal_grace_left(&s->e->dir, s->e->now), items);
}

void
list_add_change(struct list *l, const char *key, uint64_t revision)
{
	struct list_change *c;

	if (l->id != LIST_REPLICAS)
		return;
	if (l->nchanges == 0)
		l->changed_from = l->s->e->dir.revision;
	if (l->nchanges == l->changes_size) {
		l->changes_size = l->changes_size * 2 + 16;
		l->changes =
		    mem_grow(l->changes, l->changes_size, sizeof(*l->changes));
	}
	c = &l->changes[l->nchanges++];
	snprintf(c->key, sizeof(c->key), "%s", key);
	c->revision = revision;
}

void
session_push_changes(struct session *s, uint64_t grace_ns)
{
	struct list *l = &s->lists[LIST_REPLICAS];
	const struct list_key *k;
	json_t *items;
	char *text;
	uint32_t i;

	if (l->nchanges == 0)
		return;
	items = json_array();
	for (i = 0; i < l->nchanges; i++) {
		HASH_FIND_STR(l->keys, l->changes[i].key, k);
		json_array_append_new(items,
		    k == NULL
			? pack_item(l->changes[i].key, NULL, 0,
			      l->changes[i].revision)
			: pack_item(k->key, k->value, k->len, k->revision));
	}
	text = pack_list(s, l->changed_from, 0, grace_ns, items);
	peers_push_changes(s->e->peers, text, strlen(text));
	free(text);
	l->nchanges = 0;
}

static void
apply_item(struct list *l, const json_t *doc)
{
	const json_t *value = json_object_get(doc, "value");
	const char *key = json_string_value(json_object_get(doc, "key"));
	struct store_item item;

	if (key == NULL)
		return;
	memset(&item, 0, sizeof(item));
	snprintf(item.key, sizeof(item.key), "%s", key);
	item.revision =
	    (uint64_t)json_integer_value(json_object_get(doc, "revision"));
	item.value = (char *)json_string_value(value);
	item.len = json_string_length(value);
	list_apply_item(l, &item);
}

/* Removes keys that a peer's whole list, at the revision, did not contain. */
static void
remove_unlisted(struct list *l, uint64_t at)
{
	struct list_key *k, *next;

	HASH_ITER (hh, l->keys, k, next) {
		if (k->generation != l->generation && k->revision <= at)
			list_remove_key(l, k, at, l->grace_ns);
	}
}

void
list_set_source(struct session *s, const char *source)
{
	s->e->list_at = s->e->now;
	snprintf(s->e->list_source, sizeof(s->e->list_source), "%s", source);
}

int
list_is_removed(
    const struct list *l, const struct store_item *item, uint64_t told_at)
{
	const struct directory *d = &l->s->e->dir;
	const struct follow_list mine = { d->revision, d->digest };
	const struct list_key *k;

	if (l->id != LIST_REPLICAS || item->value == NULL)
		return 0;
	HASH_FIND_STR(l->keys, item->key, k);
	return k == NULL &&
	    follow_list_is_removed(
		&mine, item->revision, l->stale_read ? 0 : told_at);
}

int
session_apply_text(
    struct session *s, const char *text, size_t len, const char *source)
{
	struct list *l = &s->lists[LIST_REPLICAS];
	struct entry *e = s->e;
	const json_t *item;
	json_t *doc;
	uint64_t at;
	uint64_t grace_ns;
	size_t i;
	int whole;
	int busy;

	doc = json_loadb(text, len, 0, NULL);
	at = (uint64_t)json_integer_value(json_object_get(doc, "at"));
	whole = json_is_true(json_object_get(doc, "whole"));
	/*
	 * During a local read, keys that the text lacks cannot be told from
	 * those that have not been read yet.
	 */
	busy = whole &&
	    (l->read_revision != 0 ||
		(at == e->dir.revision && peers_is_active_hub(e->peers)));
	if (at < e->dir.revision || (at == e->dir.revision && !whole) || busy) {
		json_decref(doc);
		return 0;
	}
	if (!whole &&
	    (uint64_t)json_integer_value(json_object_get(doc, "from")) >
		e->dir.revision) {
		json_decref(doc);
		return -1;
	}
	/*
	 * Whether removed entries may come back is known to the process that
	 * learned it from the store; this one may have been turned away.
	 */
	grace_ns =
	    (uint64_t)json_integer_value(json_object_get(doc, "lapse_ns"));
	directory_extend_removal_grace(&e->dir, e->now, grace_ns);
	l->grace_ns = grace_ns;
	l->generation += (uint32_t)whole;
	json_array_foreach (json_object_get(doc, "items"), i, item)
		apply_item(l, item);
	if (whole)
		remove_unlisted(l, at);
	json_decref(doc);
	e->dir.synced = 1;
	e->dir.revision = at;
	removals_start(&s->removals, at);
	list_set_source(s, source);
	session_push_changes(s, grace_ns);
	e->retry_waiting = 1;
	return 0;
}
