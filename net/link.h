/*
 * HTTP exchanges with servers over kept connections: one exchange at a time
 * on a connection, and a pool of idle connections for each address.
 */
#ifndef LINK_H
#define LINK_H

#include <ev.h>

#include "http.h"

struct conn_pool;
struct exchange;

/* How far an exchange got when its connection was lost. */
enum exchange_result {
	EXCHANGE_COMPLETE,    /* the whole answer came */
	EXCHANGE_NOT_SENT,    /* no byte of the request was handed over */
	EXCHANGE_NO_RESPONSE, /* sent, in part at least; no answer */
	EXCHANGE_TRUNCATED,   /* part of the answer came */
	EXCHANGE__MAX
};

struct exchange_ops {
	/*
	 * The head of an answer.  0 takes it; 1 skips it, since it belongs to
	 * an earlier request, and waits for the next one.
	 */
	int (*head)(void *, const struct http_head *);
	void (*body)(void *, const char *, size_t);
	/* The last callback of an exchange. */
	void (*end)(void *, enum exchange_result);
};

struct conn_pool_config {
	uint64_t connect_timeout_ns; /* for a connection to stand */
	uint64_t idle_timeout_ns; /* idle connections are closed after this */
	uint32_t idle_max;	  /* idle connections for one address */
};

struct conn_pool *conn_pool_create(
    struct ev_loop *, const struct conn_pool_config *);
void conn_pool_destroy(struct conn_pool *);
/*
 * Begins an exchange; an idle connection is used when its server told how
 * long it keeps it, or it was used within fresh_ns.  end() is never called
 * before this returns.
 */
struct exchange *exchange_start(struct conn_pool *, const char *, uint64_t,
    const struct exchange_ops *, void *);
void exchange_send(struct exchange *, const void *, size_t);
/* The answer has no body, whatever its head says. */
void exchange_expect_no_body(struct exchange *);
/* The server keeps the connection this long; 0 when it did not tell. */
void exchange_set_keep_alive(struct exchange *, uint64_t);
/* Stops or restarts reading the answer. */
void exchange_set_reading(struct exchange *, int);
/* Closes the connection; no callback follows. */
void exchange_cancel(struct exchange *);
/* Whether the connection was new for this exchange. */
int exchange_has_new_conn(const struct exchange *);
/* Connections opened since the start. */
uint64_t conn_pool_connections(const struct conn_pool *);

#endif
