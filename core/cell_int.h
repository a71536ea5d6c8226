/* Data structures shared by the files of a cell. */
#ifndef CELL_INT_H
#define CELL_INT_H

#include <uthash.h>

#include "cell.h"
#include "ledger.h"

#define BACKEND_ADAPTERS_MAX 48

enum ledger_step {
	LEDGER_UNREAD, /* the ledger is to be read */
	LEDGER_READING,
	LEDGER_OLD_FENCE, /* it carries an older fencing number */
	LEDGER_READY,
	LEDGER_WRITING
};

struct backend_adapter {
	char name[NAME_SIZE];
	char model[NAME_SIZE];
	uint64_t memory_mb;
	int resident;
	int unloading;	   /* the order in flight unloads it */
	uint64_t order_id; /* in flight, 0 for none */
	uint64_t in_doubt_until;
	uint64_t used_at; /* time of the last use */
};

/* One backend server of the cell. */
struct cell_backend {
	struct conf_backend conf;
	int declared; /* in the configuration in force */
	struct ledger ledger;
	struct ledger *pending_ledger; /* being written */
	enum ledger_step ledger_step;
	/*
	 * A write without an answer may still take effect; one that follows
	 * it and succeeds rules that out.
	 */
	int write_in_doubt;
	uint64_t kv_op_id; /* key-value operation awaited */
	uint64_t revision; /* of the ledger key */
	uint64_t retry_at;
	uint32_t batch; /* sequences the engine runs at once, 0 unknown */
	uint64_t engine_incarnation; /* incarnation last reported */
	uint64_t answered_at;	     /* time of the last INDEX answer */
	uint64_t poll_at;
	uint64_t poll_id; /* INDEX in flight */
	uint64_t poll_sent_at;
	int poll_excludes_others; /* no other process held orders when it was
				     sent */
	uint64_t changed_at;	  /* last answer that changed what is loaded */
	uint64_t
	    accepted_fence; /* fencing number that the engine has accepted */
	uint32_t nadapters;
	struct backend_adapter adapters[BACKEND_ADAPTERS_MAX];
	/* a copy in delegated memory, not yet in the ledger */
	struct ledger_entry delegated_copy;
	int has_delegated_copy;
	uint64_t sched_hash; /* hash of what the scheduler was told */
};

/* Demand for one model or adapter, smoothed. */
struct demand {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	double short_average; /* slots, over seconds */
	double long_average;  /* slots, over a minute */
	uint32_t waiting;
	uint64_t moved_at; /* last load or unload */
};

struct cell_core {
	struct cell_config config;
	char name[NAME_SIZE];
	struct node_id self;
	struct kv_ids *ids;
	struct cell_env env;
	struct own *own;
	struct sched *sched;
	const struct conf *conf;
	uint32_t nbackends;
	struct cell_backend *backends[CELL_REPLICAS_MAX];
	struct demand *demands;
	uint64_t place_at;
	uint64_t demand_at;
	uint64_t senders_asked_at; /* last SENDER_ASK */
	double store_tokens;
	uint64_t store_refilled_at;
	/* processes that said they hold no order below the number */
	struct {
		struct node_id id;
		uint64_t fence;
	} cleared_senders[LEDGER_SENDERS_MAX * 2];
	uint32_t ncleared_senders;
	int is_owner;
	uint64_t owner_since;
	struct cell_totals totals;
};

/* cell_ledger.c */
void cell_ledger_tick(
    struct cell_core *, uint64_t, struct cell_backend *, struct cell_out *);
int cell_ledger_result(struct cell_core *, uint64_t, const struct kv_result *);
/* A copy of the ledger to change and write, or NULL while one is written. */
struct ledger *cell_ledger_edit(
    struct cell_core *, uint64_t, struct cell_backend *);
void cell_ledger_write(struct cell_core *, struct cell_backend *,
    struct ledger *, struct cell_out *);
/* Whether this process may use the memory delegated in the ledger. */
int cell_holds_delegation(
    const struct cell_core *, const struct cell_backend *);
int cell_sender_cleared(void *, const struct node_id *);

/* cell_order.c */
void cell_order_tick(
    struct cell_core *, uint64_t, struct cell_backend *, struct cell_out *);
struct order *cell_order_send(struct cell_core *, uint64_t,
    struct cell_backend *, enum order_kind, uint64_t, struct cell_out *);
int cell_orders_pending(const struct cell_core *, uint64_t);

/* cell_adapter.c */
void cell_adapter_tick(
    struct cell_core *, uint64_t, struct cell_backend *, struct cell_out *);
void cell_adapter_request(
    struct cell_core *, uint64_t, const char *, struct cell_out *);
int cell_adapter_result(struct cell_core *, uint64_t, struct cell_backend *,
    const struct order_result *);
void cell_adapter_reconcile(
    struct cell_backend *, uint64_t, const struct order_result *);

/* cell_place.c */
void cell_place_tick(struct cell_core *, uint64_t, struct cell_out *);
void cell_demand_tick(struct cell_core *, uint64_t);
int cell_serves(const struct cell_core *, const char *, const char *);
struct demand *cell_model_demand(struct cell_core *, const char *);

/* cell.c */
/* Whether the backend server has a confirmed copy of the model. */
int cell_backend_serves(const struct cell_backend *, const char *);
void cell_backend_describe(const struct cell_core *,
    const struct cell_backend *, struct msg_replica *);
int cell_backend_responsive(
    const struct cell_core *, const struct cell_backend *, uint64_t);

#endif
