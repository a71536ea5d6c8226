#include <string.h>

#include "hash.h"
#include "hubs.h"

static int hub_ranks_before(const struct hub *, const struct hub *);
static void hub_update_silent(struct hub *, uint64_t, uint64_t);
static void hubs_update_since(
    struct hub **, uint32_t, uint64_t, struct hub *const *, uint32_t);

static int
hub_ranks_before(const struct hub *a, const struct hub *b)
{
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return strcmp(a->addr, b->addr) < 0;
}

/* Only hubs must send regularly; other processes may have nothing to send. */
static void
hub_update_silent(struct hub *h, uint64_t now, uint64_t timeout_ns)
{
	uint64_t last = h->heard_at > h->hub_since ? h->heard_at : h->hub_since;

	if (h->self)
		return;
	if (h->hub_since != 0 && now > last + timeout_ns)
		h->silent = 1;
	else if (h->silent && now <= h->heard_at + timeout_ns)
		h->silent = 0;
}

uint32_t
hubs_choose(struct hub **all, uint32_t n, uint64_t now, uint64_t timeout_ns,
    struct hub *out[HUBS_MAX])
{
	uint32_t found = 0;
	uint32_t at;
	uint32_t i;

	for (i = 0; i < n; i++) {
		hub_update_silent(all[i], now, timeout_ns);
		if (all[i]->silent || all[i]->stopping)
			continue;
		for (at = found;
		     at > 0 && hub_ranks_before(all[i], out[at - 1]); at--) {
			if (at < HUBS_MAX)
				out[at] = out[at - 1];
		}
		if (at == HUBS_MAX)
			continue;
		out[at] = all[i];
		if (found < HUBS_MAX)
			found++;
	}
	hubs_update_since(all, n, now, out, found);
	return found;
}

/* Records when each candidate was chosen. */
static void
hubs_update_since(struct hub **all, uint32_t n, uint64_t now,
    struct hub *const *chosen, uint32_t nchosen)
{
	uint32_t at;
	uint32_t i;

	for (i = 0; i < n; i++) {
		for (at = 0; at < nchosen && chosen[at] != all[i]; at++)
			continue;
		if (at == nchosen)
			all[i]->hub_since = 0;
		else if (all[i]->hub_since == 0)
			all[i]->hub_since = now;
	}
}

uint32_t
relays_choose(struct hub **all, uint32_t n, uint64_t now, uint64_t timeout_ns,
    struct hub **out)
{
	uint32_t found = 0;
	uint32_t at;
	uint32_t i;

	for (i = 0; i < n; i++) {
		hub_update_silent(all[i], now, timeout_ns);
		if (all[i]->silent || all[i]->stopping)
			continue;
		for (at = 0;
		     at < found && strcmp(out[at]->zone, all[i]->zone) != 0;
		     at++)
			continue;
		if (at == found)
			out[found++] = all[i];
		else if (hub_ranks_before(all[i], out[at]))
			out[at] = all[i];
	}
	hubs_update_since(all, n, now, out, found);
	return found;
}

uint32_t
hubs_index_for(const char *addr, uint32_t nhubs)
{
	return (uint32_t)(hash_text(addr) % nhubs);
}
