/*
 * Loader: decides which models and adapters the engines load and unload, and
 * sends them orders.  One process at a time, the leader, may send orders; it
 * respects engine memory, adapter slots and the weight store's load rate, also
 * when orders without an answer are carried out late.  Deterministic.
 */
#ifndef LOADER_H
#define LOADER_H

#include <sys/queue.h>

#include "demand.h"
#include "directory.h"
#include "loader_loads.h"
#include "ownership.h"
#include "placement.h"

struct loader;

struct loader_config {
	struct placement_config place;
	uint64_t lease_ttl_s;	    /* of the leader's lease */
	uint64_t takeover_delay_ns; /* pause between two leaders */
	uint64_t load_window_ns;    /* for the rate of weight store loads */
	double load_burst; /* loads in a window, in multiples of the rate */
	uint64_t adapter_load_ns; /* assumed load time of an adapter */
};

enum loader_order_kind {
	LOADER_LOAD,
	LOADER_UNLOAD,
	LOADER_REPORT, /* asks the replica for a report */
	LOADER__MAX
};

struct loader_order {
	TAILQ_ENTRY(loader_order) entry;
	uint64_t id;
	enum loader_order_kind kind;
	char replica[NAME_SIZE];
	char addr[ADDR_SIZE];
	char model[NAME_SIZE];
	char adapter[FLEET_NAME_SIZE]; /* MODEL/ADAPTER, or "" */
	uint64_t expected_sequence;    /* orders accepted before this one */
	uint64_t fence;		       /* the leader's fencing token */
	uint64_t send_by;	       /* not sent later: the lease ends */
	uint64_t started_ms;	       /* start of the incarnation addressed */
	/*
	 * Loads that count for the weight store's rate, with this one; 0 if it
	 * is no load from there.
	 */
	uint32_t window_loads;
};

TAILQ_HEAD(loader_orders, loader_order);

enum order_answer {
	ANSWER_STARTED,	     /* the order is being carried out */
	ANSWER_ALREADY_DONE, /* its result was in place already */
	ANSWER_CONFLICT,     /* busy, or the sequence differs */
	ANSWER_STALE,	     /* a later leader has sent orders */
	ANSWER_REFUSED,	     /* another replica, or not a valid order */
	ANSWER_NONE,	     /* no answer; it may still be carried out */
	ANSWER__MAX
};

/* Queues that the loader appends to. */
struct loader_output {
	struct kv_ops *kv;
	struct loader_orders *orders;
};

/* Leadership, and counts of orders since the start of this process. */
struct loader_stats {
	uint64_t fence; /* fencing token of the latest leadership */
	int is_leader;
	uint64_t loads;
	uint64_t unloads;
	uint64_t adapter_loads;
	uint64_t failed;
};

void loader_config_default(struct loader_config *);
struct loader *loader_create(const struct loader_config *, struct directory *,
    const struct node_id *, struct kv_ids *);
void loader_destroy(struct loader *);
/* The demand for models and adapters, updated by the caller. */
struct demand *loader_demand(struct loader *);
/* Whether this process tries to become the leader, and the earliest time. */
void loader_set_candidate(struct loader *, int, uint64_t);
/* The mean time that a request takes on a replica, in ns. */
void loader_set_service_time(struct loader *, uint64_t);
/* The era of the service that keeps leadership, see ownership.h. */
void loader_set_era(struct loader *, uint64_t, uint64_t);
/* Another process sends orders under this fencing token. */
void loader_superseded(struct loader *, uint64_t);
void loader_tick(struct loader *, uint64_t, const struct fleet_conf *,
    struct loader_output *);
/* A request waits for an adapter, "MODEL/ADAPTER"; handled by the next tick. */
void loader_request_adapter(struct loader *, uint64_t, const char *);
/* Handles a result.  Returns 1 when the operation belonged to the loader. */
int loader_kv_result(struct loader *, uint64_t, const struct kv_result *,
    struct loader_output *);
/* The answer to a load or unload order. */
void loader_order_answered(
    struct loader *, uint64_t, const struct loader_order *, enum order_answer);
/* The replica's report, or NULL when the request failed. */
void loader_report_received(struct loader *, uint64_t,
    const struct loader_order *, const struct fleet_replica *);
/*
 * The loads that count for the weight store's rate.  A leader that gives up,
 * or finds its lease lost, tells them to the others; the caller frees the list.
 */
void loader_get_loads(struct loader *, uint64_t, struct loader_loads *);
/*
 * Whether a process that has just started is to be told them by this one: it
 * knows those of an earlier leader, and sends no orders itself.
 */
int loader_knows_loads(const struct loader *);
/* An earlier leader has told them. */
void loader_take_loads(struct loader *, uint64_t, const struct loader_loads *);
/* Gives up leadership. */
void loader_release(struct loader *, struct loader_output *);
/* Whether this process may send orders at a time. */
int loader_is_leader(const struct loader *, uint64_t);
/* The model that a replica is unloading, or "". */
const char *loader_unloading_model(const struct loader *, const char *);
/* Increases when the loaded adapters or the models being unloaded change. */
uint64_t loader_change_count(const struct loader *);
void loader_get_stats(const struct loader *, uint64_t, struct loader_stats *);
const char *order_answer_name(enum order_answer);

#endif
