#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buf.h"
#include "mem.h"

#define BUF_INITIAL_SIZE 512
#define BUF_RETAIN_MAX 65536 /* an empty buffer larger than this is freed */

static void buf_reserve(struct buf *, size_t);

static void
buf_reserve(struct buf *b, size_t len)
{
	size_t size;

	if (b->capacity - b->end >= len)
		return;
	if (b->start != 0) {
		memmove(b->base, b->base + b->start, b->end - b->start);
		b->end -= b->start;
		b->start = 0;
	}
	if (b->capacity - b->end >= len)
		return;
	size = b->capacity == 0 ? BUF_INITIAL_SIZE : b->capacity;
	while (size - b->end < len)
		size *= 2;
	b->base = mem_grow(b->base, size, 1);
	b->capacity = size;
}

void
buf_add(struct buf *b, const void *p, size_t len)
{
	if (len == 0)
		return;
	buf_reserve(b, len);
	memcpy(b->base + b->end, p, len);
	b->end += len;
}

void
buf_add_string(struct buf *b, const char *s)
{
	buf_add(b, s, strlen(s));
}

void
buf_printf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	char *text;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (n < 0)
		abort();
	buf_add(b, text, (size_t)n);
	free(text);
}

const char *
buf_data(const struct buf *b)
{
	return b->base == NULL ? "" : b->base + b->start;
}

size_t
buf_len(const struct buf *b)
{
	return b->end - b->start;
}

void
buf_consume(struct buf *b, size_t len)
{
	b->start += len;
	if (b->start < b->end)
		return;
	b->start = 0;
	b->end = 0;
	if (b->capacity > BUF_RETAIN_MAX)
		buf_free(b);
}

void
buf_free(struct buf *b)
{
	free(b->base);
	memset(b, 0, sizeof(*b));
}
