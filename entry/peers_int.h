/* State of the peers, shared by peers.c, relays.c, report.c and pull.c. */
#ifndef PEERS_INT_H
#define PEERS_INT_H

#include <uthash.h>

#include "announce.h"
#include "buf.h"
#include "bus.h"
#include "follow.h"
#include "hubs.h"
#include "list_text.h"
#include "peers.h"
#include "pulls.h"
#include "ring.h"
#include "roll_call.h"

struct peer {
	char vm[NAME_SIZE];
	struct hub hub;		/* its bus address and when it was last heard */
	struct hub relay;	/* the same, as a candidate for relay */
	uint32_t hub_rank;	/* rank of the hub that sends changes to it */
	uint32_t index;		/* in the directory's per-peer tables */
	int listed;		/* has a key in the store */
	uint32_t listed_weight; /* by its key */
	int reachable;		/* heard within PEER_SILENT_NS */
	uint64_t incarnation;
	uint64_t seq;		 /* of its latest report */
	struct follow_sent sent; /* of the configuration */
	UT_hash_handle hh;
};

/* The whole list of replicas in compressed parts. */
struct packed_list {
	struct buf *parts;
	size_t n;
	uint64_t packed_at;
	uint64_t digest; /* of the list */
};

struct peers {
	struct entry *e;
	struct bus *bus;
	struct ring *inbox;
	uint64_t unread; /* messages that found it full; atomic */
	ev_io io;
	struct peer *peers;
	uint32_t next_index; /* assigned to the next new peer */
	struct announce *announce;
	struct kv_ids ids;
	uint64_t report_at;    /* time of the next report */
	uint64_t limits_at;    /* when reports tell replicas' limits again */
	uint64_t pull_list_at; /* earliest time of the next pull */
	struct follow_lists list;
	struct follow config;
	struct packed_list packed_list; /* for pulls */
	struct follow_answers answers;
	struct pulls pulls; /* of the configuration, to be answered */
	uint64_t started_at;
	uint32_t own_weight;	  /* this process's, as it announces it */
	uint32_t weight;	  /* the same, while the store serves it */
	uint32_t reported_weight; /* that the data centre was told at once */
	struct roll_call roll_call;
	int tells_zone; /* this process is to tell it that it is alive */
	struct hub self;
	struct hub self_relay;
	struct hub *relay; /* of this data centre, NULL before it is known */
	int knows_fleet;   /* the relays of other data centres are followed */
	uint32_t nhubs;
	struct hub *hubs[HUBS_MAX];
};

/* relays.c */
/* Rank of this process among the hubs; nhubs if it is not a hub. */
uint32_t peers_hub_rank(const struct peers *);
/* Chooses the hubs and relays; called at every tick. */
void peers_choose(struct peers *);
/* Sends a message to all processes of this data centre. */
void peers_send_to_own_zone(struct peers *, struct msg *);
/* Passes on an adapter table that came from its holder. */
void peers_relay_table(struct peers *, const struct msg *);
/* Sets the CPU share and data centre that rank a peer. */
void peer_set_rank(struct peer *, uint32_t, const char *);
/* Whether this process is the relay of its data centre. */
int peers_is_relay(const struct peers *);
/* Whether a peer is in the data centre of this process. */
int peers_in_zone(const struct peers *, const struct peer *);
/* report.c */
/* Sends this process's own work and demand to every peer. */
void peers_report_to_all(struct peers *);
/* Sends a report of this process's work if one is due. */
void peers_report(struct peers *);
/* Applies a peer's report; older ones than the latest are ignored. */
void peers_apply_report(struct peers *, struct peer *, const struct msg *);
/* pull.c */
void packed_list_clear(struct packed_list *);
/* Pulls what a peer's report shows to be newer than the local copy. */
void peers_compare_versions(
    struct peers *, struct peer *, const struct msg_front *);
/* Pulls or reads a configuration that peers have; called at every tick. */
void peers_follow_config(struct peers *);
/* Sends the configuration or list that a peer asked for, or sends it later. */
void peers_answer_pull(struct peers *, const struct msg *);
/* Sends the configuration to peers that wait for it; called at every tick. */
void peers_answer_waiting(struct peers *);
/* Applies a configuration or list received from a peer. */
void peers_apply_text(struct peers *, const struct msg *);

#endif
