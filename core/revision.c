#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "hash.h"
#include "revision.h"

#define ERA_SHIFT 64
/* Of the short form. */
#define SHORT_NUMBER_BITS 40
#define SHORT_ERA_BITS 24
#define SHORT_NUMBERS ((uint64_t)1 << SHORT_NUMBER_BITS)
#define SHORT_ERAS ((uint64_t)1 << SHORT_ERA_BITS)
#define EXACT_NAME_SIZE 32
#define EXACT_SIZE 48

static void exact_name(char *, const char *);

revision_t
revision_of(uint64_t era, uint64_t number)
{
	return (revision_t)era << ERA_SHIFT | number;
}

uint64_t
revision_era(revision_t r)
{
	return (uint64_t)(r >> ERA_SHIFT);
}

uint64_t
revision_number(revision_t r)
{
	return (uint64_t)r;
}

uint64_t
revision_short(revision_t r)
{
	return revision_era(r) << SHORT_NUMBER_BITS |
	    revision_number(r) % SHORT_NUMBERS;
}

int
revision_fits_short(revision_t r)
{
	return revision_era(r) < SHORT_ERAS &&
	    revision_number(r) < SHORT_NUMBERS;
}

revision_t
revision_of_short(uint64_t v)
{
	return revision_of(v >> SHORT_NUMBER_BITS, v % SHORT_NUMBERS);
}

revision_t
revision_near(uint64_t v, revision_t near)
{
	uint64_t ahead = (v - revision_number(near)) % SHORT_NUMBERS;
	uint64_t behind = (revision_number(near) - v) % SHORT_NUMBERS;

	if (v >> SHORT_NUMBER_BITS != revision_era(near) % SHORT_ERAS)
		return revision_of_short(v);
	return behind < ahead && behind <= revision_number(near) ? near - behind
								 : near + ahead;
}

static void
exact_name(char *out, const char *name)
{
	snprintf(out, EXACT_NAME_SIZE, "%s_exact", name);
}

void
revision_pack(json_t *o, const char *name, revision_t r)
{
	char exact[EXACT_NAME_SIZE];
	char text[EXACT_SIZE];

	json_object_set_new(
	    o, name, json_integer((json_int_t)revision_short(r)));
	if (revision_fits_short(r))
		return;
	exact_name(exact, name);
	snprintf(text, sizeof(text), "%" PRIu64 ".%" PRIu64, revision_era(r),
	    revision_number(r));
	json_object_set_new(o, exact, json_string(text));
}

int
revision_unpack(const json_t *o, const char *name, revision_t *out)
{
	char exact[EXACT_NAME_SIZE];
	const char *text;
	uint64_t era, number;

	*out = revision_of_short(
	    (uint64_t)json_integer_value(json_object_get(o, name)));
	exact_name(exact, name);
	text = json_string_value(json_object_get(o, exact));
	if (text == NULL ||
	    sscanf(text, "%" SCNu64 ".%" SCNu64, &era, &number) != 2)
		return 0;
	*out = revision_of(era, number);
	return 1;
}

uint64_t
revision_hash(const char *key, revision_t r)
{
	uint64_t era = revision_era(r);

	/* As in earlier builds, whose lists are compared by it. */
	if (revision_fits_short(r))
		return hash_version(key, revision_short(r));
	return hash_add(
	    hash_version(key, revision_number(r)), &era, sizeof(era));
}
