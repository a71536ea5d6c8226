#include <stdio.h>
#include <string.h>

#include "budget.h"

/* Part of the allowance used; requests move between processes. */
#define BUDGET_SHARE 0.8

static struct budget_service *budget_service(
    struct budget *, uint64_t, const char *);
static uint32_t sum(const uint32_t *);

void
budget_init(struct budget *b, const struct budget_config *c)
{
	memset(b, 0, sizeof(*b));
	b->config = *c;
	b->processes = 1;
}

void
budget_processes(struct budget *b, uint32_t n)
{
	b->processes = n == 0 ? 1 : n;
}

/* The service's counters, moved on to the step of now. */
static struct budget_service *
budget_service(struct budget *b, uint64_t now, const char *name)
{
	uint64_t step = now / (b->config.window_ns / BUDGET_STEPS);
	struct budget_service *s = NULL;
	uint32_t i;

	for (i = 0; i < b->n; i++) {
		if (strcmp(b->services[i].name, name) == 0)
			s = &b->services[i];
	}
	if (s == NULL) {
		/* Names beyond the table share its last place. */
		i = b->n < BUDGET_SERVICES_MAX ? b->n++ : b->n - 1;
		s = &b->services[i];
		memset(s, 0, sizeof(*s));
		snprintf(s->name, sizeof(s->name), "%s", name);
		s->step = step;
	}
	if (step >= s->step + BUDGET_STEPS) {
		memset(s->requests, 0, sizeof(s->requests));
		memset(s->repeats, 0, sizeof(s->repeats));
		s->step = step;
	}
	while (s->step < step) {
		s->step++;
		s->requests[s->step % BUDGET_STEPS] = 0;
		s->repeats[s->step % BUDGET_STEPS] = 0;
	}
	return s;
}

static uint32_t
sum(const uint32_t *steps)
{
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < BUDGET_STEPS; i++)
		total += steps[i];
	return total;
}

void
budget_request(struct budget *b, uint64_t now, const char *name)
{
	struct budget_service *s = budget_service(b, now, name);

	s->requests[s->step % BUDGET_STEPS]++;
}

int
budget_allows(struct budget *b, uint64_t now, const char *name)
{
	const struct budget_service *s = budget_service(b, now, name);
	double most;

	most = b->config.ratio * sum(s->requests) +
	    (double)b->config.slack / b->processes;
	return sum(s->repeats) + 1.0 <= most * BUDGET_SHARE;
}

void
budget_repeat(struct budget *b, uint64_t now, const char *name)
{
	struct budget_service *s = budget_service(b, now, name);

	s->repeats[s->step % BUDGET_STEPS]++;
}
