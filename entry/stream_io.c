/* Streams that callers take up again, and what this process knows of them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "session.h"
#include "stream_io_int.h"

#define LEASE_S 120
/*
 * The versions that the service listed at a time hold for so long: a replica
 * that has just appeared holds no model yet.
 */
#define LISTED_NS (200 * NSEC_PER_MSEC)
/* The replicas are looked at this often if nothing has changed. */
#define SEE_NS (1 * NSEC_PER_SEC)

/* A request whose stream is looked up in the service. */
struct stream_lookup {
	struct stream_io *io;
	struct forward *f; /* NULL once it has ended */
	uint64_t sent_at;
};

static const char *const source_names[ORIGIN__MAX] = {
	[ORIGIN_HERE] = "here",
	[ORIGIN_ONLY] = "only",
	[ORIGIN_RECORD] = "record",
	[ORIGIN_UNKNOWN] = "unknown",
};

static void record(struct forward *);
static void on_versions(void *, const struct kv_result *);
static void on_record(void *, const struct kv_result *);
static struct forward *lookup_end(struct stream_lookup *);
static void resolve(
    struct forward *, const struct origin *, enum origin_source);
static const char *only_version(const struct forward *);
static void look_up_record(struct stream_lookup *);

const char *
stream_io_source_name(enum origin_source source)
{
	return source_names[source];
}

struct stream_io *
stream_io_create(struct entry *e)
{
	struct stream_io *io;

	io = mem_alloc(sizeof(*io));
	io->e = e;
	io->software = software_create();
	io->origins = origins_create();
	return io;
}

void
stream_io_destroy(struct stream_io *io)
{
	if (io == NULL)
		return;
	software_destroy(io->software);
	software_destroy(io->listed);
	origins_destroy(io->origins);
	stream_recorder_clear(io);
	free(io->text);
	free(io);
}

void
stream_io_store_era(struct entry *e, uint64_t era)
{
	struct stream_io *io = e->stream_io;

	if (io->era == era)
		return;
	io->era = era;
	/* The copy may lack versions and leases. */
	stream_versions_reset(io);
	io->lease = 0;
}

void
stream_io_send(struct stream_io *io, enum kv_op_kind kind, const char *key,
    void (*result)(void *, const struct kv_result *), void *ctx)
{
	struct kv_ops ops;
	struct kv_op *op;

	TAILQ_INIT(&ops);
	op = kv_op_create(&ops, 0, kind, key);
	op->ttl_s = LEASE_S;
	session_send(io->e->session, &ops, result, ctx);
}

/* Records a stream that has begun, if its service has several versions. */
static void
record(struct forward *f)
{
	struct stream_io *io = f->e->stream_io;
	const struct origin *o;

	if (f->recorded || !f->begun || !f->route.resumable ||
	    software_count(io->software, f->service) < 2)
		return;
	o = origins_find(io->origins, forward_origin_id(f));
	if (o == NULL || o->software[0] == '\0')
		return;
	f->recorded = 1;
	stream_recorder_add(io, o);
}

void
stream_io_begun(struct forward *f)
{
	struct stream_io *io = f->e->stream_io;
	struct origin o;

	if (!f->route.resumable || *forward_origin_id(f) == '\0')
		return;
	snprintf(o.id, sizeof(o.id), "%s", forward_origin_id(f));
	memcpy(o.service, f->service, sizeof(o.service));
	memcpy(o.software, f->software, sizeof(o.software));
	origins_put(io->origins, f->e->now, &o);
	record(f);
}

void
stream_io_tick(struct stream_io *io)
{
	struct entry *e = io->e;
	struct forward *f;

	if (e->dir.digest != io->digest || e->now >= io->see_at) {
		io->digest = e->dir.digest;
		io->see_at = e->now + SEE_NS;
		software_see_listed(io->software, e->now, &e->dir);
		software_expire(io->software, e->now);
		origins_expire(io->origins, e->now);
		/* Those that began while there was one version. */
		TAILQ_FOREACH (f, &e->requests, entry)
			record(f);
	}
	stream_versions_tick(io);
	stream_recorder_tick(io);
}

int
stream_io_is_take_up(const struct forward *f)
{
	return f->route.kind == ROUTE_STREAM && f->route.resumable &&
	    f->params.last_event_id != 0;
}

/* Ends a lookup; returns its request, NULL if that has ended. */
static struct forward *
lookup_end(struct stream_lookup *l)
{
	struct forward *f = l->f;

	if (f != NULL)
		f->lookup = NULL;
	free(l);
	return f;
}

void
stream_io_forget(struct forward *f)
{
	if (f->lookup != NULL)
		f->lookup->f = NULL;
	f->lookup = NULL;
}

/* The version is known, or cannot be: sends the request, or refuses it. */
static void
resolve(struct forward *f, const struct origin *o, enum origin_source source)
{
	char detail[NAME_SIZE * 2 + REQUEST_ID_SIZE + 64];

	f->e->counts.take_ups[source]++;
	snprintf(detail, sizeof(detail),
	    "origin=%s from=%s service=%s software=%s event=%llu",
	    f->params.resumes, stream_io_source_name(source),
	    o == NULL ? "" : o->service, o == NULL ? "" : o->software,
	    (unsigned long long)f->params.last_event_id);
	forward_log(f, LOG_STREAM_TAKEN_UP, "", detail);
	if (o == NULL || o->software[0] == '\0' ||
	    !fleet_route_targets(&f->route, o->service)) {
		forward_refuse(
		    f, "the stream's version is not known", RETRY_AFTER_NS);
		return;
	}
	memcpy(f->service, o->service, sizeof(f->service));
	memcpy(f->software, o->software, sizeof(f->software));
	f->begun = 1;
	f->recorded = source == ORIGIN_RECORD;
	forward_dispatch(f);
}

static void
on_record(void *ctx, const struct kv_result *r)
{
	struct forward *f = lookup_end(ctx);
	struct origin o;

	if (f == NULL)
		return;
	entry_update_now(f->e);
	if (r->status == KV_OK &&
	    stream_record_decode(r->value, f->params.resumes, &o) == 0)
		resolve(f, &o, ORIGIN_RECORD);
	else
		resolve(f, NULL, ORIGIN_UNKNOWN);
}

/*
 * The version of a request's service, if all services of its route have one by
 * what the service and this process list.  What this process lists alone may be
 * old.
 */
static const char *
only_version(const struct forward *f)
{
	const struct software *s = f->e->stream_io->listed;
	uint32_t i;

	for (i = 0; i < f->route.ntargets; i++) {
		if (software_only(s, f->route.targets[i].service) == NULL)
			return NULL;
	}
	return software_only(s, f->service);
}

/* The versions of the services are known as of now. */
static void
look_up_record(struct stream_lookup *l)
{
	struct stream_io *io = l->io;
	struct forward *f = l->f;
	const char *only = only_version(f);
	struct origin o;
	char key[KV_KEY_SIZE];

	if (only != NULL) {
		memcpy(o.service, f->service, sizeof(o.service));
		snprintf(o.software, sizeof(o.software), "%s", only);
		(void)lookup_end(l);
		resolve(f, &o, ORIGIN_ONLY);
		return;
	}
	if (f->params.resumes[0] == '\0') {
		(void)lookup_end(l);
		resolve(f, NULL, ORIGIN_UNKNOWN);
		return;
	}
	stream_record_key(f->params.resumes, key, sizeof(key));
	stream_io_send(io, KV_GET, key, on_record, l);
}

static void
on_versions(void *ctx, const struct kv_result *r)
{
	struct stream_lookup *l = ctx;
	struct stream_io *io = l->io;
	int known;

	if (l->f == NULL) {
		free(l);
		return;
	}
	entry_update_now(io->e);
	software_destroy(io->listed);
	io->listed = software_create();
	known = r->status == KV_OK &&
	    software_text_decode(r->value, r->era, io->e->now, io->listed) == 0;
	software_see_listed(io->listed, io->e->now, &io->e->dir);
	io->listed_at = known ? l->sent_at : 0;
	if (known)
		look_up_record(l);
	else
		resolve(lookup_end(l), NULL, ORIGIN_UNKNOWN);
}

void
stream_io_take_up(struct forward *f)
{
	struct stream_io *io = f->e->stream_io;
	const struct origin *o = origins_find(io->origins, f->params.resumes);
	struct stream_lookup *l;

	if (o != NULL) {
		resolve(f, o, ORIGIN_HERE);
		return;
	}
	l = mem_alloc(sizeof(*l));
	l->io = io;
	l->f = f;
	l->sent_at = f->e->now;
	f->lookup = l;
	if (io->listed_at != 0 && f->e->now < io->listed_at + LISTED_NS)
		look_up_record(l);
	else
		stream_io_send(io, KV_GET, SOFTWARE_KEY, on_versions, l);
}
