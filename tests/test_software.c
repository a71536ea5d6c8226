/* Versions of the software that may have written a stream. */
#include <stdio.h>
#include <string.h>

#include "software.h"
#include "unit.h"

#define S NSEC_PER_SEC

static void test_count(void);
static void test_expire(void);
static void test_listed(void);

static void
test_count(void)
{
	struct software *s = software_create();
	const char *service;
	const char *name;

	CU_ASSERT_EQUAL(software_count(s, "llm"), 0);
	CU_ASSERT_PTR_NULL(software_only(s, "llm"));
	software_see(s, S, "llm", "v2");
	software_see(s, S, "llm", "v2");
	CU_ASSERT_EQUAL(software_changes(s), 1);
	software_see(s, S, "shop", "v9");
	CU_ASSERT_STRING_EQUAL(software_only(s, "llm"), "v2");
	software_see(s, S, "llm", "v1");
	CU_ASSERT_EQUAL(software_count(s, "llm"), 2);
	CU_ASSERT_PTR_NULL(software_only(s, "llm"));
	CU_ASSERT_STRING_EQUAL(software_only(s, "shop"), "v9");
	CU_ASSERT(software_get(s, 0, &service, &name));
	CU_ASSERT_STRING_EQUAL(name, "v1");
	CU_ASSERT(software_get(s, 2, &service, &name));
	CU_ASSERT_STRING_EQUAL(service, "shop");
	CU_ASSERT(!software_get(s, 3, &service, &name));
	software_destroy(s);
}

/* A version counts for as long as a stream of it may be taken up. */
static void
test_expire(void)
{
	struct software *s = software_create();

	software_see(s, S, "llm", "v1");
	software_see(s, 30 * S, "llm", "v2");
	software_expire(s, 60 * S);
	CU_ASSERT_EQUAL(software_count(s, "llm"), 2);
	CU_ASSERT_EQUAL(software_changes(s), 2);
	software_expire(s, 61 * S);
	CU_ASSERT_EQUAL(software_changes(s), 3);
	CU_ASSERT_STRING_EQUAL(software_only(s, "llm"), "v2");
	software_destroy(s);
}

static void
test_listed(void)
{
	struct software *s = software_create();
	struct fleet_replica r;
	struct directory d;

	directory_init(&d);
	memset(&r, 0, sizeof(r));
	snprintf(r.id, sizeof(r.id), "a");
	snprintf(r.service, sizeof(r.service), "llm");
	snprintf(r.software, sizeof(r.software), "v1");
	directory_put(&d, &r);
	software_see_listed(s, S, &d);
	CU_ASSERT_STRING_EQUAL(software_only(s, "llm"), "v1");
	CU_ASSERT(software_is_served(&d, S, "llm", "v1"));
	CU_ASSERT(software_is_served(&d, S, "llm", NULL));
	CU_ASSERT(!software_is_served(&d, S, "shop", NULL));
	/* One that names none may be of any. */
	snprintf(r.id, sizeof(r.id), "b");
	r.software[0] = '\0';
	directory_put(&d, &r);
	software_see_listed(s, S, &d);
	CU_ASSERT_EQUAL(software_count(s, "llm"), 2);
	directory_remove_reported(&d, S, "a", 0);
	software_see_listed(s, 61 * S, &d);
	software_expire(s, 61 * S);
	CU_ASSERT_EQUAL(software_count(s, "llm"), 1);
	CU_ASSERT_PTR_NULL(software_only(s, "llm"));
	CU_ASSERT(!software_is_served(&d, S, "llm", "v1"));
	directory_clear(&d);
	software_destroy(s);
}

static const struct unit_case cases[] = {
	{ "count", test_count },
	{ "expiry", test_expire },
	{ "listed replicas", test_listed },
};

UNIT_MAIN("software", cases)
