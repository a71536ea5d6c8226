/*
 * HTTP endpoints for operators: readiness for the load balancer, and metrics
 * in the text exposition format.
 */
#ifndef ADMIN_H
#define ADMIN_H

#include "entry_int.h"

struct admin;

/* Listens on both addresses; NULL with the error filled in on failure. */
struct admin *admin_create(struct entry *, struct err *);
/* Closes the listening sockets and all connections; NULL is allowed. */
void admin_destroy(struct admin *);

#endif
