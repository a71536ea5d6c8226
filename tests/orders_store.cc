/* The key-value service's messages: what processes send, and its answers. */
#include <jansson.h>

#include "orders_world.h"

extern "C" {
#include "store.h"
}

/* A first revision up to 2^62, of all sizes. */
uint64_t
first_revision(uint64_t seed)
{
	uint64_t x = (seed + 1) * 0x9e3779b97f4a7c15ULL;

	x ^= x >> 31;
	return (x >> (2 + x % 61)) + 1;
}

/* The counter rises by any amount. */
uint64_t
next_revision(uint64_t revision)
{
	uint64_t x = revision * 0x9e3779b97f4a7c15ULL;

	return revision + 1 + (x >> (24 + x % 40));
}

/* The revision that a conditional write expects, as it is sent. */
uint64_t
sent_revision(const kv_op *op)
{
	store_request call;
	json_t *doc;
	json_t *row;
	uint64_t revision;

	store_op_request(op, &call);
	doc = json_loads(call.body, 0, nullptr);
	row = json_array_get(json_object_get(doc, "expected"), 0);
	RC_ASSERT(json_is_integer(json_object_get(row, "revision")));
	revision =
	    (uint64_t)json_integer_value(json_object_get(row, "revision"));
	json_decref(doc);
	store_request_clear(&call);
	return revision;
}

/* The result that an answer with a revision is read as. */
uint64_t
read_revision(const kv_op *op, uint64_t revision)
{
	char text[128];
	kv_result r;
	char *value;
	struct err e;

	snprintf(text, sizeof(text), "{\"value\":\"eA==\",\"revision\":%llu}",
	    (unsigned long long)revision);
	RC_ASSERT(store_op_response(op, 200, 0, text, strlen(text), &r, &value,
		      &e) == 0);
	free(value);
	return r.revision;
}
