#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base.h"
#include "notice_fields.h"

#define STATUS_UNAVAILABLE 503
/* Larger numbers are read as this one, which any use of them bounds. */
#define NUMBER_MAX 1e8
/* With no requests at all, the end of a limit would never be heard. */
#define LIMIT_MIN_PER_S 0.1

static int is_blank(const char *);
static int parse_date(const char *, time_t *);
static int parse_number(const char *, double *);
static void add_retry_after(struct notice_fields *, const char *);
static void add_limit(struct notice_fields *, const char *);

/* Whether nothing follows but white space. */
static int
is_blank(const char *s)
{
	return s[strspn(s, " \t")] == '\0';
}

/* A date of HTTP, in seconds since the epoch. */
static int
parse_date(const char *s, time_t *out)
{
	struct tm tm = { 0 };
	const char *end;

	end = strptime(s, "%a, %d %b %Y %H:%M:%S GMT", &tm);
	if (end == NULL || !is_blank(end))
		return -1;
	*out = timegm(&tm);
	return 0;
}

/* Decimal digits with at most one point among or after them. */
static int
parse_number(const char *s, double *x)
{
	size_t whole = strspn(s, "0123456789");
	size_t len = whole;

	if (s[len] == '.') {
		len++;
		len += strspn(s + len, "0123456789");
	}
	if (whole == 0 || !is_blank(s + len))
		return -1;
	*x = strtod(s, NULL);
	if (*x > NUMBER_MAX)
		*x = NUMBER_MAX;
	return 0;
}

/* Of several values the longest time holds. */
static void
add_retry_after(struct notice_fields *f, const char *value)
{
	uint64_t ns;
	double s;
	time_t at;

	if (parse_number(value, &s) == 0) {
		ns = (uint64_t)(s * (double)NSEC_PER_SEC);
		if (ns > f->retry_ns)
			f->retry_ns = ns;
	} else if (parse_date(value, &at) == 0) {
		if (!f->has_retry_date || at > f->retry_date)
			f->retry_date = at;
		f->has_retry_date = 1;
	} else {
		f->retry_is_bad = 1;
	}
}

/* Of several limits the lowest holds. */
static void
add_limit(struct notice_fields *f, const char *value)
{
	double per_s;

	if (parse_number(value, &per_s) == -1) {
		f->limit_is_bad = 1;
		return;
	}
	if (per_s < LIMIT_MIN_PER_S)
		per_s = LIMIT_MIN_PER_S;
	if (f->limit_per_s == 0.0 || per_s < f->limit_per_s)
		f->limit_per_s = per_s;
}

void
notice_fields_add(struct notice_fields *f, const char *name, const char *value)
{
	if (strcasecmp(name, NOTICE_FIELD_LEAVING) == 0) {
		if (*value == '1' && is_blank(value + 1))
			f->leaving = 1;
		else
			f->unknown = NOTICE_FIELD_LEAVING;
	} else if (strcasecmp(name, NOTICE_FIELD_RETRY_AFTER) == 0) {
		add_retry_after(f, value);
	} else if (strcasecmp(name, NOTICE_FIELD_LIMIT) == 0) {
		add_limit(f, value);
	} else if (strcasecmp(name, "Date") == 0 && !f->has_date) {
		f->has_date = 1;
		if (parse_date(value, &f->sent_at) == -1)
			f->sent_at = -1;
	}
}

/*
 * A date counts from the replica's own, as clocks differ and step; without one
 * it says nothing.
 */
void
notice_fields_finish(struct notice_fields *f, int status)
{
	uint64_t ns;

	if (f->limit_is_bad)
		f->unknown = NOTICE_FIELD_LIMIT;
	if (status != STATUS_UNAVAILABLE)
		return;
	f->closed_ns = f->retry_ns;
	if (f->has_retry_date && (!f->has_date || f->sent_at == -1)) {
		f->retry_is_bad = 1;
	} else if (f->has_retry_date && f->retry_date > f->sent_at) {
		ns = (uint64_t)(f->retry_date - f->sent_at) * NSEC_PER_SEC;
		if (ns > f->closed_ns)
			f->closed_ns = ns;
	}
	if (f->retry_is_bad)
		f->unknown = NOTICE_FIELD_RETRY_AFTER;
}
