/* State of the holder of the right to order, shared by its parts. */
#ifndef STEWARD_INT_H
#define STEWARD_INT_H

#include "own.h"
#include "steward.h"

#define STEWARD_LOADS_MAX 256
#define STEWARD_GHOSTS_MAX 4

/* An adapter that a replica is loading. */
struct coming {
	char adapter[FLEET_NAME_SIZE];
	uint64_t ready_at;
};

/*
 * An order that got no answer.  After a restart of its replica nothing that it
 * names keeps it from being carried out.
 */
struct ghost {
	struct steward_order order;
	uint64_t until; /* it is not carried out later */
};

/* What is under way at one replica. */
struct charge {
	char replica[NAME_SIZE];
	uint64_t born_ms;
	uint64_t sequence; /* orders that it accepted, as far as known */
	int doubtful;	   /* its sequence must be asked for */
	uint64_t ask_at;   /* not before */
	uint64_t asked;	   /* id of the question under way, 0 for none */
	uint64_t order;	   /* id of the order under way, 0 for none */
	struct steward_order last; /* repeated while it has no answer */
	int unanswered;
	uint64_t again_at;
	struct ghost ghosts[STEWARD_GHOSTS_MAX];
	char loading[NAME_SIZE]; /* a model, "" for none */
	char unloading[NAME_SIZE];
	uint32_t nreported; /* models of its last report */
	char reported[FLEET_RESIDENT_MAX][NAME_SIZE];
	uint64_t reported_until; /* the list tells of them by then */
	uint64_t until;		 /* the change shows in the list by then */
	uint32_t ncoming;
	struct coming coming[FLEET_COMING_MAX];
	UT_hash_handle hh;
};

struct steward {
	struct steward_config config;
	struct directory *dir;
	struct own *own;
	struct demand demand;
	struct charge *charges;
	uint64_t next_id;
	uint64_t order_from; /* no order before */
	uint64_t fence;	     /* of the ownership that order_from is for */
	uint64_t place_at;
	uint32_t nlisted;    /* replicas when last looked at */
	uint64_t settled_at; /* the list is taken to be complete */
	uint64_t changes;
	uint32_t nloads; /* begun from the weight store lately */
	uint64_t loads[STEWARD_LOADS_MAX];
	struct steward_totals totals;
};

/* steward.c */
struct charge *charge_find(const struct steward *, const char *);
/* Whether the replica can be given an order now. */
int charge_free(const struct steward *, uint64_t, const struct charge *);
struct steward_order *steward_send(struct steward *, uint64_t, struct charge *,
    enum steward_kind, const char *, const char *, struct steward_out *);
/* The model that it loads or drops, an unanswered order's too, or "". */
const char *charge_loading(const struct charge *);
const char *charge_unloading(const struct charge *);
/* Memory that nothing on the replica uses or will use, in MB. */
uint64_t charge_left_mb(const struct charge *, const struct member_replica *,
    const struct fleet_engine *);
/* steward_ghost.c */
/* An order got no answer. */
void ghost_add(struct charge *, uint64_t, const struct steward_order *);
/* Forgets those whose time is over. */
void ghosts_step(struct charge *, uint64_t);
/* Whether a load of before the last restart may yet come, of an adapter too. */
int charge_haunted(const struct charge *, const char *);
uint32_t charge_ghost_adapters(const struct charge *);
/* steward_place.c */
void steward_place(struct steward *, uint64_t, const struct fleet_service *,
    struct steward_out *);
/* steward_adapt.c */
void steward_adapt(struct steward *, uint64_t, const struct fleet_service *,
    struct steward_out *);

#endif
