/* Requests and responses of the platform's key-value service. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"
#include "mem.h"
#include "store.h"
#include "unit.h"

static void test_store_calls(void);
static void test_store_pages(void);
static void test_store_page_keys(void);
static void test_large_revisions(void);
static void test_unusable_revisions(void);

static void
test_store_calls(void)
{
	static const char found[] = "{\"value\":\"bm9kZS0x\",\"revision\":4}";
	struct store_request c;
	struct kv_result r;
	struct kv_ops ops;
	struct kv_op *op;
	struct err e;
	char *value;

	TAILQ_INIT(&ops);
	op = kv_op_create(&ops, 1, KV_CAS, "cell/x");
	op->value = mem_strdup("node-1");
	op->expected_revision = 5;
	op->lease_id = 77;
	store_op_request(op, &c);
	CU_ASSERT_STRING_EQUAL(c.path, "/api/kv-txn");
	CU_ASSERT_STRING_EQUAL(c.body,
	    "{\"expected\":[{\"key\":\"spindle/cell/x\",\"revision\":5}],"
	    "\"write\":[{\"key\":\"spindle/cell/x\",\"value\":\"bm9kZS0x\","
	    "\"lease\":77}],\"remove\":[]}");
	store_request_clear(&c);
	store_op_response(op, 200, 0, "{\"revision\":9}", 14, &r, &value, &e);
	CU_ASSERT(r.status == KV_OK && r.revision == 9);
	/* Only these statuses guarantee that nothing was written. */
	store_op_response(op, 412, 0, "", 0, &r, &value, &e);
	CU_ASSERT_EQUAL(r.status, KV_CONFLICT);
	store_op_response(op, 404, 0, "", 0, &r, &value, &e);
	CU_ASSERT_EQUAL(r.status, KV_CONFLICT); /* no such lease */
	store_op_response(op, 0, 0, "", 0, &r, &value, &e);
	CU_ASSERT_EQUAL(r.status, KV_UNKNOWN);
	store_op_response(op, 503, 0, "", 0, &r, &value, &e);
	CU_ASSERT_EQUAL(r.status, KV_UNKNOWN);
	op->kind = KV_GET;
	store_op_response(op, 200, 0, found, strlen(found), &r, &value, &e);
	CU_ASSERT_EQUAL(r.status, KV_OK);
	CU_ASSERT(r.value != NULL && strcmp(r.value, "node-1") == 0);
	free(value);
	store_op_response(
	    op, 200, 0, "{\"value\":\"***\"}", 15, &r, &value, &e);
	CU_ASSERT_EQUAL(r.status, KV_UNKNOWN);
	store_op_response(op, 404, 0, "", 0, &r, &value, &e);
	CU_ASSERT_EQUAL(r.status, KV_ABSENT);
	TAILQ_REMOVE(&ops, op, entry);
	kv_op_destroy(op);
}

static void
test_store_pages(void)
{
	static const char text[] =
	    "{\"events\":[{\"key\":\"a\",\"value\":\"eA==\",\"revision\":4},"
	    "{\"key\":\"b\",\"revision\":5,\"deleted\":true},"
	    "{\"key\":\"c\",\"value\":\"*\",\"revision\":6},{}],\"at\":7}";
	struct store_page p;
	struct store_request c;
	struct err e;

	CU_ASSERT_EQUAL(store_watch_response(0, text, strlen(text), &p, &e), 0);
	CU_ASSERT(p.revision == 7);
	CU_ASSERT_EQUAL_FATAL(p.n, 2); /* malformed items are skipped */
	CU_ASSERT_STRING_EQUAL(p.items[0].value, "x");
	CU_ASSERT_PTR_NULL(p.items[1].value);
	store_page_clear(&p);
	/* Revisions that a later era gives out again are higher. */
	CU_ASSERT_EQUAL(store_watch_response(3, text, strlen(text), &p, &e), 0);
	CU_ASSERT_EQUAL_FATAL(p.n, 2);
	CU_ASSERT(revision_era(p.revision) == 3 && p.items[0].revision > 7);
	store_watch_request(
	    "op/", revision_number(p.items[0].revision), 10000, &c);
	CU_ASSERT_PTR_NOT_NULL(strstr(c.path, "&after=4&"));
	store_page_clear(&p);
	CU_ASSERT_EQUAL(store_range_response(0, "[]", 2, &p, &e), -1);
	CU_ASSERT_EQUAL(
	    store_range_response(0, "{\"items\":3}", 11, &p, &e), -1);
	store_watch_request("op/", 411, 10000, &c);
	CU_ASSERT_STRING_EQUAL(
	    c.path, "/api/kv-watch?path_prefix=op/&after=411&wait_ms=10000");
	store_range_request("op/", "op/x", 0, &c);
	CU_ASSERT_STRING_EQUAL(
	    c.path, "/api/kv-range?path_prefix=op/&after=op/x");
}

/* Keys of other writers: a page tells where the next one begins. */
static void
test_store_page_keys(void)
{
	static const char *const pages[][2] = {
		{ "{\"items\":[{\"key\":\"a\\u0000b\",\"value\":\"\","
		  "\"revision\":4}],\"has_more\":true,\"at\":7}",
		    "a%00b" },
		{ "{\"items\":[{\"key\":\"s/1\",\"value\":\"eA==\","
		  "\"revision\":4},{\"key\":\"s/ &\",\"value\":\"*\","
		  "\"revision\":5}],\"has_more\":true,\"at\":7}",
		    "s/%20%26" },
		{ "{\"items\":[{\"key\":\"\xc3\xa9%\"}],\"at\":7}",
		    "%C3%A9%25" },
		{ "{\"items\":[],\"at\":7}", "" },
		{ "{\"items\":[{}],\"at\":7}", "" },
		{ "{\"items\":[7],\"at\":7}", "" },
	};
	struct store_page p;
	struct err e;
	size_t i;

	for (i = 0; i < nitems(pages); i++) {
		CU_ASSERT_EQUAL(store_range_response(0, pages[i][0],
				    strlen(pages[i][0]), &p, &e),
		    0);
		CU_ASSERT_STRING_EQUAL(p.last_key, pages[i][1]);
		store_page_clear(&p);
	}
}

/* A revision is sent to the service with all bits that it was read with. */
static void
test_large_revisions(void)
{
	static const char *const numbers[] = { "1", "1099511627775",
		"1099511627776", "1796670000001", "9007199254740993",
		"9223372036854775807" };
	struct store_request c;
	struct store_page p;
	struct kv_result r;
	struct kv_ops ops;
	struct kv_op *op;
	struct err e;
	char text[256], expected[64];
	char *value;
	size_t i;

	TAILQ_INIT(&ops);
	op = kv_op_create(&ops, 1, KV_GET, "cell/x");
	op->value = mem_strdup("node-1");
	for (i = 0; i < nitems(numbers); i++) {
		snprintf(text, sizeof(text),
		    "{\"value\":\"eA==\",\"revision\":%s,\"at\":%s,"
		    "\"events\":[]}",
		    numbers[i], numbers[i]);
		op->kind = KV_GET;
		CU_ASSERT_EQUAL(store_op_response(op, 200, 3, text,
				    strlen(text), &r, &value, &e),
		    0);
		free(value);
		op->kind = KV_CAS;
		op->expected_revision = r.revision;
		store_op_request(op, &c);
		snprintf(
		    expected, sizeof(expected), "\"revision\":%s}", numbers[i]);
		CU_ASSERT_PTR_NOT_NULL(strstr(c.body, expected));
		store_request_clear(&c);
		CU_ASSERT_EQUAL(
		    store_watch_response(3, text, strlen(text), &p, &e), 0);
		store_watch_request(
		    "op/", revision_number(p.revision), 10000, &c);
		snprintf(expected, sizeof(expected), "&after=%s&", numbers[i]);
		CU_ASSERT_PTR_NOT_NULL(strstr(c.path, expected));
		store_page_clear(&p);
	}
	TAILQ_REMOVE(&ops, op, entry);
	kv_op_destroy(op);
}

/* No condition is taken from a revision that is no integer below 2^63. */
static void
test_unusable_revisions(void)
{
	static const char *const numbers[] = { "9223372036854775808",
		"18446744073709551616", "-1", "1.0", "1e3", "\"4\"", "null" };
	static const enum kv_op_kind kinds[] = { KV_GET, KV_CAS, KV_GRANT };
	struct store_page p;
	struct kv_result r;
	struct kv_ops ops;
	struct kv_op *op;
	struct err e;
	char text[256];
	char *value;
	size_t i, k;

	TAILQ_INIT(&ops);
	op = kv_op_create(&ops, 1, KV_GET, "cell/x");
	for (i = 0; i < nitems(numbers); i++) {
		snprintf(text, sizeof(text),
		    "{\"value\":\"eA==\",\"revision\":%s,\"lease\":%s,"
		    "\"at\":%s,\"items\":[]}",
		    numbers[i], numbers[i], numbers[i]);
		for (k = 0; k < nitems(kinds); k++) {
			op->kind = kinds[k];
			CU_ASSERT_EQUAL(store_op_response(op, 200, 0, text,
					    strlen(text), &r, &value, &e),
			    -1);
			CU_ASSERT_EQUAL(r.status, KV_UNKNOWN);
			CU_ASSERT_PTR_NOT_NULL(strstr(e.text, "2^63"));
			free(value);
		}
		CU_ASSERT_EQUAL(
		    store_range_response(0, text, strlen(text), &p, &e), -1);
		CU_ASSERT_PTR_NOT_NULL(strstr(e.text, "2^63"));
		store_page_clear(&p);
	}
	TAILQ_REMOVE(&ops, op, entry);
	kv_op_destroy(op);
}

static const struct unit_case cases[] = {
	{ "calls", test_store_calls },
	{ "pages", test_store_pages },
	{ "page keys", test_store_page_keys },
	{ "large revisions", test_large_revisions },
	{ "unusable revisions", test_unusable_revisions },
};

UNIT_MAIN("store", cases)
