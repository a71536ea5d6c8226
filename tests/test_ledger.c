/* Memory ledgers and placement. */
#include <stdlib.h>
#include <string.h>

#include "ledger.h"
#include "place.h"
#include "unit.h"

static const struct node_id self = { "10.0.0.1:1", 1 };
static const struct node_id other = { "10.0.0.2:1", 2 };

static void setup(struct ledger *);
static struct conf_model model(const char *, uint64_t);
static int sender_ended(void *, const struct node_id *);
static struct place_backend backend(uint64_t);
static struct place_model required_model(const char *, uint64_t);
static void add_copy(struct place_model *, uint32_t);
static void test_reserved_memory(void);
static void test_adopt(void);
static void test_one_entry(void);
static void test_round_trip(void);
static void test_malformed(void);
static void test_senders(void);
static void test_place_first(void);
static void test_place_last_copy(void);
static void test_place_gain(void);
static void test_place_hysteresis(void);
static void test_place_headroom(void);
static void test_place_headroom_migration(void);
static void test_place_beside_unload(void);
static void test_place_beside_extra_copy(void);

static void
setup(struct ledger *l)
{
	struct conf_backend b;

	memset(&b, 0, sizeof(b));
	strcpy(b.name, "e1");
	b.naccelerators = 1;
	b.memory_mb[0] = 100;
	b.adapter_pool_mb = 10;
	memset(l, 0, sizeof(*l));
	ledger_set_capacity(l, &b);
}

/* An adopted copy in delegated memory is not counted twice. */
static void
test_adopt(void)
{
	struct conf_model a = model("a", 40);
	struct ledger l;

	setup(&l);
	CU_ASSERT_PTR_NOT_NULL(ledger_reserve(&l, &a, 0, &self));
	l.delegation.owner = other;
	l.delegation.memory_mb = 33;
	ledger_adopt_copy(&l, "b", "1", 0, 10);
	CU_ASSERT_EQUAL(l.delegation.memory_mb, 33);
	ledger_adopt_copy(&l, "c", "1", 0, 30);
	CU_ASSERT_EQUAL(l.delegation.memory_mb, 10);
	CU_ASSERT_EQUAL(ledger_free_mb(&l, 0), 0);
	ledger_adopt_copy(&l, "d", "1", 0, 30);
	CU_ASSERT_EQUAL(l.delegation.memory_mb, 0);
}

static struct conf_model
model(const char *name, uint64_t mb)
{
	struct conf_model m;

	memset(&m, 0, sizeof(m));
	strcpy(m.name, name);
	strcpy(m.version, "1");
	m.memory_mb = mb;
	return m;
}

/* Entries in every state and the delegation reserve their full memory. */
static void
test_reserved_memory(void)
{
	struct conf_model a = model("a", 40);
	struct conf_model b = model("b", 40);
	struct ledger l;

	setup(&l);
	CU_ASSERT_EQUAL(ledger_free_mb(&l, 0), 90);
	CU_ASSERT_PTR_NOT_NULL(ledger_reserve(&l, &a, 0, &self));
	CU_ASSERT_EQUAL(ledger_free_mb(&l, 0), 50);
	ledger_find_model(&l, "a", "1")->state = ENTRY_UNLOADING;
	CU_ASSERT_EQUAL(ledger_free_mb(&l, 0), 50);
	l.delegation.owner = self;
	l.delegation.memory_mb = 20;
	CU_ASSERT_EQUAL(ledger_free_mb(&l, 0), 30);
	CU_ASSERT_PTR_NULL(ledger_reserve(&l, &b, 0, &self));
	CU_ASSERT_PTR_NULL(ledger_reserve(&l, &b, 1, &self));
}

static void
test_one_entry(void)
{
	struct conf_model a = model("a", 10);
	struct ledger l;

	setup(&l);
	CU_ASSERT_PTR_NOT_NULL(ledger_reserve(&l, &a, 0, &self));
	CU_ASSERT_PTR_NULL(ledger_reserve(&l, &a, 0, &self));
	strcpy(a.version, "2");
	CU_ASSERT_PTR_NOT_NULL(ledger_reserve(&l, &a, 0, &self));
}

static void
test_round_trip(void)
{
	struct conf_model a = model("a", 40);
	struct ledger l;
	struct ledger copy;
	struct err e;
	char *text;

	setup(&l);
	ledger_reserve(&l, &a, 0, &self);
	l.fence = 7;
	l.engine_incarnation = 123456789012345;
	l.delegation.owner = other;
	l.delegation.memory_mb = 5;
	text = ledger_dump(&l);
	setup(&copy);
	CU_ASSERT_EQUAL(ledger_parse(&copy, text, &e), 0);
	CU_ASSERT_EQUAL(copy.nentries, 1);
	CU_ASSERT_EQUAL(copy.fence, 7);
	CU_ASSERT_EQUAL(copy.engine_incarnation, 123456789012345);
	CU_ASSERT_EQUAL(copy.entries[0].id, l.entries[0].id);
	CU_ASSERT_EQUAL(copy.entries[0].nsenders, 1);
	CU_ASSERT_STRING_EQUAL(copy.delegation.owner.addr, other.addr);
	CU_ASSERT_EQUAL(ledger_free_mb(&copy, 0), ledger_free_mb(&l, 0));
	free(text);
}

static void
test_malformed(void)
{
	struct ledger l;
	struct err e;

	setup(&l);
	CU_ASSERT_EQUAL(ledger_parse(&l, "{\"entries\":[{\"id\":1}]}", &e), -1);
	CU_ASSERT_EQUAL(e.kind, ERR_FORMAT);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, "e1"));
}

static int
sender_ended(void *arg, const struct node_id *id)
{
	(void)arg;
	return id->incarnation == other.incarnation;
}

/* A process is the sole sender once the others have ended. */
static void
test_senders(void)
{
	struct conf_model a = model("a", 40);
	struct ledger_entry *en;
	struct ledger l;

	setup(&l);
	en = ledger_reserve(&l, &a, 0, &other);
	ledger_add_sender(en, &self);
	ledger_add_sender(en, &self);
	CU_ASSERT_EQUAL(en->nsenders, 2);
	CU_ASSERT(!ledger_is_sole_sender(en, &self));
	ledger_clear_senders(&l, sender_ended, NULL);
	CU_ASSERT(ledger_is_sole_sender(en, &self));
}

static struct place_backend
backend(uint64_t left)
{
	struct place_backend b;

	memset(&b, 0, sizeof(b));
	b.datacentre = "d";
	b.usable = 1;
	b.slots = 10;
	b.naccelerators = 1;
	b.free_mb[0] = left;
	return b;
}

static struct place_model
required_model(const char *name, uint64_t mb)
{
	struct place_model m;

	memset(&m, 0, sizeof(m));
	m.name = name;
	m.memory_mb = mb;
	m.min_copies = 1;
	m.priority = 5;
	memset(m.allowed, 1, sizeof(m.allowed));
	return m;
}

static void
add_copy(struct place_model *m, uint32_t on)
{
	m->copies[m->ncopies].backend = on;
	m->copies[m->ncopies++].resident = 1;
}

/* A model without a copy is loaded first. */
static void
test_place_first(void)
{
	struct place_backend b[2] = { backend(10), backend(50) };
	struct place_model m[2] = { required_model("a", 40),
		required_model("b", 40) };
	struct place_config c;
	struct place_move move;

	place_config_default(&c);
	m[0].demand_slots = 100.0;
	add_copy(&m[0], 0);
	move = place_next_move(&c, 0, m, 2, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_LOAD);
	CU_ASSERT_EQUAL(move.model, 1);
	CU_ASSERT_EQUAL(move.backend, 1);
	CU_ASSERT(move.urgent);
}

/* A last copy is not evicted for a model that has no copy. */
static void
test_place_last_copy(void)
{
	struct place_backend b[1] = { backend(10) };
	struct place_model m[2] = { required_model("a", 40),
		required_model("b", 40) };
	struct place_config c;
	struct place_move move;

	place_config_default(&c);
	add_copy(&m[0], 0);
	move = place_next_move(&c, 0, m, 2, b, 1);
	CU_ASSERT_EQUAL(move.kind, PLACE_NO_ROOM);
	CU_ASSERT_EQUAL(move.model, 1);
}

/* A highly utilized model gets an extra copy on the idle backend server. */
static void
test_place_gain(void)
{
	struct place_backend b[2] = { backend(0), backend(50) };
	struct place_model m[2] = { required_model("a", 40),
		required_model("b", 40) };
	struct place_config c;
	struct place_move move;

	place_config_default(&c);
	add_copy(&m[0], 0);
	add_copy(&m[1], 1);
	m[0].demand_slots = 20.0;
	move = place_next_move(&c, NSEC_PER_SEC * 60, m, 2, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_LOAD);
	CU_ASSERT_EQUAL(move.model, 0);
	CU_ASSERT_EQUAL(move.backend, 1);
	CU_ASSERT(!move.urgent);
}

static void
test_place_hysteresis(void)
{
	struct place_backend b[2] = { backend(0), backend(50) };
	struct place_model m[1] = { required_model("a", 40) };
	struct place_config c;
	struct place_move move;

	place_config_default(&c);
	add_copy(&m[0], 0);
	m[0].demand_slots = 20.0;
	m[0].moved_at = 55 * NSEC_PER_SEC;
	move = place_next_move(&c, 60 * NSEC_PER_SEC, m, 1, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_NOTHING);
	move = place_next_move(&c, 66 * NSEC_PER_SEC, m, 1, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_LOAD);
}

/* Headroom is released for the first model that it suffices for, if any. */
static void
test_place_headroom(void)
{
	struct place_backend b[2] = { backend(10), backend(30) };
	struct place_model m[3] = { required_model("a", 80),
		required_model("b", 50), required_model("c", 40) };
	struct place_config c;
	struct place_move move;

	place_config_default(&c);
	b[0].headroom_mb[0] = 40;
	move = place_next_move(&c, 0, m, 3, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_RELEASE);
	CU_ASSERT_EQUAL(move.model, 1);
	CU_ASSERT_EQUAL(move.backend, 0);
	m[1].allowed[0] = 0;
	move = place_next_move(&c, 0, m, 3, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_RELEASE);
	CU_ASSERT_EQUAL(move.model, 2);
	m[2].allowed[0] = 0;
	move = place_next_move(&c, 0, m, 3, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_NO_ROOM);
	CU_ASSERT_EQUAL(move.model, 0);
	b[1].headroom_mb[0] = 20;
	move = place_next_move(&c, 0, m, 3, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_RELEASE);
	CU_ASSERT_EQUAL(move.model, 1);
	CU_ASSERT_EQUAL(move.backend, 1);
}

/* Headroom is released where a copy can go that is in the model's way. */
static void
test_place_headroom_migration(void)
{
	struct place_backend b[2] = { backend(0), backend(10) };
	struct place_model m[2] = { required_model("a", 40),
		required_model("b", 30) };
	struct place_config c;
	struct place_move move;

	place_config_default(&c);
	add_copy(&m[1], 1);
	b[0].headroom_mb[0] = 29;
	move = place_next_move(&c, 0, m, 2, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_NO_ROOM);
	b[0].headroom_mb[0] = 30;
	move = place_next_move(&c, 0, m, 2, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_RELEASE);
	CU_ASSERT_EQUAL(move.backend, 0);
}

/*
 * The first model waits for an unload.  The second is loaded on another server,
 * but not into the memory that the first waits for.
 */
static void
test_place_beside_unload(void)
{
	struct place_backend b[2] = { backend(30), backend(30) };
	struct place_model m[2] = { required_model("a", 60),
		required_model("b", 30) };
	struct place_config c;
	struct place_move move;

	place_config_default(&c);
	b[0].busy = 1;
	b[0].freeing_mb[0] = 30;
	move = place_next_move(&c, 0, m, 2, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_LOAD);
	CU_ASSERT_EQUAL(move.model, 1);
	CU_ASSERT_EQUAL(move.backend, 1);
	b[1].free_mb[0] = 0;
	move = place_next_move(&c, 0, m, 2, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_WAIT);
	CU_ASSERT_EQUAL(move.model, 0);
	b[1].headroom_mb[0] = 60;
	move = place_next_move(&c, 0, m, 2, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_RELEASE);
	CU_ASSERT_EQUAL(move.model, 1);
}

/*
 * An extra copy of one model is loading, perhaps for ever.  Another model that
 * fits nowhere does not keep a third from being loaded.
 */
static void
test_place_beside_extra_copy(void)
{
	struct place_backend b[2] = { backend(0), backend(30) };
	struct place_model m[3] = { required_model("a", 80),
		required_model("b", 40), required_model("c", 30) };
	struct place_config c;
	struct place_move move;

	place_config_default(&c);
	add_copy(&m[1], 0);
	add_copy(&m[1], 1);
	m[1].copies[1].resident = 0;
	b[1].busy = 1;
	move = place_next_move(&c, 0, m, 3, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_LOAD);
	CU_ASSERT_EQUAL(move.model, 2);
	CU_ASSERT_EQUAL(move.backend, 1);
	/* It would not fit where the other copy is, and does not hold that. */
	b[0].free_mb[0] = 30;
	m[2].allowed[1] = 0;
	move = place_next_move(&c, 0, m, 3, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_LOAD);
	CU_ASSERT_EQUAL(move.model, 2);
	CU_ASSERT_EQUAL(move.backend, 0);
	/* Now it fits there, and waits for that. */
	m[0].memory_mb = 70;
	move = place_next_move(&c, 0, m, 3, b, 2);
	CU_ASSERT_EQUAL(move.kind, PLACE_WAIT);
	CU_ASSERT_EQUAL(move.model, 0);
}

static const struct unit_case cases[] = {
	{ "entries reserve memory in every state", test_reserved_memory },
	{ "adopted copy in delegated memory", test_adopt },
	{ "one entry per model and version", test_one_entry },
	{ "round trip", test_round_trip },
	{ "malformed ledger", test_malformed },
	{ "senders", test_senders },
	{ "placement: first copy", test_place_first },
	{ "placement: last copy", test_place_last_copy },
	{ "placement: gain", test_place_gain },
	{ "placement: hysteresis", test_place_hysteresis },
	{ "placement: headroom", test_place_headroom },
	{ "placement: headroom for a copy in the way",
	    test_place_headroom_migration },
	{ "placement: beside an unload", test_place_beside_unload },
	{ "placement: beside an extra copy", test_place_beside_extra_copy },
};

UNIT_MAIN("ledger", cases)
