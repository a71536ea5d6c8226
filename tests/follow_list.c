/* The list of replicas of the processes of the fleet in virtual time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "follow_world.h"
#include "hash.h"

#define PULL_RETRY_NS (200 * NSEC_PER_MSEC)
#define ITEM_SIZE ((size_t)300) /* bytes of an encoded change */

static struct replica_list newest[WORLD_PROCESSES]; /* revisions ever known */
static int went_back;

static void set_digest(struct process *, uint32_t, uint64_t);
static void add_change(struct process *, uint32_t, uint64_t, int);
static void add_item(struct message *, uint32_t, uint64_t, int);

int
world_went_back(void)
{
	return went_back;
}

void
process_start_list(struct process *p)
{
	p->list = *store_list();
	removals_start(&p->removals, p->list.revision);
	newest[process_index(p)] = p->list;
	went_back = 0;
}

static void
set_digest(struct process *p, uint32_t i, uint64_t revision)
{
	char key[16];

	snprintf(key, sizeof(key), "%u", i);
	p->list.digest ^=
	    hash_version(key, p->list.entry[i]) ^ hash_version(key, revision);
	p->list.entry[i] = revision;
}

/* Records a change to be pushed. */
static void
add_change(struct process *p, uint32_t i, uint64_t revision, int removed)
{
	struct list_item *c;

	if (p->nchanges == 0)
		p->changed_from = p->list.revision;
	if (p->nchanges == WORLD_ENTRIES)
		return;
	c = &p->changes[p->nchanges++];
	c->entry = i;
	c->revision = revision;
	c->removed = removed;
}

void
process_set_entry(struct process *p, uint32_t i, uint64_t revision)
{
	uint64_t *known = &newest[process_index(p)].entry[i];

	if (revision < *known)
		went_back = 1;
	*known = revision;
	add_change(p, i, revision, 0);
	set_digest(p, i, revision);
}

void
process_remove_entry(struct process *p, uint32_t i, uint64_t revision)
{
	char key[16];

	if (p->list.entry[i] == 0)
		return;
	add_change(p, i, revision, 1);
	set_digest(p, i, 0);
	snprintf(key, sizeof(key), "%u", i);
	removals_add(&p->removals, key, revision);
	newest[process_index(p)].entry[i] = revision;
}

void
process_push_changes(struct process *p)
{
	struct message *m;
	uint64_t now;
	uint32_t i;

	if (p->nchanges == 0)
		return;
	m = message_create(p, MESSAGE_TEXT);
	m->text = FOLLOW_LIST;
	m->list_from = p->changed_from;
	/* An entry removed since is sent as removed. */
	for (i = 0; i < p->nchanges; i++) {
		now = p->list.entry[p->changes[i].entry];
		add_item(m, p->changes[i].entry,
		    now == 0 ? p->changes[i].revision : now, now == 0);
	}
	message_send_down(p, m);
	free(m);
	p->nchanges = 0;
}

void
world_set_list(uint32_t i)
{
	const struct replica_list *l = store_list();
	uint32_t k;

	for (k = 0; k < WORLD_ENTRIES; k++) {
		if (l->entry[k] == 0)
			process_remove_entry(&world[i], k, l->revision);
		else if (l->entry[k] > world[i].list.entry[k])
			process_set_entry(&world[i], k, l->entry[k]);
	}
	world[i].list.revision = l->revision;
	world[i].nchanges = 0;
}

static void
add_item(struct message *m, uint32_t i, uint64_t revision, int removed)
{
	struct list_item *c = &m->items[m->nitems];

	if (m->nitems == nitems(m->items))
		return;
	m->nitems++;
	c->entry = i;
	c->revision = revision;
	c->removed = removed;
}

void
process_send_list(struct process *p, uint32_t to)
{
	struct message *m = message_create(p, MESSAGE_TEXT);
	uint32_t i;

	m->text = FOLLOW_LIST;
	m->whole = 1;
	for (i = 0; i < WORLD_ENTRIES; i++) {
		if (p->list.entry[i] != 0)
			add_item(m, i, p->list.entry[i], 0);
	}
	message_send(process_index(p), to, m);
}

/* As entry/pull.c: changes since a revision, if all are known. */
int
process_answer_changes(struct process *p, const struct message *m)
{
	uint64_t since = m->list_from;
	const struct removal *r;
	struct message *reply;
	uint32_t i;

	if (since != 0 && since >= p->list.revision)
		return 1;
	if (!removals_known_since(&p->removals, since))
		return 0;
	reply = message_create(p, MESSAGE_TEXT);
	reply->text = FOLLOW_LIST;
	reply->list_from = since;
	for (i = 0; i < WORLD_ENTRIES; i++) {
		if (p->list.entry[i] > since)
			add_item(reply, i, p->list.entry[i], 0);
	}
	for (i = 0; i < REMOVALS_MAX; i++) {
		r = removals_get(&p->removals, i, since);
		if (r != NULL)
			add_item(reply, (uint32_t)strtoul(r->key, NULL, 10),
			    r->revision, 1);
	}
	if (follow_answers_changes(
		&p->answers, world_now, reply->nitems * ITEM_SIZE))
		message_send(process_index(p), m->from, reply);
	else
		free(reply);
	return 1;
}

void
process_pull_list(struct process *p, uint32_t from, uint64_t since)
{
	if (world_now < p->pull_list_at)
		return;
	p->pull_list_at =
	    world_now + PULL_RETRY_NS + world_draw(30) * WORLD_STEP_NS;
	process_pull(p, from, FOLLOW_LIST, since);
}

/* As session_apply_text() of entry/replica_sync.c does. */
void
process_apply_list(struct process *p, const struct message *m)
{
	const struct list_item *c;
	uint64_t at = m->list.revision;
	int listed[WORLD_ENTRIES] = { 0 };
	char key[16];
	uint32_t i;

	if (at < p->list.revision ||
	    (at == p->list.revision &&
		(!m->whole || world_is_hub(process_index(p)))))
		return;
	if (!m->whole && m->list_from > p->list.revision) {
		process_pull_list(p, m->from, p->list.revision);
		return;
	}
	for (c = m->items; c < m->items + m->nitems; c++) {
		listed[c->entry] = 1;
		snprintf(key, sizeof(key), "%u", c->entry);
		if (!c->removed &&
		    (removals_has(&p->removals, key, c->revision) ||
			(p->list.entry[c->entry] == 0 &&
			    c->revision <= p->feeds[FOLLOW_LIST].revision)))
			continue;
		if (c->revision <= p->list.entry[c->entry])
			continue;
		if (c->removed)
			process_remove_entry(p, c->entry, c->revision);
		else
			process_set_entry(p, c->entry, c->revision);
	}
	for (i = 0; m->whole && i < WORLD_ENTRIES; i++) {
		if (!listed[i] && p->list.entry[i] <= at)
			process_remove_entry(p, i, at);
	}
	p->list.revision = at;
	process_push_changes(p);
	if (p->list.digest == m->digest)
		return;
	if (!world_is_hub(process_index(p)))
		process_pull_list(p, m->from, 0);
	else if (p->feeds[FOLLOW_LIST].call == CALL_WATCH)
		store_read(p, FOLLOW_LIST);
}
