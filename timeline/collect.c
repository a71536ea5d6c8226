/* Fetches events from all processes and aligns their clocks. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_call.h"
#include "clock.h"
#include "mem.h"
#include "timeline.h"

#define CLOCK_PROBES 5
#define FETCH_TIMEOUT_MSEC 5000
/* Past all sequence numbers, so that the response is the header line alone. */
#define SINCE_NONE "18446744073709551000"

static char *fetch_events(const struct source *, const char *);
static int measure_clock_offset(struct source *);
static int compare_offsets(const void *, const void *);
static int64_t earliest_offset(const struct source *);
static int64_t latest_offset(const struct source *);
static void join_clocks(struct timeline *);
static void collect_source(struct timeline *, size_t);
static size_t parse_events(struct timeline *, size_t, char *, uint64_t *);
static int compare_events(const void *, const void *);

static char *
fetch_events(const struct source *s, const char *since)
{
	struct err e;
	char path[64];
	char *text = NULL;
	int status;

	snprintf(path, sizeof(path), "/events?since=%s", since);
	status = http_call(
	    s->addr, "GET", path, NULL, FETCH_TIMEOUT_MSEC, &text, &e);
	if (status == 200)
		return text;
	if (status != -1)
		free(text);
	return NULL;
}

/*
 * Estimates the clock offset from the probe with the shortest round trip,
 * whose midpoint has the smallest error.  Returns -1 when a probe fails.
 */
static int
measure_clock_offset(struct source *s)
{
	json_t *head;
	uint64_t before;
	uint64_t after;
	char *text;
	int i;

	s->rtt = UINT64_MAX;
	for (i = 0; i < CLOCK_PROBES; i++) {
		before = clock_mono();
		text = fetch_events(s, SINCE_NONE);
		after = clock_mono();
		if (text == NULL)
			return -1;
		head = json_loadb(text, strcspn(text, "\n"), 0, NULL);
		free(text);
		if (head != NULL && after - before < s->rtt) {
			s->rtt = after - before;
			s->offset = (int64_t)json_integer_value(
					json_object_get(head, "mono")) -
			    (int64_t)(before + s->rtt / 2);
			s->incarnation = (uint64_t)json_integer_value(
			    json_object_get(head, "incarnation"));
			snprintf(s->process, sizeof(s->process), "%s",
			    json_string_value(
				json_object_get(head, "process")));
		}
		json_decref(head);
	}
	return s->rtt == UINT64_MAX ? -1 : 0;
}

static int64_t
earliest_offset(const struct source *s)
{
	return s->offset - (int64_t)(s->rtt / 2);
}

static int64_t
latest_offset(const struct source *s)
{
	return s->offset + (int64_t)(s->rtt / 2);
}

static int
compare_offsets(const void *a, const void *b)
{
	int64_t x = earliest_offset(*(struct source *const *)a);
	int64_t y = earliest_offset(*(struct source *const *)b);

	return (x > y) - (x < y);
}

/*
 * Processes on one host have the same clock, so that their offsets are equal.
 * Sources whose intervals have a common part get the middle of that part.
 */
static void
join_clocks(struct timeline *t)
{
	struct source **list = mem_alloc(t->nsources * sizeof(struct source *));
	int64_t from, to;
	size_t n = 0;
	size_t i, j, first;

	for (i = 0; i < t->nsources; i++) {
		if (!t->sources[i].unreachable)
			list[n++] = &t->sources[i];
	}
	qsort(list, n, sizeof(*list), compare_offsets);
	for (first = 0; first < n; first = i) {
		to = latest_offset(list[first]);
		for (i = first; i < n && earliest_offset(list[i]) <= to; i++) {
			from = earliest_offset(list[i]);
			if (latest_offset(list[i]) < to)
				to = latest_offset(list[i]);
		}
		for (j = first; j < i; j++)
			list[j]->offset = from + (to - from) / 2;
	}
	free(list);
}

/* Parses the events of one response; returns their number. */
static size_t
parse_events(struct timeline *t, size_t source, char *text, uint64_t *next)
{
	struct source *s = &t->sources[source];
	struct timeline_event *k;
	json_t *doc;
	char *line;
	char *save = NULL;
	uint64_t oldest;
	size_t n = 0;

	for (line = strtok_r(text, "\n", &save); line != NULL;
	     line = strtok_r(NULL, "\n", &save)) {
		doc = json_loads(line, 0, NULL);
		if (json_object_get(doc, "oldest") != NULL) {
			oldest = (uint64_t)json_integer_value(
			    json_object_get(doc, "oldest"));
			if (oldest > *next)
				s->lost_events += oldest - *next;
			if (oldest > *next)
				*next = oldest;
			json_decref(doc);
			continue;
		}
		if (doc == NULL)
			continue;
		*next =
		    (uint64_t)json_integer_value(json_object_get(doc, "seq")) +
		    1;
		t->events =
		    mem_grow(t->events, t->nevents + 1, sizeof(*t->events));
		k = &t->events[t->nevents++];
		k->event = doc;
		k->source = source;
		k->at = (uint64_t)((int64_t)json_integer_value(
				       json_object_get(doc, "mono")) -
		    s->offset);
		n++;
	}
	return n;
}

static void
collect_source(struct timeline *t, size_t source)
{
	struct source *s = &t->sources[source];
	uint64_t next = 0;
	char since[24];
	char *text;
	size_t n;

	if (s->unreachable)
		return;
	do {
		snprintf(since, sizeof(since), "%" PRIu64, next);
		text = fetch_events(s, since);
		if (text == NULL) {
			s->unreachable = 1;
			return;
		}
		n = parse_events(t, source, text, &next);
		free(text);
	} while (n != 0);
}

static int
compare_events(const void *a, const void *b)
{
	const struct timeline_event *x = a;
	const struct timeline_event *y = b;
	json_int_t sx;
	json_int_t sy;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	if (x->source != y->source)
		return x->source < y->source ? -1 : 1;
	sx = json_integer_value(json_object_get(x->event, "seq"));
	sy = json_integer_value(json_object_get(y->event, "seq"));
	return (sx > sy) - (sx < sy);
}

void
timeline_collect(struct timeline *t, const char *const *addrs, size_t n)
{
	size_t i;

	memset(t, 0, sizeof(*t));
	t->sources = mem_alloc(n * sizeof(*t->sources));
	t->nsources = n;
	for (i = 0; i < n; i++) {
		snprintf(t->sources[i].addr, ADDR_SIZE, "%s", addrs[i]);
		t->sources[i].unreachable =
		    measure_clock_offset(&t->sources[i]) == -1;
	}
	join_clocks(t);
	for (i = 0; i < n; i++)
		collect_source(t, i);
	if (t->nevents != 0)
		qsort(
		    t->events, t->nevents, sizeof(*t->events), compare_events);
}

void
timeline_clear(struct timeline *t)
{
	size_t i;

	for (i = 0; i < t->nevents; i++)
		json_decref(t->events[i].event);
	free(t->events);
	free(t->sources);
}
