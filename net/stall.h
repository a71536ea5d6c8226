/*
 * A peer that is alive but does not read keeps its connection for a time.  The
 * kernel would end a connection whose window is closed after TCP_USER_TIMEOUT,
 * though its probes are answered.  Without TCP_INFO only the kernel decides.
 */
#ifndef STALL_H
#define STALL_H

#include <ev.h>
#include <stdint.h>

/* What the kernel has to send, and when the peer last answered. */
struct stall_info {
	uint32_t unsent_bytes;
	uint32_t unacked_segments;
	uint32_t unanswered_probes;
	uint64_t sent_at; /* last segment with data */
	uint64_t acked_at;
};

/* Times of the observation, 0 for none. */
struct stall_times {
	uint64_t since; /* when the first bytes were written */
	uint64_t checked_at;
	uint64_t unanswered_since;
};

enum stall_state {
	STALL_NONE,    /* nothing is to be sent */
	STALL_UNKNOWN, /* the peer has acknowledged nothing since */
	STALL_ALIVE,
	STALL_GONE,
};

/* Decides from plain numbers alone, and updates the times. */
enum stall_state stall_judge(
    struct stall_times *, const struct stall_info *, uint64_t now);

struct stall;

/*
 * Watches a descriptor.  The callback says that the peer is gone; it may
 * destroy the watch.
 */
struct stall *stall_create(struct ev_loop *, int, void (*gone)(void *), void *);
void stall_destroy(struct stall *);
/* Bytes were written. */
void stall_written(struct stall *);
/* A peer that is alive but does not read keeps the connection until then. */
void stall_keep_until(struct stall *, uint64_t);
/* Whether bytes wait for an acknowledgement, and none has come since a time. */
int stall_is_unacked(const struct stall *, uint64_t);
/* Whether the kernel has bytes that the peer still has time to read. */
int stall_is_unread(const struct stall *);

#endif
