/*
 * Texts of the list of replicas: what one process encodes, another applies,
 * whatever other writers put into the list.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "deflate.h"
#include "entry_fixture.h"
#include "list_text.h"
#include "loader_io.h"
#include "mem.h"
#include "peers_int.h"
#include "permit_io.h"
#include "poison_io.h"
#include "query.h"
#include "session_int.h"
#include "unit.h"

#define SEED 7
#define ROUNDS 40
#define KEYS 300
#define MANY 4000
#define ENGINES 116U
#define LINK_BYTES 125000U /* 0.1 s at 10 Mbit/s */
#define REVISION_START 100
#define REVISION_LARGE revision_of(2, 1796670000000)
#define LARGE_BYTES 300000

static char *random_value(unsigned *, uint32_t, uint64_t, size_t *);
static void change(struct entry *, uint32_t, const char *, size_t, revision_t);
static void random_change(struct entry *, unsigned *, uint32_t, revision_t);
static void apply_all(struct entry *, const struct list_texts *, size_t);
static void copy_list(const struct entry *, struct entry *, revision_t);
static void check_same(const struct entry *, const struct entry *);
static void fill(struct entry *, unsigned *, uint32_t);
static void test_any_values(void);
static void test_many_entries(void);
static void test_part_lost(void);
static void test_unreadable_text(void);
static int is_listed(const struct entry *, const char *);
static void list_engine(struct entry *, unsigned *, uint32_t);
static void test_compressed_size(void);
static void test_removed_entry_from_peer(void);
static void test_large_revisions(void);
static void test_cut_revisions(void);
static void copy_cut_list(const struct entry *, struct entry *);

/* A replica's entry, or bytes of another writer. */
static char *
random_value(unsigned *seed, uint32_t key, uint64_t revision, size_t *len)
{
	char *out;
	size_t i;

	if (rand_r(seed) % 2 == 0) {
		out = mem_alloc(512);
		*len = (size_t)snprintf(out, 512,
		    "{\"service\":\"s\",\"address\":\"10.0.0.1:%u\","
		    "\"zone\":\"z\\u0001\\\"\",\"slots\":6,\"state\":\"ready\","
		    "\"cold_left_ms\":0,\"sequence\":%llu,\"born\":1000,"
		    "\"models\":[{\"name\":\"m%d\",\"adapters\":[\"a\"]}]}",
		    key + 1, (unsigned long long)revision, rand_r(seed) % 9);
		return out;
	}
	*len =
	    rand_r(seed) % 50 == 0 ? LARGE_BYTES : (size_t)(rand_r(seed) % 70);
	out = mem_alloc(*len + 1);
	for (i = 0; i < *len; i++)
		out[i] = (char)(rand_r(seed) % 3 == 0 ? 0 : rand_r(seed));
	return out;
}

/* An entry, or its removal, as the store tells it. */
static void
change(struct entry *e, uint32_t key, const char *value, size_t len,
    revision_t revision)
{
	struct store_item item = {
		.value = (char *)value, .len = len, .revision = revision
	};

	snprintf(item.key, sizeof(item.key), "servers/i-%05u", key);
	list_apply_item(&e->session->lists[LIST_REPLICAS], &item);
	e->dir.revision = revision;
	removals_start(&e->session->removals, revision);
}

static void
random_change(
    struct entry *e, unsigned *seed, uint32_t key, revision_t revision)
{
	char *value = NULL;
	size_t len = 0;

	if (rand_r(seed) % 4 != 0)
		value =
		    random_value(seed, key, revision_number(revision), &len);
	change(e, key, value, len, revision);
	free(value);
}

/* Applies all texts but one (none is left out at their number). */
static void
apply_all(struct entry *e, const struct list_texts *t, size_t left_out)
{
	size_t i;

	for (i = 0; i < t->n; i++) {
		CU_ASSERT(strlen(t->texts[i]) <= MSG_BYTES_MAX);
		if (i != left_out)
			(void)session_apply_text(e->session, t->texts[i],
			    strlen(t->texts[i]), "peer");
	}
}

/* As a process that is at a revision asks another one, 0 for the whole list. */
static void
copy_list(const struct entry *from, struct entry *to, revision_t since)
{
	struct list_texts t = { 0 };

	if (since == 0 ||
	    list_texts_encode_changes(from->session, since, &t) == -1)
		list_texts_encode_whole(from->session, &t);
	apply_all(to, &t, t.n);
	list_texts_free(&t);
}

static void
check_same(const struct entry *a, const struct entry *b)
{
	const struct directory_replica *r;
	const struct directory_replica *s;

	CU_ASSERT(a->dir.revision == b->dir.revision);
	CU_ASSERT_EQUAL(a->dir.digest, b->dir.digest);
	CU_ASSERT_EQUAL(b->counts.bad_texts, 0);
	for (r = a->dir.replicas; r != NULL; r = r->hh.next) {
		s = directory_find(&b->dir, r->info.id);
		if (r->presence != PRESENCE_LISTED) {
			CU_ASSERT(s == NULL || s->presence != PRESENCE_LISTED);
			continue;
		}
		CU_ASSERT(s != NULL && s->presence == PRESENCE_LISTED &&
		    strcmp(r->info.zone, s->info.zone) == 0 &&
		    r->info.heartbeats == s->info.heartbeats &&
		    r->info.resident.n == s->info.resident.n &&
		    (r->info.resident.n == 0 ||
			strcmp(r->info.resident.names[0],
			    s->info.resident.names[0]) == 0));
	}
}

static void
fill(struct entry *e, unsigned *seed, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		random_change(e, seed, i, REVISION_START + i);
}

/* Guards against review/2: values of other writers ended all exchange. */
static void
test_any_values(void)
{
	struct entry a, b;
	unsigned seed = SEED;
	uint64_t since;
	int round;
	int n;

	entry_fixture_start(&a, 0);
	entry_fixture_start(&b, 1);
	fill(&a, &seed, KEYS);
	copy_list(&a, &b, 0);
	check_same(&a, &b);
	for (round = 0; round < ROUNDS; round++) {
		since = a.dir.revision;
		for (n = rand_r(&seed) % 30; n >= 0; n--)
			random_change(&a, &seed, (uint32_t)rand_r(&seed) % KEYS,
			    a.dir.revision + 1);
		copy_list(&a, &b, round % 5 == 0 ? 0 : since);
		check_same(&a, &b);
	}
	entry_fixture_stop(&a);
	entry_fixture_stop(&b);
}

/* More than one message holds, as changes and as a whole. */
static void
test_many_entries(void)
{
	struct entry a, b;
	struct list_texts t = { 0 };
	unsigned seed = SEED;
	uint64_t first;

	entry_fixture_start(&a, 0);
	entry_fixture_start(&b, 1);
	change(&a, MANY, NULL, 0, REVISION_START - 1);
	first = a.dir.revision;
	copy_list(&a, &b, 0);
	fill(&a, &seed, MANY);
	CU_ASSERT_EQUAL(list_texts_encode_changes(a.session, first, &t), 0);
	CU_ASSERT(t.n > 3);
	apply_all(&b, &t, t.n);
	list_texts_free(&t);
	check_same(&a, &b);
	entry_fixture_stop(&b);
	entry_fixture_start(&b, 1);
	list_texts_encode_whole(a.session, &t);
	CU_ASSERT(t.n > 3);
	apply_all(&b, &t, t.n);
	list_texts_free(&t);
	check_same(&a, &b);
	entry_fixture_stop(&a);
	entry_fixture_stop(&b);
}

/* What lacks a part leads to no later revision; asking again completes it. */
static void
test_part_lost(void)
{
	struct entry a, b;
	struct list_texts t = { 0 };
	unsigned seed = SEED;
	size_t left_out;
	size_t n = 1;

	entry_fixture_start(&a, 0);
	fill(&a, &seed, KEYS * 4);
	for (left_out = 0; left_out < n; left_out++) {
		entry_fixture_start(&b, 1);
		list_texts_encode_whole(a.session, &t);
		n = t.n;
		apply_all(&b, &t, left_out);
		CU_ASSERT(!b.dir.synced && b.dir.revision == 0);
		CU_ASSERT(left_out + 1 == n || b.counts.lost_parts != 0);
		list_texts_free(&t);
		copy_list(&a, &b, b.dir.revision);
		check_same(&a, &b);
		entry_fixture_stop(&b);
	}
	CU_ASSERT(n > 2);
	entry_fixture_stop(&a);
}

/* It is counted, and the list is read from the store instead. */
static void
test_unreadable_text(void)
{
	static const char *const texts[] = { "", "{", "[]", "{\"at\":7}",
		"{\"at\":7,\"whole\":true,\"items\":{}}", "\xff\xff" };
	struct entry e;
	uint64_t calls;
	size_t i;

	entry_fixture_start(&e, 0);
	e.session->lists[LIST_REPLICAS].polling = 1;
	calls = session_calls(e.session);
	for (i = 0; i < nitems(texts); i++)
		CU_ASSERT_EQUAL(session_apply_text(e.session, texts[i],
				    strlen(texts[i]), "peer"),
		    0);
	CU_ASSERT_EQUAL(e.counts.bad_texts, nitems(texts));
	CU_ASSERT(!e.dir.synced);
	CU_ASSERT_EQUAL(session_calls(e.session), calls + 1);
	entry_fixture_stop(&e);
}

static int
is_listed(const struct entry *e, const char *id)
{
	const struct directory_replica *r = directory_find(&e->dir, id);

	return r != NULL && r->presence == PRESENCE_LISTED;
}

/* A peer missed a removal, and then has the whole list at a later revision. */
static void
test_removed_entry_from_peer(void)
{
	static const char value[] =
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\","
	    "\"zone\":\"z\",\"slots\":6,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"sequence\":1,\"born\":1000}";
	struct entry peer;
	struct entry e;

	entry_fixture_start(&peer, 0);
	entry_fixture_start(&e, 1);
	change(&peer, 1, value, strlen(value), REVISION_START);
	copy_list(&peer, &e, 0);
	CU_ASSERT(is_listed(&e, "i-00001"));
	change(&e, 1, NULL, 0, REVISION_START + 1);
	CU_ASSERT(!is_listed(&e, "i-00001"));
	change(&peer, 2, value, strlen(value), REVISION_START + 2);
	copy_list(&peer, &e, 0);
	CU_ASSERT(!is_listed(&e, "i-00001"));
	CU_ASSERT(is_listed(&e, "i-00002"));
	/* Listed again. */
	change(&peer, 1, value, strlen(value), REVISION_START + 3);
	copy_list(&peer, &e, 0);
	CU_ASSERT(is_listed(&e, "i-00001"));
	entry_fixture_stop(&peer);
	entry_fixture_stop(&e);
}

/* Revisions that rise by any amount, so that earlier builds would cut them. */
static void
test_large_revisions(void)
{
	struct entry a, b;
	unsigned seed = SEED;
	revision_t since;
	int round;
	int n;

	entry_fixture_start(&a, 0);
	entry_fixture_start(&b, 1);
	random_change(&a, &seed, 0, REVISION_LARGE);
	for (round = 0; round < ROUNDS; round++) {
		since = a.dir.revision;
		for (n = rand_r(&seed) % 30; n >= 0; n--)
			random_change(&a, &seed, (uint32_t)rand_r(&seed) % KEYS,
			    a.dir.revision +
				((uint64_t)1 << rand_r(&seed) % 52));
		copy_list(&a, &b, round % 5 == 0 ? 0 : since);
		check_same(&a, &b);
	}
	entry_fixture_stop(&a);
	entry_fixture_stop(&b);
}

/* Applies the whole list as a process of an earlier build would send it. */
static void
copy_cut_list(const struct entry *from, struct entry *to)
{
	struct list_texts t = { 0 };
	const json_t *items;
	json_t *doc, *item;
	char *text;
	size_t i;

	list_texts_encode_whole(from->session, &t);
	CU_ASSERT_EQUAL_FATAL(t.n, 1);
	doc = json_loads(t.texts[0], 0, NULL);
	json_object_del(doc, "at_exact");
	items = json_object_get(doc, "items");
	json_array_foreach (items, i, item)
		json_object_del(item, "revision_exact");
	text = json_dumps(doc, JSON_COMPACT);
	(void)session_apply_text(to->session, text, strlen(text), "peer");
	free(text);
	json_decref(doc);
	list_texts_free(&t);
}

/*
 * Beside processes of an earlier build, which cut revisions, the service is
 * asked for changes; what was cut replaces nothing.
 */
static void
test_cut_revisions(void)
{
	static const char value[] =
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\","
	    "\"zone\":\"z\",\"slots\":6,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"sequence\":1,\"born\":1000}";
	struct entry peer, e;
	uint64_t calls;

	entry_fixture_start(&peer, 0);
	entry_fixture_start(&e, 1);
	change(&peer, 1, value, strlen(value), REVISION_LARGE);
	copy_list(&peer, &e, 0);
	calls = e.session->ncalls;
	copy_cut_list(&peer, &e);
	CU_ASSERT_EQUAL(e.session->ncalls, calls);
	change(&peer, 1, NULL, 0, REVISION_LARGE + 1);
	change(&peer, 2, value, strlen(value), REVISION_LARGE + 2);
	copy_cut_list(&peer, &e);
	CU_ASSERT(is_listed(&e, "i-00001") && !is_listed(&e, "i-00002"));
	CU_ASSERT(e.dir.revision == REVISION_LARGE);
	CU_ASSERT_EQUAL(e.session->ncalls, calls + 1);
	copy_list(&peer, &e, e.dir.revision);
	check_same(&peer, &e);
	entry_fixture_stop(&peer);
	entry_fixture_stop(&e);
}

/* An entry with three models and some adapters; names are random. */
static void
list_engine(struct entry *e, unsigned *seed, uint32_t key)
{
	char value[700];
	int len;

	len = snprintf(value, sizeof(value),
	    "{\"service\":\"s\",\"address\":\"10.%d.64.%d:%d\",\"zone\":\"z%"
	    "d\","
	    "\"version\":\"v1\",\"slots\":12,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"sequence\":%d,\"born\":%d,\"models\":["
	    "{\"name\":\"m%08x\",\"adapters\":[\"a%d\",\"a%d\"]},"
	    "{\"name\":\"m%08x\",\"adapters\":[\"a%d\"]},"
	    "{\"name\":\"m%08x\",\"adapters\":[]}]}",
	    rand_r(seed) % 4, rand_r(seed) % 255, 8000 + rand_r(seed) % 1000,
	    rand_r(seed) % 4, rand_r(seed) % 100, 1774852 + rand_r(seed) % 9999,
	    (unsigned)rand_r(seed), rand_r(seed) % 30, rand_r(seed) % 30,
	    (unsigned)rand_r(seed), rand_r(seed) % 30, (unsigned)rand_r(seed));
	change(e, key, value, (size_t)len, REVISION_START + key);
}

/* Ten answers in 0.1 s are to fit a link of 10 Mbit/s (core/follow). */
static void
test_compressed_size(void)
{
	struct list_texts t = { 0 };
	struct buf packed = { 0 };
	struct entry e;
	unsigned seed = SEED;
	uint32_t i;

	entry_fixture_start(&e, 0);
	for (i = 1; i <= ENGINES; i++)
		list_engine(&e, &seed, i);
	list_texts_encode_whole(e.session, &t);
	for (i = 0; i < t.n; i++)
		deflate_pack(&packed, t.texts[i], strlen(t.texts[i]));
	CU_ASSERT(buf_len(&packed) * 10 <= LINK_BYTES);
	printf("list of %u engines: %zu bytes\n", ENGINES, buf_len(&packed));
	buf_free(&packed);
	list_texts_free(&t);
	entry_fixture_stop(&e);
}

static const struct unit_case cases[] = {
	{ "compressed size", test_compressed_size },
	{ "a removed entry in a peer's list", test_removed_entry_from_peer },
	{ "any values", test_any_values },
	{ "many entries", test_many_entries },
	{ "a part is lost", test_part_lost },
	{ "unreadable text", test_unreadable_text },
	{ "large revisions", test_large_revisions },
	{ "revisions of an earlier build", test_cut_revisions },
};

UNIT_MAIN("list_text", cases)
