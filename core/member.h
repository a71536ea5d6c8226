/*
 * Membership of control processes, a SWIM protocol: probes a random peer each
 * period, has other peers probe it when it does not respond, and piggybacks
 * state changes on the probes.  Failure detection may be wrong, so nothing that
 * affects safety depends on it.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include "base.h"
#include "msg.h"

struct member;

struct member_config {
	uint64_t probe_interval_ns;  /* between direct probes */
	uint64_t ack_timeout_ns;     /* timeout of a direct probe */
	uint64_t suspect_timeout_ns; /* until a suspect is declared dead */
	uint64_t dead_retention_ns;  /* until a dead peer is deleted */
	uint32_t indirect_probes;    /* per direct probe without an answer */
};

struct member_info {
	struct node_id id;
	enum member_state state;
	uint64_t revision;	/* latest configuration it announced */
	uint64_t last_heard_at; /* time of the last direct message */
};

void member_config_default(struct member_config *);
/* Creates the state of this process; the number seeds its random choices. */
struct member *member_create(
    const struct member_config *, const struct node_id *, uint64_t);
void member_destroy(struct member *);
/* Adds an address from the platform's list of VMs. */
void member_add_seed(struct member *, uint64_t, const char *);
/*
 * Marks a peer as leaving, as the platform's list does.  The state is not
 * reverted while its process lives.
 */
void member_mark_leaving(struct member *, uint64_t, const char *);
/*
 * Sets whether the platform's list contains the address.  A dead peer is only
 * deleted once its VM is no longer listed.
 */
void member_set_listed(struct member *, const char *, int);
/* Sets the configuration revision that probes announce. */
void member_set_revision(struct member *, uint64_t);
/* Handles PING, PING_REQ and ACK. */
void member_handle_message(
    struct member *, uint64_t, const struct msg *, struct msg_list *);
void member_tick(struct member *, uint64_t, struct msg_list *);
/* Announces to peers that this process leaves. */
void member_leave(struct member *, struct msg_list *);

/* Calls a function for this process and for each peer. */
void member_foreach(const struct member *,
    void (*)(void *, const struct member_info *), void *);
/* State of an incarnation; dead once a later one was seen. */
enum member_state member_get_state(
    const struct member *, const char *, uint64_t);
/* Latest incarnation seen at an address, or 0. */
uint64_t member_latest_incarnation(const struct member *, const char *);
/* Chooses up to n random live peers; returns their number. */
uint32_t member_sample(struct member *, uint32_t, char (*)[ADDR_SIZE]);
/* Number of live peers, without this process. */
uint32_t member_count_live(const struct member *);
/* Number of peers that sent a message at or after the time. */
uint32_t member_count_heard(const struct member *, uint64_t);

#endif
