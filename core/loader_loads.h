/* Loads from the weight store, as a leader tells the next one of them. */
#ifndef LOADER_LOADS_H
#define LOADER_LOADS_H

#include "base.h"

struct loader_load {
	uint64_t left_ns; /* counts for this time */
	uint32_t lost;	  /* its order got no answer */
};

struct loader_loads {
	uint64_t fence;	     /* the leader's: all up to this one are counted */
	uint64_t unknown_ns; /* time for which any number may count */
	uint32_t open;	     /* orders whose answers are due */
	uint32_t n;
	struct loader_load *loads; /* owned */
};

#endif
