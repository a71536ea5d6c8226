/* Names in the platform's list entries and reports, whatever their number. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buf.h"
#include "replica.h"
#include "unit.h"

#define REPLICA_HEAD                                                           \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","       \
	"\"slots\":6,\"cold_left_ms\":0,\"sequence\":4,"                       \
	"\"state\":\"ready\",\"models\":["

static void check_same_names(
    const struct name_list *, const struct name_list *);
static void test_report_many(void);
static void test_replica_many_models(void);
static void test_repeated_names(void);
static void test_long_names(void);

static void
check_same_names(const struct name_list *a, const struct name_list *b)
{
	uint32_t i;

	CU_ASSERT_EQUAL_FATAL(a->n, b->n);
	CU_ASSERT_EQUAL(a->nunnamed, b->nunnamed);
	for (i = 0; i < a->n; i++)
		CU_ASSERT_STRING_EQUAL(a->names[i], b->names[i]);
}

/* All models of an entry count, also those that have no room, and in a text. */
static void
test_replica_many_models(void)
{
	static const uint32_t counts[] = { 16, 17, 300, NAME_LIST_MAX + 7 };
	struct fleet_replica r, again;
	struct buf b = { 0 };
	struct err e;
	char *text;
	uint32_t i, k;

	for (i = 0; i < nitems(counts); i++) {
		buf_add_string(&b, REPLICA_HEAD);
		for (k = 0; k < counts[i]; k++)
			buf_printf(
			    &b, "%s{\"name\":\"m%u\"}", k == 0 ? "" : ",", k);
		buf_add_string(&b, "]}");
		CU_ASSERT_EQUAL(platform_replica_decode(
				    "i-1", buf_data(&b), buf_len(&b), &r, &e),
		    0);
		CU_ASSERT_EQUAL(name_list_count(&r.resident), counts[i]);
		CU_ASSERT_EQUAL(fleet_has_model(&r, "m299"), counts[i] >= 300);
		text = platform_replica_encode(&r);
		CU_ASSERT_EQUAL(platform_replica_decode(
				    "i-1", text, strlen(text), &again, &e),
		    0);
		check_same_names(&r.resident, &again.resident);
		fleet_replica_clear(&r);
		fleet_replica_clear(&again);
		free(text);
		buf_free(&b);
	}
}

/* All adapters of a report count, whatever their number. */
static void
test_report_many(void)
{
	struct fleet_replica r = { 0 };
	char text[8192] = "{\"sequence\":1,\"models\":[{\"name\":\"m\","
			  "\"adapters\":[\"a\"";
	size_t len = strlen(text);
	struct err e;
	int i;

	for (i = 0; i < 399; i++)
		len += (size_t)snprintf(
		    text + len, sizeof(text) - len, ",\"a%d\"", i);
	len += (size_t)snprintf(
	    text + len, sizeof(text) - len, "]}],\"coming\":[\"m/c@1\"");
	for (i = 0; i < 8; i++)
		len += (size_t)snprintf(
		    text + len, sizeof(text) - len, ",\"m/c%d@1\"", i);
	len += (size_t)snprintf(text + len, sizeof(text) - len, "]}");
	CU_ASSERT_EQUAL(platform_report_decode(text, len, &r, &e), 0);
	CU_ASSERT_EQUAL(r.adapters.n, 400);
	CU_ASSERT(fleet_has_adapter(&r, "m/a398"));
	CU_ASSERT_EQUAL(r.loading_adapters.n, 9);
	fleet_replica_clear(&r);
}

/* Whatever another writer repeats is kept once, so that a message holds it. */
static void
test_repeated_names(void)
{
	struct fleet_replica r;
	struct buf b = { 0 };
	struct err e;
	char *text;
	int i, k;

	buf_add_string(&b, REPLICA_HEAD);
	for (i = 0; i < 40; i++) {
		buf_printf(&b, "%s{\"name\":\"m\",\"adapters\":[\"a\"",
		    i == 0 ? "" : ",");
		for (k = 0; k < 40; k++)
			buf_printf(&b, ",\"a%d\"", k);
		buf_add_string(&b, "]}");
	}
	buf_add_string(&b, "]}");
	CU_ASSERT_EQUAL(
	    platform_replica_decode("i-1", buf_data(&b), buf_len(&b), &r, &e),
	    0);
	CU_ASSERT_EQUAL(name_list_count(&r.resident), 1);
	CU_ASSERT_EQUAL(name_list_count(&r.adapters), 41);
	text = platform_replica_encode(&r);
	CU_ASSERT(text != NULL && strlen(text) < 1000);
	free(text);
	fleet_replica_clear(&r);
	buf_free(&b);
}

/* Names that a message does not hold make an entry unusable, and no other. */
static void
test_long_names(void)
{
	struct fleet_replica r;
	struct buf b = { 0 };
	struct err e;
	int i, k;

	buf_add_string(&b, REPLICA_HEAD);
	for (i = 0; i < NAME_LIST_MAX; i++) {
		buf_printf(&b, "%s{\"name\":\"%d", i == 0 ? "" : ",", i);
		for (k = 0; k < 55; k++)
			buf_add_string(&b, "\\u0001");
		buf_add_string(&b, "\"}");
	}
	buf_add_string(&b, "]}");
	CU_ASSERT_EQUAL(
	    platform_replica_decode("i-1", buf_data(&b), buf_len(&b), &r, &e),
	    0);
	CU_ASSERT_PTR_NULL(platform_replica_encode(&r));
	fleet_replica_clear(&r);
	buf_free(&b);
}

static const struct unit_case cases[] = {
	{ "report of many adapters", test_report_many },
	{ "entry of many models", test_replica_many_models },
	{ "repeated names", test_repeated_names },
	{ "long names", test_long_names },
};

UNIT_MAIN("replica_names", cases)
