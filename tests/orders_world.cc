#include "orders_world.h"

const char *const op_names[OP__MAX] = { "advance", "long-advance", "demand",
	"request-adapter", "lose-answers", "restart", "kill", "freeze", "outage", "revoke-leases",
	"stop-losses", "unlist-adapter", "stop", "stop-holder", "replace", "demand-all", "kill-holder", "crash" };

World::World(uint64_t seed_) : World(seed_, kAdapterSlots) {}

World::World(uint64_t seed_, uint32_t adapter_slots_) : seed(seed_ * 2 + 1),
    revision(first_revision(seed_)), scarce(seed_ % 2 == 0),
    loads_per_s(scarce ? 1.2 : 2.0), adapter_slots(adapter_slots_),
    memory_mb((scarce ? 750 : 250) +
	(adapter_slots - kAdapterSlots) * kAdapterMb),
    load_time((scarce ? 500 : 2000) * NSEC_PER_MSEC)
{
	struct fleet_engine *g;

	conf = fleet_conf_create();
	conf->nservices = 1;
	conf->services = (struct fleet_service *)mem_alloc(sizeof(struct fleet_service));
	strcpy(conf->services[0].name, "llm");
	g = (fleet_engine *)mem_alloc(sizeof(*g));
	conf->services[0].engine = g;
	g->slots = 16;
	g->kv_tokens = 100000;
	g->memory_mb = memory_mb;
	g->adapter_slots = adapter_slots;
	g->loads_per_s = loads_per_s;
	g->models = (struct fleet_model *)mem_alloc(kModels * sizeof(struct fleet_model));
	g->nmodels = kModels;
	for (int i = 0; i < kModels; i++) {
		snprintf(g->models[i].name, NAME_SIZE, "m%d", i);
		g->models[i].memory_mb = 100;
		g->models[i].store_load_ns = (scarce ? 5 : 2) * NSEC_PER_SEC; /* so many may run at once */
		g->models[i].adapter_count = kAdapters;
		g->models[i].adapter_mb = kAdapterMb;
	}
	fleet_engine_index_models(g);
	for (int i = 0; i < kReplicas; i++) {
		engines[i].id = "r" + std::to_string(i);
		engines[i].current.models.insert("m" + std::to_string(i));
		fill_places(engines[i], i);
		engines[i].history.push_back({ 0, engines[i].current });
	}
	for (int i = 0; i < kLoaders; i++)
		start_loader(i);
}

/* Takes all places but a few by adapters, where there are many. */
void
World::fill_places(Engine &e, int model)
{
	for (uint32_t k = kAdapterSlots; k + 2 < adapter_slots; k++)
		e.current.adapters.insert(
		    "m" + std::to_string(model) + "/b" + std::to_string(k));
}

World::~World()
{
	for (int i = 0; i < kLoaders; i++)
		stop_loader(i);
	for (auto &k : kv_requests)
		kv_op_destroy(k.op);
	fleet_conf_destroy(conf);
}

double
World::random_unit()
{
	seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(seed >> 11) / 9007199254740992.0;
}

void
World::start_loader(int i)
{
	struct loader_config config;
	struct node_id self;

	loader_config_default(&config);
	config.takeover_delay_ns = 0;
	snprintf(self.addr, sizeof(self.addr), "10.0.0.%d:7000", i + 1);
	self.incarnation = ++incarnations;
	loaders[i].incarnation = self.incarnation;
	loaders[i].frozen_until = 0;
	loaders[i].restart_at = 0;
	loaders[i].tells_loads = false;
	loaders[i].was_leader = false;
	loaders[i].ids.next = 0;
	directory_init(&loaders[i].dir);
	loaders[i].dir.synced = 1;
	loaders[i].loader = loader_create(
	    &config, &loaders[i].dir, &self, &loaders[i].ids);
	loader_set_candidate(loaders[i].loader, 1, 0);
	for (auto &e : engines) {
		ReplicaEntry r = list_entry(e, e.current);

		if (e.down_until == 0)
			directory_put(&loaders[i].dir, &r.info);
	}
}

void
World::stop_loader(int i)
{
	loader_destroy(loaders[i].loader);
	directory_clear(&loaders[i].dir);
	loaders[i].loader = nullptr;
}

bool
World::is_frozen(int i) const
{
	return now < loaders[i].frozen_until;
}

ReplicaEntry
World::list_entry(const Engine &e, const EngineContents &h) const
{
	ReplicaEntry entry;
	fleet_replica &r = entry.info;

	snprintf(r.id, sizeof(r.id), "%s", e.id.c_str());
	snprintf(r.service, sizeof(r.service), "llm");
	snprintf(r.addr, sizeof(r.addr), "10.1.0.%.8s:80", e.id.c_str());
	snprintf(r.zone, sizeof(r.zone), "z");
	r.slots = 16;
	r.started_ms = h.started_ms;
	r.accepted_orders = h.accepted_orders;
	r.busy = !h.loading.empty() || !h.unloading.empty();
	for (auto &m : h.models)
		name_list_append(&r.resident, m.c_str());
	for (auto &a : h.adapters)
		name_list_append(&r.adapters, a.c_str());
	for (auto &c : h.loading_adapters)
		name_list_append(&r.loading_adapters, c.first.c_str());
	return entry;
}

/* Finishes loads and unloads, and records the history for delayed reports. */
void
World::advance_engines()
{
	for (auto &e : engines) {
		if (now >= e.current.change_at) {
			if (!e.current.loading.empty())
				e.current.models.insert(e.current.loading);
			if (!e.current.unloading.empty())
				e.current.models.erase(e.current.unloading);
			for (auto a = e.current.adapters.begin();
			     !e.current.unloading.empty() &&
			     a != e.current.adapters.end();) {
				if (a->compare(0, e.current.unloading.size() + 1,
					e.current.unloading + "/") == 0)
					a = e.current.adapters.erase(a);
				else
					a++;
			}
			e.current.loading = e.current.unloading = "";
			e.current.change_at = TIME_NEVER;
		}
		for (auto c = e.current.loading_adapters.begin(); c != e.current.loading_adapters.end();) {
			if (now < c->second) {
				c++;
				continue;
			}
			e.current.adapters.insert(c->first);
			c = e.current.loading_adapters.erase(c);
		}
		e.history.push_back({ now, e.current });
		if (e.history.size() > 100)
			e.history.erase(e.history.begin());
	}
}

/* Publishes each engine's earlier contents in the list once per heartbeat. */
void
World::publish_list()
{
	for (auto &e : engines) {
		if (e.down_until != 0 || now < e.listed_at + kHeartbeat)
			continue;
		e.listed_at = now;
		size_t back = kListLag / kStep;
		const EngineContents &h = e.history.size() > back
		    ? e.history[e.history.size() - 1 - back].second
		    : e.history[0].second;
		ReplicaEntry r = list_entry(e, h);

		for (auto &process : loaders)
			directory_put(&process.dir, &r.info);
	}
}

/* An accepted order never exceeds memory or adapter slots. */
void
World::check_capacity(const Engine &e, const loader_order &o)
{
	if (o.kind != LOADER_LOAD)
		return;
	if (o.adapter[0] != '\0') {
		RC_ASSERT(e.current.adapters.size() + e.current.loading_adapters.size() + 1 <=
		    adapter_slots);
		return;
	}
	RC_ASSERT(e.current.models.size() * 100 + 100 + adapter_slots * kAdapterMb <= memory_mb);
}

enum order_answer
World::accept_order(Engine &e, const loader_order &o)
{
	if (o.fence < e.fence)
		return ANSWER_STALE;
	e.fence = o.fence;
	if (o.adapter[0] != '\0' && !e.current.models.count(o.model))
		return ANSWER_REFUSED;
	if (o.expected_sequence != e.current.accepted_orders || !e.current.loading.empty() ||
	    !e.current.unloading.empty())
		return ANSWER_CONFLICT;
	if (o.kind == LOADER_LOAD &&
	    (o.adapter[0] != '\0' ? e.current.adapters.count(o.adapter) ||
				     e.current.loading_adapters.count(o.adapter)
				  : e.current.models.count(o.model)))
		return ANSWER_ALREADY_DONE;
	check_capacity(e, o);
	e.current.accepted_orders++;
	if (o.adapter[0] != '\0' && o.kind == LOADER_LOAD) {
		e.current.loading_adapters[o.adapter] = now + 25 * NSEC_PER_MSEC;
		return ANSWER_STARTED;
	}
	if (o.adapter[0] != '\0') {
		e.current.adapters.erase(o.adapter);
		e.current.loading_adapters.erase(o.adapter);
		return ANSWER_ALREADY_DONE;
	}
	(o.kind == LOADER_LOAD ? e.current.loading : e.current.unloading) = o.model;
	e.current.change_at = now +
	    (o.kind == LOADER_LOAD ? load_time : 100 * NSEC_PER_MSEC);
	return ANSWER_STARTED;
}

void
World::execute_order(OrderRequest &c)
{
	Engine &e = engines[c.order.replica[1] - '0'];

	c.arrives_at = TIME_NEVER;
	if (e.down_until != 0)
		return;
	if (c.order.kind != LOADER_REPORT) {
		c.result = accept_order(e, c.order);
		check_load_rate(c);
		return;
	}
	size_t back = kReportLag / kStep;

	c.reported = e.history.size() > back ? e.history[e.history.size() - 1 - back].second
				      : e.history[0].second;
	c.result = ANSWER_ALREADY_DONE;
}

void
World::deliver_orders()
{
	for (size_t i = 0; i < order_requests.size();) {
		if (now >= order_requests[i].arrives_at)
			execute_order(order_requests[i]);
		if (now < order_requests[i].answered_at || is_frozen(order_requests[i].loader)) {
			i++;
			continue;
		}
		OrderRequest c = order_requests[i];
		bool late = c.arrives_at != TIME_NEVER;

		/* The order may still arrive after its sender has timed out. */
		if (late) {
			order_requests[i].answered_at = TIME_NEVER;
			c.result = ANSWER_NONE;
			i++;
		} else {
			order_requests.erase(order_requests.begin() + (long)i);
		}
		LoaderProcess &h = loaders[c.loader];

		if (h.incarnation != c.incarnation)
			continue;
		if (c.order.kind != LOADER_REPORT) {
			loader_order_answered(h.loader, now, &c.order, c.result);
			continue;
		}
		ReplicaEntry r =
		    list_entry(engines[c.order.replica[1] - '0'], c.reported);

		loader_report_received(h.loader, now, &c.order,
		    c.result == ANSWER_NONE ? nullptr : &r.info);
	}
}

void
World::execute_kv(KvRequest &c)
{
	kv_op *op = c.op;
	std::string key = op->key;
	auto found = keys.find(key);
	uint64_t expected;

	c.done = true;
	c.result.status = KV_OK;
	switch (op->kind) {
	case KV_GET:
		if (found == keys.end()) {
			c.result.status = KV_ABSENT;
			break;
		}
		c.value = found->second.value;
		c.result.revision = read_revision(op, found->second.revision);
		break;
	case KV_CAS:
		expected = sent_revision(op);
		RC_ASSERT(expected == 0 || given.count({ key, expected }) != 0);
		if ((found == keys.end() ? 0 : found->second.revision) !=
			expected ||
		    (op->lease_id != 0 && !leases.count(op->lease_id))) {
			c.result.status = KV_CONFLICT;
			break;
		}
		revision = next_revision(revision);
		given.insert({ key, revision });
		keys[key] = { op->value, revision, op->lease_id };
		c.result.revision = read_revision(op, revision);
		break;
	case KV_GRANT:
		c.result.lease_id = ++next_lease;
		leases[next_lease] = { now + op->ttl_s * NSEC_PER_SEC,
			op->ttl_s };
		break;
	case KV_KEEPALIVE:
		if (!leases.count(op->lease_id))
			c.result.status = KV_ABSENT;
		else
			leases[op->lease_id].first =
			    now + leases[op->lease_id].second * NSEC_PER_SEC;
		break;
	default:
		leases.erase(op->lease_id);
		break;
	}
}

void
World::deliver_kv()
{
	for (auto l = leases.begin(); l != leases.end();) {
		if (now < l->second.first) {
			l++;
			continue;
		}
		l = leases.erase(l);
	}
	for (auto k = keys.begin(); k != keys.end();) {
		if (k->second.lease == 0 || leases.count(k->second.lease))
			k++;
		else
			k = keys.erase(k);
	}
	for (size_t i = 0; i < kv_requests.size();) {
		KvRequest &c = kv_requests[i];

		if (!c.done && now >= c.arrives_at)
			execute_kv(c);
		if (now < c.answered_at || is_frozen(c.loader)) {
			i++;
			continue;
		}
		KvRequest a = c;

		kv_requests.erase(kv_requests.begin() + (long)i);
		LoaderProcess &h = loaders[a.loader];
		kv_ops ops;
		loader_orders orders;
		loader_output out = { &ops, &orders };

		TAILQ_INIT(&ops);
		TAILQ_INIT(&orders);
		if (!a.done)
			a.result.status = KV_UNKNOWN;
		a.result.value = a.value.c_str();
		if (h.incarnation == a.incarnation) {
			loader_kv_result(h.loader, now, &a.result, &out);
			collect_output(a.loader, &ops, &orders);
		}
		kv_op_destroy(a.op);
	}
}

/*
 * Only the owner of the lease sends orders.  A process whose lease was revoked
 * learns of it with its next renewal; until then engines refuse its fencing
 * token.
 */
void
World::check_sender(int i)
{
	if (now < revoked_at + 2 * NSEC_PER_SEC)
		return;

	auto lock = keys.find("lease/orders");

	RC_ASSERT(lock != keys.end());
	RC_ASSERT(lock->second.value.find("\"incarnation\":" +
		      std::to_string(loaders[i].incarnation)) !=
	    std::string::npos);
}

void
World::collect_output(int i, kv_ops *ops, loader_orders *orders)
{
	loader_order *o;
	kv_op *op;

	while ((op = TAILQ_FIRST(ops)) != nullptr) {
		TAILQ_REMOVE(ops, op, entry);
		KvRequest c = { i, loaders[i].incarnation, op,
			now + 2 * NSEC_PER_MSEC, now + 4 * NSEC_PER_MSEC, {},
			"", false };

		c.result.id = op->id;
		c.result.kind = op->kind;
		if (now < outage_until) {
			/* Executed late or never. */
			c.arrives_at = random_unit() < 0.5
			    ? now + (uint64_t)(random_unit() * 3e9)
			    : TIME_NEVER;
			c.answered_at = now + 1500 * NSEC_PER_MSEC;
		}
		kv_requests.push_back(c);
	}
	while ((o = TAILQ_FIRST(orders)) != nullptr) {
		TAILQ_REMOVE(orders, o, entry);
		if (o->kind != LOADER_REPORT && now >= outage_until)
			check_sender(i);
		if (o->fence > newest_fence)
			newest_fence = o->fence;
		OrderRequest c = { i, loaders[i].incarnation, *o,
			now + 2 * NSEC_PER_MSEC, now + 4 * NSEC_PER_MSEC,
			ANSWER_NONE, {}, now };

		if (o->kind != LOADER_REPORT && random_unit() < loss_probability) {
			c.answered_at = now + 600 * NSEC_PER_MSEC;
			c.arrives_at = random_unit() < 0.7
			    ? now + (uint64_t)(random_unit() * 12e9)
			    : TIME_NEVER;
		}
		order_requests.push_back(c);
		free(o);
	}
}

void
World::tick_loader(int i)
{
	kv_ops ops;
	loader_orders orders;
	loader_output out = { &ops, &orders };

	if (is_frozen(i))
		return;
	for (int m = 0; m < kModels; m++) {
		char name[NAME_SIZE];

		snprintf(name, sizeof(name), "m%d", m);
		demand_update(loader_demand(loaders[i].loader), now, 1, name,
		    arrivals[m], running[m], 0);
	}
	TAILQ_INIT(&ops);
	TAILQ_INIT(&orders);
	loader_tick(loaders[i].loader, now, conf, &out);
	collect_output(i, &ops, &orders);
	tell_loads_if_lost(i);
	if (now >= table_at[i]) {
		table_at[i] = now + kTableInterval;
		send_table(i);
	}
}

void
World::step()
{
	now += kStep;
	restart_crashed();
	advance_engines();
	publish_list();
	deliver_kv();
	deliver_orders();
	deliver_tables();
	deliver_told_loads();
	restart_stopped();
	for (int i = 0; i < kLoaders; i++)
		tick_loader(i);
}

void
World::advance(uint64_t for_ns)
{
	for (uint64_t end = now + for_ns; now < end;)
		step();
}

void
World::apply(OpKind kind, int a, int b)
{
	switch (kind) {
	case OP_ADVANCE:
		advance((uint64_t)(b + 1) * NSEC_PER_MSEC);
		break;
	case OP_LONG_ADVANCE:
		advance((uint64_t)(b + 1) * 10 * NSEC_PER_MSEC);
		break;
	case OP_DEMAND:
		add_demand(a % kModels, b);
		break;
	case OP_REQUEST_ADAPTER:
		request_adapter(a % kModels, b % (adapter_slots == kAdapterSlots ? kAdapters : kManyAdapters));
		break;
	case OP_LOSE_ANSWERS:
		loss_probability = b / 2000.0;
		break;
	case OP_RESTART:
		restart_engine(a % kReplicas);
		break;
	case OP_CRASH:
		crash_engine(a % kReplicas, (uint64_t)(b + 1) * 5 * NSEC_PER_MSEC);
		break;
	case OP_KILL:
		restart_loader(a % kLoaders);
		break;
	case OP_FREEZE:
		loaders[a % kLoaders].frozen_until =
		    now + (uint64_t)b * 5 * NSEC_PER_MSEC;
		break;
	case OP_OUTAGE:
		outage_until = now + (uint64_t)b * 5 * NSEC_PER_MSEC;
		break;
	case OP_REVOKE_LEASES:
		revoke_leases();
		break;
	case OP_UNLIST_ADAPTER:
		unlist_adapter("r" + std::to_string(a % kReplicas), (uint32_t)b);
		break;
	case OP_STOP:
		stop_planned(a % kLoaders);
		break;
	case OP_STOP_HOLDER:
		stop_planned(holder());
		break;
	case OP_KILL_HOLDER:
		restart_loader(holder());
		break;
	case OP_REPLACE:
		replace_engines(a);
		break;
	case OP_DEMAND_ALL:
		add_demand_to_all(b);
		break;
	default:
		loss_probability = 0.0;
		break;
	}
}

/* Without further faults every model gets a copy again. */
void
World::finish()
{
	loss_probability = 0.0;
	outage_until = 0;
	for (auto &h : loaders)
		h.frozen_until = 0;
	advance(60 * NSEC_PER_SEC);
	/* Copies in use give way at a tenth of the rate of loads. */
	for (int i = 0; scarce && i < 30 && !all_models_loaded(); i++)
		advance(10 * NSEC_PER_SEC);
	RC_ASSERT(all_models_loaded());
}
