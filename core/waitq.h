/*
 * Queue of requests that wait for a replica, grouped by what they need:
 * service, model and adapter.  Answers the load pattern in which one model has
 * no room while others have: a request that cannot run holds up only those
 * that need the same, and a pass over the queue costs one failed attempt a
 * group.  Also one client account that asks for many times what the others do:
 * accounts take turns, by what each is owed.  Deterministic; intrusive, items
 * belong to the caller.
 */
#ifndef WAITQ_H
#define WAITQ_H

#include <sys/queue.h>
#include <uthash.h>

#include "base.h"

struct waitq_group;
struct waitq_account;

/* A waiting request; embedded in the caller's own. */
struct waitq_item {
	TAILQ_ENTRY(waitq_item) entry;
	struct waitq_group *group; /* NULL while it does not wait */
	uint32_t priority;	   /* 0 is the highest */
	uint64_t arrived;
	uint64_t target;     /* time after which its answer is late */
	const char *account; /* of its caller; NULL or "": none */
	uint64_t cost;	     /* its part of what the account is owed, ns */
	uint64_t turn;	     /* set by the queue; the lowest goes first */
	void *owner;
};

TAILQ_HEAD(waitq_items, waitq_item);

struct waitq {
	struct waitq_group *groups;
	struct waitq_account *accounts; /* ahead of the current turn */
	uint64_t turn;			/* the latest that was taken out */
	uint32_t nitems;
};

/* Tries to run a request; returns 0 if there is no room for its group. */
typedef int (*waitq_try)(void *, struct waitq_item *);

void waitq_init(struct waitq *);
/* Removes all items, which stay with their owners, and frees the groups. */
void waitq_clear(struct waitq *);
/* Adds an item under the service, model and adapter that it needs. */
void waitq_add(struct waitq *, struct waitq_item *, const char *, const char *,
    const char *);
/* Takes an item out; one that does not wait is left alone. */
void waitq_remove(struct waitq *, struct waitq_item *);
/* Items that need the same as the given one, itself included. */
uint32_t waitq_group_size(const struct waitq_item *);
/* An item, or NULL if the queue is empty. */
struct waitq_item *waitq_any(const struct waitq *);
/*
 * Tries items at a time in ns, until each group is empty or has failed.
 * Across groups those that can still be in time go first, then the more
 * urgent, then those whose account's turn it is, then the older.  The callback
 * removes an item that it runs, and may remove others.
 */
void waitq_dispatch(struct waitq *, uint64_t, waitq_try, void *);

#endif
