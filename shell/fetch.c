#include <ctype.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <uthash.h>

#include "fetch.h"
#include "http_framing.h"
#include "mem.h"

#define FETCH_POLL_MSEC 1000
#define FETCH_CACHED_CONNS_MAX 512L /* idle connections kept for reuse */
#define FETCH_CONTENT_TYPE_SIZE 128
#define LENGTH_DIGITS_MAX 18   /* of 63 bits */
#define FETCH_FIELDS_MAX 65536 /* bytes; further fields are left out */

struct transfer {
	TAILQ_ENTRY(transfer) entry;
	UT_hash_handle hh;
	uint64_t id;
	struct fetch *fetch;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	void *cookie;
	void (*release)(void *);
	int writing;
	int head_reported;
	struct http_framing framing; /* of the latest head, then of the body */
	int has_length;		     /* of the latest head: or is chunked */
	char *held; /* end of the body, which may be another response */
	size_t held_len;
	int status;
	char content_type[FETCH_CONTENT_TYPE_SIZE];
	char *fields; /* of the latest head */
	size_t fields_len;
};

struct cancellation {
	TAILQ_ENTRY(cancellation) entry;
	uint64_t id;
	int unsent_only; /* and report that it failed */
};

TAILQ_HEAD(transfer_list, transfer);
TAILQ_HEAD(cancellation_list, cancellation);

struct fetch {
	CURLM *multi;
	pthread_t thread;
	pthread_mutex_t lock;
	struct transfer_list started;
	struct cancellation_list cancelled;
	int stop;
	struct transfer *transfers;
	void (*on_event)(void *, const struct fetch_event *);
	void *ctx;
};

static void *fetch_run(void *);
static void fetch_apply_queues(struct fetch *);
static void fetch_finish(CURLMsg *);
static void queue_cancellation(struct fetch *, uint64_t, int);
static void apply_cancellation(struct fetch *, const struct cancellation *);
static void transfer_fail(struct transfer *, int, const char *);
static void transfer_add_field(struct transfer *, const char *, size_t);
static void transfer_free(struct transfer *);
static void transfer_options(struct transfer *, const struct fetch_spec *);
static int on_prereq(void *, char *, char *, int, int);
static int transfer_check_line(struct transfer *, const char *, size_t);
static int is_field(const char *, size_t, const char *);
static const char *field_value(const char *, size_t *);
static int is_chunked(const char *, size_t);
static int is_length(const char *, size_t);
static int transfer_note_end(struct transfer *, const char *, size_t);
static void transfer_release_body(struct transfer *, const char *, size_t);
static int transfer_is_whole(const struct transfer *);
static size_t on_header(char *, size_t, size_t, void *);
static size_t on_body(char *, size_t, size_t, void *);
static void transfer_notify(
    struct transfer *, enum fetch_event_type, const char *, size_t);

struct fetch *
fetch_create(void (*event)(void *, const struct fetch_event *), void *ctx)
{
	struct fetch *f;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	f = mem_alloc(sizeof(*f));
	f->on_event = event;
	f->ctx = ctx;
	f->multi = curl_multi_init();
	curl_multi_setopt(
	    f->multi, CURLMOPT_MAXCONNECTS, FETCH_CACHED_CONNS_MAX);
	pthread_mutex_init(&f->lock, NULL);
	TAILQ_INIT(&f->started);
	TAILQ_INIT(&f->cancelled);
	pthread_create(&f->thread, NULL, fetch_run, f);
	return f;
}

void
fetch_destroy(struct fetch *f)
{
	struct transfer *t, *next;

	if (f == NULL)
		return;
	pthread_mutex_lock(&f->lock);
	f->stop = 1;
	pthread_mutex_unlock(&f->lock);
	curl_multi_wakeup(f->multi);
	pthread_join(f->thread, NULL);
	fetch_apply_queues(f);
	HASH_ITER (hh, f->transfers, t, next)
		transfer_free(t);
	curl_multi_cleanup(f->multi);
	pthread_mutex_destroy(&f->lock);
	free(f);
}

static void
transfer_free(struct transfer *t)
{
	struct fetch *f = t->fetch;

	HASH_DEL(f->transfers, t);
	curl_multi_remove_handle(f->multi, t->easy);
	curl_easy_cleanup(t->easy);
	curl_slist_free_all(t->headers);
	if (t->release != NULL)
		t->release(t->cookie);
	free(t->body);
	free(t->fields);
	free(t->held);
	free(t);
}

static void
transfer_notify(struct transfer *t, enum fetch_event_type news,
    const char *bytes, size_t len)
{
	struct fetch_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.id = t->id;
	ev.cookie = t->cookie;
	ev.type = news;
	ev.status = t->status;
	ev.content_type = t->content_type;
	ev.fields = t->fields != NULL ? t->fields : "";
	ev.bytes = bytes;
	ev.len = len;
	ev.error = "";
	t->fetch->on_event(t->fetch->ctx, &ev);
}

/* Called by libcurl once connected, before the request is sent. */
static int
on_prereq(void *arg, char *remote, char *local, int rport, int lport)
{
	struct transfer *t = arg;

	(void)remote;
	(void)local;
	(void)rport;
	(void)lport;
	t->writing = 1;
	transfer_notify(t, FETCH_EVENT_WRITING, NULL, 0);
	return CURL_PREREQFUNC_OK;
}

/* Whether a line of a head has a name, given in lower case with its colon. */
static int
is_field(const char *line, size_t len, const char *name)
{
	size_t n = strlen(name);

	return len >= n && strncasecmp(line, name, n) == 0;
}

/* The value of a field, without white space around it. */
static const char *
field_value(const char *line, size_t *len)
{
	const char *end = line + *len;
	const char *s = memchr(line, ':', *len);

	s = s == NULL ? end : s + 1;
	while (s < end && isspace((unsigned char)*s))
		s++;
	while (s < end && isspace((unsigned char)end[-1]))
		end--;
	*len = (size_t)(end - s);
	return s;
}

static int
is_chunked(const char *line, size_t len)
{
	const char *value = field_value(line, &len);

	return len == strlen("chunked") &&
	    strncasecmp(value, "chunked", len) == 0;
}

static int
is_length(const char *line, size_t len)
{
	const char *value = field_value(line, &len);
	size_t i;

	for (i = 0; i < len && isdigit((unsigned char)value[i]); i++)
		;
	return i == len && len != 0 && len <= LENGTH_DIGITS_MAX;
}

/*
 * Notes where the body ends.  libcurl passes over what it cannot read, and then
 * the body ends with its connection; other readers do not accept it.
 */
static int
transfer_note_end(struct transfer *t, const char *line, size_t len)
{
	int chunked = is_field(line, len, "transfer-encoding:");

	if (!chunked && !is_field(line, len, "content-length:"))
		return 1;
	if (t->has_length)
		return 0;
	t->has_length = 1;
	return chunked ? is_chunked(line, len) : is_length(line, len);
}

/* Keeps a line of the head; a status line begins another head. */
static void
transfer_add_field(struct transfer *t, const char *line, size_t len)
{
	if (len >= 5 && memcmp(line, "HTTP/", 5) == 0) {
		t->fields_len = 0;
		t->has_length = 0;
		return;
	}
	if (t->fields_len + len > FETCH_FIELDS_MAX)
		return;
	t->fields = mem_grow(t->fields, t->fields_len + len + 1, 1);
	memcpy(t->fields + t->fields_len, line, len);
	t->fields_len += len;
	t->fields[t->fields_len] = '\0';
}

/* Whether a line goes on with a head, by a stricter rule than libcurl's. */
static int
transfer_check_line(struct transfer *t, const char *line, size_t len)
{
	if (t->framing.state != FRAMING_HEAD) /* after an interim response */
		http_framing_start(&t->framing, 1);
	return http_framing_scan(&t->framing, line, len) == len;
}

/* Any other value than the length of the line fails the transfer. */
static size_t
on_header(char *line, size_t size, size_t n, void *arg)
{
	static const char type[] = "content-type:";
	struct transfer *t = arg;
	size_t len = size * n;
	size_t skip = sizeof(type) - 1;
	long status = 0;

	if (is_field(line, len, type)) {
		while (skip < len && line[skip] == ' ')
			skip++;
		snprintf(t->content_type, sizeof(t->content_type), "%.*s",
		    (int)strcspn(line + skip, "\r\n"), line + skip);
	}
	if (!t->head_reported) {
		if (!transfer_check_line(t, line, len))
			return 0;
		transfer_add_field(t, line, len);
		if (!transfer_note_end(t, line, len))
			return 0;
	}
	if (len > 2 || t->head_reported)
		return len;
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status >= 200) {
		t->status = (int)status;
		t->head_reported = 1;
		if (!t->has_length)
			http_framing_start_until_close(&t->framing);
		transfer_notify(t, FETCH_EVENT_HEAD, NULL, 0);
	}
	return len;
}

/* Reports what is not a part of another response, and holds the rest. */
static void
transfer_release_body(struct transfer *t, const char *bytes, size_t len)
{
	size_t held = t->framing.matched;
	size_t sound;

	if (held < len) {
		if (t->held_len != 0)
			transfer_notify(
			    t, FETCH_EVENT_DATA, t->held, t->held_len);
		t->held_len = 0;
		sound = len - held;
		transfer_notify(t, FETCH_EVENT_DATA, bytes, sound);
		bytes += sound;
		len = held;
	}
	t->held = mem_grow(t->held, t->held_len + len + 1, 1);
	memcpy(t->held + t->held_len, bytes, len);
	t->held_len += len;
}

static size_t
on_body(char *bytes, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;
	size_t len = size * n;

	if (t->has_length) {
		transfer_notify(t, FETCH_EVENT_DATA, bytes, len);
		return len;
	}
	if (http_framing_scan(&t->framing, bytes, len) != len)
		return 0;
	transfer_release_body(t, bytes, len);
	return len;
}

static void
transfer_options(struct transfer *t, const struct fetch_spec *spec)
{
	CURL *e = t->easy;
	size_t i;

	curl_easy_setopt(e, CURLOPT_URL, spec->url);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_PRIVATE, t);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, t);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(
	    e, CURLOPT_CONNECTTIMEOUT_MS, (long)spec->connect_timeout_ms);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)spec->total_timeout_ms);
	if (spec->own_connection) {
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
	}
	/* Disable "Expect: 100-continue", which costs a round trip. */
	t->headers = curl_slist_append(t->headers, "Expect:");
	for (i = 0; spec->headers != NULL && spec->headers[i] != NULL; i++)
		t->headers = curl_slist_append(t->headers, spec->headers[i]);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, t->headers);
	if (spec->len != 0 || strcmp(spec->method, "POST") == 0) {
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, t->body);
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)spec->len);
	}
	if (strcmp(spec->method, "HEAD") == 0)
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, spec->method);
}

void
fetch_start(struct fetch *f, const struct fetch_spec *spec)
{
	struct transfer *t;

	t = mem_alloc(sizeof(*t));
	t->id = spec->id;
	t->fetch = f;
	t->cookie = spec->cookie;
	t->release = spec->release;
	http_framing_start(&t->framing, 1);
	t->easy = curl_easy_init();
	t->body = mem_alloc(spec->len + 1);
	if (spec->len != 0)
		memcpy(t->body, spec->body, spec->len);
	transfer_options(t, spec);
	pthread_mutex_lock(&f->lock);
	TAILQ_INSERT_TAIL(&f->started, t, entry);
	pthread_mutex_unlock(&f->lock);
	curl_multi_wakeup(f->multi);
}

static void
queue_cancellation(struct fetch *f, uint64_t id, int unsent_only)
{
	struct cancellation *s;

	s = mem_alloc(sizeof(*s));
	s->id = id;
	s->unsent_only = unsent_only;
	pthread_mutex_lock(&f->lock);
	TAILQ_INSERT_TAIL(&f->cancelled, s, entry);
	pthread_mutex_unlock(&f->lock);
	curl_multi_wakeup(f->multi);
}

void
fetch_cancel(struct fetch *f, uint64_t id)
{
	queue_cancellation(f, id, 0);
}

void
fetch_withdraw(struct fetch *f, uint64_t id)
{
	queue_cancellation(f, id, 1);
}

static void
apply_cancellation(struct fetch *f, const struct cancellation *s)
{
	struct transfer *t;

	HASH_FIND(hh, f->transfers, &s->id, sizeof(s->id), t);
	if (t == NULL || (s->unsent_only && t->writing))
		return;
	if (s->unsent_only)
		transfer_fail(t, 0, "withdrawn");
	transfer_free(t);
}

/* Applies the starts and cancellations queued by other threads. */
static void
fetch_apply_queues(struct fetch *f)
{
	struct transfer_list starting = TAILQ_HEAD_INITIALIZER(starting);
	struct cancellation_list stopping = TAILQ_HEAD_INITIALIZER(stopping);
	struct transfer *t;
	struct cancellation *s;

	pthread_mutex_lock(&f->lock);
	TAILQ_CONCAT(&starting, &f->started, entry);
	TAILQ_CONCAT(&stopping, &f->cancelled, entry);
	pthread_mutex_unlock(&f->lock);
	while ((t = TAILQ_FIRST(&starting)) != NULL) {
		TAILQ_REMOVE(&starting, t, entry);
		HASH_ADD(hh, f->transfers, id, sizeof(t->id), t);
		curl_multi_add_handle(f->multi, t->easy);
	}
	while ((s = TAILQ_FIRST(&stopping)) != NULL) {
		TAILQ_REMOVE(&stopping, s, entry);
		apply_cancellation(f, s);
		free(s);
	}
}

static void
transfer_fail(struct transfer *t, int connected, const char *error)
{
	struct fetch_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.id = t->id;
	ev.cookie = t->cookie;
	ev.type = FETCH_EVENT_FAIL;
	ev.content_type = t->content_type;
	ev.status = t->status;
	ev.connected = connected;
	ev.maybe_sent = t->writing;
	ev.error = error;
	t->fetch->on_event(t->fetch->ctx, &ev);
}

/* libcurl takes a body that ends with its connection for whole. */
static int
transfer_is_whole(const struct transfer *t)
{
	return t->framing.state != FRAMING_UNTIL_CLOSE ||
	    http_framing_may_close(&t->framing);
}

static void
fetch_finish(CURLMsg *msg)
{
	struct transfer *t;
	curl_off_t connect_us = 0;

	curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &t);
	if (msg->data.result == CURLE_OK && transfer_is_whole(t)) {
		transfer_notify(t, FETCH_EVENT_END, NULL, 0);
		transfer_free(t);
		return;
	}
	curl_easy_getinfo(t->easy, CURLINFO_CONNECT_TIME_T, &connect_us);
	transfer_fail(t, connect_us > 0 || t->writing,
	    curl_easy_strerror(msg->data.result));
	transfer_free(t);
}

static void *
fetch_run(void *arg)
{
	struct fetch *f = arg;
	CURLMsg *msg;
	int running;
	int left;
	int done = 0;

	while (!done) {
		curl_multi_poll(f->multi, NULL, 0, FETCH_POLL_MSEC, NULL);
		fetch_apply_queues(f);
		curl_multi_perform(f->multi, &running);
		while ((msg = curl_multi_info_read(f->multi, &left)) != NULL) {
			if (msg->msg == CURLMSG_DONE)
				fetch_finish(msg);
		}
		pthread_mutex_lock(&f->lock);
		done = f->stop;
		pthread_mutex_unlock(&f->lock);
	}
	return NULL;
}
