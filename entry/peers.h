/*
 * The other entry processes.  Peers are discovered through the key-value store.
 * Each process reports its work and demand to them, and pulls from them the
 * configuration or list of replicas when it is behind.
 */
#ifndef PEERS_H
#define PEERS_H

#include "entry_int.h"
#include "msg.h"

#define PEERS_KEY_PREFIX "peer/"

struct peers;

/* Opens the bus and announces this process; NULL with the error filled in. */
struct peers *peers_create(struct entry *, struct err *);
void peers_destroy(struct peers *);
/* Adds the peer on a VM from its key in the store; the value is JSON. */
void peers_set_listed(struct peers *, const char *, const char *);
/* The peer on a VM has no key in the store any more. */
void peers_clear_listed(struct peers *, const char *);
/* The key-value service is of an era; where it rises, keys are written again.
 */
void peers_store_era(struct peers *, uint64_t);
/* Renews the announcement, elects hubs, sends reports, expires peers. */
void peers_tick(struct peers *);
/* This process is stopping: removes its key and reports it to the peers. */
void peers_leave(struct peers *);
/* Sends a message to every peer; takes ownership of it. */
void peers_broadcast(struct peers *, struct msg *);
/*
 * Sends a message to every peer, in a large fleet through the relays, which
 * pass it on; takes ownership of it.
 */
void peers_send_down(struct peers *, struct msg *);
/* Sends a message to the peer it is addressed to; takes ownership of it. */
void peers_send(struct peers *, struct msg *);
/* Brings the next report forward after a change of this process's load. */
void peers_report_soon(struct peers *);
/* Time for which the local list has differed from a hub's, in ns. */
uint64_t peers_list_differs_ns(const struct peers *);
/* Whether this process watches the list of replicas on behalf of others. */
int peers_is_active_hub(const struct peers *);
/*
 * Sends records of streams towards the first hub, which writes them for all;
 * -1 if this process is to write them.
 */
int peers_send_records(struct peers *, const char *, size_t);
/* Whether what a peer sends for the first hub is passed on. */
int peers_relays_for(const struct peers *, const char *);
/* Whether it is the one that acts where one hub suffices. */
int peers_is_first_hub(const struct peers *);
/* Whether reports and lists go through relays, as in a large fleet. */
int peers_use_relays(const struct peers *);
/*
 * The process that keeps the pool of permits for this one, "" if it does so
 * itself, and whether that one lends what it has to another.
 */
const char *peers_permit_pool(const struct peers *, int *);
/* Whether others wait for this process: always so in a small fleet. */
int peers_has_duty(const struct peers *);
/* Whether the lists come from hubs alone, as in a large fleet. */
int peers_follow_hubs(const struct peers *);
/* As a hub or relay, passes changes of the list on. */
void peers_push_changes(struct peers *, const char *, size_t);
/* As a hub or relay of a large fleet, passes the configuration on. */
void peers_push_config(struct peers *);
/* Newest version of the configuration that this process or a peer has. */
uint64_t peers_newest_config(const struct peers *);
/* Number of known peers, not counting this process. */
uint32_t peers_count(const struct peers *);
/*
 * Calls a function with the bus address of each peer that may be running and is
 * not stopping, and whether it is in the data centre of this process.
 */
void peers_for_each(
    const struct peers *, void (*)(void *, const char *, int), void *);
struct share_candidate;
/*
 * Fills in all processes that may keep pools, this one included, up to a
 * number; returns how many there are.
 */
size_t peers_fill_candidates(
    const struct peers *, struct share_candidate *, size_t);
/* Whether a peer has an IP address. */
int peers_has_ip(const struct peers *, const char *);
/* Number of messages to or of peers that were dropped or malformed. */
uint64_t peers_dropped_count(const struct peers *);
/* Index of the peer at a bus address as a report source; UINT32_MAX if none. */
uint32_t peers_index(const struct peers *, const char *);
/* Rank of this process among the hubs; above HUBS_MAX if it is not a hub. */
uint32_t peers_candidate_rank(const struct peers *);
/* Id allocator shared by all store operations of this process. */
struct kv_ids *peers_kv_ids(struct peers *);

#endif
