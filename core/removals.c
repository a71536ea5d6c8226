#include <stdio.h>
#include <string.h>

#include "removals.h"

void
removals_start(struct removals *r, revision_t revision)
{
	if (r->since == 0)
		r->since = revision;
}

void
removals_add(struct removals *r, const char *key, revision_t revision)
{
	struct removal *x = &r->latest[r->n++ % REMOVALS_MAX];

	if (r->since != 0 && x->revision > r->since)
		r->since = x->revision;
	snprintf(x->key, sizeof(x->key), "%s", key);
	x->revision = revision;
}

int
removals_has(const struct removals *r, const char *key, revision_t revision)
{
	uint32_t i;

	for (i = 0; i < REMOVALS_MAX; i++) {
		if (r->latest[i].revision > revision &&
		    strcmp(r->latest[i].key, key) == 0)
			return 1;
	}
	return 0;
}

int
removals_known_since(const struct removals *r, revision_t revision)
{
	return r->since != 0 && revision >= r->since;
}

const struct removal *
removals_get(const struct removals *r, uint32_t i, revision_t revision)
{
	return r->latest[i].revision > revision ? &r->latest[i] : NULL;
}
