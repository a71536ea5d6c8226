/* Commands of the fuzzer of replicas' notices, and what they act on. */
#include "notice_world.h"

const char *const op_names[OP__MAX] = { "send", "burst", "advance", "leave",
	"refuse", "restart", "list", "unlist" };

World::World(uint64_t seed) : random_state(seed)
{
	directory_init(&dir);
	for (int i = 0; i < kReplicas; i++)
		put(i);
}

World::~World()
{
	directory_clear(&dir);
}

uint64_t
World::latency()
{
	random_state =
	    random_state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (random_state >> 33) % kLatencyMax;
}

fleet_replica
World::entry(int i) const
{
	fleet_replica r = {};

	snprintf(r.id, sizeof(r.id), "i-%d", i);
	snprintf(r.service, sizeof(r.service), "s");
	snprintf(r.addr, sizeof(r.addr), "10.0.0.%d:80", i);
	snprintf(r.zone, sizeof(r.zone), "z1");
	r.slots = kSlots;
	r.started_ms = replicas[i].listed_ms;
	return r;
}

directory_replica *
World::find(int i)
{
	return directory_find(&dir, entry(i).id);
}

void
World::put(int i)
{
	fleet_replica r = entry(i);

	directory_put(&dir, &r);
}

bool
World::send(uint64_t sent_at)
{
	balance_request w = {};
	directory_replica *m;
	Attempt a = {};

	balance_set_names(&w, "s", "", "");
	w.zone = "z1";
	w.max_conns = 100;
	if (balance_pick(&dir, now, &w, 0.0, &m) != BALANCE_FOUND)
		return false;
	sscanf(m->info.id, "i-%d", &a.replica);
	a.started_ms = m->info.started_ms;
	a.sent_at = sent_at;
	a.due = now + latency();
	m->local_load.running++;
	attempts.push_back(a);
	return true;
}

/* A request reaches a replica: the rules, as the users word them. */
void
World::reach(Attempt &a)
{
	Replica &r = replicas[a.replica];

	if (r.left_at != 0)
		RC_ASSERT(a.sent_at <= r.left_at + kDrain);
	for (auto &x : r.refusals) {
		if (now <= x.from + kRefusalDelay || now >= x.until ||
		    now >= x.from + NOTICE_CLOSED_MAX_NS)
			continue;

		x.reached++;
		RC_ASSERT(x.reached <= kRefusalRequests);
	}
	a.ran_ms = r.started_ms;
	a.leaving = r.leaving;
	a.stage = ANSWER;
	a.due = now + latency();
	if (now >= r.refusing_until)
		return;
	a.closed_ns = r.refusing_until - now;
	r.refusals.push_back(
	    { now, r.refusing_until, a.started_ms != r.started_ms });
}

/* As entry/replica_notice.c does. */
void
World::answered(const Attempt &a)
{
	directory_replica *m = find(a.replica);
	Replica &r = replicas[a.replica];
	bool news = false;

	/* The word of an incarnation that was not listed yet is the former's. */
	if (a.leaving && a.ran_ms == r.started_ms &&
	    a.ran_ms == a.started_ms && r.left_at == 0)
		r.left_at = now;
	if (m == nullptr)
		return;
	if (m->local_load.running != 0)
		m->local_load.running--;
	if (a.leaving)
		news |= notice_leaving(&m->notice, a.started_ms, now) != 0;
	if (a.closed_ns != 0)
		news |= notice_closed(
			    &m->notice, a.started_ms, now, a.closed_ns) != 0;
	else
		notice_answered(&m->notice, a.started_ms, a.sent_at);
	directory_attempt_succeeded(m, now);
	if (news)
		withdraw(a.replica);
}

/* Requests whose connections are not established go elsewhere. */
void
World::withdraw(int i)
{
	std::vector<Attempt> kept;
	std::vector<uint64_t> again;
	directory_replica *m = find(i);

	for (auto &a : attempts) {
		if (a.replica != i || a.stage != CONNECTING) {
			kept.push_back(a);
			continue;
		}
		again.push_back(a.sent_at);
		if (m->local_load.running != 0)
			m->local_load.running--;
	}
	attempts.swap(kept);
	for (uint64_t sent_at : again)
		send(sent_at);
}

void
World::advance(uint64_t ns)
{
	for (uint64_t until = now + ns; now < until; now += kStep) {
		directory_tick(&dir, now);
		for (size_t k = 0; k < attempts.size(); k++) {
			if (attempts[k].due > now)
				continue;
			if (attempts[k].stage == CONNECTING) {
				attempts[k].stage = REQUEST;
				attempts[k].due = now + latency();
			} else if (attempts[k].stage == REQUEST) {
				reach(attempts[k]);
			} else {
				Attempt a = attempts[k];

				attempts.erase(attempts.begin() + (long)k);
				answered(a);
				k = (size_t)-1;
			}
		}
	}
}

void
World::apply(OpKind op, int a, int b)
{
	/* In ms; the last is longer than a process believes. */
	static const uint64_t times[] = { 100, 600, 1500, 5000, 20000,
		2 * NOTICE_CLOSED_MAX_NS / kMs };
	int i = a % kReplicas;
	Replica &r = replicas[i];

	switch (op) {
	case OP_SEND:
		send(now);
		break;
	case OP_BURST:
		for (int n = 0; n < b % 20; n++)
			send(now);
		break;
	case OP_ADVANCE:
		advance((uint64_t)(b % 1000 + 1) * kMs);
		break;
	case OP_LEAVE:
		r.leaving = true;
		break;
	case OP_REFUSE:
		r.refusing_until = now + times[b % 6] * kMs;
		/*
		 * The time of an incarnation that is not listed yet is not
		 * known for certain, so it names no shorter one.
		 */
		for (auto &x : r.refusals)
			if (x.unlisted && r.refusing_until < x.until)
				r.refusing_until = x.until;
		break;
	case OP_RESTART:
		/* Its connections break. */
		for (size_t k = attempts.size(); k > 0; k--)
			if (attempts[k - 1].replica == i)
				attempts.erase(
				    attempts.begin() + (long)k - 1);
		if (find(i) != nullptr)
			find(i)->local_load.running = 0;
		r.started_ms++;
		r.leaving = false;
		r.refusing_until = 0;
		r.left_at = 0;
		r.refusals.clear();
		break;
	case OP_LIST:
		if (b % 2 == 0)
			r.listed_ms = r.started_ms;
		put(i);
		break;
	case OP_UNLIST:
		directory_remove(&dir, now, entry(i).id);
		break;
	default:
		break;
	}
}

/* A new incarnation of each replica takes requests, whatever was said. */
void
World::finish()
{
	advance(NSEC_PER_SEC);
	for (int i = 0; i < kReplicas; i++) {
		apply(OP_RESTART, i, 0);
		apply(OP_LIST, i, 0);
	}
	for (int i = 0; i < kReplicas; i++)
		RC_ASSERT(directory_usable(find(i), now));
	for (int i = 0; i < 20; i++) {
		RC_ASSERT(send(now));
		advance(100 * kMs);
	}
	advance(NSEC_PER_SEC);
	RC_ASSERT(attempts.empty());
}
