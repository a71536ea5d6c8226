#include <arpa/inet.h>
#include <civetweb.h>
#include <limits.h>
#include <linux/filter.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>

#include "base.h"
#include "clock.h"
#include "httpd.h"
#include "mem.h"

#define HTTPD_HEAD_SIZE 2048
#define HTTPD_FD_MAX 65536
#define HTTPD_DISCARD_MAX_BYTES (64U << 20)
#define HTTPD_READ_SIZE 16384
#define FIRST_FD 3
/* The last answers, once no connection is read any more. */
#define HTTPD_LAST_ANSWER_NS (4 * NSEC_PER_SEC)
#define HTTPD_POLL_MSEC 25
/* A caller that reads nothing keeps its connection as long as an idle one. */
#define HTTPD_LINGER_NS (5 * NSEC_PER_SEC)
/* Longer than a handshake: 100 ms. */
#define HTTPD_IDLE_POLLS 4
#define TCP_FLAGS_OFFSET 13 /* bytes */

enum body_result {
	BODY_WHOLE,
	BODY_TOO_LARGE,
	BODY_INCOMPLETE /* its sender has ended, or is too slow */
};

enum socket_kind {
	SOCKET_OTHER,
	SOCKET_LISTENER,
	SOCKET_CALLER
};

struct httpd {
	struct httpd_config config;
	struct mg_context *mg;
	int shutting_down;
	int destroying;
};

static int httpd_handle(struct mg_connection *, void *);
static void httpd_discard_body(struct mg_connection *);
static enum body_result httpd_read_body(struct httpd *, struct httpd_request *);
static void httpd_refuse_body(struct httpd_request *, enum body_result);
static void httpd_write_head(
    struct httpd_request *, int, const char *, const char *, const char *);
static void httpd_linger(struct httpd_request *);
static void discard_input(int);
static int httpd_max_fd(void);
static enum socket_kind httpd_socket_kind(const struct httpd *, int);
static int has_input(int);
static void httpd_refuse_connections(const struct httpd *);
static unsigned int httpd_callers(const struct httpd *, int);
static int httpd_is_shutting_down(const struct httpd_request *);
static int has_body(const struct httpd_request *);
static struct httpd *httpd_from_request(const struct httpd_request *);

static struct httpd *
httpd_from_request(const struct httpd_request *req)
{
	return mg_get_user_data(mg_get_context(req->conn));
}

struct httpd *
httpd_create(const struct httpd_config *config, struct err *e)
{
	struct mg_callbacks callbacks;
	struct httpd *h;
	char threads[16];

	h = mem_alloc(sizeof(*h));
	h->config = *config;
	snprintf(threads, sizeof(threads), "%d", config->threads);
	const char *options[] = { "listening_ports", config->addr,
		"num_threads", threads, "enable_keep_alive", "yes",
		"keep_alive_timeout_ms", "5000", "request_timeout_ms", "30000",
		"tcp_nodelay", "1", "connection_queue", "512", "listen_backlog",
		"512", NULL };
	memset(&callbacks, 0, sizeof(callbacks));
	h->mg = mg_start(&callbacks, h, options);
	if (h->mg == NULL) {
		err_set(e, ERR_SYSTEM,
		    "cannot listen on HTTP address %s; free the address or "
		    "configure another",
		    config->addr);
		free(h);
		return NULL;
	}
	mg_set_request_handler(h->mg, "**", httpd_handle, h);
	return h;
}

void
httpd_destroy(struct httpd *h)
{
	if (h == NULL)
		return;
	__atomic_store_n(&h->destroying, 1, __ATOMIC_RELEASE);
	mg_stop(h->mg);
	free(h);
}

void
httpd_begin_shutdown(struct httpd *h)
{
	__atomic_store_n(&h->shutting_down, 1, __ATOMIC_RELEASE);
}

static int
httpd_max_fd(void)
{
	struct rlimit rl;

	if (getrlimit(RLIMIT_NOFILE, &rl) == 0 && rl.rlim_cur < HTTPD_FD_MAX)
		return (int)rl.rlim_cur;
	return HTTPD_FD_MAX;
}

static enum socket_kind
httpd_socket_kind(const struct httpd *h, int fd)
{
	const char *port = strrchr(h->config.addr, ':');
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof(sin);
	int listening = 0;

	if (port == NULL ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) == -1 ||
	    sin.sin_family != AF_INET ||
	    ntohs(sin.sin_port) != strtol(port + 1, NULL, 10))
		return SOCKET_OTHER;
	len = sizeof(listening);
	getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &len);
	return listening ? SOCKET_LISTENER : SOCKET_CALLER;
}

static int
has_input(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };

	return poll(&p, 1, 0) == 1;
}

/*
 * Counts the connections, with those that wait for a thread or to be accepted.
 * With end_input, what has arrived is read, then readers see its end.
 */
static unsigned int
httpd_callers(const struct httpd *h, int end_input)
{
	enum socket_kind kind;
	unsigned int n = 0;
	int max_fd = httpd_max_fd();
	int fd;

	for (fd = FIRST_FD; fd < max_fd; fd++) {
		kind = httpd_socket_kind(h, fd);
		if (kind == SOCKET_CALLER ||
		    (kind == SOCKET_LISTENER && has_input(fd)))
			n++;
		if (kind == SOCKET_CALLER && end_input)
			shutdown(fd, SHUT_RD);
	}
	return n;
}

/*
 * Leaves new connections unanswered until the listening socket is closed.
 * Closing it, or CivetWeb's stop, would reset what it has established.
 */
static void
httpd_refuse_connections(const struct httpd *h)
{
	struct sock_filter drop_syn[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	const struct sock_fprog filter = { nitems(drop_syn), drop_syn };
	int max_fd = httpd_max_fd();
	int fd;

	for (fd = FIRST_FD; fd < max_fd; fd++) {
		if (httpd_socket_kind(h, fd) == SOCKET_LISTENER)
			setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
			    sizeof(filter));
	}
}

void
httpd_drain(struct httpd *h, uint64_t read_until)
{
	const struct timespec ts = { 0, HTTPD_POLL_MSEC * (long)NSEC_PER_MSEC };
	uint64_t now = clock_mono();
	int refusing = 0;
	int idle = 0;

	while (now < read_until + HTTPD_LAST_ANSWER_NS) {
		idle = httpd_callers(h, now >= read_until) == 0 ? idle + 1 : 0;
		if (idle == HTTPD_IDLE_POLLS && refusing)
			return;
		if (!refusing &&
		    (idle == HTTPD_IDLE_POLLS || now >= read_until)) {
			httpd_refuse_connections(h);
			refusing = 1;
			idle = 0;
		}
		nanosleep(&ts, NULL);
		now = clock_mono();
	}
}

static int
httpd_is_shutting_down(const struct httpd_request *req)
{
	return __atomic_load_n(
	    &httpd_from_request(req)->shutting_down, __ATOMIC_ACQUIRE);
}

static enum body_result
httpd_read_body(struct httpd *h, struct httpd_request *req)
{
	const struct mg_request_info *info = mg_get_request_info(req->conn);
	size_t size = HTTPD_READ_SIZE;
	int n = 0;

	if (info->content_length > (long long)h->config.max_body_bytes)
		return BODY_TOO_LARGE;
	if (info->content_length > 0)
		size = (size_t)info->content_length + 1;
	req->body = mem_alloc(size);
	for (;;) {
		if (req->len + 1 == size) {
			if (info->content_length > 0)
				break;
			size *= 2;
			if (size > 2 * h->config.max_body_bytes)
				return BODY_TOO_LARGE;
			req->body = mem_grow(req->body, size, 1);
		}
		n = mg_read(
		    req->conn, req->body + req->len, size - req->len - 1);
		if (n <= 0)
			break;
		req->len += (size_t)n;
	}
	req->body[req->len] = '\0';
	if (req->len > h->config.max_body_bytes)
		return BODY_TOO_LARGE;
	if (n < 0 || (long long)req->len < info->content_length)
		return BODY_INCOMPLETE;
	return BODY_WHOLE;
}

static void
httpd_refuse_body(struct httpd_request *req, enum body_result result)
{
	const struct httpd_config *config = &httpd_from_request(req)->config;

	if (config->on_bad_request != NULL)
		config->on_bad_request(config->ctx,
		    result == BODY_TOO_LARGE ? "body too large"
					     : "body incomplete");
	mg_disable_connection_keep_alive(req->conn);
	if (result == BODY_TOO_LARGE) {
		httpd_discard_body(req->conn);
		httpd_reply_error(req, 413, "not-run-too-large",
		    "the body is larger than this process takes; send less",
		    "");
	} else if (httpd_is_shutting_down(req)) {
		httpd_reply_error(req, 503, "not-run-closing",
		    "this process is shutting down; try again. The request "
		    "was not run",
		    "X-Spindle-Outcome: not-run-closing\r\n"
		    "Retry-After: 1\r\n");
	} else {
		httpd_reply_error(req, 400, "not-run-bad-request",
		    "the body ended early; send it whole",
		    "X-Spindle-Outcome: not-run-bad-request\r\n");
	}
}

/* Reads the remaining body, so that a reset does not discard the response. */
static void
httpd_discard_body(struct mg_connection *conn)
{
	char buf[HTTPD_READ_SIZE];
	size_t left = HTTPD_DISCARD_MAX_BYTES;
	int n;

	while (left >= sizeof(buf) && (n = mg_read(conn, buf, sizeof(buf))) > 0)
		left -= (size_t)n;
}

static int
httpd_handle(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct httpd_request req;
	struct httpd *h = arg;
	enum body_result result;

	memset(&req, 0, sizeof(req));
	req.conn = conn;
	req.method = info->request_method;
	req.path = info->local_uri == NULL ? "" : info->local_uri;
	req.query = info->query_string == NULL ? "" : info->query_string;
	result = httpd_read_body(h, &req);
	if (result == BODY_WHOLE)
		h->config.on_request(h->config.ctx, &req);
	else
		httpd_refuse_body(&req, result);
	if (req.closing)
		httpd_linger(&req);
	free(req.body);
	return 200;
}

static void
discard_input(int fd)
{
	char buf[HTTPD_READ_SIZE];
	ssize_t n;

	do
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
	while (n > 0);
}

/*
 * Waits until the caller has received the answer or reads nothing of it for a
 * time: closing a connection with unread input discards what it has not.
 */
static void
httpd_linger(struct httpd_request *req)
{
	const struct httpd *h = httpd_from_request(req);
	const struct timespec ts = { 0, HTTPD_POLL_MSEC * (long)NSEC_PER_MSEC };
	uint64_t idle_at = clock_mono() + HTTPD_LINGER_NS;
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);
	int fd = httpd_fd(req);
	int last = INT_MAX;
	int unsent = 0;

	if (fd == -1)
		return;
	shutdown(fd, SHUT_WR);
	while (getpeername(fd, (struct sockaddr *)&sin, &len) == 0 &&
	    ioctl(fd, SIOCOUTQ, &unsent) == 0 && unsent != 0 &&
	    clock_mono() < idle_at &&
	    !__atomic_load_n(&h->destroying, __ATOMIC_ACQUIRE)) {
		if (unsent < last)
			idle_at = clock_mono() + HTTPD_LINGER_NS;
		last = unsent;
		discard_input(fd);
		nanosleep(&ts, NULL);
	}
	discard_input(fd);
}

const char *
httpd_request_header(const struct httpd_request *req, const char *name)
{
	return mg_get_header(req->conn, name);
}

/* Whether a body follows the head of the response. */
static int
has_body(const struct httpd_request *req)
{
	return strcmp(req->method, "HEAD") != 0;
}

static void
httpd_write_head(struct httpd_request *req, int status, const char *type,
    const char *extra, const char *length)
{
	char head[HTTPD_HEAD_SIZE];
	int n;

	req->closing = httpd_is_shutting_down(req);
	if (req->closing)
		mg_disable_connection_keep_alive(req->conn);
	n = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%s%s%s\r\n", status,
	    mg_get_response_code_text(req->conn, status), type, extra, length,
	    req->closing ? "Connection: close\r\n" : "");
	if (n > 0 && (size_t)n < sizeof(head))
		mg_write(req->conn, head, (size_t)n);
}

void
httpd_reply(struct httpd_request *req, int status, const char *type,
    const char *extra, const char *body, size_t len)
{
	char length[48];

	snprintf(length, sizeof(length), "Content-Length: %zu\r\n", len);
	httpd_write_head(req, status, type, extra, length);
	if (len != 0 && has_body(req))
		mg_write(req->conn, body, len);
}

void
httpd_reply_text(struct httpd_request *req, int status, const char *text)
{
	httpd_reply(
	    req, status, "text/plain; charset=utf-8", "", text, strlen(text));
}

void
httpd_reply_error(struct httpd_request *req, int status, const char *type,
    const char *message, const char *extra)
{
	char body[1024];
	int n;

	n = snprintf(body, sizeof(body),
	    "{\"error\":{\"type\":\"%s\",\"message\":\"%s\",\"code\":%d}}\n",
	    type, message, status);
	if (n < 0 || (size_t)n >= sizeof(body))
		n = 0;
	httpd_reply(req, status, "application/json", extra, body, (size_t)n);
}

int
httpd_begin_chunked(
    struct httpd_request *req, int status, const char *type, const char *extra)
{
	httpd_write_head(
	    req, status, type, extra, "Transfer-Encoding: chunked\r\n");
	return 0;
}

/* One write per chunk and framing, so that it is sent as one segment. */
int
httpd_write_chunk(struct httpd_request *req, const char *buf, size_t len)
{
	char *frame;
	int head;
	int n;

	if (len == 0 || !has_body(req))
		return 0;
	frame = mem_alloc(len + 24);
	head = snprintf(frame, 24, "%zx\r\n", len);
	memcpy(frame + head, buf, len);
	frame[(size_t)head + len] = '\r';
	frame[(size_t)head + len + 1] = '\n';
	n = mg_write(req->conn, frame, (size_t)head + len + 2);
	free(frame);
	return n <= 0 ? -1 : 0;
}

int
httpd_end_chunked(struct httpd_request *req)
{
	if (!has_body(req))
		return 0;
	return mg_write(req->conn, "0\r\n\r\n", 5) <= 0 ? -1 : 0;
}

void
httpd_abort(struct httpd_request *req)
{
	int fd;

	mg_disable_connection_keep_alive(req->conn);
	fd = httpd_fd(req);
	if (fd != -1)
		shutdown(fd, SHUT_RDWR);
}

/*
 * CivetWeb does not expose the descriptor, so it is found by comparing the peer
 * address and port of all descriptors of this process.
 */
int
httpd_fd(const struct httpd_request *req)
{
	const struct mg_request_info *info = mg_get_request_info(req->conn);
	struct sockaddr_in sin = { 0 };
	struct in_addr want;
	socklen_t len;
	int max_fd = httpd_max_fd();
	int fd;

	if (inet_pton(AF_INET, info->remote_addr, &want) != 1)
		return -1;
	for (fd = FIRST_FD; fd < max_fd; fd++) {
		len = sizeof(sin);
		if (getpeername(fd, (struct sockaddr *)&sin, &len) == -1 ||
		    sin.sin_family != AF_INET)
			continue;
		if (sin.sin_addr.s_addr != want.s_addr ||
		    ntohs(sin.sin_port) != info->remote_port)
			continue;
		/* Outgoing connections may have the same peer address. */
		len = sizeof(sin);
		if (getsockname(fd, (struct sockaddr *)&sin, &len) == 0 &&
		    ntohs(sin.sin_port) == info->server_port)
			return fd;
	}
	return -1;
}
