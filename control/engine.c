#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fetch_buffered.h"
#include "clock.h"
#include "engine.h"
#include "log.h"
#include "mem.h"

#define ENGINE_CONNECT_TIMEOUT_MSEC 500
#define ENGINE_INDEX_TIMEOUT_MSEC 1000
#define ENGINE_LOADED_MAX 256
#define HTTP_CONFLICT 409

struct engine {
	struct fetch *fetch;
	void (*result)(
	    void *, const struct order_result *, const struct order *);
	void *ctx;
};

struct engine_call {
	struct engine *engine;
	struct order order;
};

static void engine_handle_response(void *, const struct buffered_response *);
static void engine_order_path(const struct order *, char *, size_t);
static json_t *engine_order_body(const struct order *);
static enum order_outcome engine_outcome(const struct buffered_response *);
static void parse_index(const char *, struct order_result *);
static void parse_loaded_model(const json_t *, struct order_loaded *);

struct engine *
engine_create(struct fetch *fetch,
    void (*result)(void *, const struct order_result *, const struct order *),
    void *ctx)
{
	struct engine *e;

	e = mem_alloc(sizeof(*e));
	e->fetch = fetch;
	e->result = result;
	e->ctx = ctx;
	return e;
}

void
engine_destroy(struct engine *e)
{
	free(e);
}

static void
engine_order_path(const struct order *o, char *path, size_t size)
{
	static const char *const fixed[ORDER__MAX] = {
		[ORDER_INDEX] = "/v2/repository/index",
		[ORDER_ADAPTER_LOAD] = "/v1/load_lora_adapter",
		[ORDER_ADAPTER_UNLOAD] = "/v1/unload_lora_adapter",
	};

	if (fixed[o->kind] != NULL)
		snprintf(path, size, "%s", fixed[o->kind]);
	else
		snprintf(path, size, "/v2/repository/models/%s/%s", o->model,
		    o->kind == ORDER_LOAD ? "load" : "unload");
}

static json_t *
engine_order_body(const struct order *o)
{
	json_t *parameters;
	uint64_t now = clock_mono();

	if (o->kind == ORDER_INDEX)
		return json_object();
	parameters = json_pack("{s:s,s:i,s:I,s:I,s:I,s:I,s:I}", "version",
	    o->version, "accelerator", (int)o->accelerator, "memory_mb",
	    (json_int_t)o->memory_mb, "fence", (json_int_t)o->fence, "order",
	    (json_int_t)o->id, "engine", (json_int_t)o->engine_incarnation,
	    "not_after_ms",
	    (json_int_t)((o->deadline > now ? o->deadline - now : 0) /
		NSEC_PER_MSEC));
	if (o->kind == ORDER_LOAD || o->kind == ORDER_UNLOAD)
		return json_pack("{s:o}", "parameters", parameters);
	return json_pack("{s:s,s:s,s:s,s:o}", "lora_name", o->adapter,
	    "lora_path", o->adapter, "base_model_name", o->model, "parameters",
	    parameters);
}

static enum order_outcome
engine_outcome(const struct buffered_response *a)
{
	if (a->status == 200)
		return ORDER_DONE;
	if (a->status == HTTP_CONFLICT)
		return ORDER_STALE;
	if (a->status != 0 || !a->maybe_sent)
		return ORDER_REFUSED;
	return ORDER_UNKNOWN;
}

static void
parse_loaded_model(const json_t *item, struct order_loaded *ld)
{
	const char *text;

	memset(ld, 0, sizeof(*ld));
	text = json_string_value(json_object_get(item, "name"));
	snprintf(ld->model, NAME_SIZE, "%s", text == NULL ? "" : text);
	text = json_string_value(json_object_get(item, "version"));
	snprintf(ld->version, NAME_SIZE, "%s", text == NULL ? "" : text);
	text = json_string_value(json_object_get(item, "adapter"));
	snprintf(ld->adapter, NAME_SIZE, "%s", text == NULL ? "" : text);
	ld->accelerator =
	    (uint32_t)json_integer_value(json_object_get(item, "accelerator"));
	ld->memory_mb =
	    (uint64_t)json_integer_value(json_object_get(item, "memory_mb"));
}

static void
parse_index(const char *body, struct order_result *r)
{
	json_t *doc = json_loads(body, 0, NULL);
	json_t *list = json_object_get(doc, "models");
	json_t *item;
	size_t i;

	r->engine_incarnation =
	    (uint64_t)json_integer_value(json_object_get(doc, "incarnation"));
	r->batch = (uint32_t)json_integer_value(json_object_get(doc, "batch"));
	if (!json_is_array(list) || r->engine_incarnation == 0) {
		r->outcome = ORDER_REFUSED;
		json_decref(doc);
		return;
	}
	r->loaded = mem_alloc(ENGINE_LOADED_MAX * sizeof(*r->loaded));
	json_array_foreach (list, i, item) {
		if (r->nloaded < ENGINE_LOADED_MAX)
			parse_loaded_model(item, &r->loaded[r->nloaded++]);
	}
	json_decref(doc);
}

static void
engine_handle_response(void *arg, const struct buffered_response *a)
{
	struct engine_call *call = arg;
	struct order_result r;

	memset(&r, 0, sizeof(r));
	r.id = call->order.id;
	r.outcome = engine_outcome(a);
	if (call->order.kind == ORDER_INDEX && r.outcome == ORDER_DONE)
		parse_index(a->body, &r);
	call->engine->result(call->engine->ctx, &r, &call->order);
	free(r.loaded);
	free(call);
}

void
engine_send_order(struct engine *e, struct order *o)
{
	struct buffered_request spec;
	struct engine_call *call;
	struct order_result refused;
	uint64_t now = clock_mono();
	json_t *doc;
	char path[PATH_SIZE + NAME_SIZE];
	char url[ADDR_SIZE + PATH_SIZE + NAME_SIZE + 8];
	char *body;

	if (o->kind != ORDER_INDEX && now > o->send_until) {
		/* The lease may have expired since the order was made. */
		log_event(LOG_ORDER_WITHHELD, NULL, "backend=%s model=%s",
		    o->backend, o->model);
		memset(&refused, 0, sizeof(refused));
		refused.id = o->id;
		refused.outcome = ORDER_REFUSED;
		e->result(e->ctx, &refused, o);
		order_destroy(o);
		return;
	}
	call = mem_alloc(sizeof(*call));
	call->engine = e;
	call->order = *o;
	engine_order_path(o, path, sizeof(path));
	snprintf(url, sizeof(url), "http://%s%s", o->addr, path);
	doc = engine_order_body(o);
	body = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	memset(&spec, 0, sizeof(spec));
	spec.url = url;
	spec.method = "POST";
	spec.body = body;
	spec.connect_timeout_ms = ENGINE_CONNECT_TIMEOUT_MSEC;
	spec.total_timeout_ms = o->kind == ORDER_INDEX
	    ? ENGINE_INDEX_TIMEOUT_MSEC
	    : (o->deadline > now ? o->deadline - now : 0) / NSEC_PER_MSEC + 1;
	spec.done = engine_handle_response;
	spec.ctx = call;
	fetch_buffered_start(e->fetch, &spec);
	free(body);
	order_destroy(o);
}
