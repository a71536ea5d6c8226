/* Sends gates the cells, declared models, services and readiness. */
#include <stdio.h>
#include <string.h>

#include "hash.h"
#include "node_int.h"

#define GATE_TIMEOUT_NS (5 * NSEC_PER_SEC)

static struct gate_info *find_or_add_gate(
    struct node *, uint64_t, const char *);
static void send_models(struct node *, const char *, struct node_out *);
static void send_services(struct node *, const char *, struct node_out *);
static void send_removed(struct node *, const char *, struct node_out *);
static void send_cell(
    struct node *, const struct cell_state *, const char *, struct node_out *);
static uint64_t cells_version(const struct node *);
static uint64_t model_version(const struct conf_model *);
static uint64_t service_version(const struct conf_service *);
static uint64_t cell_version(const struct cell_state *);

static struct gate_info *
find_or_add_gate(struct node *n, uint64_t now, const char *addr)
{
	struct gate_info *oldest = &n->gates[0];
	struct gate_info *l;
	uint32_t i;

	for (i = 0; i < n->ngates; i++) {
		l = &n->gates[i];
		if (strcmp(l->addr, addr) == 0) {
			l->last_heard_at = now;
			return l;
		}
		if (l->last_heard_at < oldest->last_heard_at)
			oldest = l;
	}
	l = n->ngates < NODE_GATES_MAX ? &n->gates[n->ngates++] : oldest;
	snprintf(l->addr, sizeof(l->addr), "%s", addr);
	l->last_heard_at = now;
	return l;
}

static uint64_t
model_version(const struct conf_model *m)
{
	uint64_t v = m->ticket;
	size_t i;

	for (i = 0; i < m->nadapters; i++)
		v ^= hash_version(m->adapters[i].name, i + 1);
	return v | 1;
}

static uint64_t
service_version(const struct conf_service *s)
{
	return hash_bytes(s, sizeof(*s)) | 1;
}

static uint64_t
cell_version(const struct cell_state *s)
{
	return (s->table.version ^
		   hash_version(s->owner.addr, s->owner.incarnation)) |
	    1;
}

/* Computes the same hashes as gate_fill_hello() does for a gate's tables. */
void
node_gate_update_hashes(struct node *n)
{
	size_t i;

	n->models_hash = n->services_hash = 0;
	for (i = 0; i < n->conf->nmodels; i++)
		n->models_hash ^= hash_version(n->conf->models[i].name,
		    model_version(&n->conf->models[i]));
	for (i = 0; i < n->conf->nservices; i++)
		n->services_hash ^= hash_version(n->conf->services[i].name,
		    service_version(&n->conf->services[i]));
}

static uint64_t
cells_version(const struct node *n)
{
	const struct cell_state *s;
	uint64_t v = 0;

	TAILQ_FOREACH (s, &n->cells, entry) {
		if (s->table.version != 0)
			v ^= hash_version(s->table.cell, cell_version(s));
	}
	return v;
}

static void
send_models(struct node *n, const char *to, struct node_out *out)
{
	const struct conf_model *cm;
	struct msg_model *mm;
	struct msg *m;
	size_t i;
	size_t k;

	for (i = 0; i < n->conf->nmodels; i++) {
		cm = &n->conf->models[i];
		m = msg_create(MSG_MODEL, to);
		mm = &m->u.model;
		memcpy(mm->name, cm->name, sizeof(mm->name));
		mm->version = model_version(cm);
		mm->priority = (uint32_t)cm->priority;
		for (k = 0; k < cm->nadapters; k++)
			memcpy(mm->adapters[mm->nadapters++],
			    cm->adapters[k].name, NAME_SIZE);
		TAILQ_INSERT_TAIL(&out->msgs, m, entry);
	}
}

static void
send_services(struct node *n, const char *to, struct node_out *out)
{
	const struct conf_service *cs;
	struct msg_service *ms;
	struct msg *m;
	size_t i;
	size_t k;

	for (i = 0; i < n->conf->nservices; i++) {
		cs = &n->conf->services[i];
		m = msg_create(MSG_SERVICE, to);
		ms = &m->u.service;
		memcpy(ms->name, cs->name, sizeof(ms->name));
		memcpy(ms->prefix, cs->prefix, sizeof(ms->prefix));
		ms->version = service_version(cs);
		ms->repeatable = cs->repeatable;
		ms->nbackends = (uint32_t)cs->ninstances;
		for (k = 0; k < cs->ninstances; k++) {
			memcpy(ms->backends[k].name, cs->instances[k].name,
			    NAME_SIZE);
			memcpy(ms->backends[k].addr, cs->instances[k].address,
			    ADDR_SIZE);
			ms->backends[k].leaving =
			    (uint32_t)cs->instances[k].leaving;
		}
		TAILQ_INSERT_TAIL(&out->msgs, m, entry);
	}
}

/* Lists the removed models and services, so that a gate deletes them. */
static void
send_removed(struct node *n, const char *to, struct node_out *out)
{
	const char *key;
	json_t *object;
	struct msg *m;

	json_object_foreach (n->conf->objects, key, object) {
		if (!json_is_null(json_object_get(object, "body")))
			continue;
		if (strncmp(key, "model/", 6) == 0) {
			m = msg_create(MSG_MODEL, to);
			snprintf(m->u.model.name, NAME_SIZE, "%s", key + 6);
			m->u.model.removed = 1;
		} else if (strncmp(key, "service/", 8) == 0) {
			m = msg_create(MSG_SERVICE, to);
			snprintf(m->u.service.name, NAME_SIZE, "%s", key + 8);
			m->u.service.removed = 1;
		} else {
			continue;
		}
		TAILQ_INSERT_TAIL(&out->msgs, m, entry);
	}
}

static void
send_cell(struct node *n, const struct cell_state *s, const char *to,
    struct node_out *out)
{
	struct msg_cell *c;
	struct msg *m;

	/* A gate keeps its last table rather than having none. */
	if (s->table.version == 0)
		return;
	m = msg_create_table(MSG_CELL, to, s->table.nreplicas);
	c = &m->u.cell;
	memcpy(c->cell, s->table.cell, sizeof(c->cell));
	c->version = cell_version(s);
	memcpy(c->owner, s->owner.addr, sizeof(c->owner));
	c->owner_incarnation = s->owner.incarnation;
	c->fence = s->table.fence;
	c->load = s->load;
	c->min_interval_ns = node_sync_interval_ns(n);
	c->nreplicas = s->table.nreplicas;
	memcpy(c->replicas, s->table.replicas,
	    s->table.nreplicas * sizeof(c->replicas[0]));
	TAILQ_INSERT_TAIL(&out->msgs, m, entry);
}

void
node_gate_handle_hello(
    struct node *n, uint64_t now, const struct msg *m, struct node_out *out)
{
	const struct msg_hello *h = &m->u.hello;
	const char *to = m->from.addr;
	struct cell_state *s;
	struct msg *reply;

	find_or_add_gate(n, now, to);
	if (h->models_hash != n->models_hash ||
	    h->services_hash != n->services_hash)
		send_removed(n, to, out);
	if (h->models_hash != n->models_hash)
		send_models(n, to, out);
	if (h->services_hash != n->services_hash)
		send_services(n, to, out);
	if (h->cells_hash != cells_version(n)) {
		TAILQ_FOREACH (s, &n->cells, entry)
			send_cell(n, s, to, out);
	}
	reply = msg_create(MSG_READY, to);
	reply->u.ready.revision = n->conf->revision;
	reply->u.ready.ready = (uint32_t)node_ready(n, now);
	TAILQ_INSERT_TAIL(&out->msgs, reply, entry);
}

/* Sends changed cells to live gates without waiting for their HELLO. */
void
node_gate_send_cells(struct node *n, uint64_t now, struct node_out *out)
{
	struct cell_state *s;
	uint64_t hash;
	uint32_t i;

	TAILQ_FOREACH (s, &n->cells, entry) {
		hash = cell_version(s) ^ hash_version("load", s->load / 10);
		if (hash == s->sent_hash)
			continue;
		s->sent_hash = hash;
		for (i = 0; i < n->ngates; i++) {
			if (now < n->gates[i].last_heard_at + GATE_TIMEOUT_NS)
				send_cell(n, s, n->gates[i].addr, out);
		}
	}
}
