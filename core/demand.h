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
	uint64_t told_at;
	uint32_t running;
	uint32_t waiting;
};

struct demand_item {
	char wanted[FLEET_NAME_SIZE]; /* MODEL or MODEL/ADAPTER */
	struct demand_source *sources;
	uint32_t nsources;
	uint64_t fresh;	   /* arrivals since the last step */
	double rate;	   /* arrivals a second, over some seconds */
	double work;	   /* running and waiting, over some seconds */
	uint64_t last_at;  /* latest arrival told of */
	uint64_t asked_at; /* somebody waits for it, 0 when not lately */
	uint64_t moved_at; /* latest change of its copies */
	UT_hash_handle hh;
};

struct demand {
	struct demand_item *items;
	uint64_t stepped_at;
};

void demand_clear(struct demand *);
struct demand_item *demand_find(const struct demand *, const char *);
struct demand_item *demand_get(struct demand *, const char *);
/* A process's totals for one name. */
void demand_tell(struct demand *, uint64_t, uint32_t, const char *, uint64_t,
    uint32_t, uint32_t);
/* Moves the averages on; to be called a few times a second. */
void demand_step(struct demand *, uint64_t);
/* Requests that run or wait now, as last told. */
double demand_now(const struct demand_item *, uint64_t);
uint32_t demand_waiting(const struct demand_item *, uint64_t);

#endif
