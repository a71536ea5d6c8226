/* Routes and the replica directory. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "directory.h"
#include "fleet_fixture.h"
#include "mem.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC

static void test_routes(void);
static void test_split(void);
static void test_removal_grace(void);
static void test_reported_removal(void);
static void test_removed(void);
static void test_restart(void);
static void test_avoided_replicas(void);
static void test_peers(void);
static void test_many_peers(void);
static void test_exclusions(void);
static void test_address_reused(void);
static void test_older_entry(void);

static void
test_routes(void)
{
	static const char *const prefixes[] = { "/a/", "/a/b/", "/" };
	struct fleet_conf *c = fleet_conf_create();
	const struct fleet_route *r;
	int i;

	c->routes = mem_alloc(4 * sizeof(*c->routes));
	for (i = 0; i < 3; i++) {
		c->routes[i].host = mem_strdup("shop.example");
		c->routes[i].path_prefix = mem_strdup(prefixes[i]);
	}
	c->routes[3].host = mem_strdup("other.example");
	c->routes[3].path_prefix = mem_strdup("/a/b/c/");
	c->nroutes = 4;
	fleet_conf_sort_routes(c);
	r = fleet_find_route(c, "shop.example", "/a/b/c/d");
	CU_ASSERT_STRING_EQUAL(r->path_prefix, "/a/b/");
	r = fleet_find_route(c, "SHOP.example:8080", "/a/bc");
	CU_ASSERT_STRING_EQUAL(r->path_prefix, "/a/");
	r = fleet_find_route(c, "shop.example", "/x");
	CU_ASSERT_STRING_EQUAL(r->path_prefix, "/");
	CU_ASSERT_PTR_NULL(fleet_find_route(c, "shop.example.org", "/a/"));
	CU_ASSERT_PTR_NULL(fleet_find_route(c, "other.example", "/a/b/c"));
	fleet_conf_destroy(c);
}

static void
test_split(void)
{
	struct fleet_target targets[3];
	struct fleet_route r;

	memset(&r, 0, sizeof(r));
	memset(targets, 0, sizeof(targets));
	CU_ASSERT_PTR_NULL(fleet_pick_target(&r, 0.5));
	r.targets = targets;
	r.ntargets = 3;
	r.targets[0].weight = 90;
	r.targets[1].weight = 0;
	r.targets[2].weight = 10;
	CU_ASSERT_PTR_EQUAL(fleet_pick_target(&r, 0.0), &r.targets[0]);
	CU_ASSERT_PTR_EQUAL(fleet_pick_target(&r, 0.89), &r.targets[0]);
	CU_ASSERT_PTR_EQUAL(fleet_pick_target(&r, 0.91), &r.targets[2]);
	CU_ASSERT_PTR_EQUAL(fleet_pick_target(&r, 0.999), &r.targets[2]);
}

/*
 * Entries expire while the list service is down though their replicas run: a
 * removed replica stays usable until two seconds after the service recovered.
 */
static void
test_removal_grace(void)
{
	struct directory d;
	struct fleet_replica r = make_replica("a", "m");
	struct directory_replica *m;

	directory_init(&d);
	m = directory_put(&d, &r);
	directory_set_service_up(&d, 2 * S, 0);
	directory_remove(&d, 3 * S, "a");
	CU_ASSERT(directory_usable(m, 3 * S));
	directory_tick(&d, 60 * S);
	CU_ASSERT(directory_usable(m, 60 * S));
	directory_set_service_up(&d, 61 * S, 1);
	directory_tick(&d, 63 * S - MS);
	CU_ASSERT(directory_usable(m, 63 * S - MS));
	/* Listed again within the grace period. */
	directory_put(&d, &r);
	directory_tick(&d, 70 * S);
	CU_ASSERT(directory_usable(m, 70 * S));
	/* Not listed again within the grace period. */
	directory_set_service_up(&d, 71 * S, 0);
	directory_remove(&d, 72 * S, "a");
	directory_set_service_up(&d, 73 * S, 1);
	directory_tick(&d, 75 * S);
	CU_ASSERT_PTR_NULL(directory_find(&d, "a"));
	/* Removed just after the recovery: the entry may have expired before
	 * it. */
	m = directory_put(&d, &r);
	directory_set_service_up(&d, 76 * S, 0);
	directory_set_service_up(&d, 77 * S, 1);
	directory_remove(&d, 78 * S, "a");
	CU_ASSERT(directory_usable(m, 78 * S));
	directory_tick(&d, 79 * S);
	CU_ASSERT_PTR_NULL(directory_find(&d, "a"));
	directory_clear(&d);
}

/*
 * A process that the list service turns away hears of a removal from a peer:
 * the peer's word counts, without its own doubt.
 */
static void
test_reported_removal(void)
{
	struct directory d;
	struct fleet_replica r = make_replica("a", "m");
	struct directory_replica *m;

	directory_init(&d);
	m = directory_put(&d, &r);
	directory_set_service_up(&d, 2 * S, 0);
	directory_remove_reported(&d, 3 * S, "a", 0);
	CU_ASSERT(!directory_usable(m, 3 * S));
	directory_put(&d, &r);
	directory_remove_reported(&d, 4 * S, "a", S);
	CU_ASSERT(directory_usable(m, 5 * S - MS));
	directory_tick(&d, 5 * S);
	CU_ASSERT_PTR_NULL(directory_find(&d, "a"));
	directory_clear(&d);
}

static void
test_removed(void)
{
	struct directory d;
	struct fleet_replica r = make_replica("a", "m");
	struct directory_replica *m;

	directory_init(&d);
	m = directory_put(&d, &r);
	r.state = REPLICA_LEAVING;
	directory_put(&d, &r);
	CU_ASSERT(!directory_usable(m, 2 * S));
	r.state = REPLICA_READY;
	directory_put(&d, &r);
	CU_ASSERT(directory_usable(m, 3 * S));
	m->local_load.running = 1;
	directory_remove(&d, 10 * S, "a");
	CU_ASSERT(!directory_usable(m, 10 * S));
	directory_tick(&d, 11 * S);
	CU_ASSERT_PTR_EQUAL(
	    directory_find(&d, "a"), m); /* still has a request */
	m->local_load.running = 0;
	directory_tick(&d, 12 * S);
	CU_ASSERT_PTR_NULL(directory_find(&d, "a"));
	directory_clear(&d);
}

/* A restart discards the adapters, sequence and failures of the replica. */
static void
test_restart(void)
{
	struct directory d;
	struct fleet_replica r = make_replica("a", "m");
	struct directory_replica *m;

	directory_init(&d);
	m = directory_put(&d, &r);
	name_list_append(&m->info.adapters, "m/a1");
	name_list_append(&m->info.adapters, "gone/a1");
	m->info.accepted_orders = 7;
	directory_put(&d, &r);
	CU_ASSERT(fleet_has_adapter(&m->info, "m/a1"));
	CU_ASSERT(!fleet_has_adapter(&m->info, "gone/a1"));
	CU_ASSERT_EQUAL(m->info.accepted_orders, 7);
	directory_attempt_failed(m, 2 * S, 1);
	CU_ASSERT(!directory_usable(m, 2 * S));
	r.started_ms = 2;
	r.resident.n = 0;
	directory_put(&d, &r);
	CU_ASSERT(directory_usable(m, 2 * S + MS));
	CU_ASSERT_EQUAL(m->info.adapters.n, 0);
	CU_ASSERT_EQUAL(m->info.accepted_orders, 0);
	directory_clear(&d);
}

/* An unreachable replica is avoided for longer each time, up to 2 s. */
static void
test_avoided_replicas(void)
{
	struct directory d;
	struct fleet_replica r = make_replica("a", "m");
	struct directory_replica *m;
	uint64_t last = 0;
	int i;

	directory_init(&d);
	m = directory_put(&d, &r);
	directory_attempt_failed(m, S, 0);
	CU_ASSERT(directory_usable(m, S)); /* it answered */
	for (i = 0; i < 10; i++) {
		directory_attempt_failed(m, S, 1);
		CU_ASSERT(m->avoid_until - S >= last);
		last = m->avoid_until - S;
	}
	CU_ASSERT_EQUAL(last, 2 * S);
	directory_attempt_succeeded(m, S);
	CU_ASSERT(directory_usable(m, S));
	directory_clear(&d);
}

static void
test_peers(void)
{
	struct directory d;
	struct fleet_replica r = make_replica("a", "m");
	struct replica_load w = { 3, 100, 0, 200 };
	struct directory_replica *m;

	directory_init(&d);
	m = directory_put(&d, &r);
	m->local_load.running = 1;
	directory_reset_peer_load(&d, S, 5);
	directory_set_peer_load(&d, 5, "a", &w);
	directory_set_peer_load(&d, 5, "unknown", &w);
	directory_set_peer_load(&d, 1000, "a", &w); /* not heard yet */
	CU_ASSERT_EQUAL(directory_total_load(&d, S, m).running, 4);
	CU_ASSERT_EQUAL(directory_total_load(&d, S, m).tokens, 200);
	/* The load of a silent peer expires. */
	CU_ASSERT_EQUAL(directory_total_load(&d, 4 * S, m).running, 1);
	directory_reset_peer_load(&d, 5 * S, 5);
	CU_ASSERT_EQUAL(directory_total_load(&d, 5 * S, m).running, 1);
	directory_clear(&d);
}

/* No table is fitted to a fleet; a replica keeps the peers that use it. */
static void
test_many_peers(void)
{
	struct directory d;
	struct fleet_replica r = make_replica("a", "m");
	struct replica_load w = { 1, 0, 0, 10 };
	struct directory_replica *m;
	uint32_t i;

	directory_init(&d);
	m = directory_put(&d, &r);
	for (i = 0; i < 1000; i++) {
		directory_reset_peer_load(&d, S, i);
		if (i % 100 == 0)
			directory_set_peer_load(&d, i, "a", &w);
	}
	CU_ASSERT_EQUAL(m->npeer_loads, 10);
	CU_ASSERT_EQUAL(directory_total_load(&d, S, m).running, 10);
	directory_reset_peer_load(&d, 2 * S, 100);
	CU_ASSERT_EQUAL(directory_total_load(&d, 2 * S, m).running, 9);
	/* Loads of silent peers are dropped with the next report. */
	directory_reset_peer_load(&d, 10 * S, 7);
	CU_ASSERT_EQUAL(m->npeer_loads, 0);
	directory_clear(&d);
}

static void
test_exclusions(void)
{
	struct directory d;
	struct fleet_replica r = make_replica("a", "m");
	struct directory_replica *m;
	char name[8];
	int i;

	directory_init(&d);
	m = directory_put(&d, &r);
	directory_exclude(m, "m", 2 * S);
	CU_ASSERT(directory_excluded(m, S, "m"));
	CU_ASSERT(!directory_excluded(m, 2 * S, "m"));
	CU_ASSERT(!directory_excluded(m, S, "n"));
	CU_ASSERT(!directory_excluded(m, S, ""));
	/* A full table drops the exclusion that ends first. */
	for (i = 0; i < DIRECTORY_EXCLUSIONS_MAX; i++) {
		snprintf(name, sizeof(name), "x%d", i);
		directory_exclude(m, name, (uint64_t)(3 + i) * S);
	}
	CU_ASSERT(!directory_excluded(m, S, "m"));
	CU_ASSERT(directory_excluded(m, S, "x0"));
	directory_clear(&d);
}

/* A replica started at the address of another one replaces it. */
static void
test_address_reused(void)
{
	struct directory d;
	struct fleet_replica a = make_replica("a", "m");
	struct fleet_replica b = make_replica("b", "m");

	directory_init(&d);
	a.started_ms = 1000;
	b.started_ms = 2000;
	strcpy(b.addr, a.addr);
	directory_put(&d, &a);
	directory_put(&d, &b);
	CU_ASSERT_FALSE(directory_usable(directory_find(&d, "a"), S));
	CU_ASSERT_TRUE(directory_usable(directory_find(&d, "b"), S));
	directory_put(&d, &a); /* a late update of the earlier replica */
	CU_ASSERT_TRUE(directory_usable(directory_find(&d, "b"), S));
	directory_clear(&d);
}

/* A replica that leaves does not come back by an older copy of its entry. */
static void
test_older_entry(void)
{
	struct directory d;
	struct fleet_replica r = make_replica("a", "m");
	struct directory_replica *m;

	directory_init(&d);
	r.started_ms = 5;
	r.heartbeats = 7;
	r.state = REPLICA_LEAVING;
	m = directory_put(&d, &r);
	r.heartbeats = 3;
	r.state = REPLICA_READY;
	directory_put(&d, &r);
	CU_ASSERT(directory_is_leaving(m));
	/* Nor does one that is gone; a later entry brings it back. */
	directory_remove(&d, NSEC_PER_SEC, "a");
	m->local_load.running = 1;
	directory_put(&d, &r);
	CU_ASSERT(!directory_usable(m, NSEC_PER_SEC));
	r.heartbeats = 8;
	directory_put(&d, &r);
	CU_ASSERT(directory_usable(m, NSEC_PER_SEC));
	/* A new incarnation counts anew. */
	r.started_ms = 6;
	r.heartbeats = 1;
	r.state = REPLICA_LEAVING;
	directory_put(&d, &r);
	CU_ASSERT(directory_is_leaving(m));
	m->local_load.running = 0;
	directory_clear(&d);
}

static const struct unit_case cases[] = {
	{ "routes", test_routes },
	{ "split routes", test_split },
	{ "removal grace period", test_removal_grace },
	{ "reported removal", test_reported_removal },
	{ "leaving and removed", test_removed },
	{ "restart", test_restart },
	{ "avoided replicas", test_avoided_replicas },
	{ "load reported by peers", test_peers },
	{ "many peers", test_many_peers },
	{ "excluded models", test_exclusions },
	{ "address reused", test_address_reused },
	{ "older entry of a restored list", test_older_entry },
};

UNIT_MAIN("fleet", cases)
