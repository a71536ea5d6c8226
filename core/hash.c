#include <string.h>
#include <xxhash.h>

#include "hash.h"

uint64_t
hash_bytes(const void *p, size_t len)
{
	return XXH3_64bits(p, len);
}

uint64_t
hash_text(const char *s)
{
	return XXH3_64bits(s, strlen(s));
}

uint64_t
hash_add(uint64_t hash, const void *p, size_t len)
{
	return XXH3_64bits_withSeed(p, len, hash);
}

uint64_t
hash_version(const char *name, uint64_t version)
{
	return XXH3_64bits_withSeed(name, strlen(name), version);
}
