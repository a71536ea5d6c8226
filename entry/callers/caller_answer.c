/* What the forwarding of a request does with its caller's connection. */
#include <string.h>

#include "caller_int.h"

/* A caller that has more than this to read is not read itself. */
#define UNREAD_MAX_BYTES 65536

const struct http_head *
caller_head(const struct caller *c)
{
	return http_reader_head(c->reader);
}

const struct buf *
caller_body(const struct caller *c)
{
	return &c->body;
}

uint64_t
caller_request_started_at(const struct caller *c)
{
	return c->request_started_at;
}

void
caller_set_forward(struct caller *c, struct forward *f)
{
	c->forward = f;
}

void
caller_write(struct caller *c, const void *p, size_t len)
{
	conn_write(c->conn, p, len);
}

size_t
caller_pending_bytes(const struct caller *c)
{
	return conn_unsent_bytes(c->conn);
}

void
caller_keep_until(struct caller *c, uint64_t at)
{
	conn_keep_until(c->conn, at);
}

int
caller_has_left(const struct caller *c)
{
	return conn_peer_closed(c->conn);
}

int
caller_keep_alive(const struct caller *c)
{
	return caller_head(c)->keep_alive && caller_accepts_chunked(c) &&
	    (!c->e->stopping || buf_len(&c->pipelined) != 0);
}

int
caller_takes_body(const struct caller *c)
{
	return strcmp(caller_head(c)->method, "HEAD") != 0;
}

int
caller_accepts_chunked(const struct caller *c)
{
	return caller_head(c)->minor_version >= 1;
}

void
caller_response_done(struct caller *c, int kept)
{
	c->forward = NULL;
	if (!kept) {
		caller_close(c);
		return;
	}
	c->in_request = 0;
	c->idle_since = c->e->now;
	c->response_sent = 1;
	c->head_received = 0;
	c->request_complete = 0;
	buf_free(&c->body);
	http_reader_reset(c->reader);
	caller_held_update(c);
	if (conn_unsent_bytes(c->conn) > UNREAD_MAX_BYTES) {
		c->unread = 1;
		conn_set_reading(c->conn, 0);
		caller_set_timer(c, CALLER_UNREAD_CHECK_NS);
		return;
	}
	caller_resume(c);
}

void
caller_abort_response(struct caller *c)
{
	c->forward = NULL;
	if (caller_accepts_chunked(c)) {
		/* The missing last chunk shows that it is incomplete. */
		caller_close(c);
		return;
	}
	conn_abort(c->conn);
	caller_destroy(c);
}
