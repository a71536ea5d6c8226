/* Whether this process reaches replicas, and the peers that do instead. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "detour_io_int.h"
#include "forward_int.h"
#include "hash.h"
#include "mem.h"
#include "peers.h"

#define CONNECT_NS (300 * NSEC_PER_MSEC) /* to a peer */
#define IDLE_NS (10 * NSEC_PER_SEC)	 /* connections to peers */
#define IDLE_MAX 16			 /* of them, to one peer */
#define PEERS_NS (200 * NSEC_PER_MSEC)
/* Nothing is heard of any replica, nor acknowledged, for so long. */
#define SILENT_NS (250 * NSEC_PER_MSEC)
/* Attempts are given up once a probe would have shown that it is no cut. */
#define CONFIRM_NS (150 * NSEC_PER_MSEC)
/* A cut of this length shows that orders would be late. */
#define YIELD_NS (1 * NSEC_PER_SEC)
/* After a connection, a silence shows nothing for so long. */
#define CONNECTED_NS (1 * NSEC_PER_SEC)
#define CHECK_NS (100 * NSEC_PER_MSEC)

static void update_peers(struct detour_io *);
static void put_peer(void *, const char *, int);
static void set_reached(struct detour_io *, const char *);
static void set_cut(struct detour_io *, const char *);
static uint32_t count_listed(const struct entry *);
static void log_reach(
    const struct detour_io *, enum log_id, const char *, const char *);
static void look_for_hanging(struct detour_io *);
static void give_up_hanging(struct detour_io *);
static int peer_is_silent(const struct detour_io *, const struct forward *);
static void give_up_silent_peers(struct detour_io *);
static int is_silent(const struct forward *);
static int may_be_given_up(const struct forward *);
static void probe(struct detour_io *);
static void end_probe(struct detour_io *);
static const struct directory_replica *next_probed(struct detour_io *);
static void on_probe_connected(void *);
static int on_probe_head(void *, const struct http_head *);
static int on_probe_body(void *, const char *, size_t);
static void on_probe_end(void *, enum exchange_result);

static const struct exchange_ops probe_ops = {
	.connected = on_probe_connected,
	.head = on_probe_head,
	.body = on_probe_body,
	.end = on_probe_end,
};

static const char *const answer_names[DETOUR__MAX] = {
	[DETOUR_REPLICA] = "replica",
	[DETOUR_REPLICA_CLOSES] = "replica-closes",
	[DETOUR_UNREACHABLE] = "unreachable",
	[DETOUR_NO_PATH] = "no-path",
	[DETOUR_SILENT] = "silent",
	[DETOUR_BROKEN] = "broken",
	[DETOUR_UNKNOWN] = "unknown",
};

const char *
detour_answer_name(enum detour_answer a)
{
	return answer_names[a];
}

enum detour_answer
detour_answer_of(const char *name)
{
	int i;

	for (i = 0; name != NULL && i < DETOUR_UNKNOWN; i++) {
		if (strcmp(answer_names[i], name) == 0)
			return (enum detour_answer)i;
	}
	return DETOUR_UNKNOWN;
}

void
detour_address(const char *bus, char out[ADDR_SIZE])
{
	char ip[ADDR_SIZE];
	uint16_t port;

	out[0] = '\0';
	if (check_parse_addr(bus, ip, sizeof(ip), &port) == 0)
		snprintf(out, ADDR_SIZE, "%.32s:%u", ip, port + 1U);
}

struct detour_io *
detour_io_create(struct entry *e)
{
	struct conn_pool_config links = { CONNECT_NS, IDLE_NS, IDLE_MAX };
	struct detour_io *d;

	d = mem_alloc(sizeof(*d));
	d->e = e;
	d->peers = detours_create();
	d->pool = conn_pool_create(e->loop, &links);
	return d;
}

void
detour_io_destroy(struct detour_io *d)
{
	if (d == NULL)
		return;
	if (d->probe != NULL)
		exchange_cancel(d->probe);
	conn_pool_destroy(d->pool);
	detours_destroy(d->peers);
	free(d);
}

static void
put_peer(void *ctx, const char *bus, int near)
{
	struct detour_io *d = ctx;
	char addr[ADDR_SIZE];

	detour_address(bus, addr);
	if (addr[0] != '\0')
		detours_put(d->peers, addr, near);
}

static void
update_peers(struct detour_io *d)
{
	if (d->e->now < d->peers_at)
		return;
	d->peers_at = d->e->now + PEERS_NS;
	detours_begin_update(d->peers);
	peers_for_each(d->e->peers, put_peer, d);
	detours_end_update(d->peers);
}

static uint32_t
count_listed(const struct entry *e)
{
	const struct directory_replica *m;
	uint32_t n = 0;

	for (m = e->dir.replicas; m != NULL; m = m->hh.next)
		n += m->presence == PRESENCE_LISTED;
	return n;
}

static void
log_reach(const struct detour_io *d, enum log_id id, const char *replica,
    const char *why)
{
	const struct reach *r = &d->reach;
	struct log_subject about = { 0 };
	uint64_t now = d->e->now;

	about.backend = replica;
	log_event(id, &about,
	    "why=%s replicas=%u first_ms=%llu connected_ms=%llu heard_ms=%llu "
	    "detours=%llu",
	    why, r->nfailures,
	    (unsigned long long)(r->nfailures == 0
		    ? 0
		    : (now - r->failures[0].at) / NSEC_PER_MSEC),
	    (unsigned long long)((now - r->connected_at) / NSEC_PER_MSEC),
	    (unsigned long long)((now - r->heard_at) / NSEC_PER_MSEC),
	    (unsigned long long)d->attempts);
}

/* Where none is heard, the replicas that are avoided were not at fault. */
static void
set_cut(struct detour_io *d, const char *replica)
{
	struct directory_replica *m;

	d->cuts++;
	log_reach(d, LOG_REPLICAS_UNREACHED, replica, "not-connected");
	for (m = d->e->dir.replicas;
	     m != NULL && detour_io_mode(d->e) == REACH_NONE; m = m->hh.next)
		directory_forget_failures(m);
	detours_reset(d->peers);
	d->peers_at = 0;
	d->check_at = 0;
	d->e->retry_waiting = 1;
}

static void
set_reached(struct detour_io *d, const char *why)
{
	log_reach(d, LOG_REPLICAS_REACHED, "", why);
	detours_reset(d->peers);
	d->e->retry_waiting = 1;
}

void
detour_io_not_connected(struct entry *e, const struct directory_replica *m)
{
	struct detour_io *d = e->detour_io;

	if (reach_failed(
		&d->reach, e->now, hash_text(m->info.id), count_listed(e)))
		set_cut(d, m->info.id);
}

void
detour_io_connected(struct entry *e)
{
	struct detour_io *d = e->detour_io;

	if (reach_connected(&d->reach, e->now))
		set_reached(d, "connected");
}

void
detour_io_heard(struct entry *e)
{
	reach_heard(&e->detour_io->reach, e->now);
}

void
detour_io_replica_down(struct entry *e, const struct directory_replica *m)
{
	struct detour_io *d = e->detour_io;

	if (reach_replica_down(&d->reach, hash_text(m->info.id)))
		set_reached(d, "replica-down");
}

enum reach_mode
detour_io_mode(const struct entry *e)
{
	return reach_mode(&e->detour_io->reach, e->now);
}

int
detour_io_hears_others(const struct entry *e)
{
	return reach_hears_others(&e->detour_io->reach, e->now);
}

int
detour_io_may_order(const struct entry *e)
{
	return detour_io_mode(e) == REACH_DIRECT;
}

int
detour_io_yields_orders(const struct entry *e)
{
	const struct detour_io *d = e->detour_io;

	return d->reach.cut_since != 0 &&
	    e->now >= d->reach.cut_since + YIELD_NS &&
	    detours_any_worked(d->peers);
}

int
detour_io_is_needed(
    const struct entry *e, const char *addr, const struct exchange_conn *conn)
{
	switch (detour_io_mode(e)) {
	case REACH_DIRECT:
		return 0;
	case REACH_KEPT:
		return !conn_pool_has_idle(e->replicas, addr, conn);
	default:
		return 1;
	}
}

int
detour_io_has_peer(struct entry *e)
{
	struct detour_io *d = e->detour_io;

	update_peers(d);
	return detours_choose(d->peers, e->now, 0.0) != NULL;
}

/*
 * While no replica is heard: whether an attempt's bytes have not reached the
 * replica's system, or a stream that has begun does not go on.
 */
static int
is_silent(const struct forward *f)
{
	if (f->exchange == NULL || f->via[0] != '\0' ||
	    f->e->now < f->sent_at + SILENT_NS)
		return 0;
	return (f->streaming && f->begun_at != 0) ||
	    (exchange_has_sent(f->exchange) &&
		exchange_is_unacked(f->exchange, f->sent_at));
}

/* An attempt that may not be repeated goes on: it may have been received. */
static int
may_be_given_up(const struct forward *f)
{
	return f->exchange != NULL && f->caller != NULL &&
	    f->e->now >= f->sent_at + SILENT_NS &&
	    (f->route.kind == ROUTE_IDEMPOTENT ||
		(f->route.kind == ROUTE_STREAM && f->route.resumable));
}

/* No replica is heard: attempts that may be repeated go through peers. */
static void
give_up_hanging(struct detour_io *d)
{
	struct forward *f, *next;

	for (f = TAILQ_FIRST(&d->e->requests); f != NULL; f = next) {
		next = TAILQ_NEXT(f, entry);
		if (f->via[0] != '\0' || !may_be_given_up(f))
			continue;
		d->hanging++;
		exchange_cancel(f->exchange);
		forward_attempt_ended(f,
		    f->response_started ? ATTEMPT_TRUNCATED
					: ATTEMPT_NO_RESPONSE);
	}
}

/* Whether the peer of an attempt is frozen or lost. */
static int
peer_is_silent(const struct detour_io *d, const struct forward *f)
{
	return !detours_knows(d->peers, f->via) ||
	    (f->e->now >= f->peer_sent_at + SILENT_NS &&
		exchange_is_unacked(f->exchange, f->peer_sent_at));
}

static void
give_up_silent_peers(struct detour_io *d)
{
	struct entry *e = d->e;
	struct forward *f, *next;

	if (e->now < d->check_peers_at || detours_in_progress(d->peers) == 0)
		return;
	d->check_peers_at = e->now + CHECK_NS;
	update_peers(d);
	for (f = TAILQ_FIRST(&e->requests); f != NULL; f = next) {
		next = TAILQ_NEXT(f, entry);
		if (f->via[0] == '\0' || !may_be_given_up(f) ||
		    !peer_is_silent(d, f))
			continue;
		d->hanging++;
		forward_give_up_detour(f);
	}
}

/* While replicas are heard, an attempt without an answer runs or waits. */
static void
look_for_hanging(struct detour_io *d)
{
	struct entry *e = d->e;
	struct forward *f, *next;

	if (e->now < d->check_at || e->now < d->reach.heard_at + SILENT_NS)
		return;
	d->check_at = e->now + CHECK_NS;
	if (detour_io_mode(e) == REACH_NONE) {
		if (e->now >= d->reach.cut_since + CONFIRM_NS)
			give_up_hanging(d);
		return;
	}
	if (e->now < d->reach.connected_at + CONNECTED_NS)
		return;
	for (f = TAILQ_FIRST(&e->requests); f != NULL; f = next) {
		next = TAILQ_NEXT(f, entry);
		if (is_silent(f))
			detour_io_not_connected(e, f->replica);
	}
}

/*
 * Another replica each time, since the one probed may be down; those that have
 * just failed only where there are no others.
 */
static const struct directory_replica *
next_probed(struct detour_io *d)
{
	const struct directory_replica *other = NULL;
	const struct directory_replica *m;
	uint32_t n = count_listed(d->e);
	uint32_t skip;

	if (n == 0)
		return NULL;
	skip = d->probed++ % n;
	for (m = d->e->dir.replicas; m != NULL; m = m->hh.next) {
		if (m->presence != PRESENCE_LISTED ||
		    reach_has_failed(&d->reach, hash_text(m->info.id)))
			continue;
		other = m;
		if (skip-- == 0)
			break;
	}
	return other != NULL ? other : d->e->dir.replicas;
}

static void
probe(struct detour_io *d)
{
	/* Only a new connection shows something. */
	struct exchange_conn conn = { .single_use = 1 };
	const struct directory_replica *m = next_probed(d);

	if (m == NULL)
		return;
	d->probe_connected = 0;
	d->probe =
	    exchange_start(d->e->replicas, m->info.addr, &conn, &probe_ops, d);
}

static void
end_probe(struct detour_io *d)
{
	struct exchange *x = d->probe;

	d->probe = NULL;
	exchange_release(x);
	detour_io_connected(d->e);
}

static void
on_probe_connected(void *ctx)
{
	struct detour_io *d = ctx;

	d->probe_connected = 1;
}

static int
on_probe_head(void *ctx, const struct http_head *h)
{
	(void)ctx;
	(void)h;
	return 1;
}

static int
on_probe_body(void *ctx, const char *p, size_t len)
{
	(void)ctx;
	(void)p;
	(void)len;
	return 1;
}

static void
on_probe_end(void *ctx, enum exchange_result end)
{
	struct detour_io *d = ctx;

	(void)end;
	d->probe = NULL;
}

void
detour_io_tick(struct entry *e)
{
	struct detour_io *d = e->detour_io;

	look_for_hanging(d);
	give_up_silent_peers(d);
	if (d->probe != NULL && d->probe_connected)
		end_probe(d);
	else if (d->probe == NULL && reach_probe_due(&d->reach, e->now))
		probe(d);
}

void
detour_io_write_metrics(const struct entry *e, FILE *f)
{
	const struct detour_io *d = e->detour_io;

	metric_write(f, "spindle_entry_replicas_reached", "gauge",
	    "Whether this process can connect to replicas.",
	    detour_io_mode(e) == REACH_DIRECT);
	metric_write(f, "spindle_entry_cuts_total", "counter",
	    "Times that it could not connect to any.", d->cuts);
	metric_write(f, "spindle_entry_detours_total", "counter",
	    "Attempts passed to peers.", d->attempts);
	metric_write(f, "spindle_entry_detours", "gauge",
	    "Attempts that peers are passing on.",
	    detours_in_progress(d->peers));
	metric_write(f, "spindle_entry_detour_peers_failed_total", "counter",
	    "Peers tried in vain.", d->failed_peers);
	metric_write(f, "spindle_entry_hanging_total", "counter",
	    "Attempts given up as the replica acknowledged nothing.",
	    d->hanging);
}
