/* The loader fuzzer's world: the rate of loads, and planned stops. */
#include "orders_world.h"

/*
 * The holder of orders knows of an order, unless an earlier holder that ended
 * without a word has sent it and it was on its way for long.
 */
bool
World::is_known_to_holder(const OrderRequest &c) const
{
	return c.order.fence == newest_fence || told_fences.count(c.order.fence) ||
	    now < c.sent_at + kOnTime;
}

/* Counts the loads that began in the window that ends with this one. */
void
World::check_load_rate(const OrderRequest &c)
{
	size_t n = 0;

	if (c.result != ANSWER_STARTED || c.order.kind != LOADER_LOAD ||
	    c.order.adapter[0] != '\0' || !is_known_to_holder(c))
		return;
	loads_begun.push_back(now);
	for (uint64_t at : loads_begun)
		n += at + kLoadWindow > now;
	RC_ASSERT(n <=
	    (size_t)(loads_per_s * (double)kLoadWindow / (double)NSEC_PER_SEC) +
		kLoadsSlack);
}

/* The process that may send orders, or the first. */
int
World::holder() const
{
	for (int i = 0; i < kLoaders; i++) {
		if (loader_is_leader(loaders[i].loader, now))
			return i;
	}
	return 0;
}

/* SIGTERM: gives the lease up, and starts again after a time. */
void
World::stop_planned(int i)
{
	kv_ops ops;
	loader_orders orders;
	loader_output out = { &ops, &orders };

	if (is_frozen(i) || loaders[i].restart_at != 0)
		return;
	TAILQ_INIT(&ops);
	TAILQ_INIT(&orders);
	loader_set_candidate(loaders[i].loader, 0, 0);
	loaders[i].tells_loads = loader_is_leader(loaders[i].loader, now);
	tell_loads(i);
	loader_release(loaders[i].loader, &out);
	collect_output(i, &ops, &orders);
	loaders[i].restart_at = now + kStopTime;
}

/* Each message to another process may be lost or late. */
void
World::tell_loads(int i)
{
	loader_loads t;

	if (!loaders[i].tells_loads)
		return;
	loader_stats stats;

	loader_get_stats(loaders[i].loader, now, &stats);
	loader_get_loads(loaders[i].loader, now, &t);
	loaders[i].tells_loads = t.open != 0 && t.fence == stats.fence;
	if (t.fence != stats.fence) {
		free(t.loads);
		return;
	}
	for (int k = 0; k < kLoaders; k++) {
		if (k == i || random_unit() < loss_probability)
			continue;
		told_loads.push_back({ k,
		    now + (uint64_t)(random_unit() * 300e6), t.fence, t.unknown_ns,
		    std::vector<loader_load>(t.loads, t.loads + t.n) });
	}
	free(t.loads);
}

/* A leader whose lease is lost tells them as one that stops does. */
void
World::tell_loads_if_lost(int i)
{
	bool leads = loader_is_leader(loaders[i].loader, now);

	if (loaders[i].was_leader && !leads)
		loaders[i].tells_loads = true;
	loaders[i].was_leader = leads;
	tell_loads(i);
}

void
World::deliver_told_loads()
{
	for (size_t i = 0; i < told_loads.size();) {
		ToldLoads &t = told_loads[i];

		if (now < t.arrives_at || is_frozen(t.receiver)) {
			i++;
			continue;
		}
		loader_loads l = { t.fence, t.unknown_ns, 0, (uint32_t)t.loads.size(),
			t.loads.data() };

		loader_take_loads(loaders[t.receiver].loader, now, &l);
		if (t.receiver == holder())
			told_fences.insert(t.fence);
		told_loads.erase(told_loads.begin() + (long)i);
	}
}

void
World::restart_stopped()
{
	for (int i = 0; i < kLoaders; i++) {
		if (loaders[i].restart_at == 0)
			continue;
		if (now < loaders[i].restart_at) {
			if (!is_frozen(i))
				tell_loads(i);
			continue;
		}
		stop_loader(i);
		start_loader(i);
		tell_started(i);
	}
}

/* Each process that knows the loads of an earlier leader tells them. */
void
World::tell_started(int started)
{
	for (int i = 0; i < kLoaders; i++) {
		loader_loads t;

		if (i == started || is_frozen(i) ||
		    !loader_knows_loads(loaders[i].loader) ||
		    random_unit() < loss_probability)
			continue;
		loader_get_loads(loaders[i].loader, now, &t);
		told_loads.push_back({ started,
		    now + (uint64_t)(random_unit() * 300e6), t.fence, t.unknown_ns,
		    std::vector<loader_load>(t.loads, t.loads + t.n) });
		free(t.loads);
	}
}

/* Restarts empty under the same id. */
void
World::restart_engine(int i)
{
	engines[i].current = EngineContents();
	engines[i].current.started_ms = now;
	engines[i].fence = 0;
}

/* Its entry leaves the list until it restarts, after a time. */
void
World::crash_engine(int i, uint64_t down)
{
	if (engines[i].down_until != 0)
		return;
	engines[i].down_until = now + down;
	for (auto &h : loaders) {
		directory_remove(&h.dir, now, engines[i].id.c_str());
		directory_tick(&h.dir, now);
	}
}

void
World::restart_crashed()
{
	for (int i = 0; i < kReplicas; i++) {
		Engine &e = engines[i];

		if (e.down_until == 0 || now < e.down_until)
			continue;
		e.down_until = 0;
		restart_engine(i);
		e.history.assign(1, { now, e.current });
		e.listed_at = 0;
	}
}

/* Replaces all replicas but one, or every other one. */
void
World::replace_engines(int which)
{
	for (int i = 0; i < kReplicas; i++) {
		if (which % 2 == 0 ? i != which % kReplicas : i % 2 == 0)
			restart_engine(i);
	}
}

bool
World::all_models_loaded() const
{
	for (int m = 0; m < kModels; m++) {
		size_t copies = 0;

		for (auto &e : engines)
			copies += e.current.models.count("m" + std::to_string(m));
		if (copies == 0)
			return false;
	}
	return true;
}

void
World::add_demand(int model, int n)
{
	running[model] = (uint32_t)n / 5;
	arrivals[model] += (uint64_t)n;
}

void
World::add_demand_to_all(int n)
{
	for (int m = 0; m < kModels; m++)
		add_demand(m, n);
}

void
World::request_adapter(int model, int adapter)
{
	char name[FLEET_NAME_SIZE];

	snprintf(name, sizeof(name), "m%d/a%d", model, adapter);
	for (auto &h : loaders)
		loader_request_adapter(h.loader, now, name);
}

void
World::restart_loader(int i)
{
	stop_loader(i);
	start_loader(i);
}

void
World::revoke_leases()
{
	leases.clear();
	revoked_at = now;
}
