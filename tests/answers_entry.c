#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "answers_entry.h"
#include "expiry.h"
#include "forward_int.h"
#include "stream_io.h"
#include "mem.h"
#include "peers.h"

#define REPLICA_ID "i-1"
#define MAX_RUNS 4

struct conn {
	const struct conn_ops *ops;
	void *ctx;
	struct buf sent;
};

struct caller {
	struct http_reader *reader;
	struct buf written;
};

struct answers_entry {
	struct entry entry;
	struct forward forward;
	struct caller caller;
	struct conn *conn; /* of the latest attempt, NULL once closed */
	enum answers_state state;
};

/* For the stand-ins; requests follow one another. */
static struct answers_entry *current;

static void request_free(struct answers_entry *);
static void request_head(void *, const struct http_head *);
static void request_body(void *, const char *, size_t);
static void request_end(void *);

static const struct http_reader_ops request_ops = {
	.head = request_head,
	.body = request_body,
	.end = request_end,
};

static void
request_head(void *ctx, const struct http_head *h)
{
	(void)ctx;
	(void)h;
}

static void
request_body(void *ctx, const char *p, size_t len)
{
	(void)ctx;
	(void)p;
	(void)len;
}

static void
request_end(void *ctx)
{
	(void)ctx;
}

struct answers_entry *
answers_entry_create(void)
{
	struct conn_pool_config pool = { .connect_timeout_ns = NSEC_PER_SEC,
		.idle_timeout_ns = 60 * NSEC_PER_SEC,
		.idle_max = 4 };
	struct budget_config budget = { .window_ns = 10 * NSEC_PER_SEC };
	struct fleet_replica r = { 0 };
	struct answers_entry *a = mem_alloc(sizeof(*a));

	current = a;
	a->entry.now = NSEC_PER_SEC;
	a->entry.replicas = conn_pool_create(NULL, &pool);
	budget_init(&a->entry.budget, &budget);
	directory_init(&a->entry.dir);
	snprintf(r.id, sizeof(r.id), REPLICA_ID);
	snprintf(r.service, sizeof(r.service), "s");
	snprintf(r.addr, sizeof(r.addr), "10.0.0.1:80");
	r.slots = 1;
	directory_put(&a->entry.dir, &r);
	return a;
}

static void
request_free(struct answers_entry *a)
{
	struct forward *f = &a->forward;

	if (f->exchange != NULL)
		exchange_cancel(f->exchange);
	http_reader_destroy(a->caller.reader);
	buf_free(&a->caller.written);
	buf_free(&f->body);
	sse_free(&f->events);
	free(f->response_head.fields);
	buf_free(&f->response_head.text);
}

void
answers_entry_begin(struct answers_entry *a, const struct answers_config *c)
{
	struct forward *f = &a->forward;

	request_free(a);
	memset(f, 0, sizeof(*f));
	a->caller.reader =
	    http_reader_create(HTTP_READ_REQUESTS, &request_ops, a);
	(void)http_reader_feed(
	    a->caller.reader, c->request, strlen(c->request));
	f->e = &a->entry;
	f->caller = &a->caller;
	f->deadline = 60 * NSEC_PER_SEC;
	f->route.kind = c->stream ? ROUTE_STREAM : ROUTE_IDEMPOTENT;
	f->route.resumable = c->resumable;
	f->route.max_attempts = MAX_RUNS;
	snprintf(f->params.id, sizeof(f->params.id), "%s", c->id);
	event_filter_start(&f->passed, c->last_event_id);
	a->state = ANSWERS_RETRY;
}

void
answers_entry_destroy(struct answers_entry *a)
{
	request_free(a);
	conn_pool_destroy(a->entry.replicas);
	directory_clear(&a->entry.dir);
	pace_clear(&a->entry.pace);
	free(a);
	current = NULL;
}

void
answers_entry_start_attempt(struct answers_entry *a)
{
	a->state = ANSWERS_RUNNING;
	forward_start_attempt(
	    &a->forward, directory_find(&a->entry.dir, REPLICA_ID));
	if (a->forward.new_connection)
		(void)a->conn->ops->connected(a->conn->ctx);
}

void
answers_entry_receive(struct answers_entry *a, const char *p, size_t len)
{
	if (a->conn != NULL)
		a->conn->ops->data(a->conn->ctx, p, len);
}

void
answers_entry_close(struct answers_entry *a, int error)
{
	if (a->conn != NULL)
		a->conn->ops->closed(a->conn->ctx, error);
}

enum answers_state
answers_entry_state(const struct answers_entry *a)
{
	return a->state;
}

uint64_t
answers_entry_resumed_after(const struct answers_entry *a)
{
	static const char name[] = "Last-Event-Id: ";
	const char *s;
	const char *p;

	if (a->conn == NULL)
		return 0;
	p = buf_data(&a->conn->sent);
	s = memmem(p, buf_len(&a->conn->sent), name, sizeof(name) - 1);
	return s == NULL ? 0 : strtoull(s + sizeof(name) - 1, NULL, 10);
}

const char *
answers_entry_written(const struct answers_entry *a, size_t *len)
{
	*len = buf_len(&a->caller.written);
	return buf_data(&a->caller.written);
}

/* The part of forward_next_step() that concerns the answer. */
void
forward_attempt_ended(struct forward *f, enum attempt_outcome end)
{
	struct attempt_context c = { 0 };

	f->exchange = NULL;
	f->runs += (uint32_t)attempt_may_have_run(end);
	forward_remove_work(f);
	c.kind = f->route.kind;
	c.resumable = f->route.resumable;
	c.max_runs = f->route.max_attempts;
	c.runs = f->runs;
	c.attempts_made = f->attempts_made;
	c.response_started = f->response_started;
	c.another_response = !f->streaming;
	c.retry_allowed = 1;
	c.deadline = f->deadline;
	switch (attempt_next_step(&c, end, f->e->now)) {
	case NEXT_FORWARD:
		current->state = ANSWERS_DONE;
		forward_finish_response(f);
		break;
	case NEXT_RETRY:
		current->state = ANSWERS_RETRY;
		break;
	default:
		current->state = ANSWERS_FAILED;
		break;
	}
}

void
stream_io_begun(struct forward *f)
{
	(void)f;
}

void
forward_apply_notice(struct forward *f, const struct response_info *t)
{
	(void)f;
	(void)t;
}

void
detour_io_connected(struct entry *e)
{
	(void)e;
}

void
detour_io_heard(struct entry *e)
{
	(void)e;
}

void
detour_io_not_connected(struct entry *e, const struct directory_replica *m)
{
	(void)e;
	(void)m;
}

int
detour_io_is_needed(
    const struct entry *e, const char *addr, const struct exchange_conn *conn)
{
	(void)e;
	(void)addr;
	(void)conn;
	return 0;
}

int
forward_open_detour(struct forward *f)
{
	(void)f;
	return -1;
}

void
forward_leave_detour(struct forward *f)
{
	(void)f;
}

uint64_t
entry_update_now(struct entry *e)
{
	return e->now;
}

void
peers_report_soon(struct peers *p)
{
	(void)p;
}

const struct http_head *
caller_head(const struct caller *c)
{
	return http_reader_head(c->reader);
}

const struct buf *
caller_body(const struct caller *c)
{
	static const struct buf none;

	(void)c;
	return &none;
}

void
caller_write(struct caller *c, const void *p, size_t len)
{
	buf_add(&c->written, p, len);
}

size_t
caller_pending_bytes(const struct caller *c)
{
	(void)c;
	return 0;
}

int
caller_takes_body(const struct caller *c)
{
	(void)c;
	return 1;
}

int
caller_keep_alive(const struct caller *c)
{
	(void)c;
	return 1;
}

int
caller_accepts_chunked(const struct caller *c)
{
	(void)c;
	return 1;
}

void
caller_response_done(struct caller *c, int kept)
{
	(void)c;
	(void)kept;
}

struct conn *
conn_connect(struct ev_loop *loop, const char *addr, const struct conn_ops *ops,
    void *ctx, struct err *err)
{
	struct conn *c = mem_alloc(sizeof(*c));

	(void)loop;
	(void)addr;
	(void)err;
	c->ops = ops;
	c->ctx = ctx;
	current->conn = c;
	return c;
}

void
conn_destroy(struct conn *c)
{
	if (c == NULL)
		return;
	if (current->conn == c)
		current->conn = NULL;
	buf_free(&c->sent);
	free(c);
}

void
conn_write(struct conn *c, const void *p, size_t len)
{
	current->conn = c;
	buf_add(&c->sent, p, len);
}

int
conn_is_unacked(const struct conn *c, uint64_t since)
{
	(void)c;
	(void)since;
	return 0;
}

int
conn_has_input(const struct conn *c)
{
	(void)c;
	return 0;
}

size_t
conn_unsent_bytes(const struct conn *c)
{
	(void)c;
	return 0;
}

void
conn_clear_sent(struct conn *c)
{
	buf_free(&c->sent);
}

int
conn_has_sent(const struct conn *c)
{
	return buf_len(&c->sent) != 0;
}

void
conn_keep_until(struct conn *c, uint64_t at)
{
	(void)c;
	(void)at;
}

void
conn_set_reading(struct conn *c, int on)
{
	(void)c;
	(void)on;
}

/* No time passes. */
struct expiry *
expiry_create(struct ev_loop *loop, const struct expiry_ops *ops, void *ctx)
{
	(void)loop;
	(void)ops;
	(void)ctx;
	return NULL;
}

void
expiry_destroy(struct expiry *e)
{
	(void)e;
}

void
expiry_set(struct expiry *e, uint64_t at)
{
	(void)e;
	(void)at;
}

void
expiry_stop(struct expiry *e)
{
	(void)e;
}
