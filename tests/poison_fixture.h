/* Evidence on parts of prompts, for its tests. */
#ifndef POISON_FIXTURE_H
#define POISON_FIXTURE_H

#include <stdint.h>

#include "base.h"
#include "poison.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC
#define COMMON 0xc0 /* first part of many requests */
#define DEADLY 0xdead
#define RARE 0xa1

/* Updates at a time; until when the part is blocked then, or 0. */
uint64_t blocked(struct poison *, uint64_t, uint64_t);
/* A replica crashed at a time with the part. */
void crash(struct poison *, uint64_t, uint64_t, uint64_t);
/* Three crashes, each a time after the one before, of replicas from a number.
 */
void crash_thrice(struct poison *, uint64_t, uint64_t, uint64_t, uint64_t);
/* Sends what one process reports at a time to another. */
void pass_on(struct poison *, struct poison *, uint64_t);

#endif
