/*
 * Revisions of the key-value service's keys.  The service's own number has no
 * upper bound below 2^63; when the service goes on from an older copy, it gives
 * numbers out again in a new era, which is compared first.
 */
#ifndef REVISION_H
#define REVISION_H

#include <jansson.h>
#include <stdint.h>

/* The era in the upper half, the service's number in the lower; 0: none. */
typedef unsigned __int128 revision_t;

revision_t revision_of(uint64_t, uint64_t);
uint64_t revision_era(revision_t);
/* What the service said, and is sent in its calls. */
uint64_t revision_number(revision_t);

/*
 * Earlier builds exchange 64 bits, of which 40 are the number and 24 the era.
 * Messages between processes hold this form, and beside it the whole revision
 * where it does not fit.
 */
uint64_t revision_short(revision_t);
int revision_fits_short(revision_t);
/* The revision of a short form that fits. */
revision_t revision_of_short(uint64_t);
/* The revision of a short form, the closest one to a given revision. */
revision_t revision_near(uint64_t, revision_t);
/* Sets the member of an object, and NAME_exact where the short form cuts it. */
void revision_pack(json_t *, const char *, revision_t);
/*
 * The member of an object, and whether it is whole for certain: an earlier
 * build may have cut it, so that it is lower than it was.
 */
int revision_unpack(const json_t *, const char *, revision_t *);
/* As hash_version(). */
uint64_t revision_hash(const char *, revision_t);

#endif
