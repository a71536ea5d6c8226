/*
 * Declarations of the platform: routes, services and their engines, limits on
 * callers, and the replicas that serve them.  Filled in by the platform code.
 */
#ifndef FLEET_H
#define FLEET_H

#include <uthash.h>

#include "base.h"
#include "name_list.h"

#define FLEET_NAME_SIZE NAME_LIST_NAME_SIZE /* MODEL/ADAPTER */

enum route_kind {
	ROUTE_AT_MOST_ONCE, /* non-idempotent: executed at most once */
	ROUTE_IDEMPOTENT,   /* may be repeated */
	ROUTE_STREAM,	    /* response is a stream of events */
	ROUTE__MAX
};

/* A client account of the operator's, by whose keys callers are admitted. */
struct fleet_account {
	char name[NAME_SIZE]; /* key of the full name */
	char *full_name;
	int has_priority; /* goes before the route's */
	uint32_t priority;
	int counts_tokens;	 /* its quota is in tokens, or in requests */
	uint64_t default_tokens; /* of a request that names no number */
	double rate_per_s;	 /* quota over all processes, 0: none */
	double burst;
};

struct fleet_target {
	char service[NAME_SIZE];
	double weight; /* share of the traffic, relative to the others */
};

struct fleet_route {
	char name[NAME_SIZE];
	char *host;
	char *path_prefix; /* starts and ends with a slash */
	enum route_kind kind;
	int is_public;	       /* needs no key of an account */
	int resumable;	       /* a stream may continue on another replica */
	uint32_t max_attempts; /* replicas tried for one request */
	uint32_t priority;     /* 0 is the highest */
	uint64_t timeout_ns;
	uint64_t target_latency_ns; /* to the response or its first event */
	uint64_t target_gap_ns;	    /* between two events of a stream */
	uint32_t ntargets;
	struct fleet_target *targets;
};

struct fleet_model {
	char name[NAME_SIZE]; /* key of the full name */
	char *full_name;
	uint64_t memory_mb;
	uint64_t store_load_ns; /* load time from the weight store */
	uint64_t disk_load_ns;	/* load time from the replica's disk */
	uint64_t host_load_ns;	/* load time from the replica's host memory */
	uint32_t adapter_count;
	uint64_t adapter_mb; /* accelerator memory of each */
	UT_hash_handle hh;   /* in the engine's index */
};

struct fleet_engine {
	uint32_t slots;
	uint64_t kv_tokens;
	uint32_t tokens_per_event; /* per event of a stream */
	uint64_t memory_mb;
	uint32_t adapter_slots;
	uint64_t largest_adapter_mb; /* of any model */
	uint64_t host_cache_mb;	     /* cache of weights in host memory */
	uint64_t disk_cache_mb;	     /* cache of weights on disk */
	double loads_per_s;
	uint32_t nmodels;
	struct fleet_model *models;
	struct fleet_model *index; /* the same by name, NULL: not indexed */
};

struct fleet_service {
	char name[NAME_SIZE];
	char *health_path;
	uint32_t max_conns;	     /* to one replica, from all processes */
	struct fleet_engine *engine; /* NULL for a plain service */
};

/* Limits on the size and duration of a caller's request. */
struct fleet_limits {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	uint64_t header_timeout_ns;
	uint64_t idle_timeout_ns;
};

/*
 * One version of the operator's configuration; immutable.  Its names are keys,
 * see name.h; its other texts have any length.
 */
struct fleet_conf {
	uint64_t version;
	struct fleet_limits limits;
	uint32_t nroutes;
	struct fleet_route *routes; /* longest prefix first */
	uint32_t nservices;
	struct fleet_service *services;
	int has_accounts; /* callers need a key, unless the route is public */
	uint32_t naccounts;
	struct fleet_account *accounts;
	struct key_table *keys; /* to indexes of accounts, NULL: none */
};

enum replica_state {
	REPLICA_READY,
	REPLICA_LEAVING,
	REPLICA__MAX
};

/*
 * A replica as listed by the platform or as reported by itself.  Zeroed: empty;
 * its lists are freed by fleet_replica_clear().
 */
struct fleet_replica {
	char id[NAME_SIZE];
	char service[NAME_SIZE];
	char addr[ADDR_SIZE];
	char zone[NAME_SIZE];
	char software[NAME_SIZE]; /* version of its software, "": unknown */
	enum replica_state state;
	uint32_t slots;
	uint64_t leave_left_ns; /* LEAVING: time until it stops, 0 if unknown */
	uint64_t started_ms;	/* start of this incarnation, Unix time in ms */
	uint64_t accepted_orders;  /* since its start; only in reports */
	uint64_t heartbeats;	   /* since its start; only in the list */
	uint64_t warmup_left_ns;   /* until it runs at full speed */
	int busy;		   /* an order is being carried out */
	struct name_list resident; /* models loaded */
	struct name_list adapters; /* loaded */
	struct name_list loading_adapters; /* only in reports */
	struct name_list cached_models; /* weights on disk or in host memory */
};

/* An empty configuration; its arrays belong to it and are freed with it. */
struct fleet_conf *fleet_conf_create(void);
void fleet_conf_destroy(struct fleet_conf *);
/* Sorts routes for fleet_find_route(); called once the routes are filled in. */
void fleet_conf_sort_routes(struct fleet_conf *);
/*
 * Indexes the engine's models by name and finds the largest adapter; called
 * once they are filled in.
 */
void fleet_engine_index_models(struct fleet_engine *);
/* The host's route with the longest prefix of the path, or NULL. */
const struct fleet_route *fleet_find_route(
    const struct fleet_conf *, const char *, const char *);
/* The service or model of that name, or NULL. */
const struct fleet_service *fleet_find_service(
    const struct fleet_conf *, const char *);
const struct fleet_model *fleet_find_model(
    const struct fleet_engine *, const char *);
/*
 * Copies what a request needs of a route beyond the life of its configuration:
 * all but the host and the prefix, which are NULL.
 */
void fleet_route_copy(struct fleet_route *, const struct fleet_route *);
/* Frees the texts and targets of a route. */
void fleet_route_clear(struct fleet_route *);
/* Whether a route goes to a service. */
int fleet_route_targets(const struct fleet_route *, const char *);
/* The account of a key of a length, or NULL. */
const struct fleet_account *fleet_find_account(
    const struct fleet_conf *, const char *, size_t);
/* Chooses a target by weight from a draw in [0, 1); NULL when there is none. */
const struct fleet_target *fleet_pick_target(
    const struct fleet_route *, double);
void fleet_replica_clear(struct fleet_replica *);
/* Copies all, lists included; the former contents of the copy are freed. */
void fleet_replica_copy(struct fleet_replica *, const struct fleet_replica *);
/* Whether the replica lists the model or the adapter, "MODEL/ADAPTER". */
int fleet_has_model(const struct fleet_replica *, const char *);
int fleet_has_adapter(const struct fleet_replica *, const char *);

#endif
