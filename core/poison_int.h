/* Evidence on parts of prompts, shared by the files of core/poison. */
#ifndef POISON_INT_H
#define POISON_INT_H

#include <uthash.h>

#include "base.h"
#include "poison.h"

/* Groups of crashes without an answer between them that block a part. */
#define GROUPS_MIN 3
/*
 * Ages do not contain the time of passing them on.  A peer's answer that is
 * later by less than this may be one that is known.
 */
#define PASSING_NS (1 * NSEC_PER_SEC)
#define PARTS_MAX 512	     /* with evidence */
#define ANSWERED_SLOTS 16384 /* parts whose latest answer is known */

struct crash {
	uint64_t replica;
	uint64_t at;
};

struct part {
	uint64_t id;
	uint64_t answered_at; /* by any process, 0: never */
	uint64_t refuted_at;  /* crashes were found to be before an answer */
	uint32_t nrefuted;    /* most crashes before an answer */
	uint32_t ncrashes;    /* after answered_at, oldest first */
	struct crash crashes[POISON_CRASHES_MAX];
	int blocked; /* by the latest update */
	UT_hash_handle hh;
};

/* The latest answer to a request with the part; a hash collision forgets it. */
struct answered {
	uint64_t id;
	uint64_t at;
};

struct poison {
	struct part *parts;
	struct answered answered[ANSWERED_SLOTS];
};

/* The evidence on a part, NULL if there is none. */
struct part *poison_part_find(const struct poison *, uint64_t);
/*
 * The same, created if there is room or an old part with little evidence can
 * be dropped.
 */
struct part *poison_part_add(struct poison *, uint64_t);
/* Adds a replica's crash at a time; returns whether it was not known. */
int poison_part_add_crash(struct part *, uint64_t, uint64_t);
/* So many crashes were found, now, to be before an answer. */
void poison_part_note_refuted(struct part *, uint64_t, uint32_t);
/* Records, now, an answer to a part at a time. */
void poison_part_set_answered(struct poison *, uint64_t, uint64_t, uint64_t);
/* Time of the latest known answer, 0 if none is known. */
uint64_t poison_part_last_answered(const struct poison *, uint64_t);
/* Number of groups of replicas that crashed together with a part. */
uint32_t poison_part_groups(const struct part *);
/* Whether crashes that none of the given other parts explains block a part. */
int poison_part_blocks(const struct part *, struct part *const *, uint32_t);
/* Whether the evidence is too old to count. */
int poison_part_is_old(const struct part *, uint64_t);

#endif
