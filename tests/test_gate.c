/* Request handling of the gate: phases, outcomes, local selection, hedges. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate_fixture.h"
#include "unit.h"

static void test_order_failed_after_write(void);
static void test_order_not_connected(void);
static void test_owner_silent(void);
static void test_no_owner(void);
static void test_resume(void);
static void test_other_answer_to_resumed_stream(void);
static void test_unused_grant(void);
static void test_interleaved_responses(void);
static void test_hedge(void);
static void test_cancel_queued(void);
static void test_cancel_running(void);
static void test_order_caller_gone(void);
static void test_engine_without_model(void);
static void send_cell(const char *, const char *, uint32_t);
static void test_least_loaded_cell(void);
static void test_declared_not_resident(void);

/* An order that fails after it was sent: no retry, outcome unknown. */
static void
test_order_failed_after_write(void)
{
	setup("10.0.0.1:1");
	start_request(1, 1, 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_action(GATE_START_FETCH));
	CU_ASSERT(last_action(GATE_START_FETCH)->at_most_once);
	fetch_event(1, FETCH_PHASE, PHASE_REQUEST_WRITTEN, 0);
	clear_actions();
	fetch_event(1, FETCH_FAILED, PHASE_REQUEST_WRITTEN, 0);
	CU_ASSERT_PTR_NULL(last_action(GATE_START_FETCH));
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_action(GATE_FAIL_REQUEST));
	CU_ASSERT_EQUAL(
	    last_action(GATE_FAIL_REQUEST)->outcome, OUTCOME_UNKNOWN);
	teardown();
}

/* An order that was never sent: other instances, then "not run". */
static void
test_order_not_connected(void)
{
	uint64_t id;

	setup("10.0.0.1:1");
	start_request(1, 1, 0);
	for (id = 1; last_action(GATE_FAIL_REQUEST) == NULL && id < 20; id++) {
		fetch_event(id, FETCH_FAILED, PHASE_CONNECTING, 0);
		tick(200 * MSEC);
	}
	CU_ASSERT_EQUAL(id, 6); /* five attempts */
	CU_ASSERT_EQUAL(
	    last_action(GATE_FAIL_REQUEST)->outcome, OUTCOME_UNREACHABLE);
	CU_ASSERT(gate_outcome_not_run(OUTCOME_UNREACHABLE));
	teardown();
}

/* Without a reply from the owner the gate selects a replica in 30 ms. */
static void
test_owner_silent(void)
{
	setup("10.0.0.1:1");
	start_request(1, 0, 1);
	CU_ASSERT_EQUAL(count_sent(MSG_ACQUIRE), 1);
	tick(20 * MSEC);
	CU_ASSERT_PTR_NULL(last_action(GATE_START_FETCH));
	tick(15 * MSEC);
	CU_ASSERT_PTR_NOT_NULL(last_action(GATE_START_FETCH));
	teardown();
}

static void
test_no_owner(void)
{
	setup("");
	start_request(1, 0, 1);
	CU_ASSERT_PTR_NOT_NULL(last_action(GATE_START_FETCH));
	CU_ASSERT_EQUAL(count_sent(MSG_ACQUIRE), 0);
	teardown();
}

/* An interrupted stream resumes elsewhere after the delivered tokens. */
static void
test_resume(void)
{
	setup("10.0.0.1:1");
	start_request(1, 0, 1);
	send_grant(1, 1, "r0");
	fetch_event(1, FETCH_HEAD, PHASE_RESPONSE_STARTED, 0);
	fetch_event(1, FETCH_DATA, PHASE_RESPONSE_STARTED, 1);
	fetch_event(1, FETCH_DATA, PHASE_RESPONSE_STARTED, 1);
	clear_actions();
	fetch_event(1, FETCH_FAILED, PHASE_RESPONSE_STARTED, 0);
	tick(100 * MSEC);
	CU_ASSERT_EQUAL(count_sent(MSG_ACQUIRE), 1);
	clear_actions();
	send_grant(1, 2, "r1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_action(GATE_START_FETCH));
	CU_ASSERT_EQUAL(last_action(GATE_START_FETCH)->resume_tokens, 2);
	clear_actions();
	/* The second head is not forwarded. */
	fetch_event(2, FETCH_HEAD, PHASE_RESPONSE_STARTED, 0);
	CU_ASSERT_PTR_NULL(last_action(GATE_FORWARD_DATA));
	fetch_event(2, FETCH_DATA, PHASE_RESPONSE_STARTED, 1);
	CU_ASSERT_PTR_NOT_NULL(last_action(GATE_FORWARD_DATA));
	fetch_event(2, FETCH_END, PHASE_RESPONSE_STARTED, 0);
	CU_ASSERT_PTR_NOT_NULL(last_action(GATE_END_RESPONSE));
	teardown();
}

/* An error's body was taken for the rest of a stream that had begun. */
static void
test_other_answer_to_resumed_stream(void)
{
	struct gate_fetch_event f = { .kind = FETCH_HEAD };

	setup("10.0.0.1:1");
	start_request(1, 0, 1);
	send_grant(1, 1, "r0");
	fetch_event(1, FETCH_HEAD, PHASE_RESPONSE_STARTED, 0);
	fetch_event(1, FETCH_DATA, PHASE_RESPONSE_STARTED, 1);
	fetch_event(1, FETCH_FAILED, PHASE_RESPONSE_STARTED, 0);
	tick(100 * MSEC);
	send_grant(1, 2, "r1");
	clear_actions();
	f.fetch_id = 2;
	f.status = 400;
	f.payload = &payload;
	gate_handle_fetch(gate, now, &f, &out);
	CU_ASSERT_PTR_NOT_NULL(last_action(GATE_FREE_PAYLOAD));
	fetch_event(2, FETCH_DATA, PHASE_RESPONSE_STARTED, 0);
	fetch_event(2, FETCH_END, PHASE_RESPONSE_STARTED, 0);
	CU_ASSERT_PTR_NULL(last_action(GATE_FORWARD_DATA));
	CU_ASSERT_PTR_NULL(last_action(GATE_END_RESPONSE));
	teardown();
}

/* A grant that arrives after a local selection is released. */
static void
test_unused_grant(void)
{
	setup("10.0.0.1:1");
	start_request(1, 0, 1);
	tick(40 * MSEC);
	CU_ASSERT_PTR_NOT_NULL(last_action(GATE_START_FETCH));
	clear_actions();
	send_grant(1, 1, "r1");
	CU_ASSERT_PTR_NULL(last_action(GATE_START_FETCH));
	CU_ASSERT_EQUAL(count_sent(MSG_RELEASE), 1);
	clear_actions();
	send_grant(77, 1, "r1"); /* unknown request */
	CU_ASSERT_EQUAL(count_sent(MSG_RELEASE), 1);
	teardown();
}

/* Interleaved responses go to the request of their fetch. */
static void
test_interleaved_responses(void)
{
	struct gate_action *act;

	setup("10.0.0.1:1");
	start_request(1, 0, 1);
	start_request(2, 0, 1);
	send_grant(2, 1, "r0");
	send_grant(1, 1, "r1");
	clear_actions();
	fetch_event(1, FETCH_HEAD, PHASE_RESPONSE_STARTED, 0);
	fetch_event(1, FETCH_DATA, PHASE_RESPONSE_STARTED, 1);
	TAILQ_FOREACH (act, &out, entry) {
		if (act->kind == GATE_FORWARD_DATA)
			CU_ASSERT_EQUAL(act->rid, 2);
	}
	clear_actions();
	fetch_event(2, FETCH_HEAD, PHASE_RESPONSE_STARTED, 0);
	fetch_event(2, FETCH_DATA, PHASE_RESPONSE_STARTED, 1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_action(GATE_FORWARD_DATA));
	CU_ASSERT_EQUAL(last_action(GATE_FORWARD_DATA)->rid, 1);
	teardown();
}

/* A late first token starts a hedge; the slower attempt is closed. */
static void
test_hedge(void)
{
	setup("10.0.0.1:1");
	start_request(1, 0, 1);
	send_grant(1, 1, "r0");
	clear_actions();
	tick(1100 * MSEC);
	CU_ASSERT_EQUAL(count_sent(MSG_ACQUIRE), 1);
	send_grant(1, 2, "r1");
	clear_actions();
	fetch_event(2, FETCH_HEAD, PHASE_RESPONSE_STARTED, 0);
	fetch_event(2, FETCH_DATA, PHASE_RESPONSE_STARTED, 1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_action(GATE_STOP_FETCH));
	CU_ASSERT_EQUAL(last_action(GATE_STOP_FETCH)->fetch_id, 1);
	CU_ASSERT_EQUAL(count_sent(MSG_RELEASE), 1);
	teardown();
}

static void
test_cancel_queued(void)
{
	struct gate_stats t;

	setup("10.0.0.1:1");
	start_request(1, 0, 1);
	clear_actions();
	gate_cancel_request(gate, now, 1, &out);
	CU_ASSERT_EQUAL(count_sent(MSG_CANCEL), 1);
	gate_get_stats(gate, &t);
	CU_ASSERT_EQUAL(t.calls, 0);
	CU_ASSERT_PTR_NULL(
	    last_action(GATE_FAIL_REQUEST)); /* the caller is gone */
	teardown();
}

static void
test_cancel_running(void)
{
	setup("10.0.0.1:1");
	start_request(1, 0, 1);
	send_grant(1, 1, "r0");
	clear_actions();
	gate_cancel_request(gate, now, 1, &out);
	CU_ASSERT_PTR_NOT_NULL(last_action(GATE_STOP_FETCH));
	CU_ASSERT_EQUAL(count_sent(MSG_RELEASE), 1);
	teardown();
}

/* A sent order runs to its end although the caller disconnected. */
static void
test_order_caller_gone(void)
{
	struct gate_stats t;

	setup("10.0.0.1:1");
	start_request(1, 1, 0);
	fetch_event(1, FETCH_PHASE, PHASE_REQUEST_WRITTEN, 0);
	clear_actions();
	gate_cancel_request(gate, now, 1, &out);
	CU_ASSERT_PTR_NULL(last_action(GATE_STOP_FETCH));
	fetch_event(1, FETCH_HEAD, PHASE_RESPONSE_STARTED, 0);
	fetch_event(1, FETCH_END, PHASE_RESPONSE_STARTED, 0);
	CU_ASSERT_PTR_NULL(last_action(GATE_FORWARD_DATA));
	gate_get_stats(gate, &t);
	CU_ASSERT_EQUAL(t.calls, 0);
	teardown();
}

/* After status 404 the request goes to another engine. */
static void
test_engine_without_model(void)
{
	struct gate_fetch_event f;

	setup("10.0.0.1:1");
	start_request(1, 0, 1);
	send_grant(1, 1, "r0");
	clear_actions();
	memset(&f, 0, sizeof(f));
	f.kind = FETCH_HEAD;
	f.fetch_id = 1;
	f.status = 404;
	f.payload = &payload;
	gate_handle_fetch(gate, now, &f, &out);
	CU_ASSERT_PTR_NULL(last_action(GATE_FAIL_REQUEST));
	clear_actions();
	tick(100 * MSEC);
	CU_ASSERT_EQUAL(count_sent(MSG_ACQUIRE), 1);
	CU_ASSERT_STRING_EQUAL(
	    last_action(GATE_SEND_MSG)->msg->u.acquire.exclude, "r0");
	teardown();
}

static void
send_cell(const char *name, const char *owner, uint32_t load)
{
	struct msg *m = msg_create(MSG_CELL, "");
	struct msg_replica *r = &m->u.cell.replicas[0];

	strcpy(m->u.cell.cell, name);
	strcpy(m->u.cell.owner, owner);
	m->u.cell.version = 2;
	m->u.cell.load = load;
	m->u.cell.nreplicas = 1;
	snprintf(r->name, sizeof(r->name), "%s-r", name);
	strcpy(r->models[r->nmodels++], "m");
	gate_handle_message(gate, now, m, &out);
	msg_destroy(m);
}

/* ACQUIRE goes to the least loaded cell with the model. */
static void
test_least_loaded_cell(void)
{
	setup("10.0.0.1:1");
	send_cell("main", "10.0.0.1:1", 90);
	send_cell("second", "10.0.0.2:1", 20);
	start_request(1, 0, 1);
	CU_ASSERT_STRING_EQUAL(
	    last_action(GATE_SEND_MSG)->msg->to, "10.0.0.2:1");
	clear_actions();
	send_cell("second", "10.0.0.2:1", 95);
	start_request(2, 0, 1);
	CU_ASSERT_STRING_EQUAL(
	    last_action(GATE_SEND_MSG)->msg->to, "10.0.0.1:1");
	teardown();
}

/* A request for a declared model without a copy waits until its deadline. */
static void
test_declared_not_resident(void)
{
	struct gate_request req;
	struct msg *m;

	setup("10.0.0.1:1");
	m = msg_create(MSG_MODEL, "");
	strcpy(m->u.model.name, "absent");
	m->u.model.version = 1;
	gate_handle_message(gate, now, m, &out);
	msg_destroy(m);
	memset(&req, 0, sizeof(req));
	req.rid = 1;
	strcpy(req.model, "absent");
	req.repeatable = 1;
	req.deadline = now + NSEC_PER_SEC;
	gate_handle_request(gate, now, &req, &out);
	CU_ASSERT_EQUAL(count_sent(MSG_ACQUIRE), 1);
	tick(3 * NSEC_PER_SEC);
	CU_ASSERT_PTR_NULL(last_action(GATE_START_FETCH));
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_action(GATE_FAIL_REQUEST));
	CU_ASSERT_EQUAL(
	    last_action(GATE_FAIL_REQUEST)->outcome, OUTCOME_DEADLINE);
	teardown();
}

static const struct unit_case cases[] = {
	{ "order failed after sending", test_order_failed_after_write },
	{ "order never connected", test_order_not_connected },
	{ "owner does not reply", test_owner_silent },
	{ "no owner", test_no_owner },
	{ "resume", test_resume },
	{ "other answer to a resumed stream",
	    test_other_answer_to_resumed_stream },
	{ "grant after local selection", test_unused_grant },
	{ "interleaved responses", test_interleaved_responses },
	{ "hedge", test_hedge },
	{ "cancel while queued", test_cancel_queued },
	{ "cancel while generating", test_cancel_running },
	{ "caller of an order disconnects", test_order_caller_gone },
	{ "engine without the model", test_engine_without_model },
	{ "least loaded cell", test_least_loaded_cell },
	{ "declared model without a copy", test_declared_not_resident },
};

UNIT_MAIN("gate", cases)
