/* Client accounts on the platform: configuration and header fields. */
#include <string.h>

#include "config.h"
#include "fields.h"
#include "parse_fixture.h"
#include "unit.h"

static const struct fleet_account *account_of(
    const struct fleet_conf *, const char *);
static void test_config(void);
static void test_without(void);
static void test_bad(void);
static void test_key(void);
static void test_fields_of_request(void);

static const struct fleet_account *
account_of(const struct fleet_conf *c, const char *key)
{
	return fleet_find_account(c, key, strlen(key));
}

static void
test_config(void)
{
	const char *text =
	    "{\"version\":3,\"routes\":[],\"services\":[],\"tenants\":["
	    "{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":2,"
	    "\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":2700.5,"
	    "\"burst\":5400},"
	    "{\"name\":\"b\",\"api_keys\":[],\"rate_per_s\":5},"
	    "{\"name\":\"c\"}]}";
	struct fleet_conf *c;
	struct err e;

	c = platform_config_decode(text, strlen(text), &e);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	if (c == NULL)
		return;
	CU_ASSERT_EQUAL(c->has_accounts, 1);
	CU_ASSERT_EQUAL(c->naccounts, 3);
	CU_ASSERT_STRING_EQUAL(account_of(c, "k2")->name, "a");
	CU_ASSERT_PTR_NULL(account_of(c, "k3"));
	CU_ASSERT_PTR_NULL(account_of(c, ""));
	CU_ASSERT_EQUAL(c->accounts[0].priority, 2);
	CU_ASSERT_EQUAL(c->accounts[0].has_priority, 1);
	CU_ASSERT_EQUAL(c->accounts[0].counts_tokens, 1);
	CU_ASSERT_EQUAL(c->accounts[0].default_tokens, 200);
	CU_ASSERT_DOUBLE_EQUAL(c->accounts[0].rate_per_s, 2700.5, 0.01);
	CU_ASSERT_DOUBLE_EQUAL(c->accounts[0].burst, 5400.0, 0.01);
	CU_ASSERT_EQUAL(c->accounts[1].counts_tokens, 0);
	CU_ASSERT_EQUAL(c->accounts[1].has_priority, 0);
	CU_ASSERT_DOUBLE_EQUAL(c->accounts[2].rate_per_s, 0.0, 0.0);
	fleet_conf_destroy(c);
}

/*
 * Guards against keys that are asked for where the operator has no accounts,
 * and not asked for once the last account is gone.
 */
static void
test_without(void)
{
	const char *none = "{\"version\":3,\"routes\":[],\"services\":[]}";
	const char *empty = "{\"version\":3,\"routes\":[],\"services\":[],"
			    "\"tenants\":[]}";
	struct fleet_conf *c;
	struct err e;

	c = platform_config_decode(none, strlen(none), &e);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	if (c == NULL)
		return;
	CU_ASSERT_EQUAL(c->has_accounts, 0);
	CU_ASSERT_PTR_NULL(account_of(c, "k"));
	fleet_conf_destroy(c);
	c = platform_config_decode(empty, strlen(empty), &e);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	if (c == NULL)
		return;
	CU_ASSERT_EQUAL(c->has_accounts, 1);
	CU_ASSERT_PTR_NULL(account_of(c, "k"));
	fleet_conf_destroy(c);
}

/* Guards against a malformed account that leaves others without a quota. */
static void
test_bad(void)
{
	static const char *const bad[] = { "{\"tenants\":1}",
		"{\"tenants\":[{\"name\":\"\"}]}", "{\"tenants\":[1]}",
		"{\"tenants\":[{\"name\":\"a\",\"rate_per_s\":-1}]}",
		"{\"tenants\":[{\"name\":\"a\",\"api_keys\":\"k\"}]}" };
	struct err e;
	size_t i;

	for (i = 0; i < nitems(bad); i++)
		CU_ASSERT_PTR_NULL(
		    platform_config_decode(bad[i], strlen(bad[i]), &e));
}

static void
test_key(void)
{
	CU_ASSERT_STRING_EQUAL(
	    fields_find_key(parse_head("GET / HTTP/1.1\r\nHost: h\r\n"
				       "Authorization: Bearer k1\r\n\r\n",
		HTTP_READ_REQUESTS)),
	    "k1");
	CU_ASSERT_PTR_NULL(
	    fields_find_key(parse_head("GET / HTTP/1.1\r\nHost: h\r\n"
				       "Authorization: Bearer k1\r\n"
				       "authorization: Bearer k1\r\n\r\n",
		HTTP_READ_REQUESTS)));
	CU_ASSERT_PTR_NULL(
	    fields_find_key(parse_head("GET / HTTP/1.1\r\nHost: h\r\n"
				       "Authorization: bearer k1\r\n\r\n",
		HTTP_READ_REQUESTS)));
	CU_ASSERT_PTR_NULL(fields_find_key(parse_head(
	    "GET / HTTP/1.1\r\nHost: h\r\n\r\n", HTTP_READ_REQUESTS)));
}

/* Guards against accounts that a caller names, and keys at replicas. */
static void
test_fields_of_request(void)
{
	struct forward_params t = {
		.replica = "i-7", .account = "a", .checks_keys = 1
	};
	struct request_params w;
	const struct http_head *h;
	struct buf out = { 0 };
	struct err e;

	h = parse_head(
	    "GET /p HTTP/1.1\r\nHost: h\r\nArbutusspindle-Tenant: b\r\n"
	    "Authorization: Bearer k1\r\nAUTHORIZATION: Basic x\r\n"
	    "Arbutusspindle-Token-Count: 99999999999,7\r\n"
	    "Arbutusspindle-Attempt-Id: x\r\n\r\n",
	    HTTP_READ_REQUESTS);
	fields_write_request(&out, h, &t);
	buf_add(&out, "", 1);
	CU_ASSERT_PTR_NULL(strstr(buf_data(&out), "k1"));
	CU_ASSERT_PTR_NULL(strstr(buf_data(&out), "Basic"));
	CU_ASSERT_PTR_NULL(strstr(buf_data(&out), "Tenant: b"));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(buf_data(&out), "\r\nArbutusspindle-Tenant: a\r\n"));
	buf_free(&out);
	/* Numbers that do not fit count as the largest one. */
	CU_ASSERT_EQUAL(fields_decode_request(h, &w, &e), 0);
	CU_ASSERT_EQUAL(w.prompt_tokens, UINT32_MAX);
	CU_ASSERT_EQUAL(w.counts_tokens, 1);
	h = parse_head("GET /p HTTP/1.1\r\nHost: h\r\n"
		       "Arbutusspindle-Token-Count: 12\r\n"
		       "Arbutusspindle-Attempt-Id: x\r\n\r\n",
	    HTTP_READ_REQUESTS);
	CU_ASSERT_EQUAL(fields_decode_request(h, &w, &e), 0);
	CU_ASSERT_EQUAL(w.counts_tokens, 0);
}

static const struct unit_case cases[] = {
	{ "configuration", test_config },
	{ "no accounts, and no account left", test_without },
	{ "malformed accounts", test_bad },
	{ "a caller's key", test_key },
	{ "fields for replicas", test_fields_of_request },
};

UNIT_MAIN("account_config", cases)
