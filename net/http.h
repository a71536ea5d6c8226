/*
 * Incremental parser for HTTP/1.1 requests and responses.  The body is
 * delimited by Content-Length, chunked coding or connection close.
 */
#ifndef HTTP_H
#define HTTP_H

#include <stddef.h>
#include <stdint.h>

#include "buf.h"

#define HTTP_METHOD_SIZE 16

struct http_field {
	size_t name; /* offsets into http_head.text */
	size_t value;
};

/* Start line and header fields of one message. */
struct http_head {
	char method[HTTP_METHOD_SIZE]; /* requests */
	int status;		       /* responses */
	int minor_version;	       /* HTTP/1.minor */
	int keep_alive;
	int close_delimited; /* the body ends at connection close */
	size_t target;	     /* offset of the request target */
	size_t bytes;	     /* received */
	size_t nfields;
	size_t fields_capacity;
	struct http_field *fields;
	struct buf text;
};

enum http_message_kind {
	HTTP_READ_REQUESTS,
	HTTP_READ_RESPONSES
};

struct http_reader;

struct http_reader_ops {
	void (*head)(void *, const struct http_head *);
	void (*body)(void *, const char *, size_t);
	void (*end)(void *);
};

struct http_reader *http_reader_create(
    enum http_message_kind, const struct http_reader_ops *, void *);
void http_reader_destroy(struct http_reader *);
/* Discards the current message; the next byte begins a new one. */
void http_reader_reset(struct http_reader *);
/* The next message is a response to HEAD and has no body. */
void http_reader_expect_no_body(struct http_reader *);
/*
 * Parses bytes up to the end of one message.  Returns the number of bytes
 * consumed, or -1 on a syntax error.  Callbacks must not destroy the reader.
 */
long http_reader_feed(struct http_reader *, const char *, size_t);
/* The connection was closed: 0 when that completes the message, else -1. */
int http_reader_eof(struct http_reader *);
/* Bytes received of an incomplete head; 0 between messages. */
size_t http_reader_head_bytes(const struct http_reader *);
int http_reader_in_message(const struct http_reader *);
const struct http_head *http_reader_head(const struct http_reader *);

const char *http_request_target(const struct http_head *);
const char *http_field_name(const struct http_head *, size_t);
const char *http_field_value(const struct http_head *, size_t);
/* Value of the first field with the given name, or NULL. */
const char *http_field_find(const struct http_head *, const char *);
/* Whether a field is hop-by-hop, by default or by the Connection field. */
int http_field_is_hop_by_hop(const struct http_head *, const char *);
/* Reason phrase of a status code. */
const char *http_reason_phrase(int);
/*
 * Sets the largest head, in bytes, that any reader accepts; those of answers
 * may have 64 KB whatever the limit on callers is.
 */
void http_set_max_head_size(size_t);

#endif
