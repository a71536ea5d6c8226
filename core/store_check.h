/*
 * When a process makes a cheap call only to learn whether the key-value service
 * answers it.  A hub always knows, since others depend on its watches.  Others
 * make no calls: they ask once a process of their data centre was turned away,
 * so that none takes over a duty that it cannot do.  Deterministic; ns.
 */
#ifndef STORE_CHECK_H
#define STORE_CHECK_H

#include "base.h"

struct store_check {
	uint64_t doubted_at; /* 0: not doubted */
	uint64_t called_at;  /* the latest call of this kind */
};

/* The service, as far as this process knows. */
struct store_check_state {
	int is_hub;
	int up;
	uint64_t answered_at; /* the latest answer */
};

/* A process of the data centre was turned away, or not answered. */
void store_check_doubt(struct store_check *, uint64_t);
/*
 * Calls without an answer, in a row, after which the service counts as down:
 * one where another process has found so.
 */
uint32_t store_check_failures_max(const struct store_check *);
/*
 * Whether a call is to be made now; it counts as made.  The caller makes one at
 * a time.
 */
int store_check_due(
    struct store_check *, const struct store_check_state *, uint64_t);

#endif
