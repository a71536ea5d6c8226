#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "clock.h"
#include "conf_decoder.h"
#include "config.h"
#include "mem.h"
#include "ring.h"

/* Of up to 1 MB each; beyond that the oldest one is dropped. */
#define QUEUED_MAX 8

struct job {
	TAILQ_ENTRY(job) entry;
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
static int job_has_text(const struct job *, const char *, size_t);
static int is_queued(const struct conf_decoder *, const char *, size_t);
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
	free(j);
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
		j->d.conf =
		    platform_config_decode(j->d.text, j->d.len, &j->d.err);
		j->d.decode_ns = clock_mono() - started_at;
		(void)ring_push(c->done, j);
	}
	return NULL;
}

static int
job_has_text(const struct job *j, const char *text, size_t len)
{
	return j->d.len == len && memcmp(j->d.text, text, len) == 0;
}

static int
is_queued(const struct conf_decoder *c, const char *text, size_t len)
{
	const struct job *j;

	if (c->current != NULL && job_has_text(c->current, text, len))
		return 1;
	TAILQ_FOREACH (j, &c->queued, entry) {
		if (job_has_text(j, text, len))
			return 1;
	}
	return 0;
}

/*
 * An earlier text of the source stays in the queue: the later one may be
 * malformed, or of an older version.
 */
void
conf_decoder_add(
    struct conf_decoder *c, const char *text, size_t len, const char *source)
{
	struct job *j;

	if (is_queued(c, text, len))
		return;
	if (c->nqueued == QUEUED_MAX) {
		j = TAILQ_FIRST(&c->queued);
		TAILQ_REMOVE(&c->queued, j, entry);
		c->nqueued--;
		job_destroy(j);
	}
	j = mem_alloc(sizeof(*j));
	j->d.text = mem_alloc(len + 1);
	memcpy(j->d.text, text, len);
	j->d.len = len;
	snprintf(j->d.source, sizeof(j->d.source), "%s", source);
	TAILQ_INSERT_TAIL(&c->queued, j, entry);
	c->nqueued++;
	start_next(c);
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
