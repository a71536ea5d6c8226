#include <stdio.h>
#include <string.h>

#include "follow.h"

/* A push normally arrives within this time; later the version is pulled. */
#define PUSH_NS (150 * NSEC_PER_MSEC)
#define PULL_RETRY_NS (300 * NSEC_PER_MSEC)
/* A source that reported nothing for this time is replaced. */
#define SOURCE_NS (1 * NSEC_PER_SEC)
/* A version that no peer sends in this time is read from the store. */
#define READ_NS (1 * NSEC_PER_SEC)
#define READ_MAX_NS (8 * NSEC_PER_SEC) /* doubled after each read */
/*
 * A version that did not arrive is sent again after this time, doubled each
 * time, since it may still be on its way on a slow link.
 */
#define SEND_AGAIN_NS (1 * NSEC_PER_SEC)
/*
 * Limits on texts, of up to 25 KB each, sent in response to pulls, so that they
 * do not pile up in memory on the slowest links (10 Mbit/s).  Each kind has its
 * own: all pull the list when many replicas change.
 */
#define ANSWERS_WINDOW_NS (100 * NSEC_PER_MSEC)
#define CONFIG_ANSWERS_MAX 2
#define LIST_ANSWERS_MAX 10
#define CHANGES_BYTES_MAX 80000

static void follow_answers_update(struct follow_answers *, uint64_t);
static void follow_expect(struct follow *, uint64_t, uint64_t);

static const uint32_t answers_max[FOLLOW_TEXT__MAX] = {
	[FOLLOW_CONFIG] = CONFIG_ANSWERS_MAX,
	[FOLLOW_LIST] = LIST_ANSWERS_MAX,
};

/* Schedules the pulls and reads of a version that was reported at a time. */
static void
follow_expect(struct follow *f, uint64_t since, uint64_t push_ns)
{
	if (f->pull_at < since + push_ns)
		f->pull_at = since + push_ns;
	f->read_at = since + READ_NS;
	f->read_wait_ns = READ_NS;
}

void
follow_set_version(struct follow *f, uint64_t now, uint64_t version)
{
	(void)now;
	if (version <= f->version)
		return;
	f->version = version;
	if (follow_is_behind(f))
		follow_expect(f, f->newest_at, PUSH_NS);
}

void
follow_report(
    struct follow *f, uint64_t now, uint64_t version, const char *addr)
{
	int was_behind = follow_is_behind(f);

	if (version <= f->version)
		return;
	if (version >= f->newest || now > f->source_at + SOURCE_NS) {
		snprintf(f->source, sizeof(f->source), "%s", addr);
		f->source_at = now;
	}
	if (version <= f->newest)
		return;
	f->newest = version;
	f->newest_at = now;
	if (!was_behind) {
		follow_expect(f, now, f->version == 0 ? 0 : PUSH_NS);
		return;
	}
	f->read_wait_ns = READ_NS;
	if (f->read_at > now + READ_NS)
		f->read_at = now + READ_NS;
}

unsigned
follow_next(struct follow *f, uint64_t now)
{
	unsigned todo = 0;

	if (!follow_is_behind(f))
		return 0;
	if (now >= f->pull_at) {
		f->pull_at = now + PULL_RETRY_NS;
		todo |= FOLLOW_PULL;
	}
	if (now >= f->read_at) {
		f->read_at = now + f->read_wait_ns;
		f->read_wait_ns = f->read_wait_ns < READ_MAX_NS / 2
		    ? f->read_wait_ns * 2
		    : READ_MAX_NS;
		todo |= FOLLOW_READ;
	}
	return todo;
}

int
follow_is_behind(const struct follow *f)
{
	return f->newest > f->version;
}

void
follow_set_sent(const struct follow *f, struct follow_sent *s, uint64_t now)
{
	if (s->version == f->version)
		s->wait_ns *= 2;
	else
		s->wait_ns = SEND_AGAIN_NS;
	s->version = f->version;
	s->again_at = now + s->wait_ns;
}

void
follow_set_reported(struct follow_sent *s, uint64_t version)
{
	s->reported = version;
}

int
follow_is_to_push(const struct follow_sent *s, uint64_t now)
{
	return s->version <= s->reported || now >= s->again_at;
}

int
follow_is_to_send(const struct follow *f, const struct follow_sent *s,
    uint64_t theirs, uint64_t now)
{
	if (theirs == 0 || theirs >= f->version)
		return 0;
	return (s->version < f->version && theirs >= s->version) ||
	    now >= s->again_at;
}

/* Starts a new window if the current one is over. */
static void
follow_answers_update(struct follow_answers *a, uint64_t now)
{
	if (now < a->since + ANSWERS_WINDOW_NS)
		return;
	memset(a, 0, sizeof(*a));
	a->since = now;
}

int
follow_answers_changes(struct follow_answers *a, uint64_t now, size_t len)
{
	follow_answers_update(a, now);
	if (a->changes_len >= CHANGES_BYTES_MAX)
		return 0;
	a->changes_len += (uint32_t)len;
	return 1;
}

int
follow_answers_pull(
    struct follow_answers *a, uint64_t now, enum follow_text text)
{
	follow_answers_update(a, now);
	return a->n[text]++ < answers_max[text];
}

int
follow_list_is_removed(
    const struct follow_list *mine, revision_t revision, revision_t listed_at)
{
	return revision <= mine->revision && listed_at < mine->revision;
}

int
follow_list_report(struct follow_lists *l, uint64_t now,
    const struct follow_list *mine, const struct follow_list *theirs,
    int decides)
{
	if (l->newer <= mine->revision)
		l->newer = 0;
	if (theirs->revision > mine->revision) {
		if (l->newer == 0) {
			l->newer = theirs->revision;
			l->newer_since = now;
		}
		return now >= l->newer_since + PUSH_NS;
	}
	if (!decides || theirs->revision < mine->revision)
		return 0;
	if (theirs->digest == mine->digest) {
		l->differs_since = 0;
		return 0;
	}
	if (l->differs_since == 0)
		l->differs_since = now;
	return now >= l->differs_since + PUSH_NS;
}
