/*
 * The list of replicas between processes: whole, or what changed since a
 * revision.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "peers.h"
#include "session.h"
#include "session_int.h"

static json_t *item_pack(const char *, const char *, size_t, uint64_t);
static char *news_pack(const struct session *, uint64_t, int, json_t *);
static void item_take(struct list *, const json_t *);
static void drop_unnamed(struct list *, uint64_t);

static json_t *
item_pack(const char *key, const char *value, size_t len, uint64_t revision)
{
	if (value == NULL)
		return json_pack(
		    "{s:s,s:I}", "key", key, "revision", (json_int_t)revision);
	return json_pack("{s:s,s:s%,s:I}", "key", key, "value", value, len,
	    "revision", (json_int_t)revision);
}

static char *
news_pack(const struct session *s, uint64_t from, int whole, json_t *items)
{
	const struct directory *d = &s->e->dir;
	json_t *doc;
	char *text;

	doc = json_pack("{s:I,s:I,s:b,s:I,s:o}", "from", (json_int_t)from, "at",
	    (json_int_t)d->revision, "whole", whole, "lapse_ns",
	    (json_int_t)directory_removal_grace_left(d, s->e->now), "items",
	    items);
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
		    items, item_pack(k->key, k->value, k->len, k->revision));
	return news_pack(s, 0, 1, items);
}

char *
session_news_text(
    const struct session *s, uint64_t from, const struct store_page *page)
{
	const struct store_item *i;
	json_t *items = json_array();
	size_t n;

	for (n = 0; n < page->n; n++) {
		i = &page->items[n];
		json_array_append_new(
		    items, item_pack(i->key, i->value, i->len, i->revision));
	}
	return news_pack(s, from, 0, items);
}

static void
item_take(struct list *l, const json_t *doc)
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
	list_item(l, &item);
}

static void
drop_unnamed(struct list *l, uint64_t at)
{
	struct list_key *k, *next;

	HASH_ITER (hh, l->keys, k, next) {
		if (k->reading != l->reading && k->revision <= at)
			list_drop(l, k);
	}
}

int
session_news_take(struct session *s, const char *text, size_t len)
{
	struct list *l = &s->lists[LIST_REPLICAS];
	struct entry *e = s->e;
	const json_t *item;
	json_t *doc;
	uint64_t at;
	size_t i;
	int whole;
	int busy;

	doc = json_loadb(text, len, 0, NULL);
	at = (uint64_t)json_integer_value(json_object_get(doc, "at"));
	whole = json_is_true(json_object_get(doc, "whole"));
	/* What is unnamed is not known while the list is being read here. */
	busy = whole &&
	    (l->begun_at != 0 ||
		(at == e->dir.revision && peers_follows(e->peers)));
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
	directory_extend_removal_grace(&e->dir, e->now,
	    (uint64_t)json_integer_value(json_object_get(doc, "lapse_ns")));
	l->reading += (uint32_t)whole;
	json_array_foreach (json_object_get(doc, "items"), i, item)
		item_take(l, item);
	if (whole)
		drop_unnamed(l, at);
	json_decref(doc);
	e->dir.synced = 1;
	e->dir.revision = at;
	e->pump = 1;
	return 0;
}
