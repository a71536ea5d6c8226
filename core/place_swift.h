/*
 * Placement that follows demand within seconds: every step names all moves
 * that can begin now, so that a slow load holds up nothing else.  Pure.
 */
#ifndef PLACE_SWIFT_H
#define PLACE_SWIFT_H

#include "place.h"

struct place_greedy_config {
	double requests_per_copy; /* requests that one copy serves well */
	double min_gain;     /* work that a copy must gain to replace another */
	double cached_bonus; /* work that weights at hand are worth */
	uint64_t min_hold_ns;	 /* copies stay at least so long after a load */
	uint32_t max_moves;	 /* at most in one step */
	int load_without_demand; /* absent models are loaded without demand */
};

void place_greedy_config_default(struct place_greedy_config *);
/*
 * Fills in moves that can begin now, the most useful first, and returns how
 * many.  Models' and backend servers' state is changed as if they had begun.
 */
uint32_t place_greedy(const struct place_greedy_config *, uint64_t,
    struct place_model *, uint32_t, struct place_backend *, uint32_t,
    struct place_move *, uint32_t);

#endif
