/* State of the loader, shared by its source files. */
#ifndef LOADER_INT_H
#define LOADER_INT_H

#include "ownership.h"
#include "loader.h"

/* An adapter that a replica is loading. */
struct adapter_loading {
	char adapter[FLEET_NAME_SIZE];
	uint64_t loaded_at;
};

/*
 * A load that has no answer, yet or for good.  After a restart of its replica
 * sequences start again, so that nothing in the order prevents a late delivery
 * from being carried out.
 */
struct lost_load {
	TAILQ_ENTRY(lost_load) entry;
	uint64_t order;	     /* id of the order sent last */
	uint64_t started_ms; /* start of the incarnation addressed */
	uint64_t expires_at; /* not carried out after this */
	char model[NAME_SIZE];
	char adapter[FLEET_NAME_SIZE]; /* MODEL/ADAPTER, or "" */
};

TAILQ_HEAD(lost_loads, lost_load);

/*
 * Those of one replica.  They outlast its entry in the list, which ends while
 * it restarts, and leadership.
 */
struct replica_losses {
	char replica[NAME_SIZE];
	struct lost_loads loads;
	UT_hash_handle hh;
};

/* A load from the weight store that counts for its rate. */
struct store_load {
	uint64_t order;	       /* its latest id, 0: an earlier leader's */
	uint64_t counts_until; /* a window after it has begun at the latest */
	int answered;
	int repeated; /* sent more than once */
	int lost;     /* no answer came */
};

/* Orders, loads and unloads in progress at one replica. */
struct engine_state {
	char replica[NAME_SIZE];
	uint64_t started_ms;
	uint64_t sequence;	 /* orders accepted, as far as known */
	int sequence_unknown;	 /* a report must be requested */
	uint64_t next_report_at; /* no report request before */
	uint64_t report_id;	 /* report request in flight, 0 for none */
	uint64_t order_id;	 /* order in flight, 0 for none */
	struct loader_order last_order;	     /* sent again until answered */
	int last_unanswered;		     /* last_order got no answer */
	uint64_t next_order_at;		     /* no order before */
	const struct replica_losses *losses; /* NULL: none */
	char loading[NAME_SIZE];	     /* a model, "" for none */
	char unloading[NAME_SIZE];
	char reserved_for[NAME_SIZE]; /* model that the last unload was for */
	uint64_t reserved_until;
	struct name_list reported;   /* models in its last report */
	uint64_t report_valid_until; /* the list shows them by then */
	uint64_t change_listed_by;   /* else a report is requested */
	/*
	 * Adapters that take slots, as reports and answered orders show: the
	 * directory's list also follows tables and refusals.
	 */
	struct name_list adapters;
	uint32_t nloading_adapters;
	uint32_t loading_adapters_size; /* allocated */
	struct adapter_loading *loading_adapters;
	UT_hash_handle hh;
};

struct loader {
	struct loader_config config;
	struct directory *directory;
	struct ownership *ownership;
	struct demand demand;
	struct engine_state *engines;
	struct replica_losses *losses;
	uint64_t next_id;
	uint64_t leader_from; /* no orders before */
	uint64_t fence;	      /* fencing token that leader_from is for */
	uint64_t next_placement_at;
	uint64_t next_keep_all_at; /* copies in use may give way again */
	uint32_t nengines;	   /* replicas at the last tick */
	uint64_t list_settled_at;  /* the list is taken as complete from then */
	uint64_t change_count;
	double service_time_s;	   /* time that a request takes on a replica */
	uint32_t nstore_loads;	   /* loads that count for the rate */
	uint32_t store_loads_size; /* allocated */
	struct store_load *store_loads;
	uint64_t loads_known_fence;   /* store_loads has loads up to it */
	uint64_t loads_unknown_until; /* any number of others may count */
	struct loader_stats stats;
};

/* loader.c */
/* Frees the state and what it holds. */
void engine_state_destroy(struct engine_state *);
struct engine_state *engine_state_find(const struct loader *, const char *);
/* Whether an order can be sent to the replica at a time. */
int engine_state_accepts_orders(
    const struct loader *, uint64_t, const struct engine_state *);
struct loader_order *loader_send_order(struct loader *, uint64_t,
    struct engine_state *, enum loader_order_kind, const char *, const char *,
    struct loader_output *);
/* The model that is, or may be, loading or unloading, or "". */
const char *engine_state_loading_model(const struct engine_state *);
const char *engine_state_unloading_model(const struct engine_state *);
/* loader_memory.c */
/* Memory in MB not used on the replica now nor by a load that may follow. */
uint64_t engine_state_free_mb(const struct engine_state *,
    const struct directory_replica *, const struct fleet_engine *);
/* loader_lost.c */
/* An order to load is sent, or answered. */
void lost_load_sent(
    struct loader *, struct engine_state *, const struct loader_order *);
void lost_load_answered(
    struct loader *, uint64_t, const struct loader_order *, enum order_answer);
/* Drops those that can no longer be carried out. */
void lost_loads_expire(struct loader *, uint64_t);
void lost_loads_clear(struct loader *);
/* The losses of the replica, which are in its state from then on. */
void lost_loads_attach(const struct loader *, struct engine_state *);
/*
 * The next lost load after one, or the first after NULL, from before the last
 * restart that may still be carried out; each model or adapter comes once.
 */
const struct lost_load *engine_state_next_lost_load(
    const struct engine_state *, const struct lost_load *);
/* How many of them are loads of adapters. */
uint32_t engine_state_lost_adapter_loads(const struct engine_state *);
/* loader_rate.c */
/* An order of a load from the weight store is sent, repeated, answered. */
void store_load_sent(struct loader *, uint64_t, const struct loader_order *);
void store_load_repeated(
    struct loader *, uint64_t, uint64_t, const struct loader_order *);
void store_load_answered(
    struct loader *, uint64_t, const struct loader_order *, enum order_answer);
/* Loads in a window, loads that count, and loads that the rate still allows. */
double store_loads_most(const struct loader *, const struct fleet_engine *);
uint32_t store_loads_counted(struct loader *, uint64_t);
double store_loads_left(struct loader *, uint64_t, const struct fleet_engine *);
/* This process takes over, under a fencing token. */
void store_loads_take_over(struct loader *, uint64_t, uint64_t);
/* loader_slots.c */
/* Slots that adapters take, or lost orders may take. */
uint32_t engine_state_slots_used(const struct engine_state *);
int engine_state_has_adapter(const struct engine_state *, const char *);
/* The replica accepted to load an adapter, or has unloaded it. */
void adapter_load_started(struct engine_state *, const char *, uint64_t);
void adapter_unloaded(
    struct engine_state *, struct directory_replica *, const char *);
/* Lists adapters loaded by now.  Returns how many. */
uint32_t adapters_loaded(
    struct engine_state *, uint64_t, struct directory_replica *);
/* The model and its adapters are unloaded. */
void engine_state_drop_adapters(struct engine_state *, const char *);
/* Takes the adapters over from a report; those loading end at a time. */
void engine_state_take_adapters(struct engine_state *, uint64_t,
    struct directory_replica *, const struct fleet_replica *);
/* loader_models.c */
void loader_place_models(struct loader *, uint64_t,
    const struct fleet_service *, struct loader_output *);
/* loader_adapters.c */
void loader_place_adapters(struct loader *, uint64_t,
    const struct fleet_service *, struct loader_output *);

#endif
