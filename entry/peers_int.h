/* State of the peers, shared by its parts. */
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
	struct hub hub; /* its bus address, and when it was heard */
	uint32_t share; /* rank of the hub that passes changes on to it */
	uint32_t index; /* in the directory's tables */
	int listed;
	int reachable;
	uint64_t incarnation;
	uint64_t seq; /* of its newest report */
	UT_hash_handle hh;
};

struct peers {
	struct entry *e;
	struct bus *bus;
	struct ring *inbox;
	ev_io io;
	struct peer *peers;
	uint32_t next_index; /* handed out */
	struct announce *announce;
	struct kv_ids ids;
	uint64_t report_at;
	uint64_t pull_config_at;
	uint64_t pull_list_at;
	uint64_t newer_revision; /* a revision of the list that a peer has */
	uint64_t newer_since;
	uint64_t answers_since; /* texts sent since then */
	uint32_t answers;
	uint64_t started_at;
	struct hub self;
	uint32_t nhubs;
	struct hub *hubs[HUBS_MAX];
};

/* peers.c */
/* This process's place among the hubs; their number when it is none. */
uint32_t peers_hub_rank(const struct peers *);
/* report.c */
/* Tells of this process's work when it is time, or at once. */
void peers_report(struct peers *);
void peers_apply_report(struct peers *, struct peer *, const struct msg *);
/* pull.c */
/* Asks a peer that reports something newer. */
void peers_compare_versions(
    struct peers *, const struct peer *, const struct msg_front *);
void peers_answer_pull(struct peers *, const struct msg *);
void peers_apply_text(struct peers *, const struct msg *);

#endif
