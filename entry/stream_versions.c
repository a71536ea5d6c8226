/* The list, in the key-value service, of the versions of all services. */
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "peers.h"
#include "session.h"
#include "stream_io_int.h"

static void on_read(void *, const struct kv_result *);
static void on_written(void *, const struct kv_result *);
static void apply_text(struct stream_io *, const struct kv_result *);
static void write_text(struct stream_io *, char *);

void
stream_versions_reset(struct stream_io *io)
{
	free(io->text);
	io->text = NULL;
	io->read = 0;
	io->listed_at = 0;
}

/* Sees what is listed; versions of an earlier era leave the list unknown. */
static void
apply_text(struct stream_io *io, const struct kv_result *r)
{
	io->changes = 0;
	io->read |= r->status == KV_OK || r->status == KV_ABSENT;
	free(io->text);
	io->text = NULL;
	io->revision = 0;
	if (r->status != KV_OK)
		return;
	io->revision = r->revision;
	if (software_text_decode(r->value, io->era, io->e->now, io->software) ==
	    0)
		io->text = mem_strdup(r->value);
}

static void
on_read(void *ctx, const struct kv_result *r)
{
	struct stream_io *io = ctx;

	io->calling = 0;
	io->call_at = io->e->now + STREAM_RETRY_NS;
	apply_text(io, r);
}

static void
on_written(void *ctx, const struct kv_result *r)
{
	struct stream_io *io = ctx;

	io->calling = 0;
	if (r->status == KV_OK) {
		io->revision = r->revision;
		return;
	}
	/* Another process wrote it, or it may have been written. */
	free(io->text);
	io->text = NULL;
	io->read = 0;
	io->call_at = io->e->now;
}

/* Takes the text. */
static void
write_text(struct stream_io *io, char *text)
{
	struct kv_ops ops;
	struct kv_op *op;

	TAILQ_INIT(&ops);
	op = kv_op_create(&ops, 0, KV_CAS, SOFTWARE_KEY);
	op->value = mem_strdup(text);
	op->expected_revision = io->revision;
	free(io->text);
	io->text = text;
	io->calling = 1;
	session_send(io->e->session, &ops, on_written, io);
}

void
stream_versions_tick(struct stream_io *io)
{
	struct entry *e = io->e;
	int writes =
	    peers_is_first_hub(e->peers) && e->dir.synced && !e->stopping;
	char *text;

	/* The hub before may have written it since it was read. */
	if (writes && !io->writes)
		io->read = 0;
	io->writes = writes;
	if (io->calling || e->now < io->call_at || !session_is_up(e->session))
		return;
	if (!io->read) {
		io->calling = 1;
		stream_io_send(io, KV_GET, SOFTWARE_KEY, on_read, io);
		return;
	}
	if (!writes ||
	    (io->text != NULL && io->changes == software_changes(io->software)))
		return;
	io->changes = software_changes(io->software);
	text = software_text_encode(io->software, io->era);
	if (io->text != NULL && strcmp(text, io->text) == 0)
		free(text);
	else
		write_text(io, text);
}
