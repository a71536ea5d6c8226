/* Calls and watched lists of the session with the key-value store. */
#ifndef SESSION_INT_H
#define SESSION_INT_H

#include "query.h"
#include "store_check.h"
#include "removals.h"
#include "store.h"

/*
 * Gets the status and body of an answer, and the service's era that it names;
 * status 0 if there was none, or it came from a former era.
 */
typedef void (*session_callback)(void *, int, uint64_t, const char *, size_t);

#define GRACE_UNKNOWN TIME_NEVER /* this process's own store tells */

enum list_id {
	LIST_CONFIG,
	LIST_REPLICAS,
	LIST_PEERS,
	LIST__MAX
};

/* A key of a list with its value in the store. */
struct list_key {
	char key[KV_KEY_SIZE];
	char *value; /* NULL for an entry that cannot be used */
	size_t len;
	revision_t revision;
	uint32_t generation; /* of the latest read that returned it */
	UT_hash_handle hh;
};

/* A key that was written or removed, to be passed on to peers. */
struct list_change {
	char key[KV_KEY_SIZE];
	revision_t revision;
};

/* Keys below a prefix: read in full, then watched or polled. */
struct list {
	revision_t revision;	  /* up to which it is current, 0 if unknown */
	revision_t read_revision; /* at the first page of the read, 0 if none */
	revision_t part_at;	  /* of a whole text of which parts are due */
	revision_t changed_from;  /* before the first of the changes */
	struct session *s;
	enum list_id id;
	const char *prefix;
	ev_timer retry;
	double retry_s;	 /* delay before the next attempt after a failure */
	double poll_s;	 /* delay before the next poll */
	int polling;	 /* waiting for the next poll */
	int idle;	 /* neither read nor watched: peers send it */
	uint64_t due_at; /* when it is read, if they have not sent it */
	int watching;	 /* the latest watch has not been answered */
	uint64_t watch_number; /* of that watch */
	uint64_t watched_at;   /* when it was sent */
	uint64_t grace_ns;     /* for which a removed replica stays usable */
	int stale_read;	       /* the pending read may return old data */
	uint32_t generation;   /* number of the latest full read */
	char page_after[STORE_ESCAPED_KEY_SIZE]; /* last key of a page */
	char part_after[KV_KEY_SIZE]; /* last key of its latest part */
	struct list_key *keys;
	int advanced; /* the revision has changed since the latest push */
	uint32_t nchanges;
	uint32_t changes_size; /* allocated */
	struct list_change *changes;
};

struct session {
	struct entry *e;
	struct list lists[LIST__MAX];
	struct removals removals; /* of replicas */
	uint64_t era;		  /* of the service, 0: not known */
	uint64_t ncalls;
	uint64_t started_at;
	uint64_t answered_at;	/* latest answer of the store */
	uint64_t unanswered_at; /* when a call last ended without an answer */
	int probing;		/* a probe is under way */
	struct store_check check;
	uint64_t read_replicas_at; /* earliest time of such a read again */
	int peers_known;   /* the peers have been read, or could not be */
	int peers_read;	   /* they have been read since the process started */
	uint32_t failures; /* consecutive calls without an answer */
	int up;
	int closing;
};

/*
 * Sends a call and clears it; the time-out is in seconds.  The callback gets
 * the response later.
 */
void session_call(
    struct session *, struct store_request *, double, session_callback, void *);

/* Sends a cheap call if it is to be known whether the store answers. */
void session_probe(struct session *);

/* How the entries below a prefix are applied; keep and drop may be NULL. */
struct list_handler {
	const char *prefix;
	/*
	 * What is kept of a value, for put() and for peers; NULL for an entry
	 * that cannot be used, which counts as removed.
	 */
	char *(*keep)(const struct list *, const struct store_item *);
	void (*put)(struct list *, const struct list_key *);
	void (*drop)(struct list *, const struct list_key *);
};

/* list_entries.c */
extern const struct list_handler list_handlers[LIST__MAX];
/* lists.c */
/* Starts reading all lists. */
void lists_start(struct session *);
/* The service went on from an older copy: reads what was watched anew. */
void lists_restart(struct session *);
/* Stops the timers and frees all keys. */
void lists_stop(struct session *);
/* list_keys.c */
/* Sets the value of a key, unless the local one is as new. */
void list_put(struct list *, const struct store_item *);
/* Applies one entry, or its removal if it has no value. */
void list_apply_item(struct list *, const struct store_item *);
/*
 * Removes and frees a key that is gone as of a revision; its replica stays
 * usable for a grace period in ns.
 */
void list_remove_key(struct list *, struct list_key *, revision_t, uint64_t);
/* replica_sync.c */
/* Records who told the list of replicas that is now in use. */
void list_set_source(struct session *, const char *);
/* Whether an item that the store told as of a revision was removed since. */
int list_is_removed(const struct list *, const struct store_item *, revision_t);
/* Records that the list's revision changes, and a change to be passed on. */
void list_set_advanced(struct list *);
void list_add_change(struct list *, const char *, revision_t);
/*
 * Passes the recorded changes of the replicas on, with the time for which
 * removed ones stay usable.
 */
void session_push_changes(struct session *, uint64_t);

#endif
