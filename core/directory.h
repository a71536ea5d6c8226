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
#define DIRECTORY_SHUNS_MAX 8
#define DIRECTORY_SENT_MAX 32

/* Work on one replica. */
struct work {
	uint32_t running;   /* requests */
	uint32_t unread_us; /* to read prompts of requests without an event */
	uint32_t recent_us; /* to read prompts sent within the window */
	uint32_t tokens;    /* prompts and predicted outputs */
};

/* A prompt that this process sent lately. */
struct sent {
	uint64_t at;
	uint32_t read_us;
};

enum presence {
	PRESENT,
	PRESENT_LAPSED, /* removed while the list's service was away */
	PRESENT_GONE
};

/* A model or adapter that a replica lists but does not serve for now. */
struct shun {
	char wanted[FLEET_NAME_SIZE];
	uint64_t until;
};

/* A replica as this process sees it. */
struct member_replica {
	struct fleet_replica info;
	enum presence presence;
	uint64_t lapse_until; /* LAPSED: gone unless listed again by then */
	struct work own;
	struct sent sent[DIRECTORY_SENT_MAX]; /* a ring */
	uint32_t nsent;
	double read_share;    /* of its time that it may read prompts in */
	uint64_t share_at;    /* when read_share was last updated */
	uint64_t share_until; /* not lowered again before */
	struct work *peers;
	uint32_t npeers;
	uint64_t told;	   /* hash of its adapters as peers were told */
	uint32_t failures; /* in a row, of reaching it */
	uint64_t avoid_until;
	double errors;	    /* recent share of failed attempts */
	uint64_t errors_at; /* when errors was last updated */
	struct shun shuns[DIRECTORY_SHUNS_MAX];
	UT_hash_handle hh;
};

struct directory {
	struct member_replica *replicas;
	uint64_t at;	     /* revision of the newest entry */
	uint64_t digest;     /* of the entries and their revisions */
	int known;	     /* the whole list was read once */
	uint64_t away_since; /* the service does not answer, or NEVER */
	uint64_t back_at;    /* when it last came back */
	uint64_t window_ns;  /* that recent work is counted over */
	uint64_t peer_heard[DIRECTORY_PEERS_MAX];
};

void directory_init(struct directory *);
void directory_clear(struct directory *);
struct member_replica *directory_find(const struct directory *, const char *);
/* Takes in an entry; adapters known otherwise are kept within one start. */
struct member_replica *directory_put(
    struct directory *, const struct fleet_replica *);
/* The entry was removed from the list. */
void directory_remove(struct directory *, uint64_t, const char *);
/* The list's service stops answering, or answers again. */
void directory_service(struct directory *, uint64_t, int);
/* How much longer removals may be lapses, and the same told by a peer. */
uint64_t directory_lapse_left(const struct directory *, uint64_t);
void directory_lapsing(struct directory *, uint64_t, uint64_t);
/* Ends lapsed entries whose time is over, and forgets idle gone ones. */
void directory_tick(struct directory *, uint64_t);
/* Whether new work may go to a replica. */
int directory_usable(const struct member_replica *, uint64_t);
/* No work for a model or adapter goes to the replica for a while. */
void directory_shun(struct member_replica *, const char *, uint64_t);
int directory_shunned(const struct member_replica *, uint64_t, const char *);
/* A peer told of its work; replaces what it told before. */
void directory_peer_clear(struct directory *, uint64_t, uint32_t);
void directory_peer_work(
    struct directory *, uint32_t, const char *, const struct work *);
/* Work of one peer, or of all, as far as heard lately. */
struct work directory_peer(const struct directory *, uint64_t,
    const struct member_replica *, uint32_t);
struct work directory_peers(
    const struct directory *, uint64_t, const struct member_replica *);
/* Work of this process and of peers heard lately. */
struct work directory_load(
    const struct directory *, uint64_t, const struct member_replica *);
/* This process sent a prompt that takes so long to read. */
void directory_sent(struct member_replica *, uint64_t, uint32_t);
/* Time to read what this process sent within the window. */
uint32_t directory_recent(
    const struct directory *, uint64_t, const struct member_replica *);
/* Part of the window in which a replica may read prompts, above 1 for any. */
double directory_share(const struct member_replica *, uint64_t);
/* Events of a stream came too far apart while prompts were read. */
void directory_paused(
    const struct directory *, uint64_t, struct member_replica *);
/* An attempt ended well, or failed; unreachable ones are avoided a while. */
void directory_success(struct member_replica *, uint64_t);
void directory_failure(struct member_replica *, uint64_t, int);

#endif
