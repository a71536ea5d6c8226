#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "mem.h"

#define LOG_RING_EVENTS 2048
#define LOG_BATCH_LINES 64     /* lines per write */
#define LOG_RATE_MAX_PER_S 200 /* lines per event and second */
#define LOG_DETAIL_SIZE 256
#define LOG_CALL_SIZE 48
#define LOG_JSON_EVENTS_MAX 4096 /* events per response */

struct log_entry {
	uint64_t seq;
	uint64_t mono;
	uint64_t wall;
	enum log_id id;
	int ring_only; /* not on standard output */
	uint64_t request;
	uint64_t ticket;
	uint64_t order;
	char model[NAME_SIZE];
	char backend[NAME_SIZE];
	char call[LOG_CALL_SIZE];
	char detail[LOG_DETAIL_SIZE];
};

struct log_state {
	pthread_mutex_t lock;
	char process[NAME_SIZE];
	uint64_t incarnation;
	enum log_level level;
	uint64_t next;
	uint64_t written; /* next entry to write to standard output */
	int running;
	int stop;
	pthread_t writer;
	pthread_cond_t filled;
	uint64_t rate_second[LOG__MAX]; /* second that rate_count applies to */
	uint32_t rate_count[LOG__MAX];
	struct log_entry ring[LOG_RING_EVENTS];
};

static int log_within_rate(enum log_id, uint64_t, uint32_t *);
static void log_append(struct log_entry *);
static void *log_run(void *);
static size_t log_next_batch(struct log_entry *, size_t, uint64_t *);
static void log_write(const struct log_entry *, size_t, uint64_t);
static json_t *log_entry_json(const struct log_entry *);

static struct log_state log_state = {
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.filled = PTHREAD_COND_INITIALIZER,
	.process = "unnamed",
	.level = LOGLEVEL_NOTICE,
};

static const struct log_event_def log_event_defs[LOG__MAX] = {
	[LOG_STARTED] = { 1000, LOGLEVEL_NOTICE, "started",
	    "the process has started" },
	[LOG_STOPPING] = { 1001, LOGLEVEL_NOTICE, "stopping",
	    "shutting down; work in progress is finished first" },
	[LOG_STOPPED] = { 1002, LOGLEVEL_NOTICE, "stopped",
	    "the process has stopped" },
	[LOG_SETTINGS_BAD] = { 1003, LOGLEVEL_ERROR, "settings-bad",
	    "the settings file is invalid; correct the named key" },
	[LOG_LISTEN_FAILED] = { 1004, LOGLEVEL_ERROR, "listen-failed",
	    "cannot listen on an address; free it or configure another" },
	[LOG_RELOADED] = { 1005, LOGLEVEL_NOTICE, "reloaded",
	    "the settings file was read again" },
	[LOG_LEFT_OUT] = { 1006, LOGLEVEL_NOTICE, "left-out",
	    "log lines of an event were dropped by the rate limit" },
	[LOG_STOP_ENDED] = { 1007, LOGLEVEL_NOTICE, "stop-ended",
	    "nothing is in progress any more, or the time of the stop is "
	    "over" },
	[LOG_BUS_BAD] = { 1100, LOGLEVEL_WARNING, "bus-bad",
	    "a bus message could not be decoded and is dropped" },
	[LOG_BUS_DROPPED] = { 1101, LOGLEVEL_INFO, "bus-dropped",
	    "a bus message was dropped because the send queue is full" },
	[LOG_HTTP_UNREAD] = { 1103, LOGLEVEL_WARNING, "http-unread",
	    "a connection was closed although input had arrived" },
	[LOG_HTTP_BAD] = { 1102, LOGLEVEL_INFO, "http-bad",
	    "a malformed or oversized HTTP request was rejected" },
	[LOG_REQUEST_ARRIVED] = { 1200, LOGLEVEL_DEBUG, "request-arrived",
	    "a caller's request was accepted" },
	[LOG_REQUEST_STARTED] = { 1201, LOGLEVEL_INFO, "request-started",
	    "an attempt was sent to a backend server" },
	[LOG_REQUEST_RETRIED] = { 1202, LOGLEVEL_INFO, "request-retried",
	    "an attempt failed and is retried" },
	[LOG_REQUEST_ANSWERED] = { 1203, LOGLEVEL_DEBUG, "request-answered",
	    "the response was sent to the caller in full" },
	[LOG_REQUEST_CANCELLED] = { 1204, LOGLEVEL_DEBUG, "request-cancelled",
	    "the caller closed its connection" },
	[LOG_REQUEST_FAILED] = { 1205, LOGLEVEL_INFO, "request-failed",
	    "the request failed; the caller got no complete response" },
	[LOG_REQUEST_SHED] = { 1206, LOGLEVEL_WARNING, "request-shed",
	    "a queue is full; the request was rejected and not run" },
	[LOG_REQUEST_ATTEMPT] = { 1207, LOGLEVEL_INFO, "request-attempt",
	    "an attempt on a replica has ended" },
	[LOG_REQUEST_REFUSED] = { 1208, LOGLEVEL_INFO, "request-refused",
	    "the request was rejected without being run" },
	[LOG_REQUEST_WAITS] = { 1209, LOGLEVEL_INFO, "request-waits",
	    "no replica has capacity for the request; it is queued" },
	[LOG_REQUEST_BLOCKED] = { 1210, LOGLEVEL_INFO, "request-blocked",
	    "the request crashes replicas, or a part of it does; it was "
	    "rejected" },
	[LOG_REQUEST_WITHDRAWN] = { 1211, LOGLEVEL_INFO, "request-withdrawn",
	    "a request that may crash its replica was taken back from it" },
	[LOG_REQUEST_LEFT] = { 1212, LOGLEVEL_INFO, "request-left",
	    "the connection of a caller ended; its request, which may not be "
	    "repeated, goes on" },
	[LOG_REQUEST_SUSPECT] = { 1213, LOGLEVEL_INFO, "request-suspect",
	    "a replica crashed while it ran these requests" },
	[LOG_ACCOUNT_LIMITED] = { 1214, LOGLEVEL_NOTICE, "account-limited",
	    "a client account's quota is used; its requests are rejected" },
	[LOG_CALLER_DROPPED] = { 1215, LOGLEVEL_NOTICE, "caller-dropped",
	    "a caller's connection was closed to make room for others" },
	[LOG_GRANT_SENT] = { 1300, LOGLEVEL_DEBUG, "grant-sent",
	    "a slot on a replica was granted" },
	[LOG_GRANT_RELEASED] = { 1301, LOGLEVEL_DEBUG, "grant-released",
	    "a slot on a replica was released" },
	[LOG_WORK_REFUSED] = { 1302, LOGLEVEL_DEBUG, "work-refused",
	    "a request will not be run; the gate was notified" },
	[LOG_KV_DOWN] = { 1400, LOGLEVEL_WARNING, "kv-down",
	    "the key-value service does not respond; placement changes are "
	    "suspended" },
	[LOG_KV_UP] = { 1401, LOGLEVEL_NOTICE, "kv-up",
	    "the key-value service responds again" },
	[LOG_KV_BAD] = { 1402, LOGLEVEL_ERROR, "kv-bad",
	    "the key-value service returned malformed data" },
	[LOG_KV_RESTORED] = { 1405, LOGLEVEL_WARNING, "kv-restored",
	    "the key-value service went on from an older copy" },
	[LOG_LIST_READ] = { 1403, LOGLEVEL_INFO, "list-read",
	    "a list was read in full from the key-value service" },
	[LOG_WATCH_LOST] = { 1404, LOGLEVEL_INFO, "watch-lost",
	    "a watch on a list ended and is restarted" },
	[LOG_TICKET_RECEIVED] = { 1500, LOGLEVEL_NOTICE, "ticket-received",
	    "a ticket was received from an operator" },
	[LOG_TICKET_ACCEPTED] = { 1501, LOGLEVEL_NOTICE, "ticket-accepted",
	    "the ticket is stored here and on a peer" },
	[LOG_TICKET_REFUSED] = { 1502, LOGLEVEL_NOTICE, "ticket-refused",
	    "the ticket was rejected; no part of it is applied" },
	[LOG_CONF_IN_FORCE] = { 1503, LOGLEVEL_NOTICE, "conf-in-force",
	    "a configuration revision was applied on this VM" },
	[LOG_CONF_BAD] = { 1504, LOGLEVEL_ERROR, "conf-bad",
	    "a configuration cannot be decoded; the previous one stays in "
	    "use" },
	[LOG_CONF_BEHIND] = { 1505, LOGLEVEL_INFO, "conf-behind",
	    "a peer has a newer configuration, which is asked for" },
	[LOG_MEMBER_ALIVE] = { 1600, LOGLEVEL_NOTICE, "member-alive",
	    "a peer is alive" },
	[LOG_MEMBER_SUSPECT] = { 1601, LOGLEVEL_INFO, "member-suspect",
	    "a peer does not respond and is suspected to have failed" },
	[LOG_MEMBER_DEAD] = { 1602, LOGLEVEL_NOTICE, "member-dead",
	    "a peer was declared dead" },
	[LOG_MEMBER_LEAVING] = { 1603, LOGLEVEL_NOTICE, "member-leaving",
	    "a peer is leaving" },
	[LOG_REPLICA_LISTED] = { 1610, LOGLEVEL_INFO, "replica-listed",
	    "a replica was added to the platform's list or changed in it" },
	[LOG_REPLICA_LEAVING] = { 1611, LOGLEVEL_INFO, "replica-leaving",
	    "a replica is draining and gets no new work" },
	[LOG_REPLICA_GONE] = { 1612, LOGLEVEL_INFO, "replica-gone",
	    "a replica was removed from the platform's list" },
	[LOG_REPLICA_BAD] = { 1613, LOGLEVEL_INFO, "replica-bad",
	    "a malformed entry of the platform's list was ignored" },
	[LOG_NAMES_LEFT_OUT] = { 1637, LOGLEVEL_WARNING, "names-left-out",
	    "a replica names more models or adapters than are kept" },
	[LOG_REPLICA_AVOIDED] = { 1614, LOGLEVEL_INFO, "replica-avoided",
	    "a replica could not be reached and is temporarily avoided" },
	[LOG_PEER_HEARD] = { 1615, LOGLEVEL_INFO, "peer-heard",
	    "messages from a peer arrive for the first time or again" },
	[LOG_PEER_SILENT] = { 1616, LOGLEVEL_INFO, "peer-silent",
	    "no messages arrive from a peer any more" },
	[LOG_HUB] = { 1617, LOGLEVEL_INFO, "hub",
	    "a process started or stopped following the lists for others" },
	[LOG_RELAY] = { 1618, LOGLEVEL_INFO, "relay",
	    "a process started or stopped relaying for its data centre" },
	[LOG_REPLICAS_UNREACHED] = { 1633, LOGLEVEL_NOTICE,
	    "replicas-unreached",
	    "this process can connect to no replica; attempts go through "
	    "peers" },
	[LOG_REPLICAS_REACHED] = { 1634, LOGLEVEL_NOTICE, "replicas-reached",
	    "this process can connect to replicas again" },
	[LOG_DETOUR_STARTED] = { 1635, LOGLEVEL_INFO, "detour-started",
	    "an attempt was sent to a peer that reaches replicas" },
	[LOG_DETOUR_SERVED] = { 1636, LOGLEVEL_INFO, "detour-served",
	    "an attempt of a peer was sent to a replica" },
	[LOG_POISON_SUSPECT] = { 1619, LOGLEVEL_INFO, "poison-suspect",
	    "a replica crashed as answers on these parts began" },
	[LOG_POISON_BLOCKED] = { 1620, LOGLEVEL_WARNING, "poison-blocked",
	    "requests that crash replicas are rejected, by a part or as a "
	    "whole" },
	[LOG_POISON_CLEARED] = { 1621, LOGLEVEL_NOTICE, "poison-cleared",
	    "requests are no longer blocked: answered, explained, or expired" },
	[LOG_REPLICA_SAYS_LEAVING] = { 1622, LOGLEVEL_INFO,
	    "replica-says-leaving",
	    "a replica says in an answer that it leaves; it gets no new work" },
	[LOG_REPLICA_REFUSING] = { 1623, LOGLEVEL_INFO, "replica-refusing",
	    "a replica says that it takes no requests for a time" },
	[LOG_REPLICA_REOPENED] = { 1624, LOGLEVEL_INFO, "replica-reopened",
	    "the time for which a replica takes no requests has ended" },
	[LOG_REPLICA_NOTICE_BAD] = { 1625, LOGLEVEL_INFO, "replica-notice-bad",
	    "a malformed notice in a replica's answer was ignored" },
	[LOG_REPLICA_LIMIT] = { 1626, LOGLEVEL_INFO, "replica-limit",
	    "a replica named another limit on its requests, or none" },
	[LOG_LIST_TEXT_BAD] = { 1627, LOGLEVEL_WARNING, "list-text-bad",
	    "a peer's list of replicas could not be read; the key-value "
	    "service is read instead" },
	[LOG_TEXT_UNSENT] = { 1628, LOGLEVEL_WARNING, "text-unsent",
	    "a text for peers is too large for a message and was not sent" },
	[LOG_PEER_UNREAD] = { 1629, LOGLEVEL_WARNING, "peer-unread",
	    "a message of a peer was dropped because the receive queue is "
	    "full" },
	[LOG_PULL_UNANSWERED] = { 1630, LOGLEVEL_INFO, "pull-unanswered",
	    "a peer's request for a list or configuration was left out, as "
	    "many came at once; the peer repeats it" },
	[LOG_LIST_PART_LOST] = { 1631, LOGLEVEL_INFO, "list-part-lost",
	    "a part of a peer's list did not follow the one before; the list "
	    "is asked for again" },
	[LOG_STREAM_TAKEN_UP] = { 1632, LOGLEVEL_INFO, "stream-taken-up",
	    "a caller takes up a stream; where the version of the software "
	    "that began it is known from" },
	[LOG_CELL_TAKEN] = { 1700, LOGLEVEL_NOTICE, "cell-taken",
	    "this process owns the cell" },
	[LOG_CELL_LOST] = { 1701, LOGLEVEL_WARNING, "cell-lost",
	    "this process no longer owns the cell" },
	[LOG_LEDGER_WRITTEN] = { 1800, LOGLEVEL_DEBUG, "ledger-written",
	    "a memory ledger was written" },
	[LOG_LEDGER_CONFLICT] = { 1801, LOGLEVEL_WARNING, "ledger-conflict",
	    "a memory ledger was changed by another owner" },
	[LOG_ORDER_SENT] = { 1802, LOGLEVEL_INFO, "order-sent",
	    "an order was sent to an engine; window: loads "
	    "from the weight store that count, with it" },
	[LOG_ORDER_DONE] = { 1803, LOGLEVEL_INFO, "order-done",
	    "an engine confirmed an order" },
	[LOG_ORDER_FAILED] = { 1804, LOGLEVEL_WARNING, "order-failed",
	    "an engine rejected an order or did not respond" },
	[LOG_ORDER_WITHHELD] = { 1805, LOGLEVEL_INFO, "order-withheld",
	    "an order was not sent because the lease may have expired" },
	[LOG_ENGINE_RESTARTED] = { 1806, LOGLEVEL_NOTICE, "engine-restarted",
	    "an engine restarted with empty memory" },
	[LOG_NOT_READY] = { 1900, LOGLEVEL_WARNING, "not-ready",
	    "the current configuration is unknown; the load balancer should "
	    "use another VM" },
	[LOG_READY] = { 1901, LOGLEVEL_NOTICE, "ready",
	    "the process is ready to serve requests" },
};

void
log_open(const char *process, uint64_t incarnation, enum log_level level)
{
	pthread_mutex_lock(&log_state.lock);
	snprintf(log_state.process, sizeof(log_state.process), "%s", process);
	log_state.incarnation = incarnation;
	log_state.level = level;
	if (!log_state.running)
		log_state.running =
		    pthread_create(&log_state.writer, NULL, log_run, NULL) == 0;
	pthread_mutex_unlock(&log_state.lock);
}

void
log_close(void)
{
	pthread_mutex_lock(&log_state.lock);
	log_state.stop = 1;
	pthread_cond_signal(&log_state.filled);
	pthread_mutex_unlock(&log_state.lock);
	if (log_state.running)
		pthread_join(log_state.writer, NULL);
	log_state.running = 0;
}

const struct log_event_def *
log_event_lookup(enum log_id id)
{
	return &log_event_defs[id];
}

void
log_event(enum log_id id, const struct log_subject *about, const char *fmt, ...)
{
	struct log_entry e;
	uint32_t dropped = 0;
	va_list ap;

	memset(&e, 0, sizeof(e));
	e.id = id;
	e.mono = clock_mono();
	e.wall = clock_wall();
	if (about != NULL) {
		e.request = about->request;
		e.ticket = about->ticket;
		e.order = about->order;
		snprintf(e.call, sizeof(e.call), "%s",
		    about->call == NULL ? "" : about->call);
		snprintf(e.model, sizeof(e.model), "%s",
		    about->model == NULL ? "" : about->model);
		snprintf(e.backend, sizeof(e.backend), "%s",
		    about->backend == NULL ? "" : about->backend);
	}
	va_start(ap, fmt);
	vsnprintf(e.detail, sizeof(e.detail), fmt, ap);
	va_end(ap);
	pthread_mutex_lock(&log_state.lock);
	e.ring_only = log_event_defs[id].level > log_state.level ||
	    !log_within_rate(id, e.mono / NSEC_PER_SEC, &dropped);
	log_append(&e);
	pthread_mutex_unlock(&log_state.lock);
	if (dropped != 0)
		log_event(LOG_LEFT_OUT, NULL, "event=%s lines=%u",
		    log_event_defs[id].name, dropped);
}

/* Called with the lock held. */
static void
log_append(struct log_entry *e)
{
	e->seq = log_state.next++;
	log_state.ring[e->seq % LOG_RING_EVENTS] = *e;
	if (log_state.running && !e->ring_only)
		pthread_cond_signal(&log_state.filled);
}

/*
 * Whether a line of this event is within the rate limit.  In a new second,
 * stores the number of lines dropped in the last one.  Called with the lock
 * held.
 */
static int
log_within_rate(enum log_id id, uint64_t second, uint32_t *dropped)
{
	if (log_state.rate_second[id] != second) {
		if (log_state.rate_count[id] > LOG_RATE_MAX_PER_S)
			*dropped =
			    log_state.rate_count[id] - LOG_RATE_MAX_PER_S;
		log_state.rate_second[id] = second;
		log_state.rate_count[id] = 0;
	}
	return ++log_state.rate_count[id] <= LOG_RATE_MAX_PER_S;
}

/* Waits for entries and copies those for standard output; may return 0. */
static size_t
log_next_batch(struct log_entry *out, size_t max, uint64_t *lost)
{
	const struct log_entry *e;
	size_t n = 0;

	pthread_mutex_lock(&log_state.lock);
	while (log_state.written == log_state.next && !log_state.stop)
		pthread_cond_wait(&log_state.filled, &log_state.lock);
	*lost = 0;
	if (log_state.next - log_state.written > LOG_RING_EVENTS) {
		*lost = log_state.next - log_state.written - LOG_RING_EVENTS;
		log_state.written += *lost;
	}
	while (n < max && log_state.written < log_state.next) {
		e = &log_state.ring[log_state.written++ % LOG_RING_EVENTS];
		if (!e->ring_only)
			out[n++] = *e;
	}
	pthread_mutex_unlock(&log_state.lock);
	return n;
}

static void
log_write(const struct log_entry *entries, size_t n, uint64_t lost)
{
	json_t *obj;
	char *line;
	size_t i;

	if (lost != 0)
		printf("{\"process\":\"%s\",\"event\":\"overwritten\","
		       "\"lines\":%llu}\n",
		    log_state.process, (unsigned long long)lost);
	for (i = 0; i < n; i++) {
		obj = log_entry_json(&entries[i]);
		json_object_set_new(
		    obj, "process", json_string(log_state.process));
		line = json_dumps(obj, JSON_COMPACT);
		if (line != NULL)
			puts(line);
		free(line);
		json_decref(obj);
	}
	fflush(stdout);
}

static void *
log_run(void *arg)
{
	struct log_entry *batch;
	uint64_t lost;
	size_t n;
	int stop;

	(void)arg;
	batch = mem_alloc(LOG_BATCH_LINES * sizeof(*batch));
	do {
		n = log_next_batch(batch, LOG_BATCH_LINES, &lost);
		log_write(batch, n, lost);
		pthread_mutex_lock(&log_state.lock);
		stop = log_state.stop && log_state.written == log_state.next;
		pthread_mutex_unlock(&log_state.lock);
	} while (!stop);
	free(batch);
	return NULL;
}

/* Members that do not apply are omitted. */
static json_t *
log_entry_json(const struct log_entry *e)
{
	const struct log_event_def *info = &log_event_defs[e->id];
	char request[LOG_CALL_SIZE];
	json_t *doc;

	snprintf(request, sizeof(request), "%016llx",
	    (unsigned long long)e->request);
	if (e->request == 0)
		memcpy(request, e->call, sizeof(request));
	doc = json_pack("{s:I,s:I,s:I,s:i,s:i,s:s,s:s}", "seq",
	    (json_int_t)e->seq, "mono", (json_int_t)e->mono, "wall",
	    (json_int_t)e->wall, "level", (int)info->level, "number",
	    (int)info->number, "event", info->name, "detail", e->detail);
	if (request[0] != '\0')
		json_object_set_new(doc, "request", json_string(request));
	if (e->ticket != 0)
		json_object_set_new(
		    doc, "ticket", json_integer((json_int_t)e->ticket));
	if (e->order != 0)
		json_object_set_new(
		    doc, "order", json_integer((json_int_t)e->order));
	if (e->model[0] != '\0')
		json_object_set_new(doc, "model", json_string(e->model));
	if (e->backend[0] != '\0')
		json_object_set_new(doc, "backend", json_string(e->backend));
	return doc;
}

char *
log_events_json(uint64_t since, size_t *len)
{
	struct log_entry *copy;
	json_t *head;
	json_t *obj;
	char *line;
	char *text = NULL;
	FILE *f;
	uint64_t first;
	uint64_t n;
	uint64_t i;

	copy = mem_alloc(LOG_JSON_EVENTS_MAX * sizeof(*copy));
	pthread_mutex_lock(&log_state.lock);
	first = log_state.next > LOG_RING_EVENTS
	    ? log_state.next - LOG_RING_EVENTS
	    : 0;
	head = json_pack("{s:s,s:I,s:I,s:I,s:I,s:I}", "process",
	    log_state.process, "incarnation", (json_int_t)log_state.incarnation,
	    "oldest", (json_int_t)first, "next", (json_int_t)log_state.next,
	    "mono", (json_int_t)clock_mono(), "wall", (json_int_t)clock_wall());
	if (since < first)
		since = first;
	for (n = 0; n < LOG_JSON_EVENTS_MAX && since + n < log_state.next; n++)
		copy[n] = log_state.ring[(since + n) % LOG_RING_EVENTS];
	pthread_mutex_unlock(&log_state.lock);
	f = open_memstream(&text, len);
	for (i = 0; i <= n; i++) {
		obj = i == 0 ? head : log_entry_json(&copy[i - 1]);
		line = json_dumps(obj, JSON_COMPACT);
		if (line != NULL)
			fprintf(f, "%s\n", line);
		free(line);
		json_decref(obj);
	}
	fclose(f);
	free(copy);
	return text;
}
