#include <string.h>

#include "sse.h"

/* An event ends with an empty line. */
size_t
sse_event_len(const char *p, size_t len)
{
	const char *nl = p;
	const char *end = p + len;

	while ((nl = memchr(nl, '\n', (size_t)(end - nl))) != NULL) {
		nl++;
		if (nl < end && *nl == '\n')
			return (size_t)(nl + 1 - p);
		if (nl + 1 < end && nl[0] == '\r' && nl[1] == '\n')
			return (size_t)(nl + 2 - p);
	}
	return 0;
}

void
sse_feed(struct sse_splitter *ev, const char *p, size_t len,
    void (*complete)(void *, const char *, size_t), void *ctx)
{
	const char *data;
	size_t used = 0;
	size_t left;
	size_t n;

	if (buf_len(&ev->partial) != 0) {
		buf_add(&ev->partial, p, len);
		data = buf_data(&ev->partial);
		left = buf_len(&ev->partial);
	} else {
		data = p;
		left = len;
	}
	while (
	    used < left && (n = sse_event_len(data + used, left - used)) != 0)
		used += n;
	if (used != 0)
		complete(ctx, data, used);
	if (data == p)
		buf_add(&ev->partial, p + used, len - used);
	else
		buf_consume(&ev->partial, used);
}

void
sse_free(struct sse_splitter *ev)
{
	buf_free(&ev->partial);
}
