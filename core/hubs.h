/*
 * A few processes do for all what need not be done by each: they follow the
 * key-value service's lists and pass on what changes.  Every process works out
 * alike who they are, from what it knows of its peers.  Deterministic.
 */
#ifndef HUBS_H
#define HUBS_H

#include "base.h"

#define HUBS_MAX 3 /* two may fail at once */

/* A process as a candidate; part of what is known of a peer. */
struct hub {
	char addr[ADDR_SIZE];
	uint32_t weight;   /* processor share, in hundredths of a core */
	int self;	   /* never silent to itself */
	uint64_t heard_at; /* latest message */
	uint64_t since;	   /* when it became a hub, 0 while it is none */
	int silent;	   /* not heard from as a hub, nor since */
};

/*
 * Chooses the hubs among the candidates, the ones with the most processor time
 * first, and notes in each since when it is one.  A hub is passed over once it
 * is silent for the time given.  Returns how many there are.
 */
uint32_t hubs_choose(
    struct hub **, uint32_t, uint64_t, uint64_t, struct hub *[HUBS_MAX]);
/* Which of so many hubs passes changes on to the process at an address. */
uint32_t hubs_index_for(const char *, uint32_t);

#endif
