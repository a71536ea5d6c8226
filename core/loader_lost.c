/* Lost orders: those without an answer that may still be carried out. */
#include <string.h>

#include "loader_int.h"

/* Engines carry out an order at most 12 s after it was sent; 1 s of margin. */
#define LOST_ORDER_MAX_AGE_NS (13 * NSEC_PER_SEC)

static int lost_load_may_start(
    const struct engine_state *, const struct lost_order *);

/* Whether it is a load sent before the replica's last restart. */
static int
lost_load_may_start(const struct engine_state *e, const struct lost_order *g)
{
	return g->expires_at != 0 && g->order.kind == LOADER_LOAD &&
	    g->order.started_ms != e->started_ms;
}

int
engine_state_has_lost_load(const struct engine_state *e, const char *model)
{
	const struct lost_order *g;

	for (g = e->lost_orders; g < e->lost_orders + LOADER_LOST_ORDERS_MAX;
	     g++) {
		if (lost_load_may_start(e, g) && g->order.adapter[0] == '\0' &&
		    strcmp(g->order.model, model) == 0)
			return 1;
	}
	return 0;
}

uint32_t
engine_state_lost_adapter_loads(const struct engine_state *e)
{
	const struct lost_order *g;
	uint32_t n = 0;

	for (g = e->lost_orders; g < e->lost_orders + LOADER_LOST_ORDERS_MAX;
	     g++)
		n += lost_load_may_start(e, g) && g->order.adapter[0] != '\0';
	return n;
}

/* Replaces the lost order that expires first. */
void
lost_order_add(
    struct engine_state *e, uint64_t now, const struct loader_order *o)
{
	struct lost_order *g = e->lost_orders;
	int i;

	for (i = 1; i < LOADER_LOST_ORDERS_MAX; i++) {
		if (e->lost_orders[i].expires_at < g->expires_at)
			g = &e->lost_orders[i];
	}
	g->order = *o;
	g->expires_at = now + LOST_ORDER_MAX_AGE_NS;
}

void
lost_orders_expire(struct engine_state *e, uint64_t now)
{
	int i;

	for (i = 0; i < LOADER_LOST_ORDERS_MAX; i++) {
		if (now >= e->lost_orders[i].expires_at)
			e->lost_orders[i].expires_at = 0;
	}
}
