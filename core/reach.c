#include <string.h>

#include "reach.h"

/* Failures this far apart have different causes. */
#define FAILURES_WINDOW_NS (3 * NSEC_PER_SEC)
/* Open connections that work are heard of at least this often. */
#define KEPT_SILENT_NS (1 * NSEC_PER_SEC)
#define HEARD_LATELY_NS (500 * NSEC_PER_MSEC)
#define PROBE_NS (300 * NSEC_PER_MSEC)

static void forget(struct reach *, uint32_t);
static void forget_old(struct reach *, uint64_t);
static void forget_replica(struct reach *, uint64_t);

static const char *const mode_names[REACH__MAX] = {
	[REACH_DIRECT] = "direct",
	[REACH_KEPT] = "kept",
	[REACH_NONE] = "none",
};

static void
forget(struct reach *r, uint32_t n)
{
	r->nfailures--;
	memmove(&r->failures[n], &r->failures[n + 1],
	    (r->nfailures - n) * sizeof(r->failures[0]));
}

static void
forget_old(struct reach *r, uint64_t now)
{
	while (
	    r->nfailures != 0 && now > r->failures[0].at + FAILURES_WINDOW_NS)
		forget(r, 0);
}

static void
forget_replica(struct reach *r, uint64_t replica)
{
	uint32_t i;

	for (i = 0; i < r->nfailures; i++) {
		if (r->failures[i].replica == replica) {
			forget(r, i);
			return;
		}
	}
}

int
reach_failed(struct reach *r, uint64_t now, uint64_t replica, uint32_t listed)
{
	uint32_t needed = listed < REACH_FAILED_MAX ? listed : REACH_FAILED_MAX;

	forget_replica(r, replica);
	if (r->cut_since == 0)
		forget_old(r, now);
	if (r->nfailures == REACH_FAILED_MAX)
		forget(r, 0);
	r->failures[r->nfailures].replica = replica;
	r->failures[r->nfailures].at = now;
	r->nfailures++;
	if (r->cut_since != 0 || r->nfailures < needed)
		return 0;
	r->cut_since = now;
	r->failing_from = r->failures[0].at;
	/* Others may be reached: replicas fail together, too. */
	r->probe_at = now;
	return 1;
}

int
reach_has_failed(const struct reach *r, uint64_t replica)
{
	uint32_t i;

	for (i = 0; i < r->nfailures; i++) {
		if (r->failures[i].replica == replica)
			return 1;
	}
	return 0;
}

int
reach_connected(struct reach *r, uint64_t now)
{
	int was_cut = r->cut_since != 0;

	r->nfailures = 0;
	r->cut_since = 0;
	r->connected_at = now;
	r->heard_at = now;
	return was_cut;
}

void
reach_heard(struct reach *r, uint64_t now)
{
	r->heard_at = now;
}

int
reach_replica_down(struct reach *r, uint64_t replica)
{
	uint32_t before = r->nfailures;

	forget_replica(r, replica);
	if (r->cut_since == 0 || r->nfailures == before)
		return 0;
	r->cut_since = 0;
	return 1;
}

enum reach_mode
reach_mode(const struct reach *r, uint64_t now)
{
	if (r->cut_since == 0)
		return REACH_DIRECT;
	/* Bytes from before the failures show nothing. */
	return r->heard_at >= r->failing_from &&
		now < r->heard_at + KEPT_SILENT_NS
	    ? REACH_KEPT
	    : REACH_NONE;
}

int
reach_hears_others(const struct reach *r, uint64_t now)
{
	return r->cut_since == 0 && now < r->heard_at + HEARD_LATELY_NS;
}

int
reach_probe_due(struct reach *r, uint64_t now)
{
	if (r->cut_since == 0 || now < r->probe_at)
		return 0;
	r->probe_at = now + PROBE_NS;
	return 1;
}

const char *
reach_mode_name(enum reach_mode mode)
{
	return mode_names[mode];
}
