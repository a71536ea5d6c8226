#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "front_int.h"
#include "hash.h"
#include "log.h"
#include "mem.h"

#define RID_SEQ_BITS 36
#define OUTCOME_HEADER "X-Spindle-Outcome"

struct outcome_answer {
	int status;
	const char *extra; /* header lines */
	const char *text;
};

static void front_handle(void *, struct httpd_request *);
static void front_bad(void *, const char *);
static void front_gone(void *, uint64_t);
static void front_serve(
    struct front *, struct httpd_request *, struct exchange *);
static int front_relay(
    struct front *, struct httpd_request *, struct exchange *);
static void front_refuse(struct httpd_request *, uint64_t, enum gate_outcome);
static void front_broken(struct httpd_request *, uint64_t, enum gate_outcome);
static int write_part(struct httpd_request *, const struct part *, uint64_t);

static const struct outcome_answer outcome_answers[OUTCOME__MAX] = {
	[OUTCOME_ANSWERED] = { 200, "", "" },
	[OUTCOME_NO_MODEL] = { 404, "",
	    "the model is not declared; see /v1/models. The request was not "
	    "run" },
	[OUTCOME_DEADLINE] = { 503, "Retry-After: 1\r\n",
	    "no backend server is free before the deadline; try again or "
	    "give more time. The request was not run" },
	[OUTCOME_OVERLOAD] = { 503, "Retry-After: 2\r\n",
	    "too much work is waiting; try again later. The request was not "
	    "run" },
	[OUTCOME_UNREACHABLE] = { 503, "Retry-After: 1\r\n",
	    "no backend server could be reached; try again. The request was "
	    "not run" },
	[OUTCOME_CLOSING] = { 503, "Retry-After: 1\r\n",
	    "this process is shutting down; try again. The request was not "
	    "run" },
	[OUTCOME_UNKNOWN] = { 502, "",
	    "a backend server took the request but did not answer; it may "
	    "or may not have run. Ask for its state before sending it "
	    "again" },
	[OUTCOME_FAILED] = { 502, "Retry-After: 1\r\n",
	    "every attempt broke; the request may be sent again" },
};

struct front *
front_create(
    const struct front_config *config, struct decide *decide, struct err *e)
{
	struct httpd_config hc;
	struct front *f;
	char identity[ADDR_SIZE + 32];

	f = mem_alloc(sizeof(*f));
	f->config = *config;
	f->decide = decide;
	f->first.name = "spindle_first_part_seconds";
	f->first.help = "Time until the first part of an answer.";
	f->total.name = "spindle_request_seconds";
	f->total.help = "Time until the end of an answer.";
	snprintf(identity, sizeof(identity), "%s/%llu", config->bus,
	    (unsigned long long)config->incarnation);
	f->rid_base = (hash_text(identity) | 1) << RID_SEQ_BITS;
	f->watch = watch_create(front_gone, f);
	memset(&hc, 0, sizeof(hc));
	snprintf(hc.addr, sizeof(hc.addr), "%s", config->listen);
	hc.threads = config->threads;
	hc.body_max = config->body_max;
	hc.on_request = front_handle;
	hc.on_bad_request = front_bad;
	hc.ctx = f;
	f->httpd = httpd_create(&hc, e);
	if (f->httpd != NULL)
		return f;
	watch_destroy(f->watch);
	free(f);
	return NULL;
}

void
front_unready(struct front *f)
{
	__atomic_store_n(&f->unready, 1, __ATOMIC_RELEASE);
	httpd_begin_shutdown(f->httpd);
}

void
front_close(struct front *f)
{
	__atomic_store_n(&f->closed, 1, __ATOMIC_RELEASE);
}

uint32_t
front_active(const struct front *f)
{
	return __atomic_load_n(&f->active, __ATOMIC_ACQUIRE);
}

void
front_destroy(struct front *f)
{
	httpd_destroy(f->httpd);
	watch_destroy(f->watch);
	free(f);
}

static void
front_bad(void *arg, const char *what)
{
	(void)arg;
	log_event(LOG_HTTP_BAD, NULL, "%s", what);
}

/* Watcher thread: the caller has closed its connection. */
static void
front_gone(void *arg, uint64_t rid)
{
	struct front *f = arg;

	decide_cancel(f->decide, rid);
}

static void
front_refuse(struct httpd_request *req, uint64_t rid, enum gate_outcome outcome)
{
	const struct outcome_answer *a = &outcome_answers[outcome];
	char extra[256];

	snprintf(extra, sizeof(extra),
	    OUTCOME_HEADER ": %s\r\nX-Request-Id: %016llx\r\n%s",
	    gate_outcome_name(outcome), (unsigned long long)rid, a->extra);
	httpd_reply_error(
	    req, a->status, gate_outcome_name(outcome), a->text, extra);
}

/* A stream that cannot be completed ends with an error event and a cut. */
static void
front_broken(struct httpd_request *req, uint64_t rid, enum gate_outcome outcome)
{
	char event[512];
	int n;

	n = snprintf(event, sizeof(event),
	    "data: {\"error\":{\"type\":\"%s\",\"message\":\"%s\","
	    "\"request\":\"%016llx\"}}\n\n",
	    gate_outcome_name(outcome), outcome_answers[outcome].text,
	    (unsigned long long)rid);
	if (n > 0 && (size_t)n < sizeof(event))
		httpd_write_chunk(req, event, (size_t)n);
	httpd_abort(req);
}

static int
write_part(struct httpd_request *req, const struct part *p, uint64_t rid)
{
	char extra[128];

	if (p->status == 0)
		return httpd_write_chunk(req, p->bytes, p->len);
	snprintf(extra, sizeof(extra),
	    OUTCOME_HEADER ": answered\r\nX-Request-Id: %016llx\r\n",
	    (unsigned long long)rid);
	return httpd_begin_chunked(req, p->status,
	    p->type[0] != '\0' ? p->type : "application/octet-stream", extra);
}

/* Writes the answer as it comes.  Returns -1 when the caller is gone. */
static int
front_relay(struct front *f, struct httpd_request *req, struct exchange *x)
{
	uint64_t rid = exchange_info(x)->req.rid;
	uint64_t start = clock_mono();
	enum gate_outcome outcome;
	enum exchange_next next;
	struct part *p;
	int begun = 0;

	for (;;) {
		next = exchange_wait(x, &p, &outcome);
		if (next != EXCHANGE_PART)
			break;
		if (!begun)
			metric_observe(&f->first, clock_mono() - start);
		begun = 1;
		if (write_part(req, p, rid) == -1) {
			part_destroy(p);
			decide_cancel(f->decide, rid);
			return -1;
		}
		part_destroy(p);
	}
	metric_observe(&f->total, clock_mono() - start);
	if (next == EXCHANGE_END)
		return httpd_end_chunked(req);
	if (begun)
		front_broken(req, rid, outcome);
	else
		front_refuse(req, rid, outcome);
	return 0;
}

static void
front_serve(struct front *f, struct httpd_request *req, struct exchange *x)
{
	uint64_t rid = exchange_info(x)->req.rid;
	struct log_subject about = { 0 };
	int fd;

	about.request = rid;
	about.model = exchange_info(x)->req.model;
	log_event(LOG_REQUEST_ARRIVED, &about, "%s", req->path);
	if (decide_arrive(f->decide, x) == -1) {
		log_event(LOG_REQUEST_SHED, &about, "%s", "");
		front_refuse(req, rid, OUTCOME_OVERLOAD);
	} else {
		fd = httpd_fd(req);
		if (fd == -1 || watch_add(f->watch, fd, rid) == -1)
			decide_cancel(f->decide, rid);
		front_relay(f, req, x);
		if (fd != -1)
			watch_remove(f->watch, fd);
	}
	exchange_remove(x);
	exchange_unref(x);
}

static void
front_handle(void *arg, struct httpd_request *req)
{
	struct front *f = arg;
	struct exchange *x;
	const char *why = NULL;

	if (front_admin(f, req))
		return;
	if (__atomic_load_n(&f->closed, __ATOMIC_ACQUIRE)) {
		front_refuse(req, 0, OUTCOME_CLOSING);
		return;
	}
	__atomic_fetch_add(&f->active, 1, __ATOMIC_ACQ_REL);
	x = front_parse(f, req, &why);
	if (x != NULL) {
		front_serve(f, req, x);
	} else if (why == NULL) {
		httpd_reply_error(req, 404, "not-run-no-route",
		    "no declared service has this path; see spindlectl show",
		    OUTCOME_HEADER ": not-run-no-route\r\n");
	} else {
		log_event(LOG_HTTP_BAD, NULL, "%s", why);
		httpd_reply_error(req, 400, "not-run-bad-request", why,
		    OUTCOME_HEADER ": not-run-bad-request\r\n");
	}
	__atomic_fetch_sub(&f->active, 1, __ATOMIC_ACQ_REL);
}
