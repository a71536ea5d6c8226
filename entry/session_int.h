/* Calls and watched lists of the session with the key-value store. */
#ifndef SESSION_INT_H
#define SESSION_INT_H

#include "query.h"
#include "store.h"

enum list_id {
	LIST_CONFIG,
	LIST_REPLICAS,
	LIST_PEERS,
	LIST__MAX
};

/* A key of a list with its value in the store. */
struct list_key {
	char key[KV_KEY_SIZE];
	char *value;
	size_t len;
	uint64_t revision;
	uint32_t generation; /* of the latest read that returned it */
	UT_hash_handle hh;
};

/* Keys below a prefix: read in full, then watched or polled. */
struct list {
	struct session *s;
	enum list_id id;
	const char *prefix;
	ev_timer retry;
	double retry_s;	   /* delay before the next attempt after a failure */
	double poll_s;	   /* delay before the next poll */
	int polling;	   /* waiting for the next poll */
	int stale_read;	   /* the pending read may return old data */
	uint64_t revision; /* up to which it is current, 0 if unknown */
	uint64_t read_revision; /* at the first page of the read, 0 if none */
	uint32_t generation;	/* number of the latest full read */
	char page_after[KV_KEY_SIZE]; /* last key of the previous page */
	struct list_key *keys;
};

struct session {
	struct entry *e;
	struct list lists[LIST__MAX];
	uint64_t ncalls;
	uint32_t failures; /* consecutive calls without an answer */
	int up;
	int closing;
};

/*
 * Sends a call and clears it; the time-out is in seconds.  The callback gets
 * the response later, with status 0 if there was none.
 */
void session_call(
    struct session *, struct store_request *, double, query_callback, void *);

/* lists.c */
/* Starts reading all lists. */
void lists_start(struct session *);
/* Stops the timers and frees all keys. */
void lists_stop(struct session *);
/* Applies one entry, or its removal if it has no value. */
void list_apply_item(struct list *, const struct store_item *);
/* Removes and frees a key. */
void list_remove_key(struct list *, struct list_key *);
/* replica_sync.c */
/* Changes of the replicas since a revision as JSON, from a watch response. */
char *session_changes_text(
    const struct session *, uint64_t, const struct store_page *);

#endif
