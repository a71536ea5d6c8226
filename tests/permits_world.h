/*
 * Entry processes that ask for permits, and replicas with limits, in virtual
 * time: messages that are late or lost, links that are cut one way, processes
 * that are frozen, cut off and restarted, and limits that change.  Checks what
 * reaches the replicas from all processes together.
 */
#ifndef PERMITS_WORLD_H
#define PERMITS_WORLD_H

#include <rapidcheck.h>

#include <cstdio>
#include <cstring>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "lossy_queue.h"

extern "C" {
#include "directory.h"
#include "msg.h"
#include "permits.h"
}

constexpr int kProcesses = 6;
constexpr int kZones = 2; /* of a large fleet */
constexpr int kReplicas = 3;
constexpr uint64_t kMs = NSEC_PER_MSEC;
constexpr uint64_t kStep = 20 * kMs;
constexpr uint64_t kWindow = 4 * NSEC_PER_SEC;
/* From a limit's first answer until it holds. */
constexpr uint64_t kStable = 3 * NSEC_PER_SEC;
constexpr uint64_t kPatience = 2 * NSEC_PER_SEC; /* of callers */

enum OpKind {
	OP_ADVANCE,
	OP_DEMAND,
	OP_LIMIT,
	OP_LOSSES,
	OP_CUT,
	OP_CUT_OFF,
	OP_HEAL,
	OP_FREEZE,
	OP_RESTART,
	OP__MAX
};

extern const char *const op_names[OP__MAX];

/* The commands, of which those that set the demand have a weight. */
template <int Demand> struct OpTraits {
	using Kind = OpKind;

	static const int range = 12000;

	static rc::Gen<Kind>
	kinds()
	{
		return rc::gen::weightedElement<Kind>({ { 14, OP_ADVANCE },
		    { Demand, OP_DEMAND }, { 2, OP_LIMIT }, { 3, OP_LOSSES },
		    { 3, OP_CUT }, { 2, OP_CUT_OFF }, { 3, OP_HEAL },
		    { 3, OP_FREEZE }, { 3, OP_RESTART } });
	}

	static const char *
	name(Kind kind)
	{
		return op_names[kind];
	}
};

struct Model {
	int steps = 0;
};

/* A caller's request that waits for a permit. */
struct Waiting {
	uint64_t id;
	uint64_t arrived;
	uint64_t ask_at;
	uint32_t priority;
	bool has_other;
};

struct World;

struct Process {
	World *world;
	int index;
	uint64_t incarnation = 1;
	uint64_t started_at;
	uint64_t down_until = 0;   /* restarting */
	uint64_t frozen_until = 0; /* messages wait until then */
	std::deque<msg *> inbox;
	directory dir;
	permits *state = nullptr;
	uint64_t heard_at[kProcesses] = {};
	uint64_t report_at = 0;
	double demand = 0.0; /* requests a second */
	double owed = 0.0;   /* of these, not yet arrived */
	uint64_t last_id = 0;
	std::vector<Waiting> waiting;
};

struct Replica {
	double limit;
	bool told;	     /* an answer has named this limit */
	uint64_t changed_at; /* first such answer */
	std::deque<uint64_t> arrived;
};

struct World {
	explicit World(uint64_t seed);
	virtual ~World();
	virtual void apply(OpKind op, int a, int b);
	virtual void finish();

	virtual void start(Process &p);
	virtual void stop(Process &p);
	void step();
	void advance(uint64_t ns);
	virtual void tick(Process &p);
	void report(Process &p);
	virtual void receive(Process &p, const msg *m);
	void ask(Process &p, Waiting &w);
	void send(Process &p, msg *m);
	void answered(Process &p, const permit_answer *a, uint64_t until);
	void reach(Process &p, int replica);
	int pool_of(const Process &p, bool *lends_on) const;
	bool hears(const Process &p, int other) const;
	bool runs(const Process &p) const;
	std::string addr(int i) const;

	uint64_t now = 100 * NSEC_PER_SEC;
	uint64_t faulty_until = 0;
	bool large; /* two levels of pools */
	bool cut[kProcesses][kProcesses] = {};
	LossyQueue<msg *> net;
	Process processes[kProcesses];
	Replica replicas[kReplicas];
};

#endif
