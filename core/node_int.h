/* Internal data structures and interfaces of a node. */
#ifndef NODE_INT_H
#define NODE_INT_H

#include <uthash.h>

#include "node.h"

#define NODE_GATES_MAX 8
#define NODE_ENDED_PROCESSES_MAX 64

/* State of a cell, owned by this node or another. */
struct cell_state {
	TAILQ_ENTRY(cell_state) entry;
	struct cell_core *cell;
	struct msg_load table;	 /* latest replica table */
	struct node_id owner;	 /* sender of the load; addr "": none */
	uint64_t owner_heard_at; /* latest message from the owner */
	uint64_t next_announce_at;
	uint64_t next_pull_at; /* while no table is known */
	uint64_t sent_hash;    /* hash of the latest update sent to gates */
	uint32_t load;	       /* outstanding work per slot, percent */
	int is_candidate;      /* trying to become the owner */
};

/* A gate that sends HELLO to this node. */
struct gate_info {
	char addr[ADDR_SIZE];
	uint64_t last_heard_at;
};

/* A chunk of a configuration. */
struct chunk {
	uint64_t hash; /* 0: empty */
	char *text;
};

enum head_step {
	HEAD_IDLE,
	HEAD_READING, /* GET of config/head in progress */
	HEAD_FETCHING /* GETs of chunks in progress */
};

enum ticket_step {
	TICKET_IDLE,
	TICKET_READ_HEAD,    /* waiting for an up-to-date head */
	TICKET_WRITE_CHUNKS, /* writing chunks */
	TICKET_WRITE_HEAD,   /* writing the head */
	TICKET_AWAIT_PEER    /* waiting for a peer to have the result */
};

/* A configuration whose chunks are being fetched. */
struct conf_fetch {
	uint64_t revision; /* 0: none */
	uint64_t nonce;
	uint64_t hashes[CONF_CHUNKS];
	char *texts[CONF_CHUNKS];
	uint64_t started_at;
	uint64_t requested_at;
	char peer[ADDR_SIZE]; /* "": key-value service */
};

struct ticket {
	TAILQ_ENTRY(ticket) entry;
	json_t *doc;
	uint64_t cookie;
	uint64_t deadline;
};

struct node {
	struct node_config config;
	unsigned short rand_state[3];
	struct kv_ids ids;
	struct member *member;
	TAILQ_HEAD(, cell_state) cells;
	struct gate_info gates[NODE_GATES_MAX];
	uint32_t ngates;

	/* configuration in effect */
	struct conf *conf;
	struct chunk chunks[CONF_CHUNKS];
	uint64_t nonce;
	uint64_t models_hash;	/* set hash of the models */
	uint64_t services_hash; /* set hash of the services */

	/* config/head in the key-value service */
	uint64_t head_revision;	     /* key revision for compare-and-swap */
	uint64_t head_conf_revision; /* configuration revision in it */
	uint64_t head_op;
	uint64_t head_requested_at; /* time of the last read */
	uint64_t head_fresh_at;	    /* the head is at least as recent as this */
	uint64_t watch_op;
	uint64_t next_poll_at;
	uint64_t next_watch_at; /* earliest start of a watch */
	int head_known;		/* the head, or its absence, was read */
	struct conf_fetch fetch;
	uint64_t fetch_ops[CONF_CHUNKS];

	/* tickets; the first one is being processed */
	TAILQ_HEAD(, ticket) tickets;
	enum ticket_step ticket_step;
	uint64_t ticket_op;
	uint64_t chunk_ops[CONF_CHUNKS];
	struct conf *pending_conf; /* result of the ticket */
	struct chunk pending_chunks[CONF_CHUNKS];
	uint64_t pending_nonce;
	uint64_t ticket_expect; /* key revision of the head it was applied to */
	uint64_t ticket_number;
	uint64_t retry_at;

	/* contact with other processes */
	uint64_t kv_answered_at; /* last response of the service */
	uint64_t started_at;
	struct {
		struct node_id id;
		uint64_t since;
	} ended_processes[NODE_ENDED_PROCESSES_MAX];
	uint32_t nended_processes;
	char (*listed_vms)[ADDR_SIZE];
	size_t nlisted_vms;
	char (*known_vms)[ADDR_SIZE]; /* all VMs that were ever listed */
	size_t nknown_vms;
	uint64_t now; /* time of the current event, for callbacks */
};

/* node_conf.c */
void node_conf_tick(struct node *, uint64_t, struct node_out *);
int node_conf_handle_kv_result(
    struct node *, uint64_t, const struct kv_result *, struct node_out *);
void node_conf_handle_message(
    struct node *, uint64_t, const struct msg *, struct node_out *);
void node_conf_peer_revision(struct node *, uint64_t, const struct node_id *,
    uint64_t, struct node_out *);
/* Reads the head, unless a read is in progress. */
void node_head_read(struct node *, struct node_out *);
/*
 * Whether the configuration in effect is at least as new as the service's was
 * at the given time; schedules a read of the head if that is unknown.
 */
int node_conf_is_current(struct node *, uint64_t);
/* Puts a configuration into effect; takes ownership of it and its chunks. */
void node_conf_activate(struct node *, uint64_t, struct conf *, struct chunk *,
    uint64_t, struct node_out *);
void node_conf_clear(struct node *);
/* Parses revision, nonce and CONF_CHUNKS hashes; returns 0 or -1. */
int node_head_parse(const char *, uint64_t *, uint64_t *, uint64_t *);

/* node_ticket.c */
void node_ticket_tick(struct node *, uint64_t, struct node_out *);
int node_ticket_handle_kv_result(
    struct node *, uint64_t, const struct kv_result *, struct node_out *);
/* Called when the head is up to date and its configuration in effect. */
void node_ticket_head_ready(struct node *, uint64_t, struct node_out *);
void node_ticket_clear(struct node *);

/* node_gate.c */
void node_gate_handle_hello(
    struct node *, uint64_t, const struct msg *, struct node_out *);
void node_gate_send_cells(struct node *, uint64_t, struct node_out *);
void node_gate_update_hashes(struct node *);

/* node_cell.c */
void node_cells_configure(struct node *, uint64_t, struct node_out *);
void node_cells_tick(struct node *, uint64_t, struct node_out *);
void node_cells_handle_message(
    struct node *, uint64_t, const struct msg *, struct node_out *);
struct cell_state *node_find_cell(struct node *, const char *);
struct cell_out node_cell_out(struct node_out *);
/* Minimum interval of a gate's SYNC and REPORT, by the number of nodes. */
uint64_t node_sync_interval_ns(const struct node *);

#endif
