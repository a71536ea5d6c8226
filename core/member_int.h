/* Data structures shared by the files of membership. */
#ifndef MEMBER_INT_H
#define MEMBER_INT_H

#include <uthash.h>

#include "member.h"

struct peer {
	struct member_info info;
	UT_hash_handle hh;    /* by address */
	uint64_t state_since; /* of the state */
	uint32_t gossip_left; /* times still to be told */
	int listed;
};

struct relay {
	uint64_t requester_probe; /* of the one who asked */
	uint64_t own_probe;
	char requester[ADDR_SIZE];
	uint64_t expires_at;
};

#define RELAYS_MAX 32

struct member {
	struct member_config config;
	struct node_id self;
	unsigned short rand_state[3];
	struct peer *peers;
	struct peer self_peer; /* told like a peer */
	uint64_t revision;
	uint64_t probe; /* number of the probe in progress */
	char target[ADDR_SIZE];
	uint64_t next_probe_at;
	uint64_t ack_deadline;	 /* then relays are asked */
	uint64_t probe_deadline; /* then the target is suspected */
	int asked_relays;
	struct relay relays[RELAYS_MAX];
	uint32_t next_relay;
	struct peer **probe_order; /* shuffled round of probes */
	uint32_t nprobe_order;
	uint32_t probe_index;
};

struct peer *member_find_peer(const struct member *, const char *);

#endif
