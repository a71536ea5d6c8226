/*
 * Forwarding of requests: choice of a replica, queueing, and the next
 * step after each attempt.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward_int.h"
#include "mem.h"
#include "loader_io.h"
#include "peers.h"
#include "permit_io.h"
#include "poison_io.h"
#include "quota_io.h"
#include "software.h"
#include "stream_io.h"

/* For a retry that awaited evidence to be tried again. */
#define EVIDENCE_NS (200 * NSEC_PER_MSEC)

static void refuse(struct forward *, int, const char *, uint64_t);
static int forward_end_if_gone(struct forward *);
static int forward_queue(struct forward *, enum balance_result);
static int forward_refuse_if_unreached(struct forward *);
static int try_waiting(void *, struct waitq_item *);
static int forward_is_late(const struct forward *);
static int forward_has_input(void *);
static void forward_expired(void *);
static void forward_record_times(const struct forward *);
static void forward_next_step(struct forward *, enum attempt_outcome, int);
static uint32_t max_conns_per_replica(
    const struct entry *, const struct fleet_service *);

const struct expiry_ops forward_expiry_ops = {
	.has_input = forward_has_input,
	.expired = forward_expired,
};

void
forward_log(const struct forward *f, enum log_id id, const char *backend,
    const char *detail)
{
	struct log_subject about = { 0 };

	about.call = f->params.id;
	about.model =
	    f->params.adapter[0] != '\0' ? f->params.adapter : f->params.model;
	about.backend = backend;
	log_event(id, &about,
	    "route=%s age_ms=%llu left_ms=%lld sends=%u "
	    "runs=%u conf=%llu %s",
	    f->route.name,
	    (unsigned long long)((f->e->now - f->arrived) / NSEC_PER_MSEC),
	    ((long long)f->deadline - (long long)f->e->now) /
		(long long)NSEC_PER_MSEC,
	    f->attempts_made, f->runs,
	    (unsigned long long)(f->e->conf == NULL ? 0 : f->e->conf->version),
	    detail);
}

const char *
forward_origin_id(const struct forward *f)
{
	return f->params.last_event_id != 0 ? f->params.resumes : f->params.id;
}

void
forward_free(struct forward *f)
{
	struct entry *e = f->e;

	expiry_destroy(f->expiry);
	stream_io_forget(f);
	permit_io_forget(e->permit_io, f);
	quota_io_forget(f, f->attempts_made != 0);
	if (f->waiting.group != NULL)
		waitq_remove(&e->waiting, &f->waiting);
	TAILQ_REMOVE(&e->requests, f, entry);
	fleet_route_clear(&f->route);
	free(f->account_name);
	buf_free(&f->body);
	sse_free(&f->events);
	free(f->response_head.fields);
	buf_free(&f->response_head.text);
	free(f);
}

/* This process's share of the connections that one replica accepts. */
static uint32_t
max_conns_per_replica(const struct entry *e, const struct fleet_service *s)
{
	uint32_t share = s->max_conns / e->nprocesses;

	return share == 0 ? 1 : share;
}

int
forward_fill_balance(const struct forward *f, struct balance_request *w)
{
	const struct fleet_service *s = NULL;

	if (f->e->conf != NULL)
		s = fleet_find_service(f->e->conf, f->service);
	if (s == NULL)
		return -1;
	memset(w, 0, sizeof(*w));
	balance_set_names(w, f->service, f->params.model, f->params.adapter);
	w->engine = s->engine;
	w->zone = f->e->boot.zone;
	w->software = f->begun ? f->software : NULL;
	w->prompt_tokens = f->params.prompt_tokens;
	w->tokens = balance_expected_tokens(&f->params);
	w->prefill_ns = s->engine == NULL
	    ? 0
	    : pace_prefill_ns(
		  &f->e->pace, f->params.model, f->params.prompt_tokens);
	w->queued_ns = f->e->now - f->arrived;
	w->past_target = forward_is_late(f);
	w->ignore_peers = s->engine == NULL && peers_use_relays(f->e->peers);
	w->max_conns = max_conns_per_replica(f->e, s);
	w->ntried = f->ntried;
	memcpy(w->tried, f->tried, sizeof(w->tried));
	return 0;
}

enum balance_result
forward_pick_replica(struct forward *f, int sent, struct directory_replica **m)
{
	struct balance_request w;
	enum poison_care (*care)(const struct poison_io *,
	    const struct request_params *, uint64_t *);

	*m = NULL;
	if (forward_fill_balance(f, &w) == -1)
		return BALANCE_NO_REPLICA;
	w.take_full = sent;
	care = sent ? poison_io_evidence : poison_io_care;
	if (care(f->e->poison_io, &f->params, &w.affinity_key) == POISON_WAIT)
		return BALANCE_SUSPECT;
	return balance_pick(&f->e->dir, f->e->now, &w, entry_random(f->e), m);
}

/*
 * Ends a stream that has begun if replicas of other versions have taken the
 * place of those of its own.  While there is none of any, one may come back.
 */
static int
forward_end_if_gone(struct forward *f)
{
	const struct directory *d = &f->e->dir;

	if (!f->begun ||
	    software_is_served(d, f->e->now, f->service, f->software) ||
	    !software_is_served(d, f->e->now, f->service, NULL))
		return 0;
	if (f->response_started)
		forward_cut(f, "no replica of the stream's version is left");
	else if (f->runs == 0)
		forward_refuse(f, "no replica of the stream's version is left",
		    RETRY_AFTER_NS);
	else
		forward_report_unknown(f, 502,
		    "no replica of the stream's version is left",
		    "the outcome is unknown");
	return 1;
}

/* A request that has not run is refused at once while nobody reaches replicas.
 */
static int
forward_refuse_if_unreached(struct forward *f)
{
	if (f->runs != 0 || f->response_started ||
	    detour_io_mode(f->e) != REACH_NONE ||
	    peers_count(f->e->peers) == 0 || detour_io_has_peer(f->e))
		return 0;
	forward_refuse(f, "neither this process nor a peer reaches a replica",
	    RETRY_AFTER_NS);
	return 1;
}

int
forward_dispatch(struct forward *f)
{
	struct directory_replica *m;
	enum balance_result result;

	if (forward_end_if_blocked(f) || forward_end_if_late(f) ||
	    forward_end_if_gone(f))
		return 1;
	result = forward_pick_replica(f, 0, &m);
	if (result == BALANCE_NO_ADAPTER || result == BALANCE_NO_MODEL)
		loader_io_request_load(f->e, &f->params);
	/* Another version may hold the model that this stream finds nowhere. */
	if (result != BALANCE_SUSPECT && !f->begun)
		loader_io_set_missing(
		    f->e, f->params.model, result == BALANCE_NO_MODEL);
	if (result != BALANCE_FOUND)
		return forward_queue(f, result);
	if (forward_refuse_if_unreached(f))
		return 1;
	if (permit_io_holds(f->e->permit_io, f, m))
		return 0;
	if (f->waiting.group != NULL) {
		waitq_remove(&f->e->waiting, &f->waiting);
		expiry_set(f->expiry, f->deadline);
		permit_io_forget(f->e->permit_io, f);
	}
	/* Nothing is sent for a caller whose end the loop has yet to read. */
	if (!caller_has_left(f->caller))
		forward_start_attempt(f, m);
	return 1;
}

/*
 * Queues the request, or moves it if it has become suspect while it waits.
 * Returns whether others of its group can still find a replica.
 */
static int
forward_queue(struct forward *f, enum balance_result why)
{
	uint64_t part = 0;
	int moved = 0;

	(void)poison_io_care(f->e->poison_io, &f->params, &part);
	if (part != 0 && part != f->suspect) {
		f->suspect = part;
		moved = f->waiting.group != NULL;
		waitq_remove(&f->e->waiting, &f->waiting);
	}
	forward_wait(f, why);
	return moved;
}

/* Whether the target time of the first event has passed. */
static int
forward_is_late(const struct forward *f)
{
	return f->e->now >
	    caller_request_started_at(f->caller) + f->route.target_latency_ns;
}

static int
try_waiting(void *ctx, struct waitq_item *i)
{
	(void)ctx;
	return forward_dispatch(i->owner);
}

void
forward_retry_waiting(struct entry *e)
{
	waitq_dispatch(&e->waiting, e->now, try_waiting, NULL);
}

/* Ends a request that no replica has run. */
static void
refuse(struct forward *f, int status, const char *text, uint64_t retry_after_ns)
{
	f->e->counts.refused++;
	quota_io_forget(f, 0);
	forward_log(f, LOG_REQUEST_REFUSED, "", text);
	forward_send_error(f, status, retry_after_ns, text);
	forward_free(f);
}

void
forward_refuse_quota(struct forward *f, uint64_t retry_after_ns)
{
	refuse(f, 429, "the account's quota is used", retry_after_ns);
}

void
forward_refuse(struct forward *f, const char *text, uint64_t retry_after_ns)
{
	refuse(f, 503, text, retry_after_ns);
}

void
forward_report_unknown(
    struct forward *f, int status, const char *detail, const char *text)
{
	f->e->counts.unknown_outcome++;
	forward_log(f, LOG_REQUEST_FAILED, "", detail);
	forward_send_error(f, status, 0, text);
	forward_free(f);
}

void
forward_cut(struct forward *f, const char *detail)
{
	f->e->counts.truncated++;
	forward_log(f, LOG_REQUEST_FAILED, "", detail);
	caller_abort_response(f->caller);
	forward_free(f);
}

void
forward_attempt_ended(struct forward *f, enum attempt_outcome end)
{
	struct directory_replica *m = f->replica;
	char detail[256];
	int suspect;

	f->exchange = NULL;
	f->e->counts.attempt_ends[end]++;
	if (attempt_may_have_run(end))
		f->runs++;
	if (end == ATTEMPT_ANSWERED || end == ATTEMPT_REFUSED)
		directory_attempt_succeeded(m, f->e->now);
	else if (!f->path_failed)
		directory_attempt_failed(m, f->e->now,
		    end == ATTEMPT_NOT_SENT ||
			(end == ATTEMPT_NO_RESPONSE && f->new_connection));
	snprintf(detail, sizeof(detail),
	    "end=%s status=%d took_ms=%llu first_ms=%llu gap_ms=%llu "
	    "event=%llu written=%llu fingerprint=%016llx peer=%s",
	    attempt_outcome_name(end), f->status,
	    (unsigned long long)((f->e->now - f->sent_at) / NSEC_PER_MSEC),
	    (unsigned long long)(f->first_event_at == 0
		    ? 0
		    : (f->first_event_at - f->arrived) / NSEC_PER_MSEC),
	    (unsigned long long)(f->max_gap_ns / NSEC_PER_MSEC),
	    (unsigned long long)f->passed.read_id,
	    (unsigned long long)f->passed.written_id,
	    (unsigned long long)f->params.fingerprint, f->via);
	forward_log(f, LOG_REQUEST_ATTEMPT, m->info.id, detail);
	if (f->e->now < m->avoid_until)
		log_event(LOG_REPLICA_AVOIDED, NULL,
		    "replica=%s failures=%u for_ms=%llu", m->info.id,
		    m->consecutive_failures,
		    (unsigned long long)((m->avoid_until - f->e->now) /
			NSEC_PER_MSEC));
	suspect = !f->path_failed && forward_broke_at_begin(f, end) &&
	    poison_io_is_suspect(f->e->poison_io, m, &f->params);
	if (!f->path_failed)
		forward_note_crash(f, end);
	loader_io_attempt_ended(f->e, f->replica, &f->params, end, f->status);
	forward_remove_work(f);
	if (f->caller == NULL) {
		forward_free(f);
		return;
	}
	forward_next_step(f, end, !suspect);
}

static void
forward_record_times(const struct forward *f)
{
	struct entry_times *t = &f->e->times;

	metric_observe(&t->wait, f->sent_at - f->arrived);
	metric_observe(&t->total, f->e->now - f->arrived);
	if (f->first_event_at == 0)
		return;
	metric_observe(&t->first_event, f->first_event_at - f->arrived);
	metric_observe(&t->max_gap, f->max_gap_ns);
}

void
forward_describe(const struct forward *f, struct attempt_context *c)
{
	c->kind = f->route.kind;
	/*
	 * A replica would repeat what no id tells apart, and what another
	 * version of its software writes does not fit.
	 */
	c->resumable = f->route.resumable && !f->passed.unnumbered &&
	    (!f->begun || f->software[0] != '\0');
	c->max_runs = f->route.max_attempts;
	c->runs = f->runs;
	c->attempts_made = f->attempts_made;
	c->response_started = f->response_started;
	c->retry_allowed =
	    budget_allows_retry(&f->e->budget, f->e->now, f->service);
	c->deadline = f->deadline;
	c->another_response = !f->streaming;
}

static void
forward_next_step(struct forward *f, enum attempt_outcome end, int allowed)
{
	struct attempt_context facts;

	forward_describe(f, &facts);
	facts.retry_allowed &= allowed;
	switch (attempt_next_step(&facts, end, f->e->now)) {
	case NEXT_FORWARD:
		f->e->counts.answered++;
		pace_add_service(
		    &f->e->pace, f->service, f->e->now - f->sent_at);
		forward_record_times(f);
		forward_finish_response(f);
		forward_free(f);
		return;
	case NEXT_RETRY:
		forward_dispatch(f);
		return;
	case NEXT_REFUSE:
		forward_refuse(
		    f, "no replica could run the request", RETRY_AFTER_NS);
		return;
	case NEXT_REPORT_UNKNOWN:
		forward_report_unknown(
		    f, 502, "outcome unknown", "the outcome is unknown");
		return;
	default:
		forward_cut(f, "response truncated");
		return;
	}
}

/* Whether a part of the replica's response is unread. */
static int
forward_has_input(void *ctx)
{
	const struct forward *f = ctx;

	return f->exchange != NULL && exchange_has_input(f->exchange);
}

/* The queueing time or the deadline has passed. */
static void
forward_expired(void *ctx)
{
	struct forward *f = ctx;

	entry_update_now(f->e);
	if (quota_io_awaits(f)) {
		quota_io_waited(f);
		return;
	}
	if (f->exchange != NULL) {
		forward_note_left(f);
		exchange_cancel(f->exchange);
		f->exchange = NULL;
		f->runs++;
		forward_remove_work(f);
	}
	if (f->caller == NULL) {
		forward_free(f);
		return;
	}
	/* Its least queueing time may be shorter. */
	if (f->waiting.group != NULL && f->runs != 0 &&
	    f->e->now < f->deadline && forward_awaits_evidence(f)) {
		expiry_set(f->expiry,
		    f->e->now + EVIDENCE_NS < f->deadline
			? f->e->now + EVIDENCE_NS
			: f->deadline);
		return;
	}
	if (f->response_started) {
		forward_cut(f, "deadline exceeded during the response");
		return;
	}
	if (f->lookup != NULL) {
		forward_refuse(f, "the stream's version was not found in time",
		    RETRY_AFTER_NS);
		return;
	}
	if (f->runs == 0) {
		forward_waited(f);
		return;
	}
	forward_report_unknown(
	    f, 504, "deadline exceeded", "no answer in time");
}

/* A non-idempotent request that was sent is not cancelled: it may have run. */
void
forward_caller_gone(struct forward *f, int error)
{
	char detail[96];

	f->caller = NULL;
	f->e->counts.caller_gone++;
	forward_log(f, LOG_REQUEST_CANCELLED, "", "caller disconnected");
	if (f->exchange != NULL && f->route.kind == ROUTE_AT_MOST_ONCE &&
	    f->attempts_made != 0) {
		snprintf(detail, sizeof(detail), "reason=%s",
		    error == 0 ? "closed" : strerror(error));
		forward_log(f, LOG_REQUEST_LEFT, f->replica->info.id, detail);
		return;
	}
	if (f->exchange != NULL) {
		forward_note_left(f);
		exchange_cancel(f->exchange);
		f->exchange = NULL;
		forward_remove_work(f);
	}
	forward_free(f);
}

void
forward_caller_drained(struct forward *f)
{
	if (!f->read_paused || f->exchange == NULL)
		return;
	f->read_paused = 0;
	exchange_set_reading(f->exchange, 1);
}
