/* What backend servers say of themselves in their answers. */
#include <stdlib.h>
#include <string.h>

#include "gate_int.h"

#define HTTP_UNAVAILABLE 503

static int target_leaving(const struct target *);
static void report_notice(
    const struct target *, enum gate_notice, struct gate_actions *);
static void withdraw_unsent(
    struct gate_core *, const struct attempt *, struct gate_actions *);
static void find_reopening(const struct target *, uint64_t, uint64_t *);

static int
target_leaving(const struct target *t)
{
	return t->removed || t->leaving ||
	    notice_is_leaving(&t->notice, t->incarnation);
}

int
gate_target_open(const struct target *t, uint64_t now)
{
	return !target_leaving(t) &&
	    notice_closed_until(&t->notice, t->incarnation, now) == 0;
}

/*
 * A later incarnation than the one that was closed may be the one that said
 * it: it gets one request in that time, and more once it has answered.
 */
int
gate_target_usable(const struct target *t, uint64_t now)
{
	if (!gate_target_open(t, now))
		return 0;
	if (!notice_is_probed(&t->notice, t->incarnation, now))
		return 1;
	return t->in_flight == 0 &&
	    (now >= t->notice.closed_until ||
		t->probed_incarnation != t->incarnation);
}

/* Lowers the time of the first reopening, TIME_NEVER before any target. */
static void
find_reopening(const struct target *t, uint64_t now, uint64_t *first)
{
	uint64_t until;

	if (target_leaving(t))
		return;
	until = notice_closed_until(&t->notice, t->incarnation, now);
	if (until < *first)
		*first = until;
}

uint64_t
gate_reopen_at(const struct gate_core *g, uint64_t now, const struct call *call)
{
	uint64_t first = TIME_NEVER;
	struct target *t, *next;
	struct service *s;
	uint32_t i;

	if (call->req.service[0] != '\0') {
		HASH_FIND_STR(g->services, call->req.service, s);
		for (i = 0; s != NULL && i < s->info.nbackends; i++)
			find_reopening(s->targets[i], now, &first);
	} else {
		HASH_ITER (hh, g->targets, t, next) {
			if (t->cell != NULL &&
			    gate_target_has_model(
				t, gate_request_model(&call->req)))
				find_reopening(t, now, &first);
		}
	}
	return first == TIME_NEVER ? 0 : first;
}

static void
report_notice(
    const struct target *t, enum gate_notice notice, struct gate_actions *out)
{
	struct gate_action *act = gate_add_action(out, GATE_REPORT_NOTICE, 0);

	memcpy(act->target, t->name, sizeof(act->target));
	act->notice = notice;
	act->reopen_at = t->notice.closed_until;
	act->limit_per_s = t->notice.limit_per_s;
}

/* The time is reported for a later incarnation too, which may have said it. */
int
gate_notice_fill(
    const struct target *t, uint64_t now, struct msg_report_item *it)
{
	const struct notice *n = &t->notice;

	it->incarnation = n->started_ms;
	it->leaving = notice_is_leaving(n, t->incarnation);
	it->closed_ns = n->closed_until > now ? n->closed_until - now : 0;
	it->limit_per_1000_s =
	    (uint64_t)(n->limit_per_s * NOTICE_LIMIT_SCALE + 0.5);
	it->limit_ago_ns = n->limit_at != 0 ? now - n->limit_at : TIME_NEVER;
	return it->leaving || it->closed_ns != 0 || n->limit_at != 0;
}

void
gate_notice_send(const struct target *t, uint64_t now, struct gate_actions *out)
{
	struct msg_report_item *it;
	struct msg *m;

	if (t->cell == NULL || t->cell->owner.addr[0] == '\0')
		return;
	m = msg_create(MSG_REPORT, t->cell->owner.addr);
	it = &m->u.report.items[m->u.report.n++];
	memcpy(it->replica, t->name, sizeof(it->replica));
	if (gate_notice_fill(t, now, it))
		gate_send_msg(out, m);
	else
		msg_destroy(m);
}

/* Requests whose connections are not established yet go elsewhere. */
static void
withdraw_unsent(
    struct gate_core *g, const struct attempt *by, struct gate_actions *out)
{
	struct attempt *a, *next;

	HASH_ITER (hh, g->fetches, a, next) {
		if (a == by || a->target != by->target ||
		    a->phase != PHASE_CONNECTING)
			continue;
		gate_add_action(out, GATE_WITHDRAW_FETCH, a->key.rid)
		    ->fetch_id = a->fetch_id;
	}
}

/* Handles the head of an answer. */
void
gate_notice_apply(struct gate_core *g, uint64_t now, struct attempt *a,
    const struct gate_fetch_event *f, struct gate_actions *out)
{
	struct target *t = a->target;
	uint64_t by = a->incarnation != 0 ? a->incarnation : t->incarnation;
	int news = 0;

	if (f->leaving && notice_leaving(&t->notice, by, now)) {
		g->stats.leaving_notices++;
		report_notice(t, GATE_SAYS_LEAVING, out);
		news = 1;
	}
	if (f->closed_ns != 0 &&
	    notice_closed(&t->notice, by, now, f->closed_ns)) {
		g->stats.closed_notices++;
		report_notice(t, GATE_SAYS_CLOSED, out);
		news = 1;
	}
	if (!f->limit_is_bad &&
	    notice_limit(&t->notice, by, now, f->limit_per_s)) {
		report_notice(t, GATE_SAYS_LIMIT, out);
		gate_notice_send(t, now, out);
	}
	if (f->status != HTTP_UNAVAILABLE)
		notice_answered(&t->notice, by, a->started_at);
	if (!news)
		return;
	gate_notice_send(t, now, out);
	withdraw_unsent(g, a, out);
}

void
gate_notice_tick(struct gate_core *g, uint64_t now, struct gate_actions *out)
{
	struct target *t, *next;

	HASH_ITER (hh, g->targets, t, next) {
		if (notice_reopened(&t->notice, now))
			report_notice(t, GATE_REOPENED, out);
		/* Without an incarnation a restart cannot be seen. */
		if (t->notice.leaving_at != 0 && t->notice.started_ms == 0 &&
		    now >= t->notice.leaving_at + NOTICE_KEPT_NS)
			t->notice.leaving_at = 0;
	}
}
