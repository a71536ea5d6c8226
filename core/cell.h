/*
 * One cell as a control process sees it.  While it owns the cell it schedules
 * its work, keeps its backend servers' memory ledgers, places models and
 * gives engines their orders.  Deterministic.
 */
#ifndef CELL_H
#define CELL_H

#include "conf.h"
#include "kvop.h"
#include "msg.h"
#include "own.h"
#include "place.h"
#include "sched.h"

struct cell_core;

enum order_kind {
	ORDER_INDEX, /* asks what is loaded */
	ORDER_LOAD,
	ORDER_UNLOAD,
	ORDER_ADAPTER_LOAD,
	ORDER_ADAPTER_UNLOAD,
	ORDER__MAX
};

enum order_outcome {
	ORDER_DONE,
	ORDER_STALE,   /* the engine refused the fencing number */
	ORDER_REFUSED, /* the engine refused for another reason */
	ORDER_UNKNOWN  /* no answer; may still take effect */
};

/* An order for an engine. */
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
	uint64_t fence;
	uint64_t engine;     /* incarnation the order is meant for */
	uint64_t send_until; /* must not be sent later than this */
	uint64_t deadline;   /* no answer by then: ORDER_UNKNOWN */
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
	uint64_t engine; /* incarnation, 0 when not told */
	uint32_t batch;	 /* INDEX: sequences run at once, 0 unknown */
	uint32_t nloaded;
	struct order_loaded *loaded; /* INDEX */
};

struct cell_config {
	struct ownership_config own;
	struct sched_config sched;
	struct place_config place;
	place_policy policy;	/* place_next() unless set otherwise */
	const void *policy_ctx; /* NULL: the place member */
	uint64_t order_ns;	/* an order's longest time to an answer */
	uint64_t late_ns;	/* an unanswered order may arrive this late */
	uint64_t poll_ns;	/* between questions to one engine */
	uint64_t place_ns;	/* between placement steps */
	uint64_t load_ns;	/* between announcements of the load number */
};

/* What the cell needs to know of the other processes. */
struct cell_env {
	/* Whether a process has surely ended some time ago. */
	int (*gone)(void *, const struct node_id *);
	/* Whether another cell serves the model. */
	int (*elsewhere)(void *, const char *, const char *);
	/* Whether what was declared by then is in force here. */
	int (*current)(void *, uint64_t);
	void *ctx;
};

struct cell_out {
	struct msg_list *msgs;
	struct kv_ops *kv;
	struct orders *orders;
};

struct cell_totals {
	struct sched_totals sched;
	uint64_t loads;
	uint64_t unloads;
	uint64_t adapter_loads;
	uint64_t orders_failed;
	uint64_t ledger_writes;
	uint64_t ledger_conflicts;
};

void cell_config_default(struct cell_config *);
struct cell_core *cell_create(const struct cell_config *, const char *,
    const struct node_id *, struct kv_ids *, const struct cell_env *);
void cell_destroy(struct cell_core *);
/* Takes in a new configuration; it must outlive its successor's coming. */
void cell_configure(
    struct cell_core *, uint64_t, const struct conf *, struct cell_out *);
void cell_want(struct cell_core *, int, uint64_t);
/* Messages to the cell's owner, SENDER_ASK and SENDER_NONE. */
void cell_message(
    struct cell_core *, uint64_t, const struct msg *, struct cell_out *);
/* Each returns 1 when the answer was for this cell. */
int cell_kv(
    struct cell_core *, uint64_t, const struct kv_result *, struct cell_out *);
int cell_order(struct cell_core *, uint64_t, const struct order_result *,
    struct cell_out *);
void cell_tick(struct cell_core *, uint64_t, struct cell_out *);
/* How often gates sync, when they are many. */
void cell_pace(struct cell_core *, uint64_t);
void cell_superseded(struct cell_core *, uint64_t);
void cell_release(struct cell_core *, struct cell_out *);

const char *cell_name(const struct cell_core *);
int cell_held(const struct cell_core *);
uint64_t cell_fence(const struct cell_core *);
/* The cell's routing table and load number, as the owner tells them. */
void cell_table(const struct cell_core *, struct msg_load *);
void cell_totals(const struct cell_core *, struct cell_totals *);
/* State of ledgers and copies, for spindlectl status. */
json_t *cell_status(const struct cell_core *, uint64_t);
void order_destroy(struct order *);

#endif
