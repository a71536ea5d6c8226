/*
 * Adapter slots of an engine: the adapters that take them, as reports and
 * answered orders show, and the directory's list of those to be used.
 */
#include <stdio.h>
#include <string.h>

#include "mem.h"
#include "loader_int.h"

static void request_unnamed(struct engine_state *);

uint32_t
engine_state_slots_used(const struct engine_state *e)
{
	return name_list_count(&e->adapters) + e->nloading_adapters +
	    engine_state_lost_adapter_loads(e);
}

int
engine_state_has_adapter(const struct engine_state *e, const char *adapter)
{
	return name_list_has(&e->adapters, adapter);
}

/* The list has room again for adapters that are only counted. */
static void
request_unnamed(struct engine_state *e)
{
	if (e->adapters.nunnamed != 0)
		e->sequence_unknown = 1;
}

/* One that was there already takes one slot, not two. */
void
adapter_load_started(
    struct engine_state *e, const char *adapter, uint64_t loaded_at)
{
	struct adapter_loading *in;

	if (e->nloading_adapters == e->loading_adapters_size) {
		e->loading_adapters_size = e->loading_adapters_size * 2 + 4;
		e->loading_adapters = mem_grow(e->loading_adapters,
		    e->loading_adapters_size, sizeof(*e->loading_adapters));
	}
	name_list_remove(&e->adapters, adapter);
	in = &e->loading_adapters[e->nloading_adapters++];
	snprintf(in->adapter, sizeof(in->adapter), "%s", adapter);
	in->loaded_at = loaded_at;
}

void
adapter_unloaded(
    struct engine_state *e, struct directory_replica *m, const char *adapter)
{
	name_list_remove(&e->adapters, adapter);
	if (m != NULL)
		name_list_remove(&m->info.adapters, adapter);
	request_unnamed(e);
}

uint32_t
adapters_loaded(
    struct engine_state *e, uint64_t now, struct directory_replica *m)
{
	struct adapter_loading *in;
	uint32_t n = 0;
	uint32_t i;

	for (i = e->nloading_adapters; i-- > 0;) {
		in = &e->loading_adapters[i];
		if (now < in->loaded_at)
			continue;
		name_list_add(&e->adapters, in->adapter);
		name_list_add(&m->info.adapters, in->adapter);
		*in = e->loading_adapters[--e->nloading_adapters];
		n++;
	}
	return n;
}

void
engine_state_drop_adapters(struct engine_state *e, const char *model)
{
	size_t len = strlen(model);
	uint32_t i;

	for (i = e->adapters.n; i-- > 0;) {
		if (strncmp(e->adapters.names[i], model, len) == 0 &&
		    e->adapters.names[i][len] == '/')
			name_list_remove_at(&e->adapters, i);
	}
	request_unnamed(e);
}

void
engine_state_take_adapters(struct engine_state *e, uint64_t loaded_at,
    struct directory_replica *m, const struct fleet_replica *r)
{
	uint32_t i;

	name_list_copy(&e->adapters, &r->adapters);
	e->adapters.nunnamed += r->loading_adapters.nunnamed;
	name_list_copy(&m->info.adapters, &r->adapters);
	e->nloading_adapters = 0;
	for (i = 0; i < r->loading_adapters.n; i++)
		adapter_load_started(
		    e, r->loading_adapters.names[i], loaded_at);
}
