/*
 * Event log.  Each event goes into a ring buffer that /events serves and
 * spindle-timeline collects and, when its level is high enough, to standard
 * output as one JSON line, written by a separate thread.  Output is
 * rate-limited per event.  docs/EVENTS.md describes every event number.
 */
#ifndef LOG_H
#define LOG_H

#include <stddef.h>
#include <stdint.h>

#include "base.h"

enum log_level {
	LOGLEVEL_ERROR = 3,
	LOGLEVEL_WARNING = 4,
	LOGLEVEL_NOTICE = 5,
	LOGLEVEL_INFO = 6,
	LOGLEVEL_DEBUG = 7
};

enum log_id {
	LOG_STARTED,
	LOG_STOPPING,
	LOG_STOPPED,
	LOG_SETTINGS_BAD,
	LOG_LISTEN_FAILED,
	LOG_RELOADED,
	LOG_LEFT_OUT,
	LOG_STOP_ENDED,
	LOG_BUS_BAD,
	LOG_BUS_DROPPED,
	LOG_HTTP_BAD,
	LOG_HTTP_UNREAD,
	LOG_REQUEST_ARRIVED,
	LOG_REQUEST_STARTED,
	LOG_REQUEST_RETRIED,
	LOG_REQUEST_ANSWERED,
	LOG_REQUEST_CANCELLED,
	LOG_REQUEST_FAILED,
	LOG_REQUEST_SHED,
	LOG_REQUEST_ATTEMPT,
	LOG_REQUEST_REFUSED,
	LOG_REQUEST_WAITS,
	LOG_REQUEST_BLOCKED,
	LOG_REQUEST_WITHDRAWN,
	LOG_REQUEST_LEFT,
	LOG_REQUEST_SUSPECT,
	LOG_ACCOUNT_LIMITED,
	LOG_CALLER_DROPPED,
	LOG_GRANT_SENT,
	LOG_GRANT_RELEASED,
	LOG_WORK_REFUSED,
	LOG_KV_DOWN,
	LOG_KV_UP,
	LOG_KV_BAD,
	LOG_KV_RESTORED,
	LOG_LIST_READ,
	LOG_WATCH_LOST,
	LOG_TICKET_RECEIVED,
	LOG_TICKET_ACCEPTED,
	LOG_TICKET_REFUSED,
	LOG_CONF_IN_FORCE,
	LOG_CONF_BAD,
	LOG_CONF_BEHIND,
	LOG_MEMBER_ALIVE,
	LOG_MEMBER_SUSPECT,
	LOG_MEMBER_DEAD,
	LOG_MEMBER_LEAVING,
	LOG_REPLICA_LISTED,
	LOG_REPLICA_LEAVING,
	LOG_REPLICA_GONE,
	LOG_REPLICA_BAD,
	LOG_NAMES_LEFT_OUT,
	LOG_REPLICA_AVOIDED,
	LOG_PEER_HEARD,
	LOG_PEER_SILENT,
	LOG_LIST_TEXT_BAD,
	LOG_TEXT_UNSENT,
	LOG_PEER_UNREAD,
	LOG_PULL_UNANSWERED,
	LOG_LIST_PART_LOST,
	LOG_STREAM_TAKEN_UP,
	LOG_HUB,
	LOG_RELAY,
	LOG_REPLICAS_UNREACHED,
	LOG_REPLICAS_REACHED,
	LOG_DETOUR_STARTED,
	LOG_DETOUR_SERVED,
	LOG_POISON_SUSPECT,
	LOG_POISON_BLOCKED,
	LOG_POISON_CLEARED,
	LOG_REPLICA_SAYS_LEAVING,
	LOG_REPLICA_REFUSING,
	LOG_REPLICA_REOPENED,
	LOG_REPLICA_NOTICE_BAD,
	LOG_REPLICA_LIMIT,
	LOG_CELL_TAKEN,
	LOG_CELL_LOST,
	LOG_LEDGER_WRITTEN,
	LOG_LEDGER_CONFLICT,
	LOG_ORDER_SENT,
	LOG_ORDER_DONE,
	LOG_ORDER_FAILED,
	LOG_ORDER_WITHHELD,
	LOG_ENGINE_RESTARTED,
	LOG_NOT_READY,
	LOG_READY,
	LOG__MAX
};

/* The objects that an event refers to; 0 or NULL where not applicable. */
struct log_subject {
	uint64_t request; /* internal request id */
	const char *call; /* or the request id sent by the caller */
	uint64_t ticket;
	uint64_t order;
	const char *model;
	const char *backend;
};

struct log_event_def {
	uint32_t number;
	enum log_level level;
	const char *name;
	const char *text;
};

/* Sets the process name and level; starts the output thread.  Call once. */
void log_open(const char *, uint64_t, enum log_level);
/* Writes the pending lines and ends the thread. */
void log_close(void);
void log_event(enum log_id, const struct log_subject *, const char *, ...)
    __attribute__((format(printf, 3, 4)));
const struct log_event_def *log_event_lookup(enum log_id);
/*
 * Returns the events from a sequence number on as JSON lines, after one line
 * with the process and the oldest sequence number in the ring buffer.  The
 * caller frees the text.
 */
char *log_events_json(uint64_t, size_t *);

#endif
