/* Queueing of configurations for the thread that decodes them. */
#include <stdio.h>
#include <string.h>

#include "conf_decoder.h"
#include "deflate.h"
#include "unit.h"

#define RESULTS_MAX 16
#define WAIT_MAX_S 10.0

/* What the decoder has called back with. */
struct results {
	struct ev_loop *loop;
	struct conf_decoder *decoder;
	uint32_t n;
	uint32_t wanted;		/* the loop ends at this number */
	uint64_t versions[RESULTS_MAX]; /* 0 for a malformed text */
	char sources[RESULTS_MAX][ADDR_SIZE];
	char error[ERR_TEXT_SIZE];
	uint64_t add_version; /* added by the callback once, 0 for none */
};

static void setup(struct results *);
static void finish(struct results *);
static void on_decoded(void *, struct conf_decoded *);
static void add_version(struct results *, uint64_t, const char *);
static void on_limit(struct ev_loop *, ev_timer *, int);
static void wait_results(struct results *, uint32_t);
static void test_in_order(void);
static void test_all_of_source(void);
static void test_same_text(void);
static void test_many_sources(void);
static void test_malformed(void);
static void test_packed(void);
static void test_added_by_callback(void);
static void test_destroyed_while_busy(void);

static void
setup(struct results *r)
{
	struct err err;

	memset(r, 0, sizeof(*r));
	r->loop = ev_loop_new(EVFLAG_AUTO);
	r->decoder = conf_decoder_create(r->loop, on_decoded, r, &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(r->decoder);
}

static void
finish(struct results *r)
{
	conf_decoder_destroy(r->decoder);
	ev_loop_destroy(r->loop);
}

static void
on_decoded(void *ctx, struct conf_decoded *d)
{
	struct results *r = ctx;

	r->versions[r->n] = d->conf == NULL ? 0 : d->conf->version;
	memcpy(r->sources[r->n], d->source, sizeof(d->source));
	if (d->conf == NULL)
		memcpy(r->error, d->err.text, sizeof(r->error));
	if (r->add_version != 0)
		add_version(r, r->add_version, "store");
	r->add_version = 0;
	if (++r->n == r->wanted)
		ev_break(r->loop, EVBREAK_ALL);
}

static void
add_version(struct results *r, uint64_t version, const char *source)
{
	char text[128];

	snprintf(text, sizeof(text),
	    "{\"version\":%llu,\"routes\":[],\"services\":[]}",
	    (unsigned long long)version);
	conf_decoder_add(r->decoder, text, strlen(text), source);
}

static void
on_limit(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

/* Runs the loop until so many texts are decoded; no more may be queued. */
static void
wait_results(struct results *r, uint32_t n)
{
	ev_timer limit;

	r->wanted = n;
	ev_timer_init(&limit, on_limit, WAIT_MAX_S, 0.0);
	ev_timer_start(r->loop, &limit);
	ev_run(r->loop, 0);
	ev_timer_stop(r->loop, &limit);
	CU_ASSERT_EQUAL(r->n, n);
	CU_ASSERT_FALSE(conf_decoder_is_busy(r->decoder));
}

static void
test_in_order(void)
{
	struct results r;

	setup(&r);
	CU_ASSERT_FALSE(conf_decoder_is_busy(r.decoder));
	add_version(&r, 5, "store");
	CU_ASSERT_TRUE(conf_decoder_is_busy(r.decoder));
	add_version(&r, 7, "10.0.0.1:7380");
	add_version(&r, 6, "10.0.0.2:7380");
	wait_results(&r, 3);
	CU_ASSERT_EQUAL(r.versions[0], 5);
	CU_ASSERT_EQUAL(r.versions[1], 7);
	CU_ASSERT_EQUAL(r.versions[2], 6);
	CU_ASSERT_STRING_EQUAL(r.sources[0], "store");
	CU_ASSERT_STRING_EQUAL(r.sources[1], "10.0.0.1:7380");
	finish(&r);
}

/* The later texts of a source may be of an older version, or malformed. */
static void
test_all_of_source(void)
{
	struct results r;

	setup(&r);
	add_version(&r, 1, "store");
	add_version(&r, 3, "store");
	add_version(&r, 2, "store");
	conf_decoder_add(r.decoder, "{\"version\":", 11, "store");
	wait_results(&r, 4);
	CU_ASSERT_EQUAL(r.versions[0], 1);
	CU_ASSERT_EQUAL(r.versions[1], 3);
	CU_ASSERT_EQUAL(r.versions[2], 2);
	CU_ASSERT_EQUAL(r.versions[3], 0);
	finish(&r);
}

static void
test_same_text(void)
{
	struct results r;

	setup(&r);
	add_version(&r, 1, "store");
	add_version(&r, 1, "10.0.0.1:7380");
	add_version(&r, 2, "10.0.0.1:7380");
	add_version(&r, 2, "10.0.0.2:7380");
	wait_results(&r, 2);
	CU_ASSERT_EQUAL(r.versions[1], 2);
	finish(&r);
}

/* The oldest of the queued texts goes: others have newer ones. */
static void
test_many_sources(void)
{
	struct results r;
	char source[ADDR_SIZE];
	uint64_t i;

	setup(&r);
	add_version(&r, 1, "store");
	for (i = 2; i < 14; i++) {
		snprintf(source, sizeof(source), "10.0.0.%llu:7380",
		    (unsigned long long)i);
		add_version(&r, i, source);
	}
	wait_results(&r, 9);
	CU_ASSERT_EQUAL(r.versions[0], 1);
	CU_ASSERT_EQUAL(r.versions[1], 6);
	CU_ASSERT_EQUAL(r.versions[8], 13);
	finish(&r);
}

static void
test_malformed(void)
{
	struct results r;

	setup(&r);
	conf_decoder_add(r.decoder, "{\"version\":", 11, "store");
	add_version(&r, 2, "10.0.0.1:7380");
	wait_results(&r, 2);
	CU_ASSERT_EQUAL(r.versions[0], 0);
	CU_ASSERT_NOT_EQUAL(strlen(r.error), 0);
	CU_ASSERT_EQUAL(r.versions[1], 2);
	finish(&r);
}

static void
test_added_by_callback(void)
{
	struct results r;

	setup(&r);
	r.add_version = 2;
	add_version(&r, 1, "store");
	wait_results(&r, 2);
	CU_ASSERT_EQUAL(r.versions[1], 2);
	finish(&r);
}

static void
test_destroyed_while_busy(void)
{
	struct results r;

	setup(&r);
	add_version(&r, 1, "store");
	add_version(&r, 2, "store");
	finish(&r);
	CU_ASSERT_EQUAL(r.n, 0);
}

/* A compressed text is decoded as the text; one that is cut short is not. */
static void
test_packed(void)
{
	static const char text[] =
	    "{\"version\":9,\"routes\":[],\"services\":[]}";
	struct results r;
	struct buf packed = { 0 };

	setup(&r);
	deflate_pack(&packed, text, strlen(text));
	conf_decoder_add_packed(
	    r.decoder, buf_data(&packed), buf_len(&packed), "10.0.0.1:7380");
	conf_decoder_add_packed(
	    r.decoder, buf_data(&packed), buf_len(&packed), "10.0.0.2:7380");
	conf_decoder_add_packed(r.decoder, buf_data(&packed),
	    buf_len(&packed) - 1, "10.0.0.3:7380");
	conf_decoder_add(r.decoder, text, strlen(text), "store");
	wait_results(&r, 3);
	CU_ASSERT_EQUAL(r.versions[0], 9);
	CU_ASSERT_STRING_EQUAL(r.sources[0], "10.0.0.1:7380");
	CU_ASSERT_EQUAL(r.versions[1], 0);
	CU_ASSERT_EQUAL(r.versions[2], 9);
	buf_free(&packed);
	finish(&r);
}

static const struct unit_case cases[] = {
	{ "compressed", test_packed },
	{ "texts are decoded in order", test_in_order },
	{ "all texts of a source are decoded", test_all_of_source },
	{ "the same text is decoded once", test_same_text },
	{ "more sources than the queue holds", test_many_sources },
	{ "malformed text", test_malformed },
	{ "added by the callback", test_added_by_callback },
	{ "destroyed while busy", test_destroyed_while_busy },
};

UNIT_MAIN("configuration decoder", cases)
