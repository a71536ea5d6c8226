/* Connections of callers: requests are read in full, then forwarded. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "acceptor.h"
#include "conn.h"
#include "entry_int.h"
#include "expiry.h"
#include "mem.h"

#define PIPELINED_MAX_BYTES 65536 /* received after the current request */
/* A caller that is not read is checked this often for having left. */
#define LEFT_CHECK_NS (100 * NSEC_PER_MSEC)
/*
 * Callers reuse a connection until it has been idle for the limit by their own
 * clock; what they sent last may still be on its way.
 */
#define IDLE_MARGIN_NS (2 * NSEC_PER_SEC)
/* A caller is idle once it has read its answer; looked at this often. */
#define UNREAD_CHECK_NS NSEC_PER_SEC
#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES 4194304
#define DEFAULT_HEADER_NS (3 * NSEC_PER_SEC)
#define DEFAULT_IDLE_NS (15 * NSEC_PER_SEC)

struct caller {
	TAILQ_ENTRY(caller) entry;
	struct entry *e;
	struct conn *conn;
	struct http_reader *reader;
	struct forward *forward; /* the current request */
	struct expiry *expiry;	 /* of waiting for input, or for its end */
	struct buf pipelined;	 /* bytes received after the current request */
	struct buf body;
	uint64_t accepted_at;
	uint64_t idle_since; /* end of the latest response, or accepted_at */
	uint64_t request_started_at;
	int response_sent; /* has had a response */
	int in_request;	   /* a complete request is being handled */
	int head_received; /* of the request being read */
	int request_complete;
	int body_too_large;
	int refused_early; /* the caller asked whether to send the body */
};

struct listener {
	struct entry *e;
	struct acceptor *acceptor;
};

static void listener_accepted(void *, int);
static void listener_failed(void *, int);
static void caller_create(struct entry *, int);
static void caller_destroy(struct caller *);
static void caller_feed(struct caller *, const char *, size_t);
static int caller_is_idle(const struct caller *);
static void caller_reject(struct caller *, int, const char *);
static void caller_set_timer(struct caller *, uint64_t);
static uint64_t caller_idle_deadline(const struct caller *);
static void caller_set_read_timeout(struct caller *);
static void caller_feed_pipelined(struct caller *);
static void caller_check_left(struct caller *);
static void caller_close(struct caller *);
static void caller_close_idle(struct caller *);
static void on_data(void *, const char *, size_t);
static void on_closed(void *, int);
static void on_drained(void *);
static void on_head(void *, const struct http_head *);
static void on_body(void *, const char *, size_t);
static void on_end(void *);
static int has_input(void *);
static void on_expired(void *);
static struct fleet_limits limits_in_force(const struct entry *);

static const struct acceptor_ops listener_ops = {
	.accepted = listener_accepted,
	.failed = listener_failed,
};

static const struct conn_ops caller_conn_ops = {
	.data = on_data,
	.closed = on_closed,
	.drained = on_drained,
};

static const struct expiry_ops caller_expiry_ops = {
	.has_input = has_input,
	.expired = on_expired,
};

static const struct http_reader_ops caller_reader_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

/* The configured limits, or conservative ones without a configuration. */
static struct fleet_limits
limits_in_force(const struct entry *e)
{
	struct fleet_limits l = { DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES,
		DEFAULT_HEADER_NS, DEFAULT_IDLE_NS };

	return e->conf == NULL ? l : e->conf->limits;
}

struct listener *
listener_create(struct entry *e, struct err *err)
{
	struct listener *l;

	l = mem_alloc(sizeof(*l));
	l->e = e;
	l->acceptor =
	    acceptor_create(e->loop, e->boot.listen, &listener_ops, l, err);
	if (l->acceptor == NULL) {
		free(l);
		return NULL;
	}
	return l;
}

void
listener_destroy(struct listener *l)
{
	if (l == NULL)
		return;
	acceptor_destroy(l->acceptor);
	free(l);
}

static void
listener_accepted(void *ctx, int fd)
{
	struct listener *l = ctx;

	entry_update_now(l->e);
	caller_create(l->e, fd);
}

static void
listener_failed(void *ctx, int error)
{
	(void)ctx;
	log_event(LOG_HTTP_BAD, NULL, "accept: %s", strerror(error));
}

static void
caller_create(struct entry *e, int fd)
{
	struct caller *c;

	c = mem_alloc(sizeof(*c));
	c->e = e;
	c->accepted_at = e->now;
	c->idle_since = e->now;
	c->reader =
	    http_reader_create(HTTP_READ_REQUESTS, &caller_reader_ops, c);
	c->expiry = expiry_create(e->loop, &caller_expiry_ops, c);
	TAILQ_INSERT_TAIL(&e->callers, c, entry);
	c->conn = conn_accept(e->loop, fd, &caller_conn_ops, c);
	expiry_set(c->expiry, caller_idle_deadline(c));
}

/* Frees the caller; its connection must be closed separately. */
static void
caller_destroy(struct caller *c)
{
	expiry_destroy(c->expiry);
	TAILQ_REMOVE(&c->e->callers, c, entry);
	http_reader_destroy(c->reader);
	buf_free(&c->pipelined);
	buf_free(&c->body);
	free(c);
}

void
callers_destroy(struct entry *e)
{
	struct caller *c;

	while ((c = TAILQ_FIRST(&e->callers)) != NULL) {
		conn_destroy(c->conn);
		caller_destroy(c);
	}
}

/* Whether no byte of a request has been received that has no answer. */
static int
caller_is_idle(const struct caller *c)
{
	return !c->in_request && !http_reader_in_message(c->reader) &&
	    buf_len(&c->pipelined) == 0;
}

/* Unread input is handled first, in a later iteration of the loop. */
void
callers_settle(struct entry *e)
{
	struct caller *c;
	struct caller *next;

	for (c = TAILQ_FIRST(&e->callers); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (c->in_request || conn_has_input(c->conn))
			continue;
		if (buf_len(&c->pipelined) != 0)
			caller_feed_pipelined(c);
		else if (http_reader_in_message(c->reader))
			caller_reject(c, 503, "this process is stopping");
		else
			caller_close_idle(c);
	}
}

void
callers_close_idle(struct entry *e)
{
	struct caller *c;
	struct caller *next;

	for (c = TAILQ_FIRST(&e->callers); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (caller_is_idle(c) && !conn_has_input(c->conn) &&
		    (c->response_sent ||
			e->now >= c->accepted_at + STOP_FIRST_REQUEST_NS))
			caller_close_idle(c);
	}
}

void
callers_count(const struct entry *e, uint32_t *reading, size_t *unsent)
{
	const struct caller *c;

	*reading = 0;
	*unsent = conn_list_unsent_bytes(&e->flushing);
	TAILQ_FOREACH (c, &e->callers, entry) {
		*reading += !c->in_request && http_reader_in_message(c->reader);
		*unsent += conn_unsent_bytes(c->conn);
	}
}

/* Closes a connection without a request in progress. */
static void
caller_close_idle(struct caller *c)
{
	c->e->counts.idle_closed++;
	if (conn_has_input(c->conn)) {
		c->e->counts.unread_closed++;
		log_event(LOG_HTTP_UNREAD, NULL, "idle_ms=%llu stopping=%d",
		    (unsigned long long)((c->e->now - c->idle_since) /
			NSEC_PER_MSEC),
		    c->e->stopping);
	}
	conn_close_idle(c->conn, &c->e->flushing);
	caller_destroy(c);
}

/* Closes the connection once the buffered bytes have been sent. */
static void
caller_close(struct caller *c)
{
	/* The process does not end before the caller has received it. */
	if (c->e->stopping)
		conn_keep_until(c->conn, c->e->stop.end_at);
	conn_close_after_flush(c->conn, &c->e->flushing);
	caller_destroy(c);
}

static void
caller_set_timer(struct caller *c, uint64_t ns)
{
	expiry_set(c->expiry, c->e->now + ns);
}

/* When a connection without a request is closed, by the limit in force. */
static uint64_t
caller_idle_deadline(const struct caller *c)
{
	return c->idle_since + limits_in_force(c->e).idle_timeout_ns +
	    IDLE_MARGIN_NS;
}

/* Sets the time-out for the next bytes, by the state of the request. */
static void
caller_set_read_timeout(struct caller *c)
{
	struct fleet_limits l = limits_in_force(c->e);

	if (!http_reader_in_message(c->reader))
		expiry_set(c->expiry, caller_idle_deadline(c));
	else if (c->head_received)
		caller_set_timer(c, l.idle_timeout_ns);
	else if (!expiry_is_set(c->expiry) ||
	    c->request_started_at == c->e->now)
		caller_set_timer(c, l.header_timeout_ns);
}

static int
has_input(void *ctx)
{
	const struct caller *c = ctx;

	return !c->in_request && conn_has_input(c->conn);
}

static void
on_expired(void *ctx)
{
	struct caller *c = ctx;

	entry_update_now(c->e);
	if (c->in_request) {
		caller_check_left(c);
		return;
	}
	if (buf_len(&c->pipelined) != 0) {
		caller_feed_pipelined(c);
		return;
	}
	if (http_reader_in_message(c->reader)) {
		caller_reject(c, 408, "the request came too slowly");
		return;
	}
	if (!conn_is_flushed(c->conn)) {
		c->idle_since = c->e->now;
		caller_set_timer(c, UNREAD_CHECK_NS);
		return;
	}
	/* The limit may have been raised. */
	if (c->e->now < caller_idle_deadline(c)) {
		expiry_set(c->expiry, caller_idle_deadline(c));
		return;
	}
	caller_close_idle(c);
}

/* While the connection is not read, the loop does not tell its end. */
static void
caller_check_left(struct caller *c)
{
	if (caller_has_left(c))
		on_closed(c, 0);
	else
		caller_set_timer(c, LEFT_CHECK_NS);
}

static void
on_data(void *ctx, const char *p, size_t len)
{
	struct caller *c = ctx;

	entry_update_now(c->e);
	if (c->in_request || buf_len(&c->pipelined) != 0) {
		buf_add(&c->pipelined, p, len);
		if (buf_len(&c->pipelined) <= PIPELINED_MAX_BYTES)
			return;
		conn_set_reading(c->conn, 0);
		if (c->in_request)
			caller_set_timer(c, LEFT_CHECK_NS);
		return;
	}
	caller_feed(c, p, len);
}

static void
on_closed(void *ctx, int error)
{
	struct caller *c = ctx;

	entry_update_now(c->e);
	if (c->forward != NULL)
		forward_caller_gone(c->forward, error);
	conn_destroy(c->conn);
	caller_destroy(c);
}

static void
on_drained(void *ctx)
{
	struct caller *c = ctx;

	entry_update_now(c->e);
	if (c->forward != NULL)
		forward_caller_drained(c->forward);
}

static void
on_head(void *ctx, const struct http_head *h)
{
	struct caller *c = ctx;
	const char *expect = http_field_find(h, "Expect");

	c->head_received = 1;
	if (expect == NULL || strcasecmp(expect, "100-continue") != 0)
		return;
	/* The body would come later still. */
	if (c->e->stopping && c->e->now >= c->e->stop.start_until)
		c->refused_early = 1;
	else
		conn_write(c->conn, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void
on_body(void *ctx, const char *p, size_t len)
{
	struct caller *c = ctx;

	if (buf_len(&c->body) + len > limits_in_force(c->e).max_body_bytes)
		c->body_too_large = 1;
	else
		buf_add(&c->body, p, len);
}

static void
on_end(void *ctx)
{
	struct caller *c = ctx;

	c->request_complete = 1;
}

/* Parses bytes up to the end of one request. */
static void
caller_feed(struct caller *c, const char *p, size_t len)
{
	long n;

	if (!http_reader_in_message(c->reader))
		c->request_started_at = c->e->now;
	n = http_reader_feed(c->reader, p, len);
	if (http_reader_head_bytes(c->reader) >
	    limits_in_force(c->e).max_header_bytes) {
		caller_reject(c, 431, "the header is too large");
		return;
	}
	if (n < 0) {
		caller_reject(c, 400, "the request is not HTTP/1.1");
		return;
	}
	if (c->body_too_large) {
		caller_reject(c, 413, "the body is too large");
		return;
	}
	if (c->refused_early) {
		caller_reject(c, 503, "this process is stopping");
		return;
	}
	if (!c->request_complete) {
		caller_set_read_timeout(c);
		return;
	}
	expiry_stop(c->expiry);
	buf_add(&c->pipelined, p + n, len - (size_t)n);
	c->in_request = 1;
	forward_start(c->e, c);
}

/* Sends an error for a request that cannot be read, and closes. */
static void
caller_reject(struct caller *c, int status, const char *text)
{
	struct buf out = { 0 };

	log_event(LOG_HTTP_BAD, NULL, "status=%d %s", status, text);
	fields_write_local_response(
	    &out, status, NULL, status == 503 ? RETRY_AFTER_NS : 0, text, 0);
	conn_write(c->conn, buf_data(&out), buf_len(&out));
	buf_free(&out);
	caller_close(c);
}

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
	conn_set_reading(c->conn, 1);
	/* Pipelined bytes are parsed from the event loop to avoid recursion. */
	if (buf_len(&c->pipelined) != 0)
		caller_set_timer(c, 0);
	else
		expiry_set(c->expiry, caller_idle_deadline(c));
}

static void
caller_feed_pipelined(struct caller *c)
{
	struct buf inbox = c->pipelined;

	memset(&c->pipelined, 0, sizeof(c->pipelined));
	/* More may have arrived than fits before this was parsed. */
	conn_set_reading(c->conn, 1);
	caller_feed(c, buf_data(&inbox), buf_len(&inbox));
	buf_free(&inbox);
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
