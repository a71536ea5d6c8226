/*
 * One TCP connection on the event loop: reads are handed to a callback,
 * writes are buffered.  A callback may destroy the connection; nothing of it
 * is touched after a callback has returned.
 */
#ifndef CONN_H
#define CONN_H

#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"

struct conn;

struct conn_ops {
	/* An outgoing connection stands; may be NULL. */
	void (*connected)(void *);
	void (*data)(void *, const char *, size_t);
	/* The other side sent its last byte (0), or an errno. */
	void (*closed)(void *, int);
	/* All buffered output is written; may be NULL. */
	void (*drained)(void *);
};

/* Takes over an accepted, non-blocking descriptor. */
struct conn *conn_accept(
    struct ev_loop *, int, const struct conn_ops *, void *);
/* Opens a connection to "IP:port"; closed() tells of a failure. */
struct conn *conn_connect(struct ev_loop *, const char *,
    const struct conn_ops *, void *, struct err *);
/* Closes at once; unsent output is lost. */
void conn_destroy(struct conn *);
/* Resets the connection, so that nothing looks complete. */
void conn_abort(struct conn *);
/* Sends what is buffered and the end, then closes; no callback follows. */
void conn_close_after_flush(struct conn *);
void conn_write(struct conn *, const void *, size_t);
/* Bytes that the peer has not taken yet. */
size_t conn_pending(const struct conn *);
/* Whether any byte was handed to the kernel since the mark was set. */
void conn_clear_sent(struct conn *);
int conn_has_sent(const struct conn *);
/* Stops or restarts reading. */
void conn_set_reading(struct conn *, int);
/* Opens a listening socket on "IP:port"; -1 and err on failure. */
int conn_listen(const char *, struct err *);

#endif
