/* Reader for JSON settings files. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "check.h"
#include "err.h"

/*
 * Reads the file and validates it against the field table; errors name the file
 * and the path of the key.  Values are stored in the struct at out.
 */
int settings_load(
    const char *, const struct check_field *, size_t, void *, struct err *);
/* Reads a JSON file; the caller releases the reference. */
json_t *settings_read_json(const char *, struct err *);
/* Converts a name, "error" to "debug", to a syslog level; -1 with err set. */
int settings_parse_log_level(const char *, struct err *);

#endif
