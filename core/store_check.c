#include "store_check.h"

#define FAILURES_MAX 2
/* A hub that has heard nothing for so long asks. */
#define HUB_SILENT_NS (500 * NSEC_PER_MSEC)
/* A process that is turned away asks for the end of it this often. */
#define DOWN_NS (1 * NSEC_PER_SEC)
/* A doubt ends without an answer, too. */
#define DOUBT_NS (3 * NSEC_PER_SEC)

void
store_check_doubt(struct store_check *c, uint64_t now)
{
	c->doubted_at = now;
}

uint32_t
store_check_failures_max(const struct store_check *c)
{
	return c->doubted_at != 0 ? 1 : FAILURES_MAX;
}

int
store_check_due(
    struct store_check *c, const struct store_check_state *s, uint64_t now)
{
	int due;

	if (c->doubted_at != 0 &&
	    (s->answered_at > c->doubted_at || !s->up ||
		now > c->doubted_at + DOUBT_NS))
		c->doubted_at = 0;
	if (s->is_hub)
		due = now >= s->answered_at + HUB_SILENT_NS;
	else if (!s->up)
		due = now >= c->called_at + DOWN_NS;
	else
		due = c->doubted_at != 0;
	if (due)
		c->called_at = now;
	return due;
}
