/*
 * HTTP server on CivetWeb.  Each connection has a thread of its own, so a
 * request handler may block.
 */
#ifndef HTTPD_H
#define HTTPD_H

#include <stddef.h>
#include <stdint.h>

#include "err.h"

struct httpd;
struct mg_connection;

struct httpd_request {
	struct mg_connection *conn;
	const char *method;
	const char *path;  /* without the query */
	const char *query; /* "" when there is none */
	char *body;	   /* NUL-terminated */
	size_t len;
	void *cookie; /* for use by the handler */
	int closing;  /* the answer's head told the end of the connection */
};

struct httpd_config {
	char addr[64]; /* "IP:port" */
	int threads;
	size_t max_body_bytes; /* bytes; a larger body is rejected with 413 */
	void (*on_request)(void *, struct httpd_request *);
	void (*on_bad_request)(
	    void *, const char *); /* malformed or oversized request */
	void *ctx;
};

struct httpd *httpd_create(const struct httpd_config *, struct err *);
/*
 * Ends the connections of callers, to be called after httpd_begin_shutdown()
 * and once no request is in progress: each may end its request until a time,
 * what is read by then is answered.  Returns when all are closed, or 4 s after
 * that time.
 */
void httpd_drain(struct httpd *, uint64_t);
/* Waits for running handlers to return; unfinished answers are cut off. */
void httpd_destroy(struct httpd *);
/* Disables keep-alive on all connections; running handlers continue. */
void httpd_begin_shutdown(struct httpd *);

/* A request header's value, or NULL. */
const char *httpd_request_header(const struct httpd_request *, const char *);
/* Sends a complete response.  Each of the extra header lines ends in CR LF. */
void httpd_reply(struct httpd_request *, int, const char *, const char *,
    const char *, size_t);
void httpd_reply_text(struct httpd_request *, int, const char *);
/* Sends a JSON error: {"error":{"type":...,"message":...,"code":...}}. */
void httpd_reply_error(
    struct httpd_request *, int, const char *, const char *, const char *);
/* A chunked response; each call returns -1 when the connection is closed. */
int httpd_begin_chunked(
    struct httpd_request *, int, const char *, const char *);
int httpd_write_chunk(struct httpd_request *, const char *, size_t);
int httpd_end_chunked(struct httpd_request *);
/* Closes the connection, so that the peer sees a truncated response. */
void httpd_abort(struct httpd_request *);
/* The connection's descriptor, or -1 when it is already closed. */
int httpd_fd(const struct httpd_request *);

#endif
