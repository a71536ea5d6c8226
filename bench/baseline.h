/* Helpers of the baseline placement policies. */
#ifndef BASELINE_H
#define BASELINE_H

#include "place.h"

/* Whether the model has a copy on the backend server. */
static inline int
baseline_has_copy(const struct place_model *m, uint32_t backend)
{
	uint32_t i;

	for (i = 0; i < m->ncopies; i++) {
		if (m->copies[i].backend == backend)
			return 1;
	}
	return 0;
}

/*
 * Places one more copy of a model on the backend server with the most free
 * memory; PLACE_NOTHING when the model fits nowhere.
 */
static inline struct place_move
baseline_add_copy(const struct place_model *models, uint32_t model,
    const struct place_backend *backends, uint32_t nbackends)
{
	struct place_move move = { PLACE_NOTHING, 0, 0, 0, 0, 0.0 };
	uint64_t most = 0;
	uint32_t k;

	for (k = 0; k < nbackends; k++) {
		if (!backends[k].usable ||
		    baseline_has_copy(&models[model], k) ||
		    backends[k].free_mb[0] < models[model].memory_mb ||
		    backends[k].free_mb[0] <= most)
			continue;
		most = backends[k].free_mb[0];
		move.kind = PLACE_LOAD;
		move.model = model;
		move.backend = k;
	}
	return move;
}

#endif
