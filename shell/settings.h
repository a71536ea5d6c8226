/* Reading a process's JSON settings file. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "check.h"
#include "err.h"

/*
 * Reads the file and checks its object against the fields; errors name the
 * file and the path of the key.  Strings are stored in the struct at out.
 */
int settings_load(
    const char *, const struct check_field *, size_t, void *, struct err *);
/* Reads a whole file as JSON; the caller drops the reference. */
json_t *settings_read(const char *, struct err *);
/* Turns "error" ... "debug" into a syslog level. */
int settings_log_level(const char *, struct err *);

#endif
