/* State of one placement step, shared by placement*.c. */
#ifndef PLACEMENT_INT_H
#define PLACEMENT_INT_H

#include "placement.h"

/* What a step knows of a model beside its demand. */
struct placement_state {
	uint32_t first;	      /* of its sites */
	uint32_t ncopies;     /* on replicas that are not leaving */
	uint32_t nresident;   /* of them, loaded */
	uint32_t nlimited;    /* copies on replicas with a limit */
	double limited_worth; /* of these, in copies without a limit */
	uint32_t capacity;    /* sites reserved for it */
	double use;	      /* of its least used replica, after assignment */
	double relief; /* requests a copy; 0 once no copy can be planned */
};

struct placement {
	const struct placement_config *config;
	uint64_t now;
	const struct placement_model *models;
	uint32_t nmodels;
	double demand; /* of all models */
	struct placement_replica *replicas;
	uint32_t nreplicas;
	struct placement_state *states;
	uint32_t *sites;  /* replicas with a copy, grouped by model */
	uint32_t unloads; /* in progress or planned */
};

/* placement.c */
/* Requests that a copy without a limit should serve at most. */
double placement_copy_target(const struct placement *);
int placement_has_copy(const struct placement_replica *, uint32_t);
/* placement_spread.c */

/* Lists the replicas of each model; spare sites for the copies of a step. */
void placement_index_copies(struct placement *);
/* Assigns each model's demand to its copies, least used replicas first. */
void placement_assign_demand(struct placement *);
/*
 * Adds a copy of the model that a replica will load, and assigns the demand
 * again.
 */
void placement_copy_planned(struct placement *, uint32_t, uint32_t);
/* Removes the model's copy on a replica and assigns its demand again. */
void placement_copy_removed(struct placement *, uint32_t, uint32_t);
/* Requests assigned to a replica. */
double placement_replica_load(const struct placement_replica *);
/* placement_evict.c */
/* Plans the unload that makes room for the model at least cost. */
int placement_plan_unload(
    struct placement *, uint32_t, struct placement_move *);

#endif
