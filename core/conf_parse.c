/* Validates and parses the body of each kind of declared object. */
#include <stdio.h>
#include <string.h>

#include "check.h"
#include "conf_int.h"
#include "msg.h"

#define MEMORY_MAX_MB 10000000
#define ITEM_PATH_SIZE 160 /* path of an array item in errors */
#define AT(type, name) offsetof(struct type, name)
#define SIZE(type, name) sizeof(((struct type *)0)->name)
#define NAMED(type, name, required, hint)                                      \
	{                                                                      \
#name, CHECK_NAME, required, AT(type, name), SIZE(type, name), \
		    1, 0, hint                                                 \
	}
#define COUNT(type, name, required, min, max, hint)                            \
	{                                                                      \
#name, CHECK_UINT, required, AT(type, name), SIZE(type, name), \
		    min, max, hint                                             \
	}

/* Targets of check_object(): the parsed struct and its unparsed arrays. */
struct raw_model {
	struct conf_model m;
	const json_t *datacentres;
	const json_t *adapters;
};

struct raw_backend {
	struct conf_backend b;
	const json_t *accelerators;
};

struct raw_service {
	struct conf_service s;
	const json_t *repeatable;
	const json_t *instances;
};

struct raw_accelerator {
	uint64_t memory_mb;
};

struct raw_instance {
	char name[NAME_SIZE];
	char address[ADDR_SIZE];
};

struct raw_drain {
	char backend[NAME_SIZE];
	int leaving;
};

static const struct check_field adapter_fields[] = {
	NAMED(conf_adapter, name, 1, "name the adapter"),
	NAMED(conf_adapter, version, 0, "give the adapter's version"),
	COUNT(conf_adapter, memory_mb, 0, 1, MEMORY_MAX_MB,
	    "give the adapter's memory in MB, at least 1"),
};

static const struct check_field model_fields[] = {
	{ "name", CHECK_NAME, 1, AT(raw_model, m.name), NAME_SIZE, 1, 0,
	    "name the model in up to 63 characters" },
	{ "version", CHECK_NAME, 0, AT(raw_model, m.version), NAME_SIZE, 1, 0,
	    "give the model's version" },
	{ "memory_mb", CHECK_UINT, 1, AT(raw_model, m.memory_mb), 8, 1,
	    MEMORY_MAX_MB, "give the memory one copy takes, in MB" },
	{ "priority", CHECK_UINT, 0, AT(raw_model, m.priority), 8, 0, 9,
	    "give 0 to 9; higher is more important" },
	{ "copies", CHECK_UINT, 0, AT(raw_model, m.copies), 8, 1,
	    CELL_REPLICAS_MAX, "give the minimum number of copies, 1 to 32" },
	{ "where", CHECK_ARRAY, 0, AT(raw_model, datacentres), 0, 0,
	    CONF_DATACENTRES_MAX,
	    "list up to 16 data centres, or omit it for all" },
	{ "adapters", CHECK_ARRAY, 0, AT(raw_model, adapters), 0, 0,
	    CONF_ADAPTERS_MAX, "list up to 32 adapters" },
};

static const struct check_field backend_fields[] = {
	{ "name", CHECK_NAME, 1, AT(raw_backend, b.name), NAME_SIZE, 1, 0,
	    "name the backend server in up to 63 characters" },
	{ "address", CHECK_ADDR, 1, AT(raw_backend, b.address), ADDR_SIZE, 1, 0,
	    "give it as \"IP:port\"" },
	{ "datacentre", CHECK_NAME, 1, AT(raw_backend, b.datacentre), NAME_SIZE,
	    1, 0, "name the data centre" },
	{ "cell", CHECK_NAME, 0, AT(raw_backend, b.cell), NAME_SIZE, 1, 0,
	    "name the cell, which has at most 32 backend servers" },
	{ "accelerators", CHECK_ARRAY, 1, AT(raw_backend, accelerators), 0, 1,
	    CONF_ACCELERATORS_MAX,
	    "list 1 to 16 accelerators as {\"memory_mb\": n}" },
	{ "adapter_pool_mb", CHECK_UINT, 0, AT(raw_backend, b.adapter_pool_mb),
	    8, 0, MEMORY_MAX_MB,
	    "give the memory reserved for adapters on each accelerator" },
	{ "fencing", CHECK_BOOL, 1, AT(raw_backend, b.fencing), 0, 0, 0,
	    "set it to true if the engine rejects stale fencing tokens" },
};

static const struct check_field accelerator_fields[] = {
	COUNT(raw_accelerator, memory_mb, 1, 1, MEMORY_MAX_MB,
	    "give the accelerator's memory in MB"),
};

static const struct check_field service_fields[] = {
	{ "name", CHECK_NAME, 1, AT(raw_service, s.name), NAME_SIZE, 1, 0,
	    "name the service in up to 63 characters" },
	{ "prefix", CHECK_TEXT, 1, AT(raw_service, s.prefix), PATH_SIZE, 2, 0,
	    "give a path prefix such as \"/shop/\"" },
	{ "repeatable", CHECK_ARRAY, 0, AT(raw_service, repeatable), 0, 0, 8,
	    "list the idempotent HTTP methods" },
	{ "instances", CHECK_ARRAY, 1, AT(raw_service, instances), 0, 1,
	    CONF_INSTANCES_MAX, "list 1 to 32 instances" },
};

static const struct check_field instance_fields[] = {
	NAMED(raw_instance, name, 1, "name the instance"),
	{ "address", CHECK_ADDR, 1, AT(raw_instance, address), ADDR_SIZE, 1, 0,
	    "give it as \"IP:port\"" },
};

static const struct check_field store_fields[] = {
	{ "loads_per_second", CHECK_REAL, 1, AT(conf_store, loads_per_second),
	    0, 0.01, 10000,
	    "give the maximum number of load starts per second" },
	{ "concurrent", CHECK_UINT, 1, AT(conf_store, concurrent), 8, 1, 10000,
	    "give the maximum number of concurrent loads at full speed" },
	{ "adapters_in_flight", CHECK_UINT, 0,
	    AT(conf_store, adapters_in_flight), 8, 1, 100000,
	    "give the maximum number of concurrent adapter loads" },
};

static const struct check_field drain_fields[] = {
	NAMED(raw_drain, backend, 1, "name the backend server or instance"),
	{ "leaving", CHECK_BOOL, 1, AT(raw_drain, leaving), 0, 0, 0,
	    "set it to true to drain, false to undrain" },
};

static int parse_datacentres(
    const json_t *, const char *, struct conf_model *, struct err *);
static int parse_adapters(
    const json_t *, const char *, struct conf_model *, struct err *);
static int parse_accelerators(
    const json_t *, const char *, struct conf_backend *, struct err *);
static int parse_methods(
    const json_t *, const char *, struct conf_service *, struct err *);
static int parse_instances(
    const json_t *, const char *, struct conf_service *, struct err *);

static int
parse_datacentres(
    const json_t *list, const char *path, struct conf_model *m, struct err *e)
{
	const json_t *item;
	size_t i;

	m->ndatacentres = 0;
	json_array_foreach (list, i, item) {
		if (!json_is_string(item) ||
		    json_string_length(item) >= NAME_SIZE)
			return err_set(e, ERR_TICKET,
			    "%s.where[%zu]: is not the name of a data "
			    "centre; give a string of up to 63 characters",
			    path, i);
		snprintf(m->datacentres[m->ndatacentres++], NAME_SIZE, "%s",
		    json_string_value(item));
	}
	return 0;
}

static int
parse_adapters(
    const json_t *list, const char *path, struct conf_model *m, struct err *e)
{
	struct conf_adapter *a;
	const json_t *item;
	char item_path[ITEM_PATH_SIZE];
	size_t i;

	m->nadapters = 0;
	json_array_foreach (list, i, item) {
		snprintf(
		    item_path, sizeof(item_path), "%s.adapters[%zu]", path, i);
		a = &m->adapters[m->nadapters++];
		snprintf(a->version, sizeof(a->version), "1");
		a->memory_mb = 1;
		if (check_object(item, adapter_fields, nitems(adapter_fields),
			a, item_path, ERR_TICKET, e) == -1)
			return -1;
	}
	return 0;
}

int
conf_parse_model(
    const json_t *body, const char *path, struct conf_model *m, struct err *e)
{
	struct raw_model raw;

	memset(&raw, 0, sizeof(raw));
	snprintf(raw.m.version, NAME_SIZE, "1");
	raw.m.priority = 5;
	raw.m.copies = 1;
	if (check_object(body, model_fields, nitems(model_fields), &raw, path,
		ERR_TICKET, e) == -1)
		return -1;
	if (parse_datacentres(raw.datacentres, path, &raw.m, e) == -1 ||
	    parse_adapters(raw.adapters, path, &raw.m, e) == -1)
		return -1;
	*m = raw.m;
	return 0;
}

static int
parse_accelerators(
    const json_t *list, const char *path, struct conf_backend *b, struct err *e)
{
	struct raw_accelerator raw;
	const json_t *item;
	char item_path[ITEM_PATH_SIZE];
	size_t i;

	json_array_foreach (list, i, item) {
		snprintf(item_path, sizeof(item_path), "%s.accelerators[%zu]",
		    path, i);
		if (check_object(item, accelerator_fields,
			nitems(accelerator_fields), &raw, item_path, ERR_TICKET,
			e) == -1)
			return -1;
		if (raw.memory_mb <= b->adapter_pool_mb)
			return err_set(e, ERR_TICKET,
			    "%s.memory_mb: is not larger than "
			    "adapter_pool_mb; make the pool smaller",
			    item_path);
		b->memory_mb[b->naccelerators++] = raw.memory_mb;
	}
	return 0;
}

int
conf_parse_backend(
    const json_t *body, const char *path, struct conf_backend *b, struct err *e)
{
	struct raw_backend raw;

	memset(&raw, 0, sizeof(raw));
	snprintf(raw.b.cell, NAME_SIZE, "main");
	if (check_object(body, backend_fields, nitems(backend_fields), &raw,
		path, ERR_TICKET, e) == -1)
		return -1;
	if (parse_accelerators(raw.accelerators, path, &raw.b, e) == -1)
		return -1;
	*b = raw.b;
	return 0;
}

static int
parse_methods(
    const json_t *list, const char *path, struct conf_service *s, struct err *e)
{
	const json_t *item;
	size_t i;
	uint32_t bit;

	json_array_foreach (list, i, item) {
		bit = json_is_string(item)
		    ? msg_method_bit(json_string_value(item))
		    : 0;
		if (bit == 0)
			return err_set(e, ERR_TICKET,
			    "%s.repeatable[%zu]: is not a supported method; "
			    "use GET, "
			    "HEAD, PUT, DELETE, POST or PATCH",
			    path, i);
		s->repeatable |= bit;
	}
	return 0;
}

static int
parse_instances(
    const json_t *list, const char *path, struct conf_service *s, struct err *e)
{
	struct raw_instance raw;
	const json_t *item;
	char item_path[ITEM_PATH_SIZE];
	size_t i;

	json_array_foreach (list, i, item) {
		memset(&raw, 0, sizeof(raw));
		snprintf(
		    item_path, sizeof(item_path), "%s.instances[%zu]", path, i);
		if (check_object(item, instance_fields, nitems(instance_fields),
			&raw, item_path, ERR_TICKET, e) == -1)
			return -1;
		memcpy(s->instances[i].name, raw.name, NAME_SIZE);
		memcpy(s->instances[i].address, raw.address, ADDR_SIZE);
		s->ninstances++;
	}
	return 0;
}

int
conf_parse_service(
    const json_t *body, const char *path, struct conf_service *s, struct err *e)
{
	struct raw_service raw;

	memset(&raw, 0, sizeof(raw));
	if (check_object(body, service_fields, nitems(service_fields), &raw,
		path, ERR_TICKET, e) == -1)
		return -1;
	if (raw.s.prefix[0] != '/')
		return err_set(e, ERR_TICKET,
		    "%s.prefix: does not start with a slash; give a path "
		    "prefix such as \"/shop/\"",
		    path);
	raw.s.repeatable = METHOD_GET | METHOD_HEAD;
	if (raw.repeatable != NULL)
		raw.s.repeatable = 0;
	if (parse_methods(raw.repeatable, path, &raw.s, e) == -1 ||
	    parse_instances(raw.instances, path, &raw.s, e) == -1)
		return -1;
	*s = raw.s;
	return 0;
}

int
conf_parse_store(
    const json_t *body, const char *path, struct conf_store *s, struct err *e)
{
	return check_object(
	    body, store_fields, nitems(store_fields), s, path, ERR_TICKET, e);
}

/* Stores the name, NAME_SIZE bytes, and the leaving flag of a drain. */
int
conf_parse_drain(const json_t *body, const char *path, char *name, int *leaving,
    struct err *e)
{
	struct raw_drain raw;

	memset(&raw, 0, sizeof(raw));
	if (check_object(body, drain_fields, nitems(drain_fields), &raw, path,
		ERR_TICKET, e) == -1)
		return -1;
	memcpy(name, raw.backend, NAME_SIZE);
	*leaving = raw.leaving;
	return 0;
}
