/* Shared by the files of the front. */
#ifndef FRONT_INT_H
#define FRONT_INT_H

#include "exchange.h"
#include "front.h"
#include "httpd.h"
#include "metric.h"
#include "watch.h"

struct front {
	struct front_config config;
	struct decide *decide;
	struct httpd *httpd;
	struct watch *watch;
	uint64_t rid_base;
	uint64_t rid_next;
	uint32_t active;
	int unready;
	int closed;
	struct metric_histogram first; /* until the first part */
	struct metric_histogram total; /* until the end */
};

/* front_parse.c: from HTTP to an exchange, or NULL after an error answer */
struct exchange *front_parse(
    struct front *, struct httpd_request *, const char **);

/* front_admin.c: /healthz, /readyz, /metrics, /events, /v1/models */
int front_admin(struct front *, struct httpd_request *);

#endif
