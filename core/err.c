#include <stdarg.h>
#include <stdio.h>

#include "err.h"

static const char *const err_names[ERR__MAX] = {
	[ERR_NONE] = "none",
	[ERR_SETTINGS] = "settings",
	[ERR_TICKET] = "ticket",
	[ERR_STALE] = "stale-ticket",
	[ERR_CONFLICT] = "ticket-conflict",
	[ERR_CAPACITY] = "capacity",
	[ERR_FORMAT] = "format",
	[ERR_SYSTEM] = "system",
	[ERR_UNAVAILABLE] = "unavailable",
	[ERR_UNSUPPORTED] = "unsupported",
	[ERR_REFUSED] = "refused",
};

int
err_set(struct err *e, enum err_kind kind, const char *fmt, ...)
{
	va_list ap;

	if (e == NULL)
		return -1;
	e->kind = kind;
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
	return -1;
}

const char *
err_name(enum err_kind kind)
{
	if ((unsigned)kind >= ERR__MAX)
		return "unknown";
	return err_names[kind];
}
