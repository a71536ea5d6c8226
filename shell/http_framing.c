#include <ctype.h>
#include <string.h>

#include "base.h"
#include "http_framing.h"

#define CR '\r'
#define LF '\n'
#define DELETE 127
/* The start of a response; a # stands for a digit. */
#define STATUS_LINE_START "HTTP/#.# ###"
#define STATUS_LINE_START_LEN (sizeof(STATUS_LINE_START) - 1)
#define MAJOR_VERSION_AT (sizeof("HTTP/") - 1)
#define STATUS_AT (sizeof("HTTP/1.1 ") - 1)
/* Of a chunk's size: 60 bits. */
#define CHUNK_DIGITS_MAX 15
#define STATUS_LINE_MAX 65536 /* bytes */

static int is_text(unsigned char);
static int is_in_start(size_t, unsigned char);
static int status_line_begins(struct http_framing *, unsigned char);
static int is_in_status_line(size_t, unsigned char);
static int is_expected(struct http_framing *, unsigned char);
static enum http_framing_state end_line(struct http_framing *);
static enum http_framing_state scan_line(struct http_framing *, unsigned char);
static enum http_framing_state scan_size(struct http_framing *, unsigned char);
static enum http_framing_state scan_extension(unsigned char);
static enum http_framing_state scan_chunked(
    struct http_framing *, unsigned char);
static enum http_framing_state scan_until_close(
    struct http_framing *, unsigned char);
static enum http_framing_state scan_byte(struct http_framing *, unsigned char);
static size_t skip_data(struct http_framing *, size_t);

void
http_framing_start(struct http_framing *f, int response)
{
	memset(f, 0, sizeof(*f));
	f->response = response;
}

void
http_framing_start_chunks(struct http_framing *f)
{
	f->state = FRAMING_CHUNK_SIZE;
	f->ndigits = 0;
	f->chunk_left = 0;
}

void
http_framing_start_until_close(struct http_framing *f)
{
	f->state = FRAMING_UNTIL_CLOSE;
	f->matched = 0;
	f->after_cr = 0;
}

int
http_framing_may_close(const struct http_framing *f)
{
	return f->state == FRAMING_UNTIL_CLOSE && f->matched == 0;
}

static int
is_text(unsigned char c)
{
	return c == '\t' || (c >= ' ' && c != DELETE);
}

/* Whether a byte is the one at an offset in the start of a status line. */
static int
is_in_start(size_t at, unsigned char c)
{
	char want = STATUS_LINE_START[at];

	return want == '#' ? isdigit(c) : c == (unsigned char)want;
}

/* Whether the byte completes the start of a response. */
static int
status_line_begins(struct http_framing *f, unsigned char c)
{
	f->matched = is_in_start(f->matched, c) ? f->matched + 1 : c == 'H';
	if (f->matched < STATUS_LINE_START_LEN)
		return 0;
	f->matched = 0;
	return 1;
}

/*
 * Whether a byte may be at an offset of a response's first line: HTTP/1.x, a
 * status from 100 to 599, and nothing, or a blank and a reason.
 */
static int
is_in_status_line(size_t at, unsigned char c)
{
	if (at == MAJOR_VERSION_AT)
		return c == '1';
	if (at == STATUS_AT)
		return c >= '1' && c <= '5';
	if (at == STATUS_LINE_START_LEN)
		return c == ' ';
	return at > STATUS_LINE_START_LEN || is_in_start(at, c);
}

/* Whether a response's line neither folds nor holds another response. */
static int
is_expected(struct http_framing *f, unsigned char c)
{
	if (f->lines == 0 && !is_in_status_line(f->line_len, c))
		return 0;
	if (f->lines != 0 && f->line_len == 0 && (c == ' ' || c == '\t'))
		return 0;
	return !status_line_begins(f, c) ||
	    (f->lines == 0 && f->line_len == STATUS_LINE_START_LEN - 1);
}

/* The state after the end of a line of the head or of the trailer. */
static enum http_framing_state
end_line(struct http_framing *f)
{
	size_t len = f->line_len;

	f->line_len = 0;
	f->matched = 0;
	if (len != 0)
		f->lines++;
	else if (f->lines != 0) /* otherwise it comes before the message */
		return f->state == FRAMING_HEAD ? FRAMING_BODY : FRAMING_END;
	return f->state;
}

static enum http_framing_state
scan_line(struct http_framing *f, unsigned char c)
{
	if (f->after_cr) {
		f->after_cr = 0;
		return c == LF ? end_line(f) : FRAMING_INVALID;
	}
	if (c == CR) {
		f->after_cr = 1;
		/* The status is missing, or cut short. */
		return f->response && f->lines == 0 && f->line_len != 0 &&
			f->line_len < STATUS_LINE_START_LEN
		    ? FRAMING_INVALID
		    : f->state;
	}
	if (c == LF && !f->response)
		return end_line(f);
	if (!is_text(c) || (f->response && !is_expected(f, c)))
		return FRAMING_INVALID;
	f->line_len++;
	return f->state;
}

static enum http_framing_state
scan_size(struct http_framing *f, unsigned char c)
{
	if (isxdigit(c)) {
		if (f->ndigits++ == CHUNK_DIGITS_MAX)
			return FRAMING_INVALID;
		f->chunk_left = f->chunk_left << 4 |
		    (uint64_t)(isdigit(c) ? c - '0' : tolower(c) - 'a' + 10);
		return FRAMING_CHUNK_SIZE;
	}
	return f->ndigits == 0 ? FRAMING_INVALID : scan_extension(c);
}

static enum http_framing_state
scan_extension(unsigned char c)
{
	if (c == CR)
		return FRAMING_CHUNK_SIZE_LF;
	return is_text(c) ? FRAMING_CHUNK_EXTENSION : FRAMING_INVALID;
}

static enum http_framing_state
scan_chunked(struct http_framing *f, unsigned char c)
{
	switch (f->state) {
	case FRAMING_CHUNK_SIZE:
		return scan_size(f, c);
	case FRAMING_CHUNK_EXTENSION:
		return scan_extension(c);
	case FRAMING_CHUNK_SIZE_LF:
		if (c != LF)
			return FRAMING_INVALID;
		return f->chunk_left != 0 ? FRAMING_CHUNK_DATA
					  : FRAMING_TRAILER;
	case FRAMING_CHUNK_DATA_CR:
		return c == CR ? FRAMING_CHUNK_DATA_LF : FRAMING_INVALID;
	case FRAMING_CHUNK_DATA_LF:
		f->ndigits = 0;
		return c == LF ? FRAMING_CHUNK_SIZE : FRAMING_INVALID;
	default:
		return FRAMING_INVALID;
	}
}

/* Looks for a whole status line, anywhere in a line. */
static enum http_framing_state
scan_until_close(struct http_framing *f, unsigned char c)
{
	int after_cr = f->after_cr;
	int in_start = f->matched < STATUS_LINE_START_LEN;
	int matches;

	if (after_cr && c == LF)
		return FRAMING_INVALID;
	if (in_start)
		matches = is_in_start(f->matched, c);
	else
		matches = !after_cr && (c == CR || is_text(c));
	/* Another one may begin within so long a line. */
	if (matches && f->matched == STATUS_LINE_MAX)
		return FRAMING_INVALID;
	f->after_cr = matches && c == CR;
	f->matched = matches ? f->matched + 1 : c == 'H';
	return FRAMING_UNTIL_CLOSE;
}

static enum http_framing_state
scan_byte(struct http_framing *f, unsigned char c)
{
	switch (f->state) {
	case FRAMING_HEAD:
	case FRAMING_TRAILER:
		return scan_line(f, c);
	case FRAMING_UNTIL_CLOSE:
		return scan_until_close(f, c);
	default:
		return scan_chunked(f, c);
	}
}

static size_t
skip_data(struct http_framing *f, size_t len)
{
	size_t n = len < f->chunk_left ? len : (size_t)f->chunk_left;

	f->chunk_left -= n;
	if (f->chunk_left == 0)
		f->state = FRAMING_CHUNK_DATA_CR;
	return n;
}

size_t
http_framing_scan(struct http_framing *f, const char *p, size_t len)
{
	size_t i = 0;

	while (i < len && f->state != FRAMING_BODY && f->state != FRAMING_END) {
		if (f->state == FRAMING_CHUNK_DATA) {
			i += skip_data(f, len - i);
			continue;
		}
		f->state = scan_byte(f, (unsigned char)p[i]);
		if (f->state == FRAMING_INVALID)
			break;
		i++;
	}
	return i;
}
