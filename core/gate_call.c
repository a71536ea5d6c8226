/* One request: forwards, retries or fails it by its attempts' events. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate_int.h"
#include "mem.h"

#define RETRY_BACKOFF_NS (20 * NSEC_PER_MSEC) /* per failed attempt */
#define UNREACHABLE_AVOID_NS (1 * NSEC_PER_SEC)
#define DEADLINE_GRACE_NS (1 * NSEC_PER_SEC)	  /* the owner refuses first */
#define HEDGE_DELAY_INITIAL_NS (1 * NSEC_PER_SEC) /* without samples */
#define HEDGE_DELAY_MIN_NS (100 * NSEC_PER_MSEC)
#define TTFT_QUANTILE_STEP 0.1
#define TTFT_QUANTILE 0.95

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_SERVER_ERROR 500

static void end_attempts(struct gate_core *, uint64_t, struct call *,
    enum release_outcome, struct gate_actions *);
static void end_other_attempts(
    struct gate_core *, uint64_t, struct attempt *, struct gate_actions *);
static void schedule_retry(
    struct gate_core *, uint64_t, struct call *, const char *);
static void buffer_part(struct gate_core *, uint64_t, struct attempt *,
    const struct gate_fetch_event *, struct gate_actions *);
static void update_ttft_p95(struct gate_core *, uint64_t);
static void count_tokens(
    struct gate_core *, uint64_t, struct attempt *, uint32_t);
static int status_is_retryable(const struct call *, int);
static void on_head(struct gate_core *, uint64_t, struct attempt *,
    const struct gate_fetch_event *, struct gate_actions *);
static void start_hedge_if_late(
    struct gate_core *, uint64_t, struct call *, struct gate_actions *);
static int waits_in_vain(
    const struct gate_core *, uint64_t, const struct call *);
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
end_other_attempts(struct gate_core *g, uint64_t now, struct attempt *keep,
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
gate_call_drop_buffered(struct call *call, struct gate_actions *out)
{
	struct buffered_part *h;

	while ((h = TAILQ_FIRST(&call->buffered)) != NULL) {
		TAILQ_REMOVE(&call->buffered, h, entry);
		gate_add_action(out, GATE_FREE_PAYLOAD, call->req.rid)
		    ->payload = h->payload;
		free(h);
	}
	call->buffered_bytes = 0;
}

void
gate_call_destroy(struct gate_core *g, struct call *call)
{
	HASH_DEL(g->calls, call);
	g->stats.calls--;
	free(call);
}

/* Ends the request with an outcome instead of a response. */
void
gate_call_fail(struct gate_core *g, uint64_t now, struct call *call,
    enum gate_outcome outcome, struct gate_actions *out)
{
	struct gate_action *act;

	/* A backend server may have executed part of the request. */
	if (call->request_written && gate_outcome_not_run(outcome))
		outcome =
		    call->req.repeatable ? OUTCOME_FAILED : OUTCOME_UNKNOWN;
	end_attempts(g, now, call, RELEASE_CANCELLED, out);
	gate_call_drop_buffered(call, out);
	if (!call->caller_gone) {
		act = gate_add_action(out, GATE_FAIL_REQUEST, call->req.rid);
		act->outcome = outcome;
		act->reopen_at = call->reopen_at > now
		    ? call->reopen_at
		    : gate_reopen_at(g, now, call);
		g->stats.failed[outcome]++;
	}
	gate_call_destroy(g, call);
}

/* Ends the request with the complete response. */
void
gate_call_complete(struct gate_core *g, uint64_t now, struct attempt *a,
    struct gate_actions *out)
{
	struct call *call = a->call;
	struct buffered_part *h;

	if (a->response_head != NULL) {
		gate_add_action(out, GATE_FORWARD_DATA, call->req.rid)
		    ->payload = a->response_head;
		a->response_head = NULL;
	}
	end_other_attempts(g, now, a, out);
	gate_attempt_end(g, now, a, RELEASE_DONE, out);
	if (call->caller_gone) {
		gate_call_drop_buffered(call, out);
		gate_call_destroy(g, call);
		return;
	}
	while ((h = TAILQ_FIRST(&call->buffered)) != NULL) {
		TAILQ_REMOVE(&call->buffered, h, entry);
		gate_add_action(out, GATE_FORWARD_DATA, call->req.rid)
		    ->payload = h->payload;
		free(h);
	}
	gate_add_action(out, GATE_END_RESPONSE, call->req.rid);
	g->stats.answered++;
	gate_call_destroy(g, call);
}

static void
schedule_retry(
    struct gate_core *g, uint64_t now, struct call *call, const char *exclude)
{
	uint64_t wait = RETRY_BACKOFF_NS * call->failed_attempts;

	call->retry_at =
	    now + wait / 2 + (uint64_t)nrand48(g->rng_state) % (wait / 2 + 1);
	snprintf(call->exclude, sizeof(call->exclude), "%s", exclude);
}

/* Handles a failed attempt: retries, resumes or fails the request. */
void
gate_call_handle_failure(struct gate_core *g, uint64_t now, struct attempt *a,
    struct gate_actions *out)
{
	struct call *call = a->call;
	enum fetch_phase phase = a->phase;
	enum retry_rule rule;
	char exclude[NAME_SIZE];

	rule = gate_retry_rule(call->req.repeatable, phase);
	memcpy(exclude, a->target->name, sizeof(exclude));
	if (phase == PHASE_CONNECTING && gate_target_open(a->target, now))
		a->target->avoid_until = now + UNREACHABLE_AVOID_NS;
	gate_attempt_end(g, now, a, RELEASE_FAILED, out);
	if (rule == RETRY_FORBIDDEN) {
		gate_call_fail(g, now, call, OUTCOME_UNKNOWN, out);
		return;
	}
	if (!TAILQ_EMPTY(&call->attempts))
		return; /* the other of a hedged pair continues */
	if (call->caller_gone) {
		gate_call_fail(g, now, call, OUTCOME_UNREACHABLE, out);
		return;
	}
	gate_call_drop_buffered(call, out);
	call->failed_attempts++;
	if (call->failed_attempts >= g->config.failed_attempts_max ||
	    (phase >= PHASE_REQUEST_WRITTEN && !gate_budget_take_retry(g))) {
		gate_call_fail(g, now, call, OUTCOME_UNREACHABLE, out);
		return;
	}
	if (call->tokens_delivered != 0)
		g->stats.resumes++;
	else
		g->stats.retries++;
	schedule_retry(g, now, call, exclude);
}

/* Buffers part of a response that is not streamed. */
static void
buffer_part(struct gate_core *g, uint64_t now, struct attempt *a,
    const struct gate_fetch_event *f, struct gate_actions *out)
{
	struct call *call = a->call;
	struct buffered_part *h;

	if (call->buffered_bytes + f->bytes > g->config.response_buffer_max) {
		gate_add_action(out, GATE_FREE_PAYLOAD, call->req.rid)
		    ->payload = f->payload;
		gate_call_fail(g, now, call,
		    call->req.repeatable ? OUTCOME_FAILED : OUTCOME_UNKNOWN,
		    out);
		return;
	}
	h = mem_alloc(sizeof(*h));
	h->payload = f->payload;
	call->buffered_bytes += f->bytes;
	TAILQ_INSERT_TAIL(&call->buffered, h, entry);
}

/* Updates the estimate of the time to first token, 95th percentile. */
static void
update_ttft_p95(struct gate_core *g, uint64_t first_ns)
{
	double q = (double)g->ttft_p95_ns;

	if (q == 0.0)
		q = HEDGE_DELAY_INITIAL_NS;
	if ((double)first_ns > q)
		q += q * TTFT_QUANTILE_STEP * TTFT_QUANTILE;
	else
		q -= q * TTFT_QUANTILE_STEP * (1.0 - TTFT_QUANTILE);
	if (q < HEDGE_DELAY_MIN_NS)
		q = HEDGE_DELAY_MIN_NS;
	g->ttft_p95_ns = (uint64_t)q;
}

static void
count_tokens(
    struct gate_core *g, uint64_t now, struct attempt *a, uint32_t tokens)
{
	struct target *t = a->target;

	if (tokens == 0)
		return;
	if (a->first_token_at == 0) {
		a->first_token_at = now;
		t->ttft_sum_ns += now - a->started_at;
		t->ttft_samples++;
		update_ttft_p95(g, now - a->started_at);
	} else {
		t->token_sum_ns += now - a->last_token_at;
		t->token_samples += tokens;
	}
	a->last_token_at = now;
	a->tokens_received += tokens;
	a->call->tokens_delivered += a->call->req.stream ? tokens : 0;
}

/*
 * Whether a model engine's response calls for another replica.  Only events
 * continue a stream that has begun.
 */
static int
status_is_retryable(const struct call *call, int status)
{
	if (call->req.service[0] != '\0')
		return 0;
	if (call->response_started && status != HTTP_OK)
		return 1;
	return status == HTTP_NOT_FOUND || status == HTTP_TOO_MANY_REQUESTS ||
	    status >= HTTP_SERVER_ERROR;
}

static void
on_head(struct gate_core *g, uint64_t now, struct attempt *a,
    const struct gate_fetch_event *f, struct gate_actions *out)
{
	struct call *call = a->call;

	if (status_is_retryable(call, f->status)) {
		gate_add_action(out, GATE_FREE_PAYLOAD, call->req.rid)
		    ->payload = f->payload;
		if (a->phase < PHASE_REQUEST_WRITTEN)
			a->phase = PHASE_REQUEST_WRITTEN;
		gate_call_handle_failure(g, now, a, out);
		return;
	}
	if (!call->req.stream) {
		a->phase = PHASE_RESPONSE_STARTED;
		buffer_part(g, now, a, f, out);
		return;
	}
	/* The caller already has the head of a resumed stream. */
	if (call->response_started || a->response_head != NULL)
		gate_add_action(out, GATE_FREE_PAYLOAD, call->req.rid)
		    ->payload = f->payload;
	else
		a->response_head = f->payload;
}

/* Handles the head or part of the body of a response. */
void
gate_call_handle_data(struct gate_core *g, uint64_t now, struct attempt *a,
    const struct gate_fetch_event *f, struct gate_actions *out)
{
	struct call *call = a->call;

	call->request_written = 1;
	if (f->kind == FETCH_HEAD) {
		gate_notice_apply(g, now, a, f, out);
		on_head(g, now, a, f, out);
		return;
	}
	a->phase = PHASE_RESPONSE_STARTED;
	count_tokens(g, now, a, f->tokens);
	if (!call->req.stream) {
		buffer_part(g, now, a, f, out);
		return;
	}
	/* Of a hedged pair, the attempt with the first data continues. */
	end_other_attempts(g, now, a, out);
	if (a->response_head != NULL) {
		gate_add_action(out, GATE_FORWARD_DATA, call->req.rid)
		    ->payload = a->response_head;
		a->response_head = NULL;
	}
	call->response_started = 1;
	gate_add_action(out, GATE_FORWARD_DATA, call->req.rid)->payload =
	    f->payload;
}

/* Handles a REFUSE from the owner of a cell. */
void
gate_call_handle_refusal(struct gate_core *g, uint64_t now, struct attempt *a,
    enum refuse_reason reason, struct gate_actions *out)
{
	struct call *call = a->call;
	int hedge = a->is_hedge;

	a->cell = NULL; /* no CANCEL needed */
	gate_attempt_end(g, now, a, RELEASE_UNUSED, out);
	if (hedge || !TAILQ_EMPTY(&call->attempts))
		return;
	if (reason == REFUSE_NO_MODEL) {
		call->no_model_refusals++;
		call->failed_attempts++;
		schedule_retry(g, now, call, "");
		return;
	}
	gate_call_fail(g, now, call,
	    reason == REFUSE_OVERLOAD ? OUTCOME_OVERLOAD : OUTCOME_DEADLINE,
	    out);
}

/* Starts a hedge attempt when the first token is late. */
static void
start_hedge_if_late(struct gate_core *g, uint64_t now, struct call *call,
    struct gate_actions *out)
{
	struct attempt *a = TAILQ_FIRST(&call->attempts);
	struct attempt *hedge;
	uint64_t after = g->ttft_p95_ns;

	if (call->hedged || !call->req.stream || !call->req.repeatable ||
	    call->response_started || call->req.job_class != CLASS_INTERACTIVE)
		return;
	if (a == NULL || a->state != ATTEMPT_RUNNING || a->first_token_at != 0)
		return;
	if (after == 0)
		after = HEDGE_DELAY_INITIAL_NS;
	if (now < a->started_at + after || !gate_budget_take_hedge(g))
		return;
	call->hedged = 1;
	g->stats.hedges++;
	hedge = gate_attempt_start(g, now, call, a->target->name, out);
	hedge->is_hedge = 1;
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
			gate_attempt_start_fetch(g, now, a, t, 0, out);
		return;
	}
	if (now >= a->reply_deadline) {
		gate_attempt_select_local(g, now, a, out);
		return;
	}
	if (now >= a->resend_at)
		gate_attempt_send_acquire(g, now, a, out);
	if (a->state == ATTEMPT_SELECTING)
		gate_attempt_select_local(g, now, a, out);
}

/*
 * Whether the gate selects the target, and all suitable ones are closed until
 * after the deadline.
 */
static int
waits_in_vain(const struct gate_core *g, uint64_t now, const struct call *call)
{
	const struct attempt *a;

	TAILQ_FOREACH (a, &call->attempts, entry) {
		if (a->state != ATTEMPT_SELECTING)
			return 0;
	}
	return !call->response_started &&
	    gate_reopen_at(g, now, call) > call->req.deadline;
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
	if (!running && !call->response_started && now > limit) {
		gate_call_fail(g, now, call, OUTCOME_DEADLINE, out);
		return;
	}
	if (waits_in_vain(g, now, call)) {
		gate_call_fail(g, now, call, OUTCOME_UNREACHABLE, out);
		return;
	}
	if (now >= call->retry_at)
		gate_attempt_start(g, now, call, call->exclude, out);
	start_hedge_if_late(g, now, call, out);
}
