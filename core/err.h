/*
 * Typed errors.  The caller passes a struct err; the function that fails
 * fills it in and returns -1 or NULL.  Each text says what failed and how to
 * fix it.
 */
#ifndef ERR_H
#define ERR_H

enum err_kind {
	ERR_NONE,
	ERR_SETTINGS,	 /* invalid settings file */
	ERR_TICKET,	 /* malformed ticket */
	ERR_STALE,	 /* a higher ticket has set the object */
	ERR_CONFLICT,	 /* ticket number reused with different content */
	ERR_CAPACITY,	 /* declared models exceed the memory */
	ERR_FORMAT,	 /* undecodable message or document */
	ERR_SYSTEM,	 /* system call or library function failed */
	ERR_UNAVAILABLE, /* a process or service did not respond */
	ERR_UNSUPPORTED, /* of a later build */
	ERR_REFUSED,	 /* no process listens at the address */
	ERR__MAX
};

#define ERR_TEXT_SIZE 512

struct err {
	enum err_kind kind;
	char text[ERR_TEXT_SIZE];
};

/* Fills in err unless it is NULL.  Always returns -1, for return statements. */
int err_set(struct err *, enum err_kind, const char *, ...)
    __attribute__((format(printf, 3, 4)));
/* Name of a kind as printed and as used in JSON responses. */
const char *err_name(enum err_kind);

#endif
