/*
 * A large fleet in virtual time that follows a configuration and a list of
 * replicas in a store, by the rules of core/follow and core/hubs, and the
 * faults of its processes.
 */
#ifndef FOLLOW_WORLD_H
#define FOLLOW_WORLD_H

#include <sys/queue.h>

#include "follow.h"
#include "hubs.h"
#include "pulls.h"
#include "removals.h"
#include "roll_call.h"
#include "store_check.h"

#define WORLD_PROCESSES 300U
#define WORLD_ZONES 5U
#define WORLD_ZONE_SIZE (WORLD_PROCESSES / WORLD_ZONES)
#define WORLD_ENTRIES 24U /* replicas */
#define WORLD_STEP_NS (10 * NSEC_PER_MSEC)

enum world_fault {
	FAULT_NONE,
	FAULT_DEAD,
	FAULT_FROZEN,
	FAULT_CUT,	   /* neither peers nor the store are reached */
	FAULT_TURNED_AWAY, /* refused by the store */
	FAULT_NO_STORE,	   /* not answered by the store */
	FAULT_SLOW,	   /* its messages and calls take longer */
	FAULT_DEAF,	   /* its watches tell nothing */
	FAULT_STALE,	   /* history dropped; reads are answered late */
	FAULT__MAX
};

/* A list of replicas: the revision of each entry, 0 if it is not listed. */
struct replica_list {
	uint64_t entry[WORLD_ENTRIES];
	uint64_t revision;
	uint64_t digest;
};

struct list_item {
	uint32_t entry;
	int removed;
	uint64_t revision;
};

enum call_kind {
	CALL_NONE,
	CALL_READ,
	CALL_WATCH
};

/* One of the texts as a process reads and watches it in the store. */
struct feed {
	int idle;
	uint64_t revision; /* up to which it is current, 0 if unknown */
	uint64_t retry_at; /* 0: no retry is due */
	uint64_t retry_ns;
	enum call_kind call;
	uint64_t called_at;
	uint64_t read_at; /* the time whose state a read returns */
	int lost;	  /* it is not answered */
};

struct process {
	enum world_fault fault;
	uint32_t zone;
	uint32_t weight;
	uint64_t tick_at;
	uint64_t report_at;
	uint64_t link_free_at;
	/* The configuration. */
	struct follow follow;
	struct follow_sent sent[WORLD_PROCESSES];
	struct follow_answers answers;
	struct pulls pulls;
	uint64_t decoding; /* version, 0 for none */
	uint64_t decoded_at;
	/* The list. */
	struct replica_list list;
	struct follow_lists behind;
	uint64_t pull_list_at;
	struct list_item changes[WORLD_ENTRIES]; /* to be pushed */
	uint32_t nchanges;
	uint64_t changed_from;
	struct removals removals;
	/* The store. */
	struct feed feeds[FOLLOW_TEXT__MAX];
	int up;
	uint32_t failures;
	uint64_t answered_at;
	uint64_t unanswered_at;
	uint64_t probe_at; /* 0: none under way */
	struct store_check check;
	uint32_t reported_weight;
	struct roll_call roll_call;
	int tells_zone; /* that it is alive */
	/* Roles. */
	struct hub hub[WORLD_PROCESSES];
	struct hub relay[WORLD_PROCESSES];
	uint32_t my_relay;
	int knows_fleet; /* hears the relays of all data centres */
	int knew_fleet;	 /* has ever done so */
	uint32_t nhubs;
};

enum message_kind {
	MESSAGE_REPORT,
	MESSAGE_PULL,
	MESSAGE_TEXT
};

struct message {
	TAILQ_ENTRY(message) entry;
	enum message_kind kind;
	uint32_t from;
	uint32_t to;
	uint64_t due;
	enum follow_text text;
	uint64_t version; /* of the configuration */
	uint32_t weight;
	struct follow_list list;
	uint64_t list_from; /* of changes: revision before the first */
	uint64_t digest;    /* of the list at the text's revision */
	int whole;
	uint32_t nitems;
	struct list_item items[2 * WORLD_ENTRIES];
};

extern struct process *world;
extern uint64_t world_now;
extern uint64_t world_calls; /* to the store */
extern uint64_t world_texts; /* whole ones that peers sent */

/*
 * Starts a fleet, by a seed, that has the store's texts, and runs it until hubs
 * and relays have been chosen.
 */
void world_start(uint64_t);
void world_end(void);
void world_run(uint64_t);
/* Writes to the store. */
void world_write_config(void);
void world_write_entry(uint32_t);
void world_remove_entry(uint32_t);
/* A process gets the store's list, and pushes it to nobody. */
void world_set_list(uint32_t);
/* Whether a process has the store's text. */
int world_has(uint32_t, enum follow_text);
int world_is_hub(uint32_t);
int world_is_relay(uint32_t);
/* Whether any process took back an entry that it knew to be removed. */
int world_went_back(void);

/* follow_world.c */
/* A number from 0 to n - 1. */
uint32_t world_draw(uint32_t);
uint32_t process_index(const struct process *);
void process_receive_config(struct process *, uint64_t);
/* Asks a peer for a text; for the list, for its changes since a revision. */
void process_pull(struct process *, uint32_t, enum follow_text, uint64_t);
struct message *message_create(const struct process *, enum message_kind);
/* Takes the message. */
void message_send(uint32_t, uint32_t, struct message *);
/* Sends copies: a hub to all relays, a relay to its data centre. */
void message_send_down(struct process *, const struct message *);
/* follow_list.c */
void process_start_list(struct process *);
void process_set_entry(struct process *, uint32_t, uint64_t);
void process_remove_entry(struct process *, uint32_t, uint64_t);
void process_push_changes(struct process *);
void process_send_list(struct process *, uint32_t);
/* Returns whether a request was for changes that are known. */
int process_answer_changes(struct process *, const struct message *);
/* Asks for changes since a revision, 0 for the whole list, now and then. */
void process_pull_list(struct process *, uint32_t, uint64_t);
void process_apply_list(struct process *, const struct message *);
/* follow_store.c */
void store_start(void);
void store_tick(struct process *);    /* starts calls that are due */
void store_answers(struct process *); /* ends calls that are answered */
void store_read(struct process *, enum follow_text);
uint64_t store_version(void);
const struct replica_list *store_list(void);

#endif
