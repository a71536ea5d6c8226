/*
 * Replicas that may serve, from the platform's list, with what this process
 * and its peers have under way on each and how each has behaved lately.
 * Deterministic.
 */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include <uthash.h>

#include "fleet.h"

#define DIRECTORY_PEERS_MAX 512
#define DIRECTORY_EXCLUSIONS_MAX 8
#define DIRECTORY_SENT_PROMPTS_MAX 32

/* Work on one replica. */
struct replica_load {
	uint32_t running;   /* requests */
	uint32_t unread_us; /* to read prompts of requests without an event */
	uint32_t recent_us; /* to read prompts sent within the window */
	uint32_t tokens;    /* prompts and predicted outputs */
};

/* A prompt that this process sent lately. */
struct sent_prompt {
	uint64_t sent_at;
	uint32_t prefill_us;
};

enum presence {
	PRESENCE_LISTED,
	PRESENCE_GRACE, /* removed while the list's service was away */
	PRESENCE_REMOVED
};

/* A model or adapter that a replica lists but does not serve for now. */
struct exclusion {
	char name[FLEET_NAME_SIZE];
	uint64_t until;
};

/* A replica as this process sees it. */
struct directory_replica {
	struct fleet_replica info;
	enum presence presence;
	uint64_t grace_until; /* LAPSED: gone unless listed again by then */
	struct replica_load local_load;
	struct sent_prompt
	    sent_prompts[DIRECTORY_SENT_PROMPTS_MAX]; /* a ring */
	uint32_t nsent;
	double prefill_share;	   /* of its time that it may read prompts in */
	uint64_t prefill_share_at; /* when read_share was last updated */
	uint64_t prefill_share_hold_until; /* not lowered again before */
	struct replica_load *peer_loads;
	uint32_t npeer_loads;
	uint64_t
	    adapters_hash_sent; /* hash of its adapters as peers were told */
	uint32_t consecutive_failures; /* in a row, of reaching it */
	uint64_t avoid_until;
	double error_rate;	/* recent share of failed attempts */
	uint64_t error_rate_at; /* when errors was last updated */
	struct exclusion exclusions[DIRECTORY_EXCLUSIONS_MAX];
	UT_hash_handle hh;
};

struct directory {
	struct directory_replica *replicas;
	uint64_t revision;	     /* revision of the newest entry */
	uint64_t digest;	     /* of the entries and their revisions */
	int synced;		     /* the whole list was read once */
	uint64_t service_down_since; /* the service does not answer, or NEVER */
	uint64_t service_up_at;	     /* when it last came back */
	uint64_t prefill_window_ns;  /* that recent work is counted over */
	uint64_t peer_heard_at[DIRECTORY_PEERS_MAX];
};

void directory_init(struct directory *);
void directory_clear(struct directory *);
struct directory_replica *directory_find(
    const struct directory *, const char *);
/* Takes in an entry; adapters known otherwise are kept within one start. */
struct directory_replica *directory_put(
    struct directory *, const struct fleet_replica *);
/* The entry was removed from the list. */
void directory_remove(struct directory *, uint64_t, const char *);
/* The list's service stops answering, or answers again. */
void directory_set_service_up(struct directory *, uint64_t, int);
/* How much longer removals may be lapses, and the same told by a peer. */
uint64_t directory_removal_grace_left(const struct directory *, uint64_t);
void directory_extend_removal_grace(struct directory *, uint64_t, uint64_t);
/* Ends lapsed entries whose time is over, and forgets idle gone ones. */
void directory_tick(struct directory *, uint64_t);
/* Whether new work may go to a replica. */
int directory_usable(const struct directory_replica *, uint64_t);
/* No work for a model or adapter goes to the replica for a while. */
void directory_exclude(struct directory_replica *, const char *, uint64_t);
int directory_excluded(
    const struct directory_replica *, uint64_t, const char *);
/* A peer told of its work; replaces what it told before. */
void directory_reset_peer_load(struct directory *, uint64_t, uint32_t);
void directory_set_peer_load(
    struct directory *, uint32_t, const char *, const struct replica_load *);
/* Work of one peer, or of all, as far as heard lately. */
struct replica_load directory_peer_load(const struct directory *, uint64_t,
    const struct directory_replica *, uint32_t);
struct replica_load directory_peers_load(
    const struct directory *, uint64_t, const struct directory_replica *);
/* Work of this process and of peers heard lately. */
struct replica_load directory_total_load(
    const struct directory *, uint64_t, const struct directory_replica *);
/* This process sent a prompt that takes so long to read. */
void directory_prompt_sent(struct directory_replica *, uint64_t, uint32_t);
/* Time to read what this process sent within the window. */
uint32_t directory_recent_prefill_us(
    const struct directory *, uint64_t, const struct directory_replica *);
/* Part of the window in which a replica may read prompts, above 1 for any. */
double directory_prefill_share(const struct directory_replica *, uint64_t);
/* Events of a stream came too far apart while prompts were read. */
void directory_stream_paused(
    const struct directory *, uint64_t, struct directory_replica *);
/* An attempt ended well, or failed; unreachable ones are avoided a while. */
void directory_attempt_succeeded(struct directory_replica *, uint64_t);
void directory_attempt_failed(struct directory_replica *, uint64_t, int);

#endif
