/* Entry points of the gate's request handling; see gate.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate_int.h"
#include "hash.h"
#include "mem.h"

typedef void (*gate_handler)(
    struct gate_core *, uint64_t, const struct msg *, struct gate_actions *);

static struct call *find_call(const struct gate_core *, uint64_t);
static struct attempt *find_attempt(
    const struct gate_core *, const struct job_key *);
static void on_queued(
    struct gate_core *, uint64_t, const struct msg *, struct gate_actions *);
static void return_grant(
    struct attempt *, const struct target *, uint64_t, struct gate_actions *);
static void on_grant(
    struct gate_core *, uint64_t, const struct msg *, struct gate_actions *);
static void on_refuse(
    struct gate_core *, uint64_t, const struct msg *, struct gate_actions *);
static void on_cell(
    struct gate_core *, uint64_t, const struct msg *, struct gate_actions *);
static void on_model(
    struct gate_core *, uint64_t, const struct msg *, struct gate_actions *);
static void on_service(
    struct gate_core *, uint64_t, const struct msg *, struct gate_actions *);
static void send_sync(struct gate_core *, struct cell *, struct gate_actions *);
static void send_report(
    struct gate_core *, uint64_t, struct cell *, struct gate_actions *);
static uint64_t limit_interval(const struct gate_core *, uint64_t);
static uint64_t oldest_without_token(
    const struct gate_core *, const struct target *, uint64_t);

static const gate_handler gate_handlers[MSG__MAX] = {
	[MSG_QUEUED] = on_queued,
	[MSG_GRANT] = on_grant,
	[MSG_REFUSE] = on_refuse,
	[MSG_CELL] = on_cell,
	[MSG_MODEL] = on_model,
	[MSG_SERVICE] = on_service,
};

static const char *const outcome_names[OUTCOME__MAX] = {
	[OUTCOME_ANSWERED] = "answered",
	[OUTCOME_NO_MODEL] = "not-run-no-model",
	[OUTCOME_DEADLINE] = "not-run-deadline",
	[OUTCOME_OVERLOAD] = "not-run-overload",
	[OUTCOME_UNREACHABLE] = "not-run-unreachable",
	[OUTCOME_CLOSING] = "not-run-closing",
	[OUTCOME_UNKNOWN] = "unknown",
	[OUTCOME_FAILED] = "failed",
};

void
gate_config_default(struct gate_config *c)
{
	memset(c, 0, sizeof(*c));
	c->acquire_timeout_ns = 30 * NSEC_PER_MSEC;
	c->resend_interval_ns = 1 * NSEC_PER_SEC;
	c->resend_timeout_ns = 300 * NSEC_PER_MSEC;
	c->sync_interval_ns = 1 * NSEC_PER_SEC;
	c->report_interval_ns = 250 * NSEC_PER_MSEC;
	c->local_per_replica_max = 4;
	c->failed_attempts_max = 5;
	c->retry_ratio = 0.1;
	c->hedge_ratio = 0.03;
	c->response_buffer_max = 32U << 20;
}

struct gate_core *
gate_create(
    const struct gate_config *config, const struct node_id *self, uint64_t seed)
{
	struct gate_core *g;

	g = mem_alloc(sizeof(*g));
	g->config = *config;
	g->self = *self;
	g->rng_state[0] = (unsigned short)seed;
	g->rng_state[1] = (unsigned short)(seed >> 16);
	g->rng_state[2] = (unsigned short)(seed >> 32);
	g->retry_credit = 10.0;
	g->hedge_credit = 2.0;
	return g;
}

void
gate_destroy(struct gate_core *g)
{
	struct gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	struct gate_action *act;
	struct call *call, *next;

	if (g == NULL)
		return;
	HASH_ITER (hh, g->calls, call, next)
		gate_call_fail(g, 0, call, OUTCOME_CLOSING, &out);
	while ((act = TAILQ_FIRST(&out)) != NULL) {
		TAILQ_REMOVE(&out, act, entry);
		gate_action_destroy(act);
	}
	gate_table_destroy(g);
	free(g);
}

struct gate_action *
gate_add_action(
    struct gate_actions *out, enum gate_action_kind kind, uint64_t rid)
{
	struct gate_action *act;

	act = mem_alloc(sizeof(*act));
	act->kind = kind;
	act->rid = rid;
	TAILQ_INSERT_TAIL(out, act, entry);
	return act;
}

void
gate_send_msg(struct gate_actions *out, struct msg *m)
{
	gate_add_action(out, GATE_SEND_MSG, 0)->msg = m;
}

void
gate_action_destroy(struct gate_action *act)
{
	msg_destroy(act->msg);
	free(act);
}

static struct call *
find_call(const struct gate_core *g, uint64_t rid)
{
	struct call *call;

	HASH_FIND(hh, g->calls, &rid, sizeof(rid), call);
	return call;
}

static struct attempt *
find_attempt(const struct gate_core *g, const struct job_key *key)
{
	struct attempt *a;
	struct call *call;

	call = find_call(g, key->rid);
	if (call == NULL)
		return NULL;
	TAILQ_FOREACH (a, &call->attempts, entry) {
		if (a->key.attempt == key->attempt)
			return a;
	}
	return NULL;
}

void
gate_handle_request(struct gate_core *g, uint64_t now,
    const struct gate_request *req, struct gate_actions *out)
{
	struct declared_model *d;
	struct service *s;
	struct call *call;

	g->stats.arrived++;
	HASH_FIND_STR(g->models, req->model, d);
	HASH_FIND_STR(g->services, req->service, s);
	call = mem_alloc(sizeof(*call));
	call->req = *req;
	call->retry_at = TIME_NEVER;
	TAILQ_INIT(&call->attempts);
	TAILQ_INIT(&call->buffered);
	HASH_ADD(hh, g->calls, req.rid, sizeof(call->req.rid), call);
	g->stats.calls++;
	if (d == NULL && s == NULL) {
		gate_call_fail(g, now, call, OUTCOME_NO_MODEL, out);
		return;
	}
	gate_budget_add_request(g);
	gate_attempt_start(g, now, call, "", out);
}

void
gate_cancel_request(
    struct gate_core *g, uint64_t now, uint64_t rid, struct gate_actions *out)
{
	struct attempt *a;
	struct call *call;

	call = find_call(g, rid);
	if (call == NULL || call->caller_gone)
		return;
	g->stats.cancelled++;
	call->caller_gone = 1;
	/*
	 * A request that is not repeatable runs to its end once it may have
	 * been sent, so that the backend server does not execute part of it.
	 */
	a = TAILQ_FIRST(&call->attempts);
	if (!call->req.repeatable && a != NULL && a->state == ATTEMPT_RUNNING)
		return;
	gate_call_fail(g, now, call, OUTCOME_CLOSING, out);
}

static void
on_queued(struct gate_core *g, uint64_t now, const struct msg *m,
    struct gate_actions *out)
{
	struct attempt *a;
	struct msg *reply;

	a = find_attempt(g, &m->u.key);
	if (a == NULL || a->state == ATTEMPT_RUNNING) {
		if (a == NULL) {
			reply = msg_create(MSG_CANCEL, m->from.addr);
			reply->u.key = m->u.key;
			gate_send_msg(out, reply);
		}
		return;
	}
	a->state = ATTEMPT_QUEUED;
	a->reply_deadline = TIME_NEVER;
	a->resend_at = now + g->config.resend_interval_ns;
}

/* Tells the owner, which may not have heard, why a replica is not used. */
static void
return_grant(struct attempt *a, const struct target *t, uint64_t now,
    struct gate_actions *out)
{
	if (t == NULL)
		return;
	gate_notice_send(t, now, out);
	/* The owner may go on granting one that is sent no further probe. */
	if (a != NULL && a->state != ATTEMPT_RUNNING &&
	    gate_target_open(t, now))
		memcpy(a->exclude, t->name, sizeof(a->exclude));
}

static void
on_grant(struct gate_core *g, uint64_t now, const struct msg *m,
    struct gate_actions *out)
{
	const struct msg_grant *grant = &m->u.grant;
	struct attempt *a;
	struct target *t;

	a = find_attempt(g, &grant->key);
	if (a != NULL && a->state == ATTEMPT_RUNNING &&
	    a->grant_id == grant->grant_id)
		return; /* duplicate GRANT */
	t = gate_find_target(g, grant->replica);
	if (a == NULL || a->state == ATTEMPT_RUNNING || t == NULL ||
	    !gate_target_usable(t, now)) {
		return_grant(a, t, now, out);
		gate_send_release(g, &grant->key, m->from.addr, grant->grant_id,
		    NULL, RELEASE_UNUSED, out);
		if (a != NULL && a->state != ATTEMPT_RUNNING)
			a->resend_at = now;
		return;
	}
	gate_attempt_start_fetch(g, now, a, t, grant->grant_id, out);
}

static void
on_refuse(struct gate_core *g, uint64_t now, const struct msg *m,
    struct gate_actions *out)
{
	struct attempt *a;

	a = find_attempt(g, &m->u.refuse.key);
	if (a == NULL || a->state == ATTEMPT_RUNNING)
		return;
	if (m->u.refuse.retry_ns != 0)
		a->call->reopen_at = now + m->u.refuse.retry_ns;
	gate_call_handle_refusal(
	    g, now, a, (enum refuse_reason)m->u.refuse.reason, out);
}

/* A new owner is sent the cell's grants and waiting attempts at once. */
static void
on_cell(struct gate_core *g, uint64_t now, const struct msg *m,
    struct gate_actions *out)
{
	struct node_id before = { "", 0 };
	struct call *call, *next;
	struct attempt *a;
	struct cell *c;

	c = gate_find_cell(g, m->u.cell.cell);
	if (c != NULL)
		before = c->owner;
	gate_table_update_cell(g, &m->u.cell);
	g->min_interval_ns = m->u.cell.min_interval_ns;
	c = gate_find_cell(g, m->u.cell.cell);
	if (strcmp(before.addr, c->owner.addr) == 0 &&
	    before.incarnation == c->owner.incarnation)
		return;
	send_sync(g, c, out);
	HASH_ITER (hh, g->calls, call, next) {
		TAILQ_FOREACH (a, &call->attempts, entry) {
			if (a->state != ATTEMPT_RUNNING &&
			    (a->cell == c || a->cell == NULL))
				a->resend_at = now;
		}
	}
}

static void
on_model(struct gate_core *g, uint64_t now, const struct msg *m,
    struct gate_actions *out)
{
	(void)now;
	(void)out;
	gate_table_update_model(g, &m->u.model);
}

static void
on_service(struct gate_core *g, uint64_t now, const struct msg *m,
    struct gate_actions *out)
{
	(void)now;
	(void)out;
	gate_table_update_service(g, &m->u.service);
}

void
gate_handle_message(struct gate_core *g, uint64_t now, const struct msg *m,
    struct gate_actions *out)
{
	if ((unsigned)m->kind < MSG__MAX && gate_handlers[m->kind] != NULL)
		gate_handlers[m->kind](g, now, m, out);
}

void
gate_handle_fetch(struct gate_core *g, uint64_t now,
    const struct gate_fetch_event *f, struct gate_actions *out)
{
	struct attempt *a;

	HASH_FIND(hh, g->fetches, &f->fetch_id, sizeof(f->fetch_id), a);
	if (a == NULL) {
		if (f->payload != NULL)
			gate_add_action(out, GATE_FREE_PAYLOAD, 0)->payload =
			    f->payload;
		return;
	}
	switch (f->kind) {
	case FETCH_PHASE:
		if (f->phase > a->phase)
			a->phase = f->phase;
		if (a->phase >= PHASE_REQUEST_WRITTEN)
			a->call->request_written = 1;
		break;
	case FETCH_HEAD:
	case FETCH_DATA:
		gate_call_handle_data(g, now, a, f, out);
		break;
	case FETCH_END:
		gate_call_complete(g, now, a, out);
		break;
	case FETCH_FAILED:
		if (f->phase > a->phase)
			a->phase = f->phase;
		if (a->phase >= PHASE_REQUEST_WRITTEN)
			a->call->request_written = 1;
		gate_call_handle_failure(g, now, a, out);
		break;
	}
}

static void
send_sync(struct gate_core *g, struct cell *c, struct gate_actions *out)
{
	struct msg_sync_item *it;
	struct attempt *a, *next;
	struct msg *m = NULL;

	if (c->owner.addr[0] == '\0')
		return;
	HASH_ITER (hh, g->fetches, a, next) {
		if (a->cell != c)
			continue;
		if (m == NULL)
			m = msg_create(MSG_SYNC, c->owner.addr);
		it = &m->u.sync.items[m->u.sync.n++];
		it->key = a->key;
		it->grant_id = a->grant_id;
		memcpy(it->replica, a->target->name, sizeof(it->replica));
		if (m->u.sync.n == MSG_SYNC_MAX) {
			gate_send_msg(out, m);
			m = NULL;
		}
	}
	if (m != NULL)
		gate_send_msg(out, m);
}

/* Age of a target's oldest streaming attempt without a token. */
static uint64_t
oldest_without_token(
    const struct gate_core *g, const struct target *t, uint64_t now)
{
	struct attempt *a, *next;
	uint64_t oldest = 0;

	HASH_ITER (hh, g->fetches, a, next) {
		if (a->target != t || a->first_token_at != 0 ||
		    !a->call->req.stream)
			continue;
		if (now - a->started_at > oldest)
			oldest = now - a->started_at;
	}
	return oldest;
}

static void
send_report(
    struct gate_core *g, uint64_t now, struct cell *c, struct gate_actions *out)
{
	struct msg_report_item *it;
	struct target *t, *next;
	struct msg *m;

	if (c->owner.addr[0] == '\0')
		return;
	m = msg_create(MSG_REPORT, c->owner.addr);
	HASH_ITER (hh, g->targets, t, next) {
		if (t->cell != c || m->u.report.n == MSG_REPORTS_MAX)
			continue;
		it = &m->u.report.items[m->u.report.n];
		if (!gate_notice_fill(t, now, it) && t->ttft_samples == 0 &&
		    t->token_samples == 0 && t->in_flight == 0)
			continue;
		m->u.report.n++;
		memcpy(it->replica, t->name, sizeof(it->replica));
		if (t->ttft_samples != 0)
			it->first_ns = t->ttft_sum_ns / t->ttft_samples;
		if (t->token_samples != 0)
			it->token_ns = t->token_sum_ns / t->token_samples;
		it->waiting_ns = oldest_without_token(g, t, now);
		t->ttft_sum_ns = t->token_sum_ns = 0;
		t->ttft_samples = t->token_samples = 0;
	}
	if (m->u.report.n != 0)
		gate_send_msg(out, m);
	else
		msg_destroy(m);
}

static uint64_t
limit_interval(const struct gate_core *g, uint64_t period)
{
	return period > g->min_interval_ns ? period : g->min_interval_ns;
}

void
gate_tick(struct gate_core *g, uint64_t now, struct gate_actions *out)
{
	struct call *call, *next;
	struct cell *c, *c_next;

	gate_notice_tick(g, now, out);
	HASH_ITER (hh, g->calls, call, next)
		gate_call_tick(g, now, call, out);
	if (now >= g->sync_at) {
		g->sync_at =
		    now + limit_interval(g, g->config.sync_interval_ns);
		HASH_ITER (hh, g->cells, c, c_next)
			send_sync(g, c, out);
	}
	if (now >= g->report_at) {
		g->report_at =
		    now + limit_interval(g, g->config.report_interval_ns);
		HASH_ITER (hh, g->cells, c, c_next)
			send_report(g, now, c, out);
	}
}

void
gate_get_stats(const struct gate_core *g, struct gate_stats *out)
{
	*out = g->stats;
}

void
gate_fill_hello(const struct gate_core *g, struct msg_hello *h)
{
	struct cell *c, *c_next;
	struct declared_model *d, *d_next;
	struct service *s, *s_next;

	h->cells_hash = h->models_hash = h->services_hash = 0;
	HASH_ITER (hh, g->cells, c, c_next) {
		if (c->version != 0)
			h->cells_hash ^= hash_version(c->name, c->version);
	}
	HASH_ITER (hh, g->models, d, d_next)
		h->models_hash ^= hash_version(d->name, d->info.version);
	HASH_ITER (hh, g->services, s, s_next)
		h->services_hash ^= hash_version(s->name, s->info.version);
}

void
gate_for_each_model(const struct gate_core *g,
    void (*report)(void *, const char *, const char *), void *ctx)
{
	struct declared_model *d, *next;
	uint32_t i;

	HASH_ITER (hh, g->models, d, next) {
		report(ctx, d->name, "");
		for (i = 0; i < d->info.nadapters; i++)
			report(ctx, d->name, d->info.adapters[i]);
	}
}

void
gate_for_each_service(const struct gate_core *g,
    void (*report)(void *, const struct msg_service *), void *ctx)
{
	struct service *s, *next;

	HASH_ITER (hh, g->services, s, next)
		report(ctx, &s->info);
}

const char *
gate_outcome_name(enum gate_outcome outcome)
{
	return outcome_names[outcome];
}

int
gate_outcome_not_run(enum gate_outcome outcome)
{
	return outcome >= OUTCOME_NO_MODEL && outcome <= OUTCOME_CLOSING;
}
