/* State of spindle-entry, shared by its parts, which run on one event loop. */
#ifndef ENTRY_INT_H
#define ENTRY_INT_H

#include <ev.h>
#include <stdio.h>
#include <sys/queue.h>

#include "attempt.h"
#include "balance.h"
#include "boot.h"
#include "budget.h"
#include "conn.h"
#include "directory.h"
#include "fields.h"
#include "http_client.h"
#include "log.h"
#include "metric.h"
#include "pace.h"
#include "stop.h"
#include "waitq.h"

struct caller;
struct forward;
struct session;
struct peers;
struct loader_io;
struct poison_io;
struct permit_io;
struct quota_io;
struct stream_io;
struct detour_io;
struct detour_server;
struct admin;
struct conf_decoded;
struct conf_decoder;

TAILQ_HEAD(forward_list, forward);
TAILQ_HEAD(caller_list, caller);
TAILQ_HEAD(query_list, query);

/* Retry-After where nothing is known of a better time. */
#define RETRY_AFTER_NS (300 * NSEC_PER_MSEC)

/* What tells the version that began a stream which a caller takes up. */
enum origin_source {
	ORIGIN_HERE,   /* it passed here */
	ORIGIN_ONLY,   /* its service has one version */
	ORIGIN_RECORD, /* in the key-value service */
	ORIGIN_UNKNOWN,
	ORIGIN__MAX
};

/* Counters since the process started. */
struct entry_counts {
	uint64_t arrived;
	uint64_t answered;
	uint64_t refused;
	uint64_t blocked;	  /* refused since they would crash a replica */
	uint64_t unknown_outcome; /* callers told that the outcome is unknown */
	uint64_t truncated;	  /* responses cut off before their end */
	uint64_t caller_gone;	  /* callers that disconnected before the end */
	uint64_t idle_closed;	  /* connections closed for being idle */
	uint64_t unread_closed;	  /* closed although input had arrived */
	uint64_t leaving_notices; /* replicas that said that they leave */
	uint64_t closed_notices;  /* that said to take no requests now */
	uint64_t limit_notices;	  /* limits on requests that began or changed */
	uint64_t limited;	  /* attempts at replicas with a limit */
	uint64_t permit_requests; /* for such attempts, repeats included */
	uint64_t permits;	  /* that this process got */
	uint64_t bad_answers;	  /* of the store, that cannot be used */
	uint64_t bad_entries;	  /* of the list, that cannot be used */
	uint64_t unnamed;	  /* names of replicas beyond those kept */
	uint64_t bad_texts;	  /* of peers, that could not be read */
	uint64_t unsent_texts;	  /* for peers, too large for a message */
	uint64_t unanswered_pulls; /* of peers, as many came at once */
	uint64_t lost_parts;	   /* of peers' lists */
	uint64_t list_differs;	   /* texts after which the lists differed */
	uint64_t take_ups[ORIGIN__MAX]; /* of streams */
	uint64_t unrecorded_streams;	/* whose records may not be written */
	uint64_t attempts;
	uint64_t attempt_ends[ATTEMPT__MAX];
};

/* What callers' connections hold; see caller_held.c. */
struct entry_held {
	uint32_t ncallers;
	size_t unfinished; /* bytes of requests that are not whole */
	size_t whole;	   /* of those that are */
	size_t unsent;	   /* of answers, for callers that read slowly */
	uint64_t evicted;  /* connections closed to make room */
};

/* Latencies of requests that were answered by a replica. */
struct entry_times {
	struct metric_histogram wait;	     /* arrival to the last attempt */
	struct metric_histogram first_event; /* arrival to that of a stream */
	struct metric_histogram max_gap;     /* between events of a stream */
	struct metric_histogram total; /* arrival to the end of the response */
	struct metric_histogram loop_delay; /* of the tick, beyond its time */
};

struct entry {
	struct ev_loop *loop;
	struct boot boot;
	struct node_id self;
	uint64_t now; /* time of the current loop event, monotonic ns */
	struct fleet_conf *conf; /* NULL until one has been received */
	char *conf_text;	 /* as stored by the platform */
	size_t conf_len;
	char *conf_packed; /* the same, compressed, for peers */
	size_t conf_packed_len;
	uint64_t conf_at;	     /* when it was put in force */
	char conf_source[ADDR_SIZE]; /* "store" or a peer's address */
	uint64_t list_at;	     /* when it was last read or changed */
	char list_source[ADDR_SIZE];
	struct conf_decoder *conf_decoder;
	struct directory dir;
	struct budget budget;
	struct conn_pool *replicas; /* for callers' requests, which have ids */
	struct conn_pool *engines;  /* for reports and orders, without ids */
	struct conn_pool *store;
	struct forward_list requests; /* of callers, waiting ones included */
	struct waitq waiting;	      /* requests without a replica */
	struct caller_list callers;
	struct conn_list flushing; /* callers being closed */
	struct query_list queries;
	struct session *session;
	struct peers *peers;
	struct loader_io *loader_io;
	struct poison_io *poison_io;
	struct permit_io *permit_io;
	struct quota_io *quota_io;
	struct stream_io *stream_io;
	struct detour_io *detour_io;
	struct detour_server *detour_server;
	struct admin *admin;
	struct pace pace;
	uint32_t nprocesses;   /* entry processes, which divide limits */
	uint64_t random_state; /* state of the random generator */
	int retry_waiting;     /* queued requests are tried on the next turn */
	int stopping;
	struct stop_schedule stop;
	struct entry_counts counts;
	struct entry_held held;
	struct entry_times times;
};

/* entry.c */
/* Sets the names and help texts of the histograms. */
void entry_times_init(struct entry_times *);
/* A random number from 0 to 1, for spreading load only. */
double entry_random(struct entry *);
/* Updates and returns the time of the current event, monotonic ns. */
uint64_t entry_update_now(struct entry *);
/* Decodes a configuration, which is then applied; the source is for the log. */
void entry_receive_config(struct entry *, const char *, size_t, const char *);
/* The same for a compressed one. */
void entry_receive_packed_config(
    struct entry *, const char *, size_t, const char *);
/*
 * Applies a decoded configuration unless one of the same or a later version is
 * in force; called with the entry by its decoder.
 */
void entry_apply_config(void *, struct conf_decoded *);
/* Whether a configuration is in force, or one is being decoded. */
int entry_has_config(const struct entry *);
/* Whether this process can serve: configured, list known, not stopping. */
int entry_is_ready(const struct entry *);

/* caller.c */
struct listener;
/* Accepts callers; NULL with the error filled in if it cannot listen. */
struct listener *listener_create(struct entry *, struct err *);
void listener_destroy(struct listener *);
/* Closes connections without a request in progress. */
void callers_close_idle(struct entry *);
/* Refuses requests that are still being read at the end of a stop. */
void callers_settle(struct entry *);
void callers_destroy(struct entry *);
/* Closes connections whose unread answers fill the memory. */
void callers_bound_answers(struct entry *);
/* Writes the metrics of what callers' connections hold. */
void callers_write_held(const struct entry *, FILE *);
/* Counts requests of which a part was read, and unsent bytes of answers. */
void callers_count(const struct entry *, uint32_t *, size_t *);
/* Head and body of the current request. */
const struct http_head *caller_head(const struct caller *);
const struct buf *caller_body(const struct caller *);
/* When the first byte of the current request was received. */
uint64_t caller_request_started_at(const struct caller *);
/* Sets the request to be notified when the caller disconnects. */
void caller_set_forward(struct caller *, struct forward *);
/* Queues bytes of the response. */
void caller_write(struct caller *, const void *, size_t);
/* Bytes queued and not yet written to the socket. */
size_t caller_pending_bytes(const struct caller *);
/* A caller that does not read its answer keeps the connection until then. */
void caller_keep_until(struct caller *, uint64_t);
/* Whether the caller has closed its side, even if the loop has not read it. */
int caller_has_left(const struct caller *);
/*
 * Whether the connection stays open after the current response: in a stop, for
 * requests that have been received behind it.
 */
int caller_keep_alive(const struct caller *);
/* Whether a body follows the head of the response, unlike with HEAD. */
int caller_takes_body(const struct caller *);
/* Whether the caller understands chunked encoding, as HTTP/1.1 does. */
int caller_accepts_chunked(const struct caller *);
/*
 * The response is complete; the connection serves the next request if the head
 * of the response said so, also if the process is being stopped since.
 */
void caller_response_done(struct caller *, int);
/* Closes the connection because the response cannot be completed. */
void caller_abort_response(struct caller *);

/* replica_notice.c */
/* Reports replicas that take requests again. */
void replica_notice_tick(struct entry *);
/*
 * An answer of an incarnation, received at a time, named a limit in requests a
 * second, 0 for none; the source is for the log.
 */
void replica_notice_limit(struct entry *, struct directory_replica *, uint64_t,
    uint64_t, double, const char *);

/* An answer in which a replica may say something of itself. */
struct replica_answer {
	const char *id;	     /* of the request */
	uint64_t started_ms; /* the replica's incarnation */
	uint64_t sent_at;
	int status;
};

struct response_info;
/*
 * Takes what a replica says of itself; returns whether it takes no requests
 * from now on.
 */
int replica_notice_apply(struct entry *, struct directory_replica *,
    const struct replica_answer *, const struct response_info *);

/* forward_admit.c */
/* Starts forwarding the caller's request, which has been received in full. */
void forward_start(struct entry *, struct caller *);
/* forward.c */
/*
 * The caller of the request has disconnected, with an errno if its connection
 * failed.
 */
void forward_caller_gone(struct forward *, int);
/* The caller has read what was buffered for it. */
void forward_caller_drained(struct forward *);
/* Tries to dispatch the queued requests again. */
void forward_retry_waiting(struct entry *);
/* forward_stop.c */
/* While stopping, ends queued requests that would start too late to end. */
void forward_stop_waiting(struct entry *);
/* Logs why a stop ends, and what is still in progress. */
void forward_log_stop(const struct entry *, const char *);
/*
 * At the end of a stop, gives requests in progress their last answers, but for
 * those whose replica has sent what is still unread.
 */
void forward_settle(struct entry *);
/* Ends all requests at the end of the process. */
void forward_stop_all(struct entry *);

/* forward_suspect.c */
/* Takes suspect requests back from replicas that have not begun to answer. */
void forward_withdraw_suspects(struct entry *);
/* Ends requests that are blocked and have no answer yet. */
void forward_end_blocked(struct entry *);

#endif
