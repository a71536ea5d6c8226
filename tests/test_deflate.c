/* Compressed texts: the same after both ways, and bounded when they are bad. */
#include <stdlib.h>
#include <string.h>

#include "deflate.h"
#include "mem.h"
#include "unit.h"

#define TEXT_BYTES 300000U
#define MAX_BYTES 1000000U

static void fill(struct buf *, size_t);
static void test_both_ways(void);
static void test_too_large(void);
static void test_malformed(void);

static void
fill(struct buf *b, size_t len)
{
	unsigned seed = 3;

	while (buf_len(b) < len)
		buf_printf(b, "{\"name\":\"r-%x\",\"service\":\"s\"},",
		    (unsigned)rand_r(&seed));
}

static void
test_both_ways(void)
{
	static const size_t lens[] = { 0, 1, 100, TEXT_BYTES };
	struct buf text, packed, out;
	size_t i;

	for (i = 0; i < sizeof(lens) / sizeof(lens[0]); i++) {
		memset(&text, 0, sizeof(text));
		memset(&packed, 0, sizeof(packed));
		memset(&out, 0, sizeof(out));
		fill(&text, lens[i]);
		deflate_pack(&packed, buf_data(&text), buf_len(&text));
		CU_ASSERT(
		    lens[i] < 1000 || buf_len(&packed) < buf_len(&text) / 2);
		CU_ASSERT_EQUAL(deflate_unpack(&out, buf_data(&packed),
				    buf_len(&packed), MAX_BYTES),
		    0);
		CU_ASSERT_EQUAL(buf_len(&out), buf_len(&text));
		CU_ASSERT(buf_len(&text) == 0 ||
		    memcmp(buf_data(&out), buf_data(&text), buf_len(&text)) ==
			0);
		buf_free(&text);
		buf_free(&packed);
		buf_free(&out);
	}
}

static void
test_too_large(void)
{
	struct buf text = { 0 }, packed = { 0 }, out = { 0 };

	fill(&text, TEXT_BYTES);
	deflate_pack(&packed, buf_data(&text), buf_len(&text));
	CU_ASSERT_EQUAL(deflate_unpack(&out, buf_data(&packed),
			    buf_len(&packed), TEXT_BYTES / 3),
	    -1);
	CU_ASSERT(buf_len(&out) <= TEXT_BYTES / 3);
	buf_free(&text);
	buf_free(&packed);
	buf_free(&out);
}

/* Cut short, or with a byte changed. */
static void
test_malformed(void)
{
	struct buf text = { 0 }, packed = { 0 }, out = { 0 };
	char *copy;
	size_t i;

	fill(&text, 200);
	deflate_pack(&packed, buf_data(&text), buf_len(&text));
	copy = mem_alloc(buf_len(&packed));
	for (i = 0; i < buf_len(&packed); i++) {
		CU_ASSERT_EQUAL(
		    deflate_unpack(&out, buf_data(&packed), i, MAX_BYTES), -1);
		buf_free(&out);
		memcpy(copy, buf_data(&packed), buf_len(&packed));
		copy[i] ^= 0x55;
		if (deflate_unpack(&out, copy, buf_len(&packed), MAX_BYTES) ==
		    0)
			CU_ASSERT(buf_len(&out) == buf_len(&text) &&
			    memcmp(buf_data(&out), buf_data(&text),
				buf_len(&text)) == 0);
		buf_free(&out);
	}
	free(copy);
	buf_free(&text);
	buf_free(&packed);
}

static const struct unit_case cases[] = {
	{ "both ways", test_both_ways },
	{ "too large", test_too_large },
	{ "malformed", test_malformed },
};

UNIT_MAIN("deflate", cases)
