/* spindle-timeline: merges the event logs of all processes by time. */
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

static int print_timeline(
    const char *, const struct filter *, struct arg_str *);
static const char *first_value_or_null(struct arg_str *);

static const char *
first_value_or_null(struct arg_str *arg)
{
	return arg->count != 0 ? arg->sval[0] : NULL;
}

static int
print_timeline(
    const char *format, const struct filter *f, struct arg_str *addrs)
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
	missing = timeline_report_gaps(&t);
	timeline_clear(&t);
	return missing == 0 ? EX_OK : EX_UNAVAILABLE;
}

int
main(int argc, char **argv)
{
	struct arg_str *format =
	    arg_str0("f", "format", "FORMAT", "text, json or chrome (text)");
	struct arg_str *request =
	    arg_str0("r", "request", "ID", "events of this request");
	struct arg_int *ticket =
	    arg_int0("t", "ticket", "N", "events of this ticket");
	struct arg_str *model =
	    arg_str0("m", "model", "NAME", "events of this model");
	struct arg_str *backend =
	    arg_str0("b", "backend", "NAME", "events of this backend server");
	struct arg_str *event =
	    arg_str0("e", "event", "NAME", "events with this name");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version = arg_lit0("V", "version", "print the version");
	struct arg_str *addrs = arg_strn(NULL, NULL, "IP:PORT", 1, 1024,
	    "HTTP addresses of gate and control processes");
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
	f.request = first_value_or_null(request);
	f.ticket = ticket->count != 0 ? (uint64_t)ticket->ival[0] : 0;
	f.model = first_value_or_null(model);
	f.backend = first_value_or_null(backend);
	f.event = first_value_or_null(event);
	return print_timeline(format->sval[0], &f, addrs);
}
