/*
 * The gate's side towards backend servers: composes requests, splits streams
 * into events, and reports to the decider.
 */
#ifndef RELAY_H
#define RELAY_H

#include "exchange.h"
#include "fetch.h"
#include "gate.h"

/*
 * Starts the request of an exchange at a backend server as the action says.
 * The callback gets news in the fetch thread; payloads are struct
 * response_part.
 */
void relay_start(struct fetch *, struct exchange *, const struct gate_action *,
    void (*)(void *, const struct gate_fetch *), void *);
/* To be given to fetch_create(). */
void relay_handle_fetch_event(void *, const struct fetch_event *);

#endif
