/* One attempt: acquiring a slot, fetching, and releasing the slot. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate_int.h"
#include "mem.h"

static uint64_t remaining_ns(uint64_t, uint64_t);

static uint64_t
remaining_ns(uint64_t deadline, uint64_t now)
{
	if (deadline == TIME_NEVER)
		return TIME_NEVER;
	return deadline > now ? deadline - now : 0;
}

struct attempt *
gate_attempt_start(struct gate_core *g, uint64_t now, struct call *call,
    const char *exclude, struct gate_actions *out)
{
	struct attempt *a;
	struct target *t;

	a = mem_alloc(sizeof(*a));
	a->call = call;
	a->key.rid = call->req.rid;
	a->key.attempt = ++call->last_attempt_id;
	snprintf(a->exclude, sizeof(a->exclude), "%s", exclude);
	TAILQ_INSERT_TAIL(&call->attempts, a, entry);
	call->retry_at = TIME_NEVER;
	if (call->req.service[0] == '\0') {
		gate_attempt_send_acquire(g, now, a, out);
		return a;
	}
	a->state = ATTEMPT_SELECTING;
	a->reply_deadline = TIME_NEVER;
	a->resend_at = TIME_NEVER;
	t = gate_pick_instance(g, now, a);
	if (t != NULL)
		gate_attempt_start_fetch(g, now, a, t, 0, out);
	return a;
}

/* Sends ACQUIRE to the owner of the attempt's cell, first or repeated. */
void
gate_attempt_send_acquire(struct gate_core *g, uint64_t now, struct attempt *a,
    struct gate_actions *out)
{
	const struct gate_request *req = &a->call->req;
	struct msg_acquire *q;
	struct msg *m;

	if (a->cell == NULL || a->cell->owner.addr[0] == '\0')
		a->cell = gate_pick_cell(g, a->call);
	a->resend_at = now + g->config.resend_interval_ns;
	if (a->cell == NULL || a->cell->owner.addr[0] == '\0') {
		gate_attempt_select_local(g, now, a, out);
		return;
	}
	a->reply_deadline = now +
	    (a->state == ATTEMPT_QUEUED ? g->config.resend_timeout_ns
					: g->config.acquire_timeout_ns);
	m = msg_create(MSG_ACQUIRE, a->cell->owner.addr);
	q = &m->u.acquire;
	q->key = a->key;
	memcpy(q->model, req->model, sizeof(q->model));
	memcpy(q->adapter, req->adapter, sizeof(q->adapter));
	memcpy(q->exclude, a->exclude, sizeof(q->exclude));
	q->job_class = req->job_class;
	q->tokens = req->max_tokens > a->call->tokens_delivered
	    ? req->max_tokens - a->call->tokens_delivered
	    : 0;
	q->prefix = req->prefix_hash;
	q->slack_ns = remaining_ns(req->deadline, now);
	gate_send_msg(out, m);
}

/* Selects a replica without a grant, because no owner replies. */
void
gate_attempt_select_local(struct gate_core *g, uint64_t now, struct attempt *a,
    struct gate_actions *out)
{
	struct target *t;

	a->state = ATTEMPT_SELECTING;
	a->reply_deadline = TIME_NEVER;
	t = gate_pick_replica(g, now, a);
	if (t == NULL)
		return;
	a->cell = t->cell;
	g->stats.local_selections++;
	gate_attempt_start_fetch(g, now, a, t, 0, out);
}

void
gate_attempt_start_fetch(struct gate_core *g, uint64_t now, struct attempt *a,
    struct target *t, uint64_t grant, struct gate_actions *out)
{
	struct gate_action *act;

	a->state = ATTEMPT_RUNNING;
	a->target = t;
	a->grant_id = grant;
	a->fetch_id = ++g->last_fetch_id;
	a->phase = PHASE_CONNECTING;
	a->started_at = now;
	a->incarnation = t->incarnation;
	a->reply_deadline = TIME_NEVER;
	a->resend_at = TIME_NEVER;
	t->in_flight++;
	if (notice_is_probed(&t->notice, t->incarnation, now))
		t->probed_incarnation = t->incarnation;
	HASH_ADD(hh, g->fetches, fetch_id, sizeof(a->fetch_id), a);
	act = gate_add_action(out, GATE_START_FETCH, a->key.rid);
	act->fetch_id = a->fetch_id;
	act->attempt = a->key.attempt;
	act->resume_tokens = a->call->tokens_delivered;
	act->at_most_once = !a->call->req.repeatable;
	memcpy(act->addr, t->addr, sizeof(act->addr));
	memcpy(act->target, t->name, sizeof(act->target));
}

/* Sends RELEASE with the attempt's latencies; the attempt may be NULL. */
void
gate_send_release(struct gate_core *g, const struct job_key *key,
    const char *to, uint64_t grant, const struct attempt *a,
    enum release_outcome outcome, struct gate_actions *out)
{
	struct msg_release *r;
	struct msg *m;

	(void)g;
	m = msg_create(MSG_RELEASE, to);
	r = &m->u.release;
	r->key = *key;
	r->grant_id = grant;
	r->outcome = outcome;
	if (a != NULL && a->first_token_at != 0) {
		r->tokens = a->tokens_received;
		r->first_ns = a->first_token_at - a->started_at;
		if (a->tokens_received > 1)
			r->token_ns = (a->last_token_at - a->first_token_at) /
			    (a->tokens_received - 1);
	}
	gate_send_msg(out, m);
}

/* Releases or cancels an attempt in any state, and frees it. */
void
gate_attempt_end(struct gate_core *g, uint64_t now, struct attempt *a,
    enum release_outcome outcome, struct gate_actions *out)
{
	const char *owner = a->cell == NULL ? "" : a->cell->owner.addr;
	struct msg *m;

	(void)now;
	if (a->state == ATTEMPT_RUNNING) {
		HASH_DEL(g->fetches, a);
		a->target->in_flight--;
		gate_add_action(out, GATE_STOP_FETCH, a->key.rid)->fetch_id =
		    a->fetch_id;
		if (owner[0] != '\0')
			gate_send_release(
			    g, &a->key, owner, a->grant_id, a, outcome, out);
	} else if (owner[0] != '\0') {
		m = msg_create(MSG_CANCEL, owner);
		m->u.key = a->key;
		gate_send_msg(out, m);
	}
	if (a->response_head != NULL)
		gate_add_action(out, GATE_FREE_PAYLOAD, a->key.rid)->payload =
		    a->response_head;
	TAILQ_REMOVE(&a->call->attempts, a, entry);
	free(a);
}
