/* Internal interface of spindlectl. */
#ifndef CTL_H
#define CTL_H

#include <jansson.h>

#include "err.h"

#define CTL_NAME "spindlectl"

struct ctl {
	const char *control;   /* "IP:port" of a control process */
	double timeout_s;      /* for a ticket to take effect on all nodes */
	const char *base_path; /* file with a saved state, for check */
	int number;	       /* ticket number, for drain and undrain */
	int json;
	int nargs;
	const char **args;
};

/* Commands; each returns an exit status from sysexits.h. */
int ctl_check(const struct ctl *);
int ctl_apply(const struct ctl *);
int ctl_show(const struct ctl *);
int ctl_status(const struct ctl *);
int ctl_drain(const struct ctl *);
int ctl_undrain(const struct ctl *);

/*
 * Sends one ticket and waits until all live nodes have it in force.  The text
 * names the ticket in messages.  Returns an exit status from sysexits.h.
 */
int ctl_send_ticket(const struct ctl *, const json_t *, const char *);

#endif
