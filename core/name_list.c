#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"
#include "name_list.h"

#define SIZE_FIRST 4

static uint32_t name_list_find(
    const struct name_list *, const char *, uint64_t);
static void name_list_resize(struct name_list *, uint32_t);

void
name_list_clear(struct name_list *l)
{
	free(l->hashes);
	free(l->names);
	memset(l, 0, sizeof(*l));
}

void
name_list_truncate(struct name_list *l)
{
	l->n = 0;
	l->nunnamed = 0;
}

static void
name_list_resize(struct name_list *l, uint32_t size)
{
	l->hashes = mem_grow(l->hashes, size, sizeof(*l->hashes));
	l->names = mem_grow(l->names, size, sizeof(*l->names));
	l->size = size;
}

void
name_list_copy(struct name_list *to, const struct name_list *from)
{
	if (to->size < from->n)
		name_list_resize(to, from->n);
	to->n = from->n;
	to->nunnamed = from->nunnamed;
	if (from->n == 0)
		return;
	memcpy(to->hashes, from->hashes, from->n * sizeof(*to->hashes));
	memcpy(to->names, from->names, from->n * sizeof(*to->names));
}

uint32_t
name_list_count(const struct name_list *l)
{
	return l->n + l->nunnamed;
}

/* The index of a name, or the number of names. */
static uint32_t
name_list_find(const struct name_list *l, const char *name, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		if (l->hashes[i] == hash && strcmp(l->names[i], name) == 0)
			break;
	}
	return i;
}

int
name_list_has(const struct name_list *l, const char *name)
{
	return l->n != 0 && name_list_has_hashed(l, name, hash_text(name));
}

int
name_list_has_hashed(const struct name_list *l, const char *name, uint64_t hash)
{
	return name_list_find(l, name, hash) < l->n;
}

void
name_list_append(struct name_list *l, const char *name)
{
	if (l->n == NAME_LIST_MAX) {
		l->nunnamed++;
		return;
	}
	if (l->n == l->size)
		name_list_resize(l, l->size == 0 ? SIZE_FIRST : l->size * 2);
	snprintf(l->names[l->n], sizeof(l->names[l->n]), "%s", name);
	l->hashes[l->n] = hash_text(l->names[l->n]);
	l->n++;
}

void
name_list_add(struct name_list *l, const char *name)
{
	if (!name_list_has(l, name))
		name_list_append(l, name);
}

void
name_list_remove(struct name_list *l, const char *name)
{
	uint32_t i = name_list_find(l, name, hash_text(name));

	if (i < l->n)
		name_list_remove_at(l, i);
}

void
name_list_remove_at(struct name_list *l, uint32_t i)
{
	l->n--;
	if (i == l->n)
		return;
	memcpy(l->names[i], l->names[l->n], sizeof(l->names[i]));
	l->hashes[i] = l->hashes[l->n];
}
