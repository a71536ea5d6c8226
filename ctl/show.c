/* Commands that print state. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "call.h"
#include "ctl.h"

static int print_json(json_t *, struct err *);
static void print_member(const json_t *);
static void print_cell(const json_t *);
static void print_backend(const json_t *);
static const char *text_of(const json_t *, const char *);
static long long number_of(const json_t *, const char *);

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

	return print_json(http_call_json(c->control, "/v1/state", &e), &e);
}

static const char *
text_of(const json_t *doc, const char *name)
{
	const char *text = json_string_value(json_object_get(doc, name));

	return text == NULL ? "" : text;
}

static long long
number_of(const json_t *doc, const char *name)
{
	return (long long)json_integer_value(json_object_get(doc, name));
}

static void
print_member(const json_t *m)
{
	printf("  %-22s %-8s revision %lld\n", text_of(m, "address"),
	    text_of(m, "state"), number_of(m, "revision"));
}

static void
print_backend(const json_t *b)
{
	json_t *models = json_object_get(b, "models");
	json_t *m;
	size_t i;

	printf("    %-20s %s%s, %lld of %lld slots:", text_of(b, "name"),
	    json_is_true(json_object_get(b, "answers")) ? "answers" : "silent",
	    json_is_true(json_object_get(b, "leaving")) ? ", leaving" : "",
	    number_of(b, "outstanding"), number_of(b, "slots"));
	json_array_foreach (models, i, m)
		printf(" %s@%s%s%s", text_of(m, "model"), text_of(m, "version"),
		    strcmp(text_of(m, "state"), "resident") == 0 ? "" : ":",
		    strcmp(text_of(m, "state"), "resident") == 0
			? ""
			: text_of(m, "state"));
	printf("\n");
}

static void
print_cell(const json_t *c)
{
	json_t *b;
	size_t i;

	printf("  cell %s: owner %s, load %lld%%\n", text_of(c, "cell"),
	    text_of(c, "owner"), number_of(c, "load"));
	if (!json_is_true(json_object_get(c, "owned")))
		return;
	printf("    fence %lld, lease %s, %lld waiting, %lld granted, "
	       "%lld loads, %lld unloads\n",
	    number_of(c, "fence"),
	    json_is_true(json_object_get(c, "lease_valid")) ? "valid"
							    : "lapsed",
	    number_of(c, "waiting"), number_of(c, "granted"),
	    number_of(c, "loads"), number_of(c, "unloads"));
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

	doc = http_call_json(c->control, "/v1/status", &e);
	if (doc == NULL || c->json)
		return print_json(doc, &e);
	printf("%s: revision %lld, %s, key-value service %s\n",
	    text_of(doc, "address"), number_of(doc, "revision"),
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
