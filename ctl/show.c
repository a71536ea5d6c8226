/* The show and status commands. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "http_call.h"
#include "ctl.h"

static int print_json(json_t *, struct err *);
static void print_member(const json_t *);
static void print_cell(const json_t *);
static void print_backend(const json_t *);
static const char *get_text(const json_t *, const char *);
static long long get_integer(const json_t *, const char *);

static int
print_json(json_t *doc, struct err *e)
{
	char *text;

	if (doc == NULL) {
		fprintf(stderr, "%s: %s\n", CTL_NAME, e->text);
		return EX_TEMPFAIL;
	}
	text = json_dumps(doc, JSON_INDENT(1) | JSON_SORT_KEYS);
	printf("%s\n", text);
	free(text);
	json_decref(doc);
	return EX_OK;
}

int
ctl_show(const struct ctl *c)
{
	struct err e;

	return print_json(http_get_json(c->control, "/v1/state", &e), &e);
}

static const char *
get_text(const json_t *doc, const char *name)
{
	const char *text = json_string_value(json_object_get(doc, name));

	return text == NULL ? "" : text;
}

static long long
get_integer(const json_t *doc, const char *name)
{
	return (long long)json_integer_value(json_object_get(doc, name));
}

static void
print_member(const json_t *m)
{
	printf("  %-22s %-8s revision %lld\n", get_text(m, "address"),
	    get_text(m, "state"), get_integer(m, "revision"));
}

static void
print_backend(const json_t *b)
{
	json_t *models = json_object_get(b, "models");
	json_t *m;
	size_t i;

	printf("    %-20s %s%s, %lld of %lld slots:", get_text(b, "name"),
	    json_is_true(json_object_get(b, "answers")) ? "answers" : "silent",
	    json_is_true(json_object_get(b, "leaving")) ? ", leaving" : "",
	    get_integer(b, "outstanding"), get_integer(b, "slots"));
	json_array_foreach (models, i, m)
		printf(" %s@%s%s%s", get_text(m, "model"),
		    get_text(m, "version"),
		    strcmp(get_text(m, "state"), "resident") == 0 ? "" : ":",
		    strcmp(get_text(m, "state"), "resident") == 0
			? ""
			: get_text(m, "state"));
	printf("\n");
}

static void
print_cell(const json_t *c)
{
	json_t *b;
	size_t i;

	printf("  cell %s: owner %s, load %lld%%\n", get_text(c, "cell"),
	    get_text(c, "owner"), get_integer(c, "load"));
	if (!json_is_true(json_object_get(c, "owned")))
		return;
	printf("    fence %lld, lease %s, %lld waiting, %lld granted, "
	       "%lld loads, %lld unloads\n",
	    get_integer(c, "fence"),
	    json_is_true(json_object_get(c, "lease_valid")) ? "valid"
							    : "lapsed",
	    get_integer(c, "waiting"), get_integer(c, "granted"),
	    get_integer(c, "loads"), get_integer(c, "unloads"));
	json_array_foreach (json_object_get(c, "backends"), i, b)
		print_backend(b);
}

int
ctl_status(const struct ctl *c)
{
	struct err e;
	json_t *doc;
	json_t *item;
	size_t i;

	doc = http_get_json(c->control, "/v1/status", &e);
	if (doc == NULL || c->json)
		return print_json(doc, &e);
	printf("%s: revision %lld, %s, key-value service %s\n",
	    get_text(doc, "address"), get_integer(doc, "revision"),
	    json_is_true(json_object_get(doc, "ready")) ? "ready" : "not ready",
	    json_is_true(json_object_get(doc, "service_answers"))
		? "answers"
		: "does not answer");
	printf("members:\n");
	json_array_foreach (json_object_get(doc, "members"), i, item)
		print_member(item);
	printf("cells:\n");
	json_array_foreach (json_object_get(doc, "cells"), i, item)
		print_cell(item);
	json_decref(doc);
	return EX_OK;
}
