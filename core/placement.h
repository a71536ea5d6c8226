/*
 * Placement of models on the replicas of one service.  Answers these load
 * patterns: demand that moves to other models within seconds, rare models
 * requested at once, more declared models than memory holds, and the loss of
 * some replicas.  Each step returns all moves that can start now, so that a
 * slow load does not delay the others.  Keeps no state; deterministic.
 */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include "base.h"
#include "fleet.h"

#define PLACEMENT_NONE (-1)

/* Copies that give way to a model that no request asks for. */
enum placement_evict {
	PLACEMENT_EVICT_NONE,
	PLACEMENT_EVICT_IDLE,	/* little used ones that others remain of */
	PLACEMENT_EVICT_SURPLUS /* any that others remain of */
};

struct placement_config {
	/*
	 * Concurrent requests that one copy should serve at most: this number,
	 * and no more than a share of the slots of its replica.
	 */
	double requests_per_copy;
	double target_use;
	uint32_t slots;
	/* Requests a copy that a model must have more than one it replaces. */
	double min_relief;
	double cached_bonus;  /* in requests, for weights cached on a replica */
	uint64_t min_hold_ns; /* a copy stays at least this long after a load */
	uint64_t cold_after_ns; /* without requests for this long: unused */
	uint32_t max_moves;	/* of one step */
	uint32_t max_unloads;	/* in progress, so that loads can follow */
	int fill; /* models without requests are loaded into free memory */
	enum placement_evict evict; /* and in place of these copies */
	int evict_last; /* memory does not hold a copy of every model */
};

struct placement_model {
	uint64_t memory_mb;
	double demand;	       /* concurrent requests to be served */
	double waiting;	       /* requests that wait now */
	uint64_t requested_at; /* latest request, 0 if there was none */
	uint64_t moved_at;     /* latest load or unload, 0 if none */
};

struct placement_copy {
	uint32_t model; /* index into the models */
	int resident;	/* loaded; otherwise being loaded */
	double load;	/* of the demand, assigned by placement_plan() */
};

struct placement_replica {
	int leaving;	/* its copies do not count */
	int usable;	/* may get orders, and serves requests */
	int busy;	/* an order is in progress */
	uint32_t slots; /* concurrent requests, those of its limit if limited */
	int limited;	/* it names a limit on requests */
	int limit_lasts; /* long enough to be worth a load */
	uint64_t free_mb;
	uint64_t freeing_mb; /* by an unload in progress */
	int reserved_for;    /* only this model is loaded next, or NONE */
	uint32_t ncopies;
	uint32_t copies_size; /* allocated; no copy is added beyond it */
	struct placement_copy *copies;
	uint32_t ncached; /* weights in its caches, by index */
	uint32_t *cached;
};

enum placement_kind {
	PLACEMENT_LOAD,
	PLACEMENT_UNLOAD
};

/* Model and replica are indices into the arguments. */
struct placement_move {
	enum placement_kind kind;
	uint32_t model;
	uint32_t replica;
	uint32_t for_model; /* of an unload: the model that it makes room for */
	int filling;	    /* no request asks for the model that is loaded */
};

void placement_config_default(struct placement_config *);
/*
 * Fills in up to max moves that can start at a time in ns, most urgent first,
 * and returns their number.  Replicas are updated as if the moves had started,
 * and so that memory being freed is taken.
 */
uint32_t placement_plan(const struct placement_config *, uint64_t,
    const struct placement_model *, uint32_t, struct placement_replica *,
    uint32_t, struct placement_move *, uint32_t);

#endif
