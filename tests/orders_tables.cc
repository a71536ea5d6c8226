/* What else than the loader changes the adapters that the directory lists. */
#include "orders_world.h"

/* Tables may arrive after a later leader has read reports. */
void
World::send_table(int sender)
{
	if (!loader_is_leader(loaders[sender].loader, now))
		return;
	for (int i = 0; i < kLoaders; i++) {
		if (i == sender)
			continue;
		AdapterTable t = { i,
			now + (uint64_t)(random_unit() * 1e9), {} };

		for (auto &e : engines) {
			const directory_replica *m =
			    directory_find(&loaders[sender].dir, e.id.c_str());

			for (uint32_t k = 0; m != nullptr && k < m->info.adapters.n; k++)
				t.adapters[e.id].push_back(m->info.adapters.names[k]);
		}
		tables.push_back(t);
	}
}

void
World::deliver_tables()
{
	for (size_t i = 0; i < tables.size();) {
		if (now < tables[i].arrives_at ||
		    is_frozen(tables[i].receiver)) {
			i++;
			continue;
		}
		for (auto &e : engines) {
			directory_replica *m = directory_find(
			    &loaders[tables[i].receiver].dir, e.id.c_str());

			if (m == nullptr)
				continue;
			fleet_replica &r = m->info;

			name_list_truncate(&r.adapters);
			for (auto &a : tables[i].adapters[e.id])
				name_list_append(&r.adapters, a.c_str());
		}
		tables.erase(tables.begin() + (long)i);
	}
}

/* A replica answered 421, as it does for an adapter on its way. */
void
World::unlist_adapter(const std::string &id, uint32_t at)
{
	for (auto &h : loaders) {
		directory_replica *m = directory_find(&h.dir, id.c_str());

		if (m == nullptr || m->info.adapters.n == 0)
			continue;
		at %= m->info.adapters.n;
		name_list_remove_at(&m->info.adapters, at);
	}
}
