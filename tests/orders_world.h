/*
 * The world of the orders' fuzzer: two processes that may hold the right to
 * order, a key-value service, engines whose reports and list entries lag, and
 * orders whose answers are lost or that are carried out late.  Virtual time.
 */
#ifndef ORDERS_WORLD_H
#define ORDERS_WORLD_H

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdio>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "mem.h"
#include "steward.h"
}

const int kHolders = 2;
const int kReplicas = 4;
const int kModels = 7;
const int kAdapters = 5;
const uint64_t kStep = 20 * NSEC_PER_MSEC;
const uint64_t kMemory = 250; /* two models of 100 and the adapters */
const uint64_t kPlaces = 3;
const uint64_t kReportLag = 200 * NSEC_PER_MSEC;
const uint64_t kListLag = 400 * NSEC_PER_MSEC;
const uint64_t kHeartbeat = 1200 * NSEC_PER_MSEC;

enum OpKind {
	OP_ADVANCE,
	OP_LONG_ADVANCE,
	OP_DEMAND,
	OP_ASK,
	OP_LOSE,
	OP_RESTART,
	OP_KILL,
	OP_FREEZE,
	OP_OUTAGE,
	OP_REVOKE,
	OP_CALM,
	OP__MAX
};

extern const char *const op_names[OP__MAX];

struct Model {
	int steps = 0;
};

/* What an engine holds at one time. */
struct Held {
	uint64_t born = 1;
	uint64_t orders = 0;
	std::set<std::string> models;
	std::set<std::string> adapters;
	std::map<std::string, uint64_t> coming; /* adapter -> loaded at */
	std::string loading;
	std::string unloading;
	uint64_t change_at = TIME_NEVER; /* of loading or unloading */
};

struct Engine {
	std::string id;
	Held now;
	uint64_t fence = 0;
	uint64_t listed_at = 0;
	std::vector<std::pair<uint64_t, Held>> past;
};

struct Key {
	std::string value;
	uint64_t revision;
	uint64_t lease;
};

struct Holder {
	struct steward *s = nullptr;
	struct directory dir;
	struct kv_ids ids = { 0 };
	uint64_t incarnation = 0;
	uint64_t frozen_until = 0;
};

/* An order or question on its way, or its answer. */
struct Sent {
	int holder;
	uint64_t incarnation;
	steward_order o;
	uint64_t arrive; /* TIME_NEVER when it is lost, or has arrived */
	uint64_t answer; /* when the holder hears */
	enum order_answer result;
	Held told;
};

struct KvSent {
	int holder;
	uint64_t incarnation;
	kv_op *op;
	uint64_t arrive;
	uint64_t answer;
	kv_result result;
	std::string value;
	bool done;
};

class World
{
      public:
	explicit World(uint64_t);
	~World();
	void apply(OpKind, int, int);
	void finish();

      private:
	void advance(uint64_t);
	void step();
	void start(int);
	void stop(int);
	double draw();
	void engines_step();
	void list_step();
	void sent_step();
	void kv_step();
	void kv_carry_out(KvSent &);
	void tick(int);
	void collect(int, kv_ops *, steward_orders *);
	void carry_out(Sent &);
	enum order_answer accept(Engine &, const steward_order &);
	void check_room(const Engine &, const steward_order &);
	void check_sender(int);
	bool frozen(int) const;
	fleet_replica entry(const Engine &, const Held &) const;

	uint64_t now = 1000 * NSEC_PER_SEC;
	uint64_t seed;
	double lose = 0.0;
	uint64_t outage_until = 0;
	uint64_t revoked_at = 0;
	uint64_t revision = 1;
	uint64_t next_lease = 1;
	uint64_t incarnations = 0;
	std::map<std::string, Key> keys;
	std::map<uint64_t, std::pair<uint64_t, uint64_t>> leases;
	Engine engines[kReplicas];
	Holder holders[kHolders];
	std::vector<Sent> sent;
	std::vector<KvSent> kv_sent;
	uint64_t arrivals[kModels] = {};
	uint32_t running[kModels] = {};
	struct fleet_conf *conf;
};

#endif
