/*
 * Texts by which processes tell each other the list of replicas, in JSON.  A
 * list, or its changes, of any size is told in parts, each of which fits in a
 * message and is applied by itself.
 */
#ifndef LIST_TEXT_H
#define LIST_TEXT_H

#include "session.h"

struct list_texts {
	size_t n;
	char **texts;
};

/* The whole local list; each part covers a range of keys. */
void list_texts_encode_whole(const struct session *, struct list_texts *);
/*
 * Its changes since a revision; each part leads to a later one.  Returns -1 if
 * they are not known.
 */
int list_texts_encode_changes(
    const struct session *, revision_t, struct list_texts *);
/* The recorded changes; removed replicas stay usable for a time in ns. */
void list_texts_encode_recorded(
    const struct session *, uint64_t, struct list_texts *);
void list_texts_free(struct list_texts *);

#endif
