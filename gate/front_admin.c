/* Paths of the gate that serve operators and balancers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catalogue.h"
#include "front_int.h"
#include "log.h"

typedef void (*admin_handler)(struct front *, struct httpd_request *);

static void admin_health(struct front *, struct httpd_request *);
static void admin_ready(struct front *, struct httpd_request *);
static void admin_metrics(struct front *, struct httpd_request *);
static void admin_events(struct front *, struct httpd_request *);
static void admin_models(struct front *, struct httpd_request *);
static void add_model(void *, const char *, const char *);
static void write_metrics(struct front *, FILE *);

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
front_admin(struct front *f, struct httpd_request *req)
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
admin_health(struct front *f, struct httpd_request *req)
{
	(void)f;
	httpd_reply_text(req, 200, "ok\n");
}

static void
admin_ready(struct front *f, struct httpd_request *req)
{
	struct decide_status st;

	decide_status(f->decide, &st);
	if (__atomic_load_n(&f->unready, __ATOMIC_ACQUIRE))
		httpd_reply_text(req, 503, "shutting down\n");
	else if (!st.ready)
		httpd_reply_text(req, 503,
		    "the configuration in force is not known; check "
		    "spindle-control on this VM\n");
	else
		httpd_reply_text(req, 200, "ready\n");
}

static void
write_metrics(struct front *f, FILE *out)
{
	struct decide_status st;
	int i;

	decide_status(f->decide, &st);
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
	    "Attempts sent without a grant.", st.totals.alone);
	metric_write(out, "spindle_calls", "gauge", "Requests in progress.",
	    st.totals.calls);
	metric_write(out, "spindle_ring_items", "gauge",
	    "Items waiting for the decider.", st.ring);
	metric_write(out, "spindle_bus_sent_total", "counter",
	    "Bus messages sent.", st.bus.sent);
	metric_write(out, "spindle_bus_sent_bytes_total", "counter",
	    "Bus bytes sent.", st.bus.sent_bytes);
	metric_write(out, "spindle_bus_received_total", "counter",
	    "Bus messages received.", st.bus.received);
	metric_write(out, "spindle_bus_received_bytes_total", "counter",
	    "Bus bytes received.", st.bus.received_bytes);
	metric_write(out, "spindle_bus_malformed_total", "counter",
	    "Bus messages that could not be decoded.", st.bus.malformed);
	metric_write(out, "spindle_bus_dropped_total", "counter",
	    "Bus messages dropped.", st.bus.dropped);
	fputs("# HELP spindle_failed_total Requests told an outcome.\n"
	      "# TYPE spindle_failed_total counter\n",
	    out);
	for (i = OUTCOME_NO_MODEL; i < OUTCOME__MAX; i++)
		fprintf(out, "spindle_failed_total{outcome=\"%s\"} %llu\n",
		    gate_outcome_name((enum gate_outcome)i),
		    (unsigned long long)st.totals.failed[i]);
	metric_write_histogram(out, &f->first);
	metric_write_histogram(out, &f->total);
	metric_write_process(out);
}

static void
admin_metrics(struct front *f, struct httpd_request *req)
{
	char *text = NULL;
	size_t len;
	FILE *out;

	out = open_memstream(&text, &len);
	write_metrics(f, out);
	fclose(out);
	httpd_reply(req, 200, "text/plain; version=0.0.4", "", text, len);
	free(text);
}

static void
admin_events(struct front *f, struct httpd_request *req)
{
	unsigned long long since = 0;
	char *text;
	size_t len;

	(void)f;
	if (strncmp(req->query, "since=", 6) == 0)
		since = strtoull(req->query + 6, NULL, 10);
	text = log_json(since, &len);
	httpd_reply(req, 200, "application/x-ndjson", "", text, len);
	free(text);
}

static void
add_model(void *ctx, const char *name, const char *base)
{
	json_array_append_new(ctx,
	    json_pack("{s:s,s:s,s:s,s:s}", "id", name, "object", "model",
		"owned_by", "arbutusspindle", "parent", base));
}

static void
admin_models(struct front *f, struct httpd_request *req)
{
	json_t *list = json_array();
	json_t *doc;
	char *text;

	(void)f;
	catalogue_each(add_model, list);
	doc = json_pack("{s:s,s:o}", "object", "list", "data", list);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	httpd_reply(req, 200, "application/json", "", text, strlen(text));
	free(text);
}
