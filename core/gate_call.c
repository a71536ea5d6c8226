/* One request: what its attempts mean for the caller. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate_int.h"
#include "mem.h"

#define BACKOFF_NS (20 * NSEC_PER_MSEC)	     /* before a retry, times tries */
#define AVOID_NS (1 * NSEC_PER_SEC)	     /* after a failed connection */
#define DEADLINE_GRACE_NS (1 * NSEC_PER_SEC) /* the owner refuses first */
#define HEDGE_FIRST_NS (1 * NSEC_PER_SEC)    /* before any sample */
#define HEDGE_LEAST_NS (100 * NSEC_PER_MSEC)
#define QUANTILE_STEP 0.1
#define QUANTILE 0.95

#define HTTP_NOT_FOUND 404
#define HTTP_TOO_MANY 429
#define HTTP_SERVER_ERROR 500

static void end_attempts(struct gate_core *, uint64_t, struct call *,
    enum release_outcome, struct gate_actions *);
static void end_others(
    struct gate_core *, uint64_t, struct attempt *, struct gate_actions *);
static void retry_later(
    struct gate_core *, uint64_t, struct call *, const char *);
static void hold(struct gate_core *, uint64_t, struct attempt *,
    const struct gate_fetch *, struct gate_actions *);
static void first_sample(struct gate_core *, uint64_t);
static void count_tokens(
    struct gate_core *, uint64_t, struct attempt *, uint32_t);
static int status_broken(const struct call *, int);
static void on_head(struct gate_core *, uint64_t, struct attempt *,
    const struct gate_fetch *, struct gate_actions *);
static void maybe_hedge(
    struct gate_core *, uint64_t, struct call *, struct gate_actions *);
static void attempt_tick(
    struct gate_core *, uint64_t, struct attempt *, struct gate_actions *);

static void
end_attempts(struct gate_core *g, uint64_t now, struct call *call,
    enum release_outcome outcome, struct gate_actions *out)
{
	struct attempt *a;

	while ((a = TAILQ_FIRST(&call->attempts)) != NULL)
		gate_attempt_end(g, now, a, outcome, out);
}

static void
end_others(struct gate_core *g, uint64_t now, struct attempt *keep,
    struct gate_actions *out)
{
	struct attempt *a, *next;

	for (a = TAILQ_FIRST(&keep->call->attempts); a != NULL; a = next) {
		next = TAILQ_NEXT(a, entry);
		if (a != keep)
			gate_attempt_end(g, now, a, RELEASE_CANCELLED, out);
	}
}

void
gate_call_drop_held(struct call *call, struct gate_actions *out)
{
	struct held *h;

	while ((h = TAILQ_FIRST(&call->held)) != NULL) {
		TAILQ_REMOVE(&call->held, h, entry);
		gate_act(out, GATE_DROP, call->req.rid)->payload = h->payload;
		free(h);
	}
	call->held_bytes = 0;
}

void
gate_call_destroy(struct gate_core *g, struct call *call)
{
	HASH_DEL(g->calls, call);
	g->totals.calls--;
	free(call);
}

/* Ends the request with an outcome in place of an answer. */
void
gate_call_fail(struct gate_core *g, uint64_t now, struct call *call,
    enum gate_outcome outcome, struct gate_actions *out)
{
	/* What reached a backend server may have run in part. */
	if (call->written && gate_outcome_not_run(outcome))
		outcome =
		    call->req.repeatable ? OUTCOME_FAILED : OUTCOME_UNKNOWN;
	end_attempts(g, now, call, RELEASE_CANCELLED, out);
	gate_call_drop_held(call, out);
	if (!call->detached) {
		gate_act(out, GATE_FAIL, call->req.rid)->outcome = outcome;
		g->totals.failed[outcome]++;
	}
	gate_call_destroy(g, call);
}

/* Ends the request with its whole answer. */
void
gate_call_finish(struct gate_core *g, uint64_t now, struct attempt *a,
    struct gate_actions *out)
{
	struct call *call = a->call;
	struct held *h;

	if (a->head != NULL) {
		gate_act(out, GATE_DATA, call->req.rid)->payload = a->head;
		a->head = NULL;
	}
	end_others(g, now, a, out);
	gate_attempt_end(g, now, a, RELEASE_DONE, out);
	if (call->detached) {
		gate_call_drop_held(call, out);
		gate_call_destroy(g, call);
		return;
	}
	while ((h = TAILQ_FIRST(&call->held)) != NULL) {
		TAILQ_REMOVE(&call->held, h, entry);
		gate_act(out, GATE_DATA, call->req.rid)->payload = h->payload;
		free(h);
	}
	gate_act(out, GATE_END, call->req.rid);
	g->totals.answered++;
	gate_call_destroy(g, call);
}

static void
retry_later(
    struct gate_core *g, uint64_t now, struct call *call, const char *exclude)
{
	uint64_t wait = BACKOFF_NS * call->tries;

	call->retry_at =
	    now + wait / 2 + (uint64_t)nrand48(g->seed) % (wait / 2 + 1);
	snprintf(call->exclude, sizeof(call->exclude), "%s", exclude);
}

/* An attempt broke: retries, resumes, or tells the caller. */
void
gate_call_broken(struct gate_core *g, uint64_t now, struct attempt *a,
    struct gate_actions *out)
{
	struct call *call = a->call;
	enum fetch_phase phase = a->phase;
	enum retry_rule rule;
	char exclude[NAME_SIZE];

	rule = gate_retry_rule(call->req.repeatable, phase);
	memcpy(exclude, a->target->name, sizeof(exclude));
	if (phase == PHASE_CONNECTING)
		a->target->avoid_until = now + AVOID_NS;
	gate_attempt_end(g, now, a, RELEASE_FAILED, out);
	if (rule == RETRY_UNKNOWN) {
		gate_call_fail(g, now, call, OUTCOME_UNKNOWN, out);
		return;
	}
	if (!TAILQ_EMPTY(&call->attempts))
		return; /* a hedge goes on */
	if (call->detached) {
		gate_call_fail(g, now, call, OUTCOME_UNREACHABLE, out);
		return;
	}
	gate_call_drop_held(call, out);
	call->tries++;
	if (call->tries >= g->config.tries_max ||
	    (phase >= PHASE_WRITTEN && !gate_budget_retry(g))) {
		gate_call_fail(g, now, call, OUTCOME_UNREACHABLE, out);
		return;
	}
	if (call->delivered != 0)
		g->totals.resumes++;
	else
		g->totals.retries++;
	retry_later(g, now, call, exclude);
}

/* Keeps part of an answer that is handed over whole. */
static void
hold(struct gate_core *g, uint64_t now, struct attempt *a,
    const struct gate_fetch *f, struct gate_actions *out)
{
	struct call *call = a->call;
	struct held *h;

	if (call->held_bytes + f->bytes > g->config.hold_max) {
		gate_act(out, GATE_DROP, call->req.rid)->payload = f->payload;
		gate_call_fail(g, now, call,
		    call->req.repeatable ? OUTCOME_FAILED : OUTCOME_UNKNOWN,
		    out);
		return;
	}
	h = mem_alloc(sizeof(*h));
	h->payload = f->payload;
	call->held_bytes += f->bytes;
	TAILQ_INSERT_TAIL(&call->held, h, entry);
}

/* Follows the 95th percentile of the time to the first token. */
static void
first_sample(struct gate_core *g, uint64_t first_ns)
{
	double q = (double)g->first_p95_ns;

	if (q == 0.0)
		q = HEDGE_FIRST_NS;
	if ((double)first_ns > q)
		q += q * QUANTILE_STEP * QUANTILE;
	else
		q -= q * QUANTILE_STEP * (1.0 - QUANTILE);
	if (q < HEDGE_LEAST_NS)
		q = HEDGE_LEAST_NS;
	g->first_p95_ns = (uint64_t)q;
}

static void
count_tokens(
    struct gate_core *g, uint64_t now, struct attempt *a, uint32_t tokens)
{
	struct target *t = a->target;

	if (tokens == 0)
		return;
	if (a->first_at == 0) {
		a->first_at = now;
		t->first_sum += now - a->started;
		t->first_n++;
		first_sample(g, now - a->started);
	} else {
		t->token_sum += now - a->last_at;
		t->token_n += tokens;
	}
	a->last_at = now;
	a->tokens += tokens;
	a->call->delivered += a->call->req.stream ? tokens : 0;
}

/* Answers of a model engine that say another one should be tried. */
static int
status_broken(const struct call *call, int status)
{
	if (call->req.service[0] != '\0')
		return 0;
	return status == HTTP_NOT_FOUND || status == HTTP_TOO_MANY ||
	    status >= HTTP_SERVER_ERROR;
}

static void
on_head(struct gate_core *g, uint64_t now, struct attempt *a,
    const struct gate_fetch *f, struct gate_actions *out)
{
	struct call *call = a->call;

	if (status_broken(call, f->status)) {
		gate_act(out, GATE_DROP, call->req.rid)->payload = f->payload;
		if (a->phase < PHASE_WRITTEN)
			a->phase = PHASE_WRITTEN;
		gate_call_broken(g, now, a, out);
		return;
	}
	if (!call->req.stream) {
		a->phase = PHASE_BEGUN;
		hold(g, now, a, f, out);
		return;
	}
	/* A resumed stream has sent its head before. */
	if (call->begun || a->head != NULL)
		gate_act(out, GATE_DROP, call->req.rid)->payload = f->payload;
	else
		a->head = f->payload;
}

/* Head or body of an answer. */
void
gate_call_data(struct gate_core *g, uint64_t now, struct attempt *a,
    const struct gate_fetch *f, struct gate_actions *out)
{
	struct call *call = a->call;

	call->written = 1;
	if (f->kind == FETCH_HEAD) {
		on_head(g, now, a, f, out);
		return;
	}
	a->phase = PHASE_BEGUN;
	count_tokens(g, now, a, f->tokens);
	if (!call->req.stream) {
		hold(g, now, a, f, out);
		return;
	}
	/* The first data decides between an attempt and its hedge. */
	end_others(g, now, a, out);
	if (a->head != NULL) {
		gate_act(out, GATE_DATA, call->req.rid)->payload = a->head;
		a->head = NULL;
	}
	call->begun = 1;
	gate_act(out, GATE_DATA, call->req.rid)->payload = f->payload;
}

/* The owner of a cell will not run an attempt. */
void
gate_call_refused(struct gate_core *g, uint64_t now, struct attempt *a,
    enum refuse_reason reason, struct gate_actions *out)
{
	struct call *call = a->call;
	int hedge = a->hedge;

	a->cell = NULL; /* nothing is left there to cancel */
	gate_attempt_end(g, now, a, RELEASE_UNUSED, out);
	if (hedge || !TAILQ_EMPTY(&call->attempts))
		return;
	if (reason == REFUSE_NO_MODEL) {
		call->refusals++;
		call->tries++;
		retry_later(g, now, call, "");
		return;
	}
	gate_call_fail(g, now, call,
	    reason == REFUSE_OVERLOAD ? OUTCOME_OVERLOAD : OUTCOME_DEADLINE,
	    out);
}

/* Starts a second attempt when the first token is late. */
static void
maybe_hedge(struct gate_core *g, uint64_t now, struct call *call,
    struct gate_actions *out)
{
	struct attempt *a = TAILQ_FIRST(&call->attempts);
	struct attempt *hedge;
	uint64_t after = g->first_p95_ns;

	if (call->hedged || !call->req.stream || !call->req.repeatable ||
	    call->begun || call->req.job_class != CLASS_INTERACTIVE)
		return;
	if (a == NULL || a->state != ATTEMPT_RUNNING || a->first_at != 0)
		return;
	if (after == 0)
		after = HEDGE_FIRST_NS;
	if (now < a->started + after || !gate_budget_hedge(g))
		return;
	call->hedged = 1;
	g->totals.hedges++;
	hedge = gate_attempt_begin(g, now, call, a->target->name, out);
	hedge->hedge = 1;
}

static void
attempt_tick(struct gate_core *g, uint64_t now, struct attempt *a,
    struct gate_actions *out)
{
	struct target *t;

	if (a->state == ATTEMPT_RUNNING)
		return;
	if (a->call->req.service[0] != '\0') {
		t = gate_pick_instance(g, now, a);
		if (t != NULL)
			gate_attempt_run(g, now, a, t, 0, out);
		return;
	}
	if (now >= a->answer_due) {
		gate_attempt_alone(g, now, a, out);
		return;
	}
	if (now >= a->resend_at)
		gate_attempt_ask(g, now, a, out);
	if (a->state == ATTEMPT_ALONE)
		gate_attempt_alone(g, now, a, out);
}

void
gate_call_tick(struct gate_core *g, uint64_t now, struct call *call,
    struct gate_actions *out)
{
	struct attempt *a, *next;
	uint64_t limit = call->req.deadline;
	int running = 0;

	for (a = TAILQ_FIRST(&call->attempts); a != NULL; a = next) {
		next = TAILQ_NEXT(a, entry);
		attempt_tick(g, now, a, out);
		running += a->state == ATTEMPT_RUNNING;
	}
	if (limit < TIME_NEVER - DEADLINE_GRACE_NS)
		limit += DEADLINE_GRACE_NS;
	if (!running && !call->begun && now > limit) {
		gate_call_fail(g, now, call, OUTCOME_DEADLINE, out);
		return;
	}
	if (now >= call->retry_at)
		gate_attempt_begin(g, now, call, call->exclude, out);
	maybe_hedge(g, now, call, out);
}
