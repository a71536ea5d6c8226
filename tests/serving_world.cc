/* Commands of the serving fuzzer and the simulation that they act on. */
#include "serving_world.h"

const char *const op_names[OP__MAX] = { "stream", "whole", "long", "order",
	"cancel", "progress", "break", "advance", "takeover", "pause",
	"resume", "kill-gate", "drain", "undrain", "faults", "slow", "refuse",
	"say-leaving", "restart" };

void
World::start_gate(int i)
{
	gate_config config;
	node_id self = {};

	gate_config_default(&config);
	snprintf(self.addr, sizeof(self.addr), "%s", gate_addr(i).c_str());
	self.incarnation = gates[i].incarnation;
	gates[i].core = gate_create(&config, &self, (uint64_t)i + 1);
}

void
World::start_owner(int i)
{
	sched_config config;
	msg_list out;

	TAILQ_INIT(&out);
	sched_config_default(&config);
	config.slots_initial = 2;
	owners[i].core = sched_create(&config, fence << 32);
	owners[i].paused = false;
	owners[i].superseded_at = TIME_NEVER;
	owners[i].heard.clear();
	sched_declare_model(owners[i].core, "m0");
	sched_declare_model(owners[i].core, "m1");
	for (int k = 0; k < kReplicas; k++) {
		msg_replica r;

		fill_replica(k, &r);
		owners[i].known[k] = r.incarnation;
		sched_update_replica(owners[i].core, now, &r, &out);
	}
	owner = i;
	version++;
	send_all(owner_addr(i), fence, &out);
}

void
World::destroy_owner(Owner &o)
{
	sched_destroy(o.core);
	o.core = nullptr;
	for (auto *m : o.inbox)
		msg_destroy(m);
	o.inbox.clear();
}

void
World::fill_replica(int i, msg_replica *r)
{
	memset(r, 0, sizeof(*r));
	snprintf(
	    r->name, sizeof(r->name), "%s", replicas[i].name.c_str());
	snprintf(r->addr, sizeof(r->addr), "10.1.0.%d:1", i + 1);
	r->leaving = replicas[i].leaving;
	r->incarnation = replicas[i].incarnation;
	snprintf(r->models[r->nmodels++], NAME_SIZE, "m%d", i % 2);
	if (i == 0)
		snprintf(r->models[r->nmodels++], NAME_SIZE, "m1");
}

/* Sends the routing tables to every gate, as control processes do. */
void
World::send_tables(bool reliable)
{
	next_tables_at = now + kTableInterval;
	for (int i = 0; i < kGates; i++) {
		msg *cell = msg_create(MSG_CELL, gate_addr(i).c_str());
		msg *service = msg_create(MSG_SERVICE, gate_addr(i).c_str());

		snprintf(cell->u.cell.cell, NAME_SIZE, "main");
		cell->u.cell.version = version;
		snprintf(cell->u.cell.owner, ADDR_SIZE, "%s",
		    owner_addr(owner).c_str());
		cell->u.cell.owner_incarnation = fence;
		cell->u.cell.fence = fence;
		cell->u.cell.nreplicas = kReplicas;
		for (int k = 0; k < kReplicas; k++)
			fill_replica(k, &cell->u.cell.replicas[k]);
		snprintf(service->u.service.name, NAME_SIZE, "shop");
		snprintf(service->u.service.prefix, PATH_SIZE, "/shop/");
		service->u.service.version = version;
		service->u.service.nbackends = kInstances;
		for (int k = 0; k < kInstances; k++) {
			snprintf(service->u.service.backends[k].name,
			    NAME_SIZE, "%s", instances[k].name.c_str());
			snprintf(service->u.service.backends[k].addr,
			    ADDR_SIZE, "10.2.0.%d:1", k + 1);
			service->u.service.backends[k].leaving =
			    instances[k].leaving;
		}
		for (int k = 0; k < 2; k++) {
			msg *model =
			    msg_create(MSG_MODEL, gate_addr(i).c_str());

			snprintf(model->u.model.name, NAME_SIZE, "m%d", k);
			model->u.model.version = 1;
			if (reliable)
				deliver(gate_addr(i), model);
			else
				queue.send(now, gate_addr(i), model);
		}
		if (reliable) {
			deliver(gate_addr(i), cell);
			deliver(gate_addr(i), service);
		} else {
			queue.send(now, gate_addr(i), cell);
			queue.send(now, gate_addr(i), service);
		}
	}
}

void
World::send_all(const std::string &from, uint64_t inc, msg_list *out)
{
	msg *m;

	while ((m = TAILQ_FIRST(out)) != nullptr) {
		TAILQ_REMOVE(out, m, entry);
		snprintf(m->from.addr, sizeof(m->from.addr), "%s",
		    from.c_str());
		m->from.incarnation = inc;
		check_grant(from, m);
		queue.send(now, m->to, m);
	}
}

void
World::deliver(const std::string &to, msg *m)
{
	for (int i = 0; i < kGates; i++) {
		if (to != gate_addr(i))
			continue;
		gate_actions out = TAILQ_HEAD_INITIALIZER(out);

		note_table(i, m);
		gate_handle_message(gates[i].core, now, m, &out);
		perform_actions(i, &out);
	}
	for (int i = 0; i < kOwners; i++) {
		if (to != owner_addr(i) || owners[i].core == nullptr)
			continue;
		if (owners[i].paused) {
			owners[i].inbox.push_back(m);
			return;
		}
		msg_list out;

		TAILQ_INIT(&out);
		note_report(i, m);
		sched_handle_message(owners[i].core, now, m, &out);
		send_all(owner_addr(i), fence, &out);
	}
	msg_destroy(m);
}

void
World::on_start_fetch(int gate, const gate_action *act)
{
	Fetch f;

	f.gate = gate;
	f.id = act->fetch_id;
	f.rid = act->rid;
	f.target = act->target;
	f.next = act->resume_tokens;
	f.service = f.target.compare(0, 4, "shop") == 0;
	for (auto &r : replicas)
		if (r.name == f.target && r.leaving)
			RC_ASSERT(now <= r.leaving_since + kLeaveDelayMax);
	for (auto &r : instances)
		if (r.name == f.target && r.leaving)
			RC_ASSERT(now <= r.leaving_since + kLeaveDelayMax);
	check_start(&f);
	fetches.push_back(f);
}

void
World::on_data(const gate_action *act)
{
	std::unique_ptr<Part> part((Part *)act->payload);
	Request &r = requests.at(act->rid);

	RC_ASSERT(part->rid == act->rid); /* of this request */
	RC_ASSERT(r.ends == 0);
	RC_ASSERT(!r.cancelled);
	if (part->index < 0) {
		r.head++;
		return;
	}
	RC_ASSERT((uint32_t)part->index == r.tokens); /* complete, in order */
	r.tokens++;
}

void
World::on_request_end(const gate_action *act)
{
	Request &r = requests.at(act->rid);

	r.ends++;
	RC_ASSERT(r.ends == 1);
	RC_ASSERT(act->reopen_at == 0 || act->reopen_at > now);
	RC_ASSERT(!r.cancelled);
	r.outcome = act->kind == GATE_END_RESPONSE ? OUTCOME_ANSWERED : act->outcome;
	if (act->kind == GATE_END_RESPONSE) {
		RC_ASSERT(r.head == 1);
		RC_ASSERT(r.tokens == (r.turned_away ? 0 : kOutputTokens));
	} else if (gate_outcome_not_run(act->outcome)) {
		RC_ASSERT(r.writes == 0); /* "not run" is never sent */
	}
}

void
World::perform_actions(int gate, gate_actions *out)
{
	gate_action *act;

	while ((act = TAILQ_FIRST(out)) != nullptr) {
		TAILQ_REMOVE(out, act, entry);
		switch (act->kind) {
		case GATE_SEND_MSG:
			snprintf(act->msg->from.addr,
			    sizeof(act->msg->from.addr), "%s",
			    gate_addr(gate).c_str());
			act->msg->from.incarnation = gates[gate].incarnation;
			queue.send(now, act->msg->to, act->msg);
			act->msg = nullptr;
			break;
		case GATE_START_FETCH:
			on_start_fetch(gate, act);
			break;
		case GATE_STOP_FETCH:
			for (size_t k = 0; k < fetches.size(); k++)
				if (fetches[k].gate == gate &&
				    fetches[k].id == act->fetch_id)
					erase_fetch(k);
			break;
		case GATE_WITHDRAW_FETCH:
			withdraw_fetch(gate, act->fetch_id);
			break;
		case GATE_FORWARD_DATA:
			on_data(act);
			break;
		case GATE_FREE_PAYLOAD:
			delete (Part *)act->payload;
			break;
		case GATE_END_RESPONSE:
		case GATE_FAIL_REQUEST:
			on_request_end(act);
			break;
		default:
			break;
		}
		gate_action_destroy(act);
	}
}

void
World::start_request(OpKind kind, int gate)
{
	gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	gate_request req = {};
	Request r;

	req.rid = ++next_rid;
	req.stream = kind == OP_STREAM || kind == OP_LONG;
	req.repeatable = kind != OP_ORDER;
	req.job_class = kind == OP_LONG ? CLASS_STANDARD : CLASS_INTERACTIVE;
	req.max_tokens = kind == OP_LONG ? 5000 : kOutputTokens;
	req.deadline = now + 4 * NSEC_PER_SEC;
	if (kind == OP_ORDER)
		snprintf(req.service, NAME_SIZE, "shop");
	else
		snprintf(req.model, NAME_SIZE, "m%d", (int)(next_rid % 2));
	r.gate = gate;
	r.repeatable = req.repeatable;
	r.stream = req.stream;
	requests[req.rid] = r;
	gate_handle_request(gates[gate].core, now, &req, &out);
	perform_actions(gate, &out);
}

void
World::advance(uint64_t ns, bool finishing)
{
	std::string to;
	msg *m;

	for (uint64_t until = now + ns; now < until; now += kTickInterval) {
		while (queue.next(now, &to, &m))
			deliver(to, m);
		for (int i = 0; i < kGates; i++) {
			gate_actions out = TAILQ_HEAD_INITIALIZER(out);

			gate_tick(gates[i].core, now, &out);
			perform_actions(i, &out);
		}
		for (int i = 0; i < kOwners; i++) {
			if (owners[i].core == nullptr || owners[i].paused)
				continue;
			if (now >= owners[i].superseded_at) {
				destroy_owner(owners[i]);
				continue;
			}
			msg_list out;

			TAILQ_INIT(&out);
			sched_tick(owners[i].core, now, &out);
			send_all(owner_addr(i), fence, &out);
		}
		if (now >= next_tables_at)
			send_tables(false);
		size_t n = fetches.size();

		for (size_t k = 0; k < n; k++) {
			size_t at = (size_t)(queue.random() * 1000.0);

			if (finishing || queue.random() < 0.3)
				advance_fetch(at, finishing);
		}
	}
}

void
World::op_arrive(OpKind op, int a, int b)
{
	(void)b;
	start_request(op, a % kGates);
}

void
World::op_cancel(OpKind op, int a, int b)
{
	gate_actions out = TAILQ_HEAD_INITIALIZER(out);

	(void)op;
	(void)a;
	if (next_rid == 0)
		return;
	uint64_t rid = (uint64_t)b % next_rid + 1;
	Request &r = requests.at(rid);

	if (r.ends != 0 || r.gate_killed || r.cancelled)
		return;
	r.cancelled = true;
	gate_cancel_request(gates[r.gate].core, now, rid, &out);
	perform_actions(r.gate, &out);
}

void
World::op_fetch(OpKind op, int a, int b)
{
	(void)a;
	if (op == OP_BREAK)
		fail_fetch((size_t)b);
	else
		advance_fetch((size_t)b);
}

void
World::op_advance(OpKind op, int a, int b)
{
	(void)op;
	(void)a;
	advance((uint64_t)(b % 500 + 1) * NSEC_PER_MSEC, false);
}

/* The owner crashes; a paused one is superseded once it resumes. */
void
World::op_takeover(OpKind op, int a, int b)
{
	Owner &old = owners[owner];
	int next = (owner + 1) % kOwners;

	(void)op;
	(void)a;
	(void)b;
	fence++;
	if (!old.paused)
		destroy_owner(old);
	if (owners[next].core != nullptr)
		destroy_owner(owners[next]);
	start_owner(next);
}

void
World::op_pause(OpKind op, int a, int b)
{
	(void)op;
	(void)a;
	(void)b;
	owners[owner].paused = true;
}

void
World::op_resume(OpKind op, int a, int b)
{
	(void)op;
	(void)a;
	(void)b;
	for (int i = 0; i < kOwners; i++) {
		std::vector<msg *> inbox;

		if (!owners[i].paused)
			continue;
		owners[i].paused = false;
		if (i != owner)
			owners[i].superseded_at = now + 500 * NSEC_PER_MSEC;
		inbox.swap(owners[i].inbox);
		for (auto *m : inbox)
			deliver(owner_addr(i), m);
	}
}

void
World::op_kill_gate(OpKind op, int a, int b)
{
	int gate = a % kGates;

	(void)op;
	(void)b;
	gate_destroy(gates[gate].core);
	for (auto &r : requests)
		if (r.second.gate == gate && r.second.ends == 0)
			r.second.gate_killed = true;
	for (size_t k = fetches.size(); k > 0; k--)
		if (fetches[k - 1].gate == gate)
			erase_fetch(k - 1);
	gates[gate].incarnation++;
	forget_notices(gate);
	start_gate(gate);
	send_tables(true);
}

/* Drains or undrains a backend server and updates the running owners. */
void
World::op_drain(OpKind op, int a, int b)
{
	Replica &r = b % 3 == 0 ? instances[a % kInstances] :
				  replicas[a % kReplicas];

	r.leaving = op == OP_DRAIN;
	r.leaving_since = now;
	r.drained_at = now;
	update_owners();
}

/* Lists the replicas anew to the running owners. */
void
World::update_owners()
{
	version++;
	for (int i = 0; i < kOwners; i++) {
		msg_list list;

		if (owners[i].core == nullptr || owners[i].paused)
			continue;
		TAILQ_INIT(&list);
		for (int k = 0; k < kReplicas; k++) {
			msg_replica mr;

			fill_replica(k, &mr);
			owners[i].known[k] = mr.incarnation;
			sched_update_replica(owners[i].core, now, &mr, &list);
		}
		send_all(owner_addr(i), fence, &list);
	}
}

void
World::op_faults(OpKind op, int a, int b)
{
	(void)op;
	queue.faults.drop = a % 4 == 0 ? 0.3 : 0.05 * (a % 4);
	queue.faults.duplicate = 0.05 * (b % 3);
	queue.faults.delay = (uint64_t)(b % 200) * NSEC_PER_MSEC;
}

/* Makes a replica skip nine out of ten steps, or ends that. */
void
World::op_slow(OpKind op, int a, int b)
{
	(void)op;
	replicas[a % kReplicas].slow = b % 2 == 0;
}

void
World::apply(OpKind op, int a, int b)
{
	static void (World::*const handlers[OP__MAX])(OpKind, int, int) = {
		&World::op_arrive, &World::op_arrive, &World::op_arrive,
		&World::op_arrive, &World::op_cancel, &World::op_fetch,
		&World::op_fetch, &World::op_advance, &World::op_takeover,
		&World::op_pause, &World::op_resume, &World::op_kill_gate,
		&World::op_drain, &World::op_drain, &World::op_faults,
		&World::op_slow, &World::op_refuse, &World::op_say_leaving,
		&World::op_restart
	};

	(this->*handlers[op])(op, a, b);
}

/* Ends all faults, lets all requests end, and checks the final state. */
void
World::finish()
{
	queue.faults = {};
	for (auto &r : replicas)
		end_faults(r);
	for (auto &r : instances)
		end_faults(r);
	apply(OP_RESUME, 0, 0);
	apply(OP_DRAIN, 0, 1); /* updates the owners */
	apply(OP_UNDRAIN, 0, 1);
	advance(9 * NSEC_PER_SEC, true);
	RC_ASSERT(fetches.empty());
	for (auto &r : requests) {
		if (r.second.cancelled || r.second.gate_killed)
			continue;
		RC_ASSERT(r.second.ends == 1);
	}
	for (auto &g : gates) {
		struct gate_stats t;

		::gate_get_stats(g.core, &t);
		RC_ASSERT(t.calls == 0U);
	}
	struct sched_stats t;

	::sched_get_stats(owners[owner].core, &t);
	RC_ASSERT(t.granted == 0U); /* every slot is released */
	RC_ASSERT(t.waiting == 0U);
	for (auto &r : replicas) {
		uint32_t outstanding;
		uint32_t slots;

		sched_get_replica_load(owners[owner].core, r.name.c_str(),
		    &outstanding, &slots);
		RC_ASSERT(outstanding == 0U);
		RC_ASSERT(slots >= 1U);
	}
}
