/*
 * Peers whose pull of the configuration came when enough had been answered:
 * they are answered as soon as the limit allows, in the order in which they
 * asked.  All that learn of a version at the same moment repeat their pulls
 * together, so that the same few would be answered each time.
 */
#ifndef PULLS_H
#define PULLS_H

#include "base.h"
#include "follow.h"

struct pulls {
	char (*addrs)[ADDR_SIZE];
	uint32_t n;
	uint32_t size; /* allocated */
};

/* Adds a peer, unless it waits already. */
void pulls_add(struct pulls *, const char *);
/* Takes the next peer that may be answered now; 0 if there is none. */
int pulls_next(
    struct pulls *, struct follow_answers *, uint64_t, char[ADDR_SIZE]);
void pulls_clear(struct pulls *);

#endif
