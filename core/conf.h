/*
 * The declared configuration: models, adapters, backend servers, services,
 * weight store limits and drains, each with the number of the ticket that last
 * set it.  A configuration is immutable; applying a ticket creates a new one.
 */
#ifndef CONF_H
#define CONF_H

#include <jansson.h>

#include "base.h"
#include "err.h"

#define CONF_CHUNKS 32
#define CONF_CHUNK_BYTES_MAX 65536
#define CONF_DATACENTRES_MAX 16
#define CONF_ADAPTERS_MAX 32
#define CONF_ACCELERATORS_MAX 16
#define CONF_INSTANCES_MAX 32
#define CONF_REGIONS_MAX 8

struct conf_adapter {
	char name[NAME_SIZE];
	char version[NAME_SIZE];
	uint64_t memory_mb;
};

struct conf_model {
	char name[NAME_SIZE];
	char version[NAME_SIZE];
	uint64_t memory_mb;
	uint64_t priority;   /* 0 to 9; higher is more important */
	uint64_t copies;     /* minimum number of copies in each home cell */
	size_t ndatacentres; /* 0: any data centre */
	char datacentres[CONF_DATACENTRES_MAX][NAME_SIZE];
	size_t nadapters;
	struct conf_adapter adapters[CONF_ADAPTERS_MAX];
	uint64_t ticket;
	size_t nhome_cells; /* cells that keep copies, one per region */
	char home_cells[CONF_REGIONS_MAX][NAME_SIZE];
};

struct conf_backend {
	char name[NAME_SIZE];
	char address[ADDR_SIZE];
	char datacentre[NAME_SIZE];
	char cell[NAME_SIZE];
	size_t naccelerators;
	uint64_t memory_mb[CONF_ACCELERATORS_MAX];
	uint64_t adapter_pool_mb; /* reserved on each accelerator */
	int fencing;		  /* the engine rejects stale fencing tokens */
	int leaving;
	uint64_t ticket;
};

struct conf_service {
	char name[NAME_SIZE];
	char prefix[PATH_SIZE];
	uint32_t repeatable; /* idempotent HTTP methods, METHOD_* bits */
	size_t ninstances;
	struct {
		char name[NAME_SIZE];
		char address[ADDR_SIZE];
		int leaving;
	} instances[CONF_INSTANCES_MAX];
	uint64_t ticket;
};

/* Limits on loading weights from the store. */
struct conf_store {
	double loads_per_second;     /* rate of load starts */
	uint64_t concurrent;	     /* loads at full speed at once */
	uint64_t adapters_in_flight; /* adapter loads at once */
};

struct conf {
	json_t *objects; /* key -> {"ticket": n, "body": {...} or null} */
	uint64_t revision;
	size_t nmodels;
	struct conf_model *models;
	size_t nbackends;
	struct conf_backend *backends;
	size_t nservices;
	struct conf_service *services;
	size_t ncells; /* distinct cells of the backend servers */
	char (*cells)[NAME_SIZE];
	struct conf_store store;
};

enum conf_result {
	CONF_CHANGED,
	CONF_UNCHANGED, /* the ticket is already in effect */
	CONF_REFUSED
};

struct conf *conf_create(void);
void conf_destroy(struct conf *);
/*
 * Applies a ticket to base, all of it or nothing.  On CONF_CHANGED *out is the
 * new configuration with the next revision; on CONF_REFUSED err gives the path
 * and a hint.  *number is the ticket's number, or 0 if it has none.
 */
enum conf_result conf_apply(const struct conf *, const json_t *, struct conf **,
    uint64_t *, struct err *);
/* Stored JSON text of a chunk, or NULL if empty; the caller frees it. */
char *conf_encode_chunk(const struct conf *, int);
/* Builds a configuration from n chunk texts, NULL for empty chunks. */
struct conf *conf_from_chunks(char *const *, size_t, uint64_t, struct err *);
/*
 * Checks that the accelerators have memory for the minimum number of copies of
 * each declared model.  Returns 0, or -1 with err set.
 */
int conf_check_capacity(const struct conf *, struct err *);

/* Looks up an object by name; returns NULL if it is not declared. */
const struct conf_model *conf_find_model(const struct conf *, const char *);
const struct conf_backend *conf_find_backend(const struct conf *, const char *);
/*
 * Whether the model may be placed on the backend server: it is not draining
 * and its data centre is allowed.
 */
int conf_may_place(const struct conf_model *, const struct conf_backend *);

/*
 * Whether the cell keeps copies of the model.  Each region (the part of a
 * cell's name before the slash) has one home cell, chosen by rendezvous hashing
 * among the cells with a backend server that the model may use.
 */
int conf_is_home_cell(const struct conf_model *, const char *);

#endif
