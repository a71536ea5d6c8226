/* Arrival traces for spindle-load. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "hash.h"
#include "load.h"
#include "mem.h"

#define ROTATE_STEP 7 /* shift in popularity rank, in models */

static double rate_at(const struct load_config *, double);
static uint32_t pick_model(
    const struct load_config *, unsigned short *, const double *);
static void fill_request(
    const struct load_config *, unsigned short *, struct load_request *);

/* Requests per second at time t; multiplied in the middle third. */
static double
rate_at(const struct load_config *c, double t)
{
	if (t >= c->seconds / 3.0 && t < 2.0 * c->seconds / 3.0)
		return c->rate * c->swing;
	return c->rate;
}

/* Draws a model by cumulative weights. */
static uint32_t
pick_model(
    const struct load_config *c, unsigned short *seed, const double *weights)
{
	double x = erand48(seed) * weights[c->nmodels - 1];
	uint32_t i;

	for (i = 0; i + 1 < c->nmodels && weights[i] < x; i++)
		;
	return i;
}

/* Draws the kind, length, deadline and cancellation of a request. */
static void
fill_request(
    const struct load_config *c, unsigned short *seed, struct load_request *s)
{
	double kind = erand48(seed);
	double spread;

	s->kind = REQUEST_STREAM;
	if (kind < c->order_share)
		s->kind = REQUEST_ORDER;
	else if (kind < c->order_share + c->whole_share)
		s->kind = REQUEST_COMPLETION;
	s->is_long = erand48(seed) < c->long_share;
	spread = 0.5 + erand48(seed);
	s->tokens = (uint32_t)(spread *
	    (s->is_long ? c->long_tokens : c->short_tokens));
	s->deadline_ms = s->is_long ? 60000 : c->deadline_ms;
	spread = erand48(seed);
	if (erand48(seed) < c->cancel_share && s->kind != REQUEST_ORDER)
		s->cancel_after =
		    (uint64_t)(spread * spread * 2.0 * (double)NSEC_PER_SEC) +
		    20 * NSEC_PER_MSEC;
}

struct load_request *
load_trace(const struct load_config *c, size_t *n)
{
	unsigned short seed[3] = { (unsigned short)c->seed,
		(unsigned short)(c->seed >> 16), 17 };
	double weights[LOAD_MODELS_MAX] = { 0.0 };
	struct load_request *shots = NULL;
	double sum = 0.0;
	double t = 0.0;
	uint32_t i;

	*n = 0;
	if (c->nmodels == 0)
		return NULL;
	for (i = 0; i < c->nmodels; i++) {
		sum += 1.0 / pow(i + 1.0, c->zipf);
		weights[i] = sum;
	}
	for (*n = 0;; (*n)++) {
		t += -log(1.0 - erand48(seed)) / rate_at(c, t);
		if (t >= c->seconds)
			return shots;
		if (*n % 1024 == 0)
			shots = mem_grow(shots, *n + 1024, sizeof(*shots));
		shots[*n] = (struct load_request){ 0 };
		shots[*n].arrival = (uint64_t)(t * (double)NSEC_PER_SEC);
		shots[*n].model = pick_model(c, seed, weights);
		if (c->rotate_s > 0.0)
			shots[*n].model =
			    (shots[*n].model +
				(uint32_t)(t / c->rotate_s) * ROTATE_STEP) %
			    c->nmodels;
		fill_request(c, seed, &shots[*n]);
	}
}

void
load_format_prompt(
    const struct load_request *s, size_t index, char *out, size_t size)
{
	snprintf(out, size,
	    "Model %u, prefix %zu. Describe plate %zu in full; len=%u",
	    s->model, index % 16, index, s->tokens);
}
