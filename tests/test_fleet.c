/* Routes, the replica directory, load balancing. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance.h"
#include "mem.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC

static struct fleet_replica make_replica(const char *, const char *);
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
static void test_prefill_share(void);
static void test_balance_choice(void);
static void test_balance_affinity(void);
static void test_balance_failures(void);
static uint32_t replay_herd(int);
static void test_late_reports(void);

static struct fleet_replica
make_replica(const char *id, const char *model)
{
	struct fleet_replica r;

	memset(&r, 0, sizeof(r));
	snprintf(r.id, sizeof(r.id), "%s", id);
	snprintf(r.service, sizeof(r.service), "llm");
	snprintf(r.addr, sizeof(r.addr), "10.0.0.1:80");
	snprintf(r.zone, sizeof(r.zone), "z1");
	r.slots = 4;
	r.started_ms = 1;
	if (*model != '\0')
		snprintf(r.resident[r.nresident++], NAME_SIZE, "%s", model);
	return r;
}

static void
test_routes(void)
{
	static const char *const prefixes[] = { "/a/", "/a/b/", "/" };
	struct fleet_conf *c = fleet_conf_create();
	const struct fleet_route *r;
	int i;

	c->routes = mem_alloc(4 * sizeof(*c->routes));
	for (i = 0; i < 3; i++) {
		strcpy(c->routes[i].host, "shop.example");
		strcpy(c->routes[i].path_prefix, prefixes[i]);
	}
	strcpy(c->routes[3].host, "other.example");
	strcpy(c->routes[3].path_prefix, "/a/b/c/");
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
	struct fleet_route r;

	memset(&r, 0, sizeof(r));
	CU_ASSERT_PTR_NULL(fleet_pick_target(&r, 0.5));
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
	strcpy(m->info.adapters[m->info.nadapters++], "m/a1");
	strcpy(m->info.adapters[m->info.nadapters++], "gone/a1");
	m->info.accepted_orders = 7;
	directory_put(&d, &r);
	CU_ASSERT(fleet_has_adapter(&m->info, "m/a1"));
	CU_ASSERT(!fleet_has_adapter(&m->info, "gone/a1"));
	CU_ASSERT_EQUAL(m->info.accepted_orders, 7);
	directory_attempt_failed(m, 2 * S, 1);
	CU_ASSERT(!directory_usable(m, 2 * S));
	r.started_ms = 2;
	r.nresident = 0;
	directory_put(&d, &r);
	CU_ASSERT(directory_usable(m, 2 * S + MS));
	CU_ASSERT_EQUAL(m->info.nadapters, 0);
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

/* Prompts sent within the window leave no prefill time for more. */
static void
test_prefill_share(void)
{
	struct fleet_engine g = {
		.slots = 4, .kv_tokens = 100000, .tokens_per_event = 3
	};
	struct directory d;
	struct fleet_replica a = make_replica("a", "m");
	struct directory_replica *ma, *m;
	struct balance_request w;
	struct replica_load peer = { 1, 0, 200000, 100 };
	uint64_t now = 10 * S;
	double before;

	memset(&w, 0, sizeof(w));
	balance_set_names(&w, "llm", "m", "");
	w.engine = &g;
	w.zone = "z1";
	w.prompt_tokens = 1000;
	w.prefill_ns = 100 * NSEC_PER_MSEC;
	w.max_conns = 10;
	directory_init(&d);
	ma = directory_put(&d, &a);
	ma->prefill_share = 1.0;
	directory_prompt_sent(ma, now, 250000);
	CU_ASSERT_EQUAL(directory_recent_prefill_us(&d, now, ma), 250000);
	CU_ASSERT_EQUAL(balance_pick(&d, now, &w, 0.0, &m), BALANCE_FULL);
	g.tokens_per_event = 2; /* two prefill steps fit into the gap */
	CU_ASSERT_EQUAL(balance_pick(&d, now, &w, 0.0, &m), BALANCE_FOUND);
	g.tokens_per_event = 3;
	now += d.prefill_window_ns;
	CU_ASSERT_EQUAL(directory_recent_prefill_us(&d, now, ma), 0);
	CU_ASSERT_EQUAL(balance_pick(&d, now, &w, 0.0, &m), BALANCE_FOUND);
	/* Prompts sent by a peer count less with the age of its report. */
	directory_reset_peer_load(&d, now, 0);
	directory_set_peer_load(&d, 0, "a", &peer);
	CU_ASSERT_EQUAL(directory_total_load(&d, now, ma).recent_us, 200000);
	CU_ASSERT_EQUAL(
	    directory_total_load(&d, now + d.prefill_window_ns / 2, ma)
		.recent_us,
	    100000);
	/* The prefill share drops on long event gaps and recovers. */
	before = directory_prefill_share(ma, now);
	directory_stream_paused(&d, now, ma);
	CU_ASSERT_TRUE(directory_prefill_share(ma, now) < before);
	before = directory_prefill_share(ma, now);
	directory_stream_paused(&d, now, ma); /* at most once per second */
	CU_ASSERT_EQUAL(directory_prefill_share(ma, now), before);
	CU_ASSERT_TRUE(directory_prefill_share(ma, now + 60 * S) > before);
	/* Late requests get a smaller prefill share. */
	ma->prefill_share = 1.0;
	ma->prefill_share_at = now;
	peer.recent_us = 130000;
	directory_set_peer_load(&d, 0, "a", &peer);
	CU_ASSERT_EQUAL(balance_pick(&d, now, &w, 0.0, &m), BALANCE_FOUND);
	w.past_target = 1;
	CU_ASSERT_EQUAL(balance_pick(&d, now, &w, 0.0, &m), BALANCE_FULL);
	directory_clear(&d);
}

static void
test_balance_choice(void)
{
	struct fleet_engine g = { .slots = 4, .kv_tokens = 1000 };
	struct directory d;
	struct fleet_replica a = make_replica("a", "m");
	struct fleet_replica b = make_replica("b", "m");
	struct directory_replica *ma, *mb, *m;
	struct balance_request w;

	memset(&w, 0, sizeof(w));
	balance_set_names(&w, "llm", "m", "");
	w.engine = &g;
	w.zone = "z1";
	w.tokens = 300;
	w.max_conns = 10;
	strcpy(b.zone, "z2");
	directory_init(&d);
	ma = directory_put(&d, &a);
	mb = directory_put(&d, &b);
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_FOUND);
	CU_ASSERT_PTR_EQUAL(m, ma); /* in the same data centre */
	ma->local_load.running = 4;
	balance_pick(&d, S, &w, 0.0, &m);
	CU_ASSERT_PTR_EQUAL(m, mb); /* a has no free slot */
	ma->local_load.running = 1;
	ma->local_load.tokens = 700;
	balance_pick(&d, S, &w, 0.0, &m);
	CU_ASSERT_PTR_EQUAL(m, mb); /* a has no free KV cache */
	mb->local_load.running = 4;
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_FULL);
	mb->local_load.running = 0;
	ma->local_load.tokens = 0;
	w.ntried = 1;
	strcpy(w.tried[0], "a");
	balance_pick(&d, S, &w, 0.0, &m);
	CU_ASSERT_PTR_EQUAL(m, mb); /* a was tried before */
	mb->presence = PRESENCE_REMOVED;
	balance_pick(&d, S, &w, 0.0, &m);
	CU_ASSERT_PTR_EQUAL(m, ma); /* tried before, but the only one left */
	directory_clear(&d);
}

/* Requests with the same key share a replica, whoever sends them. */
static void
test_balance_affinity(void)
{
	struct fleet_engine g = { .slots = 4, .kv_tokens = 1000 };
	struct directory d;
	struct fleet_replica a = make_replica("a", "m");
	struct fleet_replica b = make_replica("b", "m");
	struct directory_replica *ma, *mb, *m;
	struct balance_request w;
	uint64_t key;
	uint32_t at_a = 0;

	memset(&w, 0, sizeof(w));
	balance_set_names(&w, "llm", "m", "");
	w.engine = &g;
	w.max_conns = 10;
	directory_init(&d);
	ma = directory_put(&d, &a);
	mb = directory_put(&d, &b);
	for (key = 1; key <= 100; key++) {
		w.affinity_key = key;
		w.zone = "z1";
		ma->local_load.running = 0;
		mb->local_load.running = 3;
		CU_ASSERT_EQUAL(
		    balance_pick(&d, S, &w, 0.0, &m), BALANCE_FOUND);
		at_a += m == ma;
		w.zone = "z2";
		m->local_load.running = 3;
		(m == ma ? mb : ma)->local_load.running = 0;
		ma = m;
		CU_ASSERT_EQUAL(
		    balance_pick(&d, S, &w, 0.9, &m), BALANCE_FOUND);
		CU_ASSERT_PTR_EQUAL(m, ma);
		/* While it is full they wait, although another is free. */
		m->local_load.running = 4;
		CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_FULL);
		CU_ASSERT_PTR_NULL(m);
		w.take_full = 1;
		CU_ASSERT_EQUAL(
		    balance_pick(&d, S, &w, 0.0, &m), BALANCE_FOUND);
		CU_ASSERT_PTR_EQUAL(m, ma); /* where they wait */
		w.take_full = 0;
		ma = directory_find(&d, "a");
		mb = directory_find(&d, "b");
	}
	CU_ASSERT(at_a > 25 && at_a < 75);
	/* One that failed comes last until it has answered again. */
	memset(&ma->local_load, 0, sizeof(ma->local_load));
	memset(&mb->local_load, 0, sizeof(mb->local_load));
	for (key = 1; key <= 20; key++) {
		w.affinity_key = key;
		balance_pick(&d, S, &w, 0.0, &m);
		directory_attempt_failed(m, S, 1);
		ma = m;
		CU_ASSERT_EQUAL(
		    balance_pick(&d, 100 * S, &w, 0.0, &m), BALANCE_FOUND);
		CU_ASSERT_PTR_NOT_EQUAL(m, ma);
		directory_attempt_succeeded(ma, 100 * S);
		CU_ASSERT_EQUAL(
		    balance_pick(&d, 100 * S, &w, 0.0, &m), BALANCE_FOUND);
		CU_ASSERT_PTR_EQUAL(m, ma);
	}
	directory_clear(&d);
}

static void
test_balance_failures(void)
{
	struct fleet_engine g = { .slots = 4, .kv_tokens = 1000 };
	struct directory d;
	struct fleet_replica a = make_replica("a", "m");
	struct directory_replica *m;
	struct balance_request w;

	memset(&w, 0, sizeof(w));
	balance_set_names(&w, "llm", "m", "m/a1");
	w.engine = &g;
	w.zone = "z1";
	w.max_conns = 10;
	directory_init(&d);
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_NO_REPLICA);
	directory_put(&d, &a);
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_NO_ADAPTER);
	balance_set_names(&w, "llm", "n", "m/a1");
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_NO_MODEL);
	balance_set_names(&w, "other", "n", "m/a1");
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_NO_REPLICA);
	directory_clear(&d);
}

/*
 * 76 processes send 180 requests a second of 60 ms to three replicas of six
 * slots and report their load every 200 ms.  Returns how many of 3,600 find
 * their replica full.
 */
static uint32_t
replay_herd(int ignore_peers)
{
	static uint64_t ends[3][3600];
	struct directory d;
	struct balance_request w;
	struct directory_replica *m;
	struct replica_load load = { 0, 0, 0, 0 };
	struct fleet_replica r;
	uint32_t nends[3] = { 0, 0, 0 };
	uint32_t rejected = 0;
	uint64_t seed = 1;
	uint64_t now;
	uint32_t running;
	uint32_t i;
	uint32_t k;
	uint32_t at;
	char id[2] = "a";

	directory_init(&d);
	memset(&w, 0, sizeof(w));
	balance_set_names(&w, "llm", "", "");
	w.zone = "z1";
	w.max_conns = 10;
	w.ignore_peers = ignore_peers;
	for (at = 0; at < 3; at++) {
		id[0] = (char)('a' + at);
		r = make_replica(id, "");
		r.slots = 6;
		snprintf(r.addr, sizeof(r.addr), "10.0.0.%u:80", at);
		directory_put(&d, &r);
	}
	for (i = 0; i < 3600; i++) {
		now = 10 * S + i * S / 180;
		seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
		if (i % 36 == 0)
			directory_reset_peer_load(&d, now, 0);
		for (at = 0; at < 3 && i % 36 == 0; at++) {
			for (running = 0, k = 0; k < nends[at]; k++)
				running += ends[at][k] > now;
			load.running = running;
			id[0] = (char)('a' + at);
			directory_set_peer_load(&d, 0, id, &load);
		}
		if (balance_pick(&d, now, &w,
			(double)(seed >> 11) / 9007199254740992.0,
			&m) != BALANCE_FOUND) {
			rejected++;
			continue;
		}
		at = (uint32_t)(m->info.id[0] - 'a');
		for (running = 0, k = 0; k < nends[at]; k++)
			running += ends[at][k] > now;
		if (running >= 6)
			rejected++;
		else
			ends[at][nends[at]++] = now + 60 * MS;
	}
	directory_clear(&d);
	return rejected;
}

/* Reports older than a request: a choice by them sends all to one replica. */
static void
test_late_reports(void)
{
	uint32_t before = replay_herd(0);
	uint32_t after = replay_herd(1);

	printf("late reports: %u of 3600 rejected, by reports %u\n", after,
	    before);
	CU_ASSERT(after < 3600 / 5);
	CU_ASSERT(after < before / 2);
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
	{ "balance choice", test_balance_choice },
	{ "same replica for a key", test_balance_affinity },
	{ "address reused", test_address_reused },
	{ "prefill share", test_prefill_share },
	{ "balance failures", test_balance_failures },
	{ "late reports", test_late_reports },
};

UNIT_MAIN("fleet", cases)
