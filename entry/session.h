/*
 * Session with the platform's key-value store: watched lists, and operations
 * such as leases and compare-and-set writes.
 */
#ifndef SESSION_H
#define SESSION_H

#include "entry_int.h"
#include "kv_op.h"

struct store_request;

/* Starts reading the lists. */
struct session *session_create(struct entry *);
/* Starts no more calls; queries_cancel() then ends the pending ones. */
void session_close(struct session *);
void session_destroy(struct session *);
/* Sends the operations and takes ownership; the callback gets each result. */
void session_send(struct session *, struct kv_ops *,
    void (*)(void *, const struct kv_result *), void *);
/*
 * Sends a write and clears it; the callback gets the HTTP status, 0 for none.
 */
void session_write(
    struct session *, struct store_request *, void (*)(void *, int), void *);
/* A process of the data centre says that the store turns it away. */
void session_doubt_store(struct session *);
/* Whether the store answers, by the latest calls. */
int session_is_up(const struct session *);
/* Whether the list of processes has been read since this process started. */
int session_has_read_peers(const struct session *);
/* Calls made to the store since the process started. */
uint64_t session_calls(const struct session *);
enum text_result {
	TEXT_APPLIED,	     /* or of no use */
	TEXT_MISSES_CHANGES, /* earlier changes are missing here */
	TEXT_DIFFERS	     /* applied, but the lists differ */
};

/*
 * Applies a text of the list of replicas from a peer at an address.  A text
 * that cannot be read is made up for by reading the list from the store.
 */
enum text_result session_apply_text(
    struct session *, const char *, size_t, const char *);
/*
 * Starts reading lists whose turn has come: once the peers are known, when this
 * process becomes a hub, or when no peer has sent them in time.
 */
void session_tick(struct session *);
/* Reads the list of replicas from the store, unless it is being read. */
void session_read_replicas(struct session *);
/* The same for a hub, in place of its watch, whose changes may be lost. */
void session_renew_replicas(struct session *);
/* Reads the configuration from the store. */
void session_read_config(struct session *);

#endif
