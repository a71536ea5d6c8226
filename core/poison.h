/*
 * Parts of prompts, and whole requests, that crash the replicas which answer
 * them ("queries of death").  A whole request counts as one more part of its
 * prompt, which only its repeats share.  Evidence of all processes is merged:
 * crashes of replicas that had just begun to answer a request with the part,
 * and answers that a part has had since.  Merging is idempotent, so that
 * evidence can be sent repeatedly and in any order.  Deterministic: times are
 * passed in, in monotonic ns.
 */
#ifndef POISON_H
#define POISON_H

#include <stddef.h>
#include <stdint.h>

#define POISON_CRASHES_MAX 24	    /* kept for each part */
#define POISON_REPORT_MAX 32	    /* parts in a report to peers */
#define POISON_NEVER UINT64_MAX	    /* not answered */
#define POISON_REQUEST (1ULL << 63) /* in the id of a whole request */

struct poison;

/* Evidence on one part, with ages, since clocks of processes differ. */
struct poison_evidence {
	uint64_t part;		  /* its id */
	uint64_t answered_ago_ms; /* since its latest answer, POISON_NEVER */
	uint32_t ncrashes;
	struct poison_crash {
		uint64_t replica; /* hash of the replica's incarnation */
		uint64_t ago_ms;
	} crashes[POISON_CRASHES_MAX];
};

struct poison *poison_create(void);
void poison_destroy(struct poison *);
/*
 * Requests with these n parts were answered in full.  Of whole requests, only
 * answers to those with evidence are remembered.
 */
void poison_answered(struct poison *, uint64_t, const uint64_t *, uint32_t);
/*
 * A replica, given by a hash of its incarnation, has crashed while it began to
 * answer requests with these n parts.
 */
void poison_crashed(
    struct poison *, uint64_t, uint64_t, const uint64_t *, uint32_t);
/*
 * Until when requests with any of these n parts are refused; 0 if none of the
 * parts is blocked.
 */
uint64_t poison_blocked_until(
    const struct poison *, uint64_t, const uint64_t *, uint32_t);
/*
 * Whether a replica, other than the given incarnation (0: any), has crashed
 * with one of these n parts, unrefuted.
 */
int poison_is_suspect(
    const struct poison *, uint64_t, uint64_t, const uint64_t *, uint32_t);
/* Where a request may be sent. */
enum poison_care {
	POISON_ANY_REPLICA,
	POISON_ONE_REPLICA, /* all requests with the part to the same one */
	POISON_WAIT	    /* to none before the evidence of all is known */
};

/*
 * How to send a request with these n parts, some of which may crash replicas
 * and were never answered, while others were, so that they cannot end all
 * replicas at a time.  A whole request needs no part that was answered.  Stores
 * the part that binds to POISON_ONE_REPLICA.
 */
enum poison_care poison_care(
    const struct poison *, uint64_t, const uint64_t *, uint32_t, uint64_t *);
/* Whether no process has answered a request with the part, as far as known. */
int poison_is_new(const struct poison *, uint64_t);
/*
 * Decides which parts are blocked, calls back for each that is blocked from now
 * on (1) or no longer (0), and drops old evidence.  A crash is held against one
 * part only: the one that explains most.
 */
void poison_update(
    struct poison *, uint64_t, void (*)(void *, uint64_t, int), void *);
/* Fills in the evidence for peers, the strongest first; returns its length. */
uint32_t poison_report(
    const struct poison *, uint64_t, struct poison_evidence *);
/* Adds a peer's evidence on one part; returns whether it has a new crash. */
int poison_merge(struct poison *, uint64_t, const struct poison_evidence *);
/* Number of parts that are blocked. */
uint32_t poison_count_blocked(const struct poison *);

#endif
