/* Answers that every daemon gives alike on its HTTP address. */
#ifndef ADMIN_H
#define ADMIN_H

#include <stdio.h>

#include "bus.h"
#include "httpd.h"

/* /events?since=N */
void admin_reply_events(struct httpd_request *);
/* /metrics: the caller's own figures, then the bus's and the process's. */
void admin_reply_metrics(struct httpd_request *, void (*)(void *, FILE *),
    void *, const struct bus_counts *);

#endif
