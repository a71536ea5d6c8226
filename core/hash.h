/* Hashes used for identities and versions; not for security. */
#ifndef HASH_H
#define HASH_H

#include <stddef.h>
#include <stdint.h>

uint64_t hash_bytes(const void *, size_t);
uint64_t hash_text(const char *);
/* Hash of one (name, version) pair; such hashes are combined by XOR. */
uint64_t hash_version(const char *, uint64_t);

#endif
