/* Entry points of a cell; see cell.h. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_int.h"
#include "hash.h"
#include "mem.h"

#define FRESH_NS (3 * NSEC_PER_SEC)
#define ASK_NS (1 * NSEC_PER_SEC)

static struct unit *unit_find(const struct cell_core *, const char *);
static void unit_add(struct cell_core *, uint64_t, const struct conf_backend *);
static void unit_remove(struct cell_core *, uint32_t);
static int unit_empty(const struct unit *);
static void tell_sched(
    struct cell_core *, uint64_t, struct unit *, struct cell_out *);
static void ask_senders(struct cell_core *, uint64_t, struct cell_out *);
static void ask_one(
    struct cell_core *, const struct node_id *, struct cell_out *);
static void on_ask(
    struct cell_core *, uint64_t, const struct msg *, struct cell_out *);
static void on_none(struct cell_core *, const struct msg *);
static void become_owner(struct cell_core *, uint64_t);
static void lose_cell(struct cell_core *);
static void add_name(struct msg_replica *, const char *);
static json_t *unit_status(
    const struct cell_core *, const struct unit *, uint64_t);

void
cell_config_default(struct cell_config *c)
{
	memset(c, 0, sizeof(*c));
	ownership_config_default(&c->own);
	sched_config_default(&c->sched);
	place_config_default(&c->place);
	c->policy = place_next;
	c->order_ns = 20 * NSEC_PER_SEC;
	c->late_ns = 30 * NSEC_PER_SEC;
	c->poll_ns = 700 * NSEC_PER_MSEC;
	c->place_ns = 200 * NSEC_PER_MSEC;
	c->load_ns = 500 * NSEC_PER_MSEC;
}

struct cell_core *
cell_create(const struct cell_config *config, const char *name,
    const struct node_id *self, struct kv_ids *ids, const struct cell_env *env)
{
	struct cell_core *c;

	c = mem_alloc(sizeof(*c));
	c->config = *config;
	snprintf(c->name, sizeof(c->name), "%s", name);
	c->self = *self;
	c->ids = ids;
	c->env = *env;
	c->own = ownership_create(&config->own, name, self, ids);
	return c;
}

void
cell_destroy(struct cell_core *c)
{
	struct demand *d, *next;

	if (c == NULL)
		return;
	while (c->nunits != 0)
		unit_remove(c, 0);
	HASH_ITER (hh, c->demands, d, next) {
		HASH_DEL(c->demands, d);
		free(d);
	}
	sched_destroy(c->sched);
	ownership_destroy(c->own);
	free(c);
}

static struct unit *
unit_find(const struct cell_core *c, const char *name)
{
	uint32_t i;

	for (i = 0; i < c->nunits; i++) {
		if (strcmp(c->units[i]->conf.name, name) == 0)
			return c->units[i];
	}
	return NULL;
}

static void
unit_add(struct cell_core *c, uint64_t now, const struct conf_backend *b)
{
	struct unit *u;

	if (c->nunits == CELL_REPLICAS_MAX)
		return;
	u = mem_alloc(sizeof(*u));
	u->conf = *b;
	u->declared = 1;
	u->answered = now;
	ledger_capacity(&u->ledger, b);
	c->units[c->nunits++] = u;
}

static void
unit_remove(struct cell_core *c, uint32_t i)
{
	free(c->units[i]->next);
	free(c->units[i]);
	c->units[i] = c->units[--c->nunits];
}

/* Nothing is promised on it, and nothing is being written. */
static int
unit_empty(const struct unit *u)
{
	return u->ledger.n == 0 && !u->spare_used && u->step != UNIT_WRITING &&
	    u->step != UNIT_READING;
}

/* Whether the engine has answered lately. */
int
unit_fresh(const struct cell_core *c, const struct unit *u, uint64_t now)
{
	(void)c;
	return now < u->answered + FRESH_NS;
}

void
cell_configure(struct cell_core *c, uint64_t now, const struct conf *conf,
    struct cell_out *out)
{
	const struct conf_backend *b;
	struct unit *u;
	uint32_t i;
	size_t k;

	(void)out;
	c->conf = conf;
	for (i = 0; i < c->nunits; i++)
		c->units[i]->declared = 0;
	for (k = 0; k < conf->nbackends; k++) {
		b = &conf->backends[k];
		if (strcmp(b->cell, c->name) != 0)
			continue;
		u = unit_find(c, b->name);
		/* Only an owner needs them. */
		if (u == NULL && c->was_held)
			unit_add(c, now, b);
		if (u == NULL)
			continue;
		u->conf = *b;
		u->declared = 1;
		ledger_capacity(&u->ledger, b);
	}
	for (i = c->nunits; i > 0; i--) {
		u = c->units[i - 1];
		if (u->declared)
			continue;
		u->conf.leaving = 1;
		if (!unit_empty(u))
			continue;
		if (c->sched != NULL)
			sched_replica_gone(c->sched, u->conf.name);
		unit_remove(c, i - 1);
	}
	for (k = 0; c->sched != NULL && k < conf->nmodels; k++) {
		sched_declare(c->sched, conf->models[k].name);
		for (i = 0; i < conf->models[k].nadapters; i++)
			sched_declare(
			    c->sched, conf->models[k].adapters[i].name);
	}
}

void
cell_want(struct cell_core *c, int want, uint64_t not_before)
{
	ownership_set_candidate(c->own, want, not_before);
}

static void
become_owner(struct cell_core *c, uint64_t now)
{
	struct cell_out none = { NULL, NULL, NULL };
	uint32_t i;

	c->was_held = 1;
	c->held_since = now;
	c->sched =
	    sched_create(&c->config.sched, ownership_fence(c->own) << 32);
	c->store_tokens = 1.0;
	c->store_at = now;
	for (i = 0; i < c->nunits; i++) {
		c->units[i]->answered = now;
		c->units[i]->engine = 0; /* to be asked anew */
		c->units[i]->poll_at = now;
		c->units[i]->table = 0;
	}
	if (c->conf != NULL)
		cell_configure(c, now, c->conf, &none);
}

/* Forgets what only an owner may use; orders in flight are remembered. */
static void
lose_cell(struct cell_core *c)
{
	uint32_t i;

	c->was_held = 0;
	sched_destroy(c->sched);
	c->sched = NULL;
	for (i = 0; i < c->nunits; i++) {
		c->units[i]->nadapters = 0;
		if (c->units[i]->step == UNIT_READY)
			c->units[i]->step = UNIT_UNREAD;
	}
}

int
cell_unit_serves(const struct unit *u, const char *model)
{
	const struct ledger_entry *en;
	uint32_t i;

	for (i = 0; i < u->ledger.n; i++) {
		en = &u->ledger.entries[i];
		if (strcmp(en->model, model) != 0 || en->missing)
			continue;
		if (en->state == ENTRY_RESIDENT ||
		    (en->state == ENTRY_LOADING && en->confirmed))
			return 1;
	}
	return u->spare_used && u->spare.confirmed &&
	    strcmp(u->spare.model, model) == 0;
}

static void
add_name(struct msg_replica *r, const char *name)
{
	uint32_t i;

	for (i = 0; i < r->nmodels; i++) {
		if (strcmp(r->models[i], name) == 0)
			return;
	}
	if (r->nmodels == REPLICA_MODELS_MAX)
		return;
	memset(r->models[r->nmodels], 0, NAME_SIZE);
	snprintf(r->models[r->nmodels++], NAME_SIZE, "%s", name);
}

/* What the scheduler and the gates are told of a backend server. */
void
unit_table(
    const struct cell_core *c, const struct unit *u, struct msg_replica *r)
{
	const struct conf_model *m;
	uint32_t i;

	memset(r, 0, MSG_REPLICA_HEAD);
	memcpy(r->name, u->conf.name, sizeof(r->name));
	memcpy(r->addr, u->conf.address, sizeof(r->addr));
	r->leaving = u->conf.leaving || !u->declared;
	r->batch = u->batch;
	for (i = 0; i < u->ledger.n; i++) {
		m = conf_model(c->conf, u->ledger.entries[i].model);
		if (m == NULL || !cell_unit_serves(u, m->name))
			continue;
		/* An old version serves only until the new one does. */
		if (strcmp(u->ledger.entries[i].version, m->version) != 0 &&
		    cell_serves(c, m->name, m->version))
			continue;
		if (u->ledger.entries[i].state != ENTRY_UNLOADING)
			add_name(r, m->name);
	}
	if (u->spare_used && u->spare.confirmed)
		add_name(r, u->spare.model);
	for (i = 0; i < u->nadapters; i++) {
		if (u->adapters[i].resident)
			add_name(r, u->adapters[i].name);
	}
}

static void
tell_sched(
    struct cell_core *c, uint64_t now, struct unit *u, struct cell_out *out)
{
	struct msg_replica r;
	uint64_t hash;

	unit_table(c, u, &r);
	r.leaving |= !unit_fresh(c, u, now);
	hash = msg_replica_hash(&r);
	if (hash == u->table)
		return;
	u->table = hash;
	sched_replica(c->sched, now, &r, out->msgs);
}

static void
ask_one(struct cell_core *c, const struct node_id *id, struct cell_out *out)
{
	struct msg *m;

	if (id->addr[0] == '\0' || strcmp(id->addr, c->self.addr) == 0 ||
	    cell_holds_nothing(c, id))
		return;
	m = msg_create(MSG_SENDER_ASK, id->addr);
	memcpy(m->u.sender_none.cell, c->name, sizeof(c->name));
	m->u.sender_none.fence = ownership_fence(c->own);
	TAILQ_INSERT_TAIL(out->msgs, m, entry);
}

/* Asks earlier owners whether they may still send orders. */
static void
ask_senders(struct cell_core *c, uint64_t now, struct cell_out *out)
{
	const struct ledger *l;
	uint32_t i;
	uint32_t k;
	uint32_t s;

	if (now < c->asked_at + ASK_NS)
		return;
	c->asked_at = now;
	for (i = 0; i < c->nunits; i++) {
		l = &c->units[i]->ledger;
		ask_one(c, &l->delegation.owner, out);
		for (k = 0; k < l->n; k++) {
			for (s = 0; s < l->entries[k].nsenders; s++)
				ask_one(c, &l->entries[k].senders[s].id, out);
		}
	}
}

/* A later owner asks: answer only when nothing is under way any more. */
static void
on_ask(struct cell_core *c, uint64_t now, const struct msg *m,
    struct cell_out *out)
{
	struct msg *reply;

	ownership_superseded(c->own, m->u.sender_none.fence);
	if (ownership_fence(c->own) >= m->u.sender_none.fence ||
	    cell_orders_open(c, now))
		return;
	reply = msg_create(MSG_SENDER_NONE, m->from.addr);
	reply->u.sender_none = m->u.sender_none;
	TAILQ_INSERT_TAIL(out->msgs, reply, entry);
}

static void
on_none(struct cell_core *c, const struct msg *m)
{
	uint32_t i;

	for (i = 0; i < c->ncleared; i++) {
		if (strcmp(c->cleared[i].id.addr, m->from.addr) == 0)
			break;
	}
	if (i == nitems(c->cleared)) {
		i = 0;
		c->ncleared = 0;
	}
	c->cleared[i].id = m->from;
	c->cleared[i].fence = m->u.sender_none.fence;
	if (i == c->ncleared)
		c->ncleared++;
}

void
cell_message(struct cell_core *c, uint64_t now, const struct msg *m,
    struct cell_out *out)
{
	const char *adapter;

	switch (m->kind) {
	case MSG_SENDER_ASK:
		on_ask(c, now, m, out);
		return;
	case MSG_SENDER_NONE:
		on_none(c, m);
		return;
	default:
		break;
	}
	if (c->sched == NULL)
		return;
	sched_message(c->sched, now, m, out->msgs);
	if (m->kind != MSG_ACQUIRE)
		return;
	adapter = m->u.acquire.adapter;
	if (adapter[0] != '\0' && c->conf != NULL)
		cell_adapter_want(c, now, adapter, out);
}

int
cell_kv(struct cell_core *c, uint64_t now, const struct kv_result *r,
    struct cell_out *out)
{
	if (ownership_kv_result(c->own, now, r, out->kv))
		return 1;
	return cell_ledger_result(c, now, r);
}

void
cell_tick(struct cell_core *c, uint64_t now, struct cell_out *out)
{
	uint32_t i;

	ownership_tick(c->own, now, out->kv);
	if (ownership_held(c->own) && !c->was_held)
		become_owner(c, now);
	if (!ownership_held(c->own) && c->was_held)
		lose_cell(c);
	if (!c->was_held || c->conf == NULL)
		return;
	for (i = 0; i < c->nunits; i++) {
		cell_ledger_tick(c, now, c->units[i], out);
		cell_order_tick(c, now, c->units[i], out);
		cell_adapter_tick(c, now, c->units[i], out);
		tell_sched(c, now, c->units[i], out);
	}
	if (ownership_valid(c->own, now))
		ask_senders(c, now, out);
	cell_place_tick(c, now, out);
	sched_tick(c->sched, now, out->msgs);
}

void
cell_pace(struct cell_core *c, uint64_t pace_ns)
{
	if (c->sched != NULL)
		sched_pace(c->sched, pace_ns);
}

void
cell_superseded(struct cell_core *c, uint64_t fence)
{
	ownership_superseded(c->own, fence);
}

void
cell_release(struct cell_core *c, struct cell_out *out)
{
	ownership_release(c->own, out->kv);
}

const char *
cell_name(const struct cell_core *c)
{
	return c->name;
}

int
cell_held(const struct cell_core *c)
{
	return c->was_held;
}

uint64_t
cell_fence(const struct cell_core *c)
{
	return ownership_fence(c->own);
}

void
cell_table(const struct cell_core *c, struct msg_load *l)
{
	struct sched_totals t;
	uint32_t i;

	memset(l, 0, offsetof(struct msg_load, replicas));
	memcpy(l->cell, c->name, sizeof(l->cell));
	l->fence = ownership_fence(c->own);
	l->whole = 1;
	l->nreplicas = c->nunits;
	l->version = hash_version(c->self.addr, l->fence);
	for (i = 0; i < c->nunits; i++) {
		unit_table(c, c->units[i], &l->replicas[i]);
		l->version = hash_version(l->replicas[i].name, l->version) ^
		    msg_replica_hash(&l->replicas[i]);
	}
	sched_totals(c->sched, &t);
	if (t.slots != 0)
		l->load = (t.granted + t.waiting) * 100 / t.slots;
}

void
cell_totals(const struct cell_core *c, struct cell_totals *out)
{
	*out = c->totals;
	if (c->sched != NULL)
		sched_totals(c->sched, &out->sched);
}

static json_t *
unit_status(const struct cell_core *c, const struct unit *u, uint64_t now)
{
	static const char *const states[ENTRY__MAX] = { "loading", "resident",
		"unloading" };
	json_t *entries = json_array();
	json_t *adapters = json_array();
	uint32_t outstanding = 0;
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < u->ledger.n; i++)
		json_array_append_new(entries,
		    json_pack("{s:s,s:s,s:i,s:I,s:s}", "model",
			u->ledger.entries[i].model, "version",
			u->ledger.entries[i].version, "accelerator",
			(int)u->ledger.entries[i].accelerator, "memory_mb",
			(json_int_t)u->ledger.entries[i].memory_mb, "state",
			states[u->ledger.entries[i].state]));
	for (i = 0; i < u->nadapters; i++)
		json_array_append_new(
		    adapters, json_string(u->adapters[i].name));
	if (c->sched != NULL)
		sched_replica_load(
		    c->sched, u->conf.name, &outstanding, &slots);
	return json_pack("{s:s,s:b,s:b,s:I,s:i,s:i,s:o,s:o}", "name",
	    u->conf.name, "leaving", u->conf.leaving, "answers",
	    unit_fresh(c, u, now), "engine", (json_int_t)u->engine,
	    "outstanding", (int)outstanding, "slots", (int)slots, "models",
	    entries, "adapters", adapters);
}

json_t *
cell_status(const struct cell_core *c, uint64_t now)
{
	json_t *backends = json_array();
	struct cell_totals t;
	uint32_t i;

	memset(&t, 0, sizeof(t));
	cell_totals(c, &t);
	for (i = 0; i < c->nunits; i++)
		json_array_append_new(
		    backends, unit_status(c, c->units[i], now));
	return json_pack("{s:s,s:b,s:b,s:I,s:i,s:i,s:i,s:I,s:I,s:o}", "cell",
	    c->name, "owned", c->was_held, "lease_valid",
	    ownership_valid(c->own, now), "fence",
	    (json_int_t)ownership_fence(c->own), "waiting",
	    (int)t.sched.waiting, "granted", (int)t.sched.granted, "slots",
	    (int)t.sched.slots, "loads", (json_int_t)t.loads, "unloads",
	    (json_int_t)t.unloads, "backends", backends);
}
