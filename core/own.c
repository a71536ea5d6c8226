#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "own.h"

enum own_state {
	OWN_IDLE,
	OWN_LOOK,  /* reading lease/CELL */
	OWN_GRANT, /* asking for a lease */
	OWN_LOCK,  /* writing lease/CELL */
	OWN_READ,  /* reading cell/CELL */
	OWN_FENCE, /* writing cell/CELL */
	OWN_OWNER,
	OWN__MAX
};

typedef void (*own_handler)(
    struct own *, uint64_t, const struct kv_result *, struct kv_ops *);

struct own {
	struct own_config config;
	struct node_id self;
	struct kv_ids *ids;
	char cell[NAME_SIZE];
	enum own_state state;
	int want;
	int held;
	uint64_t try_at;
	uint64_t pending; /* operation awaited, 0 for none */
	uint64_t sent_at;
	uint64_t keep; /* renewal awaited */
	uint64_t keep_sent;
	uint64_t keep_at;
	uint64_t lease;
	uint64_t lease_deadline;
	uint64_t fence; /* of our latest ownership */
	uint64_t claim; /* fencing number being written */
};

static struct kv_op *own_send(struct own *, uint64_t, enum own_state,
    enum kv_kind, const char *, struct kv_ops *);
static void own_look(struct own *, uint64_t, struct kv_ops *);
static void own_read(struct own *, uint64_t, struct kv_ops *);
static void own_idle(struct own *, uint64_t);
static void own_keep(struct own *, uint64_t, const struct kv_result *);
static int is_ours(const struct own *, const char *, uint64_t *);
static uint64_t parse_fence(const char *);
static char *describe(const struct own *, uint64_t);
static void on_look(
    struct own *, uint64_t, const struct kv_result *, struct kv_ops *);
static void on_grant(
    struct own *, uint64_t, const struct kv_result *, struct kv_ops *);
static void on_lock(
    struct own *, uint64_t, const struct kv_result *, struct kv_ops *);
static void on_read(
    struct own *, uint64_t, const struct kv_result *, struct kv_ops *);
static void on_fence(
    struct own *, uint64_t, const struct kv_result *, struct kv_ops *);

static const own_handler own_handlers[OWN__MAX] = {
	[OWN_LOOK] = on_look,
	[OWN_GRANT] = on_grant,
	[OWN_LOCK] = on_lock,
	[OWN_READ] = on_read,
	[OWN_FENCE] = on_fence,
};

void
own_config_default(struct own_config *c)
{
	c->ttl_s = 4;
	c->margin_ns = 300 * NSEC_PER_MSEC;
	c->retry_ns = 700 * NSEC_PER_MSEC;
}

struct own *
own_create(const struct own_config *config, const char *cell,
    const struct node_id *self, struct kv_ids *ids)
{
	struct own *o;

	o = mem_alloc(sizeof(*o));
	o->config = *config;
	o->self = *self;
	o->ids = ids;
	snprintf(o->cell, sizeof(o->cell), "%s", cell);
	return o;
}

void
own_destroy(struct own *o)
{
	free(o);
}

void
own_want(struct own *o, int want, uint64_t not_before)
{
	if (want && !o->want && o->try_at < not_before)
		o->try_at = not_before;
	o->want = want;
}

static struct kv_op *
own_send(struct own *o, uint64_t now, enum own_state state, enum kv_kind kind,
    const char *prefix, struct kv_ops *out)
{
	struct kv_op *op;
	char key[KV_KEY_SIZE];

	snprintf(key, sizeof(key), "%s/%s", prefix, o->cell);
	o->state = state;
	o->pending = ++o->ids->next;
	o->sent_at = now;
	op = kv_op_create(out, o->pending, kind, key);
	return op;
}

static void
own_idle(struct own *o, uint64_t now)
{
	o->state = OWN_IDLE;
	o->try_at = now + o->config.retry_ns;
}

static void
own_look(struct own *o, uint64_t now, struct kv_ops *out)
{
	own_send(o, now, OWN_LOOK, KV_GET, "lease", out);
}

static void
own_read(struct own *o, uint64_t now, struct kv_ops *out)
{
	own_send(o, now, OWN_READ, KV_GET, "cell", out);
}

/* Whether a lease key's value names this incarnation; tells its lease. */
static int
is_ours(const struct own *o, const char *value, uint64_t *lease)
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
parse_fence(const char *value)
{
	json_t *doc = json_loads(value, 0, NULL);
	uint64_t fence;

	fence = (uint64_t)json_integer_value(json_object_get(doc, "fence"));
	json_decref(doc);
	return fence;
}

static char *
describe(const struct own *o, uint64_t fence)
{
	json_t *doc;
	char *text;

	doc = json_pack("{s:s,s:I,s:I,s:I}", "owner", o->self.addr,
	    "incarnation", (json_int_t)o->self.incarnation, "lease",
	    (json_int_t)o->lease, "fence", (json_int_t)fence);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

static void
on_look(
    struct own *o, uint64_t now, const struct kv_result *r, struct kv_ops *out)
{
	struct kv_op *op;
	uint64_t lease;

	if (r->status == KV_ABSENT) {
		op = own_send(o, now, OWN_GRANT, KV_GRANT, "lease", out);
		op->ttl_s = o->config.ttl_s;
		return;
	}
	if (r->status != KV_OK) {
		own_idle(o, now);
		return;
	}
	if (is_ours(o, r->value, &lease)) {
		/* Our write took effect though its answer was lost. */
		if (lease == o->lease && now < o->lease_deadline)
			own_read(o, now, out);
		else
			own_idle(o, now);
		return;
	}
	o->held = 0;
	own_idle(o, now);
}

static void
on_grant(
    struct own *o, uint64_t now, const struct kv_result *r, struct kv_ops *out)
{
	struct kv_op *op;

	if (r->status != KV_OK) {
		own_idle(o, now);
		return;
	}
	o->lease = r->lease;
	o->claim = 0;
	o->lease_deadline = o->sent_at + o->config.ttl_s * NSEC_PER_SEC;
	op = own_send(o, now, OWN_LOCK, KV_CAS, "lease", out);
	op->expect = 0;
	op->lease = o->lease;
	op->value = describe(o, 0);
}

static void
on_lock(
    struct own *o, uint64_t now, const struct kv_result *r, struct kv_ops *out)
{
	if (r->status == KV_OK)
		own_read(o, now, out);
	else
		own_look(o, now, out);
}

static void
on_read(
    struct own *o, uint64_t now, const struct kv_result *r, struct kv_ops *out)
{
	struct kv_op *op;
	uint64_t lease = 0;
	uint64_t fence = 0;

	if (r->status == KV_UNKNOWN) {
		own_idle(o, now);
		return;
	}
	if (r->status == KV_OK) {
		fence = parse_fence(r->value);
		if (is_ours(o, r->value, &lease) && lease == o->lease &&
		    fence == o->claim) {
			o->fence = fence;
			o->held = 1;
			o->state = OWN_OWNER;
			return;
		}
	}
	o->claim = fence + 1;
	op = own_send(o, now, OWN_FENCE, KV_CAS, "cell", out);
	op->expect = r->status == KV_OK ? r->revision : 0;
	op->value = describe(o, o->claim);
}

static void
on_fence(
    struct own *o, uint64_t now, const struct kv_result *r, struct kv_ops *out)
{
	if (r->status != KV_OK) {
		own_read(o, now, out);
		return;
	}
	o->fence = o->claim;
	o->held = 1;
	o->state = OWN_OWNER;
	o->keep_at = now;
}

/* The deadline counts from before the renewal was sent. */
static void
own_keep(struct own *o, uint64_t now, const struct kv_result *r)
{
	o->keep = 0;
	if (r->status == KV_OK) {
		o->lease_deadline =
		    o->keep_sent + o->config.ttl_s * NSEC_PER_SEC;
		return;
	}
	if (r->status == KV_ABSENT && o->state == OWN_OWNER) {
		o->lease_deadline = 0;
		o->state = OWN_IDLE;
		o->try_at = now;
	}
}

int
own_result(
    struct own *o, uint64_t now, const struct kv_result *r, struct kv_ops *out)
{
	if (r->id == o->keep && o->keep != 0) {
		own_keep(o, now, r);
		return 1;
	}
	if (r->id != o->pending || o->pending == 0)
		return 0;
	o->pending = 0;
	/* The lease must outlast taking the cell. */
	if (o->state >= OWN_LOCK && o->state <= OWN_FENCE &&
	    now >= o->lease_deadline) {
		own_idle(o, now);
		return 1;
	}
	if (own_handlers[o->state] != NULL)
		own_handlers[o->state](o, now, r, out);
	return 1;
}

void
own_tick(struct own *o, uint64_t now, struct kv_ops *out)
{
	struct kv_op *op;

	if (o->state == OWN_IDLE) {
		if ((o->want || o->held) && now >= o->try_at && o->pending == 0)
			own_look(o, now, out);
		return;
	}
	if (o->state != OWN_OWNER)
		return;
	if (now >= o->lease_deadline) {
		/* Lapsed: the whole way again, for a new fencing number. */
		o->state = OWN_IDLE;
		o->try_at = now;
		return;
	}
	if (now < o->keep_at || o->keep != 0)
		return;
	o->keep_at = now + o->config.ttl_s * NSEC_PER_SEC / 3;
	o->keep = ++o->ids->next;
	o->keep_sent = now;
	op = kv_op_create(out, o->keep, KV_KEEP, "");
	op->lease = o->lease;
}

void
own_release(struct own *o, struct kv_ops *out)
{
	struct kv_op *op;

	if (o->state == OWN_OWNER) {
		op = kv_op_create(out, ++o->ids->next, KV_REVOKE, "");
		op->lease = o->lease;
	}
	o->held = 0;
	o->want = 0;
	o->state = OWN_IDLE;
	o->lease_deadline = 0;
}

void
own_superseded(struct own *o, uint64_t fence)
{
	if (fence <= o->fence || !o->held)
		return;
	o->held = 0;
	o->lease_deadline = 0;
	if (o->state == OWN_OWNER)
		o->state = OWN_IDLE;
}

int
own_held(const struct own *o)
{
	return o->held;
}

int
own_valid(const struct own *o, uint64_t now)
{
	return o->held && o->state == OWN_OWNER &&
	    now + o->config.margin_ns < o->lease_deadline;
}

uint64_t
own_fence(const struct own *o)
{
	return o->fence;
}
