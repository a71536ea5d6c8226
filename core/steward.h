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

struct steward;

struct steward_config {
	struct swift_config place;
	uint64_t lease_s;    /* of the right to order */
	uint64_t apart_ns;   /* a new holder waits so long after the last */
	uint64_t window_ns;  /* weight loads are counted over */
	double burst;	     /* times the declared rate in a window */
	uint64_t adapter_ns; /* an adapter is taken to be loaded after */
};

enum steward_kind {
	STEWARD_LOAD,
	STEWARD_UNLOAD,
	STEWARD_REPORT, /* asks the replica about itself */
	STEWARD__MAX
};

struct steward_order {
	TAILQ_ENTRY(steward_order) entry;
	uint64_t id;
	enum steward_kind kind;
	char replica[NAME_SIZE];
	char addr[ADDR_SIZE];
	char model[NAME_SIZE];
	char adapter[FLEET_NAME_SIZE]; /* MODEL/ADAPTER, or "" */
	uint64_t expected;	       /* orders that it accepted before */
	uint64_t fence;
	uint64_t born_ms; /* start of the replica that is meant */
};

TAILQ_HEAD(steward_orders, steward_order);

enum order_answer {
	ANSWER_STARTED,	 /* it is being carried out */
	ANSWER_HOLDS,	 /* it held before */
	ANSWER_CONFLICT, /* another order, or another sequence */
	ANSWER_STALE,	 /* a later holder has ordered */
	ANSWER_REFUSED,	 /* not this replica, or not an order */
	ANSWER_NONE,	 /* no answer; it may yet be carried out */
	ANSWER__MAX
};

struct steward_out {
	struct kv_ops *kv;
	struct steward_orders *orders;
};

struct steward_totals {
	uint64_t fence;
	int holds;
	uint64_t loads;
	uint64_t unloads;
	uint64_t adapter_loads;
	uint64_t failed;
};

void steward_config_default(struct steward_config *);
struct steward *steward_create(const struct steward_config *,
    struct directory *, const struct node_id *, struct kv_ids *);
void steward_destroy(struct steward *);
struct demand *steward_demand(struct steward *);
/* Whether this process should try to hold the right to order. */
void steward_candidate(struct steward *, int, uint64_t);
/* Another process orders under this fencing number. */
void steward_superseded(struct steward *, uint64_t);
void steward_tick(struct steward *, uint64_t, const struct fleet_conf *,
    struct steward_out *);
/* Somebody waits for an adapter, "MODEL/ADAPTER"; acted on at once. */
void steward_asked(struct steward *, uint64_t, const char *);
int steward_kv(
    struct steward *, uint64_t, const struct kv_result *, struct steward_out *);
void steward_answer(struct steward *, uint64_t, const struct steward_order *,
    enum order_answer);
/* A replica's own report, or NULL when it could not be had. */
void steward_report(struct steward *, uint64_t, const struct steward_order *,
    const struct fleet_replica *);
/* Gives the right back. */
void steward_release(struct steward *, struct steward_out *);
/* Whether this process may order now. */
int steward_holds(const struct steward *, uint64_t);
/* The model that a replica is about to drop, or "". */
const char *steward_leaving(const struct steward *, const char *);
/* Changes whenever the table of adapters or leaving models does. */
uint64_t steward_changes(const struct steward *);
void steward_totals(const struct steward *, uint64_t, struct steward_totals *);
const char *order_answer_name(enum order_answer);

#endif
