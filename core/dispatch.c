#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "dispatch.h"
#include "mem.h"

/* A request that is not renewed for so long is forgotten. */
#define ASK_NS (1200 * NSEC_PER_MSEC)
/* A report may have been written so long before it was read. */
#define TOLD_LAG_NS (40 * NSEC_PER_MSEC)
/* A grant that no report confirms is forgotten. */
#define GRANT_NS (600 * NSEC_PER_MSEC)

struct waiting {
	struct waiting *prev;
	struct waiting *next;
	struct dispatch_ask ask;
	uint64_t since;
	uint64_t asked_at;
	UT_hash_handle hh;
};

/* A grant that the asking process has not reported as running. */
struct grant {
	struct grant *prev;
	struct grant *next;
	char from[ADDR_SIZE];
	char replica[NAME_SIZE];
	struct work work;
	uint64_t at;
};

struct dispatch {
	struct directory *dir;
	struct pace *pace;
	struct waiting *by_key;
	struct waiting *queue; /* most urgent first */
	struct grant *grants;
};

static void waiting_free(struct dispatch *, struct waiting *);
static void grant_free(struct dispatch *, struct grant *);
static void grant_add(struct dispatch *, uint64_t, const struct dispatch_ask *,
    struct member_replica *);
static int more_urgent(const struct waiting *, const struct waiting *);
static struct waiting *waiting_find(
    const struct dispatch *, const struct job_key *);

struct dispatch *
dispatch_create(struct directory *dir, struct pace *pace)
{
	struct dispatch *d;

	d = mem_alloc(sizeof(*d));
	d->dir = dir;
	d->pace = pace;
	return d;
}

void
dispatch_destroy(struct dispatch *d)
{
	if (d == NULL)
		return;
	while (d->queue != NULL)
		waiting_free(d, d->queue);
	while (d->grants != NULL)
		grant_free(d, d->grants);
	free(d);
}

static void
waiting_free(struct dispatch *d, struct waiting *w)
{
	HASH_DELETE(hh, d->by_key, w);
	DL_DELETE(d->queue, w);
	free(w);
}

static void
grant_free(struct dispatch *d, struct grant *g)
{
	struct member_replica *m = directory_find(d->dir, g->replica);

	if (m != NULL) {
		m->granted.running -= g->work.running;
		m->granted.unread -= g->work.unread;
		m->granted.tokens -= g->work.tokens;
	}
	DL_DELETE(d->grants, g);
	free(g);
}

/* By priority, then by the time at which an answer is late. */
static int
more_urgent(const struct waiting *a, const struct waiting *b)
{
	if (a->ask.priority != b->ask.priority)
		return a->ask.priority < b->ask.priority;
	return a->ask.target < b->ask.target;
}

static struct waiting *
waiting_find(const struct dispatch *d, const struct job_key *key)
{
	struct waiting *w;

	HASH_FIND(hh, d->by_key, key, sizeof(*key), w);
	return w;
}

void
dispatch_put(
    struct dispatch *d, uint64_t now, const struct dispatch_ask *ask)
{
	struct waiting *w = waiting_find(d, &ask->key);
	struct waiting *other;

	if (w != NULL) {
		w->asked_at = now;
		return;
	}
	w = mem_alloc(sizeof(*w));
	w->ask = *ask;
	w->since = now;
	w->asked_at = now;
	HASH_ADD(hh, d->by_key, ask.key, sizeof(w->ask.key), w);
	DL_FOREACH (d->queue, other) {
		if (more_urgent(w, other))
			break;
	}
	if (other != NULL)
		DL_PREPEND_ELEM(d->queue, other, w);
	else
		DL_APPEND(d->queue, w);
}

void
dispatch_cancel(struct dispatch *d, const struct job_key *key)
{
	struct waiting *w = waiting_find(d, key);

	if (w != NULL)
		waiting_free(d, w);
}

void
dispatch_want(const struct dispatch_ask *ask, const struct fleet_service *s,
    uint64_t read_ns, uint32_t conns_share, struct balance_want *w)
{
	memset(w, 0, sizeof(*w));
	w->service = ask->service;
	w->engine = s->engine;
	w->model = ask->model;
	w->adapter = ask->adapter;
	w->zone = ask->zone;
	w->prompt_tokens = ask->prompt_tokens;
	w->tokens = ask->tokens;
	w->read_ns = read_ns;
	w->conns_share = conns_share;
	if (ask->exclude[0] != '\0')
		memcpy(w->tried[w->ntried++], ask->exclude,
		    sizeof(ask->exclude));
}

static void
grant_add(struct dispatch *d, uint64_t now, const struct dispatch_ask *ask,
    struct member_replica *m)
{
	struct grant *g;

	/* This process's own work is counted when it is sent. */
	if (ask->from[0] == '\0')
		return;
	g = mem_alloc(sizeof(*g));
	memcpy(g->from, ask->from, sizeof(g->from));
	memcpy(g->replica, m->info.id, sizeof(g->replica));
	g->work.running = 1;
	g->work.unread = ask->prompt_tokens;
	g->work.tokens = ask->tokens;
	g->at = now;
	m->granted.running += g->work.running;
	m->granted.unread += g->work.unread;
	m->granted.tokens += g->work.tokens;
	DL_APPEND(d->grants, g);
	directory_reads(m, now, pace_read_ns(d->pace, ask->model,
	    ask->prompt_tokens));
}

void
dispatch_run(struct dispatch *d, uint64_t now, const struct fleet_conf *conf,
    uint32_t conns_share, dispatch_granted granted, void *ctx)
{
	const struct fleet_service *s;
	struct member_replica *m;
	struct balance_want want;
	struct waiting *w, *next;
	struct dispatch_ask ask;
	struct grant *g, *after;

	DL_FOREACH_SAFE (d->grants, g, after) {
		if (now >= g->at + GRANT_NS)
			grant_free(d, g);
	}
	DL_FOREACH_SAFE (d->queue, w, next) {
		if (now >= w->ask.deadline || now >= w->asked_at + ASK_NS) {
			waiting_free(d, w);
			continue;
		}
		s = fleet_service(conf, w->ask.service);
		if (s == NULL || s->engine == NULL)
			continue;
		dispatch_want(&w->ask, s, pace_read_ns(d->pace, w->ask.model,
		    w->ask.prompt_tokens), conns_share, &want);
		want.waited_ns = now - w->since;
		if (balance_pick(d->dir, now, &want,
			(double)(w->ask.key.rid % 97) / 97.0, &m) !=
		    BALANCE_FOUND)
			continue;
		ask = w->ask;
		waiting_free(d, w);
		grant_add(d, now, &ask, m);
		granted(ctx, &ask, m);
	}
}

void
dispatch_told(struct dispatch *d, uint64_t now, const char *from)
{
	struct grant *g, *next;

	DL_FOREACH_SAFE (d->grants, g, next) {
		if (strcmp(g->from, from) == 0 && g->at + TOLD_LAG_NS < now)
			grant_free(d, g);
	}
}

uint32_t
dispatch_waiting(const struct dispatch *d)
{
	return HASH_COUNT(d->by_key);
}
