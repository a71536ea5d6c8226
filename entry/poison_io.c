#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conn.h"
#include "expiry.h"
#include "hash.h"
#include "mem.h"
#include "peers.h"
#include "poison_io.h"

/* From the end of an attempt that was given up to the check of its replica. */
#define LEFT_NS (250 * NSEC_PER_MSEC)
/* A process that has crashed refuses connections at once. */
#define CHECK_NS (400 * NSEC_PER_MSEC)
/* Reports carry evidence while it is new, and later one in four of them. */
#define CHANGED_NS (2 * NSEC_PER_SEC)
#define REPEAT_NS (250 * NSEC_PER_MSEC)
#define REPEAT_EVERY 4
/*
 * A process that has started is heard by a peer, and hears its evidence, well
 * within this time; without peers it waits no longer.
 */
#define EVIDENCE_WAIT_NS (500 * NSEC_PER_MSEC)
#define CHECKS_MAX 64	    /* at a time */
#define CHECK_PARTS_MAX 128 /* of the requests that broke off */
#define CHECK_CLOSED_MAX 16 /* requests answered, if it has not crashed */

/* A connection to a replica, to see whether its process is there. */
struct check {
	TAILQ_ENTRY(check) entry;
	struct poison_io *p;
	char replica[NAME_SIZE];
	char addr[ADDR_SIZE];
	uint64_t incarnation; /* hash */
	struct conn *conn;    /* NULL: after a time */
	struct expiry *expiry;
	uint32_t nparts;
	uint64_t parts[CHECK_PARTS_MAX];
	uint32_t nclosed;
	uint64_t closed[CHECK_CLOSED_MAX];
};

TAILQ_HEAD(check_list, check);

struct poison_io {
	struct entry *e;
	struct poison *poison;
	struct check_list checks;
	uint32_t nchecks;
	uint64_t crashes;
	uint64_t tell_until; /* each report has the evidence */
	uint64_t wait_until; /* for the evidence of a peer */
	int has_peers;	     /* one has been heard */
	int heard;	     /* its evidence */
	int knows;	     /* requests go by it, or by none */
	int newly_blocked;   /* parts, by the current update */
	int has_news;	     /* crashes since the latest update */
};

static uint32_t request_parts(const struct request_params *, uint64_t *);
static uint64_t incarnation_hash(const struct directory_replica *);
static int is_checked(const struct poison_io *, uint64_t);
static struct check *check_find(struct poison_io *, const char *);
static void check_add_parts(struct check *, const uint64_t *, uint32_t);
static struct check *check_find_or_add(
    struct poison_io *, const struct directory_replica *);
static void check_start(struct check *);
static void check_destroy(struct check *);
static int check_has_part(const struct check *);
static void check_crashed(struct check *);
static int check_on_connected(void *);
static void check_on_data(void *, const char *, size_t);
static void check_on_closed(void *, int);
static int check_has_input(void *);
static void check_on_expired(void *);
static void on_changed(void *, uint64_t, int);

static const struct conn_ops check_conn_ops = {
	.connected = check_on_connected,
	.data = check_on_data,
	.closed = check_on_closed,
};

static const struct expiry_ops check_expiry_ops = {
	.has_input = check_has_input,
	.expired = check_on_expired,
};

struct poison_io *
poison_io_create(struct entry *e)
{
	struct poison_io *p;

	p = mem_alloc(sizeof(*p));
	p->e = e;
	p->poison = poison_create();
	p->wait_until = entry_update_now(e) + EVIDENCE_WAIT_NS;
	TAILQ_INIT(&p->checks);
	return p;
}

void
poison_io_destroy(struct poison_io *p)
{
	if (p == NULL)
		return;
	while (!TAILQ_EMPTY(&p->checks))
		check_destroy(TAILQ_FIRST(&p->checks));
	poison_destroy(p->poison);
	free(p);
}

/*
 * Ids of the parts that other requests may have, too: all but the last; and, as
 * the last one, that of the request as a whole.
 */
static uint32_t
request_parts(const struct request_params *r, uint64_t *ids)
{
	uint32_t i;

	for (i = 0; i + 1 < r->nparts; i++)
		ids[i] = r->parts[i].id & ~POISON_REQUEST;
	ids[i] = r->fingerprint | POISON_REQUEST;
	return i + 1;
}

static uint64_t
incarnation_hash(const struct directory_replica *m)
{
	return hash_version(m->info.id, m->info.started_ms);
}

static struct check *
check_find(struct poison_io *p, const char *replica)
{
	struct check *c;

	TAILQ_FOREACH (c, &p->checks, entry) {
		if (strcmp(c->replica, replica) == 0)
			return c;
	}
	return NULL;
}

static struct check *
check_find_or_add(struct poison_io *p, const struct directory_replica *m)
{
	struct check *c = check_find(p, m->info.id);

	if (c != NULL || p->nchecks == CHECKS_MAX)
		return c;
	c = mem_alloc(sizeof(*c));
	c->p = p;
	snprintf(c->replica, sizeof(c->replica), "%s", m->info.id);
	snprintf(c->addr, sizeof(c->addr), "%s", m->info.addr);
	c->incarnation = incarnation_hash(m);
	c->expiry = expiry_create(p->e->loop, &check_expiry_ops, c);
	TAILQ_INSERT_TAIL(&p->checks, c, entry);
	p->nchecks++;
	return c;
}

static void
check_add_parts(struct check *c, const uint64_t *ids, uint32_t n)
{
	uint32_t i, j;

	for (i = 0; i < n; i++) {
		for (j = 0; j < c->nparts && c->parts[j] != ids[i]; j++)
			continue;
		if (j == c->nparts && j < CHECK_PARTS_MAX)
			c->parts[c->nparts++] = ids[i];
	}
}

void
poison_io_broken(struct poison_io *p, const struct directory_replica *m,
    const struct request_params *r, int at_begin)
{
	uint64_t found[PROMPT_PARTS_MAX];
	uint32_t n = request_parts(r, found);
	const uint64_t *ids = found;
	struct check *c;

	/* A replica that leaves ends without having crashed. */
	if (directory_is_leaving(m) || m->presence == PRESENCE_REMOVED)
		return;
	if (!at_begin) {
		ids += n - 1;
		n = 1;
	}
	c = check_find_or_add(p, m);
	if (c == NULL)
		return;
	check_add_parts(c, ids, n);
	if (c->conn == NULL)
		check_start(c);
}

void
poison_io_closed(struct poison_io *p, const struct directory_replica *m,
    const struct request_params *r)
{
	uint64_t id = r->fingerprint | POISON_REQUEST;
	struct check *c;

	if (!poison_is_suspect(p->poison, p->e->now, 0, &id, 1))
		return;
	c = check_find_or_add(p, m);
	if (c == NULL)
		return;
	check_add_parts(c, &id, 1);
	if (c->nclosed < CHECK_CLOSED_MAX)
		c->closed[c->nclosed++] = id;
	if (c->conn == NULL)
		check_start(c);
}

void
poison_io_left(struct poison_io *p, const struct directory_replica *m,
    const struct request_params *r)
{
	uint64_t ids[PROMPT_PARTS_MAX];
	uint32_t n = request_parts(r, ids);
	struct check *c;

	/* Room is left for attempts that break off. */
	if (directory_is_leaving(m) || m->presence == PRESENCE_REMOVED ||
	    p->nchecks >= CHECKS_MAX / 2)
		return;
	c = check_find_or_add(p, m);
	if (c == NULL)
		return;
	/* The replica may have had no time for the prompt. */
	check_add_parts(c, ids + n - 1, 1);
	if (c->conn == NULL && !expiry_is_set(c->expiry))
		expiry_set(c->expiry, p->e->now + LEFT_NS);
}

static void
check_start(struct check *c)
{
	struct err err = { 0 };

	c->conn =
	    conn_connect(c->p->e->loop, c->addr, &check_conn_ops, c, &err);
	if (c->conn != NULL)
		expiry_set(c->expiry, c->p->e->now + CHECK_NS);
	else if (err.kind == ERR_REFUSED)
		check_crashed(c);
	else
		check_destroy(c);
}

static void
check_destroy(struct check *c)
{
	TAILQ_REMOVE(&c->p->checks, c, entry);
	c->p->nchecks--;
	c->p->e->retry_waiting = 1;
	conn_destroy(c->conn);
	expiry_destroy(c->expiry);
	free(c);
}

/* Whether there is evidence against more than whole requests. */
static int
check_has_part(const struct check *c)
{
	uint32_t i;

	for (i = 0; i < c->nparts; i++) {
		if ((c->parts[i] & POISON_REQUEST) == 0)
			return 1;
	}
	return 0;
}

static void
check_crashed(struct check *c)
{
	struct poison_io *p = c->p;
	struct log_subject about = { 0 };

	p->crashes++;
	p->tell_until = p->e->now + CHANGED_NS;
	p->has_news = 1;
	poison_crashed(
	    p->poison, p->e->now, c->incarnation, c->parts, c->nparts);
	about.backend = c->replica;
	log_event(check_has_part(c) ? LOG_POISON_SUSPECT : LOG_REQUEST_SUSPECT,
	    &about, "parts=%u first=%llx", c->nparts,
	    (unsigned long long)(c->parts[0] & ~POISON_REQUEST));
	peers_report_soon(p->e->peers);
	check_destroy(c);
}

static int
check_on_connected(void *ctx)
{
	struct check *c = ctx;
	struct poison_io *p = c->p;

	poison_answered(p->poison, p->e->now, c->closed, c->nclosed);
	check_destroy(c);
	return 1;
}

static void
check_on_data(void *ctx, const char *data, size_t len)
{
	(void)data;
	(void)len;
	check_destroy(ctx);
}

static void
check_on_closed(void *ctx, int error)
{
	struct check *c = ctx;

	entry_update_now(c->p->e);
	/* A replica with too many connections resets them. */
	if (error == ECONNREFUSED)
		check_crashed(c);
	else
		check_destroy(c);
}

static int
check_has_input(void *ctx)
{
	const struct check *c = ctx;

	return c->conn != NULL && conn_has_input(c->conn);
}

static void
check_on_expired(void *ctx)
{
	struct check *c = ctx;

	entry_update_now(c->p->e);
	if (c->conn == NULL)
		check_start(c);
	else /* nobody answers: the replica may be cut off */
		check_destroy(c);
}

void
poison_io_answered(
    struct poison_io *p, const struct request_params *r, int with_parts)
{
	uint64_t ids[PROMPT_PARTS_MAX];
	uint32_t n = request_parts(r, ids);

	if (with_parts)
		poison_answered(p->poison, p->e->now, ids, n);
	else
		poison_answered(p->poison, p->e->now, ids + n - 1, 1);
}

uint64_t
poison_io_blocked_until(
    const struct poison_io *p, const struct request_params *r)
{
	uint64_t ids[PROMPT_PARTS_MAX];
	uint32_t n = request_parts(r, ids);

	return poison_blocked_until(p->poison, p->e->now, ids, n);
}

enum poison_care
poison_io_evidence(
    const struct poison_io *p, const struct request_params *r, uint64_t *part)
{
	uint64_t ids[PROMPT_PARTS_MAX];
	uint32_t n = request_parts(r, ids);

	return poison_care(p->poison, p->e->now, ids, n, part);
}

enum poison_care
poison_io_care(
    const struct poison_io *p, const struct request_params *r, uint64_t *part)
{
	enum poison_care care = poison_io_evidence(p, r, part);
	uint64_t ids[PROMPT_PARTS_MAX];
	uint32_t n = request_parts(r, ids) - 1;
	uint32_t checked = n;
	uint32_t nnew = 0;
	uint32_t i;

	if (!p->knows && (n != 0 || p->has_peers))
		return POISON_WAIT;
	if (care == POISON_WAIT || p->nchecks == 0)
		return care;
	for (i = 0; i < n; i++) {
		if (!poison_is_new(p->poison, ids[i]))
			continue;
		nnew++;
		if (checked == n && is_checked(p, ids[i]))
			checked = i;
	}
	if (checked == n || nnew == n)
		checked = n;
	if (checked == n && !is_checked(p, ids[n]))
		return care;
	if (care == POISON_ANY_REPLICA)
		*part = ids[checked];
	return POISON_WAIT;
}

/* Whether a check is under way after a request with the part broke off. */
static int
is_checked(const struct poison_io *p, uint64_t part)
{
	const struct check *c;
	uint32_t i;

	TAILQ_FOREACH (c, &p->checks, entry) {
		for (i = 0; c->conn != NULL && i < c->nparts; i++) {
			if (c->parts[i] == part)
				return 1;
		}
	}
	return 0;
}

int
poison_io_is_suspect(const struct poison_io *p,
    const struct directory_replica *m, const struct request_params *r)
{
	uint64_t ids[PROMPT_PARTS_MAX];
	uint32_t n = request_parts(r, ids);

	return poison_is_suspect(
	    p->poison, p->e->now, incarnation_hash(m), ids, n);
}

static void
on_changed(void *ctx, uint64_t part, int blocked)
{
	struct poison_io *p = ctx;

	log_event(blocked ? LOG_POISON_BLOCKED : LOG_POISON_CLEARED, NULL,
	    "kind=%s part=%llx",
	    (part & POISON_REQUEST) != 0 ? "request" : "part",
	    (unsigned long long)(part & ~POISON_REQUEST));
	p->newly_blocked += blocked;
}

void
poison_io_tick(struct poison_io *p)
{
	p->newly_blocked = 0;
	poison_update(p->poison, p->e->now, on_changed, p);
	if (p->newly_blocked != 0)
		forward_end_blocked(p->e);
	if (p->has_news)
		forward_withdraw_suspects(p->e);
	p->has_news = 0;
	/* The update above has applied the peers' evidence. */
	if (!p->knows && (p->heard || p->e->now >= p->wait_until)) {
		p->knows = 1;
		p->e->retry_waiting = 1;
	}
}

void
poison_io_peer_started(struct poison_io *p)
{
	p->has_peers = 1;
	p->tell_until = p->e->now + CHANGED_NS;
	peers_report_soon(p->e->peers);
}

void
poison_io_fill(const struct poison_io *p, struct msg_front *f)
{
	struct poison_evidence found[POISON_REPORT_MAX];

	if (!p->knows ||
	    (p->e->now >= p->tell_until &&
		p->e->now / REPEAT_NS % REPEAT_EVERY != 0))
		return;
	f->has_evidence = 1;
	f->npoison = poison_report(p->poison, p->e->now, found);
	if (f->npoison == 0)
		return;
	f->poison = mem_alloc(f->npoison * sizeof(*f->poison));
	memcpy(f->poison, found, f->npoison * sizeof(*f->poison));
}

void
poison_io_apply(struct poison_io *p, const struct msg_front *f)
{
	uint32_t i;

	p->heard |= f->has_evidence != 0;
	for (i = 0; i < f->npoison; i++)
		if (poison_merge(p->poison, p->e->now, &f->poison[i])) {
			p->tell_until = p->e->now + CHANGED_NS;
			p->has_news = 1;
		}
}

uint32_t
poison_io_blocked(const struct poison_io *p)
{
	return poison_count_blocked(p->poison);
}

uint64_t
poison_io_crashes(const struct poison_io *p)
{
	return p->crashes;
}
