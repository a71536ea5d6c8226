/* Report of a run, from its results and the records of the test doubles. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"
#include "mem.h"

static int compare_double(const void *, const void *);
static double percentile(double *, size_t, double);
static void count_requests(
    const struct load_request *, size_t, struct load_totals *);
static void count_orders(const struct load_config *,
    const struct load_request *, size_t, struct load_totals *);
static void count_runs(const struct load_config *, const struct load_request *,
    size_t, struct load_totals *);
static void add_latency(json_t *, const struct load_request *, size_t, int);

static int
compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Quantile q of the values, which it sorts; 0 when there are none. */
static double
percentile(double *values, size_t n, double q)
{
	if (n == 0)
		return 0.0;
	qsort(values, n, sizeof(*values), compare_double);
	return values[(size_t)(q * (double)(n - 1) + 0.5)];
}

static void
count_requests(
    const struct load_request *shots, size_t n, struct load_totals *t)
{
	const struct load_request *s;
	size_t i;

	t->requests = (uint32_t)n;
	for (i = 0; i < n; i++) {
		s = &shots[i];
		t->ends[s->result == RESULT_OPEN ? RESULT_LOST : s->result]++;
		t->wanted += s->cancel_after == 0 && s->kind != REQUEST_ORDER;
		t->in_time += s->cancel_after == 0 &&
		    s->kind != REQUEST_ORDER && s->result == RESULT_ANSWERED &&
		    s->first_token <= s->sent + s->deadline_ms * NSEC_PER_MSEC;
	}
}

/* Compares the reported results of orders with the services' executions. */
static void
count_orders(const struct load_config *c, const struct load_request *shots,
    size_t n, struct load_totals *t)
{
	json_t *stats[LOAD_TARGETS_MAX];
	char id[32];
	json_int_t runs;
	uint32_t k;
	size_t i;

	for (k = 0; k < c->nservices; k++)
		stats[k] = load_get_json(c->services[k], "/stats");
	for (i = 0; i < n; i++) {
		if (shots[i].kind != REQUEST_ORDER)
			continue;
		snprintf(id, sizeof(id), "o%zu", i);
		runs = 0;
		for (k = 0; k < c->nservices; k++)
			runs += json_integer_value(json_object_get(
			    json_object_get(stats[k], "orders"), id));
		if (runs > 1 ||
		    (runs != 0 && shots[i].result == RESULT_NOT_RUN))
			t->doubled++;
		if (runs == 0 && shots[i].result == RESULT_ANSWERED)
			t->ends[RESULT_LOST]++;
	}
	for (k = 0; k < c->nservices; k++)
		json_decref(stats[k]);
}

/* Sums up engine time, and the part of it spent after a cancellation. */
static void
count_runs(const struct load_config *c, const struct load_request *shots,
    size_t n, struct load_totals *t)
{
	double *late;
	const char *name;
	json_t *list;
	json_t *item;
	uint64_t started;
	uint64_t ended;
	uint64_t from;
	size_t nlate = 0;
	size_t index;
	size_t k;
	uint32_t i;

	late = mem_alloc((2 * n + 1) * sizeof(*late));
	for (i = 0; i < c->nengines; i++) {
		list = load_get_json(c->engines[i], "/runs");
		json_array_foreach (list, k, item) {
			name = json_string_value(json_array_get(item, 0));
			started = (uint64_t)json_integer_value(
			    json_array_get(item, 2));
			ended = (uint64_t)json_integer_value(
			    json_array_get(item, 3));
			if (name == NULL || name[0] != 's')
				continue;
			index = strtoull(name + 1, NULL, 10);
			if (index >= n || ended < shots[index].sent)
				continue; /* belongs to an earlier run */
			if (started != 0)
				t->engine_s += (double)(ended - started) / 1e9;
			from = shots[index].cancelled;
			if (from == 0 || ended <= from)
				continue;
			if (nlate < 2 * n)
				late[nlate++] = (double)(ended - from) / 1e6;
			if (started > from)
				from = started;
			if (started != 0 && ended > from)
				t->wasted_s += (double)(ended - from) / 1e9;
		}
		json_decref(list);
	}
	t->cancel_p99_ms = percentile(late, nlate, 0.99);
	free(late);
}

/* Adds percentiles of the time to the first token, in milliseconds. */
static void
add_latency(
    json_t *doc, const struct load_request *shots, size_t n, int is_long)
{
	const struct load_request *s;
	double *values;
	char key[32];
	size_t i;
	size_t k = 0;

	values = mem_alloc((n + 1) * sizeof(*values));
	for (i = 0; i < n; i++) {
		s = &shots[i];
		if (s->kind == REQUEST_STREAM && s->first_token != 0 &&
		    s->is_long == is_long)
			values[k++] = (double)(s->first_token - s->sent) / 1e6;
	}
	snprintf(
	    key, sizeof(key), "%s_first_p50_ms", is_long ? "long" : "short");
	json_object_set_new(doc, key, json_real(percentile(values, k, 0.5)));
	snprintf(
	    key, sizeof(key), "%s_first_p99_ms", is_long ? "long" : "short");
	json_object_set_new(doc, key, json_real(percentile(values, k, 0.99)));
	free(values);
}

int
load_write_csv(const struct load_request *shots, size_t n, const char *path)
{
	const struct load_request *s;
	FILE *f = fopen(path, "w");
	size_t i;

	if (f == NULL)
		return -1;
	fputs("index,kind,long,model,tokens,at_ms,first_ms,end_ms,end\n", f);
	for (i = 0; i < n; i++) {
		s = &shots[i];
		fprintf(f, "%zu,%d,%d,%u,%u,%.1f,%.1f,%.1f,%d\n", i,
		    (int)s->kind, s->is_long, s->model, s->tokens,
		    (double)s->arrival / 1e6,
		    s->first_token == 0
			? 0.0
			: (double)(s->first_token - s->sent) / 1e6,
		    s->ended == 0 ? 0.0 : (double)(s->ended - s->sent) / 1e6,
		    (int)s->result);
	}
	return fclose(f);
}

void
load_report(const struct load_config *c, struct load_request *shots, size_t n,
    struct load_totals *t, json_t *doc)
{
	static const char *const names[RESULT__MAX] = { "open", "answered",
		"cancelled", "not_run", "unknown", "failed", "lost" };
	int i;

	memset(t, 0, sizeof(*t));
	count_requests(shots, n, t);
	count_orders(c, shots, n, t);
	count_runs(c, shots, n, t);
	json_object_set_new(doc, "requests", json_integer(t->requests));
	for (i = RESULT_ANSWERED; i < RESULT__MAX; i++)
		json_object_set_new(doc, names[i], json_integer(t->ends[i]));
	json_object_set_new(doc, "doubled", json_integer(t->doubled));
	json_object_set_new(doc, "wanted", json_integer(t->wanted));
	json_object_set_new(doc, "in_time", json_integer(t->in_time));
	json_object_set_new(doc, "engine_s", json_real(t->engine_s));
	json_object_set_new(doc, "wasted_s", json_real(t->wasted_s));
	json_object_set_new(doc, "cancel_p99_ms", json_real(t->cancel_p99_ms));
	add_latency(doc, shots, n, 0);
	add_latency(doc, shots, n, 1);
}
