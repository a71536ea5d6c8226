/*
 * This process's use of the platform's key-value service: the lists it
 * watches, and the operations of its decisions.
 */
#ifndef SESSION_H
#define SESSION_H

#include "entry_int.h"
#include "kvop.h"

struct session *session_create(struct entry *);
/* Begins no more calls; then queries_end() ends those under way. */
void session_close(struct session *);
void session_destroy(struct session *);
/* Takes over the operations; each is answered through session_answer. */
void session_send(struct session *, struct kv_ops *,
    void (*)(void *, const struct kv_result *), void *);
/* Whether the service answered the last call. */
int session_is_up(const struct session *);
uint64_t session_calls(const struct session *);
/* The list of replicas as this process holds it, for a peer. */
char *session_list_text(const struct session *);
/*
 * A peer's list, or its changes; -1 when one before them is missing, so that
 * the whole list is needed.
 */
int session_apply_text(struct session *, const char *, size_t);
/* Begins or ends following the list of replicas. */
void session_tick(struct session *);

#endif
