/* Streams of engines, from the bytes of an engine to the gate's events. */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base.h"
#include "relay.h"
#include "unit.h"

#define OUT_SIZE 1024
#define LATE_US 20000
#define HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
#define EVENT "data: piece\n\n"
#define DONE "data: [DONE]\n\n"

/* Events that the gate has got from one attempt. */
struct outcome {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	int ended;
	enum fetch_event_kind end; /* the first of END and FAILED */
	char text[OUT_SIZE];
	size_t len;
};

/* An engine that answers one request and closes the connection. */
struct engine {
	int listener;
	const char *reply;
	pthread_t thread;
};

static void on_event(void *, const struct gate_fetch_event *);
static void engine_write(int, const char *);
static void *engine_run(void *);
static void engine_start(struct engine *, const char *, struct gate_action *);
static void stream(const char *, struct outcome *);
static void test_stream_ends_with_done(void);
static void test_stream_without_done(void);

static void
on_event(void *ctx, const struct gate_fetch_event *f)
{
	struct response_part *p = f->payload;
	struct outcome *o = ctx;

	pthread_mutex_lock(&o->lock);
	if (f->kind == FETCH_DATA && !o->ended) {
		CU_ASSERT_FATAL(o->len + p->len <= sizeof(o->text));
		memcpy(o->text + o->len, p->bytes, p->len);
		o->len += p->len;
	}
	if (!o->ended && (f->kind == FETCH_END || f->kind == FETCH_FAILED)) {
		o->ended = 1;
		o->end = f->kind;
		pthread_cond_signal(&o->cond);
	}
	pthread_mutex_unlock(&o->lock);
	response_part_destroy(p);
}

/* What stands behind [DONE] comes later, and may find no reader. */
static void
engine_write(int fd, const char *reply)
{
	const char *done = strstr(reply, DONE);
	size_t len = done == NULL ? strlen(reply)
				  : (size_t)(done - reply) + strlen(DONE);

	CU_ASSERT_EQUAL(send(fd, reply, len, MSG_NOSIGNAL), (ssize_t)len);
	if (reply[len] == '\0')
		return;
	usleep(LATE_US);
	(void)send(fd, reply + len, strlen(reply + len), MSG_NOSIGNAL);
}

static void *
engine_run(void *arg)
{
	struct engine *g = arg;
	char buf[4096];
	size_t len = 0;
	ssize_t n;
	int fd = accept(g->listener, NULL, NULL);

	while ((n = read(fd, buf + len, sizeof(buf) - 1 - len)) > 0) {
		len += (size_t)n;
		buf[len] = '\0';
		if (strstr(buf, "\"priority\":0}") != NULL)
			break;
	}
	engine_write(fd, g->reply);
	close(fd);
	return NULL;
}

static void
engine_start(struct engine *g, const char *reply, struct gate_action *act)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);

	g->reply = reply;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g->listener = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
	    bind(g->listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
	getsockname(g->listener, (struct sockaddr *)&sin, &len);
	listen(g->listener, 8);
	snprintf(act->addr, sizeof(act->addr), "127.0.0.1:%u",
	    (unsigned)ntohs(sin.sin_port));
	pthread_create(&g->thread, NULL, engine_run, g);
}

/* Relays a stream of an engine that writes the reply. */
static void
stream(const char *reply, struct outcome *o)
{
	struct exchange_info info = { .kind = EXCHANGE_CHAT };
	struct gate_action act = { .fetch_id = 1 };
	struct exchange *x;
	struct engine g;
	struct fetch *f = fetch_create(relay_handle_fetch_event, NULL);

	memset(o, 0, sizeof(*o));
	pthread_mutex_init(&o->lock, NULL);
	pthread_cond_init(&o->cond, NULL);
	info.req.rid = 1;
	info.req.stream = 1;
	snprintf(info.method, sizeof(info.method), "POST");
	info.doc = json_pack("{s:[{s:s}]}", "messages", "content", "x");
	x = exchange_create(&info);
	engine_start(&g, reply, &act);
	relay_start(f, x, &act, on_event, o);
	pthread_mutex_lock(&o->lock);
	while (!o->ended)
		pthread_cond_wait(&o->cond, &o->lock);
	pthread_mutex_unlock(&o->lock);
	pthread_join(g.thread, NULL);
	close(g.listener);
	fetch_destroy(f);
	exchange_unregister(x);
	exchange_unref(x);
}

/*
 * Behind [DONE], which ends a stream, callers got a second answer's events, or
 * the text of another attempt.
 */
static void
test_stream_ends_with_done(void)
{
	static const char *const replies[] = {
		HEAD "Connection: close\r\n\r\n" EVENT DONE,
		HEAD "Connection: close\r\n\r\n" EVENT DONE EVENT DONE,
		HEAD "Connection: close\r\n\r\n" EVENT DONE HEAD "\r\n" EVENT,
		HEAD "Connection: close\r\n\r\n" EVENT DONE "HTTP/1.",
		HEAD "Content-Length: 500\r\n\r\n" EVENT DONE,
		HEAD "Content-Length: 54\r\n\r\n" EVENT DONE EVENT DONE,
	};
	struct outcome o;
	size_t i;

	for (i = 0; i < nitems(replies); i++) {
		stream(replies[i], &o);
		CU_ASSERT_EQUAL(o.end, FETCH_END);
		CU_ASSERT(o.len == strlen(EVENT DONE) &&
		    memcmp(o.text, EVENT DONE, o.len) == 0);
	}
}

static void
test_stream_without_done(void)
{
	static const char *const replies[] = {
		HEAD "Connection: close\r\n\r\n" EVENT,
		HEAD "Connection: close\r\n\r\n" EVENT "data: [DON",
		HEAD "Connection: close\r\n\r\n" EVENT HEAD "\r\n" EVENT DONE,
		HEAD "Content-Length: 13\r\n\r\n" EVENT,
	};
	struct outcome o;
	size_t i;

	for (i = 0; i < nitems(replies); i++) {
		stream(replies[i], &o);
		CU_ASSERT_EQUAL(o.end, FETCH_FAILED);
		CU_ASSERT(o.len == 0 ||
		    (o.len == strlen(EVENT) &&
			memcmp(o.text, EVENT, o.len) == 0));
	}
}

static const struct unit_case cases[] = {
	{ "stream ends with [DONE]", test_stream_ends_with_done },
	{ "stream without [DONE]", test_stream_without_done },
};

UNIT_MAIN("relay", cases)
