#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include "base.h"
#include "cli.h"

static void stop_signals(sigset_t *);

void
cli_print_version(const char *name)
{
	printf("%s %s\n", name, SPINDLE_VERSION);
}

void
cli_parse_daemon(int argc, char **argv, const char *name, const char *what,
    struct cli_options *out)
{
	struct arg_file *file =
	    arg_file1("c", "settings", "FILE", "settings file (JSON)");
	struct arg_lit *check =
	    arg_lit0("n", "check", "check the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version = arg_lit0("V", "version", "print the version");
	struct arg_end *end = arg_end(8);
	void *table[] = { file, check, help, version, end };
	int bad;

	bad = arg_parse(argc, argv, table);
	if (help->count != 0) {
		printf("%s: %s\nusage: %s", name, what, name);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		exit(EX_OK);
	}
	if (version->count != 0) {
		cli_print_version(name);
		exit(EX_OK);
	}
	if (bad != 0) {
		arg_print_errors(stderr, end, name);
		fprintf(stderr, "%s: try --help\n", name);
		exit(EX_USAGE);
	}
	snprintf(out->settings_path, sizeof(out->settings_path), "%s",
	    file->filename[0]);
	out->check_only = check->count != 0;
	arg_freetable(table, nitems(table));
}

static void
stop_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void
cli_block_signals(void)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	stop_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

void
cli_wait_signal(void)
{
	sigset_t set;
	int sig;

	stop_signals(&set);
	sigwait(&set, &sig);
}
