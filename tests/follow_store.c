/* The store of the fleet in virtual time, and its processes' calls to it. */
#include <stdio.h>
#include <string.h>

#include "follow_world.h"
#include "hash.h"

#define CHANGES_MAX 256
#define CALL_NS (20 * NSEC_PER_MSEC)
#define CALL_SLOW_NS (400 * NSEC_PER_MSEC)
#define CALL_STALE_NS (1 * NSEC_PER_SEC)
#define READ_TIMEOUT_NS (1500 * NSEC_PER_MSEC)
#define WATCH_WAIT_NS (10 * NSEC_PER_SEC)
#define WATCH_TIMEOUT_NS (12 * NSEC_PER_SEC)
#define PROBE_TIMEOUT_NS (600 * NSEC_PER_MSEC)
#define RETRY_MIN_NS (50 * NSEC_PER_MSEC)
#define RETRY_MAX_NS (800 * NSEC_PER_MSEC)
#define WATCH_BATCH_NS (200 * NSEC_PER_MSEC)

/* The configuration, or one entry of the list, was written or removed. */
struct change {
	uint64_t at;
	uint64_t revision;
	enum follow_text text;
	struct list_item item;
};

static struct change changes[CHANGES_MAX];
static uint32_t nchanges;
static struct replica_list latest;
static uint64_t latest_version;

static void put_change(enum follow_text, uint32_t, int);
static uint64_t view(uint64_t, uint64_t *, struct replica_list *);
static void call(struct process *, enum follow_text, enum call_kind);
static void record_answer(struct process *, uint64_t, int);
static void retry_later(struct feed *);
static void refresh(struct process *, enum follow_text);
static int is_removed(const struct process *, uint32_t, uint64_t, uint64_t);
static void read_answered(struct process *, enum follow_text, int);
static int watch_tells(const struct process *, enum follow_text);
static void watch_answered(struct process *, enum follow_text, int);
static void answer(struct process *, enum follow_text);

static void
put_change(enum follow_text text, uint32_t entry, int removed)
{
	struct change *c = &changes[nchanges];

	c->at = world_now;
	c->revision = nchanges == 0 ? 1 : changes[nchanges - 1].revision + 1;
	c->text = text;
	c->item.entry = entry;
	c->item.removed = removed;
	c->item.revision = c->revision;
	nchanges++;
	view(world_now, &latest_version, &latest);
}

/* The store at a time; returns its revision. */
static uint64_t
view(uint64_t at, uint64_t *version, struct replica_list *l)
{
	const struct change *c;
	uint64_t revision = 0;
	char key[16];
	uint32_t i;

	memset(l, 0, sizeof(*l));
	*version = 0;
	for (c = changes; c < changes + nchanges && c->at <= at; c++) {
		revision = c->revision;
		if (c->text == FOLLOW_CONFIG) {
			*version = c->revision;
			continue;
		}
		l->entry[c->item.entry] = c->item.removed ? 0 : c->revision;
		l->revision = c->revision;
	}
	for (i = 0; i < WORLD_ENTRIES; i++) {
		snprintf(key, sizeof(key), "%u", i);
		if (l->entry[i] != 0)
			l->digest ^= hash_version(key, l->entry[i]) ^
			    hash_version(key, 0);
	}
	return revision;
}

void
store_start(void)
{
	uint32_t i;

	nchanges = 0;
	put_change(FOLLOW_CONFIG, 0, 0);
	for (i = 0; i < WORLD_ENTRIES - 4; i++)
		put_change(FOLLOW_LIST, i, 0);
}

void
world_write_config(void)
{
	put_change(FOLLOW_CONFIG, 0, 0);
}

void
world_write_entry(uint32_t i)
{
	put_change(FOLLOW_LIST, i, 0);
}

void
world_remove_entry(uint32_t i)
{
	put_change(FOLLOW_LIST, i, 1);
}

uint64_t
store_version(void)
{
	return latest_version;
}

const struct replica_list *
store_list(void)
{
	return &latest;
}

static void
call(struct process *p, enum follow_text t, enum call_kind kind)
{
	struct feed *f = &p->feeds[t];

	f->call = kind;
	f->called_at = world_now;
	f->read_at = world_now;
	f->lost = 0;
	world_calls++;
}

void
store_read(struct process *p, enum follow_text t)
{
	p->feeds[t].idle = 0;
	p->feeds[t].retry_at = 0;
	call(p, t, CALL_READ);
}

/* As entry/session.c does. */
static void
record_answer(struct process *p, uint64_t called_at, int status)
{
	if (status == 0 && called_at < p->answered_at)
		return;
	if (status == 0)
		p->unanswered_at = world_now;
	if (status != 0 && status != 503) {
		p->failures = 0;
		p->answered_at = world_now;
		p->up = 1;
	} else if (++p->failures >= store_check_failures_max(&p->check)) {
		p->up = 0;
	}
}

static void
retry_later(struct feed *f)
{
	f->retry_at = world_now + f->retry_ns;
	f->retry_ns =
	    f->retry_ns * 2 < RETRY_MAX_NS ? f->retry_ns * 2 : RETRY_MAX_NS;
}

/* As list_refresh() of entry/lists.c does in a large fleet. */
static void
refresh(struct process *p, enum follow_text t)
{
	if (!world_is_hub(process_index(p))) {
		p->feeds[t].revision = 0;
		p->feeds[t].idle = 1;
	} else {
		call(p, t, CALL_WATCH);
	}
}

/* As list_is_removed() of entry/lists.c. */
static int
is_removed(const struct process *p, uint32_t entry, uint64_t revision,
    uint64_t told_at)
{
	const struct follow_list mine = { p->list.revision, p->list.digest };

	return p->list.entry[entry] == 0 &&
	    follow_list_is_removed(&mine, revision, told_at);
}

/* Entries that a read does not return are removed. */
static void
read_answered(struct process *p, enum follow_text t, int status)
{
	struct feed *f = &p->feeds[t];
	struct replica_list l;
	uint64_t version;
	uint32_t i;
	int dropped = 0;

	f->call = CALL_NONE;
	if (status != 200) {
		retry_later(f);
		return;
	}
	f->retry_ns = RETRY_MIN_NS;
	f->revision = view(f->read_at, &version, &l);
	if (t == FOLLOW_CONFIG) {
		process_receive_config(p, version);
		refresh(p, t);
		return;
	}
	for (i = 0; i < WORLD_ENTRIES; i++) {
		if (l.entry[i] > p->list.entry[i] &&
		    !is_removed(p, i, l.entry[i], f->revision))
			process_set_entry(p, i, l.entry[i]);
		if (l.entry[i] == 0 && p->list.entry[i] != 0 &&
		    p->list.entry[i] <= f->revision) {
			process_remove_entry(p, i, f->revision);
			dropped = 1;
		}
		if (l.entry[i] > p->list.revision)
			p->list.revision = l.entry[i];
	}
	if (dropped && f->revision > p->list.revision)
		p->list.revision = f->revision;
	process_push_changes(p);
	refresh(p, t);
}

static int
watch_tells(const struct process *p, enum follow_text t)
{
	const struct change *c;

	if (p->fault == FAULT_DEAF)
		return 0;
	for (c = changes; c < changes + nchanges; c++) {
		if (c->text == t && c->revision > p->feeds[t].revision &&
		    world_now >= c->at + CALL_NS)
			return 1;
	}
	return 0;
}

static void
watch_answered(struct process *p, enum follow_text t, int status)
{
	struct feed *f = &p->feeds[t];
	const struct change *c;
	int told = watch_tells(p, t);
	uint64_t newest = 0;

	f->call = CALL_NONE;
	if (status != 200) {
		f->revision = 0;
		if (!world_is_hub(process_index(p)))
			f->idle = 1;
		else
			retry_later(f);
		return;
	}
	f->retry_ns = RETRY_MIN_NS;
	for (c = changes; told && c < changes + nchanges; c++) {
		if (c->text != t || c->revision <= f->revision)
			continue;
		newest = c->revision;
		if (t == FOLLOW_CONFIG)
			process_receive_config(p, c->revision);
		else if (!c->item.removed &&
		    is_removed(p, c->item.entry, c->revision, f->revision))
			continue;
		else if (!c->item.removed &&
		    c->revision > p->list.entry[c->item.entry])
			process_set_entry(p, c->item.entry, c->revision);
		else if (c->item.removed &&
		    c->revision > p->list.entry[c->item.entry])
			process_remove_entry(p, c->item.entry, c->revision);
	}
	if (newest != 0)
		f->revision = newest;
	if (t == FOLLOW_LIST && newest > p->list.revision)
		p->list.revision = newest;
	process_push_changes(p);
	if (told && t == FOLLOW_LIST)
		f->retry_at = world_now + WATCH_BATCH_NS;
	else if (!told && world_is_hub(process_index(p)))
		store_read(p, t);
	else
		refresh(p, t);
}

/* Ends a call that is answered, refused or given up. */
static void
answer(struct process *p, enum follow_text t)
{
	struct feed *f = &p->feeds[t];
	uint64_t waited = world_now - f->called_at;
	uint64_t takes = p->fault == FAULT_SLOW ? CALL_SLOW_NS : CALL_NS;
	int is_watch = f->call == CALL_WATCH;
	int status = 200;

	if (p->fault == FAULT_CUT || p->fault == FAULT_NO_STORE)
		f->lost = 1;
	if (p->fault == FAULT_STALE && !is_watch)
		takes = CALL_STALE_NS;
	if (f->lost) {
		if (waited < (is_watch ? WATCH_TIMEOUT_NS : READ_TIMEOUT_NS))
			return;
		status = 0;
	} else if (p->fault == FAULT_TURNED_AWAY ||
	    (is_watch && p->fault == FAULT_STALE)) {
		status = is_watch && p->fault == FAULT_STALE ? 410 : 503;
	} else if (waited < takes ||
	    (is_watch && waited < WATCH_WAIT_NS && !watch_tells(p, t))) {
		return;
	}
	record_answer(p, f->called_at, status);
	if (is_watch)
		watch_answered(p, t, status);
	else
		read_answered(p, t, status);
}

void
store_answers(struct process *p)
{
	enum follow_text t;
	int lost = p->fault == FAULT_CUT || p->fault == FAULT_NO_STORE;

	for (t = 0; t < FOLLOW_TEXT__MAX; t++) {
		if (p->feeds[t].call != CALL_NONE)
			answer(p, t);
	}
	if (p->probe_at == 0 ||
	    world_now < p->probe_at + (lost ? PROBE_TIMEOUT_NS : CALL_NS))
		return;
	record_answer(p, p->probe_at,
	    lost ? 0 : (p->fault == FAULT_TURNED_AWAY ? 503 : 200));
	p->probe_at = 0;
}

/* As session_tick() does. */
void
store_tick(struct process *p)
{
	int hub = world_is_hub(process_index(p));
	struct store_check_state state = { hub, p->up, p->answered_at };
	struct feed *f;
	enum follow_text t;

	for (t = 0; t < FOLLOW_TEXT__MAX; t++) {
		f = &p->feeds[t];
		if (f->idle && hub) {
			store_read(p, t);
		} else if (f->retry_at != 0 && world_now >= f->retry_at) {
			f->retry_at = 0;
			if (f->revision != 0)
				refresh(p, t);
			else
				store_read(p, t);
		} else if (f->call == CALL_WATCH &&
		    f->called_at <= p->unanswered_at &&
		    p->answered_at > p->unanswered_at) {
			store_read(p, t);
		}
	}
	if (p->probe_at == 0 && store_check_due(&p->check, &state, world_now)) {
		p->probe_at = world_now;
		world_calls++;
	}
}
