/* Admission of requests: route, account, deadlines and quota. */
#include <stdio.h>
#include <string.h>

#include "forward_int.h"
#include "loader_io.h"
#include "mem.h"
#include "quota_io.h"
#include "stream_io.h"

#define DEADLINE_DEFAULT_NS (60 * NSEC_PER_SEC)

static int forward_admit(struct forward *, struct err *);
static const char *error_text(int);

/*
 * Finds the route and sets the deadlines.  Returns 0, or the HTTP status to
 * refuse the request with.
 */
static int
forward_admit(struct forward *f, struct err *err)
{
	const struct http_head *h = caller_head(f->caller);
	const char *host = http_field_find(h, "Host");
	const struct fleet_route *r;
	const struct fleet_target *t;
	uint64_t limit_ns;

	if (fields_decode_request(h, &f->params, err) == -1)
		return 400;
	if (f->e->conf == NULL || !f->e->dir.synced) {
		err_set(err, ERR_UNAVAILABLE,
		    f->e->stopping ? "this process is stopping"
				   : "no configuration is known yet");
		return 503;
	}
	r = fleet_find_route(
	    f->e->conf, host == NULL ? "" : host, http_request_target(h));
	if (r == NULL)
		return 404;
	fleet_route_copy(&f->route, r);
	if (quota_io_identify(f) == -1)
		return 401;
	t = fleet_pick_target(r, entry_random(f->e));
	if (t == NULL) {
		err_set(err, ERR_UNAVAILABLE, "the route has no service");
		return 503;
	}
	snprintf(f->service, sizeof(f->service), "%s", t->service);
	limit_ns = f->params.timeout_ns != 0 ? f->params.timeout_ns
					     : DEADLINE_DEFAULT_NS;
	f->deadline = caller_request_started_at(f->caller) + limit_ns;
	if (f->deadline > f->arrived + r->timeout_ns)
		f->deadline = f->arrived + r->timeout_ns;
	if (f->e->now >= f->deadline) {
		err_set(err, ERR_UNAVAILABLE, "its deadline has passed");
		return 503;
	}
	if (!stop_may_start(&f->e->stop, f->e->now, f->deadline)) {
		err_set(err, ERR_UNAVAILABLE, "this process is stopping");
		return 503;
	}
	event_filter_start(&f->passed, f->params.last_event_id);
	caller_keep_until(f->caller, f->deadline);
	return 0;
}

static const char *
error_text(int status)
{
	switch (status) {
	case 401:
		return "the request has no valid key";
	case 404:
		return "no route matches";
	default:
		return "bad request";
	}
}

void
forward_start(struct entry *e, struct caller *c)
{
	struct forward *f;
	struct err err = { 0 };
	int status;

	f = mem_alloc(sizeof(*f));
	f->e = e;
	f->caller = c;
	f->arrived = e->now;
	f->deadline = e->now;
	f->expiry = expiry_create(e->loop, &forward_expiry_ops, f);
	caller_set_forward(c, f);
	TAILQ_INSERT_TAIL(&e->requests, f, entry);
	e->counts.arrived++;
	status = forward_admit(f, &err);
	f->params.fingerprint = forward_fingerprint(f);
	if (status == 503) {
		forward_refuse(f, err.text, RETRY_AFTER_NS);
		return;
	}
	if (status != 0) {
		forward_send_error(f, status, 0, error_text(status));
		forward_log(f, LOG_REQUEST_FAILED, "", err.text);
		forward_free(f);
		return;
	}
	if (forward_end_if_blocked(f))
		return;
	if (quota_io_admit(f))
		forward_begin(f);
}

void
forward_begin(struct forward *f)
{
	struct entry *e = f->e;

	budget_add_request(&e->budget, e->now, f->service);
	loader_io_count_arrival(e, &f->params);
	expiry_set(f->expiry, f->deadline);
	if (stream_io_is_take_up(f))
		stream_io_take_up(f);
	else
		forward_dispatch(f);
}
