/* HTTP messages whose line framing is wrong: nothing of them is a body. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"
#include "http.h"
#include "http_framing.h"
#include "mem.h"
#include "unit.h"

#define ANSWER_HEAD                                                            \
	"HTTP/1.1 200 OK\r\n"                                                  \
	"Arbutusspindle-Attempt-Id: id-2\r\n"                                  \
	"Arbutusspindle-Response-Signature: sig\r\n"                           \
	"Keep-Alive: timeout=10\r\n"                                           \
	"Content-Length: 5\r\n\r\n"
#define CHUNKED_HEAD                                                           \
	"HTTP/1.1 200 OK\r\n"                                                  \
	"Arbutusspindle-Attempt-Id: id-2\r\n"                                  \
	"Transfer-Encoding: chunked\r\n\r\n"
#define LATE_BODY "late"
#define BYTES 256
#define INPUT_SIZE 1024
#define LONG_LINE 65536 /* the longest status line */

/* What a reader has made of its input. */
struct outcome {
	int nheads;
	int status;
	int complete;
	int broken; /* a syntax error */
	char body[INPUT_SIZE];
	size_t len;
};

static void on_head(void *, const struct http_head *);
static void on_body(void *, const char *, size_t);
static void on_end(void *);
static void read_pieces(
    enum http_message_kind, const char *, size_t, size_t, struct outcome *);
static size_t splice(
    char *, const char *, size_t, size_t, const char *, size_t, size_t);
static const char *find_head_end(const char *, size_t);
static int head_is_sound(const char *, size_t);
static int is_allowed(const char *, size_t, const struct outcome *);
static void check_input(const char *, size_t);
static void test_late_answer_inside_line_end(void);
static void test_late_answer_without_id_inside_head(void);
static void test_any_byte_inside_head(void);
static void test_any_byte_of_head_replaced(void);
static void test_byte_of_head_missing(void);
static void test_bytes_inside_chunk_framing(void);
static void test_unknown_transfer_coding(void);
static void test_second_answer_in_body(void);
static void test_second_answer_in_long_line(void);
static void test_status_line_in_body(void);
static void test_interim_before_response_to_head(void);
static void test_sound_messages(void);
static void test_status_line(void);

static const struct http_reader_ops ops = { on_head, on_body, on_end };

/* Late copies of answers, with and without an id. */
static const char *const late[] = {
	"HTTP/1.1 200 OK\r\nArbutusspindle-Attempt-Id: id-1\r\n"
	"Arbutusspindle-Response-Signature: sig\r\n"
	"Content-Length: 4\r\n\r\n" LATE_BODY,
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" LATE_BODY,
	"HTTP/1.1 503 X\r\nArbutusspindle-Not-Executed: 1\r\n\r\n",
	"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
};

static void
on_head(void *ctx, const struct http_head *h)
{
	struct outcome *o = ctx;

	o->nheads++;
	o->status = h->status;
}

static void
on_body(void *ctx, const char *p, size_t len)
{
	struct outcome *o = ctx;

	CU_ASSERT_FATAL(o->len + len <= sizeof(o->body));
	memcpy(o->body + o->len, p, len);
	o->len += len;
}

static void
on_end(void *ctx)
{
	struct outcome *o = ctx;

	o->complete = 1;
}

/* Feeds a message in pieces of a size, and then the end of the connection. */
static void
read_pieces(enum http_message_kind kind, const char *p, size_t len, size_t size,
    struct outcome *o)
{
	struct http_reader *r;
	size_t at = 0;
	long n;

	memset(o, 0, sizeof(*o));
	r = http_reader_create(kind, &ops, o);
	while (at < len && !o->complete && !o->broken) {
		n = http_reader_feed(
		    r, p + at, len - at < size ? len - at : size);
		o->broken = n == -1;
		at += n == -1 ? 0 : (size_t)n;
	}
	if (!o->complete && !o->broken)
		o->broken = http_reader_eof(r) == -1;
	http_reader_destroy(r);
}

/* Replaces n bytes of a text at a position; returns the new length. */
static size_t
splice(char *out, const char *text, size_t at, size_t n, const char *in,
    size_t in_len, size_t len)
{
	memcpy(out, text, at);
	memcpy(out + at, in, in_len);
	memcpy(out + at + in_len, text + at + n, len - at - n);
	return len - n + in_len;
}

/* The byte behind the first empty line. */
static const char *
find_head_end(const char *p, size_t len)
{
	const char *end = memmem(p, len, "\r\n\r\n", 4);

	return end == NULL ? NULL : end + 4;
}

/*
 * Whether a head has only lines of text that end in CR LF, none of them folded,
 * and one status line.
 */
static int
head_is_sound(const char *p, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (p[i] == '\r' && (i + 1 == len || p[i + 1] != '\n'))
			return 0;
		if (p[i] == '\n' && (i == 0 || p[i - 1] != '\r'))
			return 0;
		if (p[i] == '\n' && i + 1 < len &&
		    (p[i + 1] == ' ' || p[i + 1] == '\t'))
			return 0;
		if ((unsigned char)p[i] < ' ' && strchr("\t\r\n", p[i]) == NULL)
			return 0;
		if (i != 0 && len - i >= 9 &&
		    memcmp(p + i, "HTTP/1.1 ", 9) == 0)
			return 0;
	}
	return 1;
}

/*
 * Whether an outcome is right: the response was not taken, or its head is sound
 * and its body follows the first empty line.
 */
static int
is_allowed(const char *p, size_t len, const struct outcome *o)
{
	const char *body;

	while (len >= 2 && memcmp(p, "\r\n", 2) == 0) {
		p += 2;
		len -= 2;
	}
	if (!o->complete || o->nheads == 0)
		return o->len == 0 || o->broken;
	body = find_head_end(p, len);
	if (body == NULL || !head_is_sound(p, (size_t)(body - p)))
		return 0;
	return o->len <= len - (size_t)(body - p) &&
	    memcmp(body, o->body, o->len) == 0;
}

static void
check_input(const char *p, size_t len)
{
	static const size_t sizes[] = { INPUT_SIZE, 1, 7 };
	struct outcome o;
	size_t i;

	for (i = 0; i < nitems(sizes); i++) {
		read_pieces(HTTP_READ_RESPONSES, p, len, sizes[i], &o);
		CU_ASSERT(is_allowed(p, len, &o));
		if (!is_allowed(p, len, &o))
			printf("taken, in pieces of %zu: %.*s\n", sizes[i],
			    (int)len, p);
	}
}

/* Guards against review/4: a caller got the answer to another's request. */
static void
test_late_answer_inside_line_end(void)
{
	static const char whole[] = ANSWER_HEAD "right";
	size_t head_len = strlen(ANSWER_HEAD);
	char in[INPUT_SIZE];
	struct outcome o;
	size_t len;
	size_t at;
	size_t i;

	for (i = 0; i < nitems(late); i++) {
		for (at = 1; at < head_len; at++) {
			if (whole[at - 1] != '\r')
				continue;
			len = splice(in, whole, at, 0, late[i], strlen(late[i]),
			    sizeof(whole) - 1);
			read_pieces(
			    HTTP_READ_RESPONSES, in, len, INPUT_SIZE, &o);
			CU_ASSERT(o.broken && !o.complete);
		}
	}
}

/* A late answer without an id: only its status line tells it from the head. */
static void
test_late_answer_without_id_inside_head(void)
{
	static const char whole[] = ANSWER_HEAD "right";
	char in[INPUT_SIZE];
	struct outcome o;
	size_t len;
	size_t at;
	size_t i;

	for (i = 0; i < nitems(late); i++) {
		for (at = 1; at < strlen(ANSWER_HEAD); at++) {
			len = splice(in, whole, at, 0, late[i], strlen(late[i]),
			    sizeof(whole) - 1);
			read_pieces(HTTP_READ_RESPONSES, in, len, 1, &o);
			CU_ASSERT(o.broken && !o.complete && o.nheads == 0);
			check_input(in, len);
		}
	}
}

static void
test_any_byte_inside_head(void)
{
	static const char whole[] = ANSWER_HEAD "right";
	char in[INPUT_SIZE];
	size_t at;
	char byte;
	int b;

	for (at = 0; at <= strlen(ANSWER_HEAD); at++) {
		for (b = 0; b < BYTES; b++) {
			byte = (char)b;
			check_input(in,
			    splice(
				in, whole, at, 0, &byte, 1, sizeof(whole) - 1));
		}
	}
}

static void
test_any_byte_of_head_replaced(void)
{
	static const char whole[] = ANSWER_HEAD "right";
	char in[INPUT_SIZE];
	size_t at;
	char byte;
	int b;

	for (at = 0; at < strlen(ANSWER_HEAD); at++) {
		for (b = 0; b < BYTES; b++) {
			byte = (char)b;
			check_input(in,
			    splice(
				in, whole, at, 1, &byte, 1, sizeof(whole) - 1));
		}
	}
}

static void
test_byte_of_head_missing(void)
{
	static const char whole[] = ANSWER_HEAD "right";
	char in[INPUT_SIZE];
	size_t at;

	for (at = 0; at < strlen(ANSWER_HEAD); at++)
		check_input(
		    in, splice(in, whole, at, 1, "", 0, sizeof(whole) - 1));
}

/* The same in the line ends of chunks and of the trailer. */
static void
test_bytes_inside_chunk_framing(void)
{
	static const char whole[] = CHUNKED_HEAD "a;x=y\r\n0123456789\r\n"
						 "0\r\nT: v\r\n\r\n";
	static const char *const line_ends[] = { "\r\n0123", "\n0123",
		"\r\n0\r", "\n0\r", "\r\nT", "\nT", "\r\n\r\n", "\n\r\n",
		"\r\n" };
	const char *body = whole + strlen(CHUNKED_HEAD);
	char in[INPUT_SIZE];
	struct outcome o;
	const char *p;
	size_t len;
	size_t i;
	char byte;
	int b;

	for (i = 0; i < nitems(line_ends); i++) {
		p = strstr(body, line_ends[i]);
		CU_ASSERT_PTR_NOT_NULL_FATAL(p);
		if (p == NULL)
			return;
		for (b = 0; b < BYTES; b++) {
			byte = (char)b;
			if (byte == *p)
				continue;
			len = splice(in, whole, (size_t)(p - whole), 1, &byte,
			    1, sizeof(whole) - 1);
			read_pieces(
			    HTTP_READ_RESPONSES, in, len, INPUT_SIZE, &o);
			CU_ASSERT(!o.complete);
		}
		if (*p != '\r')
			continue;
		len = splice(in, whole, (size_t)(p + 1 - whole), 0, late[0],
		    strlen(late[0]), sizeof(whole) - 1);
		read_pieces(HTTP_READ_RESPONSES, in, len, INPUT_SIZE, &o);
		CU_ASSERT(!o.complete && o.broken);
		CU_ASSERT(
		    o.len <= 10 && memcmp(o.body, "0123456789", o.len) == 0);
	}
}

/* Its body would be passed on with the coding's own bytes. */
static void
test_unknown_transfer_coding(void)
{
	static const char *const values[] = { "chunkeX", "gzip, chunked",
		"chunked, gzip", "identity", "" };
	char in[INPUT_SIZE];
	struct outcome o;
	size_t i;
	int n;

	for (i = 0; i < nitems(values); i++) {
		n = snprintf(in, sizeof(in),
		    "HTTP/1.1 200 OK\r\nTransfer-Encoding: %s\r\n\r\n"
		    "4\r\nbody\r\n0\r\n\r\n",
		    values[i]);
		read_pieces(HTTP_READ_RESPONSES, in, (size_t)n, INPUT_SIZE, &o);
		CU_ASSERT(!o.complete && o.broken && o.len == 0);
	}
}

/*
 * A body that ends with its connection is not whole if another answer, cut at
 * any byte, follows it.
 */
static void
test_second_answer_in_body(void)
{
	static const char whole[] = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nright\r\n";
	char in[INPUT_SIZE];
	struct outcome o;
	size_t cut, size;
	size_t i;
	int n;

	for (i = 0; i < nitems(late); i++) {
		for (cut = 1; cut <= strlen(late[i]); cut++) {
			n = snprintf(
			    in, sizeof(in), "%s%.*s", whole, (int)cut, late[i]);
			for (size = 1; size < 64; size += 9) {
				read_pieces(HTTP_READ_RESPONSES, in, (size_t)n,
				    size, &o);
				CU_ASSERT(!o.complete && o.broken);
			}
		}
	}
}

/*
 * Behind a status line without an end, in a line of text of any length, another
 * answer passed for text.
 */
static void
test_second_answer_in_long_line(void)
{
	static const char text[] = "HTTP/1.1 200 is what it says";
	struct http_framing f;
	size_t len;
	size_t n;

	for (len = LONG_LINE - 64; len < LONG_LINE + 64; len++) {
		http_framing_start(&f, 1);
		http_framing_start_until_close(&f);
		http_framing_scan(&f, text, strlen(text));
		for (n = strlen(text); n < len; n++)
			http_framing_scan(&f, ".", 1);
		http_framing_scan(&f, late[0], strlen(late[0]));
		CU_ASSERT(!http_framing_may_close(&f));
	}
}

/* What cannot be a whole answer is a part of the body. */
static void
test_status_line_in_body(void)
{
	static const char *const bodies[] = { "HTTP/1.1 200 OK\n", "GHTTP/1.",
		"HHTTP/1.1 20\r\nHTTP/1.x 200 OK\r\n",
		"HTTP/1.1 200 OK\r\rHTTP/1.1 200\nH\r\n",
		"HTTP/1.1 200 \x01\r\n" };
	char in[INPUT_SIZE];
	struct outcome o;
	size_t size;
	size_t i;
	int n;

	for (i = 0; i < nitems(bodies); i++) {
		n = snprintf(
		    in, sizeof(in), "HTTP/1.1 200 OK\r\n\r\n%s.", bodies[i]);
		for (size = 1; size < 64; size += 9) {
			read_pieces(
			    HTTP_READ_RESPONSES, in, (size_t)n, size, &o);
			CU_ASSERT(o.complete && !o.broken);
			CU_ASSERT(o.len == strlen(bodies[i]) + 1 &&
			    memcmp(o.body, bodies[i], o.len - 1) == 0);
		}
	}
}

/*
 * A late answer passed for the body of a response to HEAD that came behind an
 * interim response.
 */
static void
test_interim_before_response_to_head(void)
{
	static const char head[] =
	    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" ANSWER_HEAD;
	char in[INPUT_SIZE];
	struct http_reader *r;
	struct outcome o;
	long n;

	memset(&o, 0, sizeof(o));
	snprintf(in, sizeof(in), "%s%s", head, late[0]);
	r = http_reader_create(HTTP_READ_RESPONSES, &ops, &o);
	http_reader_expect_no_body(r);
	n = http_reader_feed(r, in, strlen(in));
	if (n > 0 && !o.complete)
		n += http_reader_feed(r, in + n, strlen(in) - (size_t)n);
	CU_ASSERT(o.complete);
	CU_ASSERT_EQUAL(n, (long)strlen(head));
	CU_ASSERT_EQUAL(o.status, 200);
	CU_ASSERT_EQUAL(o.len, 0);
	http_reader_destroy(r);
}

static void
test_sound_messages(void)
{
	static const struct {
		enum http_message_kind kind;
		const char *text;
		const char *body;
	} sound[] = {
		{ HTTP_READ_RESPONSES, ANSWER_HEAD "right", "right" },
		{ HTTP_READ_RESPONSES, "\r\n" ANSWER_HEAD "right", "right" },
		{ HTTP_READ_RESPONSES,
		    "HTTP/1.1 100 Continue\r\n\r\n" ANSWER_HEAD "right",
		    "right" },
		{ HTTP_READ_RESPONSES, "HTTP/1.1 200 \r\nX:\r\n\r\nto the end",
		    "to the end" },
		{ HTTP_READ_RESPONSES,
		    "HTTP/1.0 200 OK\r\nVia: HTTP/1.1 proxy\tx\r\n\r\nend",
		    "end" },
		{ HTTP_READ_RESPONSES, "HTTP/1.1 204 No\r\n\r\n", "" },
		{ HTTP_READ_RESPONSES,
		    CHUNKED_HEAD "2;a=\"b\"\r\nab\r\nC\r\n\r\n\r\n\r\n"
				 "\r\n\r\nxy\r\n000\r\nT: v\r\n\r\n",
		    "ab\r\n\r\n\r\n\r\n\r\nxy" },
		{ HTTP_READ_REQUESTS,
		    "\r\nPOST /x HTTP/1.1\r\nHost: h\r\n"
		    "Content-Length: 3\r\n\r\nask",
		    "ask" },
		{ HTTP_READ_REQUESTS, "GET /x HTTP/1.1\nHost: h\n\n", "" },
	};
	struct outcome o;
	size_t size;
	size_t i;

	for (i = 0; i < nitems(sound); i++) {
		for (size = 1; size < 64; size++) {
			read_pieces(sound[i].kind, sound[i].text,
			    strlen(sound[i].text), size, &o);
			CU_ASSERT(o.complete && !o.broken && o.nheads == 1);
			CU_ASSERT(o.len == strlen(sound[i].body) &&
			    memcmp(o.body, sound[i].body, o.len) == 0);
		}
	}
}

/* Statuses that the protocol does not have are no response. */
static void
test_status_line(void)
{
	static const struct {
		const char *line;
		int status; /* 0: no response */
	} lines[] = {
		{ "HTTP/1.1 100 Continue", 0 }, /* with no final one */
		{ "HTTP/1.1 200 OK", 200 },
		{ "HTTP/1.1 200 ", 200 },
		{ "HTTP/1.1 200", 200 },
		{ "HTTP/1.0 299 X", 299 },
		{ "HTTP/1.1 599 X\tY", 599 },
		{ "HTTP/1.1 000 X", 0 },
		{ "HTTP/1.1 099 X", 0 },
		{ "HTTP/1.1 600 X", 0 },
		{ "HTTP/1.1 999 X", 0 },
		{ "HTTP/1.1 20 X", 0 },
		{ "HTTP/1.1 0200 X", 0 },
		{ "HTTP/1.1 2000 X", 0 },
		{ "HTTP/1.1 +20 X", 0 },
		{ "HTTP/1.1 -20 X", 0 },
		{ "HTTP/1.1  200 X", 0 },
		{ "HTTP/1.1\t200 X", 0 },
		{ "HTTP/1.1 200\tX", 0 },
		{ "HTTP/1.1 2x0 X", 0 },
		{ "HTTP/1.1 ", 0 },
		{ "HTTP/1.1", 0 },
		{ "HTTP/2.0 200 OK", 0 },
		{ "HTTP/11.1 200 OK", 0 },
		{ "HTTP/1 200 OK", 0 },
		{ "http/1.1 200 OK", 0 },
		{ "HTTP/1.1 200 O\aK", 0 },
		{ "HTTP/1.1 101 Switching", 0 },
	};
	struct outcome o;
	char text[INPUT_SIZE];
	size_t size;
	size_t i;

	for (i = 0; i < nitems(lines); i++) {
		snprintf(text, sizeof(text),
		    "%s\r\nContent-Length: 2\r\n\r\nok", lines[i].line);
		for (size = 1; size < 48; size++) {
			read_pieces(
			    HTTP_READ_RESPONSES, text, strlen(text), size, &o);
			CU_ASSERT_EQUAL(o.complete, lines[i].status != 0);
			CU_ASSERT_EQUAL(o.nheads, lines[i].status != 0);
			if (lines[i].status != 0)
				CU_ASSERT_EQUAL(o.status, lines[i].status);
		}
	}
}

static const struct unit_case cases[] = {
	{ "status line", test_status_line },
	{ "late answer inside a line end", test_late_answer_inside_line_end },
	{ "late answer without an id inside a head",
	    test_late_answer_without_id_inside_head },
	{ "any byte inside a head", test_any_byte_inside_head },
	{ "any byte of a head replaced", test_any_byte_of_head_replaced },
	{ "a byte of a head missing", test_byte_of_head_missing },
	{ "bytes inside the framing of chunks",
	    test_bytes_inside_chunk_framing },
	{ "unknown transfer coding", test_unknown_transfer_coding },
	{ "second answer in a body until close", test_second_answer_in_body },
	{ "second answer in a long line", test_second_answer_in_long_line },
	{ "status line in a body until close", test_status_line_in_body },
	{ "interim response before a response to HEAD",
	    test_interim_before_response_to_head },
	{ "sound messages", test_sound_messages },
};

UNIT_MAIN("http", cases)
