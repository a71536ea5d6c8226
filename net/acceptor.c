#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "acceptor.h"
#include "conn.h"
#include "mem.h"

#define ACCEPT_BATCH 64 /* connections accepted per event */
#define ACCEPT_PAUSE_S 0.1

struct acceptor {
	struct ev_loop *loop;
	const struct acceptor_ops *ops;
	void *ctx;
	ev_io io;
	ev_timer pause;
};

static int acceptor_accept(struct acceptor *);
static int is_lasting(int);
static void on_readable(struct ev_loop *, ev_io *, int);
static void on_pause_end(struct ev_loop *, ev_timer *, int);

struct acceptor *
acceptor_create(struct ev_loop *loop, const char *addr,
    const struct acceptor_ops *ops, void *ctx, struct err *err)
{
	struct acceptor *a;
	int fd;

	fd = conn_listen(addr, err);
	if (fd == -1)
		return NULL;
	a = mem_alloc(sizeof(*a));
	a->loop = loop;
	a->ops = ops;
	a->ctx = ctx;
	ev_io_init(&a->io, on_readable, fd, EV_READ);
	ev_timer_init(&a->pause, on_pause_end, ACCEPT_PAUSE_S, 0.0);
	a->io.data = a;
	a->pause.data = a;
	ev_io_start(loop, &a->io);
	return a;
}

void
acceptor_destroy(struct acceptor *a)
{
	if (a == NULL)
		return;
	ev_io_stop(a->loop, &a->io);
	ev_timer_stop(a->loop, &a->pause);
	while (acceptor_accept(a) == 0)
		continue;
	close(a->io.fd);
	free(a);
}

/* Accepts one connection; returns an errno if there is none. */
static int
acceptor_accept(struct acceptor *a)
{
	int fd;

	fd = accept4(a->io.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd == -1)
		return errno;
	a->ops->accepted(a->ctx, fd);
	return 0;
}

/* Whether the next attempt is likely to fail as well. */
static int
is_lasting(int error)
{
	return error != EAGAIN && error != EWOULDBLOCK && error != EINTR &&
	    error != ECONNABORTED;
}

static void
on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct acceptor *a = w->data;
	int error = 0;
	int i;

	(void)events;
	for (i = 0; i < ACCEPT_BATCH && error == 0; i++)
		error = acceptor_accept(a);
	if (error == 0 || !is_lasting(error))
		return;
	ev_io_stop(loop, &a->io);
	ev_timer_set(&a->pause, ACCEPT_PAUSE_S, 0.0);
	ev_timer_start(loop, &a->pause);
	if (a->ops->failed != NULL)
		a->ops->failed(a->ctx, error);
}

static void
on_pause_end(struct ev_loop *loop, ev_timer *w, int events)
{
	struct acceptor *a = w->data;

	(void)events;
	ev_io_start(loop, &a->io);
}
