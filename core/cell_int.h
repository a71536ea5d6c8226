/* Data structures shared by the files of a cell. */
#ifndef CELL_INT_H
#define CELL_INT_H

#include <uthash.h>

#include "cell.h"
#include "ledger.h"

#define UNIT_ADAPTERS_MAX 48

enum unit_step {
	UNIT_UNREAD, /* the ledger is to be read */
	UNIT_READING,
	UNIT_UNSTAMPED, /* it carries an older fencing number */
	UNIT_READY,
	UNIT_WRITING
};

struct unit_adapter {
	char name[NAME_SIZE];
	char model[NAME_SIZE];
	uint64_t memory_mb;
	int resident;
	int unloading;	/* the order in flight unloads it */
	uint64_t order; /* in flight, 0 for none */
	uint64_t late_until;
	uint64_t used; /* time of the last use */
};

/* One backend server of the cell. */
struct unit {
	struct conf_backend conf;
	int declared; /* in the configuration in force */
	struct ledger ledger;
	struct ledger *next; /* being written */
	enum unit_step step;
	/*
	 * A write without an answer may still take effect; one that follows
	 * it and succeeds rules that out.
	 */
	int unsure;
	uint64_t pending;  /* key-value operation awaited */
	uint64_t revision; /* of the ledger key */
	uint64_t retry_at;
	uint32_t batch;	   /* sequences the engine runs at once, 0 unknown */
	uint64_t engine;   /* incarnation last reported */
	uint64_t answered; /* time of the last INDEX answer */
	uint64_t poll_at;
	uint64_t poll; /* INDEX in flight */
	uint64_t poll_sent;
	int poll_cleared;    /* no other process held orders when it was sent */
	uint64_t changed_at; /* last answer that changed what is loaded */
	uint64_t barrier;    /* fencing number that the engine has accepted */
	uint32_t nadapters;
	struct unit_adapter adapters[UNIT_ADAPTERS_MAX];
	/* a copy in delegated memory, not yet in the ledger */
	struct ledger_entry spare;
	int spare_used;
	uint64_t table; /* hash of what the scheduler was told */
};

/* Demand for one model or adapter, smoothed. */
struct demand {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	double fast; /* slots, over seconds */
	double slow; /* slots, over a minute */
	uint32_t waiting;
	uint64_t moved; /* last load or unload */
};

struct cell_core {
	struct cell_config config;
	char name[NAME_SIZE];
	struct node_id self;
	struct kv_ids *ids;
	struct cell_env env;
	struct ownership *own;
	struct sched *sched;
	const struct conf *conf;
	uint32_t nunits;
	struct unit *units[CELL_REPLICAS_MAX];
	struct demand *demands;
	uint64_t place_at;
	uint64_t demand_at;
	uint64_t asked_at; /* last SENDER_ASK */
	double store_tokens;
	uint64_t store_at;
	/* processes that said they hold no order below the number */
	struct {
		struct node_id id;
		uint64_t fence;
	} cleared[LEDGER_SENDERS_MAX * 2];
	uint32_t ncleared;
	int was_held;
	uint64_t held_since;
	struct cell_totals totals;
};

/* cell_ledger.c */
void cell_ledger_tick(
    struct cell_core *, uint64_t, struct unit *, struct cell_out *);
int cell_ledger_result(struct cell_core *, uint64_t, const struct kv_result *);
/* A copy of the ledger to change and write, or NULL while one is written. */
struct ledger *cell_ledger_edit(struct cell_core *, uint64_t, struct unit *);
void cell_ledger_write(
    struct cell_core *, struct unit *, struct ledger *, struct cell_out *);
/* Whether this process may use the memory delegated in the ledger. */
int cell_delegated(const struct cell_core *, const struct unit *);
int cell_holds_nothing(void *, const struct node_id *);

/* cell_order.c */
void cell_order_tick(
    struct cell_core *, uint64_t, struct unit *, struct cell_out *);
struct order *cell_order_send(struct cell_core *, uint64_t, struct unit *,
    enum order_kind, uint64_t, struct cell_out *);
int cell_orders_open(const struct cell_core *, uint64_t);

/* cell_adapter.c */
void cell_adapter_tick(
    struct cell_core *, uint64_t, struct unit *, struct cell_out *);
void cell_adapter_want(
    struct cell_core *, uint64_t, const char *, struct cell_out *);
int cell_adapter_result(
    struct cell_core *, uint64_t, struct unit *, const struct order_result *);
void cell_adapter_index(struct unit *, uint64_t, const struct order_result *);

/* cell_place.c */
void cell_place_tick(struct cell_core *, uint64_t, struct cell_out *);
void cell_demand_tick(struct cell_core *, uint64_t);
int cell_serves(const struct cell_core *, const char *, const char *);
struct demand *cell_demand(struct cell_core *, const char *);

/* cell.c */
/* Whether the backend server has a confirmed copy of the model. */
int cell_unit_serves(const struct unit *, const char *);
void unit_table(
    const struct cell_core *, const struct unit *, struct msg_replica *);
int unit_fresh(const struct cell_core *, const struct unit *, uint64_t);

#endif
