/*
 * Adapter slots of an engine: the adapters that take them, as reports and
 * answered orders show, and the directory's list of those to be used.
 */
#include <stdio.h>
#include <string.h>

#include "loader_int.h"

static void names_add(char (*)[FLEET_NAME_SIZE], uint32_t *, const char *);
static void names_remove(char (*)[FLEET_NAME_SIZE], uint32_t *, const char *);

static void
names_add(char (*names)[FLEET_NAME_SIZE], uint32_t *n, const char *name)
{
	uint32_t i;

	for (i = 0; i < *n && strcmp(names[i], name) != 0; i++)
		continue;
	if (i < *n || *n == FLEET_ADAPTERS_MAX)
		return;
	snprintf(names[(*n)++], FLEET_NAME_SIZE, "%s", name);
}

static void
names_remove(char (*names)[FLEET_NAME_SIZE], uint32_t *n, const char *name)
{
	uint32_t i;

	for (i = 0; i < *n && strcmp(names[i], name) != 0; i++)
		continue;
	if (i < *n)
		memmove(names[i], names[--*n], FLEET_NAME_SIZE);
}

uint32_t
engine_state_slots_used(const struct engine_state *e)
{
	return e->nadapters + e->nloading_adapters +
	    engine_state_lost_adapter_loads(e);
}

int
engine_state_has_adapter(const struct engine_state *e, const char *adapter)
{
	uint32_t i;

	for (i = 0; i < e->nadapters; i++) {
		if (strcmp(e->adapters[i], adapter) == 0)
			return 1;
	}
	return 0;
}

/* One that was there already takes one slot, not two. */
void
adapter_load_started(
    struct engine_state *e, const char *adapter, uint64_t loaded_at)
{
	struct adapter_loading *in;

	if (e->nloading_adapters == FLEET_LOADING_ADAPTERS_MAX) {
		names_add(e->adapters, &e->nadapters, adapter);
		return;
	}
	names_remove(e->adapters, &e->nadapters, adapter);
	in = &e->loading_adapters[e->nloading_adapters++];
	snprintf(in->adapter, sizeof(in->adapter), "%s", adapter);
	in->loaded_at = loaded_at;
}

void
adapter_unloaded(
    struct engine_state *e, struct directory_replica *m, const char *adapter)
{
	names_remove(e->adapters, &e->nadapters, adapter);
	if (m != NULL)
		names_remove(m->info.adapters, &m->info.nadapters, adapter);
}

uint32_t
adapters_loaded(
    struct engine_state *e, uint64_t now, struct directory_replica *m)
{
	struct adapter_loading *in = e->loading_adapters;
	uint32_t n = 0;

	while (in < e->loading_adapters + e->nloading_adapters) {
		if (now < in->loaded_at) {
			in++;
			continue;
		}
		names_add(e->adapters, &e->nadapters, in->adapter);
		names_add(m->info.adapters, &m->info.nadapters, in->adapter);
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

	for (i = e->nadapters; i-- > 0;) {
		if (strncmp(e->adapters[i], model, len) == 0 &&
		    e->adapters[i][len] == '/')
			memmove(e->adapters[i], e->adapters[--e->nadapters],
			    FLEET_NAME_SIZE);
	}
}

void
engine_state_take_adapters(struct engine_state *e, uint64_t loaded_at,
    struct directory_replica *m, const struct fleet_replica *r)
{
	uint32_t i;

	e->nadapters = m->info.nadapters = r->nadapters;
	memcpy(e->adapters, r->adapters, sizeof(e->adapters));
	memcpy(m->info.adapters, r->adapters, sizeof(r->adapters));
	e->nloading_adapters = 0;
	for (i = 0; i < r->nloading_adapters; i++)
		adapter_load_started(e, r->loading_adapters[i], loaded_at);
}
