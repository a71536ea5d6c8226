/*
 * The list of replicas between peers: what is passed on, and applying what a
 * peer sent.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "follow.h"
#include "list_text.h"
#include "mem.h"
#include "peers.h"
#include "session.h"
#include "session_int.h"

/* A text of a peer; the strings belong to the document. */
struct peer_text {
	json_t *doc;
	revision_t from; /* changes since this revision */
	revision_t at;
	int exact; /* an earlier build did not cut them */
	uint64_t grace_ns;
	const json_t *digest; /* of the list at that revision, NULL: not told */
	int whole;
	const char *after; /* whole: of the keys after this one */
	const char *until; /* and up to this one, NULL: up to the end */
};

static int text_read(struct peer_text *, const char *, size_t);
static int text_is_cut(const struct entry *, const struct peer_text *);
static int text_is_useless(const struct list *, const struct peer_text *);
static int text_continues(struct list *, const struct peer_text *);
static void text_apply(struct list *, const struct peer_text *);
static int text_differs(const struct entry *, const struct peer_text *);
static int is_known_removed(const struct list *, const struct store_item *);
static void apply_item(struct list *, const json_t *);
static void remove_unlisted(struct list *, const struct peer_text *);

void
list_set_advanced(struct list *l)
{
	if (l->advanced)
		return;
	l->advanced = 1;
	l->changed_from = l->s->e->dir.revision;
}

void
list_add_change(struct list *l, const char *key, revision_t revision)
{
	struct list_change *c;

	if (l->id != LIST_REPLICAS)
		return;
	list_set_advanced(l);
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
	struct list_texts texts = { 0 };
	size_t i;

	if (!l->advanced)
		return;
	l->advanced = 0;
	if (l->nchanges == 0 && s->e->dir.revision <= l->changed_from)
		return;
	list_texts_encode_recorded(s, grace_ns, &texts);
	for (i = 0; i < texts.n; i++)
		peers_push_changes(
		    s->e->peers, texts.texts[i], strlen(texts.texts[i]));
	list_texts_free(&texts);
	l->nchanges = 0;
}

/*
 * Whether an entry was removed since, as this process was told, or as it read
 * or watched the service up to a later revision and has no such entry.
 */
static int
is_known_removed(const struct list *l, const struct store_item *item)
{
	const struct list_key *k;

	if (removals_has(&l->s->removals, item->key, item->revision))
		return 1;
	HASH_FIND_STR(l->keys, item->key, k);
	return k == NULL && item->revision <= l->revision;
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
	revision_unpack(doc, "revision", &item.revision);
	item.value = (char *)json_string_value(value);
	item.len = json_string_length(value);
	/* The peer may have missed the removal. */
	if (value != NULL && is_known_removed(l, &item))
		return;
	list_apply_item(l, &item);
}

/* Removes the keys of a text's range that it did not contain. */
static void
remove_unlisted(struct list *l, const struct peer_text *t)
{
	struct list_key *k, *next;

	HASH_ITER (hh, l->keys, k, next) {
		if (k->generation != l->generation && k->revision <= t->at &&
		    strcmp(k->key, t->after) > 0 &&
		    (t->until == NULL || strcmp(k->key, t->until) <= 0))
			list_remove_key(l, k, t->at, l->grace_ns);
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
    const struct list *l, const struct store_item *item, revision_t told_at)
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

/* Returns -1 if the text cannot be read. */
static int
text_read(struct peer_text *t, const char *text, size_t len)
{
	const json_t *doc;

	memset(t, 0, sizeof(*t));
	t->doc = json_loadb(text, len, JSON_ALLOW_NUL, NULL);
	doc = t->doc;
	if (!json_is_integer(json_object_get(doc, "at")) ||
	    !json_is_array(json_object_get(doc, "items"))) {
		json_decref(t->doc);
		return -1;
	}
	t->exact = revision_unpack(doc, "at", &t->at);
	revision_unpack(doc, "from", &t->from);
	t->grace_ns =
	    (uint64_t)json_integer_value(json_object_get(doc, "lapse_ns"));
	t->digest = json_object_get(doc, "digest");
	t->whole = json_is_true(json_object_get(doc, "whole"));
	t->after = json_string_value(json_object_get(doc, "after"));
	if (t->after == NULL)
		t->after = "";
	t->until = json_string_value(json_object_get(doc, "until"));
	return 0;
}

/*
 * Whether the text of a peer of an earlier build, which cuts revisions, tells
 * of changes: it cannot be applied to a list whose revisions are whole.
 */
static int
text_is_cut(const struct entry *e, const struct peer_text *t)
{
	return !t->exact && !revision_fits_short(e->dir.revision) &&
	    revision_near(revision_short(t->at), e->dir.revision) >
	    e->dir.revision;
}

static int
text_is_useless(const struct list *l, const struct peer_text *t)
{
	const struct entry *e = l->s->e;

	if (t->at < e->dir.revision || (t->at == e->dir.revision && !t->whole))
		return 1;
	/*
	 * During a local read, keys that the text lacks cannot be told from
	 * those that have not been read yet.
	 */
	return t->whole &&
	    (l->read_revision != 0 ||
		(t->at == e->dir.revision && peers_is_active_hub(e->peers)));
}

/*
 * Whether a part of a whole list is the first, or follows the latest one.
 * Another one was lost in between, and the list is asked for again.
 */
static int
text_continues(struct list *l, const struct peer_text *t)
{
	if (*t->after != '\0' &&
	    (t->at != l->part_at || strcmp(t->after, l->part_after) != 0))
		return 0;
	l->part_at = t->until == NULL ? 0 : t->at;
	snprintf(l->part_after, sizeof(l->part_after), "%s",
	    t->until == NULL ? "" : t->until);
	return 1;
}

static void
text_apply(struct list *l, const struct peer_text *t)
{
	const json_t *item;
	size_t i;

	/*
	 * Whether removed entries may come back is known to the process that
	 * learned it from the store; this one may have been turned away.
	 */
	directory_extend_removal_grace(
	    &l->s->e->dir, l->s->e->now, t->grace_ns);
	l->grace_ns = t->grace_ns;
	l->generation += (uint32_t)t->whole;
	json_array_foreach (json_object_get(t->doc, "items"), i, item)
		apply_item(l, item);
	if (t->whole)
		remove_unlisted(l, t);
}

/*
 * Whether the list, now at the peer's revision, is another one than the peer's:
 * a removal was lost on the way here, or the peer never knew of it.
 */
static int
text_differs(const struct entry *e, const struct peer_text *t)
{
	return t->digest != NULL &&
	    (uint64_t)json_integer_value(t->digest) != e->dir.digest;
}

enum text_result
session_apply_text(
    struct session *s, const char *text, size_t len, const char *source)
{
	struct list *l = &s->lists[LIST_REPLICAS];
	struct entry *e = s->e;
	enum text_result result = TEXT_APPLIED;
	struct peer_text t;

	if (text_read(&t, text, len) == -1) {
		e->counts.bad_texts++;
		log_event(
		    LOG_LIST_TEXT_BAD, NULL, "peer=%s bytes=%zu", source, len);
		session_read_replicas(s);
		return TEXT_APPLIED;
	}
	if (text_is_cut(e, &t))
		session_read_replicas(s);
	if (text_is_useless(l, &t)) {
		json_decref(t.doc);
		return TEXT_APPLIED;
	}
	if (t.whole && !text_continues(l, &t)) {
		e->counts.lost_parts++;
		log_event(LOG_LIST_PART_LOST, NULL, "peer=%s after=%s", source,
		    t.after);
		json_decref(t.doc);
		return TEXT_APPLIED;
	}
	if (!t.whole && t.from > e->dir.revision) {
		json_decref(t.doc);
		return TEXT_MISSES_CHANGES;
	}
	text_apply(l, &t);
	if (!t.whole || t.until == NULL) {
		e->dir.synced = 1;
		e->dir.revision = t.at;
		removals_start(&s->removals, t.at);
		list_set_source(s, source);
		session_push_changes(s, t.grace_ns);
		/* A hub asks the service, since its watch may be deaf. */
		if (text_differs(e, &t) && peers_is_active_hub(e->peers))
			session_renew_replicas(s);
		else if (text_differs(e, &t))
			result = TEXT_DIFFERS;
	}
	json_decref(t.doc);
	e->retry_waiting = 1;
	return result;
}
