#include <stdlib.h>

#include "mem.h"
#include "query.h"

struct query {
	TAILQ_ENTRY(query) entry;
	struct entry *e;
	struct exchange *exchange;
	ev_timer timer;
	int status;
	struct buf body;
	query_callback callback;
	void *ctx;
};

/* Larger responses count as none; a store's values have up to 1 MB. */
#define QUERY_BODY_MAX_BYTES 4194304

static int on_head(void *, const struct http_head *);
static int on_body(void *, const char *, size_t);
static void on_end(void *, enum exchange_result);
static void on_timeout(struct ev_loop *, ev_timer *, int);
static void query_finish(struct query *, int);

static const struct exchange_ops query_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

void
query_send(struct entry *e, struct conn_pool *pool, const char *addr,
    const struct buf *request, uint64_t send_by, double timeout_s,
    query_callback answer, void *ctx)
{
	struct query *q;

	q = mem_alloc(sizeof(*q));
	q->e = e;
	q->callback = answer;
	q->ctx = ctx;
	TAILQ_INSERT_TAIL(&e->queries, q, entry);
	q->exchange = exchange_start(pool, addr, TIME_NEVER / 4, &query_ops, q);
	exchange_set_send_by(q->exchange, send_by);
	exchange_send(q->exchange, buf_data(request), buf_len(request));
	ev_timer_init(&q->timer, on_timeout, timeout_s, 0.0);
	q->timer.data = q;
	ev_timer_start(e->loop, &q->timer);
}

static int
on_head(void *ctx, const struct http_head *h)
{
	struct query *q = ctx;

	q->status = h->status;
	return 0;
}

static int
on_body(void *ctx, const char *p, size_t len)
{
	struct query *q = ctx;

	if (buf_len(&q->body) + len > QUERY_BODY_MAX_BYTES)
		return 1;
	buf_add(&q->body, p, len);
	return 0;
}

static void
on_end(void *ctx, enum exchange_result end)
{
	struct query *q = ctx;

	entry_update_now(q->e);
	query_finish(q, end == EXCHANGE_COMPLETE ? q->status : 0);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	struct query *q = w->data;

	(void)loop;
	(void)events;
	entry_update_now(q->e);
	exchange_cancel(q->exchange);
	query_finish(q, 0);
}

static void
query_finish(struct query *q, int status)
{
	ev_timer_stop(q->e->loop, &q->timer);
	TAILQ_REMOVE(&q->e->queries, q, entry);
	q->callback(q->ctx, status, buf_data(&q->body), buf_len(&q->body));
	buf_free(&q->body);
	free(q);
}

void
queries_cancel(struct entry *e)
{
	struct query *q;

	while ((q = TAILQ_FIRST(&e->queries)) != NULL) {
		exchange_cancel(q->exchange);
		query_finish(q, 0);
	}
}
