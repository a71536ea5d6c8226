#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "log.h"
#include "metric.h"

static void write_bus_metrics(FILE *, const struct bus_counts *);

void
admin_reply_events(struct httpd_request *req)
{
	unsigned long long since = 0;
	char *text;
	size_t len;

	if (strncmp(req->query, "since=", 6) == 0)
		since = strtoull(req->query + 6, NULL, 10);
	text = log_events_json(since, &len);
	httpd_reply(req, 200, "application/x-ndjson", "", text, len);
	free(text);
}

static void
write_bus_metrics(FILE *f, const struct bus_counts *c)
{
	metric_write(f, "spindle_bus_sent_total", "counter",
	    "Bus messages sent.", c->sent);
	metric_write(f, "spindle_bus_sent_bytes_total", "counter",
	    "Bus bytes sent.", c->sent_bytes);
	metric_write(f, "spindle_bus_received_total", "counter",
	    "Bus messages received.", c->received);
	metric_write(f, "spindle_bus_received_bytes_total", "counter",
	    "Bus bytes received.", c->received_bytes);
	metric_write(f, "spindle_bus_malformed_total", "counter",
	    "Bus messages that could not be decoded.", c->malformed);
	metric_write(f, "spindle_bus_dropped_total", "counter",
	    "Bus messages dropped.", c->dropped);
}

void
admin_reply_metrics(struct httpd_request *req,
    void (*write_metrics)(void *, FILE *), void *ctx,
    const struct bus_counts *bus)
{
	char *text = NULL;
	size_t len;
	FILE *f;

	f = open_memstream(&text, &len);
	write_metrics(ctx, f);
	write_bus_metrics(f, bus);
	metric_write_process(f);
	fclose(f);
	httpd_reply(req, 200, "text/plain; version=0.0.4", "", text, len);
	free(text);
}
