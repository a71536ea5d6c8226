/* Encoding of messages: round trips and malformed input. */
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "unit.h"
#include "wire.h"

static struct msg *round_trip(struct msg *);
static void test_acquire(void);
static void test_all_kinds(void);
static void test_truncated(void);
static void test_bit_flips(void);
static void test_longest_list(void);
static void test_lists(void);
static void test_loads(void);
static void test_unknown_kind(void);

static struct msg *
round_trip(struct msg *m)
{
	struct msg *out;
	struct err e;
	char *buf;
	size_t len;

	wire_encode(m, &buf, &len);
	out = wire_decode(buf, len, &e);
	free(buf);
	return out;
}

static void
test_acquire(void)
{
	struct msg *m = msg_create(MSG_ACQUIRE, "10.0.0.1:1");
	struct msg *out;

	strcpy(m->from.addr, "10.0.0.2:1");
	m->from.incarnation = 77;
	m->seq = 3;
	m->u.acquire.key.rid = UINT64_MAX;
	m->u.acquire.key.attempt = 2;
	strcpy(m->u.acquire.model, "icon");
	m->u.acquire.slack_ns = TIME_NEVER;
	out = round_trip(m);
	CU_ASSERT_PTR_NOT_NULL_FATAL(out);
	CU_ASSERT_STRING_EQUAL(out->from.addr, "10.0.0.2:1");
	CU_ASSERT_EQUAL(out->from.incarnation, 77);
	CU_ASSERT_EQUAL(out->u.acquire.key.rid, UINT64_MAX);
	CU_ASSERT_EQUAL(out->u.acquire.key.attempt, 2);
	CU_ASSERT_STRING_EQUAL(out->u.acquire.model, "icon");
	CU_ASSERT_EQUAL(out->u.acquire.slack_ns, TIME_NEVER);
	msg_destroy(out);
	msg_destroy(m);
}

/* Each kind but NONE is preserved by a round trip. */
static void
test_all_kinds(void)
{
	struct msg *m;
	struct msg *out;
	int kind;

	for (kind = MSG_NONE + 1; kind < MSG__MAX; kind++) {
		m = msg_create((enum msg_kind)kind, "");
		out = round_trip(m);
		CU_ASSERT_PTR_NOT_NULL(out);
		if (out != NULL)
			CU_ASSERT_EQUAL((int)out->kind, kind);
		msg_destroy(out);
		msg_destroy(m);
	}
}

/* No proper prefix of a message is accepted. */
static void
test_truncated(void)
{
	struct msg *m = msg_create(MSG_CELL, "");
	struct msg *out;
	struct err e = { ERR_NONE, "" };
	char *buf;
	size_t len;
	size_t i;

	m->u.cell.nreplicas = 2;
	m->u.cell.replicas[0].nmodels = 3;
	wire_encode(m, &buf, &len);
	for (i = 0; i < len; i++) {
		out = wire_decode(buf, i, &e);
		CU_ASSERT_PTR_NULL(out);
		msg_destroy(out);
	}
	CU_ASSERT_EQUAL(e.kind, ERR_FORMAT);
	free(buf);
	msg_destroy(m);
}

/* A flipped bit is either rejected or decoded within bounds. */
static void
test_bit_flips(void)
{
	struct msg *m = msg_create(MSG_SYNC, "");
	struct msg *out;
	struct err e;
	char *buf;
	size_t len;
	size_t i;
	int bit;
	int decoded = 0;

	m->u.sync.n = 2;
	strcpy(m->u.sync.items[0].replica, "replica");
	wire_encode(m, &buf, &len);
	for (i = 0; i < len; i++) {
		for (bit = 0; bit < 8; bit++) {
			buf[i] = (char)(buf[i] ^ (1 << bit));
			out = wire_decode(buf, len, &e);
			if (out != NULL && out->kind == MSG_SYNC) {
				CU_ASSERT(out->u.sync.n <= MSG_SYNC_MAX);
				decoded++;
			}
			msg_destroy(out);
			buf[i] = (char)(buf[i] ^ (1 << bit));
		}
	}
	CU_ASSERT(decoded > 0);
	free(buf);
	msg_destroy(m);
}

static void
test_longest_list(void)
{
	struct msg *m = msg_create(MSG_SYNC, "");
	struct msg *out;

	m->u.sync.n = MSG_SYNC_MAX;
	out = round_trip(m);
	CU_ASSERT_PTR_NOT_NULL(out);
	msg_destroy(out);
	msg_destroy(m);
}

/* Lists owned by a message: copying, round trip and truncation. */
static void
test_lists(void)
{
	struct msg *m = msg_create(MSG_FRONT, "");
	struct msg *copy;
	struct msg *out;
	struct err e;
	char *buf;
	size_t len;
	size_t i;

	m->u.front.version = 7;
	m->u.front.nwork = 2;
	m->u.front.work = mem_alloc(2 * sizeof(*m->u.front.work));
	strcpy(m->u.front.work[1].replica, "i-1");
	m->u.front.work[1].unread_us = 9;
	m->u.front.ndemand = 1;
	m->u.front.demand = mem_alloc(sizeof(*m->u.front.demand));
	strcpy(m->u.front.demand[0].wanted, "m/a3");
	m->u.front.demand[0].arrivals = 5;
	m->u.front.nlimits = 1;
	m->u.front.limits = mem_alloc(sizeof(*m->u.front.limits));
	m->u.front.limits[0].per_1000_s = 3100;
	m->u.front.npoison = 1;
	m->u.front.poison = mem_alloc(sizeof(*m->u.front.poison));
	m->u.front.poison[0].answered_ago_ms = POISON_NEVER;
	m->u.front.poison[0].ncrashes = POISON_CRASHES_MAX;
	m->u.front.poison[0].crashes[POISON_CRASHES_MAX - 1].replica = 11;
	copy = msg_copy(m);
	msg_destroy(m);
	out = round_trip(copy);
	CU_ASSERT_PTR_NOT_NULL(out);
	if (out != NULL) {
		CU_ASSERT_EQUAL(out->u.front.work[1].unread_us, 9);
		CU_ASSERT_STRING_EQUAL(out->u.front.demand[0].wanted, "m/a3");
		CU_ASSERT_EQUAL(out->u.front.demand[0].arrivals, 5);
		CU_ASSERT_EQUAL(out->u.front.limits[0].per_1000_s, 3100);
		CU_ASSERT_EQUAL(
		    out->u.front.poison[0].answered_ago_ms, POISON_NEVER);
		CU_ASSERT_EQUAL(out->u.front.poison[0]
				    .crashes[POISON_CRASHES_MAX - 1]
				    .replica,
		    11);
	}
	msg_destroy(out);
	wire_encode(copy, &buf, &len);
	for (i = 0; i < len; i++)
		CU_ASSERT_PTR_NULL(wire_decode(buf, i, &e));
	free(buf);
	msg_destroy(copy);
	m = msg_create(MSG_HELD, "");
	m->u.held.fence = 4;
	m->u.held.n = 1;
	m->u.held.items = mem_alloc(sizeof(*m->u.held.items));
	strcpy(m->u.held.items[0].name, "m/a1");
	out = round_trip(m);
	CU_ASSERT(
	    out != NULL && strcmp(out->u.held.items[0].name, "m/a1") == 0);
	msg_destroy(out);
	msg_destroy(m);
}

static void
test_loads(void)
{
	struct msg *m;
	struct msg *out;

	m = msg_create(MSG_LOADS, "");
	m->u.loads.fence = 4;
	m->u.loads.unknown_ns = 5;
	m->u.loads.n = 2;
	m->u.loads.loads = mem_alloc(2 * sizeof(*m->u.loads.loads));
	m->u.loads.loads[1].left_ns = 7;
	m->u.loads.loads[1].lost = 1;
	out = round_trip(m);
	CU_ASSERT_FATAL(out != NULL && out->u.loads.n == 2);
	CU_ASSERT_EQUAL(out->u.loads.fence, 4);
	CU_ASSERT_EQUAL(out->u.loads.unknown_ns, 5);
	CU_ASSERT_EQUAL(out->u.loads.loads[1].left_ns, 7);
	CU_ASSERT_EQUAL(out->u.loads.loads[1].lost, 1);
	msg_destroy(out);
	msg_destroy(m);
}

static void
test_unknown_kind(void)
{
	static const char kind_99[] = "\x63\x01\xa0\x00\x00";
	static const char later[] = "\x63\x06\xa0\x00\x00";
	static const char version_9[] = "\x02\x09\xa0\x00\x00\x00\x00";
	struct err e;

	CU_ASSERT_PTR_NULL(wire_decode(kind_99, sizeof(kind_99) - 1, &e));
	CU_ASSERT_EQUAL(e.kind, ERR_FORMAT);
	/* Guards against a warning for each message of a later build. */
	CU_ASSERT_PTR_NULL(wire_decode(later, sizeof(later) - 1, &e));
	CU_ASSERT_EQUAL(e.kind, ERR_UNSUPPORTED);
	CU_ASSERT_PTR_NULL(wire_decode(version_9, sizeof(version_9) - 1, &e));
	CU_ASSERT_PTR_NULL(wire_decode("", 0, &e));
}

static const struct unit_case cases[] = {
	{ "acquire round trip", test_acquire },
	{ "every kind round trip", test_all_kinds },
	{ "truncated", test_truncated },
	{ "one bit changed", test_bit_flips },
	{ "longest list", test_longest_list },
	{ "owned lists", test_lists },
	{ "loads", test_loads },
	{ "unknown kind or version", test_unknown_kind },
};

UNIT_MAIN("wire", cases)
