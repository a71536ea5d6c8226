/* Internal interface of the gate's HTTP frontend. */
#ifndef FRONTEND_INT_H
#define FRONTEND_INT_H

#include "exchange.h"
#include "frontend.h"
#include "httpd.h"
#include "metric.h"
#include "watch.h"

struct frontend {
	struct frontend_config config;
	struct gate_loop *loop;
	struct httpd *httpd;
	struct watch *watch;
	uint64_t rid_base;
	uint64_t rid_next;
	uint32_t active_requests;
	int not_ready;
	int refusing;
	struct metric_histogram first_part_time; /* until the first part */
	struct metric_histogram total_time;	 /* until the end */
};

/* front_parse.c: builds an exchange from an HTTP request */
struct exchange *frontend_parse_request(
    struct frontend *, struct httpd_request *, const char **);

/* front_admin.c: /healthz, /readyz, /metrics, /events, /v1/models; 1: served */
int frontend_handle_admin(struct frontend *, struct httpd_request *);

#endif
