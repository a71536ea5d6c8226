/* Tickets: numbering rules, paths in errors, capacity check, chunks. */
#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "unit.h"

static const char base_text[] =
    "{\"ticket\":1,\"backends\":[{\"name\":\"e1\",\"address\":"
    "\"10.0.0.1:80\",\"datacentre\":\"d1\",\"fencing\":true,"
    "\"accelerators\":[{\"memory_mb\":100}]}],"
    "\"models\":[{\"name\":\"icon\",\"memory_mb\":40}]}";

static enum conf_result apply_ticket(
    struct conf **, const char *, struct err *);
static void assert_refused(const char *, enum err_kind, const char *);
static void test_apply(void);
static void test_same_number(void);
static void test_stale(void);
static void test_all_or_nothing(void);
static void test_error_paths(void);
static void test_capacity(void);
static void test_remove(void);
static void test_drain(void);
static void test_chunks(void);
static void test_cells(void);

static enum conf_result
apply_ticket(struct conf **c, const char *text, struct err *e)
{
	enum conf_result result;
	struct conf *next = NULL;
	uint64_t number;
	json_t *doc = json_loads(text, 0, NULL);

	CU_ASSERT_PTR_NOT_NULL_FATAL(doc);
	result = conf_apply(*c, doc, &next, &number, e);
	json_decref(doc);
	if (result == CONF_CHANGED) {
		conf_destroy(*c);
		*c = next;
	}
	return result;
}

/* Applies base_text, then a ticket that must fail with the given error. */
static void
assert_refused(const char *text, enum err_kind kind, const char *part)
{
	struct conf *c = conf_create();
	struct err e;

	CU_ASSERT_EQUAL(apply_ticket(&c, base_text, &e), CONF_CHANGED);
	e.text[0] = '\0';
	CU_ASSERT_EQUAL(apply_ticket(&c, text, &e), CONF_REFUSED);
	CU_ASSERT_EQUAL(e.kind, kind);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, part));
	CU_ASSERT_EQUAL(c->revision, 1);
	conf_destroy(c);
}

static void
test_apply(void)
{
	struct conf *c = conf_create();
	struct err e;

	CU_ASSERT_EQUAL(apply_ticket(&c, base_text, &e), CONF_CHANGED);
	CU_ASSERT_EQUAL(c->revision, 1);
	CU_ASSERT_EQUAL(c->nmodels, 1);
	CU_ASSERT_EQUAL(c->models[0].copies, 1);
	CU_ASSERT_EQUAL(c->models[0].ticket, 1);
	CU_ASSERT_STRING_EQUAL(c->backends[0].cell, "main");
	CU_ASSERT_EQUAL(apply_ticket(&c, base_text, &e), CONF_UNCHANGED);
	CU_ASSERT_EQUAL(c->revision, 1);
	conf_destroy(c);
}

static void
test_same_number(void)
{
	assert_refused("{\"ticket\":1,\"models\":[{\"name\":\"icon\","
		       "\"memory_mb\":41}]}",
	    ERR_CONFLICT, "model/icon");
}

static void
test_stale(void)
{
	struct conf *c = conf_create();
	struct err e;

	apply_ticket(&c, base_text, &e);
	CU_ASSERT_EQUAL(apply_ticket(&c,
			    "{\"ticket\":9,\"models\":[{\"name\":"
			    "\"icon\",\"memory_mb\":41}]}",
			    &e),
	    CONF_CHANGED);
	CU_ASSERT_EQUAL(apply_ticket(&c,
			    "{\"ticket\":5,\"models\":[{\"name\":"
			    "\"icon\",\"memory_mb\":42}]}",
			    &e),
	    CONF_REFUSED);
	CU_ASSERT_EQUAL(e.kind, ERR_STALE);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, "ticket 9"));
	/* A lower number may still set another object. */
	CU_ASSERT_EQUAL(apply_ticket(&c,
			    "{\"ticket\":5,\"models\":[{\"name\":"
			    "\"rota\",\"memory_mb\":4}]}",
			    &e),
	    CONF_CHANGED);
	conf_destroy(c);
}

/* An invalid object causes the whole ticket to be refused. */
static void
test_all_or_nothing(void)
{
	assert_refused("{\"ticket\":2,\"models\":[{\"name\":\"rota\","
		       "\"memory_mb\":1},{\"name\":\"bad\",\"memory_mb\":-1}]}",
	    ERR_TICKET, "model/bad.memory_mb");
}

static void
test_error_paths(void)
{
	assert_refused("{\"models\":[]}", ERR_TICKET, "ticket");
	assert_refused("{\"ticket\":2,\"modles\":[]}", ERR_TICKET, "modles");
	assert_refused("{\"ticket\":2,\"models\":{}}", ERR_TICKET, "models");
	assert_refused("{\"ticket\":2,\"models\":[{\"memory_mb\":1}]}",
	    ERR_TICKET, "models[0].name");
	assert_refused(
	    "{\"ticket\":2,\"models\":[{\"name\":\"a\",\"memory_mb\":1,"
	    "\"adapters\":[{\"name\":7}]}]}",
	    ERR_TICKET, "model/a.adapters[0].name");
	assert_refused(
	    "{\"ticket\":2,\"backends\":[{\"name\":\"e2\",\"address\":"
	    "\"host:80\",\"datacentre\":\"d\",\"fencing\":true,"
	    "\"accelerators\":[{\"memory_mb\":5}]}]}",
	    ERR_TICKET, "backend/e2.address");
	assert_refused(
	    "{\"ticket\":2,\"services\":[{\"name\":\"s\",\"prefix\":"
	    "\"/s/\",\"repeatable\":[\"FETCH\"],\"instances\":[{\"name\":"
	    "\"i\",\"address\":\"1.2.3.4:5\"}]}]}",
	    ERR_TICKET, "repeatable[0]");
	assert_refused("{\"ticket\":2,\"services\":[{\"name\":\"s\",\"prefix\":"
		       "\"/v1/x\",\"instances\":[{\"name\":\"i\",\"address\":"
		       "\"1.2.3.4:5\"}]}]}",
	    ERR_TICKET, "service/s.prefix");
	assert_refused("{\"ticket\":2,\"remove\":[\"model/none\"]}", ERR_TICKET,
	    "remove[0]");
}

static void
test_capacity(void)
{
	assert_refused("{\"ticket\":2,\"models\":[{\"name\":\"rota\","
		       "\"memory_mb\":61}]}",
	    ERR_CAPACITY, "model/icon: copy 1 of 1 takes 40 MB");
	assert_refused("{\"ticket\":2,\"models\":[{\"name\":\"icon\","
		       "\"memory_mb\":40,\"copies\":2}]}",
	    ERR_CAPACITY, "copy 2 of 2");
	assert_refused("{\"ticket\":2,\"models\":[{\"name\":\"rota\","
		       "\"memory_mb\":1,\"where\":[\"d2\"]}]}",
	    ERR_CAPACITY, "model/rota");
}

static void
test_remove(void)
{
	struct conf *c = conf_create();
	struct err e;

	apply_ticket(&c, base_text, &e);
	CU_ASSERT_EQUAL(
	    apply_ticket(&c, "{\"ticket\":3,\"remove\":[\"model/icon\"]}", &e),
	    CONF_CHANGED);
	CU_ASSERT_EQUAL(c->nmodels, 0);
	/* A removed object keeps the ticket number of its removal. */
	CU_ASSERT_EQUAL(apply_ticket(&c,
			    "{\"ticket\":2,\"models\":[{\"name\":"
			    "\"icon\",\"memory_mb\":4}]}",
			    &e),
	    CONF_REFUSED);
	CU_ASSERT_EQUAL(e.kind, ERR_STALE);
	conf_destroy(c);
}

/*
 * A drain is refused if the remaining servers lack the memory; otherwise it
 * sets the server's leaving flag.
 */
static void
test_drain(void)
{
	struct conf *c = conf_create();
	struct err e;

	assert_refused("{\"ticket\":2,\"drains\":[{\"backend\":\"e1\","
		       "\"leaving\":true}]}",
	    ERR_CAPACITY, "model/icon");
	apply_ticket(&c, base_text, &e);
	CU_ASSERT_EQUAL(
	    apply_ticket(&c,
		"{\"ticket\":2,\"backends\":[{\"name\":\"e2\",\"address\":"
		"\"10.0.0.2:80\",\"datacentre\":\"d1\",\"fencing\":false,"
		"\"accelerators\":[{\"memory_mb\":100}]}],\"drains\":["
		"{\"backend\":\"e1\",\"leaving\":true}]}",
		&e),
	    CONF_CHANGED);
	CU_ASSERT(conf_find_backend(c, "e1")->leaving);
	CU_ASSERT(!conf_find_backend(c, "e2")->leaving);
	conf_destroy(c);
}

static void
test_chunks(void)
{
	struct conf *c = conf_create();
	struct conf *copy;
	struct err e;
	char *texts[CONF_CHUNKS];
	int i;

	apply_ticket(&c, base_text, &e);
	for (i = 0; i < CONF_CHUNKS; i++)
		texts[i] = conf_encode_chunk(c, i);
	copy = conf_from_chunks(texts, CONF_CHUNKS, 1, &e);
	CU_ASSERT_PTR_NOT_NULL_FATAL(copy);
	CU_ASSERT(json_equal(copy->objects, c->objects));
	CU_ASSERT_EQUAL(copy->nmodels, c->nmodels);
	conf_destroy(copy);
	free(texts[0]);
	texts[0] = strdup("[1]");
	CU_ASSERT_PTR_NULL(conf_from_chunks(texts, CONF_CHUNKS, 1, &e));
	CU_ASSERT_EQUAL(e.kind, ERR_FORMAT);
	for (i = 0; i < CONF_CHUNKS; i++)
		free(texts[i]);
	conf_destroy(c);
}

/* A model has exactly one home cell in each region. */
static void
test_cells(void)
{
	struct conf *c = conf_create();
	struct err e;

	CU_ASSERT_EQUAL(
	    apply_ticket(&c,
		"{\"ticket\":1,\"backends\":["
		"{\"name\":\"a\",\"address\":\"10.0.0.1:80\",\"cell\":"
		"\"r1/x\",\"datacentre\":\"d1\",\"fencing\":true,"
		"\"accelerators\":[{\"memory_mb\":100}]},"
		"{\"name\":\"b\",\"address\":\"10.0.0.2:80\",\"cell\":"
		"\"r1/y\",\"datacentre\":\"d1\",\"fencing\":true,"
		"\"accelerators\":[{\"memory_mb\":100}]},"
		"{\"name\":\"c\",\"address\":\"10.0.0.3:80\",\"cell\":"
		"\"r2/x\",\"datacentre\":\"d2\",\"fencing\":true,"
		"\"accelerators\":[{\"memory_mb\":100}]}],"
		"\"models\":[{\"name\":\"icon\",\"memory_mb\":40}]}",
		&e),
	    CONF_CHANGED);
	CU_ASSERT_EQUAL(conf_is_home_cell(&c->models[0], "r1/x") +
		conf_is_home_cell(&c->models[0], "r1/y"),
	    1);
	CU_ASSERT(conf_is_home_cell(&c->models[0], "r2/x"));
	conf_destroy(c);
}

static const struct unit_case cases[] = {
	{ "apply and apply again", test_apply },
	{ "same number, other content", test_same_number },
	{ "stale number", test_stale },
	{ "all or nothing", test_all_or_nothing },
	{ "errors name paths", test_error_paths },
	{ "capacity", test_capacity },
	{ "remove keeps its number", test_remove },
	{ "drain", test_drain },
	{ "chunks", test_chunks },
	{ "home cells", test_cells },
};

UNIT_MAIN("conf", cases)
