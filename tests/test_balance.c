/* Choice of a replica for a request. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance.h"
#include "fleet_fixture.h"
#include "mem.h"
#include "software.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC

static void test_prefill_share(void);
static void test_balance_choice(void);
static void test_balance_affinity(void);
static void test_affinity_after_failure(void);
static void test_balance_failures(void);
static void test_stream_keeps_software_version(void);
static uint32_t replay_herd(int);
static void test_late_reports(void);

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

/* Requests with the same key share a replica, in all processes. */
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
	directory_clear(&d);
}

/* One that failed comes last until it has answered again. */
static void
test_affinity_after_failure(void)
{
	struct directory d;
	struct fleet_replica a = make_replica("a", "m");
	struct fleet_replica b = make_replica("b", "m");
	struct directory_replica *failed, *m;
	struct balance_request w;

	memset(&w, 0, sizeof(w));
	balance_set_names(&w, "llm", "m", "");
	w.zone = "z1";
	w.max_conns = 10;
	directory_init(&d);
	directory_put(&d, &a);
	directory_put(&d, &b);
	for (w.affinity_key = 1; w.affinity_key <= 20; w.affinity_key++) {
		balance_pick(&d, S, &w, 0.0, &failed);
		directory_attempt_failed(failed, S, 1);
		CU_ASSERT_EQUAL(
		    balance_pick(&d, 100 * S, &w, 0.0, &m), BALANCE_FOUND);
		CU_ASSERT_PTR_NOT_EQUAL(m, failed);
		directory_attempt_succeeded(failed, 100 * S);
		CU_ASSERT_EQUAL(
		    balance_pick(&d, 100 * S, &w, 0.0, &m), BALANCE_FOUND);
		CU_ASSERT_PTR_EQUAL(m, failed);
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

static void
test_stream_keeps_software_version(void)
{
	static const char *const ids[] = { "a", "b", "c" };
	static const char *const versions[] = { "v1", "v2", "" };
	struct directory d;
	struct fleet_replica r;
	struct balance_request w;
	struct directory_replica *m;
	size_t i;

	directory_init(&d);
	for (i = 0; i < nitems(ids); i++) {
		r = make_replica(ids[i], "m");
		snprintf(r.software, sizeof(r.software), "%s", versions[i]);
		directory_put(&d, &r);
	}
	memset(&w, 0, sizeof(w));
	balance_set_names(&w, "llm", "m", "");
	w.zone = "z1";
	w.max_conns = 10;
	CU_ASSERT_EQUAL(balance_slots(&d, S, &w), 12);
	w.software = "v2";
	CU_ASSERT_EQUAL(balance_slots(&d, S, &w), 4);
	for (i = 0; i < 20; i++) {
		CU_ASSERT_EQUAL(
		    balance_pick(&d, S, &w, (double)i / 20, &m), BALANCE_FOUND);
		CU_ASSERT(m != NULL && strcmp(m->info.id, "b") == 0);
	}
	w.software = "v3";
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_NO_REPLICA);
	CU_ASSERT(software_is_served(&d, S, "llm", "v2"));
	CU_ASSERT(!software_is_served(&d, S, "llm", "v3"));
	CU_ASSERT(!software_is_served(&d, S, "other", "v2"));
	directory_clear(&d);
}

static const struct unit_case cases[] = {
	{ "a stream keeps its software version",
	    test_stream_keeps_software_version },
	{ "prefill share", test_prefill_share },
	{ "balance choice", test_balance_choice },
	{ "same replica for a key", test_balance_affinity },
	{ "another replica for a key after a failure",
	    test_affinity_after_failure },
	{ "balance failures", test_balance_failures },
	{ "late reports", test_late_reports },
};

UNIT_MAIN("balance", cases)
