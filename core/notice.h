/*
 * What a replica says of itself in its answers: that it leaves, that it takes
 * no requests until a time, or that it takes so many requests a second from all
 * processes together.  It holds for the incarnation that said it
 * and for earlier ones, whatever other sources say.  Deterministic: times are
 * passed in, in ns.
 */
#ifndef NOTICE_H
#define NOTICE_H

#include <uthash.h>

#include "base.h"

/*
 * A replica is closed for this long at most, so that a mistaken value does not
 * take it away for good; it is longer than any outage that passes by itself.
 */
#define NOTICE_CLOSED_MAX_NS (3600 * NSEC_PER_SEC)
/* A removed replica's notice is kept, as its entry may come back this late. */
#define NOTICE_KEPT_NS (600 * NSEC_PER_SEC)

/* Messages tell limits as requests in 1000 s. */
#define NOTICE_LIMIT_SCALE 1000.0

/* One replica's notices; zeroed: it has said nothing. */
struct notice {
	uint64_t started_ms;   /* incarnation that said it */
	uint64_t leaving_at;   /* first said that it leaves, 0: it did not */
	uint64_t closed_until; /* takes no requests before, 0: any time */
	int probe; /* it was closed for less than it said: one request first */
	int reopening;	    /* the end of closed_until has not been reported */
	double limit_per_s; /* requests from all processes, 0: any number */
	uint64_t limit_at;  /* of the latest answer that told, 0: none did */
	uint64_t limit_since; /* of the first one in a row with a limit */
};

/* The notice of a replica that is not known any more. */
struct kept_notice {
	char id[NAME_SIZE]; /* of the replica */
	struct notice notice;
	UT_hash_handle hh;
};

/*
 * Records at a time that an incarnation leaves, or takes no requests for ns.
 * Return whether that is new; a word of an earlier incarnation never is.
 */
int notice_leaving(struct notice *, uint64_t, uint64_t);
int notice_closed(struct notice *, uint64_t, uint64_t, uint64_t);
/*
 * Records that an answer of an incarnation, received at a time, named a limit
 * in requests a second, 0 for none.  Returns whether the limit has changed; an
 * earlier answer than the latest one changes nothing.
 */
int notice_limit(struct notice *, uint64_t, uint64_t, double);
/* The limit that holds for an incarnation, 0: none. */
double notice_limit_of(const struct notice *, uint64_t);
/* A request that an incarnation took, sent at a time, was answered. */
void notice_answered(struct notice *, uint64_t, uint64_t);
/*
 * A listing names the incarnation that runs, 0: unknown, and tells whether the
 * replica was drained before and is not any more.  A notice of an unknown
 * incarnation holds for the first one named; an undrained replica whose
 * incarnation is not known does not leave any more.
 */
void notice_listed(struct notice *, uint64_t, int);
/* Whether an incarnation has said that it leaves. */
int notice_is_leaving(const struct notice *, uint64_t);
/* Until when an incarnation takes no requests; 0: it takes them. */
uint64_t notice_closed_until(const struct notice *, uint64_t, uint64_t);
/*
 * Whether an incarnation takes only one request at a time: also if it may be
 * the one that closed, as it answered before its start was listed.
 */
int notice_is_probed(const struct notice *, uint64_t, uint64_t);
/* Whether a closed time has ended since the last call. */
int notice_reopened(struct notice *, uint64_t);
/*
 * A table of kept notices, NULL when empty: keeps a removed replica's if its
 * time has not passed, gives it back to a replica that returns, forgets those
 * whose time has passed, or all.
 */
void kept_notice_put(
    struct kept_notice **, uint64_t, const char *, const struct notice *);
void kept_notice_take(struct kept_notice **, const char *, struct notice *);
void kept_notice_tick(struct kept_notice **, uint64_t);
void kept_notice_clear(struct kept_notice **);

#endif
