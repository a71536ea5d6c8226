/*
 * Selection of hubs, the few processes that watch the key-value service's lists
 * and forward changes to all others, and of relays, one in each data centre of
 * a large fleet.  Answers the loss of any of them.  Every process computes the
 * same ones from what it knows of its peers.  Deterministic.
 */
#ifndef HUBS_H
#define HUBS_H

#include "base.h"

#define HUBS_MAX 3 /* tolerates two failures at once */

/* A process as a candidate for hub or relay. */
struct hub {
	char addr[ADDR_SIZE];
	char zone[NAME_SIZE]; /* data centre; relays only */
	uint32_t weight;      /* CPU share in hundredths of a core */
	int self;	      /* this process, never silent */
	uint64_t heard_at;    /* time of the latest message */
	uint64_t hub_since;   /* when it became a hub, 0 if it is none */
	int silent;	      /* timed out as a hub and not heard since */
	int stopping;	      /* says that it ends, and takes no duty */
};

/*
 * Selects the hubs among n candidates, largest CPU share first, at a time and
 * with a timeout in ns, and updates hub_since and silent in each candidate.  A
 * hub that sent nothing within the timeout is skipped until it is heard again,
 * and one that stops at once: it goes on reporting, but has given up its duty.
 * Returns the number of hubs.
 */
uint32_t hubs_choose(
    struct hub **, uint32_t, uint64_t, uint64_t, struct hub *[HUBS_MAX]);
/*
 * Selects one relay in each data centre among n candidates by the same rule.
 * out has room for n; returns the number of relays.
 */
uint32_t relays_choose(
    struct hub **, uint32_t, uint64_t, uint64_t, struct hub **);
/* Index of the hub, of nhubs, that forwards changes to an address. */
uint32_t hubs_index_for(const char *, uint32_t);

#endif
