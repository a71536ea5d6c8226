/* State of the quotas of one process, shared by quota.c and quota_pool.c. */
#ifndef QUOTA_INT_H
#define QUOTA_INT_H

#include <uthash.h>

#include "quota.h"

#define QUOTA_LOTS_MAX 8 /* of spare tokens, by when they are void */

struct quota_lot {
	uint64_t tokens;
	uint64_t valid_until;
};

struct quota_bucket {
	double tokens;	    /* below 0: in debt */
	uint64_t filled_at; /* 0: never */
	uint64_t room_at;   /* for those who are refused from now on */
};

struct quota_account {
	char name[NAME_SIZE];
	double rate_per_s; /* 0: no quota */
	double burst;
	uint32_t generation; /* of the accounts that it was set with */
	struct quota_bucket bucket;
	uint32_t nlots;
	struct quota_lot lots[QUOTA_LOTS_MAX];
	uint64_t spent;	     /* tokens, in the current interval */
	uint64_t spent_last; /* and in the one before */
	uint64_t interval_until;
	uint64_t quiet_until; /* since the latest refusal */
	struct quota_stats stats;
	UT_hash_handle hh;
};

struct quota {
	char self[ADDR_SIZE];
	double slack;
	const struct quota_ops *ops;
	void *ctx;
	char pools[SHARES_SLOTS][ADDR_SIZE]; /* "" for none */
	double part;	  /* of all quotas, that this process gives out */
	uint64_t part_at; /* when that was last set */
	uint32_t generation;
	struct quota_account *accounts;
};

struct quota_account *quota_find(const struct quota *, const char *);
/* quota_pool.c */
/* Decides on a request by this process's bucket, which it fills in. */
void quota_pool_decide(const struct quota *, uint64_t, struct quota_account *,
    const struct quota_request *, struct quota_answer *);
/* The account gets another rate. */
void quota_pool_rate_changed(struct quota_account *, double);
/* Empties all buckets, since the shares they were filled at are gone. */
void quota_pool_clear(struct quota *, uint64_t);

#endif
