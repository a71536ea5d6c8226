/*
 * The other entry processes: found through the platform's service, told of
 * this process's work and demand, asked for what this one has missed.
 */
#ifndef PEERS_H
#define PEERS_H

#include "entry_int.h"
#include "msg.h"

#define PEERS_KEY_PREFIX "peer/"

struct peers;

struct peers *peers_create(struct entry *, struct err *);
void peers_destroy(struct peers *);
/* A peer's key as the platform's service holds it. */
void peers_set_listed(struct peers *, const char *, const char *);
void peers_clear_listed(struct peers *, const char *);
void peers_tick(struct peers *);
/* This process is going to stop. */
void peers_leave(struct peers *);
/* Sends a message to every peer, and takes it over. */
void peers_broadcast(struct peers *, struct msg *);
/* Sends to the peer at a bus address. */
void peers_send(struct peers *, struct msg *);
/* What peers count on has changed: a report leaves shortly. */
void peers_report_soon(struct peers *);
/* Whether this process follows the list of replicas for others. */
int peers_is_active_hub(const struct peers *);
/* Passes changes of the list on to the peers that are this process's share. */
void peers_push_changes(struct peers *, const char *, size_t);
/* Peers that are listed or heard, without this process. */
uint32_t peers_count(const struct peers *);
/* Place of the peer at a bus address among the sources of reports. */
uint32_t peers_index(const struct peers *, const char *);
/* This process's place among the hubs; beyond HUBS_MAX when it is none. */
uint32_t peers_candidate_rank(const struct peers *);
/* The operations of this process on the service share one row of ids. */
struct kv_ids *peers_kv_ids(struct peers *);

#endif
