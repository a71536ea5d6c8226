/* What the parts of spindle-entry share: one event loop, one state. */
#ifndef ENTRY_INT_H
#define ENTRY_INT_H

#include <ev.h>
#include <sys/queue.h>

#include "attempt.h"
#include "balance.h"
#include "boot.h"
#include "budget.h"
#include "directory.h"
#include "fields.h"
#include "link.h"
#include "log.h"
#include "metric.h"
#include "pace.h"

struct caller;
struct forward;
struct session;
struct peers;
struct steer;
struct admin;

TAILQ_HEAD(forward_list, forward);
TAILQ_HEAD(caller_list, caller);
TAILQ_HEAD(query_list, query);

struct entry_counts {
	uint64_t arrived;
	uint64_t answered;
	uint64_t refused;
	uint64_t unknown; /* told that the outcome is unknown */
	uint64_t cut;	  /* broken off in mid-answer */
	uint64_t left;	  /* callers that went away first */
	uint64_t attempts;
	uint64_t ends[ATTEMPT__MAX];
};

/* How long callers waited, served requests only. */
struct entry_times {
	struct metric_histogram wait;  /* until the last attempt was sent */
	struct metric_histogram first; /* until a stream's first event */
	struct metric_histogram pause; /* the longest in each stream */
	struct metric_histogram whole; /* until the end of the answer */
};

struct entry {
	struct ev_loop *loop;
	struct boot boot;
	struct node_id self;
	uint64_t now;		 /* of the event at hand */
	struct fleet_conf *conf; /* NULL until one is known */
	char *conf_text;	 /* as the platform holds it, for peers */
	size_t conf_len;
	struct directory dir;
	struct budget budget;
	struct conn_pool *replicas;
	struct conn_pool *store;
	struct forward_list waiting;
	struct forward_list running;
	struct caller_list callers;
	struct query_list queries;
	struct session *session;
	struct peers *peers;
	struct steer *steer;
	struct admin *admin;
	struct pace pace;
	uint32_t nprocesses; /* entry processes that share limits */
	uint64_t draws;	     /* state of the generator of draws */
	int pump;	     /* what waits may find a replica now */
	int stopping;
	uint64_t stop_at;
	struct entry_counts counts;
	struct entry_times times;
};

/* entry.c */
void entry_times_init(struct entry_times *);
double entry_draw(struct entry *);
uint64_t entry_now(struct entry *);
/* Puts a configuration in force unless a later one is. */
void entry_configure(struct entry *, const char *, size_t, const char *);
int entry_ready(const struct entry *);

/* caller.c */
struct listener;
struct listener *listener_create(struct entry *, struct err *);
void listener_destroy(struct listener *);
/* Closes connections on which no request is under way. */
void callers_close_idle(struct entry *);
void callers_destroy(struct entry *);
const struct http_head *caller_head(const struct caller *);
const struct buf *caller_body(const struct caller *);
/* When the first byte of the request came. */
uint64_t caller_begun(const struct caller *);
/* The request under way, told when the caller leaves. */
void caller_forward(struct caller *, struct forward *);
void caller_write(struct caller *, const void *, size_t);
size_t caller_pending(const struct caller *);
/* Whether the connection stays open after the answer at hand. */
int caller_keeps(const struct caller *);
int caller_chunks(const struct caller *);
/* The answer is complete; the connection may serve the next request. */
void caller_answered(struct caller *);
/* The answer at hand cannot be completed. */
void caller_cut(struct caller *);

/* forward.c */
/* A request has come in whole. */
void forward_start(struct entry *, struct caller *);
/* Its caller has gone. */
void forward_abandon(struct forward *);
/* Its caller took what was buffered. */
void forward_drained(struct forward *);
/* Tries what waits once more. */
void forward_pump(struct entry *);
/* Ends everything at the end of the process. */
void forward_stop_all(struct entry *);

#endif
