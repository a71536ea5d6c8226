/* Plain service of fake-engine: POST requests are not idempotent. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "fake_int.h"
#include "mem.h"

#define SERVICE_MSEC 10

/* An order and how often it was executed. */
struct service_order {
	char id[NAME_SIZE];
	uint32_t runs;
	UT_hash_handle hh;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct service_order *placed;
static int cut_every; /* one response in so many is cut after execution */
static uint32_t served;

static uint32_t record_execution(const char *);
static void reply_stats(struct httpd_request *);

/* Counts an execution; returns the number of executions of this order. */
static uint32_t
record_execution(const char *id)
{
	struct service_order *p;
	uint32_t runs;

	pthread_mutex_lock(&lock);
	HASH_FIND_STR(placed, id, p);
	if (p == NULL) {
		p = mem_alloc(sizeof(*p));
		snprintf(p->id, sizeof(p->id), "%s", id);
		HASH_ADD_STR(placed, id, p);
	}
	runs = ++p->runs;
	pthread_mutex_unlock(&lock);
	return runs;
}

/* Reports the executions of every order. */
static void
reply_stats(struct httpd_request *req)
{
	json_t *list = json_object();
	struct service_order *p, *next;
	int doubled = 0;
	json_t *doc;

	pthread_mutex_lock(&lock);
	HASH_ITER (hh, placed, p, next) {
		doubled += p->runs > 1;
		json_object_set_new(list, p->id, json_integer(p->runs));
	}
	pthread_mutex_unlock(&lock);
	doc = json_pack("{s:i,s:o}", "doubled", doubled, "orders", list);
	notice_stats(doc);
	reply_json(req, 200, doc);
}

void
service_handle(struct httpd_request *req)
{
	const char *id;
	json_t *doc;
	uint32_t runs;

	if (strcmp(req->path, "/stats") == 0) {
		reply_stats(req);
		return;
	}
	doc = json_loadb(req->body, req->len, 0, NULL);
	if (strcmp(req->path, "/fault") == 0) {
		cut_every =
		    (int)json_integer_value(json_object_get(doc, "cut_every"));
		notice_set(doc);
		httpd_reply_text(req, 200, "ok\n");
		json_decref(doc);
		return;
	}
	if (notice_turn_away(req)) {
		json_decref(doc);
		return;
	}
	id = json_string_value(json_object_get(doc, "order"));
	pause_ms(SERVICE_MSEC);
	if (strcmp(req->method, "POST") != 0) {
		reply_json(req, 200, json_object());
	} else if (id == NULL) {
		httpd_reply_error(req, 400, "bad-request",
		    "the request body has no order", "");
	} else {
		runs = record_execution(id);
		if (cut_every != 0 &&
		    __atomic_add_fetch(&served, 1, __ATOMIC_RELAXED) %
			    (uint32_t)cut_every ==
			0)
			httpd_abort(req);
		else
			reply_json(req, 200,
			    json_pack(
				"{s:s,s:i}", "order", id, "run", (int)runs));
	}
	json_decref(doc);
}
