/*
 * Table of secret texts, the keys of client accounts, by which a request finds
 * its account in constant time.  Filled in once, for 100,000 keys and more.
 */
#ifndef KEY_TABLE_H
#define KEY_TABLE_H

#include <stddef.h>
#include <stdint.h>

#define KEY_TABLE_NONE UINT32_MAX

struct key_table;

/* An empty table with room for n keys. */
struct key_table *key_table_create(size_t);
void key_table_destroy(struct key_table *);
/* Adds a key with a value; a key that is there already keeps its value. */
void key_table_add(struct key_table *, const char *, size_t, uint32_t);
/* The value of a key, or KEY_TABLE_NONE. */
uint32_t key_table_find(const struct key_table *, const char *, size_t);

#endif
