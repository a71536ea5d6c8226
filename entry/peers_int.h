/* State of the peers, shared by peers.c, report.c and pull.c. */
#ifndef PEERS_INT_H
#define PEERS_INT_H

#include <uthash.h>

#include "announce.h"
#include "bus.h"
#include "hubs.h"
#include "peers.h"
#include "ring.h"

struct peer {
	char vm[NAME_SIZE];
	struct hub hub;	     /* its bus address and when it was last heard */
	uint32_t relay_rank; /* rank of the hub that relays changes to it */
	uint32_t index;	     /* in the directory's per-peer tables */
	int listed;	     /* has a key in the store */
	int reachable;	     /* heard within PEER_SILENT_NS */
	uint64_t incarnation;
	uint64_t seq; /* of its latest report */
	UT_hash_handle hh;
};

struct peers {
	struct entry *e;
	struct bus *bus;
	struct ring *inbox;
	ev_io io;
	struct peer *peers;
	uint32_t next_index; /* assigned to the next new peer */
	struct announce *announce;
	struct kv_ids ids;
	uint64_t report_at;	 /* time of the next report */
	uint64_t pull_config_at; /* earliest time of the next pull */
	uint64_t pull_list_at;
	uint64_t newer_revision; /* of a peer's list, 0 for none */
	uint64_t newer_since;	 /* when it was first reported */
	uint64_t answers_since;	 /* start of the current window */
	uint32_t answers;	 /* texts sent in the window */
	uint64_t started_at;
	struct hub self;
	uint32_t nhubs;
	struct hub *hubs[HUBS_MAX];
};

/* peers.c */
/* Rank of this process among the hubs; nhubs if it is not a hub. */
uint32_t peers_hub_rank(const struct peers *);
/* report.c */
/* Sends a report of this process's work if one is due. */
void peers_report(struct peers *);
/* Applies a peer's report; older ones than the latest are ignored. */
void peers_apply_report(struct peers *, struct peer *, const struct msg *);
/* pull.c */
/* Pulls what a peer's report shows to be newer than the local copy. */
void peers_compare_versions(
    struct peers *, const struct peer *, const struct msg_front *);
/* Sends the configuration or list that a peer asked for. */
void peers_answer_pull(struct peers *, const struct msg *);
/* Applies a configuration or list received from a peer. */
void peers_apply_text(struct peers *, const struct msg *);

#endif
