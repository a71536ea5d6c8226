/* The gate's side towards callers: HTTP in, answers and errors out. */
#ifndef FRONT_H
#define FRONT_H

#include "decide.h"
#include "err.h"

struct frontend;

struct frontend_config {
	char listen[ADDR_SIZE];
	int threads;
	size_t body_max;
	uint64_t incarnation;
	char bus[ADDR_SIZE];
};

struct frontend *frontend_create(
    const struct frontend_config *, struct gate_loop *, struct err *);
/* /readyz fails from now on; requests are still taken. */
void frontend_set_unready(struct frontend *);
/* New requests are refused as not run. */
void frontend_refuse_requests(struct frontend *);
/* Requests in progress. */
uint32_t frontend_active_requests(const struct frontend *);
/* Waits for the handlers and stops. */
void frontend_destroy(struct frontend *);

#endif
