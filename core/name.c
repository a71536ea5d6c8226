#include <ctype.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "fleet.h"
#include "name.h"

#define HASH_DIGITS 32
#define HASH_MARK '~'

static int is_own_key(size_t, const char *, size_t);
static void write_hash(char *, size_t, const char *, size_t);

/* A slash separates a model from its adapter. */
static int
is_own_key(size_t size, const char *name, size_t len)
{
	return len < size && memchr(name, '/', len) == NULL &&
	    memchr(name, '\0', len) == NULL;
}

/* The last digits of the hash, as many as there is room for. */
static void
write_hash(char *out, size_t digits, const char *name, size_t len)
{
	XXH128_hash_t h = XXH3_128bits(name, len);
	char text[HASH_DIGITS + 1];

	snprintf(text, sizeof(text), "%016llx%016llx",
	    (unsigned long long)h.high64, (unsigned long long)h.low64);
	memcpy(out, text + HASH_DIGITS - digits, digits + 1);
}

void
name_key(char *out, size_t size, const char *name, size_t len)
{
	size_t digits = size - 2 < HASH_DIGITS ? size - 2 : HASH_DIGITS;
	size_t start = size - 2 - digits;
	size_t i;

	if (is_own_key(size, name, len)) {
		memcpy(out, name, len);
		out[len] = '\0';
		return;
	}
	/* Its beginning, for people; a cut character would be no valid text. */
	for (i = 0; i < start; i++)
		out[i] =
		    i < len && isalnum((unsigned char)name[i]) ? name[i] : '-';
	out[start] = HASH_MARK;
	write_hash(out + start + 1, digits, name, len);
}

void
name_adapter_key(
    char *out, const char *model_key, const char *adapter, size_t len)
{
	char key[FLEET_NAME_SIZE - NAME_SIZE];

	name_key(key, sizeof(key), adapter, len);
	snprintf(out, FLEET_NAME_SIZE, "%s/%s", model_key, key);
}
