/*
 * Orders to engines: which models and adapters they load and unload.  One
 * process at a time holds the right to order; it keeps to memory, adapter
 * places and the weight store's rate, and never depends on an order that got
 * no answer.  Deterministic.
 */
#ifndef STEWARD_H
#define STEWARD_H

#include <sys/queue.h>

#include "demand.h"
#include "directory.h"
#include "own.h"
#include "place_swift.h"

struct loader;

struct loader_config {
	struct place_greedy_config place;
	uint64_t lease_ttl_s; /* of the right to order */
	uint64_t
	    takeover_delay_ns;	 /* a new holder waits so long after the last */
	uint64_t load_window_ns; /* weight loads are counted over */
	double load_burst;	 /* times the declared rate in a window */
	uint64_t adapter_load_ns; /* an adapter is taken to be loaded after */
};

enum loader_order_kind {
	LOADER_LOAD,
	LOADER_UNLOAD,
	LOADER_REPORT, /* asks the replica about itself */
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
	uint64_t expected_sequence;    /* orders that it accepted before */
	uint64_t fence;
	uint64_t started_ms; /* start of the replica that is meant */
};

TAILQ_HEAD(loader_orders, loader_order);

enum order_answer {
	ANSWER_STARTED,	     /* it is being carried out */
	ANSWER_ALREADY_DONE, /* it held before */
	ANSWER_CONFLICT,     /* another order, or another sequence */
	ANSWER_STALE,	     /* a later holder has ordered */
	ANSWER_REFUSED,	     /* not this replica, or not an order */
	ANSWER_NONE,	     /* no answer; it may yet be carried out */
	ANSWER__MAX
};

struct loader_output {
	struct kv_ops *kv;
	struct loader_orders *orders;
};

struct loader_stats {
	uint64_t fence;
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
struct demand *loader_demand(struct loader *);
/* Whether this process should try to hold the right to order. */
void loader_set_candidate(struct loader *, int, uint64_t);
/* Another process orders under this fencing number. */
void loader_superseded(struct loader *, uint64_t);
void loader_tick(struct loader *, uint64_t, const struct fleet_conf *,
    struct loader_output *);
/* Somebody waits for an adapter, "MODEL/ADAPTER"; acted on at once. */
void loader_request_adapter(struct loader *, uint64_t, const char *);
int loader_kv_result(struct loader *, uint64_t, const struct kv_result *,
    struct loader_output *);
void loader_order_answered(
    struct loader *, uint64_t, const struct loader_order *, enum order_answer);
/* A replica's own report, or NULL when it could not be had. */
void loader_report_received(struct loader *, uint64_t,
    const struct loader_order *, const struct fleet_replica *);
/* Gives the right back. */
void loader_release(struct loader *, struct loader_output *);
/* Whether this process may order now. */
int loader_is_leader(const struct loader *, uint64_t);
/* The model that a replica is about to drop, or "". */
const char *loader_unloading_model(const struct loader *, const char *);
/* Changes whenever the table of adapters or leaving models does. */
uint64_t loader_change_count(const struct loader *);
void loader_get_stats(const struct loader *, uint64_t, struct loader_stats *);
const char *order_answer_name(enum order_answer);

#endif
