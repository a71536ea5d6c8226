#include <ctype.h>
#include <http_parser.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base.h"
#include "http.h"
#include "http_framing.h"
#include "mem.h"

struct http_reader {
	http_parser parser;
	struct http_framing framing;
	const struct http_reader_ops *ops;
	void *ctx;
	enum http_message_kind kind;
	int in_message;
	int in_value;
	int head_done;
	int complete;
	int invalid;
	int no_body; /* response to HEAD */
	size_t head_bytes;
	size_t parsing;	   /* bytes that the parser has now */
	uint32_t ninterim; /* before the current response */
	struct http_head head;
};

/* Interim responses before a final one; more are taken as no response. */
#define INTERIM_MAX 16
/* Of the largest head that is accepted, whatever callers may send. */
#define HEAD_SIZE_MIN 65536

static void reader_restart(struct http_reader *);
static int on_begin(http_parser *);
static int on_url(http_parser *, const char *, size_t);
static int on_field(http_parser *, const char *, size_t);
static int on_value(http_parser *, const char *, size_t);
static int on_head(http_parser *);
static int on_body(http_parser *, const char *, size_t);
static int on_end(http_parser *);
static void head_add_field(struct http_head *);
static int head_is_valid(const struct http_head *);
static int is_chunked_or_plain(const struct http_head *);
static int is_broken(const struct http_reader *);
static long reader_execute(struct http_reader *, const char *, size_t);
static long reader_parse(struct http_reader *, const char *, size_t);
static long reader_complete(struct http_reader *, size_t);
static int message_has_body(
    const struct http_reader *, const struct http_head *);
static int list_contains(const char *, const char *);

static const http_parser_settings http_callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_end,
};

static const char *const hop_by_hop_fields[] = { "connection", "keep-alive",
	"proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
	"trailer", "transfer-encoding", "upgrade", "expect", "content-length",
	"spindle-path" };

struct http_reader *
http_reader_create(
    enum http_message_kind kind, const struct http_reader_ops *ops, void *ctx)
{
	struct http_reader *r;

	r = mem_alloc(sizeof(*r));
	r->kind = kind;
	r->ops = ops;
	r->ctx = ctx;
	http_reader_reset(r);
	return r;
}

void
http_reader_destroy(struct http_reader *r)
{
	if (r == NULL)
		return;
	buf_free(&r->head.text);
	free(r->head.fields);
	free(r);
}

void
http_reader_reset(struct http_reader *r)
{
	reader_restart(r);
	r->no_body = 0;
	r->ninterim = 0;
}

/* Prepares for the next message. */
static void
reader_restart(struct http_reader *r)
{
	http_parser_init(&r->parser,
	    r->kind == HTTP_READ_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
	http_framing_start(&r->framing, r->kind == HTTP_READ_RESPONSES);
	r->parser.data = r;
	r->in_message = 0;
	r->in_value = 1;
	r->head_done = 0;
	r->complete = 0;
	r->invalid = 0;
	r->head_bytes = 0;
	r->head.nfields = 0;
	r->head.status = 0;
	r->head.close_delimited = 0;
	r->head.method[0] = '\0';
	buf_consume(&r->head.text, buf_len(&r->head.text));
}

static int
on_begin(http_parser *p)
{
	struct http_reader *r = p->data;

	r->in_message = 1;
	r->head.target = 0;
	return 0;
}

/* The head is stored as consecutive NUL-terminated strings. */
static int
on_url(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	buf_add(&r->head.text, at, len);
	return 0;
}

static void
head_add_field(struct http_head *h)
{
	if (h->nfields == h->fields_capacity) {
		h->fields_capacity =
		    h->fields_capacity == 0 ? 16 : h->fields_capacity * 2;
		h->fields =
		    mem_grow(h->fields, h->fields_capacity, sizeof(*h->fields));
	}
	buf_add(&h->text, "", 1);
	h->fields[h->nfields].name = buf_len(&h->text);
	h->fields[h->nfields].value = 0;
	h->nfields++;
}

static int
on_field(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	if (r->head_done)
		return 0; /* trailer fields are ignored */
	if (r->in_value)
		head_add_field(&r->head);
	r->in_value = 0;
	buf_add(&r->head.text, at, len);
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;
	struct http_field *f;

	if (r->head_done)
		return 0;
	f = &r->head.fields[r->head.nfields - 1];
	if (!r->in_value) {
		buf_add(&r->head.text, "", 1);
		f->value = buf_len(&r->head.text);
	}
	r->in_value = 1;
	buf_add(&r->head.text, at, len);
	return 0;
}

/*
 * Rejects field names that are not tokens, as other parsers may read them
 * differently.
 */
static int
head_is_valid(const struct http_head *h)
{
	const char *s;
	size_t i;

	for (i = 0; i < h->nfields; i++) {
		s = http_field_name(h, i);
		if (*s == '\0')
			return 0;
		for (; *s != '\0'; s++) {
			if (!isalnum((unsigned char)*s) &&
			    strchr("!#$%&'*+-.^_`|~", *s) == NULL)
				return 0;
		}
	}
	return 1;
}

/*
 * Whether a response has no transfer coding but "chunked".  With another one
 * its body would be passed on with the coding's own bytes.
 */
static int
is_chunked_or_plain(const struct http_head *h)
{
	const char *coding = http_field_find(h, "Transfer-Encoding");

	return coding == NULL || strcasecmp(coding, "chunked") == 0;
}

static int
message_has_body(const struct http_reader *r, const struct http_head *h)
{
	return !r->no_body && h->status != 204 && h->status != 304;
}

static int
on_head(http_parser *p)
{
	struct http_reader *r = p->data;
	struct http_head *h = &r->head;

	buf_add(&h->text, "", 1);
	h->minor_version = p->http_major == 1 ? p->http_minor : 0;
	h->keep_alive = http_should_keep_alive(p);
	if (r->kind == HTTP_READ_REQUESTS) {
		snprintf(h->method, sizeof(h->method), "%s",
		    http_method_str((enum http_method)p->method));
	} else {
		h->status = (int)p->status_code;
		h->close_delimited = !(p->flags & F_CHUNKED) &&
		    p->content_length == ULLONG_MAX && message_has_body(r, h);
	}
	if (!head_is_valid(h) || p->http_major != 1 ||
	    (r->kind == HTTP_READ_RESPONSES && !is_chunked_or_plain(h))) {
		r->invalid = 1;
		return -1;
	}
	r->head_done = 1;
	h->bytes = r->head_bytes + r->parsing;
	r->head_bytes = 0;
	/* An interim (1xx) response has no body; another head follows. */
	if (r->kind == HTTP_READ_RESPONSES && h->status / 100 == 1)
		return 0;
	r->ops->head(r->ctx, h);
	return r->kind == HTTP_READ_RESPONSES && !message_has_body(r, h);
}

static int
on_body(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	r->ops->body(r->ctx, at, len);
	return 0;
}

static int
on_end(http_parser *p)
{
	struct http_reader *r = p->data;

	r->complete = 1;
	http_parser_pause(p, 1);
	return 0;
}

void
http_reader_expect_no_body(struct http_reader *r)
{
	r->no_body = 1;
}

static int
is_broken(const struct http_reader *r)
{
	return r->invalid || r->parser.upgrade ||
	    HTTP_PARSER_ERRNO(&r->parser) != HPE_OK;
}

/* Handles the end of a message after n bytes. */
static long
reader_complete(struct http_reader *r, size_t n)
{
	if (r->kind == HTTP_READ_RESPONSES && r->head.status / 100 == 1) {
		/* The final response follows. */
		reader_restart(r);
		return ++r->ninterim > INTERIM_MAX ? -1 : (long)n;
	}
	r->in_message = 0;
	r->ops->end(r->ctx);
	return (long)n;
}

/* Passes bytes to the parser; returns how many it took, or -1. */
static long
reader_execute(struct http_reader *r, const char *p, size_t len)
{
	size_t n = 0;

	/* Without any, it takes the connection as closed. */
	if (len != 0)
		n = http_parser_execute(&r->parser, &http_callbacks, p, len);
	return !r->complete && is_broken(r) ? -1 : (long)n;
}

/*
 * Parses bytes of one part of a message: its head, or its body.  The parser
 * gets no byte behind the end of the head that the framing has found, and must
 * have found the same end.
 */
static long
reader_parse(struct http_reader *r, const char *p, size_t len)
{
	int in_head = r->framing.state == FRAMING_HEAD;
	size_t n = len;
	long parsed;

	if (r->framing.state != FRAMING_BODY)
		n = http_framing_scan(&r->framing, p, len);
	r->parsing = n;
	parsed = reader_execute(r, p, n);
	if (parsed == -1 || r->framing.state == FRAMING_INVALID)
		return -1;
	if (in_head) {
		if ((r->framing.state == FRAMING_BODY) != r->head_done)
			return -1;
		if (!r->head_done)
			r->head_bytes += r->in_message ? n : 0;
		else if (!r->complete && (r->parser.flags & F_CHUNKED))
			http_framing_start_chunks(&r->framing);
		else if (!r->complete && r->head.close_delimited)
			http_framing_start_until_close(&r->framing);
	}
	return parsed;
}

long
http_reader_feed(struct http_reader *r, const char *p, size_t len)
{
	int in_head = r->framing.state == FRAMING_HEAD;
	long n;
	long more;

	n = reader_parse(r, p, len);
	if (n == -1)
		return -1;
	if (in_head && r->head_done && !r->complete && (size_t)n < len) {
		more = reader_parse(r, p + n, len - (size_t)n);
		if (more == -1)
			return -1;
		n += more;
	}
	return r->complete ? reader_complete(r, (size_t)n) : n;
}

int
http_reader_eof(struct http_reader *r)
{
	if (!r->in_message || !r->head_done ||
	    !http_framing_may_close(&r->framing))
		return -1;
	r->in_message = 0;
	r->ops->end(r->ctx);
	return 0;
}

size_t
http_reader_head_bytes(const struct http_reader *r)
{
	return r->head_bytes;
}

int
http_reader_in_message(const struct http_reader *r)
{
	return r->in_message;
}

const struct http_head *
http_reader_head(const struct http_reader *r)
{
	return &r->head;
}

const char *
http_request_target(const struct http_head *h)
{
	return buf_data(&h->text) + h->target;
}

const char *
http_field_name(const struct http_head *h, size_t i)
{
	return buf_data(&h->text) + h->fields[i].name;
}

const char *
http_field_value(const struct http_head *h, size_t i)
{
	if (h->fields[i].value == 0)
		return "";
	return buf_data(&h->text) + h->fields[i].value;
}

const char *
http_field_find(const struct http_head *h, const char *name)
{
	size_t i;

	for (i = 0; i < h->nfields; i++) {
		if (strcasecmp(http_field_name(h, i), name) == 0)
			return http_field_value(h, i);
	}
	return NULL;
}

/* Whether a comma-separated list contains the token, ignoring case. */
static int
list_contains(const char *list, const char *token)
{
	size_t len = strlen(token);
	size_t n;

	while (*list != '\0') {
		list += strspn(list, " \t,");
		n = strcspn(list, " \t,");
		if (n == len && n != 0 && strncasecmp(list, token, n) == 0)
			return 1;
		list += n;
	}
	return 0;
}

int
http_field_is_hop_by_hop(const struct http_head *h, const char *name)
{
	size_t i;

	for (i = 0; i < nitems(hop_by_hop_fields); i++) {
		if (strcasecmp(hop_by_hop_fields[i], name) == 0)
			return 1;
	}
	for (i = 0; i < h->nfields; i++) {
		if (strcasecmp(http_field_name(h, i), "connection") == 0 &&
		    list_contains(http_field_value(h, i), name))
			return 1;
	}
	return 0;
}

const char *
http_reason_phrase(int status)
{
	switch (status) {
#define XX(number, name, text)                                                 \
	case number:                                                           \
		return #text;
		HTTP_STATUS_MAP(XX)
#undef XX
	default:
		return "Status";
	}
}

void
http_set_max_head_size(size_t bytes)
{
	if (bytes < HEAD_SIZE_MIN)
		bytes = HEAD_SIZE_MIN;
	http_parser_set_max_header_size(
	    bytes > UINT32_MAX ? UINT32_MAX : (uint32_t)bytes);
}
