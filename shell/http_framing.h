/*
 * Strict check of the line framing of HTTP/1.1 messages.  The parser library
 * takes any byte after a CR as the line feed of some lines, and a lone line
 * feed as the end of others, so that bytes from elsewhere can end a head or a
 * chunk.  Finds the end of the head and of a chunked body on its own.
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
	FRAMING_END, /* the chunked body has ended */
	FRAMING_INVALID,
	FRAMING__MAX
};

struct http_framing {
	enum http_framing_state state;
	int response;	 /* lines end in CR LF only, and none is folded */
	int after_cr;	 /* only a line feed may follow */
	size_t lines;	 /* complete ones */
	size_t line_len; /* bytes of the current line */
	size_t matched;	 /* bytes of the start of a response at its end */
	uint32_t ndigits;
	uint64_t chunk_left; /* bytes of the current chunk */
};

/* Begins a message: a response, or a request. */
void http_framing_start(struct http_framing *, int);
/* The body that begins is chunked. */
void http_framing_start_chunks(struct http_framing *);
/*
 * Scans bytes up to the end of the head or of a chunked body.  Returns the
 * number of bytes before that end, or before the first invalid one; the state
 * tells which.
 */
size_t http_framing_scan(struct http_framing *, const char *, size_t);

#endif
