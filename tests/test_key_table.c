/* Lookup of client accounts by their keys. */
#include <stdio.h>
#include <string.h>

#include "key_table.h"
#include "unit.h"

#define KEYS 100000U

static void test_many(void);
static void test_exact(void);
static void test_twice(void);

/* Guards against keys that are lost or confused in a large table. */
static void
test_many(void)
{
	struct key_table *t = key_table_create(KEYS);
	char key[32];
	uint32_t wrong = 0;
	uint32_t i;

	for (i = 0; i < KEYS; i++) {
		snprintf(key, sizeof(key), "key-%u", i);
		key_table_add(t, key, strlen(key), i);
	}
	for (i = 0; i < KEYS; i++) {
		snprintf(key, sizeof(key), "key-%u", i);
		wrong += key_table_find(t, key, strlen(key)) != i;
		snprintf(key, sizeof(key), "Key-%u", i);
		wrong += key_table_find(t, key, strlen(key)) != KEY_TABLE_NONE;
	}
	CU_ASSERT_EQUAL(wrong, 0);
	key_table_destroy(t);
}

/* Guards against a part of a key, or a longer text, being taken for it. */
static void
test_exact(void)
{
	struct key_table *t = key_table_create(1);

	key_table_add(t, "abcdef", 6, 7);
	key_table_add(t, "", 0, 8);
	CU_ASSERT_EQUAL(key_table_find(t, "abcdef", 6), 7);
	CU_ASSERT_EQUAL(key_table_find(t, "abcdef", 5), KEY_TABLE_NONE);
	CU_ASSERT_EQUAL(key_table_find(t, "abcdefg", 7), KEY_TABLE_NONE);
	CU_ASSERT_EQUAL(key_table_find(t, "", 0), KEY_TABLE_NONE);
	key_table_destroy(t);
}

static void
test_twice(void)
{
	struct key_table *t = key_table_create(2);

	key_table_add(t, "a", 1, 1);
	key_table_add(t, "a", 1, 2);
	CU_ASSERT_EQUAL(key_table_find(t, "a", 1), 1);
	key_table_destroy(t);
}

static const struct unit_case cases[] = {
	{ "100,000 keys", test_many },
	{ "keys are matched whole", test_exact },
	{ "the first account keeps a key", test_twice },
};

UNIT_MAIN("key_table", cases)
