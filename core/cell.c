/* Configuration, ownership and routing table of a cell; see cell.h. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_int.h"
#include "hash.h"
#include "mem.h"

#define ANSWER_MAX_AGE_NS (3 * NSEC_PER_SEC)
#define SENDER_ASK_INTERVAL_NS (1 * NSEC_PER_SEC)

static struct cell_backend *backend_find(
    const struct cell_core *, const char *);
static void backend_add(
    struct cell_core *, uint64_t, const struct conf_backend *);
static void backend_remove(struct cell_core *, uint32_t);
static int backend_removable(const struct cell_backend *);
static void update_sched_replica(
    struct cell_core *, uint64_t, struct cell_backend *, struct cell_out *);
static void query_senders(struct cell_core *, uint64_t, struct cell_out *);
static void query_sender(
    struct cell_core *, const struct node_id *, struct cell_out *);
static void handle_sender_ask(
    struct cell_core *, uint64_t, const struct msg *, struct cell_out *);
static void handle_sender_none(struct cell_core *, const struct msg *);
static void begin_ownership(struct cell_core *, uint64_t);
static void end_ownership(struct cell_core *);
static void add_replica_model(struct msg_replica *, const char *);
static json_t *backend_status(
    const struct cell_core *, const struct cell_backend *, uint64_t);

void
cell_config_default(struct cell_config *c)
{
	memset(c, 0, sizeof(*c));
	ownership_config_default(&c->ownership);
	sched_config_default(&c->sched);
	place_config_default(&c->place);
	c->policy = place_next_move;
	c->order_timeout_ns = 20 * NSEC_PER_SEC;
	c->order_in_doubt_ns = 30 * NSEC_PER_SEC;
	c->poll_interval_ns = 700 * NSEC_PER_MSEC;
	c->place_interval_ns = 200 * NSEC_PER_MSEC;
	c->load_announce_ns = 500 * NSEC_PER_MSEC;
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
	c->ownership = ownership_create(&config->ownership, name, self, ids);
	return c;
}

void
cell_destroy(struct cell_core *c)
{
	struct model_demand *d, *next;

	if (c == NULL)
		return;
	while (c->nbackends != 0)
		backend_remove(c, 0);
	HASH_ITER (hh, c->demands, d, next) {
		HASH_DEL(c->demands, d);
		free(d);
	}
	sched_destroy(c->sched);
	ownership_destroy(c->ownership);
	free(c);
}

static struct cell_backend *
backend_find(const struct cell_core *c, const char *name)
{
	uint32_t i;

	for (i = 0; i < c->nbackends; i++) {
		if (strcmp(c->backends[i]->conf.name, name) == 0)
			return c->backends[i];
	}
	return NULL;
}

static void
backend_add(struct cell_core *c, uint64_t now, const struct conf_backend *conf)
{
	struct cell_backend *b;

	if (c->nbackends == CELL_REPLICAS_MAX)
		return;
	b = mem_alloc(sizeof(*b));
	b->conf = *conf;
	b->declared = 1;
	b->answered_at = now;
	ledger_set_capacity(&b->ledger, conf);
	c->backends[c->nbackends++] = b;
}

static void
backend_remove(struct cell_core *c, uint32_t i)
{
	free(c->backends[i]->pending_ledger);
	free(c->backends[i]);
	c->backends[i] = c->backends[--c->nbackends];
}

/* Whether no memory is reserved and no ledger operation is in flight. */
static int
backend_removable(const struct cell_backend *b)
{
	return b->ledger.nentries == 0 && !b->has_delegated_copy &&
	    b->ledger_step != LEDGER_WRITING &&
	    b->ledger_step != LEDGER_READING;
}

int
cell_backend_responsive(
    const struct cell_core *c, const struct cell_backend *b, uint64_t now)
{
	(void)c;
	return now < b->answered_at + ANSWER_MAX_AGE_NS;
}

void
cell_configure(struct cell_core *c, uint64_t now, const struct conf *conf,
    struct cell_out *out)
{
	const struct conf_backend *bc;
	struct cell_backend *b;
	uint32_t i;
	size_t k;

	(void)out;
	c->conf = conf;
	for (i = 0; i < c->nbackends; i++)
		c->backends[i]->declared = 0;
	for (k = 0; k < conf->nbackends; k++) {
		bc = &conf->backends[k];
		if (strcmp(bc->cell, c->name) != 0)
			continue;
		b = backend_find(c, bc->name);
		/* Only the owner tracks backend servers. */
		if (b == NULL && c->is_owner)
			backend_add(c, now, bc);
		if (b == NULL)
			continue;
		b->conf = *bc;
		b->declared = 1;
		ledger_set_capacity(&b->ledger, bc);
	}
	for (i = c->nbackends; i > 0; i--) {
		b = c->backends[i - 1];
		if (b->declared)
			continue;
		b->conf.leaving = 1;
		if (!backend_removable(b))
			continue;
		if (c->sched != NULL)
			sched_remove_replica(c->sched, b->conf.name);
		backend_remove(c, i - 1);
	}
	for (k = 0; c->sched != NULL && k < conf->nmodels; k++) {
		sched_declare_model(c->sched, conf->models[k].name);
		for (i = 0; i < conf->models[k].nadapters; i++)
			sched_declare_model(
			    c->sched, conf->models[k].adapters[i].name);
	}
}

void
cell_set_candidate(struct cell_core *c, int want, uint64_t not_before)
{
	ownership_set_candidate(c->ownership, want, not_before);
}

static void
begin_ownership(struct cell_core *c, uint64_t now)
{
	struct cell_out none = { NULL, NULL, NULL };
	uint32_t i;

	c->is_owner = 1;
	c->owner_since = now;
	c->sched = sched_create(
	    &c->config.sched, ownership_fencing_token(c->ownership) << 32);
	c->store_tokens = 1.0;
	c->store_refilled_at = now;
	for (i = 0; i < c->nbackends; i++) {
		c->backends[i]->answered_at = now;
		c->backends[i]->engine_incarnation = 0; /* poll again */
		c->backends[i]->poll_at = now;
		c->backends[i]->sched_hash = 0;
	}
	if (c->conf != NULL)
		cell_configure(c, now, c->conf, &none);
}

/*
 * Drops the owner's state.  Orders in flight are kept, for they must end before
 * a later owner's SENDER_ASK is answered.
 */
static void
end_ownership(struct cell_core *c)
{
	uint32_t i;

	c->is_owner = 0;
	sched_destroy(c->sched);
	c->sched = NULL;
	for (i = 0; i < c->nbackends; i++) {
		c->backends[i]->nadapters = 0;
		if (c->backends[i]->ledger_step == LEDGER_READY)
			c->backends[i]->ledger_step = LEDGER_UNREAD;
	}
}

int
cell_backend_serves(const struct cell_backend *b, const char *model)
{
	const struct ledger_entry *en;
	uint32_t i;

	for (i = 0; i < b->ledger.nentries; i++) {
		en = &b->ledger.entries[i];
		if (strcmp(en->model, model) != 0 || en->missing)
			continue;
		if (en->state == ENTRY_RESIDENT ||
		    (en->state == ENTRY_LOADING && en->confirmed))
			return 1;
	}
	return b->has_delegated_copy && b->delegated_copy.confirmed &&
	    strcmp(b->delegated_copy.model, model) == 0;
}

static void
add_replica_model(struct msg_replica *r, const char *name)
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

void
cell_backend_describe(const struct cell_core *c, const struct cell_backend *b,
    struct msg_replica *r)
{
	const struct conf_model *m;
	uint32_t i;

	memset(r, 0, MSG_REPLICA_FIXED_SIZE);
	memcpy(r->name, b->conf.name, sizeof(r->name));
	memcpy(r->addr, b->conf.address, sizeof(r->addr));
	r->leaving = b->conf.leaving || !b->declared;
	r->incarnation = b->engine_incarnation;
	r->batch = b->batch;
	for (i = 0; i < b->ledger.nentries; i++) {
		m = conf_find_model(c->conf, b->ledger.entries[i].model);
		if (m == NULL || !cell_backend_serves(b, m->name))
			continue;
		/* An old version is listed until the declared one serves. */
		if (strcmp(b->ledger.entries[i].version, m->version) != 0 &&
		    cell_serves(c, m->name, m->version))
			continue;
		if (b->ledger.entries[i].state != ENTRY_UNLOADING)
			add_replica_model(r, m->name);
	}
	if (b->has_delegated_copy && b->delegated_copy.confirmed)
		add_replica_model(r, b->delegated_copy.model);
	for (i = 0; i < b->nadapters; i++) {
		if (b->adapters[i].resident)
			add_replica_model(r, b->adapters[i].name);
	}
}

static void
update_sched_replica(struct cell_core *c, uint64_t now, struct cell_backend *b,
    struct cell_out *out)
{
	struct msg_replica r;
	uint64_t hash;

	cell_backend_describe(c, b, &r);
	r.leaving |= !cell_backend_responsive(c, b, now);
	hash = msg_replica_hash(&r);
	if (hash == b->sched_hash)
		return;
	b->sched_hash = hash;
	sched_update_replica(c->sched, now, &r, out->msgs);
}

static void
query_sender(
    struct cell_core *c, const struct node_id *id, struct cell_out *out)
{
	struct msg *m;

	if (id->addr[0] == '\0' || strcmp(id->addr, c->self.addr) == 0 ||
	    cell_sender_cleared(c, id))
		return;
	m = msg_create(MSG_SENDER_ASK, id->addr);
	memcpy(m->u.sender_none.cell, c->name, sizeof(c->name));
	m->u.sender_none.fence = ownership_fencing_token(c->ownership);
	TAILQ_INSERT_TAIL(out->msgs, m, entry);
}

/* Asks earlier owners whether they still have orders to send. */
static void
query_senders(struct cell_core *c, uint64_t now, struct cell_out *out)
{
	const struct ledger *l;
	uint32_t i;
	uint32_t k;
	uint32_t s;

	if (now < c->senders_asked_at + SENDER_ASK_INTERVAL_NS)
		return;
	c->senders_asked_at = now;
	for (i = 0; i < c->nbackends; i++) {
		l = &c->backends[i]->ledger;
		query_sender(c, &l->delegation.owner, out);
		for (k = 0; k < l->nentries; k++) {
			for (s = 0; s < l->entries[k].nsenders; s++)
				query_sender(
				    c, &l->entries[k].senders[s].id, out);
		}
	}
}

/* A later owner asks: replies only when no order is in flight or in doubt. */
static void
handle_sender_ask(struct cell_core *c, uint64_t now, const struct msg *m,
    struct cell_out *out)
{
	struct msg *reply;

	ownership_superseded(c->ownership, m->u.sender_none.fence);
	if (ownership_fencing_token(c->ownership) >= m->u.sender_none.fence ||
	    cell_orders_pending(c, now))
		return;
	reply = msg_create(MSG_SENDER_NONE, m->from.addr);
	reply->u.sender_none = m->u.sender_none;
	TAILQ_INSERT_TAIL(out->msgs, reply, entry);
}

static void
handle_sender_none(struct cell_core *c, const struct msg *m)
{
	uint32_t i;

	for (i = 0; i < c->ncleared_senders; i++) {
		if (strcmp(c->cleared_senders[i].id.addr, m->from.addr) == 0)
			break;
	}
	if (i == nitems(c->cleared_senders)) {
		i = 0;
		c->ncleared_senders = 0;
	}
	c->cleared_senders[i].id = m->from;
	c->cleared_senders[i].fence = m->u.sender_none.fence;
	if (i == c->ncleared_senders)
		c->ncleared_senders++;
}

void
cell_handle_message(struct cell_core *c, uint64_t now, const struct msg *m,
    struct cell_out *out)
{
	const char *adapter;

	switch (m->kind) {
	case MSG_SENDER_ASK:
		handle_sender_ask(c, now, m, out);
		return;
	case MSG_SENDER_NONE:
		handle_sender_none(c, m);
		return;
	default:
		break;
	}
	if (c->sched == NULL)
		return;
	sched_handle_message(c->sched, now, m, out->msgs);
	if (m->kind != MSG_ACQUIRE)
		return;
	adapter = m->u.acquire.adapter;
	if (adapter[0] != '\0' && c->conf != NULL)
		cell_adapter_request(c, now, adapter, out);
}

int
cell_handle_kv_result(struct cell_core *c, uint64_t now,
    const struct kv_result *r, struct cell_out *out)
{
	if (ownership_kv_result(c->ownership, now, r, out->kv))
		return 1;
	return cell_ledger_result(c, now, r);
}

void
cell_tick(struct cell_core *c, uint64_t now, struct cell_out *out)
{
	uint32_t i;

	ownership_tick(c->ownership, now, out->kv);
	if (ownership_held(c->ownership) && !c->is_owner)
		begin_ownership(c, now);
	if (!ownership_held(c->ownership) && c->is_owner)
		end_ownership(c);
	if (!c->is_owner || c->conf == NULL)
		return;
	for (i = 0; i < c->nbackends; i++)
		cell_listing_expire(c->backends[i], now);
	for (i = 0; i < c->nbackends; i++) {
		cell_ledger_tick(c, now, c->backends[i], out);
		cell_order_tick(c, now, c->backends[i], out);
		cell_adapter_tick(c, now, c->backends[i], out);
		update_sched_replica(c, now, c->backends[i], out);
	}
	if (ownership_valid(c->ownership, now))
		query_senders(c, now, out);
	cell_place_tick(c, now, out);
	sched_tick(c->sched, now, out->msgs);
}

void
cell_set_sync_interval(struct cell_core *c, uint64_t interval_ns)
{
	if (c->sched != NULL)
		sched_set_sync_interval(c->sched, interval_ns);
}

void
cell_handle_superseded(struct cell_core *c, uint64_t fence)
{
	ownership_superseded(c->ownership, fence);
}

void
cell_release(struct cell_core *c, struct cell_out *out)
{
	ownership_release(c->ownership, out->kv);
}

const char *
cell_name(const struct cell_core *c)
{
	return c->name;
}

int
cell_is_owner(const struct cell_core *c)
{
	return c->is_owner;
}

uint64_t
cell_fencing_token(const struct cell_core *c)
{
	return ownership_fencing_token(c->ownership);
}

void
cell_routing_table(const struct cell_core *c, struct msg_load *l)
{
	struct sched_stats t;
	uint32_t i;

	memset(l, 0, offsetof(struct msg_load, replicas));
	memcpy(l->cell, c->name, sizeof(l->cell));
	l->fence = ownership_fencing_token(c->ownership);
	l->content = 1;
	l->nreplicas = c->nbackends;
	l->version = hash_version(c->self.addr, l->fence);
	for (i = 0; i < c->nbackends; i++) {
		cell_backend_describe(c, c->backends[i], &l->replicas[i]);
		l->version = hash_version(l->replicas[i].name, l->version) ^
		    msg_replica_hash(&l->replicas[i]);
	}
	sched_get_stats(c->sched, &t);
	if (t.slots != 0)
		l->load = (t.granted + t.waiting) * 100 / t.slots;
}

void
cell_totals(const struct cell_core *c, struct cell_totals *out)
{
	*out = c->totals;
	if (c->sched != NULL)
		sched_get_stats(c->sched, &out->sched);
}

static json_t *
backend_status(
    const struct cell_core *c, const struct cell_backend *b, uint64_t now)
{
	static const char *const states[ENTRY__MAX] = { "loading", "resident",
		"unloading" };
	json_t *entries = json_array();
	json_t *adapters = json_array();
	uint32_t outstanding = 0;
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < b->ledger.nentries; i++)
		json_array_append_new(entries,
		    json_pack("{s:s,s:s,s:i,s:I,s:s}", "model",
			b->ledger.entries[i].model, "version",
			b->ledger.entries[i].version, "accelerator",
			(int)b->ledger.entries[i].accelerator, "memory_mb",
			(json_int_t)b->ledger.entries[i].memory_mb, "state",
			states[b->ledger.entries[i].state]));
	for (i = 0; i < b->nadapters; i++)
		json_array_append_new(
		    adapters, json_string(b->adapters[i].name));
	if (c->sched != NULL)
		sched_get_replica_load(
		    c->sched, b->conf.name, &outstanding, &slots);
	return json_pack("{s:s,s:b,s:b,s:I,s:i,s:i,s:o,s:o}", "name",
	    b->conf.name, "leaving", b->conf.leaving, "answers",
	    cell_backend_responsive(c, b, now), "engine",
	    (json_int_t)b->engine_incarnation, "outstanding", (int)outstanding,
	    "slots", (int)slots, "models", entries, "adapters", adapters);
}

json_t *
cell_status(const struct cell_core *c, uint64_t now)
{
	json_t *backends = json_array();
	struct cell_totals t;
	uint32_t i;

	memset(&t, 0, sizeof(t));
	cell_totals(c, &t);
	for (i = 0; i < c->nbackends; i++)
		json_array_append_new(
		    backends, backend_status(c, c->backends[i], now));
	return json_pack("{s:s,s:b,s:b,s:I,s:i,s:i,s:i,s:I,s:I,s:o}", "cell",
	    c->name, "owned", c->is_owner, "lease_valid",
	    ownership_valid(c->ownership, now), "fence",
	    (json_int_t)ownership_fencing_token(c->ownership), "waiting",
	    (int)t.sched.waiting, "granted", (int)t.sched.granted, "slots",
	    (int)t.sched.slots, "loads", (json_int_t)t.loads, "unloads",
	    (json_int_t)t.unloads, "backends", backends);
}
