/* Shared by the files of fake-engine. */
#ifndef FAKE_INT_H
#define FAKE_INT_H

#include <jansson.h>

#include "base.h"
#include "batch.h"
#include "httpd.h"
#include "watch.h"

struct engine {
	int service;
	int fencing;
	uint64_t load_ms;
	uint64_t memory_mb;
	uint64_t incarnation;
	uint32_t max_sequences; /* sequences in a batch */
	char store[ADDR_SIZE];
	struct batch *batch;
	struct watch *watch;
	/* faults */
	int break_every;
	uint32_t streams;
	uint64_t order_delay_ms;
	int order_lose_every;
	uint64_t not_loaded;
};

struct prompt {
	uint64_t seed;
	uint64_t prefix;
	size_t size;
	uint32_t first;
	uint32_t last;
};

extern struct engine engine;

void pause_ms(uint64_t);
void reply_json(struct httpd_request *, int, json_t *);

/* fake_orders.c: what is loaded, and orders to change it */
void orders_init(void);
int orders_model_ready(const char *);
void orders_handle(struct httpd_request *, const json_t *);
void orders_stats(json_t *);

/* fake_service.c: a plain service */
void service_handle(struct httpd_request *);

#endif
