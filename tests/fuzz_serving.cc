/*
 * Stateful fuzzing of the serving decisions: gates and cell owners joined by
 * a lossy queue in virtual time, against a simple oracle.
 */
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdio>
#include <cstring>
#include <memory>
#include <set>
#include <vector>

#include "lossy.h"

extern "C" {
#include "gate.h"
#include "sched.h"
}

namespace
{

const int kGates = 2;
const int kOwners = 2;
const int kReplicas = 4;
const int kInstances = 2;
const uint64_t kStep = 20 * NSEC_PER_MSEC;
const uint64_t kLeaveBound = 3 * NSEC_PER_SEC;
const uint64_t kTablePeriod = 200 * NSEC_PER_MSEC;
const uint32_t kTokens = 6;

enum OpKind {
	OP_STREAM,
	OP_WHOLE,
	OP_LONG,
	OP_ORDER,
	OP_CANCEL,
	OP_PROGRESS,
	OP_BREAK,
	OP_ADVANCE,
	OP_TAKEOVER,
	OP_PAUSE,
	OP_RESUME,
	OP_KILL_GATE,
	OP_DRAIN,
	OP_UNDRAIN,
	OP_FAULTS,
	OP_SLOW,
	OP__MAX
};

const char *const op_names[OP__MAX] = { "stream", "whole", "long", "order",
	"cancel", "progress", "break", "advance", "takeover", "pause",
	"resume", "kill-gate", "drain", "undrain", "faults", "slow" };

/* Part of an answer as the fake engine sent it; index -1 is the head. */
struct Part {
	uint64_t rid;
	int index;
};

struct Request {
	int gate;
	bool repeatable;
	bool stream;
	bool cancelled = false;
	bool gate_died = false;
	int ends = 0;
	gate_outcome outcome = OUTCOME_ANSWERED;
	int writes = 0;
	int head = 0;
	uint32_t tokens = 0;
};

struct Fetch {
	int gate;
	uint64_t id;
	uint64_t rid;
	std::string target;
	fetch_phase phase = PHASE_CONNECTING;
	uint32_t next;
	bool service;
};

struct Replica {
	std::string name;
	bool leaving = false;
	uint64_t since = 0;
	bool slow = false;
};

struct Gate {
	gate_core *core = nullptr;
	uint64_t incarnation = 1;
};

struct Owner {
	sched *core = nullptr;
	bool paused = false;
	uint64_t superseded_at = TIME_NEVER;
	std::vector<msg *> inbox; /* while paused */
};

struct Model {
	int steps = 0;
};

class World
{
public:
	explicit World(uint64_t seed) : queue(seed, copy_msg, msg_destroy)
	{
		for (int i = 0; i < kReplicas; i++)
			replicas[i].name = "replica" + std::to_string(i);
		for (int i = 0; i < kInstances; i++)
			instances[i].name = "shop" + std::to_string(i);
		for (int i = 0; i < kGates; i++)
			start_gate(i);
		start_owner(0);
		push_tables(true);
	}

	~World()
	{
		for (auto &g : gates)
			gate_destroy(g.core);
		for (auto &o : owners)
			drop_owner(o);
	}

	void apply(OpKind op, int a, int b);
	void finish();

private:
	static msg *
	copy_msg(msg *m)
	{
		return msg_copy(m);
	}

	std::string
	gate_addr(int i) const
	{
		return "10.0.0." + std::to_string(i + 1) + ":1";
	}

	std::string
	owner_addr(int i) const
	{
		return "10.0.1." + std::to_string(i + 1) + ":1";
	}

	void start_gate(int i);
	void start_owner(int i);
	void drop_owner(Owner &o);
	void fill_replica(int i, msg_replica *r);
	void push_tables(bool sure);
	void arrive(OpKind kind, int gate);
	void progress(size_t k);
	void fail(size_t k);
	void erase_fetch(size_t k);
	void advance(uint64_t ns, bool finishing);
	void deliver(const std::string &to, msg *m);
	void send_all(const std::string &from, uint64_t inc, msg_list *out);
	void perform(int gate, gate_actions *out);
	void on_start(int gate, const gate_action *act);
	void on_data(const gate_action *act);
	void on_end(const gate_action *act);
	void feed(const Fetch &f, fetch_kind kind, fetch_phase phase,
	    int index, uint32_t tokens);

	uint64_t now = NSEC_PER_SEC;
	Lossy<msg *> queue;
	Gate gates[kGates];
	Owner owners[kOwners];
	int owner = 0;
	uint64_t fence = 1;
	Replica replicas[kReplicas];
	Replica instances[kInstances];
	std::map<uint64_t, Request> requests;
	std::vector<Fetch> fetches;
	uint64_t next_rid = 0;
	uint64_t tables_at = 0;
	uint64_t version = 1;
};

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
	config.slots_first = 2;
	owners[i].core = sched_create(&config, fence << 32);
	owners[i].paused = false;
	owners[i].superseded_at = TIME_NEVER;
	sched_declare(owners[i].core, "m0");
	sched_declare(owners[i].core, "m1");
	for (int k = 0; k < kReplicas; k++) {
		msg_replica r;

		fill_replica(k, &r);
		sched_replica(owners[i].core, now, &r, &out);
	}
	owner = i;
	version++;
	send_all(owner_addr(i), fence, &out);
}

void
World::drop_owner(Owner &o)
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
	snprintf(r->models[r->nmodels++], NAME_SIZE, "m%d", i % 2);
	if (i == 0)
		snprintf(r->models[r->nmodels++], NAME_SIZE, "m1");
}

/* What each gate's own control process tells it, again and again. */
void
World::push_tables(bool sure)
{
	tables_at = now + kTablePeriod;
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
			if (sure)
				deliver(gate_addr(i), model);
			else
				queue.send(now, gate_addr(i), model);
		}
		if (sure) {
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

		gate_message(gates[i].core, now, m, &out);
		perform(i, &out);
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
		sched_message(owners[i].core, now, m, &out);
		send_all(owner_addr(i), fence, &out);
	}
	msg_destroy(m);
}

void
World::on_start(int gate, const gate_action *act)
{
	Fetch f;

	f.gate = gate;
	f.id = act->fetch;
	f.rid = act->rid;
	f.target = act->target;
	f.next = act->resume;
	f.service = f.target.compare(0, 4, "shop") == 0;
	for (auto &r : replicas)
		if (r.name == f.target && r.leaving)
			RC_ASSERT(now <= r.since + kLeaveBound);
	for (auto &r : instances)
		if (r.name == f.target && r.leaving)
			RC_ASSERT(now <= r.since + kLeaveBound);
	fetches.push_back(f);
}

void
World::on_data(const gate_action *act)
{
	std::unique_ptr<Part> part((Part *)act->payload);
	Request &r = requests.at(act->rid);

	RC_ASSERT(part->rid == act->rid); /* its own answer */
	RC_ASSERT(r.ends == 0);
	RC_ASSERT(!r.cancelled);
	if (part->index < 0) {
		r.head++;
		return;
	}
	RC_ASSERT((uint32_t)part->index == r.tokens); /* whole, in order */
	r.tokens++;
}

void
World::on_end(const gate_action *act)
{
	Request &r = requests.at(act->rid);

	r.ends++;
	RC_ASSERT(r.ends == 1);
	RC_ASSERT(!r.cancelled);
	r.outcome = act->kind == GATE_END ? OUTCOME_ANSWERED : act->outcome;
	if (act->kind == GATE_END) {
		RC_ASSERT(r.head == 1);
		RC_ASSERT(r.tokens == kTokens);
	} else if (gate_outcome_not_run(act->outcome)) {
		RC_ASSERT(r.writes == 0); /* told "not run": never written */
	}
}

void
World::perform(int gate, gate_actions *out)
{
	gate_action *act;

	while ((act = TAILQ_FIRST(out)) != nullptr) {
		TAILQ_REMOVE(out, act, entry);
		switch (act->kind) {
		case GATE_SEND:
			snprintf(act->msg->from.addr,
			    sizeof(act->msg->from.addr), "%s",
			    gate_addr(gate).c_str());
			act->msg->from.incarnation = gates[gate].incarnation;
			queue.send(now, act->msg->to, act->msg);
			act->msg = nullptr;
			break;
		case GATE_START:
			on_start(gate, act);
			break;
		case GATE_STOP:
			for (size_t k = 0; k < fetches.size(); k++)
				if (fetches[k].gate == gate &&
				    fetches[k].id == act->fetch)
					erase_fetch(k);
			break;
		case GATE_DATA:
			on_data(act);
			break;
		case GATE_DROP:
			delete (Part *)act->payload;
			break;
		case GATE_END:
		case GATE_FAIL:
			on_end(act);
			break;
		default:
			break;
		}
		gate_action_destroy(act);
	}
}

void
World::erase_fetch(size_t k)
{
	fetches.erase(fetches.begin() + (long)k);
}

void
World::feed(const Fetch &f, fetch_kind kind, fetch_phase phase, int index,
    uint32_t tokens)
{
	gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	gate_fetch ev = {};

	ev.kind = kind;
	ev.fetch = f.id;
	ev.phase = phase;
	ev.status = 200;
	ev.tokens = tokens;
	ev.bytes = 10;
	if (kind == FETCH_HEAD || kind == FETCH_DATA)
		ev.payload = new Part{ f.rid, index };
	gate_fetched(gates[f.gate].core, now, &ev, &out);
	perform(f.gate, &out);
}

/* Takes one fetch a step further. */
void
World::progress(size_t k)
{
	if (fetches.empty())
		return;
	k %= fetches.size();
	Fetch &f = fetches[k];
	Fetch copy = f;

	if (f.phase == PHASE_CONNECTING) {
		f.phase = PHASE_WRITTEN;
		Request &r = requests.at(f.rid);

		r.writes++;
		if (!r.repeatable)
			RC_ASSERT(r.writes <= 1); /* at most once */
		feed(copy, FETCH_PHASE, PHASE_WRITTEN, 0, 0);
	} else if (f.phase == PHASE_WRITTEN) {
		f.phase = PHASE_BEGUN;
		feed(copy, FETCH_HEAD, PHASE_BEGUN, -1, 0);
	} else if (f.next < kTokens) {
		f.next++;
		feed(copy, FETCH_DATA, PHASE_BEGUN, (int)copy.next, 1);
	} else {
		erase_fetch(k);
		feed(copy, FETCH_END, PHASE_BEGUN, 0, 0);
	}
}

void
World::fail(size_t k)
{
	if (fetches.empty())
		return;
	k %= fetches.size();
	Fetch copy = fetches[k];

	erase_fetch(k);
	feed(copy, FETCH_FAIL, copy.phase, 0, 0);
}

void
World::arrive(OpKind kind, int gate)
{
	gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	gate_request req = {};
	Request r;

	req.rid = ++next_rid;
	req.stream = kind == OP_STREAM || kind == OP_LONG;
	req.repeatable = kind != OP_ORDER;
	req.job_class = kind == OP_LONG ? CLASS_STANDARD : CLASS_INTERACTIVE;
	req.tokens = kind == OP_LONG ? 5000 : kTokens;
	req.deadline = now + 4 * NSEC_PER_SEC;
	if (kind == OP_ORDER)
		snprintf(req.service, NAME_SIZE, "shop");
	else
		snprintf(req.model, NAME_SIZE, "m%d", (int)(next_rid % 2));
	r.gate = gate;
	r.repeatable = req.repeatable;
	r.stream = req.stream;
	requests[req.rid] = r;
	gate_arrive(gates[gate].core, now, &req, &out);
	perform(gate, &out);
}

void
World::advance(uint64_t ns, bool finishing)
{
	std::string to;
	msg *m;

	for (uint64_t until = now + ns; now < until; now += kStep) {
		while (queue.next(now, &to, &m))
			deliver(to, m);
		for (int i = 0; i < kGates; i++) {
			gate_actions out = TAILQ_HEAD_INITIALIZER(out);

			gate_tick(gates[i].core, now, &out);
			perform(i, &out);
		}
		for (int i = 0; i < kOwners; i++) {
			if (owners[i].core == nullptr || owners[i].paused)
				continue;
			if (now >= owners[i].superseded_at) {
				drop_owner(owners[i]);
				continue;
			}
			msg_list out;

			TAILQ_INIT(&out);
			sched_tick(owners[i].core, now, &out);
			send_all(owner_addr(i), fence, &out);
		}
		if (now >= tables_at)
			push_tables(false);
		size_t n = fetches.size();

		for (size_t k = 0; k < n; k++) {
			size_t at = (size_t)(queue.random() * 1000.0);

			if (finishing || queue.random() < 0.3)
				progress(at);
		}
	}
}

void
World::apply(OpKind op, int a, int b)
{
	gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	int gate = a % kGates;

	switch (op) {
	case OP_STREAM:
	case OP_WHOLE:
	case OP_LONG:
	case OP_ORDER:
		arrive(op, gate);
		break;
	case OP_CANCEL: {
		if (next_rid == 0)
			break;
		uint64_t rid = (uint64_t)b % next_rid + 1;
		Request &r = requests.at(rid);

		if (r.ends != 0 || r.gate_died || r.cancelled)
			break;
		r.cancelled = true;
		gate_cancel(gates[r.gate].core, now, rid, &out);
		perform(r.gate, &out);
		break;
	}
	case OP_PROGRESS:
		progress((size_t)b);
		break;
	case OP_BREAK:
		fail((size_t)b);
		break;
	case OP_ADVANCE:
		advance((uint64_t)(b % 500 + 1) * NSEC_PER_MSEC, false);
		break;
	case OP_TAKEOVER: {
		/* The owner dies, or is found out once it resumes. */
		Owner &old = owners[owner];

		fence++;
		if (!old.paused)
			drop_owner(old);
		int next = (owner + 1) % kOwners;

		if (owners[next].core != nullptr)
			drop_owner(owners[next]);
		start_owner(next);
		break;
	}
	case OP_PAUSE:
		owners[owner].paused = true;
		break;
	case OP_RESUME:
		for (int i = 0; i < kOwners; i++) {
			if (!owners[i].paused)
				continue;
			owners[i].paused = false;
			if (i != owner)
				owners[i].superseded_at =
				    now + 500 * NSEC_PER_MSEC;
			std::vector<msg *> inbox;

			inbox.swap(owners[i].inbox);
			for (auto *m : inbox)
				deliver(owner_addr(i), m);
		}
		break;
	case OP_KILL_GATE:
		gate_destroy(gates[gate].core);
		for (auto &r : requests)
			if (r.second.gate == gate && r.second.ends == 0)
				r.second.gate_died = true;
		for (size_t k = fetches.size(); k > 0; k--)
			if (fetches[k - 1].gate == gate)
				erase_fetch(k - 1);
		gates[gate].incarnation++;
		start_gate(gate);
		push_tables(true);
		break;
	case OP_DRAIN:
	case OP_UNDRAIN: {
		Replica &r = b % 3 == 0 ? instances[a % kInstances] :
					  replicas[a % kReplicas];

		r.leaving = op == OP_DRAIN;
		r.since = now;
		version++;
		for (int i = 0; i < kOwners; i++) {
			if (owners[i].core == nullptr || owners[i].paused)
				continue;
			msg_list list;

			TAILQ_INIT(&list);
			for (int k = 0; k < kReplicas; k++) {
				msg_replica mr;

				fill_replica(k, &mr);
				sched_replica(
				    owners[i].core, now, &mr, &list);
			}
			send_all(owner_addr(i), fence, &list);
		}
		break;
	}
	case OP_FAULTS:
		queue.faults.drop = a % 4 == 0 ? 0.3 : 0.05 * (a % 4);
		queue.faults.duplicate = 0.05 * (b % 3);
		queue.faults.delay =
		    (uint64_t)(b % 200) * NSEC_PER_MSEC;
		break;
	case OP_SLOW:
		replicas[a % kReplicas].slow = b % 2 == 0;
		break;
	default:
		break;
	}
}

/* Heals everything, lets all work end, and checks what must hold then. */
void
World::finish()
{
	queue.faults = {};
	for (auto &r : replicas)
		r.leaving = false;
	for (auto &r : instances)
		r.leaving = false;
	apply(OP_RESUME, 0, 0);
	apply(OP_DRAIN, 0, 1); /* tells owners the marks */
	apply(OP_UNDRAIN, 0, 1);
	advance(9 * NSEC_PER_SEC, true);
	RC_ASSERT(fetches.empty());
	for (auto &r : requests) {
		if (r.second.cancelled || r.second.gate_died)
			continue;
		RC_ASSERT(r.second.ends == 1);
	}
	for (auto &g : gates) {
		struct gate_totals t;

		::gate_totals(g.core, &t);
		RC_ASSERT(t.calls == 0U);
	}
	struct sched_totals t;

	::sched_totals(owners[owner].core, &t);
	RC_ASSERT(t.granted == 0U); /* slots return, no grant outlives */
	RC_ASSERT(t.waiting == 0U);
	for (auto &r : replicas) {
		uint32_t outstanding;
		uint32_t slots;

		sched_replica_load(owners[owner].core, r.name.c_str(),
		    &outstanding, &slots);
		RC_ASSERT(outstanding == 0U);
		RC_ASSERT(slots >= 1U);
	}
}

struct Step : rc::state::Command<Model, World> {
	OpKind op;
	int a;
	int b;

	Step()
	{
		op = *rc::gen::weightedElement<OpKind>({ { 12, OP_STREAM },
		    { 4, OP_WHOLE }, { 4, OP_LONG }, { 6, OP_ORDER },
		    { 8, OP_CANCEL }, { 12, OP_PROGRESS }, { 6, OP_BREAK },
		    { 16, OP_ADVANCE }, { 2, OP_TAKEOVER }, { 2, OP_PAUSE },
		    { 2, OP_RESUME }, { 1, OP_KILL_GATE }, { 2, OP_DRAIN },
		    { 2, OP_UNDRAIN }, { 3, OP_FAULTS }, { 1, OP_SLOW } });
		a = *rc::gen::inRange(0, 12);
		b = *rc::gen::inRange(0, 1000);
	}

	void
	apply(Model &m) const override
	{
		m.steps++;
	}

	void
	run(const Model &, World &w) const override
	{
		w.apply(op, a, b);
	}

	void
	show(std::ostream &os) const override
	{
		os << op_names[op] << "(" << a << "," << b << ")";
	}
};

} // namespace

int
main()
{
	bool ok = rc::check("serving decisions hold under faults", []() {
		Model model;
		uint64_t seed = *rc::gen::inRange<uint64_t>(0, 1000000);
		auto commands = *rc::state::gen::commands(
		    model, rc::state::gen::execOneOfWithArgs<Step>());
		World world(seed);

		rc::state::runAll(commands, model, world);
		world.finish();
	});

	printf("%s\n", ok ? "1 passed, 0 failed" : "0 passed, 1 failed");
	return ok ? 0 : 1;
}
