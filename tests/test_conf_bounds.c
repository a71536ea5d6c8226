/*
 * Configurations whose names, texts and lists are longer than those of any
 * deployment so far: the key-value service bounds only the whole document.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buf.h"
#include "config.h"
#include "mem.h"
#include "name.h"
#include "unit.h"

#define LONGEST 5000
#define NTARGETS 300

static void test_keys(void);
static void test_long_names(void);
static void test_long_texts(void);
static void test_wide_split(void);
static void test_numbers(void);
static void test_large_numbers(void);

static const size_t lengths[] = { 1, 63, 64, 65, 127, 128, 200, LONGEST };

/* A name of a length; another one differs only in its last byte. */
static const char *
long_name(size_t len, char last)
{
	static char texts[2][LONGEST + 1];
	static int turn;
	char *s = texts[turn = !turn];

	memset(s, 'n', len);
	s[len - 1] = last;
	s[len] = '\0';
	return s;
}

static struct fleet_conf *
decode(struct buf *text)
{
	struct err e = { 0 };
	struct fleet_conf *c;

	c = platform_config_decode(buf_data(text), buf_len(text), &e);
	CU_ASSERT_STRING_EQUAL(e.text, "");
	buf_free(text);
	if (c == NULL)
		abort();
	return c;
}

/* Guards against names that are made equal by cutting both. */
static void
test_keys(void)
{
	static const char *const others[] = { "a/b", "a-b", "a", "b", "-" };
	char key[NAME_SIZE];
	char again[NAME_SIZE];
	char other[NAME_SIZE];
	size_t i;
	size_t k;

	for (i = 0; i < nitems(lengths); i++) {
		name_key(
		    key, sizeof(key), long_name(lengths[i], 'x'), lengths[i]);
		name_key(other, sizeof(other), long_name(lengths[i], 'y'),
		    lengths[i]);
		name_key(again, sizeof(again), key, strlen(key));
		CU_ASSERT_STRING_NOT_EQUAL(key, other);
		CU_ASSERT_STRING_EQUAL(key, again);
		CU_ASSERT_EQUAL(strlen(key),
		    lengths[i] < NAME_SIZE ? lengths[i] : NAME_SIZE - 1);
	}
	for (i = 0; i < nitems(others); i++) {
		name_key(key, sizeof(key), others[i], strlen(others[i]));
		CU_ASSERT_PTR_NULL(strchr(key, '/'));
		for (k = 0; k < i; k++) {
			name_key(
			    other, sizeof(other), others[k], strlen(others[k]));
			CU_ASSERT_STRING_NOT_EQUAL(key, other);
		}
	}
	name_key(key, sizeof(key), "a\0b", 3);
	name_key(other, sizeof(other), "a\0c", 3);
	CU_ASSERT_STRING_NOT_EQUAL(key, other);
}

static void
write_names(struct buf *out, size_t len, const char *host)
{
	const char *x = long_name(len, 'x');
	const char *y = long_name(len, 'y');

	buf_printf(out,
	    "{\"version\":3,\"routes\":["
	    "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"/x/\","
	    "\"kind\":\"idempotent\",\"service\":\"%s\"},",
	    x, host, x);
	buf_printf(out,
	    "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"/y/\","
	    "\"kind\":\"idempotent\",\"service\":\"%s\"}],",
	    y, host, y);
	buf_printf(out,
	    "\"services\":[{\"name\":\"%s\",\"health_path\":\"/h\"},"
	    "{\"name\":\"%s\",\"health_path\":\"/h\",\"engine\":{\"models\":["
	    "{\"name\":\"%s\",\"weights_mb\":1},",
	    x, y, x);
	buf_printf(out,
	    "{\"name\":\"%s\",\"weights_mb\":9}]}}],"
	    "\"tenants\":[{\"name\":\"%s\",\"api_keys\":[\"k1\"]},",
	    y, x);
	buf_printf(out, "{\"name\":\"%s\",\"api_keys\":[\"k2\"]}]}", y);
}

/*
 * Guards against a version that is kept out for the name of a route, service,
 * model or client account.
 */
static void
test_long_names(void)
{
	struct buf text = { 0 };
	const struct fleet_engine *g;
	const struct fleet_account *a;
	const struct fleet_route *x;
	const struct fleet_route *y;
	struct fleet_conf *c;
	char model[NAME_SIZE];
	size_t i;

	for (i = 0; i < nitems(lengths); i++) {
		write_names(&text, lengths[i], "h");
		c = decode(&text);
		x = fleet_find_route(c, "h", "/x/1");
		y = fleet_find_route(c, "h", "/y/1");
		CU_ASSERT_PTR_EQUAL(
		    fleet_find_service(c, x->targets[0].service),
		    &c->services[0]);
		CU_ASSERT_PTR_EQUAL(
		    fleet_find_service(c, y->targets[0].service),
		    &c->services[1]);
		CU_ASSERT_STRING_NOT_EQUAL(x->name, y->name);
		g = c->services[1].engine;
		name_key(model, sizeof(model), long_name(lengths[i], 'y'),
		    lengths[i]);
		CU_ASSERT_PTR_EQUAL(fleet_find_model(g, model), &g->models[1]);
		CU_ASSERT_STRING_EQUAL(
		    g->models[1].full_name, long_name(lengths[i], 'y'));
		a = fleet_find_account(c, "k2", 2);
		CU_ASSERT_STRING_EQUAL(
		    a->full_name, long_name(lengths[i], 'y'));
		CU_ASSERT_STRING_NOT_EQUAL(a->name, c->accounts[0].name);
		fleet_conf_destroy(c);
	}
}

/* Guards against a version that is kept out for a host, prefix or path. */
static void
test_long_texts(void)
{
	struct buf text = { 0 };
	char host[LONGEST + 1];
	char path[LONGEST + 16];
	struct fleet_conf *c;
	size_t i;

	for (i = 0; i < nitems(lengths); i++) {
		snprintf(host, sizeof(host), "%s", long_name(lengths[i], 'x'));
		snprintf(
		    path, sizeof(path), "/%s/", long_name(lengths[i], 'y'));
		buf_printf(&text,
		    "{\"version\":3,\"routes\":[{\"name\":\"r\","
		    "\"host\":\"%s\",\"path_prefix\":\"%s\","
		    "\"kind\":\"idempotent\",\"service\":\"s\"}],"
		    "\"services\":[{\"name\":\"s\",\"health_path\":\"%s\"},"
		    "{\"name\":\"t\",\"health_path\":\"\"}]}",
		    host, path, path);
		c = decode(&text);
		CU_ASSERT_PTR_NULL(fleet_find_route(c, host, "/"));
		CU_ASSERT_PTR_NULL(
		    fleet_find_route(c, long_name(lengths[i], 'z'), path));
		CU_ASSERT_PTR_NOT_NULL(fleet_find_route(c, host, path));
		CU_ASSERT_STRING_EQUAL(c->services[0].health_path, path);
		fleet_conf_destroy(c);
	}
}

/* Guards against a version that is kept out for a split over many services. */
static void
test_wide_split(void)
{
	struct buf text = { 0 };
	struct fleet_route copy;
	struct fleet_conf *c;
	char name[16];
	int i;

	buf_add_string(&text,
	    "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	    "\"path_prefix\":\"/\",\"kind\":\"idempotent\","
	    "\"traffic_split\":[");
	for (i = 0; i < NTARGETS; i++)
		buf_printf(&text, "%s{\"service\":\"s%d\",\"weight\":1}",
		    i == 0 ? "" : ",", i);
	buf_add_string(&text, "]}],\"services\":[]}");
	c = decode(&text);
	CU_ASSERT_EQUAL(c->routes[0].ntargets, NTARGETS);
	fleet_route_copy(&copy, &c->routes[0]);
	fleet_conf_destroy(c);
	for (i = 0; i < NTARGETS; i++) {
		snprintf(name, sizeof(name), "s%d", i);
		CU_ASSERT(fleet_route_targets(&copy, name));
		CU_ASSERT_STRING_EQUAL(
		    fleet_pick_target(&copy, (i + 0.5) / NTARGETS)->service,
		    name);
	}
	fleet_route_clear(&copy);
}

#define NUMBERS(n, large)                                                      \
	"{\"version\":" n ".0,\"limits\":{\"max_header_bytes\":" large         \
	",\"max_body_bytes\":" large ",\"idle_timeout_ms\":" large             \
	"},\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","  \
	"\"kind\":\"idempotent\",\"service\":\"s\",\"priority\":" n            \
	".0,\"max_attempts\":" large ",\"timeout_ms\":" large                  \
	"}],\"services\":[{\"name\":\"s\",\"health_path\":\"/\","              \
	"\"max_conns\":" large ",\"engine\":{\"slots\":" large                 \
	",\"adapter_slots\":" large                                            \
	",\"models\":[{\"name\":\"m\",\"load_s\":" large                       \
	",\"adapters\":" large ",\"adapter_mb\":" large                        \
	",\"weights_mb\":" large "}]}}]}"

/* Guards against a version that is kept out for an integer written as 1.0. */
static void
test_numbers(void)
{
	struct buf text = { 0 };
	struct fleet_conf *c;

	buf_add_string(&text, NUMBERS("7", "300.0"));
	c = decode(&text);
	CU_ASSERT_EQUAL(c->version, 7);
	CU_ASSERT_EQUAL(c->routes[0].priority, 7);
	CU_ASSERT_EQUAL(c->routes[0].max_attempts, 300);
	CU_ASSERT_EQUAL(c->routes[0].timeout_ns, 300 * NSEC_PER_MSEC);
	CU_ASSERT_EQUAL(c->services[0].engine->models[0].adapter_count, 300);
	fleet_conf_destroy(c);
}

/*
 * Guards against a version that is kept out for a number beyond 2^32, 2^53 or
 * 2^63, and against one that is cut to a small one.
 */
static void
test_large_numbers(void)
{
	static const char *const texts[] = { NUMBERS("7", "4294967296"),
		NUMBERS("7", "9007199254740993"),
		NUMBERS("7", "18446744073709551615") };
	const struct fleet_engine *g;
	struct buf text = { 0 };
	struct fleet_conf *c;
	size_t i;

	for (i = 0; i < nitems(texts); i++) {
		buf_add_string(&text, texts[i]);
		c = decode(&text);
		CU_ASSERT_EQUAL(c->version, 7);
		CU_ASSERT(c->limits.max_header_bytes >= 4294967296ULL);
		CU_ASSERT(c->limits.idle_timeout_ns >= 4294967295ULL);
		CU_ASSERT(c->limits.idle_timeout_ns <= INT64_MAX);
		CU_ASSERT_EQUAL(c->routes[0].max_attempts, UINT32_MAX);
		CU_ASSERT(c->routes[0].timeout_ns <= INT64_MAX);
		CU_ASSERT_EQUAL(c->services[0].max_conns, UINT32_MAX);
		g = c->services[0].engine;
		CU_ASSERT(g->models[0].store_load_ns <= INT64_MAX);
		CU_ASSERT(g->models[0].memory_mb >= 1000000000ULL);
		/* Nothing fits beside what cannot be computed. */
		CU_ASSERT(g->largest_adapter_mb * g->adapter_slots >=
		    g->largest_adapter_mb);
		fleet_conf_destroy(c);
	}
}

static const struct unit_case cases[] = {
	{ "different names have different keys", test_keys },
	{ "names of any length", test_long_names },
	{ "hosts, prefixes and paths of any length", test_long_texts },
	{ "integers with a point", test_numbers },
	{ "numbers of any size", test_large_numbers },
	{ "a split over any number of services", test_wide_split },
};

UNIT_MAIN("configurations within the service's bounds", cases)
