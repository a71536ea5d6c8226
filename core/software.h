/*
 * Versions of the replicas' software.  What two of them write does not fit
 * together, so a stream goes on at the version that began it.  This holds which
 * versions of a service may have written a stream that can still be taken up:
 * those listed now or within the longest life of a stream.  Deterministic;
 * times in ns.
 */
#ifndef SOFTWARE_H
#define SOFTWARE_H

#include "directory.h"

/* Longest time from a stream's first event to its last take-up. */
#define SOFTWARE_KEEP_NS (60 * NSEC_PER_SEC)

struct software;

struct software *software_create(void);
void software_destroy(struct software *);
/* A version of a service serves at a time, or may have until then. */
void software_see(struct software *, uint64_t, const char *, const char *);
/* Sees the versions of all listed replicas. */
void software_see_listed(struct software *, uint64_t, const struct directory *);
/* Forgets versions that have not been seen for SOFTWARE_KEEP_NS. */
void software_expire(struct software *, uint64_t);
/* Rises with each version that comes or goes. */
uint64_t software_changes(const struct software *);
/* Number of versions of a service. */
uint32_t software_count(const struct software *, const char *);
/* The version of a service that has one, NULL for none or several. */
const char *software_only(const struct software *, const char *);
/*
 * The i-th service and version, in the order of both; returns 0 behind the
 * last.
 */
int software_get(
    const struct software *, uint32_t, const char **, const char **);
/* Whether a replica of a service in service has a version, NULL: any. */
int software_is_served(
    const struct directory *, uint64_t, const char *, const char *);

#endif
