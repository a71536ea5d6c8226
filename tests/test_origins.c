/* Which version began each stream: kept in memory and in records. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "origins.h"
#include "replica.h"
#include "software.h"
#include "stream_record.h"
#include "unit.h"

#define S NSEC_PER_SEC
#define MANY 20000U
#define VERSIONED(version)                                                     \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","       \
	"\"slots\":6,\"cold_left_ms\":0,\"sequence\":4,"                       \
	"\"state\":\"ready\"" version "}"

static struct origin make(const char *, const char *);
static void test_kept(void);
static void test_replica_software(void);
static void test_same_id_twice(void);
static void test_many(void);
static void test_records(void);
static void test_bad_records(void);
static void test_versions(void);

static struct origin
make(const char *id, const char *software)
{
	struct origin o;

	snprintf(o.id, sizeof(o.id), "%s", id);
	snprintf(o.service, sizeof(o.service), "llm");
	snprintf(o.software, sizeof(o.software), "%s", software);
	return o;
}

static void
test_kept(void)
{
	struct origins *s = origins_create();
	struct origin a = make("a", "v1");
	struct origin b = make("b", "v2");

	origins_put(s, S, &a);
	origins_put(s, 30 * S, &b);
	CU_ASSERT_STRING_EQUAL(origins_find(s, "a")->software, "v1");
	CU_ASSERT_PTR_NULL(origins_find(s, "c"));
	origins_expire(s, 60 * S);
	CU_ASSERT_PTR_NOT_NULL(origins_find(s, "a"));
	/* It goes on. */
	origins_put(s, 60 * S, &a);
	origins_expire(s, 91 * S);
	CU_ASSERT_PTR_NOT_NULL(origins_find(s, "a"));
	CU_ASSERT_PTR_NULL(origins_find(s, "b"));
	origins_destroy(s);
}

/* Nothing tells which of the two streams is meant. */
static void
test_same_id_twice(void)
{
	struct origins *s = origins_create();
	struct origin a = make("a", "v1");
	struct origin b = make("a", "v2");

	origins_put(s, S, &a);
	origins_put(s, S, &a);
	CU_ASSERT_STRING_EQUAL(origins_find(s, "a")->software, "v1");
	origins_put(s, S, &b);
	CU_ASSERT_STRING_EQUAL(origins_find(s, "a")->software, "");
	origins_put(s, S, &a);
	CU_ASSERT_STRING_EQUAL(origins_find(s, "a")->software, "");
	origins_destroy(s);
}

static void
test_many(void)
{
	struct origins *s = origins_create();
	struct origin o;
	char id[16];
	uint32_t i;

	for (i = 0; i < MANY; i++) {
		snprintf(id, sizeof(id), "%u", i);
		o = make(id, "v1");
		origins_put(s, S, &o);
	}
	CU_ASSERT_PTR_NULL(origins_find(s, "0"));
	CU_ASSERT_PTR_NOT_NULL(origins_find(s, "19999"));
	origins_destroy(s);
}

static void
test_records(void)
{
	struct origin o[2] = { make("a\"\\\xc3\xa4", "v1"), make("b", "v2") };
	struct origin out[2];
	struct store_request sc;
	char key[KV_KEY_SIZE];
	char *text;

	text = stream_records_encode(o, 2);
	CU_ASSERT_EQUAL(stream_records_decode(text, strlen(text), out, 2), 2);
	CU_ASSERT_STRING_EQUAL(out[0].id, o[0].id);
	CU_ASSERT_STRING_EQUAL(out[1].software, "v2");
	CU_ASSERT_EQUAL(stream_records_decode(text, strlen(text), out, 1), 1);
	free(text);
	stream_records_request(o, 2, 7, &sc);
	CU_ASSERT_STRING_EQUAL(sc.path, "/api/kv-txn");
	stream_record_key("b", key, sizeof(key));
	CU_ASSERT_PTR_NOT_NULL(strstr(sc.body, key));
	CU_ASSERT_PTR_NOT_NULL(strstr(sc.body, "\"lease\":7"));
	store_request_clear(&sc);
	CU_ASSERT_EQUAL(
	    stream_record_decode("{\"id\":\"a\",\"service\":\"llm\","
				 "\"software\":\"v1\"}",
		"a", &out[0]),
	    0);
	CU_ASSERT_STRING_EQUAL(out[0].service, "llm");
}

/* Of another attempt with the same hash, or of another writer. */
static void
test_bad_records(void)
{
	static const char *const texts[] = { "", "[]", "{}", "{\"id\":\"a\"}",
		"{\"id\":\"b\",\"service\":\"llm\",\"software\":\"v1\"}",
		"{\"id\":\"a\",\"service\":7,\"software\":\"v1\"}" };
	struct origin bad = make("\xff\xfe", "v1");
	struct origin o;
	char *text;
	size_t i;

	for (i = 0; i < nitems(texts); i++) {
		CU_ASSERT_EQUAL(stream_record_decode(texts[i], "a", &o), -1);
		CU_ASSERT_EQUAL(
		    stream_records_decode(texts[i], strlen(texts[i]), &o, 1),
		    0);
	}
	text = stream_records_encode(&bad, 1);
	CU_ASSERT_STRING_EQUAL(text, "[]");
	free(text);
}

static void
test_versions(void)
{
	struct software *a = software_create();
	struct software *b = software_create();
	char *text;

	software_see(a, S, "llm", "v1");
	software_see(a, S, "shop", "v1");
	text = software_text_encode(a, 3);
	CU_ASSERT_EQUAL(software_text_decode(text, 3, S, b), 0);
	CU_ASSERT_STRING_EQUAL(software_only(b, "llm"), "v1");
	/* The service has come back from an older copy since. */
	CU_ASSERT_EQUAL(software_text_decode(text, 4, S, b), -1);
	free(text);
	CU_ASSERT_EQUAL(software_text_decode("{", 3, S, b), -1);
	CU_ASSERT_EQUAL(
	    software_text_decode("{\"era\":3,\"software\":[{}]}", 3, S, b), -1);
	software_destroy(a);
	software_destroy(b);
}

/* Only a text is a version; a long one is known by its hash, here and there. */
static void
test_replica_software(void)
{
	static const char *const unknown[] = { "", ",\"version\":\"\"",
		",\"version\":7", ",\"version\":null",
		",\"version\":[\"v1\"]" };
	struct fleet_replica r, again, other;
	struct err e;
	char text[400];
	char name[200];
	char *kept;
	size_t i;

	for (i = 0; i < nitems(unknown); i++) {
		snprintf(text, sizeof(text), VERSIONED("%s"), unknown[i]);
		CU_ASSERT_EQUAL(
		    platform_replica_decode("i-1", text, strlen(text), &r, &e),
		    0);
		CU_ASSERT_STRING_EQUAL(r.software, "");
	}
	memset(name, 'v', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	for (i = 0; i < 2; i++) {
		name[sizeof(name) - 2] = (char)('a' + i);
		snprintf(
		    text, sizeof(text), VERSIONED(",\"version\":\"%s\""), name);
		CU_ASSERT_EQUAL(platform_replica_decode("i-1", text,
				    strlen(text), i == 0 ? &r : &other, &e),
		    0);
	}
	CU_ASSERT_STRING_NOT_EQUAL(r.software, other.software);
	kept = platform_replica_encode(&r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(kept);
	CU_ASSERT_EQUAL(
	    platform_replica_decode("i-1", kept, strlen(kept), &again, &e), 0);
	CU_ASSERT_STRING_EQUAL(again.software, r.software);
	free(kept);
}

static const struct unit_case cases[] = {
	{ "version of a replica's software", test_replica_software },
	{ "kept", test_kept },
	{ "two streams of an id", test_same_id_twice },
	{ "more than are kept", test_many },
	{ "records", test_records },
	{ "bad records", test_bad_records },
	{ "versions", test_versions },
};

UNIT_MAIN("origins", cases)
