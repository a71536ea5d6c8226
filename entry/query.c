#include <stdlib.h>

#include "clock.h"
#include "expiry.h"
#include "mem.h"
#include "query.h"

struct query {
	TAILQ_ENTRY(query) entry;
	struct entry *e;
	struct exchange *exchange;
	struct expiry *expiry;
	int status;
	int too_large;
	struct buf body;
	query_head_callback head;
	query_callback callback;
	void *ctx;
};

/* A store's values have up to 1 MB. */
#define QUERY_BODY_MAX_BYTES 4194304

static int on_head(void *, const struct http_head *);
static int on_body(void *, const char *, size_t);
static void on_end(void *, enum exchange_result);
static int has_input(void *);
static void on_expired(void *);
static void query_finish(struct query *, int);

static const struct exchange_ops query_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

static const struct expiry_ops query_expiry_ops = {
	.has_input = has_input,
	.expired = on_expired,
};

void
query_send(struct entry *e, const struct query_spec *spec)
{
	struct exchange_conn conn = { .reuse_ns = TIME_NEVER / 4,
		.single_use = spec->single_use };
	struct query *q;

	q = mem_alloc(sizeof(*q));
	q->e = e;
	q->head = spec->head;
	q->callback = spec->callback;
	q->ctx = spec->ctx;
	TAILQ_INSERT_TAIL(&e->queries, q, entry);
	q->exchange =
	    exchange_start(spec->pool, spec->addr, &conn, &query_ops, q);
	exchange_set_send_by(q->exchange, spec->send_by);
	exchange_send(
	    q->exchange, buf_data(spec->request), buf_len(spec->request));
	q->expiry = expiry_create(e->loop, &query_expiry_ops, q);
	expiry_set(q->expiry,
	    clock_mono() + (uint64_t)(spec->timeout_s * NSEC_PER_SEC));
}

static int
on_head(void *ctx, const struct http_head *h)
{
	struct query *q = ctx;

	q->status = h->status;
	if (q->head != NULL)
		q->head(q->ctx, h);
	return 0;
}

static int
on_body(void *ctx, const char *p, size_t len)
{
	struct query *q = ctx;

	q->too_large = buf_len(&q->body) + len > QUERY_BODY_MAX_BYTES;
	if (q->too_large)
		return 1;
	buf_add(&q->body, p, len);
	return 0;
}

static void
on_end(void *ctx, enum exchange_result end)
{
	struct query *q = ctx;

	entry_update_now(q->e);
	if (q->too_large)
		query_finish(q, QUERY_TOO_LARGE);
	else
		query_finish(q, end == EXCHANGE_COMPLETE ? q->status : 0);
}

static int
has_input(void *ctx)
{
	const struct query *q = ctx;

	return exchange_has_input(q->exchange);
}

static void
on_expired(void *ctx)
{
	struct query *q = ctx;

	entry_update_now(q->e);
	exchange_cancel(q->exchange);
	query_finish(q, 0);
}

static void
query_finish(struct query *q, int status)
{
	expiry_destroy(q->expiry);
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
