/* Fake key-value service, and the oracle's records of its writes. */
#include "state_world.h"

/* The objects of all chunks that config/head lists. */
json_t *
World::head_objects()
{
	json_t *all = json_object();
	json_t *head = nullptr;
	json_t *hash;
	size_t i;

	if (kv.count("config/head"))
		head = json_loads(
		    kv["config/head"].value.c_str(), 0, nullptr);
	json_array_foreach (json_object_get(head, "chunks"), i, hash) {
		std::string key =
		    std::string("config/chunk/") + json_string_value(hash);
		json_t *part;

		if (strcmp(json_string_value(hash), "0") == 0)
			continue;
		RC_ASSERT(kv.count(key) == 1U);
		part = json_loads(kv[key].value.c_str(), 0, nullptr);
		json_object_update(all, part);
		json_decref(part);
	}
	json_decref(head);
	return all;
}

bool
World::is_declared(const std::string &model)
{
	json_t *all = head_objects();
	json_t *body = json_object_get(
	    json_object_get(all, ("model/" + model).c_str()), "body");
	bool yes = json_is_object(body);

	json_decref(all);
	return yes;
}

/* Records when a ledger first had each copy as unloading. */
void
World::record_unload_times(const std::string &key, const char *v)
{
	json_t *doc;
	json_t *item;
	size_t i;

	if (key.compare(0, 7, "ledger/") != 0)
		return;
	doc = json_loads(v, 0, nullptr);
	json_array_foreach (json_object_get(doc, "entries"), i, item) {
		std::string name = key.substr(7) + "/" +
		    json_string_value(json_object_get(item, "model")) + "@" +
		    json_string_value(json_object_get(item, "version"));

		if (strcmp(json_string_value(json_object_get(item, "state")),
			"unloading") != 0)
			unloading_since.erase(name);
		else if (!unloading_since.count(name))
			unloading_since[name] = now;
	}
	json_decref(doc);
}

/* The ticket number of an object never decreases. */
void
World::check_ticket_numbers(json_t *all)
{
	const char *key;
	json_t *object;

	json_object_foreach (all, key, object) {
		uint64_t number = (uint64_t)json_integer_value(
		    json_object_get(object, "ticket"));

		RC_ASSERT(number >= ticket_numbers[key]);
		ticket_numbers[key] = number;
	}
}

/* Records since when each model has been declared. */
void
World::record_declarations()
{
	json_t *all = head_objects();

	check_ticket_numbers(all);
	for (int i = 0; i < 6; i++) {
		std::string name = "m" + std::to_string(i);
		json_t *body = json_object_get(
		    json_object_get(all, ("model/" + name).c_str()), "body");

		if (!json_is_object(body))
			declared_since.erase(name);
		else if (!declared_since.count(name))
			declared_since[name] = now;
	}
	json_decref(all);
}

void
World::kv_put(const std::string &key, const char *v, uint64_t lease)
{
	KvEntry &e = kv[key];

	if (key == "config/head" && !e.value.empty()) {
		json_t *a = json_loads(e.value.c_str(), 0, nullptr);
		json_t *b = json_loads(v, 0, nullptr);

		/* The revision of the configuration only increases. */
		RC_ASSERT(
		    json_integer_value(json_object_get(b, "revision")) >
		    json_integer_value(json_object_get(a, "revision")));
		json_decref(a);
		json_decref(b);
	}
	if (tracing())
		fprintf(stderr, "%lu put %s %s\n",
		    (unsigned long)(now / NSEC_PER_MSEC), key.c_str(),
		    key == "config/head" ? "" : v);
	kv_revision++;
	record_unload_times(key, v);
	e.value = v;
	if (key == "config/head")
		record_declarations();
	if (e.created == 0)
		e.created = kv_revision;
	e.modified = kv_revision;
	e.lease = lease;
}

void
World::kv_start(int i, kv_op *op)
{
	KvCall c;

	c.node = i;
	c.incarnation = nodes[i].incarnation;
	c.op = op;
	c.result = {};
	c.result.id = op->id;
	c.result.kind = op->kind;
	c.result.status = KV_UNKNOWN;
	c.arrive_at = now + NSEC_PER_MSEC +
	    (uint64_t)(queue.random() * (double)kv_delay);
	c.answer_at = c.arrive_at + NSEC_PER_MSEC;
	if (queue.random() < kv_loss_rate) {
		if (queue.random() < 0.3)
			c.arrive_at = TIME_NEVER;
		c.answer_at = TIME_NEVER;
	}
	uint64_t limit = op->kind == KV_WATCH ? 25 * NSEC_PER_SEC : kKvTimeout;

	if (c.answer_at > now + limit)
		c.answer_at = now + limit;
	if (op->kind == KV_WATCH)
		c.answer_at = now + limit;
	calls.push_back(c);
}

void
World::kv_apply(KvCall &c)
{
	kv_op *op = c.op;
	auto it = kv.find(op->key);
	KvEntry *e = it == kv.end() ? nullptr : &it->second;

	switch (op->kind) {
	case KV_GET:
		c.result.status = e == nullptr ? KV_ABSENT : KV_OK;
		if (e != nullptr) {
			c.value = e->value;
			c.result.revision = e->modified;
		}
		break;
	case KV_WATCH:
		c.watching = true;
		c.result.status = KV_ABSENT;
		break;
	case KV_CAS:
		c.result.status = KV_CONFLICT;
		if ((e == nullptr ? 0 : e->modified) != op->expected_revision)
			break;
		if (op->lease_id != 0 && !leases.count(op->lease_id)) {
			c.result.status = KV_UNKNOWN;
			break;
		}
		kv_put(op->key, op->value, op->lease_id);
		c.result.status = KV_OK;
		c.result.revision = kv_revision;
		break;
	case KV_GRANT:
		c.result.lease_id = ++next_lease;
		leases[next_lease] = { op->ttl_s * NSEC_PER_SEC,
			now + op->ttl_s * NSEC_PER_SEC };
		c.result.status = KV_OK;
		break;
	case KV_KEEPALIVE:
		c.result.status = KV_ABSENT;
		if (leases.count(op->lease_id)) {
			leases[op->lease_id].deadline =
			    now + leases[op->lease_id].ttl;
			c.result.status = KV_OK;
		}
		break;
	default:
		if (leases.count(op->lease_id))
			leases[op->lease_id].deadline = 0;
		c.result.status = KV_OK;
		break;
	}
}

void
World::kv_expire()
{
	for (auto it = leases.begin(); it != leases.end();) {
		if (it->second.deadline > now || kv_down) {
			++it;
			continue;
		}
		for (auto e = kv.begin(); e != kv.end();)
			e = e->second.lease == it->first ? kv.erase(e) :
							   std::next(e);
		it = leases.erase(it);
	}
}

/* Applies operations that arrive and answers watches. */
void
World::kv_arrivals()
{
	for (size_t k = 0; k < calls.size(); k++) {
		KvCall &c = calls[k];

		if (c.arrive_at <= now) {
			c.arrive_at = TIME_NEVER;
			if (!kv_down)
				kv_apply(c);
		}
		if (c.watching && !kv_down && kv.count(c.op->key) &&
		    kv[c.op->key].modified > c.op->expected_revision) {
			c.watching = false;
			c.value = kv[c.op->key].value;
			c.result.revision = kv[c.op->key].modified;
			c.result.status = KV_OK;
			c.answer_at = now;
		}
		if (c.watching && kv_down)
			c.result.status = KV_UNKNOWN;
	}
}

void
World::kv_tick()
{
	kv_expire();
	kv_arrivals();
	for (size_t k = 0; k < calls.size();) {
		if (calls[k].answer_at > now || nodes[calls[k].node].paused) {
			k++;
			continue;
		}
		KvCall c = calls[k];
		Node &n = nodes[c.node];

		/* Timed out before the operation arrived. */
		if (c.arrive_at != TIME_NEVER)
			c.result.status = KV_UNKNOWN;
		if (c.arrive_at == TIME_NEVER || c.incarnation != n.incarnation) {
			calls.erase(calls.begin() + (long)k);
			kv_op_destroy(c.op);
		} else {
			calls[k].answer_at = TIME_NEVER;
			k++;
		}
		if (n.core == nullptr || c.incarnation != n.incarnation)
			continue;
		node_out out;

		c.result.value = c.value.c_str();
		node_out_init(&out);
		node_handle_kv_result(n.core, now, &c.result, &out);
		perform(c.node, &out);
	}
	/* Drops calls that timed out and have arrived since. */
	for (size_t k = 0; k < calls.size();) {
		if (calls[k].arrive_at == TIME_NEVER &&
		    calls[k].answer_at == TIME_NEVER) {
			kv_op_destroy(calls[k].op);
			calls.erase(calls.begin() + (long)k);
		} else {
			k++;
		}
	}
}
