/* Command line and signal handling common to all daemons. */
#ifndef CLI_H
#define CLI_H

#define SPINDLE_VERSION "0.1.0"

struct cli_options {
	char settings_path[1024]; /* -c */
	int check_only;		  /* -n */
};

/* Parses a daemon's command line; exits after --help, --version or an error. */
void cli_parse_daemon(
    int, char **, const char *, const char *, struct cli_options *);
/* Prints the program's name and version. */
void cli_print_version(const char *);
/* Blocks SIGTERM and SIGINT in this and all later threads; ignores SIGPIPE. */
void cli_block_signals(void);
/* Waits for SIGTERM or SIGINT. */
void cli_wait_signal(void);

#endif
