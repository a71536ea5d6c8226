/* Sets of hashes: what was added is found, and nothing else. */
#include "base.h"
#include "tag_set.h"
#include "unit.h"

#define TAGS ((uint64_t)5000)
/* Hashes that differ only in their upper half fall into one slot. */
#define COLLIDING(i) ((uint64_t)(i) << 32)

static void test_empty(void);
static void test_many(void);
static void test_colliding(void);

static void
test_empty(void)
{
	struct tag_set s = { 0 };

	CU_ASSERT(!tag_set_has(&s, 0) && !tag_set_has(&s, 7));
	tag_set_add(&s, 0);
	CU_ASSERT(tag_set_has(&s, 0) && !tag_set_has(&s, 7));
	tag_set_free(&s);
	CU_ASSERT(!tag_set_has(&s, 0));
}

static void
test_many(void)
{
	struct tag_set s = { 0 };
	uint64_t i;

	for (i = 1; i <= TAGS; i++) {
		CU_ASSERT(!tag_set_has(&s, i * 3));
		tag_set_add(&s, i * 3);
		tag_set_add(&s, i * 3);
		CU_ASSERT(tag_set_has(&s, i * 3) && s.n == i);
	}
	for (i = 1; i <= TAGS * 3; i++)
		CU_ASSERT(tag_set_has(&s, i) == (i % 3 == 0));
	tag_set_free(&s);
}

static void
test_colliding(void)
{
	struct tag_set s = { 0 };
	uint64_t i;

	for (i = 1; i <= 100; i++)
		tag_set_add(&s, COLLIDING(i * 2));
	for (i = 1; i <= 200; i++)
		CU_ASSERT(tag_set_has(&s, COLLIDING(i)) == (i % 2 == 0));
	tag_set_free(&s);
}

static const struct unit_case cases[] = {
	{ "empty", test_empty },
	{ "many", test_many },
	{ "colliding", test_colliding },
};

UNIT_MAIN("tag_set", cases)
