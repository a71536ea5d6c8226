/* Internal state of a cell, shared by cell.c and cell_*.c. */
#ifndef CELL_INT_H
#define CELL_INT_H

#include <uthash.h>

#include "cell.h"
#include "ledger.h"

#define BACKEND_ADAPTERS_MAX 48

/* Progress of reading and writing one stored ledger. */
enum ledger_step {
	LEDGER_UNREAD, /* must be read before use */
	LEDGER_READING,
	LEDGER_OLD_FENCING_TOKEN, /* must be rewritten by this owner */
	LEDGER_READY,
	LEDGER_WRITING
};

/* An adapter that is loaded, or may be by an order in flight or in doubt. */
struct backend_adapter {
	char name[NAME_SIZE];
	char model[NAME_SIZE];
	uint64_t memory_mb;
	int resident;
	int unloading;		 /* the order in flight is an unload */
	uint64_t order_id;	 /* in flight, 0 for none */
	uint64_t in_doubt_until; /* no new order before */
	uint64_t used_at;	 /* last request, or load */
};

/* One backend server of the cell. */
struct cell_backend {
	struct conf_backend conf;
	int declared; /* present in the current configuration */
	struct ledger ledger;
	struct ledger *pending_ledger; /* write in flight, NULL for none */
	enum ledger_step ledger_step;
	/*
	 * A write timed out and may still take effect.  Cleared by the next
	 * successful write, which makes the earlier one fail.
	 */
	int write_in_doubt;
	uint64_t in_doubt_delegation_mb; /* the least in such writes */
	uint64_t kv_op_id;		 /* operation in flight, 0 for none */
	uint64_t revision;		 /* of the ledger key */
	uint64_t retry_at;		 /* next ledger operation */
	uint32_t batch; /* sequences the engine runs at once, 0 unknown */
	uint64_t engine_incarnation; /* last reported, 0 unknown */
	uint64_t answered_at;	     /* last INDEX answer */
	uint64_t poll_at;	     /* next INDEX */
	uint64_t poll_id;	     /* INDEX in flight, 0 for none */
	uint64_t poll_sent_at;
	uint64_t listed_at; /* sending of the INDEX of the entries' listed */
	/* When the poll was sent, no other process could send orders. */
	int poll_excludes_others;
	uint64_t changed_at;		 /* last answer to a load or unload */
	uint64_t accepted_fencing_token; /* last accepted by the engine */
	uint32_t nadapters;
	struct backend_adapter adapters[BACKEND_ADAPTERS_MAX];
	/* Copy in delegated memory that has no ledger entry yet. */
	struct ledger_entry delegated_copy;
	int has_delegated_copy;
	uint64_t sched_hash; /* of the state last sent to the scheduler */
};

/* Moving averages of the demand for one model. */
struct model_demand {
	char name[NAME_SIZE];
	UT_hash_handle hh;
	double short_average; /* slots, over SHORT_AVERAGE_NS */
	double long_average;  /* slots, over LONG_AVERAGE_NS */
	uint32_t waiting;     /* requests queued at the last sample */
	uint64_t moved_at;    /* last load or unload */
};

struct cell_core {
	struct cell_config config;
	char name[NAME_SIZE];
	struct node_id self;
	struct kv_ids *ids;
	struct cell_env env;
	struct ownership *ownership;
	struct sched *sched;
	const struct conf *conf;
	uint32_t nbackends;
	struct cell_backend *backends[CELL_REPLICAS_MAX];
	struct model_demand *demands;
	uint64_t place_at;	   /* next placement step */
	uint64_t demand_at;	   /* next demand sample */
	uint64_t senders_asked_at; /* last SENDER_ASK */
	double store_tokens;	   /* loads that may start now */
	uint64_t store_refilled_at;
	/* Processes that hold no unsent order older than the fencing token. */
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
/* Returns 1 when the result was for a ledger of this cell. */
int cell_ledger_result(struct cell_core *, uint64_t, const struct kv_result *);
/*
 * Copies the ledger for a change that is passed to cell_ledger_write() or
 * freed.  Returns NULL when no write can start now.
 */
struct ledger *cell_ledger_edit(
    struct cell_core *, uint64_t, struct cell_backend *);
/* Starts the write and takes ownership of the edited ledger. */
void cell_ledger_write(struct cell_core *, struct cell_backend *,
    struct ledger *, struct cell_out *);
/* Whether an edited ledger has an entry for the delegated copy. */
int cell_delegated_copy_merged(
    const struct cell_backend *, const struct ledger *);
/* Whether this process may use memory that the ledger delegates to it. */
int cell_holds_delegation(
    const struct cell_core *, uint64_t, const struct cell_backend *);
/* Whether a process can send no more orders; the context is the cell. */
int cell_sender_cleared(void *, const struct node_id *);

/* cell_order.c */
/* Disregards the engine's list of copies once it is too old. */
void cell_listing_expire(struct cell_backend *, uint64_t);
void cell_order_tick(
    struct cell_core *, uint64_t, struct cell_backend *, struct cell_out *);
/* Queues an order; the caller fills in the model and the memory. */
struct order *cell_order_send(struct cell_core *, uint64_t,
    struct cell_backend *, enum order_kind, uint64_t, struct cell_out *);
/* Whether an order is in flight or in doubt. */
int cell_orders_pending(const struct cell_core *, uint64_t);

/* cell_adapter.c */
void cell_adapter_tick(
    struct cell_core *, uint64_t, struct cell_backend *, struct cell_out *);
/* Loads an adapter that a request needs, if it is not loaded. */
void cell_adapter_request(
    struct cell_core *, uint64_t, const char *, struct cell_out *);
/* Returns 1 when the result was for an adapter's order. */
int cell_adapter_result(struct cell_core *, uint64_t, struct cell_backend *,
    const struct order_result *);
/* Sets the adapters' state from an INDEX answer. */
void cell_adapter_reconcile(
    struct cell_backend *, uint64_t, const struct order_result *);

/* cell_delegate.c */
/* Memory of a ledger that is delegated to this process and not used. */
uint64_t cell_headroom_mb(
    const struct cell_core *, uint64_t, const struct cell_backend *);
/* Makes the headroom of a ledger free.  Returns 1 when it started a write. */
int cell_delegate_release(
    struct cell_core *, uint64_t, struct cell_backend *, struct cell_out *);
/*
 * Delegates memory for the largest model in one ledger, so that a lost model
 * can be loaded while the key-value service is unavailable.  Returns 1 when it
 * started a write.
 */
int cell_delegate_reserve(struct cell_core *, uint64_t, struct cell_out *);
/*
 * While the key-value service is unavailable: loads models that have no copy
 * left into the memory that is delegated to this process.
 */
void cell_delegate_restore(struct cell_core *, uint64_t, struct cell_out *);

/* cell_place.c */
void cell_place_tick(struct cell_core *, uint64_t, struct cell_out *);
void cell_demand_tick(struct cell_core *, uint64_t);
/* Whether a copy of the model's version serves and will remain. */
int cell_serves(const struct cell_core *, const char *, const char *);
/* Finds or creates the demand record of a model. */
struct model_demand *cell_model_demand(struct cell_core *, const char *);

/* cell.c */
/* Whether a copy of the model is confirmed on the backend server. */
int cell_backend_serves(const struct cell_backend *, const char *);
/* Fills in the backend server's row of the routing table. */
void cell_backend_describe(const struct cell_core *,
    const struct cell_backend *, struct msg_replica *);
/* Whether the engine has answered recently. */
int cell_backend_responsive(
    const struct cell_core *, const struct cell_backend *, uint64_t);

#endif
