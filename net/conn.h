/*
 * TCP connection on the event loop: received data goes to a callback, output
 * is buffered.  A callback may destroy the connection; the connection is not
 * accessed after a callback has returned.
 */
#ifndef CONN_H
#define CONN_H

#include <ev.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "err.h"

struct conn;

/* Connections that are being closed. */
TAILQ_HEAD(conn_list, conn);

struct conn_ops {
	/*
	 * An outgoing connection is established, and nothing has been sent yet;
	 * may be NULL.  Returns 1 if it destroyed the connection.
	 */
	int (*connected)(void *);
	void (*data)(void *, const char *, size_t);
	/* The peer closed its side (0) or the connection failed (errno). */
	void (*closed)(void *, int);
	/* The output buffer is empty; may be NULL. */
	void (*drained)(void *);
};

/* Takes ownership of an accepted, non-blocking descriptor. */
struct conn *conn_accept(
    struct ev_loop *, int, const struct conn_ops *, void *);
/* Connects to "IP:port"; a later failure is reported by closed(). */
struct conn *conn_connect(struct ev_loop *, const char *,
    const struct conn_ops *, void *, struct err *);
/* Closes immediately and discards unsent output. */
void conn_destroy(struct conn *);
/* Sends RST, so that the peer does not take a partial message as complete. */
void conn_abort(struct conn *);
/*
 * Flushes the output buffer, sends FIN, then closes; no callback follows.  It
 * is in the list until it is closed, since a close with input unread would
 * discard what the peer has not received.
 */
void conn_close_after_flush(struct conn *, struct conn_list *);
/*
 * The same, but once everything has been sent, what comes is not read: the peer
 * is reset, which tells it so.
 */
void conn_close_idle(struct conn *, struct conn_list *);
void conn_write(struct conn *, const void *, size_t);
/* Whether the peer has closed its side, even if bytes are still unread. */
int conn_peer_closed(const struct conn *);
/*
 * Whether the loop has yet to handle received bytes, the peer's end, or the
 * result of connecting.
 */
int conn_has_input(const struct conn *);
/*
 * Whether the peer has acknowledged nothing since a time, monotonic ns, though
 * bytes that were sent wait for it.
 */
int conn_is_unacked(const struct conn *, uint64_t);
/* Output bytes not yet accepted by the kernel. */
size_t conn_unsent_bytes(const struct conn *);
/* The same of all connections of a list. */
size_t conn_list_unsent_bytes(const struct conn_list *);
/* Whether nothing is left that the peer still has time to read. */
int conn_is_flushed(const struct conn *);
/* The same of all connections of a list. */
int conn_list_is_flushed(const struct conn_list *);
void conn_clear_sent(struct conn *);
/* Whether any byte was passed to the kernel since conn_clear_sent(). */
int conn_has_sent(const struct conn *);
/* A peer that is alive but does not read is not cut off before this time. */
void conn_keep_until(struct conn *, uint64_t);
/*
 * Closes all connections of a list; those with unsent bytes are reset, so that
 * an answer that ends with its connection does not look complete.
 */
void conn_list_destroy(struct conn_list *);
/* Pauses (0) or resumes (1) reading. */
void conn_set_reading(struct conn *, int);
/* Returns a listening socket on "IP:port", or -1 with err set. */
int conn_listen(const char *, struct err *);

#endif
