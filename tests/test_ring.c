/* Bounded queue between threads. */
#include <pthread.h>
#include <stdint.h>
#include <sys/poll.h>

#include "clock.h"
#include "base.h"
#include "ring.h"
#include "unit.h"

#define PRODUCERS 4
#define ITEMS 20000

static void test_order(void);
static void test_full(void);
static void test_timeout(void);
static void test_fd(void);
static void test_close(void);
static void test_threads(void);
static void *produce(void *);
static void *consume(void *);
static void *wait_close(void *);

static uint64_t sum;

static void
test_order(void)
{
	struct ring *r = ring_create(3);
	int items[3];
	int i;

	for (i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(ring_push(r, &items[i]), 0);
	for (i = 0; i < 3; i++)
		CU_ASSERT_PTR_EQUAL(ring_pop(r, 0), &items[i]);
	CU_ASSERT_PTR_NULL(ring_pop(r, 0));
	ring_destroy(r);
}

static void
test_full(void)
{
	struct ring *r = ring_create(1);
	int item;

	CU_ASSERT_EQUAL(ring_push(r, &item), 0);
	CU_ASSERT_EQUAL(ring_push(r, &item), -1);
	CU_ASSERT_EQUAL(ring_count(r), 1);
	ring_pop(r, 0);
	CU_ASSERT_EQUAL(ring_push(r, &item), 0);
	ring_pop(r, 0);
	ring_destroy(r);
}

static void
test_timeout(void)
{
	struct ring *r = ring_create(1);
	uint64_t until = clock_mono() + 20 * NSEC_PER_MSEC;

	CU_ASSERT_PTR_NULL(ring_pop(r, until));
	CU_ASSERT(clock_mono() >= until);
	ring_destroy(r);
}

static void
test_fd(void)
{
	struct ring *r = ring_create(2);
	struct pollfd p = { ring_fd(r), POLLIN, 0 };
	int item;

	CU_ASSERT_EQUAL(poll(&p, 1, 0), 0);
	ring_push(r, &item);
	ring_push(r, &item);
	CU_ASSERT_EQUAL(poll(&p, 1, 0), 1);
	ring_pop(r, 0);
	CU_ASSERT_EQUAL(poll(&p, 1, 0), 1);
	ring_pop(r, 0);
	CU_ASSERT_EQUAL(poll(&p, 1, 0), 0);
	ring_destroy(r);
}

static void *
wait_close(void *arg)
{
	return ring_pop(arg, TIME_NEVER / 2);
}

/* Closing wakes a waiter and makes pushes fail. */
static void
test_close(void)
{
	struct ring *r = ring_create(2);
	struct pollfd p = { ring_fd(r), POLLIN, 0 };
	pthread_t thread;
	void *got;
	int item;

	pthread_create(&thread, NULL, wait_close, r);
	ring_close(r);
	pthread_join(thread, &got);
	CU_ASSERT_PTR_NULL(got);
	/* So is a thread that polls for items. */
	CU_ASSERT_EQUAL(poll(&p, 1, 0), 1);
	CU_ASSERT_EQUAL(ring_push(r, &item), -1);
	CU_ASSERT_EQUAL(ring_push_wait(r, &item), -1);
	ring_destroy(r);
}

static void *
produce(void *arg)
{
	uintptr_t i;

	for (i = 1; i <= ITEMS; i++)
		ring_push_wait(arg, (void *)i);
	return NULL;
}

static void *
consume(void *arg)
{
	struct ring **r = arg;
	void *item;

	while ((item = ring_pop(*r, clock_mono() + NSEC_PER_SEC)) != NULL)
		__atomic_fetch_add(
		    &sum, (uint64_t)(uintptr_t)item, __ATOMIC_RELAXED);
	return NULL;
}

/* No item is lost or duplicated with several producers and consumers. */
static void
test_threads(void)
{
	struct ring *r = ring_create(64);
	pthread_t producers[PRODUCERS];
	pthread_t consumers[2];
	int i;

	sum = 0;
	for (i = 0; i < 2; i++)
		pthread_create(&consumers[i], NULL, consume, &r);
	for (i = 0; i < PRODUCERS; i++)
		pthread_create(&producers[i], NULL, produce, r);
	for (i = 0; i < PRODUCERS; i++)
		pthread_join(producers[i], NULL);
	for (i = 0; i < 2; i++)
		pthread_join(consumers[i], NULL);
	CU_ASSERT_EQUAL(sum, (uint64_t)PRODUCERS * ITEMS * (ITEMS + 1) / 2);
	ring_destroy(r);
}

static const struct unit_case cases[] = {
	{ "order", test_order },
	{ "full", test_full },
	{ "timeout", test_timeout },
	{ "descriptor", test_fd },
	{ "close", test_close },
	{ "threads", test_threads },
};

UNIT_MAIN("ring", cases)
