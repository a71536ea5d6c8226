/* A gate with two replicas of a model and a service with two instances. */
#ifndef GATE_FIXTURE_H
#define GATE_FIXTURE_H

#include "gate.h"

#define MSEC NSEC_PER_MSEC

extern struct gate_core *gate;
extern struct gate_actions out;
extern uint64_t now;
extern int payload;

/* Creates the gate; takes the address of the cell's owner, or "". */
void setup(const char *);
void teardown(void);
void clear_actions(void);
void send_tables(const char *);
/* Starts request rid: an order of the service or not, streamed or not. */
void start_request(uint64_t, int, int);
/* The last action of a kind, or NULL. */
struct gate_action *last_action(enum gate_action_kind);
int count_sent(enum msg_kind);
void fetch_event(uint64_t, enum fetch_event_kind, enum fetch_phase, uint32_t);
/* Advances the time and ticks the gate. */
void tick(uint64_t);
/* The owner grants a request's attempt a slot on a replica. */
void send_grant(uint64_t, uint32_t, const char *);

#endif
