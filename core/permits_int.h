/* State of the permits of one process, shared by permits.c, permits_pool.c. */
#ifndef PERMITS_INT_H
#define PERMITS_INT_H

#include <sys/queue.h>

#include "permits.h"

/* A request for a permit is repeated sooner, unless it is over. */
#define REQUEST_VALID_NS (PERMIT_REPEAT_NS + 200 * NSEC_PER_MSEC)

struct loan {
	char addr[ADDR_SIZE]; /* of the lender */
	uint32_t shares;
	uint64_t until;
	UT_hash_handle hh;
};

/* A token bucket. */
struct bucket {
	char replica[NAME_SIZE];
	double per_s;
	double most; /* permits */
	double permits;
	uint64_t filled_at;
	UT_hash_handle hh;
};

/* A request for a permit that waits in this pool. */
struct pending {
	TAILQ_ENTRY(pending) entry;
	struct permit_request request;
	char answer_to[ADDR_SIZE];
	uint64_t arrived; /* the caller's request, by this process's clock */
	uint64_t target;  /* after which its answer is late */
	uint64_t valid_until;
	uint64_t number; /* in the order of requests */
};

TAILQ_HEAD(pending_list, pending);

struct permits {
	const struct directory *directory;
	const struct permits_ops *ops;
	void *ctx;
	char self[ADDR_SIZE];
	uint32_t processes;
	char pool[ADDR_SIZE]; /* to which the share is lent, "" for none */
	uint64_t lend_ns;     /* from a report until the share is back */
	uint64_t lent_until;
	uint64_t unanswered_since; /* by the pool, 0: it has answered */
	uint64_t requested_at;	   /* when it was last asked */
	uint64_t ticked_at;
	uint64_t avoid_pool_until;
	struct loan *loans;
	struct bucket *buckets;
	struct pending_list pending; /* by priority and arrival */
	uint32_t npending;
	uint64_t nrequests;
};

/* permits_pool.c */
/* Forgets all permits, and the requests that wait for one. */
void permits_pool_clear(struct permits *);
/* Fills the buckets up to a time, and gives out permits. */
void permits_pool_tick(struct permits *, uint64_t);
/* Gives a permit to a request, or lets it wait; answers go to an address. */
void permits_pool_request(
    struct permits *, uint64_t, const char *, const struct permit_request *);

#endif
