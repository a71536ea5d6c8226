/*
 * Table-driven validation of JSON objects.  A table lists the members that an
 * object may have; check_object() rejects unknown members, wrong types and
 * values out of range with an error that gives the member's path and a hint,
 * and stores valid values in a struct at the given offsets.
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
	double min; /* numbers, array sizes: range; strings: minimum length */
	double max;
	const char *hint;
};

/*
 * Validates obj against a table of n fields and stores its members in the
 * struct at out; absent members leave the struct unchanged.  Errors are of the
 * given kind and name obj by path.  Returns 0, or -1 with err set.
 */
int check_object(const json_t *, const struct check_field *, size_t, void *,
    const char *, enum err_kind, struct err *);
/*
 * Splits "IP:port" into its parts.  Returns 0, or -1 unless ip is an IPv4
 * address and port is 1 to 65535.
 */
int check_parse_addr(const char *, char *, size_t, uint16_t *);

#endif
