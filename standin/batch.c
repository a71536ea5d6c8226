/* Simulated continuous batching; see batch.h. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>

#include "batch.h"
#include "clock.h"
#include "mem.h"

#define PREFIX_CACHE_SLOTS 256 /* direct-mapped by prefix hash */
#define PREFIX_HIT_COST 0.25   /* share of the prefill time on a hit */
#define PREFILL_BYTES 1000.0
#define RECORDS_MAX 200000

struct sequence {
	TAILQ_ENTRY(sequence) entry;
	uint64_t id;
	char name[NAME_SIZE];
	char rid[NAME_SIZE];
	int priority;
	double prefill_ms;  /* remaining */
	uint32_t next;	    /* index of the next token to generate */
	uint32_t delivered; /* index of the next token to return */
	uint32_t first;
	uint32_t last;
	int running;
	int cancelled;
	uint64_t added;
	uint64_t started;
	pthread_cond_t cond;
};

TAILQ_HEAD(sequence_list, sequence);

struct record {
	char name[NAME_SIZE];
	char rid[NAME_SIZE];
	uint64_t started;
	uint64_t ended;
	uint32_t tokens;
	char outcome[16];
};

struct batch {
	struct batch_config config;
	pthread_mutex_t lock;
	pthread_cond_t sequence_added;
	pthread_t thread;
	struct sequence_list sequences; /* by priority, then arrival */
	uint32_t running;
	uint32_t waiting;
	uint64_t next_id;
	double slowdown;
	uint64_t prefixes[PREFIX_CACHE_SLOTS];
	uint64_t tokens;
	double busy_s; /* summed over the sequences */
	double step_s; /* summed over the steps */
	struct record *records;
	size_t nrecords;
};

static void *batch_run(void *);
static void batch_admit(struct batch *);
static double batch_step_ms(struct batch *);
static void sequence_advance(struct sequence *, double);
static int prefix_lookup(struct batch *, uint64_t);

struct batch *
batch_create(const struct batch_config *config)
{
	struct batch *b;

	b = mem_alloc(sizeof(*b));
	b->config = *config;
	b->slowdown = 1.0;
	b->records = mem_alloc(RECORDS_MAX * sizeof(*b->records));
	pthread_mutex_init(&b->lock, NULL);
	pthread_cond_init(&b->sequence_added, NULL);
	TAILQ_INIT(&b->sequences);
	pthread_create(&b->thread, NULL, batch_run, b);
	return b;
}

void
batch_set_slowdown(struct batch *b, double factor)
{
	pthread_mutex_lock(&b->lock);
	b->slowdown = factor;
	pthread_mutex_unlock(&b->lock);
}

/* Whether a prefix was cached; caches it in either case. */
static int
prefix_lookup(struct batch *b, uint64_t prefix)
{
	uint64_t *slot = &b->prefixes[prefix % PREFIX_CACHE_SLOTS];
	int warm = *slot == prefix;

	*slot = prefix;
	return warm;
}

struct sequence *
batch_add(struct batch *b, const char *name, const char *rid, uint64_t prefix,
    size_t prompt, int priority, uint32_t first, uint32_t last)
{
	struct sequence *s;
	struct sequence *at;

	s = mem_alloc(sizeof(*s));
	snprintf(s->name, sizeof(s->name), "%s", name);
	snprintf(s->rid, sizeof(s->rid), "%s", rid);
	s->priority = priority;
	s->next = s->delivered = s->first = first;
	s->last = last;
	s->added = clock_mono();
	pthread_cond_init(&s->cond, NULL);
	pthread_mutex_lock(&b->lock);
	s->id = ++b->next_id;
	s->prefill_ms = b->config.prefill_ms * (double)prompt / PREFILL_BYTES;
	if (prefix_lookup(b, prefix))
		s->prefill_ms *= PREFIX_HIT_COST;
	TAILQ_FOREACH (at, &b->sequences, entry) {
		if (at->priority > priority)
			break;
	}
	if (at == NULL)
		TAILQ_INSERT_TAIL(&b->sequences, s, entry);
	else
		TAILQ_INSERT_BEFORE(at, s, entry);
	b->waiting++;
	pthread_cond_signal(&b->sequence_added);
	pthread_mutex_unlock(&b->lock);
	return s;
}

enum sequence_event
batch_next_event(struct batch *b, struct sequence *s, uint32_t *index)
{
	enum sequence_event news = SEQUENCE_TOKEN;

	pthread_mutex_lock(&b->lock);
	while (s->delivered == s->next && s->next < s->last && !s->cancelled)
		pthread_cond_wait(&s->cond, &b->lock);
	if (s->cancelled)
		news = SEQUENCE_CANCELLED;
	else if (s->delivered == s->next)
		news = SEQUENCE_END;
	else
		*index = s->delivered++;
	pthread_mutex_unlock(&b->lock);
	return news;
}

uint64_t
batch_id(const struct sequence *s)
{
	return s->id;
}

void
batch_cancel(struct batch *b, uint64_t id)
{
	struct sequence *s;

	pthread_mutex_lock(&b->lock);
	TAILQ_FOREACH (s, &b->sequences, entry) {
		if (s->id == id) {
			s->cancelled = 1;
			pthread_cond_signal(&s->cond);
		}
	}
	pthread_mutex_unlock(&b->lock);
}

void
batch_remove(struct batch *b, struct sequence *s, const char *outcome)
{
	struct record *r;

	pthread_mutex_lock(&b->lock);
	TAILQ_REMOVE(&b->sequences, s, entry);
	if (s->running)
		b->running--;
	else
		b->waiting--;
	if (b->nrecords < RECORDS_MAX) {
		r = &b->records[b->nrecords++];
		memcpy(r->name, s->name, sizeof(r->name));
		memcpy(r->rid, s->rid, sizeof(r->rid));
		r->started = s->running ? s->started : 0;
		r->ended = clock_mono();
		r->tokens = s->next - s->first;
		snprintf(r->outcome, sizeof(r->outcome), "%s", outcome);
	}
	if (s->running)
		b->busy_s += (double)(clock_mono() - s->started) / 1e9;
	pthread_mutex_unlock(&b->lock);
	pthread_cond_destroy(&s->cond);
	free(s);
}

/* Starts waiting sequences in order of priority while there is room. */
static void
batch_admit(struct batch *b)
{
	struct sequence *s;

	TAILQ_FOREACH (s, &b->sequences, entry) {
		if (b->running >= b->config.max_sequences)
			return;
		if (s->running)
			continue;
		s->running = 1;
		s->started = clock_mono();
		b->running++;
		b->waiting--;
	}
}

/* Runs one step of prefill, or generates one token. */
static void
sequence_advance(struct sequence *s, double ms)
{
	if (s->prefill_ms > 0.0) {
		s->prefill_ms -= ms;
		return;
	}
	if (s->next < s->last)
		s->next++;
	pthread_cond_signal(&s->cond);
}

/* Time of one step at the current batch size, in milliseconds. */
static double
batch_step_ms(struct batch *b)
{
	return b->config.step_ms * b->slowdown *
	    (1.0 + b->config.step_per_seq * b->running);
}

/* Thread that runs the steps while there are sequences. */
static void *
batch_run(void *arg)
{
	struct batch *b = arg;
	struct timespec ts;
	struct sequence *s;
	double ms;

	pthread_mutex_lock(&b->lock);
	for (;;) {
		while (TAILQ_EMPTY(&b->sequences))
			pthread_cond_wait(&b->sequence_added, &b->lock);
		batch_admit(b);
		ms = batch_step_ms(b);
		ts.tv_sec = (time_t)(ms / 1000.0);
		ts.tv_nsec = (long)((ms - (double)ts.tv_sec * 1000.0) * 1e6);
		pthread_mutex_unlock(&b->lock);
		nanosleep(&ts, NULL);
		pthread_mutex_lock(&b->lock);
		b->step_s += ms / 1000.0;
		TAILQ_FOREACH (s, &b->sequences, entry) {
			if (!s->running)
				continue;
			sequence_advance(s, ms / b->slowdown);
			b->tokens++;
		}
	}
	return NULL;
}

json_t *
batch_records(struct batch *b)
{
	json_t *list = json_array();
	struct record *r;
	size_t i;

	pthread_mutex_lock(&b->lock);
	for (i = 0; i < b->nrecords; i++) {
		r = &b->records[i];
		json_array_append_new(list,
		    json_pack("[s,s,I,I,i,s]", r->name, r->rid,
			(json_int_t)r->started, (json_int_t)r->ended,
			(int)r->tokens, r->outcome));
	}
	pthread_mutex_unlock(&b->lock);
	return list;
}

json_t *
batch_stats(struct batch *b)
{
	json_t *doc;

	pthread_mutex_lock(&b->lock);
	doc = json_pack("{s:i,s:i,s:I,s:f,s:f}", "running", (int)b->running,
	    "waiting", (int)b->waiting, "tokens", (json_int_t)b->tokens,
	    "busy_s", b->busy_s, "step_s", b->step_s);
	pthread_mutex_unlock(&b->lock);
	return doc;
}
