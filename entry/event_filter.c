#include <string.h>

#include "event_filter.h"
#include "fields.h"
#include "sse.h"

static uint64_t event_id_of(const char *, size_t);
static int has_data(const char *, size_t);

void
event_filter_start(struct event_filter *f, uint64_t id)
{
	f->read_id = id;
	f->written_id = id;
	f->unnumbered = 0;
}

/* Numeric id of one event, 0 if it has none. */
static uint64_t
event_id_of(const char *p, size_t len)
{
	const char *end = p + len;
	const char *nl;
	uint64_t id;

	for (; p < end; p = nl + 1) {
		nl = memchr(p, '\n', (size_t)(end - p));
		if (nl == NULL)
			return 0;
		id = fields_parse_event_id(p, (size_t)(nl - p));
		if (id != 0)
			return id;
	}
	return 0;
}

/* Whether an event is more than a comment. */
static int
has_data(const char *p, size_t len)
{
	return (len > 5 && memcmp(p, "data:", 5) == 0) ||
	    memmem(p, len, "\ndata:", 6) != NULL;
}

void
event_filter_pass(struct event_filter *f, const char *p, size_t len,
    void (*write)(void *, const char *, size_t), void *ctx)
{
	size_t start = 0; /* of the current run */
	size_t used = 0;
	size_t n;
	uint64_t id;

	while (used < len && (n = sse_event_len(p + used, len - used)) != 0) {
		id = event_id_of(p + used, n);
		if (id > f->read_id)
			f->read_id = id;
		if (id != 0 && id <= f->written_id) {
			if (used != start)
				write(ctx, p + start, used - start);
			start = used + n;
		} else if (id != 0) {
			f->written_id = id;
			f->unnumbered = 0;
		} else if (has_data(p + used, n)) {
			f->unnumbered = 1;
		}
		used += n;
	}
	if (used != start)
		write(ctx, p + start, used - start);
}
