/* HTTP paths of the gate for operators and load balancers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "catalogue.h"
#include "frontend_int.h"

typedef void (*admin_handler)(struct frontend *, struct httpd_request *);

static void admin_health(struct frontend *, struct httpd_request *);
static void admin_ready(struct frontend *, struct httpd_request *);
static void admin_metrics(struct frontend *, struct httpd_request *);
static void admin_events(struct frontend *, struct httpd_request *);
static void admin_models(struct frontend *, struct httpd_request *);
static void add_model(void *, const char *, const char *);
static void write_metrics(void *, FILE *);

static const struct {
	const char *path;
	admin_handler handle;
} admin_paths[] = {
	{ "/healthz", admin_health },
	{ "/readyz", admin_ready },
	{ "/metrics", admin_metrics },
	{ "/events", admin_events },
	{ "/v1/models", admin_models },
};

int
frontend_handle_admin(struct frontend *f, struct httpd_request *req)
{
	size_t i;

	for (i = 0; i < nitems(admin_paths); i++) {
		if (strcmp(admin_paths[i].path, req->path) != 0)
			continue;
		admin_paths[i].handle(f, req);
		return 1;
	}
	return 0;
}

static void
admin_health(struct frontend *f, struct httpd_request *req)
{
	(void)f;
	httpd_reply_text(req, 200, "ok\n");
}

static void
admin_ready(struct frontend *f, struct httpd_request *req)
{
	struct gate_loop_status st;

	gate_loop_get_status(f->loop, &st);
	if (__atomic_load_n(&f->not_ready, __ATOMIC_ACQUIRE))
		httpd_reply_text(req, 503, "shutting down\n");
	else if (!st.ready)
		httpd_reply_text(req, 503,
		    "the configuration in force is not known; check "
		    "spindle-control on this VM\n");
	else
		httpd_reply_text(req, 200, "ready\n");
}

static void
write_metrics(void *arg, FILE *out)
{
	struct frontend *f = arg;
	struct gate_loop_status st;
	int i;

	gate_loop_get_status(f->loop, &st);
	metric_write(out, "spindle_requests_total", "counter",
	    "Requests accepted from callers.", st.totals.arrived);
	metric_write(out, "spindle_answered_total", "counter",
	    "Requests answered whole.", st.totals.answered);
	metric_write(out, "spindle_cancelled_total", "counter",
	    "Requests whose caller went away.", st.totals.cancelled);
	metric_write(out, "spindle_retries_total", "counter",
	    "Attempts after a broken one.", st.totals.retries);
	metric_write(out, "spindle_resumes_total", "counter",
	    "Streams continued elsewhere.", st.totals.resumes);
	metric_write(out, "spindle_hedges_total", "counter",
	    "Second attempts for a late first token.", st.totals.hedges);
	metric_write(out, "spindle_alone_total", "counter",
	    "Attempts sent without a grant.", st.totals.local_selections);
	metric_write(out, "spindle_leaving_notices_total", "counter",
	    "Times a backend server said that it leaves.",
	    st.totals.leaving_notices);
	metric_write(out, "spindle_closed_notices_total", "counter",
	    "Times a backend server said that it takes no requests.",
	    st.totals.closed_notices);
	metric_write(out, "spindle_calls", "gauge", "Requests in progress.",
	    st.totals.calls);
	metric_write(out, "spindle_ring_items", "gauge",
	    "Items waiting for the decider.", st.ring);
	fputs("# HELP spindle_failed_total Requests told an outcome.\n"
	      "# TYPE spindle_failed_total counter\n",
	    out);
	for (i = OUTCOME_NO_MODEL; i < OUTCOME__MAX; i++)
		fprintf(out, "spindle_failed_total{outcome=\"%s\"} %llu\n",
		    gate_outcome_name((enum gate_outcome)i),
		    (unsigned long long)st.totals.failed[i]);
	metric_write_histogram(out, &f->first_part_time);
	metric_write_histogram(out, &f->total_time);
}

static void
admin_metrics(struct frontend *f, struct httpd_request *req)
{
	struct gate_loop_status st;

	gate_loop_get_status(f->loop, &st);
	admin_reply_metrics(req, write_metrics, f, &st.bus);
}

static void
admin_events(struct frontend *f, struct httpd_request *req)
{
	(void)f;
	admin_reply_events(req);
}

static void
add_model(void *ctx, const char *name, const char *base)
{
	json_array_append_new(ctx,
	    json_pack("{s:s,s:s,s:s,s:s}", "id", name, "object", "model",
		"owned_by", "arbutusspindle", "parent", base));
}

static void
admin_models(struct frontend *f, struct httpd_request *req)
{
	json_t *list = json_array();
	json_t *doc;
	char *text;

	(void)f;
	catalogue_each_model(add_model, list);
	doc = json_pack("{s:s,s:o}", "object", "list", "data", list);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	httpd_reply(req, 200, "application/json", "", text, strlen(text));
	free(text);
}
