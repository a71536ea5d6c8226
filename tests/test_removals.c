/* Removals from a list, and the changes that they allow to tell. */
#include <stdio.h>
#include <string.h>

#include "removals.h"
#include "unit.h"

static uint32_t count_after(const struct removals *, uint64_t);
static void test_known_since(void);
static void test_after(void);
static void test_many(void);

static uint32_t
count_after(const struct removals *r, uint64_t revision)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < REMOVALS_MAX; i++)
		n += removals_get(r, i, revision) != NULL;
	return n;
}

/* Removals from before the list was read are not known. */
static void
test_known_since(void)
{
	static struct removals r;

	memset(&r, 0, sizeof(r));
	CU_ASSERT(!removals_known_since(&r, 0));
	removals_add(&r, "a", 5);
	CU_ASSERT(!removals_known_since(&r, 9));
	removals_start(&r, 7);
	CU_ASSERT(!removals_known_since(&r, 6));
	CU_ASSERT(removals_known_since(&r, 7));
	removals_start(&r, 3);
	removals_start(&r, 12);
	CU_ASSERT(!removals_known_since(&r, 6));
	CU_ASSERT(removals_known_since(&r, 7));
}

static void
test_after(void)
{
	static struct removals r;

	memset(&r, 0, sizeof(r));
	removals_start(&r, 7);
	removals_add(&r, "a", 9);
	removals_add(&r, "b", 11);
	CU_ASSERT_EQUAL(count_after(&r, 7), 2);
	CU_ASSERT_EQUAL(count_after(&r, 9), 1);
	CU_ASSERT_EQUAL(count_after(&r, 11), 0);
	CU_ASSERT_STRING_EQUAL(removals_get(&r, 1, 9)->key, "b");
	CU_ASSERT(removals_has(&r, "b", 10));
	CU_ASSERT(!removals_has(&r, "b", 11));
	CU_ASSERT(!removals_has(&r, "c", 10));
}

/* Only the latest are kept. */
static void
test_many(void)
{
	static struct removals r;
	char key[16];
	uint64_t i;

	memset(&r, 0, sizeof(r));
	removals_start(&r, 7);
	for (i = 0; i < REMOVALS_MAX + 10; i++) {
		snprintf(key, sizeof(key), "%u", (unsigned)i);
		removals_add(&r, key, 10 + i);
	}
	CU_ASSERT(!removals_known_since(&r, 10 + 8));
	CU_ASSERT(removals_known_since(&r, 10 + 9));
	CU_ASSERT_EQUAL(count_after(&r, 10 + 9), REMOVALS_MAX);
}

static const struct unit_case cases[] = {
	{ "known since", test_known_since },
	{ "after a revision", test_after },
	{ "more than are kept", test_many },
};

UNIT_MAIN("removals", cases)
