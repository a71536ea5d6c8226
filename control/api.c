#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "api.h"
#include "httpd.h"
#include "log.h"
#include "mem.h"
#include "metric.h"

#define API_THREADS 16
#define API_BODY_MAX (2U << 20)

struct api {
	struct steer *steer;
	struct httpd *httpd;
};

typedef void (*api_handler)(struct api *, struct httpd_request *);

static void api_handle(void *, struct httpd_request *);
static void api_bad(void *, const char *);
static void api_health(struct api *, struct httpd_request *);
static void api_ready(struct api *, struct httpd_request *);
static void api_metrics(struct api *, struct httpd_request *);
static void api_events(struct api *, struct httpd_request *);
static void api_ticket(struct api *, struct httpd_request *);
static void api_state(struct api *, struct httpd_request *);
static void api_status(struct api *, struct httpd_request *);
static void reply_json(struct httpd_request *, int, json_t *);
static int ticket_status(const json_t *);

static const struct {
	const char *method;
	const char *path;
	api_handler handle;
} api_paths[] = {
	{ "GET", "/healthz", api_health },
	{ "GET", "/readyz", api_ready },
	{ "GET", "/metrics", api_metrics },
	{ "GET", "/events", api_events },
	{ "POST", "/v1/tickets", api_ticket },
	{ "GET", "/v1/state", api_state },
	{ "GET", "/v1/status", api_status },
};

struct api *
api_create(const char *addr, struct steer *steer, struct err *e)
{
	struct httpd_config hc;
	struct api *a;

	a = mem_alloc(sizeof(*a));
	a->steer = steer;
	memset(&hc, 0, sizeof(hc));
	snprintf(hc.addr, sizeof(hc.addr), "%s", addr);
	hc.threads = API_THREADS;
	hc.body_max = API_BODY_MAX;
	hc.handle = api_handle;
	hc.bad = api_bad;
	hc.ctx = a;
	a->httpd = httpd_create(&hc, e);
	if (a->httpd != NULL)
		return a;
	free(a);
	return NULL;
}

void
api_destroy(struct api *a)
{
	httpd_destroy(a->httpd);
	free(a);
}

static void
api_bad(void *arg, const char *what)
{
	(void)arg;
	log_event(LOG_HTTP_BAD, NULL, "%s", what);
}

static void
api_handle(void *arg, struct httpd_request *req)
{
	struct api *a = arg;
	size_t i;

	for (i = 0; i < sizeof(api_paths) / sizeof(api_paths[0]); i++) {
		if (strcmp(api_paths[i].path, req->path) != 0)
			continue;
		if (strcmp(api_paths[i].method, req->method) == 0) {
			api_paths[i].handle(a, req);
			return;
		}
		httpd_reply_error(
		    req, 405, "method", "the path takes another method", "");
		return;
	}
	httpd_reply_error(
	    req, 404, "no-route", "nothing is served at this path", "");
}

static void
reply_json(struct httpd_request *req, int status, json_t *doc)
{
	char *text = NULL;

	if (doc != NULL)
		text = json_dumps(doc, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(doc);
	if (text == NULL) {
		httpd_reply_error(req, 503, "unavailable",
		    "the decider did not answer; try again", "");
		return;
	}
	httpd_reply(req, status, "application/json", "", text, strlen(text));
	free(text);
}

static void
api_health(struct api *a, struct httpd_request *req)
{
	(void)a;
	httpd_reply_text(req, 200, "ok\n");
}

static void
api_ready(struct api *a, struct httpd_request *req)
{
	if (steer_ready(a->steer))
		httpd_reply_text(req, 200, "ready\n");
	else
		httpd_reply_text(req, 503,
		    "neither the key-value service nor a peer was heard\n");
}

static void
api_metrics(struct api *a, struct httpd_request *req)
{
	struct steer_counts c;
	char *text = NULL;
	size_t len;
	FILE *f;

	steer_counts(a->steer, &c);
	f = open_memstream(&text, &len);
	metric_write(f, "spindle_kv_calls_total", "counter",
	    "Calls to the key-value service.", c.kv_calls);
	metric_write(f, "spindle_ring_items", "gauge",
	    "Items waiting for the decider.", c.ring);
	metric_write(f, "spindle_bus_sent_total", "counter",
	    "Bus messages sent.", c.bus.sent);
	metric_write(f, "spindle_bus_sent_bytes_total", "counter",
	    "Bus bytes sent.", c.bus.sent_bytes);
	metric_write(f, "spindle_bus_received_total", "counter",
	    "Bus messages received.", c.bus.received);
	metric_write(f, "spindle_bus_received_bytes_total", "counter",
	    "Bus bytes received.", c.bus.received_bytes);
	metric_write(f, "spindle_bus_malformed_total", "counter",
	    "Bus messages that could not be decoded.", c.bus.malformed);
	metric_write(f, "spindle_bus_dropped_total", "counter",
	    "Bus messages dropped.", c.bus.dropped);
	metric_write_process(f);
	fclose(f);
	httpd_reply(req, 200, "text/plain; version=0.0.4", "", text, len);
	free(text);
}

static void
api_events(struct api *a, struct httpd_request *req)
{
	unsigned long long since = 0;
	char *text;
	size_t len;

	(void)a;
	if (strncmp(req->query, "since=", 6) == 0)
		since = strtoull(req->query + 6, NULL, 10);
	text = log_json(since, &len);
	httpd_reply(req, 200, "application/x-ndjson", "", text, len);
	free(text);
}

static int
ticket_status(const json_t *answer)
{
	static const struct {
		const char *status;
		int code;
	} codes[] = {
		{ "accepted", 200 },
		{ "same", 200 },
		{ "refused", 409 },
		{ "unknown", 504 },
	};
	const char *status;
	size_t i;

	status = json_string_value(json_object_get(answer, "status"));
	for (i = 0; i < sizeof(codes) / sizeof(codes[0]); i++) {
		if (status != NULL && strcmp(codes[i].status, status) == 0)
			return codes[i].code;
	}
	return 503;
}

static void
api_ticket(struct api *a, struct httpd_request *req)
{
	struct log_about about = { 0 };
	json_error_t je;
	json_t *doc;
	json_t *answer;

	doc = json_loadb(req->body, req->len, JSON_REJECT_DUPLICATES, &je);
	if (doc == NULL) {
		httpd_reply_error(req, 400, "ticket",
		    "the ticket is not JSON; check it with spindlectl check",
		    "");
		return;
	}
	about.ticket =
	    (uint64_t)json_integer_value(json_object_get(doc, "ticket"));
	log_event(LOG_TICKET_RECEIVED, &about, "%s", "");
	answer = steer_ticket(a->steer, doc);
	json_decref(doc);
	reply_json(req, ticket_status(answer), answer);
}

static void
api_state(struct api *a, struct httpd_request *req)
{
	reply_json(req, 200, steer_state(a->steer));
}

static void
api_status(struct api *a, struct httpd_request *req)
{
	reply_json(req, 200, steer_status(a->steer));
}
