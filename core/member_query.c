/* Queries on the membership. */
#include <stdlib.h>
#include <string.h>

#include "member_int.h"

void
member_foreach(const struct member *m,
    void (*report)(void *, const struct member_info *), void *ctx)
{
	struct member_info self = m->self_peer.info;
	struct peer *p, *next;

	self.revision = m->revision;
	report(ctx, &self);
	HASH_ITER (hh, m->peers, p, next)
		report(ctx, &p->info);
}

enum member_state
member_get_state(const struct member *m, const char *addr, uint64_t incarnation)
{
	const struct peer *p;

	if (strcmp(addr, m->self.addr) == 0)
		return incarnation == m->self.incarnation ? MEMBER_ALIVE
							  : MEMBER_DEAD;
	p = member_find_peer(m, addr);
	if (p == NULL || p->info.id.incarnation > incarnation)
		return MEMBER_DEAD;
	return p->info.state;
}

uint32_t
member_sample(struct member *m, uint32_t n, char (*addrs)[ADDR_SIZE])
{
	struct peer *p, *next;
	uint32_t live = member_count_live(m);
	uint32_t drawn = 0;

	/* Selection sampling: n of the live peers with equal probability. */
	HASH_ITER (hh, m->peers, p, next) {
		if (p->info.state != MEMBER_ALIVE || p->info.last_heard_at == 0)
			continue;
		if ((uint32_t)nrand48(m->rand_state) % live < n - drawn) {
			memcpy(addrs[drawn], p->info.id.addr, ADDR_SIZE);
			if (++drawn == n)
				break;
		}
		live--;
	}
	return drawn;
}

uint64_t
member_latest_incarnation(const struct member *m, const char *addr)
{
	const struct peer *p;

	if (strcmp(addr, m->self.addr) == 0)
		return m->self.incarnation;
	p = member_find_peer(m, addr);
	return p == NULL ? 0 : p->info.id.incarnation;
}

uint32_t
member_count_live(const struct member *m)
{
	struct peer *p, *next;
	uint32_t n = 0;

	HASH_ITER (hh, m->peers, p, next)
		n +=
		    p->info.state == MEMBER_ALIVE && p->info.last_heard_at != 0;
	return n;
}

uint32_t
member_count_heard(const struct member *m, uint64_t since)
{
	struct peer *p, *next;
	uint32_t n = 0;

	HASH_ITER (hh, m->peers, p, next)
		n += p->info.last_heard_at != 0 &&
		    p->info.last_heard_at >= since;
	return n;
}
