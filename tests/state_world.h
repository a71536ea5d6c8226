/*
 * Simulation for the state fuzzer, in virtual time: control nodes, a fake
 * key-value service, fake engines with and without fencing, and the oracle.
 */
#ifndef STATE_WORLD_H
#define STATE_WORLD_H

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdio>
#include <cstring>
#include <set>
#include <string>
#include <vector>

#include "lossy_queue.h"

extern "C" {
#include "node.h"
}

const int kNodes = 3;
const int kEngines = 4;
const uint64_t kStep = 50 * NSEC_PER_MSEC;
const uint64_t kCapacityMb = 100;
const uint64_t kAdapterPoolMb = 10;
const uint64_t kKvTimeout = 1 * NSEC_PER_SEC;
const uint64_t kOrderTimeout = 2 * NSEC_PER_SEC;
const uint64_t kOrderInDoubt = 4 * NSEC_PER_SEC;
/* Longest time until a node detects that an engine has restarted. */
const uint64_t kRestartDetectBound = 3 * NSEC_PER_SEC;
/* Longest time until an accepted ticket is applied on every node. */
const uint64_t kApplyBound = 9 * NSEC_PER_SEC;

enum OpKind {
	OP_ADVANCE,
	OP_LONG_ADVANCE,
	OP_TICKET,
	OP_OLD_TICKET,
	OP_RACE,
	OP_KILL,
	OP_RESTART,
	OP_REPLACE_VM,
	OP_PAUSE,
	OP_RESUME,
	OP_KV_DOWN,
	OP_KV_UP,
	OP_KV_FAULTS,
	OP_NET_FAULTS,
	OP_ENGINE_RESTART,
	OP_ORDER_FAULTS,
	OP__MAX
};

extern const char *const op_names[OP__MAX];

struct KvEntry {
	std::string value;
	uint64_t created = 0;
	uint64_t modified = 0;
	uint64_t lease = 0;
};

struct KvLease {
	uint64_t ttl;
	uint64_t deadline;
};

/* A key-value operation in flight, and its answer. */
struct KvCall {
	int node;
	uint64_t incarnation;
	kv_op *op;
	uint64_t arrive_at; /* TIME_NEVER: lost, or already applied */
	uint64_t answer_at; /* when the node gets the result */
	kv_result result;
	std::string value;
	bool watching = false; /* a watch */
};

struct OrderCall {
	int node;
	uint64_t incarnation;
	order o;
	uint64_t arrive_at;
	uint64_t answer_at;
	order_outcome outcome;
	uint64_t engine_incarnation = 0;
	std::vector<order_loaded> loaded;
};

struct Loaded {
	uint64_t memory_mb;
	bool adapter;
	std::string base_model;
};

struct Engine {
	std::string name;
	bool fencing;
	uint64_t incarnation = 100;
	uint64_t fence = 0;
	std::map<std::string, Loaded> loaded; /* "model@version" */
	std::map<std::string, uint64_t>
	    lost_at; /* by model: last restart that unloaded it */

	uint64_t
	used_mb() const
	{
		uint64_t sum = 0;

		for (auto &l : loaded)
			sum += l.second.memory_mb;
		return sum;
	}

	bool
	has(const std::string &model) const
	{
		for (auto &l : loaded)
			if (!l.second.adapter &&
			    l.first.compare(0, model.size() + 1, model + "@") ==
				0)
				return true;
		return false;
	}
};

struct Node {
	node *core = nullptr;
	uint64_t incarnation = 0;
	bool paused = false;
	uint64_t revision = 0;
	std::vector<msg *> inbox;    /* received while paused */
	std::vector<order *> outbox; /* sent at the next step */
};

struct Ticket {
	json_t *doc;
	ticket_status status = TICKET_UNKNOWN;
	bool answered = false;
	uint64_t revision = 0;
	uint64_t updated_at = 0;
	uint64_t number = 0;
};

struct Model {
	int steps = 0;
};

class World
{
      public:
	explicit World(uint64_t seed);
	~World();
	void apply(OpKind op, int a, int b);
	void finish();
	void check_objects();
	void check_owner();

      private:
	void op_advance(OpKind op, int a, int b);
	void op_ticket(OpKind op, int a, int b);
	void op_kill(OpKind op, int a, int b);
	void op_pause(OpKind op, int a, int b);
	void op_kv(OpKind op, int a, int b);
	void op_net(OpKind op, int a, int b);
	void op_engine(OpKind op, int a, int b);

	static msg *
	copy_msg(msg *m)
	{
		return msg_copy(m);
	}

	std::string
	addr(int i) const
	{
		return "10.0.0." + std::to_string(i + 1) + ":1";
	}

	void start_node(int i);
	void stop_node(int i);
	void send_vms(int i);
	void perform(int i, node_out *out);
	void deliver(const std::string &to, msg *m);
	void advance(uint64_t ns, uint64_t step = kStep);
	void kv_start(int i, kv_op *op);
	void kv_apply(KvCall &c);
	void kv_tick();
	void kv_expire();
	void kv_arrivals();
	void kv_put(const std::string &key, const char *v, uint64_t lease);
	void order_send(int i, order *o);
	void order_apply(OrderCall &c);
	void order_tick();
	static void report_loaded(const Engine &e, OrderCall &c);
	void check_order_sender(int i, const order *o);
	void check_unload(
	    const Engine &e, const std::string &key, const std::string &model);
	void record_unload_times(const std::string &key, const char *v);
	void record_declarations();
	void check_ticket_numbers(json_t *all);
	void check_revisions();
	json_t *base_ticket();
	json_t *change_ticket(int a, int b);
	void submit_ticket(int i, json_t *doc);
	void on_reply(const ticket_reply *r);
	bool is_declared(const std::string &model);
	json_t *head_objects();
	static bool
	tracing()
	{
		static bool on = getenv("FUZZ_TRACE") != nullptr;

		return on;
	}

	void dump();
	void check_resident(const std::string &name, json_t *body, json_t *all);

	uint64_t now = 10 * NSEC_PER_SEC;
	LossyQueue<msg *> queue;
	Node nodes[kNodes];
	bool vm_listed[kNodes] = {};
	Engine engines[kEngines];
	std::map<std::string, KvEntry> kv;
	std::map<uint64_t, KvLease> leases;
	uint64_t kv_revision = 0;
	uint64_t next_lease = 0;
	uint64_t next_incarnation = 0;
	bool kv_down = false;
	double kv_loss_rate = 0.0;
	uint64_t kv_delay = 0;
	double order_loss_rate = 0.0;
	uint64_t order_delay = 0;
	std::vector<KvCall> calls;
	std::vector<OrderCall> orders;
	std::map<uint64_t, Ticket> tickets; /* by cookie */
	uint64_t next_cookie = 0;
	uint64_t next_number = 1;
	uint64_t next_vms_at = 0;
	std::map<std::string, uint64_t>
	    ticket_numbers; /* by object: last ticket */
	std::map<std::string, uint64_t> declared_since;
	/* "engine/model@version": when its unload was decided */
	std::map<std::string, uint64_t> unloading_since;
};

#endif
