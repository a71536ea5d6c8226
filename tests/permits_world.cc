/* Commands of the fuzzer of permits, and what they act on. */
#include "permits_world.h"

const char *const op_names[OP__MAX] = { "advance", "demand", "limit", "losses",
	"cut", "cut-off", "heal", "freeze", "restart" };

static const double kLimits[] = { 0.5, 1.5, 4.0, 12.0, 40.0 };
static const uint64_t kSilent = 800 * kMs; /* then another is the pool */
static const uint64_t kReport = 100 * kMs;
static const uint64_t kReportLarge = 200 * kMs;
static const uint64_t kRepeat = 150 * kMs;
static const uint64_t kDown = 600 * kMs;

static void
send_request(void *ctx, const char *to, const permit_request *r)
{
	auto *p = static_cast<Process *>(ctx);
	msg *m = msg_create(MSG_PERMIT_REQUEST, to);

	m->u.permit_request = *r;
	p->world->send(*p, m);
}

static void
send_answer(void *ctx, const char *to, const permit_answer *a)
{
	auto *p = static_cast<Process *>(ctx);
	msg *m = msg_create(MSG_PERMIT_ANSWER, to);

	m->u.permit_answer = *a;
	p->world->send(*p, m);
}

static void
on_answered(void *ctx, const permit_answer *a, uint64_t until)
{
	auto *p = static_cast<Process *>(ctx);

	p->world->answered(*p, a, until);
}

static msg *
copy_msg(msg *m)
{
	return msg_copy(m);
}

static const permits_ops ops = { send_request, send_answer, on_answered };

World::World(uint64_t seed)
    : large(seed % 2 == 1), net(seed, copy_msg, msg_destroy)
{
	for (int i = 0; i < kReplicas; i++) {
		replicas[i].limit = kLimits[(seed + (uint64_t)i) % 5];
		replicas[i].changed_at = now;
		replicas[i].told = true;
	}
	for (int i = 0; i < kProcesses; i++) {
		processes[i].world = this;
		processes[i].index = i;
		World::start(processes[i]);
	}
	net.faults.delay = 5 * kMs;
	advance(2 * NSEC_PER_SEC);
}

World::~World()
{
	for (auto &p : processes)
		World::stop(p);
}

std::string
World::addr(int i) const
{
	return "10.0.0." + std::to_string(i) + ":7";
}

bool
World::runs(const Process &p) const
{
	return now >= p.down_until && now >= p.frozen_until;
}

/* One process has heard all limits; the others hear of them by reports. */
void
World::start(Process &p)
{
	directory_init(&p.dir);
	for (int i = 0; i < kReplicas; i++) {
		fleet_replica r = {};

		snprintf(r.id, sizeof(r.id), "i-%d", i);
		snprintf(r.service, sizeof(r.service), "s");
		r.started_ms = 1;
		r.slots = 64;
		directory_replica *m = directory_put(&p.dir, &r);
		notice_limit(&m->notice, 1, now, replicas[i].limit);
	}
	p.state = permits_create(
	    &p.dir, addr(p.index).c_str(), now, &ops, &p);
	p.started_at = now;
	permits_set_processes(p.state, kProcesses);
	for (auto &t : p.heard_at)
		t = now;
	p.waiting.clear();
}

void
World::stop(Process &p)
{
	permits_destroy(p.state);
	p.state = nullptr;
	directory_clear(&p.dir);
	for (auto *m : p.inbox)
		msg_destroy(m);
	p.inbox.clear();
}

bool
World::hears(const Process &p, int other) const
{
	return other == p.index || now < p.heard_at[other] + kSilent;
}

/*
 * The first process that is heard; in a large fleet the first of the data
 * centre, which lends to the first of those of all data centres.
 */
int
World::pool_of(const Process &p, bool *lends_on) const
{
	int first_of_zone = p.index;
	int first = p.index;

	for (int i = kProcesses - 1; i >= 0; i--) {
		if (!hears(p, i))
			continue;
		if (i % kZones == p.index % kZones)
			first_of_zone = i;
		if (!large || i < kZones)
			first = i;
	}
	*lends_on = false;
	if (!large)
		return first;
	if (first_of_zone != p.index) {
		*lends_on = true;
		return first_of_zone;
	}
	return first;
}

void
World::send(Process &p, msg *m)
{
	snprintf(m->from.addr, sizeof(m->from.addr), "%s",
	    addr(p.index).c_str());
	m->from.incarnation = p.incarnation;
	net.send(now, m->to, m);
}

void
World::report(Process &p)
{
	for (int i = 0; i < kProcesses; i++) {
		if (i == p.index)
			continue;
		msg *m = msg_create(MSG_FRONT, addr(i).c_str());
		msg_front *f = &m->u.front;
		snprintf(f->pool, sizeof(f->pool), "%s", permits_pool(p.state));
		f->shares = permits_shares(p.state, now);
		f->limits = static_cast<msg_front::msg_limit *>(
		    calloc(kReplicas + 1, sizeof(*f->limits)));
		for (int k = 0; k < kReplicas; k++) {
			const directory_replica *r =
			    directory_find(&p.dir, ("i-" + std::to_string(k)).c_str());
			msg_front::msg_limit *l = &f->limits[f->nlimits++];

			memcpy(l->replica, r->info.id, NAME_SIZE);
			l->started_ms = 1;
			l->per_1000_s = (uint64_t)(r->notice.limit_per_s * 1000);
			l->ago_ns = now - r->notice.limit_at;
		}
		send(p, m);
	}
	permits_reported(p.state, now);
}

void
World::receive(Process &p, const msg *m)
{
	for (int i = 0; i < kProcesses; i++) {
		if (addr(i) == m->from.addr)
			p.heard_at[i] = now;
	}
	if (m->kind == MSG_PERMIT_REQUEST) {
		permits_requested(
		    p.state, now, m->from.addr, &m->u.permit_request);
	} else if (m->kind == MSG_PERMIT_ANSWER) {
		permits_answered(p.state, now, &m->u.permit_answer);
	} else {
		const msg_front *f = &m->u.front;

		permits_borrow(p.state, now, m->from.addr,
		    addr(p.index) == f->pool ? f->shares : 0);
		for (uint32_t i = 0; i < f->nlimits; i++) {
			directory_replica *r =
			    directory_find(&p.dir, f->limits[i].replica);
			notice_limit(&r->notice, 1, now - f->limits[i].ago_ns,
			    (double)f->limits[i].per_1000_s / 1000.0);
		}
	}
}

void
World::ask(Process &p, Waiting &w)
{
	permit_request r = {};

	w.ask_at = now + kRepeat;
	r.id = w.id;
	r.priority = w.priority;
	r.has_other = w.has_other;
	r.waited_ns = now - w.arrived;
	r.target_ns = w.arrived + kPatience / 2 > now
	    ? w.arrived + kPatience / 2 - now
	    : 0;
	r.max_wait_ns = w.has_other ? 0 : w.arrived + kPatience - now;
	r.nreplicas = kReplicas;
	for (int i = 0; i < kReplicas; i++)
		snprintf(r.replicas[i], NAME_SIZE, "i-%d", i);
	permits_ask(p.state, now, &r);
}

/* A permit serves the first request that waits, or none. */
void
World::answered(Process &p, const permit_answer *a, uint64_t until)
{
	if (a->replica[0] == '\0')
		return;
	RC_ASSERT(now <= until);
	if (p.waiting.empty())
		return;
	p.waiting.erase(p.waiting.begin());
	reach(p, a->replica[2] - '0');
}

/* A request reaches a replica: the rule, as the users word it. */
void
World::reach(Process &p, int replica)
{
	Replica &r = replicas[replica];
	directory_replica *m =
	    directory_find(&p.dir, ("i-" + std::to_string(replica)).c_str());

	r.arrived.push_back(now);
	while (r.arrived.front() + kWindow <= now)
		r.arrived.pop_front();
	notice_limit(&m->notice, 1, now, r.limit);
	if (!r.told)
		r.changed_at = now;
	r.told = true;
	if (now < r.changed_at + kStable + kWindow)
		return;
	RC_ASSERT((double)r.arrived.size() <= 1.5 * 4.0 * r.limit + 5.0);
	/* A limit is kept to the letter while nothing fails. */
	if (now > faulty_until + 4 * kWindow)
		RC_ASSERT((double)r.arrived.size() <= 4.0 * r.limit +
			(r.limit > 2.0 ? r.limit : 2.0));
}

void
World::tick(Process &p)
{
	bool lends_on;
	int pool = pool_of(p, &lends_on);

	permits_set_pool(p.state, now,
	    pool == p.index ? "" : addr(pool).c_str(), lends_on);
	if (now >= p.report_at) {
		p.report_at = now + (large ? kReportLarge : kReport);
		report(p);
	}
	permits_tick(p.state, now);
	for (p.owed += p.demand * (double)kStep / (double)NSEC_PER_SEC;
	     p.owed >= 1.0; p.owed -= 1.0) {
		uint64_t id = ++p.last_id;

		p.waiting.push_back(
		    { id, now, now, (uint32_t)(id % 2), id % 5 == 0 });
	}
	for (size_t i = 0; i < p.waiting.size(); i++) {
		if (now >= p.waiting[i].arrived + kPatience) {
			permit_request r = {};

			r.id = p.waiting[i].id;
			p.waiting.erase(p.waiting.begin() + (long)i--);
			permits_ask(p.state, now, &r);
		}
	}
	for (size_t i = 0; i < p.waiting.size(); i++) {
		size_t before = p.waiting.size();

		if (now >= p.waiting[i].ask_at)
			ask(p, p.waiting[i]);
		if (p.waiting.size() != before)
			break;
	}
}

void
World::step()
{
	std::string to;
	msg *m;

	now += kStep;
	while (net.next(now, &to, &m)) {
		int from = m->from.addr[7] - '0';
		Process &p = processes[to[7] - '0'];

		if (cut[from][p.index] || now < p.down_until)
			msg_destroy(m);
		else
			p.inbox.push_back(m);
	}
	for (auto &p : processes) {
		if (p.down_until != 0 && now >= p.down_until) {
			p.down_until = 0;
			start(p);
		}
		if (p.state == nullptr || !runs(p))
			continue;
		while (!p.inbox.empty()) {
			m = p.inbox.front();
			p.inbox.pop_front();
			receive(p, m);
			msg_destroy(m);
		}
		tick(p);
	}
}

void
World::advance(uint64_t ns)
{
	for (uint64_t until = now + ns; now < until;)
		step();
}

void
World::apply(OpKind op, int a, int b)
{
	Process &p = processes[a % kProcesses];
	int other = b % kProcesses;

	if (op != OP_ADVANCE && op != OP_DEMAND)
		faulty_until = now + 2 * NSEC_PER_SEC;
	switch (op) {
	case OP_ADVANCE:
		advance((uint64_t)(b % 3000 + 1) * kMs);
		break;
	case OP_DEMAND:
		p.demand = b % 60;
		break;
	case OP_LIMIT:
		replicas[a % kReplicas].limit = kLimits[b % 5];
		replicas[a % kReplicas].told = false;
		break;
	case OP_LOSSES:
		net.faults.drop = b % 3 == 0 ? 0.3 : 0.0;
		net.faults.delay = (uint64_t)(b % 4 == 0 ? 300 : 5) * kMs;
		break;
	case OP_CUT:
		cut[p.index][other] = true;
		break;
	case OP_CUT_OFF:
		for (int i = 0; i < kProcesses; i++)
			cut[p.index][i] = cut[i][p.index] = true;
		break;
	case OP_HEAL:
		memset(cut, 0, sizeof(cut));
		break;
	case OP_FREEZE:
		p.frozen_until = now + (uint64_t)(b % 4000) * kMs;
		faulty_until = p.frozen_until + 2 * NSEC_PER_SEC;
		break;
	case OP_RESTART:
		if (p.state == nullptr)
			break;
		stop(p);
		p.incarnation++;
		p.down_until = now + kDown;
		break;
	default:
		break;
	}
}

/* Once all is well, limits are used. */
void
World::finish()
{
	memset(cut, 0, sizeof(cut));
	net.faults.drop = 0.0;
	net.faults.delay = 5 * kMs;
	for (auto &p : processes) {
		p.frozen_until = 0;
		p.demand = 30.0;
	}
	advance(12 * NSEC_PER_SEC);
	for (auto &r : replicas)
		RC_ASSERT((double)r.arrived.size() + 2.0 >= 0.7 * 4.0 * r.limit);
}
