/*
 * Demand for models and adapters over all processes: each process reports
 * running totals, so lost reports do no harm.  Deterministic.
 */
#ifndef DEMAND_H
#define DEMAND_H

#include <uthash.h>

#include "base.h"
#include "fleet.h"

/* What one process last told. */
struct demand_source {
	uint64_t arrivals; /* running total */
	uint64_t reported_at;
	uint32_t running;
	uint32_t waiting;
};

struct demand_item {
	char name[FLEET_NAME_SIZE]; /* MODEL or MODEL/ADAPTER */
	struct demand_source *sources;
	uint32_t nsources;
	uint64_t new_arrivals;	  /* arrivals since the last step */
	double rate;		  /* arrivals a second, over some seconds */
	double load;		  /* running and waiting, over some seconds */
	uint64_t last_arrival_at; /* latest arrival told of */
	uint64_t last_waiting_at; /* somebody waits for it, 0 when not lately */
	uint64_t copies_changed_at; /* latest change of its copies */
	UT_hash_handle hh;
};

struct demand {
	struct demand_item *items;
	uint64_t averaged_at;
};

void demand_clear(struct demand *);
struct demand_item *demand_find(const struct demand *, const char *);
struct demand_item *demand_get_or_create(struct demand *, const char *);
/* A process's totals for one name. */
void demand_update(struct demand *, uint64_t, uint32_t, const char *, uint64_t,
    uint32_t, uint32_t);
/* Moves the averages on; to be called a few times a second. */
void demand_update_averages(struct demand *, uint64_t);
/* Requests that run or wait now, as last told. */
double demand_current_load(const struct demand_item *, uint64_t);
uint32_t demand_waiting_count(const struct demand_item *, uint64_t);

#endif
