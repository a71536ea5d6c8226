/* Non-cryptographic hashes (XXH3) for identities and versions. */
#ifndef HASH_H
#define HASH_H

#include <stddef.h>
#include <stdint.h>

uint64_t hash_bytes(const void *, size_t);
uint64_t hash_text(const char *);
/* Adds bytes to a hash; their order counts. */
uint64_t hash_add(uint64_t, const void *, size_t);
/*
 * Hash of a (name, version) pair.  The hash of a set of pairs is the XOR of
 * their hashes, so it does not depend on their order.
 */
uint64_t hash_version(const char *, uint64_t);

#endif
