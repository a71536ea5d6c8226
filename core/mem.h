/*
 * Allocation that ends the process when memory runs out, so that call sites
 * stay one line.  Memory is zeroed.
 */
#ifndef MEM_H
#define MEM_H

#include <stddef.h>

void *mem_alloc(size_t) __attribute__((returns_nonnull));
void *mem_grow(void *, size_t, size_t) __attribute__((returns_nonnull));
char *mem_strdup(const char *) __attribute__((returns_nonnull));

#endif
