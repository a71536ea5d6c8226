/*
 * fake-engine: test double of one backend server.  As a model engine it serves
 * the OpenAI HTTP API with server-sent events and accepts load and unload
 * orders for models and adapters; as a plain service (-s) it counts how often
 * each order was executed.  Faults are set with POST /fault.
 */
#include <argtable2.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <time.h>
#include <unistd.h>

#include "cli.h"
#include "clock.h"
#include "fake_int.h"
#include "hash.h"
#include "mem.h"

#define NAME "fake-engine"
#define THREADS 400
#define BODY_MAX (4U << 20)
#define TOKENS_DEFAULT 64

struct engine engine;

static void handle(void *, struct httpd_request *);
static void handle_generate(struct httpd_request *, const json_t *, int);
static void handle_fault(struct httpd_request *, const json_t *);
static void handle_stats(struct httpd_request *);
static void reply_stream(
    struct httpd_request *, struct sequence *, const struct prompt *, int);
static void reply_completion(
    struct httpd_request *, struct sequence *, const struct prompt *, int);
static int prompt_parse(const json_t *, int, struct prompt *);
static void caller_disconnected(void *, uint64_t);
static int stream_cut_due(void);
static int serve(const char *, const struct batch_config *);

void
pause_ms(uint64_t ms)
{
	struct timespec ts;

	ts.tv_sec = (time_t)(ms / 1000);
	ts.tv_nsec = (long)(ms % 1000 * NSEC_PER_MSEC);
	nanosleep(&ts, NULL);
}

void
reply_json(struct httpd_request *req, int status, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);
	char lines[NOTICE_LINES_SIZE];

	json_decref(doc);
	notice_lines(&lines);
	httpd_reply(req, status, "application/json", lines, text, strlen(text));
	free(text);
}

static void
caller_disconnected(void *arg, uint64_t id)
{
	(void)arg;
	batch_cancel(engine.batch, id);
}

/*
 * The first line of the prompt determines every token, so that a caller can
 * verify the whole response.  "len=N" in it sets the response length in
 * tokens.  Text after that line is the part of the response generated earlier,
 * with a space after each token.  Returns -1 when there is no prompt.
 */
static int
prompt_parse(const json_t *doc, int chat, struct prompt *p)
{
	const json_t *messages = json_object_get(doc, "messages");
	const char *text;
	const char *more = "";
	const char *len;
	json_int_t most;
	size_t line;

	text = json_string_value(json_object_get(doc, "prompt"));
	if (chat)
		text = json_string_value(
		    json_object_get(json_array_get(messages, 0), "content"));
	if (text == NULL)
		return -1;
	line = strcspn(text, "\n");
	p->seed = hash_bytes(text, line) % 1000000;
	p->size = strlen(text);
	p->prefix = hash_bytes(text, line < 24 ? line : 24);
	if (chat && json_array_size(messages) > 1 &&
	    json_is_true(json_object_get(doc, "continue_final_message")))
		more = json_string_value(json_object_get(
		    json_array_get(messages, json_array_size(messages) - 1),
		    "content"));
	else if (!chat && text[line] == '\n')
		more = text + line + 1;
	for (p->first = 0; more != NULL && *more != '\0'; more++)
		p->first += *more == ' ';
	most = json_integer_value(json_object_get(doc, "max_tokens"));
	if (most <= 0)
		most = TOKENS_DEFAULT;
	p->last = p->first + (uint32_t)most;
	len = strstr(text, "len=");
	if (len != NULL && (uint32_t)atoi(len + 4) < p->last)
		p->last = (uint32_t)atoi(len + 4);
	if (p->last < p->first)
		p->last = p->first;
	return 0;
}

/* Whether to cut this stream: one in break_every, if that fault is set. */
static int
stream_cut_due(void)
{
	int every = __atomic_load_n(&engine.break_every, __ATOMIC_RELAXED);

	if (every == 0)
		return 0;
	return __atomic_add_fetch(&engine.streams, 1, __ATOMIC_RELAXED) %
	    (uint32_t)every ==
	    0;
}

static void
reply_stream(struct httpd_request *req, struct sequence *s,
    const struct prompt *p, int chat)
{
	enum sequence_event news;
	char lines[NOTICE_LINES_SIZE];
	char event[256];
	uint32_t index;
	int cut = stream_cut_due();
	int n;

	notice_lines(&lines);
	httpd_begin_chunked(req, 200, "text/event-stream", lines);
	while ((news = batch_next_event(engine.batch, s, &index)) ==
	    SEQUENCE_TOKEN) {
		n = snprintf(event, sizeof(event),
		    chat ? "data: {\"id\":\"x\",\"object\":"
			   "\"chat.completion.chunk\",\"choices\":[{"
			   "\"index\":0,\"delta\":{\"content\":"
			   "\"w%" PRIu64 ".%u \"}}]}\n\n"
			 : "data: {\"id\":\"x\",\"object\":"
			   "\"text_completion\",\"choices\":[{"
			   "\"index\":0,\"text\":\"w%" PRIu64 ".%u \"}]}\n\n",
		    p->seed, index);
		if (httpd_write_chunk(req, event, (size_t)n) == -1 ||
		    (cut && index >= (p->first + p->last) / 2)) {
			httpd_abort(req);
			batch_remove(
			    engine.batch, s, cut ? "broken" : "cancelled");
			return;
		}
	}
	if (news == SEQUENCE_END) {
		httpd_write_chunk(req, "data: [DONE]\n\n", 14);
		httpd_end_chunked(req);
	}
	batch_remove(
	    engine.batch, s, news == SEQUENCE_END ? "done" : "cancelled");
}

static void
reply_completion(struct httpd_request *req, struct sequence *s,
    const struct prompt *p, int chat)
{
	enum sequence_event news;
	char *text = NULL;
	json_t *choice;
	uint32_t index;
	size_t len;
	FILE *f;

	f = open_memstream(&text, &len);
	while ((news = batch_next_event(engine.batch, s, &index)) ==
	    SEQUENCE_TOKEN)
		fprintf(f, "w%" PRIu64 ".%u ", p->seed, index);
	fclose(f);
	batch_remove(
	    engine.batch, s, news == SEQUENCE_END ? "done" : "cancelled");
	if (news == SEQUENCE_END) {
		choice = chat ? json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0,
				    "message", "role", "assistant", "content",
				    text, "finish_reason", "stop")
			      : json_pack("{s:i,s:s,s:s}", "index", 0, "text",
				    text, "finish_reason", "stop");
		reply_json(req, 200,
		    json_pack("{s:s,s:s,s:[o]}", "id", "x", "object",
			chat ? "chat.completion" : "text_completion", "choices",
			choice));
	}
	free(text);
}

static void
handle_generate(struct httpd_request *req, const json_t *doc, int chat)
{
	const char *model = json_string_value(json_object_get(doc, "model"));
	const char *rid = httpd_request_header(req, "X-Request-Id");
	const char *name = json_string_value(json_object_get(doc, "user"));
	struct sequence *s;
	struct prompt p;
	int fd;

	if (notice_turn_away(req))
		return;
	if (model == NULL || prompt_parse(doc, chat, &p) == -1) {
		httpd_reply_error(req, 400, "bad-request", "malformed", "");
		return;
	}
	if (!orders_model_ready(model)) {
		__atomic_fetch_add(&engine.not_loaded, 1, __ATOMIC_RELAXED);
		httpd_reply_error(req, 404, "not-found", "not loaded", "");
		return;
	}
	s = batch_add(engine.batch, name == NULL ? "" : name,
	    rid == NULL ? "" : rid, p.prefix, p.size,
	    (int)json_integer_value(json_object_get(doc, "priority")), p.first,
	    p.last);
	fd = httpd_fd(req);
	if (fd == -1 || watch_add(engine.watch, fd, batch_id(s)) == -1)
		batch_cancel(engine.batch, batch_id(s));
	if (json_is_true(json_object_get(doc, "stream")))
		reply_stream(req, s, &p, chat);
	else
		reply_completion(req, s, &p, chat);
	if (fd != -1)
		watch_remove(engine.watch, fd);
}

static void
handle_fault(struct httpd_request *req, const json_t *doc)
{
	const json_t *slow = json_object_get(doc, "slow");

	batch_set_slowdown(
	    engine.batch, json_is_number(slow) ? json_number_value(slow) : 1.0);
	engine.break_every =
	    (int)json_integer_value(json_object_get(doc, "break_every"));
	engine.order_delay_ms = (uint64_t)json_integer_value(
	    json_object_get(doc, "order_delay_ms"));
	engine.order_lose_every =
	    (int)json_integer_value(json_object_get(doc, "order_lose_every"));
	notice_set(doc);
	httpd_reply_text(req, 200, "ok\n");
}

static void
handle_stats(struct httpd_request *req)
{
	json_t *doc = batch_stats(engine.batch);

	orders_stats(doc);
	notice_stats(doc);
	json_object_set_new(doc, "not_loaded", json_integer(engine.not_loaded));
	reply_json(req, 200, doc);
}

static void
handle(void *arg, struct httpd_request *req)
{
	json_t *doc;

	(void)arg;
	if (engine.service) {
		service_handle(req);
		return;
	}
	doc = json_loadb(req->body, req->len, 0, NULL);
	if (strcmp(req->path, "/v1/chat/completions") == 0)
		handle_generate(req, doc, 1);
	else if (strcmp(req->path, "/v1/completions") == 0)
		handle_generate(req, doc, 0);
	else if (strcmp(req->path, "/fault") == 0)
		handle_fault(req, doc);
	else if (strcmp(req->path, "/stats") == 0)
		handle_stats(req);
	else if (strcmp(req->path, "/runs") == 0)
		reply_json(req, 200, batch_records(engine.batch));
	else
		orders_handle(req, doc);
	json_decref(doc);
}

int
main(int argc, char **argv)
{
	struct arg_str *listen = arg_str1("l", "listen", "IP:PORT", "address");
	struct arg_lit *service =
	    arg_lit0("s", "service", "act as a plain service");
	struct arg_lit *fencing =
	    arg_lit0("f", "fencing", "refuse old fencing tokens");
	struct arg_str *store =
	    arg_str0("w", "store", "IP:PORT", "weight store");
	struct arg_int *load =
	    arg_int0("L", "load-ms", "N", "duration of a model load (500)");
	struct arg_int *memory =
	    arg_int0("m", "memory-mb", "N", "memory of the accelerator");
	struct arg_dbl *step =
	    arg_dbl0("t", "step-ms", "N", "step time, batch of one (10)");
	struct arg_dbl *per = arg_dbl0(
	    "k", "per-seq", "N", "step time share per sequence (0.04)");
	struct arg_dbl *prefill = arg_dbl0(
	    "p", "prefill-ms", "N", "prefill time per 1000 bytes (60)");
	struct arg_int *most =
	    arg_int0("b", "batch", "N", "maximum sequences in a batch (48)");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { listen, service, fencing, store, load, memory, step,
		per, prefill, most, help, end };
	struct batch_config bc;

	load->ival[0] = 500;
	memory->ival[0] = 80000;
	step->dval[0] = 10.0;
	per->dval[0] = 0.04;
	prefill->dval[0] = 60.0;
	most->ival[0] = 48;
	store->sval[0] = "";
	if (arg_parse(argc, argv, table) != 0 || help->count != 0) {
		printf("usage: %s", NAME);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return help->count != 0 ? EX_OK : EX_USAGE;
	}
	engine.service = service->count != 0;
	engine.fencing = fencing->count != 0;
	engine.load_ms = (uint64_t)load->ival[0];
	engine.memory_mb = (uint64_t)memory->ival[0];
	engine.incarnation = clock_incarnation();
	snprintf(engine.store, sizeof(engine.store), "%s", store->sval[0]);
	bc.step_ms = step->dval[0];
	bc.step_per_seq = per->dval[0];
	bc.prefill_ms = prefill->dval[0];
	bc.max_sequences = engine.max_sequences = (uint32_t)most->ival[0];
	return serve(listen->sval[0], &bc);
}

static int
serve(const char *addr, const struct batch_config *bc)
{
	struct httpd_config hc;
	struct err e;

	cli_block_signals();
	engine.batch = batch_create(bc);
	engine.watch = watch_create(caller_disconnected, NULL);
	orders_init();
	memset(&hc, 0, sizeof(hc));
	snprintf(hc.addr, sizeof(hc.addr), "%s", addr);
	hc.threads = THREADS;
	hc.max_body_bytes = BODY_MAX;
	hc.on_request = handle;
	if (httpd_create(&hc, &e) == NULL) {
		fprintf(stderr, "%s: %s\n", NAME, e.text);
		return EX_UNAVAILABLE;
	}
	cli_wait_signal();
	_exit(0);
}
