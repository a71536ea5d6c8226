/* The keys of a local list: their values, and their removal. */
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "session_int.h"

static void list_update_digest(
    struct list *, const char *, revision_t, revision_t);
static void list_set_value(
    struct list *, struct list_key *, const struct store_item *);
static void list_end_use(struct list *, const struct list_key *, revision_t);

void
list_apply_item(struct list *l, const struct store_item *item)
{
	struct list_key *k;

	if (item->value != NULL) {
		list_put(l, item);
		return;
	}
	HASH_FIND_STR(l->keys, item->key, k);
	if (k != NULL && k->revision < item->revision)
		list_remove_key(l, k, item->revision, l->grace_ns);
}

void
list_put(struct list *l, const struct store_item *item)
{
	struct list_key *k;

	HASH_FIND_STR(l->keys, item->key, k);
	if (k == NULL) {
		k = mem_alloc(sizeof(*k));
		memcpy(k->key, item->key, sizeof(k->key));
		HASH_ADD_STR(l->keys, key, k);
	}
	k->generation = l->generation;
	if (item->revision > k->revision)
		list_set_value(l, k, item);
}

/* The digest covers the entries that can be used, by their revisions. */
static void
list_update_digest(
    struct list *l, const char *key, revision_t from, revision_t to)
{
	if (l->id == LIST_REPLICAS)
		l->s->e->dir.digest ^=
		    revision_hash(key, from) ^ revision_hash(key, to);
}

/* Sets the value of a key; one that cannot be used counts as a removal. */
static void
list_set_value(
    struct list *l, struct list_key *k, const struct store_item *item)
{
	const struct list_handler *h = &list_handlers[l->id];
	revision_t was_used = k->value == NULL ? 0 : k->revision;

	free(k->value);
	if (h->keep != NULL) {
		k->value = h->keep(l, item);
		k->len = k->value == NULL ? 0 : strlen(k->value);
	} else {
		k->value = mem_alloc(item->len + 1);
		memcpy(k->value, item->value, item->len);
		k->len = item->len;
	}
	k->revision = item->revision;
	list_update_digest(
	    l, k->key, was_used, k->value == NULL ? 0 : k->revision);
	if (k->value != NULL) {
		list_add_change(l, k->key, k->revision);
		h->put(l, k);
	} else if (was_used != 0) {
		list_end_use(l, k, k->revision);
	} else {
		list_set_advanced(l);
	}
}

/* An entry was removed, or replaced by one that cannot be used. */
static void
list_end_use(struct list *l, const struct list_key *k, revision_t revision)
{
	list_add_change(l, k->key, revision);
	if (list_handlers[l->id].drop != NULL)
		list_handlers[l->id].drop(l, k);
	if (l->id == LIST_REPLICAS)
		removals_add(&l->s->removals, k->key, revision);
}

void
list_remove_key(
    struct list *l, struct list_key *k, revision_t revision, uint64_t grace_ns)
{
	l->grace_ns = grace_ns;
	if (k->value != NULL) {
		list_update_digest(l, k->key, k->revision, 0);
		list_end_use(l, k, revision);
	}
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference): it holds k */
	HASH_DEL(l->keys, k);
	free(k->value);
	free(k);
}
