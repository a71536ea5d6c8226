/*
 * Header fields with which a replica says of itself that it leaves, takes no
 * requests for a time, or takes so many in a second.  Shared by both
 * interfaces.
 */
#ifndef NOTICE_FIELDS_H
#define NOTICE_FIELDS_H

#include <stdint.h>
#include <time.h>

#define NOTICE_FIELD_LEAVING "Server-Leaving"
#define NOTICE_FIELD_RETRY_AFTER "Retry-After"
#define NOTICE_FIELD_LIMIT "Server-Limit"

/* The fields of one answer; zeroed before the first one. */
struct notice_fields {
	/* valid after notice_fields_finish() */
	int leaving;	    /* the replica says that it leaves */
	uint64_t closed_ns; /* it takes no requests for this long, 0: it does */
	double limit_per_s; /* requests that it takes from all, 0: any number */
	int limit_is_bad;   /* it names a limit that cannot be read */
	const char *unknown; /* name of a field with a bad value, NULL */
	/* private */
	int retry_is_bad;
	uint64_t retry_ns;
	int has_retry_date;
	time_t retry_date; /* the latest */
	int has_date;	   /* the first is known, or sent_at is -1 */
	time_t sent_at;
};

/* Adds a field by name and value; other fields are ignored. */
void notice_fields_add(struct notice_fields *, const char *, const char *);
/* Decodes the fields added, of an answer with a status. */
void notice_fields_finish(struct notice_fields *, int);

#endif
