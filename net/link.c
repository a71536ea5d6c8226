#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

#include "base.h"
#include "clock.h"
#include "conn.h"
#include "link.h"
#include "mem.h"

/* One connection; it is an exchange's while ops is set. */
struct exchange {
	TAILQ_ENTRY(exchange) entry; /* among the idle of its address */
	struct link_pool *pool;
	struct address *address;
	struct conn *conn;
	struct http_reader *reader;
	const struct exchange_ops *ops;
	void *ctx;
	ev_timer timer; /* connecting, or idle */
	uint64_t used;
	uint64_t keep_until; /* idle: closed at the server's time */
	uint64_t told_ns;    /* how long the server keeps it */
	int opened;
	int fresh;
	int skipping; /* the answer at hand belongs to an earlier request */
	int begun;    /* an answer's head was taken */
	int feeding;  /* inside the reader */
	int dropped;  /* to be destroyed after the reader returns */
	int finished; /* the answer at hand is complete */
};

TAILQ_HEAD(exchange_list, exchange);

struct address {
	char addr[ADDR_SIZE];
	struct exchange_list idle;
	uint32_t nidle;
	UT_hash_handle hh;
};

struct link_pool {
	struct ev_loop *loop;
	struct link_config config;
	struct address *addresses;
	uint64_t opened;
};

static struct address *link_address(struct link_pool *, const char *);
static struct exchange *link_open(struct link_pool *, struct address *);
static void link_close(struct exchange *);
static void link_end(struct exchange *, enum exchange_end);
static void link_park(struct exchange *);
static void link_on_opened(void *);
static void link_on_data(void *, const char *, size_t);
static void link_on_closed(void *, int);
static void link_on_timer(struct ev_loop *, ev_timer *, int);
static void link_on_head(void *, const struct http_head *);
static void link_on_body(void *, const char *, size_t);
static void link_on_end(void *);
static enum exchange_end link_lost(const struct exchange *);
static int link_reusable(const struct exchange *, size_t);

static const struct conn_ops link_conn_ops = {
	.opened = link_on_opened,
	.data = link_on_data,
	.closed = link_on_closed,
};

static const struct http_reader_ops link_reader_ops = {
	.head = link_on_head,
	.body = link_on_body,
	.end = link_on_end,
};

struct link_pool *
link_pool_create(struct ev_loop *loop, const struct link_config *config)
{
	struct link_pool *p;

	p = mem_alloc(sizeof(*p));
	p->loop = loop;
	p->config = *config;
	return p;
}

/* Exchanges under way must have ended. */
void
link_pool_destroy(struct link_pool *p)
{
	struct address *a, *next;

	HASH_ITER (hh, p->addresses, a, next) {
		while (!TAILQ_EMPTY(&a->idle))
			link_close(TAILQ_FIRST(&a->idle));
		HASH_DEL(p->addresses, a);
		free(a);
	}
	free(p);
}

uint64_t
link_pool_opened(const struct link_pool *p)
{
	return p->opened;
}

static struct address *
link_address(struct link_pool *p, const char *addr)
{
	struct address *a;

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
link_open(struct link_pool *p, struct address *a)
{
	struct exchange *x;

	x = mem_alloc(sizeof(*x));
	x->pool = p;
	x->address = a;
	x->fresh = 1;
	p->opened++;
	x->reader =
	    http_reader_create(HTTP_READ_RESPONSES, &link_reader_ops, x);
	x->conn = conn_open(p->loop, a->addr, &link_conn_ops, x, NULL);
	ev_timer_init(&x->timer, link_on_timer,
	    x->conn == NULL ? 0.0 : (double)p->config.connect_ns / NSEC_PER_SEC,
	    0.0);
	x->timer.data = x;
	ev_timer_start(p->loop, &x->timer);
	return x;
}

static void
link_close(struct exchange *x)
{
	struct address *a = x->address;

	x->ops = NULL;
	if (x->feeding) {
		x->dropped = 1;
		return;
	}
	if (x->used != 0) {
		TAILQ_REMOVE(&a->idle, x, entry);
		a->nidle--;
	}
	ev_timer_stop(x->pool->loop, &x->timer);
	conn_destroy(x->conn);
	http_reader_destroy(x->reader);
	free(x);
}

struct exchange *
exchange_start(struct link_pool *p, const char *addr, uint64_t fresh_ns,
    const struct exchange_ops *ops, void *ctx)
{
	struct address *a = link_address(p, addr);
	struct exchange *x = TAILQ_FIRST(&a->idle);
	uint64_t now = clock_mono();

	if (x != NULL && now < x->keep_until &&
	    (x->told_ns != 0 || now < x->used + fresh_ns)) {
		TAILQ_REMOVE(&a->idle, x, entry);
		a->nidle--;
		x->used = 0;
		x->fresh = 0;
		ev_timer_stop(p->loop, &x->timer);
	} else {
		x = link_open(p, a);
	}
	x->ops = ops;
	x->ctx = ctx;
	x->begun = 0;
	x->skipping = 0;
	x->finished = 0;
	x->told_ns = 0;
	if (x->conn != NULL)
		conn_mark(x->conn);
	return x;
}

void
exchange_send(struct exchange *x, const void *p, size_t len)
{
	if (x->conn != NULL)
		conn_write(x->conn, p, len);
}

void
exchange_bodiless(struct exchange *x)
{
	http_reader_bodiless(x->reader);
}

void
exchange_idle(struct exchange *x, uint64_t told_ns)
{
	x->told_ns = told_ns;
}

void
exchange_read(struct exchange *x, int on)
{
	if (x->conn != NULL)
		conn_read(x->conn, on);
}

void
exchange_cancel(struct exchange *x)
{
	link_close(x);
}

int
exchange_fresh(const struct exchange *x)
{
	return x->fresh;
}

static enum exchange_end
link_lost(const struct exchange *x)
{
	if (x->begun)
		return EXCHANGE_BROKEN;
	if (x->conn == NULL || !conn_wrote(x->conn))
		return EXCHANGE_UNSENT;
	return EXCHANGE_SILENT;
}

/* Tells the end and closes; the callback may not use x again. */
static void
link_end(struct exchange *x, enum exchange_end end)
{
	const struct exchange_ops *ops = x->ops;
	void *ctx = x->ctx;

	link_close(x);
	if (ops != NULL)
		ops->end(ctx, end);
}

static int
link_reusable(const struct exchange *x, size_t surplus)
{
	const struct http_head *h = http_reader_head(x->reader);

	return surplus == 0 && h->keep_alive && !h->close_framed &&
	    conn_pending(x->conn) == 0;
}

static void
link_park(struct exchange *x)
{
	struct link_pool *p = x->pool;
	struct address *a = x->address;
	uint64_t keep = p->config.idle_ns;

	if (x->told_ns != 0 && x->told_ns * 3 / 4 < keep)
		keep = x->told_ns * 3 / 4;
	x->ops = NULL;
	if (a->nidle >= p->config.idle_max) {
		link_close(x);
		return;
	}
	x->used = clock_mono();
	x->keep_until = x->used + keep;
	http_reader_reset(x->reader);
	conn_read(x->conn, 1);
	TAILQ_INSERT_HEAD(&a->idle, x, entry);
	a->nidle++;
	ev_timer_set(&x->timer, (double)keep / NSEC_PER_SEC, 0.0);
	ev_timer_start(p->loop, &x->timer);
}

static void
link_on_opened(void *ctx)
{
	struct exchange *x = ctx;

	x->opened = 1;
	ev_timer_stop(x->pool->loop, &x->timer);
}

static void
link_on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct exchange *x = w->data;

	(void)loop;
	(void)events;
	link_end(x, EXCHANGE_UNSENT);
}

static void
link_on_head(void *ctx, const struct http_head *h)
{
	struct exchange *x = ctx;

	if (x->ops == NULL)
		return;
	x->skipping = x->ops->head(x->ctx, h);
	if (!x->skipping)
		x->begun = 1;
}

static void
link_on_body(void *ctx, const char *p, size_t len)
{
	struct exchange *x = ctx;

	if (x->ops != NULL && !x->skipping)
		x->ops->body(x->ctx, p, len);
}

static void
link_on_end(void *ctx)
{
	struct exchange *x = ctx;

	x->finished = 1;
}

static void
link_on_data(void *ctx, const char *p, size_t len)
{
	struct exchange *x = ctx;
	const struct exchange_ops *ops;
	long n;

	while (len != 0) {
		if (x->ops == NULL) {
			/* Bytes that belong to no request. */
			link_close(x);
			return;
		}
		x->feeding = 1;
		n = http_reader_feed(x->reader, p, len);
		x->feeding = 0;
		if (x->dropped) {
			link_close(x);
			return;
		}
		if (n < 0) {
			link_end(x, link_lost(x));
			return;
		}
		p += n;
		len -= (size_t)n;
		if (!x->finished)
			continue;
		x->finished = 0;
		if (x->skipping) {
			x->skipping = 0;
			http_reader_reset(x->reader);
			continue;
		}
		if (!link_reusable(x, len)) {
			link_end(x, EXCHANGE_DONE);
			return;
		}
		ops = x->ops;
		ctx = x->ctx;
		link_park(x);
		ops->end(ctx, EXCHANGE_DONE);
		return;
	}
}

static void
link_on_closed(void *ctx, int error)
{
	struct exchange *x = ctx;
	int whole = 0;

	if (x->ops != NULL && error == 0 && x->begun) {
		x->feeding = 1;
		whole = http_reader_eof(x->reader) == 0;
		x->feeding = 0;
		if (x->dropped) {
			link_close(x);
			return;
		}
	}
	link_end(x, whole ? EXCHANGE_DONE : link_lost(x));
}
