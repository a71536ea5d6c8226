/*
 * The bus between the system's processes: one ZeroMQ PULL socket for what
 * comes in and one PUSH socket for each peer, in a thread of their own.
 * Delivery is lossy; a peer that does not read loses messages.
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
 * Binds self->addr and starts the thread.  The callback gets each message
 * in the bus thread and owns it.
 */
struct bus *bus_create(const struct node_id *, void (*)(void *, struct msg *),
    void *, struct err *);
/* Stops the thread and closes the sockets. */
void bus_destroy(struct bus *);
/* Queues m for m->to and takes it over; drops it when the ring is full. */
void bus_send(struct bus *, struct msg *);
void bus_counts(const struct bus *, struct bus_counts *);

#endif
