#include <string.h>

#include "parse_fixture.h"
#include "unit.h"

static void ignore_head(void *, const struct http_head *);
static void ignore_body(void *, const char *, size_t);
static void ignore_end(void *);

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

const struct http_head *
parse_head(const char *text, enum http_message_kind side)
{
	static const struct http_reader_ops ops = { ignore_head, ignore_body,
		ignore_end };
	static struct http_reader *r;

	http_reader_destroy(r);
	r = http_reader_create(side, &ops, NULL);
	CU_ASSERT(http_reader_feed(r, text, strlen(text)) > 0);
	return http_reader_head(r);
}
