/* A cell's owner, with a key-value service and one engine in virtual time. */
#include <stdlib.h>
#include <string.h>

#include "cell.h"
#include "unit.h"

#define STEP_NS (50 * NSEC_PER_MSEC)
#define MODELS 3
#define KEYS_MAX 8

/* Two versions of the first model; the later one is declared. */
enum {
	VERSION_OLD,
	VERSION_NEW,
	LARGE,
	SMALL,
	COPIES
};

static const char *const names[COPIES] = { "m", "m", "large", "small" };
static const char *const versions[COPIES] = { "1", "2", "1", "1" };

/* An engine that refuses no order; it may restart after a load. */
static struct {
	uint64_t incarnation;
	int loaded[COPIES];
	int loads_until_restart; /* 0: none */
	int unloads;
	int silent; /* does not answer INDEX */
	int refuses_load;
} engine;

static struct {
	char key[KV_KEY_SIZE];
	char *value; /* NULL: absent */
	uint64_t revision;
} keys[KEYS_MAX];

static struct cell_core *cell;
static struct conf conf;
/* Only the first is declared at the start. */
static struct conf_model models[MODELS];
static struct conf_backend backend;
static struct kv_ids ids;
static struct msg_list msgs;
static struct kv_ops ops;
static struct orders orders;
static struct cell_out out = { &msgs, &ops, &orders };
static uint64_t now;
static uint64_t kv_revision;
static int kv_down;
/* The next write with this text is answered only when it is released. */
static const char *hold_text;
static struct kv_op *held_op;
static const char no_headroom[] = "\"memory_mb\":0}}";
/* The service goes down with the write that releases the headroom. */
static int lose_release;

static int process_ended(void *, const struct node_id *);
static int served_elsewhere(void *, const char *, const char *);
static int config_applied(void *, uint64_t);
static void setup(const char *);
static void teardown(void);
static void drop_messages(void);
static size_t kv_find(const char *);
static void kv_put(size_t, const char *);
static void kv_remove(size_t);
static void kv_answer(const struct kv_op *);
static void model_init(struct conf_model *, int, uint64_t);
static int copy_index(const struct order *);
static uint64_t copy_mb(int);
static uint64_t loaded_mb(void);
static void engine_restart(void);
static void engine_index(struct order_result *, struct order_loaded *);
static void engine_carry_out(const struct order *);
static void step(void);
static void advance(uint64_t);
static void start_slow_unload(void);
static void release_write(void);
static void check_new_version_alone(void);
static void test_restart_between_loads(void);
static void test_old_version_is_unloaded(void);
static void test_copy_lost_during_write(void);
static void test_unload_is_withdrawn(void);
static void test_silence_during_write(void);
static void test_delegated_copy_of_former_owner(void);
static void test_stood_still_during_outage(void);
static void test_headroom_for_second_model(void);
static void start_release(void);
static void check_release_without_answer(void);
static void test_headroom_release_in_doubt(void);
static void test_headroom_release_in_flight(void);

static int
process_ended(void *ctx, const struct node_id *id)
{
	(void)ctx;
	(void)id;
	return 1;
}

static int
served_elsewhere(void *ctx, const char *name, const char *except)
{
	(void)ctx;
	(void)name;
	(void)except;
	return 0;
}

static int
config_applied(void *ctx, uint64_t since)
{
	(void)ctx;
	(void)since;
	return 1;
}

static void
model_init(struct conf_model *m, int copy, uint64_t mb)
{
	memset(m, 0, sizeof(*m));
	strcpy(m->name, names[copy]);
	strcpy(m->version, versions[copy]);
	m->memory_mb = mb;
	m->copies = 1;
	m->nhome_cells = 1;
	strcpy(m->home_cells[0], "main");
}

/* A process that takes the cell over, with the stored ledger. */
static void
setup(const char *ledger)
{
	static const struct cell_env env = { process_ended, served_elsewhere,
		config_applied, NULL };
	static const struct node_id self = { "10.0.0.1:1", 5 };
	struct cell_config config;

	now = 10 * NSEC_PER_SEC;
	kv_down = 0;
	hold_text = NULL;
	held_op = NULL;
	lose_release = 0;
	TAILQ_INIT(&msgs);
	TAILQ_INIT(&ops);
	TAILQ_INIT(&orders);
	memset(&engine, 0, sizeof(engine));
	engine.incarnation = 101;
	model_init(&models[0], VERSION_NEW, 30);
	model_init(&models[1], LARGE, 80);
	model_init(&models[2], SMALL, 45);
	memset(&backend, 0, sizeof(backend));
	strcpy(backend.name, "e1");
	strcpy(backend.cell, "main");
	backend.naccelerators = 1;
	backend.memory_mb[0] = 100;
	conf.models = models;
	conf.nmodels = 1;
	conf.backends = &backend;
	conf.nbackends = 1;
	conf.store.loads_per_second = 10.0;
	conf.store.concurrent = 4;
	kv_put(kv_find("ledger/e1"), ledger);
	cell_config_default(&config);
	cell = cell_create(&config, "main", &self, &ids, &env);
	cell_configure(cell, now, &conf, &out);
	cell_set_candidate(cell, 1, 0);
}

static void
teardown(void)
{
	struct order *o;
	struct kv_op *op;
	size_t i;

	drop_messages();
	while ((op = TAILQ_FIRST(&ops)) != NULL) {
		TAILQ_REMOVE(&ops, op, entry);
		kv_op_destroy(op);
	}
	while ((o = TAILQ_FIRST(&orders)) != NULL) {
		TAILQ_REMOVE(&orders, o, entry);
		order_destroy(o);
	}
	cell_destroy(cell);
	for (i = 0; i < KEYS_MAX; i++)
		free(keys[i].value);
	memset(keys, 0, sizeof(keys));
}

static void
drop_messages(void)
{
	struct msg *m;

	while ((m = TAILQ_FIRST(&msgs)) != NULL) {
		TAILQ_REMOVE(&msgs, m, entry);
		msg_destroy(m);
	}
}

/* The key's record, or an unused one. */
static size_t
kv_find(const char *key)
{
	size_t i;

	for (i = 0; i + 1 < KEYS_MAX; i++) {
		if (keys[i].key[0] == '\0')
			strcpy(keys[i].key, key);
		if (strcmp(keys[i].key, key) == 0)
			break;
	}
	return i;
}

static void
kv_put(size_t i, const char *value)
{
	free(keys[i].value);
	keys[i].value = strdup(value);
	keys[i].revision = ++kv_revision;
}

static void
kv_remove(size_t i)
{
	free(keys[i].value);
	keys[i].value = NULL;
	keys[i].revision = 0;
}

static void
kv_answer(const struct kv_op *op)
{
	struct kv_result r = { 0 };
	size_t i = kv_find(op->key);

	r.id = op->id;
	r.kind = op->kind;
	r.status = KV_OK;
	if (kv_down) {
		r.status = KV_UNKNOWN;
		cell_handle_kv_result(cell, now, &r, &out);
		return;
	}
	if (op->kind == KV_GRANT)
		r.lease_id = 1;
	if (op->kind == KV_GET && keys[i].value == NULL)
		r.status = KV_ABSENT;
	if (op->kind == KV_CAS && keys[i].revision != op->expected_revision)
		r.status = KV_CONFLICT;
	else if (op->kind == KV_CAS)
		kv_put(i, op->value);
	if (lose_release && op->kind == KV_CAS &&
	    strstr(op->value, no_headroom) != NULL) {
		lose_release = 0;
		kv_down = 1;
		r.status = KV_UNKNOWN;
	}
	r.value = keys[i].value;
	r.revision = keys[i].revision;
	cell_handle_kv_result(cell, now, &r, &out);
}

static int
copy_index(const struct order *o)
{
	int i;

	for (i = 0; i + 1 < COPIES; i++) {
		if (strcmp(names[i], o->model) == 0 &&
		    strcmp(versions[i], o->version) == 0)
			break;
	}
	return i;
}

static uint64_t
copy_mb(int copy)
{
	return models[copy < LARGE ? 0 : copy - LARGE + 1].memory_mb;
}

static uint64_t
loaded_mb(void)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < COPIES; i++)
		sum += engine.loaded[i] ? copy_mb(i) : 0;
	return sum;
}

static void
engine_restart(void)
{
	engine.incarnation++;
	memset(engine.loaded, 0, sizeof(engine.loaded));
}

static void
engine_index(struct order_result *r, struct order_loaded *list)
{
	int i;

	r->engine_incarnation = engine.incarnation;
	r->loaded = list;
	memset(list, 0, COPIES * sizeof(*list));
	for (i = 0; i < COPIES; i++) {
		if (!engine.loaded[i])
			continue;
		strcpy(list[r->nloaded].model, names[i]);
		strcpy(list[r->nloaded].version, versions[i]);
		list[r->nloaded++].memory_mb = copy_mb(i);
	}
}

/* Only the answer to INDEX tells the engine's incarnation. */
static void
engine_carry_out(const struct order *o)
{
	struct order_loaded list[COPIES];
	struct order_result r = { 0 };

	r.id = o->id;
	r.outcome = ORDER_DONE;
	switch (o->kind) {
	case ORDER_INDEX:
		if (engine.silent)
			r.outcome = ORDER_UNKNOWN;
		else
			engine_index(&r, list);
		break;
	case ORDER_LOAD:
		if (engine.refuses_load) {
			r.outcome = ORDER_REFUSED;
			break;
		}
		engine.loaded[copy_index(o)] = 1;
		CU_ASSERT(loaded_mb() <= backend.memory_mb[0]);
		if (engine.loads_until_restart > 0 &&
		    --engine.loads_until_restart == 0)
			engine_restart();
		break;
	case ORDER_UNLOAD:
		engine.unloads++;
		engine.loaded[copy_index(o)] = 0;
		/* The model keeps a copy. */
		CU_ASSERT(
		    engine.loaded[VERSION_OLD] || engine.loaded[VERSION_NEW]);
		break;
	default:
		break;
	}
	cell_handle_order_result(cell, now, &r, &out);
}

/* Orders take one step, operations of the key-value service no time. */
static void
step(void)
{
	struct orders sent = TAILQ_HEAD_INITIALIZER(sent);
	struct order *o;
	struct kv_op *op;

	TAILQ_CONCAT(&sent, &orders, entry);
	now += STEP_NS;
	while ((o = TAILQ_FIRST(&sent)) != NULL) {
		TAILQ_REMOVE(&sent, o, entry);
		engine_carry_out(o);
		order_destroy(o);
	}
	cell_tick(cell, now, &out);
	while ((op = TAILQ_FIRST(&ops)) != NULL) {
		TAILQ_REMOVE(&ops, op, entry);
		if (hold_text != NULL && op->kind == KV_CAS &&
		    strstr(op->value, hold_text) != NULL) {
			held_op = op;
			hold_text = NULL;
			continue;
		}
		kv_answer(op);
		kv_op_destroy(op);
	}
	drop_messages();
}

static void
advance(uint64_t ns)
{
	uint64_t until;

	for (until = now + ns; now < until;)
		step();
}

/*
 * The engine restarts between the answers to two loads, so that only the
 * second copy is there.  The first one must not count for its removal.
 */
static void
test_restart_between_loads(void)
{
	setup("{\"fence\":0,\"engine\":100,\"next\":2,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"2\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]},"
	      "{\"id\":2,\"model\":\"m\",\"version\":\"1\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loads_until_restart = 1;
	advance(10 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(engine.incarnation, 102);
	CU_ASSERT_EQUAL(engine.unloads, 1);
	CU_ASSERT_FALSE(engine.loaded[VERSION_OLD]);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);
	teardown();
}

/* Without a restart the old version goes once the new one serves. */
static void
test_old_version_is_unloaded(void)
{
	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"1\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_OLD] = 1;
	advance(5 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(engine.unloads, 1);
	CU_ASSERT_FALSE(engine.loaded[VERSION_OLD]);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);
	teardown();
}

/*
 * The old version's unload is decided, as the new one serves; its write then
 * takes longer than the list of copies may count, and no other list arrives.
 */
static void
start_slow_unload(void)
{
	int i;

	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"1\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_OLD] = 1;
	hold_text = "unloading";
	for (i = 0; i < 200 && held_op == NULL; i++)
		step();
	CU_ASSERT_PTR_NOT_NULL_FATAL(held_op);
	engine.silent = 1;
	advance(3500 * NSEC_PER_MSEC);
}

static void
release_write(void)
{
	kv_answer(held_op);
	kv_op_destroy(held_op);
	advance(NSEC_PER_SEC);
	CU_ASSERT_EQUAL(engine.unloads, 0);
	engine.silent = 0;
	advance(10 * NSEC_PER_SEC);
}

static void
check_new_version_alone(void)
{
	CU_ASSERT_FALSE(engine.loaded[VERSION_OLD]);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);
}

/* The engine restarts meanwhile, so that nothing is left to unload. */
static void
test_copy_lost_during_write(void)
{
	start_slow_unload();
	engine_restart();
	release_write();
	CU_ASSERT_EQUAL(engine.unloads, 0);
	check_new_version_alone();
	teardown();
}

/* The new version is lost meanwhile, so that the old one must stay. */
static void
test_unload_is_withdrawn(void)
{
	start_slow_unload();
	engine.loaded[VERSION_NEW] = 0;
	engine.refuses_load = 1;
	release_write();
	CU_ASSERT_EQUAL(engine.unloads, 0);
	CU_ASSERT_PTR_NULL(
	    strstr(keys[kv_find("ledger/e1")].value, "unloading"));
	engine.refuses_load = 0;
	advance(10 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(engine.unloads, 1);
	check_new_version_alone();
	teardown();
}

/* Nothing is lost: the old version goes once the engine answers again. */
static void
test_silence_during_write(void)
{
	start_slow_unload();
	release_write();
	CU_ASSERT_EQUAL(engine.unloads, 1);
	check_new_version_alone();
	teardown();
}

/*
 * While the service is down, a copy is loaded into the delegated memory.
 * Another owner follows, under which the copy ends.  When the former owner
 * takes the cell again, it must not wait for an entry for that copy.
 */
static void
test_delegated_copy_of_former_owner(void)
{
	struct cell_totals before;
	struct cell_totals after;

	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"1\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_OLD] = 1;
	strcpy(models[0].version, versions[VERSION_OLD]);
	advance(3 * NSEC_PER_SEC);
	kv_down = 1;
	advance(5 * NSEC_PER_SEC);
	strcpy(models[0].version, versions[VERSION_NEW]);
	engine_restart();
	advance(3 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);

	engine_restart();
	kv_put(kv_find("lease/main"),
	    "{\"owner\":\"10.0.0.2:1\",\"incarnation\":7,\"lease\":9}");
	kv_put(kv_find("cell/main"),
	    "{\"owner\":\"10.0.0.2:1\",\"incarnation\":7,\"lease\":9,"
	    "\"fence\":9}");
	kv_put(kv_find("ledger/e1"),
	    "{\"fence\":9,\"engine\":103,\"next\":5,\"entries\":[],"
	    "\"delegation\":{\"addr\":\"10.0.0.2:1\",\"incarnation\":7,"
	    "\"accelerator\":0,\"memory_mb\":0}}");
	strcpy(models[0].version, versions[VERSION_OLD]);
	kv_down = 0;
	cell_handle_superseded(cell, 9);
	advance(2 * NSEC_PER_SEC);
	CU_ASSERT_FALSE(cell_is_owner(cell));
	kv_remove(kv_find("lease/main"));
	advance(5 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(engine.loaded[VERSION_OLD]);
	cell_totals(cell, &before);
	advance(5 * NSEC_PER_SEC);
	cell_totals(cell, &after);
	CU_ASSERT_EQUAL(after.ledger_writes, before.ledger_writes);
	teardown();
}

/*
 * A process that stood still while the service was down cannot know whether
 * another has taken its delegated memory, so it orders nothing there until the
 * service answers.
 */
static void
test_stood_still_during_outage(void)
{
	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"1\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_OLD] = 1;
	strcpy(models[0].version, versions[VERSION_OLD]);
	advance(3 * NSEC_PER_SEC);
	kv_down = 1;
	advance(5 * NSEC_PER_SEC);
	strcpy(models[0].version, versions[VERSION_NEW]);
	engine_restart();
	now += 6 * NSEC_PER_SEC;
	advance(5 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(cell_is_owner(cell));
	CU_ASSERT_FALSE(engine.loaded[VERSION_NEW]);
	kv_down = 0;
	kv_remove(kv_find("lease/main"));
	advance(5 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);
	teardown();
}

/*
 * With the headroom given up, the first model without a copy does not fit, but
 * the one after it does.
 */
static void
test_headroom_for_second_model(void)
{
	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"2\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_NEW] = 1;
	advance(3 * NSEC_PER_SEC);
	CU_ASSERT_PTR_NOT_NULL(strstr(keys[kv_find("ledger/e1")].value,
	    "\"accelerator\":0,\"memory_mb\":30}}"));
	conf.nmodels = MODELS;
	advance(5 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(engine.loaded[VERSION_NEW]);
	CU_ASSERT_FALSE(engine.loaded[LARGE]);
	CU_ASSERT_TRUE(engine.loaded[SMALL]);
	teardown();
}

/* The headroom is to be released for the second model. */
static void
start_release(void)
{
	setup("{\"fence\":0,\"engine\":101,\"next\":1,\"entries\":["
	      "{\"id\":1,\"model\":\"m\",\"version\":\"2\",\"accelerator\":0,"
	      "\"memory_mb\":30,\"state\":\"resident\",\"senders\":[]}]}");
	engine.loaded[VERSION_NEW] = 1;
	advance(3 * NSEC_PER_SEC);
	models[1].memory_mb = 45;
	conf.nmodels = 2;
}

/* A third model, which would fit there, is declared during the outage. */
static void
check_release_without_answer(void)
{
	CU_ASSERT_TRUE(kv_down);
	models[2].memory_mb = 30;
	conf.nmodels = 3;
	advance(8 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(cell_is_owner(cell));
	CU_ASSERT_FALSE(engine.loaded[SMALL]);
}

/*
 * The release took effect, but its answer is lost, and the service is down from
 * then on.  Nothing may be loaded into that memory.
 */
static void
test_headroom_release_in_doubt(void)
{
	start_release();
	lose_release = 1;
	advance(NSEC_PER_SEC);
	check_release_without_answer();
	kv_down = 0;
	kv_remove(kv_find("lease/main"));
	advance(10 * NSEC_PER_SEC);
	CU_ASSERT_TRUE(engine.loaded[LARGE]);
	CU_ASSERT_FALSE(engine.loaded[SMALL]);
	teardown();
}

/* The same while the write of the release is under way. */
static void
test_headroom_release_in_flight(void)
{
	start_release();
	hold_text = no_headroom;
	advance(NSEC_PER_SEC);
	CU_ASSERT_PTR_NOT_NULL_FATAL(held_op);
	kv_down = 1;
	check_release_without_answer();
	kv_op_destroy(held_op);
	teardown();
}

static const struct unit_case cases[] = {
	{ "restart between loads", test_restart_between_loads },
	{ "old version is unloaded", test_old_version_is_unloaded },
	{ "copy lost during an unload's write", test_copy_lost_during_write },
	{ "unload is withdrawn", test_unload_is_withdrawn },
	{ "silence during an unload's write", test_silence_during_write },
	{ "delegated copy of a former owner",
	    test_delegated_copy_of_former_owner },
	{ "stood still during an outage", test_stood_still_during_outage },
	{ "headroom for the second model", test_headroom_for_second_model },
	{ "headroom's release in doubt", test_headroom_release_in_doubt },
	{ "headroom's release in flight", test_headroom_release_in_flight },
};

UNIT_MAIN("cell", cases)
