/* Orders without an answer that may still be carried out. */
#include <string.h>

#include "steward_int.h"

/* Engines carry out an order at most 12 s after it was sent. */
#define LATE_NS (13 * NSEC_PER_SEC)

static int ghost_load(const struct charge *, const struct ghost *);

/* Whether the ghost is a load that may reach a later start of the replica. */
static int
ghost_load(const struct charge *c, const struct ghost *g)
{
	return g->until != 0 && g->order.kind == STEWARD_LOAD &&
	    g->order.born_ms != c->born_ms;
}

int
charge_haunted(const struct charge *c, const char *model)
{
	const struct ghost *g;

	for (g = c->ghosts; g < c->ghosts + STEWARD_GHOSTS_MAX; g++) {
		if (ghost_load(c, g) && g->order.adapter[0] == '\0' &&
		    strcmp(g->order.model, model) == 0)
			return 1;
	}
	return 0;
}

uint32_t
charge_ghost_adapters(const struct charge *c)
{
	const struct ghost *g;
	uint32_t n = 0;

	for (g = c->ghosts; g < c->ghosts + STEWARD_GHOSTS_MAX; g++)
		n += ghost_load(c, g) && g->order.adapter[0] != '\0';
	return n;
}

/* Takes the place of the one that ends first. */
void
ghost_add(struct charge *c, uint64_t now, const struct steward_order *o)
{
	struct ghost *g = c->ghosts;
	int i;

	for (i = 1; i < STEWARD_GHOSTS_MAX; i++) {
		if (c->ghosts[i].until < g->until)
			g = &c->ghosts[i];
	}
	g->order = *o;
	g->until = now + LATE_NS;
}

void
ghosts_step(struct charge *c, uint64_t now)
{
	int i;

	for (i = 0; i < STEWARD_GHOSTS_MAX; i++) {
		if (now >= c->ghosts[i].until)
			c->ghosts[i].until = 0;
	}
}
