/* spindle-timeline: one time line of events over all processes. */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cli.h"
#include "timeline.h"

static const struct {
	const char *name;
	void (*write)(const struct timeline *);
} formats[] = {
	{ "text", timeline_text },
	{ "json", timeline_json },
	{ "chrome", timeline_chrome },
};

static int run(const char *, const struct filter *, struct arg_str *);
static const char *value_of(struct arg_str *);

static const char *
value_of(struct arg_str *arg)
{
	return arg->count != 0 ? arg->sval[0] : NULL;
}

static int
run(const char *format, const struct filter *f, struct arg_str *addrs)
{
	struct timeline t;
	size_t missing;
	size_t i;

	for (i = 0; i < nitems(formats); i++) {
		if (strcmp(formats[i].name, format) == 0)
			break;
	}
	if (i == nitems(formats)) {
		fprintf(stderr,
		    "%s: -f %s: is not a format; use text, json or chrome\n",
		    TIMELINE_NAME, format);
		return EX_USAGE;
	}
	timeline_collect(&t, addrs->sval, (size_t)addrs->count);
	timeline_filter(&t, f);
	formats[i].write(&t);
	missing = timeline_complain(&t);
	timeline_clear(&t);
	return missing == 0 ? EX_OK : EX_UNAVAILABLE;
}

int
main(int argc, char **argv)
{
	struct arg_str *format =
	    arg_str0("f", "format", "FORMAT", "text, json or chrome (text)");
	struct arg_str *request =
	    arg_str0("r", "request", "ID", "only this request");
	struct arg_int *ticket =
	    arg_int0("t", "ticket", "N", "only this ticket");
	struct arg_str *model =
	    arg_str0("m", "model", "NAME", "only this model");
	struct arg_str *backend =
	    arg_str0("b", "backend", "NAME", "only this backend server");
	struct arg_str *event =
	    arg_str0("e", "event", "NAME", "only this kind of event");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version = arg_lit0("V", "version", "print the version");
	struct arg_str *addrs = arg_strn(NULL, NULL, "IP:PORT", 1, 1024,
	    "HTTP addresses of gates and controls");
	struct arg_end *end = arg_end(8);
	void *table[] = { format, request, ticket, model, backend, event, help,
		version, addrs, end };
	struct filter f;
	int bad;

	format->sval[0] = "text";
	bad = arg_parse(argc, argv, table);
	if (help->count != 0) {
		printf("usage: %s", TIMELINE_NAME);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return EX_OK;
	}
	if (version->count != 0) {
		cli_print_version(TIMELINE_NAME);
		return EX_OK;
	}
	if (bad != 0) {
		arg_print_errors(stderr, end, TIMELINE_NAME);
		fprintf(stderr, "%s: try --help\n", TIMELINE_NAME);
		return EX_USAGE;
	}
	f.request = value_of(request);
	f.ticket = ticket->count != 0 ? (uint64_t)ticket->ival[0] : 0;
	f.model = value_of(model);
	f.backend = value_of(backend);
	f.event = value_of(event);
	return run(format->sval[0], &f, addrs);
}
