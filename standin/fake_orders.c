/* Loaded models and adapters of fake-engine, and orders that change them. */
#include <curl/curl.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_int.h"
#include "mem.h"

#define LOADED_MAX 256
#define HTTP_CONFLICT 409
#define HTTP_PRECONDITION_FAILED 412
#define ADAPTER_LOAD_MSEC 20

struct loaded_model {
	char name[NAME_SIZE];
	char version[NAME_SIZE];
	char adapter[NAME_SIZE]; /* "" for a model */
	uint64_t memory_mb;
	int ready;
};

/* Parameters of an order. */
struct parameters {
	const char *version;
	uint64_t memory_mb;
	uint64_t fence;
	uint64_t engine;
	uint64_t not_after_ms;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct loaded_model loaded[LOADED_MAX];
static size_t nloaded;
static uint64_t fence_seen;
static uint64_t overcommits;
static uint64_t stale_refused;
static uint64_t orders;

static size_t loaded_find(const char *, const char *, const char *);
static uint64_t memory_used(void);
static int order_check(struct httpd_request *, const struct parameters *);
static void order_load(struct httpd_request *, const char *, const char *,
    const struct parameters *);
static void order_unload(struct httpd_request *, const char *, const char *,
    const struct parameters *);
static void fetch_weights(const char *);
static size_t discard(char *, size_t, size_t, void *);
static void parse_parameters(const json_t *, struct parameters *);
static void reply_index(struct httpd_request *);
static void reply_order(struct httpd_request *);

void
orders_init(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* Index of a model (any version if NULL) or adapter; LOADED_MAX if none. */
static size_t
loaded_find(const char *name, const char *version, const char *adapter)
{
	size_t i;

	for (i = 0; i < nloaded; i++) {
		if (strcmp(loaded[i].adapter, adapter) != 0)
			continue;
		if (adapter[0] == '\0' && strcmp(loaded[i].name, name) != 0)
			continue;
		if (version == NULL || adapter[0] != '\0' ||
		    strcmp(loaded[i].version, version) == 0)
			return i;
	}
	return LOADED_MAX;
}

int
orders_model_ready(const char *name)
{
	size_t i;
	int have = 0;

	pthread_mutex_lock(&lock);
	for (i = 0; i < nloaded; i++) {
		if (!loaded[i].ready)
			continue;
		have |= loaded[i].adapter[0] == '\0'
		    ? strcmp(loaded[i].name, name) == 0
		    : strcmp(loaded[i].adapter, name) == 0;
	}
	pthread_mutex_unlock(&lock);
	return have;
}

static uint64_t
memory_used(void)
{
	uint64_t used = 0;
	size_t i;

	for (i = 0; i < nloaded; i++)
		used += loaded[i].memory_mb;
	return used;
}

static size_t
discard(char *bytes, size_t size, size_t n, void *arg)
{
	(void)bytes;
	(void)arg;
	return size * n;
}

/* Reads a model's weights from the store, or sleeps for the load time. */
static void
fetch_weights(const char *name)
{
	CURL *curl;
	char url[256];

	if (engine.store[0] == '\0') {
		pause_ms(engine.load_ms);
		return;
	}
	snprintf(url, sizeof(url), "http://%s/weights/%s?ms=%" PRIu64,
	    engine.store, name, engine.load_ms);
	curl = curl_easy_init();
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
	curl_easy_perform(curl);
	curl_easy_cleanup(curl);
}

static void
parse_parameters(const json_t *doc, struct parameters *p)
{
	const json_t *in = json_object_get(doc, "parameters");

	p->version = json_string_value(json_object_get(in, "version"));
	if (p->version == NULL)
		p->version = "1";
	p->memory_mb =
	    (uint64_t)json_integer_value(json_object_get(in, "memory_mb"));
	p->fence = (uint64_t)json_integer_value(json_object_get(in, "fence"));
	p->engine = (uint64_t)json_integer_value(json_object_get(in, "engine"));
	p->not_after_ms =
	    (uint64_t)json_integer_value(json_object_get(in, "not_after_ms"));
}

/*
 * Applies the order delay; with fencing on, refuses orders that are stale,
 * meant for another incarnation, or expired.  Returns -1 once refused.
 */
static int
order_check(struct httpd_request *req, const struct parameters *p)
{
	uint64_t delay = engine.order_delay_ms;
	int refused = 0;

	if (delay != 0)
		pause_ms(delay);
	pthread_mutex_lock(&lock);
	orders++;
	if (engine.fencing) {
		if (p->fence < fence_seen)
			refused = HTTP_CONFLICT;
		else if (p->engine != engine.incarnation ||
		    delay > p->not_after_ms)
			refused = HTTP_PRECONDITION_FAILED;
		else
			fence_seen = p->fence;
	}
	stale_refused += refused != 0;
	pthread_mutex_unlock(&lock);
	if (refused == 0)
		return 0;
	httpd_reply_error(req, refused, "stale", "order refused", "");
	return -1;
}

/* Confirms an order, or drops one response in order_lose_every. */
static void
reply_order(struct httpd_request *req)
{
	int every = engine.order_lose_every;

	if (every != 0 && orders % (uint64_t)every == 0)
		httpd_abort(req);
	else
		httpd_reply_text(req, 200, "ok\n");
}

/* Loads a model or adapter; repeated orders wait for the load under way. */
static void
order_load(struct httpd_request *req, const char *name, const char *adapter,
    const struct parameters *p)
{
	struct loaded_model *l;
	size_t i;
	int fresh = 0;

	pthread_mutex_lock(&lock);
	i = loaded_find(name, p->version, adapter);
	if (i == LOADED_MAX && nloaded < LOADED_MAX) {
		fresh = 1;
		i = nloaded++;
		l = &loaded[i];
		memset(l, 0, sizeof(*l));
		snprintf(l->name, sizeof(l->name), "%s", name);
		snprintf(l->version, sizeof(l->version), "%s", p->version);
		snprintf(l->adapter, sizeof(l->adapter), "%s", adapter);
		l->memory_mb = p->memory_mb;
		if (memory_used() > engine.memory_mb)
			overcommits++;
	}
	pthread_mutex_unlock(&lock);
	if (fresh) {
		if (adapter[0] != '\0')
			pause_ms(ADAPTER_LOAD_MSEC);
		else
			fetch_weights(name);
	}
	pthread_mutex_lock(&lock);
	i = loaded_find(name, p->version, adapter);
	if (fresh && i != LOADED_MAX) {
		loaded[i].ready = 1;
		pthread_cond_broadcast(&changed);
	}
	while (i != LOADED_MAX && !loaded[i].ready) {
		pthread_cond_wait(&changed, &lock);
		i = loaded_find(name, p->version, adapter);
	}
	pthread_mutex_unlock(&lock);
	reply_order(req);
}

/* Unloads an adapter, or a model with its adapters. */
static void
order_unload(struct httpd_request *req, const char *name, const char *adapter,
    const struct parameters *p)
{
	size_t i;

	pthread_mutex_lock(&lock);
	i = loaded_find(name, p->version, adapter);
	if (i != LOADED_MAX)
		loaded[i] = loaded[--nloaded];
	if (adapter[0] == '\0' && loaded_find(name, NULL, "") == LOADED_MAX) {
		for (i = nloaded; i > 0; i--) {
			if (strcmp(loaded[i - 1].name, name) == 0)
				loaded[i - 1] = loaded[--nloaded];
		}
	}
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	reply_order(req);
}

static void
reply_index(struct httpd_request *req)
{
	json_t *list = json_array();
	size_t i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < nloaded; i++) {
		if (loaded[i].ready)
			json_array_append_new(list,
			    json_pack("{s:s,s:s,s:s,s:i,s:I,s:s}", "name",
				loaded[i].name, "version", loaded[i].version,
				"adapter", loaded[i].adapter, "accelerator", 0,
				"memory_mb", (json_int_t)loaded[i].memory_mb,
				"state", "READY"));
	}
	pthread_mutex_unlock(&lock);
	reply_json(req, 200,
	    json_pack("{s:I,s:i,s:o}", "incarnation",
		(json_int_t)engine.incarnation, "batch",
		(int)engine.max_sequences, "models", list));
}

void
orders_handle(struct httpd_request *req, const json_t *doc)
{
	static const char prefix[] = "/v2/repository/models/";
	struct parameters p;
	const char *adapter;
	const char *base;
	char name[NAME_SIZE] = "";
	char verb[16] = "";

	if (strcmp(req->path, "/v2/repository/index") == 0) {
		reply_index(req);
		return;
	}
	parse_parameters(doc, &p);
	adapter = json_string_value(json_object_get(doc, "lora_name"));
	base = json_string_value(json_object_get(doc, "base_model_name"));
	if (strncmp(req->path, prefix, sizeof(prefix) - 1) == 0)
		sscanf(
		    req->path + sizeof(prefix) - 1, "%63[^/]/%15s", name, verb);
	if (verb[0] == '\0' && adapter == NULL) {
		httpd_reply_error(req, 404, "no-route", "unknown", "");
		return;
	}
	if (order_check(req, &p) == -1)
		return;
	if (strcmp(req->path, "/v1/load_lora_adapter") == 0)
		order_load(req, base == NULL ? "" : base, adapter, &p);
	else if (strcmp(req->path, "/v1/unload_lora_adapter") == 0)
		order_unload(req, base == NULL ? "" : base, adapter, &p);
	else if (strcmp(verb, "load") == 0)
		order_load(req, name, "", &p);
	else
		order_unload(req, name, "", &p);
}

void
orders_stats(json_t *doc)
{
	pthread_mutex_lock(&lock);
	json_object_set_new(
	    doc, "overcommits", json_integer((json_int_t)overcommits));
	json_object_set_new(
	    doc, "stale_refused", json_integer((json_int_t)stale_refused));
	json_object_set_new(doc, "orders", json_integer((json_int_t)orders));
	json_object_set_new(
	    doc, "memory_used_mb", json_integer((json_int_t)memory_used()));
	pthread_mutex_unlock(&lock);
}
