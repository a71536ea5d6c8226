#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward_int.h"
#include "mem.h"
#include "peers.h"
#include "permit_io.h"
#include "poison_io.h"

/* A request for a permit is repeated, in case it is lost. */
#define REPEAT_MIN_NS (150 * NSEC_PER_MSEC)
/* A pool that has none left is not asked for this time at most. */
#define HOLD_DELAY_MAX_NS (1 * NSEC_PER_SEC)
/* The end of a limit is told for so long; each answer tells it anew. */
#define END_TOLD_NS (10 * NSEC_PER_SEC)
/* A request that has another replica waits for a pool's answer this long. */
#define HOLD_NS (20 * NSEC_PER_MSEC)

struct permit_io {
	struct entry *e;
	struct permits *permits;
	uint64_t last_id;  /* of a request for a permit */
	uint32_t nlimited; /* replicas with a limit */
};

static void send_request(void *, const char *, const struct permit_request *);
static void send_answer(void *, const char *, const struct permit_answer *);
static void on_answered(void *, const struct permit_answer *, uint64_t);
static uint32_t fill_candidates(
    struct permit_io *, const struct forward *, struct permit_request *);
static void ask(struct permit_io *, struct forward *, struct permit_request *);
static void delay_holds(struct permit_io *, const struct forward *, uint64_t);
static struct forward *forward_with_permit_id(struct entry *, uint64_t);

static const struct permits_ops permit_io_ops = {
	.send_request = send_request,
	.send_answer = send_answer,
	.answered = on_answered,
};

struct permit_io *
permit_io_create(struct entry *e)
{
	struct permit_io *p;

	p = mem_alloc(sizeof(*p));
	p->e = e;
	p->permits =
	    permits_create(&e->dir, e->self.addr, e->now, &permit_io_ops, p);
	return p;
}

void
permit_io_destroy(struct permit_io *p)
{
	if (p == NULL)
		return;
	permits_destroy(p->permits);
	free(p);
}

static void
send_request(void *ctx, const char *to, const struct permit_request *r)
{
	struct permit_io *p = ctx;
	struct msg *m = msg_create(MSG_PERMIT_REQUEST, to);

	m->u.permit_request = *r;
	peers_send(p->e->peers, m);
}

static void
send_answer(void *ctx, const char *to, const struct permit_answer *a)
{
	struct permit_io *p = ctx;
	struct msg *m = msg_create(MSG_PERMIT_ANSWER, to);

	m->u.permit_answer = *a;
	peers_send(p->e->peers, m);
}

static struct forward *
forward_with_permit_id(struct entry *e, uint64_t id)
{
	struct forward *f;

	TAILQ_FOREACH (f, &e->requests, entry) {
		if (f->permit_id == id)
			return f;
	}
	return NULL;
}

/* A permit serves any request that waits, the most urgent first. */
static void
on_answered(void *ctx, const struct permit_answer *a, uint64_t until)
{
	struct permit_io *p = ctx;
	struct entry *e = p->e;
	struct directory_replica *m;
	struct forward *f;

	if (a->replica[0] != '\0') {
		e->counts.permits++;
		f = forward_with_permit_id(e, a->id);
		if (f != NULL)
			f->permit_wanted = 0;
		m = directory_find(&e->dir, a->replica);
		if (m != NULL)
			directory_add_permit(m, e->now, until);
		e->retry_waiting = 1;
		return;
	}
	f = forward_with_permit_id(e, a->id);
	if (f == NULL || f->waiting.group == NULL)
		return;
	if (f->hold_until > e->now) {
		f->hold_until = e->now;
		f->permit_wanted = 0;
		delay_holds(p, f, e->now + a->wait_ns);
		e->retry_waiting = 1;
		return;
	}
	f->permit_at = e->now + a->wait_ns;
	f->permit_ask_at = e->now + a->wait_ns / 2;
	if (f->permit_ask_at < e->now + REPEAT_MIN_NS)
		f->permit_ask_at = e->now + REPEAT_MIN_NS;
	if (f->permit_ask_at > e->now + PERMIT_REPEAT_NS)
		f->permit_ask_at = e->now + PERMIT_REPEAT_NS;
	if (f->runs == 0 && !f->response_started)
		forward_waited(f);
}

static uint32_t
fill_candidates(
    struct permit_io *p, const struct forward *f, struct permit_request *r)
{
	struct balance_request w;

	r->nreplicas = 0;
	if (forward_fill_balance(f, &w) == 0 &&
	    poison_io_care(p->e->poison_io, &f->params, &w.affinity_key) !=
		POISON_WAIT)
		r->nreplicas = balance_limited(&p->e->dir, p->e->now, &w,
		    r->replicas, PERMIT_CANDIDATES_MAX);
	return r->nreplicas;
}

static void
ask(struct permit_io *p, struct forward *f, struct permit_request *r)
{
	struct entry *e = p->e;
	uint64_t target;

	if (f->permit_id == 0)
		f->permit_id = ++p->last_id;
	f->permit_wanted = 1;
	f->permit_ask_at = e->now + REPEAT_MIN_NS;
	r->id = f->permit_id;
	r->priority = f->route.priority;
	r->waited_ns = e->now - f->arrived;
	target =
	    caller_request_started_at(f->caller) + f->route.target_latency_ns;
	r->target_ns = target > e->now ? target - e->now : 0;
	e->counts.permit_requests++;
	permits_ask(p->permits, e->now, r);
}

void
permit_io_ask(struct permit_io *p, struct forward *f)
{
	struct permit_request r = { 0 };

	if (p->e->now < f->permit_ask_at || p->e->now < f->hold_until ||
	    fill_candidates(p, f, &r) == 0)
		return;
	if (f->wait_until > p->e->now)
		r.max_wait_ns = f->wait_until - p->e->now;
	ask(p, f, &r);
}

/* The pool has no permits left: other requests do not wait for one. */
static void
delay_holds(struct permit_io *p, const struct forward *f, uint64_t until)
{
	struct permit_request r = { 0 };
	struct directory_replica *m;
	uint32_t i;

	if (until > p->e->now + HOLD_DELAY_MAX_NS)
		until = p->e->now + HOLD_DELAY_MAX_NS;
	(void)fill_candidates(p, f, &r);
	for (i = 0; i < r.nreplicas; i++) {
		m = directory_find(&p->e->dir, r.replicas[i]);
		if (m != NULL && until > m->no_permit_until)
			m->no_permit_until = until;
	}
}

int
permit_io_holds(
    struct permit_io *p, struct forward *f, const struct directory_replica *m)
{
	struct entry *e = p->e;
	struct permit_request r = { 0 };
	struct balance_request w;

	if (f->hold_until != 0 || f->waiting.group != NULL)
		return e->now < f->hold_until;
	if (p->nlimited == 0 || directory_limit(m) != 0.0 || f->suspect != 0 ||
	    f->attempts_made != 0 || forward_fill_balance(f, &w) == -1 ||
	    !balance_limited_is_better(&e->dir, e->now, &w, m) ||
	    fill_candidates(p, f, &r) == 0)
		return 0;
	f->hold_until = e->now + HOLD_NS;
	forward_hold(f);
	delay_holds(p, f, f->hold_until);
	r.has_other = 1;
	ask(p, f, &r);
	return 1;
}

void
permit_io_forget(struct permit_io *p, struct forward *f)
{
	struct permit_request r = { 0 };

	if (!f->permit_wanted)
		return;
	f->permit_wanted = 0;
	r.id = f->permit_id;
	permits_ask(p->permits, p->e->now, &r);
}

void
permit_io_tick(struct permit_io *p)
{
	struct entry *e = p->e;
	const struct directory_replica *m;
	struct forward *f, *next;
	int lends_on;
	const char *pool = peers_permit_pool(e->peers, &lends_on);

	permits_set_processes(p->permits, e->nprocesses);
	permits_set_pool(p->permits, e->now, pool, lends_on);
	permits_tick(p->permits, e->now);
	p->nlimited = 0;
	for (m = e->dir.replicas; m != NULL; m = m->hh.next)
		p->nlimited += directory_limit(m) != 0.0;
	if (p->nlimited == 0)
		return;
	for (f = TAILQ_FIRST(&e->requests); f != NULL; f = next) {
		next = TAILQ_NEXT(f, entry);
		if (f->waiting.group != NULL)
			permit_io_ask(p, f);
	}
}

double
permit_io_available(const struct permit_io *p)
{
	return permits_available(p->permits, p->e->now);
}

void
permit_io_receive(struct permit_io *p, const struct msg *m)
{
	if (m->kind == MSG_PERMIT_REQUEST)
		permits_requested(
		    p->permits, p->e->now, m->from.addr, &m->u.permit_request);
	else
		permits_answered(p->permits, p->e->now, &m->u.permit_answer);
}

void
permit_io_fill(struct permit_io *p, struct msg_front *f, int with_limits)
{
	const struct directory *d = &p->e->dir;
	const struct directory_replica *r;
	struct msg_limit *l;

	snprintf(f->pool, sizeof(f->pool), "%s", permits_pool(p->permits));
	f->shares = permits_shares(p->permits, p->e->now);
	permits_reported(p->permits, p->e->now);
	if (!with_limits)
		return;
	f->limits =
	    mem_alloc((HASH_COUNT(d->replicas) + 1) * sizeof(*f->limits));
	for (r = d->replicas; r != NULL && f->nlimits < MSG_LIST_MAX - 1;
	     r = r->hh.next) {
		if (r->notice.limit_at == 0 ||
		    (r->notice.limit_per_s == 0.0 &&
			p->e->now > r->notice.limit_at + END_TOLD_NS))
			continue;
		l = &f->limits[f->nlimits++];
		memcpy(l->replica, r->info.id, NAME_SIZE);
		l->started_ms = r->notice.started_ms;
		l->per_1000_s =
		    (uint64_t)(r->notice.limit_per_s * NOTICE_LIMIT_SCALE +
			0.5);
		l->ago_ns = p->e->now - r->notice.limit_at;
	}
}

void
permit_io_apply(
    struct permit_io *p, const char *addr, const struct msg_front *f)
{
	struct entry *e = p->e;
	struct directory_replica *m;
	const struct msg_limit *l;
	uint32_t i;

	permits_borrow(p->permits, e->now, addr,
	    strcmp(f->pool, e->self.addr) == 0 ? f->shares : 0);
	for (i = 0; i < f->nlimits; i++) {
		l = &f->limits[i];
		m = directory_find(&e->dir, l->replica);
		if (m != NULL && l->ago_ns < e->now)
			replica_notice_limit(e, m, l->started_ms,
			    e->now - l->ago_ns,
			    (double)l->per_1000_s / NOTICE_LIMIT_SCALE, addr);
	}
}
