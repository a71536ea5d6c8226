#include "poison_fixture.h"

static void on_changed(void *, uint64_t, int);

static void
on_changed(void *ctx, uint64_t part, int on)
{
	(void)part;
	*(int *)ctx += on ? 1 : -1;
}

uint64_t
blocked(struct poison *p, uint64_t now, uint64_t part)
{
	int changes = 0;

	poison_update(p, now, on_changed, &changes);
	return poison_blocked_until(p, now, &part, 1);
}

void
crash(struct poison *p, uint64_t now, uint64_t replica, uint64_t part)
{
	poison_crashed(p, now, replica, &part, 1);
}

void
crash_thrice(struct poison *p, uint64_t now, uint64_t gap, uint64_t replica,
    uint64_t part)
{
	uint64_t i;

	for (i = 0; i < 3; i++)
		crash(p, now + i * gap, replica + i, part);
}

void
pass_on(struct poison *from, struct poison *to, uint64_t now)
{
	struct poison_evidence e[POISON_REPORT_MAX];
	uint32_t n = poison_report(from, now, e);
	uint32_t i;

	for (i = 0; i < n; i++)
		poison_merge(to, now, &e[i]);
}
