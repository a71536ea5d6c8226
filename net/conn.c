#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buf.h"
#include "check.h"
#include "conn.h"
#include "mem.h"
#include "stall.h"

#define CONN_READ_SIZE 65536
#define CONN_BACKLOG 1024
/* TCP keepalive detects an unresponsive peer within 3 s. */
#define CONN_KEEPALIVE_IDLE_S 1
#define CONN_KEEPALIVE_INTERVAL_S 1
#define CONN_KEEPALIVE_PROBES 2
#define CONN_LINGER_S 1.0 /* wait for the peer's FIN after ours */

struct conn {
	TAILQ_ENTRY(conn) entry;
	struct conn_list *flushing; /* which it is in, or NULL */
	struct ev_loop *loop;
	const struct conn_ops *ops;
	void *ctx;
	ev_io read_watcher;
	ev_io write_watcher;
	ev_timer linger_timer;
	struct stall *stall;
	int fd;
	int connecting;
	int closing;
	int sent;
	int send_error; /* errno of a failed send, 0 for none */
	struct buf out;
};

static struct conn *conn_new(
    struct ev_loop *, int, const struct conn_ops *, void *);
static void conn_set_options(int);
static void conn_on_read(struct ev_loop *, ev_io *, int);
static void conn_on_write(struct ev_loop *, ev_io *, int);
static void conn_on_linger(struct ev_loop *, ev_timer *, int);
static void conn_on_gone(void *);
static int conn_flush(struct conn *);
static void conn_on_connect(struct conn *);
static void conn_end_sending(struct conn *);
static void conn_end_flush(struct conn *);
static void conn_shutdown_write(struct conn *);
static int conn_parse_address(const char *, struct sockaddr_in *, struct err *);

static void
conn_set_options(int fd)
{
	int on = 1;
	int idle = CONN_KEEPALIVE_IDLE_S;
	int interval = CONN_KEEPALIVE_INTERVAL_S;
	int probes = CONN_KEEPALIVE_PROBES;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static struct conn *
conn_new(struct ev_loop *loop, int fd, const struct conn_ops *ops, void *ctx)
{
	struct conn *c;

	c = mem_alloc(sizeof(*c));
	c->loop = loop;
	c->ops = ops;
	c->ctx = ctx;
	c->fd = fd;
	ev_io_init(&c->read_watcher, conn_on_read, fd, EV_READ);
	ev_io_init(&c->write_watcher, conn_on_write, fd, EV_WRITE);
	ev_timer_init(&c->linger_timer, conn_on_linger, CONN_LINGER_S, 0.0);
	c->read_watcher.data = c;
	c->write_watcher.data = c;
	c->linger_timer.data = c;
	c->stall = stall_create(loop, fd, conn_on_gone, c);
	return c;
}

struct conn *
conn_accept(struct ev_loop *loop, int fd, const struct conn_ops *ops, void *ctx)
{
	struct conn *c;

	conn_set_options(fd);
	c = conn_new(loop, fd, ops, ctx);
	ev_io_start(loop, &c->read_watcher);
	return c;
}

static int
conn_parse_address(const char *addr, struct sockaddr_in *sa, struct err *e)
{
	char ip[ADDR_SIZE];
	uint16_t port;

	memset(sa, 0, sizeof(*sa));
	if (check_parse_addr(addr, ip, sizeof(ip), &port) == -1)
		return err_set(e, ERR_FORMAT,
		    "address %s is not IP:port; correct the address", addr);
	sa->sin_family = AF_INET;
	sa->sin_port = htons(port);
	if (inet_pton(AF_INET, ip, &sa->sin_addr) != 1)
		return err_set(e, ERR_FORMAT,
		    "address %s is not IPv4; use an IPv4 address", addr);
	return 0;
}

struct conn *
conn_connect(struct ev_loop *loop, const char *addr, const struct conn_ops *ops,
    void *ctx, struct err *e)
{
	struct sockaddr_in sa;
	struct conn *c;
	int fd;

	if (conn_parse_address(addr, &sa, e) == -1)
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd == -1) {
		err_set(e, ERR_SYSTEM,
		    "socket: %s; raise the file descriptor limit",
		    strerror(errno));
		return NULL;
	}
	conn_set_options(fd);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == -1 &&
	    errno != EINPROGRESS) {
		err_set(e,
		    errno == ECONNREFUSED ? ERR_REFUSED : ERR_UNAVAILABLE,
		    "cannot connect to %s: %s; check that it is running", addr,
		    strerror(errno));
		close(fd);
		return NULL;
	}
	c = conn_new(loop, fd, ops, ctx);
	c->connecting = 1;
	ev_io_start(loop, &c->write_watcher);
	return c;
}

void
conn_destroy(struct conn *c)
{
	if (c == NULL)
		return;
	ev_io_stop(c->loop, &c->read_watcher);
	ev_io_stop(c->loop, &c->write_watcher);
	ev_timer_stop(c->loop, &c->linger_timer);
	stall_destroy(c->stall);
	conn_end_flush(c);
	close(c->fd);
	buf_free(&c->out);
	free(c);
}

void
conn_abort(struct conn *c)
{
	struct linger reset = { 1, 0 };

	if (c == NULL)
		return;
	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	conn_destroy(c);
}

static void
conn_end_flush(struct conn *c)
{
	if (c->flushing == NULL)
		return;
	TAILQ_REMOVE(c->flushing, c, entry);
	c->flushing = NULL;
}

/* Half-closes, so that the peer can read all data before the end. */
static void
conn_shutdown_write(struct conn *c)
{
	shutdown(c->fd, SHUT_WR);
	ev_io_stop(c->loop, &c->write_watcher);
	ev_io_start(c->loop, &c->read_watcher);
}

void
conn_close_after_flush(struct conn *c, struct conn_list *flushing)
{
	if (c->send_error != 0) {
		conn_destroy(c);
		return;
	}
	c->closing = 1;
	ev_timer_start(c->loop, &c->linger_timer);
	c->flushing = flushing;
	TAILQ_INSERT_TAIL(flushing, c, entry);
	if (buf_len(&c->out) == 0)
		conn_shutdown_write(c);
}

void
conn_close_idle(struct conn *c, struct conn_list *flushing)
{
	if (conn_is_flushed(c))
		conn_destroy(c);
	else
		conn_close_after_flush(c, flushing);
}

static void
conn_on_linger(struct ev_loop *loop, ev_timer *w, int events)
{
	struct conn *c = w->data;

	(void)loop;
	(void)events;
	if (!conn_is_flushed(c)) {
		/* Stay open while a slow peer is still reading. */
		ev_timer_set(&c->linger_timer, CONN_LINGER_S, 0.0);
		ev_timer_start(c->loop, &c->linger_timer);
		return;
	}
	conn_destroy(c);
}

int
conn_is_flushed(const struct conn *c)
{
	return buf_len(&c->out) == 0 && !stall_is_unread(c->stall);
}

/* Returns 0, or an errno when the connection failed. */
static int
conn_flush(struct conn *c)
{
	ssize_t n;

	while (buf_len(&c->out) != 0) {
		n = send(
		    c->fd, buf_data(&c->out), buf_len(&c->out), MSG_NOSIGNAL);
		if (n == -1 && errno == EINTR)
			continue;
		if (n == -1 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			ev_io_start(c->loop, &c->write_watcher);
			return 0;
		}
		if (n == -1) {
			c->send_error = errno;
			return errno;
		}
		c->sent = 1;
		buf_consume(&c->out, (size_t)n);
		stall_written(c->stall);
	}
	ev_io_stop(c->loop, &c->write_watcher);
	return 0;
}

void
conn_write(struct conn *c, const void *p, size_t len)
{
	size_t before = buf_len(&c->out);

	buf_add(&c->out, p, len);
	/* A write error is reported by the next read event. */
	if (before == 0 && !c->connecting)
		(void)conn_flush(c);
}

int
conn_peer_closed(const struct conn *c)
{
	struct pollfd p = { c->fd, POLLRDHUP, 0 };

	return poll(&p, 1, 0) == 1 &&
	    (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

int
conn_has_input(const struct conn *c)
{
	struct pollfd p = { c->fd, c->connecting ? POLLOUT : POLLIN, 0 };

	return poll(&p, 1, 0) == 1;
}

int
conn_is_unacked(const struct conn *c, uint64_t since)
{
	return stall_is_unacked(c->stall, since);
}

size_t
conn_unsent_bytes(const struct conn *c)
{
	return buf_len(&c->out);
}

int
conn_list_is_flushed(const struct conn_list *l)
{
	const struct conn *c;

	TAILQ_FOREACH (c, l, entry) {
		if (!conn_is_flushed(c))
			return 0;
	}
	return 1;
}

void
conn_list_destroy(struct conn_list *l)
{
	struct conn *c;

	while ((c = TAILQ_FIRST(l)) != NULL) {
		if (buf_len(&c->out) != 0)
			conn_abort(c);
		else
			conn_destroy(c);
	}
}

size_t
conn_list_unsent_bytes(const struct conn_list *l)
{
	const struct conn *c;
	size_t n = 0;

	TAILQ_FOREACH (c, l, entry)
		n += buf_len(&c->out);
	return n;
}

void
conn_clear_sent(struct conn *c)
{
	c->sent = 0;
}

int
conn_has_sent(const struct conn *c)
{
	return c->sent;
}

void
conn_keep_until(struct conn *c, uint64_t at)
{
	stall_keep_until(c->stall, at);
}

void
conn_set_reading(struct conn *c, int on)
{
	if (c->connecting || c->closing)
		return;
	if (on)
		ev_io_start(c->loop, &c->read_watcher);
	else if (c->send_error == 0)
		ev_io_stop(c->loop, &c->read_watcher);
}

static void
conn_on_read(struct ev_loop *loop, ev_io *w, int events)
{
	static char chunk[CONN_READ_SIZE];
	struct conn *c = w->data;
	ssize_t n;

	(void)loop;
	(void)events;
	n = recv(c->fd, chunk, sizeof(chunk), 0);
	if (n == -1 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (c->closing) {
		/* The end of the input would be read in each turn. */
		if (n == 0 && !conn_is_flushed(c))
			ev_io_stop(c->loop, &c->read_watcher);
		else if (n <= 0)
			conn_destroy(c);
		return;
	}
	if (n > 0) {
		c->ops->data(c->ctx, chunk, (size_t)n);
		return;
	}
	ev_io_stop(c->loop, &c->read_watcher);
	c->ops->closed(c->ctx, n == 0 ? c->send_error : errno);
}

static void
conn_on_connect(struct conn *c)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error != 0) {
		ev_io_stop(c->loop, &c->write_watcher);
		c->ops->closed(c->ctx, error);
		return;
	}
	c->connecting = 0;
	ev_io_start(c->loop, &c->read_watcher);
	if (c->ops->connected != NULL && c->ops->connected(c->ctx))
		return;
	(void)conn_flush(c);
}

/*
 * A peer may answer before it has read everything, and close.  What it sent is
 * read before the error is reported; the shutdown ends the reading.
 */
static void
conn_end_sending(struct conn *c)
{
	ev_io_stop(c->loop, &c->write_watcher);
	if (ev_is_active(&c->read_watcher))
		shutdown(c->fd, SHUT_RDWR);
	else
		c->ops->closed(c->ctx, c->send_error);
}

static void
conn_on_gone(void *ctx)
{
	struct conn *c = ctx;

	c->send_error = ETIMEDOUT;
	if (c->closing)
		conn_abort(c);
	else
		conn_end_sending(c);
}

static void
conn_on_write(struct ev_loop *loop, ev_io *w, int events)
{
	struct conn *c = w->data;
	int error;

	(void)loop;
	(void)events;
	if (c->connecting) {
		conn_on_connect(c);
		return;
	}
	error = conn_flush(c);
	if (c->closing) {
		if (error != 0)
			conn_destroy(c);
		else if (buf_len(&c->out) == 0)
			conn_shutdown_write(c);
		return;
	}
	if (error != 0) {
		conn_end_sending(c);
		return;
	}
	if (buf_len(&c->out) == 0 && c->ops->drained != NULL)
		c->ops->drained(c->ctx);
}

int
conn_listen(const char *addr, struct err *e)
{
	struct sockaddr_in sa;
	int on = 1;
	int fd;

	if (conn_parse_address(addr, &sa, e) == -1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd == -1)
		return err_set(e, ERR_SYSTEM,
		    "socket: %s; raise the file descriptor limit",
		    strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == -1 ||
	    listen(fd, CONN_BACKLOG) == -1) {
		err_set(e, ERR_SYSTEM,
		    "cannot listen on %s: %s; free the address or configure "
		    "another",
		    addr, strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}
