/*
 * Baseline policy of the benchmark: one move per period, by the demand of the
 * last minute.  The model with the highest demand per copy gets another copy;
 * when it fits nowhere, the model with the lowest demand per copy loses one.
 */
#include "baseline.h"
#include "control.h"

#define MOVE_PERIOD_NS (6 * NSEC_PER_SEC) /* one minute, compressed */

static struct place_move place_by_demand(const void *, uint64_t,
    const struct place_model *, uint32_t, const struct place_backend *,
    uint32_t);
static struct place_move unload_least_demanded(const struct place_model *,
    uint32_t, const struct place_backend *, uint32_t);

static const struct place_move no_move = { PLACE_NOTHING, 0, 0, 0, 0, 0.0 };

static struct place_move
unload_least_demanded(const struct place_model *models, uint32_t nmodels,
    const struct place_backend *backends, uint32_t want)
{
	struct place_move move = no_move;
	double least = 0.0;
	double each;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < nmodels; i++) {
		if (i == want || models[i].ncopies < 2)
			continue;
		each = models[i].demand_slots / models[i].ncopies;
		for (k = 0; k < models[i].ncopies; k++) {
			if (!models[i].copies[k].resident ||
			    !backends[models[i].copies[k].backend].usable ||
			    baseline_has_copy(
				&models[want], models[i].copies[k].backend) ||
			    (move.kind != PLACE_NOTHING && each >= least))
				continue;
			least = each;
			move.kind = PLACE_UNLOAD;
			move.model = i;
			move.backend = models[i].copies[k].backend;
		}
	}
	return move;
}

static struct place_move
place_by_demand(const void *ctx, uint64_t now, const struct place_model *models,
    uint32_t nmodels, const struct place_backend *backends, uint32_t nbackends)
{
	static uint64_t next;
	struct place_move move;
	double most = -1.0;
	double each;
	uint32_t want = 0;
	uint32_t i;

	(void)ctx;
	for (i = 0; i < nmodels; i++) {
		if (models[i].min_copies != 0 && models[i].ncopies == 0)
			return baseline_add_copy(
			    models, i, backends, nbackends);
	}
	if (now < next)
		return no_move;
	for (i = 0; i < nmodels; i++) {
		if (models[i].ncopies == 0)
			continue;
		each = models[i].demand_slots / models[i].ncopies;
		if (each > most) {
			most = each;
			want = i;
		}
	}
	if (most <= 0.0)
		return no_move;
	move = baseline_add_copy(models, want, backends, nbackends);
	if (move.kind == PLACE_LOAD) {
		next = now + MOVE_PERIOD_NS;
		return move;
	}
	return unload_least_demanded(models, nmodels, backends, want);
}

int
main(int argc, char **argv)
{
	return control_main(argc, argv, place_by_demand);
}
