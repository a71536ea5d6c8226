/* Which events of a stream are passed on to a caller. */
#include <stdio.h>
#include <string.h>

#include "base.h"
#include "event_filter.h"
#include "unit.h"

#define OUT_SIZE 1024

struct output {
	char text[OUT_SIZE];
	size_t len;
};

static void on_write(void *, const char *, size_t);
static size_t write_events(char *, const int *);
static void pass(struct event_filter *, const int *, const int *);
static void test_new_events_before_repeated(void);
static void test_resumed(void);
static void test_without_id(void);

static void
on_write(void *ctx, const char *p, size_t len)
{
	struct output *o = ctx;

	CU_ASSERT_FATAL(len != 0 && o->len + len <= sizeof(o->text));
	memcpy(o->text + o->len, p, len);
	o->len += len;
}

/* Events with the given ids, up to a negative one; 0 stands for no id. */
static size_t
write_events(char *out, const int *ids)
{
	size_t len = 0;

	for (; *ids >= 0; ids++) {
		if (*ids != 0)
			len += (size_t)snprintf(
			    out + len, OUT_SIZE - len, "id: %d\n", *ids);
		len += (size_t)snprintf(
		    out + len, OUT_SIZE - len, "data: of %d\n\n", *ids);
	}
	return len;
}

/* Passes events at once; exactly the expected ones are written. */
static void
pass(struct event_filter *f, const int *ids, const int *expected)
{
	struct output o = { .len = 0 };
	char in[OUT_SIZE];
	char want[OUT_SIZE];
	size_t len = write_events(in, ids);
	size_t want_len = write_events(want, expected);

	event_filter_pass(f, in, len, on_write, &o);
	CU_ASSERT_EQUAL(o.len, want_len);
	CU_ASSERT(o.len == want_len && memcmp(o.text, want, o.len) == 0);
}

/* Callers got streams with events missing that looked complete. */
static void
test_new_events_before_repeated(void)
{
	static const int in[] = { 1, 2, 3, 2, 4, 5, 5, 1, -1 };
	static const int out[] = { 1, 2, 3, 4, 5, -1 };
	struct event_filter f;

	event_filter_start(&f, 0);
	pass(&f, in, out);
	CU_ASSERT_EQUAL(f.read_id, 5);
	CU_ASSERT_EQUAL(f.written_id, 5);
}

static void
test_resumed(void)
{
	static const int in[] = { 3, 4, 5, 6, 8, -1 };
	static const int out[] = { 6, 8, -1 };
	static const int again[] = { 7, 8, -1 };
	static const int none[] = { -1 };
	struct event_filter f;

	event_filter_start(&f, 5);
	pass(&f, in, out);
	pass(&f, again, none);
	CU_ASSERT_EQUAL(f.written_id, 8);
}

static void
test_without_id(void)
{
	static const int in[] = { 0, 1, 0, 1, 0, 2, -1 };
	static const int out[] = { 0, 1, 0, 0, 2, -1 };
	static const int more[] = { 0, -1 };
	struct event_filter f;

	event_filter_start(&f, 0);
	pass(&f, in, out);
	CU_ASSERT(!f.unnumbered); /* they come before the last id */
	pass(&f, more, more);
	CU_ASSERT(f.unnumbered);
}

static const struct unit_case cases[] = {
	{ "new events before repeated ones", test_new_events_before_repeated },
	{ "resumed", test_resumed },
	{ "events without an id", test_without_id },
};

UNIT_MAIN("event_filter", cases)
