#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "api.h"
#include "httpd.h"
#include "log.h"
#include "mem.h"
#include "metric.h"

#define API_THREADS 16
#define API_BODY_MAX (2U << 20)

struct api {
	struct control_loop *loop;
	struct httpd *httpd;
};

typedef void (*api_handler)(struct api *, struct httpd_request *);

static void api_handle_request(void *, struct httpd_request *);
static void api_log_malformed(void *, const char *);
static void api_health(struct api *, struct httpd_request *);
static void api_ready(struct api *, struct httpd_request *);
static void write_metrics(void *, FILE *);
static void api_metrics(struct api *, struct httpd_request *);
static void api_events(struct api *, struct httpd_request *);
static void api_ticket(struct api *, struct httpd_request *);
static void api_state(struct api *, struct httpd_request *);
static void api_status(struct api *, struct httpd_request *);
static void reply_json(struct httpd_request *, int, json_t *);
static int ticket_http_status(const json_t *);

static const struct {
	const char *method;
	const char *path;
	api_handler handle;
} api_routes[] = {
	{ "GET", "/healthz", api_health },
	{ "GET", "/readyz", api_ready },
	{ "GET", "/metrics", api_metrics },
	{ "GET", "/events", api_events },
	{ "POST", "/v1/tickets", api_ticket },
	{ "GET", "/v1/state", api_state },
	{ "GET", "/v1/status", api_status },
};

struct api *
api_create(const char *addr, struct control_loop *loop, struct err *e)
{
	struct httpd_config hc;
	struct api *a;

	a = mem_alloc(sizeof(*a));
	a->loop = loop;
	memset(&hc, 0, sizeof(hc));
	snprintf(hc.addr, sizeof(hc.addr), "%s", addr);
	hc.threads = API_THREADS;
	hc.max_body_bytes = API_BODY_MAX;
	hc.on_request = api_handle_request;
	hc.on_bad_request = api_log_malformed;
	hc.ctx = a;
	a->httpd = httpd_create(&hc, e);
	if (a->httpd != NULL)
		return a;
	free(a);
	return NULL;
}

void
api_drain(struct api *a, uint64_t read_until)
{
	httpd_begin_shutdown(a->httpd);
	httpd_drain(a->httpd, read_until);
}

void
api_destroy(struct api *a)
{
	httpd_destroy(a->httpd);
	free(a);
}

static void
api_log_malformed(void *arg, const char *what)
{
	(void)arg;
	log_event(LOG_HTTP_BAD, NULL, "%s", what);
}

static void
api_handle_request(void *arg, struct httpd_request *req)
{
	struct api *a = arg;
	size_t i;

	for (i = 0; i < sizeof(api_routes) / sizeof(api_routes[0]); i++) {
		if (strcmp(api_routes[i].path, req->path) != 0)
			continue;
		if (strcmp(api_routes[i].method, req->method) == 0) {
			api_routes[i].handle(a, req);
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
	if (control_loop_is_ready(a->loop))
		httpd_reply_text(req, 200, "ready\n");
	else
		httpd_reply_text(req, 503,
		    "neither the key-value service nor a peer was heard\n");
}

static void
write_metrics(void *arg, FILE *f)
{
	const struct control_loop_counts *c = arg;

	metric_write(f, "spindle_kv_calls_total", "counter",
	    "Calls to the key-value service.", c->kv_calls);
	metric_write(f, "spindle_ring_items", "gauge",
	    "Items waiting for the decider.", c->ring);
}

static void
api_metrics(struct api *a, struct httpd_request *req)
{
	struct control_loop_counts c;

	control_loop_get_counts(a->loop, &c);
	admin_reply_metrics(req, write_metrics, &c, &c.bus);
}

static void
api_events(struct api *a, struct httpd_request *req)
{
	(void)a;
	admin_reply_events(req);
}

static int
ticket_http_status(const json_t *answer)
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
	struct log_subject about = { 0 };
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
	answer = control_loop_apply_ticket(a->loop, doc);
	json_decref(doc);
	reply_json(req, ticket_http_status(answer), answer);
}

static void
api_state(struct api *a, struct httpd_request *req)
{
	reply_json(req, 200, control_loop_get_state(a->loop));
}

static void
api_status(struct api *a, struct httpd_request *req)
{
	reply_json(req, 200, control_loop_get_status(a->loop));
}
