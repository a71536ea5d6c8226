/* Filters the merged events and prints them as text, JSON or Chrome trace. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "timeline.h"

static int event_matches(const json_t *, const struct filter *);
static int field_matches(const json_t *, const char *, const char *);
static const char *get_text(const json_t *, const char *);
static json_t *chrome_event(
    const struct timeline *, const struct timeline_event *);

static const char *
get_text(const json_t *doc, const char *name)
{
	const char *text = json_string_value(json_object_get(doc, name));

	return text == NULL ? "" : text;
}

static int
field_matches(const json_t *event, const char *name, const char *want)
{
	return want == NULL || strcmp(get_text(event, name), want) == 0;
}

static int
event_matches(const json_t *event, const struct filter *f)
{
	if (f->ticket != 0 &&
	    (uint64_t)json_integer_value(json_object_get(event, "ticket")) !=
		f->ticket)
		return 0;
	return field_matches(event, "request", f->request) &&
	    field_matches(event, "model", f->model) &&
	    field_matches(event, "backend", f->backend) &&
	    field_matches(event, "event", f->event);
}

void
timeline_filter(struct timeline *t, const struct filter *f)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < t->nevents; i++) {
		if (event_matches(t->events[i].event, f))
			t->events[kept++] = t->events[i];
		else
			json_decref(t->events[i].event);
	}
	t->nevents = kept;
}

void
timeline_text(const struct timeline *t)
{
	const struct source *s;
	const struct timeline_event *k;
	uint64_t start = t->nevents == 0 ? 0 : t->events[0].at;
	size_t i;

	for (i = 0; i < t->nevents; i++) {
		k = &t->events[i];
		s = &t->sources[k->source];
		printf("%12.6f %-16s %-22s %lld %-18s",
		    (double)(k->at - start) / 1e9, s->process, s->addr,
		    (long long)json_integer_value(
			json_object_get(k->event, "number")),
		    get_text(k->event, "event"));
		if (get_text(k->event, "request")[0] != '\0')
			printf(" request=%s", get_text(k->event, "request"));
		if (json_integer_value(json_object_get(k->event, "ticket")) !=
		    0)
			printf(" ticket=%lld",
			    (long long)json_integer_value(
				json_object_get(k->event, "ticket")));
		if (get_text(k->event, "model")[0] != '\0')
			printf(" model=%s", get_text(k->event, "model"));
		if (get_text(k->event, "backend")[0] != '\0')
			printf(" backend=%s", get_text(k->event, "backend"));
		printf(" %s\n", get_text(k->event, "detail"));
	}
}

void
timeline_json(const struct timeline *t)
{
	const struct source *s;
	const struct timeline_event *k;
	char *line;
	size_t i;

	for (i = 0; i < t->nevents; i++) {
		k = &t->events[i];
		s = &t->sources[k->source];
		json_object_set_new(
		    k->event, "at", json_integer((json_int_t)k->at));
		json_object_set_new(
		    k->event, "process", json_string(s->process));
		json_object_set_new(k->event, "from", json_string(s->addr));
		json_object_set_new(k->event, "incarnation",
		    json_integer((json_int_t)s->incarnation));
		line = json_dumps(k->event, JSON_COMPACT);
		printf("%s\n", line);
		free(line);
	}
}

static json_t *
chrome_event(const struct timeline *t, const struct timeline_event *k)
{
	(void)t;
	return json_pack("{s:s,s:s,s:s,s:f,s:i,s:i,s:O}", "name",
	    get_text(k->event, "event"), "ph", "i", "s", "p", "ts",
	    (double)k->at / 1e3, "pid", (int)k->source + 1, "tid", 1, "args",
	    k->event);
}

/* Prints the trace event format, which Chrome's viewer and Perfetto read. */
void
timeline_chrome(const struct timeline *t)
{
	json_t *list = json_array();
	json_t *doc;
	char name[NAME_SIZE + ADDR_SIZE + 2];
	char *text;
	size_t i;

	for (i = 0; i < t->nsources; i++) {
		snprintf(name, sizeof(name), "%s %s", t->sources[i].process,
		    t->sources[i].addr);
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:i,s:{s:s}}", "name", "process_name",
			"ph", "M", "pid", (int)i + 1, "args", "name", name));
	}
	for (i = 0; i < t->nevents; i++)
		json_array_append_new(list, chrome_event(t, &t->events[i]));
	doc = json_pack("{s:o}", "traceEvents", list);
	text = json_dumps(doc, JSON_COMPACT);
	printf("%s\n", text);
	free(text);
	json_decref(doc);
}

size_t
timeline_report_gaps(const struct timeline *t)
{
	const struct source *s;
	size_t missing = 0;
	size_t i;

	for (i = 0; i < t->nsources; i++) {
		s = &t->sources[i];
		missing += s->unreachable != 0;
		if (s->unreachable)
			fprintf(stderr,
			    "%s: %s: no answer; its events are missing\n",
			    TIMELINE_NAME, s->addr);
		if (s->lost_events != 0)
			fprintf(stderr,
			    "%s: %s: the ring was overrun; %" PRIu64
			    " earlier events are gone\n",
			    TIMELINE_NAME, s->addr, s->lost_events);
	}
	return missing;
}
