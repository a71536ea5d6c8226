/* Sends a trace to gates, or directly to engines by a baseline policy. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fetch_buffered.h"
#include "clock.h"
#include "fetch.h"
#include "hash.h"
#include "load.h"
#include "mem.h"

#define DRAIN_SECONDS 90    /* after the last arrival */
#define LOAD_ATTEMPTS_MAX 3 /* other gates are tried, as by a load balancer */
#define HEADERS_MAX 4
#define INDEX_PERIOD_NS (500 * NSEC_PER_MSEC)

struct run {
	const struct load_config *config;
	struct load_request *shots;
	size_t nshots;
	struct fetch *fetch;
	pthread_mutex_t lock;
	pthread_cond_t done;
	size_t open_requests;
	uint64_t start;
	uint32_t next_target;
	uint32_t outstanding[LOAD_TARGETS_MAX][LOAD_TARGETS_MAX];
	/* by engine and model, for the baselines */
	char model_loaded[LOAD_TARGETS_MAX][LOAD_MODELS_MAX];
	uint64_t next_index;
};

struct json_fetch {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	json_t *doc;
	int done;
};

static void run_event(void *, const struct fetch_event *);
static void run_send_request(struct run *, size_t);
static void run_finish_request(
    struct run *, struct load_request *, enum load_result);
static int run_choose_target(struct run *, struct load_request *);
static void run_refresh_index(struct run *);
static void run_cancel_due(struct run *, uint64_t);
static void request_data(
    struct run *, struct load_request *, const char *, size_t);
static void request_sse_event(struct load_request *, const char *, size_t);
static void check_tokens(struct load_request *, const char *);
static enum load_result response_result(struct load_request *);
static enum load_result error_result(const struct load_request *);
static void sleep_until(uint64_t);
static void json_fetch_done(void *, const struct buffered_response *);

static struct run *current_run;

static void
sleep_until(uint64_t when)
{
	struct timespec ts;

	ts.tv_sec = (time_t)(when / NSEC_PER_SEC);
	ts.tv_nsec = (long)(when % NSEC_PER_SEC);
	clock_nanosleep(CLOCK_BOOTTIME, TIMER_ABSTIME, &ts, NULL);
}

static void
json_fetch_done(void *arg, const struct buffered_response *a)
{
	struct json_fetch *w = arg;

	pthread_mutex_lock(&w->lock);
	if (a->status == 200)
		w->doc = json_loads(a->body, 0, NULL);
	w->done = 1;
	pthread_cond_signal(&w->cond);
	pthread_mutex_unlock(&w->lock);
}

json_t *
load_get_json(const char *addr, const char *path)
{
	struct json_fetch w = { PTHREAD_MUTEX_INITIALIZER,
		PTHREAD_COND_INITIALIZER, NULL, 0 };
	struct buffered_request spec;
	struct fetch *f;
	char url[256];

	f = fetch_create(fetch_buffered_event, NULL);
	snprintf(url, sizeof(url), "http://%s%s", addr, path);
	memset(&spec, 0, sizeof(spec));
	spec.url = url;
	spec.method = "GET";
	spec.connect_timeout_ms = 1000;
	spec.total_timeout_ms = 10000;
	spec.done = json_fetch_done;
	spec.ctx = &w;
	fetch_buffered_start(f, &spec);
	pthread_mutex_lock(&w.lock);
	while (!w.done)
		pthread_cond_wait(&w.cond, &w.lock);
	pthread_mutex_unlock(&w.lock);
	fetch_destroy(f);
	return w.doc;
}

/* Queries the engines for their loaded models, for the baselines. */
static void
run_refresh_index(struct run *r)
{
	const struct load_config *c = r->config;
	const char *name;
	json_t *doc;
	json_t *item;
	uint32_t i;
	uint32_t m;
	size_t k;

	if (c->policy == POLICY_GATES || clock_mono() < r->next_index)
		return;
	r->next_index = clock_mono() + INDEX_PERIOD_NS;
	for (i = 0; i < c->nengines; i++) {
		doc = load_get_json(c->engines[i], "/v2/repository/index");
		memset(r->model_loaded[i], 0, sizeof(r->model_loaded[i]));
		json_array_foreach (json_object_get(doc, "models"), k, item) {
			name = json_string_value(json_object_get(item,
			    json_string_length(
				json_object_get(item, "adapter")) != 0
				? "adapter"
				: "name"));
			for (m = 0; name != NULL && m < c->nmodels; m++) {
				if (strcmp(c->models[m], name) == 0)
					r->model_loaded[i][m] = 1;
			}
		}
		json_decref(doc);
	}
}

/* Chooses the target; returns -1 if no engine has the model loaded. */
static int
run_choose_target(struct run *r, struct load_request *s)
{
	const struct load_config *c = r->config;
	uint32_t best = LOAD_TARGETS_MAX;
	uint32_t t;
	uint32_t i;

	s->gate = r->next_target++ % c->ngates;
	if (c->policy == POLICY_GATES) {
		s->target = s->gate % c->ntargets;
		return 0;
	}
	for (i = 0; i < c->nengines; i++) {
		t = (r->next_target + i) % c->nengines;
		if (!r->model_loaded[t][s->model])
			continue;
		if (best == LOAD_TARGETS_MAX ||
		    (c->policy == POLICY_LEAST_OUTSTANDING &&
			r->outstanding[s->gate][t] <
			    r->outstanding[s->gate][best]))
			best = t;
	}
	if (best == LOAD_TARGETS_MAX)
		return -1;
	s->target = best;
	return 0;
}

static void
run_send_request(struct run *r, size_t index)
{
	const struct load_config *c = r->config;
	struct load_request *s = &r->shots[index];
	struct fetch_spec spec;
	const char *headers[HEADERS_MAX + 1];
	char deadline[64];
	char prompt[256];
	char url[512];
	char body[1024];
	int order = s->kind == REQUEST_ORDER;

	load_format_prompt(s, index, prompt, sizeof(prompt));
	s->seed = hash_text(prompt) % 1000000;
	snprintf(deadline, sizeof(deadline), "X-Spindle-Deadline-Ms: %llu",
	    (unsigned long long)s->deadline_ms);
	headers[0] = "Content-Type: application/json";
	headers[1] = deadline;
	headers[2] = s->is_long ? "X-Spindle-Class: standard"
				: "X-Spindle-Class: interactive";
	headers[order ? 1 : 3] = NULL;
	snprintf(url, sizeof(url), "http://%s%s",
	    c->policy == POLICY_GATES ? c->targets[s->target]
		: order		      ? c->services[0]
				      : c->engines[s->target],
	    order ? c->service_path : "/v1/chat/completions");
	if (order)
		snprintf(body, sizeof(body), "{\"order\":\"o%zu\"}", index);
	else
		snprintf(body, sizeof(body),
		    "{\"model\":\"%s\",\"user\":\"s%zu\",\"stream\":%s,"
		    "\"max_tokens\":%u,\"messages\":[{\"role\":\"user\","
		    "\"content\":\"%s\"}]}",
		    c->models[s->model], index,
		    s->kind == REQUEST_STREAM ? "true" : "false",
		    s->is_long ? c->long_tokens * 2 : c->short_tokens * 2,
		    prompt);
	memset(&spec, 0, sizeof(spec));
	spec.id = index + 1;
	spec.cookie = s;
	spec.url = url;
	spec.method = "POST";
	spec.headers = headers;
	spec.body = body;
	spec.len = strlen(body);
	spec.own_connection = order;
	spec.connect_timeout_ms = 1000;
	fetch_start(r->fetch, &spec);
}

/* Called with the lock held. */
static void
run_finish_request(struct run *r, struct load_request *s, enum load_result end)
{
	if (s->result != RESULT_OPEN)
		return;
	s->result = end;
	s->ended = clock_mono();
	free(s->buf);
	s->buf = NULL;
	if (r->config->policy != POLICY_GATES)
		r->outstanding[s->gate][s->target]--;
	r->open_requests--;
	pthread_cond_signal(&r->done);
}

/* Compares generated text with the expected tokens. */
static void
check_tokens(struct load_request *s, const char *text)
{
	char expect[64];
	size_t len;

	while (*text != '\0') {
		snprintf(expect, sizeof(expect), "w%llu.%u ",
		    (unsigned long long)s->seed, s->tokens_matched);
		len = strlen(expect);
		if (strncmp(text, expect, len) != 0) {
			s->token_mismatch = 1;
			return;
		}
		s->tokens_matched++;
		text += len;
	}
}

static void
request_sse_event(struct load_request *s, const char *event, size_t len)
{
	const json_t *delta;
	const char *text;
	json_t *doc;

	if (len < 6 || memcmp(event, "data: ", 6) != 0)
		return;
	if (len >= 12 && memcmp(event + 6, "[DONE]", 6) == 0) {
		s->saw_done = 1;
		return;
	}
	doc = json_loadb(event + 6, len - 6, 0, NULL);
	delta = json_object_get(
	    json_array_get(json_object_get(doc, "choices"), 0), "delta");
	text = json_string_value(json_object_get(delta, "content"));
	if (text != NULL) {
		if (s->first_token == 0)
			s->first_token = clock_mono();
		check_tokens(s, text);
	}
	json_decref(doc);
}

/* Buffers part of a response; parses the complete events of a stream. */
static void
request_data(
    struct run *r, struct load_request *s, const char *bytes, size_t len)
{
	char *end;
	size_t used;

	(void)r;
	if (s->len + len + 1 > s->size) {
		s->size = 2 * (s->len + len + 1);
		s->buf = mem_grow(s->buf, s->size, 1);
	}
	memcpy(s->buf + s->len, bytes, len);
	s->len += len;
	s->buf[s->len] = '\0';
	if (s->kind != REQUEST_STREAM || s->status != 200)
		return;
	while ((end = strstr(s->buf, "\n\n")) != NULL) {
		used = (size_t)(end - s->buf) + 2;
		request_sse_event(s, s->buf, used);
		memmove(s->buf, s->buf + used, s->len - used + 1);
		s->len -= used;
	}
}

/* Result reported by an error response. */
static enum load_result
error_result(const struct load_request *s)
{
	const char *type;
	json_t *doc;
	enum load_result end = RESULT_LOST;

	doc = json_loads(s->buf == NULL ? "" : s->buf, 0, NULL);
	type = json_string_value(
	    json_object_get(json_object_get(doc, "error"), "type"));
	if (type == NULL)
		end = RESULT_LOST;
	else if (strncmp(type, "not-run", 7) == 0)
		end = RESULT_NOT_RUN;
	else if (strcmp(type, "unknown") == 0)
		end = RESULT_UNKNOWN;
	else if (strcmp(type, "failed") == 0)
		end = RESULT_FAILED;
	json_decref(doc);
	return end;
}

/* Result of a request whose response has ended. */
static enum load_result
response_result(struct load_request *s)
{
	const json_t *message;
	const char *text;
	json_t *doc;

	if (s->status != 200)
		return error_result(s);
	if (s->kind == REQUEST_ORDER)
		return RESULT_ANSWERED;
	if (s->kind == REQUEST_COMPLETION) {
		doc = json_loads(s->buf == NULL ? "" : s->buf, 0, NULL);
		message = json_object_get(
		    json_array_get(json_object_get(doc, "choices"), 0),
		    "message");
		text = json_string_value(json_object_get(message, "content"));
		if (text != NULL)
			check_tokens(s, text);
		json_decref(doc);
		s->first_token = clock_mono();
		s->saw_done = 1;
	}
	if (s->token_mismatch || !s->saw_done || s->tokens_matched != s->tokens)
		return RESULT_LOST;
	return RESULT_ANSWERED;
}

static void
run_event(void *arg, const struct fetch_event *ev)
{
	struct load_request *s = ev->cookie;
	struct run *r = current_run;
	int again = 0;

	(void)arg;
	pthread_mutex_lock(&r->lock);
	if (s->result != RESULT_OPEN) {
		pthread_mutex_unlock(&r->lock);
		return;
	}
	switch (ev->type) {
	case FETCH_EVENT_WRITING:
		break;
	case FETCH_EVENT_HEAD:
		s->status = ev->status;
		break;
	case FETCH_EVENT_DATA:
		request_data(r, s, ev->bytes, ev->len);
		break;
	case FETCH_EVENT_END:
		run_finish_request(r, s, response_result(s));
		break;
	case FETCH_EVENT_FAIL:
		again = !ev->maybe_sent && s->attempts < LOAD_ATTEMPTS_MAX &&
		    r->config->policy == POLICY_GATES;
		if (again) {
			s->attempts++;
			s->target = (s->target + 1) % r->config->ntargets;
		} else {
			run_finish_request(r, s, RESULT_LOST);
		}
		break;
	}
	pthread_mutex_unlock(&r->lock);
	if (again)
		run_send_request(r, (size_t)(s - r->shots));
}

/* Cancels the requests whose time to cancel has come. */
static void
run_cancel_due(struct run *r, uint64_t now)
{
	struct load_request *s;
	size_t i;

	pthread_mutex_lock(&r->lock);
	for (i = 0; i < r->nshots; i++) {
		s = &r->shots[i];
		if (s->cancel_after == 0 || s->sent == 0 ||
		    s->result != RESULT_OPEN || now < s->sent + s->cancel_after)
			continue;
		fetch_cancel(r->fetch, i + 1);
		s->cancelled = clock_mono();
		run_finish_request(r, s, RESULT_CANCELLED);
	}
	pthread_mutex_unlock(&r->lock);
}

void
load_run(const struct load_config *c, struct load_request *shots, size_t n)
{
	struct run *r;
	struct load_request *s;
	uint64_t now;
	size_t i;

	r = mem_alloc(sizeof(*r));
	current_run = r;
	r->config = c;
	r->shots = shots;
	r->nshots = n;
	pthread_mutex_init(&r->lock, NULL);
	pthread_cond_init(&r->done, NULL);
	r->fetch = fetch_create(run_event, NULL);
	run_refresh_index(r);
	r->start = clock_mono() + 50 * NSEC_PER_MSEC;
	for (i = 0; i < n;) {
		now = clock_mono();
		run_cancel_due(r, now);
		s = &shots[i];
		if (now < r->start + s->arrival) {
			uint64_t next = now + 4 * NSEC_PER_MSEC;

			if (r->start + s->arrival < next)
				next = r->start + s->arrival;
			sleep_until(next);
			continue;
		}
		pthread_mutex_lock(&r->lock);
		r->open_requests++;
		s->sent = now;
		if (run_choose_target(r, s) == -1) {
			s->result = RESULT_NOT_RUN;
			s->ended = now;
			r->open_requests--;
		} else if (c->policy != POLICY_GATES) {
			r->outstanding[s->gate][s->target]++;
		}
		pthread_mutex_unlock(&r->lock);
		if (s->result == RESULT_OPEN)
			run_send_request(r, i);
		i++;
	}
	now = clock_mono();
	while (r->open_requests != 0 &&
	    clock_mono() < now + DRAIN_SECONDS * NSEC_PER_SEC) {
		run_cancel_due(r, clock_mono());
		sleep_until(clock_mono() + 4 * NSEC_PER_MSEC);
	}
	fetch_destroy(r->fetch);
	free(r);
}
