/*
 * Placement of models, replayed in virtual time for the load patterns that it
 * answers, beside the rule that it replaced: ten requests a copy, a copy of
 * every model first, one unload a model at a time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "placement.h"
#include "unit.h"

#define MS NSEC_PER_MSEC
#define S NSEC_PER_SEC
#define STEP (100 * MS)
#define UNLOAD_TIME (200 * MS)
#define PLACES 3  /* models that fit a replica */
#define COPIES 17 /* of a replica, at most */
#define MODEL_MB 70
#define TEN_REQUESTS 10.0

/* A fleet whose engines carry out moves at the weight store's rate. */
struct fleet {
	uint32_t nmodels;
	uint32_t nreplicas;
	uint32_t slots;
	double loads_per_s;
	uint64_t load_time;
	uint64_t now;
	double allowance; /* loads that the store's rate allows now */
	int old_rule;
	struct placement_config config;
	struct placement_model *models;
	struct placement_replica *replicas;
	uint64_t *done_at; /* end of the order at each replica */
	uint32_t loads;
};

static void fleet_open(struct fleet *, uint32_t, uint32_t, int);
static void fleet_close(struct fleet *);
static void fleet_hold(struct fleet *, uint32_t, uint32_t);
static void fleet_run(struct fleet *, uint64_t);
static void fleet_finish_orders(struct fleet *);
static void fleet_start(struct fleet *, const struct placement_move *);
static int fleet_holds(const struct fleet *, uint32_t, uint32_t);
static uint32_t fleet_copies(const struct fleet *, uint32_t);
static double fleet_serve(const struct fleet *, uint32_t, double *);
static double fleet_served(const struct fleet *);
static uint32_t old_plan(struct fleet *, struct placement_move *, uint32_t);
static int old_plan_for(struct fleet *, uint32_t, struct placement_move *);
static double replay_shift(int);
static double replay_rare(int);
static void test_shift(void);
static void test_rare_models(void);
static void test_before_traffic(void);
static void test_lost_replicas(void);
static void test_last_copy(void);
static void test_all_models(void);
static void test_large_tables(void);
static void fleet_replace(struct fleet *, uint32_t);
static void test_replaced_two_at_a_time(void);

static void
fleet_open(struct fleet *f, uint32_t nmodels, uint32_t nreplicas, int old_rule)
{
	uint32_t i;

	memset(f, 0, sizeof(*f));
	f->nmodels = nmodels;
	f->nreplicas = nreplicas;
	f->slots = 12;
	f->loads_per_s = 34.0;
	f->load_time = 9 * S;
	f->now = 100 * S;
	f->old_rule = old_rule;
	placement_config_default(&f->config);
	f->config.slots = f->slots;
	f->models = mem_alloc(nmodels * sizeof(*f->models));
	f->replicas = mem_alloc(nreplicas * sizeof(*f->replicas));
	f->done_at = mem_alloc(nreplicas * sizeof(*f->done_at));
	for (i = 0; i < nmodels; i++)
		f->models[i].memory_mb = MODEL_MB;
	for (i = 0; i < nreplicas; i++) {
		f->replicas[i].usable = 1;
		f->replicas[i].slots = f->slots;
		f->replicas[i].free_mb = (uint64_t)PLACES * MODEL_MB;
		f->replicas[i].reserved_for = PLACEMENT_NONE;
		f->replicas[i].copies_size = COPIES;
		f->replicas[i].copies =
		    mem_alloc(COPIES * sizeof(*f->replicas[i].copies));
	}
}

static void
fleet_close(struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->nreplicas; i++)
		free(f->replicas[i].copies);
	free(f->models);
	free(f->replicas);
	free(f->done_at);
}

/* Puts a loaded copy on a replica with free memory. */
static void
fleet_hold(struct fleet *f, uint32_t replica, uint32_t model)
{
	struct placement_replica *r = &f->replicas[replica];

	r->copies[r->ncopies].model = model;
	r->copies[r->ncopies++].resident = 1;
	r->free_mb -= MODEL_MB;
}

static void
fleet_finish_orders(struct fleet *f)
{
	struct placement_replica *r;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < f->nreplicas; i++) {
		r = &f->replicas[i];
		if (!r->busy || f->now < f->done_at[i])
			continue;
		r->busy = 0;
		r->free_mb += r->freeing_mb;
		r->freeing_mb = 0;
		for (k = 0; k < r->ncopies; k++) {
			if (!r->copies[k].resident)
				r->reserved_for = PLACEMENT_NONE;
			r->copies[k].resident = 1;
		}
	}
}

static void
fleet_start(struct fleet *f, const struct placement_move *m)
{
	struct placement_replica *r = &f->replicas[m->replica];
	uint32_t k;

	if (m->kind == PLACEMENT_LOAD) {
		if (f->allowance < 1.0)
			return;
		f->allowance -= 1.0;
		f->loads++;
		fleet_hold(f, m->replica, m->model);
		r->copies[r->ncopies - 1].resident = 0;
		f->models[m->model].moved_at = f->now;
		f->done_at[m->replica] = f->now + f->load_time;
	} else {
		for (k = 0; r->copies[k].model != m->model; k++)
			continue;
		r->copies[k] = r->copies[--r->ncopies];
		r->freeing_mb = MODEL_MB;
		r->reserved_for = (int)m->for_model;
		f->done_at[m->replica] = f->now + UNLOAD_TIME;
	}
	r->busy = 1;
}

static void
fleet_run(struct fleet *f, uint64_t for_ns)
{
	struct placement_move moves[32];
	struct placement_replica *plan;
	struct placement_copy *copies;
	uint64_t end = f->now + for_ns;
	uint32_t n;
	uint32_t i;

	plan = mem_alloc(f->nreplicas * sizeof(*plan));
	copies = mem_alloc((size_t)f->nreplicas * COPIES * sizeof(*copies));
	for (; f->now < end; f->now += STEP) {
		fleet_finish_orders(f);
		f->allowance += f->loads_per_s * (double)STEP / (double)S;
		if (f->allowance > f->loads_per_s)
			f->allowance = f->loads_per_s;
		for (i = 0; i < f->nmodels; i++) {
			if (f->models[i].demand > 0.0)
				f->models[i].requested_at = f->now;
		}
		/* The plan's view of the replicas is thrown away. */
		memcpy(plan, f->replicas, f->nreplicas * sizeof(*plan));
		for (i = 0; i < f->nreplicas; i++) {
			plan[i].copies = copies + (size_t)i * COPIES;
			memcpy(plan[i].copies, f->replicas[i].copies,
			    COPIES * sizeof(*copies));
		}
		f->config.max_unloads = (uint32_t)f->loads_per_s;
		n = f->old_rule
		    ? old_plan(f, moves, 8)
		    : placement_plan(&f->config, f->now, f->models, f->nmodels,
			  plan, f->nreplicas, moves, nitems(moves));
		for (i = 0; i < n; i++)
			fleet_start(f, &moves[i]);
	}
	free(copies);
	free(plan);
}

/* Whether a replica that is not leaving has the model loaded. */
static int
fleet_holds(const struct fleet *f, uint32_t replica, uint32_t model)
{
	const struct placement_replica *r = &f->replicas[replica];
	uint32_t k;

	for (k = 0; k < r->ncopies && !r->leaving; k++) {
		if (r->copies[k].model == model)
			return r->copies[k].resident;
	}
	return 0;
}

static uint32_t
fleet_copies(const struct fleet *f, uint32_t model)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < f->nreplicas; i++)
		n += (uint32_t)fleet_holds(f, i, model);
	return n;
}

/* Gives a model's requests the free slots of its replicas; returns how many. */
static double
fleet_serve(const struct fleet *f, uint32_t model, double *left)
{
	double want = f->models[model].demand;
	double take;
	uint32_t i;

	for (i = 0; i < f->nreplicas && want > 0.0; i++) {
		if (!fleet_holds(f, i, model))
			continue;
		take = want < left[i] ? want : left[i];
		left[i] -= take;
		want -= take;
	}
	return f->models[model].demand - want;
}

/*
 * Share of the demand that has a slot now.  Models with one copy, which have no
 * choice of a replica, take their slots first.
 */
static double
fleet_served(const struct fleet *f)
{
	double *left = mem_alloc(f->nreplicas * sizeof(*left));
	double asked = 0.0;
	double served = 0.0;
	uint32_t i;
	uint32_t m;
	int single;

	for (i = 0; i < f->nreplicas; i++)
		left[i] = f->replicas[i].leaving ? 0.0 : f->slots;
	for (single = 1; single >= 0; single--) {
		for (m = 0; m < f->nmodels; m++) {
			if ((fleet_copies(f, m) < 2) != single)
				continue;
			asked += f->models[m].demand;
			served += fleet_serve(f, m, left);
		}
	}
	free(left);
	return asked > 0.0 ? served / asked : 1.0;
}

/* One move of the old rule for a model, if one can start now. */
static int
old_plan_for(struct fleet *f, uint32_t model, struct placement_move *move)
{
	struct placement_replica *r;
	uint32_t i;
	uint32_t k;

	memset(move, 0, sizeof(*move));
	move->model = model;
	move->for_model = model;
	for (i = 0; i < f->nreplicas; i++) {
		r = &f->replicas[i];
		for (k = 0; k < r->ncopies && r->copies[k].model != model; k++)
			continue;
		if (r->freeing_mb != 0 && k == r->ncopies)
			return 0; /* one unload at a time */
		if (r->busy || k < r->ncopies || r->free_mb < MODEL_MB)
			continue;
		move->kind = PLACEMENT_LOAD;
		move->replica = i;
		return 1;
	}
	for (i = 0; i < f->nreplicas; i++) {
		r = &f->replicas[i];
		for (k = 0; k < r->ncopies && !r->busy; k++) {
			if (r->copies[k].model == model ||
			    fleet_copies(f, r->copies[k].model) < 2 ||
			    f->models[r->copies[k].model].demand > 0.0)
				continue;
			move->kind = PLACEMENT_UNLOAD;
			move->model = r->copies[k].model;
			move->replica = i;
			return 1;
		}
	}
	return 0;
}

static uint32_t
old_plan(struct fleet *f, struct placement_move *moves, uint32_t max)
{
	uint32_t n = 0;
	uint32_t copies;
	uint32_t m;
	uint32_t i;
	uint32_t k;

	for (m = 0; m < f->nmodels && n < max; m++) {
		copies = 0;
		for (i = 0; i < f->nreplicas; i++) {
			for (k = 0; k < f->replicas[i].ncopies; k++)
				copies += f->replicas[i].copies[k].model == m;
		}
		if (copies != 0 && f->models[m].demand <= copies * TEN_REQUESTS)
			continue;
		if (!old_plan_for(f, m, &moves[n]))
			continue;
		fleet_start(f, &moves[n]);
		n++;
	}
	return 0; /* started above */
}

/*
 * 240 replicas, 444 models: one model has 276 copies more than the others, and
 * its 900 requests move to three models with one copy each.  Returns the share
 * served once the loads that the shift needs can have ended.
 */
static double
replay_shift(int old_rule)
{
	struct fleet f;
	double served;
	uint32_t m = 0;
	uint32_t i;

	fleet_open(&f, 444, 240, old_rule);
	for (i = 0; i < 720; i++)
		fleet_hold(&f, i % 240,
		    i < 240	  ? 0
			: i < 683 ? ++m
				  : i % 36 + 1);
	f.models[0].demand = 900.0;
	fleet_run(&f, 5 * S);
	f.models[0].demand = 0.0;
	for (i = 1; i <= 3; i++)
		f.models[(size_t)i * 100].demand = 300.0;
	/* 900 requests at the target use are 125 replicas: 4 s at 34 a second.
	 */
	fleet_run(&f, 4 * S + f.load_time + S);
	served = fleet_served(&f);
	fleet_close(&f);
	return served;
}

static void
test_shift(void)
{
	double after = replay_shift(0);
	double before = replay_shift(1);

	printf("shift: served %.2f, old rule %.2f\n", after, before);
	CU_ASSERT(after >= 0.95);
	CU_ASSERT(after > before);
}

/*
 * 18 replicas, 444 models, 54 of them loaded: requests for 12 models that are
 * not, beside three busy ones.
 */
static double
replay_rare(int old_rule)
{
	struct fleet f;
	double served;
	uint32_t i;

	fleet_open(&f, 444, 18, old_rule);
	f.loads_per_s = 3.6;
	for (i = 0; i < 54; i++)
		fleet_hold(&f, i % 18, i < 18 ? i % 3 : i);
	for (i = 0; i < 3; i++)
		f.models[i].demand = 12.0;
	fleet_run(&f, 5 * S);
	for (i = 0; i < 12; i++) {
		f.models[100 + i].demand = 1.0;
		f.models[100 + i].waiting = 1.0;
	}
	f.config.evict_last = 1;
	fleet_run(&f, 4 * S + f.load_time + S);
	served = fleet_served(&f);
	fleet_close(&f);
	return served;
}

static void
test_rare_models(void)
{
	double after = replay_rare(0);
	double before = replay_rare(1);

	printf("rare models: served %.2f, old rule %.2f\n", after, before);
	CU_ASSERT(after >= 0.95);
	CU_ASSERT(after > before);
}

/* Before the first request, copies say where demand was: they stay. */
static void
test_before_traffic(void)
{
	struct fleet f;
	uint32_t i;

	fleet_open(&f, 444, 18, 0);
	for (i = 0; i < 54; i++)
		fleet_hold(&f, i % 18, i % 5);
	fleet_run(&f, 14 * S);
	CU_ASSERT_EQUAL(f.loads, 0);
	CU_ASSERT(fleet_copies(&f, 0) >= 10);
	fleet_close(&f);
}

/* A third of the replicas leaves: what they held is loaded elsewhere. */
static void
test_lost_replicas(void)
{
	struct fleet f;
	uint32_t i;

	fleet_open(&f, 30, 30, 0);
	for (i = 0; i < 30; i++) {
		fleet_hold(&f, i, i);
		f.models[i].demand = 4.0;
	}
	for (i = 0; i < 10; i++)
		f.replicas[i].leaving = 1;
	fleet_run(&f, f.load_time + 2 * S);
	for (i = 0; i < 30; i++)
		CU_ASSERT(fleet_copies(&f, i) >= 1);
	CU_ASSERT(fleet_served(&f) >= 0.95);
	fleet_close(&f);
}

/*
 * While memory holds a copy of every model, no overload takes a model's last
 * copy; when it does not, one that was requested in the last seconds stays.
 */
static void
test_last_copy(void)
{
	struct fleet f;
	uint32_t i;

	fleet_open(&f, 13, 4, 0);
	for (i = 0; i < 12; i++)
		fleet_hold(&f, i % 4, i);
	f.models[0].demand = 200.0;
	fleet_run(&f, 30 * S);
	for (i = 0; i < 12; i++)
		CU_ASSERT_EQUAL(fleet_copies(&f, i), 1);
	f.config.evict_last = 1;
	for (i = 1; i < 12; i++)
		f.models[i].requested_at = f.now;
	f.models[12].demand = 5.0;
	f.models[12].waiting = 5.0;
	fleet_run(&f, 10 * S);
	CU_ASSERT_EQUAL(fleet_copies(&f, 12), 0);
	fleet_run(&f, 30 * S);
	CU_ASSERT_EQUAL(fleet_copies(&f, 12), 1);
	CU_ASSERT(fleet_copies(&f, 0) >= 1);
	fleet_close(&f);
}

/* Surplus copies give way until every declared model has one. */
static void
test_all_models(void)
{
	struct fleet f;
	uint32_t i;

	fleet_open(&f, 12, 4, 0);
	for (i = 0; i < 12; i++)
		fleet_hold(&f, i % 4, i % 4 == 0 ? i / 4 : 3 + i % 4);
	for (i = 0; i < 4; i++) /* no copy twice on a replica */
		f.replicas[i].ncopies = 1;
	for (i = 0; i < 4; i++)
		f.replicas[i].free_mb = 2ULL * MODEL_MB;
	f.models[0].demand = 100.0;
	f.config.evict = PLACEMENT_EVICT_SURPLUS;
	fleet_run(&f, 60 * S);
	for (i = 0; i < 12; i++)
		CU_ASSERT(fleet_copies(&f, i) >= 1);
	fleet_close(&f);
}

/* No table is fitted to a fleet: 1,000 replicas, 2,000 models. */
static void
test_large_tables(void)
{
	struct fleet f;
	uint32_t i;

	fleet_open(&f, 2000, 1000, 0);
	f.loads_per_s = 100.0;
	for (i = 0; i < 1000; i++)
		fleet_hold(&f, i, i);
	f.models[1999].demand = 20.0;
	f.models[999].demand = 50.0;
	fleet_run(&f, 21 * S);
	CU_ASSERT(fleet_copies(&f, 1999) >= 2);
	CU_ASSERT(fleet_copies(&f, 999) >= 5);
	CU_ASSERT(f.loads >= 900);
	fleet_close(&f);
}

/* An empty replica in place of another. */
static void
fleet_replace(struct fleet *f, uint32_t replica)
{
	struct placement_replica *r = &f->replicas[replica];

	r->ncopies = 0;
	r->busy = 0;
	r->reserved_for = PLACEMENT_NONE;
	r->freeing_mb = 0;
	r->free_mb = (uint64_t)PLACES * MODEL_MB;
}

/*
 * All replicas are replaced, two a second, while the store allows 1.4 loads a
 * second: the model asked for most gets copies beside those of rare models.
 */
static void
test_replaced_two_at_a_time(void)
{
	struct fleet f;
	uint32_t i;

	fleet_open(&f, 20, 12, 0);
	f.loads_per_s = 1.4;
	f.slots = f.config.slots = 64;
	for (i = 0; i < 12; i++) {
		f.replicas[i].slots = f.slots;
		fleet_hold(&f, i, i % 2 == 0 ? 0 : 1 + i / 2);
		fleet_hold(&f, i, 7 + i);
	}
	for (i = 0; i < 20; i++)
		f.models[i].demand = 1.0;
	f.models[0].demand = 240.0;
	for (i = 0; i < 12; i += 2) {
		fleet_replace(&f, i);
		fleet_replace(&f, i + 1);
		fleet_run(&f, 1 * S);
	}
	fleet_run(&f, 13 * S);
	CU_ASSERT(fleet_served(&f) >= 0.7);
	CU_ASSERT(fleet_copies(&f, 0) >= 3);
	fleet_run(&f, 30 * S);
	for (i = 0; i < 20; i++)
		CU_ASSERT(fleet_copies(&f, i) >= 1);
	fleet_close(&f);
}

static const struct unit_case cases[] = {
	{ "demand moves to other models", test_shift },
	{ "rare models", test_rare_models },
	{ "before traffic", test_before_traffic },
	{ "lost replicas", test_lost_replicas },
	{ "last copies", test_last_copy },
	{ "all declared models", test_all_models },
	{ "large tables", test_large_tables },
	{ "replaced two at a time", test_replaced_two_at_a_time },
};

UNIT_MAIN("placement", cases)
