/* Membership: incarnations, suspicion, relays, leaving, restarts. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member.h"
#include "unit.h"

#define NODES 4
#define STEP (50 * NSEC_PER_MSEC)

static struct member *nodes[NODES];
static struct node_id ids[NODES];
static int link_cut[NODES][NODES];
static uint64_t now;

static void start_node(int, uint64_t);
static void setup(void);
static void teardown(void);
static void run_nodes(uint64_t);
static enum member_state state_seen(int, int);
static void test_all_alive(void);
static void test_death(void);
static void test_relay(void);
static void test_restart(void);
static void test_leaving(void);
static void test_partition_heals(void);

static void
start_node(int i, uint64_t incarnation)
{
	struct member_config c;
	int k;

	member_config_default(&c);
	snprintf(ids[i].addr, sizeof(ids[i].addr), "10.0.0.%d:1", i + 1);
	ids[i].incarnation = incarnation;
	member_destroy(nodes[i]);
	nodes[i] = member_create(&c, &ids[i], (uint64_t)i + 1);
	for (k = 0; k < NODES; k++) {
		if (ids[k].addr[0] != '\0')
			member_add_seed(nodes[i], now, ids[k].addr);
	}
}

static void
setup(void)
{
	int i;

	now = NSEC_PER_SEC;
	memset(nodes, 0, sizeof(nodes));
	memset(link_cut, 0, sizeof(link_cut));
	for (i = 0; i < NODES; i++)
		snprintf(
		    ids[i].addr, sizeof(ids[i].addr), "10.0.0.%d:1", i + 1);
	for (i = 0; i < NODES; i++)
		start_node(i, 1);
}

static void
teardown(void)
{
	int i;

	for (i = 0; i < NODES; i++) {
		member_destroy(nodes[i]);
		nodes[i] = NULL;
	}
}

/* Runs all nodes; messages arrive at once unless the link is cut. */
static void
run_nodes(uint64_t ns)
{
	struct msg_list out;
	struct msg *m;
	uint64_t until = now + ns;
	int i;
	int k;

	for (; now < until; now += STEP) {
		for (i = 0; i < NODES; i++) {
			if (nodes[i] == NULL)
				continue;
			TAILQ_INIT(&out);
			member_tick(nodes[i], now, &out);
			while ((m = TAILQ_FIRST(&out)) != NULL) {
				TAILQ_REMOVE(&out, m, entry);
				if (m->from.addr[0] == '\0')
					m->from = ids[i];
				for (k = 0; k < NODES; k++) {
					struct msg_list more;
					struct msg *r;
					int from;

					if (strcmp(m->to, ids[k].addr) != 0 ||
					    nodes[k] == NULL)
						continue;
					from = m->from.addr[7] - '1';
					if (link_cut[from][k])
						continue;
					TAILQ_INIT(&more);
					member_handle_message(
					    nodes[k], now, m, &more);
					TAILQ_FOREACH (r, &more, entry)
						r->from = ids[k];
					TAILQ_CONCAT(&out, &more, entry);
				}
				msg_destroy(m);
			}
		}
	}
}

static enum member_state
state_seen(int by, int of)
{
	return member_get_state(nodes[by], ids[of].addr, ids[of].incarnation);
}

static void
test_all_alive(void)
{
	int i;
	int k;

	setup();
	run_nodes(10 * NSEC_PER_SEC);
	for (i = 0; i < NODES; i++) {
		CU_ASSERT_EQUAL(member_count_live(nodes[i]), NODES - 1);
		for (k = 0; k < NODES; k++)
			CU_ASSERT_EQUAL(state_seen(i, k), MEMBER_ALIVE);
	}
	teardown();
}

static void
test_death(void)
{
	setup();
	run_nodes(5 * NSEC_PER_SEC);
	member_destroy(nodes[3]);
	nodes[3] = NULL;
	run_nodes(8 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(state_seen(0, 3), MEMBER_DEAD);
	CU_ASSERT_EQUAL(state_seen(1, 3), MEMBER_DEAD);
	CU_ASSERT_EQUAL(state_seen(0, 2), MEMBER_ALIVE);
	teardown();
}

/* A single broken link is bridged by indirect probes: no suspicion arises. */
static void
test_relay(void)
{
	setup();
	run_nodes(5 * NSEC_PER_SEC);
	link_cut[0][1] = link_cut[1][0] = 1;
	run_nodes(10 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(state_seen(0, 1), MEMBER_ALIVE);
	CU_ASSERT_EQUAL(state_seen(1, 0), MEMBER_ALIVE);
	teardown();
}

static void
test_restart(void)
{
	setup();
	run_nodes(5 * NSEC_PER_SEC);
	start_node(2, 2);
	run_nodes(5 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(
	    member_get_state(nodes[0], ids[2].addr, 1), MEMBER_DEAD);
	CU_ASSERT_EQUAL(
	    member_get_state(nodes[0], ids[2].addr, 2), MEMBER_ALIVE);
	CU_ASSERT_EQUAL(member_latest_incarnation(nodes[0], ids[2].addr), 2);
	/* A restarted process reports its own new incarnation. */
	CU_ASSERT_EQUAL(member_latest_incarnation(nodes[2], ids[2].addr), 2);
	teardown();
}

/* MEMBER_LEAVING lasts until the next incarnation. */
static void
test_leaving(void)
{
	setup();
	run_nodes(5 * NSEC_PER_SEC);
	member_mark_leaving(nodes[0], now, ids[1].addr);
	run_nodes(5 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(state_seen(0, 1), MEMBER_LEAVING);
	CU_ASSERT_EQUAL(state_seen(2, 1), MEMBER_LEAVING);
	member_add_seed(nodes[0], now, ids[1].addr);
	run_nodes(5 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(state_seen(0, 1), MEMBER_LEAVING);
	start_node(1, 2);
	run_nodes(5 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(state_seen(0, 1), MEMBER_ALIVE);
	CU_ASSERT_EQUAL(state_seen(2, 1), MEMBER_ALIVE);
	teardown();
}

/* Both sides of a healed partition become alive to each other again. */
static void
test_partition_heals(void)
{
	int i;
	int k;

	setup();
	run_nodes(5 * NSEC_PER_SEC);
	for (i = 0; i < 2; i++)
		for (k = 2; k < NODES; k++)
			link_cut[i][k] = link_cut[k][i] = 1;
	run_nodes(15 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(state_seen(0, 3), MEMBER_DEAD);
	CU_ASSERT_EQUAL(state_seen(0, 1), MEMBER_ALIVE);
	memset(link_cut, 0, sizeof(link_cut));
	run_nodes(40 * NSEC_PER_SEC);
	for (i = 0; i < NODES; i++)
		for (k = 0; k < NODES; k++)
			CU_ASSERT_EQUAL(state_seen(i, k), MEMBER_ALIVE);
	teardown();
}

static const struct unit_case cases[] = {
	{ "all alive", test_all_alive },
	{ "death", test_death },
	{ "broken link", test_relay },
	{ "restart", test_restart },
	{ "leaving", test_leaving },
	{ "partition heals", test_partition_heals },
};

UNIT_MAIN("member", cases)
