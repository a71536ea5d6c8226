/* Messages between processes of spindle-entry. */
#include "wire_int.h"

static void wire_evidence(struct wire_cursor *, struct poison_evidence *);

void
wire_front(struct wire_cursor *w, struct msg *m)
{
	struct msg_front *f = &m->u.front;
	uint32_t i;

	wire_str(w, f->vm, sizeof(f->vm));
	wire_str(w, f->zone, sizeof(f->zone));
	wire_count(w, &f->scope, FRONT__MAX);
	wire_u64(w, &f->version);
	wire_u64(w, &f->list_revision);
	wire_u64(w, &f->list_digest);
	wire_u32(w, &f->stopping);
	wire_u32(w, &f->weight);
	f->work = wire_list(w, &f->nwork, sizeof(*f->work), f->work);
	for (i = 0; i < f->nwork; i++) {
		wire_str(w, f->work[i].replica, sizeof(f->work[i].replica));
		wire_u32(w, &f->work[i].running);
		wire_u32(w, &f->work[i].unread_us);
		wire_u32(w, &f->work[i].recent_us);
		wire_u32(w, &f->work[i].tokens);
	}
	f->demand = wire_list(w, &f->ndemand, sizeof(*f->demand), f->demand);
	for (i = 0; i < f->ndemand; i++) {
		wire_str(w, f->demand[i].wanted, sizeof(f->demand[i].wanted));
		wire_u64(w, &f->demand[i].arrivals);
		wire_u32(w, &f->demand[i].running);
		wire_u32(w, &f->demand[i].waiting);
	}
	wire_str(w, f->pool, sizeof(f->pool));
	wire_u32(w, &f->shares);
	f->limits = wire_list(w, &f->nlimits, sizeof(*f->limits), f->limits);
	for (i = 0; i < f->nlimits; i++) {
		wire_str(w, f->limits[i].replica, sizeof(f->limits[i].replica));
		wire_u64(w, &f->limits[i].started_ms);
		wire_u64(w, &f->limits[i].per_1000_s);
		wire_u64(w, &f->limits[i].ago_ns);
	}
	wire_u32(w, &f->has_evidence);
	f->poison = wire_list(w, &f->npoison, sizeof(*f->poison), f->poison);
	for (i = 0; i < f->npoison; i++)
		wire_evidence(w, &f->poison[i]);
}

static void
wire_evidence(struct wire_cursor *w, struct poison_evidence *e)
{
	uint32_t i;

	wire_u64(w, &e->part);
	wire_u64(w, &e->answered_ago_ms);
	wire_count(w, &e->ncrashes, POISON_CRASHES_MAX + 1);
	for (i = 0; i < e->ncrashes && !w->malformed; i++) {
		wire_u64(w, &e->crashes[i].replica);
		wire_u64(w, &e->crashes[i].ago_ms);
	}
}

void
wire_held(struct wire_cursor *w, struct msg *m)
{
	struct msg_held *h = &m->u.held;
	uint32_t i;

	wire_str(w, h->holder, sizeof(h->holder));
	wire_u64(w, &h->fence);
	h->items = wire_list(w, &h->n, sizeof(*h->items), h->items);
	for (i = 0; i < h->n; i++) {
		wire_str(w, h->items[i].replica, sizeof(h->items[i].replica));
		wire_str(w, h->items[i].name, sizeof(h->items[i].name));
		wire_u64(w, &h->items[i].replica_start);
	}
}

void
wire_loads(struct wire_cursor *w, struct msg *m)
{
	struct loader_loads *l = &m->u.loads;
	uint32_t i;

	wire_u64(w, &l->fence);
	wire_u64(w, &l->unknown_ns);
	wire_u32(w, &l->open);
	l->loads = wire_list(w, &l->n, sizeof(*l->loads), l->loads);
	for (i = 0; i < l->n; i++) {
		wire_u64(w, &l->loads[i].left_ns);
		wire_u32(w, &l->loads[i].lost);
	}
}

void
wire_want(struct wire_cursor *w, struct msg *m)
{
	wire_str(w, m->u.want.wanted, sizeof(m->u.want.wanted));
}

void
wire_permit_request(struct wire_cursor *w, struct msg *m)
{
	struct permit_request *r = &m->u.permit_request;
	uint32_t i;

	wire_str(w, r->origin, sizeof(r->origin));
	wire_u64(w, &r->id);
	wire_u64(w, &r->asked_at);
	wire_u64(w, &r->waited_ns);
	wire_u64(w, &r->target_ns);
	wire_u64(w, &r->max_wait_ns);
	wire_u32(w, &r->priority);
	wire_u32(w, &r->has_other);
	wire_count(w, &r->nreplicas, PERMIT_CANDIDATES_MAX + 1);
	for (i = 0; i < r->nreplicas; i++)
		wire_str(w, r->replicas[i], sizeof(r->replicas[i]));
}

void
wire_permit_answer(struct wire_cursor *w, struct msg *m)
{
	struct permit_answer *a = &m->u.permit_answer;

	wire_str(w, a->origin, sizeof(a->origin));
	wire_u64(w, &a->id);
	wire_u64(w, &a->asked_at);
	wire_str(w, a->replica, sizeof(a->replica));
	wire_u64(w, &a->wait_ns);
}

void
wire_quota_request(struct wire_cursor *w, struct msg *m)
{
	struct quota_request *r = &m->u.quota_request;

	wire_str(w, r->origin, sizeof(r->origin));
	wire_u64(w, &r->id);
	wire_u64(w, &r->asked_at);
	wire_str(w, r->account, sizeof(r->account));
	wire_u64(w, &r->tokens);
	wire_u64(w, &r->spare_tokens);
	wire_u64(w, &r->max_wait_ns);
}

void
wire_quota_answer(struct wire_cursor *w, struct msg *m)
{
	struct quota_answer *a = &m->u.quota_answer;

	wire_str(w, a->origin, sizeof(a->origin));
	wire_u64(w, &a->id);
	wire_u64(w, &a->asked_at);
	wire_str(w, a->account, sizeof(a->account));
	wire_u64(w, &a->tokens);
	wire_count(w, &a->granted, 2);
	wire_u64(w, &a->spare_tokens);
	wire_u64(w, &a->wait_ns);
}

void
wire_share_loan(struct wire_cursor *w, struct msg *m)
{
	struct share_loan *l = &m->u.share_loan;

	wire_u64(w, &l->number);
	wire_u64(w, &l->incarnation);
	wire_u64(w, &l->pool_time);
	wire_count(w, &l->slots, SHARES_SLOTS + 1);
	wire_u32(w, &l->processes);
}

void
wire_share_ack(struct wire_cursor *w, struct msg *m)
{
	struct share_ack *a = &m->u.share_ack;

	wire_u64(w, &a->number);
	wire_u64(w, &a->incarnation);
	wire_u64(w, &a->pool_time);
	wire_count(w, &a->closing, 2);
}
