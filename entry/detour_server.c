/* Passes attempts of peers on to replicas; never to another peer. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "acceptor.h"
#include "conn.h"
#include "detour_io.h"
#include "detour_server.h"
#include "expiry.h"
#include "forward_int.h"
#include "hash.h"
#include "mem.h"
#include "peers.h"

/* Attempts at once; a peer with more than this uses another process. */
#define ATTEMPTS_MAX 128U
#define REQUEST_MAX_BYTES 8388608 /* the head and body for a replica */
#define IDLE_NS (20 * NSEC_PER_SEC)
/* A replica is not read while its peer has more than this unsent. */
#define READ_PAUSE_BYTES 131072
#define STATUS_NO_ANSWER 502

/* A connection of a peer, with its current attempt. */
struct detour {
	TAILQ_ENTRY(detour) entry;
	struct detour_server *server;
	struct conn *conn;
	struct http_reader *reader;
	struct expiry *expiry; /* of the attempt, or of waiting for one */
	struct buf request;    /* for the replica */
	int request_complete;
	int too_large;
	int from_peer;		   /* nothing is passed on for others */
	struct exchange *exchange; /* NULL: no attempt in progress */
	char replica[NAME_SIZE];
	uint64_t started_ms; /* its incarnation */
	char id[REQUEST_ID_SIZE];
	uint64_t sent_at;
	struct buf head; /* of the answer, until its body begins */
	int answering;	 /* a part of the answer has been sent */
	int bodiless;	 /* its status allows no body */
	int read_paused;
};

TAILQ_HEAD(detour_list, detour);

struct detour_server {
	struct entry *e;
	struct acceptor *acceptor;
	struct detour_list detours;
	uint32_t in_progress;
	uint64_t total;
	uint64_t answers[DETOUR__MAX];
};

static void on_accepted(void *, int);
static int is_from_peer(const struct entry *, int);
static void detour_destroy(struct detour *);
static void on_data(void *, const char *, size_t);
static void on_closed(void *, int);
static void on_drained(void *);
static int has_input(void *);
static void on_expired(void *);
static void on_request_head(void *, const struct http_head *);
static void on_request_body(void *, const char *, size_t);
static void on_request_end(void *);
static uint64_t field_number(const struct http_head *, const char *);
static int read_fields(struct detour *);
static void start(struct detour *);
static struct directory_replica *find_replica(const struct detour *);
static struct exchange_conn conn_of(const struct detour *);
static enum detour_answer refusal(const struct detour *,
    const struct directory_replica *, const struct exchange_conn *);
static void send_to_replica(struct detour *, const struct directory_replica *,
    const struct exchange_conn *);
static void on_connected(void *);
static int on_head(void *, const struct http_head *);
static int on_body(void *, const char *, size_t);
static void on_end(void *, enum exchange_result);
static void write_answer_head(
    struct detour *, const struct http_head *, enum detour_answer);
static void begin_answer(struct detour *);
static void answer(struct detour *, enum detour_answer);
static void attempt_done(struct detour *);

static const struct acceptor_ops acceptor_ops = {
	.accepted = on_accepted,
};

static const struct conn_ops detour_conn_ops = {
	.data = on_data,
	.closed = on_closed,
	.drained = on_drained,
};

static const struct expiry_ops detour_expiry_ops = {
	.has_input = has_input,
	.expired = on_expired,
};

static const struct http_reader_ops request_ops = {
	.head = on_request_head,
	.body = on_request_body,
	.end = on_request_end,
};

static const struct exchange_ops replica_ops = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

struct detour_server *
detour_server_create(struct entry *e, struct err *err)
{
	struct detour_server *s;
	char addr[ADDR_SIZE];

	s = mem_alloc(sizeof(*s));
	s->e = e;
	TAILQ_INIT(&s->detours);
	detour_address(e->self.addr, addr);
	s->acceptor = acceptor_create(e->loop, addr, &acceptor_ops, s, err);
	if (s->acceptor == NULL) {
		free(s);
		return NULL;
	}
	return s;
}

void
detour_server_destroy(struct detour_server *s)
{
	if (s == NULL)
		return;
	acceptor_destroy(s->acceptor);
	while (!TAILQ_EMPTY(&s->detours))
		detour_destroy(TAILQ_FIRST(&s->detours));
	free(s);
}

int
detour_server_is_idle(const struct detour_server *s)
{
	return s->in_progress == 0;
}

void
detour_server_write_metrics(const struct detour_server *s, FILE *f)
{
	int i;

	metric_write(f, "spindle_entry_peers_attempts", "gauge",
	    "Attempts of peers that are passed on.", s->in_progress);
	metric_write(f, "spindle_entry_peers_attempts_total", "counter",
	    "Attempts of peers.", s->total);
	fprintf(f,
	    "# HELP spindle_entry_peers_answers_total Answers to peers.\n"
	    "# TYPE spindle_entry_peers_answers_total counter\n");
	for (i = 0; i < DETOUR_UNKNOWN; i++)
		fprintf(f,
		    "spindle_entry_peers_answers_total{answer=\"%s\"} %llu\n",
		    detour_answer_name((enum detour_answer)i),
		    (unsigned long long)s->answers[i]);
}

/* A peer that has just started may not be known yet. */
static int
is_from_peer(const struct entry *e, int fd)
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);
	char ip[INET_ADDRSTRLEN];

	return getpeername(fd, (struct sockaddr *)&sa, &len) == 0 &&
	    sa.sin_family == AF_INET &&
	    inet_ntop(AF_INET, &sa.sin_addr, ip, sizeof(ip)) != NULL &&
	    peers_has_ip(e->peers, ip);
}

static void
on_accepted(void *ctx, int fd)
{
	struct detour_server *s = ctx;
	struct detour *d;

	entry_update_now(s->e);
	d = mem_alloc(sizeof(*d));
	d->server = s;
	d->from_peer = is_from_peer(s->e, fd);
	d->reader = http_reader_create(HTTP_READ_REQUESTS, &request_ops, d);
	d->expiry = expiry_create(s->e->loop, &detour_expiry_ops, d);
	expiry_set(d->expiry, s->e->now + IDLE_NS);
	TAILQ_INSERT_TAIL(&s->detours, d, entry);
	d->conn = conn_accept(s->e->loop, fd, &detour_conn_ops, d);
}

/* Closes both connections, so that the replica stops. */
static void
detour_destroy(struct detour *d)
{
	if (d->exchange != NULL) {
		exchange_cancel(d->exchange);
		d->server->in_progress--;
	}
	expiry_destroy(d->expiry);
	TAILQ_REMOVE(&d->server->detours, d, entry);
	conn_destroy(d->conn);
	http_reader_destroy(d->reader);
	buf_free(&d->request);
	buf_free(&d->head);
	free(d);
}

static int
has_input(void *ctx)
{
	const struct detour *d = ctx;

	return d->exchange != NULL ? exchange_has_input(d->exchange)
				   : conn_has_input(d->conn);
}

static void
on_expired(void *ctx)
{
	struct detour *d = ctx;

	entry_update_now(d->server->e);
	detour_destroy(d);
}

static void
on_closed(void *ctx, int error)
{
	struct detour *d = ctx;

	(void)error;
	entry_update_now(d->server->e);
	detour_destroy(d);
}

static void
on_drained(void *ctx)
{
	struct detour *d = ctx;

	if (!d->read_paused || d->exchange == NULL)
		return;
	d->read_paused = 0;
	exchange_set_reading(d->exchange, 1);
}

static void
on_request_head(void *ctx, const struct http_head *h)
{
	(void)ctx;
	(void)h;
}

static void
on_request_body(void *ctx, const char *p, size_t len)
{
	struct detour *d = ctx;

	d->too_large |= buf_len(&d->request) + len > REQUEST_MAX_BYTES;
	if (!d->too_large && d->from_peer)
		buf_add(&d->request, p, len);
}

static void
on_request_end(void *ctx)
{
	struct detour *d = ctx;

	d->request_complete = 1;
}

/* A peer sends one attempt at a time on a connection. */
static void
on_data(void *ctx, const char *p, size_t len)
{
	struct detour *d = ctx;
	struct entry *e = d->server->e;
	long n;

	entry_update_now(e);
	if (d->exchange != NULL) {
		detour_destroy(d);
		return;
	}
	n = http_reader_feed(d->reader, p, len);
	if (n < 0 || d->too_large ||
	    (d->request_complete && (size_t)n != len)) {
		detour_destroy(d);
		return;
	}
	if (d->request_complete)
		start(d);
	else
		expiry_set(d->expiry, e->now + IDLE_NS);
}

static uint64_t
field_number(const struct http_head *h, const char *name)
{
	const char *s = http_field_find(h, name);

	return s == NULL ? 0 : strtoull(s, NULL, 10);
}

static int
read_fields(struct detour *d)
{
	const struct http_head *h = http_reader_head(d->reader);
	const char *replica = http_field_find(h, DETOUR_FIELD_REPLICA);
	const char *id = http_field_find(h, DETOUR_FIELD_ID);

	if (strcmp(http_request_target(h), DETOUR_TARGET) != 0 ||
	    replica == NULL || id == NULL ||
	    strlen(replica) >= sizeof(d->replica) ||
	    strlen(id) >= sizeof(d->id))
		return -1;
	snprintf(d->replica, sizeof(d->replica), "%s", replica);
	snprintf(d->id, sizeof(d->id), "%s", id);
	d->started_ms = field_number(h, DETOUR_FIELD_STARTED);
	return 0;
}

static struct directory_replica *
find_replica(const struct detour *d)
{
	struct directory_replica *m =
	    directory_find(&d->server->e->dir, d->replica);

	return m != NULL && m->info.started_ms == d->started_ms ? m : NULL;
}

/* Why an attempt is not passed on; DETOUR_REPLICA if it is. */
static enum detour_answer
refusal(const struct detour *d, const struct directory_replica *m,
    const struct exchange_conn *conn)
{
	const struct entry *e = d->server->e;
	uint64_t deadline = e->now +
	    field_number(http_reader_head(d->reader), DETOUR_FIELD_TIMEOUT) *
		NSEC_PER_MSEC;

	if (!d->from_peer || !stop_may_start(&e->stop, e->now, deadline) ||
	    detour_io_mode(e) == REACH_NONE ||
	    d->server->in_progress >= ATTEMPTS_MAX)
		return DETOUR_NO_PATH;
	/* What it has told this process binds this process. */
	if (m == NULL || !directory_usable(m, e->now))
		return DETOUR_UNREACHABLE;
	if (detour_io_is_needed(e, m->info.addr, conn))
		return DETOUR_NO_PATH;
	return DETOUR_REPLICA;
}

static void
start(struct detour *d)
{
	struct exchange_conn conn;
	struct detour_server *s = d->server;
	struct directory_replica *m;
	enum detour_answer why;

	s->total++;
	if (read_fields(d) == -1) {
		detour_destroy(d);
		return;
	}
	m = find_replica(d);
	conn = conn_of(d);
	why = refusal(d, m, &conn);
	if (why == DETOUR_REPLICA)
		send_to_replica(d, m, &conn);
	else
		answer(d, why);
}

/* Which connection to the replica the attempt may use. */
static struct exchange_conn
conn_of(const struct detour *d)
{
	const struct http_head *h = http_reader_head(d->reader);
	struct exchange_conn conn = { 0 };

	conn.reuse_ns = field_number(h, DETOUR_FIELD_REUSE) * NSEC_PER_MSEC;
	conn.tag = hash_text(d->id);
	conn.single_use = http_field_find(h, DETOUR_FIELD_NO_BODY) != NULL;
	return conn;
}

static void
send_to_replica(struct detour *d, const struct directory_replica *m,
    const struct exchange_conn *conn)
{
	const struct http_head *h = http_reader_head(d->reader);
	struct detour_server *s = d->server;
	struct log_subject about = { 0 };

	d->sent_at = s->e->now;
	expiry_set(d->expiry,
	    s->e->now + field_number(h, DETOUR_FIELD_TIMEOUT) * NSEC_PER_MSEC);
	s->in_progress++;
	d->exchange =
	    exchange_start(s->e->replicas, m->info.addr, conn, &replica_ops, d);
	if (conn->single_use)
		exchange_expect_no_body(d->exchange);
	exchange_send(d->exchange, buf_data(&d->request), buf_len(&d->request));
	buf_free(&d->request);
	about.call = d->id;
	about.backend = d->replica;
	log_event(LOG_DETOUR_SERVED, &about, "fresh=%d in_progress=%u",
	    exchange_has_new_conn(d->exchange), s->in_progress);
}

static void
on_connected(void *ctx)
{
	struct detour *d = ctx;

	entry_update_now(d->server->e);
	detour_io_connected(d->server->e);
}

/* What the replica says of itself concerns this process as well. */
static int
on_head(void *ctx, const struct http_head *h)
{
	struct detour *d = ctx;
	struct entry *e = d->server->e;
	struct directory_replica *m = find_replica(d);
	struct replica_answer a = { d->id, d->started_ms, d->sent_at,
		h->status };
	struct response_info t;

	entry_update_now(e);
	detour_io_heard(e);
	fields_decode_response(h, d->id, &t);
	if (m != NULL)
		replica_notice_apply(e, m, &a, &t);
	if (t.has_id && !t.id_matches)
		return 1;
	exchange_set_keep_alive(d->exchange, t.keep_alive_ns);
	write_answer_head(
	    d, h, h->close_delimited ? DETOUR_REPLICA_CLOSES : DETOUR_REPLICA);
	return 0;
}

static void
write_answer_head(
    struct detour *d, const struct http_head *h, enum detour_answer a)
{
	struct buf *out = &d->head;
	size_t i;

	d->bodiless = h->status == 204 || h->status == 304;
	d->server->answers[a]++;
	buf_printf(out, "HTTP/1.1 %d %s\r\n" DETOUR_FIELD_PATH ": %s\r\n",
	    h->status, http_reason_phrase(h->status), detour_answer_name(a));
	for (i = 0; i < h->nfields; i++) {
		if (!http_field_is_hop_by_hop(h, http_field_name(h, i)))
			buf_printf(out, "%s: %s\r\n", http_field_name(h, i),
			    http_field_value(h, i));
	}
	if (!d->bodiless)
		buf_add_string(out, "Transfer-Encoding: chunked\r\n");
	buf_add_string(out, "\r\n");
}

/* The head goes out with the first bytes of the body. */
static void
begin_answer(struct detour *d)
{
	if (d->answering)
		return;
	d->answering = 1;
	conn_write(d->conn, buf_data(&d->head), buf_len(&d->head));
	buf_free(&d->head);
}

static int
on_body(void *ctx, const char *p, size_t len)
{
	struct detour *d = ctx;
	struct buf out = { 0 };

	if (len == 0 || d->bodiless)
		return 0;
	entry_update_now(d->server->e);
	detour_io_heard(d->server->e);
	begin_answer(d);
	buf_printf(&out, "%zx\r\n", len);
	buf_add(&out, p, len);
	buf_add_string(&out, "\r\n");
	conn_write(d->conn, buf_data(&out), buf_len(&out));
	buf_free(&out);
	if (conn_unsent_bytes(d->conn) > READ_PAUSE_BYTES && !d->read_paused) {
		d->read_paused = 1;
		exchange_set_reading(d->exchange, 0);
	}
	return 0;
}

static void
on_end(void *ctx, enum exchange_result end)
{
	struct detour *d = ctx;
	struct entry *e = d->server->e;
	struct directory_replica *m = find_replica(d);

	entry_update_now(e);
	d->exchange = NULL;
	d->server->in_progress--;
	switch (end) {
	case EXCHANGE_COMPLETE:
		begin_answer(d);
		if (!d->bodiless)
			conn_write(d->conn, "0\r\n\r\n", 5);
		attempt_done(d);
		return;
	case EXCHANGE_NOT_SENT:
		if (m != NULL)
			detour_io_not_connected(e, m);
		/* This process may be cut off as well, and not know yet. */
		answer(d,
		    detour_io_hears_others(e) ? DETOUR_UNREACHABLE
					      : DETOUR_NO_PATH);
		return;
	case EXCHANGE_NO_RESPONSE:
		answer(d, DETOUR_SILENT);
		return;
	default:
		break;
	}
	if (!d->answering) {
		answer(d, DETOUR_BROKEN);
		return;
	}
	/* The missing last chunk shows that the answer is incomplete. */
	conn_close_after_flush(d->conn, &e->flushing);
	d->conn = NULL;
	detour_destroy(d);
}

/* An answer of this process: the replica has sent none. */
static void
answer(struct detour *d, enum detour_answer a)
{
	struct buf out = { 0 };

	d->server->answers[a]++;
	buf_printf(&out,
	    "HTTP/1.1 %d %s\r\n" DETOUR_FIELD_PATH
	    ": %s\r\nContent-Length: 0\r\n\r\n",
	    STATUS_NO_ANSWER, http_reason_phrase(STATUS_NO_ANSWER),
	    detour_answer_name(a));
	conn_write(d->conn, buf_data(&out), buf_len(&out));
	buf_free(&out);
	attempt_done(d);
}

/* Prepares for the next attempt. */
static void
attempt_done(struct detour *d)
{
	d->request_complete = 0;
	d->answering = 0;
	d->bodiless = 0;
	d->read_paused = 0;
	buf_free(&d->request);
	buf_free(&d->head);
	http_reader_reset(d->reader);
	expiry_set(d->expiry, d->server->e->now + IDLE_NS);
}
