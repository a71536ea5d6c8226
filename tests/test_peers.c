/* Messages of other entry processes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "entry_fixture.h"
#include "loader_io.h"
#include "peers_int.h"
#include "permit_io.h"
#include "poison_io.h"
#include "query.h"
#include "session.h"
#include "unit.h"

#define MESSAGES 1000
#define PEERS 17U /* a large fleet */
#define ROUTES 1100U
/* Half of config_apply_ms on a link of 10 Mbit/s, for a whole data centre. */
#define DATA_CENTRE_BYTES (3000ULL / 2 * 10000 / 8)
#define DATA_CENTRE_PEERS 24U
#define SENDER ENTRY_FIXTURE_NOWHERE

/* Other input of the event loop. */
struct input {
	ev_io io;
	int fds[2];
	struct peers *peers;
	size_t waiting; /* messages when the input was handled */
	int handled;
};

static void push_messages(struct entry *, uint32_t);
static void on_input(struct ev_loop *, ev_io *, int);
static void test_other_input_beside_messages(void);
static void test_not_silent_while_messages_wait(void);
static void push_front(struct entry *, uint32_t, uint64_t, int, uint64_t);
static void push_report(struct entry *, uint32_t, uint64_t, int);
static void push_version(struct entry *, uint32_t, uint64_t, uint64_t);
static void report_all(struct entry *, uint64_t, int);
static void test_relay_that_stops(void);
static void add_route(struct buf *, uint32_t, uint64_t *);
static void apply_version(struct entry *, uint64_t);
static uint64_t wait_sent(struct entry *, uint64_t);
static void setup_relay(struct entry *);
static void finish_relay(struct entry *);
static void test_config_over_slow_link(void);
static void test_config_storm_over_slow_link(void);

static void
push_messages(struct entry *e, uint32_t n)
{
	struct msg *m;

	while (n-- > 0) {
		m = msg_create(MSG_WANT, e->self.addr);
		snprintf(m->from.addr, sizeof(m->from.addr), "%s", SENDER);
		m->from.incarnation = 1;
		snprintf(m->u.want.wanted, sizeof(m->u.want.wanted), "m/a1");
		CU_ASSERT_EQUAL(ring_push(e->peers->inbox, m), 0);
	}
}

static void
on_input(struct ev_loop *loop, ev_io *w, int events)
{
	struct input *in = w->data;

	(void)events;
	in->waiting = ring_count(in->peers->inbox);
	in->handled = 1;
	ev_io_stop(loop, w);
}

/* More messages than can be handled must not keep other input waiting. */
static void
test_other_input_beside_messages(void)
{
	struct entry e;
	struct input in;
	int i;

	entry_fixture_start(&e, 0);
	memset(&in, 0, sizeof(in));
	in.peers = e.peers;
	CU_ASSERT_EQUAL_FATAL(pipe(in.fds), 0);
	CU_ASSERT_EQUAL(write(in.fds[1], "x", 1), 1);
	ev_io_init(&in.io, on_input, in.fds[0], EV_READ);
	in.io.data = &in;
	push_messages(&e, MESSAGES);
	/* Only the messages are there at first. */
	ev_run(e.loop, EVRUN_ONCE);
	ev_io_start(e.loop, &in.io);
	for (i = 0; i < MESSAGES && !in.handled; i++)
		ev_run(e.loop, EVRUN_ONCE);
	CU_ASSERT(in.handled);
	CU_ASSERT(in.waiting > 0);
	for (i = 0; i < MESSAGES && ring_count(e.peers->inbox) != 0; i++)
		ev_run(e.loop, EVRUN_ONCE);
	CU_ASSERT_EQUAL(ring_count(e.peers->inbox), 0);
	close(in.fds[0]);
	close(in.fds[1]);
	entry_fixture_stop(&e);
}

/* What a peer has sent may wait for long after a delay of this process. */
static void
test_not_silent_while_messages_wait(void)
{
	struct entry e;
	struct peer *q;

	entry_fixture_start(&e, 0);
	push_messages(&e, 1);
	ev_run(e.loop, EVRUN_ONCE);
	q = e.peers->peers;
	CU_ASSERT_PTR_NOT_NULL_FATAL(q);
	if (q == NULL)
		return;
	CU_ASSERT(q->reachable);
	q->hub.heard_at = 0;
	push_messages(&e, MESSAGES);
	peers_tick(e.peers);
	CU_ASSERT(ring_count(e.peers->inbox) != 0);
	CU_ASSERT(q->reachable);
	entry_fixture_stop(&e);
}

static void
push_report(struct entry *e, uint32_t peer, uint64_t seq, int stopping)
{
	push_front(e, peer, seq, stopping, 0);
}

static void
push_version(struct entry *e, uint32_t peer, uint64_t seq, uint64_t version)
{
	push_front(e, peer, seq, 0, version);
}

/* The first peer has the largest CPU share, the second the next. */
static void
push_front(struct entry *e, uint32_t peer, uint64_t seq, int stopping,
    uint64_t version)
{
	struct msg *m = msg_create(MSG_FRONT, e->self.addr);

	snprintf(m->from.addr, sizeof(m->from.addr), "127.0.0.1:%u", 2 + peer);
	m->from.incarnation = 1;
	m->seq = seq;
	snprintf(m->u.front.vm, sizeof(m->u.front.vm), "vm-%u", 2 + peer);
	m->u.front.scope = FRONT_OWN;
	m->u.front.weight = peer == 0 ? 100 : peer == 1 ? 50 : 12;
	m->u.front.stopping = (uint32_t)stopping;
	m->u.front.version = version;
	CU_ASSERT_EQUAL(ring_push(e->peers->inbox, m), 0);
}

static void
report_all(struct entry *e, uint64_t seq, int first_stops)
{
	uint32_t i;

	for (i = 0; i < PEERS; i++)
		push_report(e, i, seq, i == 0 && first_stops);
	entry_update_now(e);
	peers_tick(e->peers);
}

/* It goes on reporting, so that it never becomes silent. */
static void
test_relay_that_stops(void)
{
	struct entry e;

	entry_fixture_start(&e, 0);
	report_all(&e, 1, 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(e.peers->relay);
	CU_ASSERT_STRING_EQUAL(e.peers->relay->addr, "127.0.0.1:2");
	CU_ASSERT_STRING_EQUAL(e.peers->hubs[0]->addr, "127.0.0.1:2");
	report_all(&e, 2, 1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(e.peers->relay);
	CU_ASSERT_STRING_EQUAL(e.peers->relay->addr, "127.0.0.1:3");
	CU_ASSERT_STRING_EQUAL(e.peers->hubs[0]->addr, "127.0.0.1:3");
	/* Started again. */
	report_all(&e, 3, 0);
	CU_ASSERT_STRING_EQUAL(e.peers->relay->addr, "127.0.0.1:2");
	entry_fixture_stop(&e);
}

/* Names are random, since they limit how far a text can be compressed. */
static void
add_route(struct buf *out, uint32_t i, uint64_t *state)
{
	uint64_t name;

	*state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
	name = *state >> 24;
	buf_printf(out,
	    "%s{\"name\":\"r-%07llx\",\"host\":\"h%llx.example\","
	    "\"path_prefix\":\"/%010llx/\",\"kind\":\"streaming\","
	    "\"service\":\"s1\",\"timeout_ms\":%u,"
	    "\"target_latency_ms\":600,\"target_gap_ms\":300,"
	    "\"priority\":%u,\"max_attempts\":3,\"resumable\":true}",
	    i == 0 ? "" : ",", (unsigned long long)(name & 0xfffffff),
	    (unsigned long long)(name % 13), (unsigned long long)name,
	    9000 + (unsigned)(name % 5) * 1000, (unsigned)(name % 4));
}

static void
apply_version(struct entry *e, uint64_t version)
{
	struct buf out = { 0 };
	uint64_t state = version;
	uint32_t i;

	buf_printf(&out, "{\"version\":%llu,\"services\":[],\"routes\":[",
	    (unsigned long long)version);
	for (i = 0; i < ROUTES; i++)
		add_route(&out, i, &state);
	buf_add_string(&out, "]}");
	entry_receive_config(e, buf_data(&out), buf_len(&out), "store");
	buf_free(&out);
	while (e->conf == NULL || e->conf->version != version)
		ev_run(e->loop, EVRUN_ONCE);
}

/* Returns the bytes that were sent once the messages have been. */
static uint64_t
wait_sent(struct entry *e, uint64_t messages)
{
	struct timespec pause = { 0, 10000000 };
	struct bus_counts c;
	int i;

	for (i = 0; i < 1000; i++) {
		bus_counts(e->peers->bus, &c);
		if (c.sent + c.dropped >= messages)
			break;
		nanosleep(&pause, NULL);
	}
	/* Messages beyond that number are counted, too. */
	nanosleep(&pause, NULL);
	bus_counts(e->peers->bus, &c);
	CU_ASSERT_EQUAL(c.dropped, 0);
	return c.sent_bytes;
}

/* This process is the relay of its data centre. */
static void
setup_relay(struct entry *e)
{
	uint32_t i;

	entry_fixture_start(e, 0);
	e->peers->weight = 200;
	for (i = 0; i < DATA_CENTRE_PEERS; i++)
		push_report(e, i, 1, 0);
	entry_update_now(e);
	peers_tick(e->peers);
	CU_ASSERT(peers_is_relay(e->peers));
}

static void
finish_relay(struct entry *e)
{
	fleet_conf_destroy(e->conf);
	free(e->conf_text);
	free(e->conf_packed);
	entry_fixture_stop(e);
}

static void
test_config_over_slow_link(void)
{
	struct entry e;

	setup_relay(&e);
	apply_version(&e, 1);
	CU_ASSERT(wait_sent(&e, DATA_CENTRE_PEERS) < DATA_CENTRE_BYTES);
	finish_relay(&e);
}

/* Versions come faster than the link carries them; the newest goes next. */
static void
test_config_storm_over_slow_link(void)
{
	struct entry e;
	uint64_t version;
	uint64_t sent;
	uint32_t i;

	setup_relay(&e);
	for (version = 1; version <= 10; version++)
		apply_version(&e, version);
	sent = wait_sent(&e, DATA_CENTRE_PEERS);
	CU_ASSERT(sent < DATA_CENTRE_BYTES);
	/* All report the first one. */
	for (i = 0; i < DATA_CENTRE_PEERS; i++)
		push_version(&e, i, 2, 1);
	peers_tick(e.peers);
	sent = wait_sent(&e, 2ULL * DATA_CENTRE_PEERS) - sent;
	CU_ASSERT(sent > e.conf_packed_len * DATA_CENTRE_PEERS);
	CU_ASSERT(sent < DATA_CENTRE_BYTES);
	finish_relay(&e);
}

static const struct unit_case cases[] = {
	{ "a configuration over a slow link", test_config_over_slow_link },
	{ "a storm of configurations over a slow link",
	    test_config_storm_over_slow_link },
	{ "a relay that stops", test_relay_that_stops },
	{ "other input beside many messages",
	    test_other_input_beside_messages },
	{ "not silent while messages wait",
	    test_not_silent_while_messages_wait },
};

UNIT_MAIN("peers", cases)
