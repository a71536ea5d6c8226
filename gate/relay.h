/*
 * Relays requests to backend servers: composes the HTTP request, splits
 * response streams into server-sent events, and reports to the gate loop.
 */
#ifndef RELAY_H
#define RELAY_H

#include "exchange.h"
#include "fetch.h"
#include "gate.h"

/*
 * Sends the request of an exchange to the backend server of the action.  The
 * callback runs in the fetch thread and takes over the payload, which is a
 * struct response_part.
 */
void relay_start(struct fetch *, struct exchange *, const struct gate_action *,
    void (*)(void *, const struct gate_fetch_event *), void *);
/* Event callback for fetch_create(). */
void relay_handle_fetch_event(void *, const struct fetch_event *);

#endif
