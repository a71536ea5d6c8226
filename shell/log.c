#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock.h"
#include "log.h"
#include "mem.h"

#define LOG_RING_EVENTS 8192
#define LOG_DETAIL_SIZE 256
#define LOG_FACILITY_DAEMON 24 /* syslog facility 3, shifted */
#define LOG_JSON_MAX 4096      /* events in one answer */

struct log_entry {
	uint64_t seq;
	uint64_t mono;
	uint64_t wall;
	enum log_id id;
	uint64_t request;
	uint64_t ticket;
	uint64_t order;
	char model[NAME_SIZE];
	char backend[NAME_SIZE];
	char detail[LOG_DETAIL_SIZE];
};

struct log_state {
	pthread_mutex_t lock;
	char process[NAME_SIZE];
	uint64_t incarnation;
	enum log_level level;
	uint64_t next;
	struct log_entry ring[LOG_RING_EVENTS];
};

static void log_line(const struct log_entry *);
static json_t *log_entry_json(const struct log_entry *);

static struct log_state log_state = {
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.process = "unnamed",
	.level = LOGLEVEL_NOTICE,
};

static const struct log_info log_infos[LOG__MAX] = {
	[LOG_STARTED] = { 1000, LOGLEVEL_NOTICE, "started",
	    "the process has started" },
	[LOG_STOPPING] = { 1001, LOGLEVEL_NOTICE, "stopping",
	    "shutting down; work in progress is finished first" },
	[LOG_STOPPED] = { 1002, LOGLEVEL_NOTICE, "stopped",
	    "the process has stopped" },
	[LOG_SETTINGS_BAD] = { 1003, LOGLEVEL_ERROR, "settings-bad",
	    "the settings file is refused; correct the named key" },
	[LOG_LISTEN_FAILED] = { 1004, LOGLEVEL_ERROR, "listen-failed",
	    "an address cannot be listened on; free it or change it" },
	[LOG_BUS_BAD] = { 1100, LOGLEVEL_WARNING, "bus-bad",
	    "a bus message could not be decoded and is dropped" },
	[LOG_BUS_DROPPED] = { 1101, LOGLEVEL_INFO, "bus-dropped",
	    "a bus message was dropped because its peer does not read" },
	[LOG_HTTP_BAD] = { 1102, LOGLEVEL_INFO, "http-bad",
	    "an HTTP request is malformed or too large and is refused" },
	[LOG_REQUEST_ARRIVED] = { 1200, LOGLEVEL_DEBUG, "request-arrived",
	    "a caller's request was accepted" },
	[LOG_REQUEST_STARTED] = { 1201, LOGLEVEL_DEBUG, "request-started",
	    "an attempt was sent to a backend server" },
	[LOG_REQUEST_RETRIED] = { 1202, LOGLEVEL_INFO, "request-retried",
	    "an attempt broke and another one follows" },
	[LOG_REQUEST_ANSWERED] = { 1203, LOGLEVEL_DEBUG, "request-answered",
	    "the caller has the whole answer" },
	[LOG_REQUEST_CANCELLED] = { 1204, LOGLEVEL_DEBUG, "request-cancelled",
	    "the caller went away" },
	[LOG_REQUEST_FAILED] = { 1205, LOGLEVEL_INFO, "request-failed",
	    "the caller was told that there is no answer" },
	[LOG_REQUEST_SHED] = { 1206, LOGLEVEL_WARNING, "request-shed",
	    "a ring is full; the request was refused and not run" },
	[LOG_GRANT_SENT] = { 1300, LOGLEVEL_DEBUG, "grant-sent",
	    "a slot on a replica was granted" },
	[LOG_GRANT_RELEASED] = { 1301, LOGLEVEL_DEBUG, "grant-released",
	    "a slot on a replica is free again" },
	[LOG_WORK_REFUSED] = { 1302, LOGLEVEL_DEBUG, "work-refused",
	    "work will not be run; the gate was told" },
	[LOG_KV_DOWN] = { 1400, LOGLEVEL_WARNING, "kv-down",
	    "the key-value service does not answer; moves wait" },
	[LOG_KV_UP] = { 1401, LOGLEVEL_NOTICE, "kv-up",
	    "the key-value service answers again" },
	[LOG_KV_BAD] = { 1402, LOGLEVEL_ERROR, "kv-bad",
	    "the key-value service holds or sent something malformed" },
	[LOG_TICKET_RECEIVED] = { 1500, LOGLEVEL_NOTICE, "ticket-received",
	    "an operator's ticket came in" },
	[LOG_TICKET_ACCEPTED] = { 1501, LOGLEVEL_NOTICE, "ticket-accepted",
	    "the ticket is written and a peer holds it" },
	[LOG_TICKET_REFUSED] = { 1502, LOGLEVEL_NOTICE, "ticket-refused",
	    "the ticket is refused whole" },
	[LOG_CONF_IN_FORCE] = { 1503, LOGLEVEL_NOTICE, "conf-in-force",
	    "a configuration revision is in force on this VM" },
	[LOG_MEMBER_ALIVE] = { 1600, LOGLEVEL_NOTICE, "member-alive",
	    "a peer is alive" },
	[LOG_MEMBER_SUSPECT] = { 1601, LOGLEVEL_INFO, "member-suspect",
	    "a peer does not answer and is suspected" },
	[LOG_MEMBER_DEAD] = { 1602, LOGLEVEL_NOTICE, "member-dead",
	    "a peer is held to be dead" },
	[LOG_MEMBER_LEAVING] = { 1603, LOGLEVEL_NOTICE, "member-leaving",
	    "a peer is leaving" },
	[LOG_CELL_TAKEN] = { 1700, LOGLEVEL_NOTICE, "cell-taken",
	    "this process owns the cell" },
	[LOG_CELL_LOST] = { 1701, LOGLEVEL_WARNING, "cell-lost",
	    "this process no longer owns the cell" },
	[LOG_LEDGER_WRITTEN] = { 1800, LOGLEVEL_DEBUG, "ledger-written",
	    "a memory ledger was written" },
	[LOG_LEDGER_CONFLICT] = { 1801, LOGLEVEL_WARNING, "ledger-conflict",
	    "a memory ledger was changed by another owner" },
	[LOG_ORDER_SENT] = { 1802, LOGLEVEL_INFO, "order-sent",
	    "an order was sent to an engine" },
	[LOG_ORDER_DONE] = { 1803, LOGLEVEL_INFO, "order-done",
	    "an engine confirmed an order" },
	[LOG_ORDER_FAILED] = { 1804, LOGLEVEL_WARNING, "order-failed",
	    "an engine refused an order or did not answer" },
	[LOG_ORDER_WITHHELD] = { 1805, LOGLEVEL_INFO, "order-withheld",
	    "an order was not sent because the lease may have lapsed" },
	[LOG_ENGINE_RESTARTED] = { 1806, LOGLEVEL_NOTICE, "engine-restarted",
	    "an engine came back with empty memory" },
	[LOG_NOT_READY] = { 1900, LOGLEVEL_WARNING, "not-ready",
	    "what is in force cannot be known; the balancer should look "
	    "elsewhere" },
	[LOG_READY] = { 1901, LOGLEVEL_NOTICE, "ready", "the process serves" },
};

void
log_open(const char *process, uint64_t incarnation, enum log_level level)
{
	pthread_mutex_lock(&log_state.lock);
	snprintf(log_state.process, sizeof(log_state.process), "%s", process);
	log_state.incarnation = incarnation;
	log_state.level = level;
	pthread_mutex_unlock(&log_state.lock);
}

const struct log_info *
log_info(enum log_id id)
{
	return &log_infos[id];
}

/* Called with the lock held, so that lines do not mix. */
static void
log_line(const struct log_entry *e)
{
	const struct log_info *info = &log_infos[e->id];
	struct tm tm;
	char when[32];
	time_t sec = (time_t)(e->wall / NSEC_PER_SEC);

	gmtime_r(&sec, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(stderr, "<%d>%s.%03uZ %s[%llu]: %u %s: %s",
	    LOG_FACILITY_DAEMON + (int)info->level, when,
	    (unsigned)(e->wall % NSEC_PER_SEC / NSEC_PER_MSEC),
	    log_state.process, (unsigned long long)log_state.incarnation,
	    info->number, info->name, info->text);
	if (e->request != 0)
		fprintf(
		    stderr, " request=%016llx", (unsigned long long)e->request);
	if (e->ticket != 0)
		fprintf(stderr, " ticket=%llu", (unsigned long long)e->ticket);
	if (e->order != 0)
		fprintf(stderr, " order=%llu", (unsigned long long)e->order);
	if (e->model[0] != '\0')
		fprintf(stderr, " model=%s", e->model);
	if (e->backend[0] != '\0')
		fprintf(stderr, " backend=%s", e->backend);
	fprintf(stderr, "%s%s\n", e->detail[0] != '\0' ? ": " : "", e->detail);
}

void
log_event(enum log_id id, const struct log_about *about, const char *fmt, ...)
{
	struct log_entry e;
	va_list ap;

	memset(&e, 0, sizeof(e));
	e.id = id;
	e.mono = clock_mono();
	e.wall = clock_wall();
	if (about != NULL) {
		e.request = about->request;
		e.ticket = about->ticket;
		e.order = about->order;
		snprintf(e.model, sizeof(e.model), "%s",
		    about->model == NULL ? "" : about->model);
		snprintf(e.backend, sizeof(e.backend), "%s",
		    about->backend == NULL ? "" : about->backend);
	}
	va_start(ap, fmt);
	vsnprintf(e.detail, sizeof(e.detail), fmt, ap);
	va_end(ap);
	pthread_mutex_lock(&log_state.lock);
	e.seq = log_state.next++;
	log_state.ring[e.seq % LOG_RING_EVENTS] = e;
	if (log_infos[id].level <= log_state.level)
		log_line(&e);
	pthread_mutex_unlock(&log_state.lock);
}

static json_t *
log_entry_json(const struct log_entry *e)
{
	const struct log_info *info = &log_infos[e->id];
	char request[17];

	snprintf(request, sizeof(request), "%016llx",
	    (unsigned long long)e->request);
	return json_pack("{s:I,s:I,s:I,s:i,s:s,s:s,s:I,s:I,s:s,s:s,s:s}", "seq",
	    (json_int_t)e->seq, "mono", (json_int_t)e->mono, "wall",
	    (json_int_t)e->wall, "number", (int)info->number, "event",
	    info->name, "request", e->request == 0 ? "" : request, "ticket",
	    (json_int_t)e->ticket, "order", (json_int_t)e->order, "model",
	    e->model, "backend", e->backend, "detail", e->detail);
}

char *
log_json(uint64_t since, size_t *len)
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

	copy = mem_alloc(LOG_JSON_MAX * sizeof(*copy));
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
	for (n = 0; n < LOG_JSON_MAX && since + n < log_state.next; n++)
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
