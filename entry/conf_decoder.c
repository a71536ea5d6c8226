#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "clock.h"
#include "conf_decoder.h"
#include "config.h"
#include "deflate.h"
#include "mem.h"
#include "ring.h"

/* Each may have 1 MB; the newest versions are kept. */
#define QUEUED_MAX 8
/* Of an unpacked text; the store's values are smaller. */
#define TEXT_MAX_BYTES 4194304

struct job {
	TAILQ_ENTRY(job) entry;
	int packed; /* the form that was added */
	struct conf_decoded d;
};

TAILQ_HEAD(job_list, job);

struct conf_decoder {
	struct ev_loop *loop;
	void (*decoded)(void *, struct conf_decoded *);
	void *ctx;
	struct job_list queued;
	uint32_t nqueued;
	const struct job *current; /* handed to the thread */
	struct ring *todo;	   /* read by the thread */
	struct ring *done;	   /* written by it */
	ev_io io;
	pthread_t thread;
};

static void *decode_run(void *);
static void job_destroy(struct job *);
static void job_complete(struct job *);
static int job_has(const struct job *, int, const char *, size_t);
static int is_queued(const struct conf_decoder *, int, const char *, size_t);
static void add(struct conf_decoder *, int, const char *, size_t, const char *);
static void start_next(struct conf_decoder *);
static void on_done(struct ev_loop *, ev_io *, int);

struct conf_decoder *
conf_decoder_create(struct ev_loop *loop,
    void (*decoded)(void *, struct conf_decoded *), void *ctx, struct err *e)
{
	struct conf_decoder *c;

	c = mem_alloc(sizeof(*c));
	c->loop = loop;
	c->decoded = decoded;
	c->ctx = ctx;
	TAILQ_INIT(&c->queued);
	c->todo = ring_create(1);
	c->done = ring_create(1);
	if (pthread_create(&c->thread, NULL, decode_run, c) != 0) {
		err_set(e, ERR_SYSTEM,
		    "no thread to decode configurations; raise the limit on "
		    "threads");
		ring_destroy(c->todo);
		ring_destroy(c->done);
		free(c);
		return NULL;
	}
	ev_io_init(&c->io, on_done, ring_fd(c->done), EV_READ);
	c->io.data = c;
	ev_io_start(loop, &c->io);
	return c;
}

void
conf_decoder_destroy(struct conf_decoder *c)
{
	struct job *j;

	if (c == NULL)
		return;
	ev_io_stop(c->loop, &c->io);
	ring_close(c->todo);
	pthread_join(c->thread, NULL);
	while ((j = ring_pop(c->todo, 0)) != NULL)
		job_destroy(j);
	while ((j = ring_pop(c->done, 0)) != NULL)
		job_destroy(j);
	while ((j = TAILQ_FIRST(&c->queued)) != NULL) {
		TAILQ_REMOVE(&c->queued, j, entry);
		job_destroy(j);
	}
	ring_destroy(c->todo);
	ring_destroy(c->done);
	free(c);
}

static void
job_destroy(struct job *j)
{
	fleet_conf_destroy(j->d.conf);
	free(j->d.text);
	free(j->d.packed);
	free(j);
}

/* Sets the text or its compressed form from the other one. */
static void
job_complete(struct job *j)
{
	struct buf out = { 0 };
	char *copy;

	if (j->d.text != NULL)
		deflate_pack(&out, j->d.text, j->d.len);
	else if (deflate_unpack(&out, j->d.packed, j->d.packed_len,
		     TEXT_MAX_BYTES) == -1) {
		err_set(&j->d.err, ERR_FORMAT,
		    "the configuration cannot be unpacked; it is asked for "
		    "again");
		buf_free(&out);
		return;
	}
	copy = mem_alloc(buf_len(&out) + 1);
	memcpy(copy, buf_data(&out), buf_len(&out));
	if (j->d.text == NULL) {
		j->d.text = copy;
		j->d.len = buf_len(&out);
	} else {
		j->d.packed = copy;
		j->d.packed_len = buf_len(&out);
	}
	buf_free(&out);
}

/* At most one text is with the thread, so that the rings do not fill up. */
static void *
decode_run(void *arg)
{
	struct conf_decoder *c = arg;
	struct job *j;
	uint64_t started_at;

	while ((j = ring_pop(c->todo, TIME_NEVER)) != NULL) {
		started_at = clock_mono();
		job_complete(j);
		if (j->d.text != NULL)
			j->d.conf = platform_config_decode(
			    j->d.text, j->d.len, &j->d.err);
		j->d.decode_ns = clock_mono() - started_at;
		(void)ring_push(c->done, j);
	}
	return NULL;
}

static int
job_has(const struct job *j, int packed, const char *p, size_t len)
{
	const char *own = packed ? j->d.packed : j->d.text;
	size_t own_len = packed ? j->d.packed_len : j->d.len;

	return own != NULL && own_len == len && memcmp(own, p, len) == 0;
}

/* The thread may be setting the other form of the current text. */
static int
is_queued(const struct conf_decoder *c, int packed, const char *p, size_t len)
{
	const struct job *j;

	TAILQ_FOREACH (j, &c->queued, entry) {
		if (job_has(j, packed, p, len))
			return 1;
	}
	return c->current != NULL && c->current->packed == packed &&
	    job_has(c->current, packed, p, len);
}

static void
add(struct conf_decoder *c, int packed, const char *p, size_t len,
    const char *source)
{
	struct job *j;
	char *copy;

	if (is_queued(c, packed, p, len))
		return;
	if (c->nqueued == QUEUED_MAX) {
		j = TAILQ_FIRST(&c->queued);
		TAILQ_REMOVE(&c->queued, j, entry);
		c->nqueued--;
		job_destroy(j);
	}
	j = mem_alloc(sizeof(*j));
	copy = mem_alloc(len + 1);
	memcpy(copy, p, len);
	j->packed = packed;
	if (packed) {
		j->d.packed = copy;
		j->d.packed_len = len;
	} else {
		j->d.text = copy;
		j->d.len = len;
	}
	snprintf(j->d.source, sizeof(j->d.source), "%s", source);
	TAILQ_INSERT_TAIL(&c->queued, j, entry);
	c->nqueued++;
	start_next(c);
}

void
conf_decoder_add(
    struct conf_decoder *c, const char *text, size_t len, const char *source)
{
	add(c, 0, text, len, source);
}

void
conf_decoder_add_packed(
    struct conf_decoder *c, const char *p, size_t len, const char *source)
{
	add(c, 1, p, len, source);
}

int
conf_decoder_is_busy(const struct conf_decoder *c)
{
	return c->current != NULL;
}

static void
start_next(struct conf_decoder *c)
{
	struct job *j = TAILQ_FIRST(&c->queued);

	if (j == NULL || c->current != NULL || ring_push(c->todo, j) == -1)
		return;
	TAILQ_REMOVE(&c->queued, j, entry);
	c->nqueued--;
	c->current = j;
}

static void
on_done(struct ev_loop *loop, ev_io *w, int events)
{
	struct conf_decoder *c = w->data;
	struct job *j;

	(void)loop;
	(void)events;
	j = ring_pop(c->done, 0);
	if (j == NULL)
		return;
	c->current = NULL;
	c->decoded(c->ctx, &j->d);
	job_destroy(j);
	start_next(c);
}
