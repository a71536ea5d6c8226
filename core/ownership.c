#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "ownership.h"

/* Bits of a fencing token that count within an era of the service. */
#define TOKEN_BITS 20

enum ownership_state {
	OWNERSHIP_IDLE,
	OWNERSHIP_READ_LOCK,	       /* reading lease/CELL */
	OWNERSHIP_GRANT_LEASE,	       /* creating a lease */
	OWNERSHIP_WRITE_LOCK,	       /* writing lease/CELL */
	OWNERSHIP_READ_FENCING_TOKEN,  /* reading cell/CELL */
	OWNERSHIP_WRITE_FENCING_TOKEN, /* writing cell/CELL */
	OWNERSHIP_HELD,
	OWNERSHIP__MAX
};

typedef void (*ownership_handler)(
    struct ownership *, uint64_t, const struct kv_result *, struct kv_ops *);

struct ownership {
	struct ownership_config config;
	struct node_id self;
	struct kv_ids *ids;
	char cell[NAME_SIZE];
	enum ownership_state state;
	int candidate;
	int held;
	uint64_t retry_at;
	uint64_t pending_op; /* id of the operation in flight, 0 for none */
	uint64_t op_sent_at;
	uint64_t keepalive_op; /* id of the renewal in flight, 0 for none */
	uint64_t keepalive_sent_at;
	uint64_t keepalive_at;
	uint64_t lease_id;
	uint64_t lease_deadline;
	uint64_t uncontested_until; /* see ownership_uncontested() */
	uint64_t fence;		    /* fencing token of the latest ownership */
	uint64_t proposed_fencing_token; /* being written */
	uint64_t era;			 /* of the service, 0: not known */
	int first;			 /* no ownership before this one */
};

static struct kv_op *ownership_send_op(struct ownership *, uint64_t,
    enum ownership_state, enum kv_op_kind, const char *, struct kv_ops *);
static void ownership_read_lock(struct ownership *, uint64_t, struct kv_ops *);
static void ownership_read_fencing_token(
    struct ownership *, uint64_t, struct kv_ops *);
static void ownership_retry_later(struct ownership *, uint64_t);
static void ownership_set_held(struct ownership *, uint64_t);
static void ownership_note_silence(struct ownership *, uint64_t);
static void ownership_keepalive_result(
    struct ownership *, uint64_t, const struct kv_result *);
static int written_by_self(const struct ownership *, const char *, uint64_t *);
static uint64_t parse_fencing_token(const char *);
static char *ownership_value(const struct ownership *, uint64_t);
static void on_lock_read(
    struct ownership *, uint64_t, const struct kv_result *, struct kv_ops *);
static void on_lease_granted(
    struct ownership *, uint64_t, const struct kv_result *, struct kv_ops *);
static void on_lock_written(
    struct ownership *, uint64_t, const struct kv_result *, struct kv_ops *);
static void on_fencing_token_read(
    struct ownership *, uint64_t, const struct kv_result *, struct kv_ops *);
static void on_fencing_token_written(
    struct ownership *, uint64_t, const struct kv_result *, struct kv_ops *);

static const ownership_handler ownership_handlers[OWNERSHIP__MAX] = {
	[OWNERSHIP_READ_LOCK] = on_lock_read,
	[OWNERSHIP_GRANT_LEASE] = on_lease_granted,
	[OWNERSHIP_WRITE_LOCK] = on_lock_written,
	[OWNERSHIP_READ_FENCING_TOKEN] = on_fencing_token_read,
	[OWNERSHIP_WRITE_FENCING_TOKEN] = on_fencing_token_written,
};

void
ownership_config_default(struct ownership_config *c)
{
	c->ttl_s = 4;
	c->margin_ns = 300 * NSEC_PER_MSEC;
	c->retry_ns = 700 * NSEC_PER_MSEC;
}

struct ownership *
ownership_create(const struct ownership_config *config, const char *cell,
    const struct node_id *self, struct kv_ids *ids)
{
	struct ownership *o;

	o = mem_alloc(sizeof(*o));
	o->config = *config;
	o->self = *self;
	o->ids = ids;
	snprintf(o->cell, sizeof(o->cell), "%s", cell);
	return o;
}

void
ownership_destroy(struct ownership *o)
{
	free(o);
}

void
ownership_set_candidate(struct ownership *o, int want, uint64_t not_before)
{
	if (want && !o->candidate && o->retry_at < not_before)
		o->retry_at = not_before;
	o->candidate = want;
}

static struct kv_op *
ownership_send_op(struct ownership *o, uint64_t now, enum ownership_state state,
    enum kv_op_kind kind, const char *prefix, struct kv_ops *out)
{
	struct kv_op *op;
	char key[KV_KEY_SIZE];

	snprintf(key, sizeof(key), "%s/%s", prefix, o->cell);
	o->state = state;
	o->pending_op = ++o->ids->next;
	o->op_sent_at = now;
	op = kv_op_create(out, o->pending_op, kind, key);
	return op;
}

static void
ownership_retry_later(struct ownership *o, uint64_t now)
{
	o->state = OWNERSHIP_IDLE;
	o->retry_at = now + o->config.retry_ns;
}

static void
ownership_read_lock(struct ownership *o, uint64_t now, struct kv_ops *out)
{
	ownership_send_op(o, now, OWNERSHIP_READ_LOCK, KV_GET, "lease", out);
}

static void
ownership_read_fencing_token(
    struct ownership *o, uint64_t now, struct kv_ops *out)
{
	ownership_send_op(
	    o, now, OWNERSHIP_READ_FENCING_TOKEN, KV_GET, "cell", out);
}

/* Whether this incarnation wrote the value; fills in the lease in it. */
static int
written_by_self(const struct ownership *o, const char *value, uint64_t *lease)
{
	json_t *doc = json_loads(value, 0, NULL);
	const char *owner = json_string_value(json_object_get(doc, "owner"));
	uint64_t inc;
	int ours;

	inc = (uint64_t)json_integer_value(json_object_get(doc, "incarnation"));
	*lease = (uint64_t)json_integer_value(json_object_get(doc, "lease"));
	ours = owner != NULL && strcmp(owner, o->self.addr) == 0 &&
	    inc == o->self.incarnation;
	json_decref(doc);
	return ours;
}

static uint64_t
parse_fencing_token(const char *value)
{
	json_t *doc = json_loads(value, 0, NULL);
	uint64_t fence;

	fence = (uint64_t)json_integer_value(json_object_get(doc, "fence"));
	json_decref(doc);
	return fence;
}

static char *
ownership_value(const struct ownership *o, uint64_t fence)
{
	json_t *doc;
	char *text;

	doc = json_pack("{s:s,s:I,s:I,s:I}", "owner", o->self.addr,
	    "incarnation", (json_int_t)o->self.incarnation, "lease",
	    (json_int_t)o->lease_id, "fence", (json_int_t)fence);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

static void
on_lock_read(struct ownership *o, uint64_t now, const struct kv_result *r,
    struct kv_ops *out)
{
	struct kv_op *op;
	uint64_t lease;

	if (r->status == KV_ABSENT) {
		op = ownership_send_op(
		    o, now, OWNERSHIP_GRANT_LEASE, KV_GRANT, "lease", out);
		op->ttl_s = o->config.ttl_s;
		return;
	}
	if (r->status != KV_OK) {
		ownership_retry_later(o, now);
		return;
	}
	if (written_by_self(o, r->value, &lease)) {
		/* An earlier write of this process took effect, its answer was
		 * lost. */
		if (lease == o->lease_id && now < o->lease_deadline)
			ownership_read_fencing_token(o, now, out);
		else
			ownership_retry_later(o, now);
		return;
	}
	o->held = 0;
	ownership_retry_later(o, now);
}

static void
on_lease_granted(struct ownership *o, uint64_t now, const struct kv_result *r,
    struct kv_ops *out)
{
	struct kv_op *op;

	if (r->status != KV_OK) {
		ownership_retry_later(o, now);
		return;
	}
	o->lease_id = r->lease_id;
	o->proposed_fencing_token = 0;
	o->lease_deadline = o->op_sent_at + o->config.ttl_s * NSEC_PER_SEC;
	op = ownership_send_op(
	    o, now, OWNERSHIP_WRITE_LOCK, KV_CAS, "lease", out);
	op->expected_revision = 0;
	op->lease_id = o->lease_id;
	op->value = ownership_value(o, 0);
}

static void
on_lock_written(struct ownership *o, uint64_t now, const struct kv_result *r,
    struct kv_ops *out)
{
	if (r->status == KV_OK)
		ownership_read_fencing_token(o, now, out);
	else
		ownership_read_lock(o, now, out);
}

static void
on_fencing_token_read(struct ownership *o, uint64_t now,
    const struct kv_result *r, struct kv_ops *out)
{
	struct kv_op *op;
	uint64_t lease = 0;
	uint64_t fence = 0;

	o->first = r->status == KV_ABSENT && o->era <= 1;
	if (r->status == KV_UNKNOWN) {
		ownership_retry_later(o, now);
		return;
	}
	if (r->status == KV_OK) {
		fence = parse_fencing_token(r->value);
		if (written_by_self(o, r->value, &lease) &&
		    lease == o->lease_id &&
		    fence == o->proposed_fencing_token) {
			ownership_set_held(o, fence);
			return;
		}
	}
	if (fence < o->era << TOKEN_BITS)
		fence = o->era << TOKEN_BITS;
	o->proposed_fencing_token = fence + 1;
	op = ownership_send_op(
	    o, now, OWNERSHIP_WRITE_FENCING_TOKEN, KV_CAS, "cell", out);
	op->expected_revision = r->status == KV_OK ? r->revision : 0;
	op->value = ownership_value(o, o->proposed_fencing_token);
}

static void
on_fencing_token_written(struct ownership *o, uint64_t now,
    const struct kv_result *r, struct kv_ops *out)
{
	if (r->status != KV_OK) {
		ownership_read_fencing_token(o, now, out);
		return;
	}
	ownership_set_held(o, o->proposed_fencing_token);
	o->keepalive_at = now;
}

static void
ownership_set_held(struct ownership *o, uint64_t fence)
{
	o->fence = fence;
	o->held = 1;
	o->state = OWNERSHIP_HELD;
	o->uncontested_until = o->lease_deadline;
}

/* An attempt to reach the service was in vain. */
static void
ownership_note_silence(struct ownership *o, uint64_t sent_at)
{
	uint64_t until = sent_at + o->config.ttl_s * NSEC_PER_SEC;

	if (sent_at < o->uncontested_until && o->uncontested_until < until)
		o->uncontested_until = until;
}

/* The lease runs from before the renewal was sent, not from its answer. */
static void
ownership_keepalive_result(
    struct ownership *o, uint64_t now, const struct kv_result *r)
{
	o->keepalive_op = 0;
	if (r->status == KV_OK) {
		o->lease_deadline =
		    o->keepalive_sent_at + o->config.ttl_s * NSEC_PER_SEC;
		if (o->state == OWNERSHIP_HELD)
			o->uncontested_until = o->lease_deadline;
		return;
	}
	if (r->status == KV_UNKNOWN)
		ownership_note_silence(o, o->keepalive_sent_at);
	if (r->status == KV_ABSENT)
		o->uncontested_until = 0;
	if (r->status == KV_ABSENT && o->state == OWNERSHIP_HELD) {
		o->lease_deadline = 0;
		o->state = OWNERSHIP_IDLE;
		o->retry_at = now;
	}
}

int
ownership_kv_result(struct ownership *o, uint64_t now,
    const struct kv_result *r, struct kv_ops *out)
{
	if (r->id == o->keepalive_op && o->keepalive_op != 0) {
		ownership_keepalive_result(o, now, r);
		return 1;
	}
	if (r->id != o->pending_op || o->pending_op == 0)
		return 0;
	o->pending_op = 0;
	if (r->status == KV_UNKNOWN)
		ownership_note_silence(o, o->op_sent_at);
	/* The lease must not expire before the cell is acquired. */
	if (o->state >= OWNERSHIP_WRITE_LOCK &&
	    o->state <= OWNERSHIP_WRITE_FENCING_TOKEN &&
	    now >= o->lease_deadline) {
		ownership_retry_later(o, now);
		return 1;
	}
	if (ownership_handlers[o->state] != NULL)
		ownership_handlers[o->state](o, now, r, out);
	return 1;
}

void
ownership_tick(struct ownership *o, uint64_t now, struct kv_ops *out)
{
	struct kv_op *op;

	if (o->state == OWNERSHIP_IDLE) {
		if ((o->candidate || o->held) && now >= o->retry_at &&
		    o->pending_op == 0)
			ownership_read_lock(o, now, out);
		return;
	}
	if (o->state != OWNERSHIP_HELD)
		return;
	if (now >= o->lease_deadline) {
		/* Expired: acquire it again, with a new fencing token. */
		o->state = OWNERSHIP_IDLE;
		o->retry_at = now;
		return;
	}
	if (now < o->keepalive_at || o->keepalive_op != 0)
		return;
	o->keepalive_at = now + o->config.ttl_s * NSEC_PER_SEC / 3;
	o->keepalive_op = ++o->ids->next;
	o->keepalive_sent_at = now;
	op = kv_op_create(out, o->keepalive_op, KV_KEEPALIVE, "");
	op->lease_id = o->lease_id;
}

void
ownership_set_era(struct ownership *o, uint64_t now, uint64_t era)
{
	uint64_t was = o->era;

	if (era <= was)
		return;
	o->era = era;
	if (was == 0)
		return;
	o->state = OWNERSHIP_IDLE;
	o->pending_op = 0;
	o->keepalive_op = 0;
	o->lease_deadline = 0;
	o->uncontested_until = 0;
	o->retry_at = now + o->config.ttl_s * NSEC_PER_SEC;
}

void
ownership_release(struct ownership *o, struct kv_ops *out)
{
	struct kv_op *op;

	if (o->state == OWNERSHIP_HELD) {
		op = kv_op_create(out, ++o->ids->next, KV_REVOKE, "");
		op->lease_id = o->lease_id;
	}
	o->held = 0;
	o->candidate = 0;
	o->state = OWNERSHIP_IDLE;
	o->lease_deadline = 0;
}

void
ownership_superseded(struct ownership *o, uint64_t fence)
{
	if (fence <= o->fence || !o->held)
		return;
	o->held = 0;
	o->lease_deadline = 0;
	if (o->state == OWNERSHIP_HELD)
		o->state = OWNERSHIP_IDLE;
}

int
ownership_held(const struct ownership *o)
{
	return o->held;
}

int
ownership_valid(const struct ownership *o, uint64_t now)
{
	return o->held && o->state == OWNERSHIP_HELD &&
	    now + o->config.margin_ns < o->lease_deadline;
}

int
ownership_uncontested(const struct ownership *o, uint64_t now)
{
	return o->held && now < o->uncontested_until;
}

uint64_t
ownership_valid_until(const struct ownership *o)
{
	if (!o->held || o->state != OWNERSHIP_HELD ||
	    o->lease_deadline < o->config.margin_ns)
		return 0;
	return o->lease_deadline - o->config.margin_ns;
}

uint64_t
ownership_fencing_token(const struct ownership *o)
{
	return o->fence;
}

int
ownership_is_first(const struct ownership *o)
{
	return o->first;
}
