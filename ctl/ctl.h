/* Shared by the files of spindlectl. */
#ifndef CTL_H
#define CTL_H

#include <jansson.h>

#include "err.h"

#define CTL_NAME "spindlectl"

struct ctl {
	const char *control;   /* "IP:port" of a control process */
	double timeout_s;      /* for a ticket to be in force everywhere */
	const char *base_path; /* saved state, for check */
	int number;	       /* of the ticket, for drain */
	int json;
	int nargs;
	const char **args;
};

/* Each returns an exit code of sysexits.h. */
int ctl_check(const struct ctl *);
int ctl_apply(const struct ctl *);
int ctl_show(const struct ctl *);
int ctl_status(const struct ctl *);
int ctl_drain(const struct ctl *);
int ctl_undrain(const struct ctl *);

/* Sends one ticket and waits until it is in force everywhere. */
int ctl_send_ticket(const struct ctl *, const json_t *, const char *);

#endif
