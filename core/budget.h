/*
 * Retry budget of a service: within a sliding window, retries are limited to a
 * ratio of its requests plus a constant, over all processes together.  Each
 * process enforces its own part without communication.  Deterministic.
 */
#ifndef BUDGET_H
#define BUDGET_H

#include "base.h"

#define BUDGET_BUCKETS 40 /* of one window */
#define BUDGET_SERVICES_MAX 64

struct budget_config {
	double retry_ratio; /* retries per request */
	uint64_t window_ns;
	double base_retries; /* beyond the ratio, for all processes */
};

struct budget_counters {
	char name[NAME_SIZE];
	uint32_t requests[BUDGET_BUCKETS];
	uint32_t retries[BUDGET_BUCKETS];
	uint64_t newest_bucket; /* number of the current bucket */
};

struct budget {
	struct budget_config config;
	uint32_t processes;
	uint32_t n;
	struct budget_counters services[BUDGET_SERVICES_MAX];
};

void budget_init(struct budget *, const struct budget_config *);
/* Sets the number of processes that share the constant. */
void budget_set_processes(struct budget *, uint32_t);
void budget_add_request(struct budget *, uint64_t, const char *);
/* Whether one more retry is within the budget. */
int budget_allows_retry(struct budget *, uint64_t, const char *);
void budget_add_retry(struct budget *, uint64_t, const char *);

#endif
