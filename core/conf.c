/* Applies tickets to the configuration and stores it as chunks. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf_int.h"
#include "hash.h"
#include "mem.h"

#define KEY_SIZE (NAME_SIZE + 16)
#define TICKET_NUMBER_MAX 1000000000000000LL

/* A member of a ticket and the kind of object that it sets. */
struct section {
	const char *member;	 /* of the ticket */
	const char *kind;	 /* prefix of the objects' keys */
	const char *name_member; /* member of the body with the name, or NULL */
};

static const struct section sections[] = {
	{ "models", "model", "name" },
	{ "backends", "backend", "name" },
	{ "services", "service", "name" },
	{ "drains", "drain", "backend" },
	{ "store", "store", NULL },
};

typedef int (*object_parser)(
    struct conf *, const json_t *, const char *, uint64_t, struct err *);

static int add_conf_model(
    struct conf *, const json_t *, const char *, uint64_t, struct err *);
static int add_conf_backend(
    struct conf *, const json_t *, const char *, uint64_t, struct err *);
static int add_conf_service(
    struct conf *, const json_t *, const char *, uint64_t, struct err *);
static int set_store_limits(
    struct conf *, const json_t *, const char *, uint64_t, struct err *);
static int apply_drain(
    struct conf *, const json_t *, const char *, uint64_t, struct err *);
static int conf_parse_objects(struct conf *, struct err *);
static int conf_apply_drains(struct conf *, struct err *);
static int conf_check_prefixes(const struct conf *, struct err *);
static int conf_check_backends(const struct conf *, struct err *);
static int ticket_parse_number(const json_t *, uint64_t *, struct err *);
static int ticket_check_members(const json_t *, struct err *);
static int ticket_set_object(
    json_t *, uint64_t, const char *, const json_t *, int *, struct err *);
static int ticket_apply_section(json_t *, uint64_t, const json_t *,
    const struct section *, int *, struct err *);
static int ticket_remove_objects(
    json_t *, uint64_t, const json_t *, int *, struct err *);

static const struct {
	const char *kind;
	object_parser add;
} object_parsers[] = {
	{ "model/", add_conf_model },
	{ "backend/", add_conf_backend },
	{ "service/", add_conf_service },
	{ "store/", set_store_limits },
};

struct conf *
conf_create(void)
{
	struct conf *c;

	c = mem_alloc(sizeof(*c));
	c->objects = json_object();
	c->store.loads_per_second = 1.0;
	c->store.concurrent = 1;
	c->store.adapters_in_flight = 8;
	return c;
}

void
conf_destroy(struct conf *c)
{
	if (c == NULL)
		return;
	json_decref(c->objects);
	free(c->models);
	free(c->backends);
	free(c->services);
	free(c->cells);
	free(c);
}

static int
add_conf_model(struct conf *c, const json_t *body, const char *path,
    uint64_t ticket, struct err *e)
{
	c->models = mem_grow(c->models, c->nmodels + 1, sizeof(*c->models));
	if (conf_parse_model(body, path, &c->models[c->nmodels], e) == -1)
		return -1;
	c->models[c->nmodels++].ticket = ticket;
	return 0;
}

static int
add_conf_backend(struct conf *c, const json_t *body, const char *path,
    uint64_t ticket, struct err *e)
{
	c->backends =
	    mem_grow(c->backends, c->nbackends + 1, sizeof(*c->backends));
	if (conf_parse_backend(body, path, &c->backends[c->nbackends], e) == -1)
		return -1;
	c->backends[c->nbackends++].ticket = ticket;
	return 0;
}

static int
add_conf_service(struct conf *c, const json_t *body, const char *path,
    uint64_t ticket, struct err *e)
{
	c->services =
	    mem_grow(c->services, c->nservices + 1, sizeof(*c->services));
	if (conf_parse_service(body, path, &c->services[c->nservices], e) == -1)
		return -1;
	c->services[c->nservices++].ticket = ticket;
	return 0;
}

static int
set_store_limits(struct conf *c, const json_t *body, const char *path,
    uint64_t ticket, struct err *e)
{
	(void)ticket;
	return conf_parse_store(body, path, &c->store, e);
}

/* Sets the leaving flag of the backend server or instance named by a drain. */
static int
apply_drain(struct conf *c, const json_t *body, const char *path,
    uint64_t ticket, struct err *e)
{
	char name[NAME_SIZE];
	size_t i;
	size_t k;
	int leaving;

	(void)ticket;
	if (conf_parse_drain(body, path, name, &leaving, e) == -1)
		return -1;
	for (i = 0; i < c->nbackends; i++) {
		if (strcmp(c->backends[i].name, name) == 0)
			c->backends[i].leaving = leaving;
	}
	for (i = 0; i < c->nservices; i++) {
		for (k = 0; k < c->services[i].ninstances; k++) {
			if (strcmp(c->services[i].instances[k].name, name) == 0)
				c->services[i].instances[k].leaving = leaving;
		}
	}
	return 0;
}

/* Parses the stored JSON objects into the arrays of structs. */
static int
conf_parse_objects(struct conf *c, struct err *e)
{
	const char *key;
	json_t *object;
	json_t *body;
	uint64_t ticket;
	size_t i;

	json_object_foreach (c->objects, key, object) {
		body = json_object_get(object, "body");
		ticket = (uint64_t)json_integer_value(
		    json_object_get(object, "ticket"));
		if (json_is_null(body))
			continue;
		for (i = 0; i < nitems(object_parsers); i++) {
			if (strncmp(object_parsers[i].kind, key,
				strlen(object_parsers[i].kind)) != 0)
				continue;
			if (object_parsers[i].add(c, body, key, ticket, e) ==
			    -1)
				return -1;
		}
	}
	if (conf_apply_drains(c, e) == -1)
		return -1;
	return conf_find_home_cells(c, e);
}

static int
conf_apply_drains(struct conf *c, struct err *e)
{
	const char *key;
	json_t *object;
	json_t *body;

	json_object_foreach (c->objects, key, object) {
		body = json_object_get(object, "body");
		if (strncmp(key, "drain/", 6) != 0 || json_is_null(body))
			continue;
		if (apply_drain(c, body, key, 0, e) == -1)
			return -1;
	}
	return 0;
}

/* Rejects service prefixes that overlap the paths served by gates. */
static int
conf_check_prefixes(const struct conf *c, struct err *e)
{
	static const char *const reserved[] = { "/v1/", "/healthz", "/readyz",
		"/metrics", "/events" };
	const char *prefix;
	size_t len;
	size_t i;
	size_t k;

	for (i = 0; i < c->nservices; i++) {
		prefix = c->services[i].prefix;
		for (k = 0; k < nitems(reserved); k++) {
			len = strlen(reserved[k]);
			if (strlen(prefix) < len)
				len = strlen(prefix);
			if (strncmp(prefix, reserved[k], len) != 0)
				continue;
			return err_set(e, ERR_TICKET,
			    "service/%s.prefix: %s overlaps the reserved path "
			    "%s; choose another prefix",
			    c->services[i].name, prefix, reserved[k]);
		}
	}
	return 0;
}

/* Checks that addresses are unique and that no cell is too large. */
static int
conf_check_backends(const struct conf *c, struct err *e)
{
	const struct conf_backend *b;
	size_t n;
	size_t i;
	size_t k;

	for (i = 0; i < c->nbackends; i++) {
		b = &c->backends[i];
		n = 0;
		for (k = 0; k < c->nbackends; k++) {
			n += strcmp(b->cell, c->backends[k].cell) == 0;
			if (k != i &&
			    strcmp(b->address, c->backends[k].address) == 0)
				return err_set(e, ERR_TICKET,
				    "backend/%s.address: %s is also the "
				    "address of backend/%s; change one of them",
				    b->name, b->address, c->backends[k].name);
		}
		if (n > CELL_REPLICAS_MAX)
			return err_set(e, ERR_TICKET,
			    "backend/%s.cell: cell %s has %zu backend "
			    "servers, the limit is %d; use another cell",
			    b->name, b->cell, n, CELL_REPLICAS_MAX);
	}
	return 0;
}

static int
ticket_parse_number(const json_t *ticket, uint64_t *number, struct err *e)
{
	const json_t *n = json_object_get(ticket, "ticket");

	if (!json_is_object(ticket))
		return err_set(e, ERR_TICKET,
		    "the ticket is not a JSON object; write it as {...}");
	if (!json_is_integer(n) || json_integer_value(n) < 1 ||
	    json_integer_value(n) > TICKET_NUMBER_MAX)
		return err_set(e, ERR_TICKET,
		    "ticket: is missing or not a positive whole number; "
		    "give the ticket a number");
	*number = (uint64_t)json_integer_value(n);
	return 0;
}

static int
ticket_check_members(const json_t *ticket, struct err *e)
{
	const char *name;
	json_t *value;
	size_t i;

	json_object_foreach ((json_t *)ticket, name, value) {
		if (strcmp(name, "ticket") == 0 ||
		    strcmp(name, "remove") == 0 || strcmp(name, "note") == 0)
			continue;
		for (i = 0; i < nitems(sections); i++) {
			if (strcmp(name, sections[i].member) == 0)
				break;
		}
		if (i == nitems(sections))
			return err_set(e, ERR_TICKET,
			    "%s: unknown member; remove it or correct its "
			    "spelling",
			    name);
	}
	return 0;
}

/*
 * Sets one object.  Fails if a higher ticket has set it, or if this ticket has
 * set it to different content; setting the same content again is a no-op.
 */
static int
ticket_set_object(json_t *objects, uint64_t number, const char *key,
    const json_t *body, int *changed, struct err *e)
{
	const json_t *old = json_object_get(objects, key);
	uint64_t have;

	if (old != NULL) {
		have = (uint64_t)json_integer_value(
		    json_object_get(old, "ticket"));
		if (have > number)
			return err_set(e, ERR_STALE,
			    "%s: was set by ticket %" PRIu64
			    ", which is higher than %" PRIu64
			    "; use a higher number",
			    key, have, number);
		if (have == number) {
			if (json_equal(json_object_get(old, "body"), body))
				return 0;
			return err_set(e, ERR_CONFLICT,
			    "%s: ticket %" PRIu64
			    " was applied with different content; use a new "
			    "number",
			    key, number);
		}
	}
	*changed = 1;
	json_object_set_new(objects, key,
	    json_pack("{s:I,s:O}", "ticket", (json_int_t)number, "body",
		(json_t *)body));
	return 0;
}

static int
ticket_apply_section(json_t *objects, uint64_t number, const json_t *value,
    const struct section *s, int *changed, struct err *e)
{
	const json_t *item;
	const json_t *name;
	char key[KEY_SIZE];
	size_t i;

	if (s->name_member == NULL) {
		snprintf(key, sizeof(key), "%s/limits", s->kind);
		return ticket_set_object(
		    objects, number, key, value, changed, e);
	}
	if (!json_is_array(value))
		return err_set(e, ERR_TICKET,
		    "%s: is not an array; write it as [...]", s->member);
	json_array_foreach (value, i, item) {
		name = json_object_get(item, s->name_member);
		if (!json_is_string(name) || json_string_length(name) == 0 ||
		    json_string_length(name) >= NAME_SIZE)
			return err_set(e, ERR_TICKET,
			    "%s[%zu].%s: is missing or longer than %d "
			    "characters; give a name",
			    s->member, i, s->name_member, NAME_SIZE - 1);
		snprintf(key, sizeof(key), "%s/%s", s->kind,
		    json_string_value(name));
		if (ticket_set_object(objects, number, key, item, changed, e) ==
		    -1)
			return -1;
	}
	return 0;
}

static int
ticket_remove_objects(json_t *objects, uint64_t number, const json_t *list,
    int *changed, struct err *e)
{
	json_t *none = json_null();
	const json_t *item;
	size_t i;

	if (list != NULL && !json_is_array(list))
		return err_set(e, ERR_TICKET,
		    "remove: is not an array; list keys such as "
		    "\"model/NAME\"");
	json_array_foreach (list, i, item) {
		if (!json_is_string(item) ||
		    json_object_get(objects, json_string_value(item)) == NULL)
			return err_set(e, ERR_TICKET,
			    "remove[%zu]: is not declared; give a key such "
			    "as \"model/NAME\" that spindlectl show prints",
			    i);
		if (ticket_set_object(objects, number, json_string_value(item),
			none, changed, e) == -1)
			return -1;
	}
	return 0;
}

enum conf_result
conf_apply(const struct conf *base, const json_t *ticket, struct conf **out,
    uint64_t *number, struct err *e)
{
	const json_t *value;
	struct conf *c;
	size_t i;
	int changed = 0;

	*number = 0;
	if (ticket_parse_number(ticket, number, e) == -1 ||
	    ticket_check_members(ticket, e) == -1)
		return CONF_REFUSED;
	c = conf_create();
	json_object_update(c->objects, base->objects);
	c->revision = base->revision + 1;
	for (i = 0; i < nitems(sections); i++) {
		value = json_object_get(ticket, sections[i].member);
		if (value == NULL)
			continue;
		if (ticket_apply_section(c->objects, *number, value,
			&sections[i], &changed, e) == -1)
			goto refused;
	}
	if (ticket_remove_objects(c->objects, *number,
		json_object_get(ticket, "remove"), &changed, e) == -1)
		goto refused;
	if (!changed) {
		conf_destroy(c);
		return CONF_UNCHANGED;
	}
	if (conf_parse_objects(c, e) == -1 || conf_check_backends(c, e) == -1 ||
	    conf_check_prefixes(c, e) == -1 || conf_check_capacity(c, e) == -1)
		goto refused;
	*out = c;
	return CONF_CHANGED;
refused:
	conf_destroy(c);
	return CONF_REFUSED;
}

char *
conf_encode_chunk(const struct conf *c, int chunk)
{
	json_t *part = json_object();
	const char *key;
	json_t *object;
	char *text = NULL;

	json_object_foreach (c->objects, key, object) {
		if (hash_text(key) % CONF_CHUNKS == (uint64_t)chunk)
			json_object_set(part, key, object);
	}
	if (json_object_size(part) != 0)
		text = json_dumps(part, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(part);
	return text;
}

struct conf *
conf_from_chunks(char *const *texts, size_t n, uint64_t revision, struct err *e)
{
	struct conf *c;
	json_t *part;
	size_t i;

	c = conf_create();
	c->revision = revision;
	for (i = 0; i < n; i++) {
		if (texts[i] == NULL)
			continue;
		part = json_loads(texts[i], 0, NULL);
		if (!json_is_object(part)) {
			json_decref(part);
			conf_destroy(c);
			err_set(e, ERR_FORMAT,
			    "chunk %zu of revision %" PRIu64
			    " is not a JSON object; apply the last tickets "
			    "again",
			    i, revision);
			return NULL;
		}
		json_object_update(c->objects, part);
		json_decref(part);
	}
	if (conf_parse_objects(c, e) == 0)
		return c;
	conf_destroy(c);
	return NULL;
}

const struct conf_model *
conf_find_model(const struct conf *c, const char *name)
{
	size_t i;

	for (i = 0; i < c->nmodels; i++) {
		if (strcmp(c->models[i].name, name) == 0)
			return &c->models[i];
	}
	return NULL;
}

const struct conf_backend *
conf_find_backend(const struct conf *c, const char *name)
{
	size_t i;

	for (i = 0; i < c->nbackends; i++) {
		if (strcmp(c->backends[i].name, name) == 0)
			return &c->backends[i];
	}
	return NULL;
}

int
conf_may_place(const struct conf_model *m, const struct conf_backend *b)
{
	size_t i;

	if (b->leaving)
		return 0;
	for (i = 0; i < m->ndatacentres; i++) {
		if (strcmp(m->datacentres[i], b->datacentre) == 0)
			return 1;
	}
	return m->ndatacentres == 0;
}
