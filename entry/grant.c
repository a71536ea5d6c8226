/* Asking for grants, and giving them while this process keeps the queue. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "grant.h"
#include "hash.h"
#include "mem.h"
#include "peers.h"

/* No word from the scheduler for so long: the request chooses alone. */
#define ANSWER_NS (35 * NSEC_PER_MSEC)
#define ASK_AGAIN_NS (300 * NSEC_PER_MSEC)

struct grant_desk {
	struct dispatch *dispatch;
	struct pace pace;
	uint64_t next_key;
};

static void ask_fill(struct forward *, struct dispatch_ask *);
static void ask_send(struct forward *, const char *);
static void on_granted(
    void *, const struct dispatch_ask *, struct member_replica *);
static struct forward *find_waiting(struct entry *, const struct job_key *);
static void take_ask(struct entry *, const struct msg *);
static void take_grant(struct entry *, const struct msg *);
static void send_key(
    struct entry *, enum msg_kind, const char *, const struct job_key *);

struct grant_desk *
grant_create(struct entry *e)
{
	struct grant_desk *g;

	g = mem_alloc(sizeof(*g));
	g->dispatch = dispatch_create(&e->dir, &g->pace);
	g->next_key = hash_text(e->self.addr) ^ (e->self.incarnation << 20);
	return g;
}

void
grant_destroy(struct grant_desk *g)
{
	if (g == NULL)
		return;
	dispatch_destroy(g->dispatch);
	pace_clear(&g->pace);
	free(g);
}

uint64_t
grant_read_ns(struct entry *e, const struct request_want *w)
{
	return pace_read_ns(&e->grants->pace, w->model, w->prompt_tokens);
}

uint32_t
grant_waiting(const struct entry *e)
{
	return dispatch_waiting(e->grants->dispatch);
}

void
grant_first(struct forward *f)
{
	pace_learn(&f->e->grants->pace, f->want.model, f->want.prompt_tokens,
	    f->e->now - f->sent_at);
}

static void
ask_fill(struct forward *f, struct dispatch_ask *a)
{
	memset(a, 0, sizeof(*a));
	a->key = f->key;
	memcpy(a->service, f->service, sizeof(a->service));
	memcpy(a->model, f->want.model, sizeof(a->model));
	memcpy(a->adapter, f->want.adapter, sizeof(a->adapter));
	memcpy(a->zone, f->e->boot.zone, sizeof(a->zone));
	if (f->ntried != 0)
		memcpy(a->exclude, f->tried[f->ntried - 1], NAME_SIZE);
	a->prompt_tokens = f->want.prompt_tokens;
	a->tokens = balance_tokens(&f->want);
	a->priority = f->route.priority;
	a->target = f->arrived + f->route.target_ns;
	a->deadline = f->deadline;
}

static void
ask_send(struct forward *f, const char *scheduler)
{
	struct dispatch_ask a;
	struct msg_ask *q;
	struct msg *m;
	uint64_t now = f->e->now;

	ask_fill(f, &a);
	m = msg_create(MSG_ASK, scheduler);
	q = &m->u.ask;
	q->key = a.key;
	memcpy(q->service, a.service, sizeof(q->service));
	memcpy(q->model, a.model, sizeof(q->model));
	memcpy(q->adapter, a.adapter, sizeof(q->adapter));
	memcpy(q->zone, a.zone, sizeof(q->zone));
	memcpy(q->exclude, a.exclude, sizeof(q->exclude));
	q->prompt_tokens = a.prompt_tokens;
	q->tokens = a.tokens;
	q->priority = a.priority;
	q->target_ns = a.target > now ? a.target - now : 0;
	q->left_ns = a.deadline > now ? a.deadline - now : 0;
	peers_send(f->e->peers, m);
}

int
grant_ask(struct forward *f)
{
	struct entry *e = f->e;
	const char *scheduler = peers_scheduler(e->peers);
	struct dispatch_ask a;

	if (scheduler == NULL || f->alone)
		return 0;
	if (f->key.rid == 0) {
		f->key.rid = ++e->grants->next_key;
		f->asked_first = e->now;
		f->answered = 0;
		f->asked_at = 0;
	}
	if (strcmp(scheduler, f->scheduler) != 0) {
		snprintf(f->scheduler, sizeof(f->scheduler), "%s", scheduler);
		f->asked_at = 0;
		f->answered = 0;
		f->asked_first = e->now;
	}
	if (*scheduler == '\0') {
		ask_fill(f, &a);
		dispatch_put(e->grants->dispatch, e->now, &a);
		e->pump |= f->asked_at == 0;
		f->asked_at = e->now;
		return 1;
	}
	if (!f->answered && e->now >= f->asked_first + ANSWER_NS) {
		grant_drop(f);
		f->alone = 1;
		return 0;
	}
	if (f->asked_at == 0 || e->now >= f->asked_at + ASK_AGAIN_NS) {
		f->asked_at = e->now;
		ask_send(f, scheduler);
	}
	return 1;
}

static void
send_key(struct entry *e, enum msg_kind kind, const char *to,
    const struct job_key *key)
{
	struct msg *m = msg_create(kind, to);

	m->u.key = *key;
	peers_send(e->peers, m);
}

void
grant_drop(struct forward *f)
{
	if (f->key.rid == 0)
		return;
	if (f->scheduler[0] == '\0')
		dispatch_cancel(f->e->grants->dispatch, &f->key);
	else
		send_key(f->e, MSG_CANCEL, f->scheduler, &f->key);
	f->key.rid = 0;
}

static struct forward *
find_waiting(struct entry *e, const struct job_key *key)
{
	struct forward *f;

	TAILQ_FOREACH (f, &e->waiting, entry) {
		if (f->key.rid == key->rid)
			return f;
	}
	return NULL;
}

static void
on_granted(void *ctx, const struct dispatch_ask *a, struct member_replica *m)
{
	struct entry *e = ctx;
	struct forward *f;
	struct msg *msg;

	if (a->from[0] == '\0') {
		f = find_waiting(e, &a->key);
		if (f != NULL)
			forward_granted(f, m);
		return;
	}
	msg = msg_create(MSG_GRANT, a->from);
	msg->u.grant.key = a->key;
	memcpy(msg->u.grant.replica, m->info.id, NAME_SIZE);
	peers_send(e->peers, msg);
}

void
grant_run(struct entry *e)
{
	if (e->conf == NULL || dispatch_waiting(e->grants->dispatch) == 0)
		return;
	dispatch_run(
	    e->grants->dispatch, e->now, e->conf, UINT32_MAX, on_granted, e);
}

void
grant_told(struct entry *e, const char *from)
{
	dispatch_told(e->grants->dispatch, e->now, from);
}

static void
take_ask(struct entry *e, const struct msg *m)
{
	const struct msg_ask *q = &m->u.ask;
	struct dispatch_ask a;

	memset(&a, 0, sizeof(a));
	a.key = q->key;
	memcpy(a.from, m->from.addr, sizeof(a.from));
	memcpy(a.service, q->service, sizeof(a.service));
	memcpy(a.model, q->model, sizeof(a.model));
	memcpy(a.adapter, q->adapter, sizeof(a.adapter));
	memcpy(a.zone, q->zone, sizeof(a.zone));
	memcpy(a.exclude, q->exclude, sizeof(a.exclude));
	a.prompt_tokens = q->prompt_tokens;
	a.tokens = q->tokens;
	a.priority = q->priority;
	a.target = e->now + q->target_ns;
	a.deadline = e->now + q->left_ns;
	dispatch_put(e->grants->dispatch, e->now, &a);
	e->pump = 1;
	send_key(e, MSG_QUEUED, m->from.addr, &q->key);
}

static void
take_grant(struct entry *e, const struct msg *m)
{
	struct forward *f = find_waiting(e, &m->u.grant.key);
	struct member_replica *r;

	if (f == NULL)
		return;
	f->key.rid = 0;
	r = directory_find(&e->dir, m->u.grant.replica);
	if (r != NULL && directory_usable(r, e->now) &&
	    fleet_has_model(&r->info, f->want.model)) {
		forward_granted(f, r);
		return;
	}
	/* What is known here is newer; the next pump decides alone. */
	f->alone = 1;
	e->pump = 1;
}

void
grant_message(struct entry *e, const struct msg *m)
{
	struct forward *f;

	switch (m->kind) {
	case MSG_ASK:
		take_ask(e, m);
		break;
	case MSG_GRANT:
		take_grant(e, m);
		break;
	case MSG_CANCEL:
		dispatch_cancel(e->grants->dispatch, &m->u.key);
		break;
	case MSG_QUEUED:
		f = find_waiting(e, &m->u.key);
		if (f != NULL)
			f->answered = 1;
		break;
	default:
		break;
	}
}
