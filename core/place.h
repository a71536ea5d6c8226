/*
 * Placement within one cell: given demand, copies and memory, the next copy
 * to load or unload.  Pure: no state of its own.
 */
#ifndef PLACE_H
#define PLACE_H

#include "base.h"
#include "conf.h"

#define PLACE_BACKENDS_MAX 256	/* of one service, or of a cell */
#define PLACE_WEIGHTS_ON_DISK 2 /* allowed, and the weights are on its disk */

struct place_copy {
	uint32_t backend;
	uint32_t accelerator;
	int resident; /* confirmed; otherwise loading */
	uint64_t since;
};

struct place_model {
	const char *name;
	uint64_t memory_mb;
	uint64_t priority;
	uint32_t min_copies;  /* copies wanted at least; 0: not wanted here */
	double demand_slots;  /* slots wanted, the larger of fast and slow */
	int served_elsewhere; /* served by other copies, or not declared */
	uint32_t ncopies;
	struct place_copy copies[PLACE_BACKENDS_MAX];
	uint64_t moved_at;		  /* time of the last load or unload */
	char allowed[PLACE_BACKENDS_MAX]; /* 0, 1 or PLACE_WEIGHTS_ON_DISK */
};

struct place_backend {
	const char *datacentre;
	int leaving;
	int usable; /* its ledger is ready and the engine answers */
	int busy;   /* a load or unload is under way */
	uint32_t slots;
	uint32_t naccelerators;
	uint64_t free_mb[CONF_ACCELERATORS_MAX];
	uint64_t freeing_mb[CONF_ACCELERATORS_MAX]; /* being unloaded */
};

enum place_kind {
	PLACE_NOTHING,
	PLACE_LOAD,
	PLACE_UNLOAD,
	PLACE_WAIT,   /* moves under way will make room */
	PLACE_NO_ROOM /* the model lacks a copy and nothing makes room */
};

struct place_move {
	enum place_kind kind;
	uint32_t model;
	uint32_t backend;
	uint32_t accelerator;
	int urgent; /* the model has no copy that serves */
	double gain;
};

struct place_config {
	double evict_utilization;  /* utilization above which a copy takes
				      another's place */
	double expand_utilization; /* utilization above which spare memory gets
				      a copy */
	double
	    target_utilization; /* utilization kept after a copy is removed */
	uint64_t cooldown_ns;	/* least time between moves of one model */
};

/*
 * The next move at a time, for models and backend servers.  The context is a
 * struct place_config for place_next().
 */
typedef struct place_move (*place_policy)(const void *, uint64_t,
    const struct place_model *, uint32_t, const struct place_backend *,
    uint32_t);

void place_config_default(struct place_config *);
struct place_move place_next_move(const void *, uint64_t,
    const struct place_model *, uint32_t, const struct place_backend *,
    uint32_t);

#endif
