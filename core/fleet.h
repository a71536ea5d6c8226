/*
 * What the platform declares: routes, services and their engines, limits on
 * callers; and the replicas that serve them.  Filled in by an adapter.
 */
#ifndef FLEET_H
#define FLEET_H

#include "base.h"

#define FLEET_TARGETS_MAX 8	     /* services that one route is split over */
#define FLEET_RESIDENT_MAX 16	     /* models on one replica */
#define FLEET_ADAPTERS_MAX 32	     /* adapters on one replica */
#define FLEET_LOADING_ADAPTERS_MAX 4 /* adapters on their way to one replica   \
				      */
#define FLEET_NAME_SIZE 96	     /* MODEL/ADAPTER */

enum route_kind {
	ROUTE_AT_MOST_ONCE, /* may run at most once */
	ROUTE_IDEMPOTENT,   /* idempotent */
	ROUTE_STREAM,	    /* a stream of events */
	ROUTE__MAX
};

struct fleet_target {
	char service[NAME_SIZE];
	uint32_t weight;
};

struct fleet_route {
	char name[NAME_SIZE];
	char host[PATH_SIZE];
	char path_prefix[PATH_SIZE]; /* begins and ends with a slash */
	enum route_kind kind;
	int resumable;	       /* a stream may go on at another replica */
	uint32_t max_attempts; /* most replicas for one request */
	uint32_t priority;     /* 0 is the highest */
	uint64_t timeout_ns;
	uint64_t target_latency_ns; /* full credit within */
	uint64_t target_gap_ns;	    /* longest pause between events */
	uint32_t ntargets;
	struct fleet_target targets[FLEET_TARGETS_MAX];
};

struct fleet_model {
	char name[NAME_SIZE];
	uint64_t memory_mb;
	uint64_t load_ns; /* from the weight store */
	uint64_t disk_ns; /* from the replica's disk */
	uint64_t warm_ns; /* from the replica's memory */
	uint32_t adapter_count;
	uint64_t adapter_mb; /* memory of each */
};

struct fleet_engine {
	uint32_t slots;
	uint64_t kv_tokens;
	uint32_t event_tokens; /* in one event of a stream */
	uint64_t memory_mb;
	uint32_t adapter_slots;
	uint64_t host_mb; /* weights kept in memory */
	uint64_t disk_mb; /* weights kept on disk */
	double loads_per_s;
	uint32_t nmodels;
	struct fleet_model *models;
};

struct fleet_service {
	char name[NAME_SIZE];
	char health_path[PATH_SIZE];
	uint32_t max_conns; /* on one replica, by all callers together */
	struct fleet_engine *engine; /* NULL for a plain service */
};

/* Bounds on what a caller may send, and how slowly. */
struct fleet_limits {
	uint64_t header_bytes;
	uint64_t body_bytes;
	uint64_t header_ns;
	uint64_t idle_ns;
};

/* One version of the operator's configuration; immutable. */
struct fleet_conf {
	uint64_t version;
	struct fleet_limits limits;
	uint32_t nroutes;
	struct fleet_route *routes; /* longest prefix first */
	uint32_t nservices;
	struct fleet_service *services;
};

enum replica_state {
	REPLICA_READY,
	REPLICA_LEAVING,
	REPLICA__MAX
};

/* What a replica tells of itself in the platform's list. */
struct fleet_replica {
	char id[NAME_SIZE];
	char service[NAME_SIZE];
	char addr[ADDR_SIZE];
	char zone[NAME_SIZE];
	enum replica_state state;
	uint32_t slots;
	uint64_t leave_left_ns; /* LEAVING: time left, 0 when not told */
	uint64_t started_ms;	/* start of this incarnation, Unix time */
	uint64_t
	    accepted_orders; /* accepted since its start; reports tell it */
	uint64_t
	    warmup_left_ns; /* how much longer it is slow after its start */
	int busy;	    /* an order is under way */
	uint32_t nresident;
	char resident[FLEET_RESIDENT_MAX][NAME_SIZE];
	uint32_t nadapters;
	char adapters[FLEET_ADAPTERS_MAX][FLEET_NAME_SIZE];
	uint32_t nloading_adapters; /* reports: adapters on their way */
	char loading_adapters[FLEET_LOADING_ADAPTERS_MAX][FLEET_NAME_SIZE];
	uint32_t ncached_models; /* models whose weights are at hand */
	char cached_models[FLEET_RESIDENT_MAX][NAME_SIZE];
};

struct fleet_conf *fleet_conf_create(void);
void fleet_conf_destroy(struct fleet_conf *);
/* Sorts routes for fleet_route(); called once by the adapter. */
void fleet_conf_sort_routes(struct fleet_conf *);
/* Longest prefix of the host that begins the path, or NULL. */
const struct fleet_route *fleet_find_route(
    const struct fleet_conf *, const char *, const char *);
const struct fleet_service *fleet_find_service(
    const struct fleet_conf *, const char *);
const struct fleet_model *fleet_find_model(
    const struct fleet_engine *, const char *);
/* The target that a draw from [0, 1) falls on, or NULL when there is none. */
const struct fleet_target *fleet_pick_target(
    const struct fleet_route *, double);
int fleet_has_model(const struct fleet_replica *, const char *);
int fleet_has_adapter(const struct fleet_replica *, const char *);

#endif
