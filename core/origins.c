#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "mem.h"
#include "origins.h"
#include "software.h"

#define ORIGINS_MAX 16384 /* of more, the oldest are forgotten */

struct kept_origin {
	TAILQ_ENTRY(kept_origin) entry;
	struct origin o;
	uint64_t put_at;
	UT_hash_handle hh;
};

TAILQ_HEAD(origin_list, kept_origin);

struct origins {
	struct origin_list oldest_first;
	struct kept_origin *by_id;
};

static void forget(struct origins *, struct kept_origin *);

struct origins *
origins_create(void)
{
	struct origins *s;

	s = mem_alloc(sizeof(*s));
	TAILQ_INIT(&s->oldest_first);
	return s;
}

static void
forget(struct origins *s, struct kept_origin *k)
{
	TAILQ_REMOVE(&s->oldest_first, k, entry);
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference): it holds k */
	HASH_DEL(s->by_id, k);
	free(k);
}

void
origins_destroy(struct origins *s)
{
	struct kept_origin *k;

	if (s == NULL)
		return;
	while ((k = TAILQ_FIRST(&s->oldest_first)) != NULL)
		forget(s, k);
	free(s);
}

void
origins_put(struct origins *s, uint64_t now, const struct origin *o)
{
	struct kept_origin *k;

	HASH_FIND_STR(s->by_id, o->id, k);
	if (k == NULL) {
		k = mem_alloc(sizeof(*k));
		k->o = *o;
		HASH_ADD_STR(s->by_id, o.id, k);
	} else {
		TAILQ_REMOVE(&s->oldest_first, k, entry);
		/* Two streams have the same id: which one is asked for? */
		if (strcmp(k->o.service, o->service) != 0 ||
		    strcmp(k->o.software, o->software) != 0)
			k->o.software[0] = '\0';
	}
	k->put_at = now;
	TAILQ_INSERT_TAIL(&s->oldest_first, k, entry);
	if (HASH_COUNT(s->by_id) > ORIGINS_MAX)
		forget(s, TAILQ_FIRST(&s->oldest_first));
}

const struct origin *
origins_find(const struct origins *s, const char *id)
{
	const struct kept_origin *k;

	HASH_FIND_STR(s->by_id, id, k);
	return k == NULL ? NULL : &k->o;
}

void
origins_expire(struct origins *s, uint64_t now)
{
	struct kept_origin *k;

	while ((k = TAILQ_FIRST(&s->oldest_first)) != NULL &&
	    now >= k->put_at + SOFTWARE_KEEP_NS)
		forget(s, k);
}
