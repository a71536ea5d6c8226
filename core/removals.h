/*
 * The latest removals from a list of keys, so that the changes since a revision
 * can be told.  Zeroed: nothing is known.  Deterministic.
 */
#ifndef REMOVALS_H
#define REMOVALS_H

#include "kv_op.h"
#include "revision.h"

#define REMOVALS_MAX 128

struct removal {
	char key[KV_KEY_SIZE];
	revision_t revision;
};

struct removals {
	struct removal latest[REMOVALS_MAX]; /* a ring buffer */
	uint32_t n;			     /* counts all that were added */
	revision_t since; /* later ones are all known; 0: none are */
};

/* The list is known as of a revision; later removals are added. */
void removals_start(struct removals *, revision_t);
/* A key was removed at a revision. */
void removals_add(struct removals *, const char *, revision_t);
/* Whether a key is known to have been removed since it had a revision. */
int removals_has(const struct removals *, const char *, revision_t);
/* Whether all removals after a revision are known. */
int removals_known_since(const struct removals *, revision_t);
/*
 * The i-th of the latest removals if it was after a revision, otherwise NULL; i
 * is below REMOVALS_MAX.
 */
const struct removal *removals_get(
    const struct removals *, uint32_t, revision_t);

#endif
