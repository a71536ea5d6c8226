/*
 * A process that cannot connect to replicas serves its callers through a peer:
 * both processes, a replica and a caller on loopback, in one program.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "acceptor.h"
#include "conn.h"
#include "detour_io.h"
#include "detour_server.h"
#include "entry_fixture.h"
#include "peers_int.h"
#include "poison_io.h"
#include "unit.h"

#define REPLICAS 3 /* so many failures show a cut */
#define TURNS_MAX 4000
#define TURN_USEC 500
#define CLOSED_PORT 9 /* nobody listens there */
#define ROUTE(name, kind, more)                                                \
	"{\"name\":\"" name "\",\"host\":\"h\",\"path_prefix\":\"/" name       \
	"/\",\"kind\":\"" kind "\",\"service\":\"s\",\"timeout_ms\":20000,"    \
	"\"target_latency_ms\":1000,\"max_attempts\":2" more "}"
#define ID "Arbutusspindle-Attempt-Id"
#define SIGNED                                                                 \
	"HTTP/1.1 200 OK\r\n" ID                                               \
	": c-1\r\nArbutusspindle-Response-Signature: x\r\n"
#define PLAIN SIGNED "Content-Length: 5\r\n\r\nhello"

static const char config[] =
    "{\"version\":1,\"routes\":[" ROUTE("read", "idempotent", "") "," ROUTE(
	"order", "non_idempotent", "") "," ROUTE("stream", "streaming",
	",\"resumable\":true") "],\"services\":["
			       "{\"name\":\"s\",\"health_path\":\"/"
			       "health\",\"max_conns\":100}]}";

/* One replica process, whatever its entry in the list. */
struct replica {
	struct acceptor *acceptor;
	struct conn *conn; /* the latest */
	struct buf received;
	uint32_t requests;
	uint32_t closed; /* by the other side */
	const char *answer;
	int breaks_off; /* after the answer */
};

struct world {
	struct entry cut; /* reaches no replica */
	struct entry peer;
	struct listener *listener;
	struct replica replica;
	char listen[ADDR_SIZE];
	int caller;
	struct buf answer;
	int answer_ended;
	int peer_stands_still;
};

static struct world w;

static void replica_accepted(void *, int);
static void replica_data(void *, const char *, size_t);
static void replica_closed(void *, int);
static int free_port(void);
static void list_replicas(struct entry *, int);
static void put_peer(struct entry *, const struct entry *);
static void start(int, const char *);
static void finish(void);
static void hear_peer(void);
static void turn(void);
static int wait_for(int (*)(void));
static void ask(const char *, const char *);
static int has_answer(void);
static int has_five_requests(void);
static int has_request(void);
static int has_event(void);
static int has_last_chunk(void);
static int replica_is_left(void);
static int answer_contains(const char *);
static void test_plain_request(void);
static void test_at_most_once(void);
static void test_events_as_they_come(void);
static void test_caller_leaves(void);
static void test_answer_breaks_off(void);
static void test_replica_closes_at_once(void);
static void test_peer_is_cut_off(void);
static void test_peer_stands_still(void);
static void test_stranger(void);

static const struct acceptor_ops replica_acceptor_ops = {
	.accepted = replica_accepted,
};

static const struct conn_ops replica_conn_ops = {
	.data = replica_data,
	.closed = replica_closed,
};

static void
replica_accepted(void *ctx, int fd)
{
	struct replica *r = ctx;

	if (r->conn != NULL)
		conn_destroy(r->conn);
	r->conn = conn_accept(w.peer.loop, fd, &replica_conn_ops, r);
}

static void
replica_data(void *ctx, const char *p, size_t len)
{
	struct replica *r = ctx;

	buf_add(&r->received, p, len);
	if (memmem(buf_data(&r->received), buf_len(&r->received), "\r\n\r\n",
		4) == NULL)
		return;
	r->requests++;
	buf_free(&r->received);
	if (r->answer != NULL)
		conn_write(r->conn, r->answer, strlen(r->answer));
	if (r->breaks_off) {
		conn_close_after_flush(r->conn, &w.peer.flushing);
		r->conn = NULL;
	}
}

static void
replica_closed(void *ctx, int error)
{
	struct replica *r = ctx;

	(void)error;
	r->closed++;
	conn_destroy(r->conn);
	r->conn = NULL;
}

static int
free_port(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	CU_ASSERT_EQUAL_FATAL(getsockname(fd, (struct sockaddr *)&sa, &len), 0);
	close(fd);
	return ntohs(sa.sin_port);
}

/* The same replicas, which one process finds at a port where nobody is. */
static void
list_replicas(struct entry *e, int port)
{
	struct fleet_replica r;
	int i;

	for (i = 0; i < REPLICAS; i++) {
		memset(&r, 0, sizeof(r));
		snprintf(r.id, sizeof(r.id), "i-%d", i);
		snprintf(r.service, sizeof(r.service), "s");
		snprintf(r.addr, sizeof(r.addr), "127.0.0.1:%d", port);
		r.slots = 8;
		r.started_ms = 5;
		directory_put(&e->dir, &r);
	}
}

static void
put_peer(struct entry *e, const struct entry *other)
{
	char value[128];
	struct msg *m;

	snprintf(value, sizeof(value), "{\"bus\":\"%s\",\"weight\":1}",
	    other->self.addr);
	peers_set_listed(e->peers, other->boot.vm, value);
	/* It has been heard. */
	m = msg_create(MSG_FRONT, e->self.addr);
	snprintf(m->from.addr, sizeof(m->from.addr), "%s", other->self.addr);
	m->from.incarnation = 1;
	m->seq = 1;
	m->u.front.has_evidence = 1;
	CU_ASSERT_EQUAL(ring_push(e->peers->inbox, m), 0);
	while (ring_count(e->peers->inbox) != 0)
		ev_run(e->loop, EVRUN_ONCE);
}

static void
start(int peer_port, const char *answer)
{
	struct err err;
	int port = free_port();

	memset(&w, 0, sizeof(w));
	entry_fixture_start(&w.cut, 0);
	entry_fixture_start(&w.peer, 4);
	entry_fixture_serve(&w.cut, config);
	entry_fixture_serve(&w.peer, config);
	w.peer.detour_server = detour_server_create(&w.peer, &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w.peer.detour_server);
	put_peer(&w.cut, &w.peer);
	put_peer(&w.peer, &w.cut);
	snprintf(w.listen, sizeof(w.listen), "127.0.0.1:%d", port);
	w.replica.answer = answer;
	w.replica.acceptor = acceptor_create(
	    w.peer.loop, w.listen, &replica_acceptor_ops, &w.replica, &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w.replica.acceptor);
	list_replicas(&w.cut, CLOSED_PORT);
	list_replicas(&w.peer, peer_port == 0 ? port : peer_port);
	snprintf(w.cut.boot.listen, sizeof(w.cut.boot.listen), "127.0.0.1:%d",
	    free_port());
	w.listener = listener_create(&w.cut, &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w.listener);
	w.caller = -1;
}

static void
finish(void)
{
	if (w.caller != -1)
		close(w.caller);
	listener_destroy(w.listener);
	acceptor_destroy(w.replica.acceptor);
	conn_destroy(w.replica.conn);
	buf_free(&w.replica.received);
	buf_free(&w.answer);
	detour_server_destroy(w.peer.detour_server);
	entry_fixture_end_serving(&w.cut);
	entry_fixture_end_serving(&w.peer);
	entry_fixture_stop(&w.cut);
	entry_fixture_stop(&w.peer);
}

/* The peer reports all the time, unless it stands still. */
static void
hear_peer(void)
{
	struct peer *q;

	for (q = w.cut.peers->peers; q != NULL; q = q->hh.next)
		q->hub.heard_at = w.cut.now;
}

/* One turn of both loops and of the caller. */
static void
turn(void)
{
	char chunk[4096];
	ssize_t n;

	ev_run(w.cut.loop, EVRUN_NOWAIT);
	entry_update_now(&w.cut);
	if (!w.peer_stands_still) {
		ev_run(w.peer.loop, EVRUN_NOWAIT);
		hear_peer();
	}
	poison_io_tick(w.cut.poison_io);
	detour_io_tick(&w.cut);
	forward_retry_waiting(&w.cut);
	if (w.caller != -1 && !w.answer_ended) {
		n = recv(w.caller, chunk, sizeof(chunk), MSG_DONTWAIT);
		if (n > 0)
			buf_add(&w.answer, chunk, (size_t)n);
		w.answer_ended = n == 0;
	}
	usleep(TURN_USEC);
}

static int
wait_for(int (*happened)(void))
{
	int i;

	for (i = 0; i < TURNS_MAX && !happened(); i++)
		turn();
	return happened();
}

static void
ask(const char *method, const char *route)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	char text[512];
	int len;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((uint16_t)atoi(strchr(w.cut.boot.listen, ':') + 1));
	w.caller = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
	    connect(w.caller, (struct sockaddr *)&sa, sizeof(sa)), 0);
	len = snprintf(text, sizeof(text),
	    "%s /%s/x HTTP/1.1\r\nHost: h\r\n" ID
	    ": c-1\r\nSpindle-Replica: i-9\r\nSpindle-Path: replica\r\n"
	    "Arbutusspindle-Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n",
	    method, route);
	CU_ASSERT_EQUAL_FATAL(
	    send(w.caller, text, (size_t)len, MSG_NOSIGNAL), len);
}

static int
answer_contains(const char *text)
{
	return memmem(buf_data(&w.answer), buf_len(&w.answer), text,
		   strlen(text)) != NULL;
}

static int
has_answer(void)
{
	return answer_contains("hello") || answer_contains("HTTP/1.1 5") ||
	    w.answer_ended;
}

static int
has_request(void)
{
	return w.replica.requests != 0;
}

static int
has_five_requests(void)
{
	return w.replica.requests == 5;
}

static int
has_event(void)
{
	return answer_contains("data: one");
}

static int
has_last_chunk(void)
{
	return answer_contains("\r\n0\r\n\r\n") || w.answer_ended;
}

static int
replica_is_left(void)
{
	return w.replica.closed != 0;
}

static void
test_plain_request(void)
{
	int i;

	start(0, PLAIN);
	for (i = 0; i < 5; i++) {
		ask("POST", "read");
		CU_ASSERT(wait_for(has_answer));
		CU_ASSERT(answer_contains("HTTP/1.1 200"));
		CU_ASSERT(answer_contains("hello"));
		CU_ASSERT(!answer_contains("Spindle-Path"));
		close(w.caller);
		buf_free(&w.answer);
		w.answer_ended = 0;
	}
	w.caller = -1;
	CU_ASSERT(has_five_requests());
	CU_ASSERT_NOT_EQUAL(detour_io_mode(&w.cut), REACH_DIRECT);
	finish();
}

static void
test_at_most_once(void)
{
	start(0, PLAIN);
	ask("POST", "order");
	CU_ASSERT(wait_for(has_answer));
	CU_ASSERT(answer_contains("HTTP/1.1 200"));
	CU_ASSERT_EQUAL(w.replica.requests, 1);
	finish();
}

static void
test_events_as_they_come(void)
{
	static const char second[] = "id: 2\ndata: two\n\n";

	start(0,
	    SIGNED "Content-Type: text/event-stream\r\n\r\n"
		   "id: 1\ndata: one\n\n");
	ask("POST", "stream");
	CU_ASSERT(wait_for(has_event));
	CU_ASSERT(!answer_contains("data: two"));
	conn_write(w.replica.conn, second, strlen(second));
	conn_close_after_flush(w.replica.conn, &w.peer.flushing);
	w.replica.conn = NULL;
	CU_ASSERT(wait_for(has_last_chunk));
	CU_ASSERT(answer_contains("data: two"));
	CU_ASSERT(!w.answer_ended);
	finish();
}

static void
test_caller_leaves(void)
{
	start(0, NULL);
	ask("POST", "read");
	CU_ASSERT(wait_for(has_request));
	close(w.caller);
	w.caller = -1;
	CU_ASSERT(wait_for(replica_is_left));
	CU_ASSERT_EQUAL(w.replica.requests, 1);
	finish();
}

/* Of an answer that has begun, nothing looks complete. */
static void
test_answer_breaks_off(void)
{
	start(0, SIGNED "Content-Length: 50\r\n\r\nhel");
	w.replica.breaks_off = 1;
	ask("POST", "order");
	CU_ASSERT(wait_for(has_answer));
	CU_ASSERT(answer_contains("HTTP/1.1 502"));
	CU_ASSERT(!answer_contains("hel"));
	CU_ASSERT_EQUAL(w.replica.requests, 1);
	finish();
}

/* A request that was sent may have run: not refused, and not repeated. */
static void
test_replica_closes_at_once(void)
{
	start(0, NULL);
	w.replica.breaks_off = 1;
	ask("POST", "order");
	CU_ASSERT(wait_for(has_answer));
	CU_ASSERT(answer_contains("HTTP/1.1 502"));
	CU_ASSERT_EQUAL(w.replica.requests, 1);
	finish();
}

/* Nothing is sent over two hops; the caller is told when to return. */
static void
test_peer_is_cut_off(void)
{
	int i;

	start(CLOSED_PORT, PLAIN);
	for (i = 0; i < REPLICAS; i++)
		detour_io_not_connected(&w.peer,
		    directory_find(&w.peer.dir,
			i == 0	     ? "i-0"
			    : i == 1 ? "i-1"
				     : "i-2"));
	CU_ASSERT_EQUAL(detour_io_mode(&w.peer), REACH_NONE);
	ask("POST", "order");
	CU_ASSERT(wait_for(has_answer));
	CU_ASSERT(answer_contains("HTTP/1.1 503"));
	CU_ASSERT(answer_contains("Retry-After"));
	CU_ASSERT_EQUAL(w.replica.requests, 0);
	finish();
}

/* A request that may be repeated does not wait for a peer that is frozen. */
static void
test_peer_stands_still(void)
{
	start(0, NULL);
	ask("POST", "read");
	CU_ASSERT(wait_for(has_request));
	w.peer_stands_still = 1;
	CU_ASSERT(wait_for(has_answer));
	CU_ASSERT(answer_contains("HTTP/1.1 502"));
	CU_ASSERT_EQUAL(w.replica.requests, 1);
	finish();
}

/* The address for peers serves nobody else. */
static void
test_stranger(void)
{
	static const char text[] =
	    "POST " DETOUR_TARGET " HTTP/1.1\r\n" DETOUR_FIELD_REPLICA
	    ": i-0\r\n" DETOUR_FIELD_STARTED ": 5\r\n" DETOUR_FIELD_ID
	    ": c-1\r\n" DETOUR_FIELD_TIMEOUT ": 9000\r\nContent-Length: 18"
	    "\r\n\r\nGET / HTTP/1.1\r\n\r\n";
	struct sockaddr_in sa = { .sin_family = AF_INET };
	struct sockaddr_in from = { .sin_family = AF_INET };
	char addr[ADDR_SIZE];

	start(0, PLAIN);
	detour_address(w.peer.self.addr, addr);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((uint16_t)atoi(strchr(addr, ':') + 1));
	from.sin_addr.s_addr = inet_addr("127.0.0.77");
	w.caller = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL(
	    bind(w.caller, (struct sockaddr *)&from, sizeof(from)), 0);
	CU_ASSERT_EQUAL(
	    connect(w.caller, (struct sockaddr *)&sa, sizeof(sa)), 0);
	(void)send(w.caller, text, strlen(text), MSG_NOSIGNAL);
	CU_ASSERT(wait_for(has_answer));
	CU_ASSERT(answer_contains("HTTP/1.1 502"));
	CU_ASSERT(answer_contains(DETOUR_FIELD_PATH ": no-path"));
	CU_ASSERT_EQUAL(w.replica.requests, 0);
	finish();
}

static const struct unit_case cases[] = {
	{ "a plain request", test_plain_request },
	{ "at most once", test_at_most_once },
	{ "events as they come", test_events_as_they_come },
	{ "the caller leaves", test_caller_leaves },
	{ "the answer breaks off", test_answer_breaks_off },
	{ "the replica closes at once", test_replica_closes_at_once },
	{ "the peer is cut off", test_peer_is_cut_off },
	{ "the peer stands still", test_peer_stands_still },
	{ "a stranger", test_stranger },
};

UNIT_MAIN("detour", cases)
