#include "orders_world.h"

const char *const op_names[OP__MAX] = { "advance", "long-advance", "demand",
	"ask", "lose", "restart", "kill", "freeze", "outage", "revoke",
	"calm" };

World::World(uint64_t seed_) : seed(seed_ * 2 + 1)
{
	struct fleet_engine *g;

	conf = fleet_conf_create();
	conf->nservices = 1;
	conf->services = (struct fleet_service *)mem_alloc(sizeof(struct fleet_service));
	strcpy(conf->services[0].name, "llm");
	g = (fleet_engine *)mem_alloc(sizeof(*g));
	conf->services[0].engine = g;
	g->slots = 16;
	g->kv_tokens = 100000;
	g->memory_mb = kMemory;
	g->adapter_slots = kPlaces;
	g->loads_per_s = 2.0;
	g->models = (struct fleet_model *)mem_alloc(kModels * sizeof(struct fleet_model));
	g->nmodels = kModels;
	for (int i = 0; i < kModels; i++) {
		snprintf(g->models[i].name, NAME_SIZE, "m%d", i);
		g->models[i].memory_mb = 100;
		g->models[i].load_ns = 2 * NSEC_PER_SEC;
		g->models[i].adapters = kAdapters;
		g->models[i].adapter_mb = 10;
	}
	for (int i = 0; i < kReplicas; i++) {
		engines[i].id = "r" + std::to_string(i);
		engines[i].now.models.insert("m" + std::to_string(i));
		engines[i].past.push_back({ 0, engines[i].now });
	}
	for (int i = 0; i < kHolders; i++)
		start(i);
}

World::~World()
{
	for (int i = 0; i < kHolders; i++)
		stop(i);
	for (auto &k : kv_sent)
		kv_op_destroy(k.op);
	fleet_conf_destroy(conf);
}

double
World::draw()
{
	seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(seed >> 11) / 9007199254740992.0;
}

void
World::start(int i)
{
	struct steward_config config;
	struct node_id self;

	steward_config_default(&config);
	config.apart_ns = 0;
	snprintf(self.addr, sizeof(self.addr), "10.0.0.%d:7000", i + 1);
	self.incarnation = ++incarnations;
	holders[i].incarnation = self.incarnation;
	holders[i].frozen_until = 0;
	holders[i].ids.next = 0;
	directory_init(&holders[i].dir);
	holders[i].dir.known = 1;
	holders[i].s = steward_create(
	    &config, &holders[i].dir, &self, &holders[i].ids);
	steward_candidate(holders[i].s, 1, 0);
	for (auto &e : engines) {
		fleet_replica r = entry(e, e.now);

		directory_put(&holders[i].dir, &r);
	}
}

void
World::stop(int i)
{
	steward_destroy(holders[i].s);
	directory_clear(&holders[i].dir);
	holders[i].s = nullptr;
}

bool
World::frozen(int i) const
{
	return now < holders[i].frozen_until;
}

fleet_replica
World::entry(const Engine &e, const Held &h) const
{
	fleet_replica r = {};

	snprintf(r.id, sizeof(r.id), "%s", e.id.c_str());
	snprintf(r.service, sizeof(r.service), "llm");
	snprintf(r.addr, sizeof(r.addr), "10.1.0.%.8s:80", e.id.c_str());
	snprintf(r.zone, sizeof(r.zone), "z");
	r.slots = 16;
	r.born_ms = h.born;
	r.orders = h.orders;
	r.busy = !h.loading.empty() || !h.unloading.empty();
	for (auto &m : h.models)
		snprintf(
		    r.resident[r.nresident++], NAME_SIZE, "%s", m.c_str());
	for (auto &a : h.adapters)
		snprintf(r.adapters[r.nadapters++], FLEET_NAME_SIZE, "%s",
		    a.c_str());
	for (auto &c : h.coming)
		if (r.ncoming < FLEET_COMING_MAX)
			snprintf(r.coming[r.ncoming++], FLEET_NAME_SIZE, "%s",
			    c.first.c_str());
	return r;
}

/* Loads and unloads end; the past is kept for reports that lag. */
void
World::engines_step()
{
	for (auto &e : engines) {
		if (now >= e.now.change_at) {
			if (!e.now.loading.empty())
				e.now.models.insert(e.now.loading);
			if (!e.now.unloading.empty())
				e.now.models.erase(e.now.unloading);
			for (auto a = e.now.adapters.begin();
			     !e.now.unloading.empty() &&
			     a != e.now.adapters.end();) {
				if (a->compare(0, e.now.unloading.size() + 1,
					e.now.unloading + "/") == 0)
					a = e.now.adapters.erase(a);
				else
					a++;
			}
			e.now.loading = e.now.unloading = "";
			e.now.change_at = TIME_NEVER;
		}
		for (auto c = e.now.coming.begin(); c != e.now.coming.end();) {
			if (now < c->second) {
				c++;
				continue;
			}
			e.now.adapters.insert(c->first);
			c = e.now.coming.erase(c);
		}
		e.past.push_back({ now, e.now });
		if (e.past.size() > 100)
			e.past.erase(e.past.begin());
	}
}

/* The list shows what an engine held some time ago, once a heartbeat. */
void
World::list_step()
{
	for (auto &e : engines) {
		if (now < e.listed_at + kHeartbeat)
			continue;
		e.listed_at = now;
		size_t back = kListLag / kStep;
		const Held &h = e.past.size() > back
		    ? e.past[e.past.size() - 1 - back].second
		    : e.past[0].second;
		fleet_replica r = entry(e, h);

		for (auto &holder : holders)
			directory_put(&holder.dir, &r);
	}
}

/* Memory and places hold at every acceptance. */
void
World::check_room(const Engine &e, const steward_order &o)
{
	if (o.kind != STEWARD_LOAD)
		return;
	if (o.adapter[0] != '\0') {
		RC_ASSERT(e.now.adapters.size() + e.now.coming.size() + 1 <=
		    kPlaces);
		return;
	}
	RC_ASSERT(e.now.models.size() * 100 + 100 + kPlaces * 10 <= kMemory);
}

enum order_answer
World::accept(Engine &e, const steward_order &o)
{
	if (o.fence < e.fence)
		return ANSWER_STALE;
	e.fence = o.fence;
	if (o.adapter[0] != '\0' && !e.now.models.count(o.model))
		return ANSWER_REFUSED;
	if (o.expected != e.now.orders || !e.now.loading.empty() ||
	    !e.now.unloading.empty())
		return ANSWER_CONFLICT;
	if (o.kind == STEWARD_LOAD &&
	    (o.adapter[0] != '\0' ? e.now.adapters.count(o.adapter) ||
				     e.now.coming.count(o.adapter)
				  : e.now.models.count(o.model)))
		return ANSWER_HOLDS;
	check_room(e, o);
	e.now.orders++;
	if (o.adapter[0] != '\0' && o.kind == STEWARD_LOAD) {
		e.now.coming[o.adapter] = now + 25 * NSEC_PER_MSEC;
		return ANSWER_STARTED;
	}
	if (o.adapter[0] != '\0') {
		e.now.adapters.erase(o.adapter);
		e.now.coming.erase(o.adapter);
		return ANSWER_HOLDS;
	}
	(o.kind == STEWARD_LOAD ? e.now.loading : e.now.unloading) = o.model;
	e.now.change_at = now +
	    (o.kind == STEWARD_LOAD ? 2 * NSEC_PER_SEC
				    : 100 * NSEC_PER_MSEC);
	return ANSWER_STARTED;
}

void
World::carry_out(Sent &c)
{
	Engine &e = engines[c.o.replica[1] - '0'];

	c.arrive = TIME_NEVER;
	if (c.o.kind != STEWARD_REPORT) {
		c.result = accept(e, c.o);
		return;
	}
	size_t back = kReportLag / kStep;

	c.told = e.past.size() > back ? e.past[e.past.size() - 1 - back].second
				      : e.past[0].second;
	c.result = ANSWER_HOLDS;
}

void
World::sent_step()
{
	for (size_t i = 0; i < sent.size();) {
		if (now >= sent[i].arrive)
			carry_out(sent[i]);
		if (now < sent[i].answer || frozen(sent[i].holder)) {
			i++;
			continue;
		}
		Sent c = sent[i];
		bool late = c.arrive != TIME_NEVER;

		/* It may still arrive though its sender has given up. */
		if (late) {
			sent[i].answer = TIME_NEVER;
			c.result = ANSWER_NONE;
			i++;
		} else {
			sent.erase(sent.begin() + (long)i);
		}
		Holder &h = holders[c.holder];

		if (h.incarnation != c.incarnation)
			continue;
		if (c.o.kind != STEWARD_REPORT) {
			steward_answer(h.s, now, &c.o, c.result);
			continue;
		}
		fleet_replica r =
		    entry(engines[c.o.replica[1] - '0'], c.told);

		steward_report(h.s, now, &c.o,
		    c.result == ANSWER_NONE ? nullptr : &r);
	}
}

void
World::kv_carry_out(KvSent &c)
{
	kv_op *op = c.op;
	std::string key = op->key;
	auto found = keys.find(key);

	c.done = true;
	c.result.status = KV_OK;
	switch (op->kind) {
	case KV_GET:
		if (found == keys.end()) {
			c.result.status = KV_ABSENT;
			break;
		}
		c.value = found->second.value;
		c.result.revision = found->second.revision;
		break;
	case KV_CAS:
		if ((found == keys.end() ? 0 : found->second.revision) !=
			op->expect ||
		    (op->lease != 0 && !leases.count(op->lease))) {
			c.result.status = KV_CONFLICT;
			break;
		}
		keys[key] = { op->value, ++revision, op->lease };
		c.result.revision = revision;
		break;
	case KV_GRANT:
		c.result.lease = ++next_lease;
		leases[next_lease] = { now + op->ttl_s * NSEC_PER_SEC,
			op->ttl_s };
		break;
	case KV_KEEP:
		if (!leases.count(op->lease))
			c.result.status = KV_ABSENT;
		else
			leases[op->lease].first =
			    now + leases[op->lease].second * NSEC_PER_SEC;
		break;
	default:
		leases.erase(op->lease);
		break;
	}
}

void
World::kv_step()
{
	for (auto l = leases.begin(); l != leases.end();) {
		if (now < l->second.first) {
			l++;
			continue;
		}
		l = leases.erase(l);
	}
	for (auto k = keys.begin(); k != keys.end();) {
		if (k->second.lease == 0 || leases.count(k->second.lease))
			k++;
		else
			k = keys.erase(k);
	}
	for (size_t i = 0; i < kv_sent.size();) {
		KvSent &c = kv_sent[i];

		if (!c.done && now >= c.arrive)
			kv_carry_out(c);
		if (now < c.answer || frozen(c.holder)) {
			i++;
			continue;
		}
		KvSent a = c;

		kv_sent.erase(kv_sent.begin() + (long)i);
		Holder &h = holders[a.holder];
		kv_ops ops;
		steward_orders orders;
		steward_out out = { &ops, &orders };

		TAILQ_INIT(&ops);
		TAILQ_INIT(&orders);
		if (!a.done)
			a.result.status = KV_UNKNOWN;
		a.result.value = a.value.c_str();
		if (h.incarnation == a.incarnation) {
			steward_kv(h.s, now, &a.result, &out);
			collect(a.holder, &ops, &orders);
		}
		kv_op_destroy(a.op);
	}
}

/*
 * Only the lease's owner sends orders; one whose lease was taken away hears
 * of it with its next renewal, and engines refuse its fencing number.
 */
void
World::check_sender(int i)
{
	if (now < revoked_at + 2 * NSEC_PER_SEC)
		return;

	auto lock = keys.find("lease/orders");

	RC_ASSERT(lock != keys.end());
	RC_ASSERT(lock->second.value.find("\"incarnation\":" +
		      std::to_string(holders[i].incarnation)) !=
	    std::string::npos);
}

void
World::collect(int i, kv_ops *ops, steward_orders *orders)
{
	steward_order *o;
	kv_op *op;

	while ((op = TAILQ_FIRST(ops)) != nullptr) {
		TAILQ_REMOVE(ops, op, entry);
		KvSent c = { i, holders[i].incarnation, op,
			now + 2 * NSEC_PER_MSEC, now + 4 * NSEC_PER_MSEC, {},
			"", false };

		c.result.id = op->id;
		c.result.kind = op->kind;
		if (now < outage_until) {
			/* Done late, or not at all. */
			c.arrive = draw() < 0.5
			    ? now + (uint64_t)(draw() * 3e9)
			    : TIME_NEVER;
			c.answer = now + 1500 * NSEC_PER_MSEC;
		}
		kv_sent.push_back(c);
	}
	while ((o = TAILQ_FIRST(orders)) != nullptr) {
		TAILQ_REMOVE(orders, o, entry);
		if (o->kind != STEWARD_REPORT && now >= outage_until)
			check_sender(i);
		Sent c = { i, holders[i].incarnation, *o,
			now + 2 * NSEC_PER_MSEC, now + 4 * NSEC_PER_MSEC,
			ANSWER_NONE, {} };

		if (o->kind != STEWARD_REPORT && draw() < lose) {
			c.answer = now + 600 * NSEC_PER_MSEC;
			c.arrive = draw() < 0.7
			    ? now + (uint64_t)(draw() * 12e9)
			    : TIME_NEVER;
		}
		sent.push_back(c);
		free(o);
	}
}

void
World::tick(int i)
{
	kv_ops ops;
	steward_orders orders;
	steward_out out = { &ops, &orders };

	if (frozen(i))
		return;
	for (int m = 0; m < kModels; m++) {
		char name[NAME_SIZE];

		snprintf(name, sizeof(name), "m%d", m);
		demand_update(steward_demand(holders[i].s), now, 1, name,
		    arrivals[m], running[m], 0);
	}
	TAILQ_INIT(&ops);
	TAILQ_INIT(&orders);
	steward_tick(holders[i].s, now, conf, &out);
	collect(i, &ops, &orders);
}

void
World::step()
{
	now += kStep;
	engines_step();
	list_step();
	kv_step();
	sent_step();
	for (int i = 0; i < kHolders; i++)
		tick(i);
}

void
World::advance(uint64_t for_ns)
{
	for (uint64_t end = now + for_ns; now < end;)
		step();
}

void
World::apply(OpKind kind, int a, int b)
{
	switch (kind) {
	case OP_ADVANCE:
		advance((uint64_t)(b + 1) * NSEC_PER_MSEC);
		break;
	case OP_LONG_ADVANCE:
		advance((uint64_t)(b + 1) * 10 * NSEC_PER_MSEC);
		break;
	case OP_DEMAND:
		running[a % kModels] = (uint32_t)b / 5;
		arrivals[a % kModels] += (uint64_t)b;
		break;
	case OP_ASK:
		for (auto &h : holders) {
			char name[FLEET_NAME_SIZE];

			snprintf(name, sizeof(name), "m%d/a%d", a % kModels,
			    b % kAdapters);
			steward_asked(h.s, now, name);
		}
		break;
	case OP_LOSE:
		lose = b / 2000.0;
		break;
	case OP_RESTART:
		/* Empty, under the id that it had. */
		engines[a % kReplicas].now = Held();
		engines[a % kReplicas].now.born = now;
		engines[a % kReplicas].fence = 0;
		break;
	case OP_KILL:
		stop(a % kHolders);
		start(a % kHolders);
		break;
	case OP_FREEZE:
		holders[a % kHolders].frozen_until =
		    now + (uint64_t)b * 5 * NSEC_PER_MSEC;
		break;
	case OP_OUTAGE:
		outage_until = now + (uint64_t)b * 5 * NSEC_PER_MSEC;
		break;
	case OP_REVOKE:
		leases.clear();
		revoked_at = now;
		break;
	default:
		lose = 0.0;
		break;
	}
}

/* Left alone, every model finds a copy again. */
void
World::finish()
{
	lose = 0.0;
	outage_until = 0;
	for (auto &h : holders)
		h.frozen_until = 0;
	advance(60 * NSEC_PER_SEC);
	for (int m = 0; m < kModels; m++) {
		std::string name = "m" + std::to_string(m);
		int copies = 0;

		for (auto &e : engines)
			copies += (int)e.now.models.count(name);
		RC_ASSERT(copies > 0);
	}
}
