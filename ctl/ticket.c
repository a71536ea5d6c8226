/* The check, apply, drain and undrain commands. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <time.h>

#include "http_call.h"
#include "clock.h"
#include "conf.h"
#include "ctl.h"
#include "settings.h"

#define TICKET_TIMEOUT_MSEC 25000
#define STATUS_POLL_NS 50000000L

static struct conf *load_base_conf(const char *, struct err *);
static int check_ticket_file(struct conf **, const char *);
static int wait_until_in_force(const struct ctl *, uint64_t);
static size_t count_outdated_members(const json_t *, uint64_t, int, size_t *);
static int apply_drain_ticket(const struct ctl *, int);
static int print_ticket_error(const char *, const json_t *);

/* Loads a configuration from the output of show; NULL gives an empty one. */
static struct conf *
load_base_conf(const char *path, struct err *e)
{
	struct conf *c;
	json_t *doc;
	char *texts[1];

	if (path == NULL)
		return conf_create();
	doc = settings_read_json(path, e);
	if (doc == NULL)
		return NULL;
	texts[0] = json_dumps(json_object_get(doc, "objects"), JSON_COMPACT);
	c = conf_from_chunks(texts, 1,
	    (uint64_t)json_integer_value(json_object_get(doc, "revision")), e);
	free(texts[0]);
	json_decref(doc);
	return c;
}

/* Checks one file against *base, which is replaced by the result. */
static int
check_ticket_file(struct conf **base, const char *path)
{
	enum conf_result result;
	struct conf *next = NULL;
	struct err e = { ERR_NONE, "" };
	uint64_t number;
	json_t *doc;

	doc = settings_read_json(path, &e);
	if (doc == NULL) {
		fprintf(stderr, "%s: %s\n", CTL_NAME, e.text);
		return EX_DATAERR;
	}
	result = conf_apply(*base, doc, &next, &number, &e);
	json_decref(doc);
	if (result == CONF_REFUSED) {
		fprintf(stderr, "%s: %s: %s: %s\n", CTL_NAME, path,
		    err_name(e.kind), e.text);
		return EX_DATAERR;
	}
	printf("%s: ticket %" PRIu64 "%s\n", path, number,
	    result == CONF_UNCHANGED ? " changes nothing" : " is good");
	if (result == CONF_CHANGED) {
		conf_destroy(*base);
		*base = next;
	}
	return EX_OK;
}

int
ctl_check(const struct ctl *c)
{
	struct conf *base;
	struct err e;
	int rv = EX_OK;
	int i;

	base = load_base_conf(c->base_path, &e);
	if (base == NULL) {
		fprintf(stderr, "%s: %s\n", CTL_NAME, e.text);
		return EX_DATAERR;
	}
	for (i = 0; i < c->nargs && rv == EX_OK; i++)
		rv = check_ticket_file(&base, c->args[i]);
	conf_destroy(base);
	return rv;
}

static int
print_ticket_error(const char *what, const json_t *answer)
{
	const json_t *error = json_object_get(answer, "error");
	const char *status =
	    json_string_value(json_object_get(answer, "status"));

	fprintf(stderr, "%s: %s: %s: %s\n", CTL_NAME, what,
	    status == NULL ? "no answer" : status,
	    json_is_object(error)
		? json_string_value(json_object_get(error, "message"))
		: "the control process did not say why; see its log");
	if (status != NULL && strcmp(status, "refused") == 0)
		return EX_DATAERR;
	return EX_TEMPFAIL;
}

/* Counts live members with an older revision; prints them if print is set. */
static size_t
count_outdated_members(
    const json_t *status, uint64_t revision, int print, size_t *live)
{
	const char *state;
	json_t *m;
	uint64_t have;
	size_t behind = 0;
	size_t i;

	*live = 0;
	json_array_foreach (json_object_get(status, "members"), i, m) {
		state = json_string_value(json_object_get(m, "state"));
		if (state == NULL || strcmp(state, "alive") != 0)
			continue;
		++*live;
		have = (uint64_t)json_integer_value(
		    json_object_get(m, "revision"));
		if (have >= revision)
			continue;
		behind++;
		if (print)
			fprintf(stderr, "%s: %s is at revision %" PRIu64 "\n",
			    CTL_NAME,
			    json_string_value(json_object_get(m, "address")),
			    have);
	}
	return behind;
}

static int
wait_until_in_force(const struct ctl *c, uint64_t revision)
{
	struct timespec ts = { 0, STATUS_POLL_NS };
	uint64_t until = clock_mono() + (uint64_t)(c->timeout_s * 1e9);
	uint64_t start = clock_mono();
	json_t *status;
	struct err e;
	size_t behind = 1;
	size_t before = SIZE_MAX;
	size_t live;

	for (;;) {
		status = http_get_json(c->control, "/v1/status", &e);
		if (status == NULL) {
			fprintf(stderr, "%s: %s\n", CTL_NAME, e.text);
			return EX_TEMPFAIL;
		}
		behind = count_outdated_members(
		    status, revision, clock_mono() >= until, &live);
		json_decref(status);
		if (behind != 0 && behind != before)
			fprintf(stderr, "%s: in force on %zu of %zu nodes\n",
			    CTL_NAME, live - behind, live);
		before = behind;
		if (behind == 0 || clock_mono() >= until)
			break;
		nanosleep(&ts, NULL);
	}
	printf("revision %" PRIu64 " is in force on %zu of %zu live nodes "
	       "after %.2f s\n",
	    revision, live - behind, live,
	    (double)(clock_mono() - start) / 1e9);
	return behind == 0 ? EX_OK : EX_TEMPFAIL;
}

int
ctl_send_ticket(const struct ctl *c, const json_t *ticket, const char *what)
{
	struct err e;
	json_t *answer;
	uint64_t revision;
	char *request;
	char *text;
	int status;

	request = json_dumps(ticket, JSON_COMPACT);
	status = http_call(c->control, "POST", "/v1/tickets", request,
	    TICKET_TIMEOUT_MSEC, &text, &e);
	free(request);
	if (status == -1) {
		fprintf(stderr, "%s: %s\n", CTL_NAME, e.text);
		return EX_TEMPFAIL;
	}
	answer = json_loads(text, 0, NULL);
	free(text);
	if (status != 200) {
		status = print_ticket_error(what, answer);
		json_decref(answer);
		return status;
	}
	revision =
	    (uint64_t)json_integer_value(json_object_get(answer, "revision"));
	printf("%s: ticket %lld %s, revision %" PRIu64 "\n", what,
	    (long long)json_integer_value(json_object_get(answer, "ticket")),
	    json_string_value(json_object_get(answer, "status")), revision);
	json_decref(answer);
	fflush(stdout);
	return wait_until_in_force(c, revision);
}

int
ctl_apply(const struct ctl *c)
{
	struct err e;
	json_t *doc;
	int rv = EX_OK;
	int i;

	for (i = 0; i < c->nargs && rv == EX_OK; i++) {
		doc = settings_read_json(c->args[i], &e);
		if (doc == NULL) {
			fprintf(stderr, "%s: %s\n", CTL_NAME, e.text);
			return EX_DATAERR;
		}
		rv = ctl_send_ticket(c, doc, c->args[i]);
		json_decref(doc);
	}
	return rv;
}

static int
apply_drain_ticket(const struct ctl *c, int leaving)
{
	json_t *list = json_array();
	json_t *ticket;
	int rv;
	int i;

	if (c->number <= 0) {
		json_decref(list);
		fprintf(
		    stderr, "%s: give the ticket's number with -n\n", CTL_NAME);
		return EX_USAGE;
	}
	for (i = 0; i < c->nargs; i++)
		json_array_append_new(list,
		    json_pack("{s:s,s:b}", "backend", c->args[i], "leaving",
			leaving));
	ticket = json_pack("{s:i,s:o}", "ticket", c->number, "drains", list);
	rv = ctl_send_ticket(c, ticket, leaving ? "drain" : "undrain");
	json_decref(ticket);
	return rv;
}

int
ctl_drain(const struct ctl *c)
{
	return apply_drain_ticket(c, 1);
}

int
ctl_undrain(const struct ctl *c)
{
	return apply_drain_ticket(c, 0);
}
