/* Nodes, messages, tickets and commands of the state fuzzer. */
#include "state_world.h"

const char *const op_names[OP__MAX] = { "advance", "long-advance", "ticket",
	"old-ticket", "race", "kill", "restart", "replace-vm", "pause",
	"resume", "kv-down", "kv-up", "kv-faults", "net-faults",
	"engine-restart", "order-faults" };

World::World(uint64_t seed) : queue(seed, copy_msg, msg_destroy)
{
	queue.faults.delay = 3 * NSEC_PER_MSEC;
	for (int i = 0; i < kEngines; i++) {
		engines[i].name = "e" + std::to_string(i);
		engines[i].fencing = i % 2 == 0;
	}
	for (bool &l : vm_listed)
		l = true;
	for (int i = 0; i < kNodes; i++)
		start_node(i);
	advance(2 * NSEC_PER_SEC);
	submit_ticket(0, base_ticket());
	advance(6 * NSEC_PER_SEC);
	RC_ASSERT(tickets.at(1).status == TICKET_ACCEPTED);
}

World::~World()
{
	for (int i = 0; i < kNodes; i++)
		stop_node(i);
	for (auto &c : calls)
		kv_op_destroy(c.op);
	for (auto &t : tickets)
		json_decref(t.second.doc);
}

void
World::start_node(int i)
{
	struct node_config config;

	node_config_default(&config);
	snprintf(config.self.addr, sizeof(config.self.addr), "%s",
	    addr(i).c_str());
	nodes[i].incarnation = ++next_incarnation;
	config.self.incarnation = nodes[i].incarnation;
	config.cell.order_in_doubt_ns = kOrderInDoubt;
	config.cell.order_timeout_ns = kOrderTimeout;
	nodes[i].core = node_create(&config, next_incarnation);
	nodes[i].paused = false;
	nodes[i].revision = 0;
	send_vms(i);
}

void
World::stop_node(int i)
{
	node_destroy(nodes[i].core);
	nodes[i].core = nullptr;
	nodes[i].paused = false;
	for (auto *m : nodes[i].inbox)
		msg_destroy(m);
	for (auto *o : nodes[i].outbox)
		order_destroy(o);
	nodes[i].inbox.clear();
	nodes[i].outbox.clear();
}

void
World::send_vms(int i)
{
	struct node_vm vms[kNodes] = {};
	size_t n = 0;

	for (int k = 0; k < kNodes; k++)
		if (vm_listed[k])
			snprintf(vms[n++].addr, ADDR_SIZE, "%s",
			    addr(k).c_str());
	node_set_vms(nodes[i].core, now, vms, n);
}

json_t *
World::base_ticket()
{
	json_t *backends = json_array();
	json_t *models = json_array();

	for (auto &e : engines)
		json_array_append_new(backends,
		    json_pack("{s:s,s:o,s:s,s:I,s:b,s:[{s:I}]}", "name",
			e.name.c_str(), "address",
			json_sprintf("10.1.0.%c:1", e.name[1] + 1),
			"datacentre", "d1", "adapter_pool_mb",
			(json_int_t)kAdapterPoolMb, "fencing", (int)e.fencing,
			"accelerators", "memory_mb", (json_int_t)kCapacityMb));
	for (int i = 0; i < 4; i++)
		json_array_append_new(models,
		    json_pack("{s:o,s:s,s:i,s:[{s:o,s:i}]}", "name",
			json_sprintf("m%d", i), "version", "1", "memory_mb",
			30 + i, "adapters", "name", json_sprintf("a%d", i),
			"memory_mb", 4));
	return json_pack("{s:I,s:o,s:o,s:{s:f,s:i,s:i}}", "ticket",
	    (json_int_t)next_number++, "backends", backends, "models", models,
	    "store", "loads_per_second", 10.0, "concurrent", 4,
	    "adapters_in_flight", 4);
}

/* A ticket that drains a backend server, or removes or declares a model. */
json_t *
World::change_ticket(int a, int b)
{
	json_int_t number = (json_int_t)next_number++;

	if (a % 6 == 5)
		return json_pack("{s:I,s:[{s:o,s:b}]}", "ticket", number,
		    "drains", "backend", json_sprintf("e%d", b % kEngines),
		    "leaving", b % 2);
	if (a % 6 == 4 && b % 3 == 0)
		return json_pack("{s:I,s:[o]}", "ticket", number, "remove",
		    json_sprintf("model/m%d", b % 6));
	return json_pack("{s:I,s:[{s:o,s:o,s:i,s:i}]}", "ticket", number,
	    "models", "name", json_sprintf("m%d", b % 6), "version",
	    json_sprintf("%d", 1 + a % 3), "memory_mb", 20 + b % 25,
	    "copies", 1 + a % 2);
}

void
World::submit_ticket(int i, json_t *doc)
{
	node_out out;
	uint64_t cookie = ++next_cookie;
	Ticket t;

	t.doc = doc;
	t.updated_at = now;
	t.number =
	    (uint64_t)json_integer_value(json_object_get(doc, "ticket"));
	tickets[cookie] = t;
	if (nodes[i].core == nullptr || nodes[i].paused)
		return;
	node_out_init(&out);
	node_submit_ticket(nodes[i].core, now, doc, cookie, &out);
	perform(i, &out);
}

void
World::on_reply(const ticket_reply *r)
{
	Ticket &t = tickets.at(r->cookie);

	RC_ASSERT(!t.answered);
	t.answered = true;
	t.status = r->status;
	t.revision = r->revision;
	t.updated_at = now;
}

void
World::perform(int i, node_out *out)
{
	ticket_reply *r;
	kv_op *op;
	order *o;
	msg *m;

	while ((m = TAILQ_FIRST(&out->msgs)) != nullptr) {
		TAILQ_REMOVE(&out->msgs, m, entry);
		snprintf(m->from.addr, ADDR_SIZE, "%s", addr(i).c_str());
		m->from.incarnation = nodes[i].incarnation;
		queue.send(now, m->to, m);
	}
	while ((op = TAILQ_FIRST(&out->kv)) != nullptr) {
		TAILQ_REMOVE(&out->kv, op, entry);
		kv_start(i, op);
	}
	while ((o = TAILQ_FIRST(&out->orders)) != nullptr) {
		TAILQ_REMOVE(&out->orders, o, entry);
		check_order_sender(i, o);
		nodes[i].outbox.push_back(o);
	}
	while ((r = TAILQ_FIRST(&out->replies)) != nullptr) {
		TAILQ_REMOVE(&out->replies, r, entry);
		on_reply(r);
		free(r);
	}
}

void
World::deliver(const std::string &to, msg *m)
{
	for (int i = 0; i < kNodes; i++) {
		if (to != addr(i) || nodes[i].core == nullptr)
			continue;
		if (nodes[i].paused) {
			nodes[i].inbox.push_back(m);
			return;
		}
		node_out out;

		node_out_init(&out);
		node_handle_message(nodes[i].core, now, m, &out);
		perform(i, &out);
	}
	msg_destroy(m);
}

void
World::advance(uint64_t ns, uint64_t step)
{
	std::string to;
	msg *m;

	for (uint64_t until = now + ns; now < until; now += step) {
		while (queue.next(now, &to, &m))
			deliver(to, m);
		kv_tick();
		order_tick();
		for (int i = 0; i < kNodes; i++) {
			if (nodes[i].core == nullptr || nodes[i].paused)
				continue;
			std::vector<order *> outbox;

			outbox.swap(nodes[i].outbox);
			for (auto *o : outbox)
				order_send(i, o);
			if (now >= next_vms_at)
				send_vms(i);
			node_out out;

			node_out_init(&out);
			node_tick(nodes[i].core, now, &out);
			perform(i, &out);
		}
		if (now >= next_vms_at)
			next_vms_at = now + NSEC_PER_SEC;
		check_revisions();
	}
}

void
World::op_advance(OpKind op, int a, int b)
{
	(void)a;
	if (op == OP_ADVANCE)
		advance((uint64_t)(b % 1500 + 50) * NSEC_PER_MSEC);
	else
		advance((uint64_t)(b % 8 + 2) * NSEC_PER_SEC);
}

/* Submits a new ticket, an earlier one again, or two on different nodes. */
void
World::op_ticket(OpKind op, int a, int b)
{
	int i = a % kNodes;

	if (op == OP_OLD_TICKET) {
		Ticket &t = tickets.at((uint64_t)b % next_cookie + 1);

		submit_ticket(i, json_deep_copy(t.doc));
		return;
	}
	submit_ticket(i, change_ticket(a, b));
	if (op == OP_RACE)
		submit_ticket((i + 1) % kNodes, change_ticket(a + 1, b));
}

/* Stops a node; may restart it at once, or remove its VM from the list. */
void
World::op_kill(OpKind op, int a, int b)
{
	int i = a % kNodes;

	(void)b;
	if (nodes[i].core != nullptr)
		stop_node(i);
	if (op == OP_RESTART)
		start_node(i);
	if (op == OP_REPLACE_VM)
		vm_listed[i] = false;
}

void
World::op_pause(OpKind op, int a, int b)
{
	int i = a % kNodes;
	std::vector<msg *> inbox;

	(void)b;
	nodes[i].paused = op == OP_PAUSE && nodes[i].core != nullptr;
	if (op == OP_PAUSE)
		return;
	inbox.swap(nodes[i].inbox);
	for (auto *m : inbox)
		deliver(addr(i), m);
}

void
World::op_kv(OpKind op, int a, int b)
{
	if (op != OP_KV_FAULTS) {
		kv_down = op == OP_KV_DOWN;
		return;
	}
	kv_loss_rate = a % 3 == 0 ? 0.0 : 0.1 * (a % 4);
	kv_delay = b % 2 ? 0 : (uint64_t)(b % 1500) * NSEC_PER_MSEC;
}

void
World::op_net(OpKind op, int a, int b)
{
	(void)op;
	queue.faults.drop = a % 3 == 0 ? 0.0 : 0.1 * (a % 4);
	queue.faults.duplicate = 0.05 * (b % 3);
	queue.faults.delay = (uint64_t)(b % 200) * NSEC_PER_MSEC;
}

void
World::op_engine(OpKind op, int a, int b)
{
	Engine &e = engines[a % kEngines];

	if (op == OP_ORDER_FAULTS) {
		order_loss_rate = a % 3 == 0 ? 0.0 : 0.1 * (a % 5);
		/* May exceed kOrderTimeout, but not kOrderInDoubt. */
		order_delay =
		    b % 2 ? 0 : (uint64_t)(b % 3500) * NSEC_PER_MSEC;
		return;
	}
	e.incarnation++;
	for (auto &l : e.loaded)
		e.lost_at[l.first.substr(0, l.first.find('@'))] = now;
	e.loaded.clear();
	e.fence = 0;
}

void
World::apply(OpKind op, int a, int b)
{
	static void (World::*const handlers[OP__MAX])(OpKind, int, int) = {
		&World::op_advance, &World::op_advance, &World::op_ticket,
		&World::op_ticket, &World::op_ticket, &World::op_kill,
		&World::op_kill, &World::op_kill, &World::op_pause,
		&World::op_pause, &World::op_kv, &World::op_kv,
		&World::op_kv, &World::op_net, &World::op_engine,
		&World::op_engine
	};

	if (tracing())
		fprintf(stderr, "%lu --- %s(%d,%d)\n",
		    (unsigned long)(now / NSEC_PER_MSEC), op_names[op], a, b);
	(this->*handlers[op])(op, a, b);
}
