#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "notice.h"

static int begin(struct notice *, uint64_t);
static int is_kept(const struct notice *, uint64_t);

/* Returns whether the word is the latest incarnation's. */
static int
begin(struct notice *n, uint64_t started_ms)
{
	if (started_ms < n->started_ms)
		return 0;
	if (started_ms > n->started_ms) {
		memset(n, 0, sizeof(*n));
		n->started_ms = started_ms;
	}
	return 1;
}

int
notice_leaving(struct notice *n, uint64_t started_ms, uint64_t now)
{
	if (!begin(n, started_ms) || n->leaving_at != 0)
		return 0;
	n->leaving_at = now;
	return 1;
}

int
notice_closed(
    struct notice *n, uint64_t started_ms, uint64_t now, uint64_t for_ns)
{
	int capped = for_ns > NOTICE_CLOSED_MAX_NS;
	uint64_t until = now + (capped ? NOTICE_CLOSED_MAX_NS : for_ns);

	if (for_ns == 0 || !begin(n, started_ms) || until <= n->closed_until)
		return 0;
	n->closed_until = until;
	n->probe |= capped;
	n->reopening = 1;
	return 1;
}

int
notice_limit(struct notice *n, uint64_t started_ms, uint64_t at, double per_s)
{
	int changed;

	if ((per_s == 0.0 && n->limit_at == 0) || !begin(n, started_ms) ||
	    at < n->limit_at)
		return 0;
	changed = per_s != n->limit_per_s;
	if (n->limit_per_s == 0.0)
		n->limit_since = at;
	n->limit_at = at;
	n->limit_per_s = per_s;
	return changed;
}

double
notice_limit_of(const struct notice *n, uint64_t started_ms)
{
	return started_ms <= n->started_ms ? n->limit_per_s : 0.0;
}

void
notice_answered(struct notice *n, uint64_t started_ms, uint64_t sent_at)
{
	if (n->closed_until == 0 || started_ms < n->started_ms)
		return;
	if (started_ms > n->started_ms)
		(void)begin(n, started_ms);
	else if (sent_at >= n->closed_until)
		n->probe = 0;
}

void
notice_listed(struct notice *n, uint64_t started_ms, int undrained)
{
	if (n->started_ms != 0)
		return;
	if (undrained)
		n->leaving_at = 0;
	if (n->leaving_at != 0 || n->closed_until != 0 || n->limit_per_s != 0.0)
		n->started_ms = started_ms;
}

int
notice_is_leaving(const struct notice *n, uint64_t started_ms)
{
	return n->leaving_at != 0 && started_ms <= n->started_ms;
}

uint64_t
notice_closed_until(const struct notice *n, uint64_t started_ms, uint64_t now)
{
	return started_ms <= n->started_ms && now < n->closed_until
	    ? n->closed_until
	    : 0;
}

int
notice_is_probed(const struct notice *n, uint64_t started_ms, uint64_t now)
{
	return started_ms > n->started_ms ? now < n->closed_until : n->probe;
}

int
notice_reopened(struct notice *n, uint64_t now)
{
	if (!n->reopening || now < n->closed_until)
		return 0;
	n->reopening = 0;
	return 1;
}

static int
is_kept(const struct notice *n, uint64_t now)
{
	return now < n->closed_until ||
	    (n->leaving_at != 0 && now < n->leaving_at + NOTICE_KEPT_NS) ||
	    (n->limit_per_s != 0.0 && now < n->limit_at + NOTICE_KEPT_NS);
}

void
kept_notice_put(struct kept_notice **table, uint64_t now, const char *id,
    const struct notice *n)
{
	struct kept_notice *k;

	if (!is_kept(n, now))
		return;
	HASH_FIND_STR(*table, id, k);
	if (k == NULL) {
		k = mem_alloc(sizeof(*k));
		snprintf(k->id, sizeof(k->id), "%s", id);
		HASH_ADD_STR(*table, id, k);
	}
	k->notice = *n;
}

void
kept_notice_take(struct kept_notice **table, const char *id, struct notice *n)
{
	struct kept_notice *k;

	HASH_FIND_STR(*table, id, k);
	if (k == NULL)
		return;
	*n = k->notice;
	HASH_DEL(*table, k);
	free(k);
}

void
kept_notice_tick(struct kept_notice **table, uint64_t now)
{
	struct kept_notice *k, *next;

	HASH_ITER (hh, *table, k, next) {
		if (is_kept(&k->notice, now))
			continue;
		HASH_DEL(*table, k);
		free(k);
	}
}

void
kept_notice_clear(struct kept_notice **table)
{
	kept_notice_tick(table, TIME_NEVER);
}
