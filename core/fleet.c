#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "fleet.h"
#include "key_table.h"
#include "mem.h"

static void service_clear(struct fleet_service *);
static int compare_prefix_length(const void *, const void *);
static int host_matches(const char *, const char *);

struct fleet_conf *
fleet_conf_create(void)
{
	return mem_alloc(sizeof(struct fleet_conf));
}

static void
service_clear(struct fleet_service *s)
{
	struct fleet_engine *g = s->engine;
	uint32_t i;

	free(s->health_path);
	if (g == NULL)
		return;
	HASH_CLEAR(hh, g->index);
	for (i = 0; i < g->nmodels; i++)
		free(g->models[i].full_name);
	free(g->models);
	free(g);
}

void
fleet_conf_destroy(struct fleet_conf *c)
{
	uint32_t i;

	if (c == NULL)
		return;
	for (i = 0; i < c->nroutes; i++)
		fleet_route_clear(&c->routes[i]);
	for (i = 0; i < c->nservices; i++)
		service_clear(&c->services[i]);
	for (i = 0; i < c->naccounts; i++)
		free(c->accounts[i].full_name);
	key_table_destroy(c->keys);
	free(c->accounts);
	free(c->services);
	free(c->routes);
	free(c);
}

static int
compare_prefix_length(const void *a, const void *b)
{
	const struct fleet_route *x = a;
	const struct fleet_route *y = b;
	size_t nx = strlen(x->path_prefix);
	size_t ny = strlen(y->path_prefix);

	if (nx != ny)
		return nx > ny ? -1 : 1;
	return strcmp(x->path_prefix, y->path_prefix);
}

void
fleet_conf_sort_routes(struct fleet_conf *c)
{
	if (c->nroutes != 0)
		qsort(c->routes, c->nroutes, sizeof(*c->routes),
		    compare_prefix_length);
}

/* Ignores case and a port in the caller's Host header. */
static int
host_matches(const char *want, const char *host)
{
	size_t len = strlen(want);

	if (strncasecmp(want, host, len) != 0)
		return 0;
	return host[len] == '\0' || host[len] == ':';
}

const struct fleet_route *
fleet_find_route(const struct fleet_conf *c, const char *host, const char *path)
{
	const struct fleet_route *r;
	uint32_t i;

	for (i = 0; i < c->nroutes; i++) {
		r = &c->routes[i];
		if (strncmp(path, r->path_prefix, strlen(r->path_prefix)) ==
			0 &&
		    host_matches(r->host, host))
			return r;
	}
	return NULL;
}

const struct fleet_service *
fleet_find_service(const struct fleet_conf *c, const char *name)
{
	uint32_t i;

	for (i = 0; i < c->nservices; i++) {
		if (strcmp(c->services[i].name, name) == 0)
			return &c->services[i];
	}
	return NULL;
}

void
fleet_engine_index_models(struct fleet_engine *e)
{
	struct fleet_model *m;
	uint32_t i;

	HASH_CLEAR(hh, e->index);
	e->largest_adapter_mb = 0;
	for (i = 0; i < e->nmodels; i++) {
		if (e->models[i].adapter_count != 0 &&
		    e->models[i].adapter_mb > e->largest_adapter_mb)
			e->largest_adapter_mb = e->models[i].adapter_mb;
		HASH_FIND_STR(e->index, e->models[i].name, m);
		if (m == NULL)
			HASH_ADD_STR(e->index, name, &e->models[i]);
	}
}

const struct fleet_model *
fleet_find_model(const struct fleet_engine *e, const char *name)
{
	const struct fleet_model *m;
	uint32_t i;

	if (e->index != NULL) {
		HASH_FIND_STR(e->index, name, m);
		return m;
	}
	for (i = 0; i < e->nmodels; i++) {
		if (strcmp(e->models[i].name, name) == 0)
			return &e->models[i];
	}
	return NULL;
}

void
fleet_route_copy(struct fleet_route *to, const struct fleet_route *from)
{
	size_t size = from->ntargets * sizeof(*from->targets);

	*to = *from;
	to->host = NULL;
	to->path_prefix = NULL;
	to->targets = mem_alloc(size + 1);
	if (size != 0)
		memcpy(to->targets, from->targets, size);
}

void
fleet_route_clear(struct fleet_route *r)
{
	free(r->host);
	free(r->path_prefix);
	free(r->targets);
}

int
fleet_route_targets(const struct fleet_route *r, const char *service)
{
	uint32_t i;

	for (i = 0; i < r->ntargets; i++) {
		if (strcmp(r->targets[i].service, service) == 0)
			return 1;
	}
	return 0;
}

const struct fleet_account *
fleet_find_account(const struct fleet_conf *c, const char *key, size_t len)
{
	uint32_t i = c->keys == NULL ? KEY_TABLE_NONE
				     : key_table_find(c->keys, key, len);

	return i == KEY_TABLE_NONE ? NULL : &c->accounts[i];
}

const struct fleet_target *
fleet_pick_target(const struct fleet_route *r, double draw)
{
	double total = 0.0;
	uint32_t i;

	for (i = 0; i < r->ntargets; i++)
		total += r->targets[i].weight;
	draw *= total;
	for (i = 0; i < r->ntargets; i++) {
		draw -= r->targets[i].weight;
		if (draw < 0.0 && r->targets[i].weight > 0.0)
			return &r->targets[i];
	}
	return r->ntargets == 0 ? NULL : &r->targets[0];
}

void
fleet_replica_clear(struct fleet_replica *r)
{
	name_list_clear(&r->resident);
	name_list_clear(&r->cached_models);
	name_list_clear(&r->adapters);
	name_list_clear(&r->loading_adapters);
	memset(r, 0, sizeof(*r));
}

void
fleet_replica_copy(struct fleet_replica *to, const struct fleet_replica *from)
{
	struct fleet_replica copy = *from;

	copy.resident = to->resident;
	name_list_copy(&copy.resident, &from->resident);
	copy.cached_models = to->cached_models;
	name_list_copy(&copy.cached_models, &from->cached_models);
	copy.adapters = to->adapters;
	name_list_copy(&copy.adapters, &from->adapters);
	copy.loading_adapters = to->loading_adapters;
	name_list_copy(&copy.loading_adapters, &from->loading_adapters);
	*to = copy;
}

int
fleet_has_model(const struct fleet_replica *r, const char *model)
{
	return name_list_has(&r->resident, model);
}

int
fleet_has_adapter(const struct fleet_replica *r, const char *adapter)
{
	return name_list_has(&r->adapters, adapter);
}
