/*
 * spindle-load: load generator.  Sends a trace of requests with cancellations,
 * bursts, long requests and orders, verifies every response, and prints a
 * report in JSON.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cli.h"
#include "load.h"

#define NAME "spindle-load"
#define GATES_DEFAULT 3
#define ZIPF 0.9 /* exponent of model popularity */

static uint32_t copy_list(struct arg_str *, char (*)[ADDR_SIZE], uint32_t);
static void copy_models(struct arg_str *, struct load_config *);
static int parse_policy(const char *, enum load_policy *);

/* Copies the addresses of an option; returns their number. */
static uint32_t
copy_list(struct arg_str *arg, char (*out)[ADDR_SIZE], uint32_t most)
{
	uint32_t n = 0;

	for (; n < (uint32_t)arg->count && n < most; n++)
		snprintf(out[n], ADDR_SIZE, "%s", arg->sval[n]);
	return n;
}

/* Adds models by name, or N numbered ones for "PREFIX:N". */
static void
copy_models(struct arg_str *arg, struct load_config *c)
{
	const char *colon;
	int n;
	int i;
	int k;

	for (i = 0; i < arg->count; i++) {
		colon = strchr(arg->sval[i], ':');
		n = colon == NULL ? 1 : atoi(colon + 1);
		for (k = 0; k < n && c->nmodels < LOAD_MODELS_MAX; k++) {
			if (colon == NULL)
				snprintf(c->models[c->nmodels++], NAME_SIZE,
				    "%s", arg->sval[i]);
			else
				snprintf(c->models[c->nmodels++], NAME_SIZE,
				    "%.*s%d", (int)(colon - arg->sval[i]),
				    arg->sval[i], k);
		}
	}
}

static int
parse_policy(const char *name, enum load_policy *policy)
{
	static const char *const names[] = { "gates", "round-robin", "least" };
	int i;

	for (i = 0; i < 3; i++) {
		if (strcmp(names[i], name) == 0) {
			*policy = (enum load_policy)i;
			return 0;
		}
	}
	return -1;
}

struct options {
	struct arg_str *gate, *engine, *service, *model, *policy, *path, *rows;
	struct arg_int *seed, *short_tokens, *long_tokens, *deadline;
	struct arg_dbl *seconds, *rate, *swing, *long_share, *cancel, *order,
	    *whole;
	struct arg_dbl *rotate;
	struct arg_lit *demo, *help;
	struct arg_end *end;
};

static void options_add_lists(struct options *);
static void options_add_numbers(struct options *);
static void options_fill(const struct options *, struct load_config *);
static int run(const struct load_config *, int, const char *);

static void
options_add_lists(struct options *o)
{
	o->gate =
	    arg_strn("g", "gate", "IP:PORT", 0, LOAD_TARGETS_MAX, "gates");
	o->engine =
	    arg_strn("e", "engine", "IP:PORT", 0, LOAD_TARGETS_MAX, "engines");
	o->service = arg_strn("s", "service", "IP:PORT", 0, LOAD_TARGETS_MAX,
	    "instances of the plain service");
	o->model = arg_strn("m", "model", "NAME", 1, 64,
	    "model name, or PREFIX:N for N numbered models");
	o->policy = arg_str0(
	    "p", "policy", "NAME", "gates, round-robin or least (gates)");
	o->path =
	    arg_str0(NULL, "path", "PATH", "path of orders (/shop/orders)");
	o->rows =
	    arg_str0(NULL, "rows", "FILE", "write one CSV row per request");
	o->policy->sval[0] = "gates";
	o->path->sval[0] = "/shop/orders";
}

static void
options_add_numbers(struct options *o)
{
	o->seed = arg_int0("S", "seed", "N", "random seed (1)");
	o->seconds = arg_dbl0("d", "seconds", "N", "duration (10)");
	o->rate = arg_dbl0("r", "rate", "N", "requests per second (20)");
	o->swing =
	    arg_dbl0("w", "swing", "N", "rate factor in the middle third (1)");
	o->long_share =
	    arg_dbl0("L", "long", "N", "share of long requests (0)");
	o->cancel = arg_dbl0("c", "cancel", "N", "share of cancellations (0)");
	o->order = arg_dbl0("o", "orders", "N", "share of orders (0)");
	o->whole = arg_dbl0("W", "whole", "N", "share without streaming (0)");
	o->rotate = arg_dbl0(NULL, "rotate", "N",
	    "seconds between changes of model popularity (0: none)");
	o->rotate->dval[0] = 0.0;
	o->short_tokens = arg_int0(
	    NULL, "short-tokens", "N", "mean length of short responses (40)");
	o->long_tokens = arg_int0(
	    NULL, "long-tokens", "N", "mean length of long responses (600)");
	o->deadline = arg_int0(
	    "D", "deadline-ms", "N", "deadline of short requests (4000)");
	o->demo = arg_lit0(NULL, "demo", "print a summary line last");
	o->help = arg_lit0("h", "help", "print this help");
	o->end = arg_end(8);
	o->seed->ival[0] = 1;
	o->seconds->dval[0] = 10.0;
	o->rate->dval[0] = 20.0;
	o->swing->dval[0] = 1.0;
	o->long_share->dval[0] = o->cancel->dval[0] = 0.0;
	o->order->dval[0] = o->whole->dval[0] = 0.0;
	o->short_tokens->ival[0] = 40;
	o->long_tokens->ival[0] = 600;
	o->deadline->ival[0] = 4000;
}

static void
options_fill(const struct options *o, struct load_config *c)
{
	c->seed = (uint64_t)o->seed->ival[0];
	c->seconds = o->seconds->dval[0];
	c->rate = o->rate->dval[0];
	c->swing = o->swing->dval[0];
	c->long_share = o->long_share->dval[0];
	c->cancel_share = o->cancel->dval[0];
	c->order_share = o->order->dval[0];
	c->whole_share = o->whole->dval[0];
	c->rotate_s = o->rotate->dval[0];
	c->zipf = ZIPF;
	c->short_tokens = (uint32_t)o->short_tokens->ival[0];
	c->long_tokens = (uint32_t)o->long_tokens->ival[0];
	c->deadline_ms = (uint64_t)o->deadline->ival[0];
	snprintf(
	    c->service_path, sizeof(c->service_path), "%s", o->path->sval[0]);
	copy_models(o->model, c);
	c->ntargets = copy_list(o->gate, c->targets, LOAD_TARGETS_MAX);
	c->nengines = copy_list(o->engine, c->engines, LOAD_TARGETS_MAX);
	c->nservices = copy_list(o->service, c->services, LOAD_TARGETS_MAX);
	c->ngates = c->policy == POLICY_GATES ? c->ntargets : GATES_DEFAULT;
}

static int
run(const struct load_config *c, int demo, const char *rows)
{
	struct load_totals t;
	struct load_request *shots;
	json_t *doc = json_object();
	uint32_t lost;
	size_t n;
	char *text;

	shots = load_trace(c, &n);
	load_run(c, shots, n);
	load_report(c, shots, n, &t, doc);
	if (rows != NULL && load_write_csv(shots, n, rows) == -1)
		fprintf(stderr, "%s: cannot write rows to %s\n", NAME, rows);
	lost = t.ends[RESULT_LOST] + t.ends[RESULT_FAILED] +
	    t.ends[RESULT_UNKNOWN];
	text = json_dumps(doc, JSON_INDENT(1) | JSON_SORT_KEYS);
	printf("%s\n", text);
	if (demo)
		printf("demo: %u requests, %u answered, %u cancelled, "
		       "%u not run, %u lost, %u doubled\n",
		    t.requests, t.ends[RESULT_ANSWERED],
		    t.ends[RESULT_CANCELLED], t.ends[RESULT_NOT_RUN], lost,
		    t.doubled);
	free(text);
	free(shots);
	json_decref(doc);
	return lost + t.doubled == 0 ? EX_OK : EX_SOFTWARE;
}

int
main(int argc, char **argv)
{
	static struct load_config c;
	struct options o;

	options_add_lists(&o);
	options_add_numbers(&o);
	void *table[] = { o.gate, o.engine, o.service, o.model, o.policy,
		o.path, o.rows, o.seed, o.seconds, o.rate, o.swing,
		o.long_share, o.cancel, o.order, o.whole, o.rotate,
		o.short_tokens, o.long_tokens, o.deadline, o.demo, o.help,
		o.end };
	if (arg_parse(argc, argv, table) != 0 || o.help->count != 0 ||
	    parse_policy(o.policy->sval[0], &c.policy) == -1) {
		printf("usage: %s", NAME);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return o.help->count != 0 ? EX_OK : EX_USAGE;
	}
	cli_block_signals();
	options_fill(&o, &c);
	if (c.ngates == 0) {
		fprintf(stderr, "%s: no gate address; specify -g\n", NAME);
		return EX_USAGE;
	}
	return run(&c, o.demo->count != 0,
	    o.rows->count != 0 ? o.rows->sval[0] : NULL);
}
