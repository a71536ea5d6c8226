#include "roll_call.h"

/* For the others to notice, and for their messages. */
#define ANSWER_NS (250 * NSEC_PER_MSEC)
#define AGAIN_NS (1 * NSEC_PER_SEC)
/* Others may have called a little earlier. */
#define EARLIER_NS (100 * NSEC_PER_MSEC)

int
roll_call_start(struct roll_call *r, uint64_t now)
{
	if (r->called_at != 0 && now < r->called_at + AGAIN_NS)
		return 0;
	r->called_at = now;
	r->open = 1;
	return 1;
}

int
roll_call_is_over(struct roll_call *r, uint64_t now)
{
	if (!r->open || now < r->called_at + ANSWER_NS)
		return 0;
	r->open = 0;
	return 1;
}

void
roll_call_judge(const struct roll_call *r, struct hub *h)
{
	if (!h->self && h->heard_at + EARLIER_NS < r->called_at)
		h->silent = 1;
}
