/* Callers' connections: requests read whole, answers written. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conn.h"
#include "entry_int.h"
#include "mem.h"

#define INBOX_MAX 65536 /* bytes kept of requests not yet begun */
#define ACCEPT_BATCH 64 /* connections accepted at one wake-up */
/* A new connection brings its first request within this time. */
#define FIRST_NS (500 * NSEC_PER_MSEC)
#define LIMIT_HEADER_BYTES 16384
#define LIMIT_BODY_BYTES 4194304
#define LIMIT_HEADER_NS (3 * NSEC_PER_SEC)
#define LIMIT_IDLE_NS (15 * NSEC_PER_SEC)

struct caller {
	TAILQ_ENTRY(caller) entry;
	struct entry *e;
	struct conn *conn;
	struct http_reader *reader;
	struct forward *forward; /* the request under way */
	ev_timer timer;
	struct buf inbox; /* bytes that follow the request under way */
	struct buf body;
	uint64_t accepted;
	uint64_t begun;
	int served; /* a request of it was answered */
	int busy;   /* a whole request is under way */
	int headed; /* its head has come */
	int whole;
	int too_large;
};

struct listener {
	struct entry *e;
	ev_io io;
};

static int listener_accept(struct listener *);
static void listener_on_accept(struct ev_loop *, ev_io *, int);
static void caller_create(struct entry *, int);
static void caller_destroy(struct caller *);
static void caller_feed(struct caller *, const char *, size_t);
static void caller_reject(struct caller *, int, const char *);
static void caller_timer(struct caller *, uint64_t);
static void caller_wait(struct caller *);
static void caller_next(struct caller *);
static void caller_close(struct caller *);
static void on_data(void *, const char *, size_t);
static void on_closed(void *, int);
static void on_drained(void *);
static void on_head(void *, const struct http_head *);
static void on_body(void *, const char *, size_t);
static void on_end(void *);
static void on_timer(struct ev_loop *, ev_timer *, int);
static struct fleet_limits limits(const struct entry *);

static const struct conn_ops caller_conn_ops = {
	.data = on_data,
	.closed = on_closed,
	.drained = on_drained,
};

static const struct http_reader_ops caller_reader_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

/* The limits in force; before a configuration is known, cautious ones. */
static struct fleet_limits
limits(const struct entry *e)
{
	struct fleet_limits l = { LIMIT_HEADER_BYTES, LIMIT_BODY_BYTES,
		LIMIT_HEADER_NS, LIMIT_IDLE_NS };

	return e->conf == NULL ? l : e->conf->limits;
}

struct listener *
listener_create(struct entry *e, struct err *err)
{
	struct listener *l;
	int fd;

	fd = conn_listen(e->boot.listen, err);
	if (fd == -1)
		return NULL;
	l = mem_alloc(sizeof(*l));
	l->e = e;
	ev_io_init(&l->io, listener_on_accept, fd, EV_READ);
	l->io.data = l;
	ev_io_start(e->loop, &l->io);
	return l;
}

/* Connections that wait would be reset; their requests get an answer. */
void
listener_destroy(struct listener *l)
{
	if (l == NULL)
		return;
	ev_io_stop(l->e->loop, &l->io);
	while (listener_accept(l) == 0)
		continue;
	close(l->io.fd);
	free(l);
}

/* Takes one connection in; -1 when none waits. */
static int
listener_accept(struct listener *l)
{
	int fd;

	fd = accept4(l->io.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd == -1) {
		if (errno != EAGAIN && errno != EWOULDBLOCK)
			log_event(
			    LOG_HTTP_BAD, NULL, "accept: %s", strerror(errno));
		return -1;
	}
	caller_create(l->e, fd);
	return 0;
}

static void
listener_on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	struct listener *l = w->data;
	int i;

	(void)loop;
	(void)events;
	entry_now(l->e);
	for (i = 0; i < ACCEPT_BATCH && listener_accept(l) == 0; i++)
		continue;
}

static void
caller_create(struct entry *e, int fd)
{
	struct caller *c;

	c = mem_alloc(sizeof(*c));
	c->e = e;
	c->accepted = e->now;
	c->reader =
	    http_reader_create(HTTP_READ_REQUESTS, &caller_reader_ops, c);
	ev_timer_init(&c->timer, on_timer, 0.0, 0.0);
	c->timer.data = c;
	TAILQ_INSERT_TAIL(&e->callers, c, entry);
	c->conn = conn_accept(e->loop, fd, &caller_conn_ops, c);
	caller_timer(c, limits(e).idle_ns);
}

/* The connection itself is closed by the caller of this function. */
static void
caller_destroy(struct caller *c)
{
	ev_timer_stop(c->e->loop, &c->timer);
	TAILQ_REMOVE(&c->e->callers, c, entry);
	http_reader_destroy(c->reader);
	buf_free(&c->inbox);
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

void
callers_close_idle(struct entry *e)
{
	struct caller *c;
	struct caller *next;

	for (c = TAILQ_FIRST(&e->callers); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (!c->busy && !http_reader_in_message(c->reader) &&
		    (c->served || e->now >= c->accepted + FIRST_NS))
			caller_close(c);
	}
}

/* Sends what is buffered, then closes. */
static void
caller_close(struct caller *c)
{
	conn_close_after_flush(c->conn);
	caller_destroy(c);
}

static void
caller_timer(struct caller *c, uint64_t ns)
{
	ev_timer_stop(c->e->loop, &c->timer);
	ev_timer_set(&c->timer, (double)ns / NSEC_PER_SEC, 0.0);
	ev_timer_start(c->e->loop, &c->timer);
}

/* How long the next bytes may take, by what is expected. */
static void
caller_wait(struct caller *c)
{
	struct fleet_limits l = limits(c->e);

	if (!http_reader_in_message(c->reader))
		caller_timer(c, l.idle_ns);
	else if (c->headed)
		caller_timer(c, l.idle_ns);
	else if (!ev_is_active(&c->timer) || c->begun == c->e->now)
		caller_timer(c, l.header_ns);
}

static void
on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct caller *c = w->data;

	(void)loop;
	(void)events;
	entry_now(c->e);
	if (buf_len(&c->inbox) != 0) {
		caller_next(c);
		return;
	}
	if (http_reader_in_message(c->reader)) {
		caller_reject(c, 408, "the request came too slowly");
		return;
	}
	caller_close(c);
}

static void
on_data(void *ctx, const char *p, size_t len)
{
	struct caller *c = ctx;

	entry_now(c->e);
	if (c->busy || buf_len(&c->inbox) != 0) {
		buf_add(&c->inbox, p, len);
		if (buf_len(&c->inbox) > INBOX_MAX)
			conn_set_reading(c->conn, 0);
		return;
	}
	caller_feed(c, p, len);
}

static void
on_closed(void *ctx, int error)
{
	struct caller *c = ctx;

	(void)error;
	entry_now(c->e);
	if (c->forward != NULL)
		forward_abandon(c->forward);
	conn_destroy(c->conn);
	caller_destroy(c);
}

static void
on_drained(void *ctx)
{
	struct caller *c = ctx;

	entry_now(c->e);
	if (c->forward != NULL)
		forward_drained(c->forward);
}

static void
on_head(void *ctx, const struct http_head *h)
{
	struct caller *c = ctx;
	const char *expect = http_field_find(h, "Expect");

	c->headed = 1;
	if (expect != NULL && strcasecmp(expect, "100-continue") == 0)
		conn_write(c->conn, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void
on_body(void *ctx, const char *p, size_t len)
{
	struct caller *c = ctx;

	if (buf_len(&c->body) + len > limits(c->e).body_bytes)
		c->too_large = 1;
	else
		buf_add(&c->body, p, len);
}

static void
on_end(void *ctx)
{
	struct caller *c = ctx;

	c->whole = 1;
}

/* Takes in bytes up to the end of one request. */
static void
caller_feed(struct caller *c, const char *p, size_t len)
{
	long n;

	if (!http_reader_in_message(c->reader))
		c->begun = c->e->now;
	n = http_reader_feed(c->reader, p, len);
	if (http_reader_head_bytes(c->reader) > limits(c->e).header_bytes) {
		caller_reject(c, 431, "the header is too large");
		return;
	}
	if (n < 0) {
		caller_reject(c, 400, "the request is not HTTP/1.1");
		return;
	}
	if (c->too_large) {
		caller_reject(c, 413, "the body is too large");
		return;
	}
	if (!c->whole) {
		caller_wait(c);
		return;
	}
	ev_timer_stop(c->e->loop, &c->timer);
	buf_add(&c->inbox, p + n, len - (size_t)n);
	c->busy = 1;
	forward_start(c->e, c);
}

/* Answers a request that cannot be read on, and closes. */
static void
caller_reject(struct caller *c, int status, const char *text)
{
	struct buf out = { 0 };

	log_event(LOG_HTTP_BAD, NULL, "status=%d %s", status, text);
	fields_write_local_response(&out, status, NULL, 0, text, 0);
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
caller_begun(const struct caller *c)
{
	return c->begun;
}

void
caller_forward(struct caller *c, struct forward *f)
{
	c->forward = f;
}

void
caller_write(struct caller *c, const void *p, size_t len)
{
	conn_write(c->conn, p, len);
}

size_t
caller_pending(const struct caller *c)
{
	return conn_pending(c->conn);
}

int
caller_keeps(const struct caller *c)
{
	return caller_head(c)->keep_alive && caller_chunks(c) &&
	    !c->e->stopping;
}

int
caller_chunks(const struct caller *c)
{
	return caller_head(c)->minor >= 1;
}

void
caller_answered(struct caller *c)
{
	c->forward = NULL;
	if (!caller_keeps(c)) {
		caller_close(c);
		return;
	}
	c->busy = 0;
	c->served = 1;
	c->headed = 0;
	c->whole = 0;
	buf_free(&c->body);
	http_reader_reset(c->reader);
	conn_set_reading(c->conn, 1);
	/* What is here already is taken in from the loop, not from here. */
	caller_timer(c, buf_len(&c->inbox) != 0 ? 0 : limits(c->e).idle_ns);
}

static void
caller_next(struct caller *c)
{
	struct buf inbox = c->inbox;

	memset(&c->inbox, 0, sizeof(c->inbox));
	caller_feed(c, buf_data(&inbox), buf_len(&inbox));
	buf_free(&inbox);
}

void
caller_cut(struct caller *c)
{
	c->forward = NULL;
	if (caller_chunks(c)) {
		/* The last chunk is missing; what was sent stays readable. */
		caller_close(c);
		return;
	}
	conn_abort(c->conn);
	caller_destroy(c);
}
