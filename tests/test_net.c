/* Outgoing requests on real sockets: what is sent, and when; events. */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base.h"
#include "clock.h"
#include "conn.h"
#include "fields.h"
#include "http_client.h"
#include "mem.h"
#include "sse.h"
#include "unit.h"

#define PAUSE_NS (20 * NSEC_PER_MSEC)
/* Turns of a loop in which hardly anything happens. */
#define TURNS_MAX 100
/* More than the buffers of two sockets hold. */
#define LARGE_BYTES ((size_t)32 * 1048576)

/* One request to a listening socket that answers nothing. */
struct attempt {
	struct ev_loop *loop;
	int listener;
	char addr[ADDR_SIZE];
	struct conn_pool *pool;
	int ended;
	enum exchange_result result;
};

static int on_head(void *, const struct http_head *);
static int on_body(void *, const char *, size_t);
static void on_end(void *, enum exchange_result);
static void on_timer(struct ev_loop *, ev_timer *, int);
static void attempt_open(struct attempt *);
static void attempt_close(struct attempt *);
static void attempt_run(struct attempt *);
static ssize_t attempt_received(struct attempt *);
static void pause_process(void);
static void test_connected_late(void);
static void test_paused(void);
static void test_in_time(void);
static void test_idle_closed_by_server(void);
static void answer_one(struct attempt *, const struct exchange_conn *, int *);
static int is_new(struct attempt *, const struct exchange_conn *);
static void test_connection_of_same_request(void);
static void test_single_use(void);
static void test_refused_while_sending(void);
static struct conn *accept_caller(struct attempt *, int *);
static void on_data(void *, const char *, size_t);
static void on_closed(void *, int);
static void test_closed_after_reset(void);
static size_t read_all(struct attempt *, int);
static void test_half_closed_by_slow_caller(void);
static void collect(void *, const char *, size_t);
static void test_events(void);

static const struct exchange_ops ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};
static const struct exchange_conn fresh = { 0 };
static const struct exchange_conn reusing = { .reuse_ns = NSEC_PER_SEC };

static int
on_head(void *ctx, const struct http_head *h)
{
	(void)ctx;
	(void)h;
	return 0;
}

static int
on_body(void *ctx, const char *p, size_t len)
{
	(void)ctx;
	(void)p;
	(void)len;
	return 0;
}

static void
on_end(void *ctx, enum exchange_result result)
{
	struct attempt *t = ctx;

	t->ended = 1;
	t->result = result;
	ev_break(t->loop, EVBREAK_ALL);
}

static void
on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void
attempt_open(struct attempt *t)
{
	struct conn_pool_config config = { NSEC_PER_SEC, NSEC_PER_SEC, 1 };
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);

	memset(t, 0, sizeof(*t));
	t->loop = ev_loop_new(EVFLAG_AUTO);
	memset(&sa, 0, sizeof(sa));
	sa.sin_family = AF_INET;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	t->listener = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
	    bind(t->listener, (struct sockaddr *)&sa, sizeof(sa)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(t->listener, 4), 0);
	getsockname(t->listener, (struct sockaddr *)&sa, &len);
	snprintf(t->addr, sizeof(t->addr), "127.0.0.1:%u",
	    (unsigned)ntohs(sa.sin_port));
	t->pool = conn_pool_create(t->loop, &config);
}

static void
attempt_close(struct attempt *t)
{
	conn_pool_destroy(t->pool);
	close(t->listener);
	ev_loop_destroy(t->loop);
}

/* Runs the loop until the exchange has ended, or for a while. */
static void
attempt_run(struct attempt *t)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timer, 0.3, 0.0);
	ev_timer_start(t->loop, &timer);
	ev_run(t->loop, 0);
	ev_timer_stop(t->loop, &timer);
}

/* Bytes that the server got, -1 for none so far. */
static ssize_t
attempt_received(struct attempt *t)
{
	char text[256];
	ssize_t n;
	int fd = accept(t->listener, NULL, NULL);

	n = recv(fd, text, sizeof(text), MSG_DONTWAIT);
	close(fd);
	return n;
}

static void
pause_process(void)
{
	struct timespec ts = { 0, (long)PAUSE_NS };

	nanosleep(&ts, NULL);
}

/*
 * A process is paused while it connects to an engine, and its lease ends
 * meanwhile: the order is not sent when it goes on.
 */
static void
test_paused(void)
{
	struct attempt t;
	struct exchange *x;

	attempt_open(&t);
	x = exchange_start(t.pool, t.addr, &fresh, &ops, &t);
	exchange_set_send_by(x, clock_mono() + PAUSE_NS / 2);
	exchange_send(x, "POST /order HTTP/1.1\r\n\r\n", 24);
	pause_process();
	attempt_run(&t);
	CU_ASSERT(t.ended);
	CU_ASSERT_EQUAL(t.result, EXCHANGE_NOT_SENT);
	CU_ASSERT(attempt_received(&t) <= 0);
	attempt_close(&t);
}

/* A connection that was established in time is used, however late. */
static void
test_connected_late(void)
{
	struct conn_pool_config config = { PAUSE_NS / 2, NSEC_PER_SEC, 1 };
	struct attempt t;
	struct exchange *x;

	attempt_open(&t);
	conn_pool_destroy(t.pool);
	t.pool = conn_pool_create(t.loop, &config);
	x = exchange_start(t.pool, t.addr, &fresh, &ops, &t);
	exchange_send(x, "GET / HTTP/1.1\r\n\r\n", 18);
	pause_process();
	attempt_run(&t);
	CU_ASSERT(!t.ended);
	CU_ASSERT_EQUAL(attempt_received(&t), 18);
	if (!t.ended)
		exchange_cancel(x);
	attempt_close(&t);
}

static void
test_in_time(void)
{
	struct attempt t;
	struct exchange *x;

	attempt_open(&t);
	x = exchange_start(t.pool, t.addr, &fresh, &ops, &t);
	exchange_set_send_by(x, clock_mono() + NSEC_PER_SEC);
	exchange_send(x, "POST /order HTTP/1.1\r\n\r\n", 24);
	pause_process();
	attempt_run(&t);
	CU_ASSERT(!t.ended);
	CU_ASSERT_EQUAL(attempt_received(&t), 24);
	exchange_cancel(x);
	attempt_close(&t);
}

static void
collect(void *ctx, const char *p, size_t len)
{
	buf_add(ctx, p, len);
}

/* Only complete events are passed on, for any split of the input. */
static void
test_events(void)
{
	static const char text[] =
	    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
	struct sse_splitter ev = { 0 };
	struct buf out = { 0 };
	size_t step;
	size_t i;
	size_t n;

	for (step = 1; step < sizeof(text); step++) {
		for (i = 0; i < sizeof(text) - 1; i += n) {
			n = sizeof(text) - 1 - i;
			if (n > step)
				n = step;
			sse_feed(&ev, text + i, n, collect, &out);
		}
		CU_ASSERT_EQUAL(buf_len(&out), sizeof(text) - 1 - 8);
		CU_ASSERT_EQUAL(buf_len(&ev.partial), 8);
		buf_free(&out);
		sse_free(&ev);
	}
	CU_ASSERT_EQUAL(fields_parse_event_id("id: 12", 6), 12);
	CU_ASSERT_EQUAL(fields_parse_event_id("id:7", 4), 7);
	CU_ASSERT_EQUAL(fields_parse_event_id("data: 1", 7), 0);
}

/*
 * The server has closed an idle connection while the process did not run.  The
 * next request opens a new one: sent on the closed one, its outcome would be
 * unknown.
 */
static void
test_idle_closed_by_server(void)
{
	static const char text[] =
	    "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n";
	struct attempt t;
	struct exchange *x;
	int fd;

	attempt_open(&t);
	x = exchange_start(t.pool, t.addr, &reusing, &ops, &t);
	exchange_send(x, "GET / HTTP/1.1\r\n\r\n", 18);
	fd = accept(t.listener, NULL, NULL);
	CU_ASSERT_EQUAL(
	    send(fd, text, sizeof(text) - 1, 0), (ssize_t)sizeof(text) - 1);
	attempt_run(&t);
	CU_ASSERT(t.ended);
	CU_ASSERT_EQUAL(t.result, EXCHANGE_COMPLETE);
	close(fd);
	pause_process();
	x = exchange_start(t.pool, t.addr, &reusing, &ops, &t);
	CU_ASSERT(exchange_has_new_conn(x));
	exchange_cancel(x);
	attempt_close(&t);
}

/* Sends a request and answers it; *fd is the connection, -1 for a new one. */
static void
answer_one(struct attempt *t, const struct exchange_conn *c, int *fd)
{
	static const char text[] =
	    "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
	struct exchange *x = exchange_start(t->pool, t->addr, c, &ops, t);

	exchange_send(x, "GET / HTTP/1.1\r\n\r\n", 18);
	if (*fd == -1)
		*fd = accept(t->listener, NULL, NULL);
	CU_ASSERT_EQUAL(
	    send(*fd, text, sizeof(text) - 1, 0), (ssize_t)sizeof(text) - 1);
	t->ended = 0;
	while (!t->ended)
		attempt_run(t);
	CU_ASSERT_EQUAL(t->result, EXCHANGE_COMPLETE);
}

/* Whether a request would open a connection. */
static int
is_new(struct attempt *t, const struct exchange_conn *c)
{
	struct exchange *x = exchange_start(t->pool, t->addr, c, &ops, t);
	int new_conn = exchange_has_new_conn(x);

	exchange_cancel(x);
	return new_conn;
}

/*
 * Guards against review/1: a late copy of an answer has the id of its request,
 * so the same id is never sent on that connection again, whatever was sent on
 * it in between; others are.
 */
static void
test_connection_of_same_request(void)
{
	struct exchange_conn first = { NSEC_PER_SEC, 1, 0 };
	struct exchange_conn second = { NSEC_PER_SEC, 2, 0 };
	struct exchange_conn third = { NSEC_PER_SEC, 3, 0 };
	struct attempt t;
	int a = -1;

	attempt_open(&t);
	answer_one(&t, &first, &a);
	answer_one(&t, &second, &a);
	CU_ASSERT(is_new(&t, &first));
	CU_ASSERT(is_new(&t, &second));
	CU_ASSERT_EQUAL(conn_pool_opened_count(t.pool), 3);
	CU_ASSERT(!is_new(&t, &third));
	close(a);
	attempt_close(&t);
}

/* Neither taken from the idle connections nor kept among them. */
static void
test_single_use(void)
{
	struct exchange_conn single = { NSEC_PER_SEC, 0, 1 };
	struct attempt t;
	int a = -1;
	int b = -1;

	attempt_open(&t);
	answer_one(&t, &single, &a);
	CU_ASSERT(is_new(&t, &reusing));
	close(accept(t.listener, NULL, NULL));
	answer_one(&t, &reusing, &b);
	CU_ASSERT(is_new(&t, &single));
	CU_ASSERT(!is_new(&t, &reusing));
	close(a);
	close(b);
	attempt_close(&t);
}

/*
 * A server refuses a large request by its head and closes, while the request
 * is still being sent: the answer has arrived before the sending fails.
 */
static void
test_refused_while_sending(void)
{
	static const char head[] = "POST /order HTTP/1.1\r\n\r\n";
	static const char text[] =
	    "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
	struct attempt t;
	struct exchange *x;
	char *body;
	int fd;

	attempt_open(&t);
	body = mem_alloc(LARGE_BYTES);
	x = exchange_start(t.pool, t.addr, &fresh, &ops, &t);
	exchange_send(x, head, sizeof(head) - 1);
	exchange_send(x, body, LARGE_BYTES);
	attempt_run(&t);
	CU_ASSERT(!t.ended);
	fd = accept(t.listener, NULL, NULL);
	CU_ASSERT_EQUAL(
	    send(fd, text, sizeof(text) - 1, 0), (ssize_t)sizeof(text) - 1);
	close(fd);
	attempt_run(&t);
	CU_ASSERT(t.ended);
	CU_ASSERT_EQUAL(t.result, EXCHANGE_COMPLETE);
	free(body);
	attempt_close(&t);
}

static void
on_data(void *ctx, const char *p, size_t len)
{
	(void)ctx;
	(void)p;
	(void)len;
}

static void
on_closed(void *ctx, int error)
{
	(void)ctx;
	(void)error;
}

/* A connection of a caller, whose own side is returned as a descriptor. */
static struct conn *
accept_caller(struct attempt *t, int *caller)
{
	static const struct conn_ops caller_ops = {
		.data = on_data,
		.closed = on_closed,
	};
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);

	getsockname(t->listener, (struct sockaddr *)&sa, &len);
	*caller = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
	    connect(*caller, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return conn_accept(t->loop,
	    accept4(t->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC),
	    &caller_ops, NULL);
}

/* A caller leaves before the last bytes are written, which close it. */
static void
test_closed_after_reset(void)
{
	struct linger reset = { 1, 0 };
	struct conn_list flushing = TAILQ_HEAD_INITIALIZER(flushing);
	struct attempt t;
	struct conn *c;
	int fd;

	attempt_open(&t);
	c = accept_caller(&t, &fd);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	conn_write(c, "whole", 5);
	conn_close_after_flush(c, &flushing);
	attempt_run(&t);
	CU_ASSERT(TAILQ_EMPTY(&flushing));
	CU_ASSERT(ev_iteration(t.loop) < TURNS_MAX);
	if (!TAILQ_EMPTY(&flushing))
		conn_destroy(c);
	attempt_close(&t);
}

/* Reads to the end while the loop runs; returns the number of bytes. */
static size_t
read_all(struct attempt *t, int fd)
{
	static char text[65536];
	size_t sum = 0;
	ssize_t n = -1;

	while (n != 0) {
		ev_run(t->loop, EVRUN_NOWAIT);
		n = recv(fd, text, sizeof(text), MSG_DONTWAIT);
		if (n == -1 && errno != EAGAIN)
			return sum;
		sum += n > 0 ? (size_t)n : 0;
	}
	return sum;
}

/* A caller that reads slowly has ended its own side: it gets everything. */
static void
test_half_closed_by_slow_caller(void)
{
	struct conn_list flushing = TAILQ_HEAD_INITIALIZER(flushing);
	struct attempt t;
	struct conn *c;
	char *body;
	int fd;

	attempt_open(&t);
	c = accept_caller(&t, &fd);
	body = mem_alloc(LARGE_BYTES);
	conn_write(c, body, LARGE_BYTES);
	conn_close_after_flush(c, &flushing);
	shutdown(fd, SHUT_WR);
	attempt_run(&t);
	CU_ASSERT(ev_iteration(t.loop) < TURNS_MAX);
	CU_ASSERT_EQUAL(read_all(&t, fd), LARGE_BYTES);
	CU_ASSERT(TAILQ_EMPTY(&flushing));
	free(body);
	close(fd);
	attempt_close(&t);
}
static const struct unit_case cases[] = {
	{ "events", test_events },
	{ "connected while paused", test_connected_late },
	{ "connection of the same request", test_connection_of_same_request },
	{ "single use", test_single_use },
	{ "paused while connecting", test_paused },
	{ "sent in time", test_in_time },
	{ "idle connection closed by the server", test_idle_closed_by_server },
	{ "refused while sending", test_refused_while_sending },
	{ "closed after the caller's reset", test_closed_after_reset },
	{ "half-closed by a slow caller", test_half_closed_by_slow_caller },
};

UNIT_MAIN("net", cases)
