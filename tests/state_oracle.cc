/* Checks of the final state, after all faults have been removed. */
#include "state_world.h"

/* The revision that a node has applied never decreases. */
void
World::check_revisions()
{
	for (auto &n : nodes) {
		if (n.core == nullptr)
			continue;
		RC_ASSERT(node_revision(n.core) >= n.revision);
		n.revision = node_revision(n.core);
	}
}

/* Prints the state of nodes and engines when FUZZ_DUMP is set. */
void
World::dump()
{
	if (getenv("FUZZ_DUMP") == nullptr)
		return;
	for (auto &n : nodes) {
		json_t *doc = node_status(n.core, now);
		char *text = json_dumps(doc, JSON_INDENT(1));

		fprintf(stderr, "%s\n", text);
		free(text);
		json_decref(doc);
	}
	for (auto &e : engines) {
		fprintf(stderr, "%s inc %lu:", e.name.c_str(),
		    (unsigned long)e.incarnation);
		for (auto &l : e.loaded)
			fprintf(stderr, " %s=%lu", l.first.c_str(),
			    (unsigned long)l.second.memory_mb);
		fprintf(stderr, "\n");
	}
}

/*
 * A declared version is resident, unless no accelerator has room for it, for
 * example because moving other models would unload a last copy.
 */
void
World::check_resident(const std::string &name, json_t *body, json_t *all)
{
	std::string version =
	    json_string_value(json_object_get(body, "version"));
	uint64_t mb = (uint64_t)json_integer_value(
	    json_object_get(body, "memory_mb"));
	bool resident = false;
	bool room = false;

	for (auto &e : engines) {
		json_t *drain = json_object_get(
		    json_object_get(all, ("drain/" + e.name).c_str()),
		    "body");
		uint64_t models = 0;

		resident |= e.loaded.count(name + "@" + version) != 0;
		for (auto &l : e.loaded)
			models += l.second.adapter ? 0 : l.second.memory_mb;
		room |= !json_is_true(json_object_get(drain, "leaving")) &&
		    models + mb + kAdapterPoolMb <= kCapacityMb;
	}
	if (!resident && room)
		dump();
	RC_ASSERT(resident || !room);
}

/* Refused tickets had no effect; every declared model is resident. */
void
World::check_objects()
{
	json_t *all = head_objects();
	json_t *object;
	const char *key;
	std::set<uint64_t> accepted;
	std::set<uint64_t> doubtful;

	for (auto &t : tickets) {
		if (t.second.answered && (t.second.status == TICKET_ACCEPTED ||
					     t.second.status == TICKET_UNCHANGED))
			accepted.insert(t.second.number);
		if (!t.second.answered || t.second.status == TICKET_UNKNOWN)
			doubtful.insert(t.second.number);
	}
	json_object_foreach (all, key, object) {
		uint64_t number = (uint64_t)json_integer_value(
		    json_object_get(object, "ticket"));

		RC_ASSERT(accepted.count(number) || doubtful.count(number));
		if (strncmp(key, "model/", 6) != 0 ||
		    json_is_null(json_object_get(object, "body")))
			continue;
		check_resident(key + 6, json_object_get(object, "body"), all);
	}
	json_decref(all);
}

/* Exactly one node owns the cell. */
void
World::check_owner()
{
	int holders = 0;

	for (auto &n : nodes) {
		int held = 0;

		node_foreach_cell(
		    n.core,
		    [](void *arg, const cell_core *c) {
			    *(int *)arg += cell_is_owner(c);
		    },
		    &held);
		holders += held;
	}
	RC_ASSERT(holders == 1);
}

/* Removes all faults, waits for convergence and checks the final state. */
void
World::finish()
{
	queue.faults = {};
	queue.faults.delay = 3 * NSEC_PER_MSEC;
	kv_down = false;
	kv_loss_rate = order_loss_rate = 0.0;
	kv_delay = order_delay = 0;
	for (int i = 0; i < kNodes; i++) {
		vm_listed[i] = true;
		if (nodes[i].core == nullptr)
			start_node(i);
		apply(OP_RESUME, i, 0);
	}
	uint64_t healed = now;

	advance(kApplyBound);
	uint64_t highest = 0;

	for (auto &t : tickets)
		if (t.second.answered && t.second.status == TICKET_ACCEPTED &&
		    t.second.updated_at <= healed && t.second.revision > highest)
			highest = t.second.revision;
	for (auto &n : nodes)
		RC_ASSERT(node_revision(n.core) >= highest);
	advance(30 * NSEC_PER_SEC, 2 * kStep);
	check_objects();
	check_owner();
}
