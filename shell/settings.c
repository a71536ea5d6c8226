#include <string.h>

#include "base.h"
#include "log.h"
#include "settings.h"

static const struct {
	const char *name;
	int level;
} log_levels[] = {
	{ "error", LOGLEVEL_ERROR },
	{ "warning", LOGLEVEL_WARNING },
	{ "notice", LOGLEVEL_NOTICE },
	{ "info", LOGLEVEL_INFO },
	{ "debug", LOGLEVEL_DEBUG },
};

json_t *
settings_read_json(const char *path, struct err *e)
{
	json_error_t je;
	json_t *obj;

	obj = json_load_file(path, JSON_REJECT_DUPLICATES, &je);
	if (obj == NULL && je.line <= 0)
		err_set(e, ERR_SETTINGS,
		    "%s: %s; check the path and its permissions", path,
		    je.text);
	else if (obj == NULL)
		err_set(e, ERR_SETTINGS, "%s:%d:%d: %s; correct the JSON there",
		    path, je.line, je.column, je.text);
	return obj;
}

int
settings_load(const char *path, const struct check_field *fields, size_t n,
    void *out, struct err *e)
{
	json_t *obj;
	int rv;

	obj = settings_read_json(path, e);
	if (obj == NULL)
		return -1;
	rv = check_object(obj, fields, n, out, path, ERR_SETTINGS, e);
	json_decref(obj);
	return rv;
}

int
settings_parse_log_level(const char *name, struct err *e)
{
	size_t i;

	for (i = 0; i < nitems(log_levels); i++) {
		if (strcmp(log_levels[i].name, name) == 0)
			return log_levels[i].level;
	}
	return err_set(e, ERR_SETTINGS,
	    "log_level: \"%s\" is not a log level; use error, warning, notice, "
	    "info or debug",
	    name);
}
