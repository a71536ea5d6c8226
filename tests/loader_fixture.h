/* Fixture of the loader's unit tests: a leader, three replicas, its output. */
#ifndef LOADER_FIXTURE_H
#define LOADER_FIXTURE_H

#include "loader.h"

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

/* Sets up a loader with a take-over delay in ns. */
void fixture_open(struct loader_fixture *, uint64_t);
void fixture_close(struct loader_fixture *);
/* Ticks every 20 ms for a duration; the key-value service grants all. */
void fixture_run(struct loader_fixture *, uint64_t);
/* Answers report requests with each replica and a count of accepted orders. */
void fixture_answer_reports(struct loader_fixture *, uint64_t);
/* The oldest order of a kind, or NULL; freed by the test. */
struct loader_order *fixture_take_order(
    struct loader_fixture *, enum loader_order_kind);
/* The same, but ends the test when there is none. */
struct loader_order *fixture_require_order(
    struct loader_fixture *, enum loader_order_kind);
/* Demands m0, which r0 holds: it must be loaded on another replica. */
void fixture_require_other_copy(struct loader_fixture *);
/* Publishes a replica, by index, in the list as it is in the fixture. */
void fixture_list_replica(struct loader_fixture *, int);
/* Sets the running requests for a model or adapter. */
void fixture_set_running(struct loader_fixture *, const char *, uint32_t);

#endif
