/* State of the holder of the right to order, shared by its parts. */
#ifndef STEWARD_INT_H
#define STEWARD_INT_H

#include "own.h"
#include "steward.h"

#define LOADER_STORE_LOADS_MAX 256
#define LOADER_LOST_ORDERS_MAX 4

/* An adapter that a replica is loading. */
struct adapter_loading {
	char adapter[FLEET_NAME_SIZE];
	uint64_t loaded_at;
};

/*
 * An order that got no answer.  After a restart of its replica nothing that it
 * names keeps it from being carried out.
 */
struct lost_order {
	struct loader_order order;
	uint64_t expires_at; /* it is not carried out later */
};

/* What is under way at one replica. */
struct engine_state {
	char replica[NAME_SIZE];
	uint64_t started_ms;
	uint64_t sequence;     /* orders that it accepted, as far as known */
	int sequence_unknown;  /* its sequence must be asked for */
	uint64_t report_after; /* not before */
	uint64_t report_id;    /* id of the question under way, 0 for none */
	uint64_t order_id;     /* id of the order under way, 0 for none */
	struct loader_order last_order; /* repeated while it has no answer */
	int unanswered;
	uint64_t order_after;
	struct lost_order lost_orders[LOADER_LOST_ORDERS_MAX];
	char loading[NAME_SIZE]; /* a model, "" for none */
	char unloading[NAME_SIZE];
	uint32_t nreported; /* models of its last report */
	char reported[FLEET_RESIDENT_MAX][NAME_SIZE];
	uint64_t reported_until;   /* the list tells of them by then */
	uint64_t change_listed_by; /* the change shows in the list by then */
	uint32_t nloading_adapters;
	struct adapter_loading loading_adapters[FLEET_LOADING_ADAPTERS_MAX];
	UT_hash_handle hh;
};

struct loader {
	struct loader_config config;
	struct directory *directory;
	struct ownership *ownership;
	struct demand demand;
	struct engine_state *engines;
	uint64_t next_id;
	uint64_t leader_from; /* no order before */
	uint64_t fence;	      /* of the ownership that order_from is for */
	uint64_t next_placement_at;
	uint32_t nengines;   /* replicas when last looked at */
	uint64_t settled_at; /* the list is taken to be complete */
	uint64_t change_count;
	uint32_t nstore_loads; /* begun from the weight store lately */
	uint64_t store_loads[LOADER_STORE_LOADS_MAX];
	struct loader_stats stats;
};

/* steward.c */
struct engine_state *engine_state_find(const struct loader *, const char *);
/* Whether the replica can be given an order now. */
int engine_state_accepts_orders(
    const struct loader *, uint64_t, const struct engine_state *);
struct loader_order *loader_send_order(struct loader *, uint64_t,
    struct engine_state *, enum loader_order_kind, const char *, const char *,
    struct loader_output *);
/* The model that it loads or drops, an unanswered order's too, or "". */
const char *engine_state_loading_model(const struct engine_state *);
const char *engine_state_unloading_model(const struct engine_state *);
/* Memory that nothing on the replica uses or will use, in MB. */
uint64_t engine_state_free_mb(const struct engine_state *,
    const struct directory_replica *, const struct fleet_engine *);
/* steward_ghost.c */
/* An order got no answer. */
void lost_order_add(
    struct engine_state *, uint64_t, const struct loader_order *);
/* Forgets those whose time is over. */
void lost_orders_expire(struct engine_state *, uint64_t);
/* Whether a load of before the last restart may yet come, of an adapter too. */
int engine_state_has_lost_load(const struct engine_state *, const char *);
uint32_t engine_state_lost_adapter_loads(const struct engine_state *);
/* steward_place.c */
void loader_place_models(struct loader *, uint64_t,
    const struct fleet_service *, struct loader_output *);
/* steward_adapt.c */
void loader_place_adapters(struct loader *, uint64_t,
    const struct fleet_service *, struct loader_output *);

#endif
