#include <stdlib.h>
#include <string.h>

#include "forward_int.h"
#include "mem.h"
#include "metric.h"
#include "peers.h"
#include "quota_io.h"
#include "session.h"
#include "shares.h"

/*
 * A request waits for an answer for this part of its time, and this long, at
 * most.  Another process is the pool within that time if the pool is lost.
 */
#define ANSWER_WAIT_SHARE 4
#define ANSWER_WAIT_MAX_NS (1 * NSEC_PER_SEC)
/* Part of its target latency for which it waits for tokens that come later. */
#define TOKENS_WAIT_SHARE 5
/* Interval at which the candidates for pools are ranked. */
#define RANK_NS (500 * NSEC_PER_MSEC)
/* Accounts in the metrics: those with most refusals. */
#define METRIC_ACCOUNTS_MAX 32

/* Priorities of routes are below this. */
#define ROUTE_PRIORITIES 256U
#define ACCOUNT_PRIORITY_MAX (UINT32_MAX / ROUTE_PRIORITIES - 1)
/* Weight in the queue of an account without a quota, as a rate. */
#define UNLIMITED_PER_S 100000.0
struct quota_io {
	struct entry *e;
	struct quota *quota;
	struct shares *shares;
	uint64_t ranked_at; /* when the candidates for pools were chosen */
	uint64_t last_id;
	uint64_t bad_keys; /* requests without a key of an account */
};

static void send_loan(void *, const char *, const struct share_loan *);
static void send_ack(void *, const char *, const struct share_ack *);
static void choose_candidates(struct quota_io *);
static uint32_t priority_of(uint32_t, uint32_t);
static void send_request(void *, const char *, const struct quota_request *);
static void send_answer(void *, const char *, const struct quota_answer *);
static void on_answered(void *, const struct quota_answer *);
static uint64_t tokens_of(const struct forward *);
static struct forward *forward_with_quota_id(struct entry *, uint64_t);
static uint64_t answer_wait_until(const struct forward *);
static void ask(struct forward *);
static void refuse(struct forward *, uint64_t);
static void write_account(void *, const struct quota_stats *);

static const struct shares_ops shares_io_ops = {
	.send_loan = send_loan,
	.send_ack = send_ack,
};

static const struct quota_ops quota_io_ops = {
	.send_request = send_request,
	.send_answer = send_answer,
	.answered = on_answered,
};

struct quota_io *
quota_io_create(struct entry *e)
{
	struct quota_io *q;

	q = mem_alloc(sizeof(*q));
	q->e = e;
	q->quota =
	    quota_create(e->self.addr, e->boot.quota_slack, &quota_io_ops, q);
	q->shares = shares_create(&e->self, e->now, &shares_io_ops, q);
	return q;
}

void
quota_io_destroy(struct quota_io *q)
{
	if (q == NULL)
		return;
	quota_destroy(q->quota);
	shares_destroy(q->shares);
	free(q);
}

void
quota_io_config_applied(struct quota_io *q)
{
	const struct fleet_conf *c = q->e->conf;

	quota_set_accounts(q->quota, q->e->now, c->accounts, c->naccounts);
}

static void
send_loan(void *ctx, const char *to, const struct share_loan *l)
{
	struct quota_io *q = ctx;
	struct msg *m = msg_create(MSG_SHARE_LOAN, to);

	m->u.share_loan = *l;
	peers_send(q->e->peers, m);
}

static void
send_ack(void *ctx, const char *to, const struct share_ack *a)
{
	struct quota_io *q = ctx;
	struct msg *m = msg_create(MSG_SHARE_ACK, to);

	m->u.share_ack = *a;
	peers_send(q->e->peers, m);
}

static void
send_request(void *ctx, const char *to, const struct quota_request *r)
{
	struct quota_io *q = ctx;
	struct msg *m = msg_create(MSG_QUOTA_REQUEST, to);

	m->u.quota_request = *r;
	peers_send(q->e->peers, m);
}

static void
send_answer(void *ctx, const char *to, const struct quota_answer *a)
{
	struct quota_io *q = ctx;
	struct msg *m = msg_create(MSG_QUOTA_ANSWER, to);

	m->u.quota_answer = *a;
	peers_send(q->e->peers, m);
}

void
quota_io_receive(struct quota_io *q, const struct msg *m)
{
	uint64_t now = q->e->now;
	const char *from = m->from.addr;

	switch (m->kind) {
	case MSG_SHARE_LOAN:
		shares_lent(q->shares, now, from, &m->u.share_loan);
		break;
	case MSG_SHARE_ACK:
		shares_acked(q->shares, now, from, &m->u.share_ack);
		break;
	case MSG_QUOTA_REQUEST:
		quota_requested(q->quota, now, from, &m->u.quota_request);
		break;
	default:
		quota_answered(q->quota, now, &m->u.quota_answer);
		break;
	}
}

/* All processes rank the same list and choose the same candidates. */
static void
choose_candidates(struct quota_io *q)
{
	struct entry *e = q->e;
	size_t n = peers_count(e->peers) + 1;
	struct share_candidate *all;

	if (e->now < q->ranked_at + RANK_NS)
		return;
	q->ranked_at = e->now;
	all = mem_alloc(n * sizeof(*all));
	n = peers_fill_candidates(e->peers, all, n);
	shares_rank(all, n);
	shares_set_candidates(q->shares, all, n);
	free(all);
}

/* Without the list of processes the size of a share is unknown. */
void
quota_io_tick(struct quota_io *q)
{
	struct entry *e = q->e;
	uint32_t i;

	if (e->conf == NULL || !e->conf->has_accounts ||
	    !session_has_read_peers(e->session))
		return;
	choose_candidates(q);
	shares_set_processes(q->shares, e->nprocesses);
	if (e->stopping)
		shares_close(q->shares);
	shares_tick(q->shares, e->now);
	for (i = 0; i < SHARES_SLOTS; i++)
		quota_set_pool(q->quota, i, shares_pool(q->shares, i));
	quota_set_part(q->quota, e->now, shares_part(q->shares, e->now));
}

/* Larger priorities than the queue tells apart are equal, and last. */
static uint32_t
priority_of(uint32_t account, uint32_t route)
{
	if (account > ACCOUNT_PRIORITY_MAX)
		account = ACCOUNT_PRIORITY_MAX;
	if (route >= ROUTE_PRIORITIES)
		route = ROUTE_PRIORITIES - 1;
	return account * ROUTE_PRIORITIES + route;
}

int
quota_io_identify(struct forward *f)
{
	const struct fleet_conf *c = f->e->conf;
	const struct fleet_account *a;
	const char *key;

	if (!c->has_accounts || f->route.is_public)
		return 0;
	key = fields_find_key(caller_head(f->caller));
	a = key == NULL ? NULL : fleet_find_account(c, key, strlen(key));
	if (a == NULL) {
		f->e->quota_io->bad_keys++;
		return -1;
	}
	memcpy(f->account, a->name, sizeof(f->account));
	f->account_name = mem_strdup(a->full_name);
	/* Among callers of equal accounts, routes keep their order. */
	if (a->has_priority)
		f->route.priority = priority_of(a->priority, f->route.priority);
	f->quota_tokens = 1;
	if (a->counts_tokens)
		f->quota_tokens =
		    f->params.counts_tokens ? tokens_of(f) : a->default_tokens;
	return 0;
}

static uint64_t
tokens_of(const struct forward *f)
{
	return (uint64_t)f->params.prompt_tokens + f->params.max_output_tokens;
}

static struct forward *
forward_with_quota_id(struct entry *e, uint64_t id)
{
	struct forward *f;

	TAILQ_FOREACH (f, &e->requests, entry) {
		if (f->quota_id == id && f->quota_state == TOKENS_ASKED)
			return f;
	}
	return NULL;
}

uint64_t
quota_io_cost(const struct forward *f)
{
	double per_s = quota_rate(f->e->quota_io->quota, f->account);

	if (f->account[0] == '\0')
		return 0;
	if (per_s <= 0.0)
		per_s = UNLIMITED_PER_S;
	return (
	    uint64_t)((double)f->quota_tokens / per_s * (double)NSEC_PER_SEC);
}

int
quota_io_awaits(const struct forward *f)
{
	return f->quota_state == TOKENS_ASKED ||
	    f->quota_state == TOKENS_COMING;
}

static uint64_t
answer_wait_until(const struct forward *f)
{
	uint64_t wait_ns = f->deadline > f->arrived
	    ? (f->deadline - f->arrived) / ANSWER_WAIT_SHARE
	    : 0;

	return f->arrived +
	    (wait_ns < ANSWER_WAIT_MAX_NS ? wait_ns : ANSWER_WAIT_MAX_NS);
}

int
quota_io_admit(struct forward *f)
{
	struct quota_io *q = f->e->quota_io;

	if (f->account[0] == '\0' || !quota_is_limited(q->quota, f->account))
		return 1;
	if (quota_take(q->quota, f->e->now, f->account, f->quota_tokens,
		&f->quota_asked_at)) {
		f->quota_state = TOKENS_TAKEN;
		quota_count(
		    q->quota, f->e->now, f->account, f->quota_tokens, 1);
		return 1;
	}
	f->quota_id = ++q->last_id;
	ask(f);
	return 0;
}

/* The answer may come at once, and the request may be over then. */
static void
ask(struct forward *f)
{
	struct quota_io *q = f->e->quota_io;
	struct quota_request r = { 0 };
	uint64_t until = answer_wait_until(f);

	f->quota_state = TOKENS_ASKED;
	f->quota_asked_at = f->e->now;
	expiry_set(f->expiry,
	    f->e->now + QUOTA_REPEAT_NS < until ? f->e->now + QUOTA_REPEAT_NS
						: until);
	r.id = f->quota_id;
	memcpy(r.account, f->account, sizeof(r.account));
	r.tokens = f->quota_tokens;
	r.max_wait_ns = f->route.target_latency_ns / TOKENS_WAIT_SHARE;
	if (r.max_wait_ns > QUOTA_WAIT_MAX_NS)
		r.max_wait_ns = QUOTA_WAIT_MAX_NS;
	if (quota_ask(q->quota, f->e->now, &r, f->quota_tries++) == -1 &&
	    f->e->now >= until)
		forward_refuse(
		    f, "no pool of quotas is known yet", RETRY_AFTER_NS);
}

static void
refuse(struct forward *f, uint64_t wait_ns)
{
	struct quota_io *q = f->e->quota_io;

	if (quota_count(q->quota, f->e->now, f->account, 0, 0))
		log_event(LOG_ACCOUNT_LIMITED, NULL,
		    "account=%s tokens=%llu retry_after_ms=%llu", f->account,
		    (unsigned long long)f->quota_tokens,
		    (unsigned long long)(wait_ns / NSEC_PER_MSEC));
	f->quota_state = TOKENS_NONE;
	forward_refuse_quota(f, wait_ns == 0 ? RETRY_AFTER_NS : wait_ns);
}

static void
on_answered(void *ctx, const struct quota_answer *a)
{
	struct quota_io *q = ctx;
	struct forward *f = forward_with_quota_id(q->e, a->id);

	if (f == NULL) {
		quota_keep(q->quota, q->e->now, a);
		return;
	}
	if (!a->granted && f->quota_tries < SHARES_SLOTS) {
		ask(f);
		return;
	}
	if (!a->granted) {
		refuse(f, a->wait_ns);
		return;
	}
	f->quota_asked_at = a->asked_at;
	quota_count(q->quota, q->e->now, f->account, f->quota_tokens, 1);
	if (a->wait_ns != 0) {
		f->quota_state = TOKENS_COMING;
		expiry_set(f->expiry, q->e->now + a->wait_ns);
		return;
	}
	f->quota_state = TOKENS_TAKEN;
	forward_begin(f);
}

void
quota_io_waited(struct forward *f)
{
	if (f->quota_state == TOKENS_COMING) {
		f->quota_state = TOKENS_TAKEN;
		forward_begin(f);
	} else if (f->e->now < answer_wait_until(f)) {
		ask(f);
	} else {
		forward_refuse(
		    f, "the pool of quotas does not answer", RETRY_AFTER_NS);
	}
}

void
quota_io_forget(struct forward *f, int ran)
{
	if (!ran && f->quota_state == TOKENS_TAKEN)
		quota_give_back(f->e->quota_io->quota, f->e->now, f->account,
		    f->quota_tokens, f->quota_asked_at);
	f->quota_state = TOKENS_NONE;
}

static void
write_account(void *ctx, const struct quota_stats *t)
{
	FILE *f = ctx;

	fprintf(f,
	    "spindle_entry_account_tokens_total{account=\"%s\"} %llu\n"
	    "spindle_entry_account_requests_total{account=\"%s\"} %llu\n"
	    "spindle_entry_account_refused_total{account=\"%s\"} %llu\n",
	    t->account, (unsigned long long)t->granted_tokens, t->account,
	    (unsigned long long)t->granted, t->account,
	    (unsigned long long)t->refused);
}

void
quota_io_write_metrics(const struct quota_io *q, FILE *f)
{
	metric_write(f, "spindle_entry_bad_keys_total", "counter",
	    "Requests without a key of an account.", q->bad_keys);
	fprintf(f,
	    "# HELP spindle_entry_quota_share Part of all quotas that this "
	    "process's pool gives out.\n"
	    "# TYPE spindle_entry_quota_share gauge\n"
	    "spindle_entry_quota_share %.4f\n",
	    shares_part(q->shares, q->e->now));
	fprintf(f,
	    "# HELP spindle_entry_account_tokens_total Tokens of the quota "
	    "that requests took.\n"
	    "# TYPE spindle_entry_account_tokens_total counter\n"
	    "# HELP spindle_entry_account_requests_total Requests within the "
	    "quota.\n"
	    "# TYPE spindle_entry_account_requests_total counter\n"
	    "# HELP spindle_entry_account_refused_total Requests beyond the "
	    "quota.\n"
	    "# TYPE spindle_entry_account_refused_total counter\n");
	quota_for_each(q->quota, METRIC_ACCOUNTS_MAX, write_account, f);
}
