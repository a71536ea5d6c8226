#include <stdlib.h>
#include <string.h>

#include "fetch_buffered.h"
#include "mem.h"

#define BUFFERED_BODY_MAX_BYTES (8U << 20)

struct pending_request {
	struct buffered_request spec;
	struct fetch *fetch;
	uint64_t id;
	char *body;
	size_t len;
	size_t capacity;
	int status;
	int finished;
};

static void pending_release(void *);
static void pending_finish(struct pending_request *, int, int);
static void pending_append(struct pending_request *, const char *, size_t);

static uint64_t next_request_id;

static void
pending_release(void *arg)
{
	struct pending_request *a = arg;

	/* Cancelled before a response, for example at shutdown. */
	pending_finish(a, 0, 1);
	free(a->body);
	free(a);
}

static void
pending_finish(struct pending_request *a, int status, int maybe_sent)
{
	struct buffered_response response;

	if (a->finished)
		return;
	a->finished = 1;
	response.status = status;
	response.body = a->body == NULL ? "" : a->body;
	response.len = a->len;
	response.maybe_sent = maybe_sent;
	a->spec.done(a->spec.ctx, &response);
}

static void
pending_append(struct pending_request *a, const char *bytes, size_t len)
{
	if (a->finished)
		return;
	if (a->len + len > BUFFERED_BODY_MAX_BYTES) {
		pending_finish(a, 0, 1);
		fetch_cancel(a->fetch, a->id);
		return;
	}
	if (a->len + len + 1 > a->capacity) {
		a->capacity = 2 * (a->len + len + 1);
		a->body = mem_grow(a->body, a->capacity, 1);
	}
	memcpy(a->body + a->len, bytes, len);
	a->len += len;
	a->body[a->len] = '\0';
	if (a->spec.is_complete != NULL &&
	    a->spec.is_complete(a->spec.ctx, a->body, a->len)) {
		pending_finish(a, a->status, 1);
		fetch_cancel(a->fetch, a->id);
	}
}

void
fetch_buffered_event(void *unused, const struct fetch_event *ev)
{
	struct pending_request *a = ev->cookie;

	(void)unused;
	switch (ev->type) {
	case FETCH_EVENT_WRITING:
		break;
	case FETCH_EVENT_HEAD:
		a->status = ev->status;
		break;
	case FETCH_EVENT_DATA:
		pending_append(a, ev->bytes, ev->len);
		break;
	case FETCH_EVENT_END:
		pending_finish(a, ev->status, 1);
		break;
	case FETCH_EVENT_FAIL:
		pending_finish(a, 0, ev->maybe_sent);
		break;
	}
}

void
fetch_buffered_start(struct fetch *f, const struct buffered_request *spec)
{
	static const char *const headers[] = { "Content-Type: application/json",
		NULL };
	struct fetch_spec fs;
	struct pending_request *a;

	a = mem_alloc(sizeof(*a));
	a->spec = *spec;
	a->fetch = f;
	a->id = __atomic_add_fetch(&next_request_id, 1, __ATOMIC_RELAXED);
	memset(&fs, 0, sizeof(fs));
	fs.id = a->id;
	fs.cookie = a;
	fs.release = pending_release;
	fs.url = spec->url;
	fs.method = spec->method;
	fs.headers = headers;
	fs.body = spec->body;
	fs.len = spec->body == NULL ? 0 : strlen(spec->body);
	fs.connect_timeout_ms = spec->connect_timeout_ms;
	fs.total_timeout_ms = spec->total_timeout_ms;
	fetch_start(f, &fs);
}
