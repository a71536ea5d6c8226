/*
 * Which version of a service's software began each stream, by the caller's
 * attempt that brought its first event.  Kept for as long as the stream may be
 * taken up.  Deterministic; times in ns.
 */
#ifndef ORIGINS_H
#define ORIGINS_H

#include "attempt.h"

struct origin {
	char id[REQUEST_ID_SIZE]; /* of the attempt */
	char service[NAME_SIZE];
	char software[NAME_SIZE]; /* "": unknown, or of two streams */
};

struct origins;

struct origins *origins_create(void);
void origins_destroy(struct origins *);
/* A stream began, or went on, at a time. */
void origins_put(struct origins *, uint64_t, const struct origin *);
/* NULL if the attempt is not known. */
const struct origin *origins_find(const struct origins *, const char *);
/* Forgets what is older than SOFTWARE_KEEP_NS. */
void origins_expire(struct origins *, uint64_t);

#endif
