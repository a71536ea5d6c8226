/* Routes, the directory of replicas, the choice among them, the budget. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "attempt.h"
#include "balance.h"
#include "budget.h"
#include "mem.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC

static struct fleet_replica replica(const char *, const char *);
static void test_routes(void);
static void test_split(void);
static void test_lapse(void);
static void test_gone(void);
static void test_restart(void);
static void test_avoid(void);
static void test_peers(void);
static void test_shun(void);
static void test_same_address(void);
static void test_reading(void);
static void test_choice(void);
static void test_reasons(void);
static void test_attempts(void);
static void test_once_never_again(void);
static void test_budget_window(void);
static void test_budget_shared(void);

static struct fleet_replica
replica(const char *id, const char *model)
{
	struct fleet_replica r;

	memset(&r, 0, sizeof(r));
	snprintf(r.id, sizeof(r.id), "%s", id);
	snprintf(r.service, sizeof(r.service), "llm");
	snprintf(r.addr, sizeof(r.addr), "10.0.0.1:80");
	snprintf(r.zone, sizeof(r.zone), "z1");
	r.slots = 4;
	r.born_ms = 1;
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
		strcpy(c->routes[i].prefix, prefixes[i]);
	}
	strcpy(c->routes[3].host, "other.example");
	strcpy(c->routes[3].prefix, "/a/b/c/");
	c->nroutes = 4;
	fleet_conf_finish(c);
	r = fleet_route(c, "shop.example", "/a/b/c/d");
	CU_ASSERT_STRING_EQUAL(r->prefix, "/a/b/");
	r = fleet_route(c, "SHOP.example:8080", "/a/bc");
	CU_ASSERT_STRING_EQUAL(r->prefix, "/a/");
	r = fleet_route(c, "shop.example", "/x");
	CU_ASSERT_STRING_EQUAL(r->prefix, "/");
	CU_ASSERT_PTR_NULL(fleet_route(c, "shop.example.org", "/a/"));
	CU_ASSERT_PTR_NULL(fleet_route(c, "other.example", "/a/b/c"));
	fleet_conf_destroy(c);
}

static void
test_split(void)
{
	struct fleet_route r;

	memset(&r, 0, sizeof(r));
	CU_ASSERT_PTR_NULL(fleet_target(&r, 0.5));
	r.ntargets = 3;
	r.targets[0].weight = 90;
	r.targets[1].weight = 0;
	r.targets[2].weight = 10;
	CU_ASSERT_PTR_EQUAL(fleet_target(&r, 0.0), &r.targets[0]);
	CU_ASSERT_PTR_EQUAL(fleet_target(&r, 0.89), &r.targets[0]);
	CU_ASSERT_PTR_EQUAL(fleet_target(&r, 0.91), &r.targets[2]);
	CU_ASSERT_PTR_EQUAL(fleet_target(&r, 0.999), &r.targets[2]);
}

/* An entry that lapsed while the service was away counts for two seconds. */
static void
test_lapse(void)
{
	struct directory d;
	struct fleet_replica r = replica("a", "m");
	struct member_replica *m;

	directory_init(&d);
	m = directory_put(&d, &r);
	directory_service(&d, 2 * S, 0);
	directory_remove(&d, 3 * S, "a");
	CU_ASSERT(directory_usable(m, 3 * S));
	directory_tick(&d, 60 * S);
	CU_ASSERT(directory_usable(m, 60 * S));
	directory_service(&d, 61 * S, 1);
	directory_tick(&d, 63 * S - MS);
	CU_ASSERT(directory_usable(m, 63 * S - MS));
	/* Listed again in time. */
	directory_put(&d, &r);
	directory_tick(&d, 70 * S);
	CU_ASSERT(directory_usable(m, 70 * S));
	/* Missing after that time. */
	directory_service(&d, 71 * S, 0);
	directory_remove(&d, 72 * S, "a");
	directory_service(&d, 73 * S, 1);
	directory_tick(&d, 75 * S);
	CU_ASSERT_PTR_NULL(directory_find(&d, "a"));
	/* Removed just after the return: the removal may be from before. */
	m = directory_put(&d, &r);
	directory_service(&d, 76 * S, 0);
	directory_service(&d, 77 * S, 1);
	directory_remove(&d, 78 * S, "a");
	CU_ASSERT(directory_usable(m, 78 * S));
	directory_tick(&d, 79 * S);
	CU_ASSERT_PTR_NULL(directory_find(&d, "a"));
	directory_clear(&d);
}

static void
test_gone(void)
{
	struct directory d;
	struct fleet_replica r = replica("a", "m");
	struct member_replica *m;

	directory_init(&d);
	m = directory_put(&d, &r);
	r.state = REPLICA_LEAVING;
	directory_put(&d, &r);
	CU_ASSERT(!directory_usable(m, 2 * S));
	r.state = REPLICA_READY;
	directory_put(&d, &r);
	CU_ASSERT(directory_usable(m, 3 * S));
	m->own.running = 1;
	directory_remove(&d, 10 * S, "a");
	CU_ASSERT(!directory_usable(m, 10 * S));
	directory_tick(&d, 11 * S);
	CU_ASSERT_PTR_EQUAL(directory_find(&d, "a"), m); /* work on it */
	m->own.running = 0;
	directory_tick(&d, 12 * S);
	CU_ASSERT_PTR_NULL(directory_find(&d, "a"));
	directory_clear(&d);
}

/* What was learned of an earlier start does not outlive it. */
static void
test_restart(void)
{
	struct directory d;
	struct fleet_replica r = replica("a", "m");
	struct member_replica *m;

	directory_init(&d);
	m = directory_put(&d, &r);
	strcpy(m->info.adapters[m->info.nadapters++], "m/a1");
	strcpy(m->info.adapters[m->info.nadapters++], "gone/a1");
	m->info.orders = 7;
	directory_put(&d, &r);
	CU_ASSERT(fleet_has_adapter(&m->info, "m/a1"));
	CU_ASSERT(!fleet_has_adapter(&m->info, "gone/a1"));
	CU_ASSERT_EQUAL(m->info.orders, 7);
	directory_failure(m, 2 * S, 1);
	CU_ASSERT(!directory_usable(m, 2 * S));
	r.born_ms = 2;
	r.nresident = 0;
	directory_put(&d, &r);
	CU_ASSERT(directory_usable(m, 2 * S + MS));
	CU_ASSERT_EQUAL(m->info.nadapters, 0);
	CU_ASSERT_EQUAL(m->info.orders, 0);
	directory_clear(&d);
}

/* Pauses grow with failures in a row, up to two seconds. */
static void
test_avoid(void)
{
	struct directory d;
	struct fleet_replica r = replica("a", "m");
	struct member_replica *m;
	uint64_t last = 0;
	int i;

	directory_init(&d);
	m = directory_put(&d, &r);
	directory_failure(m, S, 0);
	CU_ASSERT(directory_usable(m, S)); /* it answered */
	for (i = 0; i < 10; i++) {
		directory_failure(m, S, 1);
		CU_ASSERT(m->avoid_until - S >= last);
		last = m->avoid_until - S;
	}
	CU_ASSERT_EQUAL(last, 2 * S);
	directory_success(m, S);
	CU_ASSERT(directory_usable(m, S));
	directory_clear(&d);
}

static void
test_peers(void)
{
	struct directory d;
	struct fleet_replica r = replica("a", "m");
	struct work w = { 3, 100, 0, 200 };
	struct member_replica *m;

	directory_init(&d);
	m = directory_put(&d, &r);
	m->own.running = 1;
	directory_peer_clear(&d, S, 5);
	directory_peer_work(&d, 5, "a", &w);
	directory_peer_work(&d, 5, "unknown", &w);
	directory_peer_work(&d, DIRECTORY_PEERS_MAX, "a", &w);
	CU_ASSERT_EQUAL(directory_load(&d, S, m).running, 4);
	CU_ASSERT_EQUAL(directory_load(&d, S, m).tokens, 200);
	/* A silent peer's word ends. */
	CU_ASSERT_EQUAL(directory_load(&d, 4 * S, m).running, 1);
	directory_peer_clear(&d, 5 * S, 5);
	CU_ASSERT_EQUAL(directory_load(&d, 5 * S, m).running, 1);
	directory_clear(&d);
}

static void
test_shun(void)
{
	struct directory d;
	struct fleet_replica r = replica("a", "m");
	struct member_replica *m;
	char name[8];
	int i;

	directory_init(&d);
	m = directory_put(&d, &r);
	directory_shun(m, "m", 2 * S);
	CU_ASSERT(directory_shunned(m, S, "m"));
	CU_ASSERT(!directory_shunned(m, 2 * S, "m"));
	CU_ASSERT(!directory_shunned(m, S, "n"));
	CU_ASSERT(!directory_shunned(m, S, ""));
	/* A full table gives up what ends first. */
	for (i = 0; i < DIRECTORY_SHUNS_MAX; i++) {
		snprintf(name, sizeof(name), "x%d", i);
		directory_shun(m, name, (uint64_t)(3 + i) * S);
	}
	CU_ASSERT(!directory_shunned(m, S, "m"));
	CU_ASSERT(directory_shunned(m, S, "x0"));
	directory_clear(&d);
}

/* A replica that starts at another's address shows that the other ended. */
static void
test_same_address(void)
{
	struct directory d;
	struct fleet_replica a = replica("a", "m");
	struct fleet_replica b = replica("b", "m");

	directory_init(&d);
	a.born_ms = 1000;
	b.born_ms = 2000;
	strcpy(b.addr, a.addr);
	directory_put(&d, &a);
	directory_put(&d, &b);
	CU_ASSERT_FALSE(directory_usable(directory_find(&d, "a"), S));
	CU_ASSERT_TRUE(directory_usable(directory_find(&d, "b"), S));
	directory_put(&d, &a); /* told late: it is the earlier one still */
	CU_ASSERT_TRUE(directory_usable(directory_find(&d, "b"), S));
	directory_clear(&d);
}

/* Prompts sent lately leave no room for more until the window is over. */
static void
test_reading(void)
{
	struct fleet_engine g = {
		.slots = 4, .kv_tokens = 100000, .event_tokens = 3
	};
	struct directory d;
	struct fleet_replica a = replica("a", "m");
	struct member_replica *ma, *m;
	struct balance_request w;
	struct work peer = { 1, 0, 200000, 100 };
	uint64_t now = 10 * S;
	double before;

	memset(&w, 0, sizeof(w));
	w.service = "llm";
	w.engine = &g;
	w.model = "m";
	w.adapter = "";
	w.zone = "z1";
	w.prompt_tokens = 1000;
	w.prefill_ns = 100 * NSEC_PER_MSEC;
	w.max_conns = 10;
	directory_init(&d);
	ma = directory_put(&d, &a);
	ma->read_share = 1.0;
	directory_sent(ma, now, 250000);
	CU_ASSERT_EQUAL(directory_recent(&d, now, ma), 250000);
	CU_ASSERT_EQUAL(balance_pick(&d, now, &w, 0.0, &m), BALANCE_FULL);
	g.event_tokens = 2; /* two steps are short enough */
	CU_ASSERT_EQUAL(balance_pick(&d, now, &w, 0.0, &m), BALANCE_FOUND);
	g.event_tokens = 3;
	now += d.window_ns;
	CU_ASSERT_EQUAL(directory_recent(&d, now, ma), 0);
	CU_ASSERT_EQUAL(balance_pick(&d, now, &w, 0.0, &m), BALANCE_FOUND);
	/* What a peer sent counts less as time passes. */
	directory_peer_clear(&d, now, 0);
	directory_peer_work(&d, 0, "a", &peer);
	CU_ASSERT_EQUAL(directory_load(&d, now, ma).recent_us, 200000);
	CU_ASSERT_EQUAL(
	    directory_load(&d, now + d.window_ns / 2, ma).recent_us, 100000);
	/* The part given to reading falls with pauses and comes back. */
	before = directory_share(ma, now);
	directory_paused(&d, now, ma);
	CU_ASSERT_TRUE(directory_share(ma, now) < before);
	before = directory_share(ma, now);
	directory_paused(&d, now, ma); /* not twice in a second */
	CU_ASSERT_EQUAL(directory_share(ma, now), before);
	CU_ASSERT_TRUE(directory_share(ma, now + 60 * S) > before);
	/* Late requests get less of the room. */
	ma->read_share = 1.0;
	ma->share_at = now;
	peer.recent_us = 130000;
	directory_peer_work(&d, 0, "a", &peer);
	CU_ASSERT_EQUAL(balance_pick(&d, now, &w, 0.0, &m), BALANCE_FOUND);
	w.past_target = 1;
	CU_ASSERT_EQUAL(balance_pick(&d, now, &w, 0.0, &m), BALANCE_FULL);
	directory_clear(&d);
}

static void
test_choice(void)
{
	struct fleet_engine g = { .slots = 4, .kv_tokens = 1000 };
	struct directory d;
	struct fleet_replica a = replica("a", "m");
	struct fleet_replica b = replica("b", "m");
	struct member_replica *ma, *mb, *m;
	struct balance_request w;

	memset(&w, 0, sizeof(w));
	w.service = "llm";
	w.engine = &g;
	w.model = "m";
	w.adapter = "";
	w.zone = "z1";
	w.tokens = 300;
	w.max_conns = 10;
	strcpy(b.zone, "z2");
	directory_init(&d);
	ma = directory_put(&d, &a);
	mb = directory_put(&d, &b);
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_FOUND);
	CU_ASSERT_PTR_EQUAL(m, ma); /* the own data centre */
	ma->own.running = 4;
	balance_pick(&d, S, &w, 0.0, &m);
	CU_ASSERT_PTR_EQUAL(m, mb); /* a has no slot */
	ma->own.running = 1;
	ma->own.tokens = 700;
	balance_pick(&d, S, &w, 0.0, &m);
	CU_ASSERT_PTR_EQUAL(m, mb); /* nor memory here */
	mb->own.running = 4;
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_FULL);
	mb->own.running = 0;
	ma->own.tokens = 0;
	w.ntried = 1;
	strcpy(w.tried[0], "a");
	balance_pick(&d, S, &w, 0.0, &m);
	CU_ASSERT_PTR_EQUAL(m, mb); /* a was tried */
	mb->presence = PRESENT_GONE;
	balance_pick(&d, S, &w, 0.0, &m);
	CU_ASSERT_PTR_EQUAL(m, ma); /* better than none */
	directory_clear(&d);
}

static void
test_reasons(void)
{
	struct fleet_engine g = { .slots = 4, .kv_tokens = 1000 };
	struct directory d;
	struct fleet_replica a = replica("a", "m");
	struct member_replica *m;
	struct balance_request w;

	memset(&w, 0, sizeof(w));
	w.service = "llm";
	w.engine = &g;
	w.model = "m";
	w.adapter = "m/a1";
	w.zone = "z1";
	w.max_conns = 10;
	directory_init(&d);
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_NO_REPLICA);
	directory_put(&d, &a);
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_NO_ADAPTER);
	w.model = "n";
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_NO_MODEL);
	w.service = "other";
	CU_ASSERT_EQUAL(balance_pick(&d, S, &w, 0.0, &m), BALANCE_NO_REPLICA);
	directory_clear(&d);
}

/* Every case of kind, progress and end has one right step. */
static void
test_attempts(void)
{
	struct attempt_context f = { ROUTE_REPEATABLE, 0, 2, 0, 1, 0, 1,
		10 * S };

	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_REFUSED, S), NEXT_RETRY);
	f.attempts_made = ATTEMPTS_PER_REQUEST_MAX;
	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_REFUSED, S), NEXT_REFUSE);
	f.attempts_made = 1;
	f.retry_allowed = 0;
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_NOT_SENT, S), NEXT_REFUSE);
	f.retry_allowed = 1;
	f.runs = 1;
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_NO_RESPONSE, S), NEXT_RETRY);
	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_FAILED, S), NEXT_RETRY);
	f.runs = 2; /* as many replicas as the route allows */
	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_FAILED, S), NEXT_FORWARD);
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_TRUNCATED, S), NEXT_REPORT_UNKNOWN);
	f.runs = 1;
	CU_ASSERT_EQUAL(attempt_next_step(&f, ATTEMPT_NO_RESPONSE, 10 * S),
	    NEXT_REPORT_UNKNOWN);
	f.kind = ROUTE_STREAM;
	f.response_started = 1;
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_TRUNCATED, S), NEXT_ABORT);
	f.resumable = 1;
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_TRUNCATED, S), NEXT_RETRY);
	CU_ASSERT_EQUAL(
	    attempt_next_step(&f, ATTEMPT_ANSWERED, S), NEXT_FORWARD);
}

/* What must run once is never sent again after it may have run, and never
 * called unrun then. */
static void
test_once_never_again(void)
{
	struct attempt_context f;
	enum attempt_step step;
	int end, sends, runs, begun, budget;

	memset(&f, 0, sizeof(f));
	f.kind = ROUTE_ONCE;
	f.max_runs = 3;
	f.deadline = 10 * S;
	for (end = 0; end < ATTEMPT__MAX; end++)
		for (sends = 1; sends < 6; sends++)
			for (runs = 1; runs <= sends; runs++)
				for (begun = 0; begun < 2; begun++)
					for (budget = 0; budget < 2; budget++) {
						f.attempts_made =
						    (uint32_t)sends;
						f.runs = (uint32_t)runs;
						f.response_started = begun;
						f.retry_allowed = budget;
						step = attempt_next_step(&f,
						    (enum attempt_outcome)end,
						    S);
						CU_ASSERT(step != NEXT_RETRY);
						CU_ASSERT(step != NEXT_REFUSE);
					}
}

static void
test_budget_window(void)
{
	struct budget_config c = { 0.2, 10 * S, 10 };
	struct budget *b = mem_alloc(sizeof(*b));
	uint32_t n = 0;
	int i;

	budget_init(b, &c);
	for (i = 0; i < 100; i++)
		budget_add_request(b, S, "a");
	while (budget_allows_retry(b, S, "a")) {
		budget_add_retry(b, S, "a");
		n++;
	}
	CU_ASSERT(n > 10 && n <= 30);		   /* 0.2 * 100 + 10 at most */
	CU_ASSERT(budget_allows_retry(b, S, "b")); /* services are apart */
	CU_ASSERT(!budget_allows_retry(b, 10 * S, "a"));
	CU_ASSERT(
	    budget_allows_retry(b, 12 * S, "a")); /* the window has passed */
	free(b);
}

/* All processes together stay within the constant. */
static void
test_budget_shared(void)
{
	struct budget_config c = { 0.2, 10 * S, 54 };
	struct budget *b = mem_alloc(sizeof(*b));
	uint32_t n = 0;

	budget_init(b, &c);
	budget_set_processes(b, 9);
	while (budget_allows_retry(b, S, "a")) {
		budget_add_retry(b, S, "a");
		n++;
	}
	CU_ASSERT(n >= 3 && 9 * n <= 54);
	free(b);
}

static const struct unit_case cases[] = {
	{ "routes", test_routes },
	{ "split routes", test_split },
	{ "lapsed entries", test_lapse },
	{ "leaving and gone", test_gone },
	{ "restart", test_restart },
	{ "avoided replicas", test_avoid },
	{ "peers' work", test_peers },
	{ "shunned models", test_shun },
	{ "choice", test_choice },
	{ "two at one address", test_same_address },
	{ "room for reading prompts", test_reading },
	{ "reasons", test_reasons },
	{ "attempts", test_attempts },
	{ "once is once", test_once_never_again },
	{ "budget's window", test_budget_window },
	{ "budget shared", test_budget_shared },
};

UNIT_MAIN("fleet", cases)
