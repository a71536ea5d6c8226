/*
 * Quotas of client accounts over all processes together.  Answers an account
 * that asks for many times its quota, demand that is uneven between processes
 * and moves, and processes that are lost, late, frozen or cut off.
 *
 * A process asks pools for the tokens of each request.  A pool fills a token
 * bucket for each account, at the rate of the shares of quotas that are lent to
 * it (see shares.h).  Tokens that were granted are void a short time after they
 * were asked for, so that an account never spends more in a window than its
 * quota for a window that is longer by this time.  Deterministic; all times in
 * ns.
 */
#ifndef QUOTA_H
#define QUOTA_H

#include "base.h"
#include "fleet.h"
#include "shares.h"

/* A request for tokens that has no answer is repeated after this time. */
#define QUOTA_REPEAT_NS (150 * NSEC_PER_MSEC)
/* How long tokens may be used, counted from when they were asked for. */
#define QUOTA_VALID_NS (500 * NSEC_PER_MSEC)
/* The longest time that a request may wait for its tokens to come. */
#define QUOTA_WAIT_MAX_NS (200 * NSEC_PER_MSEC)

struct quota_request {
	char origin[ADDR_SIZE]; /* process that asks */
	uint64_t id;		/* of the caller's request, there */
	uint64_t asked_at; /* by the origin's clock; the answer repeats it */
	char account[NAME_SIZE];
	uint64_t tokens;
	uint64_t spare_tokens; /* also wanted, if the account has room */
	uint64_t max_wait_ns;  /* for tokens that come later */
};

struct quota_answer {
	char origin[ADDR_SIZE]; /* of the request, as are the next four */
	uint64_t id;
	uint64_t asked_at;
	char account[NAME_SIZE];
	uint64_t tokens;
	uint32_t granted;
	uint64_t spare_tokens; /* granted beside */
	uint64_t wait_ns; /* until they may be used, or there may be some */
};

/* Callbacks that send messages, and take answers for this process. */
struct quota_ops {
	void (*send_request)(
	    void *, const char *, const struct quota_request *);
	void (*send_answer)(void *, const char *, const struct quota_answer *);
	void (*answered)(void *, const struct quota_answer *);
};

/* What an operator sees of an account at this process. */
struct quota_stats {
	const char *account;
	uint64_t granted_tokens;
	uint64_t granted;
	uint64_t refused;
};

struct quota;

/* Of the process at a bus address; the slack is in tokens. */
struct quota *quota_create(
    const char *, double, const struct quota_ops *, void *);
void quota_destroy(struct quota *);
/* Sets the accounts; what is known of those that stay is kept. */
void quota_set_accounts(
    struct quota *, uint64_t, const struct fleet_account *, uint32_t);
/*
 * Sets a pool that is asked, "" for none, and the part of all quotas that this
 * process's own pool gives out.
 */
void quota_set_pool(struct quota *, uint32_t, const char *);
void quota_set_part(struct quota *, uint64_t, double);
/* Whether requests of the account need tokens. */
int quota_is_limited(const struct quota *, const char *);
/* The rate of the account's quota, 0 for none. */
double quota_rate(const struct quota *, const char *);
/*
 * Takes tokens that this process holds; returns whether there are enough, and
 * since when the oldest of them have been asked for.
 */
int quota_take(struct quota *, uint64_t, const char *, uint64_t, uint64_t *);
/*
 * Asks for tokens at one pool or, at the next try, another; the origin, the
 * time and the spare tokens are filled in.  The answer may come at once.
 * Returns -1 if there is no such pool.
 */
int quota_ask(struct quota *, uint64_t, struct quota_request *, uint32_t);
/* A request from the process at an address, and an answer. */
void quota_requested(
    struct quota *, uint64_t, const char *, const struct quota_request *);
void quota_answered(struct quota *, uint64_t, const struct quota_answer *);
/* Keeps granted tokens for which there is no request, until they are void. */
void quota_keep(struct quota *, uint64_t, const struct quota_answer *);
/* Gives back tokens of a request that ran nowhere, asked for at a time. */
void quota_give_back(
    struct quota *, uint64_t, const char *, uint64_t, uint64_t);
/*
 * Notes that a request of the account was let through with its tokens, or
 * refused.  Returns whether no other one was refused for some time.
 */
int quota_count(struct quota *, uint64_t, const char *, uint64_t, int);
/* Calls a function for the accounts with most refusals, so many at most. */
void quota_for_each(const struct quota *, uint32_t,
    void (*)(void *, const struct quota_stats *), void *);

#endif
