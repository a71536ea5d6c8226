/* Fields of answers with a replica's notices: leaving, closed, limited. */
#include <stdio.h>
#include <string.h>

#include "fields.h"
#include "unit.h"

static void ignore_head(void *, const struct http_head *);
static void ignore_body(void *, const char *, size_t);
static void ignore_end(void *);
static void decode(const char *, struct response_info *);
static uint64_t closed_by(const char *, const char **);
static void test_notices(void);
static void test_limits(void);

static void
ignore_head(void *ctx, const struct http_head *h)
{
	(void)ctx;
	(void)h;
}

static void
ignore_body(void *ctx, const char *p, size_t len)
{
	(void)ctx;
	(void)p;
	(void)len;
}

static void
ignore_end(void *ctx)
{
	(void)ctx;
}

static void
decode(const char *text, struct response_info *t)
{
	static const struct http_reader_ops ops = { ignore_head, ignore_body,
		ignore_end };
	struct http_reader *r =
	    http_reader_create(HTTP_READ_RESPONSES, &ops, NULL);

	CU_ASSERT(http_reader_feed(r, text, strlen(text)) > 0);
	fields_decode_response(http_reader_head(r), "x", t);
	http_reader_destroy(r);
}

/* Time for which a 503 with these fields closes its replica. */
static uint64_t
closed_by(const char *fields, const char **unknown)
{
	struct response_info t;
	char text[1024];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 503 S\r\n%s\r\nContent-Length: 0\r\n\r\n", fields);
	decode(text, &t);
	*unknown = t.unknown;
	return t.closed_ns;
}

static void
test_notices(void)
{
	static const struct {
		const char *fields;
		uint64_t closed_ms;
		int unknown;
	} rows[] = {
		{ "Retry-After: 2", 2000, 0 },
		{ "Retry-After: 0.25", 250, 0 },
		{ "Retry-After: 0", 0, 0 },
		{ "Retry-After: -1", 0, 1 },
		{ "Retry-After: 1e3", 0, 1 },
		{ "Retry-After: nan", 0, 1 },
		{ "Retry-After: 0x10", 0, 1 },
		{ "Retry-After:", 0, 1 },
		{ "Retry-After: 99999999999999999999999", 100000000000, 0 },
		{ "Retry-After: 3\r\nRetry-After: 1", 3000, 0 },
		{ "Retry-After: x\r\nRetry-After: 1", 1000, 1 },
		{ "Retry-After: Fri, 04 Dec 2026 10:00:05 GMT", 0, 1 },
		{ "Date: Fri, 04 Dec 2026 10:00:00 GMT\r\n"
		  "Retry-After: Fri, 04 Dec 2026 10:00:05 GMT",
		    5000, 0 },
		{ "Date: Fri, 04 Dec 2026 10:00:09 GMT\r\n"
		  "Retry-After: Fri, 04 Dec 2026 10:00:05 GMT",
		    0, 0 },
	};
	struct response_info t;
	const char *unknown;
	size_t i;

	for (i = 0; i < nitems(rows); i++) {
		CU_ASSERT_EQUAL(closed_by(rows[i].fields, &unknown),
		    rows[i].closed_ms * NSEC_PER_MSEC);
		CU_ASSERT_EQUAL(unknown != NULL, rows[i].unknown);
	}
	decode("HTTP/1.1 200 OK\r\nRetry-After: 5\r\n"
	       "server-leaving: 1\r\nContent-Length: 0\r\n\r\n",
	    &t);
	CU_ASSERT(t.leaving && t.closed_ns == 0 && t.unknown == NULL);
	closed_by("Server-Leaving: yes", &unknown);
	CU_ASSERT_PTR_NOT_NULL(unknown);
}

static void
test_limits(void)
{
	static const struct {
		const char *fields;
		double per_s;
		int is_bad;
	} rows[] = {
		{ "Server-Limit: 3", 3.0, 0 },
		{ "server-limit: 3.25", 3.25, 0 },
		{ "Server-Limit: 0", 0.1, 0 },
		{ "Server-Limit: 5\r\nServer-Limit: 2", 2.0, 0 },
		{ "Server-Limit: 99999999999999999999", 1e8, 0 },
		{ "Server-Limit: many", 0.0, 1 },
		{ "Server-Limit:", 0.0, 1 },
		{ "Server-Limit: -1", 0.0, 1 },
		{ "Server-Limit: 1e3", 0.0, 1 },
		{ "X: 1", 0.0, 0 },
	};
	struct response_info t;
	char text[1024];
	size_t i;

	for (i = 0; i < nitems(rows); i++) {
		snprintf(text, sizeof(text),
		    "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 0\r\n\r\n",
		    rows[i].fields);
		decode(text, &t);
		CU_ASSERT_DOUBLE_EQUAL(t.limit_per_s, rows[i].per_s, 1e-9);
		CU_ASSERT_EQUAL(t.limit_is_bad, rows[i].is_bad);
		CU_ASSERT_EQUAL(t.unknown != NULL, rows[i].is_bad);
	}
}

static const struct unit_case cases[] = {
	{ "what replicas say of themselves", test_notices },
	{ "limits on requests", test_limits },
};

UNIT_MAIN("fields", cases)
