/* A steward that owns, three replicas, and what it sent; for unit tests. */
#ifndef STEWARD_SCENE_H
#define STEWARD_SCENE_H

#include "steward.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC
#define REPLICAS 3

struct scene {
	struct steward *s;
	struct directory dir;
	struct kv_ids ids;
	struct fleet_conf *conf;
	struct kv_ops kv;
	struct steward_orders orders;
	struct steward_out out;
	struct fleet_replica replicas[REPLICAS];
	uint64_t now;
};

/* Opens a scene whose second holder waits so long. */
void scene_open(struct scene *, uint64_t);
void scene_close(struct scene *);
/* Ticks every 20 ms; the key-value service grants everything. */
void scene_run(struct scene *, uint64_t);
/* Each replica tells what it holds, and so many orders. */
void scene_reports(struct scene *, uint64_t);
/* The oldest order of a kind, or NULL; the test frees it. */
struct steward_order *scene_take(struct scene *, enum steward_kind);
struct steward_order *scene_must_take(struct scene *, enum steward_kind);
/* The list shows a replica as it is in the scene. */
void scene_list(struct scene *, int);
/* A process tells of running requests. */
void scene_demand(struct scene *, const char *, uint32_t);

#endif
