#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base.h"
#include "clock.h"
#include "mem.h"
#include "stall.h"

#define USER_TIMEOUT_MSEC 3000 /* limit for unacknowledged data */
#define FIRST_CHECK_S 1.0
#define CHECK_S 0.25
/* After a longer pause of the process, an answer may not be in yet. */
#define CHECK_LATE_NS (500 * NSEC_PER_MSEC)
/*
 * The kernel's limit is put this far ahead.  The kernel sends its next probe
 * before its limit: so a probe is sent at least this often.
 */
#define AHEAD_NS (1500 * NSEC_PER_MSEC)
/* A peer is gone that has been silent so long, with this long to answer. */
#define SILENT_NS (3 * NSEC_PER_SEC)
#define UNANSWERED_NS (1500 * NSEC_PER_MSEC)
/* TCP_CLOSE of netinet/tcp.h, which cannot be used beside linux/tcp.h. */
#define STATE_CLOSED 7

struct stall {
	struct ev_loop *loop;
	ev_timer timer;
	void (*gone)(void *);
	void *ctx;
	struct stall_times times;
	uint64_t keep_until;
	int fd;
	int info_missing;
	unsigned limit_msec; /* TCP_USER_TIMEOUT in force */
};

static uint64_t stall_time_of(uint64_t, uint32_t);
static int stall_read_info(const struct stall *, struct stall_info *, uint64_t);
static void stall_set_limit(struct stall *, unsigned);
static void stall_extend(struct stall *, uint64_t);
static void stall_check(struct ev_loop *, ev_timer *, int);

enum stall_state
stall_judge(struct stall_times *t, const struct stall_info *i, uint64_t now)
{
	int late = now > t->checked_at + CHECK_LATE_NS;
	int waits = i->unanswered_probes != 0 ||
	    (i->unacked_segments != 0 && i->sent_at > i->acked_at);

	t->checked_at = now;
	if (i->unsent_bytes == 0 && i->unacked_segments == 0)
		return STALL_NONE;
	if (!waits)
		t->unanswered_since = 0;
	else if (t->unanswered_since == 0 || late ||
	    i->acked_at > t->unanswered_since)
		t->unanswered_since = now;
	if (i->acked_at < t->since)
		return STALL_UNKNOWN;
	if (waits && now >= t->unanswered_since + UNANSWERED_NS &&
	    now >= i->acked_at + SILENT_NS)
		return STALL_GONE;
	return STALL_ALIVE;
}

static uint64_t
stall_time_of(uint64_t now, uint32_t age_msec)
{
	uint64_t age_ns = age_msec * NSEC_PER_MSEC;

	return age_ns < now ? now - age_ns : 0;
}

/* Returns -1 if the kernel does not tell. */
static int
stall_read_info(const struct stall *s, struct stall_info *i, uint64_t now)
{
	struct tcp_info k;
	socklen_t len = sizeof(k);

	memset(&k, 0, sizeof(k));
	if (getsockopt(s->fd, IPPROTO_TCP, TCP_INFO, &k, &len) == -1 ||
	    len < offsetof(struct tcp_info, tcpi_notsent_bytes) +
		    sizeof(k.tcpi_notsent_bytes))
		return -1;
	i->unsent_bytes =
	    k.tcpi_state == STATE_CLOSED ? 0 : k.tcpi_notsent_bytes;
	i->unacked_segments = k.tcpi_state == STATE_CLOSED ? 0 : k.tcpi_unacked;
	i->unanswered_probes = k.tcpi_probes;
	i->sent_at = stall_time_of(now, k.tcpi_last_data_sent);
	i->acked_at = stall_time_of(now, k.tcpi_last_ack_recv);
	return 0;
}

struct stall *
stall_create(struct ev_loop *loop, int fd, void (*gone)(void *), void *ctx)
{
	struct stall *s;

	s = mem_alloc(sizeof(*s));
	s->loop = loop;
	s->fd = fd;
	s->gone = gone;
	s->ctx = ctx;
	ev_timer_init(&s->timer, stall_check, FIRST_CHECK_S, CHECK_S);
	ev_set_priority(&s->timer, EV_MINPRI);
	s->timer.data = s;
	stall_set_limit(s, USER_TIMEOUT_MSEC);
	return s;
}

void
stall_destroy(struct stall *s)
{
	if (s == NULL)
		return;
	ev_timer_stop(s->loop, &s->timer);
	free(s);
}

static void
stall_set_limit(struct stall *s, unsigned msec)
{
	if (s->limit_msec == msec)
		return;
	s->limit_msec = msec;
	setsockopt(s->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &msec, sizeof(msec));
}

/*
 * The kernel counts from when the window closed, not before times.since, and
 * goes on counting while the window opens for less than a segment that waits.
 */
static void
stall_extend(struct stall *s, uint64_t now)
{
	uint64_t msec = (now - s->times.since + AHEAD_NS) / NSEC_PER_MSEC;

	if (msec < USER_TIMEOUT_MSEC || now >= s->keep_until)
		msec = USER_TIMEOUT_MSEC;
	stall_set_limit(s, (unsigned)msec);
}

void
stall_written(struct stall *s)
{
	if (s->info_missing || ev_is_active(&s->timer))
		return;
	s->times.since = clock_mono();
	s->times.checked_at = s->times.since;
	s->times.unanswered_since = 0;
	ev_timer_set(&s->timer, FIRST_CHECK_S, CHECK_S);
	ev_timer_start(s->loop, &s->timer);
}

void
stall_keep_until(struct stall *s, uint64_t at)
{
	s->keep_until = at;
}

int
stall_is_unread(const struct stall *s)
{
	struct stall_info i;
	uint64_t now = clock_mono();

	if (s->info_missing || now >= s->keep_until ||
	    stall_read_info(s, &i, now) == -1)
		return 0;
	return i.unsent_bytes != 0 || i.unacked_segments != 0;
}

int
stall_is_unacked(const struct stall *s, uint64_t since)
{
	struct stall_info i;

	if (s->info_missing || stall_read_info(s, &i, clock_mono()) == -1)
		return 0;
	return i.unacked_segments != 0 && i.acked_at < since;
}

static void
stall_check(struct ev_loop *loop, ev_timer *w, int events)
{
	struct stall *s = w->data;
	struct stall_info i;
	uint64_t now = clock_mono();

	(void)events;
	if (stall_read_info(s, &i, now) == -1) {
		s->info_missing = 1;
		ev_timer_stop(loop, w);
		return;
	}
	switch (stall_judge(&s->times, &i, now)) {
	case STALL_NONE:
		ev_timer_stop(loop, w);
		stall_set_limit(s, USER_TIMEOUT_MSEC);
		return;
	case STALL_ALIVE:
		stall_extend(s, now);
		return;
	case STALL_GONE:
		ev_timer_stop(loop, w);
		stall_set_limit(s, USER_TIMEOUT_MSEC);
		s->gone(s->ctx);
		return;
	default:
		return;
	}
}
