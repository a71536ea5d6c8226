/* A steward that owns, three replicas, and what it sent; for unit tests. */
#ifndef STEWARD_SCENE_H
#define STEWARD_SCENE_H

#include "steward.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC
#define REPLICAS 3

struct loader_fixture {
	struct loader *s;
	struct directory dir;
	struct kv_ids ids;
	struct fleet_conf *conf;
	struct kv_ops kv;
	struct loader_orders orders;
	struct loader_output out;
	struct fleet_replica replicas[REPLICAS];
	uint64_t now;
};

/* Opens a scene whose second holder waits so long. */
void fixture_open(struct loader_fixture *, uint64_t);
void fixture_close(struct loader_fixture *);
/* Ticks every 20 ms; the key-value service grants everything. */
void fixture_run(struct loader_fixture *, uint64_t);
/* Each replica tells what it holds, and so many orders. */
void fixture_answer_reports(struct loader_fixture *, uint64_t);
/* The oldest order of a kind, or NULL; the test frees it. */
struct loader_order *fixture_take_order(
    struct loader_fixture *, enum loader_order_kind);
struct loader_order *fixture_require_order(
    struct loader_fixture *, enum loader_order_kind);
/* The list shows a replica as it is in the scene. */
void fixture_list_replica(struct loader_fixture *, int);
/* A process tells of running requests. */
void fixture_set_running(struct loader_fixture *, const char *, uint32_t);

#endif
