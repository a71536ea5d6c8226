/*
 * The adapter table: which adapters replicas hold and which models are being
 * unloaded.  The holder of the order lease sends it to all processes.
 */
#include <stdio.h>
#include <string.h>

#include "hash.h"
#include "loader_io_int.h"
#include "mem.h"
#include "peers.h"

#define TABLE_INTERVAL_NS (250 * NSEC_PER_MSEC) /* without changes */
/* A peer that lost a message has the current table after this time. */
#define FULL_TABLE_INTERVAL_NS (2 * NSEC_PER_SEC)
/* With many replicas changes come all the time: sent together. */
#define TABLE_CHANGES_NS (50 * NSEC_PER_MSEC)
/* A model being unloaded is announced again well within this time. */
#define UNLOADING_AVOID_NS (600 * NSEC_PER_MSEC)

_Static_assert(
    NAME_LIST_MAX + 2 < MSG_LIST_MAX, "a message holds all items of a replica");

/* A table that is being sent, in as many messages as it takes. */
struct table {
	struct entry *e;
	uint64_t fence;
	int whole; /* of all replicas, not only of those that changed */
	struct msg *msg;
};

static void table_begin_message(struct table *);
static void table_make_room(struct table *, uint32_t);
static void table_add(
    struct table *, const struct directory_replica *, const char *);
static uint64_t adapters_hash(const struct directory_replica *);
static void table_add_replica(struct table *, struct directory_replica *);

static void
table_begin_message(struct table *t)
{
	struct msg_held *h;

	t->msg = msg_create(MSG_HELD, "");
	h = &t->msg->u.held;
	snprintf(h->holder, sizeof(h->holder), "%s", t->e->self.addr);
	h->fence = t->fence;
	h->items = mem_alloc(MSG_LIST_MAX * sizeof(*h->items));
}

/*
 * A replica's items are in one message, since each may be lost; it holds more
 * than NAME_LIST_MAX.
 */
static void
table_make_room(struct table *t, uint32_t nitems)
{
	if (t->msg->u.held.n + nitems < MSG_LIST_MAX)
		return;
	peers_send_down(t->e->peers, t->msg);
	table_begin_message(t);
}

static void
table_add(struct table *t, const struct directory_replica *m, const char *name)
{
	struct msg_held *h = &t->msg->u.held;
	struct msg_held_item *item = &h->items[h->n++];

	snprintf(item->replica, sizeof(item->replica), "%s", m->info.id);
	snprintf(item->name, sizeof(item->name), "%s", name);
	item->replica_start = m->info.started_ms;
}

/* Hash of a replica's start time and adapters; never 0. */
static uint64_t
adapters_hash(const struct directory_replica *m)
{
	uint64_t hash = m->info.started_ms + 1;
	uint32_t i;

	for (i = 0; i < m->info.adapters.n; i++)
		hash ^= hash_version(m->info.adapters.names[i], 1);
	return hash == 0 ? 1 : hash;
}

/* Adds a replica to the table if it has changed since it was last sent. */
static void
table_add_replica(struct table *t, struct directory_replica *m)
{
	const char *leaving =
	    loader_unloading_model(t->e->loader_io->loader, m->info.id);
	uint64_t hash = adapters_hash(m);
	uint32_t i;

	if (!t->whole && m->adapters_hash_sent == hash && *leaving == '\0')
		return;
	m->adapters_hash_sent = hash;
	/* The replica, its adapters and a model being unloaded. */
	table_make_room(t, m->info.adapters.n + 2);
	table_add(t, m, "");
	for (i = 0; i < m->info.adapters.n; i++)
		table_add(t, m, m->info.adapters.names[i]);
	if (*leaving == '\0')
		return;
	table_add(t, m, leaving);
	directory_exclude(m, leaving, t->e->now + UNLOADING_AVOID_NS);
}

/* Broadcasts changes of the adapter table, and at intervals all of it. */
void
adapter_table_send(struct entry *e)
{
	struct loader_io *st = e->loader_io;
	uint64_t changes = loader_change_count(st->loader);
	struct table table = { e, 0, 0, NULL };
	struct loader_stats t;
	struct directory_replica *m;
	uint64_t after;

	after = TABLE_INTERVAL_NS;
	if (changes != st->table_changes)
		after = peers_use_relays(e->peers) ? TABLE_CHANGES_NS : 0;
	if (e->now < st->table_sent_at + after)
		return;
	if (changes != st->table_changes)
		e->retry_waiting = 1;
	st->table_changes = changes;
	st->table_sent_at = e->now;
	st->holder_heard_at = e->now;
	loader_get_stats(st->loader, e->now, &t);
	table.fence = t.fence;
	table.whole =
	    st->table_fencing_token != t.fence || e->now >= st->full_table_at;
	if (table.whole)
		st->full_table_at = e->now + FULL_TABLE_INTERVAL_NS;
	st->table_fencing_token = t.fence;
	table_begin_message(&table);
	for (m = e->dir.replicas; m != NULL; m = m->hh.next)
		table_add_replica(&table, m);
	peers_send_down(e->peers, table.msg);
}

void
adapter_table_apply(struct entry *e, const struct msg *msg)
{
	const struct msg_held *h = &msg->u.held;
	struct loader_io *st = e->loader_io;
	struct directory_replica *m;
	struct loader_stats t;
	uint32_t i;

	loader_get_stats(st->loader, e->now, &t);
	/* Tables of a former holder may arrive after this one took over. */
	if (h->fence < st->holder_fencing_token || h->fence < t.fence)
		return;
	st->holder_fencing_token = h->fence;
	st->holder_heard_at = e->now;
	snprintf(st->holder, sizeof(st->holder), "%s", h->holder);
	loader_superseded(st->loader, h->fence);
	for (i = 0; i < h->n; i++) {
		m = directory_find(&e->dir, h->items[i].replica);
		if (m == NULL ||
		    m->info.started_ms != h->items[i].replica_start)
			continue;
		/* The items of each replica start with an empty name. */
		if (h->items[i].name[0] == '\0') {
			name_list_truncate(&m->info.adapters);
			continue;
		}
		if (strchr(h->items[i].name, '/') == NULL) {
			directory_exclude(
			    m, h->items[i].name, e->now + UNLOADING_AVOID_NS);
			continue;
		}
		name_list_append(&m->info.adapters, h->items[i].name);
	}
	e->retry_waiting = 1;
}
