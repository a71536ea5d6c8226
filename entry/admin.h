/* Answers to the balancer's readiness question, and metrics. */
#ifndef ADMIN_H
#define ADMIN_H

#include "entry_int.h"

struct admin;

struct admin *admin_create(struct entry *, struct err *);
void admin_destroy(struct admin *);

#endif
