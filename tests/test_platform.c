/* Codecs of the platform's documents, header fields, store and orders. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "boot.h"
#include "config.h"
#include "fields.h"
#include "mem.h"
#include "order.h"
#include "parse_fixture.h"
#include "replica.h"
#include "unit.h"

/* A document, and a substring of the expected error or "" for none. */
struct decode_case {
	const char *text;
	const char *error;
};

static void test_replicas(void);
static void test_replica_whole(void);
static void test_replica_encoded(void);
static void test_reports(void);
static void check_same_names(
    const struct name_list *, const struct name_list *);
static void test_configs(void);
static void test_config_whole(void);
static void test_boots(void);
static void test_fractions(void);
static void test_want(void);
static void test_send(void);
static void test_answer(void);
static void test_orders(void);

#define REPLICA(rest)                                                          \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","       \
	"\"version\":\"v1\",\"slots\":6,\"cold_left_ms\":0,"                   \
	"\"sequence\":4" rest "}"

static const struct decode_case replicas[] = {
	{ REPLICA(",\"state\":\"ready\""), "" },
	{ REPLICA(",\"state\":\"draining\",\"remaining_ms\":1500"), "" },
	{ REPLICA(",\"state\":\"ready\",\"new\":[1,2]"), "" },
	{ REPLICA(",\"state\":\"odd\""), "state odd" },
	{ REPLICA(",\"state\":7"), "state" },
	{ REPLICA(",\"state\":\"ready\",\"born\":-1"), "born" },
	{ REPLICA(",\"state\":\"ready\",\"born\":1.5"), "born" },
	{ REPLICA(",\"state\":\"ready\",\"models\":{}"), "models" },
	{ REPLICA(",\"state\":\"ready\",\"models\":[{\"name\":\"\"}]"),
	    "name" },
	{ REPLICA(",\"state\":\"ready\",\"models\":[{\"name\":\"m\","
		  "\"adapters\":[3]}]"),
	    "adapter" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"state\":\"ready\",\"slots\":6,\"cold_left_ms\":0}",
	    "sequence" },
	{ "{\"service\":\"s\",\"address\":\"host:80\",\"zone\":\"z\","
	  "\"state\":\"ready\",\"slots\":6,\"cold_left_ms\":0,"
	  "\"sequence\":1}",
	    "host:80" },
	{ "[]", "JSON object" },
	{ "{", "JSON object" },
	{ "\xff\xfe", "JSON object" },
	{ "", "JSON object" },
};

static void
test_replicas(void)
{
	struct fleet_replica r;
	struct err e;
	size_t i;
	int status;

	for (i = 0; i < nitems(replicas); i++) {
		memset(&e, 0, sizeof(e));
		status = platform_replica_decode(
		    "i-1", replicas[i].text, strlen(replicas[i].text), &r, &e);
		CU_ASSERT_EQUAL(status, *replicas[i].error == '\0' ? 0 : -1);
		CU_ASSERT_PTR_NOT_NULL(strstr(e.text, replicas[i].error));
		fleet_replica_clear(&r);
	}
	CU_ASSERT_EQUAL(platform_replica_decode("", replicas[0].text,
			    strlen(replicas[0].text), &r, &e),
	    -1);
}

static void
test_replica_whole(void)
{
	static const char text[] = REPLICA(
	    ",\"state\":\"draining\","
	    "\"remaining_ms\":1500,\"born\":1700000000123,\"models\":["
	    "{\"name\":\"m1\",\"version\":1,\"adapters\":[\"a1\",\"a2\"]},"
	    "{\"name\":\"m2\",\"version\":2,\"adapters\":[]}],"
	    "\"at_hand\":{\"in_memory\":[\"m1\"],\"on_disk\":[\"m3\"]}");
	struct fleet_replica r;
	struct err e;

	CU_ASSERT_EQUAL(
	    platform_replica_decode("i-1", text, strlen(text), &r, &e), 0);
	CU_ASSERT_STRING_EQUAL(r.id, "i-1");
	CU_ASSERT_STRING_EQUAL(r.software, "v1");
	CU_ASSERT_EQUAL(r.state, REPLICA_LEAVING);
	CU_ASSERT_EQUAL(r.leave_left_ns, 1500 * NSEC_PER_MSEC);
	CU_ASSERT_EQUAL(r.started_ms, 1700000000123ULL);
	CU_ASSERT(fleet_has_model(&r, "m2"));
	CU_ASSERT(fleet_has_adapter(&r, "m1/a2"));
	CU_ASSERT_EQUAL(r.cached_models.n, 2);
	/* In a list entry, "sequence" counts heartbeats, not orders. */
	CU_ASSERT_EQUAL(r.accepted_orders, 0);
	fleet_replica_clear(&r);
}

static void
check_same_names(const struct name_list *a, const struct name_list *b)
{
	uint32_t i;

	CU_ASSERT_EQUAL_FATAL(a->n, b->n);
	CU_ASSERT_EQUAL(a->nunnamed, b->nunnamed);
	for (i = 0; i < a->n; i++)
		CU_ASSERT_STRING_EQUAL(a->names[i], b->names[i]);
}

/* The members kept of an entry have a bounded size and decode unchanged. */
static void
test_replica_encoded(void)
{
	static const char *const texts[] = {
		REPLICA(",\"state\":\"ready\""),
		REPLICA(",\"state\":\"draining\",\"remaining_ms\":1500.5"),
		REPLICA(",\"state\":\"ready\",\"born\":9007199254740993,"
			"\"occupied\":true,\"models\":["
			"{\"name\":\"m1\",\"adapters\":[\"a1\",\"a2\"]},"
			"{\"name\":\"m\\u0001\\\"\",\"adapters\":[\"b\"]}],"
			"\"at_hand\":{\"in_memory\":[\"m1\"],"
			"\"on_disk\":[{\"name\":\"m3\"}]},"
			"\"unknown\":[1,{\"a\":[]}]"),
	};
	struct fleet_replica r, again;
	struct err e;
	char *text;
	char *second;
	size_t i;

	for (i = 0; i < nitems(texts); i++) {
		CU_ASSERT_EQUAL(platform_replica_decode(
				    "i-1", texts[i], strlen(texts[i]), &r, &e),
		    0);
		text = platform_replica_encode(&r);
		CU_ASSERT_PTR_NOT_NULL_FATAL(text);
		if (text == NULL)
			return;
		CU_ASSERT(strstr(text, "unknown") == NULL);
		CU_ASSERT_EQUAL(platform_replica_decode(
				    "i-1", text, strlen(text), &again, &e),
		    0);
		second = platform_replica_encode(&again);
		CU_ASSERT_STRING_EQUAL(text, second);
		CU_ASSERT(r.started_ms == again.started_ms &&
		    r.heartbeats == again.heartbeats &&
		    r.leave_left_ns == again.leave_left_ns &&
		    r.state == again.state && r.busy == again.busy &&
		    r.software[0] == again.software[0]);
		check_same_names(&r.resident, &again.resident);
		check_same_names(&r.adapters, &again.adapters);
		check_same_names(&r.cached_models, &again.cached_models);
		free(text);
		free(second);
		fleet_replica_clear(&r);
		fleet_replica_clear(&again);
	}
}

static void
test_reports(void)
{
	static const char text[] =
	    "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\","
	    "\"version\":1,\"adapters\":[\"a1\"]}],\"occupied\":true,"
	    "\"sequence\":12,\"coming\":[\"m/a7@3\"]}";
	struct fleet_replica r;
	struct err e;

	memset(&r, 0, sizeof(r));
	CU_ASSERT_EQUAL(platform_report_decode(text, strlen(text), &r, &e), 0);
	CU_ASSERT_EQUAL(r.accepted_orders, 12);
	CU_ASSERT(r.busy);
	CU_ASSERT_EQUAL(r.loading_adapters.n, 1);
	CU_ASSERT_STRING_EQUAL(r.loading_adapters.names[0], "m/a7");
	CU_ASSERT_EQUAL(platform_report_decode("[]", 2, &r, &e), -1);
	fleet_replica_clear(&r);
}

#define ROUTE(rest)                                                            \
	"{\"version\":3,\"services\":[],\"routes\":[{\"name\":\"r\","          \
	"\"host\":\"h\",\"path_prefix\":\"/p/\"" rest "}]}"

#define ENGINE(members)                                                        \
	"{\"version\":3,\"routes\":[],\"services\":[{\"name\":\"s\","          \
	"\"health_path\":\"/h\",\"engine\":{" members "}}]}"

static const struct decode_case configs[] = {
	{ "{\"version\":3,\"routes\":[],\"services\":[]}", "" },
	{ ROUTE(",\"kind\":\"idempotent\",\"service\":\"s\""), "" },
	{ ROUTE(",\"kind\":\"new kind\",\"service\":\"s\""), "" },
	{ ROUTE(",\"kind\":\"idempotent\""), "service" },
	{ ROUTE(",\"service\":\"s\""), "kind" },
	{ ROUTE(",\"kind\":\"idempotent\",\"service\":\"s\","
		"\"timeout_ms\":\"x\""),
	    "timeout_ms" },
	{ ROUTE(",\"kind\":\"idempotent\",\"traffic_split\":[{}]"), "service" },
	/* Amounts may hold fractions; versions and counts of tries may not. */
	{ ROUTE(
	      ",\"kind\":\"idempotent\",\"traffic_split\":[{\"service\":\"s\","
	      "\"weight\":0.25}]"),
	    "" },
	{ ROUTE(
	      ",\"kind\":\"idempotent\",\"traffic_split\":[{\"service\":\"s\","
	      "\"weight\":-0.25}]"),
	    "weight" },
	{ ROUTE(",\"kind\":\"idempotent\",\"service\":\"s\","
		"\"max_attempts\":2.5"),
	    "max_attempts" },
	{ ROUTE(",\"kind\":\"idempotent\",\"service\":\"s\","
		"\"max_attempts\":-1"),
	    "max_attempts" },
	{ ENGINE("\"slots\":12.6,\"kv_capacity\":44699.5,\"adapter_slots\":8.0,"
		 "\"loads_per_s\":3.6"),
	    "" },
	{ ENGINE("\"slots\":-1"), "slots" },
	{ ENGINE("\"slots\":1e30"), "slots" },
	{ ENGINE("\"kv_capacity\":1e30"), "kv_capacity" },
	{ ENGINE("\"slots\":12,\"unknown\":{}"), "" },
	{ "{\"version\":3,\"services\":[{\"name\":\"s\",\"health_path\":\"/h\","
	  "\"max_conns\":97.4}],\"limits\":{\"max_body_bytes\":4194304.0}}",
	    "" },
	{ "{\"version\":1.5}", "version" },
	{ "{\"version\":-1}", "version" },
	{ "{\"version\":1,\"routes\":{}}", "routes" },
	{ "{\"version\":1,\"services\":[{}]}", "name" },
	{ "3", "JSON object" },
};

static void
test_configs(void)
{
	struct fleet_conf *c;
	struct err e;
	size_t i;

	for (i = 0; i < nitems(configs); i++) {
		memset(&e, 0, sizeof(e));
		c = platform_config_decode(
		    configs[i].text, strlen(configs[i].text), &e);
		CU_ASSERT_EQUAL(c != NULL, *configs[i].error == '\0');
		CU_ASSERT_PTR_NOT_NULL(strstr(e.text, configs[i].error));
		fleet_conf_destroy(c);
	}
}

static void
test_config_whole(void)
{
	static const char text[] =
	    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	    "\"path_prefix\":\"/p/\",\"kind\":\"streaming\","
	    "\"timeout_ms\":20000,\"target_latency_ms\":600,\"priority\":1,"
	    "\"traffic_split\":[{\"service\":\"a\",\"weight\":90},"
	    "{\"service\":\"b\",\"weight\":10}],\"max_attempts\":2,"
	    "\"resumable\":true,\"target_gap_ms\":300}],\"services\":["
	    "{\"name\":\"a\",\"health_path\":\"/h\",\"max_conns\":370,"
	    "\"engine\":{\"slots\":64,\"kv_capacity\":146448,"
	    "\"weights_mb\":230000.0,\"adapter_slots\":8,"
	    "\"loads_per_s\":1.5,\"models\":[{\"name\":\"m\","
	    "\"weights_mb\":65099.99,\"load_s\":2.2,\"adapters\":31,"
	    "\"adapter_mb\":12.0,\"warm_s\":1.1,\"disk_s\":1.4}]}}],"
	    "\"limits\":{\"max_header_bytes\":99,\"max_body_bytes\":98,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
	const struct fleet_engine *g;
	struct fleet_conf *c;
	struct err e;

	c = platform_config_decode(text, strlen(text), &e);
	CU_ASSERT_PTR_NOT_NULL(c);
	if (c == NULL)
		return;
	CU_ASSERT_EQUAL(c->version, 7);
	CU_ASSERT_EQUAL(c->routes[0].kind, ROUTE_STREAM);
	CU_ASSERT_EQUAL(c->routes[0].ntargets, 2);
	CU_ASSERT_EQUAL(c->routes[0].targets[1].weight, 10);
	CU_ASSERT(c->routes[0].resumable);
	CU_ASSERT_EQUAL(c->routes[0].timeout_ns, 20 * NSEC_PER_SEC);
	CU_ASSERT_EQUAL(c->limits.max_header_bytes, 99);
	CU_ASSERT_EQUAL(c->limits.idle_timeout_ns, 15 * NSEC_PER_SEC);
	g = c->services[0].engine;
	CU_ASSERT_EQUAL(g->kv_tokens, 146448);
	CU_ASSERT_EQUAL(g->models[0].memory_mb, 65100); /* rounded up */
	CU_ASSERT_EQUAL(g->models[0].store_load_ns, 2200 * NSEC_PER_MSEC);
	fleet_conf_destroy(c);
}

#define BOOT(bounds)                                                           \
	"{\"node_name\":\"n\",\"ip\":\"10.0.0.1\",\"zone\":\"z\","             \
	"\"bind\":{\"front\":\"10.0.0.1:1\",\"ready\":\"10.0.0.1:2\"},"        \
	"\"internal_ports\":[7380,7395],"                                      \
	"\"platform\":{\"address\":\"10.0.0.9:3\"},\"bounds\":{" bounds "}}"

static const struct decode_case boots[] = {
	{ "{\"node_name\":\"n\",\"ip\":\"10.0.0.1\",\"zone\":\"z\","
	  "\"bind\":{\"front\":\"10.0.0.1:1\",\"ready\":\"10.0.0.1:2\"},"
	  "\"internal_ports\":[7380,7395],"
	  "\"platform\":{\"address\":\"10.0.0.9:3\"}}",
	    "" },
	{ "{\"node_name\":\"n\",\"ip\":\"10.0.0.1\",\"zone\":\"z\","
	  "\"bind\":{\"front\":\"10.0.0.1\",\"ready\":\"10.0.0.1:2\"}}",
	    "front" },
	{ "{\"node_name\":\"n\",\"ip\":\"10.0.0.1\",\"zone\":\"z\","
	  "\"bind\":{\"front\":\"10.0.0.1:1\",\"ready\":\"10.0.0.1:2\"},"
	  "\"platform\":{\"address\":\"10.0.0.9:3\"}}",
	    "internal_ports" },
	{ "{}", "node_name" },
	{ "x", "JSON object" },
	/* Shares of the fleet and of a VM may be any non-negative number. */
	{ BOOT("\"budget_slack\":33.2"), "" },
	{ BOOT("\"budget_slack\":0"), "" },
	{ BOOT("\"budget_slack\":1e12"), "" },
	{ BOOT("\"budget_slack\":null"), "" },
	{ BOOT("\"budget_slack\":-0.5"), "budget_slack" },
	{ BOOT("\"budget_slack\":\"9\""), "budget_slack" },
	{ BOOT("\"drain_ms\":1500.5,\"grace_s\":7.5,\"lease_ms\":2999.9"), "" },
	{ BOOT("\"drain_ms\":1e300"), "drain_ms" },
	{ BOOT("\"ceiling_window_s\":0"), "ceiling_window_s" },
	{ BOOT("\"retry_window_s\":0"), "retry_window_s" },
	{ BOOT("\"unknown_bound\":[1,2]"), "" },
	{ BOOT("},\"limits\":{\"memory_mb\":160.5,\"max_fds\":4100.0,"
	       "\"cpu_share\":0.12"),
	    "" },
	{ BOOT("},\"limits\":{\"memory_mb\":-1"), "memory_mb" },
	{ BOOT("},\"limits\":{\"max_fds\":true"), "max_fds" },
};

static void
test_boots(void)
{
	struct boot b;
	struct err e;
	size_t i;
	int status;

	for (i = 0; i < nitems(boots); i++) {
		memset(&e, 0, sizeof(e));
		status =
		    boot_decode(boots[i].text, strlen(boots[i].text), &b, &e);
		CU_ASSERT_EQUAL(status, *boots[i].error == '\0' ? 0 : -1);
		CU_ASSERT_PTR_NOT_NULL(strstr(e.text, boots[i].error));
	}
	CU_ASSERT_EQUAL(boot_load("/nonexistent", &b, &e), -1);
}

/* Fractions keep their value where the product computes with them. */
static void
test_fractions(void)
{
	static const char boot[] =
	    BOOT("\"budget_slack\":33.2,\"drain_ms\":1500.5},"
		 "\"limits\":{\"memory_mb\":160.9,\"max_fds\":4100.0");
	static const char conf[] = "{\"version\":3,\"routes\":[{\"name\":\"r\","
				   "\"host\":\"h\",\"path_prefix\":\"/p/\","
				   "\"kind\":\"streaming\",\"traffic_split\":["
				   "{\"service\":\"a\",\"weight\":0.75},"
				   "{\"service\":\"b\",\"weight\":0.25}]}]}";
	struct fleet_conf *c;
	struct boot b;
	struct err e;

	CU_ASSERT_EQUAL(boot_decode(boot, strlen(boot), &b, &e), 0);
	CU_ASSERT_DOUBLE_EQUAL(b.retry_budget_slack, 33.2, 1e-9);
	CU_ASSERT_EQUAL(b.drain_delay_ns, 1500500 * NSEC_PER_USEC);
	CU_ASSERT_EQUAL(b.memory_mb, 160);
	CU_ASSERT_EQUAL(b.descriptors, 4100);
	c = platform_config_decode(conf, strlen(conf), &e);
	CU_ASSERT_PTR_NOT_NULL(c);
	if (c == NULL)
		return;
	CU_ASSERT_STRING_EQUAL(
	    fleet_pick_target(&c->routes[0], 0.7)->service, "a");
	CU_ASSERT_STRING_EQUAL(
	    fleet_pick_target(&c->routes[0], 0.8)->service, "b");
	fleet_conf_destroy(c);
}

static void
test_want(void)
{
	const struct http_head *h;
	struct request_params w;
	struct err e;

	h = parse_head("POST /p/x HTTP/1.1\r\nHost: h\r\n"
		       "arbutusspindle-attempt-id: 9c41\r\n"
		       "Arbutusspindle-Model: m/a3\r\n"
		       "Arbutusspindle-Token-Count: 1460,80\r\n"
		       "Arbutusspindle-Prompt-Prefix: 5c1e07a2:800, ff:410\r\n"
		       "Arbutusspindle-Length-Hint: 70\r\n"
		       "Last-Event-Id: 12\r\n"
		       "Arbutusspindle-Deadline-Ms: 15000\r\n"
		       "Content-Length: 0\r\n\r\n",
	    HTTP_READ_REQUESTS);
	CU_ASSERT_EQUAL(fields_decode_request(h, &w, &e), 0);
	CU_ASSERT_STRING_EQUAL(w.id, "9c41");
	CU_ASSERT_STRING_EQUAL(w.model, "m");
	CU_ASSERT_STRING_EQUAL(w.adapter, "m/a3");
	CU_ASSERT_EQUAL(w.prompt_tokens, 1460);
	CU_ASSERT_EQUAL(w.max_output_tokens, 80);
	CU_ASSERT_EQUAL(w.nparts, 2);
	CU_ASSERT_EQUAL(w.parts[1].id, 0xff);
	CU_ASSERT_EQUAL(w.parts[1].tokens, 410);
	CU_ASSERT_EQUAL(w.last_event_id, 12);
	CU_ASSERT_EQUAL(w.timeout_ns, 15 * NSEC_PER_SEC);
	h = parse_head("GET / HTTP/1.1\r\nHost: h\r\n\r\n", HTTP_READ_REQUESTS);
	CU_ASSERT_EQUAL(fields_decode_request(h, &w, &e), -1);
	/* Non-numeric values count as absent. */
	h = parse_head("GET / HTTP/1.1\r\nArbutusspindle-Attempt-Id: x\r\n"
		       "Arbutusspindle-Token-Count: many\r\n"
		       "Arbutusspindle-Prompt-Prefix: zz:1,:,12\r\n"
		       "Arbutusspindle-Deadline-Ms: -5\r\n\r\n",
	    HTTP_READ_REQUESTS);
	CU_ASSERT_EQUAL(fields_decode_request(h, &w, &e), 0);
	CU_ASSERT_EQUAL(w.prompt_tokens, 0);
	CU_ASSERT_EQUAL(w.nparts, 0);
	CU_ASSERT_EQUAL(w.timeout_ns, 0);
}

static void
test_send(void)
{
	const struct http_head *h;
	struct forward_params t = { "x", "i-7", 1500 * NSEC_PER_MSEC, 3, 4, 1,
		"", 0 };
	struct buf out = { 0 };

	h = parse_head(
	    "PUT /p?q HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n"
	    "Connection: close, X-B\r\nX-B: 2\r\nTE: trailers\r\n"
	    "Transfer-Encoding: chunked\r\nLast-Event-Id: 1\r\n"
	    "Arbutusspindle-Attempt-Id: x\r\n"
	    "Arbutusspindle-Pin-Ms: 9\r\nKv-From: 1.1.1.1:1/x\r\n\r\n",
	    HTTP_READ_REQUESTS);
	fields_write_request(&out, h, &t);
	buf_add(&out, "", 1);
	CU_ASSERT_STRING_EQUAL(buf_data(&out),
	    "PUT /p?q HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n"
	    "Arbutusspindle-Attempt-Id: x\r\nLast-Event-Id: 3\r\n"
	    "Arbutusspindle-Deadline-Ms: 1500\r\n"
	    "Arbutusspindle-Expect-Instance: i-7\r\n"
	    "Content-Length: 4\r\n\r\n");
	buf_free(&out);
}

static void
test_answer(void)
{
	const struct http_head *h;
	struct response_info t;

	h = parse_head(
	    "HTTP/1.1 200 OK\r\nArbutusspindle-Attempt-Id: x\r\n"
	    "Arbutusspindle-Response-Signature: s\r\n"
	    "Keep-Alive: timeout=4, max=9\r\nContent-Length: 0\r\n\r\n",
	    HTTP_READ_RESPONSES);
	fields_decode_response(h, "x", &t);
	CU_ASSERT(
	    t.id_matches && t.has_signature && !t.not_executed && !t.encoded);
	CU_ASSERT_EQUAL(t.keep_alive_ns, 4 * NSEC_PER_SEC);
	fields_decode_response(h, "y", &t);
	CU_ASSERT(t.has_id && !t.id_matches);
	/* The fields of two answers; the parser refuses two status lines. */
	h = parse_head("HTTP/1.1 200 OK\r\nArbutusspindle-Attempt-Id: x\r\n"
		       "Arbutusspindle-Response-Signature: s\r\n"
		       "Arbutusspindle-Attempt-Id: y\r\n"
		       "Arbutusspindle-Response-Signature: t\r\n"
		       "Content-Length: 0\r\n\r\n",
	    HTTP_READ_RESPONSES);
	fields_decode_response(h, "x", &t);
	CU_ASSERT(t.has_id && !t.id_matches);
	fields_decode_response(h, "y", &t);
	CU_ASSERT(t.has_id && !t.id_matches);
	h = parse_head("HTTP/1.1 421 M\r\nContent-Encoding: gzip\r\n"
		       "Content-Length: 0\r\n\r\n",
	    HTTP_READ_RESPONSES);
	fields_decode_response(h, "x", &t);
	CU_ASSERT(t.not_executed && t.misdirected && t.encoded && !t.has_id);
	h = parse_head("HTTP/1.1 503 S\r\nArbutusspindle-Not-Executed: 1\r\n"
		       "Content-Length: 0\r\n\r\n",
	    HTTP_READ_RESPONSES);
	fields_decode_response(h, "x", &t);
	CU_ASSERT(t.not_executed && !t.misdirected);
}

static void
test_orders(void)
{
	struct loader_order o = { .kind = LOADER_LOAD,
		.model = "m",
		.adapter = "m/a3",
		.expected_sequence = 2,
		.fence = 41 };
	char *body = platform_order_body(&o, "m", "node-7");

	CU_ASSERT_STRING_EQUAL(body,
	    "{\"operation\":\"load\",\"model\":\"m\",\"expected\":2,"
	    "\"holder\":\"node-7\",\"fencing_token\":41,"
	    "\"adapter\":\"a3\"}");
	free(body);
	CU_ASSERT_EQUAL(platform_order_result(202), ANSWER_STARTED);
	CU_ASSERT_EQUAL(platform_order_result(200), ANSWER_ALREADY_DONE);
	CU_ASSERT_EQUAL(platform_order_result(409), ANSWER_CONFLICT);
	CU_ASSERT_EQUAL(platform_order_result(412), ANSWER_STALE);
	CU_ASSERT_EQUAL(platform_order_result(421), ANSWER_REFUSED);
	CU_ASSERT_EQUAL(platform_order_result(0), ANSWER_NONE);
}

static const struct unit_case cases[] = {
	{ "replicas", test_replicas },
	{ "replica with all members", test_replica_whole },
	{ "replica encoded", test_replica_encoded },
	{ "reports", test_reports },
	{ "configurations", test_configs },
	{ "configuration with all members", test_config_whole },
	{ "boot settings", test_boots },
	{ "fractions", test_fractions },
	{ "request fields", test_want },
	{ "forwarded fields", test_send },
	{ "response fields", test_answer },
	{ "orders", test_orders },
};

UNIT_MAIN("platform", cases)
