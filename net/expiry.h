/*
 * Deadline of an operation on the event loop.  When the loop has been delayed,
 * input that has arrived is handled before the deadline is found to have
 * passed.
 */
#ifndef EXPIRY_H
#define EXPIRY_H

#include <ev.h>
#include <stdint.h>

struct expiry;

struct expiry_ops {
	/*
	 * Whether input that concerns the operation has arrived and is not
	 * handled yet; may be NULL.
	 */
	int (*has_input)(void *);
	/* The deadline has passed; may destroy the expiry. */
	void (*expired)(void *);
};

/* Creates an expiry without a deadline; the pointer is for the callbacks. */
struct expiry *expiry_create(
    struct ev_loop *, const struct expiry_ops *, void *);
void expiry_destroy(struct expiry *);
/* Sets the deadline in monotonic ns, in place of an earlier one. */
void expiry_set(struct expiry *, uint64_t);
/* Removes the deadline. */
void expiry_stop(struct expiry *);
/* Whether there is a deadline that has not been reported. */
int expiry_is_set(const struct expiry *);

#endif
