/* spindlectl: command line tool for operators. */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cli.h"
#include "ctl.h"

#define CONTROL_DEFAULT "127.0.0.1:7200"
#define TIMEOUT_DEFAULT_S 9.0

static const struct {
	const char *name;
	int (*run)(const struct ctl *);
	int min_args;
	const char *help;
} commands[] = {
	{ "check", ctl_check, 1, "validate ticket files offline" },
	{ "apply", ctl_apply, 1, "apply ticket files in order" },
	{ "show", ctl_show, 0, "print the declared state" },
	{ "status", ctl_status, 0, "print the state of nodes and cells" },
	{ "drain", ctl_drain, 1, "send no new work to a backend server" },
	{ "undrain", ctl_undrain, 1, "send work to a backend server again" },
};

#define NCOMMANDS (sizeof(commands) / sizeof(commands[0]))

static void usage(FILE *, void **);
static int run_command(const char *, const struct ctl *);

static void
usage(FILE *out, void **table)
{
	size_t i;

	fprintf(out, "usage: %s", CTL_NAME);
	arg_print_syntax(out, table, "\n");
	arg_print_glossary(out, table, "  %-24s %s\n");
	fprintf(out, "commands:\n");
	for (i = 0; i < NCOMMANDS; i++)
		fprintf(
		    out, "  %-24s %s\n", commands[i].name, commands[i].help);
}

static int
run_command(const char *name, const struct ctl *c)
{
	size_t i;

	for (i = 0; i < NCOMMANDS; i++) {
		if (strcmp(commands[i].name, name) != 0)
			continue;
		if (c->nargs >= commands[i].min_args)
			return commands[i].run(c);
		fprintf(stderr, "%s: %s: an argument is missing; try --help\n",
		    CTL_NAME, name);
		return EX_USAGE;
	}
	fprintf(stderr, "%s: \"%s\" is not a command; try --help\n", CTL_NAME,
	    name);
	return EX_USAGE;
}

int
main(int argc, char **argv)
{
	struct arg_str *control = arg_str0("s", "control", "IP:PORT",
	    "control process (SPINDLE_CONTROL, or " CONTROL_DEFAULT ")");
	struct arg_dbl *timeout = arg_dbl0("t", "timeout", "SECONDS",
	    "time limit for a ticket to take effect on all nodes (9)");
	struct arg_str *base = arg_str0(
	    "b", "base", "FILE", "check against a state saved with show");
	struct arg_int *number =
	    arg_int0("n", "number", "N", "ticket number for drain, undrain");
	struct arg_lit *json = arg_lit0("j", "json", "print status as JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version = arg_lit0("V", "version", "print the version");
	struct arg_str *command = arg_str1(NULL, NULL, "COMMAND", NULL);
	struct arg_str *args =
	    arg_strn(NULL, NULL, "ARG", 0, 64, "files or names");
	struct arg_end *end = arg_end(8);
	void *table[] = { control, timeout, base, number, json, help, version,
		command, args, end };
	struct ctl c;
	int bad;

	control->sval[0] = getenv("SPINDLE_CONTROL");
	if (control->sval[0] == NULL)
		control->sval[0] = CONTROL_DEFAULT;
	timeout->dval[0] = TIMEOUT_DEFAULT_S;
	bad = arg_parse(argc, argv, table);
	if (help->count != 0) {
		usage(stdout, table);
		return EX_OK;
	}
	if (version->count != 0) {
		cli_print_version(CTL_NAME);
		return EX_OK;
	}
	if (bad != 0) {
		arg_print_errors(stderr, end, CTL_NAME);
		fprintf(stderr, "%s: try --help\n", CTL_NAME);
		return EX_USAGE;
	}
	c.control = control->sval[0];
	c.timeout_s = timeout->dval[0];
	c.base_path = base->count != 0 ? base->sval[0] : NULL;
	c.number = number->count != 0 ? number->ival[0] : 0;
	c.json = json->count != 0;
	c.nargs = args->count;
	c.args = args->sval;
	return run_command(command->sval[0], &c);
}
