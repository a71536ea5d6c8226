/*
 * Typed errors.  A caller passes a struct err down; the function that fails
 * fills it in once and returns -1 (or NULL).  Every text names a remedy.
 */
#ifndef ERR_H
#define ERR_H

enum err_kind {
	ERR_NONE,
	ERR_SETTINGS,	 /* a settings file is wrong */
	ERR_TICKET,	 /* a ticket is malformed */
	ERR_STALE,	 /* a ticket number is too low */
	ERR_CONFLICT,	 /* a ticket number was used with other content */
	ERR_CAPACITY,	 /* declared models do not fit in memory */
	ERR_FORMAT,	 /* a message or document cannot be decoded */
	ERR_SYSTEM,	 /* the operating system or a library refused */
	ERR_UNAVAILABLE, /* a needed process or service did not answer */
	ERR__MAX
};

#define ERR_TEXT_SIZE 512

struct err {
	enum err_kind kind;
	char text[ERR_TEXT_SIZE];
};

/* Fills in err unless it is NULL.  Returns -1 so callers can return it. */
int err_set(struct err *, enum err_kind, const char *, ...)
    __attribute__((format(printf, 3, 4)));
/* Short name of a kind, as printed and as used in JSON answers. */
const char *err_name(enum err_kind);

#endif
