#include <stdlib.h>
#include <string.h>

#include "ask.h"
#include "mem.h"

#define ASK_BODY_MAX (8U << 20)

struct ask {
	struct ask_spec spec;
	struct fetch *fetch;
	uint64_t id;
	char *body;
	size_t len;
	size_t size;
	int status;
	int done;
};

static void ask_release(void *);
static void ask_finish(struct ask *, int, int);
static void ask_data(struct ask *, const char *, size_t);

static uint64_t ask_next;

static void
ask_release(void *arg)
{
	struct ask *a = arg;

	/* Stopped before any answer, as when the process ends. */
	ask_finish(a, 0, 1);
	free(a->body);
	free(a);
}

static void
ask_finish(struct ask *a, int status, int written)
{
	struct ask_answer answer;

	if (a->done)
		return;
	a->done = 1;
	answer.status = status;
	answer.body = a->body == NULL ? "" : a->body;
	answer.len = a->len;
	answer.written = written;
	a->spec.done(a->spec.ctx, &answer);
}

static void
ask_data(struct ask *a, const char *bytes, size_t len)
{
	if (a->done)
		return;
	if (a->len + len > ASK_BODY_MAX) {
		ask_finish(a, 0, 1);
		fetch_stop(a->fetch, a->id);
		return;
	}
	if (a->len + len + 1 > a->size) {
		a->size = 2 * (a->len + len + 1);
		a->body = mem_grow(a->body, a->size, 1);
	}
	memcpy(a->body + a->len, bytes, len);
	a->len += len;
	a->body[a->len] = '\0';
	if (a->spec.enough != NULL &&
	    a->spec.enough(a->spec.ctx, a->body, a->len)) {
		ask_finish(a, a->status, 1);
		fetch_stop(a->fetch, a->id);
	}
}

void
ask_event(void *unused, const struct fetch_event *ev)
{
	struct ask *a = ev->cookie;

	(void)unused;
	switch (ev->news) {
	case FETCH_NEWS_WRITING:
		break;
	case FETCH_NEWS_HEAD:
		a->status = ev->status;
		break;
	case FETCH_NEWS_DATA:
		ask_data(a, ev->bytes, ev->len);
		break;
	case FETCH_NEWS_END:
		ask_finish(a, ev->status, 1);
		break;
	case FETCH_NEWS_FAIL:
		ask_finish(a, 0, ev->written);
		break;
	}
}

void
ask_start(struct fetch *f, const struct ask_spec *spec)
{
	static const char *const headers[] = { "Content-Type: application/json",
		NULL };
	struct fetch_spec fs;
	struct ask *a;

	a = mem_alloc(sizeof(*a));
	a->spec = *spec;
	a->fetch = f;
	a->id = __atomic_add_fetch(&ask_next, 1, __ATOMIC_RELAXED);
	memset(&fs, 0, sizeof(fs));
	fs.id = a->id;
	fs.cookie = a;
	fs.release = ask_release;
	fs.url = spec->url;
	fs.method = spec->method;
	fs.headers = headers;
	fs.body = spec->body;
	fs.len = spec->body == NULL ? 0 : strlen(spec->body);
	fs.connect_ms = spec->connect_ms;
	fs.total_ms = spec->total_ms;
	fetch_start(f, &fs);
}
