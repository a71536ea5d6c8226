/*
 * Shares of limits that hold over all processes together.  Answers limits that
 * are smaller than one request for each process, demand that moves between
 * processes, and pools that are lost, frozen or cut off.
 *
 * Each process has an equal share of every limit, in as many slots as there are
 * pools, and lends each slot to another pool: losing one leaves the other's
 * part of the limits in use.  A loan is counted by the pool's own clock, of
 * which each acknowledgement tells the time: the lender knows by when it has
 * ended, however late messages are.  A process that reaches no pool uses its
 * share itself. Deterministic; all times in ns.
 */
#ifndef SHARES_H
#define SHARES_H

#include "base.h"

#define SHARES_SLOTS 2
/* Processes that may keep pools, best first; each has the same ones. */
#define SHARES_CANDIDATES_MAX 4

/* A process that may keep a pool. */
struct share_candidate {
	char addr[ADDR_SIZE];
	char zone[NAME_SIZE]; /* data centre */
	uint32_t weight;      /* higher is better */
};

/* From a lender to a pool; without slots it asks whether the pool is there. */
struct share_loan {
	uint64_t number;      /* grows with each one of a lender */
	uint64_t incarnation; /* of the pool, in its latest acknowledgement */
	uint64_t pool_time;   /* the same, 0: there was none */
	uint32_t slots;
	uint32_t processes; /* the share is one part in so many */
};

struct share_ack {
	uint64_t number; /* of the loan */
	uint64_t incarnation;
	uint64_t pool_time; /* by the pool's clock */
	uint32_t closing;   /* the pool's process ends: lend to another one */
};

struct shares_ops {
	void (*send_loan)(void *, const char *, const struct share_loan *);
	void (*send_ack)(void *, const char *, const struct share_ack *);
};

struct shares;

/* Of the process at a bus address, with its incarnation. */
struct shares *shares_create(
    const struct node_id *, uint64_t, const struct shares_ops *, void *);
void shares_destroy(struct shares *);
/* Sorts candidates, best first, those of different data centres in turn. */
void shares_rank(struct share_candidate *, size_t);
/* Sets the best candidates, as ranked. */
void shares_set_candidates(
    struct shares *, const struct share_candidate *, size_t);
/* Sets the number of processes, 0 while it is not known: there is no share. */
void shares_set_processes(struct shares *, uint32_t);
/* This process is stopping and accepts no more loans. */
void shares_close(struct shares *);
/* Renews and moves loans; to be called some tens of times a second. */
void shares_tick(struct shares *, uint64_t);
/* A loan and an acknowledgement from the process at an address. */
void shares_lent(
    struct shares *, uint64_t, const char *, const struct share_loan *);
void shares_acked(
    struct shares *, uint64_t, const char *, const struct share_ack *);
/* The part of all limits, 0 to 1, of this process's pool. */
double shares_part(const struct shares *, uint64_t);
/* Address of the pool of a slot: this process's own, or "" for none yet. */
const char *shares_pool(const struct shares *, uint32_t);

#endif
