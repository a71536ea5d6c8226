#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ledger.h"

static const char *const state_names[ENTRY__MAX] = {
	[ENTRY_LOADING] = "loading",
	[ENTRY_RESIDENT] = "resident",
	[ENTRY_UNLOADING] = "unloading",
};

static json_t *dump_entry(const struct ledger_entry *);
static json_t *dump_senders(const struct ledger_entry *);
static int parse_entry(struct ledger *, const json_t *);
static int parse_state(const char *, enum entry_state *);
static void parse_senders(struct ledger_entry *, const json_t *);
static int parse_name(char *, const json_t *);

void
ledger_set_capacity(struct ledger *l, const struct conf_backend *b)
{
	size_t i;

	memcpy(l->backend, b->name, sizeof(l->backend));
	l->naccelerators = (uint32_t)b->naccelerators;
	for (i = 0; i < b->naccelerators; i++)
		l->capacity_mb[i] = b->memory_mb[i] - b->adapter_pool_mb;
}

static json_t *
dump_senders(const struct ledger_entry *en)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < en->nsenders; i++)
		json_array_append_new(list,
		    json_pack("{s:s,s:I}", "addr", en->senders[i].id.addr,
			"incarnation",
			(json_int_t)en->senders[i].id.incarnation));
	return list;
}

static json_t *
dump_entry(const struct ledger_entry *en)
{
	return json_pack("{s:I,s:s,s:s,s:i,s:I,s:s,s:o}", "id",
	    (json_int_t)en->id, "model", en->model, "version", en->version,
	    "accelerator", (int)en->accelerator, "memory_mb",
	    (json_int_t)en->memory_mb, "state", state_names[en->state],
	    "senders", dump_senders(en));
}

char *
ledger_dump(const struct ledger *l)
{
	json_t *list = json_array();
	json_t *doc;
	char *text;
	uint32_t i;

	for (i = 0; i < l->nentries; i++)
		json_array_append_new(list, dump_entry(&l->entries[i]));
	doc = json_pack("{s:I,s:I,s:I,s:o}", "fence", (json_int_t)l->fence,
	    "engine", (json_int_t)l->engine_incarnation, "next",
	    (json_int_t)l->next_id, "entries", list);
	if (l->delegation.owner.addr[0] != '\0')
		json_object_set_new(doc, "delegation",
		    json_pack("{s:s,s:I,s:i,s:I}", "addr",
			l->delegation.owner.addr, "incarnation",
			(json_int_t)l->delegation.owner.incarnation,
			"accelerator", (int)l->delegation.accelerator,
			"memory_mb", (json_int_t)l->delegation.memory_mb));
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

static int
parse_name(char *out, const json_t *value)
{
	if (!json_is_string(value) || json_string_length(value) >= NAME_SIZE)
		return -1;
	snprintf(out, NAME_SIZE, "%s", json_string_value(value));
	return 0;
}

static int
parse_state(const char *name, enum entry_state *state)
{
	int i;

	for (i = 0; i < ENTRY__MAX; i++) {
		if (name != NULL && strcmp(state_names[i], name) == 0) {
			*state = (enum entry_state)i;
			return 0;
		}
	}
	return -1;
}

static void
parse_senders(struct ledger_entry *en, const json_t *list)
{
	const char *addr;
	json_t *item;
	size_t i;

	json_array_foreach (list, i, item) {
		addr = json_string_value(json_object_get(item, "addr"));
		if (addr == NULL || en->nsenders == LEDGER_SENDERS_MAX)
			continue;
		snprintf(
		    en->senders[en->nsenders].id.addr, ADDR_SIZE, "%s", addr);
		en->senders[en->nsenders++].id.incarnation =
		    (uint64_t)json_integer_value(
			json_object_get(item, "incarnation"));
	}
}

static int
parse_entry(struct ledger *l, const json_t *item)
{
	struct ledger_entry *en;

	if (l->nentries == LEDGER_ENTRIES_MAX)
		return -1;
	en = &l->entries[l->nentries];
	memset(en, 0, sizeof(*en));
	en->id = (uint64_t)json_integer_value(json_object_get(item, "id"));
	en->accelerator =
	    (uint32_t)json_integer_value(json_object_get(item, "accelerator"));
	en->memory_mb =
	    (uint64_t)json_integer_value(json_object_get(item, "memory_mb"));
	if (parse_name(en->model, json_object_get(item, "model")) == -1 ||
	    parse_name(en->version, json_object_get(item, "version")) == -1 ||
	    parse_state(json_string_value(json_object_get(item, "state")),
		&en->state) == -1 ||
	    en->accelerator >= CONF_ACCELERATORS_MAX)
		return -1;
	parse_senders(en, json_object_get(item, "senders"));
	l->nentries++;
	return 0;
}

int
ledger_parse(struct ledger *l, const char *text, struct err *e)
{
	json_t *doc = json_loads(text, 0, NULL);
	json_t *item;
	const char *addr;
	size_t i;

	l->nentries = 0;
	memset(&l->delegation, 0, sizeof(l->delegation));
	l->fence = (uint64_t)json_integer_value(json_object_get(doc, "fence"));
	l->engine_incarnation =
	    (uint64_t)json_integer_value(json_object_get(doc, "engine"));
	l->next_id = (uint64_t)json_integer_value(json_object_get(doc, "next"));
	json_array_foreach (json_object_get(doc, "entries"), i, item) {
		if (parse_entry(l, item) == 0)
			continue;
		json_decref(doc);
		return err_set(e, ERR_FORMAT,
		    "ledger of %s: entry %zu cannot be read; restore it from "
		    "the service's backup",
		    l->backend, i);
	}
	item = json_object_get(doc, "delegation");
	addr = json_string_value(json_object_get(item, "addr"));
	if (addr != NULL) {
		snprintf(l->delegation.owner.addr, ADDR_SIZE, "%s", addr);
		l->delegation.owner.incarnation = (uint64_t)json_integer_value(
		    json_object_get(item, "incarnation"));
		l->delegation.accelerator = (uint32_t)json_integer_value(
		    json_object_get(item, "accelerator"));
		l->delegation.memory_mb = (uint64_t)json_integer_value(
		    json_object_get(item, "memory_mb"));
	}
	json_decref(doc);
	return 0;
}

static uint64_t
ledger_reserved_mb(const struct ledger *l, uint32_t accelerator)
{
	uint64_t used = 0;
	uint32_t i;

	for (i = 0; i < l->nentries; i++) {
		if (l->entries[i].accelerator == accelerator)
			used += l->entries[i].memory_mb;
	}
	if (l->delegation.owner.addr[0] != '\0' &&
	    l->delegation.accelerator == accelerator)
		used += l->delegation.memory_mb;
	return used;
}

uint64_t
ledger_free_mb(const struct ledger *l, uint32_t accelerator)
{
	uint64_t used;

	if (accelerator >= l->naccelerators)
		return 0;
	used = ledger_reserved_mb(l, accelerator);
	return used < l->capacity_mb[accelerator]
	    ? l->capacity_mb[accelerator] - used
	    : 0;
}

void
ledger_adopt_copy(struct ledger *l, const char *model, const char *version,
    uint32_t accelerator, uint64_t memory_mb)
{
	struct ledger_delegation *d = &l->delegation;
	struct ledger_entry *en;
	uint64_t over;

	en = &l->entries[l->nentries++];
	memset(en, 0, sizeof(*en));
	en->id = ++l->next_id;
	snprintf(en->model, sizeof(en->model), "%s", model);
	snprintf(en->version, sizeof(en->version), "%s", version);
	en->accelerator = accelerator;
	en->memory_mb = memory_mb;
	en->state = ENTRY_RESIDENT;
	over = ledger_reserved_mb(l, accelerator);
	if (d->accelerator != accelerator ||
	    over <= l->capacity_mb[accelerator])
		return;
	over -= l->capacity_mb[accelerator];
	d->memory_mb -= over < d->memory_mb ? over : d->memory_mb;
}

struct ledger_entry *
ledger_reserve(struct ledger *l, const struct conf_model *m,
    uint32_t accelerator, const struct node_id *sender)
{
	struct ledger_entry *en;

	/* Orders name only the model and version, so one entry for each. */
	if (l->nentries == LEDGER_ENTRIES_MAX ||
	    ledger_find_model(l, m->name, m->version) != NULL ||
	    ledger_free_mb(l, accelerator) < m->memory_mb)
		return NULL;
	en = &l->entries[l->nentries++];
	memset(en, 0, sizeof(*en));
	en->id = ++l->next_id;
	memcpy(en->model, m->name, sizeof(en->model));
	memcpy(en->version, m->version, sizeof(en->version));
	en->accelerator = accelerator;
	en->memory_mb = m->memory_mb;
	en->state = ENTRY_LOADING;
	ledger_add_sender(en, sender);
	return en;
}

struct ledger_entry *
ledger_find_id(struct ledger *l, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < l->nentries; i++) {
		if (l->entries[i].id == id)
			return &l->entries[i];
	}
	return NULL;
}

struct ledger_entry *
ledger_find_model(
    const struct ledger *l, const char *model, const char *version)
{
	uint32_t i;

	for (i = 0; i < l->nentries; i++) {
		if (strcmp(l->entries[i].model, model) == 0 &&
		    strcmp(l->entries[i].version, version) == 0)
			return (struct ledger_entry *)&l->entries[i];
	}
	return NULL;
}

void
ledger_remove_entry(struct ledger *l, uint64_t id)
{
	struct ledger_entry *en = ledger_find_id(l, id);

	if (en == NULL)
		return;
	*en = l->entries[--l->nentries];
}

int
ledger_add_sender(struct ledger_entry *en, const struct node_id *id)
{
	uint32_t i;

	for (i = 0; i < en->nsenders; i++) {
		if (strcmp(en->senders[i].id.addr, id->addr) == 0 &&
		    en->senders[i].id.incarnation == id->incarnation)
			return 0;
	}
	if (en->nsenders == LEDGER_SENDERS_MAX)
		return -1;
	en->senders[en->nsenders++].id = *id;
	return 0;
}

void
ledger_clear_senders(struct ledger *l,
    int (*holds_nothing)(void *, const struct node_id *), void *ctx)
{
	struct ledger_entry *en;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < l->nentries; i++) {
		en = &l->entries[i];
		for (k = 0; k < en->nsenders;) {
			if (holds_nothing(ctx, &en->senders[k].id))
				en->senders[k] = en->senders[--en->nsenders];
			else
				k++;
		}
	}
}

int
ledger_is_sole_sender(const struct ledger_entry *en, const struct node_id *self)
{
	uint32_t i;

	for (i = 0; i < en->nsenders; i++) {
		if (strcmp(en->senders[i].id.addr, self->addr) != 0 ||
		    en->senders[i].id.incarnation != self->incarnation)
			return 0;
	}
	return 1;
}
