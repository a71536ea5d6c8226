/*
 * Permits for requests to replicas that limit what they get from all processes
 * together.  Answers limits below the number of processes, demand that differs
 * between them, and processes that are lost, late, frozen or cut off.
 *
 * Each process has an equal share of every limit.  It lends its share to a
 * pool, kept by a process that all agree on, which gives out permits, one for
 * each request, at the rate of the shares that it has.  A loan is renewed by
 * each report and ends sooner at the pool than at the lender, so that no share
 * is used twice, even where processes disagree on the pool.  A pool may lend
 * what it has to another one.  A process that no pool serves uses its own
 * share. Deterministic; all times in ns.
 */
#ifndef PERMITS_H
#define PERMITS_H

#include "base.h"
#include "directory.h"

#define PERMIT_CANDIDATES_MAX 8 /* replicas of a request for a permit */
/* A request for a permit is repeated after this time at the latest. */
#define PERMIT_REPEAT_NS (300 * NSEC_PER_MSEC)

/* A request for a permit, repeated until there is one. */
struct permit_request {
	char origin[ADDR_SIZE]; /* process that asks */
	uint64_t id;		/* of the caller's request, there */
	uint64_t asked_at;    /* by the origin's clock; the answer repeats it */
	uint64_t waited_ns;   /* since the caller's request arrived */
	uint64_t target_ns;   /* until its answer would be late */
	uint64_t max_wait_ns; /* until it is too late for a permit */
	uint32_t priority;    /* of its route, 0 is the highest */
	uint32_t has_other;   /* it goes elsewhere if there is none now */
	uint32_t nreplicas;   /* that could run it, 0: no permit any more */
	char replicas[PERMIT_CANDIDATES_MAX][NAME_SIZE];
};

struct permit_answer {
	char origin[ADDR_SIZE]; /* of the request, as are the next two */
	uint64_t id;
	uint64_t asked_at;
	char replica[NAME_SIZE]; /* one request may be sent there, "": none */
	uint64_t wait_ns;	 /* without a replica: until one is expected */
};

/* Callbacks that send messages, and take answers for this process. */
struct permits_ops {
	void (*send_request)(
	    void *, const char *, const struct permit_request *);
	void (*send_answer)(void *, const char *, const struct permit_answer *);
	/* The time is until when the permit may be used. */
	void (*answered)(void *, const struct permit_answer *, uint64_t);
};

struct permits;

/* Of the process at a bus address, started at a time. */
struct permits *permits_create(const struct directory *, const char *, uint64_t,
    const struct permits_ops *, void *);
void permits_destroy(struct permits *);
/* Sets the number of processes that have a share, this one included. */
void permits_set_processes(struct permits *, uint32_t);
/*
 * Sets the process whose pool is to get this one's share, "" for none.  It may
 * lend the share to another pool itself, or it may not.
 */
void permits_set_pool(struct permits *, uint64_t, const char *, int);
/* The pool that reports name as the borrower, "" for none. */
const char *permits_pool(const struct permits *);
/* Shares that reports lend to it: this process's and those lent to it. */
uint32_t permits_shares(const struct permits *, uint64_t);
/* A report that names the pool is sent. */
void permits_reported(struct permits *, uint64_t);
/* A report lends shares to this process, or none. */
void permits_borrow(struct permits *, uint64_t, const char *, uint32_t);
/* Asks for a permit, or for none; the origin and the time are filled in. */
void permits_ask(struct permits *, uint64_t, struct permit_request *);
/* A request from the process at an address, and an answer. */
void permits_requested(
    struct permits *, uint64_t, const char *, const struct permit_request *);
void permits_answered(struct permits *, uint64_t, const struct permit_answer *);
/* Gives out permits; to be called some tens of times a second. */
void permits_tick(struct permits *, uint64_t);
/*
 * The part of a limit, 0 to 1, that is available to those whose requests wait
 * together: all where a pool is asked, or this pool's shares.
 */
double permits_available(const struct permits *, uint64_t);

#endif
