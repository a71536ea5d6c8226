/*
 * Service directory: the replicas in the platform's list, the load that this
 * process and its peers put on each, and its recent failures.
 * Deterministic: times are passed in, in ns.
 */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include <uthash.h>

#include "fleet.h"
#include "notice.h"
#include "revision.h"

#define DIRECTORY_EXCLUSIONS_MAX 8
#define DIRECTORY_SENT_PROMPTS_MAX 32

/* Load on one replica. */
struct replica_load {
	uint32_t running;   /* requests in progress */
	uint32_t unread_us; /* prefill time of requests without a first event */
	uint32_t recent_us; /* prefill time of prompts sent within the window */
	uint32_t tokens;    /* prompt tokens and predicted output tokens */
};

/* Load that one peer reported on a replica. */
struct peer_load {
	uint32_t peer; /* its index */
	struct replica_load load;
};

/* A prompt recently sent by this process. */
struct sent_prompt {
	uint64_t sent_at;
	uint32_t prefill_us;
};

/* Whether a replica is in the list. */
enum presence {
	PRESENCE_LISTED,
	PRESENCE_GRACE, /* removed while the list service was unavailable */
	PRESENCE_REMOVED
};

/* A model or adapter not requested from the replica until a time. */
struct exclusion {
	char name[FLEET_NAME_SIZE];
	uint64_t until;
};

/* A replica with this process's view of its load and health. */
struct directory_replica {
	uint64_t service_hash; /* of info.service */
	struct fleet_replica info;
	enum presence presence;
	uint64_t grace_until; /* GRACE: removed unless listed again by then */
	uint64_t listed_at;   /* when its entry was last received */
	struct notice notice; /* what it says of itself */
	uint32_t permits;     /* requests that may be sent despite its limit */
	uint64_t permits_until;
	uint64_t no_permit_until; /* for requests that have another replica */
	struct replica_load local_load;
	/* A ring buffer; nsent_prompts counts all that were added. */
	struct sent_prompt sent_prompts[DIRECTORY_SENT_PROMPTS_MAX];
	uint32_t nsent_prompts;
	double prefill_share;	   /* of the window that prefill may take */
	uint64_t prefill_share_at; /* when prefill_share was last set */
	uint64_t prefill_share_hold_until; /* no further decrease before */
	struct peer_load *peer_loads;	   /* of peers that use the replica */
	uint32_t npeer_loads;
	uint32_t peer_loads_size;      /* allocated */
	uint64_t adapters_hash_sent;   /* of those last sent to peers */
	uint32_t consecutive_failures; /* attempts that could not reach it */
	uint64_t avoid_until;
	double error_rate;	/* moving average of failed attempts, 0 to 1 */
	uint64_t error_rate_at; /* when error_rate was last updated */
	struct exclusion exclusions[DIRECTORY_EXCLUSIONS_MAX];
	UT_hash_handle hh;
};

struct directory {
	struct directory_replica *replicas;
	struct kept_notice *kept_notices; /* of replicas that were removed */
	revision_t revision;		  /* of the newest entry */
	uint64_t digest; /* hash of the entries and their revisions */
	int synced;	 /* the whole list has been read */
	uint64_t service_down_since; /* of the list, TIME_NEVER: it is up */
	uint64_t service_up_at;	     /* when the list service last recovered */
	uint64_t prefill_window_ns;  /* over which recent prefill is summed */
	uint64_t *peer_heard_at;     /* by index: time of the latest report */
	uint32_t npeers;
};

void directory_init(struct directory *);
void directory_clear(struct directory *);
struct directory_replica *directory_find(
    const struct directory *, const char *);
/*
 * Adds or updates a replica from its list entry; one that is older than the
 * known one, as a copy of the list may have, changes nothing.  Adapters and the
 * order count are kept while the replica has not restarted: other sources are
 * newer.
 */
struct directory_replica *directory_put(
    struct directory *, const struct fleet_replica *);
/*
 * Handles the removal of an entry at a time.  While the list service is down
 * or has just recovered, the replica stays usable for a grace period.
 */
void directory_remove(struct directory *, uint64_t, const char *);
/* Records whether the list service answers. */
void directory_set_service_up(struct directory *, uint64_t, int);
/* Remaining removal grace period in ns; extended to what a peer reports. */
uint64_t directory_removal_grace_left(const struct directory *, uint64_t);
void directory_extend_removal_grace(struct directory *, uint64_t, uint64_t);
/* Removes replicas whose grace period is over, and frees idle removed ones. */
void directory_tick(struct directory *, uint64_t);
/*
 * Whether a replica belongs to the service and holds the model, "" for any;
 * the hashes are those of the names.
 */
int directory_serves(const struct directory_replica *, const char *, uint64_t);
int directory_holds(const struct directory_replica *, const char *, uint64_t);
/* Whether a replica runs what it has and takes nothing new any more. */
int directory_is_leaving(const struct directory_replica *);
/* Until when a replica takes no requests, by its own word; 0: it takes them. */
uint64_t directory_closed_until(const struct directory_replica *, uint64_t);
/* Requests a second that it takes from all processes, 0: any number. */
double directory_limit(const struct directory_replica *);
/* Adds a permit for one request, valid until a time, and takes one. */
void directory_add_permit(struct directory_replica *, uint64_t, uint64_t);
void directory_take_permit(struct directory_replica *, uint64_t);
/* Whether a request may be sent: there is no limit, or a permit. */
int directory_permitted(const struct directory_replica *, uint64_t);
/* Whether a replica is in service, apart from when it takes requests. */
int directory_in_service(const struct directory_replica *, uint64_t);
/* Whether new requests may be sent to a replica. */
int directory_usable(const struct directory_replica *, uint64_t);
/* Sends no requests for a model or adapter to the replica until a time. */
void directory_exclude(struct directory_replica *, const char *, uint64_t);
int directory_excluded(
    const struct directory_replica *, uint64_t, const char *);
/* A peer, by index, reports its load: drops its previous report first. */
void directory_reset_peer_load(struct directory *, uint64_t, uint32_t);
void directory_set_peer_load(
    struct directory *, uint32_t, const char *, const struct replica_load *);
/*
 * Removes an entry that another process reports as gone; it stays usable for a
 * grace period in ns, 0 for none, whatever this process knows of the service.
 */
void directory_remove_reported(
    struct directory *, uint64_t, const char *, uint64_t);
/* Load of the peers that a function selects by index. */
struct replica_load directory_selected_load(const struct directory *, uint64_t,
    const struct directory_replica *, int (*)(const void *, uint32_t),
    const void *);
/* Load of one peer or of all peers, from reports that are still valid. */
struct replica_load directory_peer_load(const struct directory *, uint64_t,
    const struct directory_replica *, uint32_t);
struct replica_load directory_peers_load(
    const struct directory *, uint64_t, const struct directory_replica *);
/* Load of this process and of peers with a valid report. */
struct replica_load directory_total_load(
    const struct directory *, uint64_t, const struct directory_replica *);
/* Records a prompt that this process sent, with its prefill time in us. */
void directory_prompt_sent(struct directory_replica *, uint64_t, uint32_t);
/* Prefill time of the prompts that this process sent within the window. */
uint32_t directory_recent_prefill_us(
    const struct directory *, uint64_t, const struct directory_replica *);
/* Share of the window that prefill may take; may exceed 1. */
double directory_prefill_share(const struct directory_replica *, uint64_t);
/* A stream's event gap exceeded the target: lowers the prefill share. */
void directory_stream_paused(
    const struct directory *, uint64_t, struct directory_replica *);
/* Records an attempt's end; an unreachable replica is avoided for a while. */
void directory_attempt_succeeded(struct directory_replica *, uint64_t);
void directory_attempt_failed(struct directory_replica *, uint64_t, int);
/* The attempts failed for a reason that was not the replica's. */
void directory_forget_failures(struct directory_replica *);

#endif
