/*
 * Membership of control processes: probes one random peer each period, asks
 * others to probe it when it does not answer, and spreads what is learnt on
 * the probes.  A hint only; nothing unsafe rests on it.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include "base.h"
#include "msg.h"

struct member;

struct member_config {
	uint64_t period_ns;  /* between probes */
	uint64_t ack_ns;     /* for a direct answer */
	uint64_t suspect_ns; /* until a suspect is held to be dead */
	uint64_t forget_ns;  /* until a dead peer is forgotten */
	uint32_t relays;     /* peers asked to probe another */
};

struct member_info {
	struct node_id id;
	enum member_state state;
	uint64_t revision;   /* configuration it last told of */
	uint64_t last_heard; /* last direct message */
};

void member_config_default(struct member_config *);
struct member *member_create(
    const struct member_config *, const struct node_id *, uint64_t);
void member_destroy(struct member *);
/* Learns of an address from the platform's list. */
void member_add_seed(struct member *, uint64_t, const char *);
/* The platform's list marks the address as leaving; does not flap back. */
void member_mark_leaving(struct member *, uint64_t, const char *);
/* Whether the platform's list names the address; decides on VM loss. */
void member_set_listed(struct member *, const char *, int);
/* Configuration revision told on every probe. */
void member_set_revision(struct member *, uint64_t);
/* Handles PING, PING_REQ and ACK. */
void member_handle_message(
    struct member *, uint64_t, const struct msg *, struct msg_list *);
void member_tick(struct member *, uint64_t, struct msg_list *);
/* Announces that this process leaves. */
void member_leave(struct member *, struct msg_list *);

/* Calls back for each peer and for this process itself. */
void member_foreach(const struct member *,
    void (*)(void *, const struct member_info *), void *);
/* State of an incarnation: dead when a later one was seen. */
enum member_state member_get_state(
    const struct member *, const char *, uint64_t);
/* Latest incarnation seen at an address, 0 when none was. */
uint64_t member_latest_incarnation(const struct member *, const char *);
/* Up to n live peers drawn at random; returns how many. */
uint32_t member_sample(struct member *, uint32_t, char (*)[ADDR_SIZE]);
/* Live peers, without this process. */
uint32_t member_count_live(const struct member *);
/* Peers heard directly at or after the time. */
uint32_t member_count_heard(const struct member *, uint64_t);

#endif
