/*
 * Demand for models and adapters over all processes.  Processes report
 * cumulative totals, so a lost report is made up for by the next one.
 * Deterministic.
 */
#ifndef DEMAND_H
#define DEMAND_H

#include <uthash.h>

#include "base.h"
#include "fleet.h"

/* Last report of one process. */
struct demand_source {
	uint64_t arrivals; /* since the process started */
	uint64_t reported_at;
	uint32_t running;
	uint32_t waiting;
};

#define DEMAND_RECENT_BUCKETS 8 /* of the window of recent arrivals */

struct demand_item {
	char name[FLEET_NAME_SIZE]; /* MODEL or MODEL/ADAPTER */
	struct demand_source *sources;
	uint32_t nsources;
	uint64_t total;	       /* arrivals counted from all sources */
	uint64_t last_busy_at; /* latest arrival, or request in work */
	uint64_t new_arrivals; /* since the last update of the averages */
	double rate;	       /* arrivals per second, smoothed */
	uint32_t recent[DEMAND_RECENT_BUCKETS]; /* arrivals by time */
	uint64_t recent_bucket;			/* number of the newest one */
	double load;		    /* running and waiting, smoothed */
	uint64_t last_arrival_at;   /* last reported arrival */
	uint64_t last_waiting_at;   /* last request that waited, 0: none */
	uint64_t copies_changed_at; /* last load or unload of a copy */
	UT_hash_handle hh;
};

struct demand {
	struct demand_item *items;
	uint64_t averaged_at;
	uint64_t first_arrival_at; /* of any item, 0 if there was none */
};

void demand_clear(struct demand *);
struct demand_item *demand_find(const struct demand *, const char *);
struct demand_item *demand_get_or_create(struct demand *, const char *);
/*
 * Records a process's report: arrivals, running, waiting.  Of the arrivals in
 * its first report only those still in work are taken as new.
 */
void demand_update(struct demand *, uint64_t, uint32_t, const char *, uint64_t,
    uint32_t, uint32_t);
/* Updates the smoothed values; to be called a few times a second. */
void demand_update_averages(struct demand *, uint64_t);
/* Requests running or waiting by the last reports. */
double demand_current_load(const struct demand_item *, uint64_t);
uint32_t demand_waiting_count(const struct demand_item *, uint64_t);
uint32_t demand_running_count(const struct demand_item *, uint64_t);
/* Whether there was work within the time that reports are valid. */
int demand_is_current(const struct demand_item *, uint64_t);
/* Arrivals per second over the latest two seconds. */
double demand_recent_rate(const struct demand_item *, uint64_t);

#endif
