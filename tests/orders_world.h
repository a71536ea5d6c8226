/*
 * Simulated world of the loader fuzzer: processes that compete for
 * leadership, a key-value service, engines with delayed reports and list
 * entries, and orders that are carried out late or lose their answers.
 * Virtual time.
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
#include "loader.h"
}

const int kLoaders = 3;
const int kReplicas = 4;
const int kModels = 7;
const int kAdapters = 5;
const int kManyAdapters = 60; /* where there are many places */
const uint64_t kStep = 20 * NSEC_PER_MSEC;
const uint32_t kAdapterSlots = 3;
const uint64_t kAdapterMb = 10;
const uint64_t kReportLag = 200 * NSEC_PER_MSEC;
const uint64_t kListLag = 400 * NSEC_PER_MSEC;
const uint64_t kHeartbeat = 1200 * NSEC_PER_MSEC;
const uint64_t kTableInterval = 240 * NSEC_PER_MSEC;
const uint64_t kLoadWindow = 5 * NSEC_PER_SEC;
const size_t kLoadsSlack = 3; /* loads beyond the rate, in each window */
const uint64_t kStopTime = 1 * NSEC_PER_SEC; /* from SIGTERM to the restart */
/* An order that begins later than this was lost for a time. */
const uint64_t kOnTime = 1 * NSEC_PER_SEC;

/* orders_store.cc */
uint64_t first_revision(uint64_t);
uint64_t next_revision(uint64_t);
uint64_t sent_revision(const kv_op *);
uint64_t read_revision(const kv_op *, uint64_t);

enum OpKind {
	OP_ADVANCE,
	OP_LONG_ADVANCE,
	OP_DEMAND,
	OP_REQUEST_ADAPTER,
	OP_LOSE_ANSWERS,
	OP_RESTART,
	OP_KILL,
	OP_FREEZE,
	OP_OUTAGE,
	OP_REVOKE_LEASES,
	OP_STOP_LOSSES,
	OP_UNLIST_ADAPTER,
	OP_STOP,
	OP_STOP_HOLDER,
	OP_REPLACE,
	OP_DEMAND_ALL,
	OP_KILL_HOLDER,
	OP_CRASH,
	OP__MAX
};

extern const char *const op_names[OP__MAX];

struct Model {
	int steps = 0;
};

/* Contents of an engine at one time. */
struct EngineContents {
	uint64_t started_ms = 1;
	uint64_t accepted_orders = 0;
	std::set<std::string> models;
	std::set<std::string> adapters;
	std::map<std::string, uint64_t>
	    loading_adapters; /* adapter -> time loaded */
	std::string loading;
	std::string unloading;
	uint64_t change_at = TIME_NEVER; /* end of the load or unload */
};

/* Owns the lists of a replica. */
struct ReplicaEntry {
	fleet_replica info = {};

	ReplicaEntry() = default;
	ReplicaEntry(ReplicaEntry &&o) noexcept
	{
		std::swap(info, o.info);
	}
	~ReplicaEntry()
	{
		fleet_replica_clear(&info);
	}
};

struct Engine {
	std::string id;
	EngineContents current;
	uint64_t fence = 0;
	uint64_t listed_at = 0;
	uint64_t down_until = 0; /* crashed, its entry is gone */
	std::vector<std::pair<uint64_t, EngineContents>> history;
};

struct Key {
	std::string value;
	uint64_t revision;
	uint64_t lease;
};

struct LoaderProcess {
	struct loader *loader = nullptr;
	struct directory dir;
	struct kv_ids ids = { 0 };
	uint64_t incarnation = 0;
	uint64_t frozen_until = 0;
	uint64_t restart_at = 0; /* it is stopping until then */
	bool tells_loads = false;
	bool was_leader = false;
};

/* An order or report request in flight. */
struct OrderRequest {
	int loader;
	uint64_t incarnation;
	loader_order order;
	uint64_t arrives_at;  /* TIME_NEVER when it is lost or has arrived */
	uint64_t answered_at; /* when the sender has the answer or times out */
	enum order_answer result;
	EngineContents reported;
	uint64_t sent_at;
};

struct KvRequest {
	int loader;
	uint64_t incarnation;
	kv_op *op;
	uint64_t arrives_at;
	uint64_t answered_at;
	kv_result result;
	std::string value;
	bool done;
};

/* The loads that a stopping leader tells, on their way to another process. */
struct ToldLoads {
	int receiver;
	uint64_t arrives_at;
	uint64_t fence;
	uint64_t unknown_ns;
	std::vector<loader_load> loads;
};

/* The adapters that a leader lists, on their way to another process. */
struct AdapterTable {
	int receiver;
	uint64_t arrives_at;
	std::map<std::string, std::vector<std::string>> adapters;
};

class World
{
      public:
	explicit World(uint64_t);
	/* With a number of places for adapters on each replica. */
	World(uint64_t, uint32_t);
	~World();
	void apply(OpKind, int, int);
	void add_demand(int, int);
	void request_adapter(int, int);
	void add_demand_to_all(int);
	void restart_loader(int);
	void revoke_leases();
	void finish();

      private:
	bool all_models_loaded() const;
	void restart_engine(int);
	void crash_engine(int, uint64_t);
	void restart_crashed();
	void replace_engines(int);
	void advance(uint64_t);
	void step();
	void start_loader(int);
	void stop_loader(int);
	double random_unit();
	void advance_engines();
	void publish_list();
	void deliver_orders();
	void deliver_kv();
	void execute_kv(KvRequest &);
	void fill_places(Engine &, int);
	void tick_loader(int);
	void collect_output(int, kv_ops *, loader_orders *);
	void execute_order(OrderRequest &);
	enum order_answer accept_order(Engine &, const loader_order &);
	void check_capacity(const Engine &, const loader_order &);
	void check_sender(int);
	bool is_known_to_holder(const OrderRequest &) const;
	void check_load_rate(const OrderRequest &);
	void stop_planned(int);
	void tell_loads(int);
	void tell_loads_if_lost(int);
	void deliver_told_loads();
	void restart_stopped();
	void tell_started(int);
	int holder() const;
	void send_table(int);
	void deliver_tables();
	void unlist_adapter(const std::string &, uint32_t);
	bool is_frozen(int) const;
	ReplicaEntry list_entry(const Engine &, const EngineContents &) const;

	uint64_t now = 1000 * NSEC_PER_SEC;
	uint64_t seed;
	double loss_probability = 0.0;
	uint64_t outage_until = 0;
	uint64_t revoked_at = 0;
	uint64_t revision;
	std::set<std::pair<std::string, uint64_t>>
	    given; /* revisions of keys */
	uint64_t next_lease = 1;
	uint64_t incarnations = 0;
	std::map<std::string, Key> keys;
	std::map<uint64_t, std::pair<uint64_t, uint64_t>> leases;
	Engine engines[kReplicas];
	LoaderProcess loaders[kLoaders];
	std::vector<OrderRequest> order_requests;
	std::vector<KvRequest> kv_requests;
	std::vector<AdapterTable> tables;
	uint64_t table_at[kLoaders] = {};
	uint64_t arrivals[kModels] = {};
	uint32_t running[kModels] = {};
	/* In half of the worlds it is the rate of loads that binds. */
	bool scarce;
	double loads_per_s;
	uint32_t adapter_slots;
	uint64_t
	    memory_mb; /* two or seven models of 100 MB, and the adapters */
	uint64_t load_time;
	std::vector<ToldLoads> told_loads;
	uint64_t newest_fence = 0;
	std::set<uint64_t> told_fences; /* whose loads a successor was told */
	std::vector<uint64_t> loads_begun;
	struct fleet_conf *conf;
};

#endif
