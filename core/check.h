/*
 * Table-driven validation of JSON objects.  A spec lists the members an
 * object may have; check_object() refuses unknown members, wrong types and
 * values out of range, naming the path and the remedy, and stores accepted
 * values into a struct at the given offsets.
 */
#ifndef CHECK_H
#define CHECK_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base.h"
#include "err.h"

enum check_type {
	CHECK_UINT,   /* uint64_t */
	CHECK_REAL,   /* double */
	CHECK_BOOL,   /* int */
	CHECK_NAME,   /* char[size]: letters, digits, '.', '_', '-', '/' */
	CHECK_TEXT,   /* char[size]: any text */
	CHECK_ADDR,   /* char[size]: IPv4 address and port */
	CHECK_ARRAY,  /* const json_t *, borrowed */
	CHECK_OBJECT, /* const json_t *, borrowed */
	CHECK__MAX
};

struct check_field {
	const char *name;
	enum check_type type;
	int required;
	size_t offset;
	size_t size;
	double min; /* numbers: range; strings: shortest length */
	double max;
	const char *hint;
};

/*
 * Checks obj against n fields, path naming obj in errors.  Members that are
 * absent leave the struct at out as it is.  Returns 0, or -1 with err set to
 * kind.
 */
int check_object(const json_t *, const struct check_field *, size_t, void *,
    const char *, enum err_kind, struct err *);
/* Splits "IP:port"; returns 0 when ip is a dotted quad and port is 1-65535. */
int check_parse_addr(const char *, char *, size_t, uint16_t *);

#endif
