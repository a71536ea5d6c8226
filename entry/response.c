/* Responses to callers: forwarded from a replica, or generated here. */
#include <stdio.h>
#include <string.h>

#include "forward_int.h"
#include "stream_io.h"

/*
 * Share of the route's longest allowed gap between events.  A longer gap means
 * that the replica spends too much of its time on prefill.
 */
#define GAP_SHARE_NUM 9
#define GAP_SHARE_DEN 10

static void write_head(struct forward *, long);
static void write_body(struct forward *, const char *, size_t);
static void write_events(void *, const char *, size_t);
static void stream_begun(struct forward *);

/* A resumed stream keeps the head and signature of its first replica. */
static void
write_head(struct forward *f, long len)
{
	struct buf out = { 0 };

	f->chunked = len < 0 && caller_accepts_chunked(f->caller);
	f->kept = caller_keep_alive(f->caller) && (len >= 0 || f->chunked);
	fields_write_response(
	    &out, &f->response_head, len, f->chunked, f->kept);
	caller_write(f->caller, buf_data(&out), buf_len(&out));
	buf_free(&out);
	f->response_started = 1;
}

static void
write_body(struct forward *f, const char *p, size_t len)
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

/* The first event goes to the caller: the others come from its version. */
static void
stream_begun(struct forward *f)
{
	if (!f->begun) {
		f->begun = 1;
		memcpy(f->software, f->replica_software, sizeof(f->software));
	}
	stream_io_begun(f);
}

/* Writes events that the caller does not have. */
static void
write_events(void *ctx, const char *p, size_t len)
{
	struct forward *f = ctx;

	if (!f->response_started) {
		write_head(f, -1);
		f->first_event_at = f->e->now;
		stream_begun(f);
	} else if (f->e->now - f->last_event_at > f->max_gap_ns) {
		f->max_gap_ns = f->e->now - f->last_event_at;
	}
	if (f->response_started && f->replica != NULL &&
	    f->last_event_at != 0 && f->last_event_at > f->sent_at &&
	    f->e->now - f->last_event_at >
		f->route.target_gap_ns * GAP_SHARE_NUM / GAP_SHARE_DEN)
		directory_stream_paused(&f->e->dir, f->e->now, f->replica);
	f->last_event_at = f->e->now;
	write_body(f, p, len);
}

void
forward_on_events(void *ctx, const char *p, size_t len)
{
	struct forward *f = ctx;

	event_filter_pass(&f->passed, p, len, write_events, f);
}

void
forward_finish_response(struct forward *f)
{
	if (!f->streaming) {
		write_head(f, (long)buf_len(&f->body));
		caller_write(f->caller, buf_data(&f->body), buf_len(&f->body));
	} else {
		if (!f->response_started)
			write_head(f, -1);
		if (f->chunked && caller_takes_body(f->caller))
			caller_write(f->caller, "0\r\n\r\n", 5);
	}
	caller_response_done(f->caller, f->kept);
}

void
forward_send_error(
    struct forward *f, int status, uint64_t come_back_ns, const char *text)
{
	struct buf out = { 0 };
	int kept = caller_keep_alive(f->caller);

	if (caller_takes_body(f->caller))
		fields_write_local_response(
		    &out, status, f->params.id, come_back_ns, text, kept);
	else
		fields_write_local_head(
		    &out, status, f->params.id, come_back_ns, text, kept);
	caller_write(f->caller, buf_data(&out), buf_len(&out));
	buf_free(&out);
	caller_response_done(f->caller, kept);
}
