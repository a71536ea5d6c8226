/*
 * Fake backend servers of the serving fuzzer: their answers, and what they say
 * of themselves in them.
 */
#include <algorithm>

#include "serving_world.h"

void
World::erase_fetch(size_t k)
{
	fetches.erase(fetches.begin() + (long)k);
}

void
World::feed_fetch_event(const Fetch &f, fetch_event_kind kind, fetch_phase phase, int index,
    uint32_t tokens, const Replica *says)
{
	gate_actions out = TAILQ_HEAD_INITIALIZER(out);
	gate_fetch_event ev = {};

	ev.kind = kind;
	ev.fetch_id = f.id;
	ev.phase = phase;
	ev.status = 200;
	ev.tokens = tokens;
	ev.bytes = 10;
	if (says != nullptr) {
		ev.leaving = says->says_leaving;
		if (says->refuses_until > now) {
			ev.status = 503;
			ev.closed_ns = says->refuses_until - now;
		}
	}
	if (kind == FETCH_HEAD || kind == FETCH_DATA)
		ev.payload = new Part{ f.rid, index };
	gate_handle_fetch(gates[f.gate].core, now, &ev, &out);
	perform_actions(f.gate, &out);
}

/* Advances one fetch by a step. */
void
World::advance_fetch(size_t k, bool reliable)
{
	if (fetches.empty())
		return;
	k %= fetches.size();
	for (auto &r : replicas)
		if (!reliable && r.slow && r.name == fetches[k].target &&
		    queue.random() < 0.9)
			return;
	Fetch &f = fetches[k];
	Fetch copy = f;

	if (f.phase == PHASE_CONNECTING) {
		f.phase = PHASE_REQUEST_WRITTEN;
		Request &r = requests.at(f.rid);

		r.writes++;
		if (!r.repeatable)
			RC_ASSERT(r.writes <= 1); /* at most once */
		check_write(copy);
		feed_fetch_event(copy, FETCH_PHASE, PHASE_REQUEST_WRITTEN, 0, 0);
	} else if (f.phase == PHASE_REQUEST_WRITTEN) {
		answer_head(k);
	} else if (f.next < kOutputTokens) {
		f.next++;
		feed_fetch_event(copy, FETCH_DATA, PHASE_RESPONSE_STARTED, (int)copy.next, 1);
	} else {
		erase_fetch(k);
		feed_fetch_event(copy, FETCH_END, PHASE_RESPONSE_STARTED, 0, 0);
	}
}

void
World::fail_fetch(size_t k)
{
	if (fetches.empty())
		return;
	k %= fetches.size();
	Fetch copy = fetches[k];

	erase_fetch(k);
	feed_fetch_event(copy, FETCH_FAILED, copy.phase, 0, 0);
}

/* A fetch of which nothing was written fails. */
void
World::withdraw_fetch(int gate, uint64_t id)
{
	for (size_t k = 0; k < fetches.size(); k++)
		if (fetches[k].gate == gate && fetches[k].id == id &&
		    fetches[k].phase == PHASE_CONNECTING) {
			fail_fetch(k);
			return;
		}
}

/* The head of an answer; a service that refuses ends it there. */
void
World::answer_head(size_t k)
{
	Fetch &f = fetches[k];
	const Replica says = find_target(f.target);
	bool refuses = says.refuses_until > now;

	f.phase = PHASE_RESPONSE_STARTED;
	if (refuses && f.service) {
		f.next = kOutputTokens;
		requests.at(f.rid).turned_away = true;
	}
	Fetch copy = f;

	if (refuses)
		note_word(copy, says, says.refuses_until);
	if (says.says_leaving)
		note_word(copy, says, 0);
	feed_fetch_event(
	    copy, FETCH_HEAD, PHASE_RESPONSE_STARTED, -1, 0, &says);
}

Replica &
World::find_target(const std::string &name)
{
	int k = replica_index(name);

	if (k >= 0)
		return replicas[k];
	return instances[name == instances[0].name ? 0 : 1];
}

/* -1 for an instance of a service. */
int
World::replica_index(const std::string &name) const
{
	for (int k = 0; k < kReplicas; k++)
		if (replicas[k].name == name)
			return k;
	return -1;
}

/* A time in which the replica takes no requests ends by itself. */
void
World::end_faults(Replica &r)
{
	r.leaving = false;
	if (r.says_leaving && r.incarnation != 0)
		r.incarnation++;
	r.says_leaving = false;
}

/* A new gate process knows nothing. */
void
World::forget_notices(int gate)
{
	gates[gate].words.clear();
	for (auto &inc : gates[gate].known)
		inc = 0;
}

/*
 * An incarnation that the tables have not told is taken for the former one, so
 * that its word that it leaves does not hold once they do.  A service has no
 * incarnations; tables under way may still undrain it.
 */
void
World::note_word(const Fetch &f, const Replica &r, uint64_t until)
{
	if (until == 0 && f.known != r.incarnation)
		return;
	if (until == 0 && r.incarnation == 0 && r.drained_at != 0 &&
	    now < r.drained_at + NSEC_PER_SEC)
		return;
	gates[f.gate].words.push_back(
	    Word{ f.target, r.incarnation, now, until, 0 });
}

/* No request is started at a replica that said that it leaves. */
void
World::check_start(Fetch *f)
{
	const Replica &r = find_target(f->target);
	int k = replica_index(f->target);

	f->known = k < 0 ? 0 : gates[f->gate].known[k];
	for (auto &w : gates[f->gate].words) {
		if (w.target != f->target || w.closed_until != 0 ||
		    w.incarnation != r.incarnation)
			continue;
		RC_ASSERT(k < 0 && r.drained_at > w.said_at); /* leaves */
	}
}

/* Few requests reach a replica in a time in which it takes none. */
void
World::check_write(const Fetch &f)
{
	const Replica &r = find_target(f.target);

	for (auto &w : gates[f.gate].words) {
		if (w.target != f.target || w.incarnation != r.incarnation ||
		    now < w.said_at + kHeardWithin || now >= w.closed_until)
			continue;
		w.reached++;
		RC_ASSERT(w.reached <= kRefusalRequests);
	}
}

void
World::note_table(int gate, const msg *m)
{
	for (uint32_t i = 0; m->kind == MSG_CELL && i < m->u.cell.nreplicas;
	     i++) {
		int k = replica_index(m->u.cell.replicas[i].name);
		uint64_t inc = m->u.cell.replicas[i].incarnation;

		if (inc > gates[gate].known[k])
			gates[gate].known[k] = inc;
	}
}

void
World::note_report(int owner, const msg *m)
{
	/* Messages of a former gate process may be dropped. */
	for (auto &g : gates)
		if (gate_addr((int)(&g - gates)) == m->from.addr &&
		    m->from.incarnation < g.incarnation)
			return;
	for (uint32_t i = 0; m->kind == MSG_REPORT && i < m->u.report.n; i++) {
		const auto &it = m->u.report.items[i];
		uint64_t inc = it.incarnation != 0 ?
			  it.incarnation :
			  owners[owner].known[replica_index(it.replica)];

		if (it.closed_ns != 0)
			owners[owner].heard.push_back(Word{ it.replica, inc,
			    now, now + it.closed_ns, 0 });
		if (it.leaving)
			owners[owner].heard.push_back(
			    Word{ it.replica, inc, now, TIME_NEVER, 0 });
	}
}

/*
 * An owner grants nothing at a replica that leaves or is closed; it may repeat
 * an earlier grant.
 */
void
World::check_grant(const std::string &from, const msg *m)
{
	if (m->kind != MSG_GRANT)
		return;
	for (int i = 0; i < kOwners; i++) {
		if (from != owner_addr(i))
			continue;
		int k = replica_index(m->u.grant.replica);

		if (m->u.grant.grant_id <= owners[i].last_grant)
			continue;
		owners[i].last_grant = m->u.grant.grant_id;
		for (auto &w : owners[i].heard) {
			if (w.target != m->u.grant.replica ||
			    w.incarnation < owners[i].known[k])
				continue;
			RC_ASSERT(now >= w.closed_until); /* grant */
		}
	}
}

/* A replica says 503 with Retry-After for a time, which is not cut short. */
void
World::op_refuse(OpKind op, int a, int b)
{
	Replica &r = b % 3 == 0 ? instances[a % kInstances] :
				  replicas[a % kReplicas];

	(void)op;
	r.refuses_until = std::max<uint64_t>(r.refuses_until,
	    now + (uint64_t)(b % 30 + 1) * 100 * NSEC_PER_MSEC);
}

/* A replica says in every answer that it leaves. */
void
World::op_say_leaving(OpKind op, int a, int b)
{
	Replica &r = b % 3 == 0 ? instances[a % kInstances] :
				  replicas[a % kReplicas];

	(void)op;
	r.says_leaving = true;
}

/* A replica ends, with what runs there, and comes back. */
void
World::op_restart(OpKind op, int a, int b)
{
	Replica &r = replicas[a % kReplicas];

	(void)op;
	(void)b;
	for (size_t k = fetches.size(); k > 0; k--)
		if (k <= fetches.size() && fetches[k - 1].target == r.name)
			fail_fetch(k - 1);
	r.incarnation++;
	r.says_leaving = false;
	r.refuses_until = 0;
	update_owners();
}
