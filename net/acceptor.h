/*
 * Accepts connections on a listening socket.  When it fails, for example for
 * want of a descriptor, it pauses, since the socket stays readable.
 */
#ifndef ACCEPTOR_H
#define ACCEPTOR_H

#include <ev.h>

#include "err.h"

struct acceptor;

struct acceptor_ops {
	/* Takes over a non-blocking descriptor. */
	void (*accepted)(void *, int);
	/* Accepting has failed with an errno; may be NULL. */
	void (*failed)(void *, int);
};

/* Listens on "IP:port"; NULL with the error filled in if it cannot. */
struct acceptor *acceptor_create(struct ev_loop *, const char *,
    const struct acceptor_ops *, void *, struct err *);
/*
 * Accepts the connections in the backlog first, since closing the socket would
 * reset them.
 */
void acceptor_destroy(struct acceptor *);

#endif
