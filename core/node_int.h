/* Data structures shared by the files of a node. */
#ifndef NODE_INT_H
#define NODE_INT_H

#include <uthash.h>

#include "node.h"

#define NODE_GATES_MAX 8
#define NODE_ENDED_PROCESSES_MAX 64

/* What is known of one cell, owned here or not. */
struct cell_state {
	TAILQ_ENTRY(cell_state) entry;
	struct cell_core *cell;
	struct msg_load table; /* latest whole table */
	struct node_id owner;  /* who told it, addr "" for nobody */
	uint64_t owner_heard;  /* from the owner */
	uint64_t next_announce_at;
	uint64_t next_pull_at; /* a peer for the table, while none is known */
	uint64_t sent_hash;    /* hash of what gates were told last */
	uint32_t load;	       /* latest load number */
	int contending;
};

/* A gate that says HELLO. */
struct gate_info {
	char addr[ADDR_SIZE];
	uint64_t last_heard;
};

/* One chunk of the configuration in force or being fetched. */
struct chunk {
	uint64_t hash; /* 0: empty */
	char *text;
};

enum head_step {
	HEAD_IDLE,
	HEAD_READING, /* GET config/head under way */
	HEAD_FETCHING /* chunks under way */
};

enum ticket_step {
	TICKET_IDLE,
	TICKET_READ_HEAD,    /* waiting for a fresh head */
	TICKET_WRITE_CHUNKS, /* writing chunks */
	TICKET_WRITE_HEAD,   /* writing the head */
	TICKET_AWAIT_PEER    /* waiting for a peer to hold it */
};

/* A configuration being put together from chunks. */
struct conf_fetch {
	uint64_t revision; /* 0: none */
	uint64_t nonce;
	uint64_t hashes[CONF_CHUNKS];
	char *texts[CONF_CHUNKS];
	uint64_t started_at;
	uint64_t requested_at;
	char peer[ADDR_SIZE]; /* "" : from the service */
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

	/* configuration in force */
	struct conf *conf;
	struct chunk chunks[CONF_CHUNKS];
	uint64_t nonce;
	uint64_t conf_version; /* hash over models */
	uint64_t service_version;

	/* the head in the service */
	uint64_t head_revision;	     /* of the key, for compare-and-swap */
	uint64_t head_conf_revision; /* configuration revision it names */
	uint64_t head_op;
	uint64_t head_requested_at; /* when the last read was sent */
	uint64_t head_fresh_at;	    /* the head was at least as new as then */
	uint64_t watch_op;
	uint64_t next_poll_at;
	uint64_t next_watch_at; /* earliest next watch */
	int head_known; /* the service has told the head, or its absence */
	struct conf_fetch fetch;
	uint64_t fetch_ops[CONF_CHUNKS];

	/* tickets */
	TAILQ_HEAD(, ticket) tickets;
	enum ticket_step ticket_step;
	uint64_t ticket_op;
	uint64_t chunk_ops[CONF_CHUNKS];
	struct conf *pending_conf; /* the ticket's result */
	struct chunk pending_chunks[CONF_CHUNKS];
	uint64_t pending_nonce;
	uint64_t ticket_expect; /* revision of the head it was applied to */
	uint64_t ticket_number;
	uint64_t retry_at;

	/* what was heard */
	uint64_t kv_answered_at;
	uint64_t started_at;
	struct {
		struct node_id id;
		uint64_t since;
	} ended_processes[NODE_ENDED_PROCESSES_MAX];
	uint32_t nended_processes;
	char (*listed_vms)[ADDR_SIZE];
	size_t nlisted_vms;
	char (*known_vms)[ADDR_SIZE];
	size_t nknown_vms;
	uint64_t now; /* time of the event in hand, for callbacks */
};

/* node_conf.c */
void node_conf_tick(struct node *, uint64_t, struct node_out *);
int node_conf_handle_kv_result(
    struct node *, uint64_t, const struct kv_result *, struct node_out *);
void node_conf_handle_message(
    struct node *, uint64_t, const struct msg *, struct node_out *);
void node_conf_peer_revision(struct node *, uint64_t, const struct node_id *,
    uint64_t, struct node_out *);
/* Reads the head now; a ticket waits for it. */
void node_head_read(struct node *, struct node_out *);
/*
 * Whether the configuration in force is as new as the service's at that time;
 * reads the head again otherwise.
 */
int node_conf_is_current(struct node *, uint64_t);
void node_conf_activate(struct node *, uint64_t, struct conf *, struct chunk *,
    uint64_t, struct node_out *);
void node_conf_clear(struct node *);
int node_head_parse(const char *, uint64_t *, uint64_t *, uint64_t *);

/* node_ticket.c */
void node_ticket_tick(struct node *, uint64_t, struct node_out *);
int node_ticket_handle_kv_result(
    struct node *, uint64_t, const struct kv_result *, struct node_out *);
/* The head is fresh and its configuration in force. */
void node_ticket_head_ready(struct node *, uint64_t, struct node_out *);
void node_ticket_clear(struct node *);

/* node_gate.c */
void node_gate_handle_hello(
    struct node *, uint64_t, const struct msg *, struct node_out *);
void node_gate_send_cells(struct node *, uint64_t, struct node_out *);
void node_gate_update_versions(struct node *);

/* node_cell.c */
void node_cells_configure(struct node *, uint64_t, struct node_out *);
void node_cells_tick(struct node *, uint64_t, struct node_out *);
void node_cells_handle_message(
    struct node *, uint64_t, const struct msg *, struct node_out *);
struct cell_state *node_find_cell(struct node *, const char *);
struct cell_out node_cell_out(struct node_out *);
/* Least time between a gate's SYNCs and REPORTs, from the number of nodes. */
uint64_t node_pace(const struct node *);

#endif
