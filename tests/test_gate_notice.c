/* The gate and what backend servers say of themselves in their answers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate_fixture.h"
#include "unit.h"

static void head_event(uint64_t, int, int, uint64_t);
static void list_service(uint32_t);
static const struct gate_action *start_order(uint64_t);
static void test_closed_instance(void);
static void test_all_instances_closed(void);
static void test_closed_engine(void);
static void test_limited_engine(void);
static void test_unsent_withdrawn(void);
static void test_leaving_instance(void);
static void list_engine(uint64_t);
static int granted(uint64_t);
static void test_later_incarnation(void);

/* The head and end of an answer with the target's notices. */
static void
head_event(uint64_t id, int status, int leaving, uint64_t closed_ns)
{
	struct gate_fetch_event f = { 0 };

	f.kind = FETCH_HEAD;
	f.fetch_id = id;
	f.status = status;
	f.leaving = leaving;
	f.closed_ns = closed_ns;
	f.payload = &payload;
	gate_handle_fetch(gate, now, &f, &out);
	fetch_event(id, FETCH_END, PHASE_RESPONSE_STARTED, 0);
}

/* Lists the first instance of the service as leaving, or not. */
static void
list_service(uint32_t leaving)
{
	struct msg *m = msg_create(MSG_SERVICE, "");

	strcpy(m->u.service.name, "shop");
	m->u.service.version = 2;
	m->u.service.nbackends = 1;
	strcpy(m->u.service.backends[0].name, "s0");
	m->u.service.backends[0].leaving = leaving;
	gate_handle_message(gate, now, m, &out);
	msg_destroy(m);
}

/* Starts an order; returns its fetch, or NULL. */
static const struct gate_action *
start_order(uint64_t rid)
{
	clear_actions();
	start_request(rid, 1, 0);
	return last_action(GATE_START_FETCH);
}

/* Others take the orders of an instance that takes none for a time. */
static void
test_closed_instance(void)
{
	char closed[NAME_SIZE];
	const struct gate_action *act;
	uint64_t rid;

	setup("");
	strcpy(closed, start_order(1)->target);
	head_event(1, 503, 0, 3 * NSEC_PER_SEC);
	CU_ASSERT_PTR_NOT_NULL(last_action(GATE_END_RESPONSE));
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_action(GATE_REPORT_NOTICE));
	CU_ASSERT_EQUAL(
	    last_action(GATE_REPORT_NOTICE)->notice, GATE_SAYS_CLOSED);
	for (rid = 2; rid < 30; rid++) {
		tick(100 * MSEC);
		act = start_order(rid);
		CU_ASSERT_PTR_NOT_NULL_FATAL(act);
		CU_ASSERT(act != NULL && strcmp(act->target, closed) != 0);
		head_event(rid, 200, 0, 0);
	}
	tick(300 * MSEC);
	for (; rid < 60; rid++) {
		act = start_order(rid);
		head_event(rid, 200, 0, 0);
		if (strcmp(act->target, closed) == 0)
			break;
	}
	CU_ASSERT(rid < 60);
	teardown();
}

/* An order waits for the first time that ends, or is refused with it. */
static void
test_all_instances_closed(void)
{
	uint64_t first;

	setup("");
	start_order(1);
	head_event(1, 503, 0, 6 * NSEC_PER_SEC);
	first = now + 6 * NSEC_PER_SEC;
	start_order(2);
	head_event(2, 503, 0, 8 * NSEC_PER_SEC);
	CU_ASSERT_PTR_NULL(start_order(3));
	tick(5 * MSEC);
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_action(GATE_FAIL_REQUEST));
	CU_ASSERT_EQUAL(
	    last_action(GATE_FAIL_REQUEST)->outcome, OUTCOME_UNREACHABLE);
	CU_ASSERT_EQUAL(last_action(GATE_FAIL_REQUEST)->reopen_at, first);
	tick(2 * NSEC_PER_SEC);
	CU_ASSERT_PTR_NULL(start_order(4));
	tick(first - now - MSEC);
	CU_ASSERT_PTR_NULL(last_action(GATE_START_FETCH));
	CU_ASSERT_PTR_NULL(last_action(GATE_FAIL_REQUEST));
	tick(2 * MSEC);
	CU_ASSERT_PTR_NOT_NULL(last_action(GATE_START_FETCH));
	teardown();
}

/* The owner hears of an engine's limit; without it nothing is sent there. */
static void
test_limited_engine(void)
{
	struct gate_fetch_event f = { 0 };
	struct msg *m;
	char limited[NAME_SIZE];
	uint64_t told = 0;
	uint64_t rid;

	setup("10.0.0.1:1");
	start_request(1, 0, 0);
	send_grant(1, 1, "r0");
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_action(GATE_START_FETCH));
	f.kind = FETCH_HEAD;
	f.fetch_id = last_action(GATE_START_FETCH)->fetch_id;
	f.status = 200;
	f.limit_per_s = 2.5;
	f.payload = &payload;
	strcpy(limited, last_action(GATE_START_FETCH)->target);
	gate_handle_fetch(gate, now, &f, &out);
	CU_ASSERT_EQUAL(
	    last_action(GATE_REPORT_NOTICE)->notice, GATE_SAYS_LIMIT);
	m = last_action(GATE_SEND_MSG) == NULL
	    ? NULL
	    : last_action(GATE_SEND_MSG)->msg;
	CU_ASSERT_PTR_NOT_NULL_FATAL(m);
	if (m != NULL && m->kind == MSG_REPORT)
		told = m->u.report.items[0].limit_per_1000_s;
	CU_ASSERT_EQUAL(told, 2500);
	/* The owner answers nothing any more. */
	for (rid = 2; rid < 12; rid++) {
		clear_actions();
		start_request(rid, 0, 0);
		tick(100 * MSEC);
		if (last_action(GATE_START_FETCH) != NULL)
			CU_ASSERT_STRING_NOT_EQUAL(
			    last_action(GATE_START_FETCH)->target, limited);
	}
	teardown();
}

/* The owner hears of a closed engine; its grants there are given back. */
static void
test_closed_engine(void)
{
	struct gate_action *act;
	struct msg *refuse;
	uint64_t told = 0;

	setup("10.0.0.1:1");
	start_request(1, 0, 1);
	send_grant(1, 1, "r0");
	clear_actions();
	head_event(1, 503, 0, 3 * NSEC_PER_SEC);
	TAILQ_FOREACH (act, &out, entry) {
		if (act->kind == GATE_SEND_MSG && act->msg->kind == MSG_REPORT)
			told = act->msg->u.report.items[0].closed_ns;
		/* Told before the slot is free. */
		if (act->kind == GATE_SEND_MSG && act->msg->kind == MSG_RELEASE)
			CU_ASSERT_EQUAL(told, 3 * NSEC_PER_SEC);
	}
	CU_ASSERT_EQUAL(told, 3 * NSEC_PER_SEC);
	tick(100 * MSEC);
	clear_actions();
	send_grant(1, 2, "r0");
	CU_ASSERT_PTR_NULL(last_action(GATE_START_FETCH));
	CU_ASSERT_EQUAL(count_sent(MSG_RELEASE), 1);
	refuse = msg_create(MSG_REFUSE, "");
	refuse->u.refuse.key.rid = 1;
	refuse->u.refuse.key.attempt = 2;
	refuse->u.refuse.reason = REFUSE_DEADLINE;
	refuse->u.refuse.retry_ns = 2 * NSEC_PER_SEC;
	gate_handle_message(gate, now, refuse, &out);
	msg_destroy(refuse);
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_action(GATE_FAIL_REQUEST));
	CU_ASSERT_EQUAL(
	    last_action(GATE_FAIL_REQUEST)->reopen_at, now + 2 * NSEC_PER_SEC);
	teardown();
}

/* Only requests of which nothing was written are taken back. */
static void
test_unsent_withdrawn(void)
{
	struct gate_action *act;
	int withdrawn = 0;

	setup("10.0.0.1:1");
	start_request(1, 0, 1);
	start_request(2, 0, 1);
	start_request(3, 0, 1);
	send_grant(1, 1, "r0");
	send_grant(2, 1, "r0");
	send_grant(3, 1, "r0");
	fetch_event(2, FETCH_PHASE, PHASE_REQUEST_WRITTEN, 0);
	head_event(1, 503, 0, NSEC_PER_SEC);
	TAILQ_FOREACH (act, &out, entry) {
		if (act->kind == GATE_WITHDRAW_FETCH) {
			CU_ASSERT_EQUAL(act->fetch_id, 3);
			withdrawn++;
		}
	}
	CU_ASSERT_EQUAL(withdrawn, 1);
	teardown();
}

/* One that leaves gets no order until it is undrained, or after ten minutes. */
static void
test_leaving_instance(void)
{
	setup("");
	list_service(0);
	CU_ASSERT_PTR_NOT_NULL(start_order(1));
	head_event(1, 200, 1, 0);
	CU_ASSERT_PTR_NOT_NULL(last_action(GATE_END_RESPONSE));
	CU_ASSERT_PTR_NULL(start_order(2));
	list_service(1);
	CU_ASSERT_PTR_NULL(start_order(3));
	list_service(0);
	CU_ASSERT_PTR_NOT_NULL(start_order(4));
	head_event(2, 200, 1, 0);
	CU_ASSERT_PTR_NULL(start_order(5));
	tick(599 * NSEC_PER_SEC);
	CU_ASSERT_PTR_NULL(start_order(6));
	tick(2 * NSEC_PER_SEC);
	CU_ASSERT_PTR_NOT_NULL(start_order(7));
	teardown();
}

/* Lists only r0, with an incarnation. */
static void
list_engine(uint64_t incarnation)
{
	struct msg *m = msg_create(MSG_CELL, "");
	struct msg_replica *r = &m->u.cell.replicas[0];

	strcpy(m->u.cell.cell, "main");
	strcpy(m->u.cell.owner, "10.0.0.1:1");
	m->u.cell.version = 1 + incarnation;
	m->u.cell.nreplicas = 1;
	strcpy(r->name, "r0");
	strcpy(r->models[r->nmodels++], "m");
	r->incarnation = incarnation;
	gate_handle_message(gate, now, m, &out);
	msg_destroy(m);
}

/* Starts a request that is granted r0; returns whether it is sent there. */
static int
granted(uint64_t rid)
{
	start_request(rid, 0, 1);
	clear_actions();
	send_grant(rid, 1, "r0");
	return last_action(GATE_START_FETCH) != NULL;
}

/*
 * An incarnation that is listed after its predecessor closed may be the one
 * that did: one request until it answers or the time ends.
 */
static void
test_later_incarnation(void)
{
	setup("10.0.0.1:1");
	list_engine(5);
	CU_ASSERT(granted(1));
	head_event(1, 503, 0, 3 * NSEC_PER_SEC);
	CU_ASSERT(!granted(2));
	list_engine(6);
	CU_ASSERT(granted(3));
	CU_ASSERT(!granted(4));
	fetch_event(2, FETCH_FAILED, PHASE_REQUEST_WRITTEN, 0);
	CU_ASSERT(!granted(5));
	list_engine(7);
	CU_ASSERT(granted(6));
	fetch_event(3, FETCH_HEAD, PHASE_RESPONSE_STARTED, 0);
	CU_ASSERT(granted(7));
	CU_ASSERT(granted(8));
	teardown();
}

static const struct unit_case cases[] = {
	{ "closed instance", test_closed_instance },
	{ "all instances closed", test_all_instances_closed },
	{ "limit of an engine", test_limited_engine },
	{ "closed engine", test_closed_engine },
	{ "unsent requests are withdrawn", test_unsent_withdrawn },
	{ "instance that leaves by its own word", test_leaving_instance },
	{ "incarnation listed later", test_later_incarnation },
};

UNIT_MAIN("gate_notice", cases)
