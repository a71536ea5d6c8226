/* Internal interface of spindle-timeline. */
#ifndef TIMELINE_H
#define TIMELINE_H

#include <jansson.h>
#include <stdint.h>

#include "base.h"
#include "err.h"

#define TIMELINE_NAME "spindle-timeline"

/* One event of one process. */
struct timeline_event {
	uint64_t at;   /* nanoseconds, on the collector's clock */
	size_t source; /* index into timeline.sources */
	json_t *event;
};

struct source {
	char addr[ADDR_SIZE];
	char process[NAME_SIZE];
	uint64_t incarnation;
	int64_t offset; /* of its clock to the collector's, nanoseconds */
	uint64_t rtt;	/* shortest round trip, nanoseconds */
	int unreachable;
	uint64_t lost_events; /* events overwritten in its ring buffer */
};

struct timeline {
	size_t nsources;
	struct source *sources;
	size_t nevents;
	struct timeline_event *events;
};

/* Selects events; a NULL or 0 member matches all. */
struct filter {
	const char *request;
	uint64_t ticket;
	const char *model;
	const char *backend;
	const char *event;
};

/* collect.c */
void timeline_collect(struct timeline *, const char *const *, size_t);
void timeline_clear(struct timeline *);
/* print.c */
void timeline_filter(struct timeline *, const struct filter *);
void timeline_text(const struct timeline *);
void timeline_json(const struct timeline *);
void timeline_chrome(const struct timeline *);
/*
 * Reports unreachable processes and lost events on standard error; returns
 * the number of unreachable processes.
 */
size_t timeline_report_gaps(const struct timeline *);

#endif
