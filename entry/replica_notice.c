/*
 * What replicas say of themselves in their answers: that they leave, are
 * closed, or take so many requests a second.
 */
#include <stdio.h>

#include "forward_int.h"

static void withdraw_unsent(
    struct entry *, const struct directory_replica *, const struct forward *);
static void apply_limit(struct entry *, struct directory_replica *,
    const struct replica_answer *, const struct response_info *);
static void log_notice(
    const struct directory_replica *, enum log_id, uint64_t, uint64_t);

/* The age of the replica's entry in the list shows what the list knew. */
static void
log_notice(const struct directory_replica *m, enum log_id id, uint64_t now,
    uint64_t until)
{
	struct log_subject about = { 0 };

	about.backend = m->info.id;
	log_event(id, &about,
	    "born=%llu for_ms=%llu running=%u list_age_ms=%llu",
	    (unsigned long long)m->notice.started_ms,
	    (unsigned long long)(until > now ? (until - now) / NSEC_PER_MSEC
					     : 0),
	    m->local_load.running,
	    (unsigned long long)((now - m->listed_at) / NSEC_PER_MSEC));
}

/*
 * Requests of which no byte has been sent, as their connections are not
 * established yet, go to other replicas.
 */
static void
withdraw_unsent(struct entry *e, const struct directory_replica *m,
    const struct forward *by)
{
	struct forward *f, *next;

	for (f = TAILQ_FIRST(&e->requests); f != NULL; f = next) {
		next = TAILQ_NEXT(f, entry);
		if (f == by || f->replica != m || f->exchange == NULL ||
		    f->caller == NULL || exchange_has_sent(f->exchange))
			continue;
		exchange_cancel(f->exchange);
		f->exchange = NULL;
		f->attempts_made--;
		e->counts.attempts--;
		forward_remove_work(f);
		forward_dispatch(f);
	}
}

/*
 * An answer that names no limit ends one, if it is this replica's: of another
 * one, at an address used again, it says nothing.
 */
static void
apply_limit(struct entry *e, struct directory_replica *m,
    const struct replica_answer *a, const struct response_info *t)
{
	if (t->limit_is_bad || t->misdirected ||
	    (t->limit_per_s == 0.0 && !t->id_matches))
		return;
	replica_notice_limit(
	    e, m, a->started_ms, e->now, t->limit_per_s, "answer");
}

void
replica_notice_limit(struct entry *e, struct directory_replica *m,
    uint64_t started_ms, uint64_t at, double per_s, const char *source)
{
	double was = notice_limit_of(&m->notice, started_ms);
	struct log_subject about = { 0 };

	if (!notice_limit(&m->notice, started_ms, at, per_s))
		return;
	e->counts.limit_notices++;
	e->retry_waiting = 1;
	about.backend = m->info.id;
	log_event(LOG_REPLICA_LIMIT, &about,
	    "per_s=%.2f was=%.2f born=%llu from=%s age_ms=%llu running=%u",
	    per_s, was, (unsigned long long)started_ms, source,
	    (unsigned long long)((e->now - at) / NSEC_PER_MSEC),
	    m->local_load.running);
}

int
replica_notice_apply(struct entry *e, struct directory_replica *m,
    const struct replica_answer *a, const struct response_info *t)
{
	struct log_subject about = { 0 };
	uint64_t now = e->now;
	int news = 0;

	about.backend = m->info.id;
	about.call = a->id;
	if (t->unknown != NULL)
		log_event(LOG_REPLICA_NOTICE_BAD, &about, "field=%s status=%d",
		    t->unknown, a->status);
	if (t->leaving && notice_leaving(&m->notice, a->started_ms, now)) {
		e->counts.leaving_notices++;
		log_notice(m, LOG_REPLICA_SAYS_LEAVING, now, now);
		news = 1;
	}
	if (t->closed_ns != 0 &&
	    notice_closed(&m->notice, a->started_ms, now, t->closed_ns)) {
		e->counts.closed_notices++;
		log_notice(
		    m, LOG_REPLICA_REFUSING, now, m->notice.closed_until);
		news = 1;
	}
	apply_limit(e, m, a, t);
	if (t->closed_ns == 0 && !t->not_executed)
		notice_answered(&m->notice, a->started_ms, a->sent_at);
	return news;
}

void
forward_apply_notice(struct forward *f, const struct response_info *t)
{
	struct replica_answer a = { f->params.id, f->replica_started_ms,
		f->sent_at, f->status };

	if (replica_notice_apply(f->e, f->replica, &a, t))
		withdraw_unsent(f->e, f->replica, f);
}

void
replica_notice_tick(struct entry *e)
{
	struct directory_replica *m;

	for (m = e->dir.replicas; m != NULL; m = m->hh.next) {
		if (!notice_reopened(&m->notice, e->now))
			continue;
		log_notice(m, LOG_REPLICA_REOPENED, e->now, e->now);
		e->retry_waiting = 1;
	}
}
