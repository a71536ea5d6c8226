/* What the command lines of all daemons share. */
#ifndef CLI_H
#define CLI_H

#define SPINDLE_VERSION "0.1.0"

struct cli_options {
	char settings[1024]; /* -c */
	int check_only;	     /* -n */
};

/* Parses a daemon's command line; prints help or usage and exits itself. */
void cli_parse_daemon(
    int, char **, const char *, const char *, struct cli_options *);
/* Prints --version's line. */
void cli_print_version(const char *);
/* Blocks the stop signals in this and all later threads. */
void cli_block_signals(void);
/* Waits for SIGTERM or SIGINT. */
void cli_wait_signal(void);

#endif
