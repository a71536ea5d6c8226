/* Tracks the cells, their owners and their replica tables. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"
#include "node_int.h"

#define OWNER_TIMEOUT_NS (1500 * NSEC_PER_MSEC)
#define TABLE_PULL_INTERVAL_NS (500 * NSEC_PER_MSEC)
#define OWNER_FORGET_NS (10 * NSEC_PER_SEC)
#define RANK_DELAY_NS (600 * NSEC_PER_MSEC)
#define CONTENDERS_MAX 3
#define UNPACED_PEERS_MAX 12		      /* more peers need pacing */
#define PACE_PER_PEER_NS (80 * NSEC_PER_MSEC) /* for each peer above that */
/* The announcement period is at least this much for each live peer. */
#define ANNOUNCE_PER_PEER_NS (5 * NSEC_PER_MSEC)

static int env_process_gone(void *, const struct node_id *);
static int env_served_elsewhere(void *, const char *, const char *);
static int env_conf_is_current(void *, uint64_t);
static int find_process_end(struct node *, const struct node_id *, uint64_t *);
static int vm_listed(const struct node *, const char *);
static struct cell_state *cell_state_create(struct node *, const char *);
static void update_owned_cell(
    struct node *, uint64_t, struct cell_state *, struct node_out *);
static void contend_for_cell(struct node *, uint64_t, struct cell_state *);
static void announce_load(
    struct node *, uint64_t, struct cell_state *, struct node_out *);
static void announce_to_member(void *, const struct member_info *);
static void store_table(struct cell_state *, const struct msg_load *);
static void pull_table(
    struct node *, uint64_t, struct cell_state *, struct node_out *);
static void on_load(
    struct node *, uint64_t, const struct msg *, struct node_out *);
static void on_load_pull(
    struct node *, uint64_t, const struct msg *, struct node_out *);
static void count_better_rank(void *, const struct member_info *);
static void send_load(const struct cell_state *, const char *,
    enum load_content, struct node_out *);

struct announce_ctx {
	struct cell_state *cell;
	const char *self;
	struct node_out *out;
	enum load_content content;
};

struct rank_ctx {
	const char *cell;
	uint64_t own_rank;
	uint32_t nbetter;
};

struct cell_out
node_cell_out(struct node_out *out)
{
	struct cell_out co = { &out->msgs, &out->kv, &out->orders };

	return co;
}

struct cell_state *
node_find_cell(struct node *n, const char *name)
{
	struct cell_state *s;

	TAILQ_FOREACH (s, &n->cells, entry) {
		if (strcmp(s->table.cell, name) == 0)
			return s;
	}
	return NULL;
}

static struct cell_state *
cell_state_create(struct node *n, const char *name)
{
	struct cell_env env = { env_process_gone, env_served_elsewhere,
		env_conf_is_current, n };
	struct cell_state *s;

	s = mem_alloc(sizeof(*s));
	snprintf(s->table.cell, sizeof(s->table.cell), "%s", name);
	s->cell =
	    cell_create(&n->config.cell, name, &n->config.self, &n->ids, &env);
	TAILQ_INSERT_TAIL(&n->cells, s, entry);
	return s;
}

void
node_cells_configure(struct node *n, uint64_t now, struct node_out *out)
{
	struct cell_out co = node_cell_out(out);
	struct cell_state *s;
	size_t i;

	for (i = 0; i < n->conf->nbackends; i++) {
		if (node_find_cell(n, n->conf->backends[i].cell) == NULL)
			cell_state_create(n, n->conf->backends[i].cell);
	}
	TAILQ_FOREACH (s, &n->cells, entry)
		cell_configure(s->cell, now, n->conf, &co);
}

/*
 * Stores the time at which the process was first known to have ended.  Returns
 * -1 if it may still run.
 */
static int
find_process_end(struct node *n, const struct node_id *id, uint64_t *since)
{
	uint32_t i;

	for (i = 0; i < n->nended_processes; i++) {
		if (strcmp(n->ended_processes[i].id.addr, id->addr) == 0 &&
		    n->ended_processes[i].id.incarnation == id->incarnation) {
			*since = n->ended_processes[i].since;
			return 0;
		}
	}
	/* A later process uses its address, or its VM is no longer listed. */
	if (member_latest_incarnation(n->member, id->addr) <= id->incarnation &&
	    vm_listed(n, id->addr))
		return -1;
	i = n->nended_processes < NODE_ENDED_PROCESSES_MAX
	    ? n->nended_processes++
	    : 0;
	n->ended_processes[i].id = *id;
	n->ended_processes[i].since = n->now;
	*since = n->now;
	return 0;
}

/* A VM that was never listed counts as listed: the list may lag behind. */
static int
vm_listed(const struct node *n, const char *addr)
{
	size_t i;

	for (i = 0; i < n->nlisted_vms; i++) {
		if (strcmp(n->listed_vms[i], addr) == 0)
			return 1;
	}
	for (i = 0; i < n->nknown_vms; i++) {
		if (strcmp(n->known_vms[i], addr) == 0)
			return 0;
	}
	return 1;
}

/* Whether the process ended so long ago that none of its orders can arrive. */
static int
env_process_gone(void *arg, const struct node_id *id)
{
	struct node *n = arg;
	uint64_t since;

	if (find_process_end(n, id, &since) == -1)
		return 0;
	return n->now >= since + n->config.cell.order_in_doubt_ns;
}

static int
env_served_elsewhere(void *arg, const char *model, const char *cell)
{
	struct node *n = arg;
	const struct msg_replica *r;
	struct cell_state *s;
	uint32_t i;
	uint32_t k;

	TAILQ_FOREACH (s, &n->cells, entry) {
		if (strcmp(s->table.cell, cell) == 0 ||
		    n->now > s->owner_heard_at + OWNER_FORGET_NS)
			continue;
		for (i = 0; i < s->table.nreplicas; i++) {
			r = &s->table.replicas[i];
			for (k = 0; k < r->nmodels && !r->leaving; k++) {
				if (strcmp(r->models[k], model) == 0)
					return 1;
			}
		}
	}
	return 0;
}

static int
env_conf_is_current(void *arg, uint64_t since)
{
	return node_conf_is_current(arg, since);
}

static void
send_load(const struct cell_state *s, const char *to, enum load_content content,
    struct node_out *out)
{
	struct msg *m;

	m = msg_create_table(
	    MSG_LOAD, to, content != LOAD_NUMBER ? s->table.nreplicas : 0);
	memcpy(&m->u.load, &s->table, offsetof(struct msg_load, replicas));
	m->u.load.content = (uint32_t)content;
	if (content != LOAD_NUMBER)
		memcpy(m->u.load.replicas, s->table.replicas,
		    s->table.nreplicas * sizeof(s->table.replicas[0]));
	else
		m->u.load.nreplicas = 0;
	TAILQ_INSERT_TAIL(&out->msgs, m, entry);
}

static void
announce_to_member(void *arg, const struct member_info *info)
{
	struct announce_ctx *ctx = arg;

	if (strcmp(info->id.addr, ctx->self) == 0 || info->state == MEMBER_DEAD)
		return;
	send_load(ctx->cell, info->id.addr, ctx->content, ctx->out);
}

/*
 * Sends the load to the other nodes; the period grows with their number to
 * limit the traffic.
 */
static void
announce_load(
    struct node *n, uint64_t now, struct cell_state *s, struct node_out *out)
{
	struct announce_ctx ctx = { s, n->config.self.addr, out, LOAD_NUMBER };
	uint64_t period = n->config.cell.load_announce_ns;

	if (now < s->next_announce_at)
		return;
	if (member_count_live(n->member) * ANNOUNCE_PER_PEER_NS > period)
		period = member_count_live(n->member) * ANNOUNCE_PER_PEER_NS;
	s->next_announce_at = now + period;
	member_foreach(n->member, announce_to_member, &ctx);
}

/* Updates the table of a cell that this node owns. */
static void
update_owned_cell(
    struct node *n, uint64_t now, struct cell_state *s, struct node_out *out)
{
	uint64_t before = s->table.version;

	cell_routing_table(s->cell, &s->table);
	s->load = s->table.load;
	s->owner = n->config.self;
	s->owner_heard_at = now;
	if (s->table.version != before)
		s->next_announce_at = now;
	announce_load(n, now, s, out);
}

static void
count_better_rank(void *arg, const struct member_info *info)
{
	struct rank_ctx *ctx = arg;

	if (info->state == MEMBER_ALIVE && info->id.incarnation != 0 &&
	    hash_version(info->id.addr, hash_text(ctx->cell)) > ctx->own_rank)
		ctx->nbetter++;
}

/*
 * Contends for a cell whose owner is silent.  Nodes start one after another in
 * the order of their rank, to avoid conflicting attempts.
 */
static void
contend_for_cell(struct node *n, uint64_t now, struct cell_state *s)
{
	struct rank_ctx ctx;
	int silent = now >= s->owner_heard_at + OWNER_TIMEOUT_NS;

	if (!silent) {
		s->is_candidate = 0;
		cell_set_candidate(s->cell, 0, 0);
		return;
	}
	if (now >= s->owner_heard_at + OWNER_FORGET_NS)
		memset(&s->owner, 0, sizeof(s->owner));
	if (s->is_candidate)
		return;
	ctx.cell = s->table.cell;
	ctx.own_rank = hash_version(n->config.self.addr, hash_text(ctx.cell));
	ctx.nbetter = 0;
	member_foreach(n->member, count_better_rank, &ctx);
	if (ctx.nbetter >= CONTENDERS_MAX)
		return;
	s->is_candidate = 1;
	cell_set_candidate(s->cell, 1, now + ctx.nbetter * RANK_DELAY_NS);
}

uint64_t
node_sync_interval_ns(const struct node *n)
{
	uint32_t live = member_count_live(n->member);

	return live <= UNPACED_PEERS_MAX
	    ? 0
	    : (live - UNPACED_PEERS_MAX) * PACE_PER_PEER_NS;
}

void
node_cells_tick(struct node *n, uint64_t now, struct node_out *out)
{
	struct cell_out co = node_cell_out(out);
	struct cell_state *s;

	TAILQ_FOREACH (s, &n->cells, entry) {
		cell_set_sync_interval(s->cell, node_sync_interval_ns(n));
		cell_tick(s->cell, now, &co);
		if (cell_is_owner(s->cell))
			update_owned_cell(n, now, s, out);
		else
			contend_for_cell(n, now, s);
		pull_table(n, now, s, out);
	}
	node_gate_send_cells(n, now, out);
}

static void
store_table(struct cell_state *s, const struct msg_load *l)
{
	memcpy(&s->table, l, offsetof(struct msg_load, replicas));
	memcpy(s->table.replicas, l->replicas,
	    l->nreplicas * sizeof(l->replicas[0]));
}

/* Asks a random peer for its latest table, as the owner may be gone. */
static void
pull_table(
    struct node *n, uint64_t now, struct cell_state *s, struct node_out *out)
{
	char addr[1][ADDR_SIZE];
	struct msg *m;

	if (s->table.version != 0 || now < s->next_pull_at ||
	    member_sample(n->member, 1, addr) == 0)
		return;
	s->next_pull_at = now + TABLE_PULL_INTERVAL_NS;
	m = msg_create_table(MSG_LOAD_PULL, addr[0], 0);
	memcpy(m->u.load.cell, s->table.cell, sizeof(s->table.cell));
	TAILQ_INSERT_TAIL(&out->msgs, m, entry);
}

static void
on_load(struct node *n, uint64_t now, const struct msg *m, struct node_out *out)
{
	const struct msg_load *l = &m->u.load;
	struct cell_state *s = node_find_cell(n, l->cell);
	struct msg *pull;

	if (s == NULL || l->fence < s->table.fence)
		return;
	if (l->content == LOAD_TABLE_RELAYED) {
		if (s->table.version == 0)
			store_table(s, l);
		return;
	}
	if (l->fence > cell_fencing_token(s->cell))
		cell_handle_superseded(s->cell, l->fence);
	if (cell_is_owner(s->cell) && l->fence <= cell_fencing_token(s->cell))
		return;
	s->owner_heard_at = now;
	s->owner = m->from;
	s->load = l->load;
	if (l->content == LOAD_TABLE) {
		store_table(s, l);
		return;
	}
	if (l->version == s->table.version)
		return;
	s->table.fence = l->fence;
	pull = msg_create_table(MSG_LOAD_PULL, m->from.addr, 0);
	memcpy(pull->u.load.cell, l->cell, sizeof(l->cell));
	TAILQ_INSERT_TAIL(&out->msgs, pull, entry);
}

static void
on_load_pull(
    struct node *n, uint64_t now, const struct msg *m, struct node_out *out)
{
	struct cell_state *s = node_find_cell(n, m->u.load.cell);

	(void)now;
	if (s == NULL || s->table.version == 0)
		return;
	send_load(s, m->from.addr,
	    cell_is_owner(s->cell) ? LOAD_TABLE : LOAD_TABLE_RELAYED, out);
}

void
node_cells_handle_message(
    struct node *n, uint64_t now, const struct msg *m, struct node_out *out)
{
	struct cell_out co = node_cell_out(out);
	struct msg *reply;
	struct cell_state *s;

	if (m->kind == MSG_LOAD) {
		on_load(n, now, m, out);
		return;
	}
	if (m->kind == MSG_LOAD_PULL) {
		on_load_pull(n, now, m, out);
		return;
	}
	if (m->kind == MSG_SENDER_ASK || m->kind == MSG_SENDER_NONE) {
		s = node_find_cell(n, m->u.sender_none.cell);
		if (s != NULL) {
			cell_handle_message(s->cell, now, m, &co);
		} else if (m->kind == MSG_SENDER_ASK) {
			/* An unknown cell has no unsent orders. */
			reply = msg_create(MSG_SENDER_NONE, m->from.addr);
			reply->u.sender_none = m->u.sender_none;
			TAILQ_INSERT_TAIL(&out->msgs, reply, entry);
		}
		return;
	}
	/* From gates: each cell recognizes its grants and models. */
	TAILQ_FOREACH (s, &n->cells, entry) {
		if (cell_is_owner(s->cell))
			cell_handle_message(s->cell, now, m, &co);
	}
}
