/*
 * Message bus between the system's processes: one ZeroMQ PULL socket for
 * receiving and one PUSH socket per peer, all used by one thread.  Delivery is
 * unreliable: messages to a peer whose send queue is full are dropped.
 */
#ifndef BUS_H
#define BUS_H

#include "base.h"
#include "err.h"
#include "msg.h"

struct bus;

struct bus_counts {
	uint64_t received;
	uint64_t received_bytes;
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t malformed;
	uint64_t dropped;
};

/*
 * Binds self->addr and starts the thread.  The callback runs in the bus thread
 * and takes ownership of each message.
 */
struct bus *bus_create(const struct node_id *, void (*)(void *, struct msg *),
    void *, struct err *);
/* Stops the thread and closes the sockets. */
void bus_destroy(struct bus *);
/* Queues m for m->to and takes ownership; drops m when the queue is full. */
void bus_send(struct bus *, struct msg *);
void bus_counts(const struct bus *, struct bus_counts *);

#endif
