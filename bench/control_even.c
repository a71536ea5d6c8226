/*
 * Baseline policy of the benchmark: static even placement.  Every model gets
 * the same number of copies, as many as fit, and no copy moves later.
 */
#include "baseline.h"
#include "control.h"

static struct place_move place_even(const void *, uint64_t,
    const struct place_model *, uint32_t, const struct place_backend *,
    uint32_t);

/* Adds a copy of a model that has the fewest copies. */
static struct place_move
place_even(const void *ctx, uint64_t now, const struct place_model *models,
    uint32_t nmodels, const struct place_backend *backends, uint32_t nbackends)
{
	struct place_move move = { PLACE_NOTHING, 0, 0, 0, 0, 0.0 };
	uint32_t fewest = UINT32_MAX;
	uint32_t i;

	(void)ctx;
	(void)now;
	for (i = 0; i < nmodels; i++) {
		if (models[i].min_copies != 0 && models[i].ncopies < fewest)
			fewest = models[i].ncopies;
	}
	for (i = 0; i < nmodels; i++) {
		if (models[i].min_copies == 0 || models[i].ncopies != fewest)
			continue;
		move = baseline_add_copy(models, i, backends, nbackends);
		if (move.kind != PLACE_NOTHING)
			return move;
	}
	return move;
}

int
main(int argc, char **argv)
{
	return control_main(argc, argv, place_even);
}
