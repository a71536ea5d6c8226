#include <stdlib.h>

#include "base.h"
#include "clock.h"
#include "expiry.h"
#include "mem.h"

/*
 * Turns of the loop for which input may defer a deadline.  The loop handles a
 * limited number of descriptors a turn; a peer that sends without end must not
 * defer its own deadline.
 */
#define EXPIRY_TURNS_MAX 8

struct expiry {
	struct ev_loop *loop;
	const struct expiry_ops *ops;
	void *ctx;
	ev_timer timer;
	uint64_t at;
	uint32_t turns; /* for which it has been deferred */
};

static void expiry_start(struct expiry *);
static void expiry_on_timer(struct ev_loop *, ev_timer *, int);

struct expiry *
expiry_create(struct ev_loop *loop, const struct expiry_ops *ops, void *ctx)
{
	struct expiry *x;

	x = mem_alloc(sizeof(*x));
	x->loop = loop;
	x->ops = ops;
	x->ctx = ctx;
	ev_timer_init(&x->timer, expiry_on_timer, 0.0, 0.0);
	/* Descriptors that became ready in the same turn go first. */
	ev_set_priority(&x->timer, EV_MINPRI);
	x->timer.data = x;
	return x;
}

void
expiry_destroy(struct expiry *x)
{
	if (x == NULL)
		return;
	ev_timer_stop(x->loop, &x->timer);
	free(x);
}

void
expiry_set(struct expiry *x, uint64_t at)
{
	x->at = at;
	x->turns = 0;
	expiry_start(x);
}

void
expiry_stop(struct expiry *x)
{
	ev_timer_stop(x->loop, &x->timer);
}

int
expiry_is_set(const struct expiry *x)
{
	return ev_is_active(&x->timer) || ev_is_pending(&x->timer);
}

static void
expiry_start(struct expiry *x)
{
	uint64_t now = clock_mono();
	double left =
	    x->at > now ? (double)(x->at - now) / (double)NSEC_PER_SEC : 0.0;

	ev_timer_stop(x->loop, &x->timer);
	ev_timer_set(&x->timer, left, 0.0);
	ev_timer_start(x->loop, &x->timer);
}

static void
expiry_on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct expiry *x = w->data;

	(void)loop;
	(void)events;
	/* The loop's own time may be older than that of the start. */
	if (clock_mono() < x->at) {
		expiry_start(x);
		return;
	}
	if (x->ops->has_input != NULL && x->turns < EXPIRY_TURNS_MAX &&
	    x->ops->has_input(x->ctx)) {
		x->turns++;
		expiry_start(x);
		return;
	}
	x->ops->expired(x->ctx);
}
