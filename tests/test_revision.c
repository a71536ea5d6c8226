/* Revisions of the key-value service, and their form in messages. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"
#include "revision.h"
#include "unit.h"

#define LARGEST ((uint64_t)INT64_MAX)
#define CUT ((uint64_t)1 << 40)

static void test_era_first(void);
static void test_message_form(void);
static void test_earlier_build(void);
static void test_near(void);
static void test_hash(void);

static const uint64_t numbers[] = { 0, 1, 5, CUT - 1, CUT, CUT + 5,
	1796670000000, 9007199254740993, LARGEST - 1, LARGEST };
static const uint64_t eras[] = { 0, 1, 2, (1 << 24) - 1, 1 << 24, LARGEST };

static void
test_era_first(void)
{
	CU_ASSERT(revision_of(1, 1) > revision_of(0, LARGEST));
	CU_ASSERT(revision_of(1, LARGEST) < revision_of(2, 0));
	CU_ASSERT(revision_of(3, 7) < revision_of(3, 8));
	CU_ASSERT_EQUAL(revision_era(revision_of(3, LARGEST)), 3);
	CU_ASSERT_EQUAL(revision_number(revision_of(3, LARGEST)), LARGEST);
}

/* Encoding and decoding keep all bits of a revision. */
static void
test_message_form(void)
{
	revision_t r, got;
	json_t *doc;
	size_t i, k;

	for (i = 0; i < nitems(eras); i++) {
		for (k = 0; k < nitems(numbers); k++) {
			r = revision_of(eras[i], numbers[k]);
			doc = json_object();
			revision_pack(doc, "at", r);
			CU_ASSERT_EQUAL(revision_unpack(doc, "at", &got),
			    !revision_fits_short(r));
			CU_ASSERT(got == r);
			json_decref(doc);
		}
	}
}

/* What fits is as earlier builds write it; what they cut is lower. */
static void
test_earlier_build(void)
{
	json_t *doc = json_object();
	revision_t got;
	char *text;

	revision_pack(doc, "at", revision_of(1, 411));
	text = json_dumps(doc, JSON_COMPACT);
	CU_ASSERT_STRING_EQUAL(text, "{\"at\":1099511628187}");
	free(text);
	revision_pack(doc, "at", revision_of(0, CUT + 9));
	json_object_del(doc, "at_exact");
	CU_ASSERT(!revision_unpack(doc, "at", &got));
	CU_ASSERT(got == 9);
	json_object_set_new(doc, "at_exact", json_string("7"));
	CU_ASSERT(!revision_unpack(doc, "at", &got));
	json_decref(doc);
	doc = json_object();
	CU_ASSERT(!revision_unpack(doc, "at", &got));
	CU_ASSERT(got == 0);
	json_decref(doc);
}

/* A cut number is completed by a known one that is close to it. */
static void
test_near(void)
{
	static const int64_t steps[] = { 0, 1, -1, 1000, -1000, 1 << 30,
		-(1 << 30) };
	uint64_t era, number;
	size_t i, k;

	for (i = 0; i < nitems(numbers); i++) {
		for (k = 0; k < nitems(steps); k++) {
			number = numbers[i] + (uint64_t)steps[k];
			if (number > LARGEST)
				continue;
			for (era = 0; era < 3; era++)
				CU_ASSERT(
				    revision_near(revision_short(
						      revision_of(era, number)),
					revision_of(era, numbers[i])) ==
				    revision_of(era, number));
		}
	}
	CU_ASSERT(revision_near(revision_short(revision_of(2, 4)),
		      revision_of(1, 900)) == revision_of(2, 4));
	CU_ASSERT(revision_near(9, 0) == 9);
}

/* Digests of lists differ where any bit of a revision does. */
static void
test_hash(void)
{
	uint64_t h = revision_hash("a", revision_of(1, 5));
	int i;

	for (i = 0; i < 63; i++) {
		CU_ASSERT(revision_hash(
			      "a", revision_of(1, 5 ^ (uint64_t)1 << i)) != h);
		CU_ASSERT(revision_hash(
			      "a", revision_of(1 ^ (uint64_t)1 << i, 5)) != h);
	}
}

static const struct unit_case cases[] = {
	{ "the era is compared first", test_era_first },
	{ "in a message", test_message_form },
	{ "of an earlier build", test_earlier_build },
	{ "close to another one", test_near },
	{ "hashes", test_hash },
};

UNIT_MAIN("revision", cases)
