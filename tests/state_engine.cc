/* Fake engines: delayed, lost and fenced orders, and the memory in use. */
#include "state_world.h"

/* Only the lease holder, or the owner of the delegation, may send orders. */
void
World::check_order_sender(int i, const order *o)
{
	std::string owner;
	json_t *doc;
	uint64_t inc = 0;

	if (o->kind == ORDER_INDEX)
		return;
	if (kv.count("lease/main")) {
		doc = json_loads(kv["lease/main"].value.c_str(), 0, nullptr);
		owner = json_string_value(json_object_get(doc, "owner"));
		inc = (uint64_t)json_integer_value(
		    json_object_get(doc, "incarnation"));
		json_decref(doc);
	}
	if (owner == addr(i) && inc == nodes[i].incarnation)
		return;
	std::string key = std::string("ledger/") + o->backend;

	RC_ASSERT(kv.count(key) == 1U);
	doc = json_loads(kv[key].value.c_str(), 0, nullptr);
	json_t *d = json_object_get(doc, "delegation");

	owner = d == nullptr ? "" :
			       json_string_value(json_object_get(d, "addr"));
	inc = (uint64_t)json_integer_value(json_object_get(d, "incarnation"));
	json_decref(doc);
	RC_ASSERT(owner == addr(i));
	RC_ASSERT(inc == nodes[i].incarnation);
}

/* Puts an order in flight; it or its answer may be delayed or lost. */
void
World::order_send(int i, order *o)
{
	OrderCall c;

	c.node = i;
	c.incarnation = nodes[i].incarnation;
	c.o = *o;
	c.outcome = ORDER_UNKNOWN;
	c.arrive_at = now + NSEC_PER_MSEC +
	    (uint64_t)(queue.random() * (double)order_delay);
	c.answer_at = c.arrive_at + 100 * NSEC_PER_MSEC;
	if (o->kind != ORDER_INDEX && queue.random() < order_loss_rate) {
		if (queue.random() < 0.5)
			c.arrive_at = TIME_NEVER; /* the order is lost */
		c.answer_at = TIME_NEVER;
	}
	if (c.answer_at > now + kOrderTimeout)
		c.answer_at = now + kOrderTimeout;
	orders.push_back(c);
	order_destroy(o);
}

void
World::check_unload(const Engine &e, const std::string &key,
    const std::string &model)
{
	if (!is_declared(model))
		return;
	/* Declared again after, or shortly before, the unload was decided. */
	if (declared_since[model] + kApplyBound >
	    unloading_since[e.name + "/" + key])
		return;
	/*
	 * Another engine must have a copy, or must have lost it in a restart
	 * after, or shortly before, the unload was decided.
	 */
	for (auto &other : engines) {
		if (&other != &e && other.has(model))
			return;
		if (&other != &e && other.lost_at.count(model) &&
		    other.lost_at[model] + kRestartDetectBound >
			unloading_since[e.name + "/" + key])
			return;
	}
	RC_ASSERT(e.has(model)); /* the last copy was unloaded */
}

/* Answers an INDEX order. */
void
World::report_loaded(const Engine &e, OrderCall &c)
{
	for (auto &l : e.loaded) {
		struct order_loaded out = {};
		size_t at = l.first.find('@');

		if (l.second.adapter) {
			snprintf(out.adapter, NAME_SIZE, "%s",
			    l.first.c_str());
			snprintf(out.model, NAME_SIZE, "%s",
			    l.second.base_model.c_str());
		} else {
			snprintf(out.model, NAME_SIZE, "%s",
			    l.first.substr(0, at).c_str());
			snprintf(out.version, NAME_SIZE, "%s",
			    l.first.substr(at + 1).c_str());
		}
		out.memory_mb = l.second.memory_mb;
		c.loaded.push_back(out);
	}
}

void
World::order_apply(OrderCall &c)
{
	Engine &e = engines[c.o.backend[1] - '0'];
	std::string key;

	c.engine_incarnation = e.incarnation;
	c.outcome = ORDER_DONE;
	if (c.o.kind != ORDER_INDEX && tracing())
		fprintf(stderr, "%lu %s: order %d %s@%s %s from %d fence %lu\n",
		    (unsigned long)(now / NSEC_PER_MSEC), e.name.c_str(),
		    (int)c.o.kind, c.o.model, c.o.version, c.o.adapter,
		    c.node, (unsigned long)c.o.fence);
	if (c.o.kind == ORDER_INDEX) {
		report_loaded(e, c);
		return;
	}
	if (e.fencing && c.o.fence < e.fence) {
		c.outcome = ORDER_STALE;
		return;
	}
	if (e.fencing && c.o.engine_incarnation != e.incarnation) {
		c.outcome = ORDER_REFUSED;
		return;
	}
	if (e.fencing)
		e.fence = c.o.fence;
	key = std::string(c.o.model) + "@" + c.o.version;
	switch (c.o.kind) {
	case ORDER_LOAD:
		e.loaded[key] = { c.o.memory_mb, false, "" };
		break;
	case ORDER_UNLOAD:
		/* Unloading an absent model has no effect. */
		if (e.loaded.erase(key) == 0)
			break;
		for (auto it = e.loaded.begin(); it != e.loaded.end();)
			if (it->second.adapter &&
			    it->second.base_model == c.o.model &&
			    !e.has(c.o.model))
				it = e.loaded.erase(it);
			else
				++it;
		check_unload(e, key, c.o.model);
		break;
	case ORDER_ADAPTER_LOAD:
		e.loaded[c.o.adapter] = { c.o.memory_mb, true, c.o.model };
		break;
	default:
		e.loaded.erase(c.o.adapter);
		break;
	}
	RC_ASSERT(e.used_mb() <= kCapacityMb); /* memory overcommitted */
}

void
World::order_tick()
{
	for (size_t k = 0; k < orders.size(); k++) {
		if (orders[k].arrive_at <= now) {
			orders[k].arrive_at = TIME_NEVER;
			order_apply(orders[k]);
		}
	}
	for (size_t k = 0; k < orders.size();) {
		OrderCall &c = orders[k];
		Node &n = nodes[c.node];

		if (c.answer_at > now || n.paused) {
			if (n.incarnation != c.incarnation &&
			    c.arrive_at == TIME_NEVER)
				orders.erase(orders.begin() + (long)k);
			else
				k++;
			continue;
		}
		if (n.core != nullptr && n.incarnation == c.incarnation) {
			order_result r = {};
			node_out out;

			r.id = c.o.id;
			r.outcome = c.arrive_at == TIME_NEVER ? c.outcome :
							     ORDER_UNKNOWN;
			r.engine_incarnation = c.engine_incarnation;
			r.nloaded = (uint32_t)c.loaded.size();
			r.loaded = c.loaded.data();
			node_out_init(&out);
			node_handle_order_result(n.core, now, &r, &out);
			perform(c.node, &out);
		}
		/* The order may still arrive after the time-out. */
		orders[k].answer_at = TIME_NEVER;
		if (orders[k].arrive_at == TIME_NEVER)
			orders.erase(orders.begin() + (long)k);
		else
			k++;
	}
}
