/* Growable byte buffer: appended at the end, consumed from the front. */
#ifndef BUF_H
#define BUF_H

#include <stddef.h>

struct buf {
	char *base;
	size_t start; /* offset of the first unconsumed byte */
	size_t end;
	size_t capacity; /* allocated */
};

/* A zero-initialised buf is empty and valid. */
void buf_add(struct buf *, const void *, size_t);
void buf_add_string(struct buf *, const char *);
void buf_printf(struct buf *, const char *, ...)
    __attribute__((format(printf, 2, 3)));
const char *buf_data(const struct buf *);
size_t buf_len(const struct buf *);
void buf_consume(struct buf *, size_t);
/* Discards the contents and frees the memory. */
void buf_free(struct buf *);

#endif
