/* Memory allocation that exits the process on failure. */
#ifndef MEM_H
#define MEM_H

#include <stddef.h>

/* Allocates zeroed memory of size bytes. */
void *mem_alloc(size_t) __attribute__((returns_nonnull));
/* Resizes an array to n items of size bytes; new items are not zeroed. */
void *mem_grow(void *, size_t, size_t) __attribute__((returns_nonnull));
char *mem_strdup(const char *) __attribute__((returns_nonnull));

#endif
