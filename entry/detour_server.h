/* Passes attempts of peers on to replicas; see detour_io.h. */
#ifndef DETOUR_SERVER_H
#define DETOUR_SERVER_H

#include <stdio.h>

#include "entry_int.h"

/* Listens for peers; NULL with the error filled in if it cannot. */
struct detour_server *detour_server_create(struct entry *, struct err *);
void detour_server_destroy(struct detour_server *);
/* Whether no attempt of a peer is in progress. */
int detour_server_is_idle(const struct detour_server *);
/* Counters and a gauge, for metrics. */
void detour_server_write_metrics(const struct detour_server *, FILE *);

#endif
