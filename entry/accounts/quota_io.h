/*
 * Client accounts of callers' requests: whose key a request has, and the tokens
 * of the account's quota (see quota.h) without which it is not begun.
 */
#ifndef QUOTA_IO_H
#define QUOTA_IO_H

#include <stdio.h>

#include "entry_int.h"
#include "msg.h"

struct quota_io;

struct quota_io *quota_io_create(struct entry *);
void quota_io_destroy(struct quota_io *);
/* Takes over the accounts of the configuration in force. */
void quota_io_config_applied(struct quota_io *);
/* Chooses the pool. */
void quota_io_tick(struct quota_io *);
/*
 * Sets the request's account by its key, and its priority.  Returns -1 if the
 * route needs a key, and this one is of no account.
 */
int quota_io_identify(struct forward *);
/*
 * Takes the request's tokens.  Returns whether it may begin at once; else it
 * begins later, or has been refused.
 */
int quota_io_admit(struct forward *);
/* The time in which the account's quota yields what the request costs, ns. */
uint64_t quota_io_cost(const struct forward *);
/* Whether the request waits for its tokens. */
int quota_io_awaits(const struct forward *);
/* The time for which such a request was to wait has passed. */
void quota_io_waited(struct forward *);
/* The request is over; tokens of one that ran nowhere are given back. */
void quota_io_forget(struct forward *, int);
/* Handles MSG_QUOTA_REQUEST and MSG_QUOTA_ANSWER. */
void quota_io_receive(struct quota_io *, const struct msg *);
void quota_io_write_metrics(const struct quota_io *, FILE *);

#endif
