/* Connections of callers: requests are read in full, then forwarded. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "acceptor.h"
#include "caller_int.h"
#include "mem.h"

#define PIPELINED_MAX_BYTES 16384 /* received after the current request */
/* A caller that is not read is checked this often for having left. */
#define LEFT_CHECK_NS (100 * NSEC_PER_MSEC)
/*
 * Callers reuse a connection until it has been idle for the limit by their own
 * clock; what they sent last may still be on its way.
 */
#define IDLE_MARGIN_NS (2 * NSEC_PER_SEC)
/* A request that names no time in which it is wanted. */
#define WHOLE_BY_DEFAULT_NS (60 * NSEC_PER_SEC)
#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES 4194304
#define DEFAULT_HEADER_NS (3 * NSEC_PER_SEC)
#define DEFAULT_IDLE_NS (15 * NSEC_PER_SEC)

struct listener {
	struct entry *e;
	struct acceptor *acceptor;
};

static void listener_accepted(void *, int);
static void listener_failed(void *, int);
static void caller_create(struct entry *, int);
static void caller_feed(struct caller *, const char *, size_t);
static int caller_is_idle(const struct caller *);
static uint64_t caller_idle_deadline(const struct caller *);
static void caller_set_read_timeout(struct caller *);
static void caller_feed_pipelined(struct caller *);
static void caller_check_left(struct caller *);
static void caller_check_unread(struct caller *);
static void caller_read_more(struct caller *);
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
	if (callers_make_room(l->e))
		caller_create(l->e, fd);
	else
		close(fd);
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
	c->progress_at = e->now;
	c->reader =
	    http_reader_create(HTTP_READ_REQUESTS, &caller_reader_ops, c);
	c->expiry = expiry_create(e->loop, &caller_expiry_ops, c);
	TAILQ_INSERT_TAIL(&e->callers, c, entry);
	e->held.ncallers++;
	c->conn = conn_accept(e->loop, fd, &caller_conn_ops, c);
	expiry_set(c->expiry, caller_idle_deadline(c));
}

void
caller_destroy(struct caller *c)
{
	caller_held_clear(c);
	expiry_destroy(c->expiry);
	TAILQ_REMOVE(&c->e->callers, c, entry);
	c->e->held.ncallers--;
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

void
caller_close(struct caller *c)
{
	/* The process does not end before the caller has received it. */
	if (c->e->stopping)
		conn_keep_until(c->conn, c->e->stop.end_at);
	conn_close_after_flush(c->conn, &c->e->flushing);
	caller_destroy(c);
}

void
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
		expiry_set(c->expiry,
		    c->e->now + l.idle_timeout_ns < c->whole_by
			? c->e->now + l.idle_timeout_ns
			: c->whole_by);
	else if (!expiry_is_set(c->expiry) ||
	    c->request_started_at == c->e->now)
		caller_set_timer(c, l.header_timeout_ns);
}

static int
has_input(void *ctx)
{
	const struct caller *c = ctx;

	return !c->in_request && !c->unread && conn_has_input(c->conn);
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
	if (c->unread) {
		caller_check_unread(c);
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
		caller_set_timer(c, CALLER_UNREAD_CHECK_NS);
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

/* Answers are delivered for as long as the caller reads any of them. */
static void
caller_check_unread(struct caller *c)
{
	uint64_t ns = limits_in_force(c->e).idle_timeout_ns + IDLE_MARGIN_NS;

	if (c->e->now > ns && conn_is_unacked(c->conn, c->e->now - ns))
		caller_evict(c, "unread");
	else
		caller_set_timer(c, CALLER_UNREAD_CHECK_NS);
}

/* Reads on only while few bytes wait to be parsed. */
static void
caller_read_more(struct caller *c)
{
	int more = buf_len(&c->pipelined) <= PIPELINED_MAX_BYTES;

	conn_set_reading(c->conn, more);
	if (!more && c->in_request)
		caller_set_timer(c, LEFT_CHECK_NS);
}

void
caller_resume(struct caller *c)
{
	caller_read_more(c);
	/* Pipelined bytes are parsed from the event loop to avoid recursion. */
	if (buf_len(&c->pipelined) != 0)
		caller_set_timer(c, 0);
	else
		expiry_set(c->expiry, caller_idle_deadline(c));
}

static void
on_data(void *ctx, const char *p, size_t len)
{
	struct caller *c = ctx;

	entry_update_now(c->e);
	c->progress_at = c->e->now;
	if (c->in_request || buf_len(&c->pipelined) != 0) {
		buf_add(&c->pipelined, p, len);
		caller_held_update(c);
		if (buf_len(&c->pipelined) <= PIPELINED_MAX_BYTES)
			return;
		conn_set_reading(c->conn, 0);
		if (c->in_request)
			caller_set_timer(c, LEFT_CHECK_NS);
		return;
	}
	caller_feed(c, p, len);
}

void
caller_drop(struct caller *c)
{
	if (c->forward != NULL)
		forward_caller_gone(c->forward, 0);
	conn_abort(c->conn);
	caller_destroy(c);
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
	if (!c->unread)
		return;
	c->unread = 0;
	c->idle_since = c->e->now;
	caller_resume(c);
}

static void
on_head(void *ctx, const struct http_head *h)
{
	struct caller *c = ctx;
	const char *expect = http_field_find(h, "Expect");
	const char *length = http_field_find(h, "Content-Length");

	c->head_received = 1;
	c->head_too_large = h->bytes > limits_in_force(c->e).max_header_bytes;
	c->whole_by = c->request_started_at + WHOLE_BY_DEFAULT_NS;
	if (fields_timeout(h) != 0)
		c->whole_by = c->request_started_at + fields_timeout(h);
	c->body_too_large = length != NULL &&
	    strtoull(length, NULL, 10) > limits_in_force(c->e).max_body_bytes;
	if (c->body_too_large)
		return;
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

	if (c->body_too_large ||
	    buf_len(&c->body) + len > limits_in_force(c->e).max_body_bytes)
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
	if (c->head_too_large ||
	    http_reader_head_bytes(c->reader) >
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
	caller_held_update(c);
	if (!c->request_complete) {
		caller_read_more(c);
		if (caller_held_make_room(c))
			caller_set_read_timeout(c);
		else
			caller_reject(
			    c, 503, "too many requests are unfinished");
		return;
	}
	if (!caller_held_fits(c)) {
		caller_reject(c, 503, "too many large requests are waiting");
		return;
	}
	expiry_stop(c->expiry);
	buf_add(&c->pipelined, p + n, len - (size_t)n);
	c->in_request = 1;
	caller_read_more(c);
	caller_held_update(c);
	forward_start(c->e, c);
}

void
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

static void
caller_feed_pipelined(struct caller *c)
{
	struct buf inbox = c->pipelined;

	memset(&c->pipelined, 0, sizeof(c->pipelined));
	caller_feed(c, buf_data(&inbox), buf_len(&inbox));
	buf_free(&inbox);
}
