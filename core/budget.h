/*
 * Budget of repeats: in every window a service gets no more repeats than a
 * share of the requests for it and a constant, over all processes together.
 * Each process keeps its own part without talking to the others.
 * Deterministic.
 */
#ifndef BUDGET_H
#define BUDGET_H

#include "base.h"

#define BUDGET_STEPS 40 /* parts that a window is counted in */
#define BUDGET_SERVICES_MAX 64

struct budget_config {
	double ratio; /* repeats for each request */
	uint64_t window_ns;
	uint64_t slack; /* repeats beyond the ratio, of all processes */
};

struct budget_service {
	char name[NAME_SIZE];
	uint32_t requests[BUDGET_STEPS];
	uint32_t repeats[BUDGET_STEPS];
	uint64_t step; /* number of the newest step counted */
};

struct budget {
	struct budget_config config;
	uint32_t processes;
	uint32_t n;
	struct budget_service services[BUDGET_SERVICES_MAX];
};

void budget_init(struct budget *, const struct budget_config *);
/* How many processes share the constant. */
void budget_processes(struct budget *, uint32_t);
void budget_request(struct budget *, uint64_t, const char *);
/* Whether one more repeat is within the budget. */
int budget_allows(struct budget *, uint64_t, const char *);
void budget_repeat(struct budget *, uint64_t, const char *);

#endif
