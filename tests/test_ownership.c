/* Ownership of a cell, with a key-value service simulated by each test. */
#include <stdlib.h>
#include <string.h>

#include "ownership.h"
#include "unit.h"

static struct ownership *owner;
static struct kv_ids ids;
static struct kv_ops ops;
static uint64_t now;
static char *cell_value;
static uint64_t cell_revision;

static void setup(void);
static void teardown(void);
static struct kv_op *take_op(enum kv_op_kind);
static void answer_op(struct kv_op *, enum kv_status, const char *);
static void acquire_cell(void);
static void test_acquire(void);
static void test_owned_by_other(void);
static void test_lost_lock_answer(void);
static void test_lease_expired(void);
static void test_slow_keepalive(void);
static void test_expired_during_acquisition(void);
static void test_superseded(void);
static void stay_in_outage(uint64_t);
static void test_outage(void);
static void test_stood_still(void);
static void test_lease_gone(void);
static void test_service_restored(void);
static void test_answer_of_former_era(void);

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

/* Takes the oldest operation, which must be of the kind given. */
static struct kv_op *
take_op(enum kv_op_kind kind)
{
	struct kv_op *op = TAILQ_FIRST(&ops);

	CU_ASSERT_PTR_NOT_NULL_FATAL(op);
	TAILQ_REMOVE(&ops, op, entry);
	CU_ASSERT_EQUAL_FATAL(op->kind, kind);
	return op;
}

static void
answer_op(struct kv_op *op, enum kv_status status, const char *value)
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
acquire_cell(void)
{
	ownership_tick(owner, now, &ops);
	answer_op(take_op(KV_GET), KV_ABSENT, NULL);
	answer_op(take_op(KV_GRANT), KV_OK, NULL);
	answer_op(take_op(KV_CAS), KV_OK, NULL);
	answer_op(take_op(KV_GET), cell_value == NULL ? KV_ABSENT : KV_OK,
	    cell_value);
	answer_op(take_op(KV_CAS), KV_OK, NULL);
}

static void
test_acquire(void)
{
	setup();
	acquire_cell();
	CU_ASSERT(ownership_held(owner));
	CU_ASSERT(ownership_valid(owner, now));
	CU_ASSERT_EQUAL(ownership_fencing_token(owner), 1);
	teardown();
}

static void
test_owned_by_other(void)
{
	setup();
	ownership_tick(owner, now, &ops);
	answer_op(take_op(KV_GET), KV_OK,
	    "{\"owner\":\"10.0.0.2:1\",\"incarnation\":3,\"lease\":1}");
	CU_ASSERT(!ownership_held(owner));
	ownership_tick(owner, now, &ops);
	CU_ASSERT(TAILQ_EMPTY(&ops)); /* no immediate retry */
	teardown();
}

/* The answer to the lock's write is lost: a read shows that it succeeded. */
static void
test_lost_lock_answer(void)
{
	struct kv_op *op;

	setup();
	ownership_tick(owner, now, &ops);
	answer_op(take_op(KV_GET), KV_ABSENT, NULL);
	answer_op(take_op(KV_GRANT), KV_OK, NULL);
	answer_op(take_op(KV_CAS), KV_UNKNOWN, NULL);
	op = take_op(KV_GET);
	CU_ASSERT_STRING_EQUAL(op->key, "lease/main");
	answer_op(op, KV_OK,
	    "{\"owner\":\"10.0.0.1:1\",\"incarnation\":5,\"lease\":9}");
	op = take_op(KV_GET);
	CU_ASSERT_STRING_EQUAL(op->key, "cell/main");
	answer_op(op, KV_ABSENT, NULL);
	answer_op(take_op(KV_CAS), KV_OK, NULL);
	CU_ASSERT(ownership_valid(owner, now));
	teardown();
}

/* An expired lease is not valid; the next has a new fencing token. */
static void
test_lease_expired(void)
{
	setup();
	acquire_cell();
	now += 4 * NSEC_PER_SEC;
	CU_ASSERT(!ownership_valid(owner, now));
	CU_ASSERT(ownership_held(owner)); /* still schedules */
	ownership_tick(owner, now, &ops);
	CU_ASSERT(TAILQ_EMPTY(&ops));
	acquire_cell();
	CU_ASSERT_EQUAL(ownership_fencing_token(owner), 2);
	CU_ASSERT(ownership_valid(owner, now));
	teardown();
}

/* The lease runs from before the renewal was sent, not from its answer. */
static void
test_slow_keepalive(void)
{
	struct kv_op *op;

	setup();
	acquire_cell();
	now += 1500 * NSEC_PER_MSEC;
	ownership_tick(owner, now, &ops);
	op = take_op(KV_KEEPALIVE);
	now += 2 * NSEC_PER_SEC;
	answer_op(op, KV_OK, NULL);
	CU_ASSERT(ownership_valid(owner, now + 1500 * NSEC_PER_MSEC));
	CU_ASSERT(!ownership_valid(owner, now + 1900 * NSEC_PER_MSEC));
	teardown();
}

/* A lease that expired during the acquisition is not used. */
static void
test_expired_during_acquisition(void)
{
	struct kv_op *op;

	setup();
	ownership_tick(owner, now, &ops);
	answer_op(take_op(KV_GET), KV_ABSENT, NULL);
	answer_op(take_op(KV_GRANT), KV_OK, NULL);
	op = take_op(KV_CAS);
	now += 5 * NSEC_PER_SEC;
	answer_op(op, KV_OK, NULL);
	CU_ASSERT(!ownership_held(owner));
	CU_ASSERT(TAILQ_EMPTY(&ops));
	teardown();
}

static void
test_superseded(void)
{
	setup();
	acquire_cell();
	ownership_superseded(owner, 1);
	CU_ASSERT(ownership_held(owner));
	ownership_superseded(owner, 2);
	CU_ASSERT(!ownership_held(owner));
	CU_ASSERT(!ownership_valid(owner, now));
	teardown();
}

/* Each operation times out after a second; checks before each step. */
static void
stay_in_outage(uint64_t ns)
{
	struct kv_op *op = NULL;
	uint64_t until = now + ns;
	uint64_t due = 0;

	while (now < until || op != NULL) {
		CU_ASSERT(ownership_uncontested(owner, now));
		ownership_tick(owner, now, &ops);
		if (op == NULL && (op = TAILQ_FIRST(&ops)) != NULL) {
			TAILQ_REMOVE(&ops, op, entry);
			due = now + NSEC_PER_SEC;
		}
		now += 50 * NSEC_PER_MSEC;
		if (op == NULL || now < due)
			continue;
		answer_op(op, KV_UNKNOWN, NULL);
		op = NULL;
	}
}

/* While the service is silent, no other process can take the cell. */
static void
test_outage(void)
{
	setup();
	acquire_cell();
	stay_in_outage(20 * NSEC_PER_SEC);
	CU_ASSERT(!ownership_valid(owner, now));
	CU_ASSERT(ownership_uncontested(owner, now));
	ownership_superseded(owner, 2);
	CU_ASSERT(!ownership_uncontested(owner, now));
	teardown();
}

/* After standing still, silence proves nothing until the cell is acquired. */
static void
test_stood_still(void)
{
	int i;

	setup();
	acquire_cell();
	stay_in_outage(10 * NSEC_PER_SEC);
	now += 5 * NSEC_PER_SEC;
	for (i = 0; i < 5; i++) {
		CU_ASSERT(!ownership_uncontested(owner, now));
		ownership_tick(owner, now, &ops);
		answer_op(take_op(KV_GET), KV_UNKNOWN, NULL);
		now += NSEC_PER_SEC;
	}
	acquire_cell();
	CU_ASSERT(ownership_uncontested(owner, now));
	teardown();
}

/* The service says that the lease is gone, so another may hold the cell. */
static void
test_lease_gone(void)
{
	setup();
	acquire_cell();
	now += 1500 * NSEC_PER_MSEC;
	ownership_tick(owner, now, &ops);
	answer_op(take_op(KV_KEEPALIVE), KV_ABSENT, NULL);
	CU_ASSERT(!ownership_uncontested(owner, now));
	teardown();
}

/*
 * The service goes on from a copy that has forgotten the token: the lease is
 * gone, the next token is higher, and it is not taken within a lease's
 * lifetime.
 */
static void
test_service_restored(void)
{
	uint64_t before;

	setup();
	ownership_set_era(owner, now, 1);
	acquire_cell();
	before = ownership_fencing_token(owner);
	CU_ASSERT(ownership_valid(owner, now));
	ownership_set_era(owner, now, 2);
	CU_ASSERT(!ownership_valid(owner, now));
	CU_ASSERT(!ownership_uncontested(owner, now));
	free(cell_value);
	cell_value = NULL;
	cell_revision = 0;
	now += 3900 * NSEC_PER_MSEC;
	ownership_tick(owner, now, &ops);
	CU_ASSERT(TAILQ_EMPTY(&ops));
	now += 200 * NSEC_PER_MSEC;
	acquire_cell();
	CU_ASSERT(ownership_valid(owner, now));
	CU_ASSERT(ownership_fencing_token(owner) > before + 1000);
	/* The same era told again changes nothing. */
	ownership_set_era(owner, now, 2);
	CU_ASSERT(ownership_valid(owner, now));
	teardown();
}

/* What the former era answers takes no effect. */
static void
test_answer_of_former_era(void)
{
	struct kv_result r;
	struct kv_op *op;

	setup();
	ownership_set_era(owner, now, 1);
	ownership_tick(owner, now, &ops);
	answer_op(take_op(KV_GET), KV_ABSENT, NULL);
	op = take_op(KV_GRANT);
	ownership_set_era(owner, now, 2);
	memset(&r, 0, sizeof(r));
	r.id = op->id;
	r.kind = KV_GRANT;
	r.status = KV_OK;
	r.lease_id = 9;
	CU_ASSERT_EQUAL(ownership_kv_result(owner, now, &r, &ops), 0);
	CU_ASSERT(TAILQ_EMPTY(&ops));
	CU_ASSERT(!ownership_held(owner));
	kv_op_destroy(op);
	teardown();
}

static const struct unit_case cases[] = {
	{ "acquisition", test_acquire },
	{ "owned by another process", test_owned_by_other },
	{ "lost answer to the lock write", test_lost_lock_answer },
	{ "lease expired", test_lease_expired },
	{ "slow lease renewal", test_slow_keepalive },
	{ "lease expired during acquisition", test_expired_during_acquisition },
	{ "superseded by another owner", test_superseded },
	{ "outage", test_outage },
	{ "stood still during an outage", test_stood_still },
	{ "lease gone", test_lease_gone },
	{ "service restored from a copy", test_service_restored },
	{ "answer of a former era", test_answer_of_former_era },
};

UNIT_MAIN("own", cases)
