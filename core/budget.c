#include <stdio.h>
#include <string.h>

#include "budget.h"

/* Margin for requests that move from one process to another. */
#define BUDGET_USABLE_SHARE 0.8

static struct budget_counters *budget_get_counters(
    struct budget *, uint64_t, const char *);
static uint32_t sum_buckets(const uint32_t *);

void
budget_init(struct budget *b, const struct budget_config *c)
{
	memset(b, 0, sizeof(*b));
	b->config = *c;
	b->processes = 1;
}

void
budget_set_processes(struct budget *b, uint32_t n)
{
	b->processes = n == 0 ? 1 : n;
}

/* Finds a service's counters and advances them to the current bucket. */
static struct budget_counters *
budget_get_counters(struct budget *b, uint64_t now, const char *name)
{
	uint64_t step = now / (b->config.window_ns / BUDGET_BUCKETS);
	struct budget_counters *s = NULL;
	uint32_t i;

	for (i = 0; i < b->n; i++) {
		if (strcmp(b->services[i].name, name) == 0)
			s = &b->services[i];
	}
	if (s == NULL) {
		/* Services beyond the table share its last entry. */
		i = b->n < BUDGET_SERVICES_MAX ? b->n++ : b->n - 1;
		s = &b->services[i];
		memset(s, 0, sizeof(*s));
		snprintf(s->name, sizeof(s->name), "%s", name);
		s->newest_bucket = step;
	}
	if (step >= s->newest_bucket + BUDGET_BUCKETS) {
		memset(s->requests, 0, sizeof(s->requests));
		memset(s->retries, 0, sizeof(s->retries));
		s->newest_bucket = step;
	}
	while (s->newest_bucket < step) {
		s->newest_bucket++;
		s->requests[s->newest_bucket % BUDGET_BUCKETS] = 0;
		s->retries[s->newest_bucket % BUDGET_BUCKETS] = 0;
	}
	return s;
}

static uint32_t
sum_buckets(const uint32_t *steps)
{
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < BUDGET_BUCKETS; i++)
		total += steps[i];
	return total;
}

void
budget_add_request(struct budget *b, uint64_t now, const char *name)
{
	struct budget_counters *s = budget_get_counters(b, now, name);

	s->requests[s->newest_bucket % BUDGET_BUCKETS]++;
}

int
budget_allows_retry(struct budget *b, uint64_t now, const char *name)
{
	const struct budget_counters *s = budget_get_counters(b, now, name);
	double most;

	most = b->config.retry_ratio * sum_buckets(s->requests) +
	    b->config.base_retries / b->processes;
	return sum_buckets(s->retries) + 1.0 <= most * BUDGET_USABLE_SHARE;
}

void
budget_add_retry(struct budget *b, uint64_t now, const char *name)
{
	struct budget_counters *s = budget_get_counters(b, now, name);

	s->retries[s->newest_bucket % BUDGET_BUCKETS]++;
}
