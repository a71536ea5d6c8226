/*
 * Simulation for the serving fuzzer, in virtual time: gates and cell owners
 * connected by a lossy queue, fake backend servers, and checks of invariants.
 */
#ifndef SERVING_WORLD_H
#define SERVING_WORLD_H

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdio>
#include <cstring>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lossy_queue.h"

extern "C" {
#include "gate.h"
#include "sched.h"
}

const int kGates = 2;
const int kOwners = 2;
const int kReplicas = 4;
const int kInstances = 2;
const uint64_t kTickInterval = 20 * NSEC_PER_MSEC;
const uint64_t kLeaveDelayMax = 3 * NSEC_PER_SEC;
const uint64_t kTableInterval = 200 * NSEC_PER_MSEC;
const uint32_t kOutputTokens = 6;
const uint64_t kHeardWithin = 500 * NSEC_PER_MSEC; /* of a 503's time */
const int kRefusalRequests = 2; /* after that, until the time's end */

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
	OP_REFUSE,
	OP_SAY_LEAVING,
	OP_RESTART,
	OP__MAX
};

extern const char *const op_names[OP__MAX];

/* Part of a response of a fake backend server; index -1 is the head. */
struct Part {
	uint64_t rid;
	int index;
};

struct Request {
	int gate;
	bool repeatable;
	bool stream;
	bool cancelled = false;
	bool gate_killed = false;
	bool turned_away = false; /* by a service's 503 */
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
	uint64_t known = 0; /* incarnation that its gate knew at the start */
};

struct Replica {
	std::string name;
	bool leaving = false;
	uint64_t leaving_since = 0;
	bool slow = false;
	uint64_t incarnation = 0; /* 0 for an instance of a service */
	uint64_t drained_at = 0;  /* last drain or undrain */
	/* says in answers */
	bool says_leaving = false;
	uint64_t refuses_until = 0;
};

/* What a replica said to a gate. */
struct Word {
	std::string target;
	uint64_t incarnation; /* that said it */
	uint64_t said_at;
	uint64_t closed_until; /* 0: it leaves */
	int reached;	       /* requests in the time that counts */
};

struct Gate {
	gate_core *core = nullptr;
	uint64_t incarnation = 1;
	uint64_t known[kReplicas] = {}; /* incarnations, by its tables */
	std::vector<Word> words;
};

struct Owner {
	sched *core = nullptr;
	bool paused = false;
	uint64_t superseded_at = TIME_NEVER;
	std::vector<msg *> inbox;	/* received while paused */
	uint64_t known[kReplicas] = {}; /* incarnations */
	std::vector<Word> heard;
	uint64_t last_grant = 0;
};

struct Model {
	int steps = 0;
};

class World
{
      public:
	explicit World(uint64_t seed) : queue(seed, copy_msg, msg_destroy)
	{
		for (int i = 0; i < kReplicas; i++) {
			replicas[i].name = "replica" + std::to_string(i);
			replicas[i].incarnation = 1;
		}
		for (int i = 0; i < kInstances; i++)
			instances[i].name = "shop" + std::to_string(i);
		for (int i = 0; i < kGates; i++)
			start_gate(i);
		start_owner(0);
		send_tables(true);
	}

	~World()
	{
		for (auto &g : gates)
			gate_destroy(g.core);
		for (auto &o : owners)
			destroy_owner(o);
	}

	void apply(OpKind op, int a, int b);
	void finish();

      private:
	void op_arrive(OpKind op, int a, int b);
	void op_cancel(OpKind op, int a, int b);
	void op_fetch(OpKind op, int a, int b);
	void op_advance(OpKind op, int a, int b);
	void op_takeover(OpKind op, int a, int b);
	void op_pause(OpKind op, int a, int b);
	void op_resume(OpKind op, int a, int b);
	void op_kill_gate(OpKind op, int a, int b);
	void op_drain(OpKind op, int a, int b);
	void op_faults(OpKind op, int a, int b);
	void op_slow(OpKind op, int a, int b);
	void op_refuse(OpKind op, int a, int b);
	void op_say_leaving(OpKind op, int a, int b);
	void op_restart(OpKind op, int a, int b);

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
	void destroy_owner(Owner &o);
	void fill_replica(int i, msg_replica *r);
	void send_tables(bool reliable);
	void update_owners();
	void start_request(OpKind kind, int gate);
	void advance_fetch(size_t k, bool reliable = false);
	void fail_fetch(size_t k);
	void erase_fetch(size_t k);
	void withdraw_fetch(int gate, uint64_t id);
	Replica &find_target(const std::string &name);
	int replica_index(const std::string &name) const;
	void end_faults(Replica &r);
	void forget_notices(int gate);
	void answer_head(size_t k);
	void note_word(const Fetch &f, const Replica &r, uint64_t until);
	void check_start(Fetch *f);
	void check_write(const Fetch &f);
	void check_grant(const std::string &from, const msg *m);
	void note_table(int gate, const msg *m);
	void note_report(int owner, const msg *m);
	void advance(uint64_t ns, bool finishing);
	void deliver(const std::string &to, msg *m);
	void send_all(const std::string &from, uint64_t inc, msg_list *out);
	void perform_actions(int gate, gate_actions *out);
	void on_start_fetch(int gate, const gate_action *act);
	void on_data(const gate_action *act);
	void on_request_end(const gate_action *act);
	void feed_fetch_event(const Fetch &f, fetch_event_kind kind,
	    fetch_phase phase, int index, uint32_t tokens,
	    const Replica *says = nullptr);

	uint64_t now = NSEC_PER_SEC;
	LossyQueue<msg *> queue;
	Gate gates[kGates];
	Owner owners[kOwners];
	int owner = 0;
	uint64_t fence = 1;
	Replica replicas[kReplicas];
	Replica instances[kInstances];
	std::map<uint64_t, Request> requests;
	std::vector<Fetch> fetches;
	uint64_t next_rid = 0;
	uint64_t next_tables_at = 0;
	uint64_t version = 1;
};

#endif
