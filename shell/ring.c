#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "base.h"
#include "clock.h"
#include "mem.h"
#include "ring.h"

/* Longest single wait; avoids overflow with TIME_NEVER as the deadline. */
#define RING_WAIT_MAX_NS (3600 * NSEC_PER_SEC)

struct ring {
	pthread_mutex_t lock;
	pthread_cond_t not_empty;
	pthread_cond_t not_full;
	size_t capacity;
	size_t head;
	size_t count;
	int closed;
	int fd;
	void **items;
};

static void ring_put(struct ring *, void *);
static void ring_deadline(uint64_t, struct timespec *);

struct ring *
ring_create(size_t size)
{
	pthread_condattr_t attr;
	struct ring *r;

	r = mem_alloc(sizeof(*r));
	r->items = mem_alloc(size * sizeof(*r->items));
	r->capacity = size;
	r->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_mutex_init(&r->lock, NULL);
	pthread_cond_init(&r->not_empty, &attr);
	pthread_cond_init(&r->not_full, &attr);
	pthread_condattr_destroy(&attr);
	return r;
}

void
ring_destroy(struct ring *r)
{
	if (r == NULL)
		return;
	close(r->fd);
	pthread_cond_destroy(&r->not_empty);
	pthread_cond_destroy(&r->not_full);
	pthread_mutex_destroy(&r->lock);
	free(r->items);
	free(r);
}

/* Called with the lock held and the queue not full. */
static void
ring_put(struct ring *r, void *item)
{
	r->items[(r->head + r->count) % r->capacity] = item;
	if (r->count++ == 0)
		eventfd_write(r->fd, 1);
	pthread_cond_signal(&r->not_empty);
}

int
ring_push(struct ring *r, void *item)
{
	int rv = -1;

	pthread_mutex_lock(&r->lock);
	if (r->count < r->capacity && !r->closed) {
		ring_put(r, item);
		rv = 0;
	}
	pthread_mutex_unlock(&r->lock);
	return rv;
}

int
ring_push_wait(struct ring *r, void *item)
{
	int rv = -1;

	pthread_mutex_lock(&r->lock);
	while (r->count == r->capacity && !r->closed)
		pthread_cond_wait(&r->not_full, &r->lock);
	if (!r->closed) {
		ring_put(r, item);
		rv = 0;
	}
	pthread_mutex_unlock(&r->lock);
	return rv;
}

/* Converts to CLOCK_MONOTONIC, which stops while the VM is suspended. */
static void
ring_deadline(uint64_t deadline, struct timespec *ts)
{
	uint64_t now = clock_mono();
	uint64_t left = deadline > now ? deadline - now : 0;

	if (left > RING_WAIT_MAX_NS)
		left = RING_WAIT_MAX_NS;
	clock_gettime(CLOCK_MONOTONIC, ts);
	left += (uint64_t)ts->tv_nsec;
	ts->tv_sec += (time_t)(left / NSEC_PER_SEC);
	ts->tv_nsec = (long)(left % NSEC_PER_SEC);
}

void *
ring_pop(struct ring *r, uint64_t deadline)
{
	struct timespec ts;
	eventfd_t value;
	void *item = NULL;

	pthread_mutex_lock(&r->lock);
	while (r->count == 0 && !r->closed && clock_mono() < deadline) {
		ring_deadline(deadline, &ts);
		pthread_cond_timedwait(&r->not_empty, &r->lock, &ts);
	}
	if (r->count != 0) {
		item = r->items[r->head];
		r->head = (r->head + 1) % r->capacity;
		if (--r->count == 0)
			eventfd_read(r->fd, &value);
		pthread_cond_signal(&r->not_full);
	}
	pthread_mutex_unlock(&r->lock);
	return item;
}

void
ring_close(struct ring *r)
{
	pthread_mutex_lock(&r->lock);
	r->closed = 1;
	pthread_cond_broadcast(&r->not_empty);
	pthread_cond_broadcast(&r->not_full);
	eventfd_write(r->fd, 1);
	pthread_mutex_unlock(&r->lock);
}

int
ring_fd(const struct ring *r)
{
	return r->fd;
}

size_t
ring_count(struct ring *r)
{
	size_t n;

	pthread_mutex_lock(&r->lock);
	n = r->count;
	pthread_mutex_unlock(&r->lock);
	return n;
}
