/* Deadlines on an event loop that has been delayed. */
#include <ev.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base.h"
#include "clock.h"
#include "expiry.h"
#include "unit.h"

/* More than an epoll loop handles in its first turn. */
#define PEERS 300
#define DELAY_NS (20 * NSEC_PER_MSEC)

/* A peer that sends one byte, which must come before the deadline. */
struct peer {
	int fds[2];
	ev_io io;
	struct expiry *expiry;
	int received;
	int expired;
	uint64_t expired_at;
};

static int has_input(void *);
static int always_input(void *);
static void on_expired(void *);
static void on_destroying(void *);
static void on_readable(struct ev_loop *, ev_io *, int);
static void delay_loop(void);
static void test_input_first(void);
static void test_without_input(void);
static void test_endless_input(void);
static void test_old_loop_time(void);
static void test_set_again(void);
static void test_destroyed_by_callback(void);

static const struct expiry_ops peer_ops = { has_input, on_expired };
static const struct expiry_ops endless_ops = { always_input, on_expired };
static const struct expiry_ops destroying_ops = { NULL, on_destroying };

static int
has_input(void *ctx)
{
	struct peer *p = ctx;
	struct pollfd pfd = { p->fds[0], POLLIN, 0 };

	return poll(&pfd, 1, 0) == 1;
}

static int
always_input(void *ctx)
{
	(void)ctx;
	return 1;
}

static void
on_expired(void *ctx)
{
	struct peer *p = ctx;

	p->expired++;
	p->expired_at = clock_mono();
}

static void
on_destroying(void *ctx)
{
	struct peer *p = ctx;

	p->expired++;
	expiry_destroy(p->expiry);
	p->expiry = NULL;
}

static void
on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct peer *p = w->data;
	char byte;

	(void)events;
	CU_ASSERT_EQUAL(read(w->fd, &byte, 1), 1);
	p->received++;
	expiry_stop(p->expiry);
	ev_io_stop(loop, w);
}

static void
delay_loop(void)
{
	struct timespec ts = { 0, (long)DELAY_NS };

	nanosleep(&ts, NULL);
}

/* All bytes arrive before the deadlines, while the loop does not run. */
static void
test_input_first(void)
{
	static struct peer peers[PEERS];
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	uint64_t deadline = clock_mono() + DELAY_NS / 2;
	int received = 0, expired = 0;
	int i;

	for (i = 0; i < PEERS; i++) {
		CU_ASSERT_EQUAL_FATAL(
		    socketpair(AF_UNIX, SOCK_STREAM, 0, peers[i].fds), 0);
		ev_io_init(&peers[i].io, on_readable, peers[i].fds[0], EV_READ);
		peers[i].io.data = &peers[i];
		ev_io_start(loop, &peers[i].io);
		peers[i].expiry = expiry_create(loop, &peer_ops, &peers[i]);
		expiry_set(peers[i].expiry, deadline);
		CU_ASSERT_EQUAL(write(peers[i].fds[1], "x", 1), 1);
	}
	delay_loop();
	ev_run(loop, 0);
	for (i = 0; i < PEERS; i++) {
		received += peers[i].received;
		expired += peers[i].expired;
		expiry_destroy(peers[i].expiry);
		close(peers[i].fds[0]);
		close(peers[i].fds[1]);
	}
	CU_ASSERT_EQUAL(received, PEERS);
	CU_ASSERT_EQUAL(expired, 0);
	ev_loop_destroy(loop);
}

static void
test_without_input(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct peer p = { 0 };
	uint64_t deadline = clock_mono() + DELAY_NS;

	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, p.fds), 0);
	p.expiry = expiry_create(loop, &peer_ops, &p);
	CU_ASSERT(!expiry_is_set(p.expiry));
	expiry_set(p.expiry, deadline);
	CU_ASSERT(expiry_is_set(p.expiry));
	ev_run(loop, 0);
	CU_ASSERT_EQUAL(p.expired, 1);
	CU_ASSERT(p.expired_at >= deadline);
	CU_ASSERT(!expiry_is_set(p.expiry));
	expiry_destroy(p.expiry);
	close(p.fds[0]);
	close(p.fds[1]);
	ev_loop_destroy(loop);
}

/* A peer that sends without end does not keep its deadline from passing. */
static void
test_endless_input(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct peer p = { 0 };
	int turns;

	p.expiry = expiry_create(loop, &endless_ops, &p);
	expiry_set(p.expiry, clock_mono());
	for (turns = 0; p.expired == 0 && turns < 20; turns++)
		ev_run(loop, EVRUN_ONCE);
	CU_ASSERT_EQUAL(p.expired, 1);
	expiry_destroy(p.expiry);
	ev_loop_destroy(loop);
}

/* The loop took its time before a delay: the deadline counts from now. */
static void
test_old_loop_time(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct peer p = { 0 };
	uint64_t deadline;

	delay_loop();
	deadline = clock_mono() + DELAY_NS / 2;
	p.expiry = expiry_create(loop, &destroying_ops, &p);
	expiry_destroy(p.expiry);
	p.expiry = expiry_create(loop, &endless_ops, &p);
	expiry_set(p.expiry, deadline);
	ev_run(loop, 0);
	CU_ASSERT_EQUAL(p.expired, 1);
	CU_ASSERT(p.expired_at >= deadline);
	expiry_destroy(p.expiry);
	ev_loop_destroy(loop);
}

static void
test_set_again(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct peer p = { 0 };
	uint64_t later = clock_mono() + 2 * DELAY_NS;

	p.expiry = expiry_create(loop, &endless_ops, &p);
	expiry_set(p.expiry, clock_mono());
	expiry_set(p.expiry, later);
	ev_run(loop, 0);
	CU_ASSERT_EQUAL(p.expired, 1);
	CU_ASSERT(p.expired_at >= later);
	expiry_set(p.expiry, clock_mono());
	expiry_stop(p.expiry);
	ev_run(loop, 0);
	CU_ASSERT_EQUAL(p.expired, 1);
	expiry_destroy(p.expiry);
	ev_loop_destroy(loop);
}

static void
test_destroyed_by_callback(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct peer p = { 0 };

	p.expiry = expiry_create(loop, &destroying_ops, &p);
	expiry_set(p.expiry, clock_mono());
	ev_run(loop, 0);
	CU_ASSERT_EQUAL(p.expired, 1);
	CU_ASSERT_PTR_NULL(p.expiry);
	ev_loop_destroy(loop);
}

static const struct unit_case cases[] = {
	{ "input before the deadline", test_input_first },
	{ "without input", test_without_input },
	{ "endless input", test_endless_input },
	{ "old loop time", test_old_loop_time },
	{ "set again", test_set_again },
	{ "destroyed by its callback", test_destroyed_by_callback },
};

UNIT_MAIN("expiry", cases)
