/* HTTP server for the readiness and metrics endpoints. */
#include <stdlib.h>
#include <string.h>

#include "acceptor.h"
#include "admin.h"
#include "clock.h"
#include "conn.h"
#include "detour_io.h"
#include "detour_server.h"
#include "expiry.h"
#include "forward_int.h"
#include "mem.h"
#include "metric.h"
#include "peers.h"
#include "poison_io.h"
#include "quota_io.h"
#include "session.h"
#include "stream_io.h"
#include "loader_io.h"

#define ADMIN_ADDRESSES 2
#define ADMIN_IDLE_NS (30 * NSEC_PER_SEC)
#define METRICS_TARGET "/metrics"

struct client {
	TAILQ_ENTRY(client) entry;
	struct admin *a;
	struct conn *conn;
	struct http_reader *reader;
	struct expiry *expiry; /* of waiting for a request */
	int request_complete;
};

TAILQ_HEAD(client_list, client);

struct admin {
	struct entry *e;
	struct acceptor *acceptors[ADMIN_ADDRESSES];
	struct client_list clients;
};

static void on_accepted(void *, int);
static void on_data(void *, const char *, size_t);
static void on_closed(void *, int);
static int has_input(void *);
static void on_expired(void *);
static void on_head(void *, const struct http_head *);
static void on_body(void *, const char *, size_t);
static void on_end(void *);
static void client_destroy(struct client *);
static void respond(struct client *);
static void write_metrics(struct entry *, FILE *);
static void write_replica_metrics(struct entry *, FILE *);
static void write_config_metrics(struct entry *, FILE *);
static void write_list_metrics(struct entry *, FILE *);
static void write_attempt_metrics(struct entry *, FILE *);
static void write_stream_metrics(const struct entry *, FILE *);
static void write_connection_metrics(const struct entry *, FILE *);
static void write_peer_metrics(const struct entry *, FILE *);

static const struct acceptor_ops admin_ops = {
	.accepted = on_accepted,
};

static const struct conn_ops client_conn_ops = {
	.data = on_data,
	.closed = on_closed,
};

static const struct expiry_ops client_expiry_ops = {
	.has_input = has_input,
	.expired = on_expired,
};

static const struct http_reader_ops client_reader_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

struct admin *
admin_create(struct entry *e, struct err *err)
{
	const char *addrs[ADMIN_ADDRESSES] = { e->boot.readiness,
		e->boot.metrics };
	struct admin *a;
	int i;

	a = mem_alloc(sizeof(*a));
	a->e = e;
	TAILQ_INIT(&a->clients);
	for (i = 0; i < ADMIN_ADDRESSES; i++) {
		a->acceptors[i] =
		    acceptor_create(e->loop, addrs[i], &admin_ops, a, err);
		if (a->acceptors[i] == NULL) {
			admin_destroy(a);
			return NULL;
		}
	}
	return a;
}

void
admin_destroy(struct admin *a)
{
	int i;

	if (a == NULL)
		return;
	for (i = 0; i < ADMIN_ADDRESSES; i++)
		acceptor_destroy(a->acceptors[i]);
	while (!TAILQ_EMPTY(&a->clients))
		client_destroy(TAILQ_FIRST(&a->clients));
	free(a);
}

static void
on_accepted(void *ctx, int fd)
{
	struct admin *a = ctx;
	struct client *c;

	c = mem_alloc(sizeof(*c));
	c->a = a;
	c->reader =
	    http_reader_create(HTTP_READ_REQUESTS, &client_reader_ops, c);
	c->expiry = expiry_create(a->e->loop, &client_expiry_ops, c);
	expiry_set(c->expiry, clock_mono() + ADMIN_IDLE_NS);
	TAILQ_INSERT_TAIL(&a->clients, c, entry);
	c->conn = conn_accept(a->e->loop, fd, &client_conn_ops, c);
}

static void
client_destroy(struct client *c)
{
	expiry_destroy(c->expiry);
	TAILQ_REMOVE(&c->a->clients, c, entry);
	conn_destroy(c->conn);
	http_reader_destroy(c->reader);
	free(c);
}

static int
has_input(void *ctx)
{
	const struct client *c = ctx;

	return conn_has_input(c->conn);
}

static void
on_expired(void *ctx)
{
	client_destroy(ctx);
}

static void
on_closed(void *ctx, int error)
{
	(void)error;
	client_destroy(ctx);
}

static void
on_head(void *ctx, const struct http_head *h)
{
	(void)ctx;
	(void)h;
}

static void
on_body(void *ctx, const char *p, size_t len)
{
	(void)ctx;
	(void)p;
	(void)len;
}

static void
on_end(void *ctx)
{
	struct client *c = ctx;

	c->request_complete = 1;
}

static void
on_data(void *ctx, const char *p, size_t len)
{
	struct client *c = ctx;
	long n;

	entry_update_now(c->a->e);
	while (len != 0) {
		n = http_reader_feed(c->reader, p, len);
		if (n < 0) {
			client_destroy(c);
			return;
		}
		p += n;
		len -= (size_t)n;
		if (!c->request_complete)
			continue;
		c->request_complete = 0;
		respond(c);
		http_reader_reset(c->reader);
	}
	expiry_set(c->expiry, c->a->e->now + ADMIN_IDLE_NS);
}

static void
respond(struct client *c)
{
	const char *target = http_request_target(http_reader_head(c->reader));
	struct buf out = { 0 };
	char *text = NULL;
	size_t len = 0;
	FILE *f;

	if (strcmp(target, READINESS_TARGET) == 0) {
		fields_write_local_response(&out,
		    entry_is_ready(c->a->e) ? 200 : 503, NULL, 0,
		    entry_is_ready(c->a->e) ? "ready" : "not ready", 1);
	} else if (strcmp(target, METRICS_TARGET) == 0) {
		f = open_memstream(&text, &len);
		write_metrics(c->a->e, f);
		fclose(f);
		fields_write_local_response(&out, 200, NULL, 0, text, 1);
		free(text);
	} else {
		fields_write_local_response(
		    &out, 404, NULL, 0, "no such address", 1);
	}
	conn_write(c->conn, buf_data(&out), buf_len(&out));
	buf_free(&out);
}

static void
write_attempt_metrics(struct entry *e, FILE *f)
{
	int i;

	fprintf(f,
	    "# HELP spindle_entry_attempts_total Attempts by end.\n"
	    "# TYPE spindle_entry_attempts_total counter\n");
	for (i = 0; i < ATTEMPT__MAX; i++)
		fprintf(f, "spindle_entry_attempts_total{end=\"%s\"} %llu\n",
		    attempt_outcome_name((enum attempt_outcome)i),
		    (unsigned long long)e->counts.attempt_ends[i]);
}

static void
write_replica_metrics(struct entry *e, FILE *f)
{
	uint64_t ready = 0, leaving = 0, avoided = 0, closed = 0, limited = 0;
	const struct directory_replica *m;

	for (m = e->dir.replicas; m != NULL; m = m->hh.next) {
		leaving += directory_is_leaving(m);
		closed += m->presence != PRESENCE_REMOVED &&
		    directory_closed_until(m, e->now) != 0;
		limited += m->presence != PRESENCE_REMOVED &&
		    directory_limit(m) != 0.0;
		ready += directory_usable(m, e->now);
		avoided +=
		    m->info.state == REPLICA_READY && e->now < m->avoid_until;
	}
	metric_write(f, "spindle_entry_replicas_ready", "gauge",
	    "Replicas that take new work.", ready);
	metric_write(f, "spindle_entry_replicas_leaving", "gauge",
	    "Replicas that finish their work.", leaving);
	metric_write(f, "spindle_entry_replicas_avoided", "gauge",
	    "Replicas avoided after failures to reach them.", avoided);
	metric_write(f, "spindle_entry_replicas_closed", "gauge",
	    "Replicas that say that they take no requests now.", closed);
	metric_write(f, "spindle_entry_leaving_notices_total", "counter",
	    "Replicas that said in an answer that they leave.",
	    e->counts.leaving_notices);
	metric_write(f, "spindle_entry_closed_notices_total", "counter",
	    "Answers by which a replica takes no requests for a time.",
	    e->counts.closed_notices);
	metric_write(f, "spindle_entry_replicas_limited", "gauge",
	    "Replicas that limit the requests that they get in a second.",
	    limited);
	metric_write(f, "spindle_entry_limit_notices_total", "counter",
	    "Limits on requests that replicas named, changed or ended.",
	    e->counts.limit_notices);
	metric_write(f, "spindle_entry_limited_attempts_total", "counter",
	    "Attempts at replicas with a limit.", e->counts.limited);
	metric_write(f, "spindle_entry_permit_requests_total", "counter",
	    "Requests to pools for a permit, repeats included.",
	    e->counts.permit_requests);
	metric_write(f, "spindle_entry_permits_total", "counter",
	    "Permits for requests to replicas with a limit.",
	    e->counts.permits);
	metric_write(f, "spindle_entry_follows_list", "gauge",
	    "Whether this process follows the list of replicas for others.",
	    (uint64_t)peers_is_active_hub(e->peers));
}

static void
write_request_metrics(const struct entry *e, FILE *f)
{
	metric_write(f, "spindle_entry_requests_total", "counter",
	    "Requests that came in.", e->counts.arrived);
	metric_write(f, "spindle_entry_answered_total", "counter",
	    "Requests answered with a replica's answer.", e->counts.answered);
	metric_write(f, "spindle_entry_refused_total", "counter",
	    "Requests refused as not run.", e->counts.refused);
	metric_write(f, "spindle_entry_blocked_total", "counter",
	    "Requests refused since they would crash a replica.",
	    e->counts.blocked);
	metric_write(f, "spindle_entry_blocked_parts", "gauge",
	    "Parts of prompts that are blocked.",
	    poison_io_blocked(e->poison_io));
	metric_write(f, "spindle_entry_crashes_total", "counter",
	    "Replicas found crashed as an answer began.",
	    poison_io_crashes(e->poison_io));
	metric_write(f, "spindle_entry_unknown_total", "counter",
	    "Requests whose outcome is unknown.", e->counts.unknown_outcome);
	metric_write(f, "spindle_entry_cut_total", "counter",
	    "Answers broken off.", e->counts.truncated);
	metric_write(f, "spindle_entry_left_total", "counter",
	    "Callers that left first.", e->counts.caller_gone);
	metric_write(f, "spindle_entry_idle_closed_total", "counter",
	    "Callers' connections closed for being idle.",
	    e->counts.idle_closed);
	metric_write(f, "spindle_entry_unread_closed_total", "counter",
	    "Callers' connections closed although input had arrived.",
	    e->counts.unread_closed);
}

static void
write_config_metrics(struct entry *e, FILE *f)
{
	uint64_t age = 0;

	if (e->conf != NULL)
		age = (e->now - e->conf_at) / NSEC_PER_SEC;
	metric_write(f, "spindle_entry_config_version", "gauge",
	    "Version of the configuration in force.",
	    e->conf == NULL ? 0 : e->conf->version);
	metric_write(f, "spindle_entry_config_newest_version", "gauge",
	    "Newest version that this process or a peer has.",
	    peers_newest_config(e->peers));
	metric_write(f, "spindle_entry_config_age_seconds", "gauge",
	    "Time since the configuration was put in force here.", age);
	fprintf(f,
	    "# HELP spindle_entry_config_source Where it came from.\n"
	    "# TYPE spindle_entry_config_source gauge\n"
	    "spindle_entry_config_source{from=\"%s\"} 1\n",
	    e->conf == NULL ? "" : e->conf_source);
}

static void
write_list_metrics(struct entry *e, FILE *f)
{
	uint64_t age = 0;

	if (e->list_at != 0)
		age = (e->now - e->list_at) / NSEC_PER_SEC;
	metric_write(f, "spindle_entry_list_revision", "gauge",
	    "Revision of the list of replicas.",
	    revision_number(e->dir.revision));
	metric_write(f, "spindle_entry_list_age_seconds", "gauge",
	    "Time since the list was last read or changed here.", age);
	fprintf(f,
	    "# HELP spindle_entry_list_source Who told it.\n"
	    "# TYPE spindle_entry_list_source gauge\n"
	    "spindle_entry_list_source{from=\"%s\"} 1\n",
	    e->list_source);
}

static void
write_stream_metrics(const struct entry *e, FILE *f)
{
	int i;

	fprintf(f,
	    "# HELP spindle_entry_take_ups_total Streams that callers took up "
	    "again, by what told the version that began them.\n"
	    "# TYPE spindle_entry_take_ups_total counter\n");
	for (i = 0; i < ORIGIN__MAX; i++)
		fprintf(f, "spindle_entry_take_ups_total{from=\"%s\"} %llu\n",
		    stream_io_source_name((enum origin_source)i),
		    (unsigned long long)e->counts.take_ups[i]);
	metric_write(f, "spindle_entry_unrecorded_streams_total", "counter",
	    "Records of streams that may not have been written.",
	    e->counts.unrecorded_streams);
}

static void
write_connection_metrics(const struct entry *e, FILE *f)
{
	metric_write(f, "spindle_entry_connections_total", "counter",
	    "Connections opened to replicas.",
	    conn_pool_opened_count(e->replicas) +
		conn_pool_opened_count(e->engines));
	metric_write(f, "spindle_entry_malformed_answers_total", "counter",
	    "Connections to replicas closed for bytes that are no answer.",
	    conn_pool_malformed_count(e->replicas) +
		conn_pool_malformed_count(e->engines));
	metric_write(f, "spindle_entry_late_answers_total", "counter",
	    "Answers of replicas that belong to an earlier request.",
	    conn_pool_skipped_count(e->replicas));
}

static void
write_peer_metrics(const struct entry *e, FILE *f)
{
	metric_write(f, "spindle_entry_peers", "gauge", "Known peers.",
	    peers_count(e->peers));
	metric_write(f, "spindle_entry_messages_dropped_total", "counter",
	    "Messages to or of peers that were dropped or malformed.",
	    peers_dropped_count(e->peers));
	metric_write(f, "spindle_entry_bad_texts_total", "counter",
	    "Lists of replicas of peers that could not be read.",
	    e->counts.bad_texts);
	metric_write(f, "spindle_entry_unsent_texts_total", "counter",
	    "Texts for peers that were too large for a message.",
	    e->counts.unsent_texts);
	metric_write(f, "spindle_entry_unanswered_pulls_total", "counter",
	    "Peers' requests for texts that were left out.",
	    e->counts.unanswered_pulls);
	metric_write(f, "spindle_entry_lost_list_parts_total", "counter",
	    "Parts of peers' lists that did not follow the one before.",
	    e->counts.lost_parts);
	metric_write(f, "spindle_entry_list_differs_total", "counter",
	    "Texts of peers after which the lists of replicas differed.",
	    e->counts.list_differs);
	metric_write(f, "spindle_entry_list_differs_seconds", "gauge",
	    "Time for which the list of replicas has differed from a hub's.",
	    peers_list_differs_ns(e->peers) / NSEC_PER_SEC);
	metric_write(f, "spindle_entry_bad_answers_total", "counter",
	    "Answers of the key-value service that cannot be used.",
	    e->counts.bad_answers);
	metric_write(f, "spindle_entry_bad_entries_total", "counter",
	    "Entries of the list of replicas that cannot be used.",
	    e->counts.bad_entries);
	metric_write(f, "spindle_entry_names_left_out_total", "counter",
	    "Models and adapters that replicas name beyond those kept.",
	    e->counts.unnamed);
}

static void
write_metrics(struct entry *e, FILE *f)
{
	struct loader_stats t;

	loader_io_totals(e, &t);
	write_request_metrics(e, f);
	write_attempt_metrics(e, f);
	callers_write_held(e, f);
	quota_io_write_metrics(e->quota_io, f);
	detour_io_write_metrics(e, f);
	detour_server_write_metrics(e->detour_server, f);
	metric_write(f, "spindle_entry_waiting", "gauge",
	    "Requests that wait for a replica.", e->waiting.nitems);
	write_config_metrics(e, f);
	write_list_metrics(e, f);
	metric_write(f, "spindle_entry_store_up", "gauge",
	    "Whether the key-value service answers.",
	    (uint64_t)session_is_up(e->session));
	metric_write(f, "spindle_entry_store_calls_total", "counter",
	    "Calls to the key-value service.", session_calls(e->session));
	write_peer_metrics(e, f);
	write_stream_metrics(e, f);
	write_connection_metrics(e, f);
	metric_write(f, "spindle_entry_holds_orders", "gauge",
	    "Whether this process orders engines.", (uint64_t)t.is_leader);
	metric_write(f, "spindle_entry_fence", "gauge",
	    "Fencing number of its latest right to order.", t.fence);
	metric_write(f, "spindle_entry_loads_total", "counter",
	    "Model loads ordered.", t.loads);
	metric_write(f, "spindle_entry_adapter_loads_total", "counter",
	    "Adapter loads ordered.", t.adapter_loads);
	metric_write_histogram(f, &e->times.wait);
	metric_write_histogram(f, &e->times.first_event);
	metric_write_histogram(f, &e->times.max_gap);
	metric_write_histogram(f, &e->times.total);
	metric_write_histogram(f, &e->times.loop_delay);
	write_replica_metrics(e, f);
	metric_write_process(f);
}
