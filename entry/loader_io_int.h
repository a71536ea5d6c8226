/* State of loading, shared by loader_io.c, loader_demand.c, adapter_table.c. */
#ifndef LOADER_IO_INT_H
#define LOADER_IO_INT_H

#include "loader_io.h"

/* This process's own demand for a model or adapter. */
struct demand_count {
	char wanted[FLEET_NAME_SIZE];
	uint64_t arrivals;
	uint64_t busy_at;	/* latest arrival, or request in work */
	uint64_t missing_since; /* no replica holds the model, 0: one does */
	uint64_t asked_at;
	uint32_t running;
	uint32_t waiting;
	UT_hash_handle hh;
};

struct loader_io {
	struct entry *e;
	struct loader *loader;
	struct demand_count *demand_counts;
	struct demand zone_demand; /* a relay's: of its data centre */
	uint64_t table_changes;
	uint64_t table_sent_at;
	uint64_t table_fencing_token;
	uint64_t full_table_at;	  /* when the whole table is sent again */
	uint64_t holder_heard_at; /* when the last table came from a holder */
	uint64_t holder_fencing_token;
	char holder[ADDR_SIZE];
	int is_holder;
	uint64_t tell_loads_at;	 /* a former holder's; 0: no more */
	int load_requested;	 /* since the last round of orders */
	uint64_t round_ended_at; /* the last one */
};

/* loader_demand.c */
/* This process's demand for a name, created if there is none. */
struct demand_count *demand_count_of(struct loader_io *, const char *);
/* The adapter that a request needs, or else its model. */
const char *loader_io_wanted_name(const struct request_params *);
/* adapter_table.c */
/* Sends changes of the adapter table, and at intervals all of it. */
void adapter_table_send(struct entry *);
/* Applies a table, or changes of it, from the lease holder. */
void adapter_table_apply(struct entry *, const struct msg *);

#endif
