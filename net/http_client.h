/*
 * HTTP client with persistent connections: one exchange (request and response)
 * at a time on a connection, and a pool of idle connections per server address.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <ev.h>

#include "http.h"

struct conn_pool;
struct exchange;

/* How an exchange ended. */
enum exchange_result {
	EXCHANGE_COMPLETE,    /* the response is complete */
	EXCHANGE_NOT_SENT,    /* no byte of the request was sent */
	EXCHANGE_NO_RESPONSE, /* request sent at least in part, no response */
	EXCHANGE_TRUNCATED,   /* the response is incomplete */
	EXCHANGE__MAX
};

struct exchange_ops {
	/* A new connection is established; may be NULL. */
	void (*connected)(void *);
	/*
	 * The head of a response.  Return 0 to accept it, or 1 to skip the
	 * response, as it belongs to an earlier request, and wait for the next.
	 */
	int (*head)(void *, const struct http_head *);
	/*
	 * A part of the body.  Return 1 if the rest is of no use: the
	 * connection is closed and the exchange ends as truncated.
	 */
	int (*body)(void *, const char *, size_t);
	/* The last callback of an exchange. */
	void (*end)(void *, enum exchange_result);
};

struct conn_pool_config {
	uint64_t connect_timeout_ns; /* limit for connecting */
	uint64_t idle_timeout_ns;    /* closes idle connections */
	uint32_t idle_max;	     /* idle connections per address */
};

struct conn_pool *conn_pool_create(
    struct ev_loop *, const struct conn_pool_config *);
void conn_pool_destroy(struct conn_pool *);
/* Which connection an exchange may use. */
struct exchange_conn {
	/*
	 * An idle one that was last used within this time, ns, or whose server
	 * announced a keep-alive time.
	 */
	uint64_t reuse_ns;
	/*
	 * Hash of the request's id; 0 without one.  Late copies of responses
	 * are told by their id, so a request is never sent on a connection
	 * that has carried its id before.
	 */
	uint64_t tag;
	/*
	 * Only a new one, which is closed afterwards: nothing in the response
	 * tells it from a late copy of another.
	 */
	int single_use;
};

/*
 * Begins an exchange with the server at the address; end() is never called
 * before this returns.
 */
struct exchange *exchange_start(struct conn_pool *, const char *,
    const struct exchange_conn *, const struct exchange_ops *, void *);
void exchange_send(struct exchange *, const void *, size_t);
/*
 * The request is not sent after a time, monotonic ns, even if the connection is
 * established only then; the exchange ends as not sent.
 */
void exchange_set_send_by(struct exchange *, uint64_t);
/* The response has no body, whatever its head says. */
void exchange_expect_no_body(struct exchange *);
/* Sets the server's keep-alive time, ns; 0 when it announced none. */
void exchange_set_keep_alive(struct exchange *, uint64_t);
/* Pauses (0) or resumes (1) reading the response. */
void exchange_set_reading(struct exchange *, int);
/* Closes the connection; no callback follows. */
void exchange_cancel(struct exchange *);
/* Whether a part of the response is unread. */
int exchange_has_input(const struct exchange *);
/* Whether a byte of the request has been sent. */
int exchange_has_sent(const struct exchange *);
/* Whether the server has acknowledged nothing since a time, though bytes wait.
 */
int exchange_is_unacked(const struct exchange *, uint64_t);
/*
 * Keeps the established connection of an exchange in which nothing was sent;
 * no callback follows.
 */
void exchange_release(struct exchange *);
/* Whether an idle connection to the address would be used. */
int conn_pool_has_idle(
    struct conn_pool *, const char *, const struct exchange_conn *);
/* Whether the exchange opened a new connection. */
int exchange_has_new_conn(const struct exchange *);
/* Number of connections opened so far. */
uint64_t conn_pool_opened_count(const struct conn_pool *);
/* Number of connections closed for bytes that are no response. */
uint64_t conn_pool_malformed_count(const struct conn_pool *);
/* Number of responses that belonged to earlier requests. */
uint64_t conn_pool_skipped_count(const struct conn_pool *);

#endif
