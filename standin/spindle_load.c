/*
 * spindle-load: fires a trace of requests with cancels, bursts, long work
 * and orders, checks every answer, and prints a report in JSON.
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

static uint32_t copy_list(struct arg_str *, char (*)[ADDR_SIZE], uint32_t);
static void copy_models(struct arg_str *, struct load_config *);
static int parse_policy(const char *, enum load_policy *);

static uint32_t
copy_list(struct arg_str *arg, char (*out)[ADDR_SIZE], uint32_t most)
{
	uint32_t n = 0;

	for (; n < (uint32_t)arg->count && n < most; n++)
		snprintf(out[n], ADDR_SIZE, "%s", arg->sval[n]);
	return n;
}

/* Models as a list of names, or "PREFIX:N" for N numbered ones. */
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

int
main(int argc, char **argv)
{
	struct arg_str *gate =
	    arg_strn("g", "gate", "IP:PORT", 0, LOAD_TARGETS_MAX, "gates");
	struct arg_str *eng =
	    arg_strn("e", "engine", "IP:PORT", 0, LOAD_TARGETS_MAX, "engines");
	struct arg_str *svc = arg_strn("s", "service", "IP:PORT", 0,
	    LOAD_TARGETS_MAX, "instances of the plain service");
	struct arg_str *model = arg_strn("m", "model", "NAME", 1, 64,
	    "models, or PREFIX:N for N numbered ones");
	struct arg_str *policy = arg_str0(
	    "p", "policy", "NAME", "gates, round-robin or least (gates)");
	struct arg_int *seed = arg_int0("S", "seed", "N", "seed (1)");
	struct arg_dbl *secs = arg_dbl0("d", "seconds", "N", "length (10)");
	struct arg_dbl *rate = arg_dbl0("r", "rate", "N", "a second (20)");
	struct arg_dbl *swing =
	    arg_dbl0("w", "swing", "N", "rate factor in the middle (1)");
	struct arg_dbl *lng = arg_dbl0("L", "long", "N", "share (0)");
	struct arg_dbl *cancel = arg_dbl0("c", "cancel", "N", "share (0)");
	struct arg_dbl *order = arg_dbl0("o", "orders", "N", "share (0)");
	struct arg_dbl *whole = arg_dbl0("W", "whole", "N", "share (0)");
	struct arg_int *st =
	    arg_int0(NULL, "short-tokens", "N", "mean length (40)");
	struct arg_int *lt =
	    arg_int0(NULL, "long-tokens", "N", "mean length (600)");
	struct arg_int *dl =
	    arg_int0("D", "deadline-ms", "N", "of short work (4000)");
	struct arg_str *path =
	    arg_str0(NULL, "path", "PATH", "of orders (/shop/orders)");
	struct arg_lit *demo =
	    arg_lit0(NULL, "demo", "end with the demo's line");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { gate, eng, svc, model, policy, seed, secs, rate,
		swing, lng, cancel, order, whole, st, lt, dl, path, demo, help,
		end };
	static struct load_config c;
	struct load_totals t;
	struct shot *shots;
	json_t *doc = json_object();
	size_t n;
	char *text;

	seed->ival[0] = 1;
	secs->dval[0] = 10.0;
	rate->dval[0] = 20.0;
	swing->dval[0] = 1.0;
	lng->dval[0] = cancel->dval[0] = order->dval[0] = 0.0;
	whole->dval[0] = 0.0;
	st->ival[0] = 40;
	lt->ival[0] = 600;
	dl->ival[0] = 4000;
	policy->sval[0] = "gates";
	path->sval[0] = "/shop/orders";
	if (arg_parse(argc, argv, table) != 0 || help->count != 0 ||
	    parse_policy(policy->sval[0], &c.policy) == -1) {
		printf("usage: %s", NAME);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return help->count != 0 ? EX_OK : EX_USAGE;
	}
	cli_block_signals();
	c.seed = (uint64_t)seed->ival[0];
	c.seconds = secs->dval[0];
	c.rate = rate->dval[0];
	c.swing = swing->dval[0];
	c.long_share = lng->dval[0];
	c.cancel_share = cancel->dval[0];
	c.order_share = order->dval[0];
	c.whole_share = whole->dval[0];
	c.zipf = 0.9;
	c.short_tokens = (uint32_t)st->ival[0];
	c.long_tokens = (uint32_t)lt->ival[0];
	c.deadline_ms = (uint64_t)dl->ival[0];
	snprintf(c.service_path, sizeof(c.service_path), "%s", path->sval[0]);
	copy_models(model, &c);
	c.ntargets = copy_list(gate, c.targets, LOAD_TARGETS_MAX);
	c.nengines = copy_list(eng, c.engines, LOAD_TARGETS_MAX);
	c.nservices = copy_list(svc, c.services, LOAD_TARGETS_MAX);
	c.ngates = c.policy == POLICY_GATES ? c.ntargets : GATES_DEFAULT;
	if (c.ngates == 0) {
		fprintf(stderr, "%s: no gates given; use -g\n", NAME);
		return EX_USAGE;
	}
	shots = load_trace(&c, &n);
	load_run(&c, shots, n);
	load_report(&c, shots, n, &t, doc);
	text = json_dumps(doc, JSON_INDENT(1) | JSON_SORT_KEYS);
	printf("%s\n", text);
	if (demo->count != 0)
		printf("demo: %u requests, %u answered, %u cancelled, "
		       "%u not run, %u lost, %u doubled\n",
		    t.requests, t.ends[END_ANSWERED], t.ends[END_CANCELLED],
		    t.ends[END_NOT_RUN], t.ends[END_LOST] + t.ends[END_FAILED],
		    t.doubled);
	free(text);
	free(shots);
	json_decref(doc);
	return t.ends[END_LOST] + t.ends[END_FAILED] + t.doubled == 0
	    ? EX_OK
	    : EX_SOFTWARE;
}
