/* What the caller gets: the replica's answer, or one of this system's own. */
#include <stdio.h>
#include <string.h>

#include "forward_int.h"

/* Part of the longest pause allowed from which a replica reads too much. */
#define PAUSE_SHARE_NUM 9
#define PAUSE_SHARE_DEN 10

static void write_head(struct forward *, long);
static void write_piece(struct forward *, const char *, size_t);
static uint64_t event_number(const char *, size_t);

/* The head and signature are those of the first replica. */
static void
write_head(struct forward *f, long len)
{
	struct buf out = { 0 };

	f->chunked = len < 0 && caller_chunks(f->caller);
	fields_write_response(&out, &f->head, len, f->chunked,
	    caller_keeps(f->caller) && (len >= 0 || f->chunked));
	caller_write(f->caller, buf_data(&out), buf_len(&out));
	buf_free(&out);
	f->begun = 1;
}

static void
write_piece(struct forward *f, const char *p, size_t len)
{
	struct buf out = { 0 };

	if (!f->chunked) {
		caller_write(f->caller, p, len);
		return;
	}
	buf_printf(&out, "%zx\r\n", len);
	buf_add(&out, p, len);
	buf_add_string(&out, "\r\n");
	caller_write(f->caller, buf_data(&out), buf_len(&out));
	buf_free(&out);
}

/* Number of one event, 0 when it tells none. */
static uint64_t
event_number(const char *p, size_t len)
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

void
forward_events(void *ctx, const char *p, size_t len)
{
	struct forward *f = ctx;
	size_t skip = 0;
	size_t used = 0;
	size_t n;
	uint64_t id;

	while (used < len && (n = sse_event_len(p + used, len - used)) != 0) {
		id = event_number(p + used, n);
		used += n;
		if (id != 0 && id <= f->last_event)
			skip = used;
		else if (id != 0)
			f->last_event = id;
	}
	if (skip == len)
		return;
	if (!f->begun) {
		write_head(f, -1);
		f->first_event = f->e->now;
	} else if (f->e->now - f->last_piece > f->gap_ns) {
		f->gap_ns = f->e->now - f->last_piece;
	}
	if (f->begun && f->replica != NULL && f->last_piece != 0 &&
	    f->last_piece > f->sent_at &&
	    f->e->now - f->last_piece >
		f->route.gap_ns * PAUSE_SHARE_NUM / PAUSE_SHARE_DEN)
		directory_paused(&f->e->dir, f->e->now, f->replica);
	f->last_piece = f->e->now;
	write_piece(f, p + skip, len - skip);
}

void
forward_hand_on(struct forward *f)
{
	if (!f->streaming) {
		write_head(f, (long)buf_len(&f->held));
		caller_write(f->caller, buf_data(&f->held), buf_len(&f->held));
	} else {
		if (!f->begun)
			write_head(f, -1);
		if (f->chunked)
			caller_write(f->caller, "0\r\n\r\n", 5);
	}
	caller_answered(f->caller);
}

void
forward_own_answer(
    struct forward *f, int status, uint64_t come_back_ns, const char *text)
{
	struct buf out = { 0 };

	fields_write_local_response(&out, status, f->want.id, come_back_ns,
	    text, caller_keeps(f->caller));
	caller_write(f->caller, buf_data(&out), buf_len(&out));
	buf_free(&out);
	caller_answered(f->caller);
}
