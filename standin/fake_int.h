/* Interfaces between the source files of fake-engine. */
#ifndef FAKE_INT_H
#define FAKE_INT_H

#include <jansson.h>

#include "base.h"
#include "batch.h"
#include "httpd.h"
#include "watch.h"

struct engine {
	int service;	  /* plain service in place of a model engine */
	int fencing;	  /* refuse orders with an old fencing token */
	uint64_t load_ms; /* duration of a model load */
	uint64_t memory_mb;
	uint64_t incarnation;
	uint32_t max_sequences; /* running at once */
	char store[ADDR_SIZE];	/* weight store; "" when there is none */
	struct batch *batch;
	struct watch *watch;
	/* injected faults; 0 turns each off */
	int break_every;  /* one stream in so many is cut */
	uint32_t streams; /* counted while break_every is set */
	uint64_t order_delay_ms;
	int order_lose_every; /* one order in so many gets no response */
	uint64_t not_loaded;  /* requests for models not loaded */
};

/* What a prompt decides about the response. */
struct prompt {
	uint64_t seed;	 /* part of every token */
	uint64_t prefix; /* hash */
	size_t size;	 /* bytes */
	uint32_t first;	 /* index of the first token to generate */
	uint32_t last;	 /* index after the last */
};

extern struct engine engine;

/* Sleeps. */
void pause_ms(uint64_t);
/* Sends a JSON document and releases it. */
void reply_json(struct httpd_request *, int, json_t *);

/* fake_orders.c: loaded models and adapters, load and unload orders */
void orders_init(void);
/* Whether a model or adapter of this name is loaded. */
int orders_model_ready(const char *);
/* Serves the index of models and the load and unload orders. */
void orders_handle(struct httpd_request *, const json_t *);
/* Adds the counters of orders to a document. */
void orders_stats(json_t *);

#define NOTICE_LINES_SIZE 512

/* fake_notice.c: what the stand-in says of itself in answers to callers */
void notice_set(const json_t *);
/* Writes the header lines of an answer. */
void notice_lines(char (*)[NOTICE_LINES_SIZE]);
/* Counts a request; answers 503 if that is set, and returns whether it did. */
int notice_turn_away(struct httpd_request *);
/* Adds the counter of requests to a document. */
void notice_stats(json_t *);

/* fake_service.c: a plain service that counts executions of each order */
void service_handle(struct httpd_request *);

#endif
