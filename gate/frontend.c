#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "frontend_int.h"
#include "hash.h"
#include "log.h"
#include "mem.h"

#define RID_SEQ_BITS 36
#define OUTCOME_HEADER "X-Spindle-Outcome"

struct outcome_response {
	int status;
	unsigned int retry_after_s; /* unless known better, 0: none */
	const char *text;
};

static void frontend_handle_request(void *, struct httpd_request *);
static void frontend_log_malformed(void *, const char *);
static void frontend_on_disconnect(void *, uint64_t);
static void frontend_serve_request(
    struct frontend *, struct httpd_request *, struct exchange *);
static int frontend_write_response(
    struct frontend *, struct httpd_request *, struct exchange *);
static void frontend_refuse_request(
    struct httpd_request *, uint64_t, enum gate_outcome, uint64_t);
static void frontend_abort_stream(
    struct httpd_request *, uint64_t, enum gate_outcome);
static int frontend_write_part(
    struct httpd_request *, const struct response_part *, uint64_t);

static const struct outcome_response outcome_responses[OUTCOME__MAX] = {
	[OUTCOME_ANSWERED] = { 200, 0, "" },
	[OUTCOME_NO_MODEL] = { 404, 0,
	    "the model is not declared; see /v1/models. The request was not "
	    "run" },
	[OUTCOME_DEADLINE] = { 503, 1,
	    "no backend server is free before the deadline; try again or "
	    "give more time. The request was not run" },
	[OUTCOME_OVERLOAD] = { 503, 2,
	    "too much work is waiting; try again later. The request was not "
	    "run" },
	[OUTCOME_UNREACHABLE] = { 503, 1,
	    "no backend server could be reached; try again. The request was "
	    "not run" },
	[OUTCOME_CLOSING] = { 503, 1,
	    "this process is shutting down; try again. The request was not "
	    "run" },
	[OUTCOME_UNKNOWN] = { 502, 0,
	    "a backend server took the request but did not answer; it may "
	    "or may not have run. Ask for its state before sending it "
	    "again" },
	[OUTCOME_FAILED] = { 502, 1,
	    "every attempt broke; the request may be sent again" },
};

struct frontend *
frontend_create(
    const struct frontend_config *config, struct gate_loop *loop, struct err *e)
{
	struct httpd_config hc;
	struct frontend *f;
	char identity[ADDR_SIZE + 32];

	f = mem_alloc(sizeof(*f));
	f->config = *config;
	f->loop = loop;
	f->first_part_time.name = "spindle_first_part_seconds";
	f->first_part_time.help = "Time until the first part of an answer.";
	f->total_time.name = "spindle_request_seconds";
	f->total_time.help = "Time until the end of an answer.";
	snprintf(identity, sizeof(identity), "%s/%llu", config->bus,
	    (unsigned long long)config->incarnation);
	f->rid_base = (hash_text(identity) | 1) << RID_SEQ_BITS;
	f->watch = watch_create(frontend_on_disconnect, f);
	memset(&hc, 0, sizeof(hc));
	snprintf(hc.addr, sizeof(hc.addr), "%s", config->listen);
	hc.threads = config->threads;
	hc.max_body_bytes = config->body_max;
	hc.on_request = frontend_handle_request;
	hc.on_bad_request = frontend_log_malformed;
	hc.ctx = f;
	f->httpd = httpd_create(&hc, e);
	if (f->httpd != NULL)
		return f;
	watch_destroy(f->watch);
	free(f);
	return NULL;
}

void
frontend_set_unready(struct frontend *f)
{
	__atomic_store_n(&f->not_ready, 1, __ATOMIC_RELEASE);
	httpd_begin_shutdown(f->httpd);
}

void
frontend_refuse_requests(struct frontend *f)
{
	__atomic_store_n(&f->refusing, 1, __ATOMIC_SEQ_CST);
}

uint32_t
frontend_active_requests(const struct frontend *f)
{
	return __atomic_load_n(&f->active_requests, __ATOMIC_SEQ_CST);
}

void
frontend_drain(struct frontend *f, uint64_t read_until)
{
	httpd_drain(f->httpd, read_until);
}

void
frontend_destroy(struct frontend *f)
{
	httpd_destroy(f->httpd);
	watch_destroy(f->watch);
	free(f);
}

static void
frontend_log_malformed(void *arg, const char *what)
{
	(void)arg;
	log_event(LOG_HTTP_BAD, NULL, "%s", what);
}

/* Runs in the watch thread when the caller has closed its connection. */
static void
frontend_on_disconnect(void *arg, uint64_t rid)
{
	struct frontend *f = arg;

	gate_loop_cancel(f->loop, rid);
}

/* The time is when a backend server takes requests, 0: now or unknown. */
static void
frontend_refuse_request(struct httpd_request *req, uint64_t rid,
    enum gate_outcome outcome, uint64_t reopen_at)
{
	const struct outcome_response *a = &outcome_responses[outcome];
	unsigned long long retry_after_s = a->retry_after_s;
	uint64_t now = clock_mono();
	char retry[48] = "";
	char extra[256];

	if (retry_after_s != 0 && reopen_at > now)
		retry_after_s =
		    (reopen_at - now + NSEC_PER_SEC - 1) / NSEC_PER_SEC;
	if (retry_after_s != 0)
		snprintf(retry, sizeof(retry), "Retry-After: %llu\r\n",
		    retry_after_s);
	snprintf(extra, sizeof(extra),
	    OUTCOME_HEADER ": %s\r\nX-Request-Id: %016llx\r\n%s",
	    gate_outcome_name(outcome), (unsigned long long)rid, retry);
	httpd_reply_error(
	    req, a->status, gate_outcome_name(outcome), a->text, extra);
}

/*
 * Ends an incomplete stream: sends an error event, then closes the connection
 * without the final chunk, so that the caller can't take it for complete.
 */
static void
frontend_abort_stream(
    struct httpd_request *req, uint64_t rid, enum gate_outcome outcome)
{
	char event[512];
	int n;

	n = snprintf(event, sizeof(event),
	    "data: {\"error\":{\"type\":\"%s\",\"message\":\"%s\","
	    "\"request\":\"%016llx\"}}\n\n",
	    gate_outcome_name(outcome), outcome_responses[outcome].text,
	    (unsigned long long)rid);
	if (n > 0 && (size_t)n < sizeof(event))
		httpd_write_chunk(req, event, (size_t)n);
	httpd_abort(req);
}

static int
frontend_write_part(
    struct httpd_request *req, const struct response_part *p, uint64_t rid)
{
	char retry[48] = "";
	char extra[192];

	if (p->status == 0)
		return httpd_write_chunk(req, p->bytes, p->len);
	if (p->retry_after_s != 0)
		snprintf(retry, sizeof(retry), "Retry-After: %llu\r\n",
		    (unsigned long long)p->retry_after_s);
	snprintf(extra, sizeof(extra),
	    OUTCOME_HEADER ": answered\r\nX-Request-Id: %016llx\r\n%s",
	    (unsigned long long)rid, retry);
	return httpd_begin_chunked(req, p->status,
	    p->type[0] != '\0' ? p->type : "application/octet-stream", extra);
}

/* Writes parts as they arrive.  Returns -1 when the caller has disconnected. */
static int
frontend_write_response(
    struct frontend *f, struct httpd_request *req, struct exchange *x)
{
	uint64_t rid = exchange_info(x)->req.rid;
	uint64_t start = clock_mono();
	enum gate_outcome outcome;
	enum exchange_event next;
	struct response_part *p;
	int begun = 0;

	for (;;) {
		next = exchange_next_event(x, &p, &outcome);
		if (next != EXCHANGE_EVENT_PART)
			break;
		if (!begun)
			metric_observe(
			    &f->first_part_time, clock_mono() - start);
		begun = 1;
		if (frontend_write_part(req, p, rid) == -1) {
			response_part_destroy(p);
			gate_loop_cancel(f->loop, rid);
			return -1;
		}
		response_part_destroy(p);
	}
	metric_observe(&f->total_time, clock_mono() - start);
	if (next == EXCHANGE_EVENT_END)
		return httpd_end_chunked(req);
	if (begun)
		frontend_abort_stream(req, rid, outcome);
	else
		frontend_refuse_request(
		    req, rid, outcome, exchange_reopen_at(x));
	return 0;
}

static void
frontend_serve_request(
    struct frontend *f, struct httpd_request *req, struct exchange *x)
{
	uint64_t rid = exchange_info(x)->req.rid;
	struct log_subject about = { 0 };
	int fd;

	about.request = rid;
	about.model = exchange_info(x)->req.model;
	log_event(LOG_REQUEST_ARRIVED, &about, "%s", req->path);
	if (gate_loop_submit(f->loop, x) == -1) {
		log_event(LOG_REQUEST_SHED, &about, "%s", "");
		frontend_refuse_request(req, rid, OUTCOME_OVERLOAD, 0);
	} else {
		fd = httpd_fd(req);
		if (fd == -1 || watch_add(f->watch, fd, rid) == -1)
			gate_loop_cancel(f->loop, rid);
		frontend_write_response(f, req, x);
		if (fd != -1)
			watch_remove(f->watch, fd);
	}
	exchange_unregister(x);
	exchange_unref(x);
}

static void
frontend_handle_request(void *arg, struct httpd_request *req)
{
	struct frontend *f = arg;
	struct exchange *x;
	const char *why = NULL;

	if (frontend_handle_admin(f, req))
		return;
	/* Counted first: a stop refuses requests, then waits for the count. */
	__atomic_fetch_add(&f->active_requests, 1, __ATOMIC_SEQ_CST);
	if (__atomic_load_n(&f->refusing, __ATOMIC_SEQ_CST)) {
		frontend_refuse_request(req, 0, OUTCOME_CLOSING, 0);
		__atomic_fetch_sub(&f->active_requests, 1, __ATOMIC_ACQ_REL);
		return;
	}
	x = frontend_parse_request(f, req, &why);
	if (x != NULL) {
		frontend_serve_request(f, req, x);
	} else if (why == NULL) {
		httpd_reply_error(req, 404, "not-run-no-route",
		    "no declared service has this path; see spindlectl show",
		    OUTCOME_HEADER ": not-run-no-route\r\n");
	} else {
		log_event(LOG_HTTP_BAD, NULL, "%s", why);
		httpd_reply_error(req, 400, "not-run-bad-request", why,
		    OUTCOME_HEADER ": not-run-bad-request\r\n");
	}
	__atomic_fetch_sub(&f->active_requests, 1, __ATOMIC_ACQ_REL);
}
