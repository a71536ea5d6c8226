#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "log.h"
#include "mem.h"
#include "observer.h"

#define LEDGER_OPERATIONS 64
#define OBSERVE_PERIOD_NS (100 * NSEC_PER_MSEC)

struct seen_member {
	char addr[ADDR_SIZE];
	UT_hash_handle hh;
	uint64_t incarnation;
	enum member_state state;
};

struct seen_cell {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	int owned;
	uint64_t fence;
};

struct seen_engine {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	uint64_t incarnation;
};

struct observer {
	struct seen_engine *engines;
	uint64_t
	    ledger_operations[LEDGER_OPERATIONS]; /* latest ledger writes */
	uint32_t next_ledger_operation;
	struct seen_member *members;
	struct seen_cell *cells;
	uint64_t observed_at;
	uint64_t revision;
	int ready;
	int kv_failures;
	int kv_down;
};

static void observe_member(void *, const struct member_info *);
static void observe_cell(void *, const struct cell_core *);
static void observe_engine(struct observer *, const char *, uint64_t);
static void check_kv_value(const struct kv_result *);
static int is_ledger_operation(const struct observer *, uint64_t);
static const char *order_kind_name(enum order_kind);

#define KV_DOWN_AFTER 3 /* failures in a row */

struct observer *
observer_create(void)
{
	return mem_alloc(sizeof(struct observer));
}

void
observer_destroy(struct observer *o)
{
	struct seen_member *m, *m_next;
	struct seen_cell *c, *c_next;
	struct seen_engine *e, *e_next;

	HASH_ITER (hh, o->members, m, m_next) {
		HASH_DEL(o->members, m);
		free(m);
	}
	HASH_ITER (hh, o->cells, c, c_next) {
		HASH_DEL(o->cells, c);
		free(c);
	}
	HASH_ITER (hh, o->engines, e, e_next) {
		HASH_DEL(o->engines, e);
		free(e);
	}
	free(o);
}

void
observe_received_message(struct observer *o, const struct msg *m)
{
	struct log_subject about = { 0 };

	(void)o;
	if (m->kind != MSG_RELEASE)
		return;
	about.request = m->u.release.key.rid;
	about.order = m->u.release.grant_id;
	log_event(LOG_GRANT_RELEASED, &about, "outcome=%u tokens=%u",
	    m->u.release.outcome, m->u.release.tokens);
}

void
observe_sent_message(struct observer *o, const struct msg *m)
{
	struct log_subject about = { 0 };

	(void)o;
	if (m->kind == MSG_GRANT) {
		about.request = m->u.grant.key.rid;
		about.order = m->u.grant.grant_id;
		about.backend = m->u.grant.replica;
		log_event(LOG_GRANT_SENT, &about, "attempt=%u",
		    m->u.grant.key.attempt);
	} else if (m->kind == MSG_REFUSE) {
		about.request = m->u.refuse.key.rid;
		log_event(
		    LOG_WORK_REFUSED, &about, "reason=%u", m->u.refuse.reason);
	}
}

void
observe_kv_operation(struct observer *o, const struct kv_op *op)
{
	struct log_subject about = { 0 };

	if (op->kind != KV_CAS || strncmp(op->key, "ledger/", 7) != 0)
		return;
	o->ledger_operations[o->next_ledger_operation++ % LEDGER_OPERATIONS] =
	    op->id;
	about.backend = op->key + 7;
	log_event(LOG_LEDGER_WRITTEN, &about, "expect=%" PRIu64,
	    op->expected_revision);
}

static int
is_ledger_operation(const struct observer *o, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < LEDGER_OPERATIONS; i++) {
		if (o->ledger_operations[i] == id)
			return 1;
	}
	return 0;
}

/* Logs a stored value that is not a JSON object, as all of them must be. */
static void
check_kv_value(const struct kv_result *r)
{
	json_error_t je;
	json_t *doc = json_loads(r->value, 0, &je);

	if (!json_is_object(doc))
		log_event(LOG_KV_BAD, NULL, "%s: %.60s", je.text, r->value);
	json_decref(doc);
}

void
observe_kv_result(struct observer *o, const struct kv_result *r)
{
	if (r->kind == KV_GET && r->status == KV_OK && r->value != NULL)
		check_kv_value(r);
	if (r->status == KV_CONFLICT && is_ledger_operation(o, r->id))
		log_event(LOG_LEDGER_CONFLICT, NULL, "%s", "");
	if (r->status != KV_UNKNOWN) {
		o->kv_failures = 0;
		if (o->kv_down)
			log_event(LOG_KV_UP, NULL, "%s", "");
		o->kv_down = 0;
		return;
	}
	if (r->kind == KV_WATCH || ++o->kv_failures < KV_DOWN_AFTER)
		return;
	if (!o->kv_down)
		log_event(LOG_KV_DOWN, NULL, "operation=%s",
		    kv_op_kind_name(r->kind));
	o->kv_down = 1;
}

static const char *
order_kind_name(enum order_kind kind)
{
	static const char *const names[ORDER__MAX] = { "index", "load",
		"unload", "adapter-load", "adapter-unload" };

	return names[kind];
}

void
observe_sent_order(struct observer *ob, const struct order *o)
{
	struct log_subject about = { 0 };

	(void)ob;
	if (o->kind == ORDER_INDEX)
		return;
	about.order = o->id;
	about.model = o->model;
	about.backend = o->backend;
	log_event(LOG_ORDER_SENT, &about, "%s version=%s fence=%" PRIu64,
	    order_kind_name(o->kind), o->version, o->fence);
}

void
observe_order_result(struct observer *ob, const struct order_result *r,
    enum order_kind kind, const char *backend, const char *model)
{
	static const char *const names[] = { "done", "stale", "refused",
		"unknown" };
	struct log_subject about = { 0 };

	if (kind == ORDER_INDEX) {
		if (r->outcome == ORDER_DONE)
			observe_engine(ob, backend, r->engine_incarnation);
		return;
	}
	about.order = r->id;
	about.model = model;
	about.backend = backend;
	log_event(r->outcome == ORDER_DONE ? LOG_ORDER_DONE : LOG_ORDER_FAILED,
	    &about, "%s outcome=%s", order_kind_name(kind), names[r->outcome]);
}

/* Logs a restart of an engine, detected by a change of its incarnation. */
static void
observe_engine(struct observer *o, const char *name, uint64_t incarnation)
{
	struct log_subject about = { 0 };
	struct seen_engine *e;

	HASH_FIND_STR(o->engines, name, e);
	if (e == NULL) {
		e = mem_alloc(sizeof(*e));
		snprintf(e->name, sizeof(e->name), "%s", name);
		HASH_ADD_STR(o->engines, name, e);
	}
	about.backend = name;
	if (e->incarnation != 0 && e->incarnation != incarnation)
		log_event(LOG_ENGINE_RESTARTED, &about, "incarnation=%" PRIu64,
		    incarnation);
	e->incarnation = incarnation;
}

void
observe_ticket_reply(struct observer *o, const struct ticket_reply *r)
{
	struct log_subject about = { 0 };

	(void)o;
	about.ticket = r->number;
	if (r->status == TICKET_ACCEPTED || r->status == TICKET_UNCHANGED)
		log_event(LOG_TICKET_ACCEPTED, &about, "revision=%" PRIu64 "%s",
		    r->revision,
		    r->status == TICKET_UNCHANGED ? " (again)" : "");
	else
		log_event(LOG_TICKET_REFUSED, &about, "%s", r->err.text);
}

static void
observe_member(void *arg, const struct member_info *info)
{
	static const enum log_id ids[MEMBER__MAX] = {
		[MEMBER_ALIVE] = LOG_MEMBER_ALIVE,
		[MEMBER_SUSPECT] = LOG_MEMBER_SUSPECT,
		[MEMBER_DEAD] = LOG_MEMBER_DEAD,
		[MEMBER_LEAVING] = LOG_MEMBER_LEAVING,
	};
	struct observer *o = arg;
	struct seen_member *m;
	enum log_id id;

	if (info->id.incarnation == 0 || (unsigned)info->state >= MEMBER__MAX)
		return; /* listed, but no message received from it yet */
	HASH_FIND_STR(o->members, info->id.addr, m);
	if (m == NULL) {
		m = mem_alloc(sizeof(*m));
		memcpy(m->addr, info->id.addr, sizeof(m->addr));
		HASH_ADD_STR(o->members, addr, m);
		m->state = MEMBER__MAX;
	}
	if (m->state == info->state && m->incarnation == info->id.incarnation)
		return;
	m->state = info->state;
	m->incarnation = info->id.incarnation;
	id = ids[info->state];
	log_event(id, NULL, "peer=%s incarnation=%" PRIu64, info->id.addr,
	    info->id.incarnation);
}

static void
observe_cell(void *arg, const struct cell_core *cell)
{
	struct observer *o = arg;
	struct seen_cell *c;
	int owned = cell_is_owner(cell);

	HASH_FIND_STR(o->cells, cell_name(cell), c);
	if (c == NULL) {
		c = mem_alloc(sizeof(*c));
		snprintf(c->name, sizeof(c->name), "%s", cell_name(cell));
		HASH_ADD_STR(o->cells, name, c);
	}
	if (owned && (!c->owned || c->fence != cell_fencing_token(cell)))
		log_event(LOG_CELL_TAKEN, NULL, "cell=%s fence=%" PRIu64,
		    c->name, cell_fencing_token(cell));
	if (!owned && c->owned)
		log_event(LOG_CELL_LOST, NULL, "cell=%s fence=%" PRIu64,
		    c->name, c->fence);
	c->owned = owned;
	c->fence = cell_fencing_token(cell);
}

void
observe_node_state(struct observer *o, const struct node *n, uint64_t now)
{
	int ready;

	if (now < o->observed_at + OBSERVE_PERIOD_NS)
		return;
	o->observed_at = now;
	node_foreach_member(n, observe_member, o);
	node_foreach_cell(n, observe_cell, o);
	if (node_revision(n) != o->revision) {
		o->revision = node_revision(n);
		log_event(
		    LOG_CONF_IN_FORCE, NULL, "revision=%" PRIu64, o->revision);
	}
	ready = node_ready(n, now);
	if (ready != o->ready)
		log_event(ready ? LOG_READY : LOG_NOT_READY, NULL, "%s", "");
	o->ready = ready;
}
