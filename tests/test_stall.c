/* Peers that answer nothing, or little. */
#include <ev.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base.h"
#include "stall.h"
#include "unit.h"

struct silent_peer;
static uint64_t find_gone(const struct silent_peer *);
static void test_peer_gone(void);
static void count_gone(void *);
static void test_without_tcp_info(void);

/*
 * A peer to which the kernel sends a segment or a probe every gap_msec; it
 * answers at once up to a time.  Times count from when bytes were written.
 */
struct silent_peer {
	const char *name;
	uint32_t unsent_bytes;
	uint32_t unacked_segments;
	uint64_t gap_msec;
	uint64_t answers_from_msec;
	uint64_t answers_to_msec;
	uint64_t pause_from_msec; /* of the process */
	uint64_t pause_to_msec;
	uint64_t gone_msec;	/* when it is found to be gone, 0 for never */
	enum stall_state state; /* at 2 s */
};

#define OBSERVED_MSEC 60000ULL
#define CHECK_MSEC 250ULL
#define START_MSEC 100000ULL

static const struct silent_peer silent_peers[] = {
	{ "closed window, alive", 1, 0, 1500, 0, 60000, 0, 0, 0, STALL_ALIVE },
	{ "closed window, rare probes", 1, 0, 12000, 0, 60000, 0, 0, 0,
	    STALL_ALIVE },
	{ "closed window, then gone", 1, 0, 1500, 0, 9100, 0, 0, 12000,
	    STALL_ALIVE },
	{ "closed window, gone between probes", 1, 0, 1500, 0, 10400, 0, 0,
	    12000, STALL_ALIVE },
	{ "closed window, one probe lost", 1, 0, 1500, 1501, 60000, 0, 0, 0,
	    STALL_ALIVE },
	{ "segments sent, alive", 0, 1, 400, 0, 60000, 0, 0, 0, STALL_ALIVE },
	{ "segments sent, then gone", 0, 2, 400, 0, 9999, 0, 0, 12750,
	    STALL_ALIVE },
	{ "shrunk window, rare segments", 1, 1, 6000, 0, 60000, 0, 0, 0,
	    STALL_ALIVE },
	{ "the kernel decides: never answered", 0, 1, 400, 0, 0, 0, 0, 0,
	    STALL_UNKNOWN },
	{ "alive, process paused", 1, 0, 1500, 0, 60000, 9000, 14000, 0,
	    STALL_ALIVE },
	{ "gone while the process was paused", 1, 0, 1500, 0, 9100, 9100, 20000,
	    21500, STALL_ALIVE },
	{ "all is sent", 0, 0, 400, 0, 60000, 0, 0, 0, STALL_NONE },
};

/* Time at which the peer is found to be gone, 0 for never. */
static uint64_t
find_gone(const struct silent_peer *p)
{
	uint64_t start = START_MSEC * NSEC_PER_MSEC;
	struct stall_times t = { start, start, 0 };
	struct stall_info i = { p->unsent_bytes, p->unacked_segments, 0,
		start - 1, start };
	enum stall_state state;
	uint64_t ms;

	if (p->answers_to_msec == 0)
		i.acked_at = start - NSEC_PER_SEC;
	for (ms = 1; ms < OBSERVED_MSEC; ms++) {
		if (ms % p->gap_msec == 0) {
			i.sent_at = start + ms * NSEC_PER_MSEC;
			i.unanswered_probes += p->unacked_segments == 0;
			if (ms >= p->answers_from_msec &&
			    ms < p->answers_to_msec) {
				i.acked_at = i.sent_at;
				i.unanswered_probes = 0;
			}
		}
		if (ms % CHECK_MSEC != 0 || ms < 4 * CHECK_MSEC ||
		    (ms >= p->pause_from_msec && ms < p->pause_to_msec))
			continue;
		state = stall_judge(&t, &i, start + ms * NSEC_PER_MSEC);
		if (state == STALL_GONE)
			return ms;
		if (ms == 2000)
			CU_ASSERT_EQUAL(state, p->state);
	}
	return 0;
}

/* A peer is gone that answers nothing for about 3 s, and none that is slow. */
static void
test_peer_gone(void)
{
	size_t i;
	uint64_t found;

	for (i = 0; i < nitems(silent_peers); i++) {
		found = find_gone(&silent_peers[i]);
		if (found != silent_peers[i].gone_msec)
			printf("%s: %llu\n", silent_peers[i].name,
			    (unsigned long long)found);
		CU_ASSERT_EQUAL(found, silent_peers[i].gone_msec);
	}
}

static void
count_gone(void *ctx)
{
	++*(int *)ctx;
}

/* Where the kernel does not tell, only the kernel ends connections. */
static void
test_without_tcp_info(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct stall *s;
	int ngone = 0;
	int fds[2];

	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	s = stall_create(loop, fds[0], count_gone, &ngone);
	stall_keep_until(s, TIME_NEVER);
	CU_ASSERT_EQUAL(send(fds[0], "x", 1, 0), 1);
	stall_written(s);
	CU_ASSERT(!stall_is_unread(s));
	ev_run(loop, 0); /* until no timer is left */
	CU_ASSERT_EQUAL(ngone, 0);
	CU_ASSERT_EQUAL(ev_iteration(loop), 1);
	stall_destroy(s);
	close(fds[0]);
	close(fds[1]);
	ev_loop_destroy(loop);
}

static const struct unit_case cases[] = {
	{ "silent peers", test_peer_gone },
	{ "without TCP_INFO", test_without_tcp_info },
};

UNIT_MAIN("stall", cases)
