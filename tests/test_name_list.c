/* Lists of names: they grow up to a bound, beyond which names are counted. */
#include <stdio.h>
#include <string.h>

#include "base.h"
#include "hash.h"
#include "name_list.h"
#include "unit.h"

#define MANY 300U

static void fill(struct name_list *, uint32_t, uint32_t);
static void test_names(void);
static void test_many(void);
static void test_beyond_bound(void);

static void
fill(struct name_list *l, uint32_t from, uint32_t to)
{
	char name[NAME_LIST_NAME_SIZE];

	for (; from < to; from++) {
		snprintf(name, sizeof(name), "m/a%u", from);
		name_list_append(l, name);
	}
}

static void
test_names(void)
{
	struct name_list l = { 0 };

	CU_ASSERT(!name_list_has(&l, "m/a1"));
	name_list_remove(&l, "m/a1");
	name_list_add(&l, "m/a1");
	name_list_add(&l, "m/a2");
	name_list_add(&l, "m/a1");
	CU_ASSERT_EQUAL(name_list_count(&l), 2);
	CU_ASSERT(name_list_has_hashed(&l, "m/a2", hash_text("m/a2")));
	name_list_remove(&l, "m/a1");
	CU_ASSERT(!name_list_has(&l, "m/a1") && name_list_has(&l, "m/a2"));
	name_list_truncate(&l);
	CU_ASSERT(!name_list_has(&l, "m/a2"));
	name_list_clear(&l);
}

/* Guards against review/14: names beyond the 32nd were dropped. */
static void
test_many(void)
{
	struct name_list l = { 0 };
	struct name_list copy = { 0 };
	char name[NAME_LIST_NAME_SIZE];
	uint32_t i;

	fill(&l, 0, MANY);
	fill(&copy, 0, 3);
	name_list_copy(&copy, &l);
	name_list_remove(&l, "m/a7");
	CU_ASSERT_EQUAL(name_list_count(&l), MANY - 1);
	CU_ASSERT_EQUAL(name_list_count(&copy), MANY);
	for (i = 0; i < MANY; i++) {
		snprintf(name, sizeof(name), "m/a%u", i);
		CU_ASSERT_EQUAL(name_list_has(&l, name), i != 7);
		CU_ASSERT(name_list_has(&copy, name));
	}
	name_list_clear(&l);
	name_list_copy(&copy, &l);
	CU_ASSERT_EQUAL(name_list_count(&copy), 0);
	name_list_clear(&copy);
}

/* Names beyond the bound are counted until the list is filled again. */
static void
test_beyond_bound(void)
{
	struct name_list l = { 0 };
	struct name_list copy = { 0 };

	fill(&l, 0, NAME_LIST_MAX + 5);
	CU_ASSERT_EQUAL(l.n, NAME_LIST_MAX);
	CU_ASSERT_EQUAL(name_list_count(&l), NAME_LIST_MAX + 5);
	name_list_copy(&copy, &l);
	CU_ASSERT_EQUAL(name_list_count(&copy), NAME_LIST_MAX + 5);
	name_list_remove(&l, "m/a0");
	CU_ASSERT_EQUAL(name_list_count(&l), NAME_LIST_MAX + 4);
	name_list_truncate(&l);
	CU_ASSERT_EQUAL(name_list_count(&l), 0);
	name_list_clear(&l);
	name_list_clear(&copy);
}

static const struct unit_case cases[] = {
	{ "names", test_names },
	{ "many names", test_many },
	{ "more than have room", test_beyond_bound },
};

UNIT_MAIN("name_list", cases)
