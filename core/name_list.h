/*
 * Names of models, or of adapters as MODEL/ADAPTER.  A list grows with what a
 * replica says of itself, up to what a message holds; names beyond that are
 * counted.  Zeroed: empty.
 */
#ifndef NAME_LIST_H
#define NAME_LIST_H

#include <stdint.h>

#define NAME_LIST_NAME_SIZE 96
#define NAME_LIST_MAX 1024

struct name_list {
	uint32_t n;
	uint32_t size;	   /* allocated */
	uint32_t nunnamed; /* names that have no room */
	uint64_t *hashes;  /* of the names */
	char (*names)[NAME_LIST_NAME_SIZE];
};

/* Frees the names; the list is empty then. */
void name_list_clear(struct name_list *);
/* Empties the list and keeps its memory. */
void name_list_truncate(struct name_list *);
void name_list_copy(struct name_list *, const struct name_list *);
/* All names, also those that have no room. */
uint32_t name_list_count(const struct name_list *);
int name_list_has(const struct name_list *, const char *);
/* The same with the name's hash_text(). */
int name_list_has_hashed(const struct name_list *, const char *, uint64_t);
/* Adds a name that is not in the list. */
void name_list_append(struct name_list *, const char *);
/* Adds a name unless it is in the list. */
void name_list_add(struct name_list *, const char *);
void name_list_remove(struct name_list *, const char *);
/* Removes the name at an index; the last one takes its place. */
void name_list_remove_at(struct name_list *, uint32_t);

#endif
