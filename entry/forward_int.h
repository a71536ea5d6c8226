/* One request on its way: waiting, at a replica, or being answered. */
#ifndef FORWARD_INT_H
#define FORWARD_INT_H

#include "entry_int.h"
#include "events.h"

struct forward {
	TAILQ_ENTRY(forward) entry;
	struct entry *e;
	struct caller *caller; /* NULL once it has gone */
	struct request_want want;
	struct fleet_route route;
	char service[NAME_SIZE];
	uint64_t arrived;
	uint64_t deadline;
	uint64_t wait_until; /* refused when it still waits then */
	ev_timer timer;
	int waiting;
	uint32_t sends;
	uint32_t runs;
	uint32_t ntried;
	char tried[BALANCE_TRIED_MAX][NAME_SIZE];
	uint64_t first_event; /* when the caller got its first event */
	uint64_t last_piece;  /* and its latest one */
	uint64_t gap_ns;      /* longest pause between two */
	/* the attempt under way */
	struct exchange *x;
	struct member_replica *replica;
	struct work share; /* counted on the replica */
	uint64_t sent_at;
	int fresh; /* on a new connection */
	int alone; /* no other prompt is read there, as far as known */
	int status;
	int refused;	       /* the replica says that it did not run it */
	int streaming;	       /* a success, handed on event by event */
	int paused;	       /* the caller takes no more for now */
	int spoilt;	       /* the answer cannot be the replica's */
	struct http_head head; /* of the answer at hand */
	struct buf held;       /* its body, when it is not streamed */
	struct sse_splitter events;
	/* what the caller has */
	int begun;
	int chunked;
	uint64_t last_event;
};

/* attempt.c of this folder: one attempt at a replica */
void forward_send(struct forward *, struct member_replica *);
/* Takes the attempt's share off the replica. */
void forward_release(struct forward *);
/* forward.c */
/* The attempt has ended; decides what follows. */
void forward_ended(struct forward *, enum attempt_end);
/* answer.c */
/* Whole events for the caller; ones that it has are left out. */
void forward_events(void *, const char *, size_t);
/* Completes the answer at hand for the caller. */
void forward_hand_on(struct forward *);
/* Tells the caller the outcome in this system's own words. */
void forward_own_answer(struct forward *, int, uint64_t, const char *);

#endif
