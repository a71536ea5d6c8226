/*
 * Requests from arrival to their end: route, choice of a replica, waiting,
 * and what follows each attempt.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward_int.h"
#include "mem.h"
#include "steer.h"

/* A caller may come back this soon where nothing ran. */
#define COME_BACK_NS (300 * NSEC_PER_MSEC)
/* Part of its time that a request waits for a replica. */
#define WAIT_SHARE_NUM 2
#define WAIT_SHARE_DEN 5
/*
 * A caller abandons a stream without an event after the longest of these;
 * part of that time is left for the replica.
 */
#define FIRST_LEAST_NS (2 * NSEC_PER_SEC)
#define FIRST_TARGETS 4
#define FIRST_GAPS 8
#define FIRST_SHARE_NUM 2
#define FIRST_SHARE_DEN 3
/* A caller's own deadline ends first; ours only cleans up after it. */
#define PATIENCE_SLACK_NS (200 * NSEC_PER_MSEC)
/* Callers wait at least 2 s for the next event of a stream. */
#define AGAIN_WAIT_NS (800 * NSEC_PER_MSEC)
/* A stream that begins so long after SIGTERM may not end in time. */
#define STOPPING_STREAM_NS (2600 * NSEC_PER_MSEC)
#define PATIENCE_DEFAULT_NS (60 * NSEC_PER_SEC)

static uint64_t first_wait(const struct fleet_route *);
static int forward_admit(struct forward *, struct err *);
static enum balance_result forward_pick(
    struct forward *, const struct fleet_service *, struct member_replica **);
static void forward_try(struct forward *);
static int forward_late(const struct forward *);
static void forward_park(struct forward *, enum balance_result);
static void forward_free(struct forward *);
static void forward_refuse(struct forward *, const char *);
static void forward_on_timer(struct ev_loop *, ev_timer *, int);
static void forward_timer(struct forward *, uint64_t);
static void forward_observe(const struct forward *);
static void forward_step(struct forward *, enum attempt_end, int);
static void forward_log(
    const struct forward *, enum log_id, const char *, const char *);
static uint32_t conns_share(const struct entry *, const struct fleet_service *);

static const char *const wait_reasons[] = {
	[BALANCE_FOUND] = "found",
	[BALANCE_FULL] = "full",
	[BALANCE_NO_ADAPTER] = "no-adapter",
	[BALANCE_NO_MODEL] = "no-model",
	[BALANCE_NO_REPLICA] = "no-replica",
};

static void
forward_log(const struct forward *f, enum log_id id, const char *backend,
    const char *detail)
{
	struct log_subject about = { 0 };

	about.call = f->want.id;
	about.model =
	    f->want.adapter[0] != '\0' ? f->want.adapter : f->want.model;
	about.backend = backend;
	log_event(id, &about,
	    "route=%s age_ms=%llu left_ms=%lld sends=%u "
	    "runs=%u conf=%llu %s",
	    f->route.name,
	    (unsigned long long)((f->e->now - f->arrived) / NSEC_PER_MSEC),
	    ((long long)f->deadline - (long long)f->e->now) /
		(long long)NSEC_PER_MSEC,
	    f->sends, f->runs,
	    (unsigned long long)(f->e->conf == NULL ? 0 : f->e->conf->version),
	    detail);
}

/* How long a request may wait here before its caller gives up on it. */
static uint64_t
first_wait(const struct fleet_route *r)
{
	uint64_t patience = FIRST_LEAST_NS;

	if (patience < r->target_ns * FIRST_TARGETS)
		patience = r->target_ns * FIRST_TARGETS;
	if (patience < r->gap_ns * FIRST_GAPS)
		patience = r->gap_ns * FIRST_GAPS;
	return patience * FIRST_SHARE_NUM / FIRST_SHARE_DEN;
}

/* Finds the route; fills in an own answer's status otherwise. */
static int
forward_admit(struct forward *f, struct err *err)
{
	const struct http_head *h = caller_head(f->caller);
	const char *host = http_field_find(h, "Host");
	const struct fleet_route *r;
	const struct fleet_target *t;
	uint64_t patience;

	if (fields_decode_request(h, &f->want, err) == -1)
		return 400;
	if (f->e->conf == NULL || !f->e->dir.known)
		return 503;
	r = fleet_route(
	    f->e->conf, host == NULL ? "" : host, http_request_target(h));
	if (r == NULL)
		return 404;
	f->route = *r;
	if (f->e->stopping && r->kind == ROUTE_STREAM &&
	    f->e->now >= f->e->stop_at + STOPPING_STREAM_NS)
		return 503;
	t = fleet_target(r, entry_draw(f->e));
	if (t == NULL)
		return 503;
	snprintf(f->service, sizeof(f->service), "%s", t->service);
	patience = f->want.patience_ns != 0 ? f->want.patience_ns
					    : PATIENCE_DEFAULT_NS;
	f->deadline = caller_begun(f->caller) + patience;
	if (f->deadline > f->arrived + r->timeout_ns)
		f->deadline = f->arrived + r->timeout_ns;
	f->last_event = f->want.last_event;
	f->wait_until = f->arrived +
	    (f->deadline - f->arrived) * WAIT_SHARE_NUM / WAIT_SHARE_DEN;
	if (r->kind == ROUTE_STREAM &&
	    f->wait_until > f->arrived + first_wait(r))
		f->wait_until = f->arrived + first_wait(r);
	return 0;
}

void
forward_start(struct entry *e, struct caller *c)
{
	struct forward *f;
	struct err err = { 0 };
	int status;

	f = mem_alloc(sizeof(*f));
	f->e = e;
	f->caller = c;
	f->arrived = e->now;
	f->deadline = e->now;
	ev_timer_init(&f->timer, forward_on_timer, 0.0, 0.0);
	f->timer.data = f;
	caller_forward(c, f);
	TAILQ_INSERT_TAIL(&e->running, f, entry);
	e->counts.arrived++;
	status = forward_admit(f, &err);
	if (status == 503) {
		forward_refuse(f,
		    f->e->stopping ? "this process is stopping"
				   : "no configuration is known yet");
		return;
	}
	if (status != 0) {
		forward_own_answer(f, status, 0,
		    status == 404 ? "no route matches" : "bad request");
		forward_log(f, LOG_REQUEST_FAILED, "", err.text);
		forward_free(f);
		return;
	}
	budget_request(&e->budget, e->now, f->service);
	steer_arrival(e, &f->want);
	forward_timer(f, f->deadline);
	forward_try(f);
}

static void
forward_free(struct forward *f)
{
	struct entry *e = f->e;

	ev_timer_stop(e->loop, &f->timer);
	if (f->waiting)
		TAILQ_REMOVE(&e->waiting, f, entry);
	else
		TAILQ_REMOVE(&e->running, f, entry);
	buf_free(&f->held);
	sse_free(&f->events);
	free(f->head.fields);
	buf_free(&f->head.text);
	free(f);
}

static void
forward_timer(struct forward *f, uint64_t at)
{
	double left = at > f->e->now
	    ? (double)(at - f->e->now) / (double)NSEC_PER_SEC
	    : 0.0;

	ev_timer_stop(f->e->loop, &f->timer);
	ev_timer_set(&f->timer, left, 0.0);
	ev_timer_start(f->e->loop, &f->timer);
}

static uint32_t
conns_share(const struct entry *e, const struct fleet_service *s)
{
	uint32_t share = s->conns_max / e->nprocesses;

	return share == 0 ? 1 : share;
}

/* The best replica as far as this process knows. */
static enum balance_result
forward_pick(
    struct forward *f, const struct fleet_service *s, struct member_replica **m)
{
	struct balance_want w;

	*m = NULL;
	if (s == NULL)
		return BALANCE_NO_REPLICA;
	memset(&w, 0, sizeof(w));
	w.service = f->service;
	w.engine = s->engine;
	w.model = f->want.model;
	w.adapter = f->want.adapter;
	w.zone = f->e->boot.zone;
	w.prompt_tokens = f->want.prompt_tokens;
	w.tokens = balance_tokens(&f->want);
	w.read_ns = s->engine == NULL
	    ? 0
	    : pace_read_ns(&f->e->pace, f->want.model, f->want.prompt_tokens);
	w.waited_ns = f->e->now - f->arrived;
	w.late = forward_late(f);
	w.conns_share = conns_share(f->e, s);
	w.ntried = f->ntried;
	memcpy(w.tried, f->tried, sizeof(w.tried));
	return balance_pick(&f->e->dir, f->e->now, &w, entry_draw(f->e), m);
}

/* Sends the request to the best replica, or lets it wait. */
static void
forward_try(struct forward *f)
{
	const struct fleet_service *s = NULL;
	struct member_replica *m;
	enum balance_result result;

	if (f->e->conf != NULL)
		s = fleet_service(f->e->conf, f->service);
	result = forward_pick(f, s, &m);
	if (result == BALANCE_NO_ADAPTER || result == BALANCE_NO_MODEL)
		steer_want(f->e, &f->want);
	if (result != BALANCE_FOUND) {
		forward_park(f, result);
		return;
	}
	if (f->waiting) {
		TAILQ_REMOVE(&f->e->waiting, f, entry);
		TAILQ_INSERT_TAIL(&f->e->running, f, entry);
		f->waiting = 0;
		forward_timer(f, f->deadline);
	}
	forward_send(f, m);
}

/* Waiting requests stand in the order of urgency, then of arrival. */
static void
forward_park(struct forward *f, enum balance_result why)
{
	struct forward *other;
	uint64_t until;

	if (f->waiting)
		return;
	forward_log(f, LOG_REQUEST_WAITS, "", wait_reasons[why]);
	TAILQ_REMOVE(&f->e->running, f, entry);
	f->waiting = 1;
	TAILQ_FOREACH (other, &f->e->waiting, entry) {
		if (other->route.priority > f->route.priority)
			break;
	}
	if (other != NULL)
		TAILQ_INSERT_BEFORE(other, f, entry);
	else
		TAILQ_INSERT_TAIL(&f->e->waiting, f, entry);
	/* A repeat waits a little, however late the first attempt broke. */
	until = f->wait_until;
	if (f->sends != 0 && until < f->e->now + AGAIN_WAIT_NS)
		until = f->e->now + AGAIN_WAIT_NS;
	forward_timer(f, until < f->deadline ? until : f->deadline);
}

/* Whether its first event can no longer be in time. */
static int
forward_late(const struct forward *f)
{
	return f->e->now > caller_begun(f->caller) + f->route.target_ns;
}

void
forward_pump(struct entry *e)
{
	struct forward *f;
	struct forward *next;
	int late;

	/* What can still be in time goes before what is late. */
	for (late = 0; late <= 1; late++) {
		for (f = TAILQ_FIRST(&e->waiting); f != NULL; f = next) {
			next = TAILQ_NEXT(f, entry);
			if (forward_late(f) == late)
				forward_try(f);
		}
	}
}

/* Nothing of it ran. */
static void
forward_refuse(struct forward *f, const char *text)
{
	f->e->counts.refused++;
	forward_log(f, LOG_REQUEST_REFUSED, "", text);
	forward_own_answer(f, 503, COME_BACK_NS, text);
	forward_free(f);
}

void
forward_ended(struct forward *f, enum attempt_end end)
{
	struct member_replica *m = f->replica;
	char detail[160];

	f->x = NULL;
	f->e->counts.ends[end]++;
	if (attempt_may_have_run(end))
		f->runs++;
	if (end == ATTEMPT_ANSWERED || end == ATTEMPT_REFUSED)
		directory_success(m, f->e->now);
	else
		directory_failure(m, f->e->now,
		    end == ATTEMPT_UNSENT ||
			(end == ATTEMPT_SILENT && f->fresh));
	snprintf(detail, sizeof(detail),
	    "end=%s status=%d took_ms=%llu first_ms=%llu gap_ms=%llu "
	    "event=%llu",
	    attempt_end_name(end), f->status,
	    (unsigned long long)((f->e->now - f->sent_at) / NSEC_PER_MSEC),
	    (unsigned long long)(f->first_event == 0
		    ? 0
		    : (f->first_event - f->arrived) / NSEC_PER_MSEC),
	    (unsigned long long)(f->gap_ns / NSEC_PER_MSEC),
	    (unsigned long long)f->last_event);
	forward_log(f, LOG_REQUEST_ATTEMPT, m->info.id, detail);
	if (f->e->now < m->avoid_until)
		log_event(LOG_REPLICA_AVOIDED, NULL,
		    "replica=%s failures=%u for_ms=%llu", m->info.id,
		    m->failures,
		    (unsigned long long)((m->avoid_until - f->e->now) /
			NSEC_PER_MSEC));
	steer_ended(f->e, f->replica, &f->want, end, f->status);
	forward_release(f);
	if (f->caller == NULL) {
		forward_free(f);
		return;
	}
	forward_step(
	    f, end, budget_allows(&f->e->budget, f->e->now, f->service));
}

static void
forward_observe(const struct forward *f)
{
	struct entry_times *t = &f->e->times;

	metric_observe(&t->wait, f->sent_at - f->arrived);
	metric_observe(&t->whole, f->e->now - f->arrived);
	if (f->first_event == 0)
		return;
	metric_observe(&t->first, f->first_event - f->arrived);
	metric_observe(&t->pause, f->gap_ns);
}

static void
forward_step(struct forward *f, enum attempt_end end, int budget)
{
	struct attempt_facts facts;

	facts.kind = f->route.kind;
	facts.resumable = f->route.resumable;
	facts.attempts_max = f->route.attempts;
	facts.runs = f->runs;
	facts.sends = f->sends;
	facts.begun = f->begun;
	facts.budget = budget;
	facts.deadline = f->deadline;
	switch (attempt_next(&facts, end, f->e->now)) {
	case STEP_HAND_ON:
		f->e->counts.answered++;
		forward_observe(f);
		forward_hand_on(f);
		forward_free(f);
		return;
	case STEP_AGAIN:
		forward_try(f);
		return;
	case STEP_REFUSE:
		forward_refuse(f, "no replica could run the request");
		return;
	case STEP_GIVE_UP:
		f->e->counts.unknown++;
		forward_log(f, LOG_REQUEST_FAILED, "", "outcome unknown");
		forward_own_answer(f, 502, 0, "the outcome is unknown");
		forward_free(f);
		return;
	default:
		f->e->counts.cut++;
		forward_log(f, LOG_REQUEST_FAILED, "", "broken off");
		caller_cut(f->caller);
		forward_free(f);
		return;
	}
}

/* The time to wait, or the time to the answer, is over. */
static void
forward_on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct forward *f = w->data;

	(void)loop;
	(void)events;
	entry_now(f->e);
	if (f->x != NULL) {
		exchange_cancel(f->x);
		f->x = NULL;
		f->runs++;
		forward_release(f);
	}
	if (f->caller == NULL) {
		forward_free(f);
		return;
	}
	if (f->begun) {
		f->e->counts.cut++;
		forward_log(f, LOG_REQUEST_FAILED, "", "deadline in answer");
		caller_cut(f->caller);
		forward_free(f);
		return;
	}
	if (f->runs == 0) {
		forward_refuse(f, "no replica was free in time");
		return;
	}
	f->e->counts.unknown++;
	forward_log(f, LOG_REQUEST_FAILED, "", "deadline");
	forward_own_answer(f, 504, 0, "no answer in time");
	forward_free(f);
}

/* A request that must run at most once is left to its end. */
void
forward_abandon(struct forward *f)
{
	f->caller = NULL;
	f->e->counts.left++;
	forward_log(f, LOG_REQUEST_CANCELLED, "", "the caller left");
	if (f->x != NULL && f->route.kind == ROUTE_ONCE && f->sends != 0)
		return;
	if (f->x != NULL) {
		exchange_cancel(f->x);
		f->x = NULL;
		forward_release(f);
	}
	forward_free(f);
}

void
forward_drained(struct forward *f)
{
	if (!f->paused || f->x == NULL)
		return;
	f->paused = 0;
	exchange_set_reading(f->x, 1);
}

void
forward_stop_all(struct entry *e)
{
	struct forward *f;

	while ((f = TAILQ_FIRST(&e->waiting)) != NULL ||
	    (f = TAILQ_FIRST(&e->running)) != NULL) {
		if (f->x != NULL) {
			exchange_cancel(f->x);
			f->x = NULL;
			forward_release(f);
		}
		if (f->caller != NULL) {
			forward_log(f, LOG_REQUEST_FAILED, "", "stopping");
			caller_cut(f->caller);
		}
		forward_free(f);
	}
}
