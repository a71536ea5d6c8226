/*
 * One cell in a control process.  The owner of the cell schedules requests,
 * maintains the memory ledgers of the backend servers, places models and
 * sends load and unload orders to engines.  Deterministic: time and events
 * are arguments; messages, operations and orders are output.
 */
#ifndef CELL_H
#define CELL_H

#include "conf.h"
#include "kv_op.h"
#include "msg.h"
#include "ownership.h"
#include "place.h"
#include "sched.h"

struct cell_core;

enum order_kind {
	ORDER_INDEX, /* lists loaded models and adapters */
	ORDER_LOAD,
	ORDER_UNLOAD,
	ORDER_ADAPTER_LOAD,
	ORDER_ADAPTER_UNLOAD,
	ORDER__MAX
};

enum order_outcome {
	ORDER_DONE,
	ORDER_STALE,   /* refused: the engine has seen a later fencing token */
	ORDER_REFUSED, /* refused for another reason */
	ORDER_UNKNOWN  /* no answer in time; may still take effect */
};

/* An order to an engine.  Times are on the control process's clock. */
struct order {
	TAILQ_ENTRY(order) entry;
	uint64_t id;
	enum order_kind kind;
	char backend[NAME_SIZE];
	char addr[ADDR_SIZE];
	char model[NAME_SIZE];
	char version[NAME_SIZE];
	char adapter[NAME_SIZE];
	uint32_t accelerator;
	uint64_t memory_mb;
	uint64_t fence;		     /* fencing token */
	uint64_t engine_incarnation; /* valid for this incarnation only */
	uint64_t send_until;	     /* must not be sent later */
	uint64_t deadline; /* ORDER_UNKNOWN without an answer by then */
};

TAILQ_HEAD(orders, order);

/* One model or adapter that an engine reports as loaded. */
struct order_loaded {
	char model[NAME_SIZE]; /* adapters: the base model */
	char version[NAME_SIZE];
	char adapter[NAME_SIZE]; /* "" for a model */
	uint32_t accelerator;
	uint64_t memory_mb;
};

struct order_result {
	uint64_t id;
	enum order_outcome outcome;
	uint64_t engine_incarnation; /* 0 when not reported */
	uint32_t batch; /* INDEX: concurrent sequences, 0 unknown */
	uint32_t nloaded;
	struct order_loaded *loaded; /* INDEX */
};

struct cell_config {
	struct ownership_config ownership;
	struct sched_config sched;
	struct place_config place;
	place_policy policy;	/* default: place_next_move() */
	const void *policy_ctx; /* NULL: the place member */
	uint64_t order_timeout_ns;
	uint64_t order_in_doubt_ns; /* longest delay of an unanswered order */
	uint64_t poll_interval_ns;  /* between INDEX orders to one engine */
	uint64_t place_interval_ns; /* between placement steps */
	uint64_t load_announce_ns;  /* between announcements of the load */
};

/* Queries about other processes and cells, answered by the caller. */
struct cell_env {
	/* Whether a process ended and none of its orders can still arrive. */
	int (*process_ended)(void *, const struct node_id *);
	/* Whether a cell other than the named one serves the model. */
	int (*served_elsewhere)(void *, const char *, const char *);
	/* Whether the configuration declared by a time is applied here. */
	int (*config_applied)(void *, uint64_t);
	void *ctx;
};

/* Lists that calls append to. */
struct cell_out {
	struct msg_list *msgs;
	struct kv_ops *kv;
	struct orders *orders;
};

/* Counters since creation, except sched: since becoming the owner. */
struct cell_totals {
	struct sched_stats sched;
	uint64_t loads;
	uint64_t unloads;
	uint64_t adapter_loads;
	uint64_t orders_failed;
	uint64_t ledger_writes;
	uint64_t ledger_conflicts;
};

void cell_config_default(struct cell_config *);
/*
 * Creates a cell by name for this process.  The ids are shared with the other
 * users of the key-value session and must outlive the cell.
 */
struct cell_core *cell_create(const struct cell_config *, const char *,
    const struct node_id *, struct kv_ids *, const struct cell_env *);
void cell_destroy(struct cell_core *);
/* Applies a configuration, which must remain valid until the next call. */
void cell_configure(
    struct cell_core *, uint64_t, const struct conf *, struct cell_out *);
/* Whether to compete for ownership, and from what time on. */
void cell_set_candidate(struct cell_core *, int, uint64_t);
/* Handles SENDER_ASK and SENDER_NONE, and on the owner the gates' messages. */
void cell_handle_message(
    struct cell_core *, uint64_t, const struct msg *, struct cell_out *);
/* Both return 1 when the result was for an operation of this cell. */
int cell_handle_kv_result(
    struct cell_core *, uint64_t, const struct kv_result *, struct cell_out *);
int cell_handle_order_result(struct cell_core *, uint64_t,
    const struct order_result *, struct cell_out *);
/* To be called at least every sched_config.tick_interval_ns. */
void cell_tick(struct cell_core *, uint64_t, struct cell_out *);
/* Least interval between SYNC messages of one gate, in nanoseconds. */
void cell_set_sync_interval(struct cell_core *, uint64_t);
/* Another process owns the cell under this fencing token. */
void cell_handle_superseded(struct cell_core *, uint64_t);
/* Gives up ownership. */
void cell_release(struct cell_core *, struct cell_out *);

const char *cell_name(const struct cell_core *);
/* Whether this process schedules the cell; may outlive the lease. */
int cell_is_owner(const struct cell_core *);
/* Fencing token of the latest ownership, 0 for none. */
uint64_t cell_fencing_token(const struct cell_core *);
/* Fills in the routing table and the load; on the owner only. */
void cell_routing_table(const struct cell_core *, struct msg_load *);
void cell_totals(const struct cell_core *, struct cell_totals *);
/* Ledger state for spindlectl status; the caller owns the reference. */
json_t *cell_status(const struct cell_core *, uint64_t);
void order_destroy(struct order *);

#endif
