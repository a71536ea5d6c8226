/* The gate's side towards callers: HTTP in, answers and errors out. */
#ifndef FRONT_H
#define FRONT_H

#include "decide.h"
#include "err.h"

struct front;

struct front_config {
	char listen[ADDR_SIZE];
	int threads;
	size_t body_max;
	uint64_t incarnation;
	char bus[ADDR_SIZE];
};

struct front *front_create(
    const struct front_config *, struct decide *, struct err *);
/* /readyz fails from now on; requests are still taken. */
void front_unready(struct front *);
/* New requests are refused as not run. */
void front_close(struct front *);
/* Requests in progress. */
uint32_t front_active(const struct front *);
/* Waits for the handlers and stops. */
void front_destroy(struct front *);

#endif
