/* A request being forwarded: queued, at a replica, or being answered. */
#ifndef FORWARD_INT_H
#define FORWARD_INT_H

#include "detour_io.h"
#include "entry_int.h"
#include "event_filter.h"
#include "expiry.h"
#include "sse.h"

/* How far a request is on the way to the tokens of its account's quota. */
enum tokens_state {
	TOKENS_NONE,   /* it needs none, or has none yet */
	TOKENS_ASKED,  /* no pool has answered */
	TOKENS_COMING, /* granted, for a later time */
	TOKENS_TAKEN,
	TOKENS__MAX
};

struct forward {
	TAILQ_ENTRY(forward) entry;
	struct entry *e;
	struct caller *caller; /* NULL once it has disconnected */
	struct request_params params;
	struct fleet_route route;
	char service[NAME_SIZE];
	int begun;		      /* its caller has events of the stream */
	char software[NAME_SIZE];     /* version that made them, "": unknown */
	int recorded;		      /* in the key-value service */
	struct stream_lookup *lookup; /* the version is being looked up */
	char account[NAME_SIZE];      /* of its caller, "": none */
	char *account_name;	      /* the same in full, NULL: none */
	uint64_t quota_tokens;	      /* that it costs */
	uint32_t quota_tries;	      /* to get them, at pools in turn */
	uint64_t quota_id;	      /* of its request for them, 0: none yet */
	uint64_t quota_asked_at;      /* when they were asked for */
	enum tokens_state quota_state;
	uint64_t arrived;
	uint64_t deadline;
	struct expiry *expiry;	   /* of queueing, or of the request */
	struct waitq_item waiting; /* in the queue, or in no group */
	uint64_t permit_id;	   /* of requests for a permit, 0: none yet */
	uint64_t permit_at;	   /* when one is expected, 0: not known */
	uint64_t permit_ask_at;	   /* no request for one before */
	int permit_wanted;	   /* the pool has been asked, and gave none */
	uint64_t hold_until; /* it waits for a permit, or goes elsewhere */
	uint64_t wait_until; /* it is refused then, unless it has a replica */
	uint64_t suspect;    /* part for which it is queued apart, 0: none */
	uint32_t attempts_made;
	uint32_t runs; /* attempts that the replica may have executed */
	uint32_t ntried;
	char tried[BALANCE_TRIED_MAX][NAME_SIZE];
	uint64_t first_event_at; /* first event sent to the caller */
	uint64_t last_event_at;	 /* latest event sent to the caller */
	uint64_t max_gap_ns;	 /* longest gap between two events */
	/* the current attempt */
	struct exchange *exchange;
	char via[ADDR_SIZE];  /* the peer that passes it on, "": none */
	uint32_t peers_tried; /* for this attempt */
	uint64_t peer_sent_at;
	enum detour_answer detour_answer;
	int path_failed; /* its end tells nothing of the replica */
	struct directory_replica *replica;
	uint64_t replica_started_ms; /* its incarnation */
	char replica_software[NAME_SIZE];
	struct replica_load work; /* counted as load of the replica */
	uint64_t sent_at;
	uint64_t begun_at;  /* first bytes of the response's body, 0: none */
	int new_connection; /* was opened for this attempt */
	int only_prefill;   /* no other prefill known on the replica */
	int status;
	int refused;	     /* the replica reports that it did not run it */
	int until_close;     /* the answer ends with its connection */
	int streaming;	     /* success, forwarded event by event */
	int read_paused;     /* replica not read while the caller is slow */
	int invalid;	     /* response unsigned, encoded or too large */
	size_t unused_bytes; /* of a response that is not forwarded */
	struct http_head response_head; /* of the current response */
	struct buf body; /* of the response, unless it is streamed */
	struct sse_splitter events;
	/* the response to the caller */
	int response_started; /* its head has been sent */
	int chunked;
	int kept;		    /* its head keeps the connection open */
	struct event_filter passed; /* events of all attempts */
};

/* Of the request's queueing, or of the request. */
extern const struct expiry_ops forward_expiry_ops;
/* attempt_send.c */
/* Sends the request to a replica. */
void forward_start_attempt(struct forward *, struct directory_replica *);
/* Subtracts the attempt from the replica's load. */
void forward_remove_work(struct forward *);
/* Which connection the current attempt may use. */
struct exchange_conn forward_exchange_conn(const struct forward *);
/* Writes the request for the replica of the current attempt. */
void forward_compose_request(const struct forward *, struct buf *);
/* Time until the deadline of the request, ns. */
uint64_t forward_time_left(const struct forward *);
/* Handle the replica's answer; see exchange_ops. */
int forward_on_head(struct forward *, const struct http_head *);
int forward_on_body(struct forward *, const char *, size_t);
/* How the attempt has ended, by the end of its exchange. */
enum attempt_outcome forward_outcome_of(
    const struct forward *, enum exchange_result);
/* detour_attempt.c */
/* Sends the current attempt to a peer; -1 if there is none to try. */
int forward_open_detour(struct forward *);
/*
 * The peer of the current attempt does not answer any more: goes on elsewhere,
 * if the request may be repeated.
 */
void forward_give_up_detour(struct forward *);
/* The current attempt has ended at its peer, if it went to one. */
void forward_leave_detour(struct forward *);
/* replica_notice.c */
/* Takes what a replica says of itself in the head of its answer. */
void forward_apply_notice(struct forward *, const struct response_info *);
/* forward_admit.c */
/* Begins a request that has its tokens. */
void forward_begin(struct forward *);
/* forward_wait.c */
/* Queues a request that no replica can take now, or refuses it. */
void forward_wait(struct forward *, enum balance_result);
/* Queues a request that may get a permit, and has another replica. */
void forward_hold(struct forward *);
/* The time that a request may wait has passed. */
void forward_waited(struct forward *);
/* forward.c */
/*
 * Sends the request to the best replica, or queues it if there is none.
 * Returns 0 if others that need the same can find no replica either.
 */
int forward_dispatch(struct forward *);
/* Ends a request that no replica has run; the caller may return after ns. */
void forward_refuse(struct forward *, const char *, uint64_t);
/* The same for one beyond the quota of its account. */
void forward_refuse_quota(struct forward *, uint64_t);

void forward_log(
    const struct forward *, enum log_id, const char *, const char *);
/* Records the end of the attempt and decides on the next step. */
void forward_attempt_ended(struct forward *, enum attempt_outcome);
/*
 * Fills in what the choice of a replica goes by, but for care with suspects; -1
 * if the service is not in the configuration.
 */
int forward_fill_balance(const struct forward *, struct balance_request *);
/*
 * Picks the best replica by this process's view of their load.  For a request
 * that has been sent, also one at its limit, and without regard to checks that
 * are under way.
 */
enum balance_result forward_pick_replica(
    struct forward *, int, struct directory_replica **);
/* Ends the request; it has no exchange, and its caller has been told. */
void forward_free(struct forward *);
/* The caller's attempt that brought the first event of the stream. */
const char *forward_origin_id(const struct forward *);
/* Fills in what decides on the next step. */
void forward_describe(const struct forward *, struct attempt_context *);
/* Ends a request that a replica may have run; details are for the log. */
void forward_report_unknown(struct forward *, int, const char *, const char *);
/* Breaks off a response that has begun; the detail is for the log. */
void forward_cut(struct forward *, const char *);
/* forward_stop.c */
/* Ends a request that can't start any more as the process stops. */
int forward_end_if_late(struct forward *);
/* forward_suspect.c */
/*
 * Fingerprint of what the request asks for: method, host, target, credentials,
 * model, prompt and body.  Repeats by its caller have the same.
 */
uint64_t forward_fingerprint(const struct forward *);
/* Whether it goes to no replica until the evidence of all processes is known.
 */
int forward_awaits_evidence(const struct forward *);
/*
 * Whether the replica may have crashed from this request.  An answer that ends
 * with its connection may have been broken off.
 */
int forward_broke_at_begin(const struct forward *, enum attempt_outcome);
/* Evidence for or against the parts of the request's prompt. */
void forward_note_crash(struct forward *, enum attempt_outcome);
/* The current attempt is given up; its replica may crash from it later. */
void forward_note_left(const struct forward *);
/*
 * Ends a request with a part that crashes replicas, unless a replica has begun
 * to answer it.  Returns whether it has ended.
 */
int forward_end_if_blocked(struct forward *);
/* response.c */
/* Forwards complete events; those the caller already has are skipped. */
void forward_on_events(void *, const char *, size_t);
/* Completes the replica's response to the caller. */
void forward_finish_response(struct forward *);
/* Sends an error response of this process; the Retry-After time is in ns. */
void forward_send_error(struct forward *, int, uint64_t, const char *);

#endif
