/* HTTP endpoints that all daemons share: /events and /metrics. */
#ifndef ADMIN_H
#define ADMIN_H

#include <stdio.h>

#include "bus.h"
#include "httpd.h"

/* GET /events?since=N: the event log as JSON lines. */
void admin_reply_events(struct httpd_request *);
/* GET /metrics: the callback's metrics, then those of bus and process. */
void admin_reply_metrics(struct httpd_request *, void (*)(void *, FILE *),
    void *, const struct bus_counts *);

#endif
