#include <stdio.h>
#include <stdlib.h>

#include "mem.h"
#include "pace.h"

#define PREFILL_TOKENS_PER_MS 20.0 /* of the slowest models */
#define FIRST_EVENT_BASE_MS 25.0   /* time to the first event beyond prefill */
#define FACTOR_INITIAL 0.8
#define FACTOR_MIN 0.08
#define FACTOR_MAX 1.5
#define FACTOR_SAMPLE_WEIGHT 0.15 /* in the moving average */
#define SERVICE_SAMPLE_WEIGHT 0.05

void
pace_clear(struct pace *p)
{
	struct pace_model *m, *next;
	struct pace_service *s, *after;

	HASH_ITER (hh, p->models, m, next) {
		HASH_DEL(p->models, m);
		free(m);
	}
	HASH_ITER (hh, p->services, s, after) {
		HASH_DEL(p->services, s);
		free(s);
	}
}

void
pace_add_service(struct pace *p, const char *name, uint64_t ns)
{
	struct pace_service *s;

	HASH_FIND_STR(p->services, name, s);
	if (s == NULL) {
		s = mem_alloc(sizeof(*s));
		snprintf(s->name, sizeof(s->name), "%s", name);
		s->mean_ns = (double)ns;
		HASH_ADD_STR(p->services, name, s);
	}
	s->mean_ns += ((double)ns - s->mean_ns) * SERVICE_SAMPLE_WEIGHT;
}

uint64_t
pace_service_ns(const struct pace *p, const char *name, uint64_t none)
{
	const struct pace_service *s;

	HASH_FIND_STR(p->services, name, s);
	return s == NULL ? none : (uint64_t)s->mean_ns;
}

void
pace_add_sample(
    struct pace *p, const char *name, uint32_t tokens, uint64_t first_ns)
{
	struct pace_model *m;
	double factor;

	if (tokens == 0)
		return;
	factor =
	    ((double)first_ns / (double)NSEC_PER_MSEC - FIRST_EVENT_BASE_MS) /
	    (tokens / PREFILL_TOKENS_PER_MS);
	if (factor < FACTOR_MIN)
		factor = FACTOR_MIN;
	if (factor > FACTOR_MAX)
		factor = FACTOR_MAX;
	HASH_FIND_STR(p->models, name, m);
	if (m == NULL) {
		m = mem_alloc(sizeof(*m));
		snprintf(m->name, sizeof(m->name), "%s", name);
		m->factor = factor;
		HASH_ADD_STR(p->models, name, m);
	}
	m->factor += (factor - m->factor) * FACTOR_SAMPLE_WEIGHT;
}

uint64_t
pace_prefill_ns(const struct pace *p, const char *name, uint32_t tokens)
{
	const struct pace_model *m;
	double factor = FACTOR_INITIAL;

	HASH_FIND_STR(p->models, name, m);
	if (m != NULL)
		factor = m->factor;
	return (uint64_t)(tokens / PREFILL_TOKENS_PER_MS * factor *
	    (double)NSEC_PER_MSEC);
}
