#include <string.h>

#include "sse.h"

/* Bytes at the end of a part that may belong to the end of an event. */
#define END_OVERLAP 3

static size_t event_len_from(const char *, size_t, size_t);

size_t
sse_event_len(const char *p, size_t len)
{
	return event_len_from(p, len, 0);
}

/* An event ends with an empty line, searched for from an offset. */
static size_t
event_len_from(const char *p, size_t len, size_t from)
{
	const char *nl = p + from;
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
	size_t from;
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
	from = ev->searched;
	while (used < left &&
	    (n = event_len_from(data + used, left - used, from)) != 0) {
		used += n;
		from = 0;
	}
	if (used != 0)
		complete(ctx, data, used);
	if (data == p)
		buf_add(&ev->partial, p + used, len - used);
	else
		buf_consume(&ev->partial, used);
	left -= used;
	ev->searched = left > END_OVERLAP ? left - END_OVERLAP : 0;
}

void
sse_free(struct sse_splitter *ev)
{
	buf_free(&ev->partial);
	ev->searched = 0;
}
