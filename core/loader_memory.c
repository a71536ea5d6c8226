/* Memory of an engine that is in use, or that an order may use. */
#include <string.h>

#include "loader_int.h"

static uint64_t model_memory_mb(const struct fleet_engine *, const char *);
static uint64_t unlisted_memory_mb(const struct engine_state *,
    const struct directory_replica *, const struct fleet_engine *);

/* Memory of a model; one that is not configured may use all of it. */
static uint64_t
model_memory_mb(const struct fleet_engine *g, const char *name)
{
	const struct fleet_model *m = fleet_find_model(g, name);

	return m == NULL ? g->memory_mb : m->memory_mb;
}

/* Memory of models that only reports or orders show, not the list. */
static uint64_t
unlisted_memory_mb(const struct engine_state *e,
    const struct directory_replica *m, const struct fleet_engine *g)
{
	const char *loading = engine_state_loading_model(e);
	const struct lost_load *lost = NULL;
	uint64_t used = 0;
	uint32_t i;

	/* Models that are not named may use all of it. */
	if (e->reported.nunnamed + m->info.resident.nunnamed != 0)
		return g->memory_mb;
	for (i = 0; i < e->reported.n; i++) {
		if (!fleet_has_model(&m->info, e->reported.names[i]))
			used += model_memory_mb(g, e->reported.names[i]);
	}
	if (*loading != '\0' && !fleet_has_model(&m->info, loading) &&
	    !name_list_has(&e->reported, loading))
		used += model_memory_mb(g, loading);
	while ((lost = engine_state_next_lost_load(e, lost)) != NULL) {
		if (lost->adapter[0] == '\0' &&
		    strcmp(lost->model, loading) != 0 &&
		    !fleet_has_model(&m->info, lost->model) &&
		    !name_list_has(&e->reported, lost->model))
			used += model_memory_mb(g, lost->model);
	}
	return used;
}

uint64_t
engine_state_free_mb(const struct engine_state *e,
    const struct directory_replica *m, const struct fleet_engine *g)
{
	uint64_t used = g->largest_adapter_mb * g->adapter_slots +
	    unlisted_memory_mb(e, m, g);
	uint32_t i;

	for (i = 0; i < m->info.resident.n; i++)
		used += model_memory_mb(g, m->info.resident.names[i]);
	return used >= g->memory_mb ? 0 : g->memory_mb - used;
}
