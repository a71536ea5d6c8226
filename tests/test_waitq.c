/* Requests that wait: order, groups, and the cost of a pass under load. */
#include <stdio.h>
#include <string.h>

#include "unit.h"
#include "waitq.h"

#define S NSEC_PER_SEC

/* Room by model, and what was tried. */
struct room {
	struct waitq *q;
	int left[8];
	uint32_t tries;
	uint32_t runs;
	int order[512]; /* numbers of the requests that ran */
};

struct request {
	struct waitq_item item;
	int number;
	int model;
};

static int try_run(void *, struct waitq_item *);
static void request_wait(
    struct waitq *, struct request *, int, int, uint32_t, uint64_t, uint64_t);
static void test_order(void);
static void test_blocked_model(void);
static void test_removed_in_pass(void);
static void test_accounts(void);

static int
try_run(void *ctx, struct waitq_item *i)
{
	struct room *r = ctx;
	struct request *w = i->owner;

	r->tries++;
	if (r->left[w->model] == 0)
		return 0;
	r->left[w->model]--;
	r->order[r->runs++] = w->number;
	waitq_remove(r->q, i);
	return 1;
}

static void
request_wait(struct waitq *q, struct request *w, int number, int model,
    uint32_t priority, uint64_t arrived, uint64_t target)
{
	char name[16];

	memset(w, 0, sizeof(*w));
	w->number = number;
	w->model = model;
	w->item.owner = w;
	w->item.priority = priority;
	w->item.arrived = arrived;
	w->item.target = target;
	snprintf(name, sizeof(name), "m%d", model);
	waitq_add(q, &w->item, "llm", name, "");
}

/* In time first, then the more urgent, then the older; late ones still run. */
static void
test_order(void)
{
	static const int expected[] = { 2, 3, 1, 4, 0 };
	struct request w[5];
	struct room r = { 0 };
	struct waitq q;
	int i;

	waitq_init(&q);
	r.q = &q;
	r.left[0] = r.left[1] = 5;
	request_wait(&q, &w[0], 0, 0, 0, S, 2 * S); /* late */
	request_wait(&q, &w[1], 1, 0, 1, 4 * S, 20 * S);
	request_wait(&q, &w[2], 2, 1, 0, 5 * S, 20 * S);
	request_wait(&q, &w[3], 3, 0, 0, 6 * S, 20 * S);
	request_wait(&q, &w[4], 4, 1, 1, 7 * S, 20 * S);
	CU_ASSERT_EQUAL(waitq_group_size(&w[0].item), 3);
	waitq_dispatch(&q, 10 * S, try_run, &r);
	CU_ASSERT_EQUAL(r.runs, 5);
	for (i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(r.order[i], expected[i]);
	CU_ASSERT_EQUAL(q.nitems, 0);
	CU_ASSERT_PTR_NULL(waitq_any(&q));
	waitq_dispatch(&q, 11 * S, try_run, &r);
}

/*
 * 300 requests wait for a model without a copy, older than one for a model
 * with room: it runs in the same pass, and the pass tries two requests.  The
 * list that stood before tried all 301, in order of arrival.
 */
static void
test_blocked_model(void)
{
	static struct request w[301];
	struct room r = { 0 };
	struct waitq q;
	int i;

	waitq_init(&q);
	r.q = &q;
	for (i = 0; i < 300; i++)
		request_wait(&q, &w[i], i, 0, 0, S + (uint64_t)i, 20 * S);
	request_wait(&q, &w[300], 300, 1, 1, 2 * S, 20 * S);
	r.left[1] = 1;
	waitq_dispatch(&q, 3 * S, try_run, &r);
	CU_ASSERT_EQUAL(r.runs, 1);
	CU_ASSERT_EQUAL(r.order[0], 300);
	CU_ASSERT_EQUAL(r.tries, 2);
	/* Room for ten: the ten oldest run, and one more is tried. */
	r.left[0] = 10;
	r.tries = 0;
	waitq_dispatch(&q, 4 * S, try_run, &r);
	CU_ASSERT_EQUAL(r.runs, 11);
	CU_ASSERT_EQUAL(r.order[10], 9);
	CU_ASSERT_EQUAL(r.tries, 11);
	waitq_clear(&q);
	CU_ASSERT_EQUAL(q.nitems, 0);
	waitq_dispatch(&q, 5 * S, try_run, &r);
}

/* A caller may leave at any time, also the last one of its group. */
static void
test_removed_in_pass(void)
{
	struct request w[2];
	struct room r = { 0 };
	struct waitq q;

	waitq_init(&q);
	r.q = &q;
	r.left[0] = 1;
	request_wait(&q, &w[0], 0, 0, 0, S, 20 * S);
	request_wait(&q, &w[1], 1, 1, 0, S, 20 * S);
	waitq_remove(&q, &w[1].item);
	CU_ASSERT_EQUAL(waitq_group_size(&w[1].item), 0);
	waitq_dispatch(&q, 2 * S, try_run, &r);
	CU_ASSERT_EQUAL(r.runs, 1);
	request_wait(&q, &w[1], 1, 1, 0, S, 20 * S);
	r.left[1] = 1;
	waitq_dispatch(&q, 2 * S, try_run, &r);
	CU_ASSERT_EQUAL(r.runs, 2);
	waitq_dispatch(&q, 3 * S, try_run, &r);
}

/*
 * Load: one account has 30 requests waiting as two others come with three each,
 * of which one is owed twice as much.  Guards against a hot account that makes
 * the others wait behind all of its own.
 */
static void
test_accounts(void)
{
	static const char *const names[] = { "hot", "owed-more", "owed-less" };
	struct request w[36];
	struct room r = { .left = { 7 } };
	uint32_t ran[3] = { 0 };
	struct waitq q;
	uint32_t i;
	int k;

	waitq_init(&q);
	r.q = &q;
	for (i = 0; i < 36; i++) {
		k = i < 30 ? 0 : 1 + (int)(i % 2);
		memset(&w[i], 0, sizeof(w[i]));
		w[i].number = k;
		w[i].item.owner = &w[i];
		w[i].item.arrived = i;
		w[i].item.target = S;
		w[i].item.account = names[k];
		w[i].item.cost = k == 1 ? 5 : 10;
		waitq_add(&q, &w[i].item, "s", "m0", "");
	}
	waitq_dispatch(&q, 0, try_run, &r);
	for (i = 0; i < r.runs; i++)
		ran[r.order[i]]++;
	CU_ASSERT_EQUAL(r.runs, 7);
	CU_ASSERT_EQUAL(ran[0], 2);
	CU_ASSERT_EQUAL(ran[1], 3);
	CU_ASSERT_EQUAL(ran[2], 2);
	waitq_clear(&q);
}

static const struct unit_case cases[] = {
	{ "order", test_order },
	{ "a model without a copy", test_blocked_model },
	{ "removed while waiting", test_removed_in_pass },
	{ "accounts take turns by what they are owed", test_accounts },
};

UNIT_MAIN("waitq", cases)
