/*
 * Placement within one cell: chooses the next copy to load or unload from
 * demand, existing copies and free memory.  Keeps no state.
 */
#ifndef PLACE_H
#define PLACE_H

#include "base.h"
#include "conf.h"

#define PLACE_BACKENDS_MAX 256	/* of one service, or of a cell */
#define PLACE_WEIGHTS_ON_DISK 2 /* allowed, weights on the local disk */

struct place_copy {
	uint32_t backend;
	uint32_t accelerator;
	int resident; /* may count for another's removal; else loading */
	uint64_t since;
};

struct place_model {
	const char *name;
	uint64_t memory_mb;
	uint64_t priority;
	uint32_t min_copies;  /* 0: no copy is required in this cell */
	double demand_slots;  /* concurrent requests to be served */
	int served_elsewhere; /* its copies here may all be unloaded */
	uint32_t ncopies;
	struct place_copy copies[PLACE_BACKENDS_MAX];
	uint64_t moved_at;		  /* last load or unload */
	char allowed[PLACE_BACKENDS_MAX]; /* 0, 1 or PLACE_WEIGHTS_ON_DISK */
};

struct place_backend {
	const char *datacentre;
	int leaving;
	int usable; /* ledger ready and engine responsive */
	int busy;   /* a load or unload is in progress */
	uint32_t slots;
	uint32_t naccelerators;
	uint64_t free_mb[CONF_ACCELERATORS_MAX];
	uint64_t freeing_mb[CONF_ACCELERATORS_MAX];  /* unload in progress */
	uint64_t headroom_mb[CONF_ACCELERATORS_MAX]; /* may be released */
};

enum place_kind {
	PLACE_NOTHING,
	PLACE_LOAD,
	PLACE_UNLOAD,
	PLACE_RELEASE, /* the server's headroom makes a move possible */
	PLACE_WAIT,    /* moves in progress will free enough memory */
	PLACE_NO_ROOM  /* no move makes room for a missing copy */
};

/* Model and backend are indices into the arguments. */
struct place_move {
	enum place_kind kind;
	uint32_t model;
	uint32_t backend;
	uint32_t accelerator;
	int urgent;  /* the model has no copy, loaded or loading */
	double gain; /* slots of demand relieved, negative for an eviction */
};

struct place_config {
	/* Utilization of a model above which another model may be evicted. */
	double evict_utilization;
	/* Utilization of a model above which free memory gets a copy. */
	double expand_utilization;
	/* Highest utilization of a backend server that gets an extra copy. */
	double target_utilization;
	uint64_t cooldown_ns; /* between moves of one model, unless urgent */
};

/*
 * Returns the next move at a time.  The arguments are the policy's context, the
 * time, the models and their number, the backend servers and their number.
 */
typedef struct place_move (*place_policy)(const void *, uint64_t,
    const struct place_model *, uint32_t, const struct place_backend *,
    uint32_t);

void place_config_default(struct place_config *);
/* The default policy; the context is a struct place_config. */
struct place_move place_next_move(const void *, uint64_t,
    const struct place_model *, uint32_t, const struct place_backend *,
    uint32_t);

#endif
