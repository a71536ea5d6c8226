/*
 * HTTP in: a thin layer over CivetWeb.  A handler runs in a thread of its
 * own for each connection and may wait.
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
	void *cookie; /* for the handler's use */
};

struct httpd_config {
	char addr[64]; /* "IP:port" */
	int threads;
	size_t body_max; /* bytes; a larger body is refused with 413 */
	void (*on_request)(void *, struct httpd_request *);
	void (*on_bad_request)(
	    void *, const char *); /* malformed or oversized input */
	void *ctx;
};

struct httpd *httpd_create(const struct httpd_config *, struct err *);
/* Waits for handlers to return. */
void httpd_destroy(struct httpd *);
/* Stops keeping connections alive; running handlers go on. */
void httpd_begin_shutdown(struct httpd *);

/* A request header's value, or NULL. */
const char *httpd_header(const struct httpd_request *, const char *);
/* A whole answer.  The header lines, or "", each end in CR LF. */
void httpd_reply(struct httpd_request *, int, const char *, const char *,
    const char *, size_t);
void httpd_reply_text(struct httpd_request *, int, const char *);
/* A typed JSON error: {"error":{"type":...,"message":...}}. */
void httpd_reply_error(
    struct httpd_request *, int, const char *, const char *, const char *);
/* An answer in parts; each returns -1 when the peer is gone. */
int httpd_begin_chunked(
    struct httpd_request *, int, const char *, const char *);
int httpd_write_chunk(struct httpd_request *, const char *, size_t);
int httpd_end_chunked(struct httpd_request *);
/* Drops the connection so that a truncated answer shows as one. */
void httpd_abort(struct httpd_request *);
/* The connection's descriptor, or -1 when the peer is gone already. */
int httpd_fd(const struct httpd_request *);

#endif
