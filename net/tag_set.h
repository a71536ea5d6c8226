/* A growing set of 64-bit hashes.  Zeroed: empty. */
#ifndef TAG_SET_H
#define TAG_SET_H

#include <stdint.h>

struct tag_set {
	uint64_t *slots; /* open addressing; 0: free */
	uint32_t size;	 /* a power of two, or 0 */
	uint32_t n;
};

/* Adds a hash; 0 counts as 1. */
void tag_set_add(struct tag_set *, uint64_t);
int tag_set_has(const struct tag_set *, uint64_t);
void tag_set_free(struct tag_set *);

#endif
