#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "list_text.h"
#include "mem.h"
#include "session_int.h"

/* Of a part, by the estimate below; a message holds much more. */
#define PART_BYTES 65536
/* Of one item, beside its key and value. */
#define ITEM_BYTES 64
/* Of a byte of a key or value that is escaped. */
#define KEY_BYTE_MAX 6
#define VALUE_BYTE_MAX 2

/* An entry, or the removal of one (value NULL). */
struct text_item {
	const char *key;
	const char *value;
	size_t len;
	revision_t revision;
};

struct text_items {
	size_t n;
	size_t size; /* allocated */
	struct text_item *items;
};

/* What the texts of one list have in common. */
struct text_head {
	revision_t at;	 /* revision that the last part leads to */
	uint64_t digest; /* of the list at that revision */
	uint64_t grace_ns;
};

static void items_add(
    struct text_items *, const struct list_key *, const char *, revision_t);
static int compare_keys(const void *, const void *);
static int compare_revisions(const void *, const void *);
static size_t item_bytes(const struct text_item *);
static json_t *pack_item(const struct text_item *);
static json_t *pack_items(const struct text_item *, size_t);
static void texts_add(struct list_texts *, json_t *);
static json_t *pack_head(revision_t, revision_t, int, const struct text_head *);
static void set_digest(json_t *, const struct text_head *);
static void encode_ranges(
    const struct text_head *, const struct text_items *, struct list_texts *);
static size_t changes_of_part(
    const struct text_items *, size_t, revision_t, const struct text_head *);
static void encode_steps(const struct text_head *, revision_t,
    const struct text_items *, struct list_texts *);

static void
items_add(struct text_items *a, const struct list_key *k, const char *key,
    revision_t revision)
{
	struct text_item *i;

	if (a->n == a->size) {
		a->size = a->size * 2 + 16;
		a->items = mem_grow(a->items, a->size, sizeof(*a->items));
	}
	i = &a->items[a->n++];
	i->key = key;
	i->value = k == NULL ? NULL : k->value;
	i->len = k == NULL ? 0 : k->len;
	i->revision = revision;
}

static int
compare_keys(const void *a, const void *b)
{
	const struct text_item *x = a;
	const struct text_item *y = b;

	return strcmp(x->key, y->key);
}

static int
compare_revisions(const void *a, const void *b)
{
	const struct text_item *x = a;
	const struct text_item *y = b;

	return x->revision < y->revision ? -1 : x->revision > y->revision;
}

/* At most; exact sizes do not matter. */
static size_t
item_bytes(const struct text_item *i)
{
	return strlen(i->key) * KEY_BYTE_MAX + i->len * VALUE_BYTE_MAX +
	    ITEM_BYTES;
}

static json_t *
pack_item(const struct text_item *i)
{
	json_t *doc = i->value == NULL
	    ? json_pack("{s:s}", "key", i->key)
	    : json_pack("{s:s,s:s%}", "key", i->key, "value", i->value, i->len);

	revision_pack(doc, "revision", i->revision);
	return doc;
}

static json_t *
pack_items(const struct text_item *items, size_t n)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(list, pack_item(&items[i]));
	return list;
}

/* Takes the document. */
static void
texts_add(struct list_texts *t, json_t *doc)
{
	t->texts = mem_grow(t->texts, t->n + 1, sizeof(*t->texts));
	t->texts[t->n++] = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
}

/* The last part tells what the list then is. */
static void
set_digest(json_t *doc, const struct text_head *h)
{
	json_object_set_new(doc, "digest", json_integer((json_int_t)h->digest));
}

/* What all texts begin with: changes since a revision, or the whole list. */
static json_t *
pack_head(revision_t from, revision_t at, int whole, const struct text_head *h)
{
	json_t *doc = json_object();

	revision_pack(doc, "from", from);
	revision_pack(doc, "at", at);
	json_object_set_new(doc, "whole", json_boolean(whole));
	json_object_set_new(
	    doc, "lapse_ns", json_integer((json_int_t)h->grace_ns));
	return doc;
}

/* Encodes a whole list, sorted by key, in ranges of keys. */
static void
encode_ranges(const struct text_head *h, const struct text_items *a,
    struct list_texts *out)
{
	const char *after = "";
	json_t *doc;
	size_t from = 0;
	size_t bytes;
	size_t i;

	do {
		bytes = 0;
		for (i = from; i < a->n && (i == from || bytes < PART_BYTES);
		     i++)
			bytes += item_bytes(&a->items[i]);
		doc = pack_head(0, h->at, 1, h);
		json_object_set_new(doc, "after", json_string(after));
		json_object_set_new(
		    doc, "items", pack_items(a->items + from, i - from));
		/* The last part has no upper end. */
		if (i < a->n) {
			after = a->items[i - 1].key;
			json_object_set_new(doc, "until", json_string(after));
		} else {
			set_digest(doc, h);
		}
		texts_add(out, doc);
		from = i;
	} while (from < a->n);
}

/*
 * Number of items of a part that begins at an item, with the list at a
 * revision.  A part leads to a later revision, of which no item is left out.
 */
static size_t
changes_of_part(const struct text_items *a, size_t from, revision_t revision,
    const struct text_head *h)
{
	size_t bytes = 0;
	size_t i;

	for (i = from; i < a->n; i++) {
		if (bytes >= PART_BYTES &&
		    a->items[i - 1].revision > revision &&
		    a->items[i - 1].revision < h->at &&
		    a->items[i].revision > a->items[i - 1].revision)
			break;
		bytes += item_bytes(&a->items[i]);
	}
	return i - from;
}

/* Encodes changes after a revision, sorted by theirs, in steps of revisions. */
static void
encode_steps(const struct text_head *h, revision_t revision,
    const struct text_items *a, struct list_texts *out)
{
	size_t from = 0;
	json_t *doc;
	revision_t at;
	size_t n;

	do {
		n = changes_of_part(a, from, revision, h);
		at = from + n == a->n ? h->at : a->items[from + n - 1].revision;
		doc = pack_head(revision, at, 0, h);
		json_object_set_new(
		    doc, "items", pack_items(a->items + from, n));
		revision = at;
		from += n;
		if (from == a->n)
			set_digest(doc, h);
		texts_add(out, doc);
	} while (from < a->n);
}

void
list_texts_encode_whole(const struct session *s, struct list_texts *out)
{
	const struct list_key *k;
	struct text_items a = { 0 };
	struct text_head h;

	h.at = s->e->dir.revision;
	h.digest = s->e->dir.digest;
	h.grace_ns = directory_removal_grace_left(&s->e->dir, s->e->now);
	for (k = s->lists[LIST_REPLICAS].keys; k != NULL; k = k->hh.next) {
		if (k->value != NULL)
			items_add(&a, k, k->key, k->revision);
	}
	if (a.n != 0)
		qsort(a.items, a.n, sizeof(*a.items), compare_keys);
	encode_ranges(&h, &a, out);
	free(a.items);
}

int
list_texts_encode_changes(
    const struct session *s, revision_t since, struct list_texts *out)
{
	const struct removal *r;
	const struct list_key *k;
	struct text_items a = { 0 };
	struct text_head h;
	uint32_t i;

	if (!removals_known_since(&s->removals, since) ||
	    since >= s->e->dir.revision)
		return -1;
	h.at = s->e->dir.revision;
	h.digest = s->e->dir.digest;
	h.grace_ns = directory_removal_grace_left(&s->e->dir, s->e->now);
	for (k = s->lists[LIST_REPLICAS].keys; k != NULL; k = k->hh.next) {
		if (k->value != NULL && k->revision > since)
			items_add(&a, k, k->key, k->revision);
	}
	for (i = 0; i < REMOVALS_MAX; i++) {
		r = removals_get(&s->removals, i, since);
		if (r != NULL)
			items_add(&a, NULL, r->key, r->revision);
	}
	if (a.n != 0)
		qsort(a.items, a.n, sizeof(*a.items), compare_revisions);
	encode_steps(&h, since, &a, out);
	free(a.items);
	return 0;
}

void
list_texts_encode_recorded(
    const struct session *s, uint64_t grace_ns, struct list_texts *out)
{
	const struct list *l = &s->lists[LIST_REPLICAS];
	const struct list_key *k;
	struct text_items a = { 0 };
	struct text_head h;
	uint32_t i;

	h.at = s->e->dir.revision;
	h.digest = s->e->dir.digest;
	h.grace_ns = grace_ns;
	for (i = 0; i < l->nchanges; i++) {
		HASH_FIND_STR(l->keys, l->changes[i].key, k);
		if (k != NULL && k->value != NULL)
			items_add(&a, k, k->key, k->revision);
		else
			items_add(&a, NULL, l->changes[i].key,
			    l->changes[i].revision);
	}
	if (a.n != 0)
		qsort(a.items, a.n, sizeof(*a.items), compare_revisions);
	encode_steps(&h, l->changed_from, &a, out);
	free(a.items);
}

void
list_texts_free(struct list_texts *t)
{
	size_t i;

	for (i = 0; i < t->n; i++)
		free(t->texts[i]);
	free(t->texts);
	memset(t, 0, sizeof(*t));
}
