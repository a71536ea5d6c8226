#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

#include "base.h"
#include "clock.h"
#include "conn.h"
#include "expiry.h"
#include "http_client.h"
#include "mem.h"
#include "tag_set.h"

/* Of late responses to earlier requests; with more, the connection is closed.
 */
#define SKIPPED_MAX_BYTES 1048576
/* Requests on one connection, whose ids it remembers; then it is closed. */
#define CONN_REQUESTS_MAX 1024

/* A connection with its current exchange; idle while ops is NULL. */
struct exchange {
	TAILQ_ENTRY(exchange) entry; /* in the address's idle list */
	struct conn_pool *pool;
	struct pool_address *address;
	struct conn *conn;
	struct http_reader *reader;
	const struct exchange_ops *ops;
	void *ctx;
	struct tag_set tags;   /* of the requests that it has carried */
	int single_use;	       /* closed after the current exchange */
	struct expiry *expiry; /* connect or idle timeout */
	uint64_t idle_since_ns;
	uint64_t reuse_until_ns; /* idle: not reused after this */
	uint64_t keep_alive_ns;	 /* announced by the server, 0: none */
	uint64_t send_by;	 /* the request is not sent later */
	int connected;
	int new_conn;
	int skipping; /* the current response belongs to an earlier request */
	size_t skipped_bytes; /* of responses to earlier requests */
	int head_received;    /* a response's head was accepted */
	int unwanted;	      /* the rest of the response is not read */
	int in_reader;	      /* inside http_reader_feed() or _eof() */
	int destroy_pending;  /* destroy once the reader returns */
	int complete;	      /* the current response is complete */
};

TAILQ_HEAD(exchange_list, exchange);

struct pool_address {
	char addr[ADDR_SIZE];
	struct exchange_list idle;
	uint32_t nidle;
	UT_hash_handle hh;
};

struct conn_pool {
	struct ev_loop *loop;
	struct conn_pool_config config;
	struct pool_address *addresses;
	uint64_t connections;
	uint64_t malformed;
	uint64_t skipped;
};

static struct pool_address *pool_find_address(struct conn_pool *, const char *);
static struct exchange *exchange_connect(
    struct conn_pool *, struct pool_address *);
static struct exchange *pool_find_idle(
    struct pool_address *, const struct exchange_conn *);
static void exchange_destroy(struct exchange *);
static void exchange_report_end(struct exchange *, enum exchange_result);
static void exchange_return_to_pool(struct exchange *);
static int exchange_on_connected(void *);
static void exchange_on_data(void *, const char *, size_t);
static void exchange_on_closed(void *, int);
static int exchange_input_waits(void *);
static void exchange_expired(void *);
static void exchange_on_head(void *, const struct http_head *);
static void exchange_on_body(void *, const char *, size_t);
static void exchange_on_end(void *);
static enum exchange_result exchange_failure(const struct exchange *);
static int exchange_is_reusable(const struct exchange *, size_t);

static const struct conn_ops exchange_conn_ops = {
	.connected = exchange_on_connected,
	.data = exchange_on_data,
	.closed = exchange_on_closed,
};

static const struct expiry_ops exchange_expiry_ops = {
	.has_input = exchange_input_waits,
	.expired = exchange_expired,
};

static const struct http_reader_ops exchange_reader_ops = {
	.head = exchange_on_head,
	.body = exchange_on_body,
	.end = exchange_on_end,
};

struct conn_pool *
conn_pool_create(struct ev_loop *loop, const struct conn_pool_config *config)
{
	struct conn_pool *p;

	p = mem_alloc(sizeof(*p));
	p->loop = loop;
	p->config = *config;
	return p;
}

/* All exchanges must have ended. */
void
conn_pool_destroy(struct conn_pool *p)
{
	struct pool_address *a, *next;

	HASH_ITER (hh, p->addresses, a, next) {
		while (!TAILQ_EMPTY(&a->idle))
			exchange_destroy(TAILQ_FIRST(&a->idle));
		HASH_DEL(p->addresses, a);
		free(a);
	}
	free(p);
}

uint64_t
conn_pool_opened_count(const struct conn_pool *p)
{
	return p->connections;
}

uint64_t
conn_pool_malformed_count(const struct conn_pool *p)
{
	return p->malformed;
}

uint64_t
conn_pool_skipped_count(const struct conn_pool *p)
{
	return p->skipped;
}

static struct pool_address *
pool_find_address(struct conn_pool *p, const char *addr)
{
	struct pool_address *a;

	HASH_FIND_STR(p->addresses, addr, a);
	if (a != NULL)
		return a;
	a = mem_alloc(sizeof(*a));
	snprintf(a->addr, sizeof(a->addr), "%s", addr);
	TAILQ_INIT(&a->idle);
	HASH_ADD_STR(p->addresses, addr, a);
	return a;
}

static struct exchange *
exchange_connect(struct conn_pool *p, struct pool_address *a)
{
	struct exchange *x;

	x = mem_alloc(sizeof(*x));
	x->pool = p;
	x->address = a;
	x->new_conn = 1;
	p->connections++;
	x->reader =
	    http_reader_create(HTTP_READ_RESPONSES, &exchange_reader_ops, x);
	x->conn = conn_connect(p->loop, a->addr, &exchange_conn_ops, x, NULL);
	/* The exchange is cancelled at the deadline of its request. */
	if (x->conn != NULL)
		conn_keep_until(x->conn, TIME_NEVER);
	x->expiry = expiry_create(p->loop, &exchange_expiry_ops, x);
	expiry_set(x->expiry,
	    clock_mono() +
		(x->conn == NULL ? 0 : p->config.connect_timeout_ns));
	return x;
}

static void
exchange_destroy(struct exchange *x)
{
	struct pool_address *a = x->address;

	x->ops = NULL;
	if (x->in_reader) {
		x->destroy_pending = 1;
		return;
	}
	if (x->idle_since_ns != 0) {
		TAILQ_REMOVE(&a->idle, x, entry);
		a->nidle--;
	}
	expiry_destroy(x->expiry);
	conn_destroy(x->conn);
	http_reader_destroy(x->reader);
	tag_set_free(&x->tags);
	free(x);
}

/* The connection used last that has not carried the tag, or NULL. */
static struct exchange *
pool_find_idle(struct pool_address *a, const struct exchange_conn *c)
{
	struct exchange *x, *next;
	uint64_t now = clock_mono();

	if (c->single_use)
		return NULL;
	for (x = TAILQ_FIRST(&a->idle); x != NULL; x = next) {
		next = TAILQ_NEXT(x, entry);
		/* The server has closed it, or sent what nobody asked for. */
		if (exchange_has_input(x))
			exchange_destroy(x);
		else if (c->tag == 0 || !tag_set_has(&x->tags, c->tag))
			break;
	}
	if (x == NULL || now >= x->reuse_until_ns ||
	    (x->keep_alive_ns == 0 && now >= x->idle_since_ns + c->reuse_ns))
		return NULL;
	return x;
}

struct exchange *
exchange_start(struct conn_pool *p, const char *addr,
    const struct exchange_conn *c, const struct exchange_ops *ops, void *ctx)
{
	struct pool_address *a = pool_find_address(p, addr);
	struct exchange *x = pool_find_idle(a, c);

	if (x != NULL) {
		TAILQ_REMOVE(&a->idle, x, entry);
		a->nidle--;
		x->idle_since_ns = 0;
		x->new_conn = 0;
		expiry_stop(x->expiry);
	} else {
		x = exchange_connect(p, a);
	}
	x->single_use = c->single_use;
	if (c->tag != 0)
		tag_set_add(&x->tags, c->tag);
	x->ops = ops;
	x->ctx = ctx;
	x->head_received = 0;
	x->skipping = 0;
	x->skipped_bytes = 0;
	x->unwanted = 0;
	x->send_by = TIME_NEVER;
	x->complete = 0;
	x->keep_alive_ns = 0;
	if (x->conn != NULL)
		conn_clear_sent(x->conn);
	return x;
}

void
exchange_send(struct exchange *x, const void *p, size_t len)
{
	if (x->conn != NULL)
		conn_write(x->conn, p, len);
}

void
exchange_set_send_by(struct exchange *x, uint64_t at)
{
	x->send_by = at;
}

void
exchange_expect_no_body(struct exchange *x)
{
	http_reader_expect_no_body(x->reader);
}

void
exchange_set_keep_alive(struct exchange *x, uint64_t keep_alive_ns)
{
	x->keep_alive_ns = keep_alive_ns;
}

void
exchange_set_reading(struct exchange *x, int on)
{
	if (x->conn != NULL)
		conn_set_reading(x->conn, on);
}

void
exchange_cancel(struct exchange *x)
{
	exchange_destroy(x);
}

int
exchange_has_input(const struct exchange *x)
{
	return x->conn != NULL && conn_has_input(x->conn);
}

int
exchange_has_sent(const struct exchange *x)
{
	return x->conn != NULL && conn_has_sent(x->conn);
}

int
exchange_is_unacked(const struct exchange *x, uint64_t since)
{
	return x->conn != NULL && conn_is_unacked(x->conn, since);
}

void
exchange_release(struct exchange *x)
{
	if (x->connected)
		exchange_return_to_pool(x);
	else
		exchange_destroy(x);
}

int
conn_pool_has_idle(
    struct conn_pool *p, const char *addr, const struct exchange_conn *c)
{
	return pool_find_idle(pool_find_address(p, addr), c) != NULL;
}

int
exchange_has_new_conn(const struct exchange *x)
{
	return x->new_conn;
}

static enum exchange_result
exchange_failure(const struct exchange *x)
{
	if (x->head_received)
		return EXCHANGE_TRUNCATED;
	if (x->conn == NULL || !conn_has_sent(x->conn))
		return EXCHANGE_NOT_SENT;
	return EXCHANGE_NO_RESPONSE;
}

/* Closes the connection and reports the result; x is invalid afterwards. */
static void
exchange_report_end(struct exchange *x, enum exchange_result end)
{
	const struct exchange_ops *ops = x->ops;
	void *ctx = x->ctx;

	exchange_destroy(x);
	if (ops != NULL)
		ops->end(ctx, end);
}

static int
exchange_is_reusable(const struct exchange *x, size_t surplus)
{
	const struct http_head *h = http_reader_head(x->reader);

	return surplus == 0 && h->keep_alive && !h->close_delimited &&
	    !x->single_use && x->tags.n < CONN_REQUESTS_MAX &&
	    conn_unsent_bytes(x->conn) == 0;
}

static void
exchange_return_to_pool(struct exchange *x)
{
	struct conn_pool *p = x->pool;
	struct pool_address *a = x->address;
	uint64_t idle_limit = p->config.idle_timeout_ns;

	if (x->keep_alive_ns != 0 && x->keep_alive_ns * 3 / 4 < idle_limit)
		idle_limit = x->keep_alive_ns * 3 / 4;
	x->ops = NULL;
	if (a->nidle >= p->config.idle_max) {
		exchange_destroy(x);
		return;
	}
	x->idle_since_ns = clock_mono();
	x->reuse_until_ns = x->idle_since_ns + idle_limit;
	http_reader_reset(x->reader);
	conn_set_reading(x->conn, 1);
	TAILQ_INSERT_HEAD(&a->idle, x, entry);
	a->nidle++;
	expiry_set(x->expiry, x->reuse_until_ns);
}

/* The process may have been paused since the request was written. */
static int
exchange_on_connected(void *ctx)
{
	struct exchange *x = ctx;

	x->connected = 1;
	expiry_stop(x->expiry);
	if (x->ops->connected != NULL)
		x->ops->connected(x->ctx);
	if (clock_mono() <= x->send_by)
		return 0;
	exchange_report_end(x, EXCHANGE_NOT_SENT);
	return 1;
}

static int
exchange_input_waits(void *ctx)
{
	return exchange_has_input(ctx);
}

static void
exchange_expired(void *ctx)
{
	struct exchange *x = ctx;

	exchange_report_end(x, EXCHANGE_NOT_SENT);
}

static void
exchange_on_head(void *ctx, const struct http_head *h)
{
	struct exchange *x = ctx;

	if (x->ops == NULL)
		return;
	x->skipping = x->ops->head(x->ctx, h);
	if (x->skipping)
		x->pool->skipped++;
	else
		x->head_received = 1;
}

static void
exchange_on_body(void *ctx, const char *p, size_t len)
{
	struct exchange *x = ctx;

	if (x->ops != NULL && !x->skipping && !x->unwanted)
		x->unwanted = x->ops->body(x->ctx, p, len);
}

static void
exchange_on_end(void *ctx)
{
	struct exchange *x = ctx;

	x->complete = 1;
}

static void
exchange_on_data(void *ctx, const char *p, size_t len)
{
	struct exchange *x = ctx;
	const struct exchange_ops *ops;
	long n;

	while (len != 0) {
		if (x->ops == NULL) {
			/* Unsolicited data on an idle connection. */
			exchange_destroy(x);
			return;
		}
		x->in_reader = 1;
		n = http_reader_feed(x->reader, p, len);
		x->in_reader = 0;
		if (x->destroy_pending) {
			exchange_destroy(x);
			return;
		}
		if (x->skipping)
			x->skipped_bytes += n < 0 ? 0 : (size_t)n;
		x->pool->malformed += n < 0;
		if (n < 0 || x->unwanted ||
		    x->skipped_bytes > SKIPPED_MAX_BYTES) {
			exchange_report_end(x, exchange_failure(x));
			return;
		}
		p += n;
		len -= (size_t)n;
		if (!x->complete)
			continue;
		x->complete = 0;
		if (x->skipping) {
			x->skipping = 0;
			http_reader_reset(x->reader);
			continue;
		}
		if (!exchange_is_reusable(x, len)) {
			exchange_report_end(x, EXCHANGE_COMPLETE);
			return;
		}
		ops = x->ops;
		ctx = x->ctx;
		exchange_return_to_pool(x);
		ops->end(ctx, EXCHANGE_COMPLETE);
		return;
	}
}

static void
exchange_on_closed(void *ctx, int error)
{
	struct exchange *x = ctx;
	int complete = 0;

	if (x->ops != NULL && error == 0 && x->head_received) {
		x->in_reader = 1;
		complete = http_reader_eof(x->reader) == 0;
		x->in_reader = 0;
		if (x->destroy_pending) {
			exchange_destroy(x);
			return;
		}
	}
	exchange_report_end(
	    x, complete ? EXCHANGE_COMPLETE : exchange_failure(x));
}
