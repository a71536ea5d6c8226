/*
 * Strict check of the line framing of HTTP/1.1 messages.  The parser library
 * takes any byte after a CR as the line feed of some lines, and a lone line
 * feed as the end of others, so that bytes from elsewhere can end a head or a
 * chunk.  Finds the end of the head and of a chunked body on its own.
 *
 * A body that ends with its connection takes in all that its sender writes,
 * another response, too.  It is whole only if nothing in it can be one: no
 * status line, and at its end no part of one.
 */
#ifndef HTTP_FRAMING_H
#define HTTP_FRAMING_H

#include <stddef.h>
#include <stdint.h>

enum http_framing_state {
	FRAMING_HEAD,
	FRAMING_BODY, /* the head has ended */
	FRAMING_CHUNK_SIZE,
	FRAMING_CHUNK_EXTENSION,
	FRAMING_CHUNK_SIZE_LF,
	FRAMING_CHUNK_DATA,
	FRAMING_CHUNK_DATA_CR,
	FRAMING_CHUNK_DATA_LF,
	FRAMING_TRAILER,
	FRAMING_END,	     /* the chunked body has ended */
	FRAMING_UNTIL_CLOSE, /* in a body that ends with its connection */
	FRAMING_INVALID,
	FRAMING__MAX
};

struct http_framing {
	enum http_framing_state state;
	int response;	 /* lines end in CR LF only, and none is folded */
	int after_cr;	 /* only a line feed may follow */
	size_t lines;	 /* complete ones */
	size_t line_len; /* bytes of the current line */
	size_t matched;	 /* last bytes, which may be a response's status line */
	uint32_t ndigits;
	uint64_t chunk_left; /* bytes of the current chunk */
};

/* Begins a message: a response, or a request. */
void http_framing_start(struct http_framing *, int);
/* The body that begins is chunked. */
void http_framing_start_chunks(struct http_framing *);
/* The body that begins ends with its connection. */
void http_framing_start_until_close(struct http_framing *);
/*
 * Scans bytes up to the end of the head or of a chunked body, or up to another
 * response in a body that ends with its connection.  Returns the number of
 * bytes before that end, or before the first invalid one; the state tells
 * which.
 */
size_t http_framing_scan(struct http_framing *, const char *, size_t);
/*
 * Whether a body that ends with its connection may end here.  If not, its last
 * bytes may belong to another response.
 */
int http_framing_may_close(const struct http_framing *);

#endif
