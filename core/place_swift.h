/*
 * Placement that follows demand within seconds: every step names all moves
 * that can begin now, so that a slow load holds up nothing else.  Pure.
 */
#ifndef PLACE_SWIFT_H
#define PLACE_SWIFT_H

#include "place.h"

struct swift_config {
	double work;	  /* requests that one copy serves well */
	double better;	  /* work that a copy must gain to replace another */
	double at_hand;	  /* work that weights at hand are worth */
	uint64_t hold_ns; /* copies stay at least so long after a load */
	uint32_t moves;	  /* at most in one step */
	int unasked;	  /* absent models are loaded without demand */
};

void swift_config_default(struct swift_config *);
/*
 * Fills in moves that can begin now, the most useful first, and returns how
 * many.  Models' and backend servers' state is changed as if they had begun.
 */
uint32_t place_swift(const struct swift_config *, uint64_t,
    struct place_model *, uint32_t, struct place_backend *, uint32_t,
    struct place_move *, uint32_t);

#endif
