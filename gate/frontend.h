/* The gate's HTTP frontend: accepts callers' requests, writes responses. */
#ifndef FRONTEND_H
#define FRONTEND_H

#include "gate_loop.h"
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
/* Makes /readyz fail; requests are still accepted. */
void frontend_set_unready(struct frontend *);
/* Refuses new requests as not run. */
void frontend_refuse_requests(struct frontend *);
/* Number of requests in progress. */
uint32_t frontend_active_requests(const struct frontend *);
/* Answers what callers send until a time, and ends their connections. */
void frontend_drain(struct frontend *, uint64_t);
/* Waits for the request handlers, then stops the server. */
void frontend_destroy(struct frontend *);

#endif
