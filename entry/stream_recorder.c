/*
 * Records of streams in the key-value service: processes send theirs to the
 * first hub, which writes them for all.
 */
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "peers.h"
#include "session.h"
#include "stream_io_int.h"

/* Records are no longer bound to a lease of this age; it lasts 120 s. */
#define LEASE_USE_NS (50 * NSEC_PER_SEC)
/* Records of all processes are written together; each call is charged. */
#define WRITE_NS (100 * NSEC_PER_MSEC)
/* Bounds memory while the service writes nothing. */
#define PENDING_MAX 16384

static void on_granted(void *, const struct kv_result *);
static void on_recorded(void *, int);
static void add(
    struct stream_io *, struct record_queue *, const struct origin *);
static void remove_first(struct record_queue *, uint32_t);
static uint32_t part(const struct record_queue *);
static void pass_records(struct stream_io *);
static void write_records(struct stream_io *);

static void
on_granted(void *ctx, const struct kv_result *r)
{
	struct stream_io *io = ctx;

	io->granting = 0;
	io->grant_at = io->e->now + STREAM_RETRY_NS;
	if (r->status != KV_OK)
		return;
	io->lease = r->lease_id;
	io->lease_at = io->e->now;
}

static void
on_recorded(void *ctx, int status)
{
	struct stream_io *io = ctx;

	/* The lease has ended. */
	if (status == 404)
		io->lease = 0;
	io->e->counts.unrecorded_streams += status != 200;
}

static void
add(struct stream_io *io, struct record_queue *r, const struct origin *o)
{
	if (r->n == PENDING_MAX) {
		io->e->counts.unrecorded_streams++;
		return;
	}
	if (r->n == r->size) {
		r->size = r->size * 2 + STREAM_RECORDS_MAX;
		r->o = mem_grow(r->o, r->size, sizeof(*r->o));
	}
	r->o[r->n++] = *o;
}

static void
remove_first(struct record_queue *r, uint32_t n)
{
	r->n -= n;
	memmove(r->o, r->o + n, r->n * sizeof(*r->o));
}

static uint32_t
part(const struct record_queue *r)
{
	return r->n < STREAM_RECORDS_MAX ? r->n : STREAM_RECORDS_MAX;
}

/* The first hub writes them, so that one call carries those of many. */
static void
pass_records(struct stream_io *io)
{
	uint32_t i;
	uint32_t n;
	char *text;
	int sent;

	while ((n = part(&io->passed)) != 0) {
		text = stream_records_encode(io->passed.o, n);
		sent = peers_send_records(io->e->peers, text, strlen(text));
		free(text);
		for (i = 0; sent == -1 && i < n; i++)
			add(io, &io->written, &io->passed.o[i]);
		remove_first(&io->passed, n);
	}
}

void
stream_io_apply_records(
    struct stream_io *io, const char *from, const char *text, size_t len)
{
	struct origin o[STREAM_RECORDS_MAX];
	size_t n = stream_records_decode(text, len, o, nitems(o));
	size_t i;

	for (i = 0; i < n; i++)
		add(io,
		    peers_relays_for(io->e->peers, from) ? &io->passed
							 : &io->written,
		    &o[i]);
}

static void
write_records(struct stream_io *io)
{
	struct entry *e = io->e;
	struct store_request sc;
	uint32_t n;

	if (io->written.n == 0 || !session_is_up(e->session) ||
	    (e->now < io->write_at && io->written.n < STREAM_RECORDS_MAX))
		return;
	if ((io->lease == 0 || e->now >= io->lease_at + LEASE_USE_NS) &&
	    !io->granting && e->now >= io->grant_at) {
		io->granting = 1;
		stream_io_send(io, KV_GRANT, "", on_granted, io);
	}
	if (io->lease == 0)
		return;
	io->write_at = e->now + WRITE_NS;
	while ((n = part(&io->written)) != 0) {
		stream_records_request(io->written.o, n, io->lease, &sc);
		session_write(e->session, &sc, on_recorded, io);
		remove_first(&io->written, n);
	}
}

void
stream_recorder_add(struct stream_io *io, const struct origin *o)
{
	add(io, &io->passed, o);
}

void
stream_recorder_tick(struct stream_io *io)
{
	pass_records(io);
	write_records(io);
}

void
stream_recorder_clear(struct stream_io *io)
{
	free(io->passed.o);
	free(io->written.o);
}
