#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <zmq.h>

#include "bus.h"
#include "clock.h"
#include "log.h"
#include "mem.h"
#include "ring.h"
#include "wire.h"

#define BUS_RING_SIZE 16384
#define BUS_PEER_HWM 512
#define BUS_RECEIVE_HWM 16384
#define BUS_MESSAGE_MAX_BYTES 1200000
#define BUS_HEARTBEAT_MSEC 1000
#define BUS_HEARTBEAT_TIMEOUT_MSEC 2000 /* unresponsive: reconnect */
#define BUS_RECONNECT_MSEC 100
#define BUS_RECONNECT_MAX_MSEC 1000
#define BUS_CONNECT_MSEC 1000
#define BUS_BATCH 256 /* messages sent or received in a row */
#define BUS_POLL_MSEC 200
#define BUS_PEER_IDLE_NS (60 * NSEC_PER_SEC)

struct peer {
	char addr[ADDR_SIZE];
	void *socket;
	uint64_t last_sent;
	UT_hash_handle hh;
};

struct bus {
	struct node_id self;
	void *zmq;
	void *pull;
	struct ring *out;
	pthread_t thread;
	int stop;
	void (*on_message)(void *, struct msg *);
	void *ctx;
	struct peer *peers;
	uint64_t seq;
	uint64_t last_idle_check;
	struct bus_counts counts;
};

static void *bus_run(void *);
static void bus_receive_all(struct bus *);
static void bus_send_all(struct bus *);
static void bus_send_one(struct bus *, struct msg *);
static struct peer *bus_get_peer(struct bus *, const char *);
static void bus_set_heartbeat(void *);
static void bus_close_idle_peers(struct bus *);
static void counter_add(uint64_t *, uint64_t);

static void
counter_add(uint64_t *counter, uint64_t n)
{
	__atomic_fetch_add(counter, n, __ATOMIC_RELAXED);
}

struct bus *
bus_create(const struct node_id *self, void (*on_message)(void *, struct msg *),
    void *ctx, struct err *e)
{
	struct bus *b;
	char url[ADDR_SIZE + 8];
	int64_t max_size = BUS_MESSAGE_MAX_BYTES;
	int hwm = BUS_RECEIVE_HWM;
	int linger = 0;

	b = mem_alloc(sizeof(*b));
	b->self = *self;
	b->on_message = on_message;
	b->ctx = ctx;
	b->zmq = zmq_ctx_new();
	b->pull = zmq_socket(b->zmq, ZMQ_PULL);
	zmq_setsockopt(b->pull, ZMQ_RCVHWM, &hwm, sizeof(hwm));
	zmq_setsockopt(b->pull, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(b->pull, ZMQ_MAXMSGSIZE, &max_size, sizeof(max_size));
	snprintf(url, sizeof(url), "tcp://%s", self->addr);
	if (zmq_bind(b->pull, url) == -1) {
		err_set(e, ERR_SYSTEM,
		    "cannot bind bus address %s: %s; free the address or "
		    "configure another",
		    self->addr, zmq_strerror(zmq_errno()));
		zmq_close(b->pull);
		zmq_ctx_term(b->zmq);
		free(b);
		return NULL;
	}
	b->out = ring_create(BUS_RING_SIZE);
	pthread_create(&b->thread, NULL, bus_run, b);
	return b;
}

void
bus_destroy(struct bus *b)
{
	struct peer *p, *next;
	struct msg *m;

	if (b == NULL)
		return;
	__atomic_store_n(&b->stop, 1, __ATOMIC_RELEASE);
	ring_close(b->out);
	pthread_join(b->thread, NULL);
	while ((m = ring_pop(b->out, 0)) != NULL)
		msg_destroy(m);
	HASH_ITER (hh, b->peers, p, next) {
		HASH_DEL(b->peers, p);
		zmq_close(p->socket);
		free(p);
	}
	zmq_close(b->pull);
	zmq_ctx_term(b->zmq);
	ring_destroy(b->out);
	free(b);
}

void
bus_send(struct bus *b, struct msg *m)
{
	if (ring_push(b->out, m) == -1) {
		counter_add(&b->counts.dropped, 1);
		log_event(LOG_BUS_DROPPED, NULL, "to %s, not queued", m->to);
		msg_destroy(m);
	}
}

void
bus_counts(const struct bus *b, struct bus_counts *out)
{
	out->received = __atomic_load_n(&b->counts.received, __ATOMIC_RELAXED);
	out->received_bytes =
	    __atomic_load_n(&b->counts.received_bytes, __ATOMIC_RELAXED);
	out->sent = __atomic_load_n(&b->counts.sent, __ATOMIC_RELAXED);
	out->sent_bytes =
	    __atomic_load_n(&b->counts.sent_bytes, __ATOMIC_RELAXED);
	out->malformed =
	    __atomic_load_n(&b->counts.malformed, __ATOMIC_RELAXED);
	out->dropped = __atomic_load_n(&b->counts.dropped, __ATOMIC_RELAXED);
}

/* Connections may fail without a reset: heartbeats detect it. */
static void
bus_set_heartbeat(void *socket)
{
	int interval = BUS_HEARTBEAT_MSEC;
	int timeout = BUS_HEARTBEAT_TIMEOUT_MSEC;
	int reconnect = BUS_RECONNECT_MSEC;
	int reconnect_max = BUS_RECONNECT_MAX_MSEC;
	int connect = BUS_CONNECT_MSEC;

	zmq_setsockopt(socket, ZMQ_HEARTBEAT_IVL, &interval, sizeof(interval));
	zmq_setsockopt(
	    socket, ZMQ_HEARTBEAT_TIMEOUT, &timeout, sizeof(timeout));
	zmq_setsockopt(
	    socket, ZMQ_RECONNECT_IVL, &reconnect, sizeof(reconnect));
	zmq_setsockopt(socket, ZMQ_RECONNECT_IVL_MAX, &reconnect_max,
	    sizeof(reconnect_max));
	zmq_setsockopt(socket, ZMQ_CONNECT_TIMEOUT, &connect, sizeof(connect));
}

static struct peer *
bus_get_peer(struct bus *b, const char *addr)
{
	struct peer *p;
	char url[ADDR_SIZE + 8];
	int hwm = BUS_PEER_HWM;
	int linger = 0;
	int on = 1;

	HASH_FIND_STR(b->peers, addr, p);
	if (p != NULL)
		return p;
	p = mem_alloc(sizeof(*p));
	snprintf(p->addr, sizeof(p->addr), "%s", addr);
	p->socket = zmq_socket(b->zmq, ZMQ_PUSH);
	zmq_setsockopt(p->socket, ZMQ_SNDHWM, &hwm, sizeof(hwm));
	zmq_setsockopt(p->socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(p->socket, ZMQ_TCP_KEEPALIVE, &on, sizeof(on));
	bus_set_heartbeat(p->socket);
	snprintf(url, sizeof(url), "tcp://%s", addr);
	if (zmq_connect(p->socket, url) == -1) {
		zmq_close(p->socket);
		free(p);
		return NULL;
	}
	HASH_ADD_STR(b->peers, addr, p);
	return p;
}

/* Closes sockets of peers that were not sent to within BUS_PEER_IDLE_NS. */
static void
bus_close_idle_peers(struct bus *b)
{
	struct peer *p, *next;
	uint64_t now = clock_mono();

	if (now < b->last_idle_check + BUS_PEER_IDLE_NS)
		return;
	b->last_idle_check = now;
	HASH_ITER (hh, b->peers, p, next) {
		if (now < p->last_sent + BUS_PEER_IDLE_NS)
			continue;
		HASH_DEL(b->peers, p);
		zmq_close(p->socket);
		free(p);
	}
}

static void
bus_send_one(struct bus *b, struct msg *m)
{
	struct peer *p;
	char *buf;
	size_t len;

	m->from = b->self;
	m->seq = ++b->seq;
	p = bus_get_peer(b, m->to);
	if (p == NULL) {
		counter_add(&b->counts.dropped, 1);
		return;
	}
	p->last_sent = clock_mono();
	wire_encode(m, &buf, &len);
	if (zmq_send(p->socket, buf, len, ZMQ_DONTWAIT) == -1) {
		counter_add(&b->counts.dropped, 1);
		log_event(LOG_BUS_DROPPED, NULL, "to %s", m->to);
	} else {
		counter_add(&b->counts.sent, 1);
		counter_add(&b->counts.sent_bytes, len);
	}
	free(buf);
}

static void
bus_send_all(struct bus *b)
{
	struct msg *m;
	int i;

	for (i = 0; i < BUS_BATCH; i++) {
		m = ring_pop(b->out, 0);
		if (m == NULL)
			return;
		bus_send_one(b, m);
		msg_destroy(m);
	}
}

static void
bus_receive_all(struct bus *b)
{
	struct err e;
	struct msg *m;
	zmq_msg_t frame;
	int i;

	for (i = 0; i < BUS_BATCH; i++) {
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, b->pull, ZMQ_DONTWAIT) == -1) {
			zmq_msg_close(&frame);
			return;
		}
		counter_add(&b->counts.received, 1);
		counter_add(&b->counts.received_bytes, zmq_msg_size(&frame));
		m = wire_decode(zmq_msg_data(&frame), zmq_msg_size(&frame), &e);
		zmq_msg_close(&frame);
		if (m == NULL) {
			counter_add(&b->counts.malformed, 1);
			/* Expected during a rolling replacement. */
			if (e.kind != ERR_UNSUPPORTED)
				log_event(LOG_BUS_BAD, NULL, "%s", e.text);
			continue;
		}
		b->on_message(b->ctx, m);
	}
}

static void *
bus_run(void *arg)
{
	struct bus *b = arg;
	zmq_pollitem_t items[2];

	memset(items, 0, sizeof(items));
	items[0].socket = b->pull;
	items[0].events = ZMQ_POLLIN;
	items[1].fd = ring_fd(b->out);
	items[1].events = ZMQ_POLLIN;
	while (!__atomic_load_n(&b->stop, __ATOMIC_ACQUIRE)) {
		zmq_poll(items, 2, BUS_POLL_MSEC);
		bus_receive_all(b);
		bus_send_all(b);
		bus_close_idle_peers(b);
	}
	bus_send_all(b);
	return NULL;
}
