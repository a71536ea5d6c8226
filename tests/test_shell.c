/* HTTP server, disconnect detection, message bus and event log. */
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <arpa/inet.h>

#include "base.h"
#include "bus.h"
#include "http_call.h"
#include "clock.h"
#include "httpd.h"
#include "log.h"
#include "unit.h"
#include "watch.h"

#define HTTP_PORT 18471
#define BUS_A_PORT 18472
#define BUS_B_PORT 18473
/* Loopback address by process id, so that concurrent runs do not collide. */
#define HOST_FORMAT "127.79.%d.%d"
#define EVENTS 500

static struct watch *watch;
static uint64_t hangup_id;
static uint64_t hangup_at;
static uint32_t received;

static void address(char *, int);
static void on_request(void *, struct httpd_request *);
static void on_hangup(void *, uint64_t);
static void on_message(void *, struct msg *);
static void *log_many(void *);
static void sleep_ms(long);
static struct httpd *serve(void);
static void test_http(void);
static int connect_to_server(void);
static void test_head_request(void);
static void test_watch(void);
static void test_bus(void);
static void test_events(void);

/* Without the port when it is 0. */
static void
address(char *out, int port)
{
	int pid = (int)getpid();
	int n;

	n = snprintf(
	    out, ADDR_SIZE, HOST_FORMAT, pid / 250 % 250 + 1, pid % 250 + 1);
	if (port != 0)
		snprintf(out + n, ADDR_SIZE - (size_t)n, ":%d", port);
}

static void
sleep_ms(long ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000L };

	nanosleep(&ts, NULL);
}

static void
on_hangup(void *arg, uint64_t id)
{
	(void)arg;
	__atomic_store_n(&hangup_at, clock_mono(), __ATOMIC_RELEASE);
	__atomic_store_n(&hangup_id, id, __ATOMIC_RELEASE);
}

/* Responds at once; for /wait, blocks until the disconnect is reported. */
static void
on_request(void *arg, struct httpd_request *req)
{
	int fd;
	int i;

	(void)arg;
	if (strcmp(req->path, "/error") == 0) {
		httpd_reply_error(req, 404, "none", "no such path", "");
		return;
	}
	if (strcmp(req->path, "/chunks") == 0) {
		httpd_begin_chunked(req, 200, "text/plain", "");
		httpd_write_chunk(req, "part", 4);
		httpd_end_chunked(req);
		return;
	}
	if (strcmp(req->path, "/wait") != 0) {
		httpd_reply(req, 200, "text/plain", "", req->body, req->len);
		return;
	}
	fd = httpd_fd(req);
	CU_ASSERT_NOT_EQUAL(fd, -1);
	watch_add(watch, fd, 77);
	for (i = 0; i < 300; i++) {
		if (__atomic_load_n(&hangup_id, __ATOMIC_ACQUIRE) != 0)
			break;
		sleep_ms(10);
	}
	watch_remove(watch, fd);
}

static struct httpd *
serve(void)
{
	struct httpd_config c;
	struct err e;

	memset(&c, 0, sizeof(c));
	address(c.addr, HTTP_PORT);
	c.threads = 4;
	c.max_body_bytes = 1000;
	c.on_request = on_request;
	return httpd_create(&c, &e);
}

static void
test_http(void)
{
	struct httpd *h = serve();
	struct httpd_config twice;
	struct err e;
	char big[2001];
	char addr[ADDR_SIZE];
	char *text;

	address(addr, HTTP_PORT);
	CU_ASSERT_PTR_NOT_NULL_FATAL(h);
	CU_ASSERT_EQUAL(
	    http_call(addr, "POST", "/x", "hello", 3000, &text, &e), 200);
	CU_ASSERT_STRING_EQUAL(text, "hello");
	free(text);
	memset(big, 'x', sizeof(big) - 1);
	big[sizeof(big) - 1] = '\0';
	CU_ASSERT_EQUAL(
	    http_call(addr, "POST", "/x", big, 3000, &text, &e), 413);
	free(text);
	memset(&twice, 0, sizeof(twice));
	address(twice.addr, HTTP_PORT);
	twice.threads = 1;
	CU_ASSERT_PTR_NULL(httpd_create(&twice, &e));
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, addr));
	httpd_destroy(h);
}

static int
connect_to_server(void)
{
	struct sockaddr_in sin;
	char host[ADDR_SIZE];
	int fd;

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_port = htons(HTTP_PORT);
	address(host, 0);
	inet_pton(AF_INET, host, &sin.sin_addr);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

/* The body of an answer to HEAD was read as the start of the next answer. */
static void
test_head_request(void)
{
	static const char requests[] =
	    "HEAD /error HTTP/1.1\r\nHost: x\r\n\r\n"
	    "HEAD /chunks HTTP/1.1\r\nHost: x\r\n\r\n"
	    "GET /chunks HTTP/1.1\r\nHost: x\r\n"
	    "Connection: close\r\n\r\n";
	struct httpd *h = serve();
	char text[4096];
	const char *s = text;
	size_t len = 0;
	ssize_t n;
	int fd;
	int i;

	CU_ASSERT_PTR_NOT_NULL_FATAL(h);
	fd = connect_to_server();
	CU_ASSERT(write(fd, requests, sizeof(requests) - 1) > 0);
	while ((n = read(fd, text + len, sizeof(text) - 1 - len)) > 0)
		len += (size_t)n;
	text[len] = '\0';
	for (i = 0; i < 2; i++) {
		s = strstr(s, "\r\n\r\n");
		CU_ASSERT_PTR_NOT_NULL_FATAL(s);
		if (s == NULL)
			return;
		s += 4;
		CU_ASSERT_EQUAL(strncmp(s, "HTTP/1.1 200", 12), 0);
	}
	CU_ASSERT_PTR_NOT_NULL(strstr(s, "\r\n\r\n4\r\npart\r\n0\r\n\r\n"));
	close(fd);
	httpd_destroy(h);
}

/* A disconnect is reported while the handler of the connection blocks. */
static void
test_watch(void)
{
	static const char request[] = "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n";
	struct httpd *h;
	uint64_t closed;
	int fd;
	int i;

	hangup_id = 0;
	watch = watch_create(on_hangup, NULL);
	h = serve();
	CU_ASSERT_PTR_NOT_NULL_FATAL(h);
	fd = connect_to_server();
	CU_ASSERT(write(fd, request, sizeof(request) - 1) > 0);
	sleep_ms(100);
	CU_ASSERT_EQUAL(__atomic_load_n(&hangup_id, __ATOMIC_ACQUIRE), 0);
	closed = clock_mono();
	close(fd);
	for (i = 0; i < 300; i++) {
		if (__atomic_load_n(&hangup_id, __ATOMIC_ACQUIRE) != 0)
			break;
		sleep_ms(5);
	}
	CU_ASSERT_EQUAL(__atomic_load_n(&hangup_id, __ATOMIC_ACQUIRE), 77);
	CU_ASSERT(__atomic_load_n(&hangup_at, __ATOMIC_ACQUIRE) >= closed);
	httpd_destroy(h);
	watch_destroy(watch);
}

static void
on_message(void *arg, struct msg *m)
{
	(void)arg;
	if (m->kind == MSG_CANCEL && m->from.incarnation == 5)
		__atomic_fetch_add(&received, 1, __ATOMIC_RELAXED);
	msg_destroy(m);
}

static void
test_bus(void)
{
	struct node_id a = { "", 5 };
	struct node_id b = { "", 6 };
	struct bus_counts counts;
	struct bus *from;
	struct bus *to;
	struct err e;
	int i;

	address(a.addr, BUS_A_PORT);
	address(b.addr, BUS_B_PORT);
	from = bus_create(&a, on_message, NULL, &e);
	to = bus_create(&b, on_message, NULL, &e);
	CU_ASSERT_PTR_NOT_NULL_FATAL(from);
	CU_ASSERT_PTR_NOT_NULL_FATAL(to);
	CU_ASSERT_PTR_NULL(bus_create(&a, on_message, NULL, &e));
	for (i = 0; i < 100; i++)
		bus_send(from, msg_create(MSG_CANCEL, b.addr));
	for (i = 0; i < 300; i++) {
		if (__atomic_load_n(&received, __ATOMIC_RELAXED) == 100)
			break;
		sleep_ms(10);
	}
	CU_ASSERT_EQUAL(__atomic_load_n(&received, __ATOMIC_RELAXED), 100);
	bus_counts(from, &counts);
	CU_ASSERT_EQUAL(counts.sent, 100);
	CU_ASSERT_EQUAL(counts.dropped, 0);
	bus_destroy(from);
	bus_destroy(to);
}

static void *
log_many(void *arg)
{
	struct log_subject about = { 0 };
	int i;

	(void)arg;
	about.request = 1;
	for (i = 0; i < EVENTS; i++)
		log_event(LOG_REQUEST_ARRIVED, &about, "%d", i);
	return NULL;
}

/* Events logged by several threads are numbered without gaps and complete. */
static void
test_events(void)
{
	pthread_t threads[4];
	json_t *doc;
	char *line;
	char *save = NULL;
	char *text;
	size_t len;
	int n = -1;
	int i;

	log_open("test", 1, LOGLEVEL_ERROR);
	for (i = 0; i < 4; i++)
		pthread_create(&threads[i], NULL, log_many, NULL);
	for (i = 0; i < 4; i++)
		pthread_join(threads[i], NULL);
	text = log_events_json(0, &len);
	for (line = strtok_r(text, "\n", &save); line != NULL;
	     line = strtok_r(NULL, "\n", &save)) {
		doc = json_loads(line, 0, NULL);
		CU_ASSERT_PTR_NOT_NULL(doc);
		if (n >= 0)
			CU_ASSERT_EQUAL(
			    json_integer_value(json_object_get(doc, "seq")), n);
		n++;
		json_decref(doc);
	}
	CU_ASSERT(n >= 4 * EVENTS);
	free(text);
}

static const struct unit_case cases[] = {
	{ "http", test_http },
	{ "HEAD", test_head_request },
	{ "peer watch", test_watch },
	{ "bus", test_bus },
	{ "events", test_events },
};

UNIT_MAIN("shell", cases)
