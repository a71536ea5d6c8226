#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "tag_set.h"

#define FIRST_SIZE 8
/* Of the slots, that are taken before the table grows. */
#define FILL_NUMERATOR 3
#define FILL_DENOMINATOR 4

static uint32_t find_slot(const struct tag_set *, uint64_t);
static void grow(struct tag_set *);

/* The slot of a hash, or the free one where it belongs. */
static uint32_t
find_slot(const struct tag_set *s, uint64_t tag)
{
	uint32_t i = (uint32_t)tag & (s->size - 1);

	while (s->slots[i] != 0 && s->slots[i] != tag)
		i = (i + 1) & (s->size - 1);
	return i;
}

static void
grow(struct tag_set *s)
{
	struct tag_set old = *s;
	uint32_t i;

	s->size = old.size == 0 ? FIRST_SIZE : old.size * 2;
	s->slots = mem_alloc(s->size * sizeof(*s->slots));
	for (i = 0; i < old.size; i++) {
		if (old.slots[i] != 0)
			s->slots[find_slot(s, old.slots[i])] = old.slots[i];
	}
	free(old.slots);
}

void
tag_set_add(struct tag_set *s, uint64_t tag)
{
	uint32_t i;

	tag += tag == 0;
	if (s->n * FILL_DENOMINATOR >= s->size * FILL_NUMERATOR)
		grow(s);
	i = find_slot(s, tag);
	s->n += s->slots[i] == 0;
	s->slots[i] = tag;
}

int
tag_set_has(const struct tag_set *s, uint64_t tag)
{
	tag += tag == 0;
	return s->size != 0 && s->slots[find_slot(s, tag)] != 0;
}

void
tag_set_free(struct tag_set *s)
{
	free(s->slots);
	memset(s, 0, sizeof(*s));
}
