/*
 * One function per kind visits the message's fields, both to encode and to
 * decode, so that the two directions cannot diverge.
 */
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wire.h"
#include "wire_int.h"

/* Limit on fields in a message; FRONT with its two lists is the largest. */
#define WIRE_FIELDS_MAX 16384

typedef void (*wire_visit)(struct wire_cursor *, struct msg *);

static const msgpack_object *wire_next_field(
    struct wire_cursor *, msgpack_object_type);
static void wire_bytes(struct wire_cursor *, char **, uint32_t *);
static void wire_key(struct wire_cursor *, struct job_key *);
static void wire_replica(struct wire_cursor *, struct msg_replica *);
static void wire_none(struct wire_cursor *, struct msg *);
static void wire_acquire(struct wire_cursor *, struct msg *);
static void wire_job_key(struct wire_cursor *, struct msg *);
static void wire_grant(struct wire_cursor *, struct msg *);
static void wire_refuse(struct wire_cursor *, struct msg *);
static void wire_release(struct wire_cursor *, struct msg *);
static void wire_sync(struct wire_cursor *, struct msg *);
static void wire_report(struct wire_cursor *, struct msg *);
static void wire_hello(struct wire_cursor *, struct msg *);
static void wire_cell(struct wire_cursor *, struct msg *);
static void wire_service(struct wire_cursor *, struct msg *);
static void wire_model(struct wire_cursor *, struct msg *);
static void wire_ready(struct wire_cursor *, struct msg *);
static void wire_load(struct wire_cursor *, struct msg *);
static void wire_ping(struct wire_cursor *, struct msg *);
static void wire_conf(struct wire_cursor *, struct msg *);
static void wire_sender_none(struct wire_cursor *, struct msg *);
static int wire_unpack_fields(
    const char *, size_t, msgpack_zone *, msgpack_object *, uint32_t *);
static struct msg *wire_decode_fields(struct wire_cursor *);
static int is_of_later_build(const msgpack_object *, uint32_t);

static const wire_visit wire_visits[MSG__MAX] = {
	[MSG_NONE] = wire_none,
	[MSG_ACQUIRE] = wire_acquire,
	[MSG_QUEUED] = wire_job_key,
	[MSG_GRANT] = wire_grant,
	[MSG_REFUSE] = wire_refuse,
	[MSG_CANCEL] = wire_job_key,
	[MSG_RELEASE] = wire_release,
	[MSG_SYNC] = wire_sync,
	[MSG_REPORT] = wire_report,
	[MSG_HELLO] = wire_hello,
	[MSG_CELL] = wire_cell,
	[MSG_SERVICE] = wire_service,
	[MSG_MODEL] = wire_model,
	[MSG_READY] = wire_ready,
	[MSG_LOAD] = wire_load,
	[MSG_LOAD_PULL] = wire_load,
	[MSG_SENDER_ASK] = wire_sender_none,
	[MSG_PING] = wire_ping,
	[MSG_PING_REQ] = wire_ping,
	[MSG_ACK] = wire_ping,
	[MSG_CONF_PULL] = wire_conf,
	[MSG_CONF_HEAD] = wire_conf,
	[MSG_CONF_CHUNK] = wire_conf,
	[MSG_SENDER_NONE] = wire_sender_none,
	[MSG_FRONT] = wire_front,
	[MSG_HELD] = wire_held,
	[MSG_WANT] = wire_want,
	[MSG_PERMIT_REQUEST] = wire_permit_request,
	[MSG_PERMIT_ANSWER] = wire_permit_answer,
	[MSG_LOADS] = wire_loads,
	[MSG_SHARE_LOAN] = wire_share_loan,
	[MSG_SHARE_ACK] = wire_share_ack,
	[MSG_QUOTA_REQUEST] = wire_quota_request,
	[MSG_QUOTA_ANSWER] = wire_quota_answer,
};

static const msgpack_object *
wire_next_field(struct wire_cursor *w, msgpack_object_type type)
{
	const msgpack_object *o;

	if (w->malformed || w->next >= w->nfields) {
		w->malformed = 1;
		return NULL;
	}
	o = &w->fields[w->next++];
	if (o->type != type) {
		w->malformed = 1;
		return NULL;
	}
	return o;
}

void
wire_u64(struct wire_cursor *w, uint64_t *v)
{
	const msgpack_object *o;

	if (w->packer != NULL) {
		msgpack_pack_uint64(w->packer, *v);
		return;
	}
	o = wire_next_field(w, MSGPACK_OBJECT_POSITIVE_INTEGER);
	if (o != NULL)
		*v = o->via.u64;
}

void
wire_u32(struct wire_cursor *w, uint32_t *v)
{
	uint64_t wide = *v;

	wire_u64(w, &wide);
	if (wide > UINT32_MAX)
		w->malformed = 1;
	*v = (uint32_t)wide;
}

/* A count or enum value; values of limit and above are malformed. */
void
wire_count(struct wire_cursor *w, uint32_t *v, uint32_t limit)
{
	wire_u32(w, v);
	if (*v >= limit) {
		w->malformed = 1;
		*v = 0;
	}
}

void
wire_str(struct wire_cursor *w, char *s, size_t size)
{
	const msgpack_object *o;

	if (w->packer != NULL) {
		msgpack_pack_str_with_body(w->packer, s, strlen(s));
		return;
	}
	o = wire_next_field(w, MSGPACK_OBJECT_STR);
	if (o == NULL)
		return;
	/* The pointer of an empty string may be NULL. */
	if (o->via.str.size == 0) {
		s[0] = '\0';
		return;
	}
	if (o->via.str.size >= size ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
		w->malformed = 1;
		return;
	}
	memcpy(s, o->via.str.ptr, o->via.str.size);
	s[o->via.str.size] = '\0';
}

static void
wire_bytes(struct wire_cursor *w, char **bytes, uint32_t *len)
{
	const msgpack_object *o;

	if (w->packer != NULL) {
		msgpack_pack_bin_with_body(
		    w->packer, *bytes == NULL ? "" : *bytes, *len);
		return;
	}
	o = wire_next_field(w, MSGPACK_OBJECT_BIN);
	if (o == NULL)
		return;
	if (o->via.bin.size > MSG_BYTES_MAX) {
		w->malformed = 1;
		return;
	}
	*len = o->via.bin.size;
	*bytes = mem_alloc(*len + 1U);
	if (*len != 0)
		memcpy(*bytes, o->via.bin.ptr, *len);
}

static void
wire_key(struct wire_cursor *w, struct job_key *key)
{
	wire_u64(w, &key->rid);
	wire_u32(w, &key->attempt);
}

static void
wire_none(struct wire_cursor *w, struct msg *m)
{
	(void)m;
	w->malformed = 1;
}

static void
wire_acquire(struct wire_cursor *w, struct msg *m)
{
	struct msg_acquire *a = &m->u.acquire;

	wire_key(w, &a->key);
	wire_str(w, a->model, sizeof(a->model));
	wire_str(w, a->adapter, sizeof(a->adapter));
	wire_str(w, a->exclude, sizeof(a->exclude));
	wire_count(w, &a->job_class, CLASS__MAX);
	wire_u32(w, &a->tokens);
	wire_u64(w, &a->prefix);
	wire_u64(w, &a->slack_ns);
}

static void
wire_job_key(struct wire_cursor *w, struct msg *m)
{
	wire_key(w, &m->u.key);
}

static void
wire_grant(struct wire_cursor *w, struct msg *m)
{
	wire_key(w, &m->u.grant.key);
	wire_u64(w, &m->u.grant.grant_id);
	wire_str(w, m->u.grant.replica, sizeof(m->u.grant.replica));
}

static void
wire_refuse(struct wire_cursor *w, struct msg *m)
{
	wire_key(w, &m->u.refuse.key);
	wire_count(w, &m->u.refuse.reason, REFUSE__MAX);
	wire_u64(w, &m->u.refuse.retry_ns);
}

static void
wire_release(struct wire_cursor *w, struct msg *m)
{
	struct msg_release *r = &m->u.release;

	wire_key(w, &r->key);
	wire_u64(w, &r->grant_id);
	wire_count(w, &r->outcome, RELEASE__MAX);
	wire_u32(w, &r->tokens);
	wire_u64(w, &r->first_ns);
	wire_u64(w, &r->token_ns);
}

static void
wire_sync(struct wire_cursor *w, struct msg *m)
{
	struct msg_sync_item *it;
	uint32_t i;

	wire_count(w, &m->u.sync.n, MSG_SYNC_MAX + 1);
	for (i = 0; i < m->u.sync.n && !w->malformed; i++) {
		it = &m->u.sync.items[i];
		wire_key(w, &it->key);
		wire_u64(w, &it->grant_id);
		wire_str(w, it->replica, sizeof(it->replica));
		wire_u32(w, &it->is_long);
	}
}

static void
wire_report(struct wire_cursor *w, struct msg *m)
{
	struct msg_report_item *it;
	uint32_t i;

	wire_count(w, &m->u.report.n, MSG_REPORTS_MAX + 1);
	for (i = 0; i < m->u.report.n && !w->malformed; i++) {
		it = &m->u.report.items[i];
		wire_str(w, it->replica, sizeof(it->replica));
		wire_u64(w, &it->first_ns);
		wire_u64(w, &it->token_ns);
		wire_u64(w, &it->waiting_ns);
		wire_u64(w, &it->incarnation);
		wire_u64(w, &it->closed_ns);
		wire_u64(w, &it->limit_per_1000_s);
		wire_u64(w, &it->limit_ago_ns);
		wire_u32(w, &it->leaving);
	}
}

static void
wire_hello(struct wire_cursor *w, struct msg *m)
{
	wire_str(w, m->u.hello.vm, sizeof(m->u.hello.vm));
	wire_u64(w, &m->u.hello.cells_hash);
	wire_u64(w, &m->u.hello.services_hash);
	wire_u64(w, &m->u.hello.models_hash);
}

static void
wire_replica(struct wire_cursor *w, struct msg_replica *r)
{
	uint32_t i;

	wire_str(w, r->name, sizeof(r->name));
	wire_str(w, r->addr, sizeof(r->addr));
	wire_u64(w, &r->incarnation);
	wire_u32(w, &r->leaving);
	wire_u32(w, &r->batch);
	wire_count(w, &r->nmodels, REPLICA_MODELS_MAX + 1);
	for (i = 0; i < r->nmodels && !w->malformed; i++)
		wire_str(w, r->models[i], sizeof(r->models[i]));
}

static void
wire_cell(struct wire_cursor *w, struct msg *m)
{
	struct msg_cell *c = &m->u.cell;
	uint32_t i;

	wire_str(w, c->cell, sizeof(c->cell));
	wire_u64(w, &c->version);
	wire_str(w, c->owner, sizeof(c->owner));
	wire_u64(w, &c->owner_incarnation);
	wire_u64(w, &c->fence);
	wire_u32(w, &c->load);
	wire_u32(w, &c->removed);
	wire_u64(w, &c->min_interval_ns);
	wire_count(w, &c->nreplicas, CELL_REPLICAS_MAX + 1);
	for (i = 0; i < c->nreplicas && !w->malformed; i++)
		wire_replica(w, &c->replicas[i]);
}

static void
wire_service(struct wire_cursor *w, struct msg *m)
{
	struct msg_service *s = &m->u.service;
	uint32_t i;

	wire_str(w, s->name, sizeof(s->name));
	wire_str(w, s->prefix, sizeof(s->prefix));
	wire_u64(w, &s->version);
	wire_u32(w, &s->removed);
	wire_u32(w, &s->repeatable);
	wire_count(w, &s->nbackends, CELL_REPLICAS_MAX + 1);
	for (i = 0; i < s->nbackends && !w->malformed; i++) {
		wire_str(w, s->backends[i].name, NAME_SIZE);
		wire_str(w, s->backends[i].addr, ADDR_SIZE);
		wire_u32(w, &s->backends[i].leaving);
	}
}

static void
wire_model(struct wire_cursor *w, struct msg *m)
{
	struct msg_model *d = &m->u.model;
	uint32_t i;

	wire_str(w, d->name, sizeof(d->name));
	wire_u64(w, &d->version);
	wire_u32(w, &d->removed);
	wire_u32(w, &d->priority);
	wire_count(w, &d->nadapters, MSG_ADAPTERS_MAX + 1);
	for (i = 0; i < d->nadapters && !w->malformed; i++)
		wire_str(w, d->adapters[i], sizeof(d->adapters[i]));
}

static void
wire_ready(struct wire_cursor *w, struct msg *m)
{
	wire_u64(w, &m->u.ready.revision);
	wire_u32(w, &m->u.ready.ready);
}

static void
wire_load(struct wire_cursor *w, struct msg *m)
{
	struct msg_load *l = &m->u.load;
	uint32_t i;

	wire_str(w, l->cell, sizeof(l->cell));
	wire_u64(w, &l->fence);
	wire_u64(w, &l->version);
	wire_u32(w, &l->load);
	wire_count(w, &l->content, LOAD__MAX);
	wire_count(w, &l->nreplicas, CELL_REPLICAS_MAX + 1);
	for (i = 0; i < l->nreplicas && !w->malformed; i++)
		wire_replica(w, &l->replicas[i]);
}

static void
wire_ping(struct wire_cursor *w, struct msg *m)
{
	struct msg_ping *p = &m->u.ping;
	uint32_t i;

	wire_u64(w, &p->probe);
	wire_u64(w, &p->revision);
	wire_str(w, p->target, sizeof(p->target));
	wire_count(w, &p->n, MSG_MEMBERS_MAX + 1);
	for (i = 0; i < p->n && !w->malformed; i++) {
		wire_str(w, p->members[i].addr, ADDR_SIZE);
		wire_u64(w, &p->members[i].incarnation);
		wire_count(w, &p->members[i].state, MEMBER__MAX);
	}
}

static void
wire_conf(struct wire_cursor *w, struct msg *m)
{
	struct msg_conf *c = &m->u.conf;
	uint32_t i;

	wire_u64(w, &c->revision);
	wire_u64(w, &c->nonce);
	wire_count(w, &c->nhashes, MSG_CHUNKS_MAX + 1);
	for (i = 0; i < c->nhashes && !w->malformed; i++)
		wire_u64(w, &c->hashes[i]);
	if (m->kind == MSG_CONF_CHUNK)
		wire_bytes(w, &c->bytes, &c->len);
}

static void
wire_sender_none(struct wire_cursor *w, struct msg *m)
{
	wire_str(w, m->u.sender_none.cell, NAME_SIZE);
	wire_u64(w, &m->u.sender_none.fence);
}

void
wire_encode(const struct msg *m, char **out, size_t *len)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	struct wire_cursor w = { &pk, NULL, 0, 0, 0 };

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_uint32(&pk, m->kind);
	msgpack_pack_uint32(&pk, MSG_VERSION);
	wire_str(&w, (char *)m->from.addr, sizeof(m->from.addr));
	msgpack_pack_uint64(&pk, m->from.incarnation);
	msgpack_pack_uint64(&pk, m->seq);
	/* Visitors do not modify the message when encoding. */
	wire_visits[m->kind](&w, (struct msg *)m);
	*len = buf.size;
	*out = msgpack_sbuffer_release(&buf);
}

/* Visits the length of a list; allocates the list when decoding. */
void *
wire_list(struct wire_cursor *w, uint32_t *n, size_t size, void *list)
{
	wire_count(w, n, MSG_LIST_MAX);
	if (w->packer != NULL)
		return list;
	return mem_alloc((*n + 1U) * size);
}

static int
wire_unpack_fields(const char *buf, size_t len, msgpack_zone *zone,
    msgpack_object *fields, uint32_t *n)
{
	size_t off = 0;

	for (*n = 0; off < len; (*n)++) {
		if (*n == WIRE_FIELDS_MAX)
			return -1;
		switch (msgpack_unpack(buf, len, &off, zone, &fields[*n])) {
		case MSGPACK_UNPACK_SUCCESS:
		case MSGPACK_UNPACK_EXTRA_BYTES:
			break;
		default:
			return -1;
		}
	}
	return 0;
}

static struct msg *
wire_decode_fields(struct wire_cursor *w)
{
	struct msg *m;
	uint32_t kind = 0;
	uint32_t version = 0;

	wire_count(w, &kind, MSG__MAX);
	wire_u32(w, &version);
	if (w->malformed || version != MSG_VERSION)
		return NULL;
	m = msg_create((enum msg_kind)kind, "");
	wire_str(w, m->from.addr, sizeof(m->from.addr));
	wire_u64(w, &m->from.incarnation);
	wire_u64(w, &m->seq);
	wire_visits[kind](w, m);
	if (!w->malformed && w->next == w->nfields)
		return m;
	msg_destroy(m);
	return NULL;
}

/* Whether it begins like a message, of a kind that is not known here. */
static int
is_of_later_build(const msgpack_object *fields, uint32_t n)
{
	return n > 1 && fields[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    fields[0].via.u64 >= MSG__MAX &&
	    fields[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    fields[1].via.u64 == MSG_VERSION;
}

struct msg *
wire_decode(const char *buf, size_t len, struct err *e)
{
	struct wire_cursor w = { NULL, NULL, 0, 0, 0 };
	struct msg *m = NULL;
	msgpack_object *fields;
	msgpack_zone zone;

	if (!msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE)) {
		err_set(e, ERR_SYSTEM,
		    "out of memory while decoding a message; "
		    "raise the memory limit");
		return NULL;
	}
	/* Each field takes at least one byte. */
	fields = mem_alloc((len < WIRE_FIELDS_MAX ? len + 1 : WIRE_FIELDS_MAX) *
	    sizeof(*fields));
	if (wire_unpack_fields(buf, len, &zone, fields, &w.nfields) == 0) {
		w.fields = fields;
		m = wire_decode_fields(&w);
	}
	if (m == NULL && is_of_later_build(fields, w.nfields))
		err_set(e, ERR_UNSUPPORTED, "message of a later build");
	else if (m == NULL)
		err_set(e, ERR_FORMAT,
		    "malformed message of %zu bytes; check that all VMs run "
		    "the same version",
		    len);
	free(fields);
	msgpack_zone_destroy(&zone);
	return m;
}
