/* Ownership of a cell against a key-value service played by hand. */
#include <stdlib.h>
#include <string.h>

#include "own.h"
#include "unit.h"

static struct ownership *owner;
static struct kv_ids ids;
static struct kv_ops ops;
static uint64_t now;
static char *cell_value;
static uint64_t cell_revision;

static void setup(void);
static void teardown(void);
static struct kv_op *take(enum kv_op_kind);
static void answer(struct kv_op *, enum kv_status, const char *);
static void acquire(void);
static void test_acquire(void);
static void test_held_by_other(void);
static void test_lost_lock_answer(void);
static void test_lapse(void);
static void test_slow_keepalive(void);
static void test_lease_too_short(void);
static void test_superseded(void);

static void
setup(void)
{
	struct node_id self = { "10.0.0.1:1", 5 };
	struct ownership_config c;

	now = NSEC_PER_SEC;
	TAILQ_INIT(&ops);
	ownership_config_default(&c);
	owner = ownership_create(&c, "main", &self, &ids);
	ownership_set_candidate(owner, 1, 0);
	cell_value = NULL;
	cell_revision = 0;
}

static void
teardown(void)
{
	struct kv_op *op;

	while ((op = TAILQ_FIRST(&ops)) != NULL) {
		TAILQ_REMOVE(&ops, op, entry);
		kv_op_destroy(op);
	}
	free(cell_value);
	ownership_destroy(owner);
}

/* The one operation that is out, which must be of this kind. */
static struct kv_op *
take(enum kv_op_kind kind)
{
	struct kv_op *op = TAILQ_FIRST(&ops);

	CU_ASSERT_PTR_NOT_NULL_FATAL(op);
	TAILQ_REMOVE(&ops, op, entry);
	CU_ASSERT_EQUAL_FATAL(op->kind, kind);
	return op;
}

static void
answer(struct kv_op *op, enum kv_status status, const char *value)
{
	struct kv_result r;

	memset(&r, 0, sizeof(r));
	r.id = op->id;
	r.kind = op->kind;
	r.status = status;
	r.value = value;
	r.revision = cell_revision;
	r.lease_id = 9;
	if (op->kind == KV_CAS && strncmp(op->key, "cell/", 5) == 0 &&
	    status == KV_OK) {
		free(cell_value);
		cell_value = strdup(op->value);
		r.revision = ++cell_revision;
	}
	CU_ASSERT_EQUAL(ownership_kv_result(owner, now, &r, &ops), 1);
	kv_op_destroy(op);
}

static void
acquire(void)
{
	ownership_tick(owner, now, &ops);
	answer(take(KV_GET), KV_ABSENT, NULL);
	answer(take(KV_GRANT), KV_OK, NULL);
	answer(take(KV_CAS), KV_OK, NULL);
	answer(
	    take(KV_GET), cell_value == NULL ? KV_ABSENT : KV_OK, cell_value);
	answer(take(KV_CAS), KV_OK, NULL);
}

static void
test_acquire(void)
{
	setup();
	acquire();
	CU_ASSERT(ownership_held(owner));
	CU_ASSERT(ownership_valid(owner, now));
	CU_ASSERT_EQUAL(ownership_fence(owner), 1);
	teardown();
}

static void
test_held_by_other(void)
{
	setup();
	ownership_tick(owner, now, &ops);
	answer(take(KV_GET), KV_OK,
	    "{\"owner\":\"10.0.0.2:1\",\"incarnation\":3,\"lease\":1}");
	CU_ASSERT(!ownership_held(owner));
	ownership_tick(owner, now, &ops);
	CU_ASSERT(TAILQ_EMPTY(&ops)); /* not asked again at once */
	teardown();
}

/* The lock was written though its answer was lost: found by reading. */
static void
test_lost_lock_answer(void)
{
	struct kv_op *op;

	setup();
	ownership_tick(owner, now, &ops);
	answer(take(KV_GET), KV_ABSENT, NULL);
	answer(take(KV_GRANT), KV_OK, NULL);
	answer(take(KV_CAS), KV_UNKNOWN, NULL);
	op = take(KV_GET);
	CU_ASSERT_STRING_EQUAL(op->key, "lease/main");
	answer(op, KV_OK,
	    "{\"owner\":\"10.0.0.1:1\",\"incarnation\":5,\"lease\":9}");
	op = take(KV_GET);
	CU_ASSERT_STRING_EQUAL(op->key, "cell/main");
	answer(op, KV_ABSENT, NULL);
	answer(take(KV_CAS), KV_OK, NULL);
	CU_ASSERT(ownership_valid(owner, now));
	teardown();
}

/* Without renewal the lease is not trusted; the next one has a new fence. */
static void
test_lapse(void)
{
	setup();
	acquire();
	now += 4 * NSEC_PER_SEC;
	CU_ASSERT(!ownership_valid(owner, now));
	CU_ASSERT(ownership_held(owner)); /* scheduling goes on */
	ownership_tick(owner, now, &ops);
	CU_ASSERT(TAILQ_EMPTY(&ops));
	acquire();
	CU_ASSERT_EQUAL(ownership_fence(owner), 2);
	CU_ASSERT(ownership_valid(owner, now));
	teardown();
}

/* The deadline counts from before the renewal was sent. */
static void
test_slow_keepalive(void)
{
	struct kv_op *op;

	setup();
	acquire();
	now += 1500 * NSEC_PER_MSEC;
	ownership_tick(owner, now, &ops);
	op = take(KV_KEEPALIVE);
	now += 2 * NSEC_PER_SEC;
	answer(op, KV_OK, NULL);
	CU_ASSERT(ownership_valid(owner, now + 1500 * NSEC_PER_MSEC));
	CU_ASSERT(!ownership_valid(owner, now + 1900 * NSEC_PER_MSEC));
	teardown();
}

/* A lease that ran out while the cell was being taken is not used. */
static void
test_lease_too_short(void)
{
	struct kv_op *op;

	setup();
	ownership_tick(owner, now, &ops);
	answer(take(KV_GET), KV_ABSENT, NULL);
	answer(take(KV_GRANT), KV_OK, NULL);
	op = take(KV_CAS);
	now += 5 * NSEC_PER_SEC;
	answer(op, KV_OK, NULL);
	CU_ASSERT(!ownership_held(owner));
	CU_ASSERT(TAILQ_EMPTY(&ops));
	teardown();
}

static void
test_superseded(void)
{
	setup();
	acquire();
	ownership_superseded(owner, 1);
	CU_ASSERT(ownership_held(owner));
	ownership_superseded(owner, 2);
	CU_ASSERT(!ownership_held(owner));
	CU_ASSERT(!ownership_valid(owner, now));
	teardown();
}

static const struct unit_case cases[] = {
	{ "acquire", test_acquire },
	{ "held by another", test_held_by_other },
	{ "lost answer of the lock", test_lost_lock_answer },
	{ "lapse", test_lapse },
	{ "slow keepalive", test_slow_keepalive },
	{ "lease too short", test_lease_too_short },
	{ "superseded", test_superseded },
};

UNIT_MAIN("own", cases)
