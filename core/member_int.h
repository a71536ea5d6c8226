/* Internal data structures of the membership module. */
#ifndef MEMBER_INT_H
#define MEMBER_INT_H

#include <uthash.h>

#include "member.h"

/* A known process. */
struct peer {
	struct member_info info;
	UT_hash_handle hh;    /* by address */
	uint64_t state_since; /* time of the last state change */
	uint32_t gossip_left; /* messages that will still carry it */
	int listed;	      /* on the platform's list */
};

/* A probe sent on behalf of another peer. */
struct relay {
	uint64_t requester_probe; /* number of the requester's probe */
	uint64_t relayed_probe;	  /* number of the relayed probe, 0: unused */
	char requester[ADDR_SIZE];
	uint64_t expires_at;
};

#define RELAYS_MAX 32

struct member {
	struct member_config config;
	struct node_id self;
	unsigned short rand_state[3];
	struct peer *peers;
	struct peer self_peer; /* gossiped like a peer */
	uint64_t revision;
	uint64_t probe; /* number of the probe in progress */
	char target[ADDR_SIZE];
	uint64_t next_probe_at;
	uint64_t ack_deadline;	 /* then indirect probes are requested */
	uint64_t probe_deadline; /* then the target is suspected */
	int ping_reqs_sent;
	struct relay relays[RELAYS_MAX];
	uint32_t next_relay;
	struct peer **probe_order; /* peers in random order */
	uint32_t nprobe_order;
	uint32_t probe_index; /* next target in probe_order */
};

/* Returns NULL if the address is unknown. */
struct peer *member_find_peer(const struct member *, const char *);

#endif
