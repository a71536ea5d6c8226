#include <string.h>

#include "gate_fixture.h"

struct gate_core *gate;
struct gate_actions out;
uint64_t now;

int payload;

void
setup(const char *owner)
{
	struct node_id self = { "10.0.0.9:1", 1 };
	struct gate_config c;

	now = NSEC_PER_SEC;
	TAILQ_INIT(&out);
	gate_config_default(&c);
	gate = gate_create(&c, &self, 1);
	send_tables(owner);
}

void
send_tables(const char *owner)
{
	struct msg *m = msg_create(MSG_CELL, "");
	struct msg_replica *r;
	int i;

	strcpy(m->u.cell.cell, "main");
	m->u.cell.version = 1;
	strcpy(m->u.cell.owner, owner);
	for (i = 0; i < 2; i++) {
		r = &m->u.cell.replicas[m->u.cell.nreplicas++];
		strcpy(r->name, i == 0 ? "r0" : "r1");
		strcpy(r->addr, "10.1.0.1:1");
		strcpy(r->models[r->nmodels++], "m");
	}
	gate_handle_message(gate, now, m, &out);
	msg_destroy(m);
	m = msg_create(MSG_MODEL, "");
	strcpy(m->u.model.name, "m");
	m->u.model.version = 1;
	gate_handle_message(gate, now, m, &out);
	msg_destroy(m);
	m = msg_create(MSG_SERVICE, "");
	strcpy(m->u.service.name, "shop");
	m->u.service.version = 1;
	m->u.service.nbackends = 2;
	strcpy(m->u.service.backends[0].name, "s0");
	strcpy(m->u.service.backends[1].name, "s1");
	gate_handle_message(gate, now, m, &out);
	msg_destroy(m);
}

void
teardown(void)
{
	clear_actions();
	gate_destroy(gate);
}

void
clear_actions(void)
{
	struct gate_action *act;

	while ((act = TAILQ_FIRST(&out)) != NULL) {
		TAILQ_REMOVE(&out, act, entry);
		gate_action_destroy(act);
	}
}

void
start_request(uint64_t rid, int order, int stream)
{
	struct gate_request req;

	memset(&req, 0, sizeof(req));
	req.rid = rid;
	strcpy(order ? req.service : req.model, order ? "shop" : "m");
	req.repeatable = !order;
	req.stream = stream;
	req.max_tokens = 10;
	req.deadline = now + 5 * NSEC_PER_SEC;
	gate_handle_request(gate, now, &req, &out);
}

struct gate_action *
last_action(enum gate_action_kind kind)
{
	struct gate_action *act;
	struct gate_action *last = NULL;

	TAILQ_FOREACH (act, &out, entry) {
		if (act->kind == kind)
			last = act;
	}
	return last;
}

int
count_sent(enum msg_kind kind)
{
	struct gate_action *act;
	int n = 0;

	TAILQ_FOREACH (act, &out, entry)
		n += act->kind == GATE_SEND_MSG && act->msg->kind == kind;
	return n;
}

void
fetch_event(uint64_t id, enum fetch_event_kind kind, enum fetch_phase phase,
    uint32_t tokens)
{
	struct gate_fetch_event f;

	memset(&f, 0, sizeof(f));
	f.kind = kind;
	f.fetch_id = id;
	f.phase = phase;
	f.status = 200;
	f.tokens = tokens;
	f.bytes = 1;
	f.payload = kind == FETCH_HEAD || kind == FETCH_DATA ? &payload : NULL;
	gate_handle_fetch(gate, now, &f, &out);
}

void
tick(uint64_t ns)
{
	now += ns;
	gate_tick(gate, now, &out);
}

void
send_grant(uint64_t rid, uint32_t attempt, const char *where)
{
	struct msg *m = msg_create(MSG_GRANT, "");

	strcpy(m->from.addr, "10.0.0.1:1");
	m->u.grant.key.rid = rid;
	m->u.grant.key.attempt = attempt;
	m->u.grant.grant_id = 100 + attempt;
	strcpy(m->u.grant.replica, where);
	gate_handle_message(gate, now, m, &out);
	msg_destroy(m);
}
