/*
 * Local copies of three lists in the key-value store: configuration, replicas
 * and peers.  The peers are read first and then polled, since they seldom
 * change and also announce themselves by their reports.  In a small fleet every
 * process reads the other two and watches the configuration, and hubs watch the
 * replicas for all.  In a large fleet only hubs read and watch them; the other
 * processes are sent them, and read a list that does not arrive.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "peers.h"
#include "session.h"
#include "session_int.h"

#define WATCH_WAIT_MSEC 10000
#define WATCH_TIMEOUT_S 12.0
#define READ_TIMEOUT_S 1.5
/* Between reads of a list that a peer failed to send. */
#define READ_AGAIN_NS (1 * NSEC_PER_SEC)
#define RETRY_MIN_S 0.05
#define RETRY_MAX_S 0.8
#define RETRY_MAX_FOLLOWER_S 2.4 /* if changes come from the hubs */
#define PEERS_POLL_MIN_S 0.3	 /* doubled after each poll */
#define PEERS_POLL_MAX_S 5.0
/* In a large fleet hubs and relays hear of a new process by its reports. */
#define PEERS_POLL_FOLLOWER_S 60.0
/* When the whole fleet starts, peers get to know each other first. */
#define FIRST_START_NS (3 * NSEC_PER_SEC)
/* Peers send the lists to a new process within this time. */
#define PEERS_SEND_NS (2500 * NSEC_PER_MSEC)
/* Poll interval without a watch, for changes that the hubs failed to relay. */
#define REPLICAS_POLL_S 2.0
/*
 * Delay before the next watch call.  Changes come in bursts and each call is
 * charged, so one response should carry several of them.
 */
#define WATCH_BATCH_S 0.05
#define WATCH_BATCH_LARGE_S 0.2 /* with changes all the time */

/* A pending watch. */
struct watch {
	struct list *list;
	uint64_t number;
};

static void list_read(struct list *);
static void list_watch(struct list *);
static void list_renew_watch(struct list *);
static void list_watch_again(struct list *, size_t);
static void list_retry_later(struct list *);
static void on_range_response(void *, int, uint64_t, const char *, size_t);
static void on_watch_response(void *, int, uint64_t, const char *, size_t);
static void on_retry(struct ev_loop *, ev_timer *, int);
static void list_count_bad_answer(const struct list *, const struct err *);
static void list_count_skipped(const struct list *, const struct store_page *);
static int list_next_page(struct list *, const struct store_page *);
static void list_read_failed(struct list *);
static void list_refresh(struct list *);
static int list_is_due(const struct list *);
static void list_poll_later(struct list *, double);
static void list_update_revision(struct list *, int);
static void list_read_complete(struct list *);

void
lists_start(struct session *s)
{
	struct list *l;
	int i;

	s->started_at = entry_update_now(s->e);
	for (i = 0; i < LIST__MAX; i++) {
		l = &s->lists[i];
		l->s = s;
		l->id = (enum list_id)i;
		l->prefix = list_handlers[i].prefix;
		l->retry_s = RETRY_MIN_S;
		l->poll_s = PEERS_POLL_MIN_S;
		l->idle = l->id != LIST_PEERS;
		l->due_at = s->started_at + PEERS_SEND_NS;
		ev_timer_init(&l->retry, on_retry, 0.0, 0.0);
		l->retry.data = l;
	}
	list_read(&s->lists[LIST_PEERS]);
}

/* A read that is under way finds out by itself. */
void
lists_restart(struct session *s)
{
	struct list *l;
	int i;

	for (i = 0; i < LIST__MAX; i++) {
		l = &s->lists[i];
		l->revision = 0;
		if (!l->watching)
			continue;
		l->watching = 0;
		l->watch_number++;
		list_read(l);
	}
}

void
lists_stop(struct session *s)
{
	struct list_key *k, *next;
	int i;

	for (i = 0; i < LIST__MAX; i++) {
		ev_timer_stop(s->e->loop, &s->lists[i].retry);
		free(s->lists[i].changes);
		s->lists[i].changes = NULL;
		HASH_ITER (hh, s->lists[i].keys, k, next) {
			HASH_DEL(s->lists[i].keys, k);
			free(k->value);
			free(k);
		}
	}
}

/* Schedules another attempt with exponential backoff. */
static void
list_retry_later(struct list *l)
{
	double max_s;

	if (l->s->closing)
		return;
	ev_timer_set(&l->retry, l->retry_s, 0.0);
	ev_timer_start(l->s->e->loop, &l->retry);
	max_s = peers_is_active_hub(l->s->e->peers) ? RETRY_MAX_S
						    : RETRY_MAX_FOLLOWER_S;
	l->retry_s = l->retry_s * 2.0 < max_s ? l->retry_s * 2.0 : max_s;
}

static void
on_retry(struct ev_loop *loop, ev_timer *w, int events)
{
	struct list *l = w->data;

	(void)loop;
	(void)events;
	entry_update_now(l->s->e);
	if (l->revision != 0)
		list_refresh(l);
	else
		list_read(l);
}

/* Schedules the next poll. */
static void
list_poll_later(struct list *l, double after_s)
{
	if (l->s->closing)
		return;
	l->revision = 0;
	l->polling = 1;
	ev_timer_set(&l->retry, after_s, 0.0);
	ev_timer_start(l->s->e->loop, &l->retry);
}

/* Keeps a list that has been read up to date, by a watch or by polling. */
static void
list_refresh(struct list *l)
{
	const struct peers *p = l->s->e->peers;

	if (l->id == LIST_PEERS) {
		list_poll_later(l, l->poll_s);
		l->poll_s *= 2.0;
		if (l->poll_s > PEERS_POLL_MAX_S && !peers_follow_hubs(p))
			l->poll_s = PEERS_POLL_MAX_S;
		if (l->poll_s > PEERS_POLL_FOLLOWER_S)
			l->poll_s = PEERS_POLL_FOLLOWER_S;
	} else if (peers_follow_hubs(p)) {
		l->revision = 0;
		l->idle = 1;
		l->due_at = l->s->e->now + PEERS_SEND_NS;
	} else if (l->id == LIST_REPLICAS && !peers_is_active_hub(p)) {
		list_poll_later(l, REPLICAS_POLL_S);
	} else if (l->stale_read) {
		/* A watch from here would miss changes since the old data. */
		list_read(l);
	} else {
		list_watch(l);
	}
}

/*
 * Whether a list is still missing that peers should have sent.  When the whole
 * fleet starts, nobody has them at first.
 */
static int
list_is_due(const struct list *l)
{
	const struct entry *e = l->s->e;
	int missing =
	    l->id == LIST_CONFIG ? !entry_has_config(e) : !e->dir.synced;

	if (!l->s->peers_known ||
	    e->now <
		l->s->started_at + (e->boot.first_start ? FIRST_START_NS : 0))
		return 0;
	if (!peers_use_relays(e->peers) || peers_is_active_hub(e->peers))
		return 1;
	return missing && e->now >= l->due_at;
}

void
session_tick(struct session *s)
{
	struct list *l;
	int i;

	for (i = 0; i < LIST__MAX; i++) {
		l = &s->lists[i];
		if (l->idle && list_is_due(l))
			list_read(l);
		list_renew_watch(l);
	}
	session_probe(s);
	l = &s->lists[LIST_REPLICAS];
	if (!l->polling || !peers_is_active_hub(s->e->peers))
		return;
	ev_timer_stop(s->e->loop, &l->retry);
	list_read(l);
}

void
session_read_replicas(struct session *s)
{
	struct list *l = &s->lists[LIST_REPLICAS];

	if ((!l->idle && !l->polling) || s->e->now < s->read_replicas_at)
		return;
	s->read_replicas_at = s->e->now + READ_AGAIN_NS;
	ev_timer_stop(s->e->loop, &l->retry);
	l->polling = 0;
	list_read(l);
}

void
session_renew_replicas(struct session *s)
{
	struct list *l = &s->lists[LIST_REPLICAS];

	if (!l->watching || s->e->now < s->read_replicas_at)
		return;
	s->read_replicas_at = s->e->now + READ_AGAIN_NS;
	l->watching = 0;
	l->watch_number++;
	list_read(l);
}

void
session_read_config(struct session *s)
{
	if (s->lists[LIST_CONFIG].idle)
		list_read(&s->lists[LIST_CONFIG]);
}

static void
list_read(struct list *l)
{
	struct store_request sc;

	if (l->page_after[0] == '\0') {
		/* Peers that start now are found by a later poll. */
		l->stale_read = l->id == LIST_PEERS ||
		    (l->polling && !peers_is_active_hub(l->s->e->peers));
		l->polling = 0;
		l->idle = 0;
	}
	store_range_request(l->prefix, l->page_after, l->stale_read, &sc);
	session_call(l->s, &sc, READ_TIMEOUT_S, on_range_response, l);
}

static void
list_watch(struct list *l)
{
	struct store_request sc;
	struct watch *w;

	w = mem_alloc(sizeof(*w));
	w->list = l;
	w->number = ++l->watch_number;
	l->watching = 1;
	l->watched_at = l->s->e->now;
	store_watch_request(
	    l->prefix, revision_number(l->revision), WATCH_WAIT_MSEC, &sc);
	session_call(l->s, &sc, WATCH_TIMEOUT_S, on_watch_response, w);
}

/*
 * A watch that was sent before the store lost an answer may never be answered
 * itself, so once the store answers again, the list is read anew.
 */
static void
list_renew_watch(struct list *l)
{
	const struct session *s = l->s;

	if (!l->watching || l->watched_at > s->unanswered_at ||
	    s->answered_at <= s->unanswered_at)
		return;
	l->watching = 0;
	l->watch_number++;
	list_read(l);
}

static void
on_range_response(
    void *ctx, int status, uint64_t era, const char *body, size_t len)
{
	struct list *l = ctx;
	struct store_page page;
	struct err err;
	size_t i;
	int more;
	int found;

	if (status != 200) {
		list_read_failed(l);
		return;
	}
	if (store_range_response(era, body, len, &page, &err) == -1) {
		list_count_bad_answer(l, &err);
		list_read_failed(l);
		return;
	}
	if (l->read_revision != 0 &&
	    revision_era(page.revision) != revision_era(l->read_revision)) {
		/* The pages before are of an era that has ended. */
		store_page_clear(&page);
		l->page_after[0] = '\0';
		l->read_revision = 0;
		list_read(l);
		return;
	}
	if (l->read_revision == 0) {
		l->read_revision = page.revision;
		l->generation++;
	}
	l->grace_ns = GRACE_UNKNOWN;
	list_count_skipped(l, &page);
	for (i = 0; i < page.n; i++) {
		if (!list_is_removed(l, &page.items[i], page.revision))
			list_put(l, &page.items[i]);
	}
	more = page.has_more;
	found = more && list_next_page(l, &page);
	store_page_clear(&page);
	if (found) {
		list_read(l);
	} else if (more) {
		list_read_failed(l);
	} else {
		list_read_complete(l);
		list_refresh(l);
	}
}

static void
list_count_bad_answer(const struct list *l, const struct err *e)
{
	l->s->e->counts.bad_answers++;
	log_event(LOG_KV_BAD, NULL, "list=%s %s", l->prefix, e->text);
}

static void
list_count_skipped(const struct list *l, const struct store_page *page)
{
	if (page->nskipped == 0)
		return;
	l->s->e->counts.bad_entries += page->nskipped;
	log_event(LOG_REPLICA_BAD, NULL, "list=%s skipped=%u at=%llu %s",
	    l->prefix, page->nskipped,
	    (unsigned long long)revision_number(page->revision),
	    page->skipped.text);
}

/* Sets where the next page begins; returns 0 if the page does not tell. */
static int
list_next_page(struct list *l, const struct store_page *page)
{
	if (page->last_key[0] == '\0' ||
	    strcmp(page->last_key, l->page_after) == 0)
		return 0;
	memcpy(l->page_after, page->last_key, sizeof(l->page_after));
	return 1;
}

static void
list_read_failed(struct list *l)
{
	l->page_after[0] = '\0';
	l->read_revision = 0;
	l->s->peers_known |= l->id == LIST_PEERS;
	if (l->stale_read)
		list_refresh(l);
	else
		list_retry_later(l);
}

/* Updates the revision of the list of replicas that peers compare. */
static void
list_update_revision(struct list *l, int dropped)
{
	struct directory *d = &l->s->e->dir;
	const struct list_key *k;

	if (l->id != LIST_REPLICAS || l->stale_read)
		return;
	d->synced = 1;
	list_set_source(l->s, "store");
	if (dropped && l->revision > d->revision)
		d->revision = l->revision;
	/*
	 * Pages are not a snapshot: after the revision of the first page the
	 * entries are incomplete.
	 */
	for (k = l->keys; k != NULL; k = k->hh.next) {
		if (k->revision > d->revision && k->revision <= l->revision)
			d->revision = k->revision;
	}
	removals_start(&l->s->removals, d->revision);
}

/*
 * Handles the end of a full read.  Keys that it did not return are removed; a
 * stale read removes no replicas.
 */
static void
list_read_complete(struct list *l)
{
	struct list_key *k, *next;
	int dropped = 0;

	HASH_ITER (hh, l->keys, k, next) {
		if (k->generation == l->generation ||
		    k->revision > l->read_revision ||
		    (l->stale_read && l->id == LIST_REPLICAS))
			continue;
		list_remove_key(l, k, l->read_revision, GRACE_UNKNOWN);
		dropped = 1;
	}
	l->revision = l->read_revision;
	if (!l->stale_read)
		log_event(LOG_LIST_READ, NULL, "list=%s keys=%u at=%llu",
		    l->prefix, HASH_COUNT(l->keys),
		    (unsigned long long)revision_number(l->revision));
	l->read_revision = 0;
	l->page_after[0] = '\0';
	l->retry_s = RETRY_MIN_S;
	l->s->peers_known |= l->id == LIST_PEERS;
	l->s->peers_read |= l->id == LIST_PEERS;
	list_update_revision(l, dropped);
	if (l->id == LIST_REPLICAS && !l->stale_read)
		session_push_changes(l->s,
		    directory_removal_grace_left(&l->s->e->dir, l->s->e->now));
	l->nchanges = 0;
	l->advanced = 0;
	l->s->e->retry_waiting = 1;
}

static void
on_watch_response(
    void *ctx, int status, uint64_t era, const char *body, size_t len)
{
	struct watch *w = ctx;
	struct list *l = w->list;
	int renewed = w->number != l->watch_number;
	struct store_page page;
	struct err err;
	size_t page_items;
	size_t i;
	int bad;

	free(w);
	if (renewed)
		return;
	l->watching = 0;
	bad = status == 200 &&
	    store_watch_response(era, body, len, &page, &err) == -1;
	if (bad)
		list_count_bad_answer(l, &err);
	if (status != 200 || bad) {
		/*
		 * The store may have compacted the history since this
		 * revision, and a new watch would not report that until the
		 * next change, so the list is read in full again.
		 */
		log_event(LOG_WATCH_LOST, NULL, "list=%s status=%d at=%llu",
		    l->prefix, status,
		    (unsigned long long)revision_number(l->revision));
		l->revision = 0;
		if (peers_follow_hubs(l->s->e->peers))
			l->idle = 1;
		else
			list_retry_later(l);
		return;
	}
	l->stale_read = 0;
	l->grace_ns = GRACE_UNKNOWN;
	list_count_skipped(l, &page);
	for (i = 0; i < page.n; i++) {
		if (!list_is_removed(l, &page.items[i], l->revision))
			list_apply_item(l, &page.items[i]);
	}
	if (page.revision > l->revision)
		l->revision = page.revision;
	if (l->id == LIST_REPLICAS)
		list_set_source(l->s, "store");
	if (l->id == LIST_REPLICAS && page.n != 0) {
		for (i = 0; i < page.n; i++) {
			if (page.items[i].revision > l->s->e->dir.revision)
				l->s->e->dir.revision = page.items[i].revision;
		}
		session_push_changes(l->s,
		    directory_removal_grace_left(&l->s->e->dir, l->s->e->now));
	}
	page_items = page.n;
	store_page_clear(&page);
	l->retry_s = RETRY_MIN_S;
	l->s->e->retry_waiting = 1;
	list_watch_again(l, page_items);
}

/* Goes on after a watch that told n changes. */
static void
list_watch_again(struct list *l, size_t n)
{
	const struct peers *p = l->s->e->peers;

	if (l->s->closing)
		return;
	if (n != 0 && l->id == LIST_REPLICAS) {
		ev_timer_set(&l->retry,
		    peers_use_relays(p) ? WATCH_BATCH_LARGE_S : WATCH_BATCH_S,
		    0.0);
		ev_timer_start(l->s->e->loop, &l->retry);
	} else if (n == 0 && peers_is_active_hub(p)) {
		/* A watch may be deaf; others depend on this one. */
		list_read(l);
	} else {
		list_refresh(l);
	}
}
