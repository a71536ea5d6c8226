#include "quota_world.h"

static const double kRates[] = { 0.0, 300.0, 2700.0, 40000.0, 340000.0 };
static const uint64_t kSizes[] = { 200, 700, 1600, 4800 };
static const uint64_t kAnswerWait = NSEC_PER_SEC;

static void
send_request(void *ctx, const char *to, const quota_request *r)
{
	auto *p = static_cast<Process *>(ctx);
	msg *m = msg_create(MSG_QUOTA_REQUEST, to);

	m->u.quota_request = *r;
	p->world->send(*p, m);
}

static void
send_answer(void *ctx, const char *to, const quota_answer *a)
{
	auto *p = static_cast<Process *>(ctx);
	msg *m = msg_create(MSG_QUOTA_ANSWER, to);

	m->u.quota_answer = *a;
	p->world->send(*p, m);
}

static void
send_loan(void *ctx, const char *to, const share_loan *l)
{
	auto *p = static_cast<Process *>(ctx);
	msg *m = msg_create(MSG_SHARE_LOAN, to);

	m->u.share_loan = *l;
	p->world->send(*p, m);
}

static void
send_ack(void *ctx, const char *to, const share_ack *a)
{
	auto *p = static_cast<Process *>(ctx);
	msg *m = msg_create(MSG_SHARE_ACK, to);

	m->u.share_ack = *a;
	p->world->send(*p, m);
}

static void
on_answered(void *ctx, const quota_answer *a)
{
	auto *p = static_cast<Process *>(ctx);

	static_cast<QuotaWorld *>(p->world)->answered(*p, a);
}

static const shares_ops loan_ops = { send_loan, send_ack };
static const quota_ops ops = { send_request, send_answer, on_answered };

QuotaWorld::QuotaWorld(uint64_t seed) : World(seed)
{
	for (int k = 0; k < kAccounts; k++) {
		double rate = kRates[(seed + (uint64_t)k) % 4 + 1];
		double burst = seed % 3 == 0 ? 0.2 * rate : rate;

		customers[k].limits.push_back({ now, rate, burst });

		for (auto &q : quotas) {
			fleet_account &a = q.accounts[k];

			memset(&a, 0, sizeof(a));
			snprintf(a.name, sizeof(a.name), "a%d", k);
			a.rate_per_s = rate;
			a.burst = burst;
		}
	}
	for (auto &p : processes)
		start_quota(p);
	ready = true;
	advance(2 * NSEC_PER_SEC);
}

QuotaWorld::~QuotaWorld()
{
	for (auto &q : quotas) {
		quota_destroy(q.state);
		shares_destroy(q.loans);
	}
}

void
QuotaWorld::start_quota(Process &p)
{
	QuotaProcess &q = quotas[p.index];
	share_candidate all[kProcesses] = {};
	node_id id = {};

	snprintf(id.addr, sizeof(id.addr), "%s", addr(p.index).c_str());
	id.incarnation = p.incarnation;
	q.loans = shares_create(&id, now, &loan_ops, &p);
	for (int i = 0; i < kProcesses; i++) {
		snprintf(all[i].addr, sizeof(all[i].addr), "%s",
		    addr(i).c_str());
		snprintf(all[i].zone, sizeof(all[i].zone), "z%d", i % kZones);
	}
	shares_rank(all, kProcesses);
	shares_set_candidates(q.loans, all, kProcesses);
	shares_set_processes(q.loans, kProcesses);
	q.state = quota_create(addr(p.index).c_str(), kSlack, &ops, &p);
	quota_set_accounts(q.state, now, q.accounts, kAccounts);
	q.waiting.clear();
}

void
QuotaWorld::start(Process &p)
{
	World::start(p);
	start_quota(p);
}

void
QuotaWorld::stop(Process &p)
{
	World::stop(p);
	quota_destroy(quotas[p.index].state);
	shares_destroy(quotas[p.index].loans);
	quotas[p.index].state = nullptr;
	quotas[p.index].loans = nullptr;
}

/* Processes hear of a new quota one after the other. */
void
QuotaWorld::set_quota(int account, double rate, double burst, int delay_ms)
{
	customers[account].limits.push_back({ now, rate, burst });
	nversions++;
	for (int i = 0; i < kProcesses; i++)
		told.push_back({ now + (uint64_t)(delay_ms * i) * kMs, i,
		    account, rate, burst, nversions });
}

void
QuotaWorld::apply_told(const Process &p)
{
	QuotaProcess &q = quotas[p.index];
	bool changed = false;

	for (size_t i = 0; i < told.size(); i++) {
		if (told[i].process != p.index || now < told[i].at)
			continue;
		if (told[i].version > q.versions[told[i].account]) {
			q.accounts[told[i].account].rate_per_s = told[i].rate;
			q.accounts[told[i].account].burst = told[i].burst;
			q.versions[told[i].account] = told[i].version;
			changed = true;
		}
		told.erase(told.begin() + (long)i--);
	}
	if (changed)
		quota_set_accounts(q.state, now, q.accounts, kAccounts);
}

/*
 * By the highest quota that may be in force in the window: a lower one binds a
 * window after all processes have had the time to apply it.
 */
double
QuotaWorld::allowed(Customer &c) const
{
	double rate = 0.0, burst = 0.0;
	double window_s = (double)kQuotaWindow / (double)NSEC_PER_SEC;

	while (c.limits.size() > 1 &&
	    c.limits[1].at + kConfigApply + kQuotaWindow <= now)
		c.limits.pop_front();
	for (auto &f : c.limits) {
		/* Without a rate there is no quota. */
		rate = std::max(rate, f.rate == 0.0 ? 1e12 : f.rate);
		burst = std::max(burst, f.burst);
	}
	return (rate * window_s + burst) * (1.0 + kOverage) + kSlack;
}

double
QuotaWorld::spent(int account, uint64_t since) const
{
	double sum = 0.0;

	for (auto &s : customers[account].started)
		sum += s.at > since ? (double)s.tokens : 0.0;
	return sum;
}

/* A request begins: the rule, as the users word it. */
void
QuotaWorld::run(int account, uint64_t tokens)
{
	Customer &c = customers[account];

	c.started.push_back({ now, tokens });
	while (c.started.front().at + kQuotaWindow <= now)
		c.started.pop_front();
	RC_ASSERT(spent(account, 0) <= allowed(c));
}

void
QuotaWorld::answered(Process &p, const quota_answer *a)
{
	QuotaProcess &q = quotas[p.index];

	for (size_t i = 0; i < q.waiting.size(); i++) {
		Asked &w = q.waiting[i];

		if (w.id != a->id || w.start_at != 0)
			continue;
		if (a->granted) {
			w.start_at = now + a->wait_ns;
			w.asked_at = a->asked_at;
		} else if (w.tries < SHARES_SLOTS) {
			ask(p, w);
		} else {
			RC_ASSERT(a->wait_ns != 0);
			q.waiting.erase(q.waiting.begin() + (long)i);
		}
		return;
	}
	quota_keep(q.state, now, a);
}

void
QuotaWorld::ask(Process &p, Asked &w)
{
	quota_request r = {};

	w.ask_at = now + QUOTA_REPEAT_NS;
	r.id = w.id;
	snprintf(r.account, sizeof(r.account), "a%d", w.account);
	r.tokens = w.tokens;
	r.max_wait_ns = w.id % 3 == 0 ? 0 : 100 * kMs;
	(void)quota_ask(quotas[p.index].state, now, &r, w.tries++);
}

void
QuotaWorld::arrive(Process &p, int account)
{
	QuotaProcess &q = quotas[p.index];
	const char *name = q.accounts[account].name;
	uint64_t id = ++q.last_id;
	uint64_t tokens = kSizes[id * 7 % 4];
	uint64_t asked_at;

	if (q.accounts[account].rate_per_s < 1000.0)
		tokens = kSizes[0];
	q.owed[account] -= (double)tokens;
	if (!quota_is_limited(q.state, name) ||
	    quota_take(q.state, now, name, tokens, &asked_at)) {
		if (some_fail && id % 8 == 0)
			quota_give_back(
			    q.state, now, name, tokens, asked_at);
		else
			run(account, tokens);
		return;
	}
	q.waiting.push_back({ id, account, tokens, now, now, 0, 0, 0 });
}

void
QuotaWorld::tick(Process &p)
{
	QuotaProcess &q = quotas[p.index];

	World::tick(p);
	if (!ready)
		return;
	apply_told(p);
	shares_tick(q.loans, now);
	for (uint32_t i = 0; i < SHARES_SLOTS; i++)
		quota_set_pool(q.state, i, shares_pool(q.loans, i));
	quota_set_part(q.state, now, shares_part(q.loans, now));
	check_shares();
	for (int k = 0; k < kAccounts; k++) {
		q.owed[k] +=
		    q.demand[k] * (double)kStep / (double)NSEC_PER_SEC;
		while (q.owed[k] >= 0.0 && q.demand[k] > 0.0)
			arrive(p, k);
	}
	for (size_t i = 0; i < q.waiting.size(); i++) {
		Asked w = q.waiting[i];
		size_t before = q.waiting.size();

		if (w.start_at != 0 && now >= w.start_at) {
			q.waiting.erase(q.waiting.begin() + (long)i--);
			if (some_fail && w.id % 8 == 0)
				quota_give_back(q.state, now,
				    q.accounts[w.account].name, w.tokens,
				    w.asked_at);
			else
				run(w.account, w.tokens);
		} else if (w.start_at == 0 && now >= w.arrived + kAnswerWait) {
			q.waiting.erase(q.waiting.begin() + (long)i--);
		} else if (w.start_at == 0 && now >= w.ask_at) {
			ask(p, q.waiting[i]);
			i -= before - q.waiting.size();
		}
	}
}

/* No share is in use twice, by processes that can act on it. */
void
QuotaWorld::check_shares() const
{
	double sum = 0.0;

	for (auto &p : processes) {
		if (quotas[p.index].loans != nullptr && runs(p))
			sum += shares_part(quotas[p.index].loans, now);
	}
	RC_ASSERT(sum <= 1.0001);
}

void
QuotaWorld::receive(Process &p, const msg *m)
{
	quota *state = quotas[p.index].state;

	if (m->kind == MSG_SHARE_LOAN) {
		shares_lent(quotas[p.index].loans, now, m->from.addr,
		    &m->u.share_loan);
	} else if (m->kind == MSG_SHARE_ACK) {
		shares_acked(quotas[p.index].loans, now, m->from.addr,
		    &m->u.share_ack);
	} else if (m->kind == MSG_QUOTA_REQUEST) {
		quota_requested(
		    state, now, m->from.addr, &m->u.quota_request);
	} else if (m->kind == MSG_QUOTA_ANSWER) {
		quota_answered(state, now, &m->u.quota_answer);
	} else {
		World::receive(p, m);
	}
}

void
QuotaWorld::apply(OpKind op, int a, int b)
{
	int k = b % kAccounts;
	double rate = kRates[b % 5];

	if (op == OP_DEMAND) {
		QuotaProcess &q = quotas[a % kProcesses];

		q.demand[k] = (double)(b % 7) * 0.5 *
		    std::max(q.accounts[k].rate_per_s, 300.0);
	} else if (op == OP_LIMIT) {
		set_quota(a % kAccounts, rate, b % 2 == 0 ? rate : 0.1 * rate,
		    b % 500);
	} else {
		World::apply(op, a, b);
	}
}

/* Once all is well, a quota is used, also where demand moves. */
void
QuotaWorld::finish()
{
	memset(cut, 0, sizeof(cut));
	net.faults.drop = 0.0;
	net.faults.delay = 5 * kMs;
	for (int i = 0; i < kProcesses; i++) {
		processes[i].frozen_until = 0;
		for (auto &d : quotas[i].demand)
			d = 0.0;
	}
	some_fail = false;
	set_quota(0, kRates[2], kRates[2], 0);
	advance(8 * NSEC_PER_SEC);
	for (int i = 0; i < 3; i++) {
		quotas[(2 * i + 1) % kProcesses].demand[0] = 0.0;
		quotas[2 * i].demand[0] = 10.0 * kRates[2];
		advance(kQuotaWindow);
		RC_ASSERT(spent(0, now - kQuotaWindow) >=
		    (i == 0 ? 0.9 : 0.85) * kRates[2] * 8.0);
		quotas[2 * i].demand[0] = 0.0;
	}
}
