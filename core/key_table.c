#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "key_table.h"
#include "mem.h"

#define SLOTS_MIN 8

/* Open addressing with linear probing; at most half of the slots are used. */
struct slot {
	uint64_t hash;
	size_t offset; /* of the key in the texts */
	uint32_t len;
	uint32_t value; /* KEY_TABLE_NONE: the slot is free */
};

struct key_table {
	struct slot *slots;
	size_t nslots; /* a power of two */
	size_t nkeys;
	char *texts;
	size_t used;
	size_t size;
};

static struct slot *find_slot(
    const struct key_table *, const char *, size_t, uint64_t);
static void grow_texts(struct key_table *, size_t);

struct key_table *
key_table_create(size_t n)
{
	struct key_table *t;
	size_t i;

	t = mem_alloc(sizeof(*t));
	t->nslots = SLOTS_MIN;
	while (t->nslots < 2 * n)
		t->nslots *= 2;
	t->slots = mem_alloc(t->nslots * sizeof(*t->slots));
	for (i = 0; i < t->nslots; i++)
		t->slots[i].value = KEY_TABLE_NONE;
	return t;
}

void
key_table_destroy(struct key_table *t)
{
	if (t == NULL)
		return;
	free(t->slots);
	free(t->texts);
	free(t);
}

/* The slot of the key, or the free one for it. */
static struct slot *
find_slot(const struct key_table *t, const char *key, size_t len, uint64_t hash)
{
	size_t i = (size_t)hash & (t->nslots - 1);
	struct slot *s;

	for (;; i = (i + 1) & (t->nslots - 1)) {
		s = &t->slots[i];
		if (s->value == KEY_TABLE_NONE)
			return s;
		if (s->hash == hash && s->len == len &&
		    memcmp(t->texts + s->offset, key, len) == 0)
			return s;
	}
}

static void
grow_texts(struct key_table *t, size_t len)
{
	if (t->used + len <= t->size)
		return;
	t->size = 2 * (t->used + len);
	t->texts = mem_grow(t->texts, t->size, 1);
}

void
key_table_add(struct key_table *t, const char *key, size_t len, uint32_t value)
{
	uint64_t hash = hash_bytes(key, len);
	struct slot *s;

	if (len == 0 || len > UINT32_MAX || 2 * (t->nkeys + 1) > t->nslots)
		return;
	s = find_slot(t, key, len, hash);
	if (s->value != KEY_TABLE_NONE)
		return;
	grow_texts(t, len);
	memcpy(t->texts + t->used, key, len);
	s->hash = hash;
	s->offset = t->used;
	s->len = (uint32_t)len;
	s->value = value;
	t->used += len;
	t->nkeys++;
}

uint32_t
key_table_find(const struct key_table *t, const char *key, size_t len)
{
	return len == 0 ? KEY_TABLE_NONE
			: find_slot(t, key, len, hash_bytes(key, len))->value;
}
