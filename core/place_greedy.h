/*
 * Greedy placement that follows demand within seconds: each step returns all
 * moves that can start now, so that a slow load does not delay the others.
 * Keeps no state.
 */
#ifndef PLACE_GREEDY_H
#define PLACE_GREEDY_H

#include "place.h"

struct place_greedy_config {
	double requests_per_copy; /* concurrent requests served by one copy */
	double min_gain;	  /* in requests, to replace another copy */
	double cached_bonus;	  /* in requests, for weights cached there */
	uint64_t min_hold_ns; /* a copy stays at least this long after a load */
	uint32_t max_moves;   /* per step */
	int load_without_demand; /* up to the minimum number of copies */
};

void place_greedy_config_default(struct place_greedy_config *);
/*
 * Fills in up to max moves that can start at a time in ns, largest gain first,
 * and returns their number.  Models and backend servers are updated as if the
 * moves had started.
 */
uint32_t place_greedy(const struct place_greedy_config *, uint64_t,
    struct place_model *, uint32_t, struct place_backend *, uint32_t,
    struct place_move *, uint32_t);

#endif
