/* A cell's owner, with a key-value service and one engine in virtual time. */
#include <stdlib.h>
#include <string.h>

#include "cell_fixture.h"
#include "unit.h"

#define STEP_NS (50 * NSEC_PER_MSEC)

const char *const versions[COPIES] = { "1", "2", "1", "1" };
struct fixture_engine engine;
struct fixture_key keys[KEYS_MAX];
struct cell_core *cell;
struct conf conf;
struct conf_model models[MODELS];
uint64_t now;
int kv_down;
const char *hold_text;
struct kv_op *held_op;
const char no_headroom[] = "\"memory_mb\":0}}";
int lose_release;

static const char *const names[COPIES] = { "m", "m", "large", "small" };
static struct conf_backend backend;
static struct kv_ids ids;
static struct msg_list msgs;
static struct kv_ops ops;
static struct orders orders;
static struct cell_out out = { &msgs, &ops, &orders };
static uint64_t kv_revision;

static int process_ended(void *, const struct node_id *);
static int served_elsewhere(void *, const char *, const char *);
static int config_applied(void *, uint64_t);
static void drop_messages(void);
static void model_init(struct conf_model *, int, uint64_t);
static int copy_index(const struct order *);
static uint64_t copy_mb(int);
static uint64_t loaded_mb(void);
static void engine_index(struct order_result *, struct order_loaded *);
static void engine_carry_out(const struct order *);

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

void
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

void
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

size_t
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

void
kv_put(size_t i, const char *value)
{
	free(keys[i].value);
	keys[i].value = strdup(value);
	keys[i].revision = ++kv_revision;
}

void
kv_remove(size_t i)
{
	free(keys[i].value);
	keys[i].value = NULL;
	keys[i].revision = 0;
}

void
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

void
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
		if (engine.refuses_load[copy_index(o)]) {
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

void
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

void
advance(uint64_t ns)
{
	uint64_t until;

	for (until = now + ns; now < until;)
		step();
}
